//! A shared TCP stream that any of its holders can close immediately.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::task::Poll;
use tokio::net::TcpStream;

/// The TCP stream of a connection, shared by the owner of the connection (the pool or an attempt) and by the
/// task that performs the connection's I/O.
///
/// The owner closes the stream directly. If the owner only aborted the I/O task, the task would drop the
/// stream when it is next scheduled. Until then the file descriptor would stay open, although the connection
/// limit no longer counts the connection.
#[derive(Clone)]
pub(super) struct ClosableSocket(Rc<RefCell<Option<TcpStream>>>);

impl ClosableSocket {
    pub(super) fn new(stream: TcpStream) -> Self {
        ClosableSocket(Rc::new(RefCell::new(Some(stream))))
    }

    /// Performs an operation on the stream unless the socket has been closed.
    ///
    /// # Errors
    /// The error of the operation, or `NotConnected` if the socket has been closed.
    pub(super) fn with_stream<T>(
        &self,
        operation: impl FnOnce(&mut TcpStream) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match self.0.borrow_mut().as_mut() {
            Some(stream) => operation(stream),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }

    pub(super) fn close(&self) {
        drop(self.0.take());
    }
}
