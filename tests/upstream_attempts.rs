//! Attempts at servers at the moments when it matters what has gone out and what has come back.

#[allow(dead_code)] // each file of tests uses its own part
mod support;

use socket2::{Domain, SockRef, Socket, Type};
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::*;

/// A server that takes so many bytes of whatever comes, and resets the connection. Its buffers are small, so
/// that the rest of a long request has not been written by then.
fn resets_after(bytes: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(2048).expect("a buffer");
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a port");
    socket.listen(16).expect("a listener");
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().expect("an address");
    let begun = Arc::new(AtomicUsize::new(0));
    let there = begun.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut taken = vec![0; bytes];
            if stream.read_exact(&mut taken).is_ok() {
                there.fetch_add(1, Ordering::SeqCst);
            }
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("linger");
        }
    });
    (address, begun)
}

#[test]
fn a_reset_while_a_request_is_being_written_is_not_repeated_where_it_may_not_run_twice() {
    for taken in [1, 100, 3000] {
        let ((a, at_a), (b, at_b)) = (resets_after(taken), resets_after(taken));
        let (setup, _discovery, _counter) =
            around(&[member("s-00000001", a, "Ready"), member("s-00000002", b, "Ready")]);
        let limiter = setup.start();
        let mut client = limiter.client();
        client.send("POST", "once", "X-Time-Left: 1.9\r\n", &vec![b'x'; 64 * 1024]);
        assert_eq!(client.read().map(|m| m.status()), Some(502), "after {taken} bytes");
        // A limiter that had sent it again would have told of the second by now.
        assert_eq!(at_a.load(Ordering::SeqCst) + at_b.load(Ordering::SeqCst), 1, "after {taken} bytes");
    }
}

#[test]
fn nothing_goes_out_on_a_connection_that_was_coming_up_when_its_server_was_told_to_drain() {
    for (phase, cancellation_allowed) in [("Terminating", true), ("Gone", true), ("Terminating", false)] {
        let (late, ok) = (Unreachable::new(), Server::ok());
        let (mut setup, discovery, _counter) = around(&[member("s-00000001", late.address, "Ready")]);
        (setup.connect_timeout, setup.cancellation_allowed) = (60_000.0, cancellation_allowed);
        let limiter = setup.start();
        eventually("a watch", || discovery.watching() == 1);
        let mut client = limiter.client();
        client.send("POST", "long", "X-Time-Left: 29\r\n", b"{}");
        // Answered in order, so the request has been taken in and its connection is on its way.
        assert_eq!(limiter.client().get("/healthz", "").status(), 200);
        let drained = member("s-00000001", late.address, phase);
        discovery.write(&(list(2, false, &[drained, member("s-00000002", ok.address, "Ready")]) + "\n"));
        eventually("the list is taken in", || limiter.client().look().status() == 200);
        let (heard, gone) = late.open();
        // It comes up when the kernel tries again, after 1, 3 or 7 s.
        eventually("the connection comes and goes", || gone.load(Ordering::SeqCst) > 0);
        assert_eq!(client.read().map(|m| m.status()), Some(200), "{phase}: it never ran and goes elsewhere");
        assert_eq!(heard.load(Ordering::SeqCst), 0, "{phase}");
    }
}

#[test]
fn a_connection_that_comes_up_late_has_failed_and_nothing_goes_out_on_it() {
    let (late, ok) = (Unreachable::new(), Server::ok());
    let (setup, _discovery, _counter) =
        around(&[member("s-00000001", late.address, "Ready"), member("s-00000002", ok.address, "Ready")]);
    let limiter = setup.start();
    let mut clients: Vec<Client> = (0..6).map(|_| limiter.client()).collect();
    clients.iter_mut().for_each(|c| c.send("POST", "once", "X-Time-Left: 1.9\r\n", b"{}"));
    for client in &mut clients {
        assert_eq!(client.read().map(|m| m.status()), Some(200));
    }
    let (heard, _gone) = late.open();
    assert_eq!(limiter.client().look().status(), 200);
    assert_eq!((heard.load(Ordering::SeqCst), ok.count()), (0, 7));
}

