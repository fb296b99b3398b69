//! The end of a limiter under load: whatever was taken gets its one answer, or a close after which the client
//! may safely ask again.

#[allow(dead_code)] // each file of tests uses its own part
mod support;

use std::collections::HashSet;
use std::io::Write;
use std::time::{Duration, Instant};
use support::*;

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

/// A request of the class that may run once only, with a name of its own.
fn named(name: &str) -> String {
    format!(
        "POST /once?customer=00000000b4d65521&name={name} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {name}\r\n\
         X-Service-Class: once\r\nX-Plan: team\r\nX-Time-Left: 1.9\r\nX-Quota: units=1,spread=2,first=0\r\n\
         Content-Length: 2\r\n\r\n{{}}"
    )
}

/// Tells the limiter to end, and waits until it knows.
fn begin_the_end(limiter: &Limiter) {
    limiter.terminate();
    eventually("the end begins", || limiter.client().look().header("connection") == Some("close"));
}

#[test]
fn requests_that_stand_behind_one_another_when_the_end_begins_are_all_answered() {
    let gate = Gate::default();
    let server = gated(&gate);
    let (setup, _discovery, _counter) = around(&often(&server));
    let mut limiter = setup.start();
    let first = named("first").replace("once", "long").replace("Left: 1.9", "Left: 20");
    // In one write, and with what no read together with the first can take: both wait in the same read, in the
    // parser and in the socket.
    let mut client = limiter.client();
    client.stream.write_all((first + &named("a") + &named("b")).as_bytes()).expect("sent");
    eventually("the attempt", || server.count() == 1);
    let more: String = (0..60).map(|i| named(&format!("m{i}"))).collect();
    client.stream.write_all(more.as_bytes()).expect("sent");
    begin_the_end(&limiter);
    gate.open();
    let answers: Vec<Message> = std::iter::from_fn(|| client.read()).collect();
    assert_eq!(answers.iter().map(Message::status).collect::<Vec<_>>(), [200; 63]);
    let (last, before) = answers.split_last().expect("answers");
    assert_eq!(last.header("connection"), Some("close"));
    assert!(before.iter().all(|m| m.header("connection").is_none()), "a close was announced too early");
    assert_eq!(limiter.exit_code(), Some(0));
}

#[test]
fn an_answer_arrives_whole_though_more_was_sent_after_its_connection_was_to_close() {
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
    let mut client = limiter.client();
    socket2::SockRef::from(&client.stream).set_recv_buffer_size(2048).expect("a buffer");
    client.send("POST", "long", "X-Time-Left: 20\r\n", b"{}");
    eventually("the attempt", || server.count() == 1);
    begin_the_end(&limiter);
    gate.open();
    // The answer has begun, and tells that the connection closes.
    assert_eq!(client.stream.peek(&mut [0]).expect("an answer"), 1);
    client.stream.write_all(named("crossing").as_bytes()).expect("sent");
    let got = client.read().expect("a whole answer");
    assert_eq!((got.status(), got.body.len(), got.header("connection")), (200, 60_000, Some("close")));
    assert!(client.read().is_none());
    assert_eq!(limiter.exit_code(), Some(0));
    let seen = server.seen.lock().expect("a lock");
    assert!(!seen.iter().any(|m| m.start.contains("crossing")), "it was sent on, and could not be answered");
}
