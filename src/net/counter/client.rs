//! The client of the counter service.

use super::calls::{CallId, CompletedCall, OutstandingCalls};
use super::connection::PendingKind;
use super::connection_set::{ConnectionSet, CONNECTIONS};
use super::protocol::Increment;
use super::reconnect::Reconnector;
use crate::event::Outcome;
use crate::ids::Millis;
use crate::net::event_sink::EventSink;
use crate::net::supervisor::keep_running;
use std::net::SocketAddr;
use std::rc::Rc;

/// A connection that has owed a reply for this time, ms, is unresponsive, or for [`UNRESPONSIVE_FACTOR`]
/// times the timeout of a call, if that is longer.
const UNRESPONSIVE_AFTER: Millis = 1000.0;
const UNRESPONSIVE_FACTOR: f64 = 1.25;

/// Calls to the counter service, pipelined on a few connections that are kept up.
pub struct CounterClient {
    connections: Rc<ConnectionSet>,
    calls: Rc<OutstandingCalls>,
    unresponsive_after: Millis,
}

impl CounterClient {
    /// A client with all connections down. The caller ends each call after `call_timeout`, ms, by
    /// [`CounterClient::expire_call`].
    pub fn new(address: Option<SocketAddr>, call_timeout: Millis) -> Self {
        CounterClient {
            connections: Rc::new(ConnectionSet::new(address)),
            calls: Rc::default(),
            unresponsive_after: UNRESPONSIVE_AFTER.max(UNRESPONSIVE_FACTOR * call_timeout),
        }
    }

    /// Keeps the connections up for the life of the process, and reports the outcomes of calls to `sink`.
    pub fn start<S: EventSink + Clone + 'static>(&self, sink: &S) {
        for index in 0..CONNECTIONS {
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

    /// The service is at another address from now on. Each connection is used until its replacement is up and
    /// read until it owes no reply: a call is neither lost nor made twice.
    pub fn set_address(&self, address: Option<SocketAddr>) {
        self.connections.set_address(address);
    }

    /// Queues a call.
    ///
    /// # Errors
    /// The call's outcome if it is not sent: `ConnectFailed` where no connection can take it or its amount is
    /// not finite.
    pub fn increment(&self, increment: Increment, now: Millis) -> Result<CallId, Outcome> {
        let connection = self.connections.select(increment.key).ok_or(Outcome::ConnectFailed)?;
        if !connection.has_room() || !increment.amount.is_finite() {
            return Err(Outcome::ConnectFailed);
        }
        let id = self.calls.start(increment.key, now);
        connection.enqueue(PendingKind::Increment(id), increment.to_line().as_bytes(), now);
        Ok(id)
    }

    /// Ends a call that has timed out; none if its outcome has been reported before. A reply that comes later
    /// is matched to it and dropped.
    pub fn expire_call(&self, id: CallId, now: Millis) -> Option<CompletedCall> {
        self.calls.complete(id, now)
    }

    /// Gives up connections that are unresponsive, and pings those that are idle.
    pub fn check_connections(&self, now: Millis) {
        self.connections.check_health(now, self.unresponsive_after);
    }
}
