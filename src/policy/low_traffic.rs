//! Quota admission of a low-traffic tenant: a tenant that sends each gateway too few requests to count them
//! in batches. In a large fleet almost every tenant is a low-traffic tenant, and a gateway knows the usage of
//! such a tenant only for a short time after reading it from the counter.
//!
//! The usage is therefore kept on the counter, where a change is visible to all gateways at once. The total
//! of a counter key contains the units reserved or forwarded since the period of the key began. This total,
//! less the units that the rate has refilled in the period, is the tenant's usage. One call makes a
//! reservation for a request and reads this usage, and the usage decides whether the request is admitted. If
//! the request is not forwarded, its reservation is released. At a backoff factor above 1, only some
//! requests, chosen at random, make a call, and each call also reserves units for the requests that make no
//! call. A request for which the usage has not been read is rejected with a probability equal to the tenant's
//! recent rejection ratio.
//!
//! If each gateway estimated the tenant's rate on its own, all gateways could admit requests for the same
//! last units of the quota, or could all reject requests although units are unused. The shared total on the
//! counter prevents both. It also works with skewed traffic, spikes, and restarts that lose all state. The
//! cost is one counter call per request, unless a recent read is cached.

use super::batched_usage::SYNC_INTERVAL;
use super::counter_key::{counter_key, period_at, COUNTER_KEY_PERIOD};
use super::disposition::Disposition;
use super::quota::{Quota, QuotaCheck, Reservation, HARD_LIMIT_FACTOR};

use crate::ids::{CounterKey, Millis, RequestId, TenantId};
use std::collections::VecDeque;

/// Exponent of the backoff factor for a tenant with a ceiling. The ceiling limits such a tenant in any case,
/// so its calls are reduced more than those of other tenants while the counter is congested.
const CEILING_BACKOFF_POWER: f64 = 3.0;
/// Lower bound of the call probability for a tenant with a ceiling, unless the probability for other tenants
/// is smaller.
const MIN_CALL_PROBABILITY: f64 = 0.1;
/// A total that is below the refilled units by more than this multiple of the burst is raised to the refilled
/// units. Without this correction, units that have accumulated beyond the burst would be admitted at once.
/// Smaller differences are not corrected, which saves calls.
const MAX_TOTAL_LAG: f64 = 1.0;
/// A total that is above the refilled units by more than this multiple of the burst is lowered to the
/// refilled units plus this multiple of the burst. Such a total can arise when two gateways raise the total
/// of one key at the same time.
const MAX_TOTAL_LEAD: f64 = 2.0;
/// Weight of a new admission decision in the recent rejection ratio. Only decisions that are based on the
/// observed usage change the ratio.
const REJECTION_RATIO_GAIN: f64 = 0.3;
/// Time constant of the decay of the recent rejection ratio, ms. Tenants exceed their quotas for seconds to
/// hours.
const REJECTION_RATIO_TIME_CONSTANT: Millis = 30_000.0;
/// Number of steps in which the key periods of low-traffic tenants are staggered. If all periods ended at the
/// same time, the corrections of all these tenants would be sent together.
const PERIOD_STAGGER_STEPS: u64 = 64;

/// A counter call in flight.
struct PendingCall {
    key: CounterKey,
    /// The request for which the call makes a reservation, if any.
    reserved_for: Option<RequestId>,
}

/// Recent rejection ratio, 0 to 1, at the time of its last update. The exponential decay since then is
/// applied when the ratio is read.
#[derive(Clone, Copy)]
struct RejectionRatio {
    updated_at: Millis,
    ratio: f64,
}

/// The tenant's usage as last read, plus the units of requests that this gateway has since forwarded on the
/// basis of an observed usage.
#[derive(Clone, Copy)]
struct CachedUsage {
    read_at: Millis,
    units: f64,
}

