//! Quota admission of a tenant that this gateway sees often enough to count in batches: probabilistic
//! suppression on a sliding window that the gateways share through the counter.
//!
//! Requests beyond the quota are rejected with probability 1 − rate / perceived rate, and nothing beyond a
//! hard multiple of the quota is admitted by chance. Source: last section of `docs/GLOSSARY.md`.

use super::counter_health::is_congested;
use super::counter_key::{counter_key, span_at};
use super::counter_sync::{CounterSync, RemoteUnits};
use super::disposition::Disposition;
use super::quota::{Quota, HARD_LIMIT_FACTOR};
use super::sliding_window::SlidingWindow;
use crate::ids::{CounterKey, Millis, TenantId};

/// Width of a bucket of the window, ms: small beside a window of seconds, so that it ages in small steps.
const BUCKET_WIDTH: Millis = 250.0;
/// Shortest time between two counter calls for a tenant, ms: one bucket.
pub(super) const SYNC_INTERVAL: Millis = 250.0;
/// Units are sent to the counter after this at the latest, ms, however few they are.
const FLUSH_INTERVAL: Millis = 1000.0;
/// Share of the burst that is worth a counter call: keeps calls rare and the window useful.
const SYNC_SHARE: f64 = 0.1;
/// A batch grows by this factor at most while calls are made rarer, so that it never hides much of the burst.
const MAX_BATCH_FACTOR: f64 = 4.0;
/// How much of the backoff, as an exponent, a tenant at its quota is spared: its stale usage costs most.
const NEAR_QUOTA_RELIEF: f64 = 0.8;
/// Share of the burst kept back for what other gateways have forwarded unseen, once demand exceeds the quota.
const QUOTA_RESERVE: f64 = 0.15;
/// How long a suppression factor is used before it is computed anew, ms.
const SUPPRESSION_CACHE: Millis = 100.0;
/// Span of the fast rate that the perceived rate also looks at, ms.
const FAST_RATE_SPAN: Millis = 1000.0;
/// A tenant's share at this gateway counts as this part of an even share at least.
const MIN_EVEN_SHARE: f64 = 0.25;
/// Remote units are spread over the time since the last read, which counts as this long at least, ms.
const MIN_READ_SPAN: Millis = 1.0;

/// Probability of a rejection, as last computed.
#[derive(Clone, Copy)]
struct Suppression {
    computed_at: Millis,
    probability: f64,
}

/// A counter call that is due.
pub(super) struct DueCall {
    pub(super) key: CounterKey,
    pub(super) disposition: Disposition,
    /// Units to add; 0 only reads.
    pub(super) add: f64,
}

/// What a look at a tenant's unsent units says.
pub(super) enum SyncStatus {
    /// Nothing is due yet.
    NotDue,
    /// There is nothing to tell and no reply to wait for.
    Idle,
    /// These calls are due.
    Calls(Vec<DueCall>),
}

/// Use of a quota as counted in batches.
pub(super) struct BatchedUsage {
    quota: Quota,
    window: SlidingWindow,
    forwarded: CounterSync,
    not_forwarded: CounterSync,
    last_sync: Millis,
    suppression: Option<Suppression>,
    /// Units missing from the tenant's full token bucket.
    bucket_deficit: f64,
    /// The counter has answered the first read, or failed it.
    first_read_done: bool,
    /// Units that other gateways are assumed to have accepted while the counter could not be read.
    assumed_remote_units: f64,
}

