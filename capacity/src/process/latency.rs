//! Measures the latency through a gateway compared with a direct connection, by requests per second.

use super::endpoint_list::{complete_list_json, Layout};
use super::gateway_process::GatewayProcess;
use crate::error::Error;
use crate::measure::Report;
use crate::stub_peers::{Client, ClientRequest, DiscoveryStub, ServerStub};
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Rates at which latency is measured, requests per second.
const RATES: [usize; 4] = [50, 100, 200, 300];
/// Number of gateways in the fleet according to the settings.
const GATEWAY_COUNT: usize = 530;
const TENANT_COUNT: usize = 1000;
/// Longest latency that the histogram can record, µs.
const MAX_LATENCY: u64 = 60_000_000;
/// Precision of the recorded latencies, significant digits.
const LATENCY_DIGITS: u8 = 3;

/// A kind of tenant. A request of a tenant with the small plan waits for a counter call, unless a recent read
/// is cached. The counter calls for tenants with the large plan are made in the background.
#[derive(Clone, Copy)]
struct TenantKind {
    plan: &'static str,
    gateway_count: usize,
}

const TENANT_KINDS: [TenantKind; 2] = [
    TenantKind { plan: "large", gateway_count: 1 },
    TenantKind { plan: "small", gateway_count: GATEWAY_COUNT },
];

/// A quantile of the latencies and its name in reports.
struct Quantile {
    value: f64,
    name: &'static str,
}

const QUANTILES: [Quantile; 2] =
    [Quantile { value: 0.5, name: "half" }, Quantile { value: 0.99, name: "99 in 100" }];

/// A client connection and the latencies of its requests, µs.
struct TimedClient {
    client: Client,
    latencies: Histogram<u64>,
}

impl TimedClient {
    fn connect(address: SocketAddr) -> Result<Self, Error> {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY, LATENCY_DIGITS)?;
        Ok(TimedClient { client: Client::connect(address)?, latencies })
    }

    /// Sends a request, waits for the response and records the latency.
    fn measure_request(&mut self, request: ClientRequest) -> Result<(), Error> {
        let started = Instant::now();
        self.client.send(request)?;
        self.client.read()?;
        self.latencies.record(started.elapsed().as_nanos() as u64 / 1000)?;
        Ok(())
    }

    /// The latency within which this share of the requests was answered, ms.
    fn quantile(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// Measures latency and processor time for each kind of tenant at each rate. One measurement takes `seconds`.
///
/// # Errors
/// Fails if a process does not start, no port is free, the gateway does not become ready, or a request is not
/// answered.
pub fn measure(program: &Path, repeats: usize, servers: usize, seconds: f64) -> Result<Report, Error> {
    let mut report = Report::default();
    let server = ServerStub::start()?;
    let discovery = DiscoveryStub::start(complete_list_json(servers, server.address, Layout::Compact)?, 0)?;
    let gateway = GatewayProcess::start_ready(program, discovery.address, GATEWAY_COUNT)?;
    for _ in 0..repeats {
        for kind in TENANT_KINDS {
            for rate in RATES {
                measure_rate(&mut report, &gateway, server.address, kind, rate, seconds)?;
            }
        }
    }
    Ok(report)
}

fn measure_rate(
    report: &mut Report,
    gateway: &GatewayProcess,
    server: SocketAddr,
    kind: TenantKind,
    rate: usize,
    seconds: f64,
) -> Result<(), Error> {
    let mut direct = TimedClient::connect(server)?;
    let mut through_gateway = TimedClient::connect(gateway.address)?;
    let before = gateway.processor_time();
    let started = Instant::now();
    for id in 0..(rate as f64 * seconds) as usize {
        let due = started + Duration::from_secs_f64(id as f64 / rate as f64);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let TenantKind { plan, gateway_count } = kind;
        let request = ClientRequest { id, tenant: id % TENANT_COUNT, plan, gateway_count };
        direct.measure_request(request)?;
        through_gateway.measure_request(request)?;
    }
    let processor_time = gateway.processor_time() - before;
    let per_second = processor_time / started.elapsed().as_secs_f64();
    let mut add = |what: &str, unit, value| {
        let what = format!("{} customers: {what}", kind.plan);
        report.add_sample(&what, "requests a second", unit, rate as f64, value);
    };
    add("processor time, whole process", "ms a second", per_second);
    for Quantile { value, name } in QUANTILES {
        let (direct, through_gateway) = (direct.quantile(value), through_gateway.quantile(value));
        add(&format!("direct, {name} within"), "ms", direct);
        add(&format!("through the limiter, {name} within"), "ms", through_gateway);
        add(&format!("added, {name}"), "ms", through_gateway - direct);
    }
    Ok(())
}
