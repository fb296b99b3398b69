//! Correlation ids of the requests in flight.

use super::request_error::RequestError;
use std::cell::RefCell;
use std::collections::HashSet;

/// Correlation ids of the requests in flight.
///
/// An id that arrives again meanwhile is another client's: a server's response could reach the wrong one.
#[derive(Default)]
pub struct InFlightIds(RefCell<HashSet<Box<str>>>);

impl InFlightIds {
    /// Reserves an id until the guard is dropped; an error if a request with this id is in flight.
    pub fn reserve(&self, id: Box<str>) -> Result<InFlightIdGuard<'_>, RequestError> {
        if self.0.borrow_mut().insert(id.clone()) {
            Ok(InFlightIdGuard { ids: self, id })
        } else {
            Err(RequestError::CorrelationIdInFlight)
        }
    }
}

/// Releases its correlation id when dropped, however the request ends.
pub struct InFlightIdGuard<'a> {
    ids: &'a InFlightIds,
    id: Box<str>,
}

impl Drop for InFlightIdGuard<'_> {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}
