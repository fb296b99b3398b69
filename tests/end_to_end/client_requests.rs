//! Valid and invalid client requests, slow clients, and clients that disconnect.

use crate::support::*;
use crate::{gateway_setup, ok_response, start_gateway, REQUEST_HEAD};
use std::io::Write;
use std::time::{Duration, Instant};

/// The head of a non-idempotent request, without the empty line that ends it.
fn non_idempotent_head() -> String {
    REQUEST_HEAD.replace("GET /look", "POST /once").replace(": look", ": once")
}

/// Reads until the gateway closes the connection. Returns the status of the response, if there was one, and
/// the time until the close.
fn read_until_closed(client: &mut Client) -> (Option<u16>, Duration) {
    let start = Instant::now();
    let status = client.read().map(|m| m.status());
    if status.is_some() {
        assert!(client.read().is_none(), "the connection stayed open after {status:?}");
    }
    (status, start.elapsed())
}

#[test]
fn requests_and_bodies_are_forwarded_unchanged() {
    let body: Vec<u8> = (0..60_000u32).map(|i| (i * 7 % 251) as u8).collect();
    let expected_body = body.clone();
    let server = Server::start(move |_| StubResponse::Write(ok_response(&body)));
    let (gateway, _discovery, _counter) = start_gateway(&[&server]);
    let mut client = gateway.client();
    client.send("POST", "book", "X-Time-Left: 1.5\r\nIdempotency-Key: 5c0f6e\r\n", b"{\"part\": 1}");
    let response = client.read().expect("no response");
    assert_eq!((response.status(), response.body == expected_body), (200, true));
    let seen = server.requests.lock().expect("lock poisoned")[0].clone();
    assert_eq!(seen.start_line, "POST /book?customer=00000000b4d65521 HTTP/1.1");
    assert_eq!(seen.header("idempotency-key"), Some("5c0f6e"));
    assert_eq!(seen.header("x-correlation-id").map(str::len), Some(16));
    assert_eq!(seen.body, b"{\"part\": 1}");
    let time_left: f64 =
        seen.header("x-time-left").and_then(|l| l.parse().ok()).expect("no valid X-Time-Left");
    assert!(time_left > 0.5 && time_left <= 1.5, "X-Time-Left is {time_left} s");
}

/// Invalid variants of [`REQUEST_HEAD`]: the text to replace, its replacement and the expected status.
const INVALID_HEADS: [(&str, &str, u16); 28] = [
    ("/look", "/elsewhere", 404),
    ("team", "nobody", 400),
    (": look", ": book", 400),
    ("X-Service-Class: look\r\n", "", 400),
    ("X-Correlation-Id: a1\r\n", "", 400),
    ("X-Correlation-Id: a1\r\n", "X-Correlation-Id: a1\r\nX-Correlation-Id: a2\r\n", 400),
    ("X-Plan: team\r\n", "X-Plan: team\r\nX-Plan: team\r\n", 400),
    ("Host: x\r\n", "Host: x\r\nHost: y\r\n", 400),
    ("customer=00000000b4d65521", "customer=+0000000b4d65521", 400),
    ("customer=00000000b4d65521", "customer=b4d65521", 400),
    ("customer=00000000b4d65521", "customer=0000000200000000", 400),
    ("X-Time-Left: 2.0\r\n", "", 400),
    ("X-Time-Left: 2.0", "X-Time-Left: soon", 400),
    ("X-Time-Left: 2.0", "X-Time-Left: -1", 400),
    ("X-Time-Left: 2.0", "X-Time-Left: 0", 400),
    ("X-Time-Left: 2.0", "X-Time-Left: NaN", 400),
    ("X-Time-Left: 2.0", "X-Time-Left: \u{e9}", 400),
    ("units=1", "units=-5", 400),
    ("units=1", "units=3", 400),
    ("spread=2", "spread=2.5", 400),
    ("spread=2", "spread=5", 400),
    ("first=0", "first=4", 400),
    ("GET", "POST", 405),
    ("Host: x\r\n", "Host: x\r\nTransfer-Encoding: chunked\r\n", 411),
    ("Host: x\r\n", "Host: x\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n", 411),
    ("Host: x\r\n", "Host: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n", 400),
    ("Host: x\r\n", "Host: x\r\nContent-Length: -3\r\n", 400),
    ("Host: x\r\n", "Host: x\r\nContent-Length: 99999999999999999999\r\n", 400),
];

