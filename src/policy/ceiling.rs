//! A plan's hard ceiling: each gateway keeps a token bucket with an equal part of the tenant's ceiling.
//!
//! With these buckets, the gateways together do not exceed the ceiling even if they cannot communicate,
//! have just restarted or cannot reach the counter. The ceiling holds independently of the counter, because
//! the parts add up to the whole ceiling and each part is empty when its gateway starts. The cost is that
//! traffic concentrated on one gateway has to wait until the part of that gateway has refilled.

use crate::ids::Millis;
use crate::settings::Plan;

/// This gateway's part of a tenant's ceiling.
pub(super) struct CeilingBucket {
    /// Refill rate of the whole ceiling, units per second; `None` if the plan has no ceiling.
    rate: Option<f64>,
    /// Burst of the whole ceiling, units.
    burst: f64,
    /// Number of gateways that share the ceiling.
    gateway_count: f64,
    /// Units that may be forwarded now. If the plan has no ceiling, the bucket is never refilled, and this
    /// number falls below 0 and is ignored.
    tokens: f64,
}

impl CeilingBucket {
    pub(super) fn new(plan: &Plan, gateway_count: f64) -> Self {
        let rate = Some(plan.ceiling_rate).filter(|rate| *rate > 0.0);
        CeilingBucket { rate, burst: plan.ceiling_burst, gateway_count, tokens: 0.0 }
    }

    /// Refills the bucket for `seconds` of elapsed time.
    pub(super) fn refill(&mut self, seconds: f64) {
        let Some(rate) = self.rate else { return };
        let refilled = self.tokens + seconds * rate / self.gateway_count;
        self.tokens = refilled.min(self.burst / self.gateway_count);
    }

    /// Removes the units of a request from the bucket. This is done for the first attempt only: retries and
    /// hedged requests cost nothing.
    pub(super) fn spend(&mut self, units: f64) {
        self.tokens -= units;
    }

    /// Whether forwarding `units` now would exceed this gateway's part of the ceiling.
    pub(super) fn is_short_of(&self, units: f64) -> bool {
        self.rate.is_some() && self.tokens < units
    }

    /// Time until the refill rate has added enough tokens for `units`, ms. The result ignores the bucket's
    /// capacity: a request of more units than this gateway's part of the burst is never admitted.
    pub(super) fn time_until_available(&self, units: f64) -> Millis {
        let Some(rate) = self.rate else { return 0.0 };
        let missing = (units - self.tokens).max(0.0);
        1000.0 * missing * self.gateway_count / rate
    }

    /// Time in which an empty bucket refills completely, ms; 0 if the plan has no ceiling.
    pub(super) fn refill_time(&self) -> Millis {
        self.rate.map_or(0.0, |rate| 1000.0 * self.burst / rate)
    }
}
