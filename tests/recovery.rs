//! Checks that a gateway forwards requests again after any disturbance has ended.
//!
//! Guards against state that stops a gateway, a class or a tenant and that only an attempt or a reply of the
//! counter could change back: a limit of 0, an endless pause, an estimate that rules out every request. Each
//! case drives one gateway through up to three disturbances in simulated time, ends them, and counts the
//! requests that are forwarded a few seconds later. All requests fit their quotas and the servers are idle.

#[path = "recovery/deployment.rs"]
mod deployment;
#[allow(dead_code)] // each test binary uses only some of it
#[path = "support/simulation.rs"]
mod simulation;
#[path = "recovery/world.rs"]
mod world;

use deployment::DEPLOYMENTS;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rate_limiting_gateway::event::Outcome;
use world::{Disturbance, DisturbancePeriod, World};

/// Number of cases with generated sequences of disturbances, for each deployment. A longer run is started with
/// `RECOVERY_CASES=3000 cargo test --release --test recovery`.
const GENERATED_CASES: u32 = 60;
/// Seed of the generated sequences.
const SEED: [u8; 32] = [23; 32];

/// All disturbances.
const DISTURBANCES: [Disturbance; 9] = [
    Disturbance::NoServers,
    Disturbance::OneServer,
    Disturbance::ServersHang,
    Disturbance::ServersFail(Outcome::Error),
    Disturbance::ServersFail(Outcome::Reset),
    Disturbance::ServersFail(Outcome::ConnectFailed),
    Disturbance::ServersFail(Outcome::Rejected),
    Disturbance::CounterSilent,
    Disturbance::ProcessPaused,
];

/// The least share of the requests that a gateway has to forward after a disturbance.
const MIN_FORWARDED_SHARE: f64 = 0.5;

fn assert_recovers(deployment: usize, disturbances: &[DisturbancePeriod]) -> Result<(), String> {
    let deployment = &DEPLOYMENTS[deployment];
    let report = World::new(deployment, disturbances).run();
    let share = report.forwarded as f64 / report.arrived as f64;
    if share >= MIN_FORWARDED_SHARE {
        return Ok(());
    }
    Err(format!(
        "{}: {} of {} requests were forwarded after {disturbances:?}",
        deployment.name, report.forwarded, report.arrived
    ))
}

#[test]
fn a_gateway_forwards_again_after_each_disturbance() {
    let mut failures = Vec::new();
    for deployment in 0..DEPLOYMENTS.len() {
        failures.extend(assert_recovers(deployment, &[]).err());
        for kind in DISTURBANCES {
            for duration in [1500.0, 6000.0, 20_000.0, 60_000.0] {
                let period = DisturbancePeriod { kind, duration, pause: 0.0 };
                failures.extend(assert_recovers(deployment, &[period]).err());
            }
        }
    }
    assert!(failures.is_empty(), "{} failures:\n{}", failures.len(), failures.join("\n"));
}

#[test]
fn a_gateway_forwards_again_after_any_sequence_of_disturbances() {
    let cases = std::env::var("RECOVERY_CASES").ok().and_then(|cases| cases.parse().ok());
    let config =
        Config { cases: cases.unwrap_or(GENERATED_CASES), failure_persistence: None, ..Config::default() };
    let period = (prop::sample::select(DISTURBANCES.to_vec()), 100.0..9000.0f64, 0.0..4000.0f64)
        .prop_map(|(kind, duration, pause)| DisturbancePeriod { kind, duration, pause });
    let sequence = prop::collection::vec(period, 1..=3);
    for deployment in 0..DEPLOYMENTS.len() {
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
        let mut runner = TestRunner::new_with_rng(config.clone(), rng);
        let result = runner.run(&sequence, |disturbances| {
            assert_recovers(deployment, &disturbances).map_err(TestCaseError::fail)
        });
        if let Err(error) = result {
            panic!("{error}");
        }
    }
}

/// Regression test for an incident that the long run found: the mean response time after these disturbances
/// allowed each request when it arrived, and ruled it out when the counter had replied 2 ms later. No request
/// was forwarded or sent as a probe, so that the mean stayed for good.
#[test]
fn a_gateway_forwards_again_although_the_mean_rules_requests_out_only_after_the_counter_has_replied() {
    const LARGE_FLEET: usize = 6;
    let period = |kind, duration, pause| DisturbancePeriod { kind, duration, pause };
    let disturbances = [
        period(Disturbance::ServersHang, 7924.40345075193, 1749.3609802218305),
        period(Disturbance::ServersFail(Outcome::Error), 4805.68026397452, 353.25199487496076),
        period(Disturbance::ServersHang, 2791.751858042886, 0.0),
    ];
    assert_eq!(assert_recovers(LARGE_FLEET, &disturbances), Ok(()));
}
