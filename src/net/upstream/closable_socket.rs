//! A TCP stream that either of its two users can close at once.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::task::Poll;
use tokio::net::TcpStream;

/// A connection's TCP stream, shared by the attempt that owns the connection and by the task that drives it.
///
/// The attempt closes it directly. The task would drop the stream only when it is next scheduled, and until
/// then a descriptor would be open that the connection limit no longer counts.
#[derive(Clone)]
pub(super) struct ClosableSocket(Rc<RefCell<Option<TcpStream>>>);

impl ClosableSocket {
    pub(super) fn new(stream: TcpStream) -> Self {
        ClosableSocket(Rc::new(RefCell::new(Some(stream))))
    }

    /// Runs an operation on the stream.
    ///
    /// # Errors
    /// The operation's own, or `NotConnected` once the socket has been closed.
    pub(super) fn with<T>(
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
