//! Detects clients that disconnect before they have their response.

use super::connection::{Connection, Phase};
use crate::ids::RequestId;
use crate::net::event_loop::EventLoop;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use tokio::io::Interest;

/// Waits until the client has disconnected (closed, closed its sending side or reset) while one of its
/// requests is being processed.
///
/// The HTTP parser notices this only where nothing is unread behind the request; the kernel reports it
/// whatever is unread. To be polled beside the connection and after it, as only that poll begins or ends a
/// request: nothing else wakes this. Cancel safe.
pub async fn disconnected_while_processing(connection: &Connection) {
    // Without urgent data this interest becomes ready by the peer's close only.
    if connection.stream().ready(Interest::PRIORITY).await.is_err() {
        // The runtime is shutting down, and the connection with it.
        std::future::pending().await
    }
    let is_processing = || connection.phase() == Phase::Processing;
    poll_fn(|_| if is_processing() { Poll::Ready(()) } else { Poll::Pending }).await
}

/// Reports a disconnected client to the event loop, unless its request was answered before the guard is
/// dropped.
///
/// The connection's task is dropped when the client disconnects, and this guard with it. Without the report
/// the request would be forwarded or retried for nobody.
pub struct DisconnectGuard<'a> {
    event_loop: &'a Rc<EventLoop>,
    id: RequestId,
    answered: bool,
}

impl<'a> DisconnectGuard<'a> {
    /// Guards a request that has just been handed to the event loop.
    pub fn new(event_loop: &'a Rc<EventLoop>, id: RequestId) -> Self {
        DisconnectGuard { event_loop, id, answered: false }
    }

    /// The request has its answer: there is nothing left to report.
    pub fn disarm(mut self) {
        self.answered = true;
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.event_loop.client_disconnected(self.id);
        }
    }
}
