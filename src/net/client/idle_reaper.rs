//! Closes connections that have been idle for too long or make no progress.

use super::connection::Phase;
use super::connection_table::ConnectionTable;
use crate::ids::Millis;
use std::time::Duration;

/// Interval between two checks of all connections for expired timeouts.
const REAP_INTERVAL: Duration = Duration::from_millis(250);

/// Closes timed-out connections every [`REAP_INTERVAL`] and never returns; `now` returns the Unix time in ms.
pub async fn reap_periodically(connections: &ConnectionTable, now: impl Fn() -> Millis) {
    loop {
        tokio::time::sleep(REAP_INTERVAL).await;
        close_timed_out(connections, now());
    }
}

fn close_timed_out(connections: &ConnectionTable, now: Millis) {
    for connection in connections.entries().values().filter(|connection| connection.has_timed_out(now)) {
        match connection.phase() {
            // At least a part of a request has arrived, but the runtime has not read it yet.
            Phase::Idle if connection.has_unread_bytes() => {}
            Phase::Idle => connection.signal_close(),
            _ => connection.abort(),
        }
    }
}
