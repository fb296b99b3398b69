//! The lifecycle of a request: arrival, admission, attempts, retries and one final answer, or none if the
//! client disconnects first.

use super::admission::{admit, Admission};
use super::class_latency::{ClassLatency, TimeCheck};
use super::disposition::Disposition;
use super::gateway::Gateway;
use super::housekeeping::HOUSEKEEPING_INTERVAL;
use super::random::uniform;
use super::request::{Attempt, TrackedRequest};
use super::tenant::{Tenant, Usage};
use crate::action::Action;
use crate::event::{Outcome, Request};
use crate::ids::{ClassId, Millis, RequestId};

/// Mean response times of its class that a request needs to be forwarded when it arrives.
const MEANS_TO_FORWARD: f64 = 0.5;
/// Mean response times of its class that a waiting request needs to stay in the queue.
const MEANS_TO_WAIT: f64 = 2.0;
/// A request with at least this share of its class's latency objective left never arrives too late, whatever
/// the mean response time of the class.
const TIMELY_SHARE: f64 = 0.9;

impl Gateway {
    /// Mean response time of a class, ms; 0 if the class is unknown.
    pub(super) fn class_latency(&self, class: ClassId) -> Millis {
        self.class_latency.get(class.0).map_or(0.0, ClassLatency::mean)
    }

    /// Number of servers divided by the number of gateways in the fleet.
    fn servers_per_gateway(&self) -> f64 {
        self.selector.len() as f64 / self.settings.fleet_gateway_count.max(1.0)
    }

    /// Adjusts the bounds of the concurrency limit to the servers that are listed now.
    pub(super) fn update_concurrency_bounds(&mut self) {
        let servers_per_gateway = self.servers_per_gateway();
        self.concurrency.update_server_count(servers_per_gateway);
    }

    // ---- Arrival and admission ----------------------------------------------------------------

    pub(super) fn request_arrived(&mut self, now: Millis, request: Request) {
        let class = self.settings.classes.get(request.class.0).cloned().unwrap_or_default();
        let id = request.id;
        let tenant_id = request.tenant;
        let is_tenant_known = self.record_arrival_of_tenant(now, &request);
        let mut tracked = TrackedRequest::new(now, request, class);
        if !is_tenant_known {
            self.requests.insert(id, tracked);
            self.reject_or_fail(now, id);
            return;
        }
        let arrived_too_late = self.arrived_too_late(now, &mut tracked);
        if !arrived_too_late {
            self.reserve_on_counter(now, &mut tracked);
        }
        self.requests.insert(id, tracked);
        self.unsynced_tenants.insert(tenant_id);
        if arrived_too_late {
            self.reject_or_fail(now, id);
            return;
        }
        self.dispatch(now, id);
        self.sync_counter(now, tenant_id);
    }

    /// Whether a request arrives too close to its latency objective to be forwarded or queued: less than one
    /// housekeeping interval before the objective, or less than [`MEANS_TO_FORWARD`]. A queued request could
    /// run out of time before the next housekeeping run, and would then get no answer. The mean alone does not
    /// rule out a request with almost all of its time left, nor a probe.
    fn arrived_too_late(&mut self, now: Millis, tracked: &mut TrackedRequest) -> bool {
        let time_left = tracked.objective_at - now;
        if time_left < HOUSEKEEPING_INTERVAL {
            return true;
        }
        if time_left >= TIMELY_SHARE * tracked.class.latency_objective {
            return false;
        }
        let class_latency = self.class_latency.get_mut(tracked.request.class.0);
        class_latency.is_some_and(|latency| rules_out(latency, now, tracked, time_left, MEANS_TO_FORWARD))
    }

    /// Records the arrival of a request in the state of its tenant, and creates the state if there is none.
    /// Returns false if there is no room for it.
    fn record_arrival_of_tenant(&mut self, now: Millis, request: &Request) -> bool {
        if let Some(tenant) = self.tenants.get_mut(&request.tenant) {
            tenant.request_arrived(now);
            return true;
        }
        if !self.make_room_for_tenant(now) {
            return false;
        }
        let mut tenant = self.new_tenant(now, request);
        tenant.request_arrived(now);
        self.tenants.insert(request.tenant, tenant);
        true
    }

    fn new_tenant(&self, now: Millis, request: &Request) -> Tenant {
        let plan = self.settings.plans.get(request.plan.0).cloned().unwrap_or_default();
        let max_units = self.settings.max_units.max(1.0);
        let started_at = self.started_at.unwrap_or(now);
        Tenant::new(plan, request.gateway_count, max_units, started_at, now)
    }

    /// Forwards, queues or rejects a request that has not been forwarded yet.
    pub(super) fn dispatch(&mut self, now: Millis, id: RequestId) {
        match self.admit(now, id) {
            Admission::Reject => self.reject_or_fail(now, id),
            Admission::Queue if !self.may_wait_for_admission(now, id) => self.reject_or_fail(now, id),
            Admission::Queue => self.enqueue(id),
            Admission::Admit if !self.forward(now, id) => self.enqueue(id),
            Admission::Admit => {}
        }
    }

