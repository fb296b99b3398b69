//! One HTTP/1.1 connection to a server.

use super::closable_socket::ClosableSocket;
use super::connection_limit::ConnectionPermit;
use super::instrumented_stream::{ExchangeState, InstrumentedStream};
use crate::event::Outcome;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;

/// Maximum size of a connection's read buffer, bytes. A response whose head does not fit is invalid.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// An open connection to a server. Dropping the connection closes its socket immediately, even if a request
/// is in flight.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    socket: ClosableSocket,
    pub(super) exchange: Rc<ExchangeState>,
    io_task: AbortHandle,
    address: SocketAddr,
    /// Declared last, so that the permit is released only after the socket has been closed.
    _permit: ConnectionPermit,
}

impl Connection {
    /// Connects to a server. If this future is dropped at an `.await`, the socket is closed before the permit
    /// is released.
    ///
    /// # Errors
    /// The outcome of the attempt that needs the connection: `NotSent` if this machine could not create a
    /// socket, which is not the server's fault, and `ConnectFailed` otherwise.
    pub(super) async fn open(
        address: SocketAddr,
        timeout: Duration,
        permit: ConnectionPermit,
    ) -> Result<Self, Outcome> {
        let stream = connect(address, timeout).await?;
        let socket = ClosableSocket::new(stream);
        let exchange = Rc::new(ExchangeState::default());
        let io = TokioIo::new(InstrumentedStream::new(socket.clone(), exchange.clone()));
        let handshake = http1::Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(io).await;
        let (sender, connection) = handshake.map_err(|_| Outcome::ConnectFailed)?;
        let io_task = tokio::task::spawn_local(async move {
            // The result is not needed here: if a request is in flight, its attempt receives the error.
            let _ = connection.await;
        });
        let io_task = io_task.abort_handle();
        Ok(Connection { sender, socket, exchange, io_task, address, _permit: permit })
    }

    /// The server's address.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the connection is known to be closed. Even if the result is false, the server may have closed
    /// the connection, because the runtime may not have noticed the close yet.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.io_task.abort();
        self.socket.close();
    }
}

async fn connect(address: SocketAddr, timeout: Duration) -> Result<TcpStream, Outcome> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let socket = socket.map_err(|_| Outcome::NotSent)?;
    let connected = tokio::time::timeout(timeout, socket.connect(address)).await;
    let stream = connected.ok().and_then(Result::ok).ok_or(Outcome::ConnectFailed)?;
    stream.set_nodelay(true).map_err(|_| Outcome::ConnectFailed)?;
    Ok(stream)
}
