//! Tests the gateway process with complete lists of thousands of endpoints, compact and indented, that arrive
//! in pieces of the size of a TCP segment. Measured times are printed and visible with `--nocapture`.

#[allow(dead_code)] // each test file uses a part of it
mod support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use support::*;

/// Number of endpoints in the fleet that the operators plan.
const ENDPOINTS: usize = 5700;
/// Payload of a TCP segment, in bytes.
const SEGMENT_BYTES: usize = 1400;

/// A complete list of [`ENDPOINTS`] endpoints, all with the address of one server.
fn complete_list(revision: u64, server: &Server, indented: bool) -> String {
    let members: Vec<String> =
        (0..ENDPOINTS).map(|i| endpoint_entry(&format!("s-{i:08x}"), server.address, "Ready")).collect();
    let list = endpoint_list(revision, true, &members);
    if !indented {
        return list + "\n";
    }
    let list: serde_json::Value = serde_json::from_str(&list).expect("the list is valid JSON");
    serde_json::to_string_pretty(&list).expect("the list can be written as JSON") + "\n"
}

/// CPU time that the gateway process has used so far.
fn cpu_time(gateway: &GatewayProcess) -> Duration {
    let path = format!("/proc/{}/schedstat", gateway.child.id());
    let text = std::fs::read_to_string(path).expect("schedstat of the gateway can be read");
    let nanos = text.split(' ').next().and_then(|ns| ns.parse().ok()).expect("schedstat has a CPU time");
    Duration::from_nanos(nanos)
}

/// Checks that the gateway has kept its watch. The gateway has to apply a list that moves all endpoints to
/// the server `next`, without a further call to discovery.
fn assert_watch_kept(gateway: &GatewayProcess, discovery: &Discovery, calls: usize, next: &Server) {
    discovery.write(&complete_list(9, next, false));
    eventually("the list sent over the existing watch is applied", || {
        gateway.client().get_idempotent().status() == 200 && next.request_count() > 0
    });
    let requests = discovery.request_lines.lock().expect("the lock is not poisoned").clone();
    assert_eq!(requests.len(), calls, "the gateway called discovery again: {requests:?}");
}

/// Discovery does not answer when the gateway starts, and the gateway has no cached list. Once discovery
/// answers, the gateway has to apply its list of thousands, compact or indented, and to keep its watch.
#[test]
fn a_complete_list_of_thousands_is_applied_when_discovery_answers_late() {
    let (server, next) = (Server::ok(), Server::ok());
    for indented in [false, true] {
        let text = complete_list(7, &server, indented);
        let (discovery, counter) = (Discovery::start(text.clone()), Counter::ok());
        discovery.write_size.store(SEGMENT_BYTES, Ordering::SeqCst);
        discovery.unresponsive.store(true, Ordering::SeqCst);
        let gateway = Setup::new(discovery.address, counter.address, "null").launch();
        eventually("the gateway calls discovery twice without an answer", || discovery.call_count() >= 2);
        assert_ne!(gateway.client().get("/healthz", "").status(), 200);
        let (start, cpu_at_start) = (Instant::now(), cpu_time(&gateway));
        discovery.unresponsive.store(false, Ordering::SeqCst);
        eventually("the gateway reports ready on /healthz", || {
            gateway.client().get("/healthz", "").status() == 200
        });
        let (elapsed, cpu_used) = (start.elapsed(), cpu_time(&gateway) - cpu_at_start);
        println!(
            "complete list, {} bytes, indented {indented}: ready after {elapsed:?}, {cpu_used:?} of CPU",
            text.len()
        );
        assert_eq!(gateway.client().get_idempotent().status(), 200);
        eventually("the gateway opens a watch", || discovery.watch_count() == 1);
        assert_watch_kept(&gateway, &discovery, discovery.call_count(), &next);
    }
}

/// Discovery sends a complete list of thousands over an open watch. The gateway has to apply the list and to
/// keep the watch.
#[test]
fn a_complete_list_of_thousands_is_applied_over_a_watch() {
    for indented in [false, true] {
        let (old, server, next) = (Server::ok(), Server::ok(), Server::ok());
        let (setup, discovery, _counter) = start_stubs(&[endpoint_entry("s-0fffffff", old.address, "Ready")]);
        discovery.write_size.store(SEGMENT_BYTES, Ordering::SeqCst);
        let gateway = setup.start();
        eventually("the gateway opens a watch", || discovery.watch_count() == 1);
        let text = complete_list(7, &server, indented);
        let (start, cpu_at_start) = (Instant::now(), cpu_time(&gateway));
        discovery.write(&text);
        eventually("the list sent over the watch is applied", || {
            gateway.client().get_idempotent().status() == 200 && server.request_count() > 0
        });
        let (elapsed, cpu_used) = (start.elapsed(), cpu_time(&gateway) - cpu_at_start);
        println!(
            "list on a watch, {} bytes, indented {indented}: applied after {elapsed:?}, {cpu_used:?} of CPU",
            text.len()
        );
        assert_watch_kept(&gateway, &discovery, 1, &next);
    }
}
