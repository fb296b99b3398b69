//! The mean response time of a class, and the way back from a mean that rules out every request of the class.

use crate::ids::Millis;

/// Weight of a new response time in the moving average.
const GAIN: f64 = 0.03;
/// Interval, ms, at which one request may be sent although the mean rules it out, as long as no attempt of the
/// class ends. Without such probes the mean could stay wrong for good, because only attempts correct it.
const PROBE_INTERVAL: Millis = 1000.0;

/// Moving average of the response times of one class.
pub(super) struct ClassLatency {
    mean: Millis,
    /// When the mean first ruled out a request after the last sample, or when the last probe was allowed.
    ruled_out_since: Option<Millis>,
    /// Whether a probe was allowed after the last sample.
    probing: bool,
}

impl ClassLatency {
    pub(super) fn new(initial_mean: Millis) -> Self {
        ClassLatency { mean: initial_mean, ruled_out_since: None, probing: false }
    }

    pub(super) fn mean(&self) -> Millis {
        self.mean
    }

    /// Adds a response time. A response after a probe replaces the mean, which has proved to be useless.
    pub(super) fn record(&mut self, latency: Millis) {
        let gain = if self.probing { 1.0 } else { GAIN };
        self.mean += gain * (latency - self.mean);
        self.ruled_out_since = None;
        self.probing = false;
    }

    /// Whether a request with `time_left` has too little time, which is less than half the mean. Returns false
    /// for a request that is to be sent as a probe.
    pub(super) fn rules_out(&mut self, now: Millis, time_left: Millis) -> bool {
        if time_left >= self.mean / 2.0 {
            return false;
        }
        let since = *self.ruled_out_since.get_or_insert(now);
        if now - since < PROBE_INTERVAL {
            return true;
        }
        self.ruled_out_since = Some(now);
        self.probing = true;
        false
    }
}
