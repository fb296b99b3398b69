//! Quota admission of one gateway: rate, burst, limits on attempts in flight, and hard ceilings.

use crate::rig::{settings, Actions, Received, Rig, TIME_LEFT};
use crate::simulation::{complete_list, counter_answered, counter_failed, ready_endpoints};
use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{Event, Outcome, Request};
use rate_limiting_gateway::ids::RequestId;
use rate_limiting_gateway::policy::Gateway;
use rate_limiting_gateway::settings::{Plan, Settings};

#[test]
fn requests_within_the_quota_are_forwarded_and_none_beyond_the_hard_limit() {
    let mut rig = Rig::new(settings(), 4);
    assert_eq!(rig.send_burst(1000.0, 10), 10);
    // Between the quota and the hard limit, requests are rejected with a probability.
    rig.send_burst(1000.0, 10);
    assert_eq!(rig.send_burst(1000.0, 50), 0);
}

#[test]
fn units_forwarded_by_other_gateways_count_towards_the_quota() {
    let mut rig = Rig::new(settings(), 4);
    let call = rig.request(1000.0).actions.counter_call();
    rig.handle(1002.0, counter_answered(call.key, 2.0, 100.0));
    assert!(rig.send_burst(1003.0, 20) < 10);
}

#[test]
fn requests_within_the_bucket_refill_are_forwarded_while_the_window_is_full() {
    let mut rig = Rig::new(settings(), 4);
    assert_eq!(rig.send_burst(1000.0, 9), 9);
    // 0.8 s later the window still holds nine units, and the bucket has been refilled with four tokens.
    assert!(rig.send_burst(1800.0, 4) >= 3);
}

#[test]
fn between_the_quota_and_the_hard_limit_requests_are_rejected_with_the_computed_probability() {
    const SEEDS: u64 = 400;
    // With 10.2 units in the last second and a rate of 5 units per second, the probability of a
    // rejection is 1 - 5 / 10.2. The quota is 10 units and the hard limit 10.5.
    let forwarded = (0..SEEDS).filter(|seed| last_of_four_is_forwarded(*seed)).count();
    let share = forwarded as f64 / SEEDS as f64;
    assert!((0.40..0.58).contains(&share), "a share of {share} of the requests was forwarded");
}

/// Whether a gateway forwards a request of one unit after requests of 10.2 units.
fn last_of_four_is_forwarded(seed: u64) -> bool {
    let mut gateway = Gateway::new(Settings { counter_enabled: false, ..settings() }, seed);
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
fn requests_of_a_plan_without_a_rate_are_forwarded_without_counter_calls() {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    let mut rig = Rig::new(settings, 4);
    assert_eq!(rig.send_burst(1000.0, 100), 100);
    assert!(rig.request(1001.0).actions.counter_calls().is_empty());
}

/// Estimating the attempts of other gateways let 4% of the units exceed the limit on attempts in flight. Each
/// gateway therefore keeps to a fixed share of the limit.
#[test]
fn a_request_beyond_the_gateways_share_of_the_in_flight_limit_is_queued_until_an_attempt_ends() {
    let mut settings = settings();
    settings.plans[0].max_in_flight = 6.0;
    let mut rig = Rig::new(settings, 4);
    let first = rig.request(1000.0);
    let second = rig.request(1000.0);
    let third = rig.request(1000.0);
    let server = first.actions.forwarded_to().expect("the first request was not forwarded");
    assert!(second.actions.is_forwarded());
    assert!(third.actions.is_queued(), "the third request was forwarded or rejected");
    let after = rig.end_attempt(1050.0, first.id, server, Outcome::Ok);
    assert!(after.0.iter().any(|action| matches!(action, Action::Forward { id, .. } if *id == third.id)));
}

/// Every counter call fails, and three gateways start without any state. The hard ceiling still holds,
/// because each gateway enforces its own part of it.
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
            forwarded += rig.send_burst(now, 1);
        }
    }
    assert!(forwarded <= 20 + 10 + 2, "three gateways forwarded {forwarded} units in a second");
}