#[test]
fn an_answer_that_races_the_time_out_brings_one_answer_and_leaves_nothing_behind() {
    // Answers spread over the end of a wait of 0.3 s, so that some come just before it and some just after.
    let turn = AtomicUsize::new(0);
    let server = Server::start(move |m| {
        let wait = 250 + 2 * (turn.fetch_add(1, Ordering::SeqCst) as u64 % 30);
        Act::Late(Duration::from_millis(wait), answer("200 OK", "", m.start.as_bytes()))
    });
    let (setup, _discovery, _counter) = around(&often(&server));
    let limiter = setup.start();
    for class in ["once", "long"] {
        let mut clients: Vec<Client> = (0..30).map(|_| limiter.client()).collect();
        clients.iter_mut().for_each(|c| c.send("POST", class, "X-Time-Left: 0.3\r\n", b"{}"));
        for client in &mut clients {
            let got = client.read().expect("an answer");
            assert!(matches!(got.status(), 200 | 429 | 502 | 504), "{}", got.status());
            // The next thing on the connection is the answer to the next request.
            let health = client.get("/healthz", "");
            assert_eq!((health.status(), health.body.as_slice()), (200, &b"ok\n"[..]));
        }
    }
    let seen = server.seen.lock().expect("a lock");
    let mut ids: Vec<&str> = seen.iter().filter_map(|m| m.header("x-correlation-id")).collect();
    let all = ids.len();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), all, "one that may run once only was sent twice");
}

#[test]
fn two_copies_that_answer_at_once_bring_one_answer() {
    // The first copy of a slow request is held until the second has come; then both are answered.
    let gate = Gate::default();
    let (there, copies) = (gate.clone(), AtomicUsize::new(0));
    let server = Server::start(move |m| {
        if m.start.contains("&name=slow") {
            match copies.fetch_add(1, Ordering::SeqCst) {
                0 => there.wait(),
                _ => there.open(),
            }
        }
        Act::Write(answer("200 OK", "", m.start.as_bytes()))
    });
    let (setup, _discovery, _counter) = around(&often(&server));
    let limiter = setup.start();
    let mut client = limiter.client();
    // A second copy goes out after several mean answer times, which are short by now.
    for _ in 0..150 {
        assert_eq!(client.look().status(), 200);
    }
    let slow = "GET /look?customer=00000000b4d65521&name=slow HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: slow\r\n\
         X-Service-Class: look\r\nX-Plan: team\r\nX-Time-Left: 2.0\r\nX-Quota: units=1,spread=2,first=0\r\n\r\n";
    let got = client.raw(slow.as_bytes()).expect("an answer");
    let seen = server.seen.lock().expect("a lock").iter().filter(|m| m.start.contains("&name=slow")).count();
    // On a machine so busy that answers took long, no second copy was due, and the wait ended first.
    assert!(got.status() == 200 && seen == 2 || seen == 1, "{} after {seen} copies", got.status());
    gate.open();
    // Nothing is left on the connection, and the next answer is that of the next request.
    for _ in 0..5 {
        let next = client.look();
        assert_eq!(next.status(), 200);
        assert!(!next.body.windows(9).any(|w| w == b"name=slow"), "another request's answer");
    }
}

#[test]
fn an_attempt_tells_the_time_that_is_left_when_its_connection_has_come_up() {
    let late = Unreachable::new();
    let (mut setup, _discovery, _counter) = around(&[member("s-00000001", late.address, "Ready")]);
    setup.connect_timeout = 60_000.0;
    let limiter = setup.start();
    let mut client = limiter.client();
    client.send("POST", "long", "X-Time-Left: 15\r\n", b"{}");
    // Answered in order, so the request has been taken in and its connection is on its way.
    assert_eq!(limiter.client().get("/healthz", "").status(), 200);
    let taken = Instant::now();
    std::thread::sleep(Duration::from_millis(300));
    // It comes up after this, however busy the machine.
    let passed = taken.elapsed().as_secs_f64();
    let message = late.first_message();
    let told: f64 = message.header("x-time-left").and_then(|l| l.parse().ok()).expect("a time");
    assert!(told <= 15.0 - passed, "{told} s after {passed} s");
}
