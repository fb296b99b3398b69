//! Closes a connection when the connection limit is reached, so that the next client can be accepted.

use super::connection::{Connection, Phase};
use super::connection_table::ConnectionTable;
use crate::ids::Millis;
use std::cmp::Ordering;
use std::rc::Rc;

/// A connection is stalled if it takes longer than this, ms, to receive a request. On a new connection this
/// time includes the wait for the first bytes; on an idle connection it starts with the first bytes.
/// If the first bytes were read before the previous response was written, the time starts when that response
/// has been written.
pub const STALL_TIMEOUT: Millis = 100.0;
/// Time, ms, for which a closing connection is not evicted, so that its client can receive the last response.
const CLOSING_GRACE: Millis = STALL_TIMEOUT;

/// Rank of a connection in the order of eviction; connections of a lower rank are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// The connection has been in [`Phase::Reading`] for longer than [`STALL_TIMEOUT`] or in
    /// [`Phase::Closing`] for longer than [`CLOSING_GRACE`].
    Stalled,
    /// The connection is between two requests.
    Idle,
    /// The connection has been in [`Phase::Reading`] for at most [`STALL_TIMEOUT`].
    Recent,
}

/// Position of a connection in the order of eviction: by rank, and within a rank by the time at which the
/// connection entered its phase, earliest first.
#[derive(Clone, Copy, Debug)]
struct EvictionPriority {
    rank: EvictionRank,
    phase_start: Millis,
}

impl EvictionPriority {
    /// Returns the priority of a connection, or `None` if it must not be evicted because its client may
    /// not have received its response yet.
    fn of(connection: &Connection, now: Millis) -> Option<Self> {
        let phase_start = connection.phase_start();
        let time_in_phase = now - phase_start;
        let rank = match connection.phase() {
            Phase::Processing | Phase::Writing => return None,
            Phase::Closing if time_in_phase <= CLOSING_GRACE => return None,
            Phase::Closing => EvictionRank::Stalled,
            Phase::Reading if time_in_phase > STALL_TIMEOUT => EvictionRank::Stalled,
            Phase::Idle => EvictionRank::Idle,
            Phase::Reading => EvictionRank::Recent,
        };
        Some(EvictionPriority { rank, phase_start })
    }

    fn compare(&self, other: &Self) -> Ordering {
        self.rank.cmp(&other.rank).then(self.phase_start.total_cmp(&other.phase_start))
    }
}

struct Candidate<'a> {
    priority: EvictionPriority,
    connection: &'a Rc<Connection>,
}

/// Makes the task of one connection close that connection, so that a new one can be accepted. Returns false
/// if no connection can be closed; new connections then have to wait.
pub fn evict_one(connections: &ConnectionTable, now: Millis) -> bool {
    let entries = connections.entries();
    let candidates = entries.values().filter(|connection| !connection.is_aborted());
    let mut candidates: Vec<Candidate<'_>> = candidates
        .filter_map(|connection| {
            Some(Candidate { priority: EvictionPriority::of(connection, now)?, connection })
        })
        .collect();
    candidates.sort_unstable_by(|a, b| a.priority.compare(&b.priority));
    // The search stops at the first match: each check for unread bytes is a system call, and in a flood of
    // new connections this code runs for every new connection.
    let Some(evicted) = candidates.into_iter().find(|candidate| has_no_unread_request(candidate.connection))
    else {
        return false;
    };
    match evicted.priority.rank {
        // The connection's task checks again before it closes the connection, so that a request that has just
        // arrived is not lost.
        EvictionRank::Idle => evicted.connection.signal_close(),
        EvictionRank::Stalled | EvictionRank::Recent => evicted.connection.abort(),
    }
    true
}

/// Whether the socket holds no request that the gateway would still read. A closing connection reads no more
/// requests; on any other connection, unread bytes may be a request that the runtime has not read yet.
fn has_no_unread_request(connection: &Connection) -> bool {
    connection.phase() == Phase::Closing || !connection.has_unread_bytes()
}
