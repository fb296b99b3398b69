//! A request that this gateway has received, and its attempts.

use super::housekeeping::HOUSEKEEPING_INTERVAL;
use super::quota::QuotaCheck;
use crate::event::Request;
use crate::ids::{Millis, ServerId};
use crate::settings::{Class, DeduplicationScope, Idempotency};

/// One attempt of a request.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) server: ServerId,
    pub(super) started_at: Millis,
    /// True from the start of the attempt until its end is reported.
    pub(super) in_flight: bool,
    /// Whether the server may have executed the request. True unless the outcome of the attempt proves that
    /// the server has not executed the request.
    pub(super) may_have_executed: bool,
}

/// The state of a request from its arrival until it is finished and none of its attempts is in flight.
pub(super) struct TrackedRequest {
    pub(super) request: Request,
    pub(super) class: Class,
    pub(super) arrived_at: Millis,
    /// Time after which a response no longer has its full value; at the latest the deadline.
    pub(super) objective_at: Millis,
    /// Time at which the client gives up.
    pub(super) deadline_at: Millis,
    /// The attempts in the order in which they were started.
    pub(super) attempts: Vec<Attempt>,
    /// Whether the gateway has started to send a response to the client.
    pub(super) response_started: bool,
    /// Whether the request has its final answer or its client has disconnected. Attempts may still be in
    /// flight.
    pub(super) finished: bool,
    pub(super) quota_check: QuotaCheck,
    /// Whether the request is sent although the mean response time of its class rules it out, to correct that
    /// mean.
    pub(super) is_latency_probe: bool,
    /// Whether the request has had to wait for its admission.
    pub(super) waited_for_admission: bool,
}

impl TrackedRequest {
    pub(super) fn new(now: Millis, request: Request, class: Class) -> Self {
        TrackedRequest {
            arrived_at: now,
            objective_at: now + class.latency_objective.min(request.time_left),
            deadline_at: now + request.time_left,
            attempts: Vec::new(),
            response_started: false,
            finished: false,
            quota_check: QuotaCheck::default(),
            is_latency_probe: false,
            waited_for_admission: false,
            request,
            class,
        }
    }

    /// The first attempt whose server may have executed the request.
    pub(super) fn first_possibly_executed_attempt(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_executed)
    }

    pub(super) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.in_flight).count()
    }

    /// Timeout of an attempt that starts now, ms; at least 1. The attempt times out when a response no longer
    /// has any value.
    pub(super) fn attempt_timeout(&self, now: Millis) -> Millis {
        let until = if self.class.late_value > 0.0 { self.deadline_at } else { self.objective_at };
        (until - now).max(1.0)
    }

    /// Whether the request may have another attempt: the idempotency of the class and `max_attempts` allow an
    /// attempt, and no response to the client has started. A `max_attempts` of 0 means that there is no
    /// limit. In a class with idempotency keys, servers remember a key for the `window` of the class. Another
    /// attempt is allowed until one housekeeping interval before the end of this window, which begins with
    /// the start of the first attempt whose server may have executed the request.
    pub(super) fn may_attempt_again(&self, now: Millis, max_attempts: u32) -> bool {
        let idempotency_allows = match (self.class.idempotency, self.first_possibly_executed_attempt()) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::NonIdempotent, Some(_)) => false,
            (Idempotency::IdempotencyKey { window, .. }, Some(first)) => {
                now - first.started_at < window - HOUSEKEEPING_INTERVAL
            }
        };
        let attempts_left = max_attempts == 0 || (self.attempts.len() as u32) < max_attempts;
        idempotency_allows && attempts_left && !self.response_started
    }

    /// Whether the request may be rejected rather than failed. A rejection tells the client that a retry is
    /// harmless.
    pub(super) fn is_safe_to_reject(&self) -> bool {
        let may_repeat_on_all_servers = matches!(
            self.class.idempotency,
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. }
        );
        may_repeat_on_all_servers || self.first_possibly_executed_attempt().is_none()
    }
}