/// Clients send requests that are malformed, ambiguous or too long. The gateway must answer each with the
/// matching status and close its connection. No such request may be forwarded, smuggle in a second request or
/// end the gateway.
#[test]
fn invalid_requests_are_rejected_and_never_forwarded() {
    let server = Server::ok();
    let (mut setup, _discovery, _counter) = gateway_setup(&[&server]);
    setup.gateways = 4;
    let gateway = setup.start();
    let status_of = |request: &str| {
        let mut client = gateway.client();
        let status = client.exchange_bytes(request.as_bytes()).map(|m| m.status());
        assert!(client.read().is_none(), "the connection stayed open after {request:?}");
        status.expect("no response")
    };
    for (valid, replacement, status) in INVALID_HEADS {
        let request = REQUEST_HEAD.replace(valid, replacement) + "\r\n";
        assert_ne!(request, format!("{REQUEST_HEAD}\r\n"), "{valid} does not occur in the request head");
        assert_eq!(status_of(&request), status, "wrong status for {replacement:?} instead of {valid:?}");
    }
    // Request smuggling: a Content-Length next to a Transfer-Encoding must not hide a second request.
    let smuggling_request = non_idempotent_head()
        + &format!("Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{REQUEST_HEAD}\r\n");
    assert_eq!(status_of(&smuggling_request), 411);
    let mut client = gateway.client();
    client.send("POST", "book", "X-Time-Left: 1.0\r\n", b"");
    assert_eq!(
        client.read().expect("no response").status(),
        400,
        "a request without its idempotency key was not rejected"
    );
    let mut client = gateway.client();
    client.send("POST", "once", "X-Time-Left: 1.9\r\n", &vec![b'x'; 64 * 1024]);
    assert_eq!(client.read().expect("no response").status(), 200, "a body of 64 KiB was not accepted");
    let post = non_idempotent_head();
    assert_eq!(status_of(&format!("{post}Content-Length: 65537\r\n\r\n")), 413);
    assert_eq!(status_of("\u{16}\u{3}\u{1} garbage\r\n\r\n"), 400);
    assert_eq!(status_of(&format!("{REQUEST_HEAD}X: {}\r\n\r\n", "x".repeat(20_000))), 431);
    let mut client = gateway.client();
    client.stream.write_all(format!("{post}Content-Length: 9\r\n\r\nhalf").as_bytes()).expect("send failed");
    client.stream.shutdown(std::net::Shutdown::Write).expect("closing the sending side failed");
    assert_ne!(client.read().map(|m| m.status()), Some(200), "an incomplete request was served");
    assert_eq!(gateway.client().get_idempotent().status(), 200);
    assert_eq!(server.request_count(), 2, "a rejected request was forwarded");
}

/// A client sends a request with the id of another request that is in flight. Accepting it would mix up their
/// responses, so the gateway must reject it. The id can be used again once the first request is answered or
/// its client has disconnected.
#[test]
fn the_id_of_a_request_in_flight_is_rejected_until_that_request_is_finished() {
    let server = Server::start(|_| StubResponse::Delayed(Duration::from_millis(300), ok_response(b"mine")));
    let (gateway, _discovery, _counter) = start_gateway(&[&server]);
    let (mut first, mut other) = (gateway.client(), gateway.client());
    first.stream.write_all(format!("{REQUEST_HEAD}\r\n").as_bytes()).expect("send failed");
    eventually("the server receives the attempt", || server.request_count() == 1);
    assert_eq!(
        other.exchange_bytes(format!("{REQUEST_HEAD}\r\n").as_bytes()).expect("no response").status(),
        409
    );
    assert_eq!(first.read().expect("no response").body, b"mine");
    assert_eq!(
        first.exchange_bytes(format!("{REQUEST_HEAD}\r\n").as_bytes()).expect("no response").status(),
        200
    );
    // The id can also be used again after the client has disconnected.
    first.stream.write_all(format!("{REQUEST_HEAD}\r\n").as_bytes()).expect("send failed");
    eventually("the server receives the third attempt", || server.request_count() == 3);
    drop(first);
    eventually("the id can be used again", || {
        gateway
            .client()
            .exchange_bytes(format!("{REQUEST_HEAD}\r\n").as_bytes())
            .is_some_and(|m| m.status() == 200)
    });
}

