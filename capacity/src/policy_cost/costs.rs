//! Processor time and counts of the events that a gateway has handled.

use cpu_time::ThreadTime;
use std::time::Duration;

/// Processor time and number of the events of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventCost {
    /// Processor time of all these events.
    pub time: Duration,
    /// Number of events.
    pub events: usize,
}

impl EventCost {
    /// Mean processor time of one event, µs.
    pub fn mean(&self) -> f64 {
        self.time.as_secs_f64() * 1e6 / self.events.max(1) as f64
    }

    /// Adds events that were handled since `started`. The processor time that reading the clock takes,
    /// `clock_cost`, is subtracted.
    pub(super) fn add(&mut self, started: ThreadTime, events: usize, clock_cost: Duration) {
        self.time += started.elapsed().saturating_sub(clock_cost);
        self.events += events;
    }
}

/// Processor time and counts of the traffic that one gateway has handled.
#[derive(Clone, Copy, Debug, Default)]
pub struct Costs {
    /// Arrivals of requests, including the start of their first attempts.
    pub request: EventCost,
    /// Ends of attempts that a server answered.
    pub served_attempt: EventCost,
    /// Ends of attempts that failed to connect, including the start of the retries.
    pub retry: EventCost,
    /// Counter replies.
    pub counter_reply: EventCost,
    /// Firings of the periodic timer.
    pub timer: EventCost,
    /// Number of attempts started.
    pub attempts: usize,
    /// Number of counter calls.
    pub counter_calls: usize,
    /// Number of bytes sent to and received from the counter.
    pub counter_bytes: usize,
}

impl Costs {
    /// Processor time of all events, divided by the number of requests, µs.
    pub fn total_per_request(&self) -> f64 {
        let all = [self.request, self.served_attempt, self.retry, self.counter_reply, self.timer];
        let seconds: f64 = all.iter().map(|cost| cost.time.as_secs_f64()).sum();
        seconds * 1e6 / self.request.events.max(1) as f64
    }
}

/// Measures the processor time that one reading of the processor clock takes.
pub(super) fn clock_cost() -> Duration {
    const READS: u32 = 2000;
    let started = ThreadTime::now();
    for _ in 0..READS {
        std::hint::black_box(ThreadTime::now().elapsed());
    }
    // Each iteration reads the clock twice, and a measurement includes one reading.
    started.elapsed() / READS / 2
}
