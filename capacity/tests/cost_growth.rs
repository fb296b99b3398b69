//! The work of a gateway for one request must not grow with the fleet. These tests compare counter calls and
//! their bytes, attempts and allocated memory in a small and a large fleet. They measure no time;
//! `capacity policy-cost` does that.

use gateway_capacity::deployment::Deployment;
use gateway_capacity::policy_cost::{Bench, Costs};
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::sync::Mutex;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;
/// Lets one test run at a time, because the allocator counts the allocations of the whole process.
static TEST_LOCK: Mutex<()> = Mutex::new(());

/// The costs of traffic at one gateway of a fleet with these numbers of gateways and servers. The traffic of
/// a gateway is as in the planned deployment.
fn costs(gateways: usize, servers: usize) -> Costs {
    bench(gateways, servers).run(2.0)
}

fn bench(gateways: usize, servers: usize) -> Bench {
    let planned = Deployment::default();
    let rate = planned.rate_per_gateway() * gateways as f64;
    let gateways_per_tenant = planned.gateways;
    let deployment = Deployment { gateways, servers, rate, gateways_per_tenant, tenants: 1000, ..planned };
    Bench::new(&deployment, 1)
}

#[test]
fn counter_calls_and_their_bytes_do_not_grow_with_the_fleet() {
    let _lock = TEST_LOCK.lock();
    let (small, large) = (costs(19, 200), costs(190, 2_000));
    let calls = |c: &Costs| c.counter_calls as f64 / c.request.events as f64;
    let bytes = |c: &Costs| c.counter_bytes as f64 / c.counter_calls as f64;
    assert!(
        small.request.events > 300 && large.request.events > 300,
        "too few requests to compare the fleets: {small:?} {large:?}"
    );
    assert!(
        calls(&large) < 1.25 * calls(&small),
        "counter calls per request grew with the fleet: {} in the large fleet, {} in the small one",
        calls(&large),
        calls(&small)
    );
    assert!(
        bytes(&large) < 1.25 * bytes(&small),
        "bytes per counter call grew with the fleet: {} in the large fleet, {} in the small one",
        bytes(&large),
        bytes(&small)
    );
}

#[test]
fn attempts_per_request_do_not_grow_with_the_fleet() {
    let _lock = TEST_LOCK.lock();
    let attempts = |c: &Costs| c.attempts as f64 / c.request.events as f64;
    let (small, large) = (costs(19, 200), costs(190, 2_000));
    assert!(
        attempts(&large) < 1.1 * attempts(&small),
        "attempts per request grew with the fleet: {} in the large fleet, {} in the small one",
        attempts(&large),
        attempts(&small)
    );
}

#[test]
fn allocated_memory_per_request_does_not_grow_with_the_fleet() {
    let _lock = TEST_LOCK.lock();
    // A copy of the endpoint list, or of a part that grows with it, would increase the allocated bytes.
    let allocated = |gateways, servers| {
        let mut bench = bench(gateways, servers);
        bench.run(1.0);
        let region = Region::new(ALLOCATOR);
        let costs = bench.run(2.0);
        region.change().bytes_allocated as f64 / costs.request.events as f64
    };
    let (small, large) = (allocated(19, 200), allocated(190, 2_000));
    println!("bytes allocated per request: {small:.0} with 200 servers, {large:.0} with 2,000");
    assert!(
        large < 1.25 * small,
        "allocated bytes per request grew with the fleet: {large} in the large one, {small} in the small one"
    );
}
