//! Counts attempts that begin for clients that have gone, with a gateway that is paused for a while.

use crate::clients::{attempts_seen, disconnect_all};
use crate::sockets::{client_ports, wait_until_server_has_seen_all, CLOSE_WAIT, ESTABLISHED};
use crate::support::{eventually, Client, GatewayProcess, Server};
use std::collections::HashSet;
use std::process::Command;
use std::time::Duration;

/// An attempt that begins this long after its client has disconnected is late.
pub const LATE_AFTER: Duration = Duration::from_millis(100);

/// Stops the gateway's process, as a machine does that is short of CPU, until it is dropped.
pub struct PausedGateway {
    process_id: String,
}

impl PausedGateway {
    pub fn pause(gateway: &GatewayProcess) -> Self {
        gateway.signal("-STOP");
        let stat = format!("/proc/{}/stat", gateway.child.id());
        eventually("the gateway is paused", || {
            std::fs::read_to_string(&stat).expect("its state").contains(") T ")
        });
        PausedGateway { process_id: gateway.child.id().to_string() }
    }
}

impl Drop for PausedGateway {
    fn drop(&mut self) {
        let _ = Command::new("kill").args(["-CONT", &self.process_id]).status();
    }
}

/// Clients whose requests are named `disconnected`, and whose late attempts are counted.
pub struct DisconnectingClients<'a> {
    pub gateway: &'a GatewayProcess,
    pub server: &'a Server,
    pub clients: Vec<Client>,
}

impl DisconnectingClients<'_> {
    /// Disconnects the clients while the gateway is paused, and counts the attempts that begin for them when
    /// it goes on, after more than [`LATE_AFTER`].
    pub fn late_attempts_after_pause(mut self, paused: PausedGateway) -> usize {
        let ports = self.ports();
        let _half_closed = self.disconnect_all(&ports);
        std::thread::sleep(LATE_AFTER);
        self.attempts_after_resume(paused, &ports)
    }

    /// Disconnects the clients while the gateway runs, and counts the attempts that begin for them after
    /// [`LATE_AFTER`].
    pub fn late_attempts(mut self) -> usize {
        let ports = self.ports();
        let _half_closed = self.disconnect_all(&ports);
        std::thread::sleep(LATE_AFTER);
        self.attempts_after_resume(PausedGateway::pause(self.gateway), &ports)
    }

    pub fn ports(&self) -> HashSet<u16> {
        let addresses = self.clients.iter().map(|client| client.stream.local_addr().expect("an address"));
        addresses.map(|address| address.port()).collect()
    }

    pub fn disconnect_all(&mut self, ports: &HashSet<u16>) -> Vec<Client> {
        let half_closed = disconnect_all(std::mem::take(&mut self.clients));
        eventually("the kernel has received the closes", || !self.any_in_state(ports, ESTABLISHED));
        half_closed
    }

    /// Counts the attempts that begin once the gateway goes on. What it had begun before the pause reaches
    /// the server during the pause, so the count does not depend on how long the machine takes for anything.
    fn attempts_after_resume(&self, paused: PausedGateway, ports: &HashSet<u16>) -> usize {
        wait_until_server_has_seen_all(self.server);
        let before = attempts_seen(self.server, "disconnected");
        drop(paused);
        eventually("the gateway closes the connections", || !self.any_in_state(ports, CLOSE_WAIT));
        assert_eq!(self.gateway.client().get("/healthz", "").status(), 200);
        wait_until_server_has_seen_all(self.server);
        attempts_seen(self.server, "disconnected") - before
    }

    fn any_in_state(&self, ports: &HashSet<u16>, state: &str) -> bool {
        client_ports(self.gateway, &[state]).iter().any(|port| ports.contains(port))
    }
}
