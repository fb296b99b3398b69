//! A plan's hard ceiling: a token bucket that each gateway keeps for its own part of a tenant's traffic.
//!
//! Guards against many gateways that together exceed the ceiling because they cannot hear each other, have
//! just restarted or find the counter down. It holds whatever the counter says, since the parts add up to the
//! whole and a part is empty at the start. The cost: traffic that gathers on one gateway has to wait for that
//! gateway's part.

use crate::ids::Millis;
use crate::settings::Plan;

/// This gateway's part of a tenant's ceiling.
pub(super) struct CeilingBucket {
    /// Refill of the whole ceiling, units a second; `None` if the plan has no ceiling.
    rate: Option<f64>,
    /// Size of the whole ceiling's bucket, units.
    burst: f64,
    /// Gateways that share the ceiling.
    gateway_count: f64,
    /// Units that may be forwarded now. Below 0 for a tenant without a ceiling.
    tokens: f64,
}

impl CeilingBucket {
    pub(super) fn new(plan: &Plan, gateway_count: f64) -> Self {
        let rate = Some(plan.ceiling_rate).filter(|rate| *rate > 0.0);
        CeilingBucket { rate, burst: plan.ceiling_burst, gateway_count, tokens: 0.0 }
    }

    /// Refills the bucket for `seconds` that have passed.
    pub(super) fn refill(&mut self, seconds: f64) {
        let Some(rate) = self.rate else { return };
        let refilled = self.tokens + seconds * rate / self.gateway_count;
        self.tokens = refilled.min(self.burst / self.gateway_count);
    }

    /// Takes the units of a first attempt; further attempts are free.
    pub(super) fn spend(&mut self, units: f64) {
        self.tokens -= units;
    }

    /// Whether forwarding so many units now would exceed this gateway's part.
    pub(super) fn is_short_of(&self, units: f64) -> bool {
        self.rate.is_some() && self.tokens < units
    }

    /// Time until the bucket holds so many units at its rate; ms. A request of more than this gateway's part
    /// of the burst is never admitted, which this does not say.
    pub(super) fn time_until_available(&self, units: f64) -> Millis {
        let Some(rate) = self.rate else { return 0.0 };
        let missing = (units - self.tokens).max(0.0);
        1000.0 * missing * self.gateway_count / rate
    }

    /// Time in which an empty ceiling refills whole; ms.
    pub(super) fn refill_time(&self) -> Millis {
        self.rate.map_or(0.0, |rate| 1000.0 * self.burst / rate)
    }
}
