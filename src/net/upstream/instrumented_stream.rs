//! The byte stream of an upstream connection. Before it writes the first byte of a request, the stream checks
//! whether the byte may be written; afterwards it records that a byte has been written. It also records how
//! the connection ended.

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

/// A function that returns whether the current attempt on a connection may still begin.
type MayBeginCheck = Box<dyn Fn() -> bool>;

/// How the server ended its side of a connection, as far as the connection's stream has seen it.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum ConnectionEnd {
    #[default]
    NotSeen,
    /// A read returned 0 bytes, and no operation had failed before.
    Closed,
    /// A read or write failed, for example because the server reset the connection.
    Failed,
}

/// State of the current request on a connection, shared by the attempt and the connection's stream.
#[derive(Default)]
pub(super) struct ExchangeState {
    has_written: Cell<bool>,
    may_begin: RefCell<Option<MayBeginCheck>>,
    connection_end: Cell<ConnectionEnd>,
}

impl ExchangeState {
    /// Prepares for a new request. The stream calls `may_begin` directly before each try to write the first
    /// byte.
    pub(super) fn begin(&self, may_begin: MayBeginCheck) {
        self.has_written.set(false);
        self.may_begin.replace(Some(may_begin));
    }

    /// Drops the check. Called when the head of the response has been received or the request has failed.
    pub(super) fn end(&self) {
        self.may_begin.replace(None);
    }

    /// Whether any byte of the current request has been written. If so, the server may execute the request: a
    /// small request is written in one piece, so the server may have received all of it.
    pub(super) fn has_written(&self) -> bool {
        self.has_written.get()
    }

    /// Whether the server has closed the connection in order, so that everything that it sent has been read.
    ///
    /// The kernel reports a reset to one operation only. If that operation was a write, the next read returns
    /// 0 bytes, as after an orderly close. The connection therefore counts as closed in order only if no
    /// operation failed before that read.
    pub(super) fn is_closed_in_order(&self) -> bool {
        self.connection_end.get() == ConnectionEnd::Closed
    }

    fn record_end(&self, end: ConnectionEnd) {
        if self.connection_end.get() == ConnectionEnd::NotSeen {
            self.connection_end.set(end);
        }
    }

    fn may_not_begin(&self) -> bool {
        self.may_begin.borrow().as_ref().is_some_and(|may_begin| !may_begin())
    }
}

/// A TCP stream that writes the first byte of a request only if the attempt may still begin and the socket
/// holds no unread bytes.
///
/// The stream checks again whether the attempt may begin, because other tasks may have run since the attempt
/// was started: the client may have disconnected, or the server may have begun to drain.
///
/// Unread bytes belong to no request (for example a duplicate response or garbage) and would be read as the
/// response to the new request. If such bytes arrived together with the previous response, they are in the
/// buffer of the HTTP parser, which then closes the connection. If they arrived later, they are in the
/// socket's receive buffer, and the runtime may not have noticed them yet. The stream therefore checks the
/// socket itself.
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
        if self.exchange.may_not_begin() {
            let reason = "the request has ended, its client disconnected or the server accepts no requests";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionAborted, reason)));
        }
        self.socket.with_stream(|stream| Poll::Ready(check_no_unread_bytes(stream)))
    }

    fn record_write(&self, result: &Poll<io::Result<usize>>) {
        match result {
            Poll::Ready(Ok(1..)) => self.exchange.has_written.set(true),
            Poll::Ready(Err(_)) => self.exchange.record_end(ConnectionEnd::Failed),
            _ => {}
        }
    }
}

/// Fails unless the connection is open and the socket's receive buffer is empty.
fn check_no_unread_bytes(stream: &TcpStream) -> io::Result<()> {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
        Err(error) => Err(error),
        Ok(_) => {
            let reason = "the server closed the connection or sent bytes that belong to no request";
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
        let filled_before = buf.filled().len();
        let result = self.socket.with_stream(|stream| Pin::new(stream).poll_read(cx, buf));
        match result {
            Poll::Ready(Ok(())) if buf.filled().len() == filled_before && buf.remaining() > 0 => {
                self.exchange.record_end(ConnectionEnd::Closed);
            }
            Poll::Ready(Err(_)) => self.exchange.record_end(ConnectionEnd::Failed),
            _ => {}
        }
        result
    }
}

impl AsyncWrite for InstrumentedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        ready!(self.check_first_write())?;
        let result = self.socket.with_stream(|stream| Pin::new(stream).poll_write(cx, buf));
        self.record_write(&result);
        result
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.check_first_write())?;
        let result = self.socket.with_stream(|stream| Pin::new(stream).poll_write_vectored(cx, bufs));
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket.with_stream(|stream| Pin::new(stream).poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket.with_stream(|stream| Pin::new(stream).poll_shutdown(cx))
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/instrumented_stream.rs"]
mod tests;
