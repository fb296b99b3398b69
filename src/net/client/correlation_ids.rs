//! Ensures that no two requests in flight have the same correlation id, and that a request which must not be
//! executed twice is not forwarded again under its id.

use super::request_error::RequestError;
use crate::net::request_table::ForwardedFlag;
use std::cell::RefCell;
use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;

/// Number of ids of forwarded requests that are remembered. At 140 requests per second these are the ids of two
/// minutes.
const MAX_FORWARDED_IDS: usize = 16_384;

/// Correlation ids of the requests in flight, and of the latest requests that were forwarded and must not be
/// executed twice.
///
/// A request whose id is already in flight is answered with an error: the two requests may come from
/// different clients, and a server's response could then reach the wrong client. A client that has left may
/// send its request again under the same id while a server still executes the first one.
#[derive(Default)]
pub struct CorrelationIds {
    in_flight: RefCell<HashSet<Box<str>>>,
    forwarded: RefCell<ForwardedIds>,
}

impl CorrelationIds {
    /// Reserves the id of a request until the returned guard is dropped. `repeatable` says whether the request
    /// may be executed more than once.
    ///
    /// # Errors
    /// Returns an error if a request with this id is in flight, or if one that must not be executed twice has
    /// been forwarded.
    pub fn reserve(&self, id: Box<str>, repeatable: bool) -> Result<CorrelationIdGuard<'_>, RequestError> {
        if self.in_flight.borrow().contains(&id) {
            return Err(RequestError::CorrelationIdInFlight);
        }
        if !repeatable && self.forwarded.borrow().contains(&id) {
            return Err(RequestError::CorrelationIdForwarded);
        }
        self.in_flight.borrow_mut().insert(id.clone());
        Ok(CorrelationIdGuard { ids: self, id, repeatable, forwarded: ForwardedFlag::default() })
    }
}

/// Guard that releases its correlation id when dropped, no matter how the request ends. If the request was
/// forwarded and must not be executed twice, the id is remembered.
pub struct CorrelationIdGuard<'a> {
    ids: &'a CorrelationIds,
    id: Box<str>,
    repeatable: bool,
    forwarded: ForwardedFlag,
}

impl CorrelationIdGuard<'_> {
    /// The flag that is set when the request is forwarded.
    pub fn forwarded(&self) -> &ForwardedFlag {
        &self.forwarded
    }
}

impl Drop for CorrelationIdGuard<'_> {
    fn drop(&mut self) {
        self.ids.in_flight.borrow_mut().remove(&self.id);
        if self.forwarded.is_set() && !self.repeatable {
            self.ids.forwarded.borrow_mut().insert(&self.id);
        }
    }
}

/// The hashes of the latest ids. A collision of two ids, which is not expected to happen, fails a request.
#[derive(Default)]
struct ForwardedIds {
    hasher: RandomState,
    hashes: HashSet<u64>,
    /// The hashes, oldest first.
    order: VecDeque<u64>,
}

impl ForwardedIds {
    fn contains(&self, id: &str) -> bool {
        self.hashes.contains(&self.hasher.hash_one(id))
    }

    fn insert(&mut self, id: &str) {
        let hash = self.hasher.hash_one(id);
        if !self.hashes.insert(hash) {
            return;
        }
        self.order.push_back(hash);
        if self.order.len() > MAX_FORWARDED_IDS {
            if let Some(oldest) = self.order.pop_front() {
                self.hashes.remove(&oldest);
            }
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/correlation_ids.rs"]
mod tests;
