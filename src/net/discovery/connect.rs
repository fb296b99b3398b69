//! How a connection to a discovery agent is opened.

use std::fmt::Display;
use std::future::Future;
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// Opens connections to an agent. Displayed, it is the value of the `Host` header.
pub trait Connect: Display {
    /// A connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Opens a connection.
    ///
    /// # Errors
    /// When the agent cannot be reached.
    fn connect(&self) -> impl Future<Output = std::io::Result<Self::Stream>>;
}

impl Connect for SocketAddr {
    type Stream = TcpStream;

    fn connect(&self) -> impl Future<Output = std::io::Result<TcpStream>> {
        TcpStream::connect(*self)
    }
}
