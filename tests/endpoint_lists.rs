//! The gateway with a fleet of thousands: complete lists, compact and indented, in pieces of a TCP segment.
//! What is measured is printed; `--nocapture` shows it.

#[allow(dead_code)] // each file of tests uses its own part
mod support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use support::*;

/// Endpoints of the operators' plan.
const ENDPOINTS: usize = 5700;
/// Bytes that a TCP segment carries.
const SEGMENT_BYTES: usize = 1400;

/// A complete list of so many endpoints, all at one server.
fn complete_list(revision: u64, server: &Server, indented: bool) -> String {
    let members: Vec<String> =
        (0..ENDPOINTS).map(|i| member(&format!("s-{i:08x}"), server.address, "Ready")).collect();
    let list = list(revision, true, &members);
    if !indented {
        return list + "\n";
    }
    let list: serde_json::Value = serde_json::from_str(&list).expect("a list");
    serde_json::to_string_pretty(&list).expect("a list") + "\n"
}

/// Processor time that the gateway has used.
fn processor_time(gateway: &GatewayProcess) -> Duration {
    let path = format!("/proc/{}/schedstat", gateway.child.id());
    let text = std::fs::read_to_string(path).expect("the kernel's account");
    let spent = text.split(' ').next().and_then(|ns| ns.parse().ok()).expect("a number");
    Duration::from_nanos(spent)
}

/// The watch is still the one it was: the whole fleet moves to another server, and the change is in force
/// with no call more.
fn assert_watch_kept(gateway: &GatewayProcess, discovery: &Discovery, calls: usize, next: &Server) {
    discovery.write(&complete_list(9, next, false));
    eventually("the change", || gateway.client().get_idempotent().status() == 200 && next.count() > 0);
    let asked = discovery.requests_seen.lock().expect("a lock").clone();
    assert_eq!(asked.len(), calls, "asked again: {asked:?}");
}

/// Discovery is silent when the gateway starts, and has no list of before to begin with. When discovery is
/// back, its list of thousands has to be applied, however it is laid out, and the watch after it kept.
#[test]
fn a_complete_list_of_thousands_is_applied_after_a_silent_start() {
    let (server, next) = (Server::ok(), Server::ok());
    for indented in [false, true] {
        let text = complete_list(7, &server, indented);
        let (discovery, counter) = (Discovery::start(text.clone()), Counter::ok());
        discovery.piece.store(SEGMENT_BYTES, Ordering::SeqCst);
        discovery.unresponsive.store(true, Ordering::SeqCst);
        let gateway = Setup::new(discovery.address, counter.address, "null").launch();
        eventually("calls that are not answered", || discovery.calls() >= 2);
        assert_ne!(gateway.client().get("/healthz", "").status(), 200);
        let (start, spent) = (Instant::now(), processor_time(&gateway));
        discovery.unresponsive.store(false, Ordering::SeqCst);
        eventually("healthz", || gateway.client().get("/healthz", "").status() == 200);
        let (elapsed, spent) = (start.elapsed(), processor_time(&gateway) - spent);
        println!(
            "complete list, {} bytes, indented {indented}: ready after {elapsed:?}, {spent:?} spent",
            text.len()
        );
        assert_eq!(gateway.client().get_idempotent().status(), 200);
        eventually("a watch", || discovery.watching() == 1);
        assert_watch_kept(&gateway, &discovery, discovery.calls(), &next);
    }
}

/// A gateway that has a watch is sent a complete list of thousands on it. It has to apply the list and keep
/// the watch.
#[test]
fn a_complete_list_of_thousands_is_applied_over_a_watch() {
    for indented in [false, true] {
        let (old, server, next) = (Server::ok(), Server::ok(), Server::ok());
        let (setup, discovery, _counter) = start_stubs(&[member("s-0fffffff", old.address, "Ready")]);
        discovery.piece.store(SEGMENT_BYTES, Ordering::SeqCst);
        let gateway = setup.start();
        eventually("a watch", || discovery.watching() == 1);
        let text = complete_list(7, &server, indented);
        let (start, spent) = (Instant::now(), processor_time(&gateway));
        discovery.write(&text);
        eventually("the list", || gateway.client().get_idempotent().status() == 200 && server.count() > 0);
        let (elapsed, spent) = (start.elapsed(), processor_time(&gateway) - spent);
        println!(
            "on a watch, {} bytes, indented {indented}: in force after {elapsed:?}, {spent:?}",
            text.len()
        );
        assert_watch_kept(&gateway, &discovery, 1, &next);
    }
}
