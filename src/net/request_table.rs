//! Requests that await their final answer, and the attempts made for them.

use super::upstream::ForwardedRequest;
use crate::event::{Event, Outcome};
use crate::ids::{Millis, RequestId, ServerId};
use bytes::Bytes;
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// The one final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// A server's response body, unchanged.
    Served(Bytes),
    /// Rejected; a retry by the client is harmless.
    Rejected {
        /// When a retry makes sense, ms from now; 0: none is given.
        retry_after: Millis,
    },
    /// Failed; may have been executed.
    Failed,
    /// The deadline has passed; may have been executed.
    TimedOut,
}

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub number: u8,
}

/// A request that has its final answer, or no client any more, is complete; it stays in the table until its
/// last attempt has ended.
pub struct PendingRequest {
    /// Where the final answer goes; none once the request is complete.
    responder: Option<oneshot::Sender<Answer>>,
    /// What is sent to a server.
    pub forward: Rc<ForwardedRequest>,
    /// The client's connection.
    pub client: Weak<TcpStream>,
    /// When the client gives up; Unix time, ms.
    pub deadline: Millis,
    attempts: Vec<Attempt>,
}

struct Attempt {
    server: ServerId,
    started: Millis,
    in_flight: bool,
    /// The task that makes the attempt, while it may have to be aborted.
    task: Option<AbortHandle>,
}

impl PendingRequest {
    /// A request without attempts, and where its final answer arrives.
    pub fn new(
        forward: ForwardedRequest,
        client: Weak<TcpStream>,
        deadline: Millis,
    ) -> (Self, oneshot::Receiver<Answer>) {
        let (responder, answer) = oneshot::channel();
        let request = PendingRequest {
            responder: Some(responder),
            forward: Rc::new(forward),
            client,
            deadline,
            attempts: Vec::new(),
        };
        (request, answer)
    }

    /// Whether it needs no answer any more: it was answered, or its client has left.
    pub fn is_complete(&self) -> bool {
        self.responder.is_none()
    }

    /// Records an attempt that starts at `now`, and returns its number. None if there are too many to be
    /// numbered.
    pub fn start_attempt(&mut self, server: ServerId, now: Millis) -> Option<u8> {
        let number = u8::try_from(self.attempts.len()).ok();
        self.attempts.push(Attempt { server, started: now, in_flight: true, task: None });
        number
    }

    /// Keeps the task that makes an attempt, so that the end of the attempt aborts it.
    pub fn set_task(&mut self, attempt: u8, task: AbortHandle) {
        if let Some(attempt) = self.attempts.get_mut(usize::from(attempt)) {
            attempt.task = Some(task);
        }
    }

    fn is_finished(&self) -> bool {
        self.is_complete() && self.attempts.iter().all(|attempt| !attempt.in_flight)
    }
}

/// The requests by id.
#[derive(Default)]
pub struct RequestTable {
    requests: HashMap<RequestId, PendingRequest>,
    next_id: u32,
}

impl RequestTable {
    /// Adds a request under a free id. Ids wrap around.
    pub fn insert(&mut self, request: PendingRequest) -> RequestId {
        while self.requests.contains_key(&RequestId(self.next_id)) {
            self.next_id = self.next_id.wrapping_add(1);
        }
        let id = RequestId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        self.requests.insert(id, request);
        id
    }

    /// A request, also a complete one.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// The client's connection of a request that is not complete.
    pub fn waiting_client(&self, id: RequestId) -> Option<Weak<TcpStream>> {
        let request = self.requests.get(&id).filter(|request| !request.is_complete())?;
        Some(request.client.clone())
    }

    /// Requests that are not complete.
    pub fn incomplete(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.requests.iter().filter(|(_, request)| !request.is_complete()).map(|(id, _)| *id)
    }

    /// Gives a request its final answer, unless it is complete.
    pub fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(responder) = self.complete(id) {
            // A client that has just left needs no answer; the end of its connection is an event of its own.
            let _ = responder.send(answer);
        }
        self.remove_if_finished(id);
    }

    /// Completes a request. Returns where its answer goes, or none if it was complete before.
    pub fn complete(&mut self, id: RequestId) -> Option<oneshot::Sender<Answer>> {
        self.requests.get_mut(&id)?.responder.take()
    }

    /// Removes a request that is complete and has no attempt in flight.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(PendingRequest::is_finished) {
            self.requests.remove(&id);
        }
    }

    /// Whether an attempt has not ended.
    pub fn is_in_flight(&self, id: AttemptId) -> bool {
        let attempts = self.requests.get(&id.request).map(|request| &request.attempts);
        attempts.and_then(|all| all.get(usize::from(id.number))).is_some_and(|attempt| attempt.in_flight)
    }

    /// Lets go of an attempt's task, so that the end of the attempt does not abort it: the task itself
    /// reports that end.
    pub fn detach_task(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempt_mut(id) {
            attempt.task = None;
        }
    }

    /// Ends an attempt at `now` and aborts its task, which closes its connection. Returns the event for the
    /// policy, or none if the attempt had ended before.
    pub fn end_attempt(&mut self, id: AttemptId, outcome: Outcome, now: Millis) -> Option<Event> {
        let complete = self.requests.get(&id.request)?.is_complete();
        let attempt = self.attempt_mut(id).filter(|attempt| attempt.in_flight)?;
        attempt.in_flight = false;
        if let Some(task) = attempt.task.take() {
            task.abort();
        }
        let event = Event::AttemptEnded {
            id: id.request,
            attempt: id.number,
            server: attempt.server,
            outcome,
            complete,
            elapsed: now - attempt.started,
        };
        self.remove_if_finished(id.request);
        Some(event)
    }

    fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.requests.get_mut(&id.request)?.attempts.get_mut(usize::from(id.number))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/request_table.rs"]
mod tests;
