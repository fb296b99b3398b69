//! Hedged requests: another attempt for a request whose attempt in flight has taken so long that its response
//! is probably lost.

use super::gateway::Gateway;
use super::request::TrackedRequest;
use crate::ids::{Millis, RequestId};

/// Age of an attempt at which a hedged request is sent, as a multiple of the mean response time of the
/// request's class. The delay is long because hedged requests are only meant to replace lost attempts.
const HEDGE_DELAY_FACTOR: f64 = 8.0;

impl Gateway {
    /// Sends hedged requests for late attempts, as far as the settings, the retry budget and the concurrency
    /// limit allow. Whether the concurrency limit leaves room for hedging is checked only once, before the
    /// first hedged request.
    pub(super) fn send_hedged_requests(&mut self, now: Millis) {
        if !self.settings.hedging_allowed || !self.concurrency.has_room_for_hedging() {
            return;
        }
        let late_requests = self.requests.iter().filter(|(_, tracked)| self.is_late(now, tracked));
        let late_requests: Vec<RequestId> = late_requests.map(|(id, _)| *id).collect();
        for id in late_requests {
            self.start_further_attempt(now, id);
        }
    }

    /// Whether a request is late enough for a hedged request: the request is not finished, its deadline has
    /// not passed, exactly one of its attempts is in flight, and its most recent attempt started longer ago
    /// than the hedge delay.
    fn is_late(&self, now: Millis, tracked: &TrackedRequest) -> bool {
        let delay = HEDGE_DELAY_FACTOR * self.class_latency(tracked.request.class);
        let last_is_late = tracked.attempts.last().is_some_and(|last| now - last.started_at > delay);
        last_is_late && !tracked.finished && tracked.deadline_at > now && tracked.attempts_in_flight() == 1
    }
}
