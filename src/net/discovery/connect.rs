//! Opens connections to a discovery agent.

use std::fmt::Display;
use std::future::Future;
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// Opens connections to the agent at an address. Implemented by types of addresses. The `Display` text of the
/// address is sent as the value of the `Host` header and appears in the log.
pub trait Connect: Display {
    /// A connection to the agent.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Opens a connection.
    ///
    /// # Errors
    /// Returns an error if the agent cannot be reached.
    fn connect(&self) -> impl Future<Output = std::io::Result<Self::Stream>>;
}

impl Connect for SocketAddr {
    type Stream = TcpStream;

    fn connect(&self) -> impl Future<Output = std::io::Result<TcpStream>> {
        TcpStream::connect(*self)
    }
}