    fn admit(&mut self, now: Millis, id: RequestId) -> Admission {
        let roll = uniform(&mut self.rng);
        let Some(tracked) = self.requests.get_mut(&id) else { return Admission::Reject };
        let Some(tenant) = self.tenants.get_mut(&tracked.request.tenant) else { return Admission::Reject };
        admit(now, tracked, tenant, roll)
    }

    /// Whether a request that has to wait for its admission may do so; see [`Gateway::may_wait`].
    fn may_wait_for_admission(&mut self, now: Millis, id: RequestId) -> bool {
        if let Some(tracked) = self.requests.get_mut(&id) {
            tracked.waited_for_admission = true;
        }
        self.may_wait(now, id)
    }

    /// Whether a waiting request can still meet its latency objective: after the time for which it has to wait
    /// at least, twice the mean response time is left. A probe only needs some time.
    ///
    /// If the mean rules out a request that has waited for its admission, the request may become a probe. Each
    /// request of a low-traffic tenant has to wait, so a mean that ruled all of them out would stay, also one
    /// that rules them out only when the counter has replied, a few milliseconds after their arrival.
    pub(super) fn may_wait(&mut self, now: Millis, id: RequestId) -> bool {
        let Some(time_left) = self.time_left_after_wait(now, id).filter(|time_left| *time_left >= 0.0) else {
            return false;
        };
        let Some(tracked) = self.requests.get_mut(&id) else { return false };
        let Some(class_latency) = self.class_latency.get_mut(tracked.request.class.0) else { return true };
        if !tracked.waited_for_admission {
            return tracked.is_latency_probe || time_left >= MEANS_TO_WAIT * class_latency.mean();
        }
        !rules_out(class_latency, now, tracked, time_left, MEANS_TO_WAIT)
    }

    /// Time, ms, that a waiting request has left before its latency objective after its tenant's ceiling has
    /// refilled enough and two housekeeping intervals have passed. `None` if the request is unknown.
    fn time_left_after_wait(&self, now: Millis, id: RequestId) -> Option<Millis> {
        let tracked = self.requests.get(&id)?;
        let request = &tracked.request;
        let tenant = self.tenants.get(&request.tenant);
        let ceiling_wait = tenant.map_or(0.0, |tenant| tenant.ceiling.time_until_available(request.units));
        Some(tracked.objective_at - now - ceiling_wait - 2.0 * HOUSEKEEPING_INTERVAL)
    }

    // ---- Attempts -----------------------------------------------------------------------------

    /// Starts the next attempt of a request if the concurrency limit allows it and a server can be selected.
    /// Returns whether the attempt was started.
    pub(super) fn forward(&mut self, now: Millis, id: RequestId) -> bool {
        let Some(tracked) = self.requests.get_mut(&id) else { return false };
        if !self.concurrency.has_capacity(now) {
            return false;
        }
        let selected = self.selector.select(now, tracked, self.send_rate.per_ms(), &mut self.rng);
        let Some(server) = selected else { return false };
        self.selector.record_forwarded(now, server);
        let timeout = tracked.attempt_timeout(now);
        self.actions.push(Action::Forward { id, server, timeout });
        let is_first_attempt = tracked.attempts.is_empty();
        tracked.attempts.push(Attempt { server, started_at: now, in_flight: true, may_have_executed: true });
        self.concurrency.attempt_started();
        if let Some(class_latency) = self.class_latency.get_mut(tracked.request.class.0) {
            class_latency.attempt_started();
        }
        if let Some(tenant) = self.tenants.get_mut(&tracked.request.tenant) {
            tenant.attempt_started();
            if is_first_attempt && tenant.is_limited() {
                let units = tracked.request.units;
                tenant.record(now, Disposition::Forwarded, units, self.counter_health.max_cache_age());
                if let Usage::LowTraffic(usage) = &mut tenant.usage {
                    usage.record_forwarded(&tracked.quota_check, units);
                }
            }
        }
        if is_first_attempt {
            self.retry_budget.deposit();
            self.send_rate.record(now);
        }
        true
    }

    /// Starts a retry or hedged request if the request, the retry budget and the concurrency limit allow it
    /// and a server can be selected. Returns whether the attempt was started.
    pub(super) fn start_further_attempt(&mut self, now: Millis, id: RequestId) -> bool {
        let started = self.may_start_further_attempt(now, id)
            && self.retry_budget.is_available()
            && self.forward(now, id);
        if started {
            self.retry_budget.withdraw();
        }
        started
    }

    /// Whether another attempt is allowed and could still meet the latency objective.
    fn may_start_further_attempt(&self, now: Millis, id: RequestId) -> bool {
        let Some(tracked) = self.requests.get(&id) else { return false };
        let mean_latency = self.class_latency(tracked.request.class);
        tracked.may_attempt_again(now, self.settings.max_attempts)
            && tracked.objective_at - now > mean_latency
    }

