//! Runs the gateway program against stub servers, a stub discovery agent and a stub counter on loopback
//! sockets. Each test guards against one fault that loses, duplicates or misdirects a request, or that ends
//! the process.

mod client_requests;
mod counter_service;
mod endpoint_identity;
mod endpoint_watch;
mod lifecycle;
#[allow(dead_code)] // each test program uses only some of the helpers
#[path = "../support/mod.rs"]
mod support;
mod upstream_responses;

use std::time::Duration;
use support::*;

/// The head of an idempotent request, without the empty line that ends it.
const REQUEST_HEAD: &str =
    "GET /look?customer=00000000b4d65521 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: a1\r\n\
    X-Service-Class: look\r\nX-Plan: team\r\nX-Time-Left: 2.0\r\nX-Quota: units=1,spread=2,first=0\r\n";

/// Starts a gateway whose cached list holds these servers, with a stub discovery agent and a stub counter.
fn start_gateway(servers: &[&Server]) -> (GatewayProcess, Discovery, Counter) {
    let (setup, discovery, counter) = gateway_setup(servers);
    (setup.start(), discovery, counter)
}

/// Like [`start_gateway`], but returns the setup without starting the gateway.
fn gateway_setup(servers: &[&Server]) -> (Setup, Discovery, Counter) {
    let known = ready_list(1, servers);
    let (discovery, counter) = (Discovery::start(known.clone()), Counter::ok());
    (Setup::new(discovery.address, counter.address, &known), discovery, counter)
}

/// A complete list in which all these servers are ready.
fn ready_list(revision: u64, servers: &[&Server]) -> String {
    let ready = |(index, server): (usize, &&Server)| entry(index, server, "Ready");
    let entries: Vec<String> = servers.iter().enumerate().map(ready).collect();
    endpoint_list(revision, true, &entries)
}

/// A server's entry in the endpoint list.
fn entry(index: usize, server: &Server, phase: &str) -> String {
    endpoint_entry(&format!("s-0000000{}", index + 1), server.address, phase)
}

/// Sends `count` non-idempotent requests and returns their statuses. All requests are sent before the first
/// response is read, so that every server gets some of them.
fn concurrent_statuses(gateway: &GatewayProcess, count: usize) -> Vec<u16> {
    let mut clients: Vec<Client> = (0..count).map(|_| gateway.client()).collect();
    clients.iter_mut().for_each(|client| client.send("POST", "once", "X-Time-Left: 1.9\r\n", b"{}"));
    clients.iter_mut().map(|client| client.read().expect("no response").status()).collect()
}

/// Asserts that the gateway closes its idle connection to the server long before the idle timeout.
fn assert_idle_connection_closed(server: &Server) {
    let idle = server.idle_before_close.recv_timeout(WAIT_TIMEOUT).expect("no connection was closed");
    assert!(idle < Duration::from_secs(6), "an idle connection stayed open for {idle:?}");
}

fn ok_response(body: &[u8]) -> Vec<u8> {
    response_bytes("200 OK", "", body)
}
