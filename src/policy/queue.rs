//! Requests that wait to be forwarded, and which of them are served first or shed.

use super::gateway::Gateway;
use crate::ids::{Millis, RequestId};

/// Requests queued, as a share of the concurrency limit; past it those of least value are rejected early.
const MAX_QUEUE_SHARE: f64 = 0.5;
/// A queued request's value falls by its waiting time, from this many times to the rest of it at its
/// objective.
const FRESH_FACTOR: f64 = 1.2;

/// A queued request and how much it matters.
struct Queued {
    id: RequestId,
    value: f64,
}

impl Gateway {
    pub(super) fn enqueue(&mut self, id: RequestId) {
        self.queue.insert(id);
    }

    /// Forwards queued requests, those of most value first, and rejects those that can no longer meet their
    /// objective or are too many.
    pub(super) fn serve_queue(&mut self, now: Millis) {
        for (position, queued) in self.take_queue(now).into_iter().enumerate() {
            let id = queued.id;
            let limit = self.concurrency.limit();
            // On a subset a request may wait for its server while the limit is not reached: that is no
            // overload.
            let is_bounded = !self.selector.subset_active() || self.concurrency.is_exhausted();
            if is_bounded && position as f64 > MAX_QUEUE_SHARE * limit {
                self.reject_or_fail(now, id);
            } else {
                self.decide(now, id);
            }
        }
    }

    /// Empties the queue into the order in which it is served.
    fn take_queue(&mut self, now: Millis) -> Vec<Queued> {
        let mut order = Vec::new();
        for id in std::mem::take(&mut self.queue) {
            if !self.requests.contains_key(&id) {
                continue;
            }
            if self.can_meet_objective(now, id) {
                order.extend(self.value_of(now, id).map(|value| Queued { id, value }));
            } else {
                self.reject_or_fail(now, id);
            }
        }
        order.sort_by(|a, b| b.value.total_cmp(&a.value).then(b.id.cmp(&a.id)));
        order
    }

    /// Value of a request per millisecond of service. Newer ones first among equals: under pressure the
    /// oldest would only just miss their objective.
    fn value_of(&self, now: Millis, id: RequestId) -> Option<f64> {
        let in_flight = self.requests.get(&id)?;
        let plan = self.settings.plans.get(in_flight.request.plan.0);
        let multiplier = plan.map_or(1.0, |plan| plan.priority_multiplier);
        let service_time = self.class_latency(in_flight.request.class).max(1.0);
        let value = in_flight.class.priority_weight * multiplier * in_flight.request.units / service_time;
        let waited = now - in_flight.arrived_at;
        let allowed = in_flight.objective_at - in_flight.arrived_at;
        Some(value * (FRESH_FACTOR - waited / allowed))
    }
}
