//! The way of a request: arrival, admission, attempts, retries and the one final answer.

use super::admission::{admit, Admission};
use super::disposition::Disposition;
use super::gateway::Gateway;
use super::housekeeping::HOUSEKEEPING_INTERVAL;
use super::random::uniform;
use super::request::{Attempt, TrackedRequest};
use super::tenant::{Tenant, Usage};
use crate::action::Action;
use crate::event::{Outcome, Request};
use crate::ids::{ClassId, Millis, RequestId};

/// Gain of a response time in the mean of its class.
const CLASS_LATENCY_GAIN: f64 = 0.03;

impl Gateway {
    /// Mean response time of a class, ms.
    pub(super) fn class_latency(&self, class: ClassId) -> Millis {
        self.class_latency.get(class.0).copied().unwrap_or(0.0)
    }

    /// Servers over gateways, in the whole fleet.
    fn servers_per_gateway(&self) -> f64 {
        self.selector.len() as f64 / self.settings.gateway_count.max(1.0)
    }

    /// Sets the concurrency limit once the first servers are known.
    pub(super) fn initialize_concurrency_limit(&mut self) {
        let servers_per_gateway = self.servers_per_gateway();
        self.concurrency.initialize(servers_per_gateway);
    }

    // ---- Arrival and admission ----------------------------------------------------------------

    pub(super) fn request_arrived(&mut self, now: Millis, request: Request) {
        let class = self.settings.classes.get(request.class.0).cloned().unwrap_or_default();
        let id = request.id;
        let tenant_id = request.tenant;
        self.meet_tenant(now, &request);
        let mut in_flight = TrackedRequest::new(now, request, class);
        let arrived_too_late = self.arrived_too_late(now, &in_flight);
        if !arrived_too_late {
            self.reserve_on_counter(now, &mut in_flight);
        }
        self.requests.insert(id, in_flight);
        self.unsynced.insert(tenant_id);
        if arrived_too_late {
            self.reject_or_fail(now, id);
            return;
        }
        self.decide(now, id);
        self.sync_counter(now, tenant_id);
    }

    /// Whether too little time is left on arrival to try at all: less than half the mean response time, or
    /// less than a housekeeping interval, within which nothing would look at the request again.
    fn arrived_too_late(&self, now: Millis, in_flight: &TrackedRequest) -> bool {
        let half_response_time = self.class_latency(in_flight.request.class) / 2.0;
        in_flight.objective_at - now < half_response_time.max(HOUSEKEEPING_INTERVAL)
    }

    fn meet_tenant(&mut self, now: Millis, request: &Request) {
        let plan = self.settings.plans.get(request.plan.0).cloned().unwrap_or_default();
        let max_units = self.settings.max_units.max(1.0);
        let started_at = self.started_at.unwrap_or(now);
        let tenant = self
            .tenants
            .entry(request.tenant)
            .or_insert_with(|| Tenant::new(plan, request.gateway_count, max_units, started_at, now));
        tenant.mark_seen(now);
    }

    /// Forwards, queues or rejects a request that has not been forwarded yet.
    pub(super) fn decide(&mut self, now: Millis, id: RequestId) {
        match self.admit(now, id) {
            Admission::Reject => self.reject_or_fail(now, id),
            Admission::Queue if !self.can_meet_objective(now, id) => self.reject_or_fail(now, id),
            Admission::Queue => self.enqueue(id),
            Admission::Admit if !self.forward(now, id) => self.enqueue(id),
            Admission::Admit => {}
        }
    }

    fn admit(&mut self, now: Millis, id: RequestId) -> Admission {
        let roll = uniform(&mut self.rng);
        let Some(in_flight) = self.requests.get_mut(&id) else { return Admission::Reject };
        let Some(tenant) = self.tenants.get_mut(&in_flight.request.tenant) else { return Admission::Reject };
        admit(now, in_flight, tenant, roll)
    }

    /// Whether a request that waits can still meet its objective: its ceiling refills in time, and twice the
    /// mean response time and the wait for a housekeeping are left after that.
    pub(super) fn can_meet_objective(&self, now: Millis, id: RequestId) -> bool {
        let Some(in_flight) = self.requests.get(&id) else { return false };
        let request = &in_flight.request;
        let tenant = self.tenants.get(&request.tenant);
        let ceiling_wait = tenant.map_or(0.0, |tenant| tenant.ceiling.time_until_available(request.units));
        let service_time = 2.0 * (self.class_latency(request.class) + HOUSEKEEPING_INTERVAL);
        in_flight.objective_at - now >= service_time + ceiling_wait
    }

    // ---- Attempts -----------------------------------------------------------------------------

    /// Starts a request's next attempt if the concurrency limit and some server allow it.
    pub(super) fn forward(&mut self, now: Millis, id: RequestId) -> bool {
        let Some(in_flight) = self.requests.get_mut(&id) else { return false };
        if !self.concurrency.has_capacity(now) {
            return false;
        }
        let selected = self.selector.select(now, in_flight, self.send_rate.per_ms(), &mut self.rng);
        let Some(server) = selected else { return false };
        self.selector.record_forwarded(now, server);
        let timeout = in_flight.attempt_timeout(now);
        self.actions.push(Action::Forward { id, server, timeout });
        let first = in_flight.attempts.is_empty();
        in_flight.attempts.push(Attempt {
            server,
            started_at: now,
            in_flight: true,
            may_have_executed: true,
        });
        self.concurrency.attempt_started();
        if let Some(tenant) = self.tenants.get_mut(&in_flight.request.tenant) {
            tenant.attempt_started();
            if first && tenant.has_quota() {
                let units = in_flight.request.units;
                tenant.record(now, Disposition::Forwarded, units, self.counter_health.max_cache_age());
                if let Usage::LowTraffic(usage) = &mut tenant.usage {
                    usage.record_forwarded(&in_flight.quota_check, units);
                }
            }
        }
        if first {
            self.retry_budget.deposit();
            self.send_rate.record(now);
        }
        true
    }