/// A tenant's counter key for the current period, and the units refilled so far in that period.
struct CurrentKey {
    key: CounterKey,
    /// Units that the rate has refilled since the key's period began.
    refilled: f64,
}

/// Usage and correction, computed from the total that the counter returned for a reservation.
pub(super) struct ReservationReply {
    /// Usage of the quota including the request for which the reservation was made, units.
    pub(super) observed_usage: f64,
    /// Units to add to the key to correct its total; negative to lower the total. `None` if the total needs
    /// no correction or belongs to a key whose period has ended.
    pub(super) correction: Option<f64>,
}

/// A low-traffic tenant's usage of its quota, tracked through reservations on the counter.
pub(super) struct LowTrafficUsage {
    quota: Quota,
    has_ceiling: bool,
    pending_calls: VecDeque<PendingCall>,
    last_rejection_ratio: Option<RejectionRatio>,
    cached_usage: Option<CachedUsage>,
    /// Units that were forwarded on the basis of a cached read and have not been sent to the counter.
    unsent: f64,
}

impl LowTrafficUsage {
    pub(super) fn new(quota: Quota, has_ceiling: bool) -> Self {
        LowTrafficUsage {
            quota,
            has_ceiling,
            pending_calls: VecDeque::new(),
            last_rejection_ratio: None,
            cached_usage: None,
            unsent: 0.0,
        }
    }

    /// The counter key of the tenant's period that contains `now`. The usage that is left on the key of the
    /// previous period, normally at most one burst, is ignored, because reading it would cost additional
    /// calls.
    fn current_key(&self, tenant: TenantId, now: Millis) -> CurrentKey {
        let stagger =
            (tenant.0 % PERIOD_STAGGER_STEPS) as f64 / PERIOD_STAGGER_STEPS as f64 * COUNTER_KEY_PERIOD;
        let shifted_now = now + stagger;
        let key = counter_key(tenant, Disposition::Forwarded, period_at(shifted_now));
        let refilled = self.quota.rate * shifted_now.rem_euclid(COUNTER_KEY_PERIOD) / 1000.0;
        CurrentKey { key, refilled }
    }

    /// The probability with which a request, or the release of its reservation, makes a counter call.
    pub(super) fn call_probability(&self, backoff_factor: f64) -> f64 {
        let power = if self.has_ceiling { CEILING_BACKOFF_POWER } else { 1.0 };
        backoff_factor.powf(-power).max(MIN_CALL_PROBABILITY.min(1.0 / backoff_factor))
    }

    /// The usage including a request of `units`, if a read younger than [`SYNC_INTERVAL`] is cached.
    pub(super) fn fresh_usage_including(&self, now: Millis, units: f64) -> Option<f64> {
        let fresh = self.cached_usage.filter(|cached| now - cached.read_at < SYNC_INTERVAL)?;
        Some(fresh.units + units)
    }

    // ---- Calls --------------------------------------------------------------------------------

    /// Begins a reservation for a request of `units`. The reservation also covers the requests that make no
    /// call; `call_probability` is the share of requests that make a call. Returns the reservation, and the
    /// units to add to the counter: the units of the reservation plus all unsent units.
    pub(super) fn begin_reservation(
        &mut self,
        now: Millis,
        tenant: TenantId,
        units: f64,
        call_probability: f64,
    ) -> (Reservation, f64) {
        let reservation =
            Reservation { key: self.current_key(tenant, now).key, units: units / call_probability };
        (reservation, reservation.units + std::mem::take(&mut self.unsent))
    }

