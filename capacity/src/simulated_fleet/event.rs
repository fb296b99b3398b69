//! Events of the simulation. Those of the same microsecond happen in the order that is derived here, by
//! variant and then field by field: another order of variants or fields gives other figures for the same
//! seed.

use rate_limiting_gateway::event::{Event, Outcome};
use rate_limiting_gateway::ids::{CounterKey, RequestId};

/// Something that happens in the simulated fleet.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum FleetEvent {
    /// A gateway's timer fires.
    Timer { gateway: u32 },
    /// A counter call ends.
    CounterReplied(CounterReply),
    /// An attempt ends.
    AttemptEnded(AttemptEnd),
    /// All servers of a zone stop.
    ZoneLost { zone: u16 },
    /// All gateways are notified that a group of servers is draining, or ready after a start.
    ListChanged { group: ServerGroup, ready: bool },
}

/// The end of a counter call.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CounterReply {
    pub gateway: u32,
    pub key: CounterKey,
    /// The counter's total as bits, which unlike `f64` have a total order.
    pub total_bits: u64,
    pub result: CallResult,
    pub elapsed_micros: u64,
}

/// How a counter call ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CallResult {
    Answered,
    TimedOut,
    Rejected,
}

/// The end of an attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptEnd {
    pub gateway: u32,
    pub id: RequestId,
    /// Index of the server.
    pub server: u32,
    /// Number of the attempt, from 0.
    pub attempt: u8,
    /// The server was up when the attempt began.
    pub connected: bool,
}

/// Servers that stop and start together.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ServerGroup {
    /// All of a zone.
    Zone(u16),
    /// Those that one step of a release replaces.
    ReleaseStep(u16),
}

impl ServerGroup {
    /// One server in so many belongs to each step of a release, so that ten steps replace half of them.
    const RELEASE_STRIDE: usize = 20;

    /// Whether a server, by its index, is in the group.
    pub fn contains(self, server: usize, zones: usize) -> bool {
        match self {
            ServerGroup::Zone(zone) => server % zones == usize::from(zone),
            ServerGroup::ReleaseStep(step) => server % Self::RELEASE_STRIDE == usize::from(step),
        }
    }
}

impl CounterReply {
    /// The event that the gateway gets.
    pub fn to_gateway_event(self) -> Event {
        let outcome = match self.result {
            CallResult::Answered => Outcome::Ok,
            CallResult::TimedOut => Outcome::TimedOut,
            CallResult::Rejected => Outcome::Rejected,
        };
        let elapsed = self.elapsed_micros as f64 / 1000.0;
        Event::CounterReplied { key: self.key, outcome, elapsed, total: f64::from_bits(self.total_bits) }
    }
}
