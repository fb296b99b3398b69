//! What the limiter holds returns to its level: descriptors, connections to the counter and open names, after
//! bursts of clients that leave, of clients that send nonsense, and of answers that cannot be used.

#[allow(dead_code)] // each file of tests uses its own part
mod support;

use socket2::SockRef;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::*;

/// Descriptors that the limiter holds.
fn descriptors(limiter: &Limiter) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", limiter.child.id())).expect("its descriptors").count()
}

/// Memory that the limiter holds, kB.
fn memory(limiter: &Limiter) -> usize {
    let path = format!("/proc/{}/status", limiter.child.id());
    let status = std::fs::read_to_string(path).expect("its status");
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("its memory");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a number")
}

#[test]
fn a_burst_of_connections_does_not_pass_the_bound_and_each_is_served_in_its_turn() {
    let gate = Gate::default();
    let there = gate.clone();
    let server = Server::start(move |_| {
        there.wait();
        Act::Write(answer("200 OK", "", b""))
    });
    let (mut setup, _discovery, _counter) = around(&often(&server));
    // Eight clients and eight connections to servers, the least that is set.
    setup.sockets = 0;
    let limiter = setup.start();
    let before = descriptors(&limiter);
    // All stand in the queue before the first is accepted.
    limiter.signal("-STOP");
    let mut clients: Vec<Client> = (0..60).map(|_| limiter.client()).collect();
    clients.iter_mut().for_each(|c| c.send("POST", "long", "X-Time-Left: 20\r\n", b"{}"));
    limiter.signal("-CONT");
    eventually("the first attempts", || server.count() >= 8);
    let held = descriptors(&limiter);
    assert!(held <= before + 8 + 8, "{held} descriptors, {before} before");
    gate.open();
    for client in &mut clients {
        assert_eq!(client.read().map(|m| m.status()), Some(200));
    }
}

#[test]
fn what_leaving_and_bad_clients_and_spoilt_answers_took_is_given_back() {
    let asked = Arc::new(AtomicUsize::new(0));
    let there = asked.clone();
    let endless = ["HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", &"x".repeat(200_000)].concat();
    let server = Server::start(move |m| {
        if !m.start.contains("/once") {
            return Act::Write(answer("200 OK", "", b"good"));
        }
        match there.fetch_add(1, Ordering::SeqCst) % 4 {
            0 => Act::Silence,
            1 => Act::Write(b"noise without end of a line".to_vec()),
            2 => Act::Write(endless.clone().into_bytes()),
            _ => Act::Close(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec()),
        }
    });
    let (mut setup, _discovery, counter) = around(&often(&server));
    setup.sockets = 400;
    let limiter = setup.start();
    assert_eq!(limiter.client().look().status(), 200);
    eventually("connections to the counter", || counter.connections.load(Ordering::SeqCst) >= 4);
    let mut levels = Vec::new();
    for _ in 0..4 {
        for i in 0..60 {
            let mut client = limiter.client();
            match i % 4 {
                // Leaves with its request open, by a close or a reset.
                0 => client.send("POST", "once", "X-Time-Left: 1.9\r\n", b"{}"),
                1 => {
                    client.send("POST", "once", "X-Time-Left: 1.9\r\n", b"{}");
                    SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).expect("linger");
                }
                2 => _ = client.stream.write_all(&[b'x'; 30_000]),
                // Half a request.
                _ => _ = client.stream.write_all(b"POST /once HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf"),
            }
        }
        // Waits for each to be answered, spoilt as the answers are.
        for _ in 0..8 {
            assert_eq!(limiter.client().once("0.3").status() / 100, 5);
        }
        // An open name comes free however its client left: the same one may be used again.
        let named = "GET /look?customer=00000000b4d65521 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: same\r\n\
             X-Service-Class: look\r\nX-Plan: team\r\nX-Time-Left: 1.9\r\nX-Quota: units=1,spread=2,first=0\r\n\r\n";
        drop(limiter.client().stream.write_all(named.as_bytes()));
        eventually("the name is free", || {
            limiter.client().raw(named.as_bytes()).is_some_and(|m| m.status() == 200)
        });
        let most = 30 + 24;
        eventually("descriptors at their level", || descriptors(&limiter) <= most);
        levels.push(memory(&limiter));
    }
    // The first round warms up buffers; later ones add nothing.
    let (first, last) = (levels[0], levels[levels.len() - 1]);
    assert!(last < first + 4096, "memory grows: {levels:?} kB");
    assert!(counter.connections.load(Ordering::SeqCst) <= 4, "connections to the counter were replaced");
    assert_eq!(limiter.client().look().status(), 200);
}

/// The smallest limit, on the platform's word and on the process's own.
const SMALLEST: usize = 256;

