//! Quota admission for a tenant that sends this gateway enough requests for its units to be sent to the
//! counter in batches. The algorithm is probabilistic suppression on a sliding window. Each gateway keeps its
//! own window and adds the units of the other gateways, which it reads from the counter.
//!
//! Requests beyond the quota are rejected with probability 1 − rate / perceived rate. Once the demand reaches
//! [`HARD_LIMIT_FACTOR`] times the burst, all requests beyond the quota are rejected. The last section of
//! `docs/GLOSSARY.md` names the source of this algorithm.

use super::counter_health::is_congested;
use super::counter_key::{counter_key, period_at};
use super::counter_sync::{CounterSync, RemoteUnits};
use super::disposition::Disposition;
use super::quota::{Quota, HARD_LIMIT_FACTOR};
use super::sliding_window::SlidingWindow;
use crate::ids::{CounterKey, Millis, TenantId};

/// Width of a bucket of the sliding window, ms. The width is small compared with a window of seconds, so that
/// units leave the window in small steps.
const BUCKET_WIDTH: Millis = 250.0;
/// Minimum time between two syncs of a tenant with the counter at a backoff factor of 1, ms; equals the width
/// of one bucket. The first sync of a tenant is exempt. For a low-traffic tenant, a cached read that is
/// younger than this interval is used instead of a counter call.
pub(super) const SYNC_INTERVAL: Millis = 250.0;
/// Additional time, ms, after [`SYNC_INTERVAL`] that unsent units wait for a full batch. After this time they
/// are sent to the counter even if they are fewer than a batch. The sum of both times, which is measured from
/// the last sync, is multiplied by the backoff factor.
const FLUSH_DELAY: Millis = 1000.0;
/// Units in a batch, as a share of the burst. With this size, calls are rare, and the window of each gateway
/// still includes recent units of the other gateways.
const SYNC_BATCH_SHARE: f64 = 0.1;
/// Upper bound of the factor by which the backoff enlarges a batch and the interval between batches. The
/// bound limits the part of the burst that the unsent units of one gateway can reach.
const MAX_BATCH_FACTOR: f64 = 4.0;
/// Amount by which the exponent of the backoff factor is reduced for a tenant whose demand has reached the
/// burst; for less demand, the reduction is proportionally smaller. A tenant near its quota backs off less
/// because outdated usage does the most harm there.
const NEAR_QUOTA_BACKOFF_REDUCTION: f64 = 0.8;
/// Share of the burst kept free, once demand reaches the burst, for units that other gateways have forwarded
/// and this gateway has not read yet.
const HEADROOM_SHARE: f64 = 0.15;
/// Time after which the cached rejection probability is computed again, ms.
const REJECTION_PROBABILITY_TTL: Millis = 100.0;
/// Window of the short-term rate, ms. The perceived rate is the larger of the short-term rate and the mean
/// rate over the sliding window.
const SHORT_TERM_RATE_WINDOW: Millis = 1000.0;
/// Lower bound of this gateway's estimated share of a tenant's units, as a fraction of an even share.
const MIN_LOCAL_SHARE: f64 = 0.25;
/// Minimum length, ms, of the time span over which remote units are spread. The span normally begins at the
/// previous read.
const MIN_REMOTE_UNITS_SPAN: Millis = 1.0;

/// A rejection probability (the suppression factor) and the time at which it was computed.
#[derive(Clone, Copy)]
struct CachedRejectionProbability {
    computed_at: Millis,
    probability: f64,
}

/// A counter call that has to be made now, for a tenant's units of one disposition.
pub(super) struct DueCall {
    pub(super) key: CounterKey,
    pub(super) disposition: Disposition,
    /// Units to add; 0 only reads the total.
    pub(super) add: f64,
}

/// Result of checking whether a tenant's units have to be sent to the counter.
pub(super) enum SyncStatus {
    /// No call is due, but units are unsent or a call is in flight.
    NotDue,
    /// There are no unsent units, and no call is in flight.
    Idle,
    /// These calls have to be made now. The list is empty if every call that is due has to wait for a call in
    /// flight.
    Calls(Vec<DueCall>),
}

