//! The state that a gateway keeps for one tenant.

use super::batched_usage::BatchedUsage;
use super::ceiling::CeilingBucket;
use super::counter_key::COUNTER_KEY_PERIOD;
use super::disposition::Disposition;
use super::low_traffic::LowTrafficUsage;
use super::quota::Quota;
use crate::ids::Millis;
use crate::settings::Plan;

/// Minimum time, ms, that a tenant has to be idle before it is evicted. The idle time must also be long
/// enough for the tenant's buckets to refill, and no attempt or counter call of the tenant may be in flight.
/// The minimum is the period of a counter key, so that a tenant that returns after its eviction uses a new
/// key and does not read the units on its old key again. A much longer time would keep every tenant that
/// sends a single request in memory.
const EVICT_IDLE_AFTER: Millis = COUNTER_KEY_PERIOD;
/// A tenant with a quota but no ceiling is a low-traffic tenant if one gateway's part of the burst is below
/// this factor times the units of the largest request. The gateway then receives too few of the tenant's
/// requests to count them in batches.
const LOW_TRAFFIC_FACTOR: f64 = 0.75;
/// A tenant with a quota and a ceiling is a low-traffic tenant if one gateway's part of the burst is below
/// this factor times the units of the largest request.
const LOW_TRAFFIC_FACTOR_WITH_CEILING: f64 = 2.0;

/// How the gateway tracks a tenant's usage of its quota.
pub(super) enum Usage {
    /// The gateway counts units itself and sends them to the counter in batches.
    Batched(BatchedUsage),
    /// The gateway reserves units on the counter for individual requests, because it receives too few of the
    /// tenant's requests to estimate the usage itself.
    LowTraffic(LowTrafficUsage),
}

/// State of one tenant at this gateway.
pub(super) struct Tenant {
    pub(super) plan: Plan,
    /// Number of gateways that receive the tenant's requests; at least 1.
    gateway_count: f64,
    last_seen: Millis,
    /// When a request of the tenant was last forwarded; `None` if none was.
    last_forwarded: Option<Millis>,
    /// Number of the tenant's requests that have no final answer.
    open_requests: u32,
    /// Number of the tenant's attempts that this gateway has in flight.
    in_flight: f64,
    pub(super) ceiling: CeilingBucket,
    /// Time up to which the token buckets have been refilled; initially the time at which this gateway
    /// started.
    refilled_at: Millis,
    pub(super) usage: Usage,
}

