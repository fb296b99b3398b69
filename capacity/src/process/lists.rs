//! Measures the start of a gateway, its idle cost and the cost of endpoint list changes, by number of
//! servers.

use super::endpoint_list::{complete_list_json, entry_json, incremental_list_json, Layout};
use super::gateway_process::GatewayProcess;
use super::{millis_since, wait_until, READY_TIMEOUT, SERVER_COUNTS};
use crate::error::Error;
use crate::measure::Report;
use crate::stub_peers::{DiscoveryStub, ServerStub};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Size of the pieces in which a list is written, bytes. A TCP segment is about as large.
const PIECE_BYTES: usize = 1400;
/// Duration of the measurement of an idle gateway.
const IDLE_TIME: Duration = Duration::from_secs(3);
/// Number of single changes that are measured.
const CHANGES: usize = 200;
/// Pause between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(5);
/// Wait after the last change, so that the gateway has applied all changes.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// The way in which the agent writes a complete list to the gateway.
struct ListFormat {
    name: &'static str,
    layout: Layout,
    /// Size of the pieces in bytes; 0 means that the list is written in one piece.
    piece_bytes: usize,
}

const LIST_FORMATS: [ListFormat; 3] = [
    ListFormat { name: "compact, in one", layout: Layout::Compact, piece_bytes: 0 },
    ListFormat { name: "compact, pieces", layout: Layout::Compact, piece_bytes: PIECE_BYTES },
    ListFormat { name: "indented, pieces", layout: Layout::Indented, piece_bytes: PIECE_BYTES },
];

impl ListFormat {
    /// Whether idle cost and changes are measured with this format too. They do not depend on the format of
    /// the complete list, so one format suffices.
    fn is_baseline(&self) -> bool {
        self.layout == Layout::Compact && self.piece_bytes == 0
    }
}

/// Measures the start with lists of each size and format, the idle cost and the cost of changes.
///
/// # Errors
/// Fails if a process does not start, no port is free, or a connection to the gateway is lost.
pub fn measure(program: &Path, repeats: usize) -> Result<Report, Error> {
    let mut report = Report::default();
    let server = ServerStub::start()?;
    for _ in 0..repeats {
        for servers in SERVER_COUNTS {
            for format in &LIST_FORMATS {
                measure_start(&mut report, program, servers, server.address, format)?;
            }
        }
    }
    Ok(report)
}

fn measure_start(
    report: &mut Report,
    program: &Path,
    servers: usize,
    address: SocketAddr,
    format: &ListFormat,
) -> Result<(), Error> {
    let list = complete_list_json(servers, address, format.layout)?;
    let mut add = |what: &str, unit, value| {
        report.add_sample(&format!("list {}: {what}", format.name), "servers", unit, servers as f64, value);
    };
    add("bytes", "bytes", list.len() as f64);
    let discovery = DiscoveryStub::start(list, format.piece_bytes)?;
    let gateway = GatewayProcess::start(program, discovery.address, 1)?;
    let ready = gateway.wait_until_ready()?;
    let time_to_ready = millis_since(gateway.started);
    add("ready", "of starts", f64::from(u8::from(ready)));
    add("time to ready, by the clock on the wall", "ms", time_to_ready);
    let watched = ready && wait_until(READY_TIMEOUT, || discovery.is_watched());
    add("processor time, start to watch", "ms", gateway.processor_time());
    add("calls to the agent by then", "calls", discovery.calls() as f64);
    add("resident memory", "bytes", gateway.resident_bytes());
    if format.is_baseline() && watched {
        let idle = measure_idle(report, &gateway, servers);
        measure_changes(report, &gateway, &discovery, servers, address, idle);
    }
    Ok(())
}

/// Measures the processor time of a gateway without requests, in ms per second.
fn measure_idle(report: &mut Report, gateway: &GatewayProcess, servers: usize) -> f64 {
    let before = gateway.processor_time();
    std::thread::sleep(IDLE_TIME);
    let idle = (gateway.processor_time() - before) / IDLE_TIME.as_secs_f64();
    report.add_sample("idle, a second", "servers", "ms", servers as f64, idle);
    idle
}

/// Measures the processor time, less the idle cost, and the bytes of changes of a single server.
fn measure_changes(
    report: &mut Report,
    gateway: &GatewayProcess,
    discovery: &DiscoveryStub,
    servers: usize,
    address: SocketAddr,
    idle: f64,
) {
    let before = gateway.processor_time();
    let started = Instant::now();
    let mut bytes = 0;
    for number in 0..CHANGES {
        let phase = if number % 2 == 0 { "Terminating" } else { "Ready" };
        let changed = entry_json(1 + number / 2 * servers / CHANGES, address, phase);
        bytes += discovery.publish(&incremental_list_json(number + 2, &changed));
        std::thread::sleep(CHANGE_INTERVAL);
    }
    std::thread::sleep(SETTLE_TIME);
    let spent = gateway.processor_time() - before - idle * started.elapsed().as_secs_f64();
    let size = servers as f64;
    report.add_sample("change told on the watch", "servers", "ms", size, spent / CHANGES as f64);
    report.add_sample("bytes of a change", "servers", "bytes", size, bytes as f64 / CHANGES as f64);
}
