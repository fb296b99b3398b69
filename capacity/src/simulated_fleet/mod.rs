//! A discrete-event simulation of a whole fleet on one simulated clock: the decisions of all gateways, with
//! simulated servers, an endpoint list and a counter. The same seed gives the same figures, except for
//! processor time and memory.

mod event;
mod figures;
mod fleet;
mod scenario;
mod servers;

pub use scenario::{Fault, Scenario};

use crate::measure::Report;
use crate::memory::own_resident_bytes;
use cpu_time::ThreadTime;
use figures::{FleetFigures, SimulationCost};
use fleet::SimulatedFleet;

/// Simulates a fleet and returns the figures.
pub fn run(scenario: &Scenario) -> Report {
    let memory_before = own_resident_bytes();
    let mut fleet = SimulatedFleet::new(scenario);
    let memory_with_lists = own_resident_bytes();
    let started = ThreadTime::now();
    fleet.run();
    let processor_time = started.elapsed().as_secs_f64() * 1e6;
    let gateways = scenario.deployment.gateways;
    let cost = SimulationCost {
        processor_time: processor_time / fleet.expected_requests().max(1) as f64,
        list_memory: memory_with_lists.saturating_sub(memory_before) / gateways,
        resident_memory: own_resident_bytes(),
    };
    FleetFigures {
        counts: fleet.counts(),
        seconds: scenario.seconds,
        gateways,
        remembered_tenants: fleet.remembered_tenants(),
        load: fleet.load_distribution(),
        cost,
    }
    .report()
}
