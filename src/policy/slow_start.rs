//! Slow start: how much a server that has just started may be sent, so that it does not collapse under the
//! sum of what all gateways send.
//!
//! Each gateway sends a starting server no more than its own mean rate to a warm one, scaled by the capacity
//! that the server surely has by then. Guards against a server toppled by a burst, or by all gateways at
//! once.

use crate::ids::Millis;
use crate::settings::Settings;

/// Least rate to a warm server that the rate to a starting one is scaled from, attempts per millisecond.
const MIN_RATE_PER_SERVER: f64 = 0.0005;
/// Attempts that can be saved up for a starting server.
const MAX_TOKENS: f64 = 1.0;

/// How servers warm up, by the settings.
pub(super) struct SlowStart {
    /// Share of its capacity that a server has at its start.
    initial_capacity: f64,
    /// Span after which it has its full capacity, ms.
    window: Millis,
}

impl SlowStart {
    pub(super) fn new(settings: &Settings) -> Self {
        SlowStart { initial_capacity: settings.slow_start_capacity, window: settings.slow_start_window }
    }

    /// Share of its full capacity that a server that started at a time surely has by now; a start at 0 was
    /// long ago.
    pub(super) fn warm_fraction(&self, now: Millis, started: Millis) -> f64 {
        let age = now - started;
        if started <= 0.0 || age >= self.window {
            return 1.0;
        }
        self.initial_capacity + (1.0 - self.initial_capacity) * (age / self.window).max(0.0)
    }

    pub(super) fn is_warm(&self, now: Millis, started: Millis) -> bool {
        self.warm_fraction(now, started) >= 1.0
    }

    /// When a server that started at a time is warm.
    pub(super) fn warm_at(&self, started: Millis) -> Millis {
        started + self.window
    }
}

/// Attempts that one starting server may be sent: a token bucket.
#[derive(Default)]
pub(super) struct SlowStartTokens {
    tokens: f64,
    refilled_at: Millis,
}

impl SlowStartTokens {
    /// An empty bucket that fills from `started` on.
    pub(super) fn empty_at(started: Millis) -> Self {
        SlowStartTokens { tokens: 0.0, refilled_at: started }
    }

    /// Refills at the rate to a warm server, attempts per millisecond, times the warm fraction; whether an
    /// attempt may be sent.
    pub(super) fn refill(&mut self, now: Millis, warm_fraction: f64, rate_per_server: f64) -> bool {
        let rate = warm_fraction * rate_per_server.max(MIN_RATE_PER_SERVER);
        let refilled = self.tokens + (now - self.refilled_at).max(0.0) * rate;
        self.tokens = refilled.min(MAX_TOKENS);
        self.refilled_at = now;
        self.tokens >= 1.0
    }

    pub(super) fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}