/// A gateway's part of the ceiling is a bucket of two tokens, and one token takes 5 s to refill. A third
/// request cannot be forwarded before its deadline, so queueing it would only delay the rejection.
#[test]
fn a_request_beyond_the_gateways_part_of_a_ceiling_is_rejected_at_once_with_a_retry_after() {
    for gateways in [3.0, 300.0] {
        let mut rig = Rig::new(ceiling_settings(gateways), gateways as u32);
        let request = || Request { gateway_count: gateways, ..Request::default() };
        let first = rig.request_like(60_000.0, request());
        let second = rig.request_like(60_000.0, request());
        assert!(
            first.actions.is_forwarded() && second.actions.is_forwarded(),
            "a request within the full bucket was not forwarded"
        );
        let third = rig.request_like(60_000.0, request()).actions;
        assert!(!third.is_forwarded() && third.is_rejected(), "the third request was not rejected at once");
        let retry_after = third.retry_after();
        assert!(
            retry_after.is_some_and(|after| (4900.0..5100.0).contains(&after)),
            "Retry-After is {retry_after:?} ms instead of about 5 s"
        );
        // A request is queued if the bucket refills in time.
        let Received { actions, .. } = rig.request_like(64_900.0, request());
        assert!(actions.is_queued(), "a request was not queued although the bucket refills in 100 ms");
        assert!(rig.timer(65_010.0).is_forwarded());
    }
}

/// One plan whose ceiling allows each gateway 0.2 requests per second and a burst of two, with a quota
/// slightly below the ceiling.
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
        fleet_gateway_count: gateways,
        plans: vec![plan],
        counter_enabled: false,
        max_retry_after: 60_000.0,
        ..settings()
    }
}

/// In a fleet of a hundred gateways, most gateways started a new tenant with an empty part of its ceiling and
/// rejected its first request.
#[test]
fn a_gateways_part_of_a_ceiling_has_refilled_before_the_tenants_first_request() {
    let plan = Plan {
        rate: 3.0,
        burst: 5.0,
        priority_multiplier: 1.0,
        ceiling_rate: 6.0,
        ceiling_burst: 12.0,
        ..Plan::default()
    };
    let mut rig = Rig::new(Settings { plans: vec![plan], counter_enabled: false, ..settings() }, 4);
    assert!(rig.request(5000.0).actions.is_forwarded(), "the tenant's first request was not forwarded");
    let later = rig.send_burst(5000.0, 20);
    assert!(later <= 3, "{later} more requests were forwarded, beyond a third of the ceiling's burst of 12");
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

/// Regression test for a plan whose requests were never forwarded: its ceiling was refilled only for tenants
/// with a quota. The ceiling also has to hold, over the whole time and from the start.
#[test]
fn a_plan_with_a_ceiling_and_no_rate_is_forwarded_up_to_its_ceiling() {
    const CEILING_RATE: f64 = 20.0;
    const CEILING_BURST: f64 = 30.0;
    const SECONDS: f64 = 30.0;
    let plan = Plan {
        ceiling_rate: CEILING_RATE,
        ceiling_burst: CEILING_BURST,
        priority_multiplier: 1.0,
        ..Plan::default()
    };
    let mut rig = Rig::new(Settings { plans: vec![plan], fleet_gateway_count: 1.0, ..settings() }, 6);
    let mut forwarded = 0;
    let mut now = 0.0;
    while now < SECONDS * 1000.0 {
        now += 10.0;
        let request = Request { gateway_count: 1.0, ..Request::default() };
        let Received { actions, .. } = rig.request_like(now, request);
        let mut pending = actions.0;
        pending.extend(rig.timer(now + 5.0).0);
        while let Some(action) = pending.pop() {
            let Action::Forward { id, server, .. } = action else { continue };
            forwarded += 1;
            pending.extend(rig.end_attempt(now + 6.0, id, server, Outcome::Ok).0);
        }
    }
    let ceiling = CEILING_RATE * SECONDS + CEILING_BURST;
    assert!(f64::from(forwarded) <= ceiling, "{forwarded} requests were forwarded, {ceiling} at most");
    assert!(f64::from(forwarded) >= 0.9 * CEILING_RATE * SECONDS, "{forwarded} of {ceiling} were forwarded");
}
