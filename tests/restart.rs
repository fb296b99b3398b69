//! A process that restarts is ready soon, whatever list it has cached and however many start with it.
//!
//! `LIMITERS=64 cargo test --release --test restart -- --nocapture` measures with so many processes at once.

#[allow(dead_code)] // each file of tests uses its own part
mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};
use support::{
    endpoints_of, list, member, start_stubs, Client, Counter, Discovery, GatewayProcess, Server, Setup,
};

/// Nine in ten have to be ready within this.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Processes that are started together, unless `LIMITERS` says otherwise.
const LIMITERS: usize = 10;

fn gateways() -> usize {
    std::env::var("LIMITERS").ok().and_then(|n| n.parse().ok()).unwrap_or(LIMITERS)
}

/// Processor time that a process has had so far.
fn processor_time(gateway: &GatewayProcess) -> Duration {
    let path = format!("/proc/{}/schedstat", gateway.child.id());
    let text = std::fs::read_to_string(path).expect("its processor time");
    Duration::from_nanos(text.split(' ').next().and_then(|ns| ns.parse().ok()).expect("a number"))
}

/// What a start took until the gateway was ready.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct StartTime {
    elapsed: Duration,
    processor_time: Duration,
}

/// Starts gateways all at once.
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
    threads.into_iter().map(|thread| thread.join().expect("a limiter that is ready")).collect()
}

/// Starts gateways all at once, prints how long they took to be ready, and holds nine in ten to the bound.
fn assert_ready_soon(name: &str, setup: impl Fn() -> Setup + Send + Sync + 'static) {
    let count = gateways();
    let mut times = start_times(count, setup);
    times.sort();
    let max_processor_time = times.iter().map(|time| time.processor_time).max().expect("a time");
    let median = times[count / 2].elapsed;
    let nine_in_ten = times[(count * 9).div_ceil(10) - 1].elapsed;
    let longest = times[count - 1].elapsed;
    println!(
        "{name}: {count} ready after {median:.2?}, {nine_in_ten:.2?}, {longest:.2?} (median, 9 in 10, longest); \
         {max_processor_time:.1?} of a core at most"
    );
    assert!(nine_in_ten < READY_WITHIN, "{name}: nine in ten took {nine_in_ten:?}");
}

/// Entries of servers that nobody connects to.
fn members(count: usize) -> Vec<String> {
    let address = |i: usize| SocketAddr::from(([10, 1, (i / 250) as u8, (i % 250) as u8], 8000));
    (0..count).map(|i| member(&format!("s-{i:08x}"), address(i), "Ready")).collect()
}

#[test]
fn limiters_that_start_together_are_ready_soon() {
    for servers in [20, 1000, 5700] {
        let known = list(1, true, &members(servers));
        let discovery = Discovery::start(known.clone());
        let counter = Counter::ok();
        let (discovery_address, counter_address) = (discovery.address, counter.address);
        let setup = move || Setup::new(discovery_address, counter_address, &known);
        assert_ready_soon(&format!("{servers} servers known"), setup);
    }
}

/// Discovery is down when the gateways start: calls to it are never answered. Each has a cached list, and has
/// to serve with that.
#[test]
fn limiters_with_a_cached_list_are_ready_soon_while_discovery_is_silent() {
    let cached = list(1, true, &members(5700));
    let discovery = Discovery::start(cached.clone());
    let counter = Counter::ok();
    discovery.unresponsive.store(true, Ordering::SeqCst);
    let (discovery_address, counter_address) = (discovery.address, counter.address);
    let setup = move || Setup::new(discovery_address, counter_address, &cached);
    assert_ready_soon("discovery silent, an old list", setup);
}

/// A gateway shuts down and closes its connections first, so that its side keeps them in TIME_WAIT. The next
/// process has to listen on the same port all the same.
#[test]
fn a_restarted_limiter_listens_on_its_port_while_connections_are_in_time_wait() {
    let server = Server::ok();
    let (mut setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
    // An address of its own: no other test is given the port meanwhile.
    setup.listen = "127.64.0.1:0".into();
    let mut before = setup.start();
    setup.listen = before.address.to_string();
    let mut clients: Vec<Client> = (0..20).map(|_| before.client()).collect();
    clients.iter_mut().for_each(|client| assert_eq!(client.get_idempotent().status(), 200));
    before.terminate();
    clients.iter_mut().for_each(|client| assert!(client.read().is_none()));
    drop(clients);
    assert_eq!(before.exit_code(), Some(0));
    assert!(time_wait_connections(before.address) > 0, "no connection is in TIME_WAIT");
    let started = Instant::now();
    let after = setup.start();
    println!(
        "a port with {} connections in TIME_WAIT: ready after {:.2?}",
        time_wait_connections(after.address),
        started.elapsed()
    );
    assert!(started.elapsed() < READY_WITHIN);
    assert_eq!(after.client().get_idempotent().status(), 200);
}

/// Connections of an address in TIME_WAIT.
fn time_wait_connections(address: SocketAddr) -> usize {
    const TIME_WAIT: &str = "06";
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table of connections");
    let std::net::IpAddr::V4(ip) = address.ip() else { return 0 };
    let local = format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port());
    let mut rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    rows.by_ref().filter(|row| row[1] == local && row[3] == TIME_WAIT).count()
}
