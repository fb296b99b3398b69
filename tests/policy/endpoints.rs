//! Which servers get requests when some are draining, starting or failing, and how many attempts a gateway
//! keeps in flight.

use crate::rig::{large_fleet_settings, settings, Received, Rig};
use crate::simulation::{attempt_ended, complete_list, incremental_list, ready_endpoint, ready_endpoints};
use rate_limiting_gateway::event::{Endpoint, EndpointState, Outcome, Request};
use rate_limiting_gateway::ids::{ServerId, TenantId};
use rate_limiting_gateway::settings::Settings;

/// A gateway of a large fleet that has no counter and is not limited by its quota.
fn gateway_of_large_fleet(seed: u64, servers: u32) -> Rig {
    let settings = Settings { counter_enabled: false, ..large_fleet_settings(1000.0, 3000.0) };
    Rig::with_complete_list(settings, seed, servers)
}

fn large_fleet_request() -> Request {
    Request { tenant: TenantId(1), gateway_count: 400.0, ..Request::default() }
}

#[test]
fn a_draining_server_gets_no_more_requests() {
    let mut rig = Rig::new(settings(), 2);
    let draining = Endpoint { state: EndpointState::Draining, ..ready_endpoint(1) };
    rig.handle(500.0, incremental_list(vec![draining]));
    for step in 0..8 {
        let actions = rig.request(1000.0 + f64::from(step)).actions;
        assert_ne!(actions.forwarded_to(), Some(ServerId(1)));
    }
}

#[test]
fn a_starting_server_gets_few_requests_in_its_first_second() {
    let mut rig = Rig::new(settings(), 0);
    let starting = Endpoint { started_at: 1000.0, ..ready_endpoint(1) };
    rig.handle(1000.0, complete_list(vec![starting, ready_endpoint(2), ready_endpoint(3)]));
    let mut to_starting = 0;
    for step in 0..60 {
        let now = 1000.0 + f64::from(step) * 15.0;
        let request = Request { tenant: TenantId(step as u64), gateway_count: 2.0, ..Request::default() };
        let Received { id, actions } = rig.request_like(now, request);
        let server = actions.forwarded_to().expect("the request is forwarded");
        to_starting += usize::from(server == ServerId(1));
        rig.end_attempt(now + 1.0, id, server, Outcome::Ok);
    }
    assert!(
        to_starting <= 8,
        "the starting server got {to_starting} of 60 requests in its first second, 8 at most"
    );
}

/// Regression test for an incident: responses were slow for a reason other than the gateway's own traffic,
/// and its concurrency limit fell until it sent almost nothing.
#[test]
fn a_gateway_with_slow_servers_keeps_two_attempts_in_flight_per_server() {
    let mut rig = Rig::new(Settings { fleet_gateway_count: 1.0, ..settings() }, 6);
    let request_of = |tenant| Request { tenant: TenantId(tenant), gateway_count: 2.0, ..Request::default() };
    for step in 0..400 {
        let now = 1000.0 + step as f64 * 10.0;
        let Received { id, actions } = rig.request_like(now, request_of(step));
        if let Some(server) = actions.forwarded_to() {
            rig.end_attempt(now + 450.0, id, server, Outcome::Ok);
        }
    }
    let forwarded =
        (1000..1040).filter(|tenant| rig.request_like(9000.0, request_of(*tenant)).actions.is_forwarded());
    let in_flight = forwarded.count();
    assert!(
        (12..40).contains(&in_flight),
        "the gateway keeps {in_flight} attempts in flight, 12 to 39 expected"
    );
}

#[test]
fn a_gateway_of_a_large_fleet_pauses_after_each_attempt_when_responses_are_slow() {
    const RESPONSE_TIME: f64 = 480.0;
    let mut rig = gateway_of_large_fleet(5, 100);
    let mut last_forwarded = 0;
    for second in 0..100 {
        let now = 1000.0 * f64::from(second);
        let Received { id, actions } = rig.request_like(now, large_fleet_request());
        let Some(server) = actions.forwarded_to() else { continue };
        last_forwarded = second;
        rig.handle(now + RESPONSE_TIME, attempt_ended(id, 0, server, Outcome::Ok, RESPONSE_TIME));
        // For 100 servers and 500 gateways, the initial limit of eight attempts per server is more than one
        // attempt per gateway. The lowest limit, two per server, is less than one.
        if second > 80 {
            let next = rig.request_like(now + RESPONSE_TIME + 20.0, large_fleet_request());
            assert!(
                !next.actions.is_forwarded(),
                "the gateway sent a request right after an attempt instead of pausing"
            );
        }
    }
    assert!(last_forwarded > 80, "the gateway stopped sending requests after {last_forwarded} s");
}

#[test]
fn the_first_quick_failure_ejects_a_server_that_gets_requests_rarely() {
    for outcome in [Outcome::ConnectFailed, Outcome::Reset, Outcome::Error] {
        let mut rig = gateway_of_large_fleet(5, 100);
        let Received { id, actions } = rig.request_like(1000.0, large_fleet_request());
        let failing = actions.forwarded_to().expect("the request is forwarded");
        rig.end_attempt(1003.0, id, failing, outcome);
        for step in 0..20 {
            let next = rig.request_like(1100.0 + 50.0 * f64::from(step), large_fleet_request());
            assert_ne!(
                next.actions.forwarded_to(),
                Some(failing),
                "a request went to the server that failed: {outcome:?}"
            );
        }
    }
}

