//! The selection of a server: over long random traffic, it chooses the same servers as the earlier selection
//! that examined every server, and it examines few servers in a large fleet.

#[path = "load_balancing/deployment.rs"]
mod deployment;
#[path = "load_balancing/random_fleet.rs"]
mod random_fleet;
#[allow(dead_code)] // each test file uses a part of it
#[path = "support/simulation.rs"]
mod simulation;
#[path = "load_balancing/steady_traffic.rs"]
mod steady_traffic;

use deployment::{endpoint, endpoints, KEY_BY_CELL, KEY_BY_ZONE};
use random_fleet::RandomFleet;
use rate_limiting_gateway::event::{Endpoint, EndpointState};
use rate_limiting_gateway::ids::Millis;
use simulation::{complete_list, incremental_list};
use std::fmt;
use std::time::Instant;
use steady_traffic::SteadyTraffic;

/// The parameters of a run with a random fleet, and the digest of the gateway's actions in it.
struct RecordedRun {
    servers: u32,
    requests: u32,
    /// Mean time between requests, in ms.
    interval: Millis,
    /// Mean number of requests between random changes of the fleet.
    requests_per_change: u64,
    digest: u64,
}

const fn recorded(
    servers: u32,
    requests: u32,
    interval: Millis,
    requests_per_change: u64,
    digest: u64,
) -> RecordedRun {
    RecordedRun { servers, requests, interval, requests_per_change, digest }
}

/// Digests recorded with the earlier selection, which examined every server (commit 2fc4292).
const RECORDED_RUNS: [RecordedRun; 11] = [
    recorded(1, 2000, 6.0, 40, 0xbb2a_c1dc_fc44_94c6),
    recorded(3, 4000, 6.0, 40, 0xc70e_8475_0d86_1773),
    recorded(20, 6000, 4.0, 60, 0xbfca_bdfb_bae5_f0ad),
    recorded(20, 3000, 300.0, 30, 0xe23f_9bd7_b5d3_fa11),
    recorded(130, 5000, 8.0, 60, 0xc184_7d5c_8e88_38a5),
    recorded(200, 6000, 60.0, 60, 0x47c3_095d_cbfc_ac82),
    recorded(200, 6000, 2.0, 100, 0xc1f7_075c_7494_811c),
    recorded(1000, 4000, 4.0, 60, 0xd51f_8fdf_ef3c_3976),
    recorded(1000, 3000, 200.0, 40, 0xbfbc_39ec_fc49_7fb9),
    recorded(5700, 3000, 4.0, 60, 0x8c07_caab_d6f7_6c13),
    recorded(5700, 1500, 0.3, 100, 0xb1c8_4b70_8f17_e473),
];

#[test]
fn the_index_selects_the_same_servers_as_a_scan_of_all_servers() {
    for run in &RECORDED_RUNS {
        let RecordedRun { servers, requests, interval, .. } = *run;
        let seeds = if servers < 1000 { 4 } else { 2 };
        let digest = (0..seeds).fold(0, |digest: u64, seed| {
            let mut fleet = RandomFleet::new(servers, 77 + seed);
            fleet.run(requests, interval, run.requests_per_change);
            let forwarded = fleet.forwarded;
            assert!(
                servers < 20 || forwarded * 3 > requests as usize,
                "only {forwarded} attempts for {requests} requests with {servers} servers"
            );
            digest.rotate_left(1) ^ fleet.digest
        });
        assert_eq!(
            digest, run.digest,
            "other actions than recorded with {servers} servers and a request every {interval} ms"
        );
    }
}

#[test]
fn a_selection_in_a_large_fleet_examines_few_servers() {
    let examined = [20, 200, 1000, 5700].map(|servers| SteadyTraffic::new(servers).endpoints_examined());
    println!("servers and blocks examined per request with 20, 200, 1,000 and 5,700 servers: {examined:?}");
    let [of_20, of_200, of_1000, of_5700] = examined;
    assert!(
        2 * of_5700 <= 3 * of_20 && 2 * of_1000 <= 3 * of_20,
        "large fleets examine over 1.5 times as many servers as a fleet of 20: {examined:?}"
    );
    // A gateway compares all servers if they are no more than the requests that it sends in 3 s.
    assert!(of_200 <= 220, "a fleet of 200 examines more than 220 servers and blocks: {examined:?}");
}

#[test]
fn a_retry_restricted_to_a_zone_or_cell_skips_other_servers_in_blocks() {
    for class in [KEY_BY_ZONE, KEY_BY_CELL] {
        let mut traffic = SteadyTraffic::new(5700);
        traffic.class = class;
        traffic.retries = 0;
        let examined = traffic.endpoints_examined();
        assert!(traffic.retries >= 12, "only {} retries, 12 at least", traffic.retries);
        // A first attempt examines 20 servers and blocks. One request in 12 has a retry, which examines each
        // block at most once; a block holds at least 32 servers on average.
        assert!(
            examined <= 20 + 5700 / 32 / 12 + 1,
            "{class:?}: {examined} servers and blocks examined per request"
        );
    }
}

#[test]
fn draining_servers_are_skipped_in_blocks() {
    for ready in [1, 3, 400, 5700] {
        let mut traffic = SteadyTraffic::new(5700);
        let draining = |server| Endpoint { state: EndpointState::Draining, ..endpoint(server) };
        traffic.handle(incremental_list((1..=5700 - ready).map(draining).collect()));
        let examined = traffic.endpoints_examined();
        assert!(
            examined <= 5700 / 16 + u64::from(ready.min(400)),
            "{examined} servers and blocks examined per request with {ready} ready servers"
        );
    }
}

/// Number of times that each duration is measured.
const MEASUREMENTS: usize = 9;

/// The duration of one operation over several measurements, in µs.
struct OperationTime {
    median: f64,
    min: f64,
    max: f64,
}

impl OperationTime {
    fn measure(traffic: &mut SteadyTraffic, operations: u32, run: impl Fn(&mut SteadyTraffic, u32)) -> Self {
        let mut times = [0.0; MEASUREMENTS].map(|_| {
            let started = Instant::now();
            (0..operations).for_each(|operation| run(traffic, operation));
            started.elapsed().as_secs_f64() * 1e6 / f64::from(operations)
        });
        times.sort_by(f64::total_cmp);
        OperationTime { median: times[MEASUREMENTS / 2], min: times[0], max: times[MEASUREMENTS - 1] }
    }
}

impl fmt::Display for OperationTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2} ({:.2} to {:.2})", self.median, self.min, self.max)
    }
}

#[test]
fn the_durations_of_a_request_and_of_list_updates_are_printed() {
    const STATES: [EndpointState; 3] =
        [EndpointState::Removed, EndpointState::Draining, EndpointState::Ready];
    for servers in [20, 200, 700, 1000, 5700] {
        let mut traffic = SteadyTraffic::new(servers);
        let request = OperationTime::measure(&mut traffic, 1000, |traffic, _| traffic.run(1));
        let change = OperationTime::measure(&mut traffic, 999, |traffic, operation| {
            let state = STATES[operation as usize % 3];
            let changed = Endpoint { state, ..endpoint(1 + operation / 3 % servers) };
            traffic.handle(incremental_list(vec![changed]));
        });
        let complete = OperationTime::measure(&mut traffic, 3, |traffic, _| {
            traffic.handle(complete_list(endpoints(servers)));
        });
        println!(
            "{servers} servers, median (min to max) in µs: request {request}, incremental update {change}, \
             complete list {complete}"
        );
    }
}
