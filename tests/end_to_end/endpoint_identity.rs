//! Processes that come up at the address of another one, and servers that move to another address.

use crate::support::*;
use crate::{gateway_setup, ok_response, start_gateway};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A change that adds a ready server which has just started.
fn new_server(revision: u64, id: &str, server: &Server) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is before 1970").as_millis();
    let entry = endpoint_entry(id, server.address, "Ready")
        .replace("\"up_since_ms\":0", &format!("\"up_since_ms\":{now}"));
    endpoint_list(revision, false, &[entry]) + "\n"
}

/// Regression test for an incident: a new process comes up at the address of a server that has ended, and
/// discovery reports it before it reports the end of the old one. The gateway took the new process for the old,
/// warm server, and sent it far more requests than a server in slow start may get.
#[test]
fn a_new_process_at_the_address_of_an_ended_server_is_in_slow_start() {
    const REQUESTS: usize = 200;
    /// The share of the servers' capacity that a server gets in its first second, with `start_capacity` 0.16.
    const MAX_SHARE: f64 = 0.16;
    let (replaced, other) = (Server::ok(), Server::ok());
    let (gateway, discovery, _counter) = start_gateway(&[&replaced, &other]);
    eventually("the gateway opens a watch", || discovery.watch_count() == 1);
    discovery.write(&new_server(2, "s-000000f1", &replaced));
    let mut client = gateway.client();
    // The gateway applies the change before it reads the answers to two later requests.
    (0..20).for_each(|_| assert_eq!(client.get_idempotent().status(), 200));
    let before = replaced.request_count();
    for _ in 0..REQUESTS {
        assert_eq!(client.get_idempotent().status(), 200);
    }
    let share = (replaced.request_count() - before) as f64 / REQUESTS as f64;
    println!("the new process got a share of {share:.2}");
    assert!(share < MAX_SHARE, "the new process got a share of {share:.2} of the requests");
}

/// Regression test for an incident: while a connection to a server is being established, discovery reports that
/// the server has moved. Another process may listen at the old address by now, so the request must not be sent
/// there.
#[test]
fn a_request_is_not_sent_to_the_address_that_its_server_has_left() {
    let (unreachable, other) = (UnreachableServer::new(), Server::ok());
    let (mut setup, discovery, _counter) = gateway_setup(&[]);
    let at = |address, phase: &str| endpoint_entry("s-00000001", address, phase);
    setup.initial_list = endpoint_list(1, true, &[at(unreachable.address, "Ready")]);
    setup.connect_timeout = 5000.0;
    let gateway = setup.start();
    eventually("the gateway opens a watch", || discovery.watch_count() == 1);
    let mut client = gateway.client();
    client.send("POST", "once", "X-Time-Left: 1.9\r\n", b"{}");
    std::thread::sleep(Duration::from_millis(100));
    discovery.write(&(endpoint_list(2, false, &[at(other.address, "Ready")]) + "\n"));
    // A request that is served shows that the change has been applied.
    assert_eq!(gateway.client().get_idempotent().status(), 200);
    let (wrong, _connections) = unreachable.serve(|_| StubResponse::Write(ok_response(b"the wrong process")));
    let response = client.read().expect("the request got no response");
    assert_eq!(wrong.request_count(), 0, "the request was sent to the address that its server has left");
    assert_eq!(response.status(), 200);
    assert_ne!(response.body, b"the wrong process");
}
