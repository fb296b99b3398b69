//! Connections that the limits of the process allow.

use super::*;

fn total(sockets: usize, memory_mb: f64) -> usize {
    let limits = ConnectionLimits::within(Limits { sockets, memory_mb });
    assert_eq!(limits.max_clients, (limits.max_clients + limits.max_upstream) / 2);
    limits.max_clients + limits.max_upstream
}

#[test]
fn the_scarcer_of_descriptors_and_memory_bounds_the_connections() {
    assert_eq!(total(1024, 1000.0), 1000);
    assert_eq!(total(1024, 192.1), 720);
}

#[test]
fn the_connections_stay_within_bounds_under_any_limits() {
    assert_eq!(total(0, 192.0), 16);
    assert_eq!(total(1024, -1.0), 16);
    assert_eq!(total(1024, f64::NAN), 16);
    assert_eq!(total(1 << 20, 1e9), 4096);
}
