//! Tests of the reuse of idle upstream connections and of the limit on open connections.

use super::*;
use crate::net::upstream::instrumented_stream::ExchangeState;
use std::future::Future;
use std::io::Read as _;
use std::net::TcpListener;
use std::rc::Rc;

const SERVER: ServerId = ServerId(1);
const SERVER_IDLE_TIMEOUT: Millis = 15_000.0;

fn pool(max_connections: usize) -> ConnectionPool {
    ConnectionPool::new(PoolSettings {
        server_idle_timeout: SERVER_IDLE_TIMEOUT,
        connect_timeout: 1000.0,
        max_connections,
    })
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

fn identity(connection: &Connection) -> *const ExchangeState {
    Rc::as_ptr(&connection.exchange)
}

/// A server may send a response twice, a few milliseconds apart, and the next request on the connection would
/// receive the duplicate. The pool therefore does not reuse a connection within the reuse delay. After the
/// delay it takes the most recently used connection, but never one that has been idle too long.
#[test]
fn take_returns_the_most_recently_used_connection_whose_reuse_delay_has_passed() {
    let (_listener, address) = listen();
    run(async {
        let pool = pool(8);
        let first = pool.connect(address).await.expect("a connection");
        let second = pool.connect(address).await.expect("a connection");
        let (first_identity, second_identity) = (identity(&first), identity(&second));
        assert_ne!(first_identity, second_identity, "the pool returned the same connection twice");
        pool.put(SERVER, first, 100.0);
        pool.put(SERVER, second, 110.0);
        assert!(pool.take(SERVER, address, 100.0 + REUSE_DELAY - 0.1).is_none(), "reused within the delay");

        let first = pool.take(SERVER, address, 100.0 + REUSE_DELAY).expect("the first connection");
        assert_eq!(identity(&first), first_identity, "reused the second connection within its delay");
        pool.put(SERVER, first, 100.0 + REUSE_DELAY);
        let taken = pool.take(SERVER, address, 100.0 + 2.0 * REUSE_DELAY).expect("a connection");
        assert_eq!(identity(&taken), first_identity, "not the most recently used connection");

        let expiry = 110.0 + SERVER_IDLE_TIMEOUT * IDLE_TIMEOUT_SHARE;
        assert!(pool.take(SERVER, address, expiry).is_none(), "reused a connection that was idle too long");
        assert_eq!(pool.limit.open_connections(), 1, "the permit of the expired connection was not released");
    });
}

/// At the connection limit, the pool closes an idle connection before it opens a new one. If the socket were
/// closed only when its I/O task next runs, a burst of requests would open more descriptors than the limit
/// allows. If no connection is idle, none is opened, and the outcome does not count against the server.
#[test]
fn an_evicted_connection_is_closed_immediately_and_none_is_opened_beyond_the_limit() {
    let (listener, address) = listen();
    run(async {
        let pool = pool(1);
        let connection = pool.connect(address).await.expect("a connection");
        let (mut server, _) = listener.accept().expect("a connection");
        assert_eq!(pool.connect(address).await.err(), Some(Outcome::NotSent), "connected beyond the limit");
        pool.put(SERVER, connection, 0.0);
        // There is no await from here on: a burst acquires all the permits it can before any other task runs.
        let _permit = pool.acquire_permit().expect("the permit of the idle connection");
        server.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
        assert_eq!(server.read(&mut [0]).expect("the end of the stream"), 0, "the connection is still open");
    });
}
