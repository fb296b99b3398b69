//! Graceful shutdown under load: each request that was accepted gets its one response, or a close after which
//! the client may safely retry.

#[allow(dead_code)] // each file of tests uses its own part
mod support;

use socket2::SockRef;
use std::collections::HashSet;
use std::io::Write;
use std::time::{Duration, Instant};
use support::*;

/// A server that answers requests of the class `long` once a gate is open, and others at once.
fn gated_server(gate: &Gate, body: Vec<u8>) -> Server {
    let gate = gate.clone();
    Server::start(move |message| {
        if message.start.starts_with("POST /long") {
            gate.wait();
        }
        StubResponse::Write(answer("200 OK", "", &body))
    })
}

/// Longer than the buffers between the server and a client that reads nothing.
const LARGE_BODY_BYTES: usize = 60_000;

fn large_body() -> Vec<u8> {
    vec![b'x'; LARGE_BODY_BYTES]
}

/// A client with a small receive buffer, so that a large response does not fit.
fn client_with_small_buffer(gateway: &GatewayProcess) -> Client {
    let client = gateway.client();
    SockRef::from(&client.stream).set_recv_buffer_size(2048).expect("a buffer");
    client
}

/// Sends a request that waits at the server's gate.
fn send_gated_request(gateway: &GatewayProcess) -> Client {
    let mut client = gateway.client();
    client.send("POST", "long", GATED_REQUEST_TIME_LEFT, b"{}");
    client
}

const GATED_REQUEST_TIME_LEFT: &str = "X-Time-Left: 20\r\n";

/// A request that may be executed once only, with a name of its own in its path.
fn named_request(name: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {name}\r\nX-Service-Class: once\r\n\
         X-Plan: team\r\nX-Time-Left: 1.9\r\nX-Quota: units=1,spread=2,first=0\r\n\
         Content-Length: 2\r\n\r\n{{}}",
        path = named_path(name)
    )
}

fn named_path(name: &str) -> String {
    format!("/once?customer=00000000b4d65521&name={name}")
}

/// Tells the gateway to shut down, and waits until it announces closes.
fn begin_shutdown(gateway: &GatewayProcess) {
    gateway.terminate();
    eventually("the shutdown begins", || {
        gateway.client().get_idempotent().header("connection") == Some("close")
    });
}

