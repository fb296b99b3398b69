//! States of connections, as the kernel tells them.

use crate::support::{eventually, GatewayProcess, Server};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a server sees nothing new before it has seen all.
const QUIET_TIME: Duration = Duration::from_millis(200);

const LISTEN: &str = "0A";
pub const ESTABLISHED: &str = "01";
/// Closed by the other end alone.
pub const CLOSE_WAIT: &str = "08";

/// A line of the kernel's table of connections.
struct SocketEntry {
    local: String,
    remote: String,
    state: String,
    queues: String,
}

impl SocketEntry {
    fn has_unread_bytes(&self) -> bool {
        let (_, receive_queue) = self.queues.split_once(':').expect("two queues");
        let queued = u64::from_str_radix(receive_queue, 16).expect("a length");
        match self.state.as_str() {
            LISTEN => false,
            // The peer's close counts as one byte, and stays unread while a stub waits at a gate.
            CLOSE_WAIT => queued > 1,
            _ => queued > 0,
        }
    }

    fn remote_port(&self) -> u16 {
        let (_, port) = self.remote.split_once(':').expect("an address");
        u16::from_str_radix(port, 16).expect("a port")
    }
}

/// The kernel's sockets at this local address.
fn sockets_at(address: SocketAddr) -> Vec<SocketEntry> {
    let port = format!(":{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table of connections");
    let entries = table.lines().map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let column = |i: usize| columns[i].to_owned();
        SocketEntry { local: column(1), remote: column(2), state: column(3), queues: column(4) }
    });
    entries.filter(|entry| entry.local.ends_with(&port)).collect()
}

/// Ports of the clients whose connections are in these states at the gateway's end.
pub fn client_ports(gateway: &GatewayProcess, states: &[&str]) -> Vec<u16> {
    let entries = sockets_at(gateway.address).into_iter();
    entries.filter(|entry| states.contains(&entry.state.as_str())).map(|entry| entry.remote_port()).collect()
}

/// Waits until the gateway has noticed the disconnects: it holds so many connections of clients and no more.
pub fn wait_for_disconnects(gateway: &GatewayProcess, remaining: usize) {
    eventually("the gateway closes the connections of those who disconnected", || {
        client_ports(gateway, &[ESTABLISHED, CLOSE_WAIT]).len() == remaining
    });
    // A reset shows there before the gateway has heard of it; a whole exchange later it has.
    assert_eq!(gateway.client().get("/healthz", "").status(), 200);
}

/// Waits until the server has seen all that was sent to it: nothing is unread in its sockets, and nothing new
/// is seen for a while.
pub fn wait_until_server_has_seen_all(server: &Server) {
    let mut last_count = 0;
    let mut last_change = Instant::now();
    eventually("the server has seen all", || {
        let is_unread = sockets_at(server.address).iter().any(SocketEntry::has_unread_bytes);
        let count = server.count();
        if is_unread || count != last_count {
            last_count = count;
            last_change = Instant::now();
        }
        last_change.elapsed() > QUIET_TIME
    });
}
