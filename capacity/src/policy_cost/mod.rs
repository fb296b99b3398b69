//! Processor time of one gateway's decisions: a request, the end of an attempt, a retry, a counter reply, the
//! periodic timer, a complete endpoint list and a change of one server.

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
pub const SERVERS: [usize; 4] = [20, 200, 1_000, 5_700];
/// Numbers of gateways at which costs are measured.
pub const GATEWAYS: [usize; 4] = [10, 100, 300, 530];
/// Numbers of remembered tenants at which costs are measured.
pub const TENANTS: [usize; 4] = [1_000, 10_000, 100_000, 1_000_000];
/// Servers while the number of gateways varies.
const SERVERS_BY_GATEWAYS: usize = 2_000;
/// Servers and gateways while the number of tenants varies.
const SERVERS_BY_TENANTS: usize = 200;
const GATEWAYS_BY_TENANTS: usize = 19;

/// Measures by servers, gateways and tenants; `seconds` are simulated.
pub fn measure(repeats: usize, seconds: f64) -> Report {
    let mut report = Report::default();
    for seed in 1..=repeats as u64 {
        for servers in SERVERS {
            measure_servers(&mut report, servers, seed, seconds);
        }
        for gateways in GATEWAYS {
            measure_gateways(&mut report, gateways, seed, seconds);
        }
        for tenants in TENANTS {
            measure_tenants(&mut report, tenants, seed, seconds);
        }
    }
    report
}

/// As many gateways as the plan has for so many servers, each with its share of the plan's traffic, so that
/// the concurrency limit of each stays the same.
fn measure_servers(report: &mut Report, servers: usize, seed: u64, seconds: f64) {
    let plan = Deployment::default();
    let gateways = (servers * plan.gateways).div_ceil(plan.servers);
    let deployment = Deployment {
        servers,
        gateways,
        rate: plan.rate_per_gateway() * gateways as f64,
        gateways_per_tenant: plan.gateways,
        ..plan
    };
    let mut bench = Bench::new(&deployment, seed);
    add_costs(report, "servers", servers, &bench.run(seconds));
    measure_lists(report, &mut bench, &deployment);
}

/// More gateways carry more traffic: that of each stays what it is in the plan.
fn measure_gateways(report: &mut Report, gateways: usize, seed: u64, seconds: f64) {
    let plan = Deployment::default();
    let rate = plan.rate_per_gateway() * gateways as f64;
    let deployment = Deployment { gateways, rate, servers: SERVERS_BY_GATEWAYS, ..plan };
    let costs = Bench::new(&deployment, seed).run(seconds);
    add_costs(report, "limiters", gateways, &costs);
}

fn measure_tenants(report: &mut Report, tenants: usize, seed: u64, seconds: f64) {
    let plan = Deployment::default();
    let deployment = Deployment {
        tenants,
        servers: SERVERS_BY_TENANTS,
        gateways: GATEWAYS_BY_TENANTS,
        gateways_per_tenant: plan.gateways,
        rate: plan.rate_per_gateway() * GATEWAYS_BY_TENANTS as f64,
        ..plan
    };
    let mut bench = Bench::new(&deployment, seed);
    bench.introduce_tenants(tenants);
    let costs = bench.run_uniform_tenants(seconds, tenants);
    add_costs(report, "customers remembered", tenants, &costs);
}

fn add_costs(report: &mut Report, by: &'static str, size: usize, costs: &Costs) {
    let mut add = |what: &str, unit, value| report.sample(what, by, unit, size as f64, value);
    let requests = costs.request.events.max(1) as f64;
    add("request with all that follows", "µs", costs.total_per_request());
    add("request, its first attempt among it", "µs", costs.request.mean());
    add("answer of a server", "µs", costs.served_attempt.mean());
    add("attempt that could not connect, and the next", "µs", costs.retry.mean());
    add("answer of the counter", "µs", costs.counter_reply.mean());
    add("housekeeping, 50 a second", "µs", costs.timer.mean());
    add("calls to the counter a request", "calls", costs.calls as f64 / requests);
    add("bytes a call with its answer", "bytes", costs.bytes as f64 / costs.calls.max(1) as f64);
}

/// Times of a complete list without news, of one that replaces half of the servers, and of single changes.
fn measure_lists(report: &mut Report, bench: &mut Bench, deployment: &Deployment) {
    let mut add = |what: &str, time: Duration| {
        report.sample(what, "servers", "µs", deployment.servers as f64, time.as_secs_f64() * 1e6);
    };
    let unchanged = bench.update_endpoints(EndpointUpdate::Complete, deployment.entries());
    add("whole list, nothing new", unchanged);
    add("change of one server", single_change(bench, deployment));
    let replaced = bench.update_endpoints(EndpointUpdate::Complete, half_replaced(deployment));
    add("whole list, half replaced", replaced);
}

/// Mean time of a change of one server, which drains or becomes ready again.
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

fn half_replaced(deployment: &Deployment) -> Vec<Endpoint> {
    let shifted = |index| Endpoint {
        server: ServerId((index + deployment.servers / 2) as u32 + 1),
        ..deployment.entry(index, EndpointState::Ready, 0.0)
    };
    (0..deployment.servers).map(shifted).collect()
}
