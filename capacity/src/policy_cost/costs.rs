//! Processor time and counts of what a gateway handled.

use cpu_time::ThreadTime;
use std::time::Duration;

/// Processor time and number of the events of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventCost {
    /// Processor time of all of them.
    pub time: Duration,
    /// How many there were.
    pub events: usize,
}

impl EventCost {
    /// Mean time of one event, µs.
    pub fn mean(&self) -> f64 {
        self.time.as_secs_f64() * 1e6 / self.events.max(1) as f64
    }

    /// Adds events handled since a reading of the clock, which itself takes `clock_cost`.
    pub(super) fn add(&mut self, since: ThreadTime, events: usize, clock_cost: Duration) {
        self.time += since.elapsed().saturating_sub(clock_cost);
        self.events += events;
    }
}

/// What a stretch of traffic cost one gateway.
#[derive(Clone, Copy, Debug, Default)]
pub struct Costs {
    /// Requests, with their first attempts.
    pub request: EventCost,
    /// Ends of attempts that were served.
    pub served_attempt: EventCost,
    /// Ends of attempts that could not connect, with the retries.
    pub retry: EventCost,
    /// Replies of the counter.
    pub counter_reply: EventCost,
    /// The periodic timer.
    pub timer: EventCost,
    /// Attempts made.
    pub attempts: usize,
    /// Calls to the counter.
    pub calls: usize,
    /// Bytes to and from the counter.
    pub bytes: usize,
}

impl Costs {
    /// Processor time of everything for each request, µs.
    pub fn total_per_request(&self) -> f64 {
        let all = [self.request, self.served_attempt, self.retry, self.counter_reply, self.timer];
        let seconds: f64 = all.iter().map(|cost| cost.time.as_secs_f64()).sum();
        seconds * 1e6 / self.request.events.max(1) as f64
    }
}

/// What a reading of the processor clock takes.
pub(super) fn clock_cost() -> Duration {
    const READS: u32 = 2000;
    let since = ThreadTime::now();
    for _ in 0..READS {
        std::hint::black_box(ThreadTime::now().elapsed());
    }
    // Each iteration reads the clock twice, and a measurement includes one reading.
    since.elapsed() / READS / 2
}
