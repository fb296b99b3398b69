//! Graceful shutdown under load. Each accepted request must get exactly one response, or a close after which
//! the client may safely retry it.

#[allow(dead_code)] // each test program uses only some of the helpers
mod support;

use socket2::SockRef;
use std::collections::HashSet;
use std::io::Write;
use std::time::{Duration, Instant};
use support::*;

/// Starts a server that answers requests of the class `long` when the gate is opened, and others at once.
fn gated_server(gate: &Gate, body: Vec<u8>) -> Server {
    let gate = gate.clone();
    Server::start(move |message| {
        if message.start_line.starts_with("POST /long") {
            gate.wait();
        }
        StubResponse::Write(response_bytes("200 OK", "", &body))
    })
}

/// Size of a large response body, in bytes: more than the buffers between the server and a client that does
/// not read can hold.
const LARGE_BODY_BYTES: usize = 60_000;

fn large_body() -> Vec<u8> {
    vec![b'x'; LARGE_BODY_BYTES]
}

/// Connects a client whose receive buffer is too small for a large response.
fn client_with_small_buffer(gateway: &GatewayProcess) -> Client {
    let client = gateway.client();
    SockRef::from(&client.stream).set_recv_buffer_size(2048).expect("the receive buffer could not be set");
    client
}

/// Sends a request that the server answers only when its gate is opened.
fn send_gated_request(gateway: &GatewayProcess) -> Client {
    let mut client = gateway.client();
    client.send("POST", "long", GATED_REQUEST_TIME_LEFT, b"{}");
    client
}

const GATED_REQUEST_TIME_LEFT: &str = "X-Time-Left: 20\r\n";

/// A request that may be executed only once. Its path contains `name`, which is unique.
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

/// Sends SIGTERM to the gateway, and waits until its responses announce that their connections close.
fn begin_shutdown(gateway: &GatewayProcess) {
    gateway.terminate();
    eventually("responses announce that their connections close", || {
        gateway.client().get_idempotent().header("connection") == Some("close")
    });
}

/// When the shutdown begins, all connections of a small gateway have a request in flight and more connections
/// wait to be accepted. Closing the listener would reset the waiting connections; they must be accepted and
/// served.
#[test]
fn connections_waiting_to_be_accepted_when_the_shutdown_begins_are_served() {
    let gate = Gate::default();
    let server = gated_server(&gate, b"whole".to_vec());
    let (mut setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
    // The smallest gateway has room for eight clients.
    setup.sockets = 0;
    let mut gateway = setup.start();
    let mut accepted: Vec<Client> = (0..8).map(|_| send_gated_request(&gateway)).collect();
    eventually("the server receives eight attempts", || server.request_count() == 8);
    let mut waiting: Vec<Client> = (0..6).map(|_| send_gated_request(&gateway)).collect();
    gateway.terminate();
    // Waits past the period in which new connections may arrive. The test would also pass if this pause were
    // too short.
    std::thread::sleep(Duration::from_millis(800));
    assert_eq!(server.request_count(), 8, "a connection that should wait to be accepted was served");
    gate.open();
    for client in accepted.iter_mut().chain(&mut waiting) {
        assert_eq!(client.read().map(|m| m.status()), Some(200));
    }
    assert_eq!(gateway.exit_code(), Some(0));
}

/// During a shutdown an operator repeats SIGTERM and sends SIGHUP, once with an invalid configuration and
/// once with a valid one. No request may be lost.
#[test]
fn further_signals_during_the_shutdown_lose_no_request() {
    let gate = Gate::default();
    let server = gated_server(&gate, b"whole".to_vec());
    let (setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
    let mut gateway = setup.start();
    let mut client = send_gated_request(&gateway);
    eventually("the server receives the attempt", || server.request_count() == 1);
    gateway.terminate();
    let mut new_client = gateway.client();
    assert_eq!(new_client.get_idempotent().status(), 200);
    gateway.terminate();
    gateway.reload("{");
    gateway.reload(&setup.config());
    gateway.terminate();
    let mut late_client = gateway.client();
    assert_eq!(late_client.get_idempotent().status(), 200);
    gate.open();
    let response = client.read().expect("no response");
    assert_eq!((response.status(), response.body.as_slice()), (200, &b"whole"[..]));
    assert_eq!(gateway.exit_code(), Some(0));
}

/// The path of a request and the status of its response.
struct RequestResult {
    path: String,
    /// None if the connection closed without a response.
    status: Option<u16>,
}

/// Sends requests with unique paths on one connection until the gateway closes the connection.
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
            let response = client.exchange_bytes(named_request(&request_name).as_bytes());
            let status = response.as_ref().map(Message::status);
            results.push(RequestResult { path: named_path(&request_name), status });
            // Continues after a response that announces the close: clients may use a connection as long as it
            // is open.
            if response.is_none() {
                break;
            }
            std::thread::sleep(pause);
        }
        results
    })
}

