//! What came of a simulation: how near starting servers were to an overload, and what they got.

use crate::server::{ReceivedRequest, SimulatedServer};
use crate::world::{World, START};
use rate_limiting_gateway::ids::Millis;

/// What came of a simulation.
#[derive(Clone, Copy, Default, Debug)]
pub struct SlowStartOutcome {
    /// The worst window of a starting server, in requests and in work, beside what overloads it.
    pub worst_load: f64,
    pub worst_work: f64,
    /// What starting servers got, as a share of what they could do at the time.
    pub share: f64,
    /// Share of all requests that were served within their latency objective.
    pub served: f64,
}

/// Requests of mean work that a server can do in a millisecond, at a time.
pub type CapacityAt<'a> = &'a dyn Fn(Millis) -> f64;

/// What came to a server within a window.
#[derive(Default)]
struct WindowLoad {
    requests: f64,
    work: f64,
    /// Requests of gateways that had been notified of the start.
    from_notified: f64,
}

impl WindowLoad {
    fn add(&mut self, request: &ReceivedRequest) {
        self.requests += 1.0;
        self.work += request.work;
        self.from_notified += if request.gateway_notified { 1.0 } else { 0.0 };
    }

    fn remove(&mut self, request: &ReceivedRequest) {
        self.requests -= 1.0;
        self.work -= request.work;
        self.from_notified -= if request.gateway_notified { 1.0 } else { 0.0 };
    }

    /// Most came from gateways that could know of the start.
    fn is_mostly_notified(&self) -> bool {
        self.from_notified * 3.0 > self.requests * 2.0
    }
}

impl SlowStartOutcome {
    /// Adds the windows of a starting server that end with each request it got.
    pub fn add_windows(&mut self, world: &World, server: &SimulatedServer, capacity: CapacityAt) {
        let mut load = WindowLoad::default();
        let mut first = 0;
        for (index, request) in server.received.iter().enumerate() {
            load.add(request);
            while server.received[first].at <= request.at - world.overload_window {
                load.remove(&server.received[first]);
                first += 1;
            }
            debug_assert!(first <= index, "a window holds the request that it ends with");
            let limit = overload_limit(world, request.at, capacity);
            if load.is_mostly_notified() {
                self.worst_load = self.worst_load.max(load.requests / limit);
                self.worst_work = self.worst_work.max(load.work / limit);
            }
        }
    }
}

/// The requests that overload a server within the window before `at`: N + 2 √N + 2, N being what the settings
/// allow it. Before its start it counts with the capacity that it has at its start.
fn overload_limit(world: &World, at: Millis, capacity: CapacityAt) -> f64 {
    let window = world.overload_window;
    let from = (at - window).max(START);
    let mean_capacity = (capacity(from) + capacity(at)) / 2.0;
    let allowed =
        world.overload_factor * ((at - from) * mean_capacity + (window - (at - from)) * capacity(START));
    allowed + 2.0 * allowed.sqrt() + 2.0
}
