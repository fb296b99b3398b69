//! The clock that all gateways share.

use crate::ids::Millis;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time that never runs backwards: read from the system once, and advanced by the monotonic clock.
///
/// Counter keys are derived from the time, so gateways need a common epoch; a system clock that is set back
/// while the process runs must not reach them.
#[derive(Clone, Copy)]
pub struct Clock {
    unix_at_start: Millis,
    start: Instant,
}

impl Clock {
    /// A clock that starts at the system's present time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_at_start: unix.as_secs_f64() * 1000.0, start: Instant::now() }
    }

    /// The present Unix time, ms.
    pub fn now(&self) -> Millis {
        self.unix_at_start + self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// The monotonic time at Unix time `at`, ms; the start of the clock for an earlier time.
    pub fn instant_at(&self, at: Millis) -> Instant {
        self.start + Duration::from_secs_f64(((at - self.unix_at_start) / 1000.0).max(0.0))
    }
}
