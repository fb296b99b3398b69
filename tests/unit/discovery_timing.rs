//! Timeouts and backoff of the watcher, as they follow from the drain grace.

use super::{CallTiming, INITIAL_BACKOFF};
use std::time::Duration;

/// The agent is silent, comes back, and holds a drain. A call that was out to it when it came back has to
/// time out, and the next one to be sent, before the drain grace ends.
#[test]
fn an_agent_that_is_back_is_called_again_within_the_grace_whatever_the_settings() {
    for grace in [0, 120, 500, 1000, 2500, 20_000].map(Duration::from_millis) {
        let timing = CallTiming::within(grace);
        // Only a grace too short for any call is not kept to.
        assert!(timing.timeout + timing.max_backoff < grace.max(INITIAL_BACKOFF * 3), "{grace:?}");
        assert!(timing.timeout >= INITIAL_BACKOFF, "{grace:?}: gives up at once");
        assert!(timing.max_backoff >= INITIAL_BACKOFF, "{grace:?}: calls without a backoff");
    }
}
