//! Waits for a condition with a timeout.

use std::time::{Duration, Instant};

/// Longest time that a test waits for a condition. It is long because the machine may run far more than these
/// tests.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between the first two checks of a condition.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Longest time between two checks of a condition.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until a condition holds. Fails the test if the condition does not hold within [`WAIT_TIMEOUT`].
pub fn eventually(what: &str, holds: impl FnMut() -> bool) {
    assert!(holds_within(WAIT_TIMEOUT, holds), "the condition did not hold in time: {what}");
}

/// Returns whether a condition holds within `time`. The interval between checks grows, because a check may be
/// expensive.
pub fn holds_within(time: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + time;
    let mut poll_interval = INITIAL_POLL_INTERVAL;
    while !holds() {
        if Instant::now() > deadline {
            return false;
        }
        std::thread::sleep(poll_interval);
        poll_interval = (poll_interval * 2).min(MAX_POLL_INTERVAL);
    }
    true
}
