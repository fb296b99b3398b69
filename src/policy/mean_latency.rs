//! An exponentially weighted moving average of response times.

use crate::ids::Millis;

/// A mean that knows whether there has been a sample.
#[derive(Clone, Copy, Default)]
pub(super) struct MeanLatency(Option<Millis>);

impl MeanLatency {
    /// Takes in a sample, ms, with a gain from 0 to 1; the first one is the mean.
    pub(super) fn record(&mut self, sample: Millis, gain: f64) {
        self.0 = Some(match self.get() {
            Some(mean) => mean + gain * (sample - mean),
            None => sample,
        });
    }

    /// The mean, ms; a mean of 0 tells nothing.
    pub(super) fn get(&self) -> Option<Millis> {
        self.0.filter(|mean| *mean > 0.0)
    }
}
