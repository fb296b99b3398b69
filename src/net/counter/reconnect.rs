//! Opens the connections of one slot of the connection set, one after the other.

use super::calls::OutstandingCalls;
use super::connection::{Connection, PendingKind};
use super::connection_set::ConnectionSet;
use super::exchange::exchange;
use crate::event::{Event, Outcome};
use crate::ids::Millis;
use crate::net::event_sink::EventSink;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Time limit for opening a connection to the counter service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before reconnecting after the first failure. Each further failure doubles the delay, up to
/// [`MAX_BACKOFF`]. A connection that received data and was open for longer than the initial delay is
/// replaced without a delay, because the reset of one connection does not mean that the service has failed.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum delay before reconnecting.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Opens a connection for one slot, and opens a new one whenever the connection ends or the address changes.
pub(super) struct Reconnector<S> {
    /// Index of the slot in the connection set.
    pub(super) index: usize,
    pub(super) connections: Rc<ConnectionSet>,
    pub(super) calls: Rc<OutstandingCalls>,
    pub(super) sink: S,
    /// Time, ms, without a read or write after which a retired connection with pending calls fails.
    pub(super) unresponsive_after: Millis,
}

/// The reason why a connection needs a replacement.
#[derive(PartialEq, Eq)]
enum ReconnectReason {
    ConnectionEnded,
    AddressChanged,
}

impl<S: EventSink + Clone + 'static> Reconnector<S> {
    /// Opens a connection, and opens a new one whenever the connection ends or the address changes. While
    /// no address is set, waits until one is set. Runs for the life of the process.
    pub(super) async fn reconnect_loop(self: Rc<Self>) {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let Some(address) = self.connections.address() else {
                self.connections.wait_for_address_change(self.index).await;
                continue;
            };
            if let Some(stream) = connect(address).await {
                let connected_at = Instant::now();
                let connection = Rc::new(Connection::default());
                let reason = self.run_until_replacement_needed(stream, &connection).await;
                let has_worked = connection.has_received() && connected_at.elapsed() > INITIAL_BACKOFF;
                if has_worked || reason == ReconnectReason::AddressChanged {
                    backoff = INITIAL_BACKOFF;
                }
                if has_worked {
                    continue;
                }
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Puts an open connection into the slot, starts its task, and waits until the connection ends or the
    /// address of the service changes. After a change of address, the task continues: the connection takes
    /// calls until its replacement is open, and is read until all its calls are answered.
    async fn run_until_replacement_needed(
        self: &Rc<Self>,
        stream: TcpStream,
        connection: &Rc<Connection>,
    ) -> ReconnectReason {
        self.connections.replace(self.index, connection.clone());
        let task = tokio::task::spawn_local(run_connection(self.clone(), stream, connection.clone()));
        tokio::select! {
            _ = task => ReconnectReason::ConnectionEnded,
            () = self.connections.wait_for_address_change(self.index) => ReconnectReason::AddressChanged,
        }
    }
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.ok()?.ok()?;
    // Nagle's algorithm would delay a call until the bytes of the previous call are acknowledged, and the
    // service may send the acknowledgement only with its reply.
    let _ = stream.set_nodelay(true);
    Some(stream)
}

async fn run_connection<S: EventSink + Clone + 'static>(
    reconnector: Rc<Reconnector<S>>,
    stream: TcpStream,
    connection: Rc<Connection>,
) {
    let guard = ConnectionGuard { reconnector, connection };
    let reconnector = &guard.reconnector;
    let idle_timeout = Duration::from_secs_f64(reconnector.unresponsive_after / 1000.0);
    let result =
        exchange(stream, &guard.connection, &reconnector.calls, &reconnector.sink, idle_timeout).await;
    if let Err(error) = result {
        log::warn!(
            "connection {} to the counter service failed: {error}; its pending calls fail, and the gateway \
             reconnects unless the connection was already replaced",
            reconnector.index
        );
    }
}

/// Removes a connection from its slot when its task ends for any reason, including a panic, and reports the
/// outcomes of its pending calls. A call that was written completely may have been executed; any other call
/// was not executed.
struct ConnectionGuard<S: EventSink> {
    reconnector: Rc<Reconnector<S>>,
    connection: Rc<Connection>,
}

impl<S: EventSink> Drop for ConnectionGuard<S> {
    fn drop(&mut self) {
        let Reconnector { index, connections, calls, sink, .. } = &*self.reconnector;
        connections.remove(*index, &self.connection);
        let now = sink.now();
        for (kind, may_have_executed) in self.connection.take_unanswered().into_calls() {
            let PendingKind::Increment(id) = kind else { continue };
            let Some(call) = calls.complete(id, now) else { continue };
            let outcome = if may_have_executed { Outcome::Reset } else { Outcome::ConnectFailed };
            let elapsed = call.elapsed;
            sink.dispatch(Event::CounterReplied { key: call.key, outcome, elapsed, total: 0.0 });
        }
    }
}
