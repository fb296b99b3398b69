//! The connection limits that follow from the limits of the process.

use super::*;

fn total_connections(sockets: usize, memory_mb: f64) -> usize {
    let limits = ConnectionLimits::from_process_limits(Limits { sockets, memory_mb });
    assert_eq!(
        limits.max_clients,
        (limits.max_clients + limits.max_upstream) / 2,
        "clients do not get half of the connections"
    );
    limits.max_clients + limits.max_upstream
}

#[test]
fn connections_are_limited_by_descriptors_or_memory_whichever_allows_fewer() {
    assert_eq!(total_connections(1024, 1000.0), 1000);
    assert_eq!(total_connections(1024, 192.1), 720);
}

#[test]
fn connection_counts_stay_within_bounds_for_extreme_limits() {
    assert_eq!(total_connections(0, 192.0), 16);
    assert_eq!(total_connections(1024, -1.0), 16);
    assert_eq!(total_connections(1024, f64::NAN), 16);
    assert_eq!(total_connections(1 << 20, 1e9), 4096);
}

#[test]
fn the_number_of_tenants_is_limited_by_memory() {
    let tenants = |memory_mb| max_tenants(Limits { sockets: 1024, memory_mb });
    assert_eq!(tenants(192.0), 32_000);
    assert_eq!(tenants(0.0), 256);
    assert_eq!(tenants(f64::NAN), 256);
}
