//! Keeping the connection of one slot up.

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

/// Time in which a connection must come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay after the first failure, doubled after each further one up to [`MAX_BACKOFF`]. A connection that
/// worked for longer than this is replaced at once: a service that resets one connection has not failed.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Keeps the connection of one slot up.
pub(super) struct Reconnector<S> {
    pub(super) index: usize,
    pub(super) connections: Rc<ConnectionSet>,
    pub(super) calls: Rc<OutstandingCalls>,
    pub(super) sink: S,
    /// Time after which an overdue reply ends the connection, ms.
    pub(super) unresponsive_after: Millis,
}

/// Why [`Reconnector::serve`] returned.
#[derive(PartialEq, Eq)]
enum Served {
    Lost,
    AddressChanged,
}

impl<S: EventSink + Clone + 'static> Reconnector<S> {
    /// Connects, serves the connection and connects again, for the life of the process.
    pub(super) async fn reconnect_loop(self: Rc<Self>) {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let Some(address) = self.connections.address() else {
                self.connections.address_changed(self.index).await;
                continue;
            };
            if let Some(stream) = connect(address).await {
                let up_since = Instant::now();
                let connection = Rc::new(Connection::default());
                let served = self.serve(stream, &connection).await;
                let has_worked = connection.has_received() && up_since.elapsed() > INITIAL_BACKOFF;
                if has_worked || served == Served::AddressChanged {
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

    /// Uses a connection until it is lost or the service's address changes. In the latter case its own task
    /// goes on: it takes calls until its replacement is up, and is read until it owes no reply.
    async fn serve(self: &Rc<Self>, stream: TcpStream, connection: &Rc<Connection>) -> Served {
        self.connections.replace(self.index, connection.clone());
        let task = tokio::task::spawn_local(run_connection(self.clone(), stream, connection.clone()));
        tokio::select! {
            _ = task => Served::Lost,
            () = self.connections.address_changed(self.index) => Served::AddressChanged,
        }
    }
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.ok()?.ok()?;
    // With Nagle's algorithm a call would wait for the reply to the one before.
    let _ = stream.set_nodelay(true);
    Some(stream)
}

async fn run_connection<S: EventSink + Clone + 'static>(
    owner: Rc<Reconnector<S>>,
    stream: TcpStream,
    connection: Rc<Connection>,
) {
    let guard = ConnectionGuard { owner, connection };
    let owner = &guard.owner;
    let max_silence = Duration::from_secs_f64(owner.unresponsive_after / 1000.0);
    let result = exchange(stream, &guard.connection, &owner.calls, &owner.sink, max_silence).await;
    if let Err(error) = result {
        log::warn!("counter connection {} lost: {error}", owner.index);
    }
}

/// Takes a connection out of use whichever way its task ends, and reports the outcome of its pending calls: a
/// call that was written completely may have been executed, any other was not.
struct ConnectionGuard<S: EventSink> {
    owner: Rc<Reconnector<S>>,
    connection: Rc<Connection>,
}

impl<S: EventSink> Drop for ConnectionGuard<S> {
    fn drop(&mut self) {
        let Reconnector { index, connections, calls, sink, .. } = &*self.owner;
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
