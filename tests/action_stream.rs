//! Regression tests that compare all actions of a simulation with a recorded hash.
//!
//! They guard against a refactoring that changes decisions by accident. Every byte of the replies in the
//! simulator's protocol has to stay the same: the actions, their order and with it the order of random draws.
//! Each scenario simulates servers, an endpoint list, a counter service and clients around two or three
//! gateways, from a fixed seed. A commit that changes decisions on purpose records the new hash and explains
//! the change.

#[allow(dead_code)] // each test binary uses only some of it
#[path = "support/frames.rs"]
mod frames;
#[path = "support/action_world.rs"]
mod world;

use world::{Scenario, World};

/// Two zones, all kinds of idempotency, and tenants with enough traffic to be counted in batches.
const BATCHED: &str = "balancers=2\nzone=0\nareas=a,b\n\
    classes.count=4\n\
    classes.0.deadline=1500.0\nclasses.0.goal_time=500.0\nclasses.0.idempotency=free\n\
    classes.0.importance=3.0\nclasses.0.late_value=0.2\n\
    classes.1.deadline=1200.0\nclasses.1.goal_time=400.0\nclasses.1.idempotency=single_shot\n\
    classes.1.importance=9.0\nclasses.1.late_value=0.0\n\
    classes.2.deadline=2000.0\nclasses.2.goal_time=600.0\nclasses.2.idempotency=guarded\n\
    classes.2.group=zone\nclasses.2.repeat_window=700.0\nclasses.2.importance=5.0\nclasses.2.late_value=0.1\n\
    classes.3.deadline=2000.0\nclasses.3.goal_time=600.0\nclasses.3.idempotency=guarded\n\
    classes.3.group=cell\nclasses.3.repeat_window=5000.0\nclasses.3.importance=1.0\nclasses.3.late_value=0.5\n\
    plans.count=3\n\
    plans.0.rate=6.0\nplans.0.store_size=30.0\nplans.0.pays=0.7\n\
    plans.1.rate=9.0\nplans.1.store_size=40.0\nplans.1.hard_rate=14.0\nplans.1.cap_depth=40.0\nplans.1.pays=1.1\n\
    plans.2.rate=20.0\nplans.2.store_size=51.0\nplans.2.max_out=3\nplans.2.pays=1.4\n\
    ceilings.cancelling=true\nceilings.parallel_tries=true\nceilings.max_attempts=4\nceilings.retry_after=true\n\
    ceilings.max_retry_after=1000.0\nfamily_info.shared_counter=true\nfamily_info.counter_timeout=30.0\n\
    family_info.max_units=2\nsafety.start_capacity=0.2\nsafety.warm_after=4000.0\nsafety.overload_factor=2.0\n\
    safety.tip_after=2000.0\nreport.source=answers\nreport.columns=inflight,util\ndiscovery=pushed\n";

/// A large fleet, in which each gateway gets few requests of a tenant and uses a subset of the servers.
const LOW_TRAFFIC: &str = "balancers=100\nzone=0\nareas=a\n\
    classes.count=2\n\
    classes.0.deadline=1500.0\nclasses.0.goal_time=500.0\nclasses.0.idempotency=free\n\
    classes.0.importance=3.0\nclasses.0.late_value=0.2\n\
    classes.1.deadline=1200.0\nclasses.1.goal_time=400.0\nclasses.1.idempotency=guarded\nclasses.1.group=all\n\
    classes.1.repeat_window=900.0\nclasses.1.importance=2.0\nclasses.1.late_value=0.0\n\
    plans.count=3\n\
    plans.0.rate=2.0\nplans.0.store_size=8.0\n\
    plans.1.rate=4.0\nplans.1.store_size=12.0\nplans.1.hard_rate=6.0\nplans.1.cap_depth=16.0\n\
    plans.2.rate=0.0\nplans.2.store_size=0.0\nplans.2.max_out=90\n\
    ceilings.cancelling=true\nceilings.max_attempts=3\nceilings.max_retry_after=800.0\n\
    family_info.shared_counter=true\nfamily_info.counter_timeout=40.0\nfamily_info.max_units=1\n\
    safety.start_capacity=0.3\nsafety.warm_after=3000.0\nsafety.overload_factor=2.0\nsafety.tip_after=1500.0\n\
    report.source=none\ndiscovery=pushed\n";

/// No counter service, endpoint lists on request only, no cancellation and no hedging.
const WITHOUT_COUNTER: &str = "balancers=3\nzone=0\nareas=a,b\n\
    classes.count=2\n\
    classes.0.deadline=1000.0\nclasses.0.idempotency=free\n\
    classes.1.deadline=900.0\nclasses.1.goal_time=300.0\nclasses.1.idempotency=single_shot\n\
    plans.count=1\nplans.0.rate=5.0\nplans.0.store_size=10.0\n\
    ceilings.max_retry_after=0.0\nfamily_info.shared_counter=false\ndiscovery=on_request\n";

