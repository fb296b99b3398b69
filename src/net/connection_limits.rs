//! Derives the maximum numbers of connections and of tenants from the file descriptor and memory limits of the
//! process.

use crate::config::Limits;

/// Number of file descriptors reserved for everything except client and server connections: the connections
/// to the counter (twice as many while the gateway moves to a new counter address), up to six
/// connections to discovery, the listener and the descriptors of the runtime.
const RESERVED_DESCRIPTORS: usize = 24;
/// Share of all connections that is reserved for clients. The remainder is for connections to servers.
/// A request uses one connection to a server, or two while a hedged request is in flight.
const CLIENT_SHARE: f64 = 0.5;
/// Share of the memory limit that all client and server connections together may use in the worst case.
const MEMORY_SHARE: f64 = 0.6;
/// Memory, MB, that one connection uses in the worst case, for its buffers, one request body and one response
/// body.
const CONNECTION_MEMORY_MB: f64 = 0.16;
/// Share of the memory limit that the state of tenants may use.
const TENANT_MEMORY_SHARE: f64 = 0.2;
/// Memory, MB, that the state of one tenant uses, with its entries in the policy's indexes.
const TENANT_MEMORY_MB: f64 = 0.0012;
/// Minimum of the combined limit for client and server connections, even if the process limits are lower.
const MIN_CONNECTIONS: usize = 16;
/// Maximum of the combined limit for client and server connections, even if the process limits are higher.
const MAX_CONNECTIONS: usize = 4096;

/// Minimum of the limit on tenants, even if the memory limit is lower.
const MIN_TENANTS: f64 = 256.0;

/// The maximum numbers of connections that may be open at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of connections from clients.
    pub max_clients: usize,
    /// Maximum number of connections to servers.
    pub max_upstream: usize,
}

impl ConnectionLimits {
    /// Calculates the connection limits from the file descriptors and the memory that the process may use.
    pub fn from_process_limits(limits: Limits) -> Self {
        let max_by_memory = (limits.memory_mb * MEMORY_SHARE / CONNECTION_MEMORY_MB).max(0.0) as usize;
        let max_by_descriptors = limits.sockets.saturating_sub(RESERVED_DESCRIPTORS);
        let total = max_by_descriptors.min(max_by_memory).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS);
        let max_clients = (total as f64 * CLIENT_SHARE) as usize;
        ConnectionLimits { max_clients, max_upstream: total - max_clients }
    }
}

/// Calculates the maximum number of tenants that the policy may keep state for from the memory that the process
/// may use.
pub fn max_tenants(limits: Limits) -> usize {
    (limits.memory_mb * TENANT_MEMORY_SHARE / TENANT_MEMORY_MB).max(MIN_TENANTS) as usize
}

#[cfg(test)]
#[path = "../../tests/unit/connection_limits.rs"]
mod tests;
