//! Tracks the calls to the counter service whose outcomes have not been reported yet.

use crate::ids::{CounterKey, Millis};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;

/// Identifies a call. A [`CounterClient`](super::CounterClient) uses each id only once.
pub type CallId = u64;

/// A call that was answered, failed or timed out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompletedCall {
    /// The key of the counter that the call was for.
    pub key: CounterKey,
    /// Time since the call was queued, ms.
    pub elapsed: Millis,
}

struct OutstandingCall {
    key: CounterKey,
    started_at: Millis,
}

/// The calls whose outcomes have not been reported yet. A call is removed when its outcome is reported, so
/// that no outcome is reported twice.
#[derive(Default)]
pub(super) struct OutstandingCalls {
    calls: RefCell<HashMap<CallId, OutstandingCall>>,
    last_id: Cell<CallId>,
}

impl OutstandingCalls {
    pub(super) fn start(&self, key: CounterKey, now: Millis) -> CallId {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        self.calls.borrow_mut().insert(id, OutstandingCall { key, started_at: now });
        id
    }

    /// Whether the outcome of a call has not been reported yet.
    pub(super) fn is_outstanding(&self, id: CallId) -> bool {
        self.calls.borrow().contains_key(&id)
    }

    /// Removes a call so that the caller can report its outcome. Returns `None` if the call was already
    /// removed, for example because it timed out before its reply arrived.
    pub(super) fn complete(&self, id: CallId, now: Millis) -> Option<CompletedCall> {
        let call = self.calls.borrow_mut().remove(&id)?;
        Some(CompletedCall { key: call.key, elapsed: now - call.started_at })
    }
}