/// Clients stop in the middle of a request, or send it a few bytes at a time. Without a timeout they would
/// occupy their connections forever, so the gateway must answer with 408 or close each within 2.9 s.
#[test]
fn a_client_that_sends_slowly_or_stops_is_answered_or_closed_in_time() {
    let server = Server::ok();
    let (gateway, _discovery, _counter) = start_gateway(&[&server]);
    let post = non_idempotent_head();
    let incomplete_requests = [
        String::new(),
        REQUEST_HEAD[..40].to_owned(),
        REQUEST_HEAD.to_owned(),
        format!("{post}Content-Length: 60000\r\n\r\nhalf"),
    ];
    let mut clients: Vec<Client> = incomplete_requests.iter().map(|_| gateway.client()).collect();
    for (client, bytes) in clients.iter_mut().zip(&incomplete_requests) {
        client.stream.write_all(bytes.as_bytes()).expect("send failed");
    }
    for (client, bytes) in clients.iter_mut().zip(&incomplete_requests) {
        let (status, elapsed) = read_until_closed(client);
        assert!(elapsed < Duration::from_millis(2900), "closed after {elapsed:?} for {bytes:?}");
        assert!(matches!(status, None | Some(408)), "unexpected status {status:?} for {bytes:?}");
    }
    // A client that keeps sending a few bytes at a time gets no additional time.
    let mut client = gateway.client();
    let mut writer = client.stream.try_clone().expect("the socket could not be cloned");
    let trickle = std::thread::spawn(move || {
        writer.write_all(b"GET /look HTTP/1.1\r\n").expect("send failed");
        while writer.write_all(b"X: y\r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(20));
        }
    });
    let (_, elapsed) = read_until_closed(&mut client);
    assert!(elapsed < Duration::from_millis(2900), "closed after {elapsed:?}");
    trickle.join().expect("the sending thread panicked");
    assert_eq!(server.request_count(), 0, "an incomplete request was forwarded");
}

/// A client disconnects while a server processes its request. The response is no longer needed, so the
/// gateway must cancel the attempt by closing its connection.
#[test]
fn the_attempt_of_a_client_that_disconnects_is_cancelled() {
    let server = Server::start(|_| StubResponse::NoResponse);
    let (gateway, _discovery, _counter) = start_gateway(&[&server]);
    let mut client = gateway.client();
    client.send("GET", "look", "X-Time-Left: 30\r\n", b"");
    eventually("the server receives the attempt", || server.request_count() == 1);
    drop(client);
    let idle = server.idle_before_close.recv_timeout(WAIT_TIMEOUT).expect("no connection was closed");
    assert!(idle < Duration::from_millis(1000), "the attempt's connection was only closed after {idle:?}");
}

/// Three times as many clients as the gateway accepts at a time connect and send nothing, or half a request.
/// Other clients must still be served without delay.
#[test]
fn silent_clients_do_not_block_other_clients() {
    let server = Server::ok();
    let (mut setup, _discovery, _counter) = gateway_setup(&[&server]);
    setup.sockets = 100;
    let gateway = setup.start();
    let post = non_idempotent_head();
    let silent: Vec<Client> = (0..300)
        .map(|i| {
            let mut client = gateway.client();
            if i % 2 == 1 {
                // With half a body the request has begun, but the gateway cannot process it yet.
                let half = format!("{post}Content-Length: 9\r\n\r\nhalf");
                client.stream.write_all(half.as_bytes()).expect("send failed");
            }
            client
        })
        .collect();
    let start = Instant::now();
    for _ in 0..10 {
        assert_eq!(gateway.client().get_idempotent().status(), 200);
    }
    assert!(start.elapsed() < Duration::from_millis(1500), "ten requests took {:?}", start.elapsed());
    drop(silent);
}

