//! Valid and invalid responses of servers, and the reuse of connections to servers.

use crate::support::*;
use crate::{concurrent_statuses, gateway_setup, ok_response, start_gateway, REQUEST_HEAD};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// A server reads a request completely and closes the connection without a response. The request may have
/// been executed, so a non-idempotent request must fail with 502 without a retry; an idempotent request must
/// be retried.
#[test]
fn only_idempotent_requests_are_retried_after_a_close_without_a_response() {
    let (failing, healthy) = (Server::start(|_| StubResponse::Close(Vec::new())), Server::ok());
    let (gateway, _discovery, _counter) = start_gateway(&[&failing, &healthy]);
    let statuses = concurrent_statuses(&gateway, 12);
    let failed = statuses.iter().filter(|s| **s == 502).count();
    assert!(
        statuses.iter().all(|s| matches!(s, 200 | 502)),
        "a request was neither served nor failed: {statuses:?}"
    );
    assert!(failing.request_count() > 0, "the failing server got no request");
    assert_eq!(
        (failing.request_count(), healthy.request_count()),
        (failed, 12 - failed),
        "a request did not get exactly one attempt"
    );
    let mut client = gateway.client();
    for _ in 0..6 {
        assert_eq!(client.get_idempotent().status(), 200);
    }
}

/// One server rejects each request unprocessed, another refuses connections. Neither has executed a request,
/// so even non-idempotent requests must be retried on another server, and all must succeed.
#[test]
fn a_request_is_retried_if_a_server_rejects_it_unprocessed_or_refuses_the_connection() {
    let overloaded =
        Server::start(|_| StubResponse::Write(response_bytes("503 Busy", "X-Unprocessed: 1\r\n", b"")));
    let unreachable = Server::ok();
    let healthy = Server::ok();
    // A socket that is bound but does not listen refuses connections, and no other test can get its port.
    let refusing = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("the socket could not be created");
    refusing
        .bind(&"127.0.0.1:0".parse::<std::net::SocketAddr>().expect("invalid address").into())
        .expect("bind failed");
    let address = refusing.local_addr().ok().and_then(|a| a.as_socket()).expect("the socket has no address");
    let unreachable = Server { address, ..unreachable };
    let (gateway, _discovery, _counter) = start_gateway(&[&overloaded, &unreachable, &healthy]);
    assert_eq!(concurrent_statuses(&gateway, 8), [200; 8]);
    assert_eq!(healthy.request_count(), 8, "the healthy server did not get each request once");
    assert!(overloaded.request_count() > 0, "the overloaded server got no request");
}

/// A server responds with an error, or its response is truncated or invalid. The request may have been
/// executed, so a non-idempotent request must fail with 502 after one attempt.
#[test]
fn an_error_or_a_truncated_response_to_a_non_idempotent_request_is_not_retried() {
    let truncated = b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nonly this".to_vec();
    for bytes in [
        response_bytes("503 Busy", "", b""),
        response_bytes("500 Error", "", b"x"),
        truncated,
        b"nonsense\r\n\r\n".to_vec(),
    ] {
        let server = Server::start(move |_| StubResponse::Close(bytes.clone()));
        let (gateway, _discovery, _counter) = start_gateway(&[&server]);
        assert_eq!(gateway.client().post_non_idempotent("1.9").status(), 502);
        assert_eq!(server.request_count(), 1, "the request was retried");
    }
}

/// A server reads a request and never responds. The client must get an answer within the time that its
/// X-Time-Left header gives, and the attempt's connection must be closed.
#[test]
fn a_request_to_a_server_that_never_responds_is_answered_within_its_time_left() {
    let server = Server::start(|_| StubResponse::NoResponse);
    let (gateway, _discovery, _counter) = start_gateway(&[&server]);
    let mut client = gateway.client();
    let start = Instant::now();
    let status = client.post_non_idempotent("0.4").status();
    let elapsed = start.elapsed();
    assert!(
        matches!(status, 502 | 504),
        "unexpected status {status} for a request that may have been executed"
    );
    assert!(elapsed < Duration::from_millis(400), "answered only after {elapsed:?}");
    assert!(
        server.idle_before_close.recv_timeout(WAIT_TIMEOUT).is_ok(),
        "the attempt's connection was left open"
    );
}

