//! The results of a simulation: how close starting servers came to an overload, and how much of their
//! capacity was used.

use crate::server::{ReceivedRequest, SimulatedServer};
use crate::world::{World, START};
use rate_limiting_gateway::ids::Millis;

/// The results of a simulation.
#[derive(Clone, Copy, Default, Debug)]
pub struct SlowStartReport {
    /// Highest ratio of a starting server's requests in a window to the overload limit.
    pub max_request_ratio: f64,
    /// Highest ratio of a starting server's work in a window, in multiples of the mean work of a request, to
    /// the overload limit.
    pub max_work_ratio: f64,
    /// Requests that starting servers received, as a share of those that they could complete in that time.
    pub utilization: f64,
    /// Share of all requests that were served in time.
    pub served_fraction: f64,
}

/// Returns how many requests of mean work a server can complete per millisecond at a given time.
pub type CapacityAt<'a> = &'a dyn Fn(Millis) -> f64;

/// The requests that a server received within a window.
#[derive(Default)]
struct WindowLoad {
    requests: f64,
    /// Sum of their work, in multiples of the mean work of a request.
    work: f64,
    /// Number of requests from gateways that had been notified of the server's start.
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

    /// Whether more than two thirds of the requests came from gateways that had been notified of the start.
    fn is_mostly_notified(&self) -> bool {
        self.from_notified * 3.0 > self.requests * 2.0
    }
}

impl SlowStartReport {
    /// Evaluates a starting server over the windows that end with each request that it received. Only windows
    /// count in which most requests came from gateways that had been notified of the start.
    pub fn add_windows(&mut self, world: &World, server: &SimulatedServer, capacity: CapacityAt) {
        let mut load = WindowLoad::default();
        let mut first = 0;
        for (index, request) in server.received.iter().enumerate() {
            load.add(request);
            while server.received[first].at <= request.at - world.overload_window {
                load.remove(&server.received[first]);
                first += 1;
            }
            debug_assert!(first <= index, "the window does not contain the request that it ends with");
            let limit = overload_limit(world, request.at, capacity);
            if load.is_mostly_notified() {
                self.max_request_ratio = self.max_request_ratio.max(load.requests / limit);
                self.max_work_ratio = self.max_work_ratio.max(load.work / limit);
            }
        }
    }
}

/// The number of requests above which a server is overloaded in the window that ends at `at`: N + 2 √N + 2,
/// where N is the overload factor times the requests of mean work that the server can complete in the window.
/// For the part of the window before the server's start, the capacity at the start is used.
fn overload_limit(world: &World, at: Millis, capacity: CapacityAt) -> f64 {
    let window = world.overload_window;
    let from = (at - window).max(START);
    let mean_capacity = (capacity(from) + capacity(at)) / 2.0;
    let allowed =
        world.overload_factor * ((at - from) * mean_capacity + (window - (at - from)) * capacity(START));
    allowed + 2.0 * allowed.sqrt() + 2.0
}
