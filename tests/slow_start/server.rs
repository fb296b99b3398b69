//! A simulated server: its queue, and what came to it since it started.

use rate_limiting_gateway::ids::Millis;
use std::collections::VecDeque;

/// Mean work of a request on a warm server of size 1, ms.
pub const MEAN_WORK: Millis = 80.0;
/// Requests that a server works on side by side.
pub const CORES: usize = 2;
/// Requests that a server holds before it rejects further ones.
const QUEUE_LENGTH: usize = 40;

/// A request that came to a server since its start.
pub struct ReceivedRequest {
    pub at: Millis,
    /// Its work as a multiple of the mean.
    pub work: f64,
    /// Its gateway had been notified of the start.
    pub gateway_notified: bool,
}

/// A server with its queue.
pub struct SimulatedServer {
    /// Capacity beside the others'.
    pub size: f64,
    core_free_at: [Millis; CORES],
    /// When each request that it holds will be done, in order.
    completions: VecDeque<Millis>,
    pub received: Vec<ReceivedRequest>,
}

impl SimulatedServer {
    /// An idle server.
    pub fn new(size: f64) -> Self {
        let core_free_at = [0.0; CORES];
        SimulatedServer { size, core_free_at, completions: VecDeque::new(), received: Vec::new() }
    }

    /// Starts anew, with nothing in its queue.
    pub fn restart(&mut self, now: Millis) {
        self.core_free_at = [now; CORES];
        self.completions.clear();
    }

    /// Takes a request whose work is a multiple of the mean, at a speed of 1 for a warm server of size 1.
    /// Returns when it will be done; none if the queue is full.
    pub fn enqueue(&mut self, now: Millis, work: f64, speed: f64) -> Option<Millis> {
        while self.completions.front().is_some_and(|done| *done <= now) {
            self.completions.pop_front();
        }
        if self.completions.len() >= QUEUE_LENGTH {
            return None;
        }
        let core = if self.core_free_at[0] <= self.core_free_at[1] { 0 } else { 1 };
        let done = self.core_free_at[core].max(now) + work * MEAN_WORK / speed;
        self.core_free_at[core] = done;
        let index = self.completions.partition_point(|other| *other < done);
        self.completions.insert(index, done);
        Some(done)
    }
}
