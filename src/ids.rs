//! Identifiers of requests, servers, tenants, counters, classes and plans, and the type of times.

/// A point in time on the clock of the policy's caller, or a duration, in milliseconds.
pub type Millis = f64;

/// The id of a request at this gateway. A retry by the client is a new request with a new id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// The id of a server, which is the same at all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// The id of a tenant, which is the same at all gateways: they enforce its quota together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u64);

/// The key of one number that the counter service stores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CounterKey(pub u64);

/// Index into [`Settings::classes`](crate::settings::Settings::classes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index into [`Settings::plans`](crate::settings::Settings::plans).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub usize);
