//! What a gateway is told once, at its start: request classes, plans and the limits of the deployment.
//!
//! The configuration file and the simulator name these fields otherwise; `docs/GLOSSARY.md` maps the names,
//! and [`crate::config`] reads both forms.

use crate::ids::Millis;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Idempotency {
    /// Any number of executions is harmless.
    #[default]
    Idempotent,
    /// Servers of one scope drop repeated executions of the same idempotency key.
    IdempotencyKey {
        /// The servers that share the keys they have seen.
        scope: DeduplicationScope,
        /// How long they remember a key, from the start of the first attempt; ms.
        window: Millis,
    },
    /// At most one execution.
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
    /// A response within this span earns its full value; ms.
    pub latency_objective: Millis,
    /// How long a client waits in all, over its retries; ms. 0: requests are not bounded by it.
    pub deadline: Millis,
    /// Share of the value that a response after the latency objective still earns, 0 to 1.
    pub late_value: f64,
    /// Value of one unit beside that of other classes.
    pub priority_weight: f64,
    /// Whether a request may be executed again.
    pub idempotency: Idempotency,
}

/// A plan: the quotas of each tenant, over all gateways together.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Refill of the token bucket, units a second; 0: no such quota.
    pub rate: f64,
    /// Size of the token bucket, units.
    pub burst: f64,
    /// Attempts in flight at once, for tenants that are counted in batches; 0: no such quota.
    pub max_in_flight: f64,
    /// Refill of the hard ceiling's token bucket, units a second; 0: no ceiling.
    pub ceiling_rate: f64,
    /// Size of the ceiling's token bucket, units. Each gateway keeps a part of it, which is empty at first.
    pub ceiling_burst: f64,
    /// Multiplier on the class's priority weight.
    pub priority_multiplier: f64,
}

/// Everything a gateway's decisions are told at the start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Gateways of the fleet.
    pub gateway_count: f64,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Plans of tenants.
    pub plans: Vec<Plan>,
    /// The most units that one request counts for.
    pub max_units: f64,
    /// Attempts that a request may have; 0: no limit.
    pub max_attempts: u32,
    /// A request may have two attempts in flight at once.
    pub hedging_allowed: bool,
    /// Attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Longest `Retry-After` that clients follow; ms.
    pub max_retry_after: Millis,
    /// There is a counter service.
    pub counter_enabled: bool,
    /// The counter answers a call within this unless it queues too long; ms. How long a call is waited for
    /// follows from it, see [`counter_call_timeout`](crate::policy::counter_call_timeout).
    pub counter_timeout: Millis,
    /// Endpoint lists come only when asked for.
    pub poll_endpoints: bool,
    /// Share of its capacity that a server has at its start, 0 to 1.
    pub slow_start_capacity: f64,
    /// Span after which a started server has its full capacity; ms.
    pub slow_start_window: Millis,
}
