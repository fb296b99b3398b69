//! Synchronization of a tenant's units of one disposition with the counter service: the units that this
//! gateway sends to the service, and the total that it last read from the service.

use super::counter_key::COUNTER_KEY_PERIOD;
use crate::ids::{CounterKey, Millis};

/// A total that is lower than expected by at most this many units does not indicate a counter restart,
/// because the simulator's protocol carries totals in single precision.
const TOTAL_TOLERANCE: f64 = 0.01;

/// A final read in flight. It reads a counter key once more after the period of the key has ended.
#[derive(Clone, Copy)]
struct FinalRead {
    key: CounterKey,
    /// Total that the previous read of the key returned.
    previous_total: f64,
}

/// Units that other gateways have added to the counter since the previous read.
pub(super) struct RemoteUnits {
    pub(super) units: f64,
    /// Time of the previous read. If there was no previous read, the start of the period in which the
    /// [`CounterSync`] was created.
    pub(super) previous_read_at: Millis,
}

/// State of the synchronization of one tenant's units of one disposition.
pub(super) struct CounterSync {
    /// Units that have not been sent to the counter.
    unsent: f64,
    /// Units, possibly 0, that the call in flight adds to the counter. `None` if no call other than a final
    /// read is in flight.
    units_in_flight: Option<f64>,
    /// Units of failed calls that the counter may have added. The rise of the next total is attributed to
    /// these units before any of it is attributed to other gateways.
    unacknowledged: f64,
    /// Total of the current key as last read; 0 before the first read of the key.
    last_total: f64,
    /// Number of the current key's period.
    period: i64,
    /// Time of the last successful call other than a final read. Before the first such call, the start of the
    /// period in which this state was created.
    read_at: Millis,
    final_read: Option<FinalRead>,
}

impl CounterSync {
    pub(super) fn new(period: i64) -> Self {
        CounterSync {
            unsent: 0.0,
            units_in_flight: None,
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

    /// Whether a call other than a final read is in flight.
    pub(super) fn is_awaiting_reply(&self) -> bool {
        self.units_in_flight.is_some()
    }

    pub(super) fn has_pending_calls(&self) -> bool {
        self.units_in_flight.is_some() || self.final_read.is_some()
    }

    pub(super) fn has_pending_final_read(&self) -> bool {
        self.final_read.is_some()
    }

    /// Records that the final read of `key`, the key of the period that has ended, is in flight. Without this
    /// read, units that other gateways added to the key since the previous read would be missed.
    pub(super) fn begin_final_read(&mut self, key: CounterKey) {
        self.final_read = Some(FinalRead { key, previous_total: self.last_total });
    }

    /// Switches to the key of another period. The last total is reset because the new key has not been read
    /// yet, and unacknowledged units are dropped.
    pub(super) fn move_to_period(&mut self, period: i64) {
        self.period = period;
        self.last_total = 0.0;
        self.unacknowledged = 0.0;
    }

    /// Marks all unsent units as in flight in a new call and returns them.
    pub(super) fn begin_call(&mut self) -> f64 {
        let units = std::mem::take(&mut self.unsent);
        self.units_in_flight = Some(units);
        units
    }

    /// Whether a call for `key` is the final read in flight.
    pub(super) fn is_final_read(&mut self, key: CounterKey) -> bool {
        self.final_read.is_some_and(|read| read.key == key)
    }

    /// Ends the final read in flight. If the counter returned a total, returns the units that other gateways
    /// have added since the previous read.
    pub(super) fn end_final_read(&mut self, total: Option<f64>) -> Option<RemoteUnits> {
        let read = self.final_read.take()?;
        let units = (total? - read.previous_total).max(0.0);
        Some(RemoteUnits { units, previous_read_at: self.read_at })
    }

    /// Records the total that the counter returned, and returns the units of other gateways: the rise since
    /// the last total, or since 0 if the counter has restarted, less this gateway's own units.
    pub(super) fn record_total(&mut self, now: Millis, total: f64) -> RemoteUnits {
        let sent = self.units_in_flight.take().unwrap_or(0.0);
        // A total below the last total plus this call's units means that the counter restarted empty.
        let restarted = total + TOTAL_TOLERANCE < self.last_total + sent;
        let base = if restarted { 0.0 } else { self.last_total };
        let rise = (total - base - sent).max(0.0);
        let arrived = rise.min(self.unacknowledged);
        if base > 0.0 || self.last_total == 0.0 {
            // Unacknowledged units that the counter has not added are sent again, unless the counter has lost
            // the last total in a restart.
            self.unsent += self.unacknowledged - arrived;
        }
        self.unacknowledged = 0.0;
        self.last_total = total;
        let previous_read_at = std::mem::replace(&mut self.read_at, now);
        RemoteUnits { units: rise - arrived, previous_read_at }
    }

    /// Records that the call in flight, which is not a final read, failed. `may_have_arrived` says whether
    /// the counter may have added the units nevertheless.
    pub(super) fn record_failure(&mut self, may_have_arrived: bool) {
        let sent = self.units_in_flight.take().unwrap_or(0.0);
        if may_have_arrived {
            self.unacknowledged += sent;
        } else {
            self.unsent += sent;
        }
    }
}
