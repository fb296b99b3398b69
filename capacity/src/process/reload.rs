//! Measures the time until a new configuration is in effect, by number of servers.

use super::endpoint_list::{complete_list_json, Layout};
use super::gateway_process::GatewayProcess;
use super::{millis_since, READY_TIMEOUT, SERVER_COUNTS};
use crate::error::Error;
use crate::measure::Report;
use crate::stub_peers::{Client, ClientRequest, DiscoveryStub, ServerStub};
use std::path::Path;
use std::time::{Duration, Instant};

/// Pause between two requests while the old configuration is still in effect.
const REQUEST_PAUSE: Duration = Duration::from_millis(1);

/// Measures a reload on SIGHUP. The new configuration names another discovery agent, and that agent's list
/// contains another server address. The configuration is in effect when the first request reaches that
/// address.
///
/// # Errors
/// Fails if a process does not start, no port is free, the gateway does not become ready, or a request is not
/// answered.
pub fn measure(program: &Path, repeats: usize) -> Result<Report, Error> {
    let mut report = Report::default();
    for _ in 0..repeats {
        for servers in SERVER_COUNTS {
            measure_reload(&mut report, program, servers)?;
        }
    }
    Ok(report)
}

fn measure_reload(report: &mut Report, program: &Path, servers: usize) -> Result<(), Error> {
    let (old_server, new_server) = (ServerStub::start()?, ServerStub::start()?);
    let old_list = complete_list_json(servers, old_server.address, Layout::Compact)?;
    let new_list = complete_list_json(servers, new_server.address, Layout::Compact)?;
    let old_discovery = DiscoveryStub::start(old_list, 0)?;
    let new_discovery = DiscoveryStub::start(new_list, 0)?;
    let gateway = GatewayProcess::start_ready(program, old_discovery.address, 1)?;
    let mut client = Client::connect(gateway.address)?;
    let request = |id| ClientRequest { id, tenant: 1, plan: "large", gateway_count: 1 };
    client.send(request(0))?;
    client.read()?;
    gateway.configure_discovery(new_discovery.address)?;
    let before = gateway.processor_time();
    let started = Instant::now();
    gateway.send_sighup()?;
    let mut id = 0;
    while new_server.requests() == 0 && started.elapsed() < READY_TIMEOUT {
        id += 1;
        client.send(request(id))?;
        client.read()?;
        std::thread::sleep(REQUEST_PAUSE);
    }
    let mut add = |what: &str, unit, value| report.add_sample(what, "servers", unit, servers as f64, value);
    add("SIGHUP to in force, by the clock on the wall", "ms", millis_since(started));
    add("processor time of it, requests among it", "ms", gateway.processor_time() - before);
    Ok(())
}
