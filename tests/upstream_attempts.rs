//! Attempts at the moments when it matters what has been written to a server and what has come back.

#[allow(dead_code)] // each test program uses its own part
mod support;

use socket2::{Domain, SockRef, Socket, Type};
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::*;

/// A server that reads so many bytes and then resets the connection, and the number of requests that it has
/// begun to read. Its buffers are small, so the rest of a long request has not been written by then.
fn start_resetting_server(bytes: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(2048).expect("a buffer");
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a port");
    socket.listen(16).expect("a listener");
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().expect("an address");
    let requests = Arc::new(AtomicUsize::new(0));
    let counted = requests.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut received = vec![0; bytes];
            if stream.read_exact(&mut received).is_ok() {
                counted.fetch_add(1, Ordering::SeqCst);
            }
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("linger");
        }
    });
    (address, requests)
}

/// A server resets the connection while a long request is still being written to it. It may have executed
/// what it has read, so a request that is not idempotent fails with 502 and is not sent to the other server.
#[test]
fn a_reset_while_a_request_is_written_is_not_retried_unless_it_is_idempotent() {
    for bytes in [1, 100, 3000] {
        let (a, at_a) = start_resetting_server(bytes);
        let (b, at_b) = start_resetting_server(bytes);
        let (setup, _discovery, _counter) = start_stubs(&[
            endpoint_entry("s-00000001", a, "Ready"),
            endpoint_entry("s-00000002", b, "Ready"),
        ]);
        let gateway = setup.start();
        let mut client = gateway.client();
        client.send("POST", "once", "X-Time-Left: 1.9\r\n", &vec![b'x'; 64 * 1024]);
        assert_eq!(client.read().map(|m| m.status()), Some(502), "after {bytes} bytes");
        // The gateway would have retried before it responded.
        assert_eq!(at_a.load(Ordering::SeqCst) + at_b.load(Ordering::SeqCst), 1, "after {bytes} bytes");
    }
}

/// A server is drained or removed while a connection to it is being opened, which takes until the kernel
/// retransmits. The attempt may not begin by then: nothing is sent on the new connection, and the request
/// goes to another server.
#[test]
fn nothing_is_sent_on_a_connection_that_comes_up_after_its_server_began_to_drain() {
    for (phase, cancellation_allowed) in [("Terminating", true), ("Gone", true), ("Terminating", false)] {
        let (unreachable, ok) = (UnreachableServer::new(), Server::ok());
        let (mut setup, discovery, _counter) =
            start_stubs(&[endpoint_entry("s-00000001", unreachable.address, "Ready")]);
        (setup.connect_timeout, setup.cancellation_allowed) = (60_000.0, cancellation_allowed);
        let gateway = setup.start();
        eventually("a watch", || discovery.watch_count() == 1);
        let mut client = gateway.client();
        client.send("POST", "long", "X-Time-Left: 29\r\n", b"{}");
        // Accepted in order, so the request has been received and its connection is being opened.
        assert_eq!(gateway.client().get("/healthz", "").status(), 200);
        let drained = endpoint_entry("s-00000001", unreachable.address, phase);
        let ready = endpoint_entry("s-00000002", ok.address, "Ready");
        discovery.write(&(endpoint_list(2, false, &[drained, ready]) + "\n"));
        eventually("the list is applied", || gateway.client().get_idempotent().status() == 200);
        let (bytes_received, closed) = unreachable.accept_and_count();
        // It comes up when the kernel retransmits, after 1, 3 or 7 s.
        eventually("the connection is up and closed again", || closed.load(Ordering::SeqCst) > 0);
        assert_eq!(client.read().map(|m| m.status()), Some(200), "{phase}: not executed, so retried");
        assert_eq!(bytes_received.load(Ordering::SeqCst), 0, "{phase}");
    }
}

/// A server accepts no connections within the connect timeout. The attempts at it have failed without being
/// executed and are retried elsewhere; nothing may be sent on connections that come up later.
#[test]
fn nothing_is_sent_on_a_connection_that_comes_up_after_the_connect_timeout() {
    let (unreachable, ok) = (UnreachableServer::new(), Server::ok());
    let (setup, _discovery, _counter) = start_stubs(&[
        endpoint_entry("s-00000001", unreachable.address, "Ready"),
        endpoint_entry("s-00000002", ok.address, "Ready"),
    ]);
    let gateway = setup.start();
    let mut clients: Vec<Client> = (0..6).map(|_| gateway.client()).collect();
    clients.iter_mut().for_each(|c| c.send("POST", "once", "X-Time-Left: 1.9\r\n", b"{}"));
    for client in &mut clients {
        assert_eq!(client.read().map(|m| m.status()), Some(200));
    }
    let (bytes_received, _closed) = unreachable.accept_and_count();
    assert_eq!(gateway.client().get_idempotent().status(), 200);
    assert_eq!((bytes_received.load(Ordering::SeqCst), ok.count()), (0, 7));
}

