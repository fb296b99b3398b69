//! Tests of attempts that fail, time out or lose their server while a connection is being opened, a request
//! is being written or a response is arriving.

#[allow(dead_code)] // each test program uses only some of the helpers
mod support;

use socket2::{Domain, SockRef, Socket, Type};
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::*;

/// Starts a server that reads the given number of bytes from each connection and then resets the connection.
/// Returns the server's address and the number of requests from which it has read that many bytes. The
/// receive buffer is small, so that the rest of a long request has not been written when the server resets.
fn start_resetting_server(bytes: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(2048).expect("a small receive buffer");
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a port");
    socket.listen(16).expect("a listener");
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().expect("an address");
    let requests = Arc::new(AtomicUsize::new(0));
    let request_count = requests.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut received = vec![0; bytes];
            if stream.read_exact(&mut received).is_ok() {
                request_count.fetch_add(1, Ordering::SeqCst);
            }
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("linger");
        }
    });
    (address, requests)
}

/// A server resets the connection while a long request is still being written. The server may have executed
/// the part that it has read, so a request that is not idempotent fails with 502 and is not retried on the
/// other server.
#[test]
fn a_non_idempotent_request_is_not_retried_after_a_reset_during_the_write() {
    for bytes in [1, 100, 3000] {
        let (address_a, requests_a) = start_resetting_server(bytes);
        let (address_b, requests_b) = start_resetting_server(bytes);
        let (setup, _discovery, _counter) = start_stubs(&[
            endpoint_entry("s-00000001", address_a, "Ready"),
            endpoint_entry("s-00000002", address_b, "Ready"),
        ]);
        let gateway = setup.start();
        let mut client = gateway.client();
        client.send("POST", "once", "X-Time-Left: 1.9\r\n", &vec![b'x'; 64 * 1024]);
        assert_eq!(client.read().map(|m| m.status()), Some(502), "response after a reset at {bytes} bytes");
        // A retry would have been sent before the response.
        assert_eq!(
            requests_a.load(Ordering::SeqCst) + requests_b.load(Ordering::SeqCst),
            1,
            "number of attempts after a reset at {bytes} bytes"
        );
    }
}

/// A server begins to drain or is removed while a connection to it is being opened. The connection opens only
/// when the kernel retransmits the SYN, and then the attempt may no longer begin: the gateway sends nothing
/// on the new connection and retries the request on another server.
#[test]
fn nothing_is_sent_on_a_connection_that_opens_after_its_server_began_to_drain() {
    for (phase, cancellation_allowed) in [("Terminating", true), ("Gone", true), ("Terminating", false)] {
        let (unreachable, ok) = (UnreachableServer::new(), Server::ok());
        let (mut setup, discovery, _counter) =
            start_stubs(&[endpoint_entry("s-00000001", unreachable.address, "Ready")]);
        (setup.connect_timeout, setup.cancellation_allowed) = (60_000.0, cancellation_allowed);
        let gateway = setup.start();
        eventually("the gateway watches the endpoint list", || discovery.watch_count() == 1);
        let mut client = gateway.client();
        client.send("POST", "long", "X-Time-Left: 29\r\n", b"{}");
        // The gateway accepts connections in order. After this response it has received the request above and
        // is opening a connection for it.
        assert_eq!(gateway.client().get("/healthz", "").status(), 200);
        let drained = endpoint_entry("s-00000001", unreachable.address, phase);
        let ready = endpoint_entry("s-00000002", ok.address, "Ready");
        discovery.write(&(endpoint_list(2, false, &[drained, ready]) + "\n"));
        eventually("the gateway applies the new endpoint list", || {
            gateway.client().get_idempotent().status() == 200
        });
        let (bytes_received, closed) = unreachable.accept_and_count();
        // The connection opens when the kernel retransmits the SYN, after 1, 3 or 7 s.
        eventually("the gateway closes the connection after it has opened", || {
            closed.load(Ordering::SeqCst) > 0
        });
        assert_eq!(client.read().map(|m| m.status()), Some(200), "{phase}: the request was not retried");
        assert_eq!(bytes_received.load(Ordering::SeqCst), 0, "{phase}: bytes sent to the server");
    }
}

