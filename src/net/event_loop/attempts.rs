//! The part of the event loop that starts attempts, checks whether they may begin, and reports to the policy
//! how they ended.

use super::requests::RESPONSE_MARGIN;
use super::{Answer, EventLoop};
use crate::event::{Event, Outcome};
use crate::ids::{Millis, RequestId, ServerId};
use crate::net::request_table::{AttemptId, PendingRequest};
use crate::net::socket::may_be_closed_by_peer;
use crate::net::timer_queue::TimerKind;
use crate::net::upstream::{self, AttemptSpec, Target};
use bytes::Bytes;
use std::num::NonZeroU32;
use std::rc::Rc;

impl EventLoop {
    /// Starts an attempt. An attempt that cannot be made ends immediately. An attempt times out after
    /// `timeout`, ms, if it is set, but at the latest `RESPONSE_MARGIN` before the client's deadline.
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
        // An attempt without a number is not started, and its outcome cannot be reported to the policy. The
        // request is then answered at its deadline at the latest.
        let Some(number) = request.start_attempt(server, now) else { return };
        let attempt = AttemptId { request: id, number };
        match self.prepare_attempt(request, attempt, server, timeout, now) {
            Ok(spec) => {
                let timeout_at = spec.timeout_at;
                let task = tokio::task::spawn_local(upstream::run_attempt(self.clone(), spec));
                request.set_task(number, task.abort_handle());
                self.timers.arm(timeout_at, TimerKind::Attempt(attempt));
            }
            Err(outcome) => {
                drop(requests);
                self.end_attempt(attempt, outcome);
            }
        }
    }

    /// Checks that an attempt can be made, and returns its specification. If it cannot be made, returns the
    /// outcome to report for the attempt.
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
            target: Target { server, address },
            forwarded_request: request.forwarded_request.clone(),
            timeout_at: now + timeout,
        })
    }

    /// Checks whether an attempt may begin. If the client has disconnected, this also reports the disconnect
    /// to the policy.
    ///
    /// The check is made before a connection is obtained, and again just before the first byte of the attempt
    /// is written. Between the two checks the server may have begun to drain, the client may have disconnected,
    /// or the time in which the servers know the request's idempotency key may have ended, and not every
    /// deployment lets the policy cancel attempts.
    ///
    /// The check reads the state of the client's socket directly. On a busy machine hundreds of tasks may run
    /// before the task that reports the client's disconnect, and each of them may begin an attempt. A client
    /// that has sent so much more that its disconnect cannot be noticed counts as disconnected; if it is still
    /// there, its request fails.
    ///
    /// # Errors
    /// Returns the outcome of the attempt if the attempt may not begin.
    pub fn check_may_begin(
        self: &Rc<Self>,
        id: RequestId,
        number: u8,
        target: Target,
    ) -> Result<(), Outcome> {
        let client = self.requests.borrow().waiting_client(id);
        let client = client.ok_or(Outcome::NotSent)?;
        if client.upgrade().is_none_or(|client| may_be_closed_by_peer(&client)) {
            self.client_disconnected(id);
            return Err(Outcome::NotSent);
        }
        if !self.requests.borrow().is_in_repeat_window(AttemptId { request: id, number }, self.now()) {
            return Err(Outcome::NotSent);
        }
        if self.check_may_forward().is_err() {
            return Err(Outcome::NotSent);
        }
        // An attempt to a draining server, or to an address at which the server no longer is, ends as if the
        // server were unreachable. Another process may listen at that address now.
        let is_at_address = self.endpoints.borrow().address(target.server) == Some(target.address);
        if is_at_address && self.accepts_requests(target.server) {
            Ok(())
        } else {
            Err(Outcome::ConnectFailed)
        }
    }

    /// Handles the end of an attempt as reported by the attempt's task. The report is ignored if the attempt
    /// has already timed out or been cancelled.
    pub fn attempt_ended(self: &Rc<Self>, id: RequestId, number: u8, outcome: Outcome, body: Option<Bytes>) {
        let attempt = AttemptId { request: id, number };
        if !self.requests.borrow().is_in_flight(attempt) {
            return;
        }
        if let (Outcome::Ok, Some(body)) = (outcome, body) {
            self.answer(id, Answer::Served(body));
        }
        self.requests.borrow_mut().detach_task(attempt);
        self.finish_attempt(attempt, outcome);
    }

    /// Ends an attempt because of a socket event or a timer, and makes the policy handle the end immediately.
    pub(super) fn finish_attempt(self: &Rc<Self>, attempt: AttemptId, outcome: Outcome) {
        self.end_attempt(attempt, outcome);
        self.run_until_idle();
        self.requests.borrow_mut().remove_if_finished(attempt.request);
    }

    /// Ends an attempt and enqueues an [`Event::AttemptEnded`] for the policy. Does nothing if the attempt
    /// has already ended.
    pub(super) fn end_attempt(&self, attempt: AttemptId, outcome: Outcome) {
        let event = self.requests.borrow_mut().end_attempt(attempt, outcome, self.now());
        if let Some(event) = event {
            self.enqueue(event);
        }
    }
}
