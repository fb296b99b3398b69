//! Quota admission of a low-traffic tenant: one of which each gateway sees too little to count in batches. In
//! a large fleet that is almost every tenant, and a gateway then knows nothing of a tenant that it has not
//! just read.
//!
//! The count is therefore kept where all gateways can act on it at once. A counter key holds the units
//! accepted since its span began; less what the rate has yielded since then, that is the use in the sliding
//! window. One call both makes a reservation for a request and reads that use, which decides on the request;
//! the reservation of a request that is declined is released. While the counter is congested fewer requests
//! make a call, chosen at random, and each call then stands for more; a request without a call is rejected
//! with the tenant's recent rejection ratio.
//!
//! Guards against gateways that each estimate a rate and then all admit the same excess, or all reject the
//! same room. It covers skewed traffic, spikes and restarts without memory; the cost is a call wherever no
//! read is fresh.

use super::batched_usage::SYNC_INTERVAL;
use super::counter_key::{counter_key, span_at, COUNTER_KEY_SPAN};
use super::disposition::Disposition;
use super::quota::{Quota, QuotaCheck, Reservation, HARD_LIMIT_FACTOR};

use crate::ids::{CounterKey, Millis, RequestId, TenantId};
use std::collections::VecDeque;

/// Power of the backoff factor for a tenant with a ceiling: the ceiling holds it anyway, so it gives way to
/// the others while the counter is congested.
const CEILING_BACKOFF_POWER: f64 = 3.0;
/// Least chance of a call for such a tenant, unless the others' is smaller.
const MIN_CALL_CHANCE: f64 = 0.1;
/// A total that lags behind what the rate has yielded by more than this share of the burst is raised: units
/// saved up beyond the burst would else be admitted at once. Smaller lags are left, which spares calls.
const MAX_LAG: f64 = 1.0;
/// A total that leads by more than this share of the burst is lowered: two gateways have raised it at once.
const MAX_LEAD: f64 = 2.0;
/// Gain of the recent rejection ratio for a decision on a read.
const REJECTION_RATIO_GAIN: f64 = 0.3;
/// Time constant with which the recent rejection ratio decays, ms: tenants exceed their quotas for seconds to
/// hours.
const REJECTION_RATIO_TIME_CONSTANT: Millis = 30_000.0;
/// Keys of tenants are staggered over the span in so many steps: all ending at once would bring on
/// corrections of all tenants together.
const SPAN_STEPS: u64 = 64;

/// A counter call in flight.
struct PendingCall {
    key: CounterKey,
    /// The request whose reservation it makes.
    reserved_for: Option<RequestId>,
}

/// Exponentially decaying share of requests that were rejected.
#[derive(Clone, Copy)]
struct RejectionRatio {
    updated_at: Millis,
    ratio: f64,
}

/// The tenant's use as last read, with what was forwarded here since.
#[derive(Clone, Copy)]
struct CachedUsage {
    read_at: Millis,
    units: f64,
}

/// A tenant's present key, and what the rate has yielded since its span began.
struct KeySpan {
    key: CounterKey,
    yielded: f64,
}

/// What the counter's reply to a reservation says.
pub(super) struct ReservationReply {
    /// The use of the quota with this request, units.
    pub(super) observed_usage: f64,
    /// Units to add to the key so that it is right again.
    pub(super) correction: Option<f64>,
}

/// Use of a quota as reserved on the counter.
pub(super) struct LowTrafficUsage {
    quota: Quota,
    has_ceiling: bool,
    pending_calls: VecDeque<PendingCall>,
    recent_rejections: Option<RejectionRatio>,
    cached_usage: Option<CachedUsage>,
    /// Units forwarded on a cached read that have not been sent to the counter.
    unsent: f64,
}

impl LowTrafficUsage {
    pub(super) fn new(quota: Quota, has_ceiling: bool) -> Self {
        LowTrafficUsage {
            quota,
            has_ceiling,
            pending_calls: VecDeque::new(),
            recent_rejections: None,
            cached_usage: None,
            unsent: 0.0,
        }
    }

    /// The present key. What the key before still holds is forgiven, a burst at most: reading it would cost
    /// more calls.
    fn key_span(&self, tenant: TenantId, now: Millis) -> KeySpan {
        let phase = (tenant.0 % SPAN_STEPS) as f64 / SPAN_STEPS as f64 * COUNTER_KEY_SPAN;
        let shifted = now + phase;
        let key = counter_key(tenant, Disposition::Forwarded, span_at(shifted));
        let yielded = self.quota.rate * shifted.rem_euclid(COUNTER_KEY_SPAN) / 1000.0;
        KeySpan { key, yielded }
    }

    /// Chance with which a call is made.
    pub(super) fn call_chance(&self, backoff_factor: f64) -> f64 {
        let power = if self.has_ceiling { CEILING_BACKOFF_POWER } else { 1.0 };
        backoff_factor.powf(-power).max(MIN_CALL_CHANCE.min(1.0 / backoff_factor))
    }

