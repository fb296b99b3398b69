//! Exponentially decaying average of the rate at which this gateway sends first attempts.

use crate::ids::Millis;

/// Time constant of the decay, in ms.
const TIME_CONSTANT: Millis = 2000.0;

/// Decaying average of the number of first attempts per millisecond.
#[derive(Default)]
pub(super) struct SendRate {
    per_ms: f64,
    updated_at: Millis,
}

impl SendRate {
    /// Counts a first attempt sent at `now`.
    pub(super) fn record(&mut self, now: Millis) {
        let decay = (-(now - self.updated_at).max(0.0) / TIME_CONSTANT).exp();
        self.per_ms = self.per_ms * decay + 1.0 / TIME_CONSTANT;
        self.updated_at = now;
    }

    /// First attempts per millisecond, as of the latest call of [`SendRate::record`]. The rate does not decay
    /// while the gateway sends no first attempts.
    pub(super) fn per_ms(&self) -> f64 {
        self.per_ms
    }
}
