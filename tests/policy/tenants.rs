//! How many tenants a gateway keeps state for, and whose state it drops first.

use crate::rig::{settings, Rig, TIME_LEFT};
use rate_limiting_gateway::event::{Event, Outcome, Request};
use rate_limiting_gateway::ids::{Millis, RequestId, TenantId};
use rate_limiting_gateway::policy::Gateway;
use rate_limiting_gateway::settings::Settings;

/// Maximum number of tenants of the gateway under test.
const MAX_TENANTS: usize = 100;
/// Id of the first of the tenants that send a single request.
const FIRST_NEW_TENANT: u64 = 1000;

fn limited_rig() -> Rig {
    let settings = Settings { counter_enabled: false, max_retry_after: 1000.0, ..settings() };
    let mut rig = Rig::new(settings, 4);
    let gateway = std::mem::replace(&mut rig.gateway, Gateway::new(Settings::default(), 0));
    rig.gateway = gateway.with_max_tenants(MAX_TENANTS);
    rig
}

/// Sends one request of each of `count` new tenants, with so little time left that it is rejected at once.
fn send_late_requests_of_new_tenants(rig: &mut Rig, now: Millis, count: u64) {
    for number in 0..count {
        let tenant = TenantId(FIRST_NEW_TENANT + number);
        let request = Request {
            id: RequestId(1_000_000 + number as u32),
            tenant,
            units: 1.0,
            time_left: 1.0,
            gateway_count: 3.0,
            ..Request::default()
        };
        assert!(rig.handle(now, Event::Request(request)).is_rejected(), "a late request was not rejected");
    }
}

/// Regression test for an incident: a client that sent requests of ever new tenants, all rejected at once, made
/// the state of tenants grow faster than idle tenants were evicted.
#[test]
fn requests_of_ever_new_tenants_do_not_exceed_the_maximum_number_of_tenants() {
    let mut rig = limited_rig();
    send_late_requests_of_new_tenants(&mut rig, 1000.0, 10_000);
    assert!(rig.gateway.tenant_count() <= MAX_TENANTS, "{} tenants are kept", rig.gateway.tenant_count());
    assert_eq!(rig.send_burst(1001.0, 1), 1, "a request of another tenant was not forwarded");
}

/// A tenant that has used up its quota must not get a new one because its state was dropped.
#[test]
fn a_tenant_that_uses_its_quota_keeps_its_state_while_new_tenants_arrive() {
    let mut rig = limited_rig();
    assert!(rig.send_burst(1000.0, 40) >= 10);
    assert_eq!(rig.send_burst(1001.0, 10), 0, "the quota is not used up");
    send_late_requests_of_new_tenants(&mut rig, 1002.0, 10_000);
    assert_eq!(rig.send_burst(1003.0, 10), 0, "the tenant got a new quota");
}

/// If each tenant uses its quota, a further tenant has no room. Its request is rejected with a time after which
/// the client should retry, and is admitted once the state of another tenant has no effect any more.
#[test]
fn a_tenant_without_room_is_rejected_and_admitted_later() {
    let mut rig = limited_rig();
    for number in 0..MAX_TENANTS as u64 {
        let request = Request { tenant: TenantId(FIRST_NEW_TENANT + number), ..Request::default() };
        let received = rig.request_like(1000.0, request);
        let server = received.actions.forwarded_to().expect("a request was not forwarded");
        rig.end_attempt(1000.0, received.id, server, Outcome::Ok);
    }
    let further = Request { tenant: TenantId(1), gateway_count: 3.0, ..Request::default() };
    let rejected = rig.request_like(1001.0, further.clone()).actions;
    assert_eq!(rejected.retry_after(), Some(1000.0), "the request was not rejected with a time to retry");
    assert_eq!(rig.gateway.tenant_count(), MAX_TENANTS);
    // The quota of 10 units at 5 per second refills in 2 s.
    let later = 1000.0 + 2.0 * TIME_LEFT;
    assert!(rig.request_like(later, further).actions.is_forwarded(), "the request was not forwarded later");
}