/// Regression test for a day with a failing server: each gateway sent the server a request only every few
/// seconds, so it took long until a gateway had seen three failures.
#[test]
fn a_hundred_gateways_together_send_few_requests_to_failing_servers() {
    let mut failed = 0;
    for seed in 0..100 {
        let mut rig = gateway_of_large_fleet(seed, 60);
        for step in 0..50 {
            let now = 1000.0 + 50.0 * f64::from(step);
            let Received { id, actions } = rig.request_like(now, large_fleet_request());
            let Some(server) = actions.forwarded_to() else { continue };
            let failing = server.0 % 10 == 0;
            failed += usize::from(failing);
            rig.end_attempt(now + 10.0, id, server, if failing { Outcome::Error } else { Outcome::Ok });
        }
    }
    // Six of the 60 servers fail, so a gateway's subset of eight servers contains about one failing server.
    assert!(failed <= 200, "{failed} of 5000 requests went to a failing server, 200 at most");
}

/// Sends requests one after the other and ends each attempt after `RESPONSE_TIME`. Returns how many of them
/// were forwarded.
fn forwarded_of_requests(rig: &mut Rig, from: f64, requests: u32) -> u32 {
    const RESPONSE_TIME: f64 = 50.0;
    const REQUEST_INTERVAL: f64 = 100.0;
    let mut forwarded = 0;
    for step in 0..requests {
        let now = from + REQUEST_INTERVAL * f64::from(step);
        let Received { id, actions } = rig.request_like(now, large_fleet_request());
        let Some(server) = actions.forwarded_to() else { continue };
        forwarded += 1;
        rig.handle(now + RESPONSE_TIME, attempt_ended(id, 0, server, Outcome::Ok, RESPONSE_TIME));
    }
    forwarded
}

/// Regression test for an incident: an attempt ended while discovery listed no server, the concurrency limit
/// became 0, and the pause derived from it never ended, not even when the servers were listed again.
#[test]
fn a_gateway_forwards_again_after_an_attempt_ended_while_no_server_was_listed() {
    for outcome in [Outcome::Ok, Outcome::TimedOut] {
        let mut rig = gateway_of_large_fleet(5, 60);
        let Received { id, actions } = rig.request_like(1000.0, large_fleet_request());
        let server = actions.forwarded_to().expect("the request is forwarded");
        rig.handle(1020.0, complete_list(Vec::new()));
        rig.handle(1050.0, attempt_ended(id, 0, server, outcome, 50.0));
        rig.handle(2000.0, complete_list(ready_endpoints(60)));
        let forwarded = forwarded_of_requests(&mut rig, 2100.0, 20);
        assert_eq!(forwarded, 20, "{forwarded} of 20 requests were forwarded after {outcome:?}");
    }
}

/// Regression test: attempts ended while discovery listed only one of many servers. The concurrency limit fell
/// to the share of that server, and the pauses derived from it held back requests for many seconds after all
/// servers were listed again.
#[test]
fn a_gateway_forwards_at_its_usual_rate_after_a_list_that_was_short_for_a_moment() {
    let mut rig = gateway_of_large_fleet(5, 1000);
    assert_eq!(forwarded_of_requests(&mut rig, 1000.0, 20), 20);
    let mut ids = Vec::new();
    for _ in 0..16 {
        let Received { id, actions } = rig.request_like(4000.0, large_fleet_request());
        ids.extend(actions.forwarded_to().map(|server| (id, server)));
    }
    assert!(ids.len() > 10, "only {} requests were forwarded at once", ids.len());
    rig.handle(4020.0, complete_list(ready_endpoints(1)));
    for (id, server) in ids {
        rig.handle(4050.0, attempt_ended(id, 0, server, Outcome::Ok, 50.0));
    }
    rig.handle(4500.0, complete_list(ready_endpoints(1000)));
    let forwarded = forwarded_of_requests(&mut rig, 4600.0, 20);
    assert_eq!(forwarded, 20, "{forwarded} of 20 requests were forwarded after the list had returned");
}

/// Regression test: with 500 gateways and 10 servers, a gateway's lowest limit is 0.04 attempts, and the pause
/// after an attempt that took 2 s would be 48 s, in which the gateway cannot notice that the servers respond.
#[test]
fn a_gateway_with_far_fewer_servers_than_gateways_tries_again_within_seconds() {
    let mut rig = gateway_of_large_fleet(5, 10);
    let mut now = 1000.0;
    for _ in 0..100 {
        now += 1000.0;
        let Received { id, actions } = rig.request_like(now, large_fleet_request());
        let Some(server) = actions.forwarded_to() else { continue };
        now += 2000.0;
        rig.handle(now, attempt_ended(id, 0, server, Outcome::TimedOut, 2000.0));
    }
    let forwarded = forwarded_of_requests(&mut rig, now + 6000.0, 1);
    assert_eq!(forwarded, 1, "no request was forwarded 6 s after an attempt had timed out");
}
