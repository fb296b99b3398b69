//! Tests of closing client connections: which may be closed, when, and with how many system calls.

use super::*;
use crate::net::client::eviction::STALL_TIMEOUT;
use std::cell::Cell;
use std::collections::HashMap;
use std::future::Future;
use std::io::{Read as _, Write as _};

const HEALTH_CHECK: &[u8] = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

/// Counts the checks for unread bytes over all connections; each check is a system call.
struct PeekCounter {
    stream: Rc<TcpStream>,
    count: Rc<Cell<usize>>,
}

impl UnreadBytesCheck for PeekCounter {
    fn has_unread_bytes(&self) -> bool {
        self.count.set(self.count.get() + 1);
        self.stream.has_unread_bytes()
    }
}

/// Connects a client, and returns it once the listener serves its connection.
async fn connect(client_listener: &ClientListener, peeks: &Rc<Cell<usize>>) -> std::net::TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port");
    let client = std::net::TcpStream::connect(listener.local_addr().expect("the listener has no address"))
        .expect("failed to connect to the listener");
    client.set_read_timeout(Some(Duration::from_secs(10))).expect("failed to set the read timeout");
    let (stream, _) = listener.accept().await.expect("failed to accept the client's connection");
    let stream = Rc::new(stream);
    let peek_counter = PeekCounter { stream: stream.clone(), count: peeks.clone() };
    client_listener.spawn_connection(stream, Rc::new(peek_counter));
    client
}

/// Lets the tasks run until the client can read, and returns the first line that it reads, or `closed` if the
/// connection has been closed.
async fn read_status_line(client: &std::net::TcpStream) -> String {
    let mut bytes = [0; 512];
    while client.set_nonblocking(true).and_then(|()| client.peek(&mut bytes)).is_err() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    client.set_nonblocking(false).expect("failed to make the socket blocking");
    let length = (&*client).read(&mut bytes).unwrap_or(0);
    String::from_utf8_lossy(&bytes[..length]).lines().next().unwrap_or("closed").to_owned()
}

/// Runs a scenario on a listener with this connection limit. The gateway knows no servers.
fn with_listener<F: Future<Output = ()>>(
    max_connections: usize,
    scenario: impl FnOnce(Rc<ClientListener>) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("failed to build the runtime");
    let text = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
        "settings":{"classes":[{"name":"x","deadline":1000,"idempotency":"free"}]}}"#;
    let config = crate::config::Config::parse(text).expect("invalid configuration");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let event_loop = EventLoop::new(&config, 8);
        scenario(ClientListener::new(event_loop, max_connections)).await;
    });
}

/// Returns the open connections by number; they are numbered in the order of their acceptance.
fn connections(client_listener: &ClientListener) -> HashMap<u64, Rc<Connection>> {
    client_listener.connections.entries().iter().map(|(n, c)| (*n, c.clone())).collect()
}

/// Sets the time at which the current phase of every connection started.
fn set_phase_start(client_listener: &ClientListener, at: crate::ids::Millis) {
    connections(client_listener).values().for_each(|connection| connection.set_phase(connection.phase(), at));
}

/// A client sends an invalid request followed by many more bytes, and the gateway answers 400. If it closed
/// immediately, the unread bytes would cause a reset and the client would lose the response. The close must
/// therefore wait, but only for a bounded time, and less if a new connection needs the slot.
#[test]
fn a_close_waits_for_its_client_for_a_bounded_time_and_less_if_a_new_connection_needs_the_slot() {
    with_listener(1, |client_listener| async move {
        for slot_needed in [true, false] {
            let mut client = connect(&client_listener, &Rc::default()).await;
            // More bytes than the gateway reads of an invalid request, so that some stay unread.
            client
                .write_all(&[b"nonsense\r\n\r\n".as_slice(), &[b'x'; 20_000]].concat())
                .expect("failed to send");
            assert!(read_status_line(&client).await.starts_with("HTTP/1.1 400"));
            assert_eq!(
                client_listener.connection_count(),
                1,
                "closed with unread bytes in the socket before the client could receive the response"
            );
            if slot_needed {
                let now = client_listener.event_loop.now();
                set_phase_start(&client_listener, now + 1000.0);
                assert!(
                    !client_listener.evict_one(),
                    "a closing connection was evicted before its client could receive the response"
                );
                let now = client_listener.event_loop.now();
                set_phase_start(&client_listener, now - STALL_TIMEOUT - 1.0);
                assert!(client_listener.evict_one());
                // No timer may fire here: the connection has to close before its linger time ends.
                for _ in 0..10 {
                    tokio::task::yield_now().await;
                }
            } else {
                let closed = async {
                    while client_listener.connection_count() > 0 {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                };
                tokio::time::timeout(Duration::from_secs(20), closed)
                    .await
                    .expect("the connection was not closed");
            }
            assert_eq!(client_listener.connection_count(), 0);
        }
    });
}

/// During a shutdown the gateway asks an idle connection to close just as the next request arrives on it. The
/// request must be answered even if only a part of it has arrived. Once the connection is idle again, it must
/// close.
#[test]
fn a_request_that_arrives_after_its_connection_was_asked_to_close_is_answered() {
    with_listener(8, |client_listener| async move {
        let mut client = connect(&client_listener, &Rc::default()).await;
        for _ in 0..2 {
            client.write_all(HEALTH_CHECK).expect("failed to send a health check");
            assert!(
                read_status_line(&client).await.starts_with("HTTP/1.1 503"),
                "a gateway without servers did not report that it is not ready"
            );
            assert_eq!(client_listener.connection_count(), 1);
            // There is no await before the next request is sent. The close is therefore already signalled
            // when the bytes arrive, and the runtime has not noticed them.
            client_listener.close_idle();
        }
        let (first_part, rest) = HEALTH_CHECK.split_at(15);
        client.write_all(first_part).expect("failed to send the first part of the request");
        tokio::time::sleep(Duration::from_millis(20)).await;
        client.write_all(rest).expect("failed to send the rest of the request");
        assert!(read_status_line(&client).await.starts_with("HTTP/1.1 503"));
        client_listener.close_idle();
        assert_eq!(read_status_line(&client).await, "closed");
    });
}

/// At the connection limit, each new connection evicts another one. If each eviction checked every open
/// connection with a system call, a flood of new connections would take the CPU from the requests in flight.
#[test]
fn an_eviction_checks_few_connections_for_unread_bytes_regardless_of_how_many_are_open() {
    const CONNECTIONS: usize = 100;
    with_listener(CONNECTIONS, |client_listener| async move {
        let peeks = Rc::new(Cell::new(0));
        let mut clients = Vec::new();
        for _ in 0..CONNECTIONS {
            clients.push(connect(&client_listener, &peeks).await);
        }
        let oldest = client_listener.event_loop.now() - 10.0 * STALL_TIMEOUT;
        for (number, connection) in connections(&client_listener) {
            connection.set_phase(connection.phase(), oldest + number as f64);
        }
        // The oldest connection has bytes that the runtime has not noticed. It stays, and the second oldest
        // is evicted.
        clients[0].write_all(b"G").expect("failed to send the first byte of a request");
        peeks.set(0);
        assert!(client_listener.evict_one());
        assert_eq!(peeks.get(), 2);
        let is_aborted = |connection: &Rc<Connection>| connection.is_aborted();
        let evicted: Vec<u64> =
            connections(&client_listener).iter().filter(|(_, c)| is_aborted(c)).map(|(n, _)| *n).collect();
        assert_eq!(evicted, [2]);
    });
}
