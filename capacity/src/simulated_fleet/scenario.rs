//! What a simulated fleet is put through: its size, traffic, faults and seed.

use super::event::{FleetEvent, ServerGroup};
use crate::deployment::Deployment;
use rate_limiting_gateway::ids::Millis;

/// Simulated time begins here, ms: far from 0, as Unix time is.
pub(super) const START: Millis = 1_000_000.0;
/// Traffic of this span at the start is not counted, ms.
const WARM_UP: Millis = 1000.0;
/// The fault begins so long after counting does, ms.
const FAULT_AFTER: Millis = 1000.0;
/// The endpoint list shows a lost zone after this, ms.
const LIST_DELAY: Millis = 2000.0;
/// A lost zone is back after this, ms.
const ZONE_OUTAGE: Millis = 3000.0;
/// A release replaces servers in so many steps, one each `RELEASE_INTERVAL` ms.
const RELEASE_STEPS: u16 = 10;
const RELEASE_INTERVAL: Millis = 200.0;

/// What happens to the servers one second after counting has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Fault {
    /// Nothing.
    None,
    /// One zone is lost, and returns cold 3 s later.
    Zone,
    /// Half of the servers drain and are replaced by cold ones, in ten steps over 2 s.
    Release,
}

/// One simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Size of the fleet and its traffic.
    pub deployment: Deployment,
    /// Simulated seconds that are counted; one second of warm-up comes before them.
    pub seconds: f64,
    /// Calls that the counter executes in a second, as a share of the requests; 0: any number.
    pub counter_capacity: f64,
    /// What happens to the servers.
    pub fault: Fault,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// An event and when it happens, ms.
pub(super) struct ScheduledEvent {
    pub at: Millis,
    pub event: FleetEvent,
}

impl Scenario {
    /// When counting begins, ms.
    pub(super) fn counting_from(&self) -> Millis {
        START + WARM_UP
    }

    /// When the simulation ends, ms.
    pub(super) fn end(&self) -> Millis {
        START + WARM_UP + self.seconds * 1000.0
    }

    /// Calls that the counter executes in a second; none: any number.
    pub(super) fn counter_calls_per_second(&self) -> Option<f64> {
        let calls = self.counter_capacity * self.deployment.rate;
        (calls > 0.0).then_some(calls)
    }

    /// The events of the fault.
    pub(super) fn fault_events(&self) -> Vec<ScheduledEvent> {
        let begin = self.counting_from() + FAULT_AFTER;
        match self.fault {
            Fault::None => Vec::new(),
            Fault::Zone => zone_outage(begin),
            Fault::Release => (0..RELEASE_STEPS).flat_map(|step| release_step(begin, step)).collect(),
        }
    }
}

fn zone_outage(begin: Millis) -> Vec<ScheduledEvent> {
    let zone = 0;
    let group = ServerGroup::Zone(zone);
    vec![
        ScheduledEvent { at: begin, event: FleetEvent::ZoneLost { zone } },
        ScheduledEvent { at: begin + LIST_DELAY, event: FleetEvent::ListChanged { group, ready: false } },
        ScheduledEvent { at: begin + ZONE_OUTAGE, event: FleetEvent::ListChanged { group, ready: true } },
    ]
}

fn release_step(begin: Millis, step: u16) -> [ScheduledEvent; 2] {
    let group = ServerGroup::ReleaseStep(step);
    let at = begin + RELEASE_INTERVAL * f64::from(step);
    [
        ScheduledEvent { at, event: FleetEvent::ListChanged { group, ready: false } },
        ScheduledEvent { at: at + RELEASE_INTERVAL, event: FleetEvent::ListChanged { group, ready: true } },
    ]
}
