//! Shutdown and configuration reload.

use crate::support::*;
use crate::{gateway_setup, ok_response, ready_list, start_gateway};
use std::io::Read;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The gateway is told to terminate with a request in flight. The client still gets its response, new
/// connections are served for a while, idle ones are closed, and the address is free for the next process.
#[test]
fn sigterm_completes_requests_in_flight_and_releases_the_address() {
    let server =
        Server::start(|_| StubResponse::Late(Duration::from_millis(900), ok_response(b"late but complete")));
    let (mut setup, _discovery, _counter) = gateway_setup(&[&server]);
    let mut gateway = setup.start();
    let mut client = gateway.client();
    client.send("GET", "look", "X-Time-Left: 2.0\r\n", b"");
    eventually("the attempt", || server.count() == 1);
    let mut idle = gateway.client();
    assert_eq!(idle.get("/healthz", "").status(), 200);
    gateway.terminate();
    let stopped = Instant::now();
    while stopped.elapsed() < Duration::from_millis(380) {
        // Whether or not the program has seen the signal yet, no connection may be refused.
        assert_eq!(gateway.client().get("/healthz", "").status(), 200);
    }
    let response = client.read().expect("a response");
    assert_eq!((response.status(), response.body.as_slice()), (200, &b"late but complete"[..]));
    assert_eq!(response.header("connection"), Some("close"));
    assert_eq!(idle.stream.read(&mut [0]).expect("a close"), 0);
    assert_eq!(gateway.exit_code(), Some(0));
    assert!(stopped.elapsed() < Duration::from_millis(3700), "ended after {:?}", stopped.elapsed());
    setup.listen = gateway.address.to_string();
    let again = setup.start();
    assert_eq!(again.client().get_idempotent().status(), 200);
}

/// A server stays silent while the gateway shuts down. The client must get an error instead of a reset
/// connection.
#[test]
fn a_request_that_a_shutdown_cannot_complete_is_still_answered() {
    let server = Server::start(|_| StubResponse::Silence);
    let (gateway, _discovery, _counter) = start_gateway(&[&server]);
    let mut gateway = gateway;
    let mut client = gateway.client();
    client.send("POST", "long", "X-Time-Left: 60\r\n", b"{}");
    eventually("the attempt", || server.count() == 1);
    gateway.terminate();
    let status = client.read().expect("a response").status();
    assert!(matches!(status, 502 | 504), "answered {status}");
    assert_eq!(gateway.exit_code(), Some(0));
}

/// Reloads name another discovery agent and another counter, then an invalid file, then the first ones
/// again, with a request in flight throughout. No request may fail, and each unit must be added to one
/// counter exactly once.
#[test]
fn a_reload_moves_discovery_and_counter_and_loses_nothing() {
    let slow = Server::start(|m| match m.start.starts_with("POST") {
        true => StubResponse::Late(Duration::from_millis(1200), ok_response(b"late but complete")),
        false => StubResponse::Write(ok_response(b"")),
    });
    let other = Server::ok();
    let (mut setup, first, counter) = gateway_setup(&[&slow]);
    let mut gateway = setup.start();
    let mut client = gateway.client();
    let mut requests = 0.0;
    let mut look_until = |what: &str, holds: &dyn Fn() -> bool| {
        eventually(what, || {
            requests += 1.0;
            assert_eq!(client.get_idempotent().status(), 200);
            holds()
        });
    };
    look_until("a response", &|| true);
    let mut in_flight = gateway.client();
    in_flight.send("POST", "once", "X-Time-Left: 1.9\r\n", b"{}");
    eventually("the attempt", || slow.count() == 2);
    // The second agent's revisions start over.
    let (second, moved) = (Discovery::start(ready_list(0, &[&slow, &other])), Counter::ok());
    (setup.discovery, setup.counter) = (second.address, moved.address);
    gateway.reload(&setup.config());
    eventually("a watch at the new agent", || second.watching() == 1);
    let first_request = second.requests_seen.lock().expect("a lock")[0].clone();
    assert!(first_request.contains("/v1/servers HTTP"), "{first_request}");
    look_until("the new server", &|| other.count() > 0);
    look_until("the new counter", &|| moved.calls.load(Ordering::SeqCst) > 0);
    assert_eq!(in_flight.read().expect("a response").body, b"late but complete");
    // An invalid file changes nothing, and does not prevent the next reload.
    gateway.reload("{");
    look_until("a response", &|| true);
    (setup.discovery, setup.counter) = (first.address, counter.address);
    let before = counter.calls.load(Ordering::SeqCst);
    gateway.reload(&setup.config());
    eventually("the first agent again", || first.watching() == 2);
    look_until("the first counter again", &|| counter.calls.load(Ordering::SeqCst) > before);
    // Each unit was added once, to one counter or the other; the request in flight took one as well.
    let added = || *counter.added.lock().expect("a lock") + *moved.added.lock().expect("a lock");
    eventually("all units added", || added() >= requests + 1.0);
    assert_eq!(added(), requests + 1.0);
    gateway.terminate();
    assert_eq!(gateway.exit_code(), Some(0));
}
