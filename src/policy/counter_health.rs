//! How often a gateway may call the counter service: delay-based backoff, as in TCP Vegas.
//!
//! All gateways call the same counter and do not communicate with each other. The queueing delay of a call at
//! the counter is the only signal that all gateways observe. Each gateway adapts its call rate to this delay,
//! so the call rates of the gateways converge. A backoff factor of N means that calls are N times rarer than
//! usual.

use crate::event::Outcome;
use crate::ids::Millis;
use crate::settings::Settings;

/// Timeout of a counter call, as a share of the shortest latency objective of all classes.
const CALL_TIMEOUT_SHARE: f64 = 0.25;
/// Upper bound of the timeout of a counter call, ms, unless [`Settings::counter_timeout`] is longer.
const MAX_CALL_TIMEOUT: Millis = 800.0;
/// Longest pause between calls to an unresponsive counter, ms. Once the counter has recovered, calls are
/// allowed again within this time.
const MAX_RETRY_PAUSE: Millis = 800.0;
/// Time, ms, since the last successful call from which a failed call marks the counter as unresponsive. If no
/// call has succeeded yet, the first failed call does so. A rejected call counts as failed.
const UNRESPONSIVE_AFTER: Millis = 1000.0;
/// The counter is considered congested while the backoff factor is above this value.
const CONGESTION_THRESHOLD: f64 = 1.5;
/// While the counter is congested, a tenant's usage as last read is trusted up to this age, ms.
const MAX_CACHE_AGE: Millis = 1500.0;
/// Target of the queueing delay, as a share of [`Settings::counter_timeout`]. The share is above 0 so that
/// the counter is never idle, and below 1 so that most calls are answered in time.
const TARGET_QUEUEING_DELAY_SHARE: f64 = 0.5;
/// Lower bound of the target queueing delay, ms.
const MIN_TARGET_QUEUEING_DELAY: Millis = 1.0;
/// Share of the difference by which a reply slower than the baseline latency raises the baseline. A faster
/// reply lowers the baseline to the latency of the reply at once.
const BASELINE_GAIN: f64 = 0.01;
/// Step of the backoff factor's logarithm for one reply: minus this value for a reply without queueing delay,
/// plus this value for a reply with twice the target delay. Larger steps would make the size of the
/// reservations fluctuate.
const BACKOFF_GAIN: f64 = 0.02;
/// Upper bound on the excess of one reply's queueing delay over the target, in multiples of the target.
const MAX_EXCESS_DELAY: f64 = 2.0;
/// A reply is fast if its queueing delay is below this share of the target.
const FAST_REPLY_SHARE: f64 = 0.5;
/// Number of consecutive fast replies from which the counter is assumed to have spare capacity.
const MIN_CONSECUTIVE_FAST_REPLIES: u32 = 4;
/// While the counter has spare capacity, each fast reply lowers the backoff factor's logarithm by this value.
/// The step is large because after a surge the gateway makes few calls from which it could learn of the spare
/// capacity.
const FAST_REPLY_STEP: f64 = 0.1;
/// Factor by which a failed call that may be a sign of congestion raises the backoff factor. For a rejected
/// call, this value is raised to the power of the number of consecutive rejections: a single rejection may be
/// chance, but several show that the gateways make far too many calls.
const BACKOFF_RAISE_FACTOR: f64 = 1.4;
/// Upper bound on the exponent of [`BACKOFF_RAISE_FACTOR`].
const MAX_CONSECUTIVE_REJECTIONS: u32 = 4;
/// Upper bound of the backoff factor. It is high enough for a counter that can serve only one in several
/// hundred calls.
const MAX_BACKOFF_FACTOR: f64 = 400.0;
/// Failed calls raise the backoff factor at most once in this time, ms, because calls tend to fail together.
const BACKOFF_RAISE_INTERVAL: Millis = 200.0;

/// Timeout of a call to the counter, ms. The timeout is at least [`Settings::counter_timeout`], and longer
/// if the latency objectives leave time, because a late reply is still useful.
pub fn counter_call_timeout(settings: &Settings) -> Millis {
    let objectives = settings.classes.iter().map(|class| class.latency_objective);
    let shortest = objectives.fold(f64::INFINITY, f64::min);
    (CALL_TIMEOUT_SHARE * shortest).min(MAX_CALL_TIMEOUT).max(settings.counter_timeout)
}

/// Load and availability of the counter service, estimated from the calls that this gateway makes.
pub(super) struct CounterHealth {
    /// [`Settings::counter_timeout`], ms. The target queueing delay is a share of this timeout.
    timeout: Millis,
    /// Time of the last successful call; `None` before the first.
    last_reply_at: Option<Millis>,
    /// A call has failed, and no call had succeeded in the [`UNRESPONSIVE_AFTER`] ms before. Reset by the
    /// next call that succeeds.
    unresponsive: bool,
    /// Length of the last pause between calls to an unresponsive counter, ms; 0 if there has been no pause
    /// since the last successful call.
    retry_pause: Millis,
    /// Time at which the last pause ends or has ended. `None` if there has been no pause since the last
    /// successful call.
    paused_until: Option<Millis>,
    backoff_factor: f64,
    backoff_raised_at: Option<Millis>,
    /// Estimated latency of a call while the counter has no queue, ms.
    baseline_latency: Option<Millis>,
    consecutive_fast_replies: u32,
    /// Number of consecutive rejections that have raised the backoff factor, at most
    /// [`MAX_CONSECUTIVE_REJECTIONS`]. A successful call resets the number to 0. A call that fails in
    /// another way and raises the factor sets the number to 1.
    consecutive_rejections: u32,
}

