//! Identifiers of requests, servers, tenants, counter totals, classes and plans, and the type for times and
//! durations.

/// A point in time on the clock of the policy's caller, or a duration, in milliseconds.
pub type Millis = f64;

/// The id of a request, unique among the requests that one gateway is handling. If the client retries, its
/// retry is a new request with a new id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// The id of a server. It is the same at all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// The id of a tenant. It is the same at all gateways, because they enforce the tenant's quota together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u64);

/// The key of one total that the counter service stores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CounterKey(pub u64);

/// Index into [`Settings::classes`](crate::settings::Settings::classes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index into [`Settings::plans`](crate::settings::Settings::plans).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub usize);
