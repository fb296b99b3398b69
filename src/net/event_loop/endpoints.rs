//! The part of the event loop that applies endpoint lists and knows which servers accept requests.

use super::EventLoop;
use crate::event::{EndpointUpdate, Event};
use crate::ids::ServerId;
use crate::net::discovery::EndpointList;
use std::rc::Rc;

impl EventLoop {
    /// Applies an endpoint list from discovery. Returns false if an invalid entry was ignored, because the
    /// change that the entry describes is then lost.
    pub fn endpoints_changed(self: &Rc<Self>, list: &EndpointList<'_>) -> bool {
        let update = if list.complete { EndpointUpdate::Complete } else { EndpointUpdate::Incremental };
        let all_decoded = self.update_endpoints(list, update);
        self.cached_list.confirm();
        all_decoded
    }

    /// Whether new requests may be sent to a server.
    pub fn accepts_requests(&self, server: ServerId) -> bool {
        self.endpoints.borrow().is_ready(server)
    }

    pub(super) fn update_endpoints(self: &Rc<Self>, list: &EndpointList<'_>, update: EndpointUpdate) -> bool {
        let decoded = self.endpoints.borrow_mut().apply(list, update);
        self.pool.retain_servers(|server| self.accepts_requests(server));
        self.dispatch(Event::EndpointsChanged { update, entries: decoded.endpoints });
        decoded.all_decoded
    }
}