impl BatchedUsage {
    pub(super) fn new(quota: Quota, now: Millis) -> Self {
        let span = span_at(now);
        BatchedUsage {
            quota,
            window: SlidingWindow::new(BUCKET_WIDTH),
            forwarded: CounterSync::new(span),
            not_forwarded: CounterSync::new(span),
            last_sync: now,
            suppression: None,
            bucket_deficit: 0.0,
            first_read_done: false,
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

    /// Ages the window and drains the bucket by what the rate yields in `seconds`.
    pub(super) fn advance_to(&mut self, now: Millis, seconds: f64) {
        self.window.drop_before(now - self.quota.window());
        self.bucket_deficit = (self.bucket_deficit - seconds * self.quota.rate).max(0.0);
    }

    /// Counts a request of this gateway.
    ///
    /// While the counter is unresponsive, or too congested for this tenant to be read, the other gateways are
    /// assumed to forward their shares at the same time. Guards against each gateway granting the full quota;
    /// the cost is room refused where traffic moves to this gateway meanwhile. The next read corrects it.
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
        self.add(disposition, now, fleet_units);
        if disposition == Disposition::Forwarded {
            self.window.note_forwarded_here(now, units);
            self.assumed_remote_units += fleet_units - units;
        }
        self.counter_sync(disposition).add_unsent(units);
    }

    fn add(&mut self, disposition: Disposition, at: Millis, units: f64) {
        self.window.add(disposition, at, units);
        if disposition == Disposition::Forwarded {
            self.bucket_deficit = (self.bucket_deficit + units).min(self.quota.burst);
        }
    }

    /// This gateway's share of the tenant, smoothed towards an even share where little was seen.
    fn local_share(&self) -> f64 {
        let gateway_count = self.quota.gateway_count;
        let share = (self.window.forwarded_here() + 1.0)
            / (self.window.total(Disposition::Forwarded) + gateway_count);
        share.clamp(MIN_EVEN_SHARE / gateway_count, 1.0)
    }

    // ---- Admission ----------------------------------------------------------------------------

    /// Whether the quota admits a request of so many units; `roll` is a uniform draw from 0 to 1.
    pub(super) fn admits(&mut self, now: Millis, units: f64, roll: f64) -> bool {
        if self.quota.rate <= 0.0 {
            return true;
        }
        let burst = self.quota.burst;
        let demand = self.window.demand_since(now - self.quota.window());
        // A tenant that asks more than its quota gets all of it either way: a reserve costs it nothing
        // lasting, and takes up what the other gateways have forwarded unseen.
        let reserve = if demand >= burst { QUOTA_RESERVE * burst } else { 0.0 };
        let needed = units + reserve;
        if self.window.total(Disposition::Forwarded) + needed <= burst {
            return true;
        }
        // The window forgets that the bucket refills meanwhile: after a burst it alone would reject what the
        // quota still holds.
        if self.bucket_deficit + needed <= burst {
            return true;
        }
        let past_hard_limit = demand >= burst * HARD_LIMIT_FACTOR;
        !past_hard_limit && roll >= self.suppression_probability(now)
    }

    /// The suppression factor: 1 − rate / perceived rate.
    fn suppression_probability(&mut self, now: Millis) -> f64 {
        let cached = self.suppression.filter(|cached| now - cached.computed_at < SUPPRESSION_CACHE);
        if let Some(cached) = cached {
            return cached.probability;
        }
        let window = self.quota.window();
        let mean_rate = self.window.demand_since(now - window) * 1000.0 / window;
        let fast_rate = self.window.demand_since(now - FAST_RATE_SPAN) * 1000.0 / FAST_RATE_SPAN;
        let probability = (1.0 - self.quota.rate / mean_rate.max(fast_rate)).clamp(0.0, 1.0);
        self.suppression = Some(Suppression { computed_at: now, probability });
        probability
    }

    /// Units that have to refill before so many can be admitted.
    pub(super) fn units_short_of(&self, units: f64) -> f64 {
        (self.bucket_deficit + units - self.quota.burst).max(0.0)
    }

    // ---- Synchronisation with the counter -----------------------------------------------------

    /// A reply of the counter is still to come.
    pub(super) fn has_pending_calls(&self) -> bool {
        self.forwarded.has_pending_calls() || self.not_forwarded.has_pending_calls()
    }

    /// The backoff of this tenant's calls: one far from its quota gives way to those near it.
    fn backoff_factor(&self, backoff_factor: f64) -> f64 {
        let quota_used = (self.window.demand() / self.quota.burst).min(1.0);
        backoff_factor.powf(1.0 - NEAR_QUOTA_RELIEF * quota_used)
    }

    /// What is to be sent to the counter now. The first call also reads what other gateways have sent; while
    /// the counter is congested it waits until the tenant's use could matter.
    pub(super) fn sync(&mut self, now: Millis, tenant: TenantId, backoff_factor: f64) -> SyncStatus {
        let unsent = self.forwarded.unsent() + self.not_forwarded.unsent();
        let backoff = self.backoff_factor(backoff_factor);
        let batch = SYNC_SHARE * self.quota.burst;
        let waited = now - self.last_sync;
        let first_read =
            !self.first_read_done && !self.forwarded.is_awaiting_reply() && unsent >= (backoff - 1.0) * batch;
        let flush = waited >= (SYNC_INTERVAL + FLUSH_INTERVAL) * backoff;
        let min_units = if flush { 0.0 } else { batch * backoff.min(MAX_BATCH_FACTOR) };
        let batch_due =
            unsent > 0.0 && unsent >= min_units && waited >= SYNC_INTERVAL * backoff.min(MAX_BATCH_FACTOR);
        if !first_read && !batch_due {
            let idle = unsent <= 0.0 && !self.has_pending_calls();
            return if idle { SyncStatus::Idle } else { SyncStatus::NotDue };
        }
        // All keys end together, so a congested counter is spared the closing reads of tenants far from their
        // quota.
        let read_closing_keys = !first_read && !is_congested(backoff);
        let not_forwarded = self.not_forwarded.unsent();
        let not_forwarded_due = batch_due && not_forwarded > 0.0 && not_forwarded >= min_units;
        let mut calls = self.begin_calls(Disposition::Forwarded, now, tenant, read_closing_keys);
        if not_forwarded_due {
            calls.extend(self.begin_calls(Disposition::NotForwarded, now, tenant, read_closing_keys));
        }
        SyncStatus::Calls(calls)
    }

    /// Begins a call for one disposition's units, unless one is in flight. Before the first call of a new
    /// span the old key may be read once more, for what others added to it since the last read.
    fn begin_calls(
        &mut self,
        disposition: Disposition,
        now: Millis,
        tenant: TenantId,
        read_closing_key: bool,
    ) -> Vec<DueCall> {
        let mut calls = Vec::new();
        let span = span_at(now);
        let counter_sync = self.counter_sync(disposition);
        if counter_sync.is_awaiting_reply() {
            return calls;
        }
        if counter_sync.span() != span {
            let old_key = counter_key(tenant, disposition, counter_sync.span());
            if read_closing_key && !counter_sync.has_closing_read() {
                counter_sync.begin_closing_read(old_key);
                calls.push(DueCall { key: old_key, disposition, add: 0.0 });
            }
            counter_sync.move_to_span(span);
        }
        let add = counter_sync.begin_call();
        calls.push(DueCall { key: counter_key(tenant, disposition, span), disposition, add });
        self.last_sync = now;
        calls
    }

    /// A call has ended; `total` is what the counter answered, if it did, and `may_have_arrived` whether it
    /// may have added the units without an answer.
    pub(super) fn call_ended(
        &mut self,
        now: Millis,
        key: CounterKey,
        disposition: Disposition,
        total: Option<f64>,
        may_have_arrived: bool,
    ) {
        self.first_read_done = true;
        let counter_sync = self.counter_sync(disposition);
        let remote = if counter_sync.ends_closing_read(key) {
            counter_sync.end_closing_read(total)
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

    /// Counts other gateways' units evenly over the time since the read before.
    fn distribute_remote_units(&mut self, now: Millis, disposition: Disposition, remote: RemoteUnits) {
        let mut units = remote.units;
        if disposition == Disposition::Forwarded {
            units -= units.min(self.assumed_remote_units);
            self.assumed_remote_units = 0.0;
        }
        if units <= 0.0 {
            return;
        }
        let from = remote.since.min(now - MIN_READ_SPAN);
        let start = from.max(now - self.quota.window());
        units *= (now - start) / (now - from);
        let steps = ((now - start) / BUCKET_WIDTH).ceil().max(1.0);
        for step in 0..steps as i64 {
            let at = now - (step as f64 + 0.5) * (now - start) / steps;
            self.add(disposition, at, units / steps);
        }
    }
}
