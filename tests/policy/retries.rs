//! Retries by idempotency, and requests that nothing can serve.

use crate::rig::{settings, Received, Rig};
use crate::simulation::{complete_list, ready_endpoint};
use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{Endpoint, Event, Outcome, Request};
use rate_limiting_gateway::ids::RequestId;
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
    let server = actions.forwarded_to().expect("forwarded");
    let after = rig.end_attempt(1050.0, id, server, Outcome::Reset);
    assert!(after.0.contains(&Action::Fail(id)));
    assert!(!after.is_forwarded() && !after.is_rejected());
}

#[test]
fn a_non_idempotent_request_that_was_not_executed_is_retried_at_another_server() {
    let mut rig = Rig::new(settings_with(Idempotency::NonIdempotent), 4);
    let Received { id, actions } = rig.request(1000.0);
    let server = actions.forwarded_to().expect("forwarded");
    let after = rig.end_attempt(1050.0, id, server, Outcome::ConnectFailed);
    assert!(after.forwarded_to().is_some_and(|other| other != server));
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_in_its_zone() {
    let scope = DeduplicationScope::Zone;
    let mut rig = Rig::new(settings_with(Idempotency::IdempotencyKey { scope, window: 4000.0 }), 0);
    let in_zone = |server| Endpoint { zone: (server % 2) as u16, ..ready_endpoint(server) };
    rig.handle(1.0, complete_list((1..=6).map(in_zone).collect()));
    let Received { id, actions } = rig.request(1000.0);
    let first = actions.forwarded_to().expect("forwarded");
    let after = rig.end_attempt(1050.0, id, first, Outcome::Reset);
    let second = after.forwarded_to().expect("retried");
    assert_eq!(first.0 % 2, second.0 % 2);
    assert_ne!(first, second);
}

#[test]
fn a_request_that_nothing_can_serve_is_rejected_in_time() {
    let mut rig = Rig::new(settings(), 0);
    let Received { id, actions } = rig.request(1000.0);
    assert!(!actions.is_forwarded());
    let mut rejected = actions.is_rejected();
    for period in 1..75 {
        let after = rig.timer(1000.0 + 20.0 * f64::from(period));
        rejected |= after.0.iter().any(|action| matches!(action, Action::Reject { id: of, .. } if *of == id));
    }
    assert!(rejected);
}

/// Found on a bench drill: a client's retry with a few ms left was queued and never answered, because it ran
/// out before the next timer.
#[test]
fn a_request_that_runs_out_before_the_next_timer_is_rejected_at_once() {
    let mut rig = Rig::new(settings(), 0);
    let id = RequestId(5);
    let request = Request { id, units: 1.0, time_left: 6.0, gateway_count: 2.0, ..Request::default() };
    assert!(rig.handle(1000.0, Event::Request(request)).is_rejected());
}
