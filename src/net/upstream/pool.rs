//! The pool of idle upstream connections.

use super::connection::Connection;
use super::connection_limit::{ConnectionLimit, ConnectionPermit};
use crate::event::Outcome;
use crate::ids::{Millis, ServerId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Share of the servers' idle timeout after which the gateway closes an idle connection. The share is well
/// below 1 because a request that is sent while the server closes the connection is lost.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;

/// Time for which a connection is not reused after a response, ms. A server may send the same response again
/// 1 to 3 ms later, and a request sent on the connection before the duplicate arrives would receive the
/// duplicate as its response.
const REUSE_DELAY: Millis = 20.0;

/// Timeouts and limits of a [`ConnectionPool`].
pub struct PoolSettings {
    /// Time after which the servers close an idle connection, ms.
    pub server_idle_timeout: Millis,
    /// Maximum time for opening a connection, ms.
    pub connect_timeout: Millis,
    /// Maximum number of open connections, both idle and in use.
    pub max_connections: usize,
}

/// The idle connections to all servers, and the limit on the number of open connections.
pub struct ConnectionPool {
    /// The idle connections of each server, in the order in which they became idle.
    idle_by_server: RefCell<HashMap<ServerId, Vec<IdleConnection>>>,
    limit: ConnectionLimit,
    max_idle_time: Millis,
    connect_timeout: Duration,
}

struct IdleConnection {
    connection: Connection,
    idle_since: Millis,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(settings: PoolSettings) -> Self {
        ConnectionPool {
            idle_by_server: RefCell::default(),
            limit: ConnectionLimit::new(settings.max_connections),
            max_idle_time: settings.server_idle_timeout * IDLE_TIMEOUT_SHARE,
            connect_timeout: Duration::from_secs_f64(settings.connect_timeout / 1000.0),
        }
    }

    /// Takes a connection to a server from the pool: the most recently used one that is still usable and has
    /// been idle for at least [`REUSE_DELAY`]. Closes the server's idle connections that are no longer usable
    /// or that were opened to another address.
    pub(super) fn take(&self, server: ServerId, address: SocketAddr, now: Millis) -> Option<Connection> {
        let mut idle_by_server = self.idle_by_server.borrow_mut();
        let connections = idle_by_server.get_mut(&server)?;
        connections.retain(|entry| entry.connection.address() == address && self.is_usable(entry, now));
        let reusable_index = connections.iter().rposition(|entry| now - entry.idle_since >= REUSE_DELAY)?;
        Some(connections.remove(reusable_index).connection)
    }

    /// Adds a connection to the pool as idle unless it is closed. No request may be in flight on the
    /// connection.
    pub(super) fn put(&self, server: ServerId, connection: Connection, now: Millis) {
        if !connection.is_closed() {
            let mut idle_by_server = self.idle_by_server.borrow_mut();
            idle_by_server.entry(server).or_default().push(IdleConnection { connection, idle_since: now });
        }
    }

    /// Opens a connection. If this future is dropped at an `.await`, the socket is closed before the permit
    /// is released.
    ///
    /// # Errors
    /// The outcome of the attempt that needs the connection: `NotSent` if the limit is reached and there is
    /// no idle connection to close, which is not the server's fault; otherwise the error of
    /// [`Connection::open`].
    pub(super) async fn connect(&self, address: SocketAddr) -> Result<Connection, Outcome> {
        let permit = self.acquire_permit().ok_or(Outcome::NotSent)?;
        Connection::open(address, self.connect_timeout, permit).await
    }

    /// Closes the idle connections that have expired, and removes those that the server has closed.
    pub fn drop_expired(&self, now: Millis) {
        self.idle_by_server.borrow_mut().retain(|_, connections| {
            connections.retain(|entry| self.is_usable(entry, now));
            !connections.is_empty()
        });
    }

    /// Closes the idle connections of all servers for which `keep` returns false.
    pub fn retain_servers(&self, keep: impl Fn(ServerId) -> bool) {
        self.idle_by_server.borrow_mut().retain(|server, _| keep(*server));
    }

    fn is_usable(&self, entry: &IdleConnection, now: Millis) -> bool {
        !entry.connection.is_closed() && now - entry.idle_since < self.max_idle_time
    }

    /// Acquires a permit for one more connection. If the limit is reached, closes the connection that has
    /// been idle longest, or returns `None` if no connection is idle.
    fn acquire_permit(&self) -> Option<ConnectionPermit> {
        if self.limit.is_reached() {
            self.close_longest_idle()?;
        }
        Some(self.limit.acquire())
    }

    fn close_longest_idle(&self) -> Option<()> {
        let mut idle_by_server = self.idle_by_server.borrow_mut();
        let connection_lists = idle_by_server.values_mut().filter(|connections| !connections.is_empty());
        let connections = connection_lists.min_by(|a, b| a[0].idle_since.total_cmp(&b[0].idle_since))?;
        connections.remove(0);
        Some(())
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/connection_pool.rs"]
mod tests;
