//! The byte stream between a client connection and the HTTP parser.

use super::connection::{Connection, Phase};
use crate::net::event_loop::EventLoop;
use socket2::SockRef;
use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// The byte stream of a client connection. It records received bytes, flushes and the start of the close in
/// its [`Connection`].
///
/// The socket is shared with the [`Connection`], so that the connection's task can wait for the client's
/// disconnect independently of the HTTP parser, which reads only as far as it needs to.
pub struct InstrumentedStream {
    stream: Rc<TcpStream>,
    connection: Rc<Connection>,
    event_loop: Rc<EventLoop>,
    /// Completes when the client has closed the connection as well or the linger time has passed. `Some` once
    /// sending has been shut down.
    linger_future: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl InstrumentedStream {
    /// Creates the stream of a connection. The event loop supplies the current time.
    pub fn new(connection: Rc<Connection>, event_loop: Rc<EventLoop>) -> Self {
        InstrumentedStream {
            stream: connection.stream().clone(),
            connection,
            event_loop,
            linger_future: None,
        }
    }

    fn poll_socket_write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match write(&self.stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Enters [`Phase::Closing`] and returns a future that waits until the client has closed the connection
    /// as well or the linger time has passed.
    fn start_linger(&self) -> Pin<Box<dyn Future<Output = ()>>> {
        let now = self.event_loop.now();
        let stream = self.stream.clone();
        let linger_time = self.connection.linger_time(now);
        self.connection.set_phase(Phase::Closing, now);
        // The socket becomes ready for this interest when the client disconnects. Urgent data has the same
        // effect and ends the wait early.
        let closed_by_peer = async move { stream.ready(Interest::PRIORITY).await.map(drop) };
        Box::pin(async move { _ = tokio::time::timeout(linger_time, closed_by_peer).await })
    }
}

impl AsyncRead for InstrumentedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            let filled_before = buf.filled().len();
            match self.stream.try_read_buf(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    if matches!(result, Ok(n) if n > 0) {
                        self.connection
                            .record_received_bytes(&buf.filled()[filled_before..], self.event_loop.now());
                    }
                    return Poll::Ready(result.map(drop));
                }
            }
        }
    }
}

impl AsyncWrite for InstrumentedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_socket_write(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_socket_write(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Records the flush. The stream has no write buffer of its own, so all written bytes have already been
    /// passed to the socket.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.record_flushed(self.event_loop.now());
        Poll::Ready(Ok(()))
    }

    /// Shuts down sending, then waits until the client has closed the connection as well or the linger time
    /// has passed. Requests that arrive during the wait are neither read nor executed, so the client may send
    /// them to another gateway.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let linger_future = match self.linger_future.take() {
            Some(linger_future) => linger_future,
            None => {
                // The shutdown fails if the client has reset the connection in the meantime.
                if SockRef::from(&*self.stream).shutdown(Shutdown::Write).is_err() {
                    return Poll::Ready(Ok(()));
                }
                self.start_linger()
            }
        };
        let linger_future = self.linger_future.insert(linger_future);
        linger_future.as_mut().poll(cx).map(Ok)
    }
}
