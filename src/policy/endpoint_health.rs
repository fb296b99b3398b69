//! Outlier ejection and what else is learned of one server from the attempts sent to it.

use super::mean_latency::MeanLatency;
use super::slow_start::{SlowStart, SlowStartTokens};
use crate::event::{Endpoint, EndpointState, Outcome};
use crate::ids::Millis;

/// Gain of a response time in a server's mean: about the last ten count.
const LATENCY_GAIN: f64 = 0.1;
/// The same for an attempt that timed out or was cancelled, where samples are few: it may be the only sign of
/// a server that has become slow.
const ABANDONED_GAIN: f64 = 0.4;
/// Consecutive failures that eject a server.
const FAILURES_TO_EJECT: u32 = 3;
/// First ejection, ms; each further one takes twice as long ...
const BASE_EJECTION_TIME: Millis = 1000.0;
/// ... up to two to this power.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Ejections last this many times longer where a server is met every few seconds only: they have to outlast
/// the time between two requests to it.
const SUBSET_EJECTION_FACTOR: f64 = 3.0;
/// A server that rejected a request for lack of capacity is passed over for this long, ms ...
const REJECTION_PAUSE: Millis = 100.0;
/// ... and this many times longer where it is met every few seconds only.
const SUBSET_PAUSE_FACTOR: f64 = 20.0;

/// How a server counts in the index at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct HealthState {
    /// The list says that it takes requests.
    pub(super) ready: bool,
    /// It has just rejected a request.
    pub(super) paused: bool,
    /// It is not ejected.
    pub(super) healthy: bool,
    /// Its last failure, if it has not succeeded since, was neither a failed connect nor a reset.
    pub(super) reachable: bool,
    /// Its slow start is over.
    pub(super) warm: bool,
}

/// One server of the list and what is known of it.
#[derive(Default)]
pub(super) struct TrackedEndpoint {
    pub(super) endpoint: Endpoint,
    /// Attempts of this gateway in flight at it.
    in_flight: f64,
    mean_latency: MeanLatency,
    /// When the mean last changed; `None` until its first list entry has been taken in.
    last_sample_at: Option<Millis>,
    consecutive_failures: u32,
    unreachable: bool,
    /// Ejections since the last success.
    ejections: u32,
    ejected_until: Option<Millis>,
    paused_until: Option<Millis>,
    pub(super) slow_start_tokens: SlowStartTokens,
}

impl TrackedEndpoint {
    /// Takes in its entry of the list. After a restart all that was known is void, but attempts at the old
    /// process still have to end; `fleet_latency` is the mean that it starts with.
    pub(super) fn update(&mut self, now: Millis, endpoint: Endpoint, fleet_latency: MeanLatency) {
        let restarted = self.endpoint.started != endpoint.started;
        if self.last_sample_at.is_none() || restarted {
            *self = TrackedEndpoint {
                in_flight: self.in_flight,
                mean_latency: fleet_latency,
                last_sample_at: Some(now),
                slow_start_tokens: SlowStartTokens::empty_at(endpoint.started),
                ..TrackedEndpoint::default()
            };
        }
        self.endpoint = endpoint;
    }

    pub(super) fn in_flight(&self) -> f64 {
        self.in_flight
    }

    /// Mean response time, ms, if there is one.
    pub(super) fn mean_latency(&self) -> Option<Millis> {
        self.mean_latency.get()
    }

    /// Time since the mean last changed, ms.
    pub(super) fn sample_age(&self, now: Millis) -> Millis {
        self.last_sample_at.map_or(now, |at| now - at).max(0.0)
    }

    pub(super) fn attempt_started(&mut self) {
        self.in_flight += 1.0;
        self.slow_start_tokens.spend();
    }

    /// Takes the end of an attempt as evidence. `samples_are_rare` where the server is met every few seconds
    /// only.
    pub(super) fn record_outcome(
        &mut self,
        now: Millis,
        outcome: Outcome,
        elapsed: Millis,
        samples_are_rare: bool,
    ) {
        self.in_flight = (self.in_flight - 1.0).max(0.0);
        match outcome {
            Outcome::NotSent => return,
            Outcome::Cancelled => {}
            Outcome::Rejected => {
                let factor = if samples_are_rare { SUBSET_PAUSE_FACTOR } else { 1.0 };
                self.paused_until = Some(now + REJECTION_PAUSE * factor);
            }
            Outcome::Ok => {
                self.consecutive_failures = 0;
                self.ejections = 0;
                self.unreachable = false;
            }
            Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                self.record_failure(now, outcome, samples_are_rare);
            }
        }
        self.record_latency(now, outcome, elapsed, samples_are_rare);
    }

    /// A server that fails at once looks fast. Where it is met rarely, the first such failure has to do.
    fn record_failure(&mut self, now: Millis, outcome: Outcome, samples_are_rare: bool) {
        self.unreachable = matches!(outcome, Outcome::ConnectFailed | Outcome::Reset);
        let fails_fast = outcome != Outcome::TimedOut;
        self.consecutive_failures += if samples_are_rare && fails_fast { FAILURES_TO_EJECT } else { 1 };
        if self.consecutive_failures >= FAILURES_TO_EJECT {
            let base = BASE_EJECTION_TIME * if samples_are_rare { SUBSET_EJECTION_FACTOR } else { 1.0 };
            let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
            self.ejected_until = Some(now + base * f64::from(1 << doublings));
            self.ejections += 1;
        }
    }

    /// An attempt that was cancelled took at least this long; one that ended early tells nothing of speed.
    fn record_latency(&mut self, now: Millis, outcome: Outcome, elapsed: Millis, samples_are_rare: bool) {
        let slow_when_cancelled =
            outcome == Outcome::Cancelled && elapsed > self.mean_latency.get().unwrap_or(0.0);
        if !slow_when_cancelled && !matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
            return;
        }
        let abandoned = outcome != Outcome::Ok;
        let gain = if abandoned && samples_are_rare { ABANDONED_GAIN } else { LATENCY_GAIN };
        self.mean_latency.record(elapsed, gain);
        self.last_sample_at = Some(now);
    }

    /// How it counts now, and when time alone may change that.
    pub(super) fn health(&self, now: Millis, slow_start: &SlowStart) -> (HealthState, Option<Millis>) {
        let paused_until = self.paused_until.filter(|until| *until > now);
        let ejected_until = self.ejected_until.filter(|until| *until > now);
        let started = self.endpoint.started;
        let warm_at = (!slow_start.is_warm(now, started)).then(|| slow_start.warm_at(started));
        // With attempts still out there is no sign yet that its failures have ended.
        let has_recovered = self.consecutive_failures < FAILURES_TO_EJECT || self.in_flight < 1.0;
        let state = HealthState {
            ready: self.endpoint.state == EndpointState::Ready,
            paused: paused_until.is_some(),
            healthy: ejected_until.is_none() && has_recovered,
            reachable: !self.unreachable,
            warm: warm_at.is_none(),
        };
        let transitions = [paused_until, ejected_until, warm_at].into_iter().flatten();
        (state, transitions.reduce(Millis::min))
    }
}
