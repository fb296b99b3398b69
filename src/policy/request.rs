//! A request that this gateway has taken, and its attempts.

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
    /// It has not ended.
    pub(super) in_flight: bool,
    /// Nothing proves that the server never executed it.
    pub(super) may_have_executed: bool,
}

/// A request from its arrival until its last attempt has ended.
pub(super) struct TrackedRequest {
    pub(super) request: Request,
    pub(super) class: Class,
    pub(super) arrived_at: Millis,
    /// When a response stops to earn its full value.
    pub(super) objective_at: Millis,
    /// When the client gives up.
    pub(super) deadline_at: Millis,
    /// In the order in which they were started.
    pub(super) attempts: Vec<Attempt>,
    /// A response has begun to stream to the client.
    pub(super) streaming: bool,
    /// It has its final answer, or its client has gone; attempts may still be live.
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

    /// The first attempt that a server may have executed.
    pub(super) fn first_possible_execution(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_executed)
    }

    pub(super) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.in_flight).count()
    }

    /// Time-out of an attempt that starts now, ms: until the last moment at which a response earns anything.
    pub(super) fn attempt_timeout(&self, now: Millis) -> Millis {
        let until = if self.class.late_value > 0.0 { self.deadline_at } else { self.objective_at };
        (until - now).max(1.0)
    }

    /// Whether another attempt would break neither the idempotency of the class nor the number of attempts
    /// allowed (0: any number). A window for repeats counts as over one housekeeping interval early.
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

    /// Whether a rejection keeps its promise that a retry by the client is harmless.
    pub(super) fn is_safe_to_reject(&self) -> bool {
        let deduplicated_everywhere = matches!(
            self.class.idempotency,
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. }
        );
        deduplicated_everywhere || self.first_possible_execution().is_none()
    }
}