impl Tenant {
    /// Creates the state for a tenant that has no state at this gateway, when a request of the tenant arrives
    /// at `now`. The ceiling's bucket is empty at `started_at`, the time at which this gateway started, and
    /// refills from then on. `max_units` is the number of units of the largest request.
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
            last_forwarded: None,
            open_requests: 0,
            in_flight: 0.0,
            ceiling,
            refilled_at: started_at,
            usage,
        }
    }

    /// Whether the plan has a quota. If it has none, the tenant's units are neither counted nor sent to the
    /// counter.
    pub(super) fn has_quota(&self) -> bool {
        self.plan.rate > 0.0
    }

    /// Whether the plan has a quota or a ceiling.
    pub(super) fn is_limited(&self) -> bool {
        self.has_quota() || self.plan.ceiling_rate > 0.0
    }

    /// Records that a request of the tenant has arrived.
    pub(super) fn request_arrived(&mut self, now: Millis) {
        self.last_seen = now;
        self.open_requests += 1;
    }

    /// Records that a request of the tenant has its final answer or that its client has disconnected.
    pub(super) fn request_finished(&mut self) {
        self.open_requests = self.open_requests.saturating_sub(1);
    }

    /// Advances the sliding window of the quota, if there is one, and refills the token buckets up to `now`.
    pub(super) fn advance_to(&mut self, now: Millis) {
        let seconds = (now - self.refilled_at).max(0.0) / 1000.0;
        self.refilled_at = now;
        let has_quota = self.has_quota();
        match &mut self.usage {
            Usage::Batched(usage) if has_quota => usage.advance_to(now, seconds),
            Usage::Batched(_) | Usage::LowTraffic(_) => {}
        }
        self.ceiling.refill(seconds);
    }

    /// Counts the units of a request that this gateway forwarded or did not forward, against the quota and the
    /// ceiling that the plan has. For `max_cache_age` see
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
            self.last_forwarded = Some(now);
        }
        let has_quota = self.has_quota();
        match &mut self.usage {
            Usage::Batched(usage) if has_quota => usage.record(now, disposition, units, max_cache_age),
            Usage::Batched(_) | Usage::LowTraffic(_) => {}
        }
    }

    pub(super) fn attempt_started(&mut self) {
        self.in_flight += 1.0;
    }

    pub(super) fn attempt_ended(&mut self) {
        self.in_flight = (self.in_flight - 1.0).max(0.0);
    }

    /// Whether this gateway's part of the plan's limit on attempts in flight is used up. Each gateway allows
    /// an equal part of the limit, but at least one attempt. If the limit allows at least one attempt per
    /// gateway, the gateways together therefore never exceed it, although they do not communicate. The cost
    /// is that a tenant whose requests all arrive at one gateway cannot use the parts of the other gateways:
    /// the tenant has to wait until one of its attempts at that one gateway ends.
    pub(super) fn is_at_in_flight_limit(&self) -> bool {
        let limit = self.plan.max_in_flight;
        limit > 0.0 && self.in_flight >= (limit / self.gateway_count).floor().max(1.0)
    }

    /// Estimated time until a rejected request of `units` may be admitted, ms. For a low-traffic tenant, the
    /// estimate assumes that the quota is used up.
    pub(super) fn time_until_admission(&self, units: f64) -> Millis {
        let missing = match &self.usage {
            Usage::LowTraffic(_) => units,
            Usage::Batched(usage) => usage.missing_units(units),
        };
        let refill = if self.has_quota() { 1000.0 * missing / self.plan.rate } else { 0.0 };
        refill.max(self.ceiling.time_until_available(units))
    }

    /// Whether the tenant's state can be dropped: the tenant has been idle for long enough, its buckets have
    /// refilled, and none of its attempts or counter calls is in flight.
    pub(super) fn is_evictable(&self, now: Millis) -> bool {
        let required_idle_time = self.refill_time().max(EVICT_IDLE_AFTER);
        now - self.last_seen >= required_idle_time && self.in_flight <= 0.0 && !self.has_pending_calls()
    }

    /// Whether the tenant's state can be dropped when there is no room for another tenant: it has no open
    /// request, and its buckets have refilled since a request of the tenant was last forwarded. A client that
    /// sends requests of ever new tenants can then replace its own tenants, but not those that use their quota.
    pub(super) fn is_replaceable(&self, now: Millis) -> bool {
        let is_refilled = self.last_forwarded.is_none_or(|last| now - last >= self.refill_time());
        is_refilled && self.open_requests == 0 && self.in_flight <= 0.0 && !self.has_pending_calls()
    }

    /// Time in which the buckets of the quota and the ceiling refill, ms.
    fn refill_time(&self) -> Millis {
        let quota_refill = if self.has_quota() { 1000.0 * self.plan.burst / self.plan.rate } else { 0.0 };
        quota_refill.max(self.ceiling.refill_time())
    }

    fn has_pending_calls(&self) -> bool {
        match &self.usage {
            Usage::Batched(usage) => usage.has_pending_calls(),
            Usage::LowTraffic(usage) => usage.has_pending_calls(),
        }
    }
}

fn is_low_traffic(plan: &Plan, gateway_count: f64, max_units: f64) -> bool {
    let factor = if plan.ceiling_rate > 0.0 { LOW_TRAFFIC_FACTOR_WITH_CEILING } else { LOW_TRAFFIC_FACTOR };
    plan.rate > 0.0 && plan.burst < factor * gateway_count * max_units
}
