//! Calls to the counter service, and the quotas that they enforce.

use crate::gateway_setup;
use crate::support::*;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The counter's first reply comes after its call has timed out. Taken for the reply to a later call, its
/// total would fill the quota; it is dropped, and the connection goes on.
#[test]
fn a_late_counter_reply_is_matched_to_its_call_and_dropped() {
    // Longer than the timeout of a call, a quarter of the shortest latency objective of 1.5 s.
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
    eventually("connections", || counter.connections.load(Ordering::SeqCst) >= 4);
    eventually("further calls", || {
        assert_eq!(client.get_idempotent().status(), 200);
        counter.calls.load(Ordering::SeqCst) >= 3
    });
    assert_eq!(client.get_idempotent().status(), 200);
    assert_eq!(counter.connections.load(Ordering::SeqCst), 4, "a connection was replaced");
}

/// The counter takes three times the timeout of the settings, which is meant for the simulator, to reply.
/// The replies must count all the same: they tell of use far beyond the quota.
#[test]
fn a_counter_reply_past_the_simulated_timeout_still_counts() {
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
    eventually("the reported use fills the quota", || client.get_idempotent().status() == 429);
}

/// The counter is overloaded, refuses calls or replies with invalid lines. Requests are served without it.
#[test]
fn an_overloaded_or_faulty_counter_stops_no_request() {
    for bytes in ["busy\r\n", "error\r\n", "ok many\r\n", "\r\n", "ok NaN\r\n", "\u{1}\u{2}\r\nok 1\r\n"] {
        let counter = Counter::start(move |_, _| bytes.as_bytes().to_vec());
        let server = Server::ok();
        let (mut setup, _discovery, _counter) = gateway_setup(&[&server]);
        setup.counter = counter.address;
        let gateway = setup.start();
        let mut client = gateway.client();
        eventually("a call", || {
            assert_eq!(client.get_idempotent().status(), 200);
            counter.calls.load(Ordering::SeqCst) > 0
        });
        assert_eq!(client.get_idempotent().status(), 200, "after {bytes:?}");
    }
}

/// One reply of the counter has no total. Which call it answers is unknown, so its connection is replaced.
/// The call was added; repeating it would charge the tenant twice.
#[test]
fn an_invalid_counter_reply_costs_one_connection_and_adds_nothing_twice() {
    let counter = Counter::start(|call, total| match call {
        1 => b"ok\r\n".to_vec(),
        _ => format!("ok {total}\r\n").into_bytes(),
    });
    let server = Server::ok();
    let (mut setup, _discovery, _counter) = gateway_setup(&[&server]);
    setup.counter = counter.address;
    let gateway = setup.start();
    eventually("connections", || counter.connections.load(Ordering::SeqCst) >= 4);
    let mut client = gateway.client();
    let mut requests = 0.0;
    eventually("further calls", || {
        requests += 1.0;
        assert_eq!(client.get_idempotent().status(), 200);
        counter.calls.load(Ordering::SeqCst) >= 4
    });
    let added = || *counter.added.lock().expect("a lock");
    eventually("all units added", || added() >= requests);
    assert_eq!(added(), requests);
    assert_eq!(counter.connections.load(Ordering::SeqCst), 5, "exactly one connection is replaced");
}

/// A tenant sends far more than its quota. Each request over it is rejected at once, not held, and told
/// when a retry may succeed.
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
        assert!(start.elapsed() < Duration::from_millis(500), "held for {:?}", start.elapsed());
        let wait: f64 = response.header("retry-after").and_then(|w| w.parse().ok()).expect("a Retry-After");
        assert!(wait > 0.0 && wait <= 1.0, "Retry-After of {wait} s");
        rejected += 1;
    }
    assert!(
        rejected >= 10 && server.count() == 20 - rejected,
        "{rejected} rejected, {} forwarded",
        server.count()
    );
}

/// Two gateways serve a tenant that sends as fast as it can. Together they must not forward more than its
/// hard ceiling allows.
#[test]
fn a_ceiling_holds_over_several_gateways() {
    let server = Server::ok();
    let (mut setup, _discovery, _counter) = gateway_setup(&[&server]);
    setup.gateways = 2;
    setup.plan =
        r#"{"name":"team","rate":20,"store_size":30,"hard_rate":40,"cap_depth":60,"ceiling_slack":6}"#;
    let gateways = [setup.start(), setup.start()];
    let start = Instant::now();
    let threads: Vec<_> = gateways
        .iter()
        .map(|l| {
            let address = l.address;
            std::thread::spawn(move || {
                let mut client = Client::connect(address);
                let statuses: Vec<u16> = (0..300).map(|_| client.get_idempotent().status()).collect();
                statuses.iter().all(|s| matches!(s, 200 | 429))
            })
        })
        .collect();
    assert!(threads.into_iter().all(|t| t.join().expect("a client")), "neither served nor rejected");
    let max_forwarded = 60.0 + 40.0 * start.elapsed().as_secs_f64() + 6.0;
    let forwarded = server.count() as f64;
    assert!(
        forwarded > 10.0 && forwarded <= max_forwarded,
        "{forwarded} forwarded of at most {max_forwarded}"
    );
}
