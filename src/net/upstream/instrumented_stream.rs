//! The byte stream below an upstream connection: guards and records the first byte of each request.

use super::closable_socket::ClosableSocket;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Asks whether the attempt may still begin.
type MayBegin = Box<dyn Fn() -> bool>;

/// What an attempt and the stream that it is written to tell each other.
#[derive(Default)]
pub(super) struct ExchangeState {
    has_written: Cell<bool>,
    check_may_begin: RefCell<Option<MayBegin>>,
}

impl ExchangeState {
    /// A new request follows; `check_may_begin` is asked right before its first byte.
    pub(super) fn begin(&self, check_may_begin: MayBegin) {
        self.has_written.set(false);
        self.check_may_begin.replace(Some(check_may_begin));
    }

    /// The request has been answered or has failed.
    pub(super) fn end(&self) {
        self.check_may_begin.replace(None);
    }

    /// Whether any byte of the present request has been written, so that the server may execute it. Small
    /// requests go out in one piece, so the first byte counts as the whole.
    pub(super) fn has_written(&self) -> bool {
        self.has_written.get()
    }

    fn is_refused(&self) -> bool {
        self.check_may_begin.borrow().as_ref().is_some_and(|check_may_begin| !check_may_begin())
    }
}

/// A TCP stream that writes the first byte of a request only if the attempt may still begin and nothing is
/// left to be read.
///
/// The attempt is asked because other tasks may have run since it was started: its client may have gone, or
/// its server may have been drained.
///
/// Unread bytes belong to no request (a duplicate response, noise), and would be taken for the response to
/// this one. Bytes that arrived with the previous response are in the HTTP parser's buffer, which then gives
/// the connection up. Later ones are in the socket's buffer, where the runtime may not have noticed them yet,
/// so the socket itself is asked.
pub(super) struct InstrumentedStream {
    socket: ClosableSocket,
    exchange: Rc<ExchangeState>,
}

impl InstrumentedStream {
    pub(super) fn new(socket: ClosableSocket, exchange: Rc<ExchangeState>) -> Self {
        InstrumentedStream { socket, exchange }
    }

    fn check_first_write(&self) -> Poll<io::Result<()>> {
        if self.exchange.has_written() {
            return Poll::Ready(Ok(()));
        }
        if self.exchange.is_refused() {
            let reason = "the attempt may not begin any more";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionAborted, reason)));
        }
        self.socket.with(|stream| Poll::Ready(check_nothing_unread(stream)))
    }

    fn record_write(&self, result: &Poll<io::Result<usize>>) {
        if matches!(result, Poll::Ready(Ok(1..))) {
            self.exchange.has_written.set(true);
        }
    }
}

/// Fails unless the socket is open and its receive buffer empty.
fn check_nothing_unread(stream: &TcpStream) -> io::Result<()> {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
        Err(error) => Err(error),
        Ok(_) => {
            let reason = "closed by the server, or bytes that no request asked for";
            Err(io::Error::new(io::ErrorKind::InvalidData, reason))
        }
    }
}

impl Drop for InstrumentedStream {
    fn drop(&mut self) {
        self.socket.close();
    }
}

impl AsyncRead for InstrumentedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.socket.with(|stream| Pin::new(stream).poll_read(cx, buf))
    }
}

impl AsyncWrite for InstrumentedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        ready!(self.check_first_write())?;
        let result = self.socket.with(|stream| Pin::new(stream).poll_write(cx, buf));
        self.record_write(&result);
        result
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.check_first_write())?;
        let result = self.socket.with(|stream| Pin::new(stream).poll_write_vectored(cx, bufs));
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket.with(|stream| Pin::new(stream).poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket.with(|stream| Pin::new(stream).poll_shutdown(cx))
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/instrumented_stream.rs"]
mod tests;
