//! Ensures that no two requests in flight have the same correlation id.

use super::request_error::RequestError;
use std::cell::RefCell;
use std::collections::HashSet;

/// Correlation ids of the requests in flight.
///
/// A request whose id is already in flight is answered with an error: the two requests may come from
/// different clients, and a server's response could then reach the wrong client.
#[derive(Default)]
pub struct InFlightIds(RefCell<HashSet<Box<str>>>);

impl InFlightIds {
    /// Reserves an id until the returned guard is dropped. Fails if a request with this id is in flight.
    pub fn reserve(&self, id: Box<str>) -> Result<InFlightIdGuard<'_>, RequestError> {
        if self.0.borrow_mut().insert(id.clone()) {
            Ok(InFlightIdGuard { ids: self, id })
        } else {
            Err(RequestError::CorrelationIdInFlight)
        }
    }
}

/// Guard that releases its correlation id when dropped, no matter how the request ends.
pub struct InFlightIdGuard<'a> {
    ids: &'a InFlightIds,
    id: Box<str>,
}

impl Drop for InFlightIdGuard<'_> {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}