#[test]
fn idle_connections_are_reused_and_closed_before_the_server_closes_them() {
    let server = Server::ok();
    let (mut setup, _discovery, _counter) = gateway_setup(&[&server]);
    setup.idle_timeout = 3000.0;
    let gateway = setup.start();
    let mut client = gateway.client();
    for _ in 0..5 {
        assert_eq!(client.get_idempotent().status(), 200);
        // Longer than the delay after which an idle connection may be reused.
        std::thread::sleep(Duration::from_millis(60));
    }
    assert_eq!(
        server.connections.load(Ordering::SeqCst),
        1,
        "consecutive requests did not share one connection"
    );
    let idle = server.idle_before_close.recv_timeout(WAIT_TIMEOUT).expect("no connection was closed");
    assert!(idle < Duration::from_millis(2800), "the connection was only closed after {idle:?} of idle time");
    assert_eq!(client.get_idempotent().status(), 200);
}

/// A server closes its connection right after a valid response. If the gateway sent the next request on that
/// connection, the request would be lost with an unknown outcome and, being non-idempotent, would fail.
#[test]
fn a_connection_that_the_server_closed_is_not_reused() {
    let server = Server::start(|m| StubResponse::Close(ok_response(m.start_line.as_bytes())));
    let (gateway, _discovery, _counter) = start_gateway(&[&server]);
    let mut client = gateway.client();
    for _ in 0..20 {
        assert_eq!(client.post_non_idempotent("1.9").status(), 200);
        // The close has now reached the gateway's socket, whether or not its runtime has processed it.
        server.idle_before_close.recv_timeout(WAIT_TIMEOUT).expect("the server did not close its connection");
    }
}

/// A server sends each response twice: in the same write, or up to 50 ms later. The next request on that
/// connection would get the duplicate, so a connection with unread bytes must not be reused.
#[test]
fn a_duplicate_response_is_never_returned_for_another_request() {
    // The delay of the duplicate, ms: in the same write, right after the response, and later.
    for delay_ms in [0, 1, 5, 50] {
        let server = Server::start(move |m| {
            let body = m
                .header("x-correlation-id")
                .expect("the request has no X-Correlation-Id")
                .as_bytes()
                .to_vec();
            StubResponse::WriteTwice(ok_response(&body), Duration::from_millis(delay_ms), ok_response(&body))
        });
        let (gateway, _discovery, _counter) = start_gateway(&[&server]);
        let mut client = gateway.client();
        for n in 0..10 {
            let id = format!("{delay_ms:08x}{n:08x}");
            let request = REQUEST_HEAD.replace("a1", &id) + "\r\n";
            let response = client.exchange_bytes(request.as_bytes()).expect("no response");
            assert_eq!(
                (response.status(), String::from_utf8_lossy(&response.body)),
                (200, id.as_str().into())
            );
            // Waits until the server has written the duplicate.
            server.second_writes.recv_timeout(WAIT_TIMEOUT).expect("the server wrote no duplicate");
        }
        assert!(server.connections.load(Ordering::SeqCst) >= 10, "a connection with unread bytes was reused");
    }
}

/// A server sends invalid bytes, contradictory lengths, or more than is allowed. The attempt must
/// fail at once instead of waiting for more bytes, and its connection must not be reused. Interim responses
/// and unknown headers are valid and must be accepted.
#[test]
fn an_invalid_response_fails_at_once_and_closes_its_connection() {
    let long_header = format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(40_000));
    let large_chunked_body =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", "8\r\nabcdefgh\r\n".repeat(9000));
    let unlimited_body = format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(70_000));
    for invalid in [
        "\u{1}\u{2}noise noise\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 7\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nab",
        &unlimited_body,
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        &long_header,
        &large_chunked_body,
    ] {
        let bytes = invalid.as_bytes().to_vec();
        let server = Server::start(move |_| StubResponse::Write(bytes.clone()));
        let (gateway, _discovery, _counter) = start_gateway(&[&server]);
        let start = Instant::now();
        let status = gateway.client().post_non_idempotent("1.9").status();
        let head: String = invalid.chars().take(60).collect();
        assert_eq!((status, server.request_count()), (502, 1), "not failed after one attempt: {head:?}");
        assert!(
            start.elapsed() < Duration::from_millis(1000),
            "{head:?} failed only after {:?}",
            start.elapsed()
        );
        assert!(
            server.idle_before_close.recv_timeout(WAIT_TIMEOUT).is_ok(),
            "the connection stayed open after {head:?}"
        );
    }
    for interim in ["HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"] {
        let bytes = [
            interim.as_bytes(),
            &response_bytes(
                "200 OK",
                "X-Backend-Load: \u{1}=-7,,\r\n".replace('\u{1}', "q").as_str(),
                b"good",
            ),
        ]
        .concat();
        let server = Server::start(move |_| StubResponse::Write(bytes.clone()));
        let (gateway, _discovery, _counter) = start_gateway(&[&server]);
        assert_eq!(gateway.client().post_non_idempotent("1.9").body, b"good", "not served after {interim:?}");
    }
}

