//! A gateway must be ready soon after it starts, whatever server list it has cached and however many gateways
//! start at the same time.
//!
//! `LIMITERS=64 cargo test --release --test restart -- --nocapture` measures 64 gateways that start together.

#[allow(dead_code)] // each test program uses only some of the helpers
mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};
use support::{
    endpoint_entry, endpoint_list, endpoints_of, start_stubs, Client, Counter, Discovery, GatewayProcess,
    Server, Setup,
};

/// Time within which nine in ten gateways must be ready.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Number of gateways that start together, unless the environment variable `LIMITERS` sets another.
const DEFAULT_GATEWAY_COUNT: usize = 10;

fn gateway_count() -> usize {
    std::env::var("LIMITERS").ok().and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_GATEWAY_COUNT)
}

/// The processor time that a gateway process has used so far.
fn processor_time(gateway: &GatewayProcess) -> Duration {
    let path = format!("/proc/{}/schedstat", gateway.child.id());
    let text = std::fs::read_to_string(path).expect("schedstat could not be read");
    Duration::from_nanos(
        text.split(' ')
            .next()
            .and_then(|ns| ns.parse().ok())
            .expect("schedstat does not begin with a number"),
    )
}

/// The time that a gateway took from its start until it was ready.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct StartTime {
    elapsed: Duration,
    processor_time: Duration,
}

/// Starts `count` gateways at the same time and returns how long each took to be ready.
fn start_times(count: usize, setup: impl Fn() -> Setup + Send + Sync + 'static) -> Vec<StartTime> {
    let setup = Arc::new(setup);
    let barrier = Arc::new(Barrier::new(count));
    let threads: Vec<_> = (0..count)
        .map(|_| {
            let (setup, barrier) = (setup.clone(), barrier.clone());
            std::thread::spawn(move || {
                barrier.wait();
                let started = Instant::now();
                let gateway = setup().start();
                StartTime { elapsed: started.elapsed(), processor_time: processor_time(&gateway) }
            })
        })
        .collect();
    threads.into_iter().map(|thread| thread.join().expect("a gateway did not become ready")).collect()
}

/// Starts gateways at the same time, prints how long they took to be ready, and asserts that nine in ten were
/// ready within [`READY_WITHIN`].
fn assert_ready_soon(name: &str, setup: impl Fn() -> Setup + Send + Sync + 'static) {
    let count = gateway_count();
    let mut times = start_times(count, setup);
    times.sort();
    let max_processor_time =
        times.iter().map(|time| time.processor_time).max().expect("no gateway was started");
    let median = times[count / 2].elapsed;
    let nine_in_ten = times[(count * 9).div_ceil(10) - 1].elapsed;
    let longest = times[count - 1].elapsed;
    println!(
        "{name}: {count} ready after {median:.2?}, {nine_in_ten:.2?}, {longest:.2?} (median, 9 in 10, \
         longest); {max_processor_time:.1?} of processor time at most"
    );
    assert!(nine_in_ten < READY_WITHIN, "{name}: nine in ten gateways were ready only after {nine_in_ten:?}");
}

/// Endpoint list entries of `count` servers, which no test connects to.
fn members(count: usize) -> Vec<String> {
    let address = |i: usize| SocketAddr::from(([10, 1, (i / 250) as u8, (i % 250) as u8], 8000));
    (0..count).map(|i| endpoint_entry(&format!("s-{i:08x}"), address(i), "Ready")).collect()
}

#[test]
fn gateways_that_start_together_are_ready_soon() {
    for servers in [20, 1000, 5700] {
        let known = endpoint_list(1, true, &members(servers));
        let discovery = Discovery::start(known.clone());
        let counter = Counter::ok();
        let (discovery_address, counter_address) = (discovery.address, counter.address);
        let setup = move || Setup::new(discovery_address, counter_address, &known);
        assert_ready_soon(&format!("cached list of {servers} servers"), setup);
    }
}

