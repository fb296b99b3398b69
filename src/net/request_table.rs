//! The requests that have no final answer yet or have attempts in flight.

use super::upstream::ForwardedRequest;
use crate::event::{Event, Outcome};
use crate::ids::{Millis, RequestId, ServerId};
use bytes::Bytes;
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// The final answer to a request. Each request gets at most one.
#[derive(Debug)]
pub enum Answer {
    /// A server's response body, unchanged.
    Served(Bytes),
    /// The request was rejected. The client may safely retry it.
    Rejected {
        /// Time, ms, after which the client should retry; 0 means that the response states no
        /// time.
        retry_after: Millis,
    },
    /// The request failed. A server may have executed it.
    Failed,
    /// The request had no answer shortly before its deadline or at the end of a shutdown. A server may have
    /// executed it.
    TimedOut,
}

/// Whether any byte of a request may have been written to a server. The request table and the task that serves
/// the client share the flag, because the request may leave the table first.
#[derive(Clone, Debug, Default)]
pub struct ForwardedFlag(Rc<Cell<bool>>);

impl ForwardedFlag {
    /// Records that a byte of the request is about to be written.
    pub fn set(&self) {
        self.0.set(true);
    }

    /// Records that no server has executed the request.
    pub fn clear(&self) {
        self.0.set(false);
    }

    /// Whether the flag is set.
    pub fn is_set(&self) -> bool {
        self.0.get()
    }
}

/// Identifies one attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// ID of the request.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub number: u8,
}

/// A request in the table. It is complete when it has its final answer or its client has disconnected. A
/// complete request stays in the table until its last attempt has ended.
pub struct PendingRequest {
    /// The channel for the final answer; `None` once the request is complete.
    responder: Option<oneshot::Sender<Answer>>,
    /// The request that is sent to a server.
    pub forwarded_request: Rc<ForwardedRequest>,
    /// The client's connection. The reference cannot be upgraded once the connection is closed.
    pub client: Weak<TcpStream>,
    forwarded: ForwardedFlag,
    /// The Unix time, ms, at which the client stops waiting.
    pub deadline: Millis,
    /// Time, ms, from the start of the first attempt that a server may have executed, after which no further
    /// attempt may begin. `None` if there is no such limit.
    repeat_window: Option<Millis>,
    attempts: Vec<Attempt>,
}

struct Attempt {
    server: ServerId,
    started_at: Millis,
    in_flight: bool,
    /// Whether a server may have executed the attempt. True until the outcome shows that none has.
    may_have_executed: bool,
    /// The task that makes the attempt. `None` if no task has been started, or if the end of the attempt must
    /// not abort the task.
    task: Option<AbortHandle>,
}

impl PendingRequest {
    /// Creates a request without attempts. Also returns the channel on which its final answer arrives.
    /// `repeat_window` is the time for which the servers remember the request's idempotency key, ms, or `None`
    /// if the time of a further attempt is not limited.
    pub fn new(
        forwarded_request: ForwardedRequest,
        client: Weak<TcpStream>,
        forwarded: ForwardedFlag,
        deadline: Millis,
        repeat_window: Option<Millis>,
    ) -> (Self, oneshot::Receiver<Answer>) {
        let (responder, answer) = oneshot::channel();
        let request = PendingRequest {
            responder: Some(responder),
            forwarded_request: Rc::new(forwarded_request),
            client,
            forwarded,
            deadline,
            repeat_window,
            attempts: Vec::new(),
        };
        (request, answer)
    }

    /// Whether the request no longer needs an answer: it was answered, or its client has disconnected.
    pub fn is_complete(&self) -> bool {
        self.responder.is_none()
    }

    /// Records an attempt that starts at `now`, and returns its number. If the request already has 256
    /// attempts, the new attempt is still recorded, but `None` is returned because a `u8` cannot hold its
    /// number.
    pub fn start_attempt(&mut self, server: ServerId, now: Millis) -> Option<u8> {
        let number = u8::try_from(self.attempts.len()).ok();
        self.attempts.push(Attempt {
            server,
            started_at: now,
            in_flight: true,
            may_have_executed: true,
            task: None,
        });
        number
    }

    /// Stores the task that makes an attempt, so that the task is aborted when the attempt ends.
    pub fn set_task(&mut self, attempt: u8, task: AbortHandle) {
        if let Some(attempt) = self.attempts.get_mut(usize::from(attempt)) {
            attempt.task = Some(task);
        }
    }

