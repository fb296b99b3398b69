//! Pauses the gateway, and counts the attempts that it starts for clients that have disconnected.

use crate::clients::{attempts_seen, disconnect_all};
use crate::sockets::{client_ports, wait_until_server_has_read_all, CLOSE_WAIT, ESTABLISHED};
use crate::support::{eventually, Client, GatewayProcess, Server};
use std::collections::HashSet;
use std::process::Command;
use std::time::Duration;

/// An attempt that starts more than this time after its client disconnected is late.
pub const LATE_THRESHOLD: Duration = Duration::from_millis(100);

/// Guard that stops the gateway's process until it is dropped. This simulates a machine that is short of CPU.
pub struct PausedGateway {
    process_id: String,
}

impl PausedGateway {
    pub fn pause(gateway: &GatewayProcess) -> Self {
        gateway.signal("-STOP");
        let stat = format!("/proc/{}/stat", gateway.child.id());
        eventually("the gateway is paused", || {
            std::fs::read_to_string(&stat)
                .expect("failed to read the state of the gateway's process")
                .contains(") T ")
        });
        PausedGateway { process_id: gateway.child.id().to_string() }
    }
}

impl Drop for PausedGateway {
    fn drop(&mut self) {
        let _ = Command::new("kill").args(["-CONT", &self.process_id]).status();
    }
}

/// Clients that will disconnect. Their requests are named `disconnected`, and their late attempts are
/// counted.
pub struct DisconnectingClients<'a> {
    pub gateway: &'a GatewayProcess,
    pub server: &'a Server,
    pub clients: Vec<Client>,
}

impl DisconnectingClients<'_> {
    /// Disconnects the clients while the gateway is paused, and counts the attempts that the gateway starts
    /// for them when it resumes, after more than [`LATE_THRESHOLD`].
    pub fn late_attempts_after_pause(mut self, paused: PausedGateway) -> usize {
        let ports = self.ports();
        let _half_closed = self.disconnect_all(&ports);
        std::thread::sleep(LATE_THRESHOLD);
        self.attempts_after_resume(paused, &ports)
    }

    /// Disconnects the clients while the gateway runs, and counts the attempts that the gateway starts for
    /// them after [`LATE_THRESHOLD`].
    pub fn late_attempts(mut self) -> usize {
        let ports = self.ports();
        let _half_closed = self.disconnect_all(&ports);
        std::thread::sleep(LATE_THRESHOLD);
        self.attempts_after_resume(PausedGateway::pause(self.gateway), &ports)
    }

    pub fn ports(&self) -> HashSet<u16> {
        let addresses =
            self.clients.iter().map(|client| client.stream.local_addr().expect("the socket has no address"));
        addresses.map(|address| address.port()).collect()
    }

    pub fn disconnect_all(&mut self, ports: &HashSet<u16>) -> Vec<Client> {
        let half_closed = disconnect_all(std::mem::take(&mut self.clients));
        eventually("the disconnects have reached the gateway's sockets", || {
            !self.any_in_state(ports, ESTABLISHED)
        });
        half_closed
    }

    /// Counts the attempts that start once the gateway resumes. Attempts that started before the pause reach
    /// the server during the pause, so the count does not depend on the speed of the machine.
    fn attempts_after_resume(&self, paused: PausedGateway, ports: &HashSet<u16>) -> usize {
        wait_until_server_has_read_all(self.server);
        let before = attempts_seen(self.server, "disconnected");
        drop(paused);
        eventually("the gateway closes the clients' connections", || !self.any_in_state(ports, CLOSE_WAIT));
        assert_eq!(self.gateway.client().get("/healthz", "").status(), 200);
        wait_until_server_has_read_all(self.server);
        attempts_seen(self.server, "disconnected") - before
    }

    fn any_in_state(&self, ports: &HashSet<u16>, state: &str) -> bool {
        client_ports(self.gateway, &[state]).iter().any(|port| ports.contains(port))
    }
}
