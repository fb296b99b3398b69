//! Start, idle cost and endpoint list changes of a gateway, by servers.

use super::endpoint_list::{change, complete, entry, Layout};
use super::gateway_process::GatewayProcess;
use super::{millis_since, wait_until, READY_TIMEOUT, SERVERS};
use crate::error::Error;
use crate::measure::Report;
use crate::stub_peers::{DiscoveryStub, ServerStub};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Bytes of a piece: a TCP segment's.
const PIECE_BYTES: usize = 1400;
/// How long an idle gateway is measured.
const IDLE_TIME: Duration = Duration::from_secs(3);
const CHANGES: usize = 200;
const CHANGE_INTERVAL: Duration = Duration::from_millis(5);
/// The last changes have been applied after this.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// How a list is written to the gateway.
struct ListForm {
    name: &'static str,
    layout: Layout,
    /// Bytes of each piece; 0: all in one.
    piece_bytes: usize,
}

const FORMS: [ListForm; 3] = [
    ListForm { name: "compact, in one", layout: Layout::Compact, piece_bytes: 0 },
    ListForm { name: "compact, pieces", layout: Layout::Compact, piece_bytes: PIECE_BYTES },
    ListForm { name: "indented, pieces", layout: Layout::Indented, piece_bytes: PIECE_BYTES },
];

impl ListForm {
    /// Whether idle cost and changes are measured too, which do not depend on the form.
    fn is_plain(&self) -> bool {
        self.layout == Layout::Compact && self.piece_bytes == 0
    }
}

/// Measures starts with lists of each size and form, idle cost and changes.
///
/// # Errors
/// If a process does not start, or no port is free.
pub fn measure(program: &Path, repeats: usize) -> Result<Report, Error> {
    let mut report = Report::default();
    let server = ServerStub::start()?;
    for _ in 0..repeats {
        for servers in SERVERS {
            for form in &FORMS {
                measure_start(&mut report, program, servers, server.address, form)?;
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
    form: &ListForm,
) -> Result<(), Error> {
    let list = complete(servers, address, form.layout)?;
    let mut add = |what: &str, unit, value| {
        report.sample(&format!("list {}: {what}", form.name), "servers", unit, servers as f64, value);
    };
    add("bytes", "bytes", list.len() as f64);
    let discovery = DiscoveryStub::start(list, form.piece_bytes)?;
    let gateway = GatewayProcess::start(program, discovery.address, 1)?;
    let ready = gateway.wait_until_ready()?;
    let time_to_ready = millis_since(gateway.started);
    add("ready", "of starts", f64::from(u8::from(ready)));
    add("time to ready, by the clock on the wall", "ms", time_to_ready);
    let watched = ready && wait_until(READY_TIMEOUT, || discovery.is_watched());
    add("processor time, start to watch", "ms", gateway.processor_time());
    add("calls to the agent by then", "calls", discovery.calls() as f64);
    add("resident memory", "bytes", gateway.resident_bytes());
    if form.is_plain() && watched {
        let idle = measure_idle(report, &gateway, servers);
        measure_changes(report, &gateway, &discovery, servers, address, idle);
    }
    Ok(())
}

/// Processor time of a gateway without requests, ms a second.
fn measure_idle(report: &mut Report, gateway: &GatewayProcess, servers: usize) -> f64 {
    let before = gateway.processor_time();
    std::thread::sleep(IDLE_TIME);
    let idle = (gateway.processor_time() - before) / IDLE_TIME.as_secs_f64();
    report.sample("idle, a second", "servers", "ms", servers as f64, idle);
    idle
}

/// Processor time and bytes of single changes, beyond the idle cost.
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
        let changed = entry(1 + number / 2 * servers / CHANGES, address, phase);
        bytes += discovery.publish(&change(number + 2, &changed));
        std::thread::sleep(CHANGE_INTERVAL);
    }
    std::thread::sleep(SETTLE_TIME);
    let spent = gateway.processor_time() - before - idle * started.elapsed().as_secs_f64();
    let size = servers as f64;
    report.sample("change told on the watch", "servers", "ms", size, spent / CHANGES as f64);
    report.sample("bytes of a change", "servers", "bytes", size, bytes as f64 / CHANGES as f64);
}
