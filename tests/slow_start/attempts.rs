//! The attempts of all gateways' requests.

use rate_limiting_gateway::ids::{Millis, RequestId};
use std::collections::HashMap;

/// A request of one incarnation of a gateway.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestKey {
    pub gateway: usize,
    pub incarnation: u32,
    pub id: RequestId,
}

/// An attempt of a request.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    pub request: RequestKey,
    /// Its number at the gateway, from 0.
    pub attempt: u8,
}

/// An attempt in flight.
pub struct InFlightAttempt {
    pub key: AttemptKey,
    pub server: usize,
    pub sent_at: Millis,
}

/// The attempts of all requests, numbered in the order in which they began.
#[derive(Default)]
pub struct AttemptTable {
    last_number: u64,
    in_flight: HashMap<u64, InFlightAttempt>,
    numbers: HashMap<AttemptKey, u64>,
    /// Attempts that each request has had.
    counts: HashMap<RequestKey, u8>,
}

impl AttemptTable {
    /// Adds the next attempt of a request, and returns its number.
    pub fn add(&mut self, request: RequestKey, server: usize, sent_at: Millis) -> u64 {
        let count = self.counts.entry(request).or_default();
        let key = AttemptKey { request, attempt: *count };
        *count += 1;
        self.last_number += 1;
        self.in_flight.insert(self.last_number, InFlightAttempt { key, server, sent_at });
        self.numbers.insert(key, self.last_number);
        self.last_number
    }

    /// The number of an attempt that has begun.
    pub fn number(&self, key: AttemptKey) -> Option<u64> {
        self.numbers.get(&key).copied()
    }

    /// Ends an attempt; none if it has ended before.
    pub fn remove(&mut self, number: u64) -> Option<InFlightAttempt> {
        self.in_flight.remove(&number)
    }

    /// Numbers of the attempts in flight at some servers, in order.
    pub fn in_flight_at(&self, is_one: impl Fn(usize) -> bool) -> Vec<u64> {
        let at_servers = self.in_flight.iter().filter(|(_, attempt)| is_one(attempt.server));
        let mut numbers: Vec<u64> = at_servers.map(|(number, _)| *number).collect();
        numbers.sort_unstable();
        numbers
    }
}
