//! Resident memory of one gateway's state for each server, tenant and request in flight.

use crate::deployment::{Demand, Deployment};
use crate::error::Error;
use crate::measure::Report;
use crate::simulation::{attempt_ended, complete_list};
use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{Event, Outcome, Request};
use rate_limiting_gateway::ids::{Millis, PlanId};
use rate_limiting_gateway::policy::Gateway;
use rate_limiting_gateway::settings::Settings;
use std::process::Command;

/// Bytes of a memory page, the unit of `/proc/PID/statm`, on the machines that this program runs on.
const PAGE_BYTES: usize = 4096;
/// Number of gateways that hold the endpoint list at the same time. The memory of a single gateway would be
/// lost in the noise of the measurement.
const GATEWAY_COPIES: usize = 20;
/// Simulated time at which a measurement starts, ms.
const START: Millis = 1.0;
/// Simulated time between two requests, ms.
const REQUEST_INTERVAL: Millis = 0.001;
/// Response time of the servers, ms.
const RESPONSE_TIME: Millis = 20.0;

/// Resident memory of a process, bytes; `None` if `/proc` cannot be read, for example because the process
/// has exited.
pub fn resident_bytes(pid: u32) -> Option<usize> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    Some(text.split(' ').nth(1)?.parse::<usize>().ok()? * PAGE_BYTES)
}

/// Resident memory of this process, bytes.
pub fn own_resident_bytes() -> usize {
    resident_bytes(std::process::id()).unwrap_or_default()
}

/// A kind of gateway state whose memory is measured, each in a separate process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateKind {
    /// Servers of the endpoint list.
    Server,
    /// Tenants that the gateway keeps state for.
    Tenant,
    /// Requests in flight.
    InFlightRequest,
}

impl StateKind {
    /// All kinds of state.
    pub const ALL: [StateKind; 3] = [StateKind::Server, StateKind::Tenant, StateKind::InFlightRequest];

    /// Name of this kind in reports and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            StateKind::Server => "server",
            StateKind::Tenant => "customer",
            StateKind::InFlightRequest => "open request",
        }
    }

    /// The numbers of servers, tenants or requests at which the memory is measured.
    pub fn sizes(self) -> [usize; 4] {
        match self {
            StateKind::Server => [20, 200, 1_000, 5_700],
            StateKind::Tenant => [1_000, 10_000, 100_000, 1_000_000],
            StateKind::InFlightRequest => [1_000, 4_000, 8_000, 15_000],
        }
    }
}

/// Measures in this process the memory, in bytes, that `count` servers, tenants or requests take at one
/// gateway.
///
/// # Errors
/// Fails if there is no kind of state with this name.
pub fn measure_in_this_process(kind: &str, count: usize) -> Result<f64, Error> {
    let known = StateKind::ALL.into_iter().find(|known| known.name() == kind);
    match known.ok_or_else(|| Error::UnknownKind(kind.to_owned()))? {
        StateKind::Server => Ok(server_memory(count)),
        StateKind::Tenant => Ok(tenant_memory(count)),
        StateKind::InFlightRequest => Ok(in_flight_memory(count)),
    }
}

fn server_memory(servers: usize) -> f64 {
    let deployment = Deployment { servers, ..Deployment::default() };
    let before = own_resident_bytes();
    let gateways: Vec<Gateway> = (0..GATEWAY_COPIES as u64)
        .map(|seed| gateway_with_list(&deployment, deployment.settings(), seed))
        .collect();
    let growth = own_resident_bytes().saturating_sub(before);
    growth as f64 / gateways.len() as f64
}

fn tenant_memory(tenants: usize) -> f64 {
    let mut bench = MemoryBench::new(tenants, 20);
    let before = own_resident_bytes();
    for index in 0..tenants {
        let request = bench.demand.request(index as u32, index);
        let now = START + index as f64 * REQUEST_INTERVAL;
        for action in bench.handle(now, Event::Request(request)) {
            if let Action::Forward { id, server, .. } = action {
                bench.handle(now, attempt_ended(id, 0, server, Outcome::Ok, RESPONSE_TIME));
            }
        }
    }
    bench.resident_growth_since(before)
}

fn in_flight_memory(requests: usize) -> f64 {
    let mut bench = MemoryBench::new(1, 2_000);
    let before = own_resident_bytes();
    for index in 0..requests {
        // An unknown plan has no quota, so the quota rejects none of the requests.
        let request = Request { plan: PlanId(usize::MAX), ..bench.demand.request(index as u32, 0) };
        bench.handle(START + index as f64 * REQUEST_INTERVAL, Event::Request(request));
    }
    bench.resident_growth_since(before)
}

fn gateway_with_list(deployment: &Deployment, settings: Settings, seed: u64) -> Gateway {
    let mut gateway = Gateway::new(settings, seed);
    gateway.handle(START, complete_list(deployment.entries()), &mut Vec::new());
    gateway
}

/// One gateway that does not use the counter, and the traffic that is sent to it.
struct MemoryBench {
    gateway: Gateway,
    demand: Demand,
    actions: Vec<Action>,
}

impl MemoryBench {
    fn new(tenants: usize, servers: usize) -> Self {
        // With only one gateway in the fleet, its concurrency limit allows all requests to be in flight at
        // the same time.
        let deployment = Deployment { gateways: 1, tenants, servers, ..Deployment::default() };
        let settings = Settings { counter_enabled: false, ..deployment.settings() };
        MemoryBench {
            demand: deployment.demand(),
            gateway: gateway_with_list(&deployment, settings, 1),
            actions: Vec::new(),
        }
    }

    fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        self.gateway.handle(now, event, &mut self.actions);
        std::mem::take(&mut self.actions)
    }

    fn resident_growth_since(&self, before: usize) -> f64 {
        std::hint::black_box(&self.gateway);
        own_resident_bytes().saturating_sub(before) as f64
    }
}

/// Measures all kinds of state at all sizes. A separate process makes each measurement.
///
/// # Errors
/// Fails if this program cannot be started as another process, or if that process does not print a number.
pub fn measure(repeats: usize) -> Result<Report, Error> {
    let program = std::env::current_exe()?;
    let mut report = Report::default();
    for _ in 0..repeats {
        for kind in StateKind::ALL {
            for count in kind.sizes() {
                let name = kind.name();
                let output =
                    Command::new(&program).args(["memory-one", name, &count.to_string()]).output()?;
                let text = String::from_utf8_lossy(&output.stdout);
                let bytes = text.trim().parse().map_err(|_| Error::InvalidMemoryOutput)?;
                report.add_sample(
                    &format!("memory of a module, {name}s"),
                    name,
                    "bytes",
                    count as f64,
                    bytes,
                );
            }
        }
    }
    Ok(report)
}