/// The only server sends three invalid responses in a row and is ejected. Since the server is reachable and
/// there is no other, the gateway must still use it.
#[test]
fn the_only_server_is_still_used_after_it_was_ejected() {
    let server = Server::start(|m| match m.start_line.starts_with("POST") {
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

/// Heads of responses that give no length, so that the end of the connection marks the end of the body.
const HEADS_WITHOUT_LENGTH: [&str; 4] = [
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.0 200 OK\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
];

/// Regression test for an incident: responses without a length were never forwarded, although the server had
/// sent them whole and closed the connection in order. Non-idempotent requests failed after they had run.
#[test]
fn a_response_without_a_length_is_forwarded_if_its_connection_is_closed_in_order() {
    for head in HEADS_WITHOUT_LENGTH {
        for body in ["", "all of it", &"x".repeat(60_000)] {
            let bytes = [head, body].concat().into_bytes();
            let server = Server::start(move |_| StubResponse::Close(bytes.clone()));
            let (gateway, _discovery, _counter) = start_gateway(&[&server]);
            let mut client = gateway.client();
            for _ in 0..3 {
                let response = client.post_non_idempotent("1.9");
                assert_eq!((response.status(), response.body.len()), (200, body.len()), "after {head:?}");
                assert_eq!(response.body, body.as_bytes(), "another body was forwarded after {head:?}");
            }
            assert_eq!(server.request_count(), 3, "a request did not get exactly one attempt");
        }
    }
}

/// The head of a response gives no length, and the server resets the connection at any time after it. A part
/// of the body may be missing, so the response must not be forwarded, and the request must not be repeated.
#[test]
fn a_response_without_a_length_is_not_forwarded_if_its_connection_is_reset() {
    for head in HEADS_WITHOUT_LENGTH {
        for (body, wait_ms) in [("", 0), ("", 20), ("part", 0), ("part", 20), ("part", 200)] {
            let bytes = [head, body].concat().into_bytes();
            let wait = Duration::from_millis(wait_ms);
            let server = Server::start(move |_| StubResponse::Reset(bytes.clone(), wait));
            let (gateway, _discovery, _counter) = start_gateway(&[&server]);
            let status = gateway.client().post_non_idempotent("1.9").status();
            assert_eq!(
                (status, server.request_count()),
                (502, 1),
                "{body:?} and a reset after {wait_ms} ms, after {head:?}"
            );
        }
    }
}

/// The head of a response gives no length, and the server keeps the connection open. Nothing marks the end of
/// the body, so the request must fail when its time is over, and the connection must be closed.
#[test]
fn a_response_without_a_length_fails_at_its_deadline_if_its_connection_stays_open() {
    for head in HEADS_WITHOUT_LENGTH {
        let bytes = [head, "to the end"].concat().into_bytes();
        let server = Server::start(move |_| StubResponse::Write(bytes.clone()));
        let (gateway, _discovery, _counter) = start_gateway(&[&server]);
        let start = Instant::now();
        let status = gateway.client().post_non_idempotent("0.4").status();
        let elapsed = start.elapsed();
        assert!(matches!(status, 502 | 504), "unexpected status {status} after {head:?}");
        assert!(elapsed < Duration::from_millis(400), "answered only after {elapsed:?}");
        assert_eq!(server.request_count(), 1, "the request was repeated");
        assert!(
            server.idle_before_close.recv_timeout(WAIT_TIMEOUT).is_ok(),
            "the connection stayed open after {head:?}"
        );
    }
}
