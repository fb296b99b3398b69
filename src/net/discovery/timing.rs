//! Timeouts and backoff of the watcher.
//!
//! The gateway must receive a change within 6 s after discovery has the change and can be reached: after 6 s,
//! the drain grace starts even if the gateway has not received the change. The idle timeout of a watch, the
//! time limit of one object, one request timeout and the longest backoff together are shorter than 6 s.

use std::time::Duration;

/// Time without further bytes after which the watcher stops waiting for the rest of an object on a watch, and
/// sends a further request for a complete list that is only partly received. Also the upper limit of the
/// request timeout, whatever the drain grace.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for the rest of a partly received object, even if its bytes arrive steadily. The time is
/// counted from when the watcher begins to wait for the rest. Also the time from the response head of a
/// complete list after which the watcher sends a further request if the list is not complete.
pub(super) const OBJECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the oldest request without a response stays open, and time in which a complete list must be
/// received after its response head. An agent that takes longer cannot notify the gateway in time anyway.
pub(super) const MAX_RESPONSE_TIME: Duration = Duration::from_secs(6);
/// Time without a byte after which a watch is reopened. The agent sends an empty line every 2 s on an idle
/// watch. If the line is missing, the connection may be dead although the agent is alive. The agent may then
/// have a change that it cannot send, and part of the 6 s within which the gateway must receive the change
/// may already have passed. If discovery itself is down, reopening the watch costs nothing.
pub(super) const WATCH_IDLE_TIMEOUT: Duration = Duration::from_millis(2300);
/// Time without a byte after the response head of the first watch, after which the agent counts as having no
/// changes. The agent sends changes right behind the head, but sends an empty line only after up to 2 s.
pub(super) const FIRST_CHANGE_DELAY: Duration = Duration::from_millis(200);
/// A complete list is requested when the agent responded to a watch request at least this long ago and has
/// not sent a byte on any watch since, not even an empty line: the agent may have changes that its watches do
/// not send. Longer than [`WATCH_IDLE_TIMEOUT`], so that one idle watch does not cause a request for a
/// complete list.
pub(super) const STALE_WATCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Backoff after the first failure. Also the lower limit of the request timeout.
pub(super) const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Upper limit of the backoff, whatever the drain grace.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Ratio of the request timeout to the drain grace. A recovered agent must be reached within the grace, even
/// if it has lost a request that was pending when it recovered: the next request follows after at most this
/// share of the grace and a backoff of at most [`MAX_BACKOFF_SHARE`].
const REQUEST_TIMEOUT_SHARE: f64 = 0.5;
/// Ratio of the longest backoff to the drain grace.
const MAX_BACKOFF_SHARE: f64 = 0.25;

/// The timeout of requests to the agent, and the upper limit of the backoff between them.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestTiming {
    /// Time from sending a request until its response head is overdue.
    pub timeout: Duration,
    /// Upper limit of the backoff between two requests.
    pub max_backoff: Duration,
}

impl RequestTiming {
    /// Returns the timing with which a recovered agent is reached within `drain_grace`, if `drain_grace` is
    /// longer than two initial backoffs.
    pub fn for_drain_grace(drain_grace: Duration) -> Self {
        let timeout = drain_grace.mul_f64(REQUEST_TIMEOUT_SHARE);
        let max_backoff = drain_grace.mul_f64(MAX_BACKOFF_SHARE);
        RequestTiming {
            timeout: timeout.clamp(INITIAL_BACKOFF, STALL_TIMEOUT),
            max_backoff: max_backoff.clamp(INITIAL_BACKOFF, MAX_BACKOFF),
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/discovery_timing.rs"]
mod tests;
