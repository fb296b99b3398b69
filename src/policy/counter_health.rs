//! How often the counter service may be called: delay-based backoff, as in TCP Vegas.
//!
//! All gateways call the same counter and cannot hear each other. The time that a call waits in the counter's
//! queue is the one signal that all of them see, so each steers its own rate of calls by it and their rates
//! agree. The backoff factor says how many times rarer than usual calls are made.

use crate::event::Outcome;
use crate::ids::Millis;
use crate::settings::Settings;

/// Share of the shortest latency objective of all classes that a call may take ...
const CALL_TIMEOUT_SHARE: f64 = 0.25;
/// ... within this, ms, unless the settings name more.
const MAX_CALL_TIMEOUT: Millis = 800.0;
/// Longest pause between calls to an unresponsive counter, ms: its return is noticed within this.
const MAX_RETRY_PAUSE: Millis = 800.0;
/// The counter is unresponsive once calls have failed and none was answered for this long, ms.
const UNRESPONSIVE_AFTER: Millis = 1000.0;
/// Backoff factor past which the counter counts as congested.
const CONGESTED: f64 = 1.5;
/// Age up to which a tenant's usage is trusted while the counter is congested, ms.
const MAX_CACHE_AGE: Millis = 1500.0;
/// Queueing delay to aim at, as a share of the counter's time-out: the counter is never idle, and most calls
/// are answered in time.
const TARGET_QUEUE_SHARE: f64 = 0.5;
/// Shortest queueing delay to aim at, ms.
const MIN_TARGET_QUEUE: Millis = 1.0;
/// Gain with which the baseline latency follows a counter that has become slower, for each reply.
const BASELINE_GAIN: f64 = 0.01;
/// Change of the factor's logarithm for a reply: minus this for one that did not queue, plus this for one
/// that queued twice the target. Large steps make the weights of reservations unsteady.
const BACKOFF_GAIN: f64 = 0.02;
/// Most that one slow reply counts for, in targets beyond the target.
const MAX_EXCESS_DELAY: f64 = 2.0;
/// A reply that queued for less than this share of the target is fast.
const FAST_REPLY_SHARE: f64 = 0.5;
/// After so many fast replies in a row there is spare capacity ...
const FAST_REPLIES_IN_A_ROW: u32 = 4;
/// ... and each lowers the factor's logarithm by this: few calls are left to learn from once a surge has
/// passed.
const FAST_REPLY_STEP: f64 = 0.1;
/// The factor rises by this at a failed call, to the power of the rejections in a row: a single one may be
/// chance, several show that far too much is asked.
const REJECTION_FACTOR: f64 = 1.4;
const MAX_REJECTIONS_IN_A_ROW: u32 = 4;
/// Upper bound of the factor: for a counter that can serve one request in hundreds.
const MAX_BACKOFF_FACTOR: f64 = 400.0;
/// Calls fail together: the factor rises once in this time, ms.
const BACKOFF_RAISE_INTERVAL: Millis = 200.0;

/// How long a call to the counter is waited for; ms. Not less than [`Settings::counter_timeout`], and longer
/// where the latency objectives leave time: a late reply is still of use.
pub fn counter_call_timeout(settings: &Settings) -> Millis {
    let objectives = settings.classes.iter().map(|class| class.latency_objective);
    let shortest = objectives.fold(f64::INFINITY, f64::min);
    (CALL_TIMEOUT_SHARE * shortest).min(MAX_CALL_TIMEOUT).max(settings.counter_timeout)
}

