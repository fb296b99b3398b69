//! The stand-ins for clients, servers, discovery and the counter, and the cases that use them.
//!
//! `standins CASE RECORD` runs a case from the root of the repository. The exit code is 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the environment the case runs
//! without its disruption.

#![allow(dead_code)]

mod client;
mod counter;
mod discovery;
mod empty_agent;
mod http;
mod limiter;
mod no_length;
mod random;
mod record;
mod server;
mod slow_discovery;

use record::Record;
use std::time::Duration;

/// What a case found.
pub enum Verdict {
    Broken,
    Held,
    CannotRun,
}

/// Ends the run with exit code 2.
pub fn cannot_run(reason: &str) -> ! {
    println!("the case cannot run: {reason}");
    std::process::exit(2)
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else { cannot_run("usage: standins CASE RECORD") };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(path);
    record.say(&format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(110));
        cannot_run("it takes too long");
    });
    let verdict = match case.as_str() {
        "empty-agent" => empty_agent::run(&record, trouble),
        "no-length" => no_length::run(&record, trouble),
        "slow-discovery" => slow_discovery::run(&record, trouble),
        _ => cannot_run("no such case"),
    };
    let (code, text) = match verdict {
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::Held => (0, "the rule held"),
        Verdict::CannotRun => (2, "the case could not run"),
    };
    record.say(text);
    record.flush();
    // Each case has ended its limiters.
    limiter::forget_processes();
    std::process::exit(code);
}
