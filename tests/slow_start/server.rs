//! A simulated server with its queue and a record of the requests that it received.

use rate_limiting_gateway::ids::Millis;
use std::collections::VecDeque;

/// Mean time that a request takes on one core of a warm server of size 1, in ms.
pub const MEAN_WORK: Millis = 80.0;
/// Number of requests that a server executes in parallel.
pub const CORES: usize = 2;
/// Number of requests, executing or waiting, at which a server rejects further ones.
const QUEUE_LENGTH: usize = 40;

/// A request that a starting server received after its start.
pub struct ReceivedRequest {
    pub at: Millis,
    /// Work of the request, as a multiple of [`MEAN_WORK`].
    pub work: f64,
    /// Whether the request's gateway had been notified of the server's start.
    pub gateway_notified: bool,
}

/// A simulated server.
pub struct SimulatedServer {
    /// Capacity relative to that of a server of size 1.
    pub size: f64,
    /// When each core has finished the requests assigned to it, in ms.
    core_free_at: [Millis; CORES],
    /// Completion times of the requests that the server holds, in ascending order.
    completion_times: VecDeque<Millis>,
    /// Requests received since the server's start, if it is a starting server.
    pub received: Vec<ReceivedRequest>,
}

impl SimulatedServer {
    /// An idle server of the given size.
    pub fn new(size: f64) -> Self {
        let core_free_at = [0.0; CORES];
        SimulatedServer { size, core_free_at, completion_times: VecDeque::new(), received: Vec::new() }
    }

    /// Restarts the server with an empty queue.
    pub fn restart(&mut self, now: Millis) {
        self.core_free_at = [now; CORES];
        self.completion_times.clear();
    }

    /// Adds a request to the queue and returns its completion time, or `None` if the queue is full. `work` is
    /// a multiple of [`MEAN_WORK`], and `speed` is 1 for a warm server of size 1.
    pub fn enqueue(&mut self, now: Millis, work: f64, speed: f64) -> Option<Millis> {
        while self.completion_times.front().is_some_and(|completed_at| *completed_at <= now) {
            self.completion_times.pop_front();
        }
        if self.completion_times.len() >= QUEUE_LENGTH {
            return None;
        }
        let core = if self.core_free_at[0] <= self.core_free_at[1] { 0 } else { 1 };
        let completed_at = self.core_free_at[core].max(now) + work * MEAN_WORK / speed;
        self.core_free_at[core] = completed_at;
        let index = self.completion_times.partition_point(|other| *other < completed_at);
        self.completion_times.insert(index, completed_at);
        Some(completed_at)
    }
}
