//! Limiters are killed. While they are away a server begins to drain, and when they start again their agents answer
//! late.

mod common;

use common::*;
use std::sync::atomic::Ordering;

/// Time from a call until its answer, ms. Calls do not wait for each other.
const ANSWER_MS: u64 = 3000;
/// Time from the start of the new processes to the end of the case, s.
const END_AT: f64 = 8.0;
/// The grace of the rule, with its 0.05 s on sockets.
const GRACE: f64 = 1.05;

fn main() {
    open_record();
    let mut deployment = Deployment::new(2, 8);
    deployment.start_limiters();
    let loads = deployment.start_load(6, 20);
    sleep_ms(3000);
    deployment.kill_limiters();
    sleep_ms(500);
    let drained = Member { phase: "Terminating", ..deployment.members[3].clone() };
    deployment.agents.iter().for_each(|agent| agent.tell(&drained));
    if trouble() {
        deployment.agents.iter().for_each(|agent| agent.answer_delay_ms.store(ANSWER_MS, Ordering::SeqCst));
    }
    sleep_ms(500);
    let started_at = now();
    record(&format!(
        "platform: {} drains; new processes are told of this from {started_at:.3} on",
        drained.id
    ));
    deployment.start_limiters();
    let ready_at = now();
    println!("ready after {:.3} s", ready_at - started_at);
    sleep_until(started_at + END_AT);
    deployment.verdict_on_drain(loads, &drained.id, started_at + GRACE)
}
