//! Accepts client connections and keeps their number within bounds.

use super::connection::{Connection, UnreadBytes};
use super::connection_table::ConnectionTable;
use super::connection_task::serve_connection;
use super::request_handler::RequestHandler;
use super::{eviction, idle_reaper};
use crate::net::event_loop::EventLoop;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept: without free descriptors the next one would fail at once, and the loop would
/// spin.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// How long a connection that was asked to close is waited for before another is asked.
const EVICTION_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts client connections, serves each in a task of its own and closes them at a shutdown.
pub struct ClientListener {
    event_loop: Rc<EventLoop>,
    handler: Rc<RequestHandler>,
    connections: Rc<ConnectionTable>,
    max_connections: usize,
}

impl ClientListener {
    /// A listener that holds `max_connections` open at most.
    pub fn new(event_loop: Rc<EventLoop>, max_connections: usize) -> Rc<Self> {
        Rc::new(ClientListener {
            handler: Rc::new(RequestHandler::new(event_loop.clone())),
            event_loop,
            connections: Rc::default(),
            max_connections,
        })
    }

    /// Accepts connections until the future is dropped.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            self.wait_for_room().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    let stream = Rc::new(stream);
                    self.spawn_connection(stream.clone(), stream);
                }
                Err(e) => {
                    log::warn!("accept: {e}");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Waits until there is room for one more connection, and closes others for it where that loses nothing.
    async fn wait_for_room(&self) {
        while self.connections.count() >= self.max_connections {
            let made_room = self.make_room();
            self.handler.set_saturated(!made_room);
            // One that was asked to close may have received a request meanwhile; then another is asked.
            let _ = tokio::time::timeout(EVICTION_INTERVAL, self.connections.connection_removed()).await;
        }
        self.handler.set_saturated(false);
    }

    fn make_room(&self) -> bool {
        eviction::make_room(&self.connections, self.event_loop.now())
    }

    /// Registers a connection and starts its task.
    fn spawn_connection(&self, stream: Rc<TcpStream>, unread: Rc<dyn UnreadBytes>) {
        // Registered before anything else can be accepted: a burst must not pass the bound.
        let registered = self.connections.register(Connection::new(stream, unread, self.event_loop.now()));
        let task = serve_connection(registered, self.handler.clone(), self.event_loop.clone());
        tokio::task::spawn_local(task);
    }

    /// Closes connections that are idle for too long or make no progress, for the life of the process.
    pub async fn run_idle_reaper(self: Rc<Self>) {
        idle_reaper::reap_periodically(&self.connections, || self.event_loop.now()).await;
    }

    /// From now on responses close their connections, so that clients move on.
    pub fn start_draining(&self) {
        self.handler.start_draining();
    }

    /// Closes the connections that owe no response and on which no request has begun.
    pub fn close_idle(&self) {
        let now = self.event_loop.now();
        let entries = self.connections.entries();
        let idle = entries.values().filter(|connection| connection.may_close_in_shutdown(now));
        idle.for_each(|connection| connection.request_close());
    }

    /// From now on requests are rejected at once: there is no time left to serve them.
    pub fn reject_new_requests(&self) {
        self.handler.start_rejecting();
    }

    /// Number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.count()
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/client.rs"]
mod tests;
