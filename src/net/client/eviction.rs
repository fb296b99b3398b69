//! Chooses the connection to close when the connection limit is reached and a new client wants to connect.

use super::connection::{Connection, Phase};
use super::connection_table::ConnectionTable;
use crate::ids::Millis;
use std::cmp::Ordering;
use std::rc::Rc;

/// A connection that has waited for a complete request for longer than this, ms, counts as stalled. On a new
/// connection this includes the wait for its first bytes.
pub const STALL_TIMEOUT: Millis = 100.0;
/// A closing connection is not evicted for this time, ms, so that its client can receive the last response.
const CLOSING_GRACE: Millis = STALL_TIMEOUT;

/// Eviction class of a connection; connections of a lower rank are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// The client has sent no complete request within [`STALL_TIMEOUT`], or the connection has been closing
    /// for longer than [`CLOSING_GRACE`].
    Stalled,
    /// The connection is between two requests.
    Idle,
    /// The connection has just been accepted or has just started to receive a request.
    Recent,
}

/// Order of eviction: by rank; within a rank, the connection that has been in its phase for longest comes
/// first.
#[derive(Clone, Copy, Debug)]
struct EvictionPriority {
    rank: EvictionRank,
    phase_since: Millis,
}

impl EvictionPriority {
    /// Returns the priority of a connection, or `None` if it must not be evicted because its client may
    /// not have received its response yet.
    fn of(connection: &Connection, now: Millis) -> Option<Self> {
        let phase_since = connection.phase_since();
        let time_in_phase = now - phase_since;
        let rank = match connection.phase() {
            Phase::Processing | Phase::Writing => return None,
            Phase::Closing if time_in_phase <= CLOSING_GRACE => return None,
            Phase::Closing => EvictionRank::Stalled,
            Phase::Reading if time_in_phase > STALL_TIMEOUT => EvictionRank::Stalled,
            Phase::Idle => EvictionRank::Idle,
            Phase::Reading => EvictionRank::Recent,
        };
        Some(EvictionPriority { rank, phase_since })
    }

    fn compare(&self, other: &Self) -> Ordering {
        self.rank.cmp(&other.rank).then(self.phase_since.total_cmp(&other.phase_since))
    }
}

struct Candidate<'a> {
    priority: EvictionPriority,
    connection: &'a Rc<Connection>,
}

/// Closes one connection so that a new one can be accepted. Returns false if none can be closed; the new
/// connection then has to wait.
pub fn evict_one(connections: &ConnectionTable, now: Millis) -> bool {
    let entries = connections.entries();
    let candidates = entries.values().filter(|connection| !connection.is_aborted());
    let mut candidates: Vec<Candidate<'_>> = candidates
        .filter_map(|connection| {
            Some(Candidate { priority: EvictionPriority::of(connection, now)?, connection })
        })
        .collect();
    candidates.sort_unstable_by(|a, b| a.priority.compare(&b.priority));
    // The search stops at the first match, because each check for unread bytes is a system call and a flood
    // of new connections runs this code for each of them.
    let Some(evicted) = candidates.into_iter().find(|candidate| has_no_unread_request(candidate.connection))
    else {
        return false;
    };
    match evicted.priority.rank {
        // The connection's task checks again before it closes, so that a request that has just arrived is not
        // lost.
        EvictionRank::Idle => evicted.connection.signal_close(),
        EvictionRank::Stalled | EvictionRank::Recent => evicted.connection.abort(),
    }
    true
}

/// Whether no request waits to be read. A closing connection reads no more requests; on any other connection,
/// unread bytes may be a request that the runtime has not read yet.
fn has_no_unread_request(connection: &Connection) -> bool {
    connection.phase() == Phase::Closing || !connection.has_unread_bytes()
}
