//! The end of a limiter under load: whatever was taken gets its one answer, or a close after which the client
//! may safely ask again.

#[allow(dead_code)] // each file of tests uses its own part
mod fakes;

use fakes::*;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// A server that answers those who wait long once a gate is open, and others at once.
fn gated(gate: &Gate) -> Server {
    let there = gate.clone();
    Server::start(move |m| {
        if m.start.starts_with("POST /long") {
            there.wait();
        }
        Act::Write(answer("200 OK", "", b"whole"))
    })
}

fn long(limiter: &Limiter) -> Client {
    let mut client = limiter.client();
    client.send("POST", "long", "X-Time-Left: 20\r\n", b"{}");
    client
}

#[test]
fn connections_that_wait_to_be_accepted_when_the_end_begins_are_served() {
    let gate = Gate::default();
    let server = gated(&gate);
    let (mut setup, _discovery, _counter) = around(&often(&server));
    // Room for eight clients at the least that is set.
    setup.sockets = 0;
    let mut limiter = setup.start();
    let mut taken: Vec<Client> = (0..8).map(|_| long(&limiter)).collect();
    eventually("the attempts", || server.count() == 8);
    let mut waiting: Vec<Client> = (0..6).map(|_| long(&limiter)).collect();
    limiter.terminate();
    // Past the time for which new connections come; whether it is enough decides nothing here.
    std::thread::sleep(Duration::from_millis(800));
    assert_eq!(server.count(), 8, "they were not waiting");
    gate.open();
    for client in taken.iter_mut().chain(&mut waiting) {
        assert_eq!(client.read().map(|m| m.status()), Some(200));
    }
    assert_eq!(limiter.exit_code(), Some(0));
}

#[test]
fn further_signals_during_the_end_cost_no_request() {
    let gate = Gate::default();
    let server = gated(&gate);
    let (setup, _discovery, _counter) = around(&often(&server));
    let mut limiter = setup.start();
    let mut client = long(&limiter);
    eventually("the attempt", || server.count() == 1);
    limiter.terminate();
    let mut new = limiter.client();
    assert_eq!(new.look().status(), 200);
    limiter.terminate();
    limiter.reload("{");
    limiter.reload(&setup.config());
    limiter.terminate();
    let mut late = limiter.client();
    assert_eq!(late.look().status(), 200);
    gate.open();
    let got = client.read().expect("an answer");
    assert_eq!((got.status(), got.body.as_slice()), (200, &b"whole"[..]));
    assert_eq!(limiter.exit_code(), Some(0));
}

/// What became of one request: its path, and the status if it was answered.
type Fate = (String, Option<u16>);

/// Sends requests on one connection until it is closed or refused, each with a path of its own.
fn until_closed(limiter: &Limiter, name: String, pause: Duration) -> std::thread::JoinHandle<Vec<Fate>> {
    let mut client = limiter.client();
    std::thread::spawn(move || {
        let mut fates = Vec::new();
        for i in 0.. {
            let path = format!("/once?customer=00000000b4d65521&name={name}-{i}");
            let request = format!(
                "POST {path} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {name}-{i}\r\nX-Service-Class: once\r\n\
                 X-Plan: team\r\nX-Time-Left: 1.9\r\nX-Quota: units=1,spread=2,first=0\r\n\
                 Content-Length: 2\r\n\r\n{{}}"
            );
            let answer = client.raw(request.as_bytes());
            fates.push((path, answer.as_ref().map(Message::status)));
            // Goes on after an answer that announces the close: all that stays open may be used.
            if answer.is_none() {
                break;
            }
            std::thread::sleep(pause);
        }
        fates
    })
}

#[test]
fn requests_on_kept_connections_during_the_end_are_answered_or_were_never_sent_on() {
    let server = Server::ok();
    let (setup, _discovery, _counter) = around(&often(&server));
    let mut limiter = setup.start();
    // Of many paces, so that closes and requests cross in all ways.
    let kept: Vec<_> = (0..40u64)
        .map(|i| until_closed(&limiter, format!("k{i}"), Duration::from_millis(7 * i + 1)))
        .collect();
    eventually("traffic", || server.count() > 60);
    let start = Instant::now();
    limiter.terminate();
    // New connections come a while longer, and each of those is owed an answer.
    let mut new = 0;
    while start.elapsed() < Duration::from_millis(350) {
        assert_eq!(limiter.client().once("1.9").status(), 200);
        new += 1;
    }
    assert!(new > 0);
    assert_eq!(limiter.exit_code(), Some(0));
    let seen: Vec<String> = {
        let seen = server.seen.lock().expect("a lock");
        seen.iter().map(|m| m.start.split(' ').nth(1).unwrap_or_default().to_owned()).collect()
    };
    let once: HashSet<&String> = seen.iter().filter(|path| path.contains("&name=")).collect();
    assert_eq!(once.len(), seen.iter().filter(|path| path.contains("&name=")).count(), "one ran twice");
    for (path, status) in kept.into_iter().flat_map(|t| t.join().expect("a client")) {
        match status {
            Some(status) => assert_eq!(status, 200, "{path}"),
            None => assert!(!once.contains(&path), "{path} was sent on and got no answer"),
        }
    }
}

#[test]
fn a_new_connection_still_gets_to_send_its_first_request_while_the_limiter_ends() {
    let gate = Gate::default();
    let server = gated(&gate);
    let (setup, _discovery, _counter) = around(&often(&server));
    let mut limiter = setup.start();
    // Holds the end open.
    let mut held = long(&limiter);
    eventually("the attempt", || server.count() == 1);
    limiter.terminate();
    std::thread::sleep(Duration::from_millis(300));
    let start = Instant::now();
    let mut clients: Vec<Client> = (0..4).map(|_| limiter.client()).collect();
    // They speak at a time when older connections that stand idle are being closed.
    std::thread::sleep(Duration::from_millis(250));
    clients.iter_mut().for_each(|c| c.send("GET", "look", "X-Time-Left: 2.0\r\n", b""));
    // On a machine so busy that the words came after the time for them, a close is right.
    let in_time = start.elapsed() < Duration::from_millis(430);
    for client in &mut clients {
        let status = client.read().map(|m| m.status());
        assert!(status == Some(200) || !in_time, "{status:?}");
    }
    gate.open();
    assert_eq!(held.read().map(|m| m.status()), Some(200));
    assert_eq!(limiter.exit_code(), Some(0));
}

#[test]
fn an_answer_that_is_not_taken_does_not_hold_up_the_end_or_others() {
    let gate = Gate::default();
    let there = gate.clone();
    let server = Server::start(move |m| {
        if m.start.starts_with("POST /long") {
            there.wait();
        }
        Act::Write(answer("200 OK", "", &vec![b'x'; 60_000]))
    });
    let (setup, _discovery, _counter) = around(&often(&server));
    let mut limiter = setup.start();
    // Takes a little of its answer and then nothing more.
    let mut lazy = limiter.client();
    socket2::SockRef::from(&lazy.stream).set_recv_buffer_size(2048).expect("a buffer");
    lazy.send("POST", "once", "X-Time-Left: 1.9\r\n", b"{}");
    let mut held = long(&limiter);
    eventually("the attempts", || server.count() == 2);
    limiter.terminate();
    gate.open();
    let got = held.read().expect("an answer");
    assert_eq!((got.status(), got.body.len()), (200, 60_000));
    assert_eq!(limiter.exit_code(), Some(0));
    // What has been passed on is the beginning of the answer made for it, or all of it.
    let rest = lazy.read();
    assert!(rest.is_none_or(|m| m.status() == 200 && m.body.iter().all(|b| *b == b'x')));
}
