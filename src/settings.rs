//! Settings that a gateway reads once, at startup: request classes, plans and limits of the deployment.
//!
//! The configuration file and the simulator use other names for these fields. `docs/GLOSSARY.md` maps the
//! names, and [`crate::config`] reads the settings from both.

use crate::ids::Millis;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Idempotency {
    /// The request may be executed any number of times.
    #[default]
    Idempotent,
    /// Requests with the same idempotency key are executed only once by the servers of one scope.
    IdempotencyKey {
        /// Which servers recognize a key that one of them has seen.
        scope: DeduplicationScope,
        /// Time for which the servers remember a key, ms from the start of the request's first attempt.
        window: Millis,
    },
    /// The request must be executed at most once.
    NonIdempotent,
}

impl Idempotency {
    /// Time, ms from the start of the first attempt that a server may have executed, in which further attempts
    /// may begin. `None` if the time is not limited.
    pub fn repeat_window(self) -> Option<Millis> {
        match self {
            Idempotency::IdempotencyKey { window, .. } => Some(window),
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }
}

/// The group of servers that share the idempotency keys that they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    #[default]
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests. Each request belongs to one class.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Longest response time, ms, at which a response still has its full value.
    pub latency_objective: Millis,
    /// Upper bound of the time that a client waits for a response, including the client's own retries, ms;
    /// 0 means that the class sets no bound.
    pub deadline: Millis,
    /// Value of a response that arrives after the latency objective, as a share of its full value, from 0
    /// to 1.
    pub late_value: f64,
    /// Value of one unit of a request in this class, relative to the other classes.
    pub priority_weight: f64,
    /// Whether a request of this class may be executed more than once.
    pub idempotency: Idempotency,
}

/// The quota and limits of a tenant. They apply to each tenant of the plan separately, and to its requests at
/// all gateways together.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Refill rate of the quota's token bucket, units per second; 0 means that there is no quota.
    pub rate: f64,
    /// Size of the quota's token bucket, units.
    pub burst: f64,
    /// Maximum number of attempts that a tenant may have in flight at once; 0 means that there is no limit.
    /// The limit is checked when a request is admitted, and only for tenants whose usage is counted in
    /// batches.
    pub max_in_flight: f64,
    /// Refill rate of the hard ceiling's token bucket, units per second; 0 means that there is no ceiling.
    pub ceiling_rate: f64,
    /// Size of the hard ceiling's token bucket, units. Each gateway that receives the tenant's requests keeps
    /// an equal part of the bucket, which is empty at first.
    pub ceiling_burst: f64,
    /// Factor by which the priority weight of the class is multiplied for requests of tenants with this plan.
    pub priority_multiplier: f64,
}

/// The settings of a gateway's policy. The socket layer uses some of them as well.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of gateways in the deployment, including this one.
    pub fleet_gateway_count: f64,
    /// The classes of requests, indexed by [`ClassId`](crate::ids::ClassId).
    pub classes: Vec<Class>,
    /// The plans of tenants, indexed by [`PlanId`](crate::ids::PlanId).
    pub plans: Vec<Plan>,
    /// Maximum number of units that one request may consume.
    pub max_units: f64,
    /// Maximum number of attempts per request, including retries and hedged requests; 0 means that there is
    /// no limit.
    pub max_attempts: u32,
    /// Whether the gateway may send hedged requests, so that a request has two attempts in flight.
    pub hedging_allowed: bool,
    /// Whether the gateway may cancel attempts that are in flight.
    pub cancellation_allowed: bool,
    /// Longest `Retry-After` that clients obey, ms. Longer times are reduced to this maximum; 0 means that
    /// responses state no time.
    pub max_retry_after: Millis,
    /// Whether the gateway calls the counter service.
    pub counter_enabled: bool,
    /// Time within which the counter service answers a call if the service's queue is short enough, ms. This
    /// time is the lower bound of the timeout that
    /// [`counter_call_timeout`](crate::policy::counter_call_timeout) returns.
    pub counter_timeout: Millis,
    /// Whether discovery sends endpoint lists only on request. If so, the policy returns
    /// [`Action::WatchEndpoints`](crate::action::Action::WatchEndpoints) for its first event.
    pub poll_endpoints: bool,
    /// Share of its full capacity, from 0 to 1, that a server has when it starts.
    pub slow_start_capacity: f64,
    /// Time from a server's start until the server has its full capacity, ms.
    pub slow_start_window: Millis,
}
