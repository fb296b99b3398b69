//! Measurements of real gateway processes beside stub peers on loopback.

pub mod connections;
mod endpoint_list;
mod gateway_process;
pub mod latency;
pub mod lists;
pub mod reload;

use std::time::{Duration, Instant};

/// Numbers of servers at which processes are measured.
pub const SERVERS: [usize; 4] = [20, 200, 1_000, 5_700];
/// How long a gateway may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Waits until a condition holds; false if it does not in time.
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
