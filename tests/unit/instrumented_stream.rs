//! The guard in front of the first byte of a request.

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

/// Connects, with the stream known to be writable.
async fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).await.expect("a connection");
    stream.writable().await.expect("a connection that is up");
    stream
}

/// Writes the first bytes of a request without giving the runtime a chance to run.
fn write_first_bytes(stream: &mut InstrumentedStream) -> Poll<io::Result<usize>> {
    Pin::new(stream).poll_write(&mut Context::from_waker(Waker::noop()), b"GET")
}

/// A server sends a duplicate response on an idle connection, or closes it. Before the runtime has polled the
/// socket, a request is sent on that connection. It would be given the duplicate as its own response, or be
/// lost with an unknown outcome; so its first byte must not be written.
#[test]
fn nothing_is_written_while_the_socket_holds_bytes_or_a_close_unnoticed_by_the_runtime() {
    let runtime = runtime();
    let (listener, address) = listen();
    let server_acts: [fn(std::net::TcpStream) -> Option<std::net::TcpStream>; 3] = [
        Some,
        |mut server| server.write_all(b"HTTP/1.1 200 OK\r\n").map(|()| server).ok(),
        |server| {
            drop(server);
            None
        },
    ];
    for (is_clean, act) in [true, false, false].into_iter().zip(server_acts) {
        runtime.block_on(async {
            let stream = TcpStream::connect(address).await.expect("a connection");
            let (server, _) = listener.accept().expect("a connection");
            stream.writable().await.expect("a connection that is up");
            let _open = act(server);
            // No await from here on: the runtime notices nothing.
            let mut stream = InstrumentedStream::new(ClosableSocket::new(stream), Rc::default());
            let written = write_first_bytes(&mut stream);
            assert_eq!(matches!(written, Poll::Ready(Ok(3))), is_clean, "{written:?}");
            assert_eq!(stream.exchange.has_written(), is_clean);
        });
    }
}

/// A request waits for its turn to be written, and meanwhile its client leaves or its server is drained. The
/// question whether it may begin is asked right before the first byte, however long that waits.
#[test]
fn nothing_is_written_for_an_attempt_that_may_not_begin_any_more() {
    let runtime = runtime();
    let (_listener, address) = listen();
    for check_may_begin in [true, false] {
        runtime.block_on(async {
            let stream = connect(address).await;
            let mut stream = InstrumentedStream::new(ClosableSocket::new(stream), Rc::default());
            stream.exchange.begin(Box::new(move || check_may_begin));
            let written = write_first_bytes(&mut stream);
            assert_eq!(matches!(written, Poll::Ready(Ok(3))), check_may_begin, "{written:?}");
            assert_eq!(stream.exchange.has_written(), check_may_begin);
        });
    }
}
