//! Whether the endpoint list that the gateway started with may still be used.
//!
//! The configuration contains the list that the gateway had before it was restarted. While the gateway was
//! down, servers may have begun to drain, and the agent may take seconds to say so. What the agent has counts
//! as notified from the start of the process on, so the gateway may use the cached list for the drain grace
//! only, unless the agent has answered.

use crate::ids::Millis;
use std::cell::Cell;

/// Time after startup at which the gateway uses its cached list even if the agent has not answered, ms. The
/// agent is then considered to be down: an outage of discovery must not stop all traffic. The agent of a new
/// configuration gets the same time before its changes count as notified.
const AGENT_ANSWER_TIMEOUT: Millis = 4000.0;
/// Time, ms, for which the process may be stopped between a check and the write that follows it.
const MAX_PROCESS_PAUSE: Millis = 150.0;

/// Tracks whether the discovery agent has confirmed the cached list.
pub struct CachedList {
    started_at: Millis,
    drain_grace: Millis,
    confirmed: Cell<bool>,
}

impl CachedList {
    /// Creates the state of a process that starts at `started_at`, Unix ms. Servers that drain get no new
    /// requests `drain_grace`, ms, after the gateway is notified.
    pub fn new(started_at: Millis, drain_grace: Millis) -> Self {
        CachedList { started_at, drain_grace, confirmed: Cell::new(false) }
    }

    /// Records that the agent has answered, so that the endpoint list in use is the agent's.
    pub fn confirm(&self) {
        self.confirmed.set(true);
    }

    /// Whether the gateway can serve clients with its list: the agent has answered, or is considered to be
    /// down.
    pub fn is_ready(&self, now: Millis) -> bool {
        self.confirmed.get() || now - self.started_at >= AGENT_ANSWER_TIMEOUT
    }

    /// Whether an attempt may begin. Unlike [`CachedList::is_ready`], this is also true during the drain grace
    /// after the start.
    pub fn allows_attempts(&self, now: Millis) -> bool {
        self.is_ready(now) || now - self.started_at < self.drain_grace - MAX_PROCESS_PAUSE
    }

    /// Time after which [`CachedList::is_ready`] is true at the latest, ms.
    pub fn time_until_ready(&self, now: Millis) -> Millis {
        (self.started_at + AGENT_ANSWER_TIMEOUT - now).max(0.0)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/cached_list.rs"]
mod tests;
