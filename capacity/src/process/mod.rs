//! Measurements of real gateway processes that talk to stub peers on loopback.

pub mod connections;
mod endpoint_list;
mod gateway_process;
pub mod latency;
pub mod lists;
pub mod reload;

use std::time::{Duration, Instant};

/// Numbers of servers at which gateway processes are measured.
pub const SERVER_COUNTS: [usize; 4] = [20, 200, 1_000, 5_700];
/// Time-out for a gateway to become ready, to open its watch, or to apply a new configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Waits until a condition holds. Returns `false` if it does not hold within the time-out.
fn wait_until(timeout: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    while !holds() {
        if Instant::now() > deadline {
            return false;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    true
}

/// Wall-clock time since an instant, ms.
fn millis_since(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1000.0
}
