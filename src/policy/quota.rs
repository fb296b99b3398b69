//! A tenant's quota, and the state of the check of one request against the quota.

use crate::ids::{CounterKey, Millis};

/// Multiple of the burst at which probabilistic rejection ends. If the demand reaches this multiple, or the
/// usage of a low-traffic tenant exceeds it, every request beyond the quota is rejected. The multiple is
/// close to 1 because units forwarded beyond the quota earn nothing.
pub(super) const HARD_LIMIT_FACTOR: f64 = 1.05;

/// The quota of one tenant, which applies to all gateways together.
#[derive(Clone, Copy)]
pub(super) struct Quota {
    /// Refill rate of the token bucket, units per second.
    pub(super) rate: f64,
    /// Size of the token bucket, units.
    pub(super) burst: f64,
    /// Number of gateways that receive the tenant's requests; at least 1.
    pub(super) gateway_count: f64,
}

impl Quota {
    /// Width of the sliding window, ms: the time in which the rate refills the whole burst.
    pub(super) fn window(&self) -> Millis {
        1000.0 * self.burst / self.rate
    }
}

/// Units reserved on the counter for a request. At a backoff factor above 1, a reservation also covers the
/// requests that are checked without a counter call.
#[derive(Clone, Copy)]
pub(super) struct Reservation {
    pub(super) key: CounterKey,
    pub(super) units: f64,
}

/// State of the quota check of a low-traffic tenant's request.
#[derive(Default)]
pub(super) struct QuotaCheck {
    /// Whether the counter call that makes the request's reservation is still in flight.
    pub(super) awaiting_counter: bool,
    /// Whether the quota has admitted the request. An admitted request is not checked against the quota
    /// again.
    pub(super) admitted: bool,
    pub(super) reservation: Option<Reservation>,
    /// Usage of the quota including this request, units, from the reply to its reservation or from a cached
    /// read. `None` if the usage has not been read for this request.
    pub(super) observed_usage: Option<f64>,
}
