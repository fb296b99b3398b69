//! What this gateway has sent to the counter of a tenant's units of one disposition, and what it last read.

use super::counter_key::COUNTER_KEY_SPAN;
use crate::ids::{CounterKey, Millis};

/// Totals that differ by less than this are equal: the wire carries them in single precision.
const TOTAL_TOLERANCE: f64 = 0.01;

/// The last read of a counter key whose span is over.
#[derive(Clone, Copy)]
struct ClosingRead {
    key: CounterKey,
    /// Total as last read.
    total: f64,
}

/// Units that other gateways have counted since an earlier read.
pub(super) struct RemoteUnits {
    pub(super) units: f64,
    /// When the earlier read was.
    pub(super) since: Millis,
}

/// One counter of a tenant as this gateway uses it.
pub(super) struct CounterSync {
    /// Units that have not been sent to the counter.
    unsent: f64,
    /// Units of the call that is in flight.
    awaiting_reply: Option<f64>,
    /// Units of calls that ended without a reply: they arrived as far as the next total has risen by them.
    unacknowledged: f64,
    /// Total of the present key as last read.
    last_total: f64,
    /// Span of the present key.
    span: i64,
    read_at: Millis,
    closing_read: Option<ClosingRead>,
}

impl CounterSync {
    pub(super) fn new(span: i64) -> Self {
        CounterSync {
            unsent: 0.0,
            awaiting_reply: None,
            unacknowledged: 0.0,
            last_total: 0.0,
            span,
            read_at: span as f64 * COUNTER_KEY_SPAN,
            closing_read: None,
        }
    }

    pub(super) fn unsent(&self) -> f64 {
        self.unsent
    }

    pub(super) fn add_unsent(&mut self, units: f64) {
        self.unsent += units;
    }

    pub(super) fn span(&self) -> i64 {
        self.span
    }

    pub(super) fn read_at(&self) -> Millis {
        self.read_at
    }

    pub(super) fn is_awaiting_reply(&self) -> bool {
        self.awaiting_reply.is_some()
    }

    pub(super) fn has_pending_calls(&self) -> bool {
        self.awaiting_reply.is_some() || self.closing_read.is_some()
    }

    pub(super) fn has_closing_read(&self) -> bool {
        self.closing_read.is_some()
    }

    /// The old key is read once more; what others add to it meanwhile would be missed.
    pub(super) fn begin_closing_read(&mut self, key: CounterKey) {
        self.closing_read = Some(ClosingRead { key, total: self.last_total });
    }

    /// Goes on with the key of another span, of which nothing has been read.
    pub(super) fn move_to_span(&mut self, span: i64) {
        self.span = span;
        self.last_total = 0.0;
        self.unacknowledged = 0.0;
    }

    /// Takes what is unsent into a call.
    pub(super) fn begin_call(&mut self) -> f64 {
        let units = std::mem::take(&mut self.unsent);
        self.awaiting_reply = Some(units);
        units
    }

    /// Whether a reply of this key ends the closing read, which is then over.
    pub(super) fn ends_closing_read(&mut self, key: CounterKey) -> bool {
        self.closing_read.is_some_and(|read| read.key == key)
    }

    /// Ends the closing read; with a total, what others added since the read before.
    pub(super) fn end_closing_read(&mut self, total: Option<f64>) -> Option<RemoteUnits> {
        let read = self.closing_read.take()?;
        let units = (total? - read.total).max(0.0);
        Some(RemoteUnits { units, since: self.read_at })
    }

    /// Takes in the total that the counter answered: what rose beyond this gateway's own units is the
    /// others'.
    pub(super) fn record_total(&mut self, now: Millis, total: f64) -> RemoteUnits {
        let sent = self.awaiting_reply.take().unwrap_or(0.0);
        // A total below the last one and this call's units: the counter has restarted empty.
        let restarted = total + TOTAL_TOLERANCE < self.last_total + sent;
        let base = if restarted { 0.0 } else { self.last_total };
        let rise = (total - base - sent).max(0.0);
        let arrived = rise.min(self.unacknowledged);
        if base > 0.0 || self.last_total == 0.0 {
            // What did not arrive is sent again, once.
            self.unsent += self.unacknowledged - arrived;
        }
        self.unacknowledged = 0.0;
        self.last_total = total;
        let since = std::mem::replace(&mut self.read_at, now);
        RemoteUnits { units: rise - arrived, since }
    }

    /// The call ended without a reply; `may_have_arrived` where the counter may have added its units all the
    /// same.
    pub(super) fn record_failure(&mut self, may_have_arrived: bool) {
        let sent = self.awaiting_reply.take().unwrap_or(0.0);
        if may_have_arrived {
            self.unacknowledged += sent;
        } else {
            self.unsent += sent;
        }
    }
}