/// What the replies of the counter service tell of its load.
pub(super) struct CounterHealth {
    /// [`Settings::counter_timeout`], ms: the scale of the queueing delay to aim at.
    timeout: Millis,
    last_reply_at: Option<Millis>,
    /// Calls have failed, and none was answered for long.
    unresponsive: bool,
    /// Pause between calls to an unresponsive counter, ms, and its end.
    retry_pause: Millis,
    paused_until: Option<Millis>,
    backoff_factor: f64,
    backoff_raised_at: Option<Millis>,
    /// Time that a call takes while the counter has no queue, ms.
    baseline_latency: Option<Millis>,
    consecutive_fast: u32,
    /// Failures since the last reply that raised the factor; a call without an answer counts as the first.
    consecutive_rejected: u32,
}

impl CounterHealth {
    /// A counter of which nothing is known; `timeout` as in [`Settings::counter_timeout`], ms.
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
            consecutive_fast: 0,
            consecutive_rejected: 0,
        }
    }

    /// Whether a call may be made now.
    pub(super) fn allows_call(&self, now: Millis) -> bool {
        self.paused_until.is_none_or(|until| now >= until)
    }

    /// How many times rarer than usual calls are to be made; at least 1.
    pub(super) fn backoff_factor(&self) -> f64 {
        self.backoff_factor
    }

    /// Age past which a tenant's usage, as last read, says nothing of the other gateways; `None`: it always
    /// does.
    pub(super) fn max_cache_age(&self) -> Option<Millis> {
        if self.unresponsive {
            Some(0.0)
        } else if is_congested(self.backoff_factor) {
            Some(MAX_CACHE_AGE)
        } else {
            None
        }
    }

    /// Takes the end of a call that took `elapsed` ms as evidence.
    pub(super) fn record_reply(&mut self, now: Millis, outcome: Outcome, elapsed: Millis) {
        match outcome {
            Outcome::Ok => self.record_answer(now, elapsed),
            Outcome::Rejected => self.raise_backoff(now, true),
            // A call that was lost with its connection tells nothing of the counter's load.
            Outcome::Reset => {}
            // One without an answer may as well tell that the counter is gone, which is no congestion.
            _ if self.unresponsive => {}
            _ => self.raise_backoff(now, false),
        }
        self.backoff_factor = self.backoff_factor.clamp(1.0, MAX_BACKOFF_FACTOR);
        if outcome != Outcome::Ok {
            self.detect_unresponsive(now);
        }
    }

    fn record_answer(&mut self, now: Millis, elapsed: Millis) {
        self.last_reply_at = Some(now);
        self.unresponsive = false;
        self.retry_pause = 0.0;
        self.paused_until = None;
        let baseline = self
            .baseline_latency
            .map_or(elapsed, |baseline| (baseline + (elapsed - baseline) * BASELINE_GAIN).min(elapsed));
        self.baseline_latency = Some(baseline);
        let target = (TARGET_QUEUE_SHARE * self.timeout).max(MIN_TARGET_QUEUE);
        let queueing_delay = (elapsed - baseline) / target;
        self.consecutive_rejected = 0;
        self.consecutive_fast = if queueing_delay < FAST_REPLY_SHARE { self.consecutive_fast + 1 } else { 0 };
        let step = if self.consecutive_fast >= FAST_REPLIES_IN_A_ROW {
            -FAST_REPLY_STEP
        } else {
            BACKOFF_GAIN * (queueing_delay - 1.0).min(MAX_EXCESS_DELAY)
        };
        self.backoff_factor *= step.exp();
    }

    fn raise_backoff(&mut self, now: Millis, rejected: bool) {
        self.consecutive_fast = 0;
        if self.backoff_raised_at.is_some_and(|at| now - at < BACKOFF_RAISE_INTERVAL) {
            return;
        }
        self.consecutive_rejected =
            if rejected { (self.consecutive_rejected + 1).min(MAX_REJECTIONS_IN_A_ROW) } else { 1 };
        self.backoff_factor *= REJECTION_FACTOR.powi(self.consecutive_rejected as i32);
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

/// Whether a backoff factor stands for a counter that cannot serve all calls.
pub(super) fn is_congested(backoff_factor: f64) -> bool {
    backoff_factor > CONGESTED
}