/// Servers remember idempotency keys for a shorter time than the latency objective.
const SHORT_WINDOW: &str = "balancers=2\nzone=0\nareas=a,b\n\
    classes.count=2\n\
    classes.0.deadline=2000.0\nclasses.0.goal_time=900.0\nclasses.0.idempotency=guarded\nclasses.0.group=all\n\
    classes.0.repeat_window=300.0\nclasses.0.importance=3.0\nclasses.0.late_value=0.2\n\
    classes.1.deadline=1500.0\nclasses.1.goal_time=700.0\nclasses.1.idempotency=free\n\
    classes.1.importance=1.0\nclasses.1.late_value=0.0\n\
    plans.count=2\n\
    plans.0.rate=6.0\nplans.0.store_size=30.0\n\
    plans.1.rate=1.0\nplans.1.store_size=1.2\n\
    ceilings.cancelling=true\nceilings.parallel_tries=true\nceilings.max_attempts=4\n\
    ceilings.max_retry_after=1000.0\nfamily_info.shared_counter=true\nfamily_info.counter_timeout=30.0\n\
    family_info.max_units=1\nsafety.start_capacity=0.2\nsafety.warm_after=4000.0\ndiscovery=pushed\n";

fn assert_digest(scenario: &Scenario, expected: u64) {
    let mut world = World::new(scenario);
    let digest = world.run();
    println!("digest {:#018x} after {:?}", digest, world.counts());
    assert!(world.counts().requests > 1000, "the scenario sent too few requests: {:?}", world.counts());
    assert_eq!(
        digest, expected,
        "the actions changed: their digest {:#018x} is not the recorded one",
        digest
    );
}

#[test]
fn batched_usage_without_faults() {
    assert_digest(
        &Scenario {
            gateways: 2,
            servers: 6,
            tenants: 12,
            rate: 120.0,
            ..Scenario::without_faults(BATCHED, 1)
        },
        0xc8fe_2c46_1393_202d,
    );
}

#[test]
fn batched_usage_with_faults() {
    let scenario = Scenario::without_faults(BATCHED, 2).with_all_faults();
    assert_digest(
        &Scenario { gateways: 2, servers: 8, tenants: 12, rate: 160.0, ..scenario },
        0x6587_6cbd_0cde_4280,
    );
}

#[test]
fn overloaded_servers() {
    let scenario = Scenario { overloaded: true, ..Scenario::without_faults(BATCHED, 3) };
    assert_digest(
        &Scenario { gateways: 2, servers: 4, tenants: 30, rate: 300.0, ..scenario },
        0x3b61_1703_6187_47e2,
    );
}

#[test]
fn low_traffic_tenants_without_faults() {
    assert_digest(
        &Scenario {
            gateways: 3,
            servers: 80,
            tenants: 60,
            rate: 150.0,
            ..Scenario::without_faults(LOW_TRAFFIC, 4)
        },
        0x9d3c_908a_5af5_5cc8,
    );
}

#[test]
fn low_traffic_tenants_with_faults() {
    let scenario = Scenario::without_faults(LOW_TRAFFIC, 5).with_all_faults();
    assert_digest(
        &Scenario { gateways: 3, servers: 200, tenants: 60, rate: 200.0, ..scenario },
        0x5b25_cb7f_4d7b_7d76,
    );
}

#[test]
fn low_traffic_tenants_with_a_congested_counter() {
    let scenario = Scenario {
        counter_delay: 55.0,
        counter_reject_share: 0.2,
        ..Scenario::without_faults(LOW_TRAFFIC, 6)
    };
    assert_digest(
        &Scenario { gateways: 3, servers: 20, tenants: 60, rate: 200.0, ..scenario },
        0x9f1b_4b4a_053f_2e74,
    );
}

#[test]
fn polled_endpoints_without_a_counter() {
    let scenario = Scenario::without_faults(WITHOUT_COUNTER, 7).with_all_faults();
    assert_digest(
        &Scenario { gateways: 2, servers: 10, tenants: 8, rate: 120.0, ..scenario },
        0x5c92_2ed1_f426_9e21,
    );
}

#[test]
fn long_faults_and_tenants_that_return() {
    let scenario = Scenario::without_faults(SHORT_WINDOW, 8).with_all_faults();
    let scenario = Scenario { gateways: 2, servers: 8, tenants: 10, rate: 120.0, ..scenario };
    let scenario = Scenario { long_faults: true, ..scenario };
    assert_digest(&Scenario { duration: 130_000.0, ..scenario }, 0x464d_b8cf_8013_4b0d);
}
