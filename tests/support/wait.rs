//! Waiting for a condition.

use std::time::{Duration, Instant};

/// Longest that anything here is waited for: a machine may be busy with far more than these tests.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The first and the longest pause between two looks at a condition.
const FIRST_PAUSE: Duration = Duration::from_millis(2);
const MAX_PAUSE: Duration = Duration::from_millis(50);

/// Waits until a condition holds, and fails the test if it never does.
pub fn eventually(what: &str, holds: impl FnMut() -> bool) {
    assert!(holds_within(WAIT_TIMEOUT, holds), "never: {what}");
}

/// Whether a condition holds within a time. Looks less and less often: a look may cost the machine much.
pub fn holds_within(time: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + time;
    let mut pause = FIRST_PAUSE;
    while !holds() {
        if Instant::now() > deadline {
            return false;
        }
        std::thread::sleep(pause);
        pause = (pause * 2).min(MAX_PAUSE);
    }
    true
}
