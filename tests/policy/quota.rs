//! Quotas of one gateway: rate, burst, requests in flight and hard ceilings.

use crate::rig::{settings, Actions, Received, Rig, TIME_LEFT};
use crate::simulation::{complete_list, counter_answered, counter_failed, ready_endpoints};
use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{Event, Outcome, Request};
use rate_limiting_gateway::ids::RequestId;
use rate_limiting_gateway::policy::Gateway;
use rate_limiting_gateway::settings::{Plan, Settings};

#[test]
fn requests_within_the_quota_pass_and_none_beyond_the_hard_limit() {
    let mut rig = Rig::new(settings(), 4);
    assert_eq!(rig.burst(1000.0, 10), 10);
    // Between the quota and the hard limit chance decides.
    rig.burst(1000.0, 10);
    assert_eq!(rig.burst(1000.0, 50), 0);
}

#[test]
fn the_usage_of_other_gateways_counts() {
    let mut rig = Rig::new(settings(), 4);
    let call = rig.request(1000.0).actions.counter_call();
    rig.handle(1002.0, counter_answered(call.key, 2.0, 100.0));
    assert!(rig.burst(1003.0, 20) < 10);
}

#[test]
fn the_refill_of_the_bucket_passes_though_the_window_is_full() {
    let mut rig = Rig::new(settings(), 4);
    assert_eq!(rig.burst(1000.0, 9), 9);
    // 0.8 s later the window still holds nine, and the bucket has four more tokens.
    assert!(rig.burst(1800.0, 4) >= 3);
}

#[test]
fn between_the_quota_and_the_hard_limit_rejections_follow_the_factor() {
    const SEEDS: u64 = 400;
    // 10 units of quota, 10.2 observed: the factor is 1 - 5 / 10.2 over the last second. The hard limit is
    // 10.5.
    let forwarded = (0..SEEDS).filter(|seed| last_of_four_is_forwarded(*seed)).count();
    let share = forwarded as f64 / SEEDS as f64;
    assert!((0.40..0.58).contains(&share), "forwarded {share}");
}

/// Whether a request of one unit passes after 10.2 units.
fn last_of_four_is_forwarded(seed: u64) -> bool {
    let mut gateway = Gateway::new(Settings { counter: false, ..settings() }, seed);
    let mut actions = Vec::new();
    gateway.handle(0.0, complete_list(ready_endpoints(8)), &mut actions);
    for (number, units) in [5.0, 5.0, 0.2, 1.0].into_iter().enumerate() {
        actions.clear();
        let id = RequestId(number as u32);
        let request = Request { id, units, time_left: TIME_LEFT, gateway_count: 1.0, ..Request::default() };
        gateway.handle(1000.0, Event::Request(request), &mut actions);
    }
    Actions(actions).is_forwarded()
}

#[test]
fn a_plan_without_a_rate_passes_and_calls_no_counter() {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    let mut rig = Rig::new(settings, 4);
    assert_eq!(rig.burst(1000.0, 100), 100);
    assert!(rig.request(1001.0).actions.counter_calls().is_empty());
}

/// Found on a bench day: estimates of the other gateways' attempts let 4% of the units pass beyond a quota of
/// requests in flight.
#[test]
fn a_quota_of_requests_in_flight_queues_what_exceeds_the_gateways_share() {
    let mut settings = settings();
    settings.plans[0].max_in_flight = 6.0;
    let mut rig = Rig::new(settings, 4);
    let first = rig.request(1000.0);
    let second = rig.request(1000.0);
    let third = rig.request(1000.0);
    let server = first.actions.forwarded_to().expect("forwarded");
    assert!(second.actions.is_forwarded());
    assert!(third.actions.is_queued(), "neither forwarded nor rejected");
    let after = rig.end_attempt(1050.0, first.id, server, Outcome::Ok);
    assert!(after.0.iter().any(|action| matches!(action, Action::Forward { id, .. } if *id == third.id)));
}

