//! The concurrency limit: the number of attempts that this gateway may have in flight. Response times control
//! the limit by additive increase and multiplicative decrease (AIMD). A gateway that uses a subset of the
//! servers increases the limit multiplicatively too.

use crate::ids::Millis;

/// Initial limit: attempts in flight to each server, summed over all gateways. While a gateway uses a subset
/// of the servers, this is also the upper bound for increases of its limit.
const INITIAL_ATTEMPTS_PER_SERVER: f64 = 8.0;
/// Lower bound of the limit: attempts in flight to each server, summed over all gateways.
const MIN_ATTEMPTS_PER_SERVER: f64 = 2.0;
/// Further lower bound of the limit of a gateway that uses all servers, in attempts of this gateway.
const MIN_LIMIT: f64 = 2.0;
/// Mean response time, as a share of the latency objective, above which the limit decreases.
const DECREASE_LATENCY_RATIO: f64 = 0.27;
/// Upper bound of one sample of the response time, as a multiple of the latency objective.
const MAX_LATENCY_RATIO: f64 = 2.0;
/// Share of the limit that must be in use before the limit increases. A gateway that uses a subset of the
/// servers includes the attempt that has just ended.
const INCREASE_UTILIZATION: f64 = 0.6;
/// Hedged requests may be sent while less than this share of the limit is in use.
const HEDGE_UTILIZATION: f64 = 0.8;

/// Upper bound, ms, of the pause after an attempt. Without it, one attempt that timed out would keep a gateway
/// with a limit far below one attempt from noticing for a minute that the servers respond again.
const MAX_PAUSE: Millis = 5000.0;

/// How strongly one response time changes the mean latency ratio and the limit.
struct Gains {
    /// Weight of a sample in the mean latency ratio.
    latency_ratio_gain: f64,
    /// Share of the limit by which one step decreases the limit. A gateway that uses a subset of the servers
    /// also increases its limit by this share.
    limit_step: f64,
}

/// Gains of a gateway that uses all servers.
const DEFAULT_GAINS: Gains = Gains { latency_ratio_gain: 0.03, limit_step: 0.01 };
/// Gains of a gateway that uses a subset of the servers. They are larger because such a gateway gets
/// fewer samples.
const SUBSET_GAINS: Gains = Gains { latency_ratio_gain: 0.1, limit_step: 0.05 };

/// The last attempt that succeeded or timed out.
#[derive(Clone, Copy)]
struct LastSample {
    ended_at: Millis,
    latency: Millis,
}

impl LastSample {
    /// The time before which no further attempt may start. Such pauses enforce a limit below one attempt; a
    /// higher limit needs none.
    fn paused_until(&self, limit: f64) -> Millis {
        self.ended_at + (self.latency * (1.0 / limit - 1.0)).min(MAX_PAUSE)
    }
}

/// The concurrency limit of this gateway and the state that controls it.
#[derive(Default)]
pub(super) struct ConcurrencyLimit {
    /// `None` until the first endpoint list that contains a server; greater than 0 from then on.
    limit: Option<f64>,
    /// Attempts of this gateway in flight.
    attempts_in_flight: f64,
    /// Mean response time as a share of the latency objective; 0 before the first sample.
    latency_ratio: f64,
    last_sample: Option<LastSample>,
}

impl ConcurrencyLimit {
    /// Sets the initial limit once servers are known, and raises a limit that is below the minimum for the
    /// servers that are listed now. `servers_per_gateway` is the number of servers divided by the number of
    /// gateways in the fleet.
    ///
    /// Without the second part, a limit that fell while few servers were listed would stay low after the
    /// others have returned: only the end of an attempt raises it, and a low limit allows few attempts.
    pub(super) fn update_server_count(&mut self, servers_per_gateway: f64) {
        if servers_per_gateway > 0.0 {
            let limit = self.limit.unwrap_or(INITIAL_ATTEMPTS_PER_SERVER * servers_per_gateway);
            self.limit = Some(limit.max(MIN_ATTEMPTS_PER_SERVER * servers_per_gateway));
        }
    }

    /// Attempts that may be in flight at once.
    pub(super) fn limit(&self) -> f64 {
        self.limit.unwrap_or(0.0)
    }

    /// Whether one more attempt may start now.
    pub(super) fn has_capacity(&self, now: Millis) -> bool {
        let limit = self.limit();
        let paused = self.last_sample.is_some_and(|sample| now < sample.paused_until(limit));
        self.attempts_in_flight < limit.max(1.0) && !paused
    }

    pub(super) fn is_exhausted(&self) -> bool {
        self.attempts_in_flight >= self.limit()
    }

    pub(super) fn has_room_for_hedging(&self) -> bool {
        self.attempts_in_flight < HEDGE_UTILIZATION * self.limit()
    }

    pub(super) fn attempt_started(&mut self) {
        self.attempts_in_flight += 1.0;
    }

    pub(super) fn attempt_ended(&mut self) {
        self.attempts_in_flight = (self.attempts_in_flight - 1.0).max(0.0);
    }

    /// Adjusts the limit after an attempt that succeeded or timed out. `latency` is the duration of the
    /// attempt and `objective` the latency objective of its class, both in ms. While no server is listed, the
    /// limit stays as it is: its bounds are 0 then, and with a limit of 0 the pause after the attempt would
    /// never end.
    pub(super) fn record_latency(
        &mut self,
        now: Millis,
        latency: Millis,
        objective: Millis,
        servers_per_gateway: f64,
        subset_active: bool,
    ) {
        let gains = if subset_active { SUBSET_GAINS } else { DEFAULT_GAINS };
        let ratio = (latency / objective.max(1.0)).min(MAX_LATENCY_RATIO);
        self.latency_ratio += gains.latency_ratio_gain * (ratio - self.latency_ratio);
        self.last_sample = Some(LastSample { ended_at: now, latency });
        if servers_per_gateway <= 0.0 {
            return;
        }
        let limit = self.limit();
        let limit = if self.latency_ratio > DECREASE_LATENCY_RATIO {
            decrease(limit, gains.limit_step, servers_per_gateway, subset_active)
        } else {
            self.increase(limit, gains.limit_step, servers_per_gateway, subset_active)
        };
        self.limit = Some(limit);
    }

    fn increase(&self, limit: f64, limit_step: f64, servers_per_gateway: f64, subset_active: bool) -> f64 {
        let busy_threshold = INCREASE_UTILIZATION * limit;
        if subset_active && self.attempts_in_flight + 1.0 > busy_threshold {
            (limit * (1.0 + limit_step)).min(INITIAL_ATTEMPTS_PER_SERVER * servers_per_gateway)
        } else if self.attempts_in_flight > busy_threshold {
            limit + 1.0 / limit.max(1.0)
        } else {
            limit
        }
    }
}

/// Decreases the limit, but not below the minimum. With so few attempts in flight, this gateway's load is
/// assumed not to be the cause of slow responses, and a lower limit would only reduce the throughput.
fn decrease(limit: f64, limit_step: f64, servers_per_gateway: f64, subset_active: bool) -> f64 {
    let minimum = MIN_ATTEMPTS_PER_SERVER * servers_per_gateway;
    let minimum = if subset_active { minimum } else { minimum.max(MIN_LIMIT) };
    (limit * (1.0 - limit_step)).max(minimum)
}