/// A tenant's usage of its quota, counted by this gateway and synchronized with the counter in batches.
pub(super) struct BatchedUsage {
    quota: Quota,
    window: SlidingWindow,
    forwarded: CounterSync,
    not_forwarded: CounterSync,
    /// Time at which the last sync began; before the first sync, the time at which this state was created.
    last_sync_at: Millis,
    cached_rejection_probability: Option<CachedRejectionProbability>,
    /// Units by which the tenant's token bucket is below its full size.
    bucket_deficit: f64,
    /// Whether a counter call for this tenant has ended, with or without a reply.
    first_call_ended: bool,
    /// Units that other gateways are assumed to have forwarded, because the last read was too old. The next
    /// read of forwarded units resets this number to 0.
    assumed_remote_units: f64,
}

impl BatchedUsage {
    pub(super) fn new(quota: Quota, now: Millis) -> Self {
        let period = period_at(now);
        BatchedUsage {
            quota,
            window: SlidingWindow::new(BUCKET_WIDTH),
            forwarded: CounterSync::new(period),
            not_forwarded: CounterSync::new(period),
            last_sync_at: now,
            cached_rejection_probability: None,
            bucket_deficit: 0.0,
            first_call_ended: false,
            assumed_remote_units: 0.0,
        }
    }

    fn counter_sync(&mut self, disposition: Disposition) -> &mut CounterSync {
        match disposition {
            Disposition::Forwarded => &mut self.forwarded,
            Disposition::NotForwarded => &mut self.not_forwarded,
        }
    }

    // ---- Counting -----------------------------------------------------------------------------

    /// Drops the buckets that begin at or before `now` minus the width of the sliding window, and refills the
    /// token bucket for `seconds` of elapsed time.
    pub(super) fn advance_to(&mut self, now: Millis, seconds: f64) {
        self.window.drop_before(now - self.quota.window());
        self.bucket_deficit = (self.bucket_deficit - seconds * self.quota.rate).max(0.0);
    }

    /// Counts the units of a request that this gateway forwarded or did not forward.
    ///
    /// If the last read is at least `max_cache_age` old, because the counter is unresponsive or too congested
    /// to be read for this tenant, the other gateways are assumed to count units in proportion to their
    /// shares of the tenant's units. Without this assumption, each gateway would grant the full quota. The
    /// cost is that requests within the quota are rejected if traffic has moved to this gateway since the
    /// last read. The next read adds the units that other gateways have forwarded beyond the assumed units.
    /// Units assumed in excess are counted until they leave the window.
    pub(super) fn record(
        &mut self,
        now: Millis,
        disposition: Disposition,
        units: f64,
        max_cache_age: Option<Millis>,
    ) {
        let age = now - self.forwarded.read_at();
        let stale = max_cache_age.is_some_and(|max_age| age >= max_age);
        let fleet_units = if stale { units / self.local_share() } else { units };
        self.count_units(disposition, now, fleet_units);
        if disposition == Disposition::Forwarded {
            self.window.record_forwarded_locally(now, units);
            self.assumed_remote_units += fleet_units - units;
        }
        self.counter_sync(disposition).add_unsent(units);
    }

    fn count_units(&mut self, disposition: Disposition, at: Millis, units: f64) {
        self.window.add(disposition, at, units);
        if disposition == Disposition::Forwarded {
            self.bucket_deficit = (self.bucket_deficit + units).min(self.quota.burst);
        }
    }

    /// This gateway's share of the tenant's forwarded units, smoothed towards an even share while few units
    /// are in the window.
    fn local_share(&self) -> f64 {
        let gateway_count = self.quota.gateway_count;
        let share = (self.window.forwarded_locally() + 1.0)
            / (self.window.total(Disposition::Forwarded) + gateway_count);
        share.clamp(MIN_LOCAL_SHARE / gateway_count, 1.0)
    }

    // ---- Admission ----------------------------------------------------------------------------

