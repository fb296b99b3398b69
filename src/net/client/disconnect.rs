//! Detects clients that disconnect before they have received their response.

use super::connection::{Connection, Phase};
use crate::ids::RequestId;
use crate::net::event_loop::EventLoop;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use tokio::io::Interest;

/// Completes once the client has disconnected (closed the connection, closed its sending side or reset the
/// connection) and one of its requests is being processed. The client may disconnect before or after the
/// processing starts.
///
/// The HTTP parser notices a disconnect only if no unread bytes follow the request; the kernel reports the
/// disconnect in any case. The caller must poll this future in the same task as the HTTP connection, and
/// after the HTTP connection: a request starts or stops being processed only while the HTTP connection is
/// polled, and nothing else wakes this future when that happens. The future is cancel safe.
pub async fn disconnected_while_processing(connection: &Connection) {
    // The socket becomes ready for this interest when the client disconnects. Urgent data has the same effect
    // and is treated as a disconnect.
    if connection.stream().ready(Interest::PRIORITY).await.is_err() {
        // The runtime is shutting down and will drop this connection.
        std::future::pending().await
    }
    let is_processing = || connection.phase() == Phase::Processing;
    poll_fn(|_| if is_processing() { Poll::Ready(()) } else { Poll::Pending }).await
}

/// Guard of a submitted request. When dropped, it reports to the event loop that the client has disconnected,
/// unless [`Self::disarm`] was called because the request has been answered.
///
/// When the client disconnects, the connection's task ends and drops this guard. Without the report, the
/// event loop would still forward or retry a request whose client no longer waits.
pub struct DisconnectGuard<'a> {
    event_loop: &'a Rc<EventLoop>,
    id: RequestId,
    answered: bool,
}

impl<'a> DisconnectGuard<'a> {
    /// Creates the guard for a request that has just been submitted to the event loop.
    pub fn new(event_loop: &'a Rc<EventLoop>, id: RequestId) -> Self {
        DisconnectGuard { event_loop, id, answered: false }
    }

    /// Drops the guard without a report, because the request has been answered.
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
