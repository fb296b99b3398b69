//! Accepts client connections and limits their number.

use super::connection::{Connection, UnreadBytesCheck};
use super::connection_table::ConnectionTable;
use super::connection_task::serve_connection;
use super::request_handler::RequestHandler;
use super::{eviction, idle_reaper};
use crate::net::event_loop::EventLoop;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept. Without the pause, the loop would spin while the process has no free file
/// descriptors, because each accept would fail immediately.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Longest wait for any connection to close before the next eviction.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(20);

/// Accepts client connections, serves each in its own task and closes idle ones during a shutdown.
pub struct ClientListener {
    event_loop: Rc<EventLoop>,
    handler: Rc<RequestHandler>,
    connections: Rc<ConnectionTable>,
    max_connections: usize,
}

impl ClientListener {
    /// Creates a listener that keeps at most `max_connections` connections open.
    pub fn new(event_loop: Rc<EventLoop>, max_connections: usize) -> Rc<Self> {
        Rc::new(ClientListener {
            handler: Rc::new(RequestHandler::new(event_loop.clone())),
            event_loop,
            connections: Rc::default(),
            max_connections,
        })
    }

    /// Accepts connections until the returned future is dropped. At the connection limit, new connections
    /// wait in the accept queue of `listener` until an open connection has closed.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            self.wait_until_below_limit().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    let stream = Rc::new(stream);
                    self.spawn_connection(stream.clone(), stream);
                }
                Err(e) => {
                    log::warn!("failed to accept a client connection, retrying in {ACCEPT_BACKOFF:?}: {e}");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Waits until the number of open connections is below the limit. Meanwhile, evicts connections that the
    /// `eviction` module selects, and sets the handler's saturated flag while no connection can be evicted.
    async fn wait_until_below_limit(&self) {
        while self.connections.count() >= self.max_connections {
            let evicted = self.evict_one();
            self.handler.set_saturated(!evicted);
            // An idle connection that was asked to close stays open if a request arrives on it first. The
            // next iteration then evicts another connection.
            let _ = tokio::time::timeout(EVICTION_TIMEOUT, self.connections.connection_removed()).await;
        }
        self.handler.set_saturated(false);
    }

    fn evict_one(&self) -> bool {
        eviction::evict_one(&self.connections, self.event_loop.now())
    }

    /// Registers a connection and starts its task.
    fn spawn_connection(&self, stream: Rc<TcpStream>, unread_check: Rc<dyn UnreadBytesCheck>) {
        // The connection is registered here, before the next one is accepted, so that a burst of connections
        // cannot exceed the limit.
        let registered =
            self.connections.register(Connection::new(stream, unread_check, self.event_loop.now()));
        let task = serve_connection(registered, self.handler.clone(), self.event_loop.clone());
        tokio::task::spawn_local(task);
    }

    /// Periodically closes connections that are idle for too long or make no progress; never returns.
    pub async fn run_idle_reaper(self: Rc<Self>) {
        idle_reaper::reap_periodically(&self.connections, || self.event_loop.now()).await;
    }

    /// Makes each later response close its connection, so that clients move to other gateways. A connection
    /// on which a further request has arrived stays open until that request has been answered.
    pub fn start_draining(&self) {
        self.handler.start_draining();
    }

    /// Asks the tasks of idle connections to close them. A connection is idle here if it has no outstanding
    /// response and no part of a further request has arrived on it. A connection that was accepted recently
    /// and still waits for its first request is not closed.
    pub fn close_idle(&self) {
        let now = self.event_loop.now();
        let entries = self.connections.entries();
        let idle_connections = entries.values().filter(|connection| connection.may_close_in_shutdown(now));
        idle_connections.for_each(|connection| connection.signal_close());
    }

    /// Makes the handler answer each request that has a valid head with 503 as soon as its body has been
    /// read, because no time is left to serve the request.
    pub fn reject_new_requests(&self) {
        self.handler.reject_new_requests();
    }

    /// Number of open connections, including those that are closing.
    pub fn connection_count(&self) -> usize {
        self.connections.count()
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/client.rs"]
mod tests;
