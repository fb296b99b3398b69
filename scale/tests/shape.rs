//! Work that is counted and must not grow with the fleet: calls made and their bytes, actions asked for. No time
//! is measured here; `scale module` does that.

use topazwind_scale::deployment::Deployment;
use topazwind_scale::module::{Bench, Costs};

/// Traffic of one limiter among so many, before as many servers as the plan has for them.
fn costs(gateways: usize, servers: usize) -> Costs {
    let plan = Deployment::default();
    let (rate, spread) = (plan.share() * gateways as f64, plan.gateways);
    let deployment = Deployment { gateways, servers, rate, spread, customers: 1000, ..plan };
    Bench::new(&deployment, 1).play(2.0)
}

#[test]
fn calls_and_their_bytes_do_not_grow_with_the_fleet() {
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
    let attempts = |c: &Costs| c.attempts as f64 / c.request.events as f64;
    let (small, large) = (costs(19, 200), costs(190, 2_000));
    assert!(attempts(&large) < 1.1 * attempts(&small), "{} and {}", attempts(&large), attempts(&small));
}
