//! The queue of requests that wait to be forwarded: the order in which they are forwarded, and which of them
//! are rejected early.

use super::gateway::Gateway;
use crate::ids::{Millis, RequestId};

/// Maximum length of the queue, as a share of the concurrency limit. When the queue is longer, the requests
/// of the lowest value are rejected early.
const MAX_QUEUE_SHARE: f64 = 0.5;
/// Factor by which the value of a request is multiplied when the request arrives. The factor decreases
/// linearly with the waiting time and is lower by 1 at the request's `objective_at`.
const INITIAL_VALUE_FACTOR: f64 = 1.2;

/// A queued request and its value, by which the queue is ordered.
struct QueuedRequest {
    id: RequestId,
    value: f64,
}

impl Gateway {
    pub(super) fn enqueue(&mut self, id: RequestId) {
        self.queue.insert(id);
    }

    /// Dispatches queued requests in descending order of value. Rejects requests that can no longer meet
    /// their latency objective and, if the maximum length of the queue applies, requests beyond this length.
    pub(super) fn process_queue(&mut self, now: Millis) {
        for (position, queued) in self.drain_queue_by_value(now).into_iter().enumerate() {
            let id = queued.id;
            let limit = self.concurrency.limit();
            // A gateway that uses a subset of the servers may queue a request because no server of the subset
            // can accept it, although the concurrency limit is not reached. This is not an overload.
            let is_bounded = !self.selector.subset_active() || self.concurrency.is_exhausted();
            if is_bounded && position as f64 > MAX_QUEUE_SHARE * limit {
                self.reject_or_fail(now, id);
            } else {
                self.dispatch(now, id);
            }
        }
    }

    /// Empties the queue and returns its requests in descending order of value. Rejects requests that can no
    /// longer meet their latency objective.
    fn drain_queue_by_value(&mut self, now: Millis) -> Vec<QueuedRequest> {
        let mut queued_requests = Vec::new();
        for id in std::mem::take(&mut self.queue) {
            if !self.requests.contains_key(&id) {
                continue;
            }
            if self.may_wait(now, id) {
                queued_requests.extend(self.request_value(now, id).map(|value| QueuedRequest { id, value }));
            } else {
                self.reject_or_fail(now, id);
            }
        }
        queued_requests.sort_by(|a, b| b.value.total_cmp(&a.value).then(b.id.cmp(&a.id)));
        queued_requests
    }

    /// Value of a request per millisecond of service time. Of otherwise equal requests the newer one has the
    /// higher value, because under overload, requests that are forwarded oldest first would all narrowly miss
    /// their latency objective.
    fn request_value(&self, now: Millis, id: RequestId) -> Option<f64> {
        let tracked = self.requests.get(&id)?;
        let plan = self.settings.plans.get(tracked.request.plan.0);
        let multiplier = plan.map_or(1.0, |plan| plan.priority_multiplier);
        let service_time = self.class_latency(tracked.request.class).max(1.0);
        let value = tracked.class.priority_weight * multiplier * tracked.request.units / service_time;
        let waited = now - tracked.arrived_at;
        let allowed_wait = tracked.objective_at - tracked.arrived_at;
        Some(value * (INITIAL_VALUE_FACTOR - waited / allowed_wait))
    }
}
