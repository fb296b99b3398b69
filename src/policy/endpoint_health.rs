//! Estimates the health and the mean response time of one server from the outcomes of this gateway's
//! attempts, and ejects the server as an outlier after repeated failures.

use super::mean_latency::MeanLatency;
use super::slow_start::{SlowStart, SlowStartTokens};
use crate::event::{Endpoint, EndpointState, Outcome};
use crate::ids::Millis;

/// Weight of a new response time in a server's moving average. With this weight, the average depends mostly
/// on the last ten response times.
const LATENCY_GAIN: f64 = 0.1;
/// Weight of a response time in a server's moving average if the attempt timed out or was cancelled and the
/// gateway uses a subset of the servers. Samples are rare then, and such an attempt may be the only sign that
/// the server has become slow.
const UNANSWERED_LATENCY_GAIN: f64 = 0.4;
/// Number of consecutive failures after which a server is ejected. While the gateway uses a subset of the
/// servers, a single failure that is not a timeout is enough.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of a server's first ejection, in ms. Until an attempt to the server succeeds, each further
/// ejection lasts twice as long as the one before, up to [`MAX_EJECTION_DOUBLINGS`] doublings.
const BASE_EJECTION_TIME: Millis = 1000.0;
/// Maximum number of times that the duration of an ejection is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Factor on the duration of an ejection while the gateway uses a subset of the servers. A server then gets a
/// request from this gateway only every few seconds, and an ejection has to last longer than the time between
/// two requests.
const SUBSET_EJECTION_FACTOR: f64 = 3.0;
/// Time, in ms, for which this gateway sends no further requests to a server that has rejected a request,
/// probably for lack of capacity.
const REJECTION_PAUSE: Millis = 100.0;
/// Factor on [`REJECTION_PAUSE`] while the gateway uses a subset of the servers, because a server then gets a
/// request from this gateway only every few seconds.
const SUBSET_PAUSE_FACTOR: f64 = 20.0;

/// Health of a server at a point in time. The index derives its masks and counts from it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct HealthState {
    /// The endpoint list says that the server accepts new requests.
    pub(super) ready: bool,
    /// The server gets no requests for a short time because it rejected a request, probably for lack of
    /// capacity.
    pub(super) paused: bool,
    /// False while the server is ejected. After an ejection, also false while this gateway has an attempt to
    /// the server in flight, until an attempt succeeds.
    pub(super) healthy: bool,
    /// False if the last failure was [`Outcome::ConnectFailed`] or [`Outcome::Reset`] and no attempt has
    /// succeeded since.
    pub(super) reachable: bool,
    /// The server's slow start is over.
    pub(super) warm: bool,
}

/// The list entry of a server and what this gateway has recorded about the server.
#[derive(Default)]
pub(super) struct TrackedEndpoint {
    pub(super) endpoint: Endpoint,
    /// Number of this gateway's attempts in flight to the server.
    attempts_in_flight: f64,
    mean_latency: MeanLatency,
    /// When the mean latency last changed. `None` until the first list entry is applied.
    last_sample_at: Option<Millis>,
    consecutive_failures: u32,
    /// The last failure was [`Outcome::ConnectFailed`] or [`Outcome::Reset`], with no success since.
    unreachable: bool,
    /// Number of ejections since the last success.
    ejections: u32,
    ejected_until: Option<Millis>,
    paused_until: Option<Millis>,
    pub(super) slow_start_tokens: SlowStartTokens,
}

impl TrackedEndpoint {
    /// Applies the server's list entry. If the server is new or has restarted, its records are reset and its
    /// mean response time starts at `overall_latency`. Only the number of attempts in flight is kept, because
    /// attempts to the old process may not have ended yet.
    pub(super) fn update(&mut self, now: Millis, endpoint: Endpoint, overall_latency: MeanLatency) {
        let restarted = self.endpoint.started_at != endpoint.started_at;
        if self.last_sample_at.is_none() || restarted {
            *self = TrackedEndpoint {
                attempts_in_flight: self.attempts_in_flight,
                mean_latency: overall_latency,
                last_sample_at: Some(now),
                slow_start_tokens: SlowStartTokens::empty_at(endpoint.started_at),
                ..TrackedEndpoint::default()
            };
        }
        self.endpoint = endpoint;
    }

