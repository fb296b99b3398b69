//! The memory measurement counts only requests that are really in flight.

use gateway_capacity::memory::measure_in_this_process;

/// After a field was renamed, the fleet of the measured gateway had 530 gateways instead of one. Its
/// concurrency limit then admitted almost no requests, and a request in flight seemed to take about 5 bytes
/// instead of about 470.
#[test]
fn requests_in_flight_are_in_flight_when_their_memory_is_measured() {
    const REQUESTS: usize = 8_000;
    let bytes = measure_in_this_process("open request", REQUESTS).expect("`open request` is a kind of state")
        / REQUESTS as f64;
    assert!(
        (200.0..2_000.0).contains(&bytes),
        "{bytes} bytes per request in flight is not between 200 and 2,000"
    );
}
