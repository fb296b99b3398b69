//! A process that starts anew is ready soon, whatever it is told at its start and whoever starts with it.
//!
//! `LIMITERS=64 cargo test --release --test restart -- --nocapture` measures with so many processes at once.

#[allow(dead_code)] // each file of tests uses its own part
mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};
use support::*;

/// Nine in ten have to be ready within this.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// Processes that are started together.
fn limiters() -> usize {
    std::env::var("LIMITERS").ok().and_then(|n| n.parse().ok()).unwrap_or(10)
}

/// Processor time that a process has had so far.
fn worked(limiter: &Limiter) -> Duration {
    let path = format!("/proc/{}/schedstat", limiter.child.id());
    let text = std::fs::read_to_string(path).expect("its processor time");
    Duration::from_nanos(text.split(' ').next().and_then(|ns| ns.parse().ok()).expect("a number"))
}

/// Starts them all at once, prints how long they took to be ready, and holds nine in ten to the bound.
fn start_together(what: &str, setup: impl Fn() -> Setup + Send + Sync + 'static) {
    let (many, setup) = (limiters(), Arc::new(setup));
    let barrier = Arc::new(Barrier::new(many));
    let started: Vec<_> = (0..many)
        .map(|_| {
            let (setup, barrier) = (setup.clone(), barrier.clone());
            std::thread::spawn(move || {
                barrier.wait();
                let start = Instant::now();
                let limiter = setup().start();
                (start.elapsed(), worked(&limiter))
            })
        })
        .collect();
    let mut times: Vec<_> = started.into_iter().map(|t| t.join().expect("a limiter that is ready")).collect();
    times.sort();
    let most_worked = times.iter().map(|t| t.1).max().expect("a time");
    let (median, nine, longest) =
        (times[many / 2].0, times[(many * 9).div_ceil(10) - 1].0, times[many - 1].0);
    println!("{what}: {many} ready after {median:.2?}, {nine:.2?}, {longest:.2?} (median, 9 in 10, longest); {most_worked:.1?} of a core at most");
    assert!(nine < READY_WITHIN, "{what}: nine in ten took {nine:?}");
}

fn members(many: usize) -> Vec<String> {
    let address = |i: usize| SocketAddr::from(([10, 1, (i / 250) as u8, (i % 250) as u8], 8000));
    (0..many).map(|i| member(&format!("s-{i:08x}"), address(i), "Ready")).collect()
}

#[test]
fn limiters_that_start_together_are_ready_soon() {
    for many in [20, 1000, 5700] {
        let known = list(1, true, &members(many));
        let (discovery, counter) = (Discovery::start(known.clone()), Counter::ok());
        let peers = (discovery.address, counter.address);
        let setup = move || Setup::new(peers.0, peers.1, &known);
        start_together(&format!("{many} servers known"), setup);
    }
}

#[test]
fn a_silent_discovery_keeps_none_from_being_ready_from_an_old_list() {
    let old = list(1, true, &members(5700));
    let (discovery, counter) = (Discovery::start(old.clone()), Counter::ok());
    discovery.deaf.store(true, Ordering::SeqCst);
    let peers = (discovery.address, counter.address);
    start_together("discovery silent, an old list", move || Setup::new(peers.0, peers.1, &old));
}

#[test]
fn the_port_of_the_process_before_is_taken_again_while_its_connections_linger() {
    let server = Server::ok();
    let (mut setup, _discovery, _counter) = around(&often(&server));
    // An address of its own: no other test is given the port meanwhile.
    setup.listen = "127.64.0.1:0".into();
    let mut before = setup.start();
    setup.listen = before.address.to_string();
    let mut clients: Vec<Client> = (0..20).map(|_| before.client()).collect();
    clients.iter_mut().for_each(|c| assert_eq!(c.look().status(), 200));
    before.terminate();
    // The limiter closes first, so that its side is the one that lingers.
    clients.iter_mut().for_each(|c| assert!(c.read().is_none()));
    drop(clients);
    assert_eq!(before.exit_code(), Some(0));
    assert!(lingering(before.address) > 0, "nothing lingers");
    let start = Instant::now();
    let after = setup.start();
    println!(
        "a port with {} lingering connections: ready after {:.2?}",
        lingering(after.address),
        start.elapsed()
    );
    assert!(start.elapsed() < READY_WITHIN);
    assert_eq!(after.client().look().status(), 200);
}

/// Connections of an address in TIME_WAIT.
fn lingering(address: SocketAddr) -> usize {
    const TIME_WAIT: &str = "06";
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table of connections");
    let std::net::IpAddr::V4(ip) = address.ip() else { return 0 };
    let local = format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port());
    let mut rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    rows.by_ref().filter(|row| row[1] == local && row[3] == TIME_WAIT).count()
}