/// The paths of the requests that the server has received.
fn paths_seen(server: &Server) -> Vec<String> {
    let seen = server.requests.lock().expect("lock poisoned");
    let path = |message: &Message| message.start_line.split(' ').nth(1).unwrap_or_default().to_owned();
    seen.iter().map(path).collect()
}

/// Forty clients send requests on persistent connections while the gateway shuts down and closes the
/// connections. A request that gets no response must not have been forwarded, since its client may retry it.
#[test]
fn requests_on_persistent_connections_are_answered_or_never_forwarded_during_the_shutdown() {
    let server = Server::ok();
    let (setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
    let mut gateway = setup.start();
    // The clients send at different rates, so that closes and requests cross at many different moments.
    let clients: Vec<_> = (0..40u64)
        .map(|i| send_until_closed(&gateway, format!("k{i}"), Duration::from_millis(7 * i + 1)))
        .collect();
    eventually("the server receives more than 60 requests", || server.request_count() > 60);
    let start = Instant::now();
    gateway.terminate();
    // New connections continue to arrive for a while, and each request on them must get a response.
    let mut new_connections = 0;
    while start.elapsed() < Duration::from_millis(350) {
        assert_eq!(gateway.client().post_non_idempotent("1.9").status(), 200);
        new_connections += 1;
    }
    assert!(new_connections > 0, "no new connection was made during the shutdown");
    assert_eq!(gateway.exit_code(), Some(0));
    let seen = paths_seen(&server);
    let executed_paths: Vec<&String> = seen.iter().filter(|path| path.contains("&name=")).collect();
    let unique_paths: HashSet<&String> = executed_paths.iter().copied().collect();
    assert_eq!(unique_paths.len(), executed_paths.len(), "a request was executed twice");
    for result in clients.into_iter().flat_map(|client| client.join().expect("a client thread panicked")) {
        let path = &result.path;
        match result.status {
            Some(status) => assert_eq!(status, 200, "wrong status for {path}"),
            None => assert!(!unique_paths.contains(path), "{path} was forwarded and got no response"),
        }
    }
}

/// Clients connect shortly after a shutdown has begun, and send their first request a little later. By then
/// the gateway closes idle connections, but it must not close these new ones.
#[test]
fn a_new_connection_can_send_its_first_request_during_the_shutdown() {
    let gate = Gate::default();
    let server = gated_server(&gate, b"whole".to_vec());
    let (setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
    let mut gateway = setup.start();
    // A request in flight keeps the shutdown from ending.
    let mut in_flight = send_gated_request(&gateway);
    eventually("the server receives the attempt", || server.request_count() == 1);
    gateway.terminate();
    std::thread::sleep(Duration::from_millis(300));
    let start = Instant::now();
    let mut clients: Vec<Client> = (0..4).map(|_| gateway.client()).collect();
    // The requests are sent at a time when the gateway closes older idle connections.
    std::thread::sleep(Duration::from_millis(250));
    clients.iter_mut().for_each(|client| client.send("GET", "look", "X-Time-Left: 2.0\r\n", b""));
    // If a busy machine delays the requests past the period for new connections, the gateway may close them.
    let in_time = start.elapsed() < Duration::from_millis(430);
    for client in &mut clients {
        let status = client.read().map(|m| m.status());
        assert!(status == Some(200) || !in_time, "a new connection got {status:?} instead of a response");
    }
    gate.open();
    assert_eq!(in_flight.read().map(|m| m.status()), Some(200));
    assert_eq!(gateway.exit_code(), Some(0));
}

/// A client stops reading in the middle of its response. The shutdown must neither wait for this client nor
/// cut off the responses to others.
#[test]
fn a_client_that_stops_reading_delays_neither_the_shutdown_nor_other_clients() {
    let gate = Gate::default();
    let server = gated_server(&gate, large_body());
    let (setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
    let mut gateway = setup.start();
    let mut stalled = client_with_small_buffer(&gateway);
    stalled.send("POST", "once", "X-Time-Left: 1.9\r\n", b"{}");
    let mut other = send_gated_request(&gateway);
    eventually("the server receives both attempts", || server.request_count() == 2);
    gateway.terminate();
    gate.open();
    let response = other.read().expect("no response");
    assert_eq!((response.status(), response.body.len()), (200, LARGE_BODY_BYTES));
    assert_eq!(gateway.exit_code(), Some(0));
    // The stalled client has received its response completely or only the beginning of it.
    let response = stalled.read();
    assert!(
        response.is_none_or(|m| m.status() == 200 && m.body.iter().all(|b| *b == b'x')),
        "the stalled client received a wrong response"
    );
}

/// A client pipelines requests on one connection, and the shutdown begins while the first is in flight. All
/// must be answered, and only the last response may announce the close: requests after an announced close
/// would be lost.
#[test]
fn pipelined_requests_are_all_answered_when_the_shutdown_begins() {
    let gate = Gate::default();
    let server = gated_server(&gate, b"whole".to_vec());
    let (setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
    let mut gateway = setup.start();
    let first = named_request("first").replace("once", "long").replace("Left: 1.9", "Left: 20");
    // Two more requests are in the same write as the first, and sixty follow, more than one read can take.
    // They wait in the parser's buffer and in the socket.
    let mut client = gateway.client();
    client
        .stream
        .write_all((first + &named_request("a") + &named_request("b")).as_bytes())
        .expect("send failed");
    eventually("the server receives the attempt", || server.request_count() == 1);
    let more: String = (0..60).map(|i| named_request(&format!("m{i}"))).collect();
    client.stream.write_all(more.as_bytes()).expect("send failed");
    begin_shutdown(&gateway);
    gate.open();
    let responses: Vec<Message> = std::iter::from_fn(|| client.read()).collect();
    assert_eq!(responses.iter().map(Message::status).collect::<Vec<_>>(), [200; 63]);
    let (last, earlier) = responses.split_last().expect("no responses");
    assert_eq!(last.header("connection"), Some("close"), "the last response does not announce the close");
    assert!(
        earlier.iter().all(|m| m.header("connection").is_none()),
        "a response before the last announced the close"
    );
    assert_eq!(gateway.exit_code(), Some(0));
}

/// A client sends another request while it receives the response that announces the close. Closing the
/// connection with that request unread would reset it and cut off the response. The response must arrive
/// complete, and the other request must not be forwarded.
#[test]
fn a_response_arrives_complete_if_the_client_sends_a_request_after_the_close_was_announced() {
    let gate = Gate::default();
    let server = gated_server(&gate, large_body());
    let (setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
    let mut gateway = setup.start();
    let mut client = client_with_small_buffer(&gateway);
    client.send("POST", "long", GATED_REQUEST_TIME_LEFT, b"{}");
    eventually("the server receives the attempt", || server.request_count() == 1);
    begin_shutdown(&gateway);
    gate.open();
    // The response that announces the close has begun to arrive.
    assert_eq!(client.stream.peek(&mut [0]).expect("no response"), 1);
    client.stream.write_all(named_request("crossing").as_bytes()).expect("send failed");
    let response = client.read().expect("the response is incomplete");
    assert_eq!((response.status(), response.body.len()), (200, LARGE_BODY_BYTES));
    assert_eq!(response.header("connection"), Some("close"));
    assert!(client.read().is_none(), "the request after the announced close was answered");
    assert_eq!(gateway.exit_code(), Some(0));
    let seen = server.requests.lock().expect("lock poisoned");
    assert!(
        !seen.iter().any(|m| m.start_line.contains("crossing")),
        "the request after the announced close was forwarded but could not be answered"
    );
}
