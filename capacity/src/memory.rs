//! Resident memory that one gateway's decisions take for each server, tenant and request in flight.

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

/// Bytes of a page, as `/proc` counts them on the machines this runs on.
const PAGE_BYTES: usize = 4096;
/// Gateways that hold the endpoint list side by side, so that one's part stands out from noise.
const COPIES: usize = 20;
/// The simulated clock at the start, ms.
const START: Millis = 1.0;
/// Requests come in so far apart, ms.
const REQUEST_INTERVAL: Millis = 0.001;
/// Response time of servers, ms.
const RESPONSE_TIME: Millis = 20.0;

/// Resident bytes of a process; none if it has gone.
pub fn resident(pid: u32) -> Option<usize> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    Some(text.split(' ').nth(1)?.parse::<usize>().ok()? * PAGE_BYTES)
}

/// Resident bytes of this process.
pub fn own_resident_bytes() -> usize {
    resident(std::process::id()).unwrap_or_default()
}

/// What is counted in a process of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Servers of the endpoint list.
    Server,
    /// Tenants that the gateway remembers.
    Tenant,
    /// Requests in flight.
    InFlightRequest,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 3] = [Kind::Server, Kind::Tenant, Kind::InFlightRequest];

    /// Its name in reports and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Server => "server",
            Kind::Tenant => "customer",
            Kind::InFlightRequest => "open request",
        }
    }

    /// How many of it are measured.
    pub fn sizes(self) -> [usize; 4] {
        match self {
            Kind::Server => [20, 200, 1_000, 5_700],
            Kind::Tenant => [1_000, 10_000, 100_000, 1_000_000],
            Kind::InFlightRequest => [1_000, 4_000, 8_000, 15_000],
        }
    }
}

/// Bytes that so many of a kind take at one gateway, measured in this process.
///
/// # Errors
/// If there is no kind of that name.
pub fn measure_here(kind: &str, count: usize) -> Result<f64, Error> {
    let known = Kind::ALL.into_iter().find(|known| known.name() == kind);
    match known.ok_or_else(|| Error::UnknownKind(kind.to_owned()))? {
        Kind::Server => Ok(server_memory(count)),
        Kind::Tenant => Ok(tenant_memory(count)),
        Kind::InFlightRequest => Ok(in_flight_memory(count)),
    }
}

fn server_memory(servers: usize) -> f64 {
    let deployment = Deployment { servers, ..Deployment::default() };
    let before = own_resident_bytes();
    let gateways: Vec<Gateway> =
        (0..COPIES as u64).map(|seed| gateway_with_list(&deployment, deployment.settings(), seed)).collect();
    let grown = own_resident_bytes().saturating_sub(before);
    grown as f64 / gateways.len() as f64
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
    bench.grown_since(before)
}

fn in_flight_memory(requests: usize) -> f64 {
    let mut bench = MemoryBench::new(1, 2_000);
    let before = own_resident_bytes();
    for index in 0..requests {
        // A plan that does not exist has no quota.
        let request = Request { plan: PlanId(usize::MAX), ..bench.demand.request(index as u32, 0) };
        bench.handle(START + index as f64 * REQUEST_INTERVAL, Event::Request(request));
    }
    bench.grown_since(before)
}

fn gateway_with_list(deployment: &Deployment, settings: Settings, seed: u64) -> Gateway {
    let mut gateway = Gateway::new(settings, seed);
    gateway.handle(START, complete_list(deployment.entries()), &mut Vec::new());
    gateway
}

/// One gateway without a counter, and what it is fed.
struct MemoryBench {
    gateway: Gateway,
    demand: Demand,
    actions: Vec<Action>,
}

impl MemoryBench {
    fn new(tenants: usize, servers: usize) -> Self {
        // A fleet of one gateway, whose concurrency limit allows all requests to be in flight at once.
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

    fn grown_since(&self, before: usize) -> f64 {
        std::hint::black_box(&self.gateway);
        own_resident_bytes().saturating_sub(before) as f64
    }
}

/// Measures all kinds, each in a process of its own.
///
/// # Errors
/// If this program cannot be started again, or prints no figure.
pub fn measure(repeats: usize) -> Result<Report, Error> {
    let program = std::env::current_exe()?;
    let mut report = Report::default();
    for _ in 0..repeats {
        for kind in Kind::ALL {
            for count in kind.sizes() {
                let name = kind.name();
                let output =
                    Command::new(&program).args(["memory-one", name, &count.to_string()]).output()?;
                let text = String::from_utf8_lossy(&output.stdout);
                let bytes = text.trim().parse().map_err(|_| Error::NoFigure)?;
                report.sample(&format!("memory of a module, {name}s"), name, "bytes", count as f64, bytes);
            }
        }
    }
    Ok(report)
}
