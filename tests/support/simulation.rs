//! Parts of a discrete-event simulation: a seeded random generator, an event queue, a counter service with
//! limited capacity, and the events that simulations feed to a gateway. Tests and the capacity program
//! include it by path.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{Endpoint, EndpointUpdate, Event, Outcome};
use rate_limiting_gateway::ids::{CounterKey, Millis, RequestId, ServerId};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// A random generator that yields the same numbers for the same seed.
pub struct SeededRng(Pcg64Mcg);

impl SeededRng {
    /// A generator from a seed.
    pub fn new(seed: u64) -> Self {
        SeededRng(Pcg64Mcg::seed_from_u64(seed))
    }

    /// A seed for another generator.
    pub fn next_seed(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// A number uniform in 0..1.
    pub fn uniform(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A number uniform in `min..max`.
    pub fn between(&mut self, min: f64, max: f64) -> f64 {
        min + (max - min) * self.uniform()
    }

    /// An index below `len`.
    pub fn index(&mut self, len: usize) -> usize {
        (self.uniform() * len as f64) as usize
    }

    /// Time to the next event of a Poisson process, ms.
    pub fn interarrival(&mut self, events_per_second: f64) -> Millis {
        -1000.0 * (1.0 - self.uniform()).ln() / events_per_second
    }

    /// An exponential variate with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }
}

/// Whole microseconds of a time; the resolution of [`EventQueue`].
pub fn micros(at: Millis) -> u64 {
    (at * 1000.0) as u64
}

/// Events by time; those of the same microsecond come in their own order.
pub struct EventQueue<E>(BinaryHeap<Reverse<(u64, E)>>);

impl<E: Ord> EventQueue<E> {
    /// An empty queue.
    #[allow(clippy::new_without_default)] // one way to make one is enough
    pub fn new() -> Self {
        EventQueue(BinaryHeap::new())
    }

    /// Adds an event that happens at `at`, ms.
    pub fn schedule(&mut self, at: Millis, event: E) {
        self.0.push(Reverse((micros(at), event)));
    }

    /// Time of the next event, µs.
    pub fn next_micros(&self) -> Option<u64> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes the next event, with its time in ms.
    pub fn pop(&mut self) -> Option<(Millis, E)> {
        self.0.pop().map(|Reverse((at, event))| (at as f64 / 1000.0, event))
    }
}

/// What a [`CounterStub`] does with a call that it accepts.
pub struct AcceptedCall {
    /// When work on it begins, ms.
    pub starts_at: Millis,
    /// The counter's total after it.
    pub total: f64,
}

/// A counter service whose partitions each execute one call at a time, and reject calls when the queue is too
/// long.
pub struct CounterStub {
    totals: HashMap<CounterKey, f64>,
    /// When each partition has finished the calls it has accepted, ms.
    partition_free_at: Vec<Millis>,
    /// Calls that all partitions together execute in a second; none: any number.
    calls_per_second: Option<f64>,
    /// Longest wait in the queue, ms.
    max_queue_delay: Millis,
}

impl CounterStub {
    /// A counter with limited capacity. A call that would wait longer than `max_queue_delay` ms is rejected.
    pub fn new(partitions: usize, calls_per_second: Option<f64>, max_queue_delay: Millis) -> Self {
        let partition_free_at = vec![0.0; partitions];
        CounterStub { totals: HashMap::new(), partition_free_at, calls_per_second, max_queue_delay }
    }

    /// A counter that answers any number of calls without delay.
    pub fn unlimited() -> Self {
        CounterStub::new(1, None, Millis::INFINITY)
    }

    /// Adds to a counter and returns its new total.
    pub fn add(&mut self, key: CounterKey, amount: f64) -> f64 {
        let total = self.totals.entry(key).or_default();
        *total += amount;
        *total
    }

    /// Takes a call at `now`; none if it is rejected.
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

/// The event of an attempt's end; it completes its request if it was served.
pub fn attempt_ended(
    id: RequestId,
    attempt: u8,
    server: ServerId,
    outcome: Outcome,
    elapsed: Millis,
) -> Event {
    Event::AttemptEnded { id, attempt, server, outcome, complete: outcome == Outcome::Ok, elapsed }
}

/// The event of a counter call that was answered with a total.
pub fn counter_answered(key: CounterKey, elapsed: Millis, total: f64) -> Event {
    Event::CounterReplied { key, outcome: Outcome::Ok, elapsed, total }
}

/// The event of a counter call that got no total.
pub fn counter_failed(key: CounterKey, outcome: Outcome, elapsed: Millis) -> Event {
    Event::CounterReplied { key, outcome, elapsed, total: 0.0 }
}

/// The server of the first attempt among actions.
pub fn forwarded_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Forward { server, .. } => Some(*server),
        _ => None,
    })
}
