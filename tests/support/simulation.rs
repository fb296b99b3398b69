//! Building blocks of discrete-event simulations: a seeded random number generator, an event queue, a counter
//! service with limited capacity, and constructors of the events that a simulation sends to a gateway. Tests
//! and the capacity program include this file by path.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{Endpoint, EndpointUpdate, Event, Outcome};
use rate_limiting_gateway::ids::{CounterKey, Millis, RequestId, ServerId};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// A random number generator that produces the same numbers for the same seed.
pub struct SeededRng(Pcg64Mcg);

impl SeededRng {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        SeededRng(Pcg64Mcg::seed_from_u64(seed))
    }

    /// A seed for another generator.
    pub fn next_seed(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// A uniform random number in `0..1`.
    pub fn uniform(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A uniform random number in `min..max`.
    pub fn between(&mut self, min: f64, max: f64) -> f64 {
        min + (max - min) * self.uniform()
    }

    /// A uniform random index below `len`.
    pub fn index(&mut self, len: usize) -> usize {
        (self.uniform() * len as f64) as usize
    }

    /// Random time to the next event of a Poisson process with this rate, ms.
    pub fn interarrival(&mut self, events_per_second: f64) -> Millis {
        -1000.0 * (1.0 - self.uniform()).ln() / events_per_second
    }

    /// A random number from the exponential distribution with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }
}

/// Converts a time to whole microseconds, the resolution of [`EventQueue`].
pub fn micros(at: Millis) -> u64 {
    (at * 1000.0) as u64
}

/// Events ordered by time. Events of the same microsecond are ordered by `Ord`.
pub struct EventQueue<E>(BinaryHeap<Reverse<(u64, E)>>);

impl<E: Ord> EventQueue<E> {
    /// Creates an empty queue.
    #[allow(clippy::new_without_default)] // a `Default` would have no user
    pub fn new() -> Self {
        EventQueue(BinaryHeap::new())
    }

    /// Adds an event that happens at `at`, ms.
    pub fn schedule(&mut self, at: Millis, event: E) {
        self.0.push(Reverse((micros(at), event)));
    }

    /// Time of the next event in µs, or `None` if the queue is empty.
    pub fn next_micros(&self) -> Option<u64> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes the next event and returns it with its time in ms.
    pub fn pop(&mut self) -> Option<(Millis, E)> {
        self.0.pop().map(|Reverse((at, event))| (at as f64 / 1000.0, event))
    }
}

/// The result of a call that a [`CounterStub`] accepts.
pub struct AcceptedCall {
    /// Time at which the call leaves the queue and is executed, ms.
    pub starts_at: Millis,
    /// Total of the number after the call.
    pub total: f64,
}

/// A counter service with several partitions. Each partition executes one call at a time and rejects a call
/// if its queue is too long.
pub struct CounterStub {
    totals: HashMap<CounterKey, f64>,
    /// For each partition, the time at which it has executed all calls that it has accepted, ms.
    partition_free_at: Vec<Millis>,
    /// Calls per second that all partitions execute together; `None` means that there is no limit.
    calls_per_second: Option<f64>,
    /// Longest time that a call may wait in the queue, ms.
    max_queue_delay: Millis,
}

impl CounterStub {
    /// Creates a counter service with limited capacity. It rejects a call that would wait in the queue for
    /// more than `max_queue_delay` ms.
    pub fn new(partitions: usize, calls_per_second: Option<f64>, max_queue_delay: Millis) -> Self {
        let partition_free_at = vec![0.0; partitions];
        CounterStub { totals: HashMap::new(), partition_free_at, calls_per_second, max_queue_delay }
    }

    /// Creates a counter service that answers any number of calls without delay.
    pub fn unlimited() -> Self {
        CounterStub::new(1, None, Millis::INFINITY)
    }

    /// Adds to a number and returns its new total.
    pub fn add(&mut self, key: CounterKey, amount: f64) -> f64 {
        let total = self.totals.entry(key).or_default();
        *total += amount;
        *total
    }

    /// Executes a call that arrives at `now`. Returns `None` if the call is rejected.
    pub fn accept(&mut self, now: Millis, key: CounterKey, amount: f64) -> Option<AcceptedCall> {
        let partitions = self.partition_free_at.len();
        let free_at = &mut self.partition_free_at[(key.0 >> 7) as usize % partitions];
        let starts_at = free_at.max(now);
        if starts_at - now > self.max_queue_delay {
            return None;
        }
        if let Some(rate) = self.calls_per_second {
            *free_at = starts_at + 1000.0 * partitions as f64 / rate;
        }
        Some(AcceptedCall { starts_at, total: self.add(key, amount) })
    }
}

/// A ready server of weight 1.
pub fn ready_endpoint(server: u32) -> Endpoint {
    Endpoint { server: ServerId(server), weight: 1.0, ..Endpoint::default() }
}

/// Ready servers of weight 1, numbered from 1.
pub fn ready_endpoints(count: u32) -> Vec<Endpoint> {
    (1..=count).map(ready_endpoint).collect()
}

/// The event that replaces a gateway's endpoint list.
pub fn complete_list(entries: Vec<Endpoint>) -> Event {
    Event::EndpointsChanged { update: EndpointUpdate::Complete, entries }
}

/// The event that changes single entries of a gateway's endpoint list.
pub fn incremental_list(entries: Vec<Endpoint>) -> Event {
    Event::EndpointsChanged { update: EndpointUpdate::Incremental, entries }
}

/// The event of an attempt that has ended. The request is complete if the outcome is `Ok`.
pub fn attempt_ended(
    id: RequestId,
    attempt: u8,
    server: ServerId,
    outcome: Outcome,
    elapsed: Millis,
) -> Event {
    Event::AttemptEnded { id, attempt, server, outcome, complete: outcome == Outcome::Ok, elapsed }
}

/// The event of a counter call that the counter answered with a total.
pub fn counter_answered(key: CounterKey, elapsed: Millis, total: f64) -> Event {
    Event::CounterReplied { key, outcome: Outcome::Ok, elapsed, total }
}

/// The event of a counter call that failed and returned no total.
pub fn counter_failed(key: CounterKey, outcome: Outcome, elapsed: Millis) -> Event {
    Event::CounterReplied { key, outcome, elapsed, total: 0.0 }
}

/// The server of the first attempt that the actions start, or `None` if they start none.
pub fn forwarded_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Forward { server, .. } => Some(*server),
        _ => None,
    })
}
