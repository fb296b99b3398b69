//! Low-level socket operations: opens the client listener, and checks whether a peer has closed its
//! connection.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::ioctl_fionread;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Maximum number of connections that may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;

/// Opens a listener on an address, even if that address still has connections of a previous process in
/// TIME_WAIT.
///
/// # Errors
/// Returns an error if the operating system does not allow the process to listen on the address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Number of unread bytes, from which on it is unknown whether the peer has closed the connection. The kernel
/// receives the close only after all bytes before it, and stops receiving while its buffer is full. Half of the
/// smallest buffer that it uses by default for received data, 64 KiB.
const MAX_UNREAD_BYTES: u64 = 32 * 1024;

/// Whether the peer may have closed the connection: it has, or it has sent so many bytes that are still unread
/// that the kernel may not have received the close yet.
///
/// A client that waits for its response sends nothing meanwhile, or the beginning of its next request.
pub fn may_be_closed_by_peer(stream: &TcpStream) -> bool {
    // If the number of unread bytes is not available, only the check for a close counts.
    is_closed_by_peer(stream) || ioctl_fionread(stream).is_ok_and(|unread| unread >= MAX_UNREAD_BYTES)
}

/// Whether the peer has closed the connection, closed its sending side or reset the connection, even if
/// unread bytes remain.
///
/// The function polls the kernel, because the runtime may not have noticed yet that the connection is closed.
pub fn is_closed_by_peer(stream: &TcpStream) -> bool {
    // The kernel reports a reset even if it is not among the requested events. If the poll fails, the result
    // is false, and the runtime reports the end of the connection later.
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    matches!(poll(&mut polled, Some(&Timespec::default())), Ok(1..))
}
