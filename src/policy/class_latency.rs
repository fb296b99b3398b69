//! The mean response time of a class, and the way back from a mean that rules out every request of the class.

use crate::ids::Millis;

/// Weight of a new response time in the moving average.
const GAIN: f64 = 0.03;
/// Interval, ms, at which one request may be sent although the mean rules it out, as long as no attempt of the
/// class starts. Without such probes the mean could stay wrong for good, because only attempts correct it. A
/// class under overload may get no attempt for a second or two, and needs no probe then.
const PROBE_INTERVAL: Millis = 3000.0;
/// The interval while the mean is only assumed, because no attempt of the class has ended yet.
const FIRST_PROBE_INTERVAL: Millis = 1000.0;

/// Whether a request has enough time for a number of mean response times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TimeCheck {
    Enough,
    /// The request has too little time, but is to be sent as a probe.
    Probe,
    TooLittle,
}

/// Moving average of the response times of one class.
pub(super) struct ClassLatency {
    mean: Millis,
    probe_interval: Millis,
    /// When the mean first ruled out a request after the last start of an attempt, or when the last probe was
    /// allowed.
    ruled_out_since: Option<Millis>,
    /// Whether a probe was allowed after the last sample.
    probing: bool,
}

impl ClassLatency {
    pub(super) fn new(initial_mean: Millis) -> Self {
        ClassLatency {
            mean: initial_mean,
            probe_interval: FIRST_PROBE_INTERVAL,
            ruled_out_since: None,
            probing: false,
        }
    }

    pub(super) fn mean(&self) -> Millis {
        self.mean
    }

    /// Records that an attempt of the class has started, whose end may correct the mean.
    pub(super) fn attempt_started(&mut self) {
        self.ruled_out_since = None;
    }

    /// Adds a response time. A response after a probe replaces the mean, which has proved to be useless.
    pub(super) fn record(&mut self, latency: Millis) {
        let gain = if self.probing { 1.0 } else { GAIN };
        self.mean += gain * (latency - self.mean);
        self.probe_interval = PROBE_INTERVAL;
        self.probing = false;
    }

    /// Checks whether `time_left` is enough for `mean_count` mean response times.
    pub(super) fn check(&mut self, now: Millis, time_left: Millis, mean_count: f64) -> TimeCheck {
        if time_left >= mean_count * self.mean {
            return TimeCheck::Enough;
        }
        let since = *self.ruled_out_since.get_or_insert(now);
        if now - since < self.probe_interval {
            return TimeCheck::TooLittle;
        }
        self.ruled_out_since = Some(now);
        self.probing = true;
        TimeCheck::Probe
    }
}
