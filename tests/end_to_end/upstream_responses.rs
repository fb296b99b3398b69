//! What servers respond, and the connections that they respond on.

use crate::support::*;
use crate::{concurrent_statuses, gateway_setup, ok_response, start_gateway, REQUEST_HEAD};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// A server closes its connection after it has read a request completely, without a response. The request
/// may have been executed, so one that is not idempotent fails with 502 and is not retried; an idempotent
/// one is.
#[test]
fn a_reset_after_the_last_byte_is_retried_only_for_idempotent_requests() {
    let (failing, healthy) = (Server::start(|_| StubResponse::Close(Vec::new())), Server::ok());
    let (gateway, _discovery, _counter) = start_gateway(&[&failing, &healthy]);
    let statuses = concurrent_statuses(&gateway, 12);
    let failed = statuses.iter().filter(|s| **s == 502).count();
    assert!(statuses.iter().all(|s| matches!(s, 200 | 502)), "neither served nor failed: {statuses:?}");
    assert!(failing.count() > 0, "the failing server got no request");
    assert_eq!((failing.count(), healthy.count()), (failed, 12 - failed), "one attempt each");
    let mut client = gateway.client();
    for _ in 0..6 {
        assert_eq!(client.get_idempotent().status(), 200);
    }
}

/// One server rejects each request unprocessed, another refuses connections. Neither has executed anything,
/// so even requests that are not idempotent are retried elsewhere and all succeed.
#[test]
fn a_request_that_was_rejected_unprocessed_or_found_no_connection_is_retried() {
    let overloaded = Server::start(|_| StubResponse::Write(answer("503 Busy", "X-Unprocessed: 1\r\n", b"")));
    let unreachable = Server::ok();
    let healthy = Server::ok();
    // Bound but not listening: connections are refused, and no other test can get the port.
    let refusing =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    refusing
        .bind(&"127.0.0.1:0".parse::<std::net::SocketAddr>().expect("an address").into())
        .expect("a port");
    let address = refusing.local_addr().ok().and_then(|a| a.as_socket()).expect("an address");
    let unreachable = Server { address, ..unreachable };
    let (gateway, _discovery, _counter) = start_gateway(&[&overloaded, &unreachable, &healthy]);
    assert_eq!(concurrent_statuses(&gateway, 8), [200; 8]);
    assert_eq!(healthy.count(), 8);
    assert!(overloaded.count() > 0, "the overloaded server got no request");
}

/// A server responds with an error, or its response breaks off or is invalid. The request may have been
/// executed, so one that is not idempotent fails with 502 after one attempt.
#[test]
fn a_plain_503_or_a_truncated_response_is_not_retried() {
    let truncated = b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nonly this".to_vec();
    for bytes in
        [answer("503 Busy", "", b""), answer("500 Error", "", b"x"), truncated, b"nonsense\r\n\r\n".to_vec()]
    {
        let server = Server::start(move |_| StubResponse::Close(bytes.clone()));
        let (gateway, _discovery, _counter) = start_gateway(&[&server]);
        assert_eq!(gateway.client().post_non_idempotent("1.9").status(), 502);
        assert_eq!(server.count(), 1);
    }
}

/// A server reads a request and never responds. The client gets its answer within the time that it said it
/// waits, and the attempt's connection is closed.
#[test]
fn a_silent_server_costs_the_client_no_more_than_its_timeout() {
    let server = Server::start(|_| StubResponse::Silence);
    let (gateway, _discovery, _counter) = start_gateway(&[&server]);
    let mut client = gateway.client();
    let start = Instant::now();
    let status = client.post_non_idempotent("0.4").status();
    let elapsed = start.elapsed();
    assert!(matches!(status, 502 | 504), "{status} though it may have been executed");
    assert!(elapsed < Duration::from_millis(400), "answered after {elapsed:?}");
    assert!(server.closed.recv_timeout(WAIT_TIMEOUT).is_ok(), "the attempt's connection was left open");
}

#[test]
fn idle_connections_are_reused_and_closed_before_the_server_closes_them() {
    let server = Server::ok();
    let (mut setup, _discovery, _counter) = gateway_setup(&[&server]);
    setup.conn_idle = 3000.0;
    let gateway = setup.start();
    let mut client = gateway.client();
    for _ in 0..5 {
        assert_eq!(client.get_idempotent().status(), 200);
        // Longer than the reuse delay of a connection.
        std::thread::sleep(Duration::from_millis(60));
    }
    assert_eq!(server.connections.load(Ordering::SeqCst), 1, "consecutive requests share a connection");
    let idle = server.closed.recv_timeout(WAIT_TIMEOUT).expect("a closed connection");
    assert!(idle < Duration::from_millis(2800), "idle for {idle:?}");
    assert_eq!(client.get_idempotent().status(), 200);
}