    /// Whether an attempt may begin at `now`, as far as the repeat window is concerned. The window begins with
    /// the first earlier attempt that a server may have executed.
    fn is_in_repeat_window(&self, attempt: u8, now: Millis) -> bool {
        let Some(window) = self.repeat_window else { return true };
        let mut earlier_attempts = self.attempts.iter().take(usize::from(attempt));
        let first = earlier_attempts.find(|earlier| earlier.may_have_executed);
        first.is_none_or(|first| now - first.started_at < window)
    }

    /// Whether the request can be removed from the table.
    fn is_finished(&self) -> bool {
        self.is_complete() && self.attempts.iter().all(|attempt| !attempt.in_flight)
    }
}

/// The requests that have no final answer yet or have attempts in flight, by their ids.
#[derive(Default)]
pub struct RequestTable {
    requests: HashMap<RequestId, PendingRequest>,
    next_id: u32,
}

impl RequestTable {
    /// Adds a request under the next unused id, and returns the id. After `u32::MAX` the ids continue at 0.
    pub fn insert(&mut self, request: PendingRequest) -> RequestId {
        while self.requests.contains_key(&RequestId(self.next_id)) {
            self.next_id = self.next_id.wrapping_add(1);
        }
        let id = RequestId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        self.requests.insert(id, request);
        id
    }

    /// Returns a request, whether or not it is complete.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// Returns the connection of a request's client, or `None` if the request is complete or unknown.
    pub fn waiting_client(&self, id: RequestId) -> Option<Weak<TcpStream>> {
        let request = self.requests.get(&id).filter(|request| !request.is_complete())?;
        Some(request.client.clone())
    }

    /// Records that the first byte of an attempt is about to be written to a server.
    pub fn record_forwarded(&self, id: RequestId) {
        if let Some(request) = self.requests.get(&id) {
            request.forwarded.set();
        }
    }

    /// Whether an attempt may begin at `now` without being executed again by servers that have forgotten the
    /// request's idempotency key. False if the request is unknown.
    pub fn is_in_repeat_window(&self, id: AttemptId, now: Millis) -> bool {
        self.requests.get(&id.request).is_some_and(|request| request.is_in_repeat_window(id.number, now))
    }

    /// The ids of all requests that are not complete.
    pub fn incomplete_ids(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.requests.iter().filter(|(_, request)| !request.is_complete()).map(|(id, _)| *id)
    }

    /// Sends a request's final answer to the task that serves its client, unless the request is already
    /// complete.
    pub fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(responder) = self.complete(id) {
            // Sending fails if the client has just disconnected. The client then needs no answer, and its
            // disconnect is reported as a separate event.
            let _ = responder.send(answer);
        }
        self.remove_if_finished(id);
    }

    /// Marks a request as complete. Returns the channel for its answer, or `None` if the request was already
    /// complete or is unknown.
    pub fn complete(&mut self, id: RequestId) -> Option<oneshot::Sender<Answer>> {
        self.requests.get_mut(&id)?.responder.take()
    }

    /// Removes a request if it is complete and has no attempt in flight.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(PendingRequest::is_finished) {
            self.requests.remove(&id);
        }
    }

    /// Whether an attempt exists and has not ended.
    pub fn is_in_flight(&self, id: AttemptId) -> bool {
        let attempts = self.requests.get(&id.request).map(|request| &request.attempts);
        attempts.and_then(|all| all.get(usize::from(id.number))).is_some_and(|attempt| attempt.in_flight)
    }

    /// Drops the stored handle of an attempt's task, so that the end of the attempt does not abort the task.
    /// This is used when the task itself reports the end of the attempt.
    pub fn detach_task(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempt_mut(id) {
            attempt.task = None;
        }
    }

    /// Ends an attempt at `now` and aborts its task, unless the task was detached. Aborting the task closes
    /// the attempt's connection. Returns the event for the policy, or `None` if the attempt has already ended
    /// or is unknown.
    pub fn end_attempt(&mut self, id: AttemptId, outcome: Outcome, now: Millis) -> Option<Event> {
        let complete = self.requests.get(&id.request)?.is_complete();
        let attempt = self.attempt_mut(id).filter(|attempt| attempt.in_flight)?;
        attempt.in_flight = false;
        attempt.may_have_executed = outcome.may_have_executed();
        if let Some(task) = attempt.task.take() {
            task.abort();
        }
        let event = Event::AttemptEnded {
            id: id.request,
            attempt: id.number,
            server: attempt.server,
            outcome,
            complete,
            elapsed: now - attempt.started_at,
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
