//! Events of the simulation, ordered by when they were scheduled.

use rate_limiting_gateway::event::Outcome;
use std::cmp::Ordering;

/// Something that happens in the simulation.
#[derive(Clone, Copy)]
pub enum FleetEvent {
    /// A request arrives at a gateway.
    Arrival,
    /// A gateway's timer fires.
    Timer { gateway: usize, incarnation: u32 },
    /// A gateway is notified of the servers that have started.
    Notified { gateway: usize },
    /// An attempt ends. The event has no effect if the attempt has already ended.
    AttemptEnded { number: u64, outcome: Outcome },
    /// The starting servers go down before their start.
    ServersStop,
    /// The starting servers come up.
    ServersStart,
}

/// An event with its sequence number. Events of the same microsecond happen in the order of their sequence
/// numbers, that is, in the order in which they were scheduled.
pub struct SequencedEvent {
    pub sequence: u64,
    pub event: FleetEvent,
}

impl PartialEq for SequencedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for SequencedEvent {}

impl PartialOrd for SequencedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for SequencedEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        self.sequence.cmp(&other.sequence)
    }
}
