//! Stub servers and counters that wait at a gate, and setups of gateways that use them.

use crate::clients::has_name;
use crate::support::{
    endpoint_entry, response_bytes, start_stubs, Counter, Discovery, Gate, GatewayProcess, Server, Setup,
    StubResponse,
};
use std::net::SocketAddr;

pub fn setup_for(server: SocketAddr) -> (Setup, Discovery, Counter) {
    start_stubs(&[endpoint_entry("s-00000001", server, "Ready")])
}

/// Starts a server that waits at a gate before it answers requests named `slow` with `response`.
pub fn gated_server(gate: &Gate, response: Vec<u8>) -> Server {
    let gate = gate.clone();
    Server::start(move |message| {
        if has_name(message, "slow") {
            gate.wait();
            return StubResponse::Write(response.clone());
        }
        StubResponse::Write(response_bytes("200 OK", "", b"good"))
    })
}

/// Starts a counter that waits at a gate before it answers a call.
pub fn gated_counter(gate: &Gate) -> Counter {
    let gate = gate.clone();
    Counter::start(move |_, total| {
        gate.wait();
        format!("ok {total}\r\n").into_bytes()
    })
}

/// Makes the gateway call the counter before it forwards a request: a small quota is shared by many gateways.
pub fn require_counter_calls(setup: &mut Setup, counter: &Counter, counter_timeout: f64) {
    setup.plan = r#"{"name":"team","rate":2,"store_size":30}"#;
    setup.gateways = 200;
    setup.counter = counter.address;
    setup.counter_timeout = counter_timeout;
}

/// A plan with two attempts in flight per tenant. Two gateways share them, so each may have one.
pub const ONE_IN_FLIGHT_PLAN: &str = r#"{"name":"team","rate":100000,"store_size":100000,"max_out":2}"#;

/// A connect timeout that is longer than any test, so that the gateway never gives up connecting.
pub const NO_CONNECT_TIMEOUT_MS: f64 = 60_000.0;

/// Lists one address under so many server ids that a flood does not reach the limit of requests in flight at
/// any of them.
pub fn many_endpoints_at(address: SocketAddr) -> Vec<String> {
    (0..600).map(|i| endpoint_entry(&format!("s-{:08x}", i + 1), address, "Ready")).collect()
}

/// Raises the gateway's limits so that it accepts the connections and requests of a whole flood.
pub fn allow_flood(setup: &mut Setup) {
    setup.sockets = 4096;
    setup.memory_mb = 2000.0;
}

/// Starts a gateway that accepts a whole flood.
pub fn start_gateway_for_flood(server: &Server) -> (GatewayProcess, Discovery, Counter) {
    let (mut setup, discovery, counter) = start_stubs(&many_endpoints_at(server.address));
    allow_flood(&mut setup);
    (setup.start(), discovery, counter)
}
