//! Tests of retries for each kind of idempotency, and of requests that no server can accept.

use crate::rig::{large_fleet_settings, settings, Received, Rig};
use crate::simulation::{attempt_ended, complete_list, counter_answered, ready_endpoint};
use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{Endpoint, Event, Outcome, Request};
use rate_limiting_gateway::ids::{RequestId, TenantId};
use rate_limiting_gateway::settings::{DeduplicationScope, Idempotency, Settings};

fn settings_with(idempotency: Idempotency) -> Settings {
    let mut settings = settings();
    settings.classes[0].idempotency = idempotency;
    settings
}

#[test]
fn a_non_idempotent_request_that_may_have_executed_fails_and_is_not_rejected_or_retried() {
    let mut rig = Rig::new(settings_with(Idempotency::NonIdempotent), 4);
    let Received { id, actions } = rig.request(1000.0);
    let server = actions.forwarded_to().expect("the request was not forwarded");
    let after = rig.end_attempt(1050.0, id, server, Outcome::Reset);
    assert!(after.0.contains(&Action::Fail(id)), "the request did not fail: {after:?}");
    assert!(!after.is_forwarded() && !after.is_rejected(), "the request was retried or rejected: {after:?}");
}

#[test]
fn a_non_idempotent_request_that_was_not_executed_is_retried_at_another_server() {
    let mut rig = Rig::new(settings_with(Idempotency::NonIdempotent), 4);
    let Received { id, actions } = rig.request(1000.0);
    let server = actions.forwarded_to().expect("the request was not forwarded");
    let after = rig.end_attempt(1050.0, id, server, Outcome::ConnectFailed);
    assert!(
        after.forwarded_to().is_some_and(|other| other != server),
        "the request was not retried at a server other than {server:?}: {after:?}"
    );
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_at_another_server_of_the_same_zone() {
    let scope = DeduplicationScope::Zone;
    let mut rig = Rig::new(settings_with(Idempotency::IdempotencyKey { scope, window: 4000.0 }), 0);
    let in_zone = |server| Endpoint { zone: (server % 2) as u16, ..ready_endpoint(server) };
    rig.handle(1.0, complete_list((1..=6).map(in_zone).collect()));
    let Received { id, actions } = rig.request(1000.0);
    let first = actions.forwarded_to().expect("the request was not forwarded");
    let after = rig.end_attempt(1050.0, id, first, Outcome::Reset);
    let second = after.forwarded_to().expect("the request was not retried");
    assert_eq!(first.0 % 2, second.0 % 2, "the request was retried in another zone");
    assert_ne!(first, second, "the request was retried at the same server");
}

#[test]
fn a_request_that_no_server_can_accept_is_rejected_before_its_client_gives_up() {
    let mut rig = Rig::new(settings(), 0);
    let Received { id, actions } = rig.request(1000.0);
    assert!(!actions.is_forwarded(), "the request was forwarded without any server: {actions:?}");
    let mut rejected = actions.is_rejected();
    for period in 1..75 {
        let after = rig.timer(1000.0 + 20.0 * f64::from(period));
        rejected |= after.0.iter().any(|action| matches!(action, Action::Reject { id: of, .. } if *of == id));
    }
    assert!(rejected, "the request was not rejected before its client gave up");
}

/// Guards against a request that is never answered. A client's retry with a few ms left was queued, and its
/// time ran out before the next housekeeping timer.
#[test]
fn a_request_whose_time_runs_out_before_the_next_timer_is_rejected_on_arrival() {
    let mut rig = Rig::new(settings(), 0);
    let id = RequestId(5);
    let request = Request { id, units: 1.0, time_left: 6.0, gateway_count: 2.0, ..Request::default() };
    assert!(
        rig.handle(1000.0, Event::Request(request)).is_rejected(),
        "the request was not rejected on arrival: {:?}",
        rig.last_actions
    );
}

/// Regression test for a class that was rejected on arrival for good. All servers stopped responding for some
/// seconds, and the mean response time of the class rose above twice its latency objective. From then on every
/// request counted as too late, and only an attempt could have corrected the mean.
#[test]
fn a_class_is_forwarded_again_after_all_its_attempts_timed_out() {
    const TIMEOUT: f64 = 1400.0;
    let mut rig = Rig::new(Settings { fleet_gateway_count: 1.0, ..settings() }, 6);
    let request_of = |tenant| Request { tenant: TenantId(tenant), gateway_count: 2.0, ..Request::default() };
    let mut now = 1000.0;
    for tenant in 0..100 {
        let Received { id, actions } = rig.request_like(now, request_of(tenant));
        let Some(server) = actions.forwarded_to() else { continue };
        now += TIMEOUT;
        rig.handle(now, attempt_ended(id, 0, server, Outcome::TimedOut, TIMEOUT));
    }
    let mut forwarded = 0;
    for tenant in 100..200 {
        now += 100.0;
        let Received { id, actions } = rig.request_like(now, request_of(tenant));
        let Some(server) = actions.forwarded_to() else { continue };
        forwarded += 1;
        rig.end_attempt(now + 50.0, id, server, Outcome::Ok);
    }
    assert_eq!(forwarded, 100, "{forwarded} of 100 requests were forwarded after the servers recovered");
}

/// Regression test for a class that was rejected on arrival for good. Its clients wait for less than a tenth of
/// its latency objective, which is less than half of the mean response time that is assumed at the start. A
/// request has to be sent as a probe, because only the end of an attempt corrects the mean.
#[test]
fn a_class_whose_clients_wait_for_a_short_time_is_forwarded_after_a_probe() {
    const TIME_LEFT: f64 = 45.0;
    const RESPONSE_TIME: f64 = 10.0;
    let mut rig = Rig::new(Settings { fleet_gateway_count: 1.0, ..settings() }, 6);
    let mut forwarded_at = Vec::new();
    for step in 0..100 {
        let now = 1000.0 + 100.0 * f64::from(step);
        let id = RequestId(step);
        let tenant = TenantId(u64::from(step));
        let request = Request {
            id,
            tenant,
            units: 1.0,
            time_left: TIME_LEFT,
            gateway_count: 2.0,
            ..Request::default()
        };
        let actions = rig.handle(now, Event::Request(request));
        let Some(server) = actions.forwarded_to() else { continue };
        forwarded_at.push(now);
        let elapsed = now + RESPONSE_TIME;
        rig.handle(elapsed, attempt_ended(id, 0, server, Outcome::Ok, RESPONSE_TIME));
    }
    let first = *forwarded_at.first().expect("no request was forwarded");
    assert!(first <= 2000.0, "the first request was forwarded at {first} ms");
    assert!(forwarded_at.len() >= 90, "{} of 100 requests were forwarded", forwarded_at.len());
}

/// Regression test for a class that was rejected for good. Each request of a low-traffic tenant waits for its
/// reservation. After the servers had stopped responding for some seconds, the mean response time of the class
/// was too long for any wait, and only an attempt could have corrected the mean.
#[test]
fn low_traffic_requests_are_forwarded_again_after_attempts_timed_out() {
    const TIMEOUT: f64 = 1400.0;
    let mut rig = Rig::new(large_fleet_settings(4.0, 12.0), 400);
    let mut now = 1000.0;
    let mut forward_after_reply = |rig: &mut Rig, tenant: u64, outcome: Outcome, elapsed: f64| {
        now += 100.0;
        let request = Request { tenant: TenantId(tenant), gateway_count: 30.0, ..Request::default() };
        let Received { id, mut actions } = rig.request_like(now, request);
        if let Some(call) = actions.counter_calls().first() {
            actions = rig.handle(now + 2.0, counter_answered(call.key, 2.0, call.add));
        }
        let Some(server) = actions.forwarded_to() else { return false };
        now += elapsed;
        rig.handle(now, attempt_ended(id, 0, server, outcome, elapsed));
        true
    };
    for tenant in 0..50 {
        forward_after_reply(&mut rig, tenant, Outcome::TimedOut, TIMEOUT);
    }
    let forwarded =
        (50..150).filter(|tenant| forward_after_reply(&mut rig, *tenant, Outcome::Ok, 20.0)).count();
    assert!(forwarded >= 80, "{forwarded} of 100 requests were forwarded after the servers recovered");
}
