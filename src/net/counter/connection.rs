//! State of one connection to the counter service: what is to be written, and the replies that it still owes.

use super::calls::CallId;
use super::protocol::{Reply, PING_LINE};
use crate::ids::Millis;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use tokio::sync::Notify;

/// Maximum number of replies that a connection may owe. Bounds the memory used for a service that has fallen
/// silent; further calls fail at once.
const MAX_PENDING: usize = 512;

/// Time without a call after which an idle connection is pinged, ms, before the service closes it.
const PING_INTERVAL: Millis = 2000.0;

/// What a pending call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PendingKind {
    Increment(CallId),
    Ping,
}

/// A call whose reply a connection still owes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PendingCall {
    pub(super) kind: PendingKind,
    queued_at: Millis,
    /// End of its line, as an offset in all bytes that were ever queued on the connection.
    end_offset: u64,
}

impl PendingCall {
    fn is_answered_by(&self, reply: Reply) -> bool {
        (self.kind == PendingKind::Ping) == (reply == Reply::Pong)
    }
}

/// Why a reply belongs to no pending call.
pub(super) enum UnmatchedReply {
    /// The connection owes none.
    Unexpected,
    /// The oldest pending call is of the other kind.
    OutOfOrder,
}

#[derive(Default)]
struct Queue {
    unsent: Vec<u8>,
    bytes_queued: u64,
    bytes_written: u64,
    pending: VecDeque<PendingCall>,
}

/// Pending calls of a connection that has ended, by what may have become of them.
pub(super) struct Unanswered {
    bytes_written: u64,
    pending: VecDeque<PendingCall>,
}

impl Unanswered {
    /// Each pending call, oldest first, and whether its line was written completely, so that it may have been
    /// executed.
    pub(super) fn into_calls(self) -> impl Iterator<Item = (PendingKind, bool)> {
        let bytes_written = self.bytes_written;
        self.pending.into_iter().map(move |call| (call.kind, call.end_offset <= bytes_written))
    }
}

/// A connection that is up. Calls are pipelined on it and answered in order.
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
    pub(super) fn has_room(&self) -> bool {
        self.queue.borrow().pending.len() < MAX_PENDING
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

    /// Marks the connection unresponsive if its oldest reply is overdue, or pings it if it is idle.
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

    /// A replacement is up: this connection takes no new calls and ends once it owes no reply.
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

    pub(super) fn record_receipt(&self) {
        self.has_received.set(true);
    }

    /// Waits until there is something to write, or the connection is retired or found unresponsive.
    pub(super) async fn woken(&self) {
        self.wakeup.notified().await;
    }

    /// Moves what is to be written next into an empty buffer.
    pub(super) fn fill(&self, buffer: &mut Vec<u8>) {
        if buffer.is_empty() {
            std::mem::swap(buffer, &mut self.queue.borrow_mut().unsent);
        }
    }

    pub(super) fn record_written(&self, bytes: usize) {
        self.queue.borrow_mut().bytes_written += bytes as u64;
    }

    pub(super) fn owes_nothing(&self) -> bool {
        self.queue.borrow().pending.is_empty()
    }

    /// Takes out the oldest pending call, which this reply answers.
    ///
    /// # Errors
    /// If there is none or it is of the other kind; it then stays pending.
    pub(super) fn take_answered(&self, reply: Reply) -> Result<PendingCall, UnmatchedReply> {
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

    /// Empties the queue of a connection that has ended.
    pub(super) fn take_unanswered(&self) -> Unanswered {
        let queue = self.queue.take();
        Unanswered { bytes_written: queue.bytes_written, pending: queue.pending }
    }
}
