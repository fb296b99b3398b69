//! Exponentially weighted moving average of response times.

use crate::ids::Millis;

/// A moving average of response times; `None` until the first sample.
#[derive(Clone, Copy, Default)]
pub(super) struct MeanLatency(Option<Millis>);

impl MeanLatency {
    /// Adds a sample, in ms. `gain`, from 0 to 1, is the weight of the sample. The first sample becomes the
    /// mean, and so does a sample that follows a mean of 0.
    pub(super) fn record(&mut self, sample: Millis, gain: f64) {
        self.0 = Some(match self.get() {
            Some(mean) => mean + gain * (sample - mean),
            None => sample,
        });
    }

    /// The mean, in ms. A mean of 0 is treated as missing and returned as `None`.
    pub(super) fn get(&self) -> Option<Millis> {
        self.0.filter(|mean| *mean > 0.0)
    }
}
