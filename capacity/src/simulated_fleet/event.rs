//! Events of the simulation. Events of the same microsecond happen in their derived order: by variant, and
//! then field by field. If the order of variants or fields changes, the same seed gives other figures.

use rate_limiting_gateway::event::{Event, Outcome};
use rate_limiting_gateway::ids::{CounterKey, RequestId};

/// Something that happens in the simulated fleet.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum FleetEvent {
    /// The timer of a gateway fires.
    Timer { gateway: u32 },
    /// A counter call of a gateway ends.
    CounterReplied(CounterReply),
    /// An attempt of a gateway ends.
    AttemptEnded(AttemptEnd),
    /// All servers of a zone stop.
    ZoneFailed { zone: u16 },
    /// All gateways are notified that a group of servers is draining, or ready after a start.
    ListChanged { group: ServerGroup, ready: bool },
}

/// The end of a counter call.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CounterReply {
    pub gateway: u32,
    pub key: CounterKey,
    /// The total as the bits of an `f64`, because `f64` does not implement `Ord`.
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
    /// Number of the attempt within its request, from 0.
    pub attempt: u8,
    /// Whether the server was running when the attempt began.
    pub connected: bool,
}

/// Servers that stop and start together.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ServerGroup {
    /// All servers of a zone.
    Zone(u16),
    /// The servers that one step of a release replaces.
    ReleaseStep(u16),
}

impl ServerGroup {
    /// Each step of a release replaces one server in this many, so ten steps replace half of the servers.
    const RELEASE_STRIDE: usize = 20;

    /// Whether the server with this index is in the group.
    pub fn contains(self, server: usize, zones: usize) -> bool {
        match self {
            ServerGroup::Zone(zone) => server % zones == usize::from(zone),
            ServerGroup::ReleaseStep(step) => server % Self::RELEASE_STRIDE == usize::from(step),
        }
    }
}

impl CounterReply {
    /// Converts the reply to the event that the gateway handles.
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
