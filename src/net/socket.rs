//! What the kernel tells of a socket, beyond what the runtime has heard of.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use tokio::net::TcpStream;

/// Whether the peer has closed its connection, closed its sending side or reset it, whatever stands unread on it.
pub fn is_closed_by_peer(stream: &TcpStream) -> bool {
    // A reset is reported unasked. Where the kernel cannot tell, the connection's own end will.
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    matches!(poll(&mut polled, Some(&Timespec::default())), Ok(1..))
}
