//! Synchronization of one counter of a tenant: the units that this gateway has sent to the counter service,
//! and the total that it last read from the service.

use super::counter_key::COUNTER_KEY_PERIOD;
use crate::ids::{CounterKey, Millis};

/// Totals that differ by less than this many units count as equal, because the simulator's protocol
/// carries them in single precision.
const TOTAL_TOLERANCE: f64 = 0.01;

/// The final read, in flight, of a counter key whose period is over.
#[derive(Clone, Copy)]
struct FinalRead {
    key: CounterKey,
    /// Total that the previous read of the key returned.
    total: f64,
}

/// Units that other gateways have counted since the previous read.
pub(super) struct RemoteUnits {
    pub(super) units: f64,
    /// Time of the previous read.
    pub(super) since: Millis,
}

/// Synchronization state of one counter: one tenant's units of one disposition.
pub(super) struct CounterSync {
    /// Units that have not been sent to the counter.
    unsent: f64,
    /// Units that the call in flight adds to the counter; `None` if no call is in flight.
    awaiting_reply: Option<f64>,
    /// Units of calls that ended without a reply. The counter may have added them; the rise of the next total
    /// shows how many.
    unacknowledged: f64,
    /// Total of the current key as last read.
    last_total: f64,
    /// Number of the current key's period.
    period: i64,
    read_at: Millis,
    final_read: Option<FinalRead>,
}

impl CounterSync {
    pub(super) fn new(period: i64) -> Self {
        CounterSync {
            unsent: 0.0,
            awaiting_reply: None,
            unacknowledged: 0.0,
            last_total: 0.0,
            period,
            read_at: period as f64 * COUNTER_KEY_PERIOD,
            final_read: None,
        }
    }

    pub(super) fn unsent(&self) -> f64 {
        self.unsent
    }

    pub(super) fn add_unsent(&mut self, units: f64) {
        self.unsent += units;
    }

    pub(super) fn period(&self) -> i64 {
        self.period
    }

    pub(super) fn read_at(&self) -> Millis {
        self.read_at
    }

    pub(super) fn is_awaiting_reply(&self) -> bool {
        self.awaiting_reply.is_some()
    }

    pub(super) fn has_pending_calls(&self) -> bool {
        self.awaiting_reply.is_some() || self.final_read.is_some()
    }

    pub(super) fn has_final_read(&self) -> bool {
        self.final_read.is_some()
    }

    /// Records that the old key is being read one last time. Without this read, units that other gateways
    /// added to the key since the previous read would be missed.
    pub(super) fn begin_final_read(&mut self, key: CounterKey) {
        self.final_read = Some(FinalRead { key, total: self.last_total });
    }

    /// Switches to the key of another period; nothing has been read of that key yet.
    pub(super) fn move_to_period(&mut self, period: i64) {
        self.period = period;
        self.last_total = 0.0;
        self.unacknowledged = 0.0;
    }

    /// Moves all unsent units into a new call and returns them.
    pub(super) fn begin_call(&mut self) -> f64 {
        let units = std::mem::take(&mut self.unsent);
        self.awaiting_reply = Some(units);
        units
    }

    /// Whether a call for `key` is the final read in flight.
    pub(super) fn is_final_read(&mut self, key: CounterKey) -> bool {
        self.final_read.is_some_and(|read| read.key == key)
    }

    /// Ends the final read. If the counter returned a total, returns the units that other gateways have added
    /// since the previous read.
    pub(super) fn end_final_read(&mut self, total: Option<f64>) -> Option<RemoteUnits> {
        let read = self.final_read.take()?;
        let units = (total? - read.total).max(0.0);
        Some(RemoteUnits { units, since: self.read_at })
    }

    /// Records the total that the counter returned. The rise since the last total, less this gateway's own
    /// units, is the units of other gateways.
    pub(super) fn record_total(&mut self, now: Millis, total: f64) -> RemoteUnits {
        let sent = self.awaiting_reply.take().unwrap_or(0.0);
        // A total below the last total plus this call's units means that the counter restarted empty.
        let restarted = total + TOTAL_TOLERANCE < self.last_total + sent;
        let base = if restarted { 0.0 } else { self.last_total };
        let rise = (total - base - sent).max(0.0);
        let arrived = rise.min(self.unacknowledged);
        if base > 0.0 || self.last_total == 0.0 {
            // Units that did not reach the counter are sent again, unless a restart of the counter has also
            // lost the earlier total.
            self.unsent += self.unacknowledged - arrived;
        }
        self.unacknowledged = 0.0;
        self.last_total = total;
        let since = std::mem::replace(&mut self.read_at, now);
        RemoteUnits { units: rise - arrived, since }
    }

    /// Records that the call ended without a reply. `may_have_arrived` says whether the counter may still
    /// have added the call's units.
    pub(super) fn record_failure(&mut self, may_have_arrived: bool) {
        let sent = self.awaiting_reply.take().unwrap_or(0.0);
        if may_have_arrived {
            self.unacknowledged += sent;
        } else {
            self.unsent += sent;
        }
    }
}
