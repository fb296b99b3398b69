//! The attempts of the event loop: how one starts, what keeps it from starting, and how its end is reported.

use super::{Answer, EventLoop, RESPONSE_MARGIN};
use crate::event::{Event, Outcome};
use crate::ids::{Millis, RequestId, ServerId};
use crate::net::request_table::{AttemptId, PendingRequest};
use crate::net::socket::is_closed_by_peer;
use crate::net::timer_queue::TimerKind;
use crate::net::upstream::{self, AttemptSpec};
use bytes::Bytes;
use std::num::NonZeroU32;
use std::rc::Rc;

impl EventLoop {
    /// Starts an attempt; one that cannot be made ends at once. Without a time-out it ends with its request.
    pub(super) fn start_attempt(self: &Rc<Self>, id: RequestId, server: ServerId, timeout: Option<Millis>) {
        let now = self.now();
        let mut requests = self.requests.borrow_mut();
        let Some(request) = requests.get_mut(id) else {
            return self.enqueue(Event::AttemptEnded {
                id,
                attempt: 0,
                server,
                outcome: Outcome::NotSent,
                complete: true,
                elapsed: 0.0,
            });
        };
        // The end of an attempt without a number cannot be reported; its request is answered at its deadline.
        let Some(number) = request.start_attempt(server, now) else { return };
        let attempt = AttemptId { request: id, number };
        match self.prepare_attempt(request, attempt, server, timeout, now) {
            Ok(job) => {
                let timeout_at = job.ends;
                let task = tokio::task::spawn_local(upstream::attempt(self.clone(), job));
                request.set_task(number, task.abort_handle());
                self.timers.arm(timeout_at, TimerKind::Attempt(attempt));
            }
            Err(outcome) => {
                drop(requests);
                self.end_attempt(attempt, outcome);
            }
        }
    }

    /// Checks that an attempt can be made. The error is how it ends otherwise.
    fn prepare_attempt(
        &self,
        request: &PendingRequest,
        attempt: AttemptId,
        server: ServerId,
        timeout: Option<Millis>,
        now: Millis,
    ) -> Result<AttemptSpec, Outcome> {
        let max_attempts = NonZeroU32::new(self.settings.max_attempts);
        if request.is_complete() || max_attempts.is_some_and(|max| u32::from(attempt.number) >= max.get()) {
            return Err(Outcome::NotSent);
        }
        let time_left = request.deadline - RESPONSE_MARGIN - now;
        let timeout = timeout.map_or(time_left, |timeout| timeout.min(time_left));
        if timeout <= 0.0 {
            return Err(Outcome::NotSent);
        }
        let address = self.endpoints.borrow().address(server).ok_or(Outcome::ConnectFailed)?;
        Ok(AttemptSpec {
            id: attempt.request,
            number: attempt.number,
            server,
            address,
            forward: request.forward.clone(),
            ends: now + timeout,
        })
    }

    /// Whether an attempt may begin. Asked again when its first byte is about to be written: by then the
    /// server may have begun to drain or the client may have left, and not every deployment lets the policy
    /// cancel attempts.
    ///
    /// The client's socket itself is asked. On a busy machine hundreds of tasks may be scheduled before the
    /// one that would report its close, and each of them may begin an attempt.
    ///
    /// # Errors
    /// How the attempt ends if it may not begin.
    pub fn check_may_begin(self: &Rc<Self>, id: RequestId, server: ServerId) -> Result<(), Outcome> {
        let client = self.requests.borrow().waiting_client(id);
        let client = client.ok_or(Outcome::NotSent)?;
        if client.upgrade().is_none_or(|client| is_closed_by_peer(&client)) {
            self.client_disconnected(id);
            return Err(Outcome::NotSent);
        }
        // A draining server counts as unreachable.
        if self.accepts_requests(server) {
            Ok(())
        } else {
            Err(Outcome::ConnectFailed)
        }
    }

    /// An attempt has ended on its socket. The end of an attempt that had ended before, by its time-out or by
    /// cancellation, is ignored.
    pub fn attempt_ended(self: &Rc<Self>, id: RequestId, attempt: u8, outcome: Outcome, body: Option<Bytes>) {
        let attempt = AttemptId { request: id, number: attempt };
        if !self.requests.borrow().is_in_flight(attempt) {
            return;
        }
        if let (Outcome::Ok, Some(body)) = (outcome, body) {
            self.answer(id, Answer::Served(body));
        }
        self.requests.borrow_mut().detach_task(attempt);
        self.finish_attempt(attempt, outcome);
    }

    /// Ends an attempt in response to an event on a socket or a timer.
    pub(super) fn finish_attempt(self: &Rc<Self>, attempt: AttemptId, outcome: Outcome) {
        self.end_attempt(attempt, outcome);
        self.run_until_idle();
        self.requests.borrow_mut().remove_if_finished(attempt.request);
    }

    /// Ends an attempt and enqueues its end for the policy.
    pub(super) fn end_attempt(&self, attempt: AttemptId, outcome: Outcome) {
        let event = self.requests.borrow_mut().end_attempt(attempt, outcome, self.now());
        if let Some(event) = event {
            self.enqueue(event);
        }
    }
}
