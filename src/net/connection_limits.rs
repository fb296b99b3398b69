//! How many connections the limits of the process allow.

use crate::config::Limits;

/// File descriptors for all that is no client's or server's connection: the counter's connections (twice as
/// many while it moves), discovery's, the listener and the runtime's own.
const RESERVED_DESCRIPTORS: usize = 24;
/// Share of the connections that clients get; servers get the rest. A request needs a connection to a server,
/// and a hedged one a second.
const CLIENT_SHARE: f64 = 0.5;
/// Share of the memory limit that connections may take in the worst case.
const MEMORY_SHARE: f64 = 0.6;
/// What one connection takes in the worst case, MB: its buffers, and the body of a request and of a response.
const CONNECTION_MEMORY_MB: f64 = 0.16;
/// Bounds of the number of connections to clients and servers together, whatever the limits.
const MIN_CONNECTIONS: usize = 16;
const MAX_CONNECTIONS: usize = 4096;

/// The most connections that may be open at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// To clients.
    pub max_clients: usize,
    /// To servers.
    pub max_upstream: usize,
}

impl ConnectionLimits {
    /// What the file descriptors and the memory of the process allow.
    pub fn within(limits: Limits) -> Self {
        let by_memory = (limits.memory_mb * MEMORY_SHARE / CONNECTION_MEMORY_MB).max(0.0) as usize;
        let by_descriptors = limits.sockets.saturating_sub(RESERVED_DESCRIPTORS);
        let total = by_descriptors.min(by_memory).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS);
        let max_clients = (total as f64 * CLIENT_SHARE) as usize;
        ConnectionLimits { max_clients, max_upstream: total - max_clients }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/connection_limits.rs"]
mod tests;
