//! The client of the counter service.

use super::calls::{CallId, CompletedCall, OutstandingCalls};
use super::connection::PendingKind;
use super::connection_set::{ConnectionSet, CONNECTION_COUNT};
use super::protocol::Increment;
use super::reconnect::Reconnector;
use crate::event::Outcome;
use crate::ids::Millis;
use crate::net::event_sink::EventSink;
use crate::net::supervisor::keep_running;
use std::net::SocketAddr;
use std::rc::Rc;

/// Lower limit of [`CounterClient::unresponsive_after`], ms.
const MIN_UNRESPONSIVE_AFTER: Millis = 1000.0;
/// Ratio of [`CounterClient::unresponsive_after`] to the call timeout, unless the result is below
/// [`MIN_UNRESPONSIVE_AFTER`].
const UNRESPONSIVE_TO_CALL_TIMEOUT_RATIO: f64 = 1.25;

/// Sends calls to the counter service over a few persistent connections.
pub struct CounterClient {
    connections: Rc<ConnectionSet>,
    calls: Rc<OutstandingCalls>,
    /// Time, ms, that the oldest pending call of a connection may wait for its reply before the connection is
    /// marked as unresponsive. Also the time that a retired connection may be idle while calls are pending.
    unresponsive_after: Millis,
}

impl CounterClient {
    /// Creates a client that has no connections yet. The client does not time out calls: the caller must call
    /// [`CounterClient::expire_call`] for each call that gets no reply within `call_timeout`, ms. Without an
    /// address, all calls fail until [`CounterClient::set_address`] sets one.
    pub fn new(address: Option<SocketAddr>, call_timeout: Millis) -> Self {
        CounterClient {
            connections: Rc::new(ConnectionSet::new(address)),
            calls: Rc::default(),
            unresponsive_after: MIN_UNRESPONSIVE_AFTER.max(UNRESPONSIVE_TO_CALL_TIMEOUT_RATIO * call_timeout),
        }
    }

    /// Starts the tasks that keep the connections open for the life of the process. The tasks report the
    /// outcomes of queued calls to `sink`, except timeouts.
    pub fn start<S: EventSink + Clone + 'static>(&self, sink: &S) {
        for index in 0..CONNECTION_COUNT {
            let reconnector = Rc::new(Reconnector {
                index,
                connections: self.connections.clone(),
                calls: self.calls.clone(),
                sink: sink.clone(),
                unresponsive_after: self.unresponsive_after,
            });
            keep_running("counter", move || reconnector.clone().reconnect_loop());
        }
    }

    /// Changes the address of the service. Each connection takes calls until its replacement is open. The old
    /// connection then stays open until all its calls are answered, so that the change of address itself
    /// causes no call to be lost or made twice. Calls still fail if the old connection fails or becomes
    /// unresponsive. With `None`, no replacements are opened, and the connections take calls until they end.
    pub fn set_address(&self, address: Option<SocketAddr>) {
        self.connections.set_address(address);
    }

    /// Queues a call on the connection that the key selects.
    ///
    /// # Errors
    /// Returns the outcome `ConnectFailed` if the call is not queued: no responsive connection is open, the
    /// selected connection has too many pending calls, or the amount is not finite.
    pub fn increment(&self, increment: Increment, now: Millis) -> Result<CallId, Outcome> {
        let connection = self.connections.select(increment.key).ok_or(Outcome::ConnectFailed)?;
        if !connection.has_capacity() || !increment.amount.is_finite() {
            return Err(Outcome::ConnectFailed);
        }
        let id = self.calls.start(increment.key, now);
        connection.enqueue(PendingKind::Increment(id), increment.to_line().as_bytes(), now);
        Ok(id)
    }

    /// Whether the outcome of a call has not been reported yet.
    pub fn is_pending(&self, id: CallId) -> bool {
        self.calls.is_outstanding(id)
    }

    /// Ends a call that has timed out. Returns `None` if its outcome was already reported. A late reply is
    /// still matched to the call and then dropped.
    pub fn expire_call(&self, id: CallId, now: Millis) -> Option<CompletedCall> {
        self.calls.complete(id, now)
    }

    /// Marks the unresponsive connections, so that their tasks close them, and pings the idle connections.
    pub fn check_connections(&self, now: Millis) {
        self.connections.check_health(now, self.unresponsive_after);
    }
}
