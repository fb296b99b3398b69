//! Hedged requests: a second attempt beside one that is so late that it is probably lost.

use super::gateway::Gateway;
use super::request::TrackedRequest;
use crate::ids::{Millis, RequestId};

/// A hedged request goes out after this many mean response times of its class: late, as it is for lost
/// attempts only.
const HEDGE_DELAY_FACTOR: f64 = 8.0;

impl Gateway {
    /// Sends hedged requests where the settings, the retry budget and the concurrency limit allow it.
    pub(super) fn send_hedged_requests(&mut self, now: Millis) {
        if !self.settings.hedging_allowed || !self.concurrency.has_room_for_hedging() {
            return;
        }
        let late = self.requests.iter().filter(|(_, in_flight)| self.is_late(now, in_flight));
        let late: Vec<RequestId> = late.map(|(id, _)| *id).collect();
        for id in late {
            self.retry(now, id);
        }
    }

    fn is_late(&self, now: Millis, in_flight: &TrackedRequest) -> bool {
        let delay = HEDGE_DELAY_FACTOR * self.class_latency(in_flight.request.class);
        let last_is_late = in_flight.attempts.last().is_some_and(|last| now - last.started_at > delay);
        last_is_late
            && !in_flight.finished
            && in_flight.deadline_at > now
            && in_flight.attempts_in_flight() == 1
    }
}
