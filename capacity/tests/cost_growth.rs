//! Work that is counted and must not grow with the fleet: counter calls and their bytes, attempts, memory
//! allocated. No time is measured here; `capacity policy-cost` does that.

use gateway_capacity::deployment::Deployment;
use gateway_capacity::policy_cost::{Bench, Costs};
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::sync::Mutex;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;
/// The allocator counts for the whole process: one test at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// What traffic costs one gateway among so many, before as many servers as the plan has for them.
fn costs(gateways: usize, servers: usize) -> Costs {
    bench(gateways, servers).run(2.0)
}

fn bench(gateways: usize, servers: usize) -> Bench {
    let plan = Deployment::default();
    let rate = plan.rate_per_gateway() * gateways as f64;
    let gateways_per_tenant = plan.gateways;
    let deployment = Deployment { gateways, servers, rate, gateways_per_tenant, tenants: 1000, ..plan };
    Bench::new(&deployment, 1)
}

#[test]
fn calls_and_their_bytes_do_not_grow_with_the_fleet() {
    let _lock = ONE_AT_A_TIME.lock();
    let (small, large) = (costs(19, 200), costs(190, 2_000));
    let calls = |c: &Costs| c.calls as f64 / c.request.events as f64;
    let bytes = |c: &Costs| c.bytes as f64 / c.calls as f64;
    assert!(small.request.events > 300 && large.request.events > 300, "{small:?} {large:?}");
    assert!(
        calls(&large) < 1.25 * calls(&small),
        "{} calls a request, {} before",
        calls(&large),
        calls(&small)
    );
    assert!(bytes(&large) < 1.25 * bytes(&small), "{} bytes a call, {} before", bytes(&large), bytes(&small));
}

#[test]
fn attempts_do_not_grow_with_the_fleet() {
    let _lock = ONE_AT_A_TIME.lock();
    let attempts = |c: &Costs| c.attempts as f64 / c.request.events as f64;
    let (small, large) = (costs(19, 200), costs(190, 2_000));
    assert!(attempts(&large) < 1.1 * attempts(&small), "{} and {}", attempts(&large), attempts(&small));
}

#[test]
fn memory_allocated_for_a_request_does_not_grow_with_the_fleet() {
    let _lock = ONE_AT_A_TIME.lock();
    // A copy of the list, or of a part of it that grows, shows here.
    let allocated = |gateways, servers| {
        let mut bench = bench(gateways, servers);
        bench.run(1.0);
        let region = Region::new(ALLOCATOR);
        let costs = bench.run(2.0);
        region.change().bytes_allocated as f64 / costs.request.events as f64
    };
    let (small, large) = (allocated(19, 200), allocated(190, 2_000));
    println!("bytes allocated for a request: {small:.0} with 200 servers, {large:.0} with 2,000");
    assert!(large < 1.25 * small, "{large} bytes a request, {small} before");
}
