//! The timers of the event loop, ordered by the time at which they are due.

use super::clock::Clock;
use super::request_table::AttemptId;
use crate::ids::{Millis, RequestId};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::sync::Notify;

/// The purpose of a timer, which determines what happens when it fires. Timers that are due in the same
/// microsecond fire in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKind {
    /// Requested by the policy. The token is passed back to the policy when the timer fires.
    Policy(u64),
    /// The timeout of an attempt.
    Attempt(AttemptId),
    /// The time, shortly before a request's deadline, at which the request is answered as timed out.
    Deadline(RequestId),
    /// The timeout of a call to the counter service, identified by the call's id.
    CounterCall(u64),
    /// The periodic check of the connections to servers and to the counter service.
    ConnectionCheck,
}

/// Unix time in whole microseconds. Unlike [`Millis`], it has a total order.
type Micros = u64;

fn to_micros(at: Millis) -> Micros {
    (at * 1000.0).max(0.0) as Micros
}

fn to_millis(at: Micros) -> Millis {
    at as Millis / 1000.0
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    due: Micros,
    kind: TimerKind,
}

/// Number of timers up to which the queue keeps timers that no longer apply.
const MIN_CLEANUP_LENGTH: usize = 1024;

/// The armed timers. A timer cannot be disarmed, so the code that handles a fired timer has to check whether
/// the timer still applies. Timers that no longer apply are removed by [`TimerQueue::clean_up`].
#[derive(Default)]
pub struct TimerQueue {
    timers: RefCell<BinaryHeap<Reverse<Timer>>>,
    /// Number of timers after the last cleanup.
    cleaned_up_length: Cell<usize>,
    /// Wakes [`next`](TimerQueue::next) when a newly armed timer is due before all others.
    earlier_timer: Notify,
}

impl TimerQueue {
    /// Arms a timer that fires at the Unix time `at`, ms.
    pub fn arm(&self, at: Millis, kind: TimerKind) {
        let due = to_micros(at);
        if self.next_due().is_none_or(|next| due < next) {
            self.earlier_timer.notify_one();
        }
        self.timers.borrow_mut().push(Reverse(Timer { due, kind }));
    }

    /// Removes the timers for which `applies` returns false, if the number of timers has at least doubled since
    /// the last cleanup. The cost per timer is therefore constant.
    ///
    /// Without this, a request that is answered at once would leave its timers in the queue until its deadline,
    /// and a client that sends such requests at full speed would fill the memory with them.
    pub fn clean_up(&self, applies: impl Fn(TimerKind) -> bool) {
        let mut timers = self.timers.borrow_mut();
        if timers.len() >= MIN_CLEANUP_LENGTH.max(2 * self.cleaned_up_length.get()) {
            timers.retain(|Reverse(timer)| applies(timer.kind));
            timers.shrink_to(MIN_CLEANUP_LENGTH);
            self.cleaned_up_length.set(timers.len());
        }
    }

    /// Waits until a timer is due, removes it and returns its kind. Only one caller may wait at a time.
    pub async fn next(&self, clock: &Clock) -> TimerKind {
        loop {
            match self.next_due() {
                None => self.earlier_timer.notified().await,
                Some(due) if due > to_micros(clock.now()) => {
                    let due = clock.instant_at(to_millis(due));
                    tokio::select! {
                        () = tokio::time::sleep_until(due.into()) => {}
                        () = self.earlier_timer.notified() => {}
                    }
                }
                Some(_) => {
                    if let Some(kind) = self.pop() {
                        return kind;
                    }
                }
            }
        }
    }

    fn next_due(&self) -> Option<Micros> {
        self.timers.borrow().peek().map(|Reverse(timer)| timer.due)
    }

    fn pop(&self) -> Option<TimerKind> {
        self.timers.borrow_mut().pop().map(|Reverse(timer)| timer.kind)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/timer_queue.rs"]
mod tests;
