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

/// Minimum age, ms, of the oldest pending call at which its connection counts as unresponsive.
const MIN_UNRESPONSIVE_AFTER: Millis = 1000.0;
/// A connection counts as unresponsive when its oldest pending call is this many call timeouts old, if that
/// is longer than [`MIN_UNRESPONSIVE_AFTER`].
const UNRESPONSIVE_AFTER_CALL_TIMEOUTS: f64 = 1.25;

/// Sends calls to the counter service on a few persistent connections.
pub struct CounterClient {
    connections: Rc<ConnectionSet>,
    calls: Rc<OutstandingCalls>,
    unresponsive_after: Millis,
}

impl CounterClient {
    /// Creates a client that has no connections yet. The caller ends each call that gets no reply within
    /// `call_timeout`, ms, with [`CounterClient::expire_call`].
    pub fn new(address: Option<SocketAddr>, call_timeout: Millis) -> Self {
        CounterClient {
            connections: Rc::new(ConnectionSet::new(address)),
            calls: Rc::default(),
            unresponsive_after: MIN_UNRESPONSIVE_AFTER.max(UNRESPONSIVE_AFTER_CALL_TIMEOUTS * call_timeout),
        }
    }

    /// Starts the tasks that keep the connections open for the life of the process. They report the outcomes
    /// of calls to `sink`.
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

    /// Changes the address of the service. Each connection takes calls until its replacement is open. It then
    /// stays open until all its calls are answered, so that the change itself causes no call to be lost or
    /// made twice. Calls still fail if the old connection fails or becomes unresponsive.
    pub fn set_address(&self, address: Option<SocketAddr>) {
        self.connections.set_address(address);
    }

    /// Queues a call.
    ///
    /// # Errors
    /// Returns the outcome `ConnectFailed` if the call is not queued, because no connection can take it or
    /// its amount is not finite.
    pub fn increment(&self, increment: Increment, now: Millis) -> Result<CallId, Outcome> {
        let connection = self.connections.select(increment.key).ok_or(Outcome::ConnectFailed)?;
        if !connection.has_capacity() || !increment.amount.is_finite() {
            return Err(Outcome::ConnectFailed);
        }
        let id = self.calls.start(increment.key, now);
        connection.enqueue(PendingKind::Increment(id), increment.to_line().as_bytes(), now);
        Ok(id)
    }

    /// Ends a call that has timed out. Returns `None` if its outcome was already reported. A late reply is
    /// still matched to the call and then dropped.
    pub fn expire_call(&self, id: CallId, now: Millis) -> Option<CompletedCall> {
        self.calls.complete(id, now)
    }

    /// Marks unresponsive connections, so that they are closed, and pings idle ones.
    pub fn check_connections(&self, now: Millis) {
        self.connections.check_health(now, self.unresponsive_after);
    }
}
