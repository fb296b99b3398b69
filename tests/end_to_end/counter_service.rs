//! Calls to the counter service, and the quotas and ceilings that they enforce.

use crate::gateway_setup;
use crate::support::*;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The counter's first reply arrives after its call has timed out. If the gateway took it for the reply to a
/// later call, its total would use up the quota. The gateway must drop it and keep the connection.
#[test]
fn a_late_counter_reply_is_matched_to_its_call_and_dropped() {
    // Longer than the timeout of a call, which is a quarter of the shortest latency objective of 1.5 s.
    let counter = Counter::start(|call, total| {
        if call == 0 {
            std::thread::sleep(Duration::from_millis(600));
            return b"ok 100000000\r\n".to_vec();
        }
        format!("ok {total}\r\n").into_bytes()
    });
    let server = Server::ok();
    let (mut setup, _discovery, _counter) = gateway_setup(&[&server]);
    setup.counter = counter.address;
    let gateway = setup.start();
    let mut client = gateway.client();
    eventually("all connections to the counter are open", || counter.connections.load(Ordering::SeqCst) >= 4);
    eventually("the counter receives further calls", || {
        assert_eq!(client.get_idempotent().status(), 200);
        counter.calls.load(Ordering::SeqCst) >= 3
    });
    assert_eq!(client.get_idempotent().status(), 200);
    assert_eq!(counter.connections.load(Ordering::SeqCst), 4, "a connection to the counter was replaced");
}

/// The counter takes three times as long to reply as the timeout in the settings, which applies only in the
/// simulator. The gateway must still use the replies, which report usage far over the quota.
#[test]
fn a_counter_reply_after_the_simulated_timeout_is_still_used() {
    // The timeout in the settings is 50 ms.
    let counter = Counter::start(|_, total| {
        std::thread::sleep(Duration::from_millis(150));
        format!("ok {}\r\n", total + 100_000_000.0).into_bytes()
    });
    let server = Server::ok();
    let (mut setup, _discovery, _counter) = gateway_setup(&[&server]);
    setup.counter = counter.address;
    let gateway = setup.start();
    let mut client = gateway.client();
    eventually("the reported usage leads to rejected requests", || client.get_idempotent().status() == 429);
}

/// The counter is overloaded, refuses calls or replies with invalid lines. The gateway must serve requests
/// without it.
#[test]
fn requests_are_served_while_the_counter_is_overloaded_or_faulty() {
    for bytes in ["busy\r\n", "error\r\n", "ok many\r\n", "\r\n", "ok NaN\r\n", "\u{1}\u{2}\r\nok 1\r\n"] {
        let counter = Counter::start(move |_, _| bytes.as_bytes().to_vec());
        let server = Server::ok();
        let (mut setup, _discovery, _counter) = gateway_setup(&[&server]);
        setup.counter = counter.address;
        let gateway = setup.start();
        let mut client = gateway.client();
        eventually("the counter receives a call", || {
            assert_eq!(client.get_idempotent().status(), 200);
            counter.calls.load(Ordering::SeqCst) > 0
        });
        assert_eq!(client.get_idempotent().status(), 200, "not served after the counter replied {bytes:?}");
    }
}

/// One reply of the counter has no total. The gateway cannot tell which call it answers, so it must replace
/// the connection. The counter has added the call's units; repeating the call would charge the tenant twice.
#[test]
fn an_invalid_counter_reply_replaces_one_connection_and_adds_no_units_twice() {
    let counter = Counter::start(|call, total| match call {
        1 => b"ok\r\n".to_vec(),
        _ => format!("ok {total}\r\n").into_bytes(),
    });
    let server = Server::ok();
    let (mut setup, _discovery, _counter) = gateway_setup(&[&server]);
    setup.counter = counter.address;
    let gateway = setup.start();
    eventually("all connections to the counter are open", || counter.connections.load(Ordering::SeqCst) >= 4);
    let mut client = gateway.client();
    let mut requests = 0.0;
    eventually("the counter receives further calls", || {
        requests += 1.0;
        assert_eq!(client.get_idempotent().status(), 200);
        counter.calls.load(Ordering::SeqCst) >= 4
    });
    let added = || *counter.added.lock().expect("lock poisoned");
    eventually("the counter has added all units", || added() >= requests);
    assert_eq!(added(), requests, "units were added twice");
    assert_eq!(counter.connections.load(Ordering::SeqCst), 5, "not exactly one connection was replaced");
}

/// A tenant sends far more than its quota. Each request over the quota must be rejected at once, without
/// being queued, and with a Retry-After header.
#[test]
fn a_request_over_the_quota_is_rejected_at_once_with_retry_after() {
    let server = Server::ok();
    let (mut setup, _discovery, _counter) = gateway_setup(&[&server]);
    setup.plan = r#"{"name":"team","rate":1.3,"store_size":5}"#;
    let gateway = setup.start();
    let mut client = gateway.client();
    let mut rejected = 0;
    for _ in 0..20 {
        let start = Instant::now();
        let response = client.get_idempotent();
        if response.status() == 200 {
            continue;
        }
        assert_eq!(response.status(), 429);
        assert!(
            start.elapsed() < Duration::from_millis(500),
            "the request was queued for {:?} before it was rejected",
            start.elapsed()
        );
        let wait: f64 =
            response.header("retry-after").and_then(|w| w.parse().ok()).expect("no valid Retry-After");
        assert!(wait > 0.0 && wait <= 1.0, "Retry-After is {wait} s");
        rejected += 1;
    }
    assert!(
        rejected >= 10 && server.request_count() == 20 - rejected,
        "{rejected} rejected, {} forwarded",
        server.request_count()
    );
}

/// Two gateways serve a tenant that sends as fast as it can. Together they must not forward more than its
/// hard ceiling allows.
#[test]
fn a_ceiling_is_enforced_across_gateways() {
    let server = Server::ok();
    let (mut setup, _discovery, _counter) = gateway_setup(&[&server]);
    setup.gateways = 2;
    setup.plan =
        r#"{"name":"team","rate":20,"store_size":30,"hard_rate":40,"cap_depth":60,"ceiling_slack":6}"#;
    let gateways = [setup.start(), setup.start()];
    let start = Instant::now();
    let threads: Vec<_> = gateways
        .iter()
        .map(|gateway| {
            let address = gateway.address;
            std::thread::spawn(move || {
                let mut client = Client::connect(address);
                let statuses: Vec<u16> = (0..300).map(|_| client.get_idempotent().status()).collect();
                statuses.iter().all(|s| matches!(s, 200 | 429))
            })
        })
        .collect();
    assert!(
        threads.into_iter().all(|t| t.join().expect("a client thread panicked")),
        "a request was neither served nor rejected"
    );
    let max_forwarded = 60.0 + 40.0 * start.elapsed().as_secs_f64() + 6.0;
    let forwarded = server.request_count() as f64;
    assert!(
        forwarded > 10.0 && forwarded <= max_forwarded,
        "{forwarded} requests were forwarded, where over 10 and at most {max_forwarded} are allowed"
    );
}
