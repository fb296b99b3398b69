//! Slow start: limits the attempts that this gateway sends to a server that has just started.
//!
//! The limit is a rate, the product of two factors. One is the mean rate at which the gateway sends first
//! attempts to a warm server, but at least [`MIN_RATE_PER_SERVER`]. The other is a lower bound of the
//! capacity that the starting server has reached, as a share of the server's full capacity. Without this
//! limit, a burst or the combined traffic of all gateways could overload a server that has only part of its
//! capacity.

use crate::ids::Millis;
use crate::settings::Settings;

/// Lower bound, in attempts per millisecond, of the rate per warm server from which the limit is calculated.
const MIN_RATE_PER_SERVER: f64 = 0.0005;
/// Maximum number of unused attempts that accumulate for a starting server.
const MAX_TOKENS: f64 = 1.0;

/// How the capacity of a starting server grows, as configured in the settings.
pub(super) struct SlowStart {
    /// Share of its full capacity that a server has when it starts.
    initial_capacity: f64,
    /// Time from the start of a server until the server has its full capacity, in ms.
    window: Millis,
}

impl SlowStart {
    pub(super) fn new(settings: &Settings) -> Self {
        SlowStart { initial_capacity: settings.slow_start_capacity, window: settings.slow_start_window }
    }

    /// Lower bound, from 0 to 1, of the capacity that a server has reached by `now`, as a share of the
    /// server's full capacity. The server started at `started_at`; 0 or less means that it started long ago.
    pub(super) fn capacity_fraction(&self, now: Millis, started_at: Millis) -> f64 {
        let age = now - started_at;
        if started_at <= 0.0 || age >= self.window {
            return 1.0;
        }
        self.initial_capacity + (1.0 - self.initial_capacity) * (age / self.window).max(0.0)
    }

    /// Whether a server started at `started_at` has its full capacity.
    pub(super) fn is_warm(&self, now: Millis, started_at: Millis) -> bool {
        self.capacity_fraction(now, started_at) >= 1.0
    }

    /// When a server started at `started_at` reaches its full capacity.
    pub(super) fn warm_at(&self, started_at: Millis) -> Millis {
        started_at + self.window
    }
}

/// Token bucket that limits the attempts sent to one starting server.
#[derive(Default)]
pub(super) struct SlowStartTokens {
    tokens: f64,
    refilled_at: Millis,
}

impl SlowStartTokens {
    /// An empty bucket that refills from `started_at` on.
    pub(super) fn empty_at(started_at: Millis) -> Self {
        SlowStartTokens { tokens: 0.0, refilled_at: started_at }
    }

    /// Refills the bucket and returns whether an attempt may be sent. The refill rate is `capacity_fraction`
    /// times `rate_per_server`, the mean number of first attempts per millisecond to a warm server. For a
    /// `rate_per_server` below [`MIN_RATE_PER_SERVER`], that constant is used instead.
    pub(super) fn refill(&mut self, now: Millis, capacity_fraction: f64, rate_per_server: f64) -> bool {
        let rate = capacity_fraction * rate_per_server.max(MIN_RATE_PER_SERVER);
        let refilled = self.tokens + (now - self.refilled_at).max(0.0) * rate;
        self.tokens = refilled.min(MAX_TOKENS);
        self.refilled_at = now;
        self.tokens >= 1.0
    }

    /// Removes one token for an attempt that is sent. Attempts to a warm server also remove tokens, without a
    /// refill, so the number of tokens can fall below 0.
    pub(super) fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}