/// A server closes its connection right after a good response. Were the next request sent on it, it would
/// be lost with an unknown outcome and, not being idempotent, fail.
#[test]
fn a_connection_that_the_server_closed_is_not_reused() {
    let server = Server::start(|m| StubResponse::Close(ok_response(m.start.as_bytes())));
    let (gateway, _discovery, _counter) = start_gateway(&[&server]);
    let mut client = gateway.client();
    for _ in 0..20 {
        assert_eq!(client.post_non_idempotent("1.9").status(), 200);
        // The close is in the gateway's socket now, whether or not its runtime has noticed.
        server.closed.recv_timeout(WAIT_TIMEOUT).expect("a close");
    }
}

/// A server sends each response twice: in the same write, or up to 50 ms later. The next request on that
/// connection would be given the duplicate, so connections with bytes on them are not reused.
#[test]
fn a_duplicate_response_is_never_given_to_another_request() {
    // In the same write, right behind it, and later.
    for wait in [0, 1, 5, 50] {
        let server = Server::start(move |m| {
            let body = m.header("x-correlation-id").expect("an id").as_bytes().to_vec();
            StubResponse::Twice(ok_response(&body), Duration::from_millis(wait), ok_response(&body))
        });
        let (gateway, _discovery, _counter) = start_gateway(&[&server]);
        let mut client = gateway.client();
        for n in 0..10 {
            let id = format!("{wait:08x}{n:08x}");
            let request = REQUEST_HEAD.replace("a1", &id) + "\r\n";
            let response = client.raw(request.as_bytes()).expect("a response");
            assert_eq!(
                (response.status(), String::from_utf8_lossy(&response.body)),
                (200, id.as_str().into())
            );
            // The duplicate has been written.
            server.wrote.recv_timeout(WAIT_TIMEOUT).expect("a duplicate");
        }
        assert!(server.connections.load(Ordering::SeqCst) >= 10, "a connection with bytes on it was kept");
    }
}

/// A server sends noise, contradictory or missing lengths, or more than is allowed. The attempt must fail
/// at once instead of waiting for the rest, and the connection must not serve again. Interim responses and
/// unknown headers are valid and do no harm.
#[test]
fn an_invalid_response_fails_at_once_and_closes_its_connection() {
    let long = format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(40_000));
    let stream =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", "8\r\nabcdefgh\r\n".repeat(9000));
    for invalid in [
        "\u{1}\u{2}noise noise\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 7\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nab",
        "HTTP/1.1 200 OK\r\n\r\nto the end",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        &long,
        &stream,
    ] {
        let bytes = invalid.as_bytes().to_vec();
        let server = Server::start(move |_| StubResponse::Write(bytes.clone()));
        let (gateway, _discovery, _counter) = start_gateway(&[&server]);
        let start = Instant::now();
        let status = gateway.client().post_non_idempotent("1.9").status();
        let head: String = invalid.chars().take(60).collect();
        assert_eq!((status, server.count()), (502, 1), "{head:?}");
        assert!(start.elapsed() < Duration::from_millis(1000), "{head:?} after {:?}", start.elapsed());
        assert!(server.closed.recv_timeout(WAIT_TIMEOUT).is_ok(), "{head:?}: its connection was kept");
    }
    for good in ["HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"] {
        let bytes = [
            good.as_bytes(),
            &answer("200 OK", "X-Backend-Load: \u{1}=-7,,\r\n".replace('\u{1}', "q").as_str(), b"good"),
        ]
        .concat();
        let server = Server::start(move |_| StubResponse::Write(bytes.clone()));
        let (gateway, _discovery, _counter) = start_gateway(&[&server]);
        assert_eq!(gateway.client().post_non_idempotent("1.9").body, b"good", "{good:?}");
    }
}

/// The only server spoils three responses in a row and is ejected. As it can be reached and there is no
/// other, it must still be used.
#[test]
fn invalid_responses_do_not_put_the_only_server_out_of_use() {
    let server = Server::start(|m| match m.start.starts_with("POST") {
        true => StubResponse::Write(b"noise\r\n\r\n".to_vec()),
        false => StubResponse::Write(ok_response(b"")),
    });
    let (gateway, _discovery, _counter) = start_gateway(&[&server]);
    let mut client = gateway.client();
    for _ in 0..3 {
        assert_eq!(client.post_non_idempotent("1.9").status(), 502);
    }
    assert_eq!(client.get_idempotent().status(), 200);
}
