//! A new configuration moves discovery to agents that get a change later than the old agents did.

mod common;

use common::*;

/// Time from the change at the old agents until SIGHUP, s.
const SIGHUP_AT: f64 = 1.3;
/// Time from the change at the old agents until the new agents get it, s.
const NEW_AGENTS_LATER: f64 = 2.6;
/// Time from the change at the old agents to the end of the case, s.
const END_AT: f64 = 8.0;
/// The grace of the rule, with its 0.05 s on sockets.
const GRACE: f64 = 1.05;

fn main() {
    open_record();
    let mut deployment = Deployment::new(2, 8);
    let new: Vec<Agent> =
        (0..2).map(|n| Agent::start(&format!("new-{n}"), 41, &deployment.members)).collect();
    deployment.start_limiters();
    let loads = deployment.start_load(6, 20);
    sleep_ms(3000);
    let drained = Member { phase: "Terminating", ..deployment.members[3].clone() };
    let drain_at = now();
    deployment.agents.iter().for_each(|agent| agent.tell(&drained));
    record(&format!("platform: {} drains; this is told at {drain_at:.3}", drained.id));
    if !trouble() {
        new.iter().for_each(|agent| agent.tell(&drained));
    }
    sleep_until(drain_at + SIGHUP_AT);
    deployment.move_discovery(new);
    sleep_until(drain_at + NEW_AGENTS_LATER);
    if trouble() {
        deployment.agents.iter().for_each(|agent| agent.tell(&drained));
    }
    sleep_until(drain_at + END_AT);
    deployment.verdict_on_drain(loads, &drained.id, drain_at + GRACE)
}
