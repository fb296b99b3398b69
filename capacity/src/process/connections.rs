//! Memory of a gateway by client connections.

use super::endpoint_list::{complete, Layout};
use super::gateway_process::GatewayProcess;
use super::wait_until;
use crate::error::Error;
use crate::measure::Report;
use crate::stub_peers::{Client, ClientRequest, DiscoveryStub, ServerStub};
use std::path::Path;
use std::time::Duration;

const CONNECTIONS: [usize; 4] = [0, 100, 500, 1_000];
const SERVERS: usize = 1_000;
/// All requests are in flight within this.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_secs(8);

/// Measures resident memory with idle clients, with a request in flight for each, and after the responses.
///
/// # Errors
/// If a process does not start, or no port is free.
pub fn measure(program: &Path, repeats: usize) -> Result<Report, Error> {
    let mut report = Report::default();
    for _ in 0..repeats {
        for connections in CONNECTIONS {
            measure_connections(&mut report, program, connections)?;
        }
    }
    Ok(report)
}

fn measure_connections(report: &mut Report, program: &Path, connections: usize) -> Result<(), Error> {
    let server = ServerStub::start()?;
    let discovery = DiscoveryStub::start(complete(SERVERS, server.address, Layout::Compact)?, 0)?;
    let gateway = GatewayProcess::start_ready(program, discovery.address, 1)?;
    let mut clients = connect_all(&gateway, connections)?;
    let size = connections as f64;
    let mut add = |what: &str, unit, value| report.sample(what, "connections", unit, size, value);
    add("resident, so many clients that rest", "bytes", gateway.resident_bytes());
    server.hold_responses(true);
    for (id, client) in clients.iter_mut().enumerate() {
        client.send(ClientRequest { id, tenant: id, plan: "large", gateway_count: 1 })?;
    }
    let all_in_flight = wait_until(IN_FLIGHT_TIMEOUT, || server.requests() >= connections);
    add("resident, each with a request out at a server", "bytes", gateway.resident_bytes());
    server.hold_responses(false);
    let served = clients.iter_mut().filter_map(|client| client.read().ok()).filter(|s| *s == 200).count();
    add("resident, all answered", "bytes", gateway.resident_bytes());
    add("answered", "requests", served as f64);
    if !all_in_flight {
        add("not all were out", "requests", served as f64);
    }
    Ok(())
}

fn connect_all(gateway: &GatewayProcess, connections: usize) -> Result<Vec<Client>, Error> {
    let mut clients = Vec::new();
    for _ in 0..connections {
        let mut client = Client::connect(gateway.address)?;
        client.is_ready()?;
        clients.push(client);
    }
    Ok(clients)
}
