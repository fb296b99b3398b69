//! The real limiter before a fleet of thousands: whole lists, compact and indented, in pieces of a TCP
//! segment. What is measured is printed; `--nocapture` shows it.

#[allow(dead_code)] // each file of tests uses its own part
mod support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use support::*;

/// Servers of the operators' plan.
const SERVERS: usize = 5700;
/// What a TCP segment carries.
const SEGMENT: usize = 1400;

/// A list of so many entries, all at one server.
fn fleet(revision: u64, server: &Server, indented: bool) -> String {
    let members: Vec<String> =
        (0..SERVERS).map(|i| member(&format!("s-{i:08x}"), server.address, "Ready")).collect();
    let list = list(revision, true, &members);
    if !indented {
        return list + "\n";
    }
    let list: serde_json::Value = serde_json::from_str(&list).expect("a list");
    serde_json::to_string_pretty(&list).expect("a list") + "\n"
}

/// Processor time that the limiter has taken.
fn processor_time(limiter: &Limiter) -> Duration {
    let path = format!("/proc/{}/schedstat", limiter.child.id());
    let text = std::fs::read_to_string(path).expect("the kernel's account");
    let spent = text.split(' ').next().and_then(|ns| ns.parse().ok()).expect("a number");
    Duration::from_nanos(spent)
}

/// Servers that requests of this many clients reach tell that the watch is still the one it was.
fn assert_held(limiter: &Limiter, discovery: &Discovery, calls: usize, next: &Server) {
    // The whole fleet at another server: in force over the same watch, with no call more.
    discovery.write(&fleet(9, next, false));
    eventually("the change", || limiter.client().look().status() == 200 && next.count() > 0);
    let asked = discovery.asked.lock().expect("a lock").clone();
    assert_eq!(asked.len(), calls, "asked again: {asked:?}");
}

#[test]
fn a_whole_list_of_thousands_is_taken_from_a_silent_start() {
    let (server, next) = (Server::ok(), Server::ok());
    for indented in [false, true] {
        let text = fleet(7, &server, indented);
        let (discovery, counter) = (Discovery::start(text.clone()), Counter::ok());
        discovery.piece.store(SEGMENT, Ordering::SeqCst);
        discovery.deaf.store(true, Ordering::SeqCst);
        let limiter = Setup::new(discovery.address, counter.address, "null").launch();
        eventually("calls that are not answered", || discovery.calls() >= 2);
        assert_ne!(limiter.client().get("/healthz", "").status(), 200);
        let (start, spent) = (Instant::now(), processor_time(&limiter));
        discovery.deaf.store(false, Ordering::SeqCst);
        eventually("healthz", || limiter.client().get("/healthz", "").status() == 200);
        let (elapsed, spent) = (start.elapsed(), processor_time(&limiter) - spent);
        println!(
            "whole list, {} bytes, indented {indented}: ready after {elapsed:?}, {spent:?} spent",
            text.len()
        );
        assert_eq!(limiter.client().look().status(), 200);
        eventually("a watch", || discovery.watching() == 1);
        assert_held(&limiter, &discovery, discovery.calls(), &next);
    }
}

#[test]
fn a_whole_list_of_thousands_is_taken_over_a_watch() {
    for indented in [false, true] {
        let (old, server, next) = (Server::ok(), Server::ok(), Server::ok());
        let (setup, discovery, _counter) = around(&[member("s-0fffffff", old.address, "Ready")]);
        discovery.piece.store(SEGMENT, Ordering::SeqCst);
        let limiter = setup.start();
        eventually("a watch", || discovery.watching() == 1);
        let text = fleet(7, &server, indented);
        let (start, spent) = (Instant::now(), processor_time(&limiter));
        discovery.write(&text);
        eventually("the list", || limiter.client().look().status() == 200 && server.count() > 0);
        let (elapsed, spent) = (start.elapsed(), processor_time(&limiter) - spent);
        println!(
            "on a watch, {} bytes, indented {indented}: in force after {elapsed:?}, {spent:?}",
            text.len()
        );
        assert_held(&limiter, &discovery, 1, &next);
    }
}
