//! The clock that supplies the Unix time for the gateway's decisions.

use crate::ids::Millis;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock of Unix time that never runs backwards: it reads the system clock once and then advances with the
/// monotonic clock.
///
/// Counter keys are derived from the time, so all gateways need a common epoch. If the system clock is set
/// back while the process runs, this clock must not go back, because the counter keys would go back as well.
#[derive(Clone, Copy)]
pub struct Clock {
    unix_time_at_start: Millis,
    start: Instant,
}

impl Clock {
    /// Starts a clock at the current system time.
    pub fn start() -> Self {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_time_at_start: unix_time.as_secs_f64() * 1000.0, start: Instant::now() }
    }

    /// The current Unix time, ms.
    pub fn now(&self) -> Millis {
        self.unix_time_at_start + self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Converts a Unix time, ms, to monotonic time. Returns the clock's start for times before the start.
    pub fn instant_at(&self, at: Millis) -> Instant {
        self.start + Duration::from_secs_f64(((at - self.unix_time_at_start) / 1000.0).max(0.0))
    }
}
