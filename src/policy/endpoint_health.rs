//! Outlier ejection, and what this gateway's attempts show about the health and response time of one server.

use super::mean_latency::MeanLatency;
use super::slow_start::{SlowStart, SlowStartTokens};
use crate::event::{Endpoint, EndpointState, Outcome};
use crate::ids::Millis;

/// Weight of a new response time in a server's moving average, which thus covers about the last ten.
const LATENCY_GAIN: f64 = 0.1;
/// Weight of an attempt that timed out or was cancelled, if samples are rare: such an attempt may be the only
/// sign that the server has become slow.
const UNANSWERED_LATENCY_GAIN: f64 = 0.4;
/// Number of consecutive failures after which a server is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of a server's first ejection, in ms. Each further ejection lasts twice as long as the one before,
/// until the server succeeds again.
const BASE_EJECTION_TIME: Millis = 1000.0;
/// Maximum number of times that the duration of an ejection is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Factor on the duration of an ejection if samples are rare. A server then gets a request of this gateway
/// only every few seconds, and an ejection has to last longer than the time between two requests.
const SUBSET_EJECTION_FACTOR: f64 = 3.0;
/// Time for which a server that rejected a request for lack of capacity gets no further requests, in ms.
const REJECTION_PAUSE: Millis = 100.0;
/// Factor on [`REJECTION_PAUSE`] if samples are rare, as a server then gets a request only every few seconds.
const SUBSET_PAUSE_FACTOR: f64 = 20.0;

/// Health of a server at a point in time, as the index uses it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct HealthState {
    /// The endpoint list says that the server takes requests.
    pub(super) ready: bool,
    /// The server gets no requests because it has just rejected one for lack of capacity.
    pub(super) paused: bool,
    /// The server is not ejected and, unless it has succeeded since its last ejection, has no attempt of this
    /// gateway in flight.
    pub(super) healthy: bool,
    /// The server's last failure was neither a failed connect nor a reset, or it has succeeded since.
    pub(super) reachable: bool,
    /// The server's slow start is over.
    pub(super) warm: bool,
}

/// A server of the endpoint list and what this gateway has recorded about it.
#[derive(Default)]
pub(super) struct TrackedEndpoint {
    pub(super) endpoint: Endpoint,
    /// Number of this gateway's attempts in flight to the server.
    in_flight: f64,
    mean_latency: MeanLatency,
    /// When the mean latency last changed. `None` until the first list entry is applied.
    last_sample_at: Option<Millis>,
    consecutive_failures: u32,
    /// The last failure was a failed connect or a reset, with no success since.
    unreachable: bool,
    /// Number of ejections since the last success.
    ejections: u32,
    ejected_until: Option<Millis>,
    paused_until: Option<Millis>,
    pub(super) slow_start_tokens: SlowStartTokens,
}

impl TrackedEndpoint {
    /// Applies the server's list entry. A new or restarted server starts with `overall_latency` as its mean
    /// and without the earlier records, except for the attempts to the old process that are still in flight.
    pub(super) fn update(&mut self, now: Millis, endpoint: Endpoint, overall_latency: MeanLatency) {
        let restarted = self.endpoint.started != endpoint.started;
        if self.last_sample_at.is_none() || restarted {
            *self = TrackedEndpoint {
                in_flight: self.in_flight,
                mean_latency: overall_latency,
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

    /// Mean response time of the server, in ms, if there is one.
    pub(super) fn mean_latency(&self) -> Option<Millis> {
        self.mean_latency.get()
    }

    /// Time since the mean response time last changed, in ms.
    pub(super) fn sample_age(&self, now: Millis) -> Millis {
        self.last_sample_at.map_or(now, |at| now - at).max(0.0)
    }

    pub(super) fn attempt_started(&mut self) {
        self.in_flight += 1.0;
        self.slow_start_tokens.spend();
    }

    /// Updates the records with the result of an attempt. `samples_are_rare` says that this gateway sends the
    /// server a request only every few seconds.
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

    /// Counts a failure and ejects the server after enough consecutive failures. A server that fails quickly
    /// looks fast, so if samples are rare, its first failure that is not a timeout ejects it.
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

    /// Adds the duration of an attempt to the mean. A cancelled attempt would have taken at least `elapsed`,
    /// so it counts if `elapsed` is above the mean. An attempt that failed early shows nothing about the
    /// server's response time.
    fn record_latency(&mut self, now: Millis, outcome: Outcome, elapsed: Millis, samples_are_rare: bool) {
        let slow_when_cancelled =
            outcome == Outcome::Cancelled && elapsed > self.mean_latency.get().unwrap_or(0.0);
        if !slow_when_cancelled && !matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
            return;
        }
        let is_unanswered = outcome != Outcome::Ok;
        let gain = if is_unanswered && samples_are_rare { UNANSWERED_LATENCY_GAIN } else { LATENCY_GAIN };
        self.mean_latency.record(elapsed, gain);
        self.last_sample_at = Some(now);
    }

    /// The server's health now, and the next time at which it may change without an event.
    pub(super) fn health(&self, now: Millis, slow_start: &SlowStart) -> (HealthState, Option<Millis>) {
        let paused_until = self.paused_until.filter(|until| *until > now);
        let ejected_until = self.ejected_until.filter(|until| *until > now);
        let started = self.endpoint.started;
        let warm_at = (!slow_start.is_warm(now, started)).then(|| slow_start.warm_at(started));
        // After an ejection, the server stays unhealthy while attempts are in flight, because only their
        // outcomes show whether it has recovered.
        let may_have_recovered = self.consecutive_failures < FAILURES_TO_EJECT || self.in_flight < 1.0;
        let state = HealthState {
            ready: self.endpoint.state == EndpointState::Ready,
            paused: paused_until.is_some(),
            healthy: ejected_until.is_none() && may_have_recovered,
            reachable: !self.unreachable,
            warm: warm_at.is_none(),
        };
        let transitions = [paused_until, ejected_until, warm_at].into_iter().flatten();
        (state, transitions.reduce(Millis::min))
    }
}