    /// Handles the end of an attempt. `complete` says whether the request has its final answer. If the
    /// request is not finished, has no final answer and has no other attempt in flight, it is retried. If
    /// the attempt was cancelled or no retry can be started, the request is rejected or failed.
    pub(super) fn attempt_ended(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u8,
        outcome: Outcome,
        complete: bool,
    ) {
        self.concurrency.attempt_ended();
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        let Some(ended) = tracked.attempts.get_mut(usize::from(attempt)) else { return };
        ended.in_flight = false;
        ended.may_have_executed = outcome.may_have_executed();
        let latency = now - ended.started_at;
        let finished = tracked.finished;
        let has_attempts_in_flight = tracked.attempts_in_flight() > 0;
        if let Some(tenant) = self.tenants.get_mut(&tracked.request.tenant) {
            tenant.attempt_ended();
        }
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
            let (class, objective) = (tracked.request.class, tracked.class.latency_objective);
            self.record_latency(now, class, latency, objective);
        }
        if finished {
            if !has_attempts_in_flight {
                self.requests.remove(&id);
            }
        } else if complete {
            self.finish(now, id);
        } else if !has_attempts_in_flight {
            let retried = outcome != Outcome::Cancelled && self.start_further_attempt(now, id);
            if !retried {
                self.reject_or_fail(now, id);
            }
        }
    }

    fn record_latency(&mut self, now: Millis, class: ClassId, latency: Millis, objective: Millis) {
        let servers_per_gateway = self.servers_per_gateway();
        let subset_active = self.selector.subset_active();
        self.concurrency.record_latency(now, latency, objective, servers_per_gateway, subset_active);
        if let Some(class_latency) = self.class_latency.get_mut(class.0) {
            class_latency.record(latency);
        }
    }

    // ---- The final answer ---------------------------------------------------------------------

    /// Gives the final answer to a request that gets no response from a server: the request is rejected if a
    /// retry by the client is harmless, and failed otherwise.
    pub(super) fn reject_or_fail(&mut self, now: Millis, id: RequestId) {
        let Some(tracked) = self.requests.get(&id) else { return };
        let action = if tracked.is_safe_to_reject() {
            Action::Reject { id, retry_after: self.retry_after(tracked) }
        } else {
            Action::Fail(id)
        };
        self.queue.remove(&id);
        self.finish(now, id);
        self.actions.push(action);
    }

    /// Time after which a retry by the client may be admitted, ms: the time until the tenant's quota and
    /// ceiling have refilled enough for the request, but at least the mean response time of the class and at
    /// most `max_retry_after`, the longest time that clients obey.
    fn retry_after(&self, tracked: &TrackedRequest) -> Millis {
        let request = &tracked.request;
        let Some(tenant) = self.tenants.get(&request.tenant) else {
            return self.settings.max_retry_after;
        };
        let wait = tenant.time_until_admission(request.units).max(self.class_latency(request.class));
        wait.min(self.settings.max_retry_after)
    }

    /// Marks a request as finished, whatever the reason. Attempts still in flight are cancelled if the
    /// settings allow it and no response has started. A request without attempts is recorded as not
    /// forwarded. The request is removed once none of its attempts is in flight.
    pub(super) fn finish(&mut self, now: Millis, id: RequestId) {
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        if !std::mem::replace(&mut tracked.finished, true) {
            if let Some(tenant) = self.tenants.get_mut(&tracked.request.tenant) {
                tenant.request_finished();
            }
        }
        if self.settings.cancellation_allowed && !tracked.response_started {
            for (index, _) in tracked.attempts.iter().enumerate().filter(|(_, attempt)| attempt.in_flight) {
                self.actions.push(Action::Cancel { id, attempt: index as u8 });
            }
        }
        if tracked.attempts.is_empty() {
            self.record_not_forwarded(now, id);
        }
        if self.requests.get(&id).is_some_and(|tracked| tracked.attempts_in_flight() == 0) {
            self.requests.remove(&id);
        }
    }

    /// Records a request as not forwarded and releases its reservation on the counter, if it has one.
    fn record_not_forwarded(&mut self, now: Millis, id: RequestId) {
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        let tenant_id = tracked.request.tenant;
        let units = tracked.request.units;
        let reservation = tracked.quota_check.reservation.take();
        let max_cache_age = self.counter_health.max_cache_age();
        if let Some(tenant) = self.tenants.get_mut(&tenant_id).filter(|tenant| tenant.has_quota()) {
            self.unsynced_tenants.insert(tenant_id);
            tenant.advance_to(now);
            tenant.record(now, Disposition::NotForwarded, units, max_cache_age);
        }
        if let Some(reservation) = reservation {
            self.release_reservation(now, tenant_id, units, reservation);
        }
    }
}

/// Whether the mean response time of its class rules out a request. Marks a request that is to be sent as a
/// probe, so that later checks do not rule it out.
fn rules_out(
    class_latency: &mut ClassLatency,
    now: Millis,
    tracked: &mut TrackedRequest,
    time_left: Millis,
    mean_count: f64,
) -> bool {
    if tracked.is_latency_probe {
        return false;
    }
    let check = class_latency.check(now, time_left, mean_count);
    tracked.is_latency_probe = check == TimeCheck::Probe;
    check == TimeCheck::TooLittle
}
