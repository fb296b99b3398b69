//! Correlation ids of the requests in flight.

use super::request_error::RequestError;
use std::cell::RefCell;
use std::collections::HashSet;

/// Correlation ids of the requests in flight.
///
/// A second request with an id in flight is an error: it comes from another client, and a server's response
/// could reach the wrong one of the two.
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