    /// Whether the quota admits a request of `units`; `roll` is a uniform draw from 0 to 1.
    pub(super) fn admits(&mut self, now: Millis, units: f64, roll: f64) -> bool {
        if self.quota.rate <= 0.0 {
            return true;
        }
        let burst = self.quota.burst;
        let demand = self.window.demand_since(now - self.quota.window());
        // A tenant whose demand reaches its quota uses up the quota in any case, so the headroom costs the
        // tenant nothing in the long run. The headroom covers units that other gateways have forwarded and
        // this gateway has not read yet.
        let headroom = if demand >= burst { HEADROOM_SHARE * burst } else { 0.0 };
        let needed = units + headroom;
        if self.window.total(Disposition::Forwarded) + needed <= burst {
            return true;
        }
        // The window ignores the refill of the token bucket. After a burst, the window alone would reject
        // requests that the quota still allows.
        if self.bucket_deficit + needed <= burst {
            return true;
        }
        let past_hard_limit = demand >= burst * HARD_LIMIT_FACTOR;
        !past_hard_limit && roll >= self.rejection_probability(now)
    }

    /// The rejection probability of a request beyond the quota: 1 − rate / perceived rate. The Trypema rate
    /// limiter calls it the suppression factor. The result may be cached.
    fn rejection_probability(&mut self, now: Millis) -> f64 {
        let cached = self
            .cached_rejection_probability
            .filter(|cached| now - cached.computed_at < REJECTION_PROBABILITY_TTL);
        if let Some(cached) = cached {
            return cached.probability;
        }
        let window = self.quota.window();
        let mean_rate = self.window.demand_since(now - window) * 1000.0 / window;
        let short_term_rate =
            self.window.demand_since(now - SHORT_TERM_RATE_WINDOW) * 1000.0 / SHORT_TERM_RATE_WINDOW;
        let probability = (1.0 - self.quota.rate / mean_rate.max(short_term_rate)).clamp(0.0, 1.0);
        self.cached_rejection_probability =
            Some(CachedRejectionProbability { computed_at: now, probability });
        probability
    }

    /// Units that the token bucket has to refill before it holds `units`.
    pub(super) fn missing_units(&self, units: f64) -> f64 {
        (self.bucket_deficit + units - self.quota.burst).max(0.0)
    }

    // ---- Synchronization with the counter -----------------------------------------------------

    /// Whether a counter call for units of either disposition is in flight.
    pub(super) fn has_pending_calls(&self) -> bool {
        self.forwarded.has_pending_calls() || self.not_forwarded.has_pending_calls()
    }

    /// The backoff factor of this tenant's calls, derived from the `backoff_factor` of all calls of this
    /// gateway. A tenant far from its quota backs off more than a tenant near its quota.
    fn tenant_backoff_factor(&self, backoff_factor: f64) -> f64 {
        let quota_used = (self.window.demand() / self.quota.burst).min(1.0);
        backoff_factor.powf(1.0 - NEAR_QUOTA_BACKOFF_REDUCTION * quota_used)
    }

