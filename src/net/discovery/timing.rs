//! Timeouts and backoff of the watcher.
//!
//! A change counts as notified 6 s after discovery had it and could be reached. The idle time of a watch, one
//! call, the longest backoff and the time for one object together stay within that where the drain grace is 1
//! s or less; with a longer one a call may take up to [`STALL_TIMEOUT`] for its connection and as long again
//! for its response.

use std::time::Duration;

/// An object that has begun is given up when no more of it has come for this long. Also the upper limit of a
/// call's timeout, whatever the settings.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for an object from its first byte to its last, however steadily it comes, and for a complete list
/// from its response head.
pub(super) const OBJECT_TIMEOUT: Duration = Duration::from_secs(2);
/// A watch is reopened when nothing has come on it for this long. An idle watch sends an empty line every two
/// seconds; without one the connection may be dead while the agent is not, and what the agent holds counts as
/// notified. Where it is discovery that is down, asking again costs nothing.
pub(super) const WATCH_IDLE_TIMEOUT: Duration = Duration::from_millis(2300);
/// When the agent has answered calls for a watch for this long without sending a byte on one, not even an
/// empty line, a complete list is requested: the agent may hold what its watches do not send. Longer than
/// [`WATCH_IDLE_TIMEOUT`], so that one idle watch does not cause a complete list.
pub(super) const STALE_WATCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Backoff after the first failure, and the lower limit of a call's timeout.
pub(super) const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Upper limit of the backoff, whatever the settings.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Shares of the drain grace. An agent that is back has to be reached within the grace even when a call was
/// out to it the moment it came back; the agent runs on this machine and answers at once if at all.
const CALL_TIMEOUT_SHARE: f64 = 0.5;
const MAX_BACKOFF_SHARE: f64 = 0.25;

/// How long calls are waited for, and the backoff between them.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallTiming {
    /// Time for a connection to open, and again for the response head.
    pub timeout: Duration,
    /// Upper limit of the backoff.
    pub max_backoff: Duration,
}

impl CallTiming {
    /// The timing that reaches an agent which is back within `drain_grace`.
    pub fn within(drain_grace: Duration) -> Self {
        let timeout = drain_grace.mul_f64(CALL_TIMEOUT_SHARE);
        let max_backoff = drain_grace.mul_f64(MAX_BACKOFF_SHARE);
        CallTiming {
            timeout: timeout.clamp(INITIAL_BACKOFF, STALL_TIMEOUT),
            max_backoff: max_backoff.clamp(INITIAL_BACKOFF, MAX_BACKOFF),
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/discovery_timing.rs"]
mod tests;