    /// Starts a further attempt, paid for by the retry budget; false if none may be or could be started.
    pub(super) fn retry(&mut self, now: Millis, id: RequestId) -> bool {
        let retried = self.may_retry(now, id) && self.retry_budget.is_available() && self.forward(now, id);
        if retried {
            self.retry_budget.withdraw();
        }
        retried
    }

    /// Whether another attempt is allowed and could still meet the objective.
    fn may_retry(&self, now: Millis, id: RequestId) -> bool {
        let Some(in_flight) = self.requests.get(&id) else { return false };
        let service_time = self.class_latency(in_flight.request.class);
        in_flight.may_attempt_again(now, self.settings.max_attempts)
            && in_flight.objective_at - now > service_time
    }

    /// An attempt has ended; `complete` if its request has the final answer by this.
    pub(super) fn attempt_ended(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u8,
        outcome: Outcome,
        complete: bool,
    ) {
        self.concurrency.attempt_ended();
        let Some(in_flight) = self.requests.get_mut(&id) else { return };
        let Some(ended) = in_flight.attempts.get_mut(usize::from(attempt)) else { return };
        ended.in_flight = false;
        ended.may_have_executed = outcome.may_have_executed();
        let latency = now - ended.started_at;
        let finished = in_flight.finished;
        let live = in_flight.attempts_in_flight() > 0;
        if let Some(tenant) = self.tenants.get_mut(&in_flight.request.tenant) {
            tenant.attempt_ended();
        }
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
            let (class, objective) = (in_flight.request.class, in_flight.class.latency_objective);
            self.record_latency(now, class, latency, objective);
        }
        if finished {
            if !live {
                self.requests.remove(&id);
            }
        } else if complete {
            self.finish(now, id);
        } else if !live {
            let retried = outcome != Outcome::Cancelled && self.retry(now, id);
            if !retried {
                self.reject_or_fail(now, id);
            }
        }
    }

    fn record_latency(&mut self, now: Millis, class: ClassId, latency: Millis, objective: Millis) {
        let servers_per_gateway = self.servers_per_gateway();
        let subset_active = self.selector.subset_active();
        self.concurrency.record_latency(now, latency, objective, servers_per_gateway, subset_active);
        if let Some(mean) = self.class_latency.get_mut(class.0) {
            *mean += CLASS_LATENCY_GAIN * (latency - *mean);
        }
    }

    // ---- The final answer ---------------------------------------------------------------------

    /// The final answer without a response: rejected where a retry by the client is harmless, else failed.
    pub(super) fn reject_or_fail(&mut self, now: Millis, id: RequestId) {
        let Some(in_flight) = self.requests.get(&id) else { return };
        let action = if in_flight.is_safe_to_reject() {
            Action::Reject { id, retry_after: self.retry_after(in_flight) }
        } else {
            Action::Fail(id)
        };
        self.queue.remove(&id);
        self.finish(now, id);
        self.actions.push(action);
    }

    /// When a rejected client may find room, ms: once its quota has refilled, and no sooner than a response
    /// takes.
    fn retry_after(&self, in_flight: &TrackedRequest) -> Millis {
        let request = &in_flight.request;
        let Some(tenant) = self.tenants.get(&request.tenant) else { return 0.0 };
        let wait = tenant.time_until_admission(request.units).max(self.class_latency(request.class));
        wait.min(self.settings.max_retry_after)
    }

    /// A request needs nothing more, for whatever reason: one that was never forwarded counts as declined,
    /// and attempts that are still live are cancelled.
    pub(super) fn finish(&mut self, now: Millis, id: RequestId) {
        let Some(in_flight) = self.requests.get_mut(&id) else { return };
        in_flight.finished = true;
        if self.settings.cancellation_allowed && !in_flight.streaming {
            for (number, _) in in_flight.attempts.iter().enumerate().filter(|(_, attempt)| attempt.in_flight)
            {
                self.actions.push(Action::Cancel { id, attempt: number as u8 });
            }
        }
        if in_flight.attempts.is_empty() {
            self.record_not_forwarded(now, id);
        }
        if self.requests.get(&id).is_some_and(|in_flight| in_flight.attempts_in_flight() == 0) {
            self.requests.remove(&id);
        }
    }

    /// Counts a request that was never forwarded, and releases what was reserved for it.
    fn record_not_forwarded(&mut self, now: Millis, id: RequestId) {
        let Some(in_flight) = self.requests.get_mut(&id) else { return };
        let tenant_id = in_flight.request.tenant;
        let units = in_flight.request.units;
        let reservation = in_flight.quota_check.reservation.take();
        let max_cache_age = self.counter_health.max_cache_age();
        if let Some(tenant) = self.tenants.get_mut(&tenant_id).filter(|tenant| tenant.has_quota()) {
            self.unsynced.insert(tenant_id);
            tenant.advance_to(now);
            tenant.record(now, Disposition::NotForwarded, units, max_cache_age);
        }
        if let Some(reservation) = reservation {
            self.release_reservation(now, tenant_id, units, reservation);
        }
    }
}