/// Responses arrive just before or just after the client's timeout. The client must get exactly one answer,
/// its connection must carry nothing else afterwards, and no request may be sent twice.
#[test]
fn a_response_that_races_the_timeout_is_answered_once_and_leaves_nothing_behind() {
    // Spread over the end of a timeout of 0.3 s.
    let requests = AtomicUsize::new(0);
    let server = Server::start(move |m| {
        let delay = 250 + 2 * (requests.fetch_add(1, Ordering::SeqCst) as u64 % 30);
        StubResponse::Delayed(
            Duration::from_millis(delay),
            response_bytes("200 OK", "", m.start_line.as_bytes()),
        )
    });
    let (setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
    let gateway = setup.start();
    for class in ["once", "long"] {
        let mut clients: Vec<Client> = (0..30).map(|_| gateway.client()).collect();
        clients.iter_mut().for_each(|c| c.send("POST", class, "X-Time-Left: 0.3\r\n", b"{}"));
        for client in &mut clients {
            let status = client.read().expect("a response").status();
            assert!(matches!(status, 200 | 429 | 502 | 504), "{status}");
            // The next thing on the connection is the response to the next request.
            let health = client.get("/healthz", "");
            assert_eq!((health.status(), health.body.as_slice()), (200, &b"ok\n"[..]));
        }
    }
    let seen = server.requests.lock().expect("a lock");
    let mut ids: Vec<&str> = seen.iter().filter_map(|m| m.header("x-correlation-id")).collect();
    let sent = ids.len();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), sent, "a request that is not idempotent was sent twice");
}

/// A slow request is hedged, and both attempts are answered at the same time. The client must get one
/// response, and nothing of the other may reach the next request on its connection.
#[test]
fn a_hedged_request_whose_attempts_are_answered_together_brings_one_response() {
    // The first attempt is held until the second has come.
    let gate = Gate::default();
    let (held, attempts) = (gate.clone(), AtomicUsize::new(0));
    let server = Server::start(move |m| {
        if m.start_line.contains("&name=slow") {
            match attempts.fetch_add(1, Ordering::SeqCst) {
                0 => held.wait(),
                _ => held.open(),
            }
        }
        StubResponse::Write(response_bytes("200 OK", "", m.start_line.as_bytes()))
    });
    let (setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
    let gateway = setup.start();
    let mut client = gateway.client();
    // Makes the mean latency short; a hedged attempt follows after a multiple of it.
    for _ in 0..150 {
        assert_eq!(client.get_idempotent().status(), 200);
    }
    let slow = "GET /look?customer=00000000b4d65521&name=slow HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: slow\r\n\
         X-Service-Class: look\r\nX-Plan: team\r\nX-Time-Left: 2.0\r\nX-Quota: units=1,spread=2,first=0\r\n\r\n";
    let response = client.exchange_bytes(slow.as_bytes()).expect("a response");
    let attempts = server
        .requests
        .lock()
        .expect("a lock")
        .iter()
        .filter(|m| m.start_line.contains("&name=slow"))
        .count();
    // Where a busy machine has made the mean latency long, the timeout came before a second attempt was due.
    let status = response.status();
    assert!(status == 200 && attempts == 2 || attempts == 1, "{status} after {attempts} attempts");
    gate.open();
    // Nothing is left on the connection: the next response is that of the next request.
    for _ in 0..5 {
        let next = client.get_idempotent();
        assert_eq!(next.status(), 200);
        assert!(!next.body.windows(9).any(|w| w == b"name=slow"), "another request's response");
    }
}

/// A connection takes long to come up. A server that is told the time left from before that would work on for
/// a client that has given up, so the attempt states what is left once the connection is up.
#[test]
fn an_attempt_states_the_time_left_once_its_connection_is_up() {
    let unreachable = UnreachableServer::new();
    let (mut setup, _discovery, _counter) =
        start_stubs(&[endpoint_entry("s-00000001", unreachable.address, "Ready")]);
    setup.connect_timeout = 60_000.0;
    let gateway = setup.start();
    let mut client = gateway.client();
    client.send("POST", "long", "X-Time-Left: 15\r\n", b"{}");
    // Accepted in order, so the request has been received and its connection is being opened.
    assert_eq!(gateway.client().get("/healthz", "").status(), 200);
    let received = Instant::now();
    std::thread::sleep(Duration::from_millis(300));
    // The connection comes up after this, however busy the machine.
    let passed = received.elapsed().as_secs_f64();
    let message = unreachable.first_message();
    let time_left: f64 = message.header("x-time-left").and_then(|l| l.parse().ok()).expect("a time");
    assert!(time_left <= 15.0 - passed, "{time_left} s after {passed} s");
}
