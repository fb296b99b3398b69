//! Graceful shutdown and configuration reload.

use crate::support::*;
use crate::{gateway_setup, ok_response, ready_list, start_gateway};
use std::io::Read;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The gateway receives SIGTERM with a request in flight. The client must still get its response, new
/// connections must be served for a while, idle ones must be closed, and the next process must be able to
/// listen on the address.
#[test]
fn sigterm_completes_requests_in_flight_and_releases_the_address() {
    let server = Server::start(|_| {
        StubResponse::Delayed(Duration::from_millis(900), ok_response(b"late but complete"))
    });
    let (mut setup, _discovery, _counter) = gateway_setup(&[&server]);
    let mut gateway = setup.start();
    let mut client = gateway.client();
    client.send("GET", "look", "X-Time-Left: 2.0\r\n", b"");
    eventually("the server receives the attempt", || server.request_count() == 1);
    let mut idle = gateway.client();
    assert_eq!(idle.get("/healthz", "").status(), 200);
    gateway.terminate();
    let terminated_at = Instant::now();
    while terminated_at.elapsed() < Duration::from_millis(380) {
        // No connection may be refused, whether or not the gateway has received the signal yet.
        assert_eq!(gateway.client().get("/healthz", "").status(), 200);
    }
    let response = client.read().expect("no response");
    assert_eq!((response.status(), response.body.as_slice()), (200, &b"late but complete"[..]));
    assert_eq!(response.header("connection"), Some("close"));
    assert_eq!(
        idle.stream.read(&mut [0]).expect("reading the idle connection failed"),
        0,
        "the idle connection was not closed"
    );
    assert_eq!(gateway.exit_code(), Some(0));
    assert!(
        terminated_at.elapsed() < Duration::from_millis(3700),
        "the gateway exited only after {:?}",
        terminated_at.elapsed()
    );
    setup.listen = gateway.address.to_string();
    let restarted = setup.start();
    assert_eq!(restarted.client().get_idempotent().status(), 200);
}

/// A server does not respond while the gateway shuts down. The client must get an error response instead of a
/// reset connection.
#[test]
fn a_request_that_is_unfinished_at_the_end_of_a_shutdown_gets_an_error_response() {
    let server = Server::start(|_| StubResponse::NoResponse);
    let (gateway, _discovery, _counter) = start_gateway(&[&server]);
    let mut gateway = gateway;
    let mut client = gateway.client();
    client.send("POST", "long", "X-Time-Left: 60\r\n", b"{}");
    eventually("the server receives the attempt", || server.request_count() == 1);
    gateway.terminate();
    let status = client.read().expect("no response").status();
    assert!(matches!(status, 502 | 504), "unexpected status {status}");
    assert_eq!(gateway.exit_code(), Some(0));
}

/// With a request in flight, a reload sets the addresses of another discovery agent and another counter. A
/// second reload reads an invalid file, and a third sets the first addresses again. No request may fail, and
/// each unit must be added to exactly one counter, once.
#[test]
fn a_reload_switches_discovery_and_counter_without_losing_requests_or_units() {
    let slow = Server::start(|m| match m.start_line.starts_with("POST") {
        true => StubResponse::Delayed(Duration::from_millis(1200), ok_response(b"late but complete")),
        false => StubResponse::Write(ok_response(b"")),
    });
    let other = Server::ok();
    let (mut setup, first, counter) = gateway_setup(&[&slow]);
    let mut gateway = setup.start();
    let mut client = gateway.client();
    let mut requests = 0.0;
    let mut send_until = |condition: &str, holds: &dyn Fn() -> bool| {
        eventually(condition, || {
            requests += 1.0;
            assert_eq!(client.get_idempotent().status(), 200);
            holds()
        });
    };
    send_until("the gateway responds", &|| true);
    let mut in_flight = gateway.client();
    in_flight.send("POST", "once", "X-Time-Left: 1.9\r\n", b"{}");
    eventually("the slow server receives the attempt", || slow.request_count() == 2);
    // The revisions of the second agent start at 0 again.
    let (second, second_counter) = (Discovery::start(ready_list(0, &[&slow, &other])), Counter::ok());
    (setup.discovery, setup.counter) = (second.address, second_counter.address);
    gateway.reload(&setup.config());
    eventually("the gateway watches the new agent", || second.last_call_contains("follow=1&since=0"));
    let request_lines = second.request_lines.lock().expect("lock poisoned").clone();
    assert!(
        request_lines.iter().any(|line| line.contains("/v1/servers HTTP")),
        "the complete list was not requested: {request_lines:?}"
    );
    send_until("the new agent's server receives a request", &|| other.request_count() > 0);
    send_until("the new counter receives a call", &|| second_counter.calls.load(Ordering::SeqCst) > 0);
    assert_eq!(in_flight.read().expect("no response").body, b"late but complete");
    // An invalid file changes nothing and does not prevent the next reload.
    gateway.reload("{");
    send_until("the gateway responds", &|| true);
    (setup.discovery, setup.counter) = (first.address, counter.address);
    let calls_before = counter.calls.load(Ordering::SeqCst);
    gateway.reload(&setup.config());
    eventually("the gateway watches the first agent again", || first.watch_count() == 2);
    send_until("the first counter receives a call again", &|| {
        counter.calls.load(Ordering::SeqCst) > calls_before
    });
    // Each unit was added once, to one of the two counters. The request in flight used one unit as well.
    let added = || {
        *counter.added.lock().expect("lock poisoned") + *second_counter.added.lock().expect("lock poisoned")
    };
    eventually("the counters have added all units", || added() >= requests + 1.0);
    assert_eq!(added(), requests + 1.0, "units were added twice");
    gateway.terminate();
    assert_eq!(gateway.exit_code(), Some(0));
}
