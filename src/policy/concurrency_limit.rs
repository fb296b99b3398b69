//! The concurrency limit: additive increase and multiplicative decrease (AIMD) of the attempts that this
//! gateway has in flight, steered by response times.

use crate::ids::Millis;

/// Attempts for each server that the limit starts with, over all gateways.
const INITIAL_PER_SERVER: f64 = 8.0;
/// Attempts for each server that the limit never falls below, over all gateways.
const MIN_PER_SERVER: f64 = 2.0;
/// Least limit of a gateway that uses all servers.
const MIN_LIMIT: f64 = 2.0;
/// Mean response time, as a share of the latency objective, at which the limit starts to fall.
const DECREASE_THRESHOLD: f64 = 0.27;
/// A response time counts for this many latency objectives at most.
const MAX_SLOWNESS: f64 = 2.0;
/// The limit rises only while more than this share of it is used.
const INCREASE_UTILIZATION: f64 = 0.6;
/// Below this share of the limit there is room for hedged requests.
const HEDGE_UTILIZATION: f64 = 0.8;

/// How fast the limit follows; a gateway on a subset of the servers sees fewer samples and follows faster.
struct Gains {
    slowness: f64,
    step: f64,
}

const USUAL_GAINS: Gains = Gains { slowness: 0.03, step: 0.01 };
const SUBSET_GAINS: Gains = Gains { slowness: 0.1, step: 0.05 };

/// Attempts that this gateway may have in flight.
#[derive(Default)]
pub(super) struct ConcurrencyLimit {
    /// `None` until the first list that names a server.
    limit: Option<f64>,
    in_flight: f64,
    /// Mean response time as a share of the latency objectives.
    slowness: f64,
    /// Nothing is sent before this: below one attempt the limit is kept by pausing.
    paced_until: Option<Millis>,
}

impl ConcurrencyLimit {
    /// Sets the limit at the first list; `servers_per_gateway` of the whole fleet.
    pub(super) fn initialize(&mut self, servers_per_gateway: f64) {
        if self.limit.is_none() && servers_per_gateway > 0.0 {
            self.limit = Some(INITIAL_PER_SERVER * servers_per_gateway);
        }
    }

    /// Attempts that may be in flight at once.
    pub(super) fn limit(&self) -> f64 {
        self.limit.unwrap_or(0.0)
    }

    /// Whether one more attempt may start now.
    pub(super) fn has_capacity(&self, now: Millis) -> bool {
        self.in_flight < self.limit().max(1.0) && self.paced_until.is_none_or(|until| now >= until)
    }

    pub(super) fn is_exhausted(&self) -> bool {
        self.in_flight >= self.limit()
    }

    pub(super) fn has_room_for_hedging(&self) -> bool {
        self.in_flight < HEDGE_UTILIZATION * self.limit()
    }

    pub(super) fn attempt_started(&mut self) {
        self.in_flight += 1.0;
    }

    pub(super) fn attempt_ended(&mut self) {
        self.in_flight = (self.in_flight - 1.0).max(0.0);
    }

    /// Takes a response time, ms, as evidence; called once the attempt has ended.
    pub(super) fn record_latency(
        &mut self,
        now: Millis,
        latency: Millis,
        objective: Millis,
        servers_per_gateway: f64,
        subset_active: bool,
    ) {
        let gains = if subset_active { SUBSET_GAINS } else { USUAL_GAINS };
        let ratio = (latency / objective.max(1.0)).min(MAX_SLOWNESS);
        self.slowness += gains.slowness * (ratio - self.slowness);
        let limit = self.limit();
        let limit = if self.slowness > DECREASE_THRESHOLD {
            decrease(limit, gains.step, servers_per_gateway, subset_active)
        } else {
            self.increase(limit, gains.step, servers_per_gateway, subset_active)
        };
        self.limit = Some(limit);
        let pause = latency * (1.0 / limit - 1.0);
        self.paced_until = (pause > 0.0).then_some(now + pause);
    }

    fn increase(&self, limit: f64, step: f64, servers_per_gateway: f64, subset_active: bool) -> f64 {
        let used = INCREASE_UTILIZATION * limit;
        if subset_active && self.in_flight + 1.0 > used {
            (limit * (1.0 + step)).min(INITIAL_PER_SERVER * servers_per_gateway)
        } else if self.in_flight > used {
            limit + 1.0 / limit.max(1.0)
        } else {
            limit
        }
    }
}

/// Fewer attempts than the minimum cannot be a queue of this gateway's own: the servers are then slow for
/// other causes, and a lower limit would only serve less, without end.
fn decrease(limit: f64, step: f64, servers_per_gateway: f64, subset_active: bool) -> f64 {
    let minimum = MIN_PER_SERVER * servers_per_gateway;
    let minimum = if subset_active { minimum } else { minimum.max(MIN_LIMIT) };
    (limit * (1.0 - step)).max(minimum)
}
