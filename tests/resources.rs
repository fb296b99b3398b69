//! What the limiter holds returns to its level: descriptors, connections to the counter and open names, after
//! bursts of clients that leave, of clients that send nonsense, and of answers that cannot be used.

#[allow(dead_code)] // each file of tests uses its own part
mod fakes;

use fakes::*;
use socket2::SockRef;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

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