/// Discovery does not respond to any call when the gateways start. Each gateway has a cached list, and must
/// become ready with that.
#[test]
fn gateways_with_a_cached_list_are_ready_soon_while_discovery_does_not_respond() {
    let cached = endpoint_list(1, true, &members(5700));
    let discovery = Discovery::start(cached.clone());
    let counter = Counter::ok();
    discovery.unresponsive.store(true, Ordering::SeqCst);
    let (discovery_address, counter_address) = (discovery.address, counter.address);
    let setup = move || Setup::new(discovery_address, counter_address, &cached);
    assert_ready_soon("discovery not responding, cached list", setup);
}

/// Regression test for an incident: a restarted gateway used its cached list until a slow agent answered, and
/// sent requests to a server that had begun to drain while the gateway was down. After the drain grace, the
/// gateway must forward nothing before the agent has answered, and must say when clients should retry.
#[test]
fn a_restarted_gateway_forwards_nothing_after_the_grace_until_a_slow_agent_answers() {
    const ANSWER_DELAY: Duration = Duration::from_secs(3);
    const DRAIN_GRACE: Duration = Duration::from_secs(1);
    let server = Server::ok();
    let (setup, discovery, _counter) = start_stubs(&endpoints_of(&server));
    discovery.answer_delay.store(ANSWER_DELAY.as_millis() as u64, Ordering::SeqCst);
    let gateway = setup.launch();
    let started = Instant::now();
    let mut client = gateway.client();
    let mut rejected = 0;
    while client.get("/healthz", "").status() != 200 {
        let forwarded_before = server.request_count();
        let sent_after = started.elapsed();
        let response = client.get_idempotent();
        if sent_after > DRAIN_GRACE {
            assert_eq!(response.status(), 503, "a request was not rejected {sent_after:?} after the start");
            assert!(response.header("retry-after").is_some(), "the response has no Retry-After");
            assert_eq!(server.request_count(), forwarded_before, "a request was forwarded after the grace");
            rejected += 1;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(rejected > 0, "the gateway was ready before the agent answered");
    assert!(started.elapsed() < READY_WITHIN, "the gateway was ready only after {:?}", started.elapsed());
    assert_eq!(client.get_idempotent().status(), 200);
}

/// A gateway shuts down and closes its connections before its clients do, so its connections stay in
/// TIME_WAIT. The next process must still be able to listen on the same port.
#[test]
fn a_restarted_gateway_listens_on_its_port_while_connections_are_in_time_wait() {
    let server = Server::ok();
    let (mut setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
    // This test uses an address of its own, so that no other test gets the port between the two processes.
    setup.listen = "127.64.0.1:0".into();
    let mut first = setup.start();
    setup.listen = first.address.to_string();
    let mut clients: Vec<Client> = (0..20).map(|_| first.client()).collect();
    clients.iter_mut().for_each(|client| assert_eq!(client.get_idempotent().status(), 200));
    first.terminate();
    clients.iter_mut().for_each(|client| assert!(client.read().is_none()));
    drop(clients);
    assert_eq!(first.exit_code(), Some(0));
    assert!(time_wait_connections(first.address) > 0, "no connection is in TIME_WAIT");
    let started = Instant::now();
    let second = setup.start();
    println!(
        "restart on a port with {} connections in TIME_WAIT: ready after {:.2?}",
        time_wait_connections(second.address),
        started.elapsed()
    );
    assert!(started.elapsed() < READY_WITHIN, "the restarted gateway was ready too late");
    assert_eq!(second.client().get_idempotent().status(), 200);
}

/// Number of connections in TIME_WAIT whose local address is `address`.
fn time_wait_connections(address: SocketAddr) -> usize {
    const TIME_WAIT: &str = "06";
    let table = std::fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp could not be read");
    let std::net::IpAddr::V4(ip) = address.ip() else { return 0 };
    let local = format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port());
    let mut rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    rows.by_ref().filter(|row| row[1] == local && row[3] == TIME_WAIT).count()
}