    pub(super) fn attempts_in_flight(&self) -> f64 {
        self.attempts_in_flight
    }

    /// Mean response time of the server, in ms; `None` if there is no mean yet.
    pub(super) fn mean_latency(&self) -> Option<Millis> {
        self.mean_latency.get()
    }

    /// Time since the mean response time last changed, in ms.
    pub(super) fn sample_age(&self, now: Millis) -> Millis {
        self.last_sample_at.map_or(now, |at| now - at).max(0.0)
    }

    pub(super) fn attempt_started(&mut self) {
        self.attempts_in_flight += 1.0;
        self.slow_start_tokens.spend();
    }

    /// Updates the records with the outcome of an attempt that took `elapsed` ms. `subset_active` is true
    /// while this gateway uses a subset of the servers, each of which gets a request from this gateway only
    /// every few seconds.
    pub(super) fn record_outcome(
        &mut self,
        now: Millis,
        outcome: Outcome,
        elapsed: Millis,
        subset_active: bool,
    ) {
        self.attempts_in_flight = (self.attempts_in_flight - 1.0).max(0.0);
        match outcome {
            Outcome::NotSent => return,
            Outcome::Cancelled => {}
            Outcome::Rejected => {
                let factor = if subset_active { SUBSET_PAUSE_FACTOR } else { 1.0 };
                self.paused_until = Some(now + REJECTION_PAUSE * factor);
            }
            Outcome::Ok => {
                self.consecutive_failures = 0;
                self.ejections = 0;
                self.unreachable = false;
            }
            Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                self.record_failure(now, outcome, subset_active);
            }
        }
        self.record_latency(now, outcome, elapsed, subset_active);
    }

    /// Counts a failure and ejects the server after enough consecutive failures. A server that fails quickly
    /// appears to be fast. While the gateway uses a subset of the servers, the first failure that is not a
    /// timeout therefore ejects the server.
    fn record_failure(&mut self, now: Millis, outcome: Outcome, subset_active: bool) {
        self.unreachable = matches!(outcome, Outcome::ConnectFailed | Outcome::Reset);
        let fails_fast = outcome != Outcome::TimedOut;
        self.consecutive_failures += if subset_active && fails_fast { FAILURES_TO_EJECT } else { 1 };
        if self.consecutive_failures >= FAILURES_TO_EJECT {
            let base = BASE_EJECTION_TIME * if subset_active { SUBSET_EJECTION_FACTOR } else { 1.0 };
            let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
            self.ejected_until = Some(now + base * f64::from(1 << doublings));
            self.ejections += 1;
        }
    }

    /// Adds the duration of an attempt to the mean if the attempt succeeded, timed out, or was cancelled
    /// when it had already taken longer than the mean. A cancelled attempt would have taken at least
    /// `elapsed`. An attempt that was rejected or failed in another way shows nothing about the server's
    /// response time.
    fn record_latency(&mut self, now: Millis, outcome: Outcome, elapsed: Millis, subset_active: bool) {
        let slow_when_cancelled =
            outcome == Outcome::Cancelled && elapsed > self.mean_latency.get().unwrap_or(0.0);
        if !slow_when_cancelled && !matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
            return;
        }
        let is_unanswered = outcome != Outcome::Ok;
        let gain = if is_unanswered && subset_active { UNANSWERED_LATENCY_GAIN } else { LATENCY_GAIN };
        self.mean_latency.record(elapsed, gain);
        self.last_sample_at = Some(now);
    }

    /// The server's health at `now`, and the next time at which that health may change without an event.
    pub(super) fn health(&self, now: Millis, slow_start: &SlowStart) -> (HealthState, Option<Millis>) {
        let paused_until = self.paused_until.filter(|until| *until > now);
        let ejected_until = self.ejected_until.filter(|until| *until > now);
        let started_at = self.endpoint.started_at;
        let warm_at = (!slow_start.is_warm(now, started_at)).then(|| slow_start.warm_at(started_at));
        // After an ejection and until an attempt succeeds, the server is unhealthy while an attempt is in
        // flight, because only the outcome of that attempt shows whether the server has recovered.
        let may_have_recovered =
            self.consecutive_failures < FAILURES_TO_EJECT || self.attempts_in_flight < 1.0;
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
