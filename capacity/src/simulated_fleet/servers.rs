//! The servers of a simulated fleet: which are up, how busy they are and how many attempts they got.

use super::event::ServerGroup;
use crate::simulation::SeededRng;
use rate_limiting_gateway::ids::Millis;

/// Work of a request on a server that is not busy, ms.
const SERVICE_TIME: std::ops::Range<Millis> = 20.0..60.0;
/// Requests that a server works on at once without slowing down.
const SLOTS: f64 = 8.0;
/// A connection to a server that is down fails after this, ms.
const CONNECT_TIMEOUT: Millis = 250.0;

struct SimulatedServer {
    up: bool,
    in_flight: f64,
    /// Attempts that were counted.
    attempts: u32,
}

/// How an attempt will go on, as far as it is known when it begins.
pub(super) struct StartedAttempt {
    /// The server was up.
    pub connected: bool,
    /// Time to its end, ms.
    pub elapsed: Millis,
}

/// How evenly attempts fell on the servers.
pub(super) struct LoadSpread {
    /// Attempts a server.
    pub mean: f64,
    /// Those of the server that got the most.
    pub max: f64,
    /// Standard deviation over all servers.
    pub deviation: f64,
    /// Servers that got none.
    pub idle: usize,
}

/// All servers of the fleet.
pub(super) struct SimulatedServers {
    servers: Vec<SimulatedServer>,
    zones: usize,
}

impl SimulatedServers {
    /// Servers that are up, spread over zones.
    pub fn new(count: usize, zones: usize) -> Self {
        let server = |_| SimulatedServer { up: true, in_flight: 0.0, attempts: 0 };
        SimulatedServers { servers: (0..count).map(server).collect(), zones }
    }

    /// Begins an attempt; `counted` tells whether it is in the figures.
    pub fn begin_attempt(&mut self, server: u32, counted: bool, rng: &mut SeededRng) -> StartedAttempt {
        let server = &mut self.servers[server as usize];
        let service_time = rng.between(SERVICE_TIME.start, SERVICE_TIME.end);
        server.attempts += u32::from(counted);
        if !server.up {
            return StartedAttempt { connected: false, elapsed: CONNECT_TIMEOUT };
        }
        server.in_flight += 1.0;
        StartedAttempt { connected: true, elapsed: service_time * (server.in_flight / SLOTS).max(1.0) }
    }

    /// Ends an attempt; whether it was served.
    pub fn end_attempt(&mut self, server: u32, connected: bool) -> bool {
        let server = &mut self.servers[server as usize];
        if connected {
            server.in_flight -= 1.0;
        }
        connected && server.up
    }

    /// Indices of a group's servers.
    pub fn members(&self, group: ServerGroup) -> Vec<usize> {
        (0..self.servers.len()).filter(|server| group.contains(*server, self.zones)).collect()
    }

    /// Stops or starts a group's servers.
    pub fn set_up(&mut self, group: ServerGroup, up: bool) {
        for server in self.members(group) {
            self.servers[server].up = up;
        }
    }

    /// How evenly the counted attempts fell on the servers.
    pub fn load_spread(&self) -> LoadSpread {
        let count = self.servers.len() as f64;
        let attempts = || self.servers.iter().map(|server| f64::from(server.attempts));
        let mean = attempts().sum::<f64>() / count;
        let variance = attempts().map(|attempts| (attempts - mean).powi(2)).sum::<f64>() / count;
        LoadSpread {
            mean,
            max: attempts().fold(0.0, f64::max),
            deviation: variance.sqrt(),
            idle: self.servers.iter().filter(|server| server.attempts == 0).count(),
        }
    }
}
