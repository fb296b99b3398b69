//! Hedged requests: a second attempt for a request whose current attempt is so late that it is probably
//! lost.

use super::gateway::Gateway;
use super::request::TrackedRequest;
use crate::ids::{Millis, RequestId};

/// Age of an attempt at which a hedged request is sent, in mean response times of its class. The delay is
/// long because hedged requests are only meant to replace lost attempts.
const HEDGE_DELAY_FACTOR: f64 = 8.0;

impl Gateway {
    /// Sends hedged requests for late attempts if the settings, the retry budget and the concurrency limit
    /// allow it.
    pub(super) fn send_hedged_requests(&mut self, now: Millis) {
        if !self.settings.hedging_allowed || !self.concurrency.has_room_for_hedging() {
            return;
        }
        let late = self.requests.iter().filter(|(_, tracked)| self.is_late(now, tracked));
        let late: Vec<RequestId> = late.map(|(id, _)| *id).collect();
        for id in late {
            self.start_further_attempt(now, id);
        }
    }

    /// Whether an unanswered request has one attempt in flight and its last attempt is late enough to hedge.
    fn is_late(&self, now: Millis, tracked: &TrackedRequest) -> bool {
        let delay = HEDGE_DELAY_FACTOR * self.class_latency(tracked.request.class);
        let last_is_late = tracked.attempts.last().is_some_and(|last| now - last.started_at > delay);
        last_is_late && !tracked.finished && tracked.deadline_at > now && tracked.attempts_in_flight() == 1
    }
}
