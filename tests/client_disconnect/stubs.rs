//! Stub peers that wait at a gate, and gateways set up for them.

use crate::clients::has_name;
use crate::support::{
    answer, member, start_stubs, Counter, Discovery, Gate, GatewayProcess, Server, Setup, StubResponse,
};
use std::net::SocketAddr;

pub fn setup_for(server: SocketAddr) -> (Setup, Discovery, Counter) {
    start_stubs(&[member("s-00000001", server, "Ready")])
}

/// A server that makes requests named `slow` wait at a gate before it answers them with these bytes.
pub fn gated_server(gate: &Gate, response: Vec<u8>) -> Server {
    let gate = gate.clone();
    Server::start(move |message| {
        if has_name(message, "slow") {
            gate.wait();
            return StubResponse::Write(response.clone());
        }
        StubResponse::Write(answer("200 OK", "", b"good"))
    })
}

/// A counter that makes calls wait at a gate.
pub fn gated_counter(gate: &Gate) -> Counter {
    let gate = gate.clone();
    Counter::start(move |_, total| {
        gate.wait();
        format!("ok {total}\r\n").into_bytes()
    })
}

/// The gateway must call the counter before it forwards a request: each of many gateways has a small quota.
pub fn require_counter_calls(setup: &mut Setup, counter: &Counter, counter_timeout: f64) {
    setup.plan = r#"{"name":"team","rate":2,"store_size":30}"#;
    setup.gateways = 200;
    setup.counter = counter.address;
    setup.counter_timeout = counter_timeout;
}

/// The gateway may have one attempt of a tenant in flight: two over two gateways.
pub const ONE_IN_FLIGHT_PLAN: &str = r#"{"name":"team","rate":100000,"store_size":100000,"max_out":2}"#;

/// Longer than any test: a connection that does not come up is not given up.
pub const NO_CONNECT_TIMEOUT_MS: f64 = 60_000.0;

/// A server under so many ids that a flood reaches no limit on what is in flight at one.
pub fn many_endpoints_at(address: SocketAddr) -> Vec<String> {
    (0..600).map(|i| member(&format!("s-{:08x}", i + 1), address, "Ready")).collect()
}

/// Room for the connections and requests of a whole flood.
pub fn allow_flood(setup: &mut Setup) {
    setup.sockets = 4096;
    setup.memory_mb = 2000.0;
}

/// A gateway that accepts a whole flood.
pub fn start_gateway_for_flood(server: &Server) -> (GatewayProcess, Discovery, Counter) {
    let (mut setup, discovery, counter) = start_stubs(&many_endpoints_at(server.address));
    allow_flood(&mut setup);
    (setup.start(), discovery, counter)
}
