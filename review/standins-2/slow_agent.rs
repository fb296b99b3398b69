//! A new configuration moves discovery to agents that answer each call late. A server begins to drain a little
//! later.

mod common;

use common::*;
use std::sync::atomic::Ordering;

/// Time from a call until its answer, ms. Calls do not wait for each other.
const ANSWER_MS: u64 = 3000;
/// Time from SIGHUP until the server begins to drain, s.
const DRAIN_AT: f64 = 3.3;
/// Time from SIGHUP to the end of the case, s.
const END_AT: f64 = 10.0;
/// The grace of the rule, with its 0.05 s on sockets, and the time after SIGHUP at which everything that discovery
/// has counts as told.
const GRACE: f64 = 1.05;
const TOLD_AFTER_SIGHUP: f64 = 4.0;

fn main() {
    open_record();
    let mut deployment = Deployment::new(2, 8);
    let new: Vec<Agent> =
        (0..2).map(|n| Agent::start(&format!("new-{n}"), 41, &deployment.members)).collect();
    if trouble() {
        new.iter().for_each(|agent| agent.answer_delay_ms.store(ANSWER_MS, Ordering::SeqCst));
    }
    deployment.start_limiters();
    let loads = deployment.start_load(6, 20);
    sleep_ms(3000);
    let sighup_at = deployment.move_discovery(new);
    sleep_until(sighup_at + DRAIN_AT);
    let drained = Member { phase: "Terminating", ..deployment.members[3].clone() };
    let drain_at = now();
    deployment.agents.iter().for_each(|agent| agent.tell(&drained));
    let told_at = (sighup_at + TOLD_AFTER_SIGHUP).max(drain_at);
    record(&format!("platform: {} drains; this counts as told at {told_at:.3}", drained.id));
    sleep_until(sighup_at + END_AT);
    deployment.verdict_on_drain(loads, &drained.id, told_at + GRACE)
}
