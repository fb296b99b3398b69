//! The part of the event loop that handles its timers.

use super::EventLoop;
use crate::event::{Event, Outcome};
use crate::ids::Millis;
use crate::net::counter::CompletedCall;
use crate::net::timer_queue::TimerKind;
use std::rc::Rc;

/// Time, ms, between two checks of the connections to servers and to the counter.
pub(super) const CONNECTION_CHECK_INTERVAL: Millis = 500.0;

impl EventLoop {
    pub(super) async fn run_timers(self: Rc<Self>) {
        loop {
            let kind = self.timers.next(&self.clock).await;
            self.timer_fired(kind);
        }
    }

    fn timer_fired(self: &Rc<Self>, kind: TimerKind) {
        match kind {
            TimerKind::Policy(token) => self.dispatch(Event::Timer(token)),
            TimerKind::Attempt(attempt) => {
                if self.requests.borrow().is_in_flight(attempt) {
                    self.finish_attempt(attempt, Outcome::TimedOut);
                }
            }
            TimerKind::Deadline(id) => self.time_out_request(id),
            TimerKind::CounterCall(call) => self.counter_call_timed_out(call),
            TimerKind::ConnectionCheck => {
                self.pool.drop_expired(self.now());
                self.counter.check_connections(self.now());
                self.timers.arm(self.now() + CONNECTION_CHECK_INTERVAL, TimerKind::ConnectionCheck);
            }
        }
    }

    /// Whether a timer still has an effect when it fires.
    pub(super) fn timer_applies(&self, kind: TimerKind) -> bool {
        match kind {
            TimerKind::Attempt(attempt) => self.requests.borrow().is_in_flight(attempt),
            TimerKind::Deadline(id) => self.requests.borrow().waiting_client(id).is_some(),
            TimerKind::CounterCall(call) => self.counter.is_pending(call),
            TimerKind::Policy(_) | TimerKind::ConnectionCheck => true,
        }
    }

    fn counter_call_timed_out(self: &Rc<Self>, call: u64) {
        if let Some(CompletedCall { key, elapsed }) = self.counter.expire_call(call, self.now()) {
            self.dispatch(Event::CounterReplied { key, outcome: Outcome::TimedOut, elapsed, total: 0.0 });
        }
    }
}
