//! Closing of client connections: which may be closed, when, and at what cost.

use super::*;
use crate::net::client::eviction::FIRST_BYTE_TIMEOUT;
use std::cell::Cell;
use std::collections::HashMap;
use std::future::Future;
use std::io::{Read as _, Write as _};

const HEALTH_CHECK: &[u8] = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

/// Counts how often the kernel is asked for unread bytes, over all connections.
struct CountedPeeks {
    stream: Rc<TcpStream>,
    count: Rc<Cell<usize>>,
}

impl UnreadBytes for CountedPeeks {
    fn has_unread_bytes(&self) -> bool {
        self.count.set(self.count.get() + 1);
        self.stream.has_unread_bytes()
    }
}

/// A client whose connection the listener has accepted and serves.
async fn connect(client_listener: &ClientListener, peeks: &Rc<Cell<usize>>) -> std::net::TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("up");
    client.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
    let (stream, _) = listener.accept().await.expect("a connection");
    let stream = Rc::new(stream);
    let counted = CountedPeeks { stream: stream.clone(), count: peeks.clone() };
    client_listener.spawn_connection(stream, Rc::new(counted));
    client
}

/// Polls the tasks until the client can read, and gives the first line it reads; `closed` at the end.
async fn read_status_line(client: &std::net::TcpStream) -> String {
    let mut bytes = [0; 512];
    while client.set_nonblocking(true).and_then(|()| client.peek(&mut bytes)).is_err() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    client.set_nonblocking(false).expect("a blocking socket");
    let length = (&*client).read(&mut bytes).unwrap_or(0);
    String::from_utf8_lossy(&bytes[..length]).lines().next().unwrap_or("closed").to_owned()
}

/// Runs a listener for this many connections in a gateway that knows no servers.
fn with_listener<F: Future<Output = ()>>(
    max_connections: usize,
    scenario: impl FnOnce(Rc<ClientListener>) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let text = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
        "settings":{"classes":[{"name":"x","deadline":1000,"idempotency":"free"}]}}"#;
    let config = crate::config::Config::parse(text).expect("a configuration");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let event_loop = EventLoop::new(&config, 8);
        scenario(ClientListener::new(event_loop, max_connections)).await;
    });
}

/// The open connections by number, in the order in which they were accepted.
fn connections(client_listener: &ClientListener) -> HashMap<u64, Rc<Connection>> {
    client_listener.connections.entries().iter().map(|(n, c)| (*n, c.clone())).collect()
}

/// Has all connections been in their phases since this time.
fn set_phase_since(client_listener: &ClientListener, at: crate::ids::Millis) {
    connections(client_listener).values().for_each(|connection| connection.enter(connection.phase(), at));
}

/// A client sends something that is not HTTP and much behind it, and the gateway answers 400. Closing at once
/// would reset the connection over the unread bytes and the client would lose the response. So the close
/// waits, but for a bounded time, and for less of it if a new connection needs the place.
#[test]
fn a_close_waits_for_its_client_within_bounds_and_less_if_a_new_connection_needs_the_place() {
    with_listener(1, |client_listener| async move {
        for place_needed in [true, false] {
            let mut client = connect(&client_listener, &Rc::default()).await;
            // More than the gateway reads of an invalid request.
            client.write_all(&[b"nonsense\r\n\r\n".as_slice(), &[b'x'; 20_000]].concat()).expect("sent");
            assert!(read_status_line(&client).await.starts_with("HTTP/1.1 400"));
            assert_eq!(
                client_listener.connection_count(),
                1,
                "closed over unread bytes before the response had time to arrive"
            );
            if place_needed {
                let now = client_listener.event_loop.now();
                set_phase_since(&client_listener, now + 1000.0);
                assert!(!client_listener.make_room(), "its response may not have arrived");
                let now = client_listener.event_loop.now();
                set_phase_since(&client_listener, now - FIRST_BYTE_TIMEOUT - 1.0);
                assert!(client_listener.make_room());
                // Without a timer: the connection is gone before its linger time is over.
                for _ in 0..10 {
                    tokio::task::yield_now().await;
                }
            } else {
                let closed = async {
                    while client_listener.connection_count() > 0 {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                };
                tokio::time::timeout(Duration::from_secs(20), closed).await.expect("a close");
            }
            assert_eq!(client_listener.connection_count(), 0);
        }
    });
}

/// During a shutdown the gateway asks an idle connection to close just when the next request arrives on it.
/// The request must be answered, also if only a part of it has arrived; the connection closes after it.
#[test]
fn a_request_that_arrives_after_its_connection_was_asked_to_close_is_answered() {
    with_listener(8, |client_listener| async move {
        let mut client = connect(&client_listener, &Rc::default()).await;
        for _ in 0..2 {
            client.write_all(HEALTH_CHECK).expect("sent");
            assert!(read_status_line(&client).await.starts_with("HTTP/1.1 503"), "it knows no servers");
            assert_eq!(client_listener.connection_count(), 1);
            // No await before the next request is sent: the close has been decided, and the runtime has not
            // heard of the bytes.
            client_listener.close_idle();
        }
        let (first_part, rest) = HEALTH_CHECK.split_at(15);
        client.write_all(first_part).expect("half a request");
        tokio::time::sleep(Duration::from_millis(20)).await;
        client.write_all(rest).expect("the rest");
        assert!(read_status_line(&client).await.starts_with("HTTP/1.1 503"));
        client_listener.close_idle();
        assert_eq!(read_status_line(&client).await, "closed");
    });
}

/// In a flood of new connections room is made for each of them. If that asked the kernel about every open
/// connection, the flood would take the CPU from the requests that are in flight.
#[test]
fn making_room_asks_the_kernel_about_few_connections_however_many_there_are() {
    const CONNECTIONS: usize = 100;
    with_listener(CONNECTIONS, |client_listener| async move {
        let peeks = Rc::new(Cell::new(0));
        let mut clients = Vec::new();
        for _ in 0..CONNECTIONS {
            clients.push(connect(&client_listener, &peeks).await);
        }
        let oldest = client_listener.event_loop.now() - 10.0 * FIRST_BYTE_TIMEOUT;
        for (number, connection) in connections(&client_listener) {
            connection.enter(connection.phase(), oldest + number as f64);
        }
        // The oldest has bytes that the runtime has not heard of: it stays, and the next is evicted.
        clients[0].write_all(b"G").expect("sent");
        peeks.set(0);
        assert!(client_listener.make_room());
        assert_eq!(peeks.get(), 2);
        let is_aborted = |connection: &Rc<Connection>| connection.is_aborted();
        let evicted: Vec<u64> =
            connections(&client_listener).iter().filter(|(_, c)| is_aborted(c)).map(|(n, _)| *n).collect();
        assert_eq!(evicted, [2]);
    });
}