impl CounterHealth {
    /// The state before the first call; `timeout` is [`Settings::counter_timeout`], ms.
    pub(super) fn new(timeout: Millis) -> Self {
        CounterHealth {
            timeout,
            last_reply_at: None,
            unresponsive: false,
            retry_pause: 0.0,
            paused_until: None,
            backoff_factor: 1.0,
            backoff_raised_at: None,
            baseline_latency: None,
            consecutive_fast_replies: 0,
            consecutive_rejections: 0,
        }
    }

    /// Whether the gateway may call the counter now.
    pub(super) fn allows_call(&self, now: Millis) -> bool {
        self.paused_until.is_none_or(|until| now >= until)
    }

    /// How many times rarer than usual the gateway should call the counter; at least 1.
    pub(super) fn backoff_factor(&self) -> f64 {
        self.backoff_factor
    }

    /// Age, ms, from which a tenant's usage, as last read, is too old to reflect the other gateways'
    /// requests. 0 means that the usage is always too old; `None` means that it is never too old.
    pub(super) fn max_cache_age(&self) -> Option<Millis> {
        if self.unresponsive {
            Some(0.0)
        } else if is_congested(self.backoff_factor) {
            Some(MAX_CACHE_AGE)
        } else {
            None
        }
    }

    /// Updates the estimates with the outcome of a call that took `elapsed` ms.
    pub(super) fn record_call_outcome(&mut self, now: Millis, outcome: Outcome, elapsed: Millis) {
        match outcome {
            Outcome::Ok => self.record_reply(now, elapsed),
            Outcome::Rejected => self.raise_backoff(now, true),
            // A call whose connection was lost gives no information about the counter's load.
            Outcome::Reset => {}
            // An unresponsive counter may be down rather than congested.
            _ if self.unresponsive => {}
            _ => self.raise_backoff(now, false),
        }
        self.backoff_factor = self.backoff_factor.clamp(1.0, MAX_BACKOFF_FACTOR);
        if outcome != Outcome::Ok {
            self.detect_unresponsive(now);
        }
    }

    fn record_reply(&mut self, now: Millis, elapsed: Millis) {
        self.last_reply_at = Some(now);
        self.unresponsive = false;
        self.retry_pause = 0.0;
        self.paused_until = None;
        let baseline = self
            .baseline_latency
            .map_or(elapsed, |baseline| (baseline + (elapsed - baseline) * BASELINE_GAIN).min(elapsed));
        self.baseline_latency = Some(baseline);
        let target = (TARGET_QUEUEING_DELAY_SHARE * self.timeout).max(MIN_TARGET_QUEUEING_DELAY);
        // The queueing delay as a multiple of the target.
        let delay_ratio = (elapsed - baseline) / target;
        self.consecutive_rejections = 0;
        self.consecutive_fast_replies =
            if delay_ratio < FAST_REPLY_SHARE { self.consecutive_fast_replies + 1 } else { 0 };
        let log_step = if self.consecutive_fast_replies >= MIN_CONSECUTIVE_FAST_REPLIES {
            -FAST_REPLY_STEP
        } else {
            BACKOFF_GAIN * (delay_ratio - 1.0).min(MAX_EXCESS_DELAY)
        };
        self.backoff_factor *= log_step.exp();
    }

    fn raise_backoff(&mut self, now: Millis, rejected: bool) {
        self.consecutive_fast_replies = 0;
        if self.backoff_raised_at.is_some_and(|at| now - at < BACKOFF_RAISE_INTERVAL) {
            return;
        }
        self.consecutive_rejections =
            if rejected { (self.consecutive_rejections + 1).min(MAX_CONSECUTIVE_REJECTIONS) } else { 1 };
        self.backoff_factor *= BACKOFF_RAISE_FACTOR.powi(self.consecutive_rejections as i32);
        self.backoff_raised_at = Some(now);
    }

    fn detect_unresponsive(&mut self, now: Millis) {
        if self.last_reply_at.is_some_and(|at| now - at < UNRESPONSIVE_AFTER) {
            return;
        }
        self.unresponsive = true;
        if self.allows_call(now) {
            self.retry_pause = (self.retry_pause * 2.0).max(self.timeout).min(MAX_RETRY_PAUSE);
            self.paused_until = Some(now + self.retry_pause);
        }
    }
}

/// Whether a backoff factor indicates that the counter cannot serve all calls.
pub(super) fn is_congested(backoff_factor: f64) -> bool {
    backoff_factor > CONGESTION_THRESHOLD
}
