//! The part of the event loop that registers requests and gives each of them one final answer.

use super::{Answer, EventLoop};
use crate::event::{Event, Request};
use crate::ids::{Millis, RequestId};
use crate::net::request_table::{ForwardedFlag, PendingRequest};
use crate::net::timer_queue::TimerKind;
use crate::net::upstream::ForwardedRequest;
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// Time, ms, between the policy's deadline for a request and the client's later deadline. The event
/// loop calculates the client's deadline from the time at which it receives the request, but the client waits
/// from the time at which it sends the request, and the response takes time to reach the client.
pub(super) const RESPONSE_MARGIN: Millis = 20.0;
/// The event loop answers a request as timed out this long, ms, before the client's deadline, if the request
/// has no answer yet. The time is shorter than [`RESPONSE_MARGIN`], so that the policy can answer first.
const DEADLINE_MARGIN: Millis = 8.0;

/// A client request that has been read completely.
pub struct IncomingRequest {
    /// The request for the policy. The event loop assigns its id and shortens its `time_left`.
    pub request: Request,
    /// The request that is sent to a server.
    pub forwarded_request: ForwardedRequest,
    /// The client's connection. The reference is weak, so that the connection closes as soon as the task that
    /// serves it ends.
    pub client: Weak<TcpStream>,
    /// Set when the first byte of the request is about to be written to a server.
    pub forwarded: ForwardedFlag,
}

impl EventLoop {
    /// Registers a request and passes it to the policy. Returns the request's new id and the channel for its
    /// answer. Exactly one answer is sent on the channel, unless the client disconnects first.
    pub fn submit(self: &Rc<Self>, incoming: IncomingRequest) -> (RequestId, oneshot::Receiver<Answer>) {
        let IncomingRequest { mut request, forwarded_request, client, forwarded } = incoming;
        let deadline = self.now() + request.time_left;
        let class = self.settings.classes.get(request.class.0);
        let repeat_window = class.and_then(|class| class.idempotency.repeat_window());
        let (pending, answer) =
            PendingRequest::new(forwarded_request, client, forwarded, deadline, repeat_window);
        let id = self.requests.borrow_mut().insert(pending);
        self.timers.clean_up(|kind| self.timer_applies(kind));
        self.timers.arm(deadline - DEADLINE_MARGIN, TimerKind::Deadline(id));
        request.id = id;
        request.time_left = (request.time_left - RESPONSE_MARGIN).max(1.0);
        self.dispatch(Event::Request(request));
        (id, answer)
    }

    pub(super) fn answer(&self, id: RequestId, answer: Answer) {
        self.requests.borrow_mut().answer(id, answer);
    }

    /// Handles the disconnect of a request's client. Does nothing if the request is already complete.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        let responder = self.requests.borrow_mut().complete(id);
        if let Some(responder) = responder {
            // The responder is dropped before the policy handles the disconnect, so that the task of the
            // client's connection, which closes the connection, is woken before any task that the policy's
            // actions start or wake.
            drop(responder);
            self.cancel_request(id);
        }
    }

    /// Makes the policy stop its work on a request, by reporting that the client has disconnected. This is
    /// also used for a request that was answered as timed out.
    fn cancel_request(self: &Rc<Self>, id: RequestId) {
        self.dispatch(Event::ClientDisconnected(id));
        self.requests.borrow_mut().remove_if_finished(id);
    }

    /// Answers a request as timed out if it has no answer yet. Called shortly before the request's deadline
    /// and at the end of a shutdown. Without this, the client of a request that the policy leaves unanswered
    /// would wait until the deadline and get no response.
    pub(super) fn time_out_request(self: &Rc<Self>, id: RequestId) {
        let responder = self.requests.borrow_mut().complete(id);
        let Some(responder) = responder else { return };
        // Sending fails only if the client has just disconnected, and then no answer is needed.
        let _ = responder.send(Answer::TimedOut);
        self.cancel_request(id);
    }

    /// Answers all requests that have no answer yet as timed out, at the end of a shutdown.
    pub fn time_out_all_requests(self: &Rc<Self>) {
        let incomplete: Vec<RequestId> = self.requests.borrow().incomplete_ids().collect();
        for id in incomplete {
            self.time_out_request(id);
        }
    }
}
