//! The memory measurement has in flight what it counts.

use gateway_capacity::memory::measure_here;

/// A renamed field once gave the measured gateway a fleet of 530 others. Its concurrency limit then admitted
/// next to nothing, and a request in flight seemed to take some 5 bytes in place of some 470.
#[test]
fn requests_in_flight_are_in_flight_when_their_memory_is_measured() {
    const REQUESTS: usize = 8_000;
    let bytes = measure_here("open request", REQUESTS).expect("a known kind") / REQUESTS as f64;
    assert!((200.0..2_000.0).contains(&bytes), "{bytes} bytes a request in flight");
}
