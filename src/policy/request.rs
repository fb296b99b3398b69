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
    /// Whether the attempt has not ended yet.
    pub(super) in_flight: bool,
    /// Whether the server may have executed the request. True until the outcome proves that it has not.
    pub(super) may_have_executed: bool,
}

/// The state of a request from its arrival until its last attempt has ended.
pub(super) struct TrackedRequest {
    pub(super) request: Request,
    pub(super) class: Class,
    pub(super) arrived_at: Millis,
    /// Time after which a response no longer has its full value.
    pub(super) objective_at: Millis,
    /// Time at which the client gives up.
    pub(super) deadline_at: Millis,
    /// The attempts in the order in which they were started.
    pub(super) attempts: Vec<Attempt>,
    /// Whether the gateway has started to send a response to the client.
    pub(super) streaming: bool,
    /// Whether the request has its final answer or its client has disconnected. Attempts may still be in
    /// flight.
    pub(super) finished: bool,
    pub(super) quota_check: QuotaCheck,
}

impl TrackedRequest {
    pub(super) fn new(now: Millis, request: Request, class: Class) -> Self {
        TrackedRequest {
            arrived_at: now,
            objective_at: now + class.latency_objective.min(request.time_left),
            deadline_at: now + request.time_left,
            attempts: Vec::new(),
            streaming: false,
            finished: false,
            quota_check: QuotaCheck::default(),
            request,
            class,
        }
    }

    /// The first attempt whose server may have executed the request.
    pub(super) fn first_possible_execution(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_executed)
    }

    pub(super) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.in_flight).count()
    }

    /// Timeout of an attempt that starts now, ms. The attempt times out when a response no longer has any
    /// value.
    pub(super) fn attempt_timeout(&self, now: Millis) -> Millis {
        let until = if self.class.late_value > 0.0 { self.deadline_at } else { self.objective_at };
        (until - now).max(1.0)
    }

    /// Whether the idempotency of the class and `max_attempts` allow another attempt, and no response has
    /// started. A `max_attempts` of 0 means that there is no limit. The window in which servers remember an
    /// idempotency key is treated as one housekeeping interval shorter.
    pub(super) fn may_attempt_again(&self, now: Millis, max_attempts: u32) -> bool {
        let idempotency_allows = match (self.class.idempotency, self.first_possible_execution()) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::NonIdempotent, Some(_)) => false,
            (Idempotency::IdempotencyKey { window, .. }, Some(first)) => {
                now - first.started_at < window - HOUSEKEEPING_INTERVAL
            }
        };
        let attempts_left = max_attempts == 0 || (self.attempts.len() as u32) < max_attempts;
        idempotency_allows && attempts_left && !self.streaming
    }

    /// Whether the request may be rejected. A rejection promises the client that a retry is harmless.
    pub(super) fn is_safe_to_reject(&self) -> bool {
        let deduplicated_everywhere = matches!(
            self.class.idempotency,
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. }
        );
        deduplicated_everywhere || self.first_possible_execution().is_none()
    }
}