    /// Takes the unsent units, possibly 0, so that they can be sent to the counter. Returns the current key
    /// and these units, or `None` while the last read is so recent that unsent units can wait.
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
        Some((self.current_key(tenant, now).key, std::mem::take(&mut self.unsent)))
    }

    /// Units to release from the reservation of a request of `units` that is not forwarded: the request's own
    /// units, plus a share of the units reserved for requests that make no call. The share is the recent
    /// rejection ratio, which estimates how many of those requests are rejected.
    pub(super) fn units_to_release(&self, now: Millis, reservation: Reservation, units: f64) -> f64 {
        units + (reservation.units - units) * self.recent_rejection_ratio(now)
    }

    pub(super) fn call_started(&mut self, key: CounterKey, reserved_for: Option<RequestId>) {
        self.pending_calls.push_back(PendingCall { key, reserved_for });
    }

    /// Removes the call that has ended from the pending calls. Calls for one key end in order, so the oldest
    /// pending call for `key` is removed. Returns the request for which the call made a reservation, if any.
    pub(super) fn call_ended(&mut self, key: CounterKey) -> Option<RequestId> {
        let position = self.pending_calls.iter().position(|call| call.key == key)?;
        self.pending_calls.remove(position)?.reserved_for
    }

    pub(super) fn has_pending_call_for(&self, key: CounterKey) -> bool {
        self.pending_calls.iter().any(|call| call.key == key)
    }

    pub(super) fn has_pending_calls(&self) -> bool {
        !self.pending_calls.is_empty()
    }

    /// Records the total that the counter returned for the reservation of a request of `units`.
    pub(super) fn record_total(
        &mut self,
        now: Millis,
        tenant: TenantId,
        reservation: Reservation,
        units: f64,
        total: f64,
    ) -> ReservationReply {
        let current = self.current_key(tenant, now);
        let burst = self.quota.burst;
        let net_usage = total - reservation.units - current.refilled;
        let used = net_usage.max(0.0);
        self.cached_usage = Some(CachedUsage { read_at: now, units: used });
        let too_low = net_usage < -MAX_TOTAL_LAG * burst;
        let too_high = net_usage > MAX_TOTAL_LEAD * burst;
        let target_usage = if net_usage < 0.0 { 0.0 } else { MAX_TOTAL_LEAD * burst };
        let correction =
            (current.key == reservation.key && (too_low || too_high)).then_some(target_usage - net_usage);
        ReservationReply { observed_usage: used + units, correction }
    }

    // ---- Admission ----------------------------------------------------------------------------

    /// Decides whether the quota admits a request. The decision is based on the observed usage or, if the
    /// usage has not been read for the request, on the recent rejection ratio. A decision based on the
    /// observed usage changes the recent rejection ratio. `roll` is a uniform draw from 0 to 1.
    pub(super) fn decide_admission(&mut self, now: Millis, check: &QuotaCheck, roll: f64) -> bool {
        let burst = self.quota.burst;
        let admitted = match check.observed_usage {
            // Over a window of burst / rate seconds, used / burst equals perceived rate / rate.
            Some(used) => used <= burst * HARD_LIMIT_FACTOR && roll >= 1.0 - burst / used,
            None => roll >= self.recent_rejection_ratio(now),
        };
        if check.observed_usage.is_some() {
            self.record_decision(now, admitted);
        }
        admitted
    }

    /// Share of rejections among the tenant's recent decisions that were based on the observed usage, 0 to 1.
    /// The share decays with time and is 0 before the first such decision.
    fn recent_rejection_ratio(&self, now: Millis) -> f64 {
        self.last_rejection_ratio.map_or(0.0, |recent| {
            recent.ratio * (-(now - recent.updated_at) / REJECTION_RATIO_TIME_CONSTANT).exp()
        })
    }

    fn record_decision(&mut self, now: Millis, admitted: bool) {
        let before = self.recent_rejection_ratio(now);
        let sample = if admitted { 0.0 } else { 1.0 };
        let ratio = before + REJECTION_RATIO_GAIN * (sample - before);
        self.last_rejection_ratio = Some(RejectionRatio { updated_at: now, ratio });
    }

    /// Adds the units of a forwarded request to the cached usage, if the request was admitted on the basis of
    /// the observed usage. If the request has no reservation, its units are sent to the counter later.
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
