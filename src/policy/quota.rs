//! A tenant's quota, and how far the check of one request against it has come.

use crate::ids::{CounterKey, Millis};

/// Multiple of the quota past which nothing beyond it is admitted by chance. Close to 1, as what passes
/// beyond the quota earns nothing.
pub(super) const HARD_LIMIT_FACTOR: f64 = 1.05;

/// The quota of one tenant, over all its gateways.
#[derive(Clone, Copy)]
pub(super) struct Quota {
    /// Refill of the token bucket, units a second.
    pub(super) rate: f64,
    /// Size of the token bucket, units.
    pub(super) burst: f64,
    /// Gateways that the tenant's requests come in through; at least 1.
    pub(super) gateway_count: f64,
}

impl Quota {
    /// Width of the sliding window, ms: in it the rate yields the burst.
    pub(super) fn window(&self) -> Millis {
        1000.0 * self.burst / self.rate
    }
}

/// Units reserved on the counter for a request, and for those that it stands for.
#[derive(Clone, Copy)]
pub(super) struct Reservation {
    pub(super) key: CounterKey,
    pub(super) units: f64,
}

/// How far the quota check of a low-traffic tenant's request has come.
#[derive(Default)]
pub(super) struct QuotaCheck {
    /// The reply to its reservation is still to come.
    pub(super) awaiting_counter: bool,
    /// The quota admits it; it is not asked again.
    pub(super) admitted: bool,
    pub(super) reservation: Option<Reservation>,
    /// The use of the quota with this request, as read from the counter; units.
    pub(super) observed_usage: Option<f64>,
}
