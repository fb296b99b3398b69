//! The pool of idle upstream connections.

use super::connection::Connection;
use super::connection_limit::{ConnectionLimit, ConnectionPermit};
use crate::event::Outcome;
use crate::ids::{Millis, ServerId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Share of the servers' idle timeout after which an idle connection is closed here. Well below 1, as a
/// request that crosses with the server's close is lost.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;

/// A connection is not reused for this long after a response, ms. A server may send the same response a
/// second time 1 to 3 ms later; a request that is on the connection by then would be given the duplicate.
const REUSE_DELAY: Millis = 20.0;

/// Limits of a [`ConnectionPool`].
pub struct PoolSettings {
    /// Idle time after which the servers close a connection, ms.
    pub server_idle_timeout: Millis,
    /// Time in which a connection must come up, ms.
    pub connect_timeout: Millis,
    /// Maximum number of open connections, idle and in use.
    pub max_connections: usize,
}

/// The idle connections to all servers, and the limit on how many may be open.
pub struct ConnectionPool {
    /// For each server, in the order in which its connections became idle.
    idle: RefCell<HashMap<ServerId, Vec<IdleConnection>>>,
    limit: ConnectionLimit,
    max_idle: Millis,
    connect_timeout: Duration,
}

struct IdleConnection {
    connection: Connection,
    since: Millis,
}

impl ConnectionPool {
    /// An empty pool.
    pub fn new(settings: PoolSettings) -> Self {
        ConnectionPool {
            idle: RefCell::default(),
            limit: ConnectionLimit::new(settings.max_connections),
            max_idle: settings.server_idle_timeout * IDLE_TIMEOUT_SHARE,
            connect_timeout: Duration::from_secs_f64(settings.connect_timeout / 1000.0),
        }
    }

    /// Takes the most recently used connection to a server that is still usable and past [`REUSE_DELAY`].
    pub(super) fn take(&self, server: ServerId, address: SocketAddr, now: Millis) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server)?;
        connections.retain(|idle| idle.connection.address() == address && self.is_usable(idle, now));
        let reusable = connections.iter().rposition(|idle| now - idle.since >= REUSE_DELAY)?;
        Some(connections.remove(reusable).connection)
    }

    /// Gives back a connection that no request is on.
    pub(super) fn put(&self, server: ServerId, connection: Connection, now: Millis) {
        if !connection.is_closed() {
            let mut idle = self.idle.borrow_mut();
            idle.entry(server).or_default().push(IdleConnection { connection, since: now });
        }
    }

    /// Opens a connection. Dropped at an `.await`, it gives its place back after closing its socket.
    ///
    /// # Errors
    /// How the attempt that wanted the connection has ended: `NotSent` if the limit is reached and no idle
    /// connection can be closed instead, which is no fault of the server; else as by [`Connection::open`].
    pub(super) async fn connect(&self, address: SocketAddr) -> Result<Connection, Outcome> {
        let permit = self.acquire_permit().ok_or(Outcome::NotSent)?;
        Connection::open(address, self.connect_timeout, permit).await
    }

    /// Closes connections that have been idle too long and drops those that the server has closed.
    pub fn drop_expired(&self, now: Millis) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| self.is_usable(idle, now));
            !connections.is_empty()
        });
    }

    /// Closes the idle connections of all servers for which `is_wanted` does not hold.
    pub fn retain_servers(&self, is_wanted: impl Fn(ServerId) -> bool) {
        self.idle.borrow_mut().retain(|server, _| is_wanted(*server));
    }

    fn is_usable(&self, idle: &IdleConnection, now: Millis) -> bool {
        !idle.connection.is_closed() && now - idle.since < self.max_idle
    }

    /// A permit for one more connection; at the limit the one that has been idle longest is closed for it.
    fn acquire_permit(&self) -> Option<ConnectionPermit> {
        if self.limit.is_reached() {
            self.close_longest_idle()?;
        }
        Some(self.limit.acquire())
    }

    fn close_longest_idle(&self) -> Option<()> {
        let mut idle = self.idle.borrow_mut();
        let servers = idle.values_mut().filter(|connections| !connections.is_empty());
        let longest = servers.min_by(|a, b| a[0].since.total_cmp(&b[0].since))?;
        longest.remove(0);
        Some(())
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/connection_pool.rs"]
mod tests;
