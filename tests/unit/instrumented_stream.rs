//! Tests of the checks before the first byte of a request is written, and of the recorded end of a connection.

use super::*;
use std::io::Write as _;
use std::net::SocketAddr;
use std::task::Waker;

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime")
}

fn listen() -> (std::net::TcpListener, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Connects to `address` and waits until the runtime knows that the stream is writable.
async fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).await.expect("a connection");
    stream.writable().await.expect("a writable connection");
    stream
}

/// Writes the first bytes of a request without letting the runtime poll the socket.
fn write_first_bytes(stream: &mut InstrumentedStream) -> Poll<io::Result<usize>> {
    Pin::new(stream).poll_write(&mut Context::from_waker(Waker::noop()), b"GET")
}

/// A server sends a duplicate response on an idle connection or closes the connection, and a request is sent
/// on it before the runtime has polled the socket. The request would receive the duplicate as its response,
/// or would be lost with an unknown outcome, so its first byte must not be written.
#[test]
fn nothing_is_written_if_the_server_sent_bytes_or_closed_the_connection_before_the_runtime_noticed() {
    let runtime = runtime();
    let (listener, address) = listen();
    let server_actions: [fn(std::net::TcpStream) -> Option<std::net::TcpStream>; 3] = [
        Some,
        |mut server| server.write_all(b"HTTP/1.1 200 OK\r\n").map(|()| server).ok(),
        |server| {
            drop(server);
            None
        },
    ];
    for (may_write, server_action) in [true, false, false].into_iter().zip(server_actions) {
        runtime.block_on(async {
            let stream = TcpStream::connect(address).await.expect("a connection");
            let (server, _) = listener.accept().expect("a connection");
            stream.writable().await.expect("a writable connection");
            let _server = server_action(server);
            // There is no await from here on, so the runtime does not poll the socket.
            let mut stream = InstrumentedStream::new(ClosableSocket::new(stream), Rc::default());
            let written = write_first_bytes(&mut stream);
            assert_eq!(matches!(written, Poll::Ready(Ok(3))), may_write, "result of the write: {written:?}");
            assert_eq!(stream.exchange.has_written(), may_write, "has_written() is wrong");
        });
    }
}

/// The client disconnects or the server begins to drain after the attempt was started but before its request
/// is written. The stream therefore checks directly before the first byte whether the attempt may still
/// begin.
#[test]
fn nothing_is_written_for_an_attempt_that_may_no_longer_begin() {
    let runtime = runtime();
    let (_listener, address) = listen();
    for may_begin in [true, false] {
        runtime.block_on(async {
            let stream = connect(address).await;
            let mut stream = InstrumentedStream::new(ClosableSocket::new(stream), Rc::default());
            stream.exchange.begin(Box::new(move || may_begin));
            let written = write_first_bytes(&mut stream);
            assert_eq!(matches!(written, Poll::Ready(Ok(3))), may_begin, "result of the write: {written:?}");
            assert_eq!(stream.exchange.has_written(), may_begin, "has_written() is wrong");
        });
    }
}

/// A server resets the connection while a request is written. The kernel reports the reset to the write, and
/// the next read returns 0 bytes, as after an orderly close. If that read were taken for an orderly close, a
/// response without a length would be forwarded although a part of it is missing.
#[test]
fn a_reset_that_a_write_reports_is_not_recorded_as_an_orderly_close() {
    let runtime = runtime();
    let (listener, address) = listen();
    for reset in [true, false] {
        runtime.block_on(async {
            let stream = connect(address).await;
            let (server, _) = listener.accept().expect("a connection");
            let mut stream = InstrumentedStream::new(ClosableSocket::new(stream), Rc::default());
            assert!(matches!(write_first_bytes(&mut stream), Poll::Ready(Ok(3))), "nothing was written");
            if reset {
                SockRef::from(&server).set_linger(Some(std::time::Duration::ZERO)).expect("a linger time");
                drop(server);
                let written = write_first_bytes(&mut stream);
                assert!(matches!(written, Poll::Ready(Err(_))), "the write did not fail: {written:?}");
            } else {
                server.shutdown(std::net::Shutdown::Write).expect("a shutdown");
            }
            let mut byte = [0];
            let read = tokio::io::AsyncReadExt::read(&mut stream, &mut byte).await;
            assert_eq!(read.ok(), Some(0), "the read did not return 0 bytes");
            assert_eq!(stream.exchange.is_closed_in_order(), !reset, "is_closed_in_order() is wrong");
        });
    }
}