    /// The use with a request of so many units, if a read of the shortest time between two calls is at hand.
    pub(super) fn fresh_usage_with(&self, now: Millis, units: f64) -> Option<f64> {
        let fresh = self.cached_usage.filter(|cached| now - cached.read_at < SYNC_INTERVAL)?;
        Some(fresh.units + units)
    }

    // ---- Calls --------------------------------------------------------------------------------

    /// A reservation for a request, standing for all those that make no call; and the units to add for it,
    /// with what is unsent.
    pub(super) fn begin_reservation(
        &mut self,
        now: Millis,
        tenant: TenantId,
        units: f64,
        chance: f64,
    ) -> (Reservation, f64) {
        let reservation = Reservation { key: self.key_span(tenant, now).key, units: units / chance };
        (reservation, reservation.units + std::mem::take(&mut self.unsent))
    }

    /// What was forwarded on cached reads and is to be sent to the counter now; none while the last read is
    /// fresh.
    pub(super) fn begin_flush(
        &mut self,
        now: Millis,
        tenant: TenantId,
        backoff_factor: f64,
    ) -> Option<(CounterKey, f64)> {
        let max_age = SYNC_INTERVAL * backoff_factor;
        if self.cached_usage.is_some_and(|cached| now - cached.read_at < max_age) {
            return None;
        }
        Some((self.key_span(tenant, now).key, std::mem::take(&mut self.unsent)))
    }

    /// Units to take back for a reservation of a request of `units` that is not forwarded. What stands for
    /// requests that were admitted without a call stays.
    pub(super) fn units_to_release(&self, now: Millis, reservation: Reservation, units: f64) -> f64 {
        units + (reservation.units - units) * self.recent_rejection_ratio(now)
    }

    pub(super) fn call_started(&mut self, key: CounterKey, reserved_for: Option<RequestId>) {
        self.pending_calls.push_back(PendingCall { key, reserved_for });
    }

    /// The oldest call of a key has ended, as calls of one key end in order: the request whose reservation it
    /// made.
    pub(super) fn call_ended(&mut self, key: CounterKey) -> Option<RequestId> {
        let position = self.pending_calls.iter().position(|call| call.key == key)?;
        self.pending_calls.remove(position)?.reserved_for
    }

    pub(super) fn has_pending_call_of(&self, key: CounterKey) -> bool {
        self.pending_calls.iter().any(|call| call.key == key)
    }

    pub(super) fn has_pending_calls(&self) -> bool {
        !self.pending_calls.is_empty()
    }

    /// Takes in the total that the counter answered to a reservation for a request of `units`.
    pub(super) fn record_total(
        &mut self,
        now: Millis,
        tenant: TenantId,
        reservation: Reservation,
        units: f64,
        total: f64,
    ) -> ReservationReply {
        let present = self.key_span(tenant, now);
        let burst = self.quota.burst;
        let net_usage = total - reservation.units - present.yielded;
        let used = net_usage.max(0.0);
        self.cached_usage = Some(CachedUsage { read_at: now, units: used });
        let lags = net_usage < -MAX_LAG * burst;
        let leads = net_usage > MAX_LEAD * burst;
        let target = if net_usage < 0.0 { 0.0 } else { MAX_LEAD * burst };
        let correction = (present.key == reservation.key && (lags || leads)).then_some(target - net_usage);
        ReservationReply { observed_usage: used + units, correction }
    }

    // ---- Admission ----------------------------------------------------------------------------

    /// Whether the quota admits a request: by its use as just read, or else by the recent rejection ratio.
    /// `roll` is a uniform draw from 0 to 1.
    pub(super) fn admits(&mut self, now: Millis, check: &QuotaCheck, roll: f64) -> bool {
        let burst = self.quota.burst;
        let admitted = match check.observed_usage {
            // Use over burst is the perceived rate over the rate, in a window of burst / rate.
            Some(used) => used <= burst * HARD_LIMIT_FACTOR && roll >= 1.0 - burst / used,
            None => roll >= self.recent_rejection_ratio(now),
        };
        if check.observed_usage.is_some() {
            self.record_admission(now, admitted);
        }
        admitted
    }

    /// Share of this tenant's requests that were rejected lately, 0 to 1.
    fn recent_rejection_ratio(&self, now: Millis) -> f64 {
        self.recent_rejections.map_or(0.0, |recent| {
            recent.ratio * (-(now - recent.updated_at) / REJECTION_RATIO_TIME_CONSTANT).exp()
        })
    }

    fn record_admission(&mut self, now: Millis, admitted: bool) {
        let before = self.recent_rejection_ratio(now);
        let sample = if admitted { 0.0 } else { 1.0 };
        let ratio = before + REJECTION_RATIO_GAIN * (sample - before);
        self.recent_rejections = Some(RejectionRatio { updated_at: now, ratio });
    }

    /// Counts a forwarded request into the cached use, and tells it later where it has no reservation.
    pub(super) fn record_forwarded(&mut self, check: &QuotaCheck, units: f64) {
        if check.observed_usage.is_none() {
            return;
        }
        let Some(cached) = &mut self.cached_usage else { return };
        cached.units += units;
        if check.reservation.is_none() {
            self.unsent += units;
        }
    }
}
