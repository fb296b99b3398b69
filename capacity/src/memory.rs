//! Resident memory for each server, customer and open request of a decision module, over many of them.

use crate::deployment::Deployment;
use crate::measure::Report;
use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{EndpointUpdate, Event, Outcome, Request};
use rate_limiting_gateway::ids::PlanId;
use rate_limiting_gateway::policy::Gateway;
use rate_limiting_gateway::settings::Settings;
use std::process::Command;

/// Bytes of a page, as `/proc` counts them on the machines this runs on.
const PAGE: usize = 4096;
/// Modules that hold the list side by side, so that what one adds stands out.
const COPIES: usize = 20;

/// Resident bytes of a process.
pub fn resident(pid: u32) -> Option<usize> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    Some(text.split(' ').nth(1)?.parse::<usize>().ok()? * PAGE)
}

fn now_resident() -> usize {
    resident(std::process::id()).unwrap_or_default()
}

/// Kinds of things that are counted in a process of their own, and how many of them.
pub const KINDS: [(&str, [usize; 4]); 3] = [
    ("server", [20, 200, 1_000, 5_700]),
    ("customer", [1_000, 10_000, 100_000, 1_000_000]),
    ("open request", [1_000, 4_000, 8_000, 15_000]),
];

/// Bytes that so many of a kind take, for one module.
pub fn one(kind: &str, many: usize) -> f64 {
    let plan = Deployment::default();
    let full =
        |d: &Deployment| Event::EndpointsChanged { update: EndpointUpdate::Complete, entries: d.entries() };
    let mut actions = Vec::new();
    if kind == "server" {
        let deployment = Deployment { servers: many, ..plan };
        let before = now_resident();
        let all: Vec<Gateway> = (0..COPIES as u64)
            .map(|seed| {
                let mut gateway = Gateway::new(deployment.settings(), seed);
                gateway.handle(1.0, full(&deployment), &mut actions);
                gateway
            })
            .collect();
        let grown = now_resident().saturating_sub(before);
        return grown as f64 / all.len() as f64;
    }
    // One limiter alone, so that the concurrency limit lets all be open.
    let tenants = if kind == "customer" { many } else { 1 };
    let servers = if kind == "customer" { 20 } else { 2_000 };
    let deployment = Deployment { gateway_count: 1, tenants, servers, ..plan };
    let settings = Settings { counter: false, ..deployment.settings() };
    let demand = deployment.demand();
    let mut gateway = Gateway::new(settings, 1);
    gateway.handle(1.0, full(&deployment), &mut actions);
    actions.clear();
    let before = now_resident();
    for n in 0..many {
        let now = 1.0 + n as f64 / 1000.0;
        let request = Request { plan: PlanId(usize::MAX), ..demand.request(n as u32, n % tenants) };
        let request = if kind == "customer" { demand.request(n as u32, n) } else { request };
        gateway.handle(now, Event::Request(request), &mut actions);
        for action in std::mem::take(&mut actions) {
            if let (Action::Forward { id, server, .. }, "customer") = (action, kind) {
                let (outcome, complete, elapsed) = (Outcome::Ok, true, 20.0);
                let ended = Event::AttemptEnded { id, attempt: 0, server, outcome, complete, elapsed };
                gateway.handle(now, ended, &mut actions);
                actions.clear();
            }
        }
    }
    std::hint::black_box(&gateway);
    now_resident().saturating_sub(before) as f64
}

/// Measures all kinds, each in a process of its own.
///
/// # Errors
/// When this program cannot be started again.
pub fn measure(repeats: usize) -> std::io::Result<Report> {
    let program = std::env::current_exe()?;
    let mut report = Report::default();
    for _ in 0..repeats {
        for (kind, sizes) in KINDS {
            for many in sizes {
                let out = Command::new(&program).args(["memory-one", kind, &many.to_string()]).output()?;
                let text = String::from_utf8_lossy(&out.stdout);
                let bytes = text.trim().parse().map_err(|_| std::io::Error::other("no figure came back"))?;
                report.sample(&format!("memory of a module, {kind}s"), kind, "bytes", many as f64, bytes);
            }
        }
    }
    Ok(report)
}
