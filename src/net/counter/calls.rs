//! The calls whose outcome has not been reported yet.

use crate::ids::{CounterKey, Millis};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;

/// Number of a call, unique in the life of the process.
pub type CallId = u64;

/// A call that has ended or is waited for no longer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompletedCall {
    /// The counter that was called.
    pub key: CounterKey,
    /// Time since the call was made, ms.
    pub elapsed: Millis,
}

struct OutstandingCall {
    key: CounterKey,
    started_at: Millis,
}

/// The calls whose outcome has not been reported; each is reported once.
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

    /// Takes a call out to report its outcome; none if that has been done before, as for a reply that comes
    /// after the call's timeout.
    pub(super) fn complete(&self, id: CallId, now: Millis) -> Option<CompletedCall> {
        let call = self.calls.borrow_mut().remove(&id)?;
        Some(CompletedCall { key: call.key, elapsed: now - call.started_at })
    }
}