/// A limiter at the smallest limit whose discovery is down, and a second agent and counter to move to: the agent
/// is silent too, and knows `next` only.
fn at_the_smallest(server: &Server, next: &Server) -> (Limiter, Setup, [Discovery; 2], [Counter; 2]) {
    let members = |server: &Server| -> Vec<String> {
        (10..70).map(|i| member(&format!("s-000000{i}"), server.address, "Ready")).collect()
    };
    let (mut setup, first, counter) = around(&members(server));
    setup.sockets = SMALLEST;
    setup.descriptors = Some(SMALLEST);
    let limiter = setup.start();
    eventually("a watch", || first.watching() > 0);
    eventually("connections to the counter", || counter.connections.load(Ordering::SeqCst) >= 4);
    let (second, other) = (Discovery::start(list(7, true, &members(next))), Counter::ok());
    for agent in [&first, &second] {
        agent.deaf.store(true, Ordering::SeqCst);
    }
    first.reset();
    (setup.discovery, setup.counter) = (second.address, other.address);
    (limiter, setup, [first, second], [counter, other])
}

/// Everything that is no client's gets its descriptors: tells the limiter of the other agent and counter, lets
/// the agent speak, and waits until its list is in force.
fn move_all(limiter: &Limiter, setup: &Setup, agents: &[Discovery; 2], counters: &[Counter; 2]) {
    limiter.reload(&setup.config());
    eventually("a call to the agent that is silent", || agents[1].calls() > 0);
    eventually("connections to the other counter", || counters[1].connections.load(Ordering::SeqCst) >= 4);
    let start = Instant::now();
    agents[1].deaf.store(false, Ordering::SeqCst);
    eventually("a watch behind the list", || agents[1].watching() > 0);
    println!(
        "in force {:.2?} after discovery's return, {} descriptors",
        start.elapsed(),
        descriptors(limiter)
    );
    assert!(start.elapsed() < Duration::from_secs(6), "in force after {:?}", start.elapsed());
    let asked = agents[1].asked.lock().expect("a lock").clone();
    assert!(asked.iter().any(|call| call.contains("since=7")), "{asked:?}");
}

#[test]
fn idle_clients_that_fill_the_descriptors_keep_them_from_nobody_else() {
    let (server, next) = (Server::ok(), Server::ok());
    let (limiter, setup, agents, counters) = at_the_smallest(&server, &next);
    // Connected already, half of them after one request; and more that connect meanwhile.
    let mut idle: Vec<Client> = (0..200).map(|_| limiter.client()).collect();
    for client in idle.iter_mut().step_by(2) {
        // One whose place was wanted may have been closed.
        _ = client.raw(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    let (address, more) = (limiter.address, Arc::new(AtomicUsize::new(0)));
    let there = more.clone();
    let flood = std::thread::spawn(move || {
        (0..400).map(|_| (Client::connect(address), there.fetch_add(1, Ordering::SeqCst))).collect::<Vec<_>>()
    });
    move_all(&limiter, &setup, &agents, &counters);
    eventually("more idle clients than descriptors", || more.load(Ordering::SeqCst) > SMALLEST);
    // A client that asks is still served, and from the list that is in force now.
    let before = server.count();
    eventually("an answer", || {
        let mut client = limiter.client();
        client.send("GET", "look", "X-Time-Left: 2.0\r\n", b"");
        client.read().is_some_and(|m| m.status() == 200)
    });
    assert_eq!(server.count(), before, "sent to a server that is gone");
    assert!(next.count() > 0);
    assert!(descriptors(&limiter) <= SMALLEST);
    drop((idle, flood.join().expect("the flood")));
}

#[test]
fn requests_in_work_on_all_client_connections_keep_no_descriptor_from_anyone_else() {
    let (gate, next) = (Gate::default(), Server::ok());
    let there = gate.clone();
    let server = Server::start(move |_| {
        there.wait();
        Act::Write(answer("200 OK", "", b""))
    });
    let (limiter, setup, agents, counters) = at_the_smallest(&server, &next);
    // All stand in the queue before the first is accepted.
    limiter.signal("-STOP");
    let mut clients: Vec<Client> = (0..SMALLEST).map(|_| limiter.client()).collect();
    clients.iter_mut().for_each(|c| c.send("POST", "long", "X-Time-Left: 30\r\n", b"{}"));
    limiter.signal("-CONT");
    // What the limiter lets clients have, and for each request a connection to its server.
    let share = (SMALLEST - 24) / 2;
    eventually("an attempt for each", || server.count() >= share);
    assert_eq!(server.count(), share);
    move_all(&limiter, &setup, &agents, &counters);
    assert!(descriptors(&limiter) <= SMALLEST);
    gate.open();
    for client in &mut clients {
        assert_eq!(client.read().map(|m| m.status()), Some(200));
    }
    assert!(next.count() > 0, "the list is not in force");
}
