//! Calls to the counter service: which calls a gateway makes and when, and how it handles the replies.

use super::batched_usage::SyncStatus;
use super::counter_key::{KeyOwner, COUNTER_KEY_TTL};
use super::disposition::Disposition;
use super::gateway::Gateway;
use super::low_traffic::LowTrafficUsage;
use super::quota::Reservation;
use super::random::uniform;
use super::request::TrackedRequest;
use super::tenant::{Tenant, Usage};
use crate::action::Action;
use crate::event::Outcome;
use crate::ids::{CounterKey, Millis, RequestId, TenantId};

impl Tenant {
    fn low_traffic_usage(&mut self) -> Option<&mut LowTrafficUsage> {
        match &mut self.usage {
            Usage::LowTraffic(usage) => Some(usage),
            Usage::Batched(_) => None,
        }
    }
}

impl Gateway {
    fn low_traffic_usage(&mut self, tenant: TenantId) -> Option<&mut LowTrafficUsage> {
        self.tenants.get_mut(&tenant)?.low_traffic_usage()
    }

    fn may_call_counter(&self, now: Millis) -> bool {
        self.settings.counter_enabled && self.counter_health.allows_call(now)
    }

    fn call_counter(&mut self, owner: KeyOwner, key: CounterKey, add: f64) {
        self.counter_calls.insert(key, owner);
        self.actions.push(Action::IncrementCounter { key, add, ttl: COUNTER_KEY_TTL });
    }

    fn call_counter_for_low_traffic(
        &mut self,
        tenant: TenantId,
        key: CounterKey,
        add: f64,
        reserved_for: Option<RequestId>,
    ) {
        let Some(usage) = self.low_traffic_usage(tenant) else { return };
        usage.call_started(key, reserved_for);
        self.call_counter(KeyOwner { tenant, disposition: Disposition::Forwarded }, key, add);
    }

    // ---- Outgoing calls -----------------------------------------------------------------------

    /// Sends a tenant's unsent units to the counter, if calls to the counter are allowed and due. Removes the
    /// tenant from `unsynced_tenants` if no units have to be sent later.
    pub(super) fn sync_counter(&mut self, now: Millis, tenant_id: TenantId) {
        if !self.may_call_counter(now) {
            return;
        }
        let backoff_factor = self.counter_health.backoff_factor();
        let Some(tenant) = self.tenants.get_mut(&tenant_id).filter(|tenant| tenant.has_quota()) else {
            self.unsynced_tenants.remove(&tenant_id);
            return;
        };
        match &mut tenant.usage {
            Usage::Batched(usage) => match usage.sync(now, tenant_id, backoff_factor) {
                SyncStatus::NotDue => {}
                SyncStatus::Idle => _ = self.unsynced_tenants.remove(&tenant_id),
                SyncStatus::Calls(calls) => {
                    for call in calls {
                        let owner = KeyOwner { tenant: tenant_id, disposition: call.disposition };
                        self.call_counter(owner, call.key, call.add);
                    }
                }
            },
            Usage::LowTraffic(usage) => {
                let Some((key, add)) = usage.begin_flush(now, tenant_id, backoff_factor) else { return };
                self.unsynced_tenants.remove(&tenant_id);
                if add > 0.0 {
                    self.call_counter_for_low_traffic(tenant_id, key, add, None);
                }
            }
        }
    }

    /// Reserves units on the counter for a request of a low-traffic tenant. At a backoff factor above 1, only
    /// some requests, chosen at random, make a reservation. No reservation is made while a fresh read is
    /// cached; the cached usage is then used for the request.
    pub(super) fn reserve_on_counter(&mut self, now: Millis, tracked: &mut TrackedRequest) {
        let roll = uniform(&mut self.rng);
        if !self.may_call_counter(now) {
            return;
        }
        let backoff_factor = self.counter_health.backoff_factor();
        let tenant = tracked.request.tenant;
        let units = tracked.request.units;
        let Some(usage) = self.low_traffic_usage(tenant) else { return };
        if let Some(usage_with_request) = usage.fresh_usage_including(now, units) {
            tracked.quota_check.observed_usage = Some(usage_with_request);
            return;
        }
        let call_probability = usage.call_probability(backoff_factor);
        if roll < call_probability {
            let (reservation, add) = usage.begin_reservation(now, tenant, units, call_probability);
            tracked.quota_check.reservation = Some(reservation);
            tracked.quota_check.awaiting_counter = true;
            self.call_counter_for_low_traffic(tenant, reservation.key, add, Some(tracked.request.id));
        }
    }

