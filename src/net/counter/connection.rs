//! State of one connection to the counter service: the bytes to write and the calls that await a reply.

use super::calls::CallId;
use super::protocol::{Reply, PING_LINE};
use crate::ids::Millis;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use tokio::sync::Notify;

/// Maximum number of pending calls on a connection. Further calls fail at once, which limits the memory that
/// is used while the service does not reply.
const MAX_PENDING_CALLS: usize = 512;

/// A connection without pending calls is pinged when no call or ping has been queued on it for this time, ms,
/// so that the service does not close the connection.
const PING_INTERVAL: Millis = 2000.0;

/// An increment, whose outcome is reported, or a ping, which only keeps the connection open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PendingKind {
    Increment(CallId),
    Ping,
}

/// A queued call that has not been answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PendingCall {
    pub(super) kind: PendingKind,
    queued_at: Millis,
    /// Number of bytes queued on the connection up to and including the end of this call's line.
    end_offset: u64,
}

impl PendingCall {
    fn is_answered_by(&self, reply: Reply) -> bool {
        (self.kind == PendingKind::Ping) == (reply == Reply::Pong)
    }
}

/// The reason why a reply does not match a pending call.
pub(super) enum UnmatchedReply {
    /// The connection has no pending call.
    Unexpected,
    /// The oldest pending call is of a kind that this reply does not answer.
    OutOfOrder,
}

#[derive(Default)]
struct Queue {
    unsent: Vec<u8>,
    bytes_queued: u64,
    bytes_written: u64,
    pending: VecDeque<PendingCall>,
}

/// The calls that were still pending when their connection ended.
pub(super) struct UnansweredCalls {
    bytes_written: u64,
    pending: VecDeque<PendingCall>,
}

impl UnansweredCalls {
    /// Returns the kind of each call, oldest first, and whether the call's line was written completely. Only
    /// a call that was written completely may have been executed.
    pub(super) fn into_calls(self) -> impl Iterator<Item = (PendingKind, bool)> {
        let bytes_written = self.bytes_written;
        self.pending.into_iter().map(move |call| (call.kind, call.end_offset <= bytes_written))
    }
}

/// The state of one connection. Calls are pipelined, and the service answers them in order.
#[derive(Default)]
pub(super) struct Connection {
    queue: RefCell<Queue>,
    wakeup: Notify,
    has_received: Cell<bool>,
    last_queued_at: Cell<Millis>,
    retired: Cell<bool>,
    unresponsive: Cell<bool>,
}

impl Connection {
    pub(super) fn has_capacity(&self) -> bool {
        self.queue.borrow().pending.len() < MAX_PENDING_CALLS
    }

    pub(super) fn enqueue(&self, kind: PendingKind, line: &[u8], now: Millis) {
        self.last_queued_at.set(now);
        let mut queue = self.queue.borrow_mut();
        queue.unsent.extend_from_slice(line);
        queue.bytes_queued += line.len() as u64;
        let end_offset = queue.bytes_queued;
        queue.pending.push_back(PendingCall { kind, queued_at: now, end_offset });
        self.wakeup.notify_one();
    }

    /// Marks the connection as unresponsive if its oldest pending call has waited longer than
    /// `unresponsive_after`, ms. Pings the connection if no call is pending and nothing was queued for
    /// [`PING_INTERVAL`]; a connection on which nothing was ever queued is pinged at the first check.
    pub(super) fn check_health(&self, now: Millis, unresponsive_after: Millis) {
        let oldest = self.queue.borrow().pending.front().map(|call| call.queued_at);
        match oldest {
            Some(queued_at) if now - queued_at > unresponsive_after => {
                self.unresponsive.set(true);
                self.wakeup.notify_one();
            }
            None if now - self.last_queued_at.get() >= PING_INTERVAL => {
                self.enqueue(PendingKind::Ping, PING_LINE, now);
            }
            _ => {}
        }
    }

    /// Retires the connection because its replacement is open. A retired connection gets no new calls and
    /// closes once all its calls are answered.
    pub(super) fn retire(&self) {
        self.retired.set(true);
        self.wakeup.notify_one();
    }

    pub(super) fn is_retired(&self) -> bool {
        self.retired.get()
    }

    pub(super) fn is_unresponsive(&self) -> bool {
        self.unresponsive.get()
    }

    pub(super) fn has_received(&self) -> bool {
        self.has_received.get()
    }

    pub(super) fn record_received(&self) {
        self.has_received.set(true);
    }

    /// Waits until a call is queued, or the connection is retired or marked as unresponsive.
    pub(super) async fn wait_for_change(&self) {
        self.wakeup.notified().await;
    }

    /// Moves the unsent bytes into `buffer`, if `buffer` is empty.
    pub(super) fn take_unsent(&self, buffer: &mut Vec<u8>) {
        if buffer.is_empty() {
            std::mem::swap(buffer, &mut self.queue.borrow_mut().unsent);
        }
    }

    pub(super) fn record_written(&self, bytes: usize) {
        self.queue.borrow_mut().bytes_written += bytes as u64;
    }

    pub(super) fn has_no_pending_calls(&self) -> bool {
        self.queue.borrow().pending.is_empty()
    }

    /// Removes and returns the oldest pending call, which the reply answers.
    ///
    /// # Errors
    /// Returns an error if no call is pending, or if the oldest pending call is of a kind that the reply does
    /// not answer. That call then stays pending.
    pub(super) fn match_reply(&self, reply: Reply) -> Result<PendingCall, UnmatchedReply> {
        let pending = &mut self.queue.borrow_mut().pending;
        match pending.front().copied() {
            Some(call) if call.is_answered_by(reply) => {
                pending.pop_front();
                Ok(call)
            }
            Some(_) => Err(UnmatchedReply::OutOfOrder),
            None => Err(UnmatchedReply::Unexpected),
        }
    }

    /// Empties the queue of a connection that has ended, and returns the pending calls.
    pub(super) fn take_unanswered(&self) -> UnansweredCalls {
        let queue = self.queue.take();
        UnansweredCalls { bytes_written: queue.bytes_written, pending: queue.pending }
    }
}
