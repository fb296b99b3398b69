//! The attempts that all gateways of the simulation have made.

use rate_limiting_gateway::ids::{Millis, RequestId};
use std::collections::HashMap;

/// Identifies a request of one incarnation of a gateway. A restart begins a new incarnation.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestKey {
    pub gateway: usize,
    pub incarnation: u32,
    pub id: RequestId,
}

/// Identifies an attempt of a request.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    pub request: RequestKey,
    /// Index of the attempt among those of its request, from 0.
    pub attempt: u8,
}

/// An attempt in flight.
pub struct InFlightAttempt {
    pub key: AttemptKey,
    pub server: usize,
    pub sent_at: Millis,
}

/// The attempts of all requests. They are numbered in the order in which they began.
#[derive(Default)]
pub struct AttemptTable {
    last_number: u64,
    in_flight: HashMap<u64, InFlightAttempt>,
    numbers: HashMap<AttemptKey, u64>,
    /// Number of attempts that each request has had so far.
    counts: HashMap<RequestKey, u8>,
}

impl AttemptTable {
    /// Adds the next attempt of a request and returns the attempt's number.
    pub fn add(&mut self, request: RequestKey, server: usize, sent_at: Millis) -> u64 {
        let count = self.counts.entry(request).or_default();
        let key = AttemptKey { request, attempt: *count };
        *count += 1;
        self.last_number += 1;
        self.in_flight.insert(self.last_number, InFlightAttempt { key, server, sent_at });
        self.numbers.insert(key, self.last_number);
        self.last_number
    }

    /// The number of an attempt, if the attempt has begun.
    pub fn number(&self, key: AttemptKey) -> Option<u64> {
        self.numbers.get(&key).copied()
    }

    /// Removes and returns an attempt in flight; `None` if the attempt has already ended.
    pub fn remove(&mut self, number: u64) -> Option<InFlightAttempt> {
        self.in_flight.remove(&number)
    }

    /// The numbers of the attempts in flight to the servers that `is_selected` accepts, in ascending order.
    pub fn in_flight_at(&self, is_selected: impl Fn(usize) -> bool) -> Vec<u64> {
        let selected = self.in_flight.iter().filter(|(_, attempt)| is_selected(attempt.server));
        let mut numbers: Vec<u64> = selected.map(|(number, _)| *number).collect();
        numbers.sort_unstable();
        numbers
    }
}
