//! Measures the processor time of one gateway's decisions for a request, the end of an attempt, a retry, a
//! counter reply, the periodic timer, a complete endpoint list and a change of one server.

mod bench;
mod costs;

pub use bench::Bench;
pub use costs::{Costs, EventCost};

use crate::deployment::Deployment;
use crate::measure::Report;
use rate_limiting_gateway::event::{Endpoint, EndpointState, EndpointUpdate};
use rate_limiting_gateway::ids::ServerId;
use std::time::Duration;

/// Numbers of servers at which costs are measured.
pub const SERVER_COUNTS: [usize; 4] = [20, 200, 1_000, 5_700];
/// Numbers of gateways at which costs are measured.
pub const GATEWAY_COUNTS: [usize; 4] = [10, 100, 300, 530];
/// Numbers of tenants at which costs are measured. The gateway keeps state for all of them.
pub const TENANT_COUNTS: [usize; 4] = [1_000, 10_000, 100_000, 1_000_000];
/// Number of servers while the number of gateways varies.
const SERVERS_WHEN_GATEWAYS_VARY: usize = 2_000;
/// Number of servers while the number of tenants varies.
const SERVERS_WHEN_TENANTS_VARY: usize = 200;
/// Number of gateways while the number of tenants varies.
const GATEWAYS_WHEN_TENANTS_VARY: usize = 19;

/// Measures the costs by number of servers, gateways and tenants. `seconds` is the simulated duration of each
/// measurement.
pub fn measure(repeats: usize, seconds: f64) -> Report {
    let mut report = Report::default();
    for seed in 1..=repeats as u64 {
        for servers in SERVER_COUNTS {
            measure_servers(&mut report, servers, seed, seconds);
        }
        for gateways in GATEWAY_COUNTS {
            measure_gateways(&mut report, gateways, seed, seconds);
        }
        for tenants in TENANT_COUNTS {
            measure_tenants(&mut report, tenants, seed, seconds);
        }
    }
    report
}

/// Measures the costs for one number of servers. Servers per gateway and traffic per gateway are as in the
/// planned deployment, so that the concurrency limit of a gateway is the same for each number of servers.
fn measure_servers(report: &mut Report, servers: usize, seed: u64, seconds: f64) {
    let planned = Deployment::default();
    let gateways = (servers * planned.gateways).div_ceil(planned.servers);
    let deployment = Deployment {
        servers,
        gateways,
        rate: planned.rate_per_gateway() * gateways as f64,
        gateways_per_tenant: planned.gateways,
        ..planned
    };
    let mut bench = Bench::new(&deployment, seed);
    add_costs(report, "servers", servers, &bench.run(seconds));
    measure_lists(report, &mut bench, &deployment);
}

/// Measures the costs for one number of gateways. The traffic of the fleet grows with the number of gateways,
/// so that each gateway has the same traffic as in the planned deployment.
fn measure_gateways(report: &mut Report, gateways: usize, seed: u64, seconds: f64) {
    let planned = Deployment::default();
    let rate = planned.rate_per_gateway() * gateways as f64;
    let deployment = Deployment { gateways, rate, servers: SERVERS_WHEN_GATEWAYS_VARY, ..planned };
    let costs = Bench::new(&deployment, seed).run(seconds);
    add_costs(report, "limiters", gateways, &costs);
}

/// Measures the costs for one number of tenants that the gateway keeps state for.
fn measure_tenants(report: &mut Report, tenants: usize, seed: u64, seconds: f64) {
    let planned = Deployment::default();
    let deployment = Deployment {
        tenants,
        servers: SERVERS_WHEN_TENANTS_VARY,
        gateways: GATEWAYS_WHEN_TENANTS_VARY,
        gateways_per_tenant: planned.gateways,
        rate: planned.rate_per_gateway() * GATEWAYS_WHEN_TENANTS_VARY as f64,
        ..planned
    };
    let mut bench = Bench::new(&deployment, seed);
    bench.send_one_request_per_tenant(tenants);
    let costs = bench.run_uniform_tenants(seconds, tenants);
    add_costs(report, "customers remembered", tenants, &costs);
}

fn add_costs(report: &mut Report, by: &'static str, size: usize, costs: &Costs) {
    let mut add = |what: &str, unit, value| report.add_sample(what, by, unit, size as f64, value);
    let requests = costs.request.events.max(1) as f64;
    add("request with all that follows", "µs", costs.total_per_request());
    add("request, its first attempt among it", "µs", costs.request.mean());
    add("answer of a server", "µs", costs.served_attempt.mean());
    add("attempt that could not connect, and the next", "µs", costs.retry.mean());
    add("answer of the counter", "µs", costs.counter_reply.mean());
    add("housekeeping, 50 a second", "µs", costs.timer.mean());
    add("calls to the counter a request", "calls", costs.counter_calls as f64 / requests);
    add(
        "bytes a call with its answer",
        "bytes",
        costs.counter_bytes as f64 / costs.counter_calls.max(1) as f64,
    );
}

/// Measures the time of a complete list without changes, of a change of one server, and of a complete list
/// that replaces half of the servers.
fn measure_lists(report: &mut Report, bench: &mut Bench, deployment: &Deployment) {
    let mut add = |what: &str, time: Duration| {
        report.add_sample(what, "servers", "µs", deployment.servers as f64, time.as_secs_f64() * 1e6);
    };
    let unchanged = bench.update_endpoints(EndpointUpdate::Complete, deployment.entries());
    add("whole list, nothing new", unchanged);
    add("change of one server", single_change(bench, deployment));
    let replaced = bench.update_endpoints(EndpointUpdate::Complete, half_replaced(deployment));
    add("whole list, half replaced", replaced);
}

/// Mean time of a change of one server, which starts to drain or becomes ready again.
fn single_change(bench: &mut Bench, deployment: &Deployment) -> Duration {
    const CHANGES: usize = 20;
    let total: Duration = (0..CHANGES)
        .map(|change| {
            let state = if change % 2 == 0 { EndpointState::Draining } else { EndpointState::Ready };
            let index = change / 2 * deployment.servers / CHANGES;
            bench.update_endpoints(EndpointUpdate::Incremental, vec![deployment.entry(index, state, 0.0)])
        })
        .sum();
    total / CHANGES as u32
}

/// A complete list in which new servers have replaced half of the servers.
fn half_replaced(deployment: &Deployment) -> Vec<Endpoint> {
    let shifted = |index| Endpoint {
        server: ServerId((index + deployment.servers / 2) as u32 + 1),
        ..deployment.entry(index, EndpointState::Ready, 0.0)
    };
    (0..deployment.servers).map(shifted).collect()
}
