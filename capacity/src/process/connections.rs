//! Measures the memory of a gateway by number of client connections.

use super::endpoint_list::{complete_list_json, Layout};
use super::gateway_process::GatewayProcess;
use super::wait_until;
use crate::error::Error;
use crate::measure::Report;
use crate::stub_peers::{Client, ClientRequest, DiscoveryStub, ServerStub};
use std::path::Path;
use std::time::Duration;

const CONNECTION_COUNTS: [usize; 4] = [0, 100, 500, 1_000];
const SERVER_COUNT: usize = 1_000;
/// Time-out for all requests to be in flight.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_secs(8);

/// Measures the resident memory with idle client connections, with one request in flight on each connection,
/// and after all responses.
///
/// # Errors
/// Fails if a process does not start, no port is free, a connection is lost, or the gateway does not become
/// ready.
pub fn measure(program: &Path, repeats: usize) -> Result<Report, Error> {
    let mut report = Report::default();
    for _ in 0..repeats {
        for connections in CONNECTION_COUNTS {
            measure_connections(&mut report, program, connections)?;
        }
    }
    Ok(report)
}

fn measure_connections(report: &mut Report, program: &Path, connections: usize) -> Result<(), Error> {
    let server = ServerStub::start()?;
    let discovery =
        DiscoveryStub::start(complete_list_json(SERVER_COUNT, server.address, Layout::Compact)?, 0)?;
    let gateway = GatewayProcess::start_ready(program, discovery.address, 1)?;
    let mut clients = connect_all(&gateway, connections)?;
    let size = connections as f64;
    let mut add = |what: &str, unit, value| report.add_sample(what, "connections", unit, size, value);
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
