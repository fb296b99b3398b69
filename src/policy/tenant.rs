//! What a gateway knows of one tenant.

use super::batched_usage::BatchedUsage;
use super::ceiling::CeilingBucket;
use super::counter_key::COUNTER_KEY_SPAN;
use super::disposition::Disposition;
use super::low_traffic::LowTrafficUsage;
use super::quota::Quota;
use crate::ids::Millis;
use crate::settings::Plan;

/// A tenant idle for this long is forgotten, ms, once its buckets have refilled. At least the span of a
/// counter key, so that a key's old units are not read again; much longer would keep all that come only once.
const EVICT_IDLE_AFTER: Millis = COUNTER_KEY_SPAN;
/// A gateway sees too little of a tenant to count in batches where its part of the burst is under this share
/// of the largest request.
const LOW_TRAFFIC_SHARE: f64 = 0.75;
/// The same for a tenant with a ceiling.
const LOW_TRAFFIC_SHARE_WITH_CEILING: f64 = 2.0;

/// How a tenant's use of its quota is followed.
pub(super) enum Usage {
    /// Counted here and sent to the counter in batches.
    Batched(BatchedUsage),
    /// Reserved on the counter, one call a request: this gateway alone sees too little of it.
    LowTraffic(LowTrafficUsage),
}

/// One tenant at this gateway.
pub(super) struct Tenant {
    pub(super) plan: Plan,
    /// Gateways that the tenant's requests come in through; at least 1.
    gateway_count: f64,
    last_seen: Millis,
    /// Attempts in flight.
    in_flight: f64,
    pub(super) ceiling: CeilingBucket,
    /// When the token buckets were last refilled.
    refilled_at: Millis,
    pub(super) usage: Usage,
}

impl Tenant {
    /// A tenant that has just come. Its buckets have refilled since `started_at`, when this gateway started;
    /// `max_units` is the size of the largest request.
    pub(super) fn new(
        plan: Plan,
        gateway_count: f64,
        max_units: f64,
        started_at: Millis,
        now: Millis,
    ) -> Self {
        let gateway_count = gateway_count.max(1.0);
        let quota = Quota { rate: plan.rate, burst: plan.burst, gateway_count };
        let usage = if is_low_traffic(&plan, gateway_count, max_units) {
            Usage::LowTraffic(LowTrafficUsage::new(quota, plan.ceiling_rate > 0.0))
        } else {
            Usage::Batched(BatchedUsage::new(quota, now))
        };
        let ceiling = CeilingBucket::new(&plan, gateway_count);
        Tenant {
            plan,
            gateway_count,
            last_seen: now,
            in_flight: 0.0,
            ceiling,
            refilled_at: started_at,
            usage,
        }
    }

    /// Whether there is a quota, and so something to count.
    pub(super) fn has_quota(&self) -> bool {
        self.plan.rate > 0.0
    }

    pub(super) fn mark_seen(&mut self, now: Millis) {
        self.last_seen = now;
    }

    /// Ages the sliding window and refills the token buckets.
    pub(super) fn advance_to(&mut self, now: Millis) {
        let seconds = (now - self.refilled_at).max(0.0) / 1000.0;
        self.refilled_at = now;
        if let Usage::Batched(usage) = &mut self.usage {
            usage.advance_to(now, seconds);
        }
        self.ceiling.refill(seconds);
    }

    /// Counts a request that was forwarded or declined here. `max_cache_age` as of
    /// [`CounterHealth::max_cache_age`](super::counter_health::CounterHealth::max_cache_age).
    pub(super) fn record(
        &mut self,
        now: Millis,
        disposition: Disposition,
        units: f64,
        max_cache_age: Option<Millis>,
    ) {
        if disposition == Disposition::Forwarded {
            self.ceiling.spend(units);
        }
        if let Usage::Batched(usage) = &mut self.usage {
            usage.record(now, disposition, units, max_cache_age);
        }
    }

    pub(super) fn attempt_started(&mut self) {
        self.in_flight += 1.0;
    }

    pub(super) fn attempt_ended(&mut self) {
        self.in_flight = (self.in_flight - 1.0).max(0.0);
    }

    /// Whether this gateway's part of the plan's limit on attempts in flight is used up. Each keeps to a fair
    /// part, at least one attempt: that holds a limit of one attempt a gateway or more though the gateways
    /// cannot hear each other. A tenant that gathers on one gateway waits for a slot.
    pub(super) fn is_at_in_flight_limit(&self) -> bool {
        let limit = self.plan.max_in_flight;
        limit > 0.0 && self.in_flight >= (limit / self.gateway_count).floor().max(1.0)
    }

    /// When a rejected request of so many units may be admitted, ms from now.
    pub(super) fn time_until_admission(&self, units: f64) -> Millis {
        let missing = match &self.usage {
            Usage::LowTraffic(_) => units,
            Usage::Batched(usage) => usage.units_short_of(units),
        };
        let refill = if self.has_quota() { 1000.0 * missing / self.plan.rate } else { 0.0 };
        refill.max(self.ceiling.time_until_available(units))
    }

    /// Nothing is left to remember of a tenant that has not come for so long.
    pub(super) fn is_evictable(&self, now: Millis) -> bool {
        let quota_refill = if self.has_quota() { 1000.0 * self.plan.burst / self.plan.rate } else { 0.0 };
        let rest = quota_refill.max(self.ceiling.refill_time()).max(EVICT_IDLE_AFTER);
        let has_pending_calls = match &self.usage {
            Usage::Batched(usage) => usage.has_pending_calls(),
            Usage::LowTraffic(usage) => usage.has_pending_calls(),
        };
        now - self.last_seen >= rest && self.in_flight <= 0.0 && !has_pending_calls
    }
}

fn is_low_traffic(plan: &Plan, gateway_count: f64, max_units: f64) -> bool {
    let share = if plan.ceiling_rate > 0.0 { LOW_TRAFFIC_SHARE_WITH_CEILING } else { LOW_TRAFFIC_SHARE };
    plan.rate > 0.0 && plan.burst < share * gateway_count * max_units
}