/// The counter answers nothing, and three gateways start without memory. A hard ceiling holds all the same,
/// because each gateway has its own part of it.
#[test]
fn a_ceiling_holds_without_a_counter_and_through_a_restart() {
    let mut settings = settings();
    settings.plans[0] = Plan { ceiling_rate: 10.0, ceiling_burst: 20.0, ..settings.plans[0].clone() };
    let mut forwarded = 0;
    for _ in 0..3 {
        let mut rig = Rig::new(settings.clone(), 4);
        for step in 0..200 {
            let now = 1000.0 + f64::from(step) * 5.0;
            for call in rig.last_actions.counter_calls() {
                rig.handle(now, counter_failed(call.key, Outcome::ConnectFailed, 1.0));
            }
            forwarded += rig.burst(now, 1);
        }
    }
    assert!(forwarded <= 20 + 10 + 2, "{forwarded} units in a second by three gateways");
}

/// A gateway's part of the ceiling is two tokens, and another takes 5 s. A request beyond it cannot be served
/// in time: queueing it until its deadline would help nobody.
#[test]
fn a_request_beyond_the_gateways_part_of_a_ceiling_is_rejected_at_once_with_a_retry_after() {
    for gateways in [3.0, 300.0] {
        let mut rig = Rig::new(ceiling_settings(gateways), gateways as u32);
        let request = || Request { gateway_count: gateways, ..Request::default() };
        let first = rig.request_like(60_000.0, request());
        let second = rig.request_like(60_000.0, request());
        assert!(first.actions.is_forwarded() && second.actions.is_forwarded(), "the bucket is full at first");
        let third = rig.request_like(60_000.0, request()).actions;
        assert!(!third.is_forwarded() && third.is_rejected(), "queued though nothing can come of it");
        let retry_after = third.retry_after();
        assert!(
            retry_after.is_some_and(|after| (4900.0..5100.0).contains(&after)),
            "to be retried after {retry_after:?} ms"
        );
        // What the bucket will hold soon enough is waited for.
        let Received { actions, .. } = rig.request_like(64_900.0, request());
        assert!(actions.is_queued(), "not queued for 100 ms");
        assert!(rig.timer(65_010.0).is_forwarded());
    }
}

/// A plan whose ceiling allows each gateway 0.2 requests a second and a burst of two, and a quota just below.
fn ceiling_settings(gateways: f64) -> Settings {
    let (ceiling_rate, ceiling_burst) = (0.2 * gateways, 2.0 * gateways);
    let plan = Plan {
        rate: 0.9 * ceiling_rate,
        burst: 0.9 * ceiling_burst,
        priority_multiplier: 1.0,
        ceiling_rate,
        ceiling_burst,
        ..Plan::default()
    };
    Settings {
        gateway_count: gateways,
        plans: vec![plan],
        counter: false,
        max_retry_after: 60_000.0,
        ..settings()
    }
}

/// Found on a day with a hundred gateways: most met a tenant for the first time with an empty part of its
/// ceiling, and rejected it.
#[test]
fn a_gateways_part_of_a_ceiling_is_full_when_its_tenant_first_comes() {
    let plan = Plan {
        rate: 3.0,
        burst: 5.0,
        priority_multiplier: 1.0,
        ceiling_rate: 6.0,
        ceiling_burst: 12.0,
        ..Plan::default()
    };
    let mut rig = Rig::new(Settings { plans: vec![plan], counter: false, ..settings() }, 4);
    assert!(rig.request(5000.0).actions.is_forwarded(), "the first of a tenant passes");
    let later = rig.burst(5000.0, 20);
    assert!(later <= 3, "{later} more of a third of the ceiling's bucket of 12");
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut rig = Rig::new(settings(), 5);
        let mut all = Vec::new();
        for step in 0..200 {
            all.extend(rig.request(1000.0 + f64::from(step) * 7.0).actions.0);
        }
        all
    };
    assert_eq!(run(), run());
}