/// Regression test: the connection for a further attempt opens only after the servers have forgotten the
/// request's idempotency key. If the request were sent on it, it would be executed a second time.
#[test]
fn nothing_is_sent_on_a_connection_that_opens_after_the_repeat_window() {
    const REPEAT_WINDOW: Duration = Duration::from_secs(3);
    let gate = Gate::default();
    let server_gate = gate.clone();
    let first = Server::start(move |_| {
        server_gate.wait();
        StubResponse::Close(Vec::new())
    });
    let (unreachable, ok) = (UnreachableServer::new(), Server::ok());
    let (mut setup, discovery, _counter) =
        start_stubs(&[endpoint_entry("s-00000001", first.address, "Ready")]);
    setup.connect_timeout = 60_000.0;
    let mut config: serde_json::Value = serde_json::from_str(&setup.config()).expect("a configuration");
    for (key, milliseconds) in [("repeat_window", 3000), ("goal_time", 20_000), ("deadline", 30_000)] {
        config["settings"]["classes"][1][key] = milliseconds.into();
    }
    setup.settings = Some(config["settings"].clone());
    let gateway = setup.start();
    eventually("the gateway watches the endpoint list", || discovery.watch_count() == 1);
    let mut client = gateway.client();
    client.send("POST", "book", "X-Time-Left: 25\r\nIdempotency-Key: 5c0f6e\r\n", b"{}");
    let sent_at = Instant::now();
    eventually("the first server gets the request", || first.request_count() == 1);
    let draining = endpoint_entry("s-00000001", first.address, "Terminating");
    let ready = endpoint_entry("s-00000002", ok.address, "Ready");
    discovery.write(&(endpoint_list(2, false, &[draining, ready]) + "\n"));
    eventually("the gateway uses the second server", || gateway.client().get_idempotent().status() == 200);
    let gone = endpoint_entry("s-00000002", ok.address, "Gone");
    let late = endpoint_entry("s-00000003", unreachable.address, "Ready");
    discovery.write(&(endpoint_list(3, false, &[gone, late]) + "\n"));
    ok.idle_before_close.recv_timeout(WAIT_TIMEOUT).expect("the second server is still used");
    // The first attempt ends without a response, and the gateway opens a connection to the third server.
    gate.open();
    std::thread::sleep((REPEAT_WINDOW + Duration::from_millis(100)).saturating_sub(sent_at.elapsed()));
    let (bytes_received, closed) = unreachable.accept_and_count();
    eventually("the gateway closes the connection after it has opened", || closed.load(Ordering::SeqCst) > 0);
    let status = client.read().map(|m| m.status());
    assert_eq!(bytes_received.load(Ordering::SeqCst), 0, "bytes sent after the window; status {status:?}");
    assert!(matches!(status, Some(429 | 502)), "unexpected status {status:?}");
}

/// Connections to a server do not open within the connect timeout. The attempts on that server fail without
/// having been executed and are retried on another server. Nothing may be sent on connections that open
/// later.
#[test]
fn nothing_is_sent_on_a_connection_that_opens_after_the_connect_timeout() {
    let (unreachable, ok) = (UnreachableServer::new(), Server::ok());
    let (setup, _discovery, _counter) = start_stubs(&[
        endpoint_entry("s-00000001", unreachable.address, "Ready"),
        endpoint_entry("s-00000002", ok.address, "Ready"),
    ]);
    let gateway = setup.start();
    let mut clients: Vec<Client> = (0..6).map(|_| gateway.client()).collect();
    clients.iter_mut().for_each(|c| c.send("POST", "once", "X-Time-Left: 1.9\r\n", b"{}"));
    for client in &mut clients {
        assert_eq!(client.read().map(|m| m.status()), Some(200), "the request was not retried");
    }
    let (bytes_received, _closed) = unreachable.accept_and_count();
    assert_eq!(gateway.client().get_idempotent().status(), 200);
    assert_eq!(
        (bytes_received.load(Ordering::SeqCst), ok.request_count()),
        (0, 7),
        "bytes sent to the unreachable server, requests sent to the other server"
    );
}