/// So many clients connect that the gateway runs out of file descriptors and fails to accept another. It must
/// not exit, and must accept clients again once the others have disconnected.
#[test]
fn the_gateway_recovers_after_running_out_of_file_descriptors() {
    let server = Server::ok();
    let (mut setup, _discovery, _counter) = gateway_setup(&[&server]);
    setup.descriptor_limit = Some(48);
    let mut gateway = setup.start();
    let clients: Vec<Client> = (0..90).map(|_| gateway.client()).collect();
    drop(clients);
    eventually("a request is served after the clients have disconnected", || {
        gateway.client().get_idempotent().status() == 200
    });
    assert!(
        gateway.child.try_wait().expect("the process status is not available").is_none(),
        "the gateway has exited"
    );
}

/// The head of a request that must not be executed twice, with the empty line that ends it.
const NON_IDEMPOTENT_HEAD: &str =
    "POST /once?customer=00000000b4d65521 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: b2\r\n\
    X-Service-Class: once\r\nX-Plan: team\r\nX-Time-Left: 1.9\r\nX-Quota: units=1,spread=2,first=0\r\n\
    Content-Length: 2\r\n\r\n{}";

/// Regression test for an incident: a client leaves while a server executes its request, which must not be
/// executed twice. The same request under the same id was forwarded again.
#[test]
fn a_request_that_must_not_be_executed_twice_is_not_forwarded_again_after_its_client_has_left() {
    let gate = Gate::default();
    let server_gate = gate.clone();
    let server = Server::start(move |_| {
        server_gate.wait();
        StubResponse::Write(ok_response(b"executed"))
    });
    let (gateway, _discovery, _counter) = start_gateway(&[&server]);
    let mut first = gateway.client();
    first.stream.write_all(NON_IDEMPOTENT_HEAD.as_bytes()).expect("send failed");
    eventually("the server receives the attempt", || server.request_count() == 1);
    drop(first);
    std::thread::sleep(Duration::from_millis(5));
    let repeated = gateway.client().exchange_bytes(NON_IDEMPOTENT_HEAD.as_bytes()).expect("no response");
    gate.open();
    assert_eq!(repeated.status(), 409);
    assert_eq!(server.request_count(), 1, "the request was forwarded again");
    // A request under another id is served.
    assert_eq!(gateway.client().post_non_idempotent("1.9").status(), 200);
}

/// Regression test for an incident: a client closes its connection with so much still unread that the kernel
/// cannot deliver the close. When the first server turned the request away, it was sent to another one.
#[test]
fn a_request_is_not_sent_again_after_its_client_has_closed_behind_much_unread_data() {
    const ALLOWED_DELAY: Duration = Duration::from_millis(100);
    let gate = Gate::default();
    let start_server = || {
        let gate = gate.clone();
        Server::start(move |_| {
            gate.wait();
            StubResponse::Write(response_bytes("503 Busy", "X-Unprocessed: 1\r\n", b""))
        })
    };
    let (first, second) = (start_server(), start_server());
    let attempts = || first.request_count() + second.request_count();
    let (gateway, _discovery, _counter) = start_gateway(&[&first, &second]);
    let mut client = gateway.client();
    client.stream.write_all(NON_IDEMPOTENT_HEAD.as_bytes()).expect("send failed");
    eventually("a server receives the attempt", || attempts() == 1);
    client.stream.set_nonblocking(true).expect("the socket could not be made non-blocking");
    let more = vec![b'x'; 1 << 16];
    while client.stream.write(&more).is_ok() {}
    drop(client);
    std::thread::sleep(ALLOWED_DELAY);
    gate.open();
    assert!(
        !holds_within(Duration::from_millis(500), || attempts() > 1),
        "the request was sent again after its client had closed"
    );
    assert_eq!(gateway.client().get("/healthz", "").status(), 200);
}
