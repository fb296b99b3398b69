//! Identifiers of requests, servers, tenants and counters, and the time type that all decisions use.

/// A point in time on the caller's clock, or a span; milliseconds.
pub type Millis = f64;

/// A request as this gateway holds it; a client's retry gets a new one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// A server, numbered alike at every gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// A tenant, whose quota all gateways enforce together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u64);

/// The name of one number in the counter service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CounterKey(pub u64);

/// Index into [`Settings::classes`](crate::settings::Settings::classes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index into [`Settings::plans`](crate::settings::Settings::plans).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub usize);
