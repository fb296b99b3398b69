//! Settings that a gateway gets once, when it starts: request classes, plans and limits of the deployment.
//!
//! The configuration file and the simulator use other names for these fields. `docs/GLOSSARY.md` maps the
//! names, and [`crate::config`] reads both forms.

use crate::ids::Millis;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Idempotency {
    /// The request may be executed any number of times.
    #[default]
    Idempotent,
    /// Servers of one scope execute requests with the same idempotency key only once.
    IdempotencyKey {
        /// The servers among which a repeated key is recognized.
        scope: DeduplicationScope,
        /// How long the servers remember a key, from the start of the first attempt, ms.
        window: Millis,
    },
    /// The request must be executed at most once.
    NonIdempotent,
}

/// Servers that share the idempotency keys they have seen.
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

/// A class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Response time up to which a response has its full value, ms.
    pub latency_objective: Millis,
    /// Total time that a client waits, including its retries, ms; 0 means that the class sets no bound.
    pub deadline: Millis,
    /// Share of its full value that a response has after the latency objective, 0 to 1.
    pub late_value: f64,
    /// Value of one unit of this class relative to the other classes.
    pub priority_weight: f64,
    /// Whether a request of this class may be executed more than once.
    pub idempotency: Idempotency,
}

/// A plan. Its quotas apply to each tenant separately and to all gateways together.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Refill rate of the quota's token bucket, units per second; 0 means that there is no quota.
    pub rate: f64,
    /// Size of the quota's token bucket, units.
    pub burst: f64,
    /// Most attempts that a tenant may have in flight at once; 0 means that there is no such limit. It is
    /// enforced only for tenants that are counted in batches.
    pub max_in_flight: f64,
    /// Refill rate of the hard ceiling's token bucket, units per second; 0 means that there is no ceiling.
    pub ceiling_rate: f64,
    /// Size of the ceiling's token bucket, units. Each gateway keeps an equal part of the bucket, which is
    /// empty at first.
    pub ceiling_burst: f64,
    /// Multiplier of the class's priority weight.
    pub priority_multiplier: f64,
}

/// All settings of a gateway's decisions.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of gateways in the fleet.
    pub fleet_gateway_count: f64,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The plans of tenants.
    pub plans: Vec<Plan>,
    /// Most units that one request consumes.
    pub max_units: f64,
    /// Most attempts that a request may have; 0 means that there is no limit.
    pub max_attempts: u32,
    /// Whether a request may have two attempts in flight at once.
    pub hedging_allowed: bool,
    /// Whether the gateway may cancel attempts.
    pub cancellation_allowed: bool,
    /// Longest `Retry-After` that clients obey, ms.
    pub max_retry_after: Millis,
    /// Whether there is a counter service.
    pub counter_enabled: bool,
    /// Time within which the counter answers a call unless its queue is too long, ms. The timeout of a call
    /// is derived from it by [`counter_call_timeout`](crate::policy::counter_call_timeout).
    pub counter_timeout: Millis,
    /// Whether discovery sends endpoint lists only on request.
    pub poll_endpoints: bool,
    /// Share of its full capacity that a server has when it starts, 0 to 1.
    pub slow_start_capacity: f64,
    /// Time from a server's start until it has its full capacity, ms.
    pub slow_start_window: Millis,
}
