//! A client's stream that records in the connection's state what passes through it.

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

/// A client's stream that records received bytes and completed writes in its [`Connection`].
///
/// The socket is shared, so that its end can be awaited beside the HTTP parser, which reads no further than
/// it has use for.
pub struct InstrumentedStream {
    stream: Rc<TcpStream>,
    connection: Rc<Connection>,
    event_loop: Rc<EventLoop>,
    /// Completes when the socket may be closed; present once sending has been shut down.
    lingering: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl InstrumentedStream {
    /// The stream of a connection; the event loop tells the time.
    pub fn new(connection: Rc<Connection>, event_loop: Rc<EventLoop>) -> Self {
        InstrumentedStream { stream: connection.stream().clone(), connection, event_loop, lingering: None }
    }

    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match write(&self.stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }

    /// Waits until the client has closed as well, or for the linger time.
    fn linger(&self) -> Pin<Box<dyn Future<Output = ()>>> {
        let now = self.event_loop.now();
        let stream = self.stream.clone();
        let linger_time = self.connection.linger_time(now);
        self.connection.enter(Phase::Closing, now);
        // Without urgent data this interest becomes ready by the peer's close only.
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
                done => {
                    if matches!(done, Ok(n) if n > 0) {
                        self.connection
                            .record_received(&buf.filled()[filled_before..], self.event_loop.now());
                    }
                    return Poll::Ready(done.map(drop));
                }
            }
        }
    }
}

impl AsyncWrite for InstrumentedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// A socket has no buffer to flush: what was written has been sent.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.record_flushed(self.event_loop.now());
        Poll::Ready(Ok(()))
    }

    /// Shuts down sending, and completes when the socket may be closed. What arrives meanwhile is not read,
    /// so that the client knows that it was not processed and may send it again elsewhere.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let lingering = match self.lingering.take() {
            Some(lingering) => lingering,
            None => {
                // It fails where the client has reset the connection meanwhile.
                if SockRef::from(&*self.stream).shutdown(Shutdown::Write).is_err() {
                    return Poll::Ready(Ok(()));
                }
                self.linger()
            }
        };
        let lingering = self.lingering.insert(lingering);
        lingering.as_mut().poll(cx).map(Ok)
    }
}
