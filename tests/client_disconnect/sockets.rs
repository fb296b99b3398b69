//! Reads the states of connections from the kernel.

use crate::support::{eventually, GatewayProcess, Server};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A server that has received no request for this time is assumed to have read everything sent to it.
const QUIET_TIME: Duration = Duration::from_millis(200);

const LISTEN: &str = "0A";
pub const ESTABLISHED: &str = "01";
/// Only the peer has closed the connection.
pub const CLOSE_WAIT: &str = "08";

/// One line of the kernel's table of TCP sockets.
struct SocketEntry {
    local: String,
    remote: String,
    state: String,
    queues: String,
}

impl SocketEntry {
    fn has_unread_bytes(&self) -> bool {
        let (_, receive_queue) = self.queues.split_once(':').expect("the queues column has no colon");
        let queued = u64::from_str_radix(receive_queue, 16).expect("the queue length is not hexadecimal");
        match self.state.as_str() {
            LISTEN => false,
            // The kernel counts the peer's close as one byte, which stays unread while a stub waits at a
            // gate.
            CLOSE_WAIT => queued > 1,
            _ => queued > 0,
        }
    }

    fn remote_port(&self) -> u16 {
        let (_, port) = self.remote.split_once(':').expect("the address column has no colon");
        u16::from_str_radix(port, 16).expect("the port is not hexadecimal")
    }
}

/// Returns the kernel's entries of all sockets whose local port is that of `address`.
fn sockets_at(address: SocketAddr) -> Vec<SocketEntry> {
    let port = format!(":{:04X}", address.port());
    let table =
        std::fs::read_to_string("/proc/net/tcp").expect("failed to read the kernel's table of TCP sockets");
    let entries = table.lines().map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let column = |i: usize| columns[i].to_owned();
        SocketEntry { local: column(1), remote: column(2), state: column(3), queues: column(4) }
    });
    entries.filter(|entry| entry.local.ends_with(&port)).collect()
}

/// Returns the ports of the clients whose connections are in one of these states at the gateway's end.
pub fn client_ports(gateway: &GatewayProcess, states: &[&str]) -> Vec<u16> {
    let entries = sockets_at(gateway.address).into_iter();
    entries.filter(|entry| states.contains(&entry.state.as_str())).map(|entry| entry.remote_port()).collect()
}

/// Waits until the gateway has noticed the disconnects: exactly `remaining` client connections are open.
pub fn wait_for_disconnects(gateway: &GatewayProcess, remaining: usize) {
    eventually("the gateway closes the connections of the clients that disconnected", || {
        client_ports(gateway, &[ESTABLISHED, CLOSE_WAIT]).len() == remaining
    });
    // The kernel's table shows a reset before the gateway has noticed it. After a health check, the gateway
    // has noticed it too.
    assert_eq!(gateway.client().get("/healthz", "").status(), 200);
}

/// Waits until the server has read everything that was sent to it: its sockets hold no unread bytes, and it
/// receives no further request for [`QUIET_TIME`].
pub fn wait_until_server_has_read_all(server: &Server) {
    let mut last_count = 0;
    let mut last_change = Instant::now();
    eventually("the server has read everything that was sent to it", || {
        let is_unread = sockets_at(server.address).iter().any(SocketEntry::has_unread_bytes);
        let count = server.request_count();
        if is_unread || count != last_count {
            last_count = count;
            last_change = Instant::now();
        }
        last_change.elapsed() > QUIET_TIME
    });
}