    /// Releases the reservation of a request of `units` that is not forwarded. At a backoff factor above 1,
    /// only some releases, chosen at random, make a call, and each of these calls releases proportionally
    /// more units. Fewer release calls leave more of the counter's capacity for calls that read the usage.
    /// Nothing is released while calls to the counter are paused.
    pub(super) fn release_reservation(
        &mut self,
        now: Millis,
        tenant: TenantId,
        units: f64,
        reservation: Reservation,
    ) {
        let backoff_factor = self.counter_health.backoff_factor();
        let Some(usage) = self.low_traffic_usage(tenant) else { return };
        let released = usage.units_to_release(now, reservation, units);
        let call_probability = usage.call_probability(backoff_factor);
        if uniform(&mut self.rng) < call_probability && self.counter_health.allows_call(now) {
            self.call_counter_for_low_traffic(tenant, reservation.key, -released / call_probability, None);
        }
    }

    // ---- Replies ------------------------------------------------------------------------------

    /// Handles the end of a counter call that took `elapsed` ms; `total` is valid only if the outcome is
    /// `Ok`.
    pub(super) fn counter_replied(
        &mut self,
        now: Millis,
        key: CounterKey,
        outcome: Outcome,
        elapsed: Millis,
        total: f64,
    ) {
        self.counter_health.record_call_outcome(now, outcome, elapsed);
        let total = (outcome == Outcome::Ok).then_some(total);
        let Some(owner) = self.counter_calls.remove(&key) else { return };
        let Some(tenant) = self.tenants.get_mut(&owner.tenant) else { return };
        match &mut tenant.usage {
            Usage::LowTraffic(_) => self.low_traffic_call_ended(now, owner, key, total),
            Usage::Batched(_) => {
                self.unsynced_tenants.insert(owner.tenant);
                tenant.advance_to(now);
                if let Usage::Batched(usage) = &mut tenant.usage {
                    let may_have_arrived = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
                    usage.call_ended(now, key, owner.disposition, total, may_have_arrived);
                }
            }
        }
    }

    fn low_traffic_call_ended(&mut self, now: Millis, owner: KeyOwner, key: CounterKey, total: Option<f64>) {
        let Some(usage) = self.low_traffic_usage(owner.tenant) else { return };
        let reserved_for = usage.call_ended(key);
        if usage.has_pending_call_for(key) {
            self.counter_calls.insert(key, owner);
        }
        if let Some(id) = reserved_for {
            self.reservation_call_ended(now, id, total);
        }
    }

    /// Handles the end of the counter call that made the reservation of the request `id`. `total` is `None`
    /// if the call failed.
    fn reservation_call_ended(&mut self, now: Millis, id: RequestId, total: Option<f64>) {
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        let check = &mut tracked.quota_check;
        check.awaiting_counter = false;
        let tenant = tracked.request.tenant;
        let Some(usage) = self.tenants.get_mut(&tenant).and_then(Tenant::low_traffic_usage) else { return };
        let Some((total, reservation)) = total.zip(check.reservation) else {
            // The counter may have added the units although the call failed. The key then holds too many
            // units, and the gateways admit fewer requests than the quota allows.
            check.reservation = None;
            return;
        };
        let reply = usage.record_total(now, tenant, reservation, tracked.request.units, total);
        check.observed_usage = Some(reply.observed_usage);
        if let Some(correction) = reply.correction {
            self.call_counter_for_low_traffic(tenant, reservation.key, correction, None);
        }
    }
}
