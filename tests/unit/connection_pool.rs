//! Reuse of idle upstream connections, and the limit on open ones.

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

/// A server may send a response twice, a few milliseconds apart. A request that is already on the connection
/// would be given the duplicate. So a connection is not reused within the reuse delay; past it, the most
/// recently used one is taken, and none that has been idle too long.
#[test]
fn a_connection_is_not_reused_within_the_delay_and_the_most_recently_used_one_past_it_is_taken() {
    let (_listener, address) = listen();
    run(async {
        let pool = pool(8);
        let first = pool.connect(address).await.expect("a connection");
        let second = pool.connect(address).await.expect("a connection");
        let (first_identity, second_identity) = (identity(&first), identity(&second));
        assert_ne!(first_identity, second_identity);
        pool.put(SERVER, first, 100.0);
        pool.put(SERVER, second, 110.0);
        assert!(pool.take(SERVER, address, 100.0 + REUSE_DELAY - 0.1).is_none(), "within the delay");

        let first = pool.take(SERVER, address, 100.0 + REUSE_DELAY).expect("one past the delay");
        assert_eq!(identity(&first), first_identity);
        pool.put(SERVER, first, 100.0 + REUSE_DELAY);
        let taken = pool.take(SERVER, address, 100.0 + 2.0 * REUSE_DELAY).expect("one past the delay");
        assert_eq!(identity(&taken), first_identity, "the most recently used one");

        let expiry = 110.0 + SERVER_IDLE_TIMEOUT * IDLE_TIMEOUT_SHARE;
        assert!(pool.take(SERVER, address, expiry).is_none(), "idle too long");
        assert_eq!(pool.limit.open(), 1, "the place of the one that expired is free");
    });
}

/// At the connection limit an idle connection is closed for a new one. Were its socket closed only when its
/// task next runs, a burst of requests would open more descriptors than the limit allows. Where no connection
/// is idle, nothing is opened, and the attempt fails without blaming the server.
#[test]
fn an_evicted_connection_closes_at_once_and_nothing_is_opened_past_the_limit() {
    let (listener, address) = listen();
    run(async {
        let pool = pool(1);
        let connection = pool.connect(address).await.expect("a connection");
        let (mut server, _) = listener.accept().expect("a connection");
        assert_eq!(pool.connect(address).await.err(), Some(Outcome::NotSent));
        pool.put(SERVER, connection, 0.0);
        // No await from here on: a burst takes every place it can before any other task runs.
        let _permit = pool.acquire_permit().expect("the place of the idle connection");
        server.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
        assert_eq!(server.read(&mut [0]).expect("a close"), 0);
    });
}
