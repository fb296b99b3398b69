//! Sockets below the runtime: how one is opened for clients, and what the kernel knows of one.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;

/// Listens on an address. Connections that a process before has left behind there do not delay it.
///
/// # Errors
/// When the system refuses the address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Whether the peer has closed its connection, closed its sending side or reset it, whatever waits to be read
/// on it.
///
/// The kernel is asked, as the runtime may not have seen the event yet.
pub fn is_closed_by_peer(stream: &TcpStream) -> bool {
    // A reset is reported without being asked for. Where the kernel cannot tell, the end of the connection
    // will.
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    matches!(poll(&mut polled, Some(&Timespec::default())), Ok(1..))
}