    /// Marks the counter calls that are due now as in flight and returns them. Until the tenant's first call
    /// has ended, calls do not wait for a full batch, because each call also reads the units that other
    /// gateways have sent. At a backoff factor above 1, these early calls wait until the unsent units reach a
    /// share of the tenant's burst or a flush is due; this share increases with the backoff factor.
    pub(super) fn sync(&mut self, now: Millis, tenant: TenantId, backoff_factor: f64) -> SyncStatus {
        let unsent = self.forwarded.unsent() + self.not_forwarded.unsent();
        let backoff = self.tenant_backoff_factor(backoff_factor);
        let batch = SYNC_BATCH_SHARE * self.quota.burst;
        let since_last_sync = now - self.last_sync_at;
        let first_call_due = !self.first_call_ended
            && !self.forwarded.is_awaiting_reply()
            && unsent >= (backoff - 1.0) * batch;
        let flush_due = since_last_sync >= (SYNC_INTERVAL + FLUSH_DELAY) * backoff;
        let min_units = if flush_due { 0.0 } else { batch * backoff.min(MAX_BATCH_FACTOR) };
        let batch_due = unsent > 0.0
            && unsent >= min_units
            && since_last_sync >= SYNC_INTERVAL * backoff.min(MAX_BATCH_FACTOR);
        if !first_call_due && !batch_due {
            let idle = unsent <= 0.0 && !self.has_pending_calls();
            return if idle { SyncStatus::Idle } else { SyncStatus::NotDue };
        }
        // The key periods of all tenants counted in batches end at the same time. While the counter is
        // congested, tenants far from their quota therefore skip the final reads.
        let final_read_allowed = !first_call_due && !is_congested(backoff);
        let not_forwarded = self.not_forwarded.unsent();
        let not_forwarded_due = batch_due && not_forwarded > 0.0 && not_forwarded >= min_units;
        let mut calls = self.begin_calls(Disposition::Forwarded, now, tenant, final_read_allowed);
        if not_forwarded_due {
            calls.extend(self.begin_calls(Disposition::NotForwarded, now, tenant, final_read_allowed));
        }
        SyncStatus::Calls(calls)
    }

    /// Begins a call that sends the unsent units of one disposition, unless such a call is in flight. The
    /// first call of a new period is preceded by a final read of the old key if `final_read_allowed`. The
    /// final read returns the units that other gateways have added since the previous read.
    fn begin_calls(
        &mut self,
        disposition: Disposition,
        now: Millis,
        tenant: TenantId,
        final_read_allowed: bool,
    ) -> Vec<DueCall> {
        let mut calls = Vec::new();
        let period = period_at(now);
        let counter_sync = self.counter_sync(disposition);
        if counter_sync.is_awaiting_reply() {
            return calls;
        }
        if counter_sync.period() != period {
            let old_key = counter_key(tenant, disposition, counter_sync.period());
            if final_read_allowed && !counter_sync.has_pending_final_read() {
                counter_sync.begin_final_read(old_key);
                calls.push(DueCall { key: old_key, disposition, add: 0.0 });
            }
            counter_sync.move_to_period(period);
        }
        let add = counter_sync.begin_call();
        calls.push(DueCall { key: counter_key(tenant, disposition, period), disposition, add });
        self.last_sync_at = now;
        calls
    }

    /// Handles the end of a call. `total` is the total that the counter returned, or `None` if the call
    /// failed. `may_have_arrived` says whether the counter may have added the units of a failed call.
    pub(super) fn call_ended(
        &mut self,
        now: Millis,
        key: CounterKey,
        disposition: Disposition,
        total: Option<f64>,
        may_have_arrived: bool,
    ) {
        self.first_call_ended = true;
        let counter_sync = self.counter_sync(disposition);
        let remote = if counter_sync.is_final_read(key) {
            counter_sync.end_final_read(total)
        } else if let Some(total) = total {
            Some(counter_sync.record_total(now, total))
        } else {
            counter_sync.record_failure(may_have_arrived);
            None
        };
        if let Some(remote) = remote {
            self.distribute_remote_units(now, disposition, remote);
        }
    }

    /// Counts other gateways' units, less the units already assumed, spread evenly over the time since the
    /// previous read. Units from before the sliding window are dropped.
    fn distribute_remote_units(&mut self, now: Millis, disposition: Disposition, remote: RemoteUnits) {
        let mut units = remote.units;
        if disposition == Disposition::Forwarded {
            units -= units.min(self.assumed_remote_units);
            self.assumed_remote_units = 0.0;
        }
        if units <= 0.0 {
            return;
        }
        let span_start = remote.previous_read_at.min(now - MIN_REMOTE_UNITS_SPAN);
        let start_in_window = span_start.max(now - self.quota.window());
        units *= (now - start_in_window) / (now - span_start);
        let slice_count = ((now - start_in_window) / BUCKET_WIDTH).ceil().max(1.0);
        for slice in 0..slice_count as i64 {
            let at = now - (slice as f64 + 0.5) * (now - start_in_window) / slice_count;
            self.count_units(disposition, at, units / slice_count);
        }
    }
}
