//! Chooses the connection that is closed when a new one needs its place.

use super::connection::{Connection, Phase};
use super::connection_table::ConnectionTable;
use crate::ids::Millis;
use std::cmp::Ordering;
use std::rc::Rc;

/// A new connection is given this long for its first bytes before it counts as stalled, ms.
pub const FIRST_BYTE_TIMEOUT: Millis = 100.0;
/// A closing connection is given this long for its client to receive the last response before it is dropped,
/// ms.
const CLOSING_GRACE: Millis = FIRST_BYTE_TIMEOUT;

/// How readily a connection is evicted: the lower, the sooner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// Sent nothing or only a part of a request for a while, or is closing.
    Stalled,
    /// Between two requests.
    Idle,
    /// Has just been accepted or has just begun a request.
    Recent,
}

/// Order of eviction: by rank, and the one that has been in its phase for the longest time first.
#[derive(Clone, Copy, Debug)]
struct EvictionPriority {
    rank: EvictionRank,
    phase_since: Millis,
}

impl EvictionPriority {
    /// The priority of a connection; none if it must not be evicted, as it owes a response.
    fn of(connection: &Connection, now: Millis) -> Option<Self> {
        let phase_since = connection.phase_since();
        let time_in_phase = now - phase_since;
        let rank = match connection.phase() {
            Phase::Processing | Phase::Writing => return None,
            Phase::Closing if time_in_phase <= CLOSING_GRACE => return None,
            Phase::Closing => EvictionRank::Stalled,
            Phase::Reading if time_in_phase > FIRST_BYTE_TIMEOUT => EvictionRank::Stalled,
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

/// Closes one connection to make room; false if none can be closed, and a new one has to wait.
pub fn make_room(connections: &ConnectionTable, now: Millis) -> bool {
    let entries = connections.entries();
    let candidates = entries.values().filter(|connection| !connection.is_aborted());
    let mut candidates: Vec<Candidate<'_>> = candidates
        .filter_map(|connection| {
            Some(Candidate { priority: EvictionPriority::of(connection, now)?, connection })
        })
        .collect();
    candidates.sort_unstable_by(|a, b| a.priority.compare(&b.priority));
    // In order, so that the kernel is asked about few: in a flood this is done for each new connection.
    let Some(evicted) = candidates.into_iter().find(|candidate| loses_nothing(candidate.connection)) else {
        return false;
    };
    match evicted.priority.rank {
        // Its task looks again before it closes, so that a request which has just arrived is not lost.
        EvictionRank::Idle => evicted.connection.request_close(),
        EvictionRank::Stalled | EvictionRank::Recent => evicted.connection.abort(),
    }
    true
}

/// A closing connection reads nothing more; any other may have a request that the runtime has not read yet.
fn loses_nothing(connection: &Connection) -> bool {
    connection.phase() == Phase::Closing || !connection.has_unread_bytes()
}