/// All connections of a small gateway have a request in flight, and more wait to be accepted, when the
/// shutdown begins. Closing the listener would reset those that wait; they must be accepted and served.
#[test]
fn connections_waiting_to_be_accepted_when_the_shutdown_begins_are_served() {
    let gate = Gate::default();
    let server = gated_server(&gate, b"whole".to_vec());
    let (mut setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
    // The smallest gateway has room for eight clients.
    setup.sockets = 0;
    let mut gateway = setup.start();
    let mut accepted: Vec<Client> = (0..8).map(|_| send_gated_request(&gateway)).collect();
    eventually("the attempts", || server.count() == 8);
    let mut waiting: Vec<Client> = (0..6).map(|_| send_gated_request(&gateway)).collect();
    gateway.terminate();
    // Past the time for which new connections come; the test does not depend on its being enough.
    std::thread::sleep(Duration::from_millis(800));
    assert_eq!(server.count(), 8, "they were not waiting");
    gate.open();
    for client in accepted.iter_mut().chain(&mut waiting) {
        assert_eq!(client.read().map(|m| m.status()), Some(200));
    }
    assert_eq!(gateway.exit_code(), Some(0));
}

/// An operator repeats SIGTERM and sends SIGHUP, with a broken configuration and a good one, during a
/// shutdown. No request may be lost by it.
#[test]
fn further_signals_during_the_shutdown_lose_no_request() {
    let gate = Gate::default();
    let server = gated_server(&gate, b"whole".to_vec());
    let (setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
    let mut gateway = setup.start();
    let mut client = send_gated_request(&gateway);
    eventually("the attempt", || server.count() == 1);
    gateway.terminate();
    let mut new = gateway.client();
    assert_eq!(new.get_idempotent().status(), 200);
    gateway.terminate();
    gateway.reload("{");
    gateway.reload(&setup.config());
    gateway.terminate();
    let mut late = gateway.client();
    assert_eq!(late.get_idempotent().status(), 200);
    gate.open();
    let response = client.read().expect("a response");
    assert_eq!((response.status(), response.body.as_slice()), (200, &b"whole"[..]));
    assert_eq!(gateway.exit_code(), Some(0));
}

/// A request and what became of it.
struct RequestResult {
    path: String,
    /// None if the connection closed without a response.
    status: Option<u16>,
}

/// Sends requests on one connection, each with a path of its own, until the connection is closed.
fn send_until_closed(
    gateway: &GatewayProcess,
    name: String,
    pause: Duration,
) -> std::thread::JoinHandle<Vec<RequestResult>> {
    let mut client = gateway.client();
    std::thread::spawn(move || {
        let mut results = Vec::new();
        for i in 0.. {
            let request_name = format!("{name}-{i}");
            let response = client.raw(named_request(&request_name).as_bytes());
            let status = response.as_ref().map(Message::status);
            results.push(RequestResult { path: named_path(&request_name), status });
            // Goes on after a response that announces the close: a connection may be used while it stays
            // open.
            if response.is_none() {
                break;
            }
            std::thread::sleep(pause);
        }
        results
    })
}

/// Paths of the requests that the server has seen.
fn paths_seen(server: &Server) -> Vec<String> {
    let seen = server.seen.lock().expect("a lock");
    let path = |message: &Message| message.start.split(' ').nth(1).unwrap_or_default().to_owned();
    seen.iter().map(path).collect()
}

/// Forty clients send requests on connections that they keep open, while the gateway shuts down and closes
/// them. A request that gets no response must not have been forwarded: its client may safely retry it.
#[test]
fn requests_on_kept_connections_during_the_shutdown_are_answered_or_were_never_forwarded() {
    let server = Server::ok();
    let (setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
    let mut gateway = setup.start();
    // At many rates, so that closes and requests cross in all ways.
    let kept: Vec<_> = (0..40u64)
        .map(|i| send_until_closed(&gateway, format!("k{i}"), Duration::from_millis(7 * i + 1)))
        .collect();
    eventually("traffic", || server.count() > 60);
    let start = Instant::now();
    gateway.terminate();
    // New connections come for a while longer, and each of them is owed a response.
    let mut new_connections = 0;
    while start.elapsed() < Duration::from_millis(350) {
        assert_eq!(gateway.client().post_non_idempotent("1.9").status(), 200);
        new_connections += 1;
    }
    assert!(new_connections > 0);
    assert_eq!(gateway.exit_code(), Some(0));
    let seen = paths_seen(&server);
    let executed: Vec<&String> = seen.iter().filter(|path| path.contains("&name=")).collect();
    let executed_once: HashSet<&String> = executed.iter().copied().collect();
    assert_eq!(executed_once.len(), executed.len(), "one was executed twice");
    for result in kept.into_iter().flat_map(|client| client.join().expect("a client")) {
        let path = &result.path;
        match result.status {
            Some(status) => assert_eq!(status, 200, "{path}"),
            None => assert!(!executed_once.contains(path), "{path} was forwarded and got no response"),
        }
    }
}

/// Clients connect shortly after a shutdown has begun, and send their first request a little later. The
/// gateway is closing idle connections by then, and must not close these.
#[test]
fn a_new_connection_can_send_its_first_request_during_the_shutdown() {
    let gate = Gate::default();
    let server = gated_server(&gate, b"whole".to_vec());
    let (setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
    let mut gateway = setup.start();
    // Keeps the shutdown from ending.
    let mut held = send_gated_request(&gateway);
    eventually("the attempt", || server.count() == 1);
    gateway.terminate();
    std::thread::sleep(Duration::from_millis(300));
    let start = Instant::now();
    let mut clients: Vec<Client> = (0..4).map(|_| gateway.client()).collect();
    // They send when older connections that are idle are being closed.
    std::thread::sleep(Duration::from_millis(250));
    clients.iter_mut().for_each(|client| client.send("GET", "look", "X-Time-Left: 2.0\r\n", b""));
    // On a machine so busy that the requests came after the time for them, a close is right.
    let in_time = start.elapsed() < Duration::from_millis(430);
    for client in &mut clients {
        let status = client.read().map(|m| m.status());
        assert!(status == Some(200) || !in_time, "{status:?}");
    }
    gate.open();
    assert_eq!(held.read().map(|m| m.status()), Some(200));
    assert_eq!(gateway.exit_code(), Some(0));
}

/// A client stops reading in the middle of its response. The shutdown must neither wait for it nor cut off
/// others.
#[test]
fn a_response_that_is_not_read_delays_neither_the_shutdown_nor_others() {
    let gate = Gate::default();
    let server = gated_server(&gate, large_body());
    let (setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
    let mut gateway = setup.start();
    let mut stalled = client_with_small_buffer(&gateway);
    stalled.send("POST", "once", "X-Time-Left: 1.9\r\n", b"{}");
    let mut held = send_gated_request(&gateway);
    eventually("the attempts", || server.count() == 2);
    gateway.terminate();
    gate.open();
    let response = held.read().expect("a response");
    assert_eq!((response.status(), response.body.len()), (200, LARGE_BODY_BYTES));
    assert_eq!(gateway.exit_code(), Some(0));
    // What it has received is the beginning of its response, or all of it.
    let rest = stalled.read();
    assert!(rest.is_none_or(|m| m.status() == 200 && m.body.iter().all(|b| *b == b'x')));
}

/// A client pipelines requests on one connection, and the shutdown begins while the first is in flight. All
/// must be answered, and only the last response may announce the close: what is behind it would be lost.
#[test]
fn pipelined_requests_are_all_answered_when_the_shutdown_begins() {
    let gate = Gate::default();
    let server = gated_server(&gate, b"whole".to_vec());
    let (setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
    let mut gateway = setup.start();
    let first = named_request("first").replace("once", "long").replace("Left: 1.9", "Left: 20");
    // Some in one write with the first, and more than one read can take: they wait in the parser's buffer and
    // in the socket.
    let mut client = gateway.client();
    client.stream.write_all((first + &named_request("a") + &named_request("b")).as_bytes()).expect("sent");
    eventually("the attempt", || server.count() == 1);
    let more: String = (0..60).map(|i| named_request(&format!("m{i}"))).collect();
    client.stream.write_all(more.as_bytes()).expect("sent");
    begin_shutdown(&gateway);
    gate.open();
    let responses: Vec<Message> = std::iter::from_fn(|| client.read()).collect();
    assert_eq!(responses.iter().map(Message::status).collect::<Vec<_>>(), [200; 63]);
    let (last, before) = responses.split_last().expect("responses");
    assert_eq!(last.header("connection"), Some("close"));
    assert!(before.iter().all(|m| m.header("connection").is_none()), "a close was announced too early");
    assert_eq!(gateway.exit_code(), Some(0));
}

/// A client sends a further request while it receives the response that announces the close. Closing over the
/// unread request would reset the connection and cut off the response. The response must arrive complete, and
/// the further request must not be forwarded.
#[test]
fn a_response_arrives_complete_if_the_client_sends_more_after_its_close_was_announced() {
    let gate = Gate::default();
    let server = gated_server(&gate, large_body());
    let (setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
    let mut gateway = setup.start();
    let mut client = client_with_small_buffer(&gateway);
    client.send("POST", "long", GATED_REQUEST_TIME_LEFT, b"{}");
    eventually("the attempt", || server.count() == 1);
    begin_shutdown(&gateway);
    gate.open();
    // The response has begun, and announces the close.
    assert_eq!(client.stream.peek(&mut [0]).expect("a response"), 1);
    client.stream.write_all(named_request("crossing").as_bytes()).expect("sent");
    let response = client.read().expect("a complete response");
    assert_eq!((response.status(), response.body.len()), (200, LARGE_BODY_BYTES));
    assert_eq!(response.header("connection"), Some("close"));
    assert!(client.read().is_none());
    assert_eq!(gateway.exit_code(), Some(0));
    let seen = server.seen.lock().expect("a lock");
    assert!(
        !seen.iter().any(|m| m.start.contains("crossing")),
        "it was forwarded, and could not be answered"
    );
}
