//! A scenario of a simulated fleet: its size, traffic, fault and seed.

use super::event::{FleetEvent, ServerGroup};
use crate::deployment::Deployment;
use rate_limiting_gateway::ids::Millis;

/// Simulated time at which the simulation starts, ms. The value is far from 0, as Unix time is.
pub(super) const START: Millis = 1_000_000.0;
/// Duration of the warm-up at the start, in which most figures are not counted, ms.
const WARM_UP: Millis = 1000.0;
/// Time from the end of the warm-up until the fault begins, ms.
const FAULT_AFTER: Millis = 1000.0;
/// Time from the failure of a zone until the endpoint list shows its servers as draining, ms.
const LIST_DELAY: Millis = 2000.0;
/// Time from the failure of a zone until its servers run again, ms.
const ZONE_OUTAGE: Millis = 3000.0;
/// Number of steps in which a release replaces servers.
const RELEASE_STEPS: u16 = 10;
/// Time between two steps of a release, ms.
const RELEASE_INTERVAL: Millis = 200.0;

/// A fault of the servers, which begins one second after the warm-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Fault {
    /// No fault.
    None,
    /// One zone fails, and its servers start again 3 s later, in slow start.
    Zone,
    /// Half of the servers drain and are replaced by servers in slow start, in ten steps over 2 s.
    Release,
}

/// Parameters of one simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Size of the fleet and its traffic.
    pub deployment: Deployment,
    /// Simulated time for which figures are counted, s. A warm-up of one second precedes it.
    pub seconds: f64,
    /// Calls per second that the counter can execute, as a multiple of the requests per second; 0 means that
    /// there is no limit.
    pub counter_capacity: f64,
    /// The server fault to simulate.
    pub fault: Fault,
    /// Seed of all random number generators.
    pub seed: u64,
}

/// An event and the time at which it happens, ms.
pub(super) struct ScheduledEvent {
    pub at: Millis,
    pub event: FleetEvent,
}

impl Scenario {
    /// Time at which the warm-up ends and counting begins, ms.
    pub(super) fn counting_from(&self) -> Millis {
        START + WARM_UP
    }

    /// Time at which the simulation ends, ms.
    pub(super) fn end(&self) -> Millis {
        START + WARM_UP + self.seconds * 1000.0
    }

    /// Calls per second that the counter can execute; `None` means that there is no limit.
    pub(super) fn counter_calls_per_second(&self) -> Option<f64> {
        let calls = self.counter_capacity * self.deployment.rate;
        (calls > 0.0).then_some(calls)
    }

    /// The events that make up the fault.
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
        ScheduledEvent { at: begin, event: FleetEvent::ZoneFailed { zone } },
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
