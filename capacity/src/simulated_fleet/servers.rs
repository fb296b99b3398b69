//! The servers of a simulated fleet: whether each is running, its attempts in flight and its counted
//! attempts.

use super::event::ServerGroup;
use crate::simulation::SeededRng;
use rate_limiting_gateway::ids::Millis;

/// Range of the response time of a server that is not overloaded, ms.
const SERVICE_TIME: std::ops::Range<Millis> = 20.0..60.0;
/// Number of requests that a server can process at the same time without slowing down.
const SERVER_CONCURRENCY: f64 = 8.0;
/// Time after which connecting to a server that is not running fails, ms.
const CONNECT_TIMEOUT: Millis = 250.0;

struct SimulatedServer {
    running: bool,
    in_flight: f64,
    /// Number of counted attempts, those after the warm-up.
    attempts: u32,
}

/// The part of an attempt's result that is determined when the attempt begins.
pub(super) struct StartedAttempt {
    /// Whether the server was running.
    pub connected: bool,
    /// Duration of the attempt, ms.
    pub elapsed: Millis,
}

/// How evenly the counted attempts were distributed over the servers.
pub(super) struct LoadDistribution {
    /// Mean number of attempts per server.
    pub mean: f64,
    /// Largest number of attempts of a server.
    pub max: f64,
    /// Standard deviation of the number of attempts per server.
    pub deviation: f64,
    /// Number of servers without any attempt.
    pub idle: usize,
}

/// All servers of the fleet.
pub(super) struct SimulatedServers {
    servers: Vec<SimulatedServer>,
    zones: usize,
}

impl SimulatedServers {
    /// Creates running servers, distributed evenly over the zones.
    pub fn new(count: usize, zones: usize) -> Self {
        let server = |_| SimulatedServer { running: true, in_flight: 0.0, attempts: 0 };
        SimulatedServers { servers: (0..count).map(server).collect(), zones }
    }

    /// Begins an attempt. `counted` states whether the attempt is included in the figures.
    pub fn begin_attempt(&mut self, server: u32, counted: bool, rng: &mut SeededRng) -> StartedAttempt {
        let server = &mut self.servers[server as usize];
        let service_time = rng.between(SERVICE_TIME.start, SERVICE_TIME.end);
        server.attempts += u32::from(counted);
        if !server.running {
            return StartedAttempt { connected: false, elapsed: CONNECT_TIMEOUT };
        }
        server.in_flight += 1.0;
        StartedAttempt {
            connected: true,
            elapsed: service_time * (server.in_flight / SERVER_CONCURRENCY).max(1.0),
        }
    }

    /// Ends an attempt, and returns whether the server answered it.
    pub fn end_attempt(&mut self, server: u32, connected: bool) -> bool {
        let server = &mut self.servers[server as usize];
        if connected {
            server.in_flight -= 1.0;
        }
        connected && server.running
    }

    /// Indices of the servers in a group.
    pub fn members(&self, group: ServerGroup) -> Vec<usize> {
        (0..self.servers.len()).filter(|server| group.contains(*server, self.zones)).collect()
    }

    /// Starts or stops the servers of a group.
    pub fn set_running(&mut self, group: ServerGroup, running: bool) {
        for server in self.members(group) {
            self.servers[server].running = running;
        }
    }

    /// Computes how evenly the counted attempts were distributed over the servers.
    pub fn load_distribution(&self) -> LoadDistribution {
        let count = self.servers.len() as f64;
        let attempts = || self.servers.iter().map(|server| f64::from(server.attempts));
        let mean = attempts().sum::<f64>() / count;
        let variance = attempts().map(|attempts| (attempts - mean).powi(2)).sum::<f64>() / count;
        LoadDistribution {
            mean,
            max: attempts().fold(0.0, f64::max),
            deviation: variance.sqrt(),
            idle: self.servers.iter().filter(|server| server.attempts == 0).count(),
        }
    }
}