/// Server responses arrive shortly before or after the client's timeout. The client must receive exactly one
/// response and no further bytes on its connection, and no request may be sent twice.
#[test]
fn a_client_receives_one_response_if_the_server_responds_around_the_timeout() {
    // The delays are between 250 and 308 ms, around the end of the client's timeout of 0.3 s.
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
            assert!(matches!(status, 200 | 429 | 502 | 504), "unexpected status {status}");
            // The next bytes on the connection must be the response to the next request.
            let health = client.get("/healthz", "");
            assert_eq!((health.status(), health.body.as_slice()), (200, &b"ok\n"[..]));
        }
    }
    let seen = server.requests.lock().expect("a lock");
    let mut ids: Vec<&str> = seen.iter().filter_map(|m| m.header("x-correlation-id")).collect();
    let id_count = ids.len();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), id_count, "a request that is not idempotent was sent twice");
}

/// The gateway sends a hedged request for a slow request, and the server responds to both attempts at the
/// same time. The client must receive one response, and no part of the other response may be returned for the
/// next request on the client's connection.
#[test]
fn a_client_receives_one_response_if_both_attempts_of_a_hedged_request_are_answered_together() {
    // The server delays its response to the first attempt until it receives the second attempt.
    let gate = Gate::default();
    let (server_gate, attempts) = (gate.clone(), AtomicUsize::new(0));
    let server = Server::start(move |m| {
        if m.start_line.contains("&name=slow") {
            match attempts.fetch_add(1, Ordering::SeqCst) {
                0 => server_gate.wait(),
                _ => server_gate.open(),
            }
        }
        StubResponse::Write(response_bytes("200 OK", "", m.start_line.as_bytes()))
    });
    let (setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
    let gateway = setup.start();
    let mut client = gateway.client();
    // Makes the mean response time short. A hedged request is sent after a multiple of the mean response
    // time.
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
    // On a busy machine, the mean response time may be so long that the request times out before the hedged
    // request is due. Then there is only one attempt.
    let status = response.status();
    assert!(status == 200 && attempts == 2 || attempts == 1, "status {status} after {attempts} attempts");
    gate.open();
    // The connection must hold no bytes of the other response: each response belongs to its own request.
    for _ in 0..5 {
        let next = client.get_idempotent();
        assert_eq!(next.status(), 200);
        assert!(!next.body.windows(9).any(|w| w == b"name=slow"), "received the response to another request");
    }
}

/// Opening a connection takes long. If the attempt sent the time that was left before the connection was
/// opened, the server would continue to work on the request after the client has timed out. The attempt must
/// therefore send the time that is left once the connection is open.
#[test]
fn an_attempt_sends_the_time_left_after_its_connection_has_opened() {
    let unreachable = UnreachableServer::new();
    let (mut setup, _discovery, _counter) =
        start_stubs(&[endpoint_entry("s-00000001", unreachable.address, "Ready")]);
    setup.connect_timeout = 60_000.0;
    let gateway = setup.start();
    let mut client = gateway.client();
    client.send("POST", "long", "X-Time-Left: 15\r\n", b"{}");
    // The gateway accepts connections in order. After this response it has received the request above and is
    // opening a connection for it.
    assert_eq!(gateway.client().get("/healthz", "").status(), 200);
    let received_at = Instant::now();
    std::thread::sleep(Duration::from_millis(300));
    // The connection opens only after this point, even on a busy machine.
    let elapsed = received_at.elapsed().as_secs_f64();
    let message = unreachable.first_message();
    let time_left: f64 = message.header("x-time-left").and_then(|l| l.parse().ok()).expect("a time");
    assert!(time_left <= 15.0 - elapsed, "the server was sent {time_left} s left after {elapsed} s");
}
