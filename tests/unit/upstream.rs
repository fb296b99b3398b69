//! Connections to servers and the answers on them.

use super::*;

#[test]
fn nothing_is_written_where_bytes_or_a_close_stand_that_the_runtime_has_not_heard_of() {
    use std::io::Write as _;
    use std::task::Waker;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let acts: [fn(std::net::TcpStream) -> Option<std::net::TcpStream>; 3] = [
        Some,
        |mut server| server.write_all(b"HTTP/1.1 200 OK\r\n").map(|()| server).ok(),
        |server| {
            drop(server);
            None
        },
    ];
    for (clean, act) in [true, false, false].into_iter().zip(acts) {
        runtime.block_on(async {
            let stream = TcpStream::connect(address).await.expect("a connection");
            let (server, _) = listener.accept().expect("a connection");
            stream.writable().await.expect("a connection that is up");
            let _open = act(server);
            // No await from here on: the runtime hears of nothing.
            let mut noted = Noted { socket: Socket::new(stream), turn: Rc::default() };
            let mut cx = Context::from_waker(Waker::noop());
            let wrote = Pin::new(&mut noted).poll_write(&mut cx, b"GET");
            assert_eq!(matches!(wrote, Poll::Ready(Ok(3))), clean, "{wrote:?}");
            assert_eq!(noted.turn.wrote.get(), clean);
        });
    }
}

#[test]
fn nothing_is_written_for_an_attempt_that_may_not_begin_any_more() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    for may in [true, false] {
        runtime.block_on(async {
            let stream = TcpStream::connect(address).await.expect("a connection");
            stream.writable().await.expect("a connection that is up");
            let mut noted = Noted { socket: Socket::new(stream), turn: Rc::default() };
            // Asked at the first byte, however long that waits for its turn.
            noted.turn.begin(Box::new(move || may));
            let mut cx = Context::from_waker(std::task::Waker::noop());
            let wrote = Pin::new(&mut noted).poll_write(&mut cx, b"GET");
            assert_eq!(
                (matches!(wrote, Poll::Ready(Ok(3))), noted.turn.wrote.get()),
                (may, may),
                "{wrote:?}"
            );
        });
    }
}

#[test]
fn a_connection_rests_before_it_is_used_again_and_the_last_that_has_rested_is_taken() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (pool, server) = (Pool::new(15_000.0, 1000.0, 8), ServerId(1));
        for back in [100.0, 110.0] {
            let connection = pool.connect(address).await.expect("a connection");
            pool.put(server, connection, back);
        }
        assert!(pool.take(server, address, 100.0 + QUARANTINE - 0.1).is_none(), "not rested");
        let first = pool.take(server, address, 100.0 + QUARANTINE).expect("one that has rested");
        assert_eq!(first.idle_since, 100.0);
        pool.put(server, first, 100.0 + QUARANTINE);
        let other = pool.take(server, address, 100.0 + 2.0 * QUARANTINE).expect("one that has rested");
        assert_eq!(other.idle_since, 100.0 + QUARANTINE);
        // One that has stood too long is not kept either.
        assert!(pool.take(server, address, 110.0 + 15_000.0 * IDLE_SHARE).is_none());
        assert_eq!(pool.open.get(), 1, "its place is free");
    });
}

#[test]
fn a_connection_that_is_given_up_closes_at_once_and_without_a_place_nothing_is_opened() {
    use std::io::Read as _;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let pool = Pool::new(15_000.0, 1000.0, 1);
        let kept = pool.connect(address).await.expect("a connection");
        let (mut server, _) = listener.accept().expect("a connection");
        assert_eq!(pool.connect(address).await.err(), Some(Outcome::NotSent), "no fault of the server's");
        pool.put(ServerId(1), kept, 0.0);
        // No await from here on: a burst takes all places that it can before any other task has its turn.
        let _slot = pool.slot().expect("the place of the idle one");
        server.set_read_timeout(Some(Duration::from_secs(10))).expect("a time-out");
        assert_eq!(server.read(&mut [0]).expect("a close"), 0);
    });
}
