//! Calls to the counter: how many calls a gateway makes, how long requests wait for the replies, and what the
//! gateway does when calls fail.

use crate::rig::{large_fleet_settings, settings, Received, Rig};
use crate::simulation::{
    attempt_ended, complete_list, counter_answered, counter_failed, forwarded_to, ready_endpoints,
    CounterStub,
};
use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{Event, Outcome, Request};
use rate_limiting_gateway::ids::{Millis, RequestId, TenantId};
use rate_limiting_gateway::policy::{counter_call_timeout, Gateway};
use rate_limiting_gateway::settings::{Class, Plan, Settings};

/// A request of a tenant whose requests are spread over 400 gateways.
fn low_traffic_request(tenant: u64) -> Request {
    Request { tenant: TenantId(tenant), gateway_count: 400.0, ..Request::default() }
}

/// Settings of a fleet in which each gateway rarely receives a request of the same tenant; `counter_timeout`
/// in ms.
fn low_traffic_settings(counter_timeout: Millis) -> Settings {
    Settings { counter_timeout, ..large_fleet_settings(4.0, 10.0) }
}

#[test]
fn the_first_request_of_a_tenant_reads_the_counter_without_waiting_for_the_reply() {
    let mut rig = Rig::new(settings(), 4);
    let first = rig.request(1000.0).actions;
    assert!(first.is_forwarded(), "the first request waited for the counter's reply");
    assert_eq!(first.counter_calls().len(), 1);
    let second = rig.request(1001.0).actions;
    assert!(second.counter_calls().is_empty());
}

#[test]
fn with_an_unresponsive_counter_a_gateway_forwards_about_its_share_of_the_quota() {
    let mut rig = Rig::new(settings(), 4);
    let call = rig.request(1000.0).actions.counter_call();
    rig.handle(1050.0, counter_failed(call.key, Outcome::TimedOut, 50.0));
    let forwarded = rig.send_burst(1060.0, 40);
    assert!(forwarded <= 6, "one of three gateways forwarded {forwarded} more requests of a burst of 10");
}

#[test]
fn many_gateways_call_the_counter_at_most_once_per_request_and_less_often_when_it_rejects_calls() {
    const GATEWAYS: u64 = 500;
    const TENANTS: u64 = 40;
    let mut calls_in_later_half = 0;
    for seed in 0..GATEWAYS {
        let mut rig = Rig::with_complete_list(large_fleet_settings(4.0, 10.0), seed, 4);
        for tenant in 0..TENANTS {
            let now = 1000.0 + 1000.0 * tenant as f64;
            let calls = rig.request_like(now, low_traffic_request(tenant)).actions.counter_calls();
            assert!(calls.len() <= 1);
            if tenant >= TENANTS / 2 {
                calls_in_later_half += calls.len();
            }
            for call in calls {
                rig.handle(now + 5.0, counter_failed(call.key, Outcome::Rejected, 5.0));
            }
        }
    }
    assert!(
        calls_in_later_half < 500 * 20 * 15 / 100,
        "{calls_in_later_half} calls for the later half of the requests"
    );
}

#[test]
fn the_usage_read_decides_on_a_low_traffic_request_and_a_rejected_request_releases_its_reservation() {
    /// The counter's total before the request, and whether the request is forwarded.
    struct Case {
        total: f64,
        is_forwarded: bool,
    }
    let cases = [
        Case { total: 20.0, is_forwarded: true },
        Case { total: 33.0, is_forwarded: true },
        Case { total: 38.0, is_forwarded: false },
    ];
    // The key periods of 30 s are staggered between tenants. The current period of tenant 0 began at 0 s, so
    // at 6 s 24 units have been refilled.
    for Case { total, is_forwarded } in cases {
        let mut rig = Rig::new(large_fleet_settings(4.0, 10.0), 4);
        let actions = rig.request_like(6000.0, low_traffic_request(0)).actions;
        assert!(!actions.is_forwarded(), "the request did not wait for the reply to its reservation");
        let call = actions.counter_call();
        let after = rig.handle(6000.0, counter_answered(call.key, 4.0, total + call.add));
        assert_eq!(after.is_forwarded(), is_forwarded, "wrong decision with a total of {total}");
        assert_eq!(after.is_rejected(), !is_forwarded, "wrong decision with a total of {total}");
        let released: Vec<f64> = after.counter_calls().into_iter().map(|call| call.add).collect();
        assert_eq!(
            released,
            if is_forwarded { vec![] } else { vec![-call.add] },
            "wrong units released with a total of {total}"
        );
    }
}

/// A request waits until its reservation call is answered or times out, but at most a quarter of its latency
/// objective, which is 500 ms. The limit holds for any time-out of counter calls, even a longer one.
#[test]
fn a_request_waits_for_its_reservation_up_to_a_quarter_of_the_latency_objective() {
    for timeout in [30.0, 100.0, 5000.0] {
        let mut rig = Rig::new(low_traffic_settings(timeout), 4);
        rig.request_like(1000.0, low_traffic_request(0));
        assert!(!rig.timer(1124.0).is_forwarded(), "forwarded too early, time-out {timeout} ms");
        assert!(rig.timer(1125.0).is_forwarded(), "queued for too long, time-out {timeout} ms");
        let call = rig.request_like(2000.0, low_traffic_request(1)).actions.counter_call();
        let after = rig.handle(2100.0, counter_answered(call.key, 100.0, 1000.0 + call.add));
        assert!(after.is_rejected(), "a reply after 100 ms was ignored, time-out {timeout} ms");
        let mut rig = Rig::new(low_traffic_settings(timeout), 4);
        let call = rig.request_like(2000.0, low_traffic_request(1)).actions.counter_call();
        let after = rig.handle(2030.0, counter_failed(call.key, Outcome::TimedOut, 30.0));
        assert!(after.is_forwarded(), "the request still waits after its call has timed out");
    }
}

#[test]
fn a_counter_call_times_out_after_a_quarter_of_the_shortest_latency_objective_within_bounds() {
    /// Latency objectives of the classes, `Settings::counter_timeout` and the expected time-out of calls, ms.
    struct Case {
        objectives: Vec<Millis>,
        counter_timeout: Millis,
        expected: Millis,
    }
    let cases = [
        Case { objectives: vec![500.0, 8000.0], counter_timeout: 30.0, expected: 125.0 },
        Case { objectives: vec![400.0], counter_timeout: 900.0, expected: 900.0 },
        Case { objectives: vec![60_000.0], counter_timeout: 30.0, expected: 800.0 },
    ];
    for Case { objectives, counter_timeout, expected } in cases {
        let class = |latency_objective| Class { latency_objective, ..Class::default() };
        let classes = objectives.into_iter().map(class).collect();
        let settings = Settings { classes, counter_timeout, ..settings() };
        assert_eq!(counter_call_timeout(&settings), expected);
    }
}

/// Sends one request of each of `tenants` new tenants, 10 ms apart, each followed by the timer. Every counter
/// call ends after 5 ms with the outcome that `outcome` gives for the call's number. Returns the number of
/// calls.
fn send_new_tenants(rig: &mut Rig, from: Millis, tenants: usize, outcome: fn(usize) -> Outcome) -> usize {
    let mut calls = 0;
    for step in 0..tenants {
        let now = from + 10.0 * step as f64;
        let tenant = rig.next_tenant();
        let request = Request { tenant, gateway_count: 3.0, ..Request::default() };
        let Received { id, actions } = rig.request_like(now, request);
        let mut made = actions.counter_calls();
        if let Some(server) = actions.forwarded_to() {
            rig.end_attempt(now, id, server, Outcome::Ok);
        }
        made.extend(rig.timer(now + 1.0).counter_calls());
        for call in made {
            let (key, outcome, elapsed) = (call.key, outcome(calls), 5.0);
            calls += 1;
            rig.handle(now + 5.0, Event::CounterReplied { key, outcome, elapsed, total: 1.0 });
        }
    }
    calls
}

/// Numbers of counter calls in the first and in the fifth second. `outcome` gives the outcome of a call by
/// its number.
fn calls_in_first_and_fifth_second(outcome: fn(usize) -> Outcome) -> [usize; 2] {
    let mut rig = Rig::new(settings(), 4);
    let first = send_new_tenants(&mut rig, 1000.0, 100, outcome);
    send_new_tenants(&mut rig, 2000.0, 300, outcome);
    [first, send_new_tenants(&mut rig, 5000.0, 100, outcome)]
}

#[test]
fn a_congested_counter_is_called_less_often() {
    let every_other_rejected = |call| if call % 2 == 0 { Outcome::Rejected } else { Outcome::Ok };
    let [first, fifth] = calls_in_first_and_fifth_second(every_other_rejected);
    assert!(2 * fifth < first, "{first} calls in the first second, {fifth} in the fifth");
}

#[test]
fn a_counter_call_lost_with_its_connection_does_not_count_as_congestion() {
    let every_other_lost = |call| if call % 2 == 0 { Outcome::Reset } else { Outcome::Ok };
    let [first, fifth] = calls_in_first_and_fifth_second(every_other_lost);
    assert!(10 * fifth >= 9 * first, "{first} calls in the first second, {fifth} in the fifth");
}

#[test]
fn tenants_that_send_one_request_are_evicted() {
    let mut rig = Rig::new(settings(), 4);
    send_new_tenants(&mut rig, 1000.0, 2000, |_| Outcome::Ok);
    assert!(rig.gateway.tenant_count() >= 1990);
    send_new_tenants(&mut rig, 21_000.0, 4000, |_| Outcome::Ok);
    // A new tenant arrives every 10 ms, and an idle tenant is kept for 30 s.
    let kept = rig.gateway.tenant_count();
    assert!(kept <= 3200, "the gateway still keeps {kept} tenants");
}

/// Answers the counter calls among `actions`, and the calls that the gateway makes in response, until no call
/// is left.
fn answer_calls(counter: &mut CounterStub, gateway: &mut Gateway, now: Millis, actions: &mut Vec<Action>) {
    let mut next = 0;
    while next < actions.len() {
        if let Action::IncrementCounter { key, add, .. } = actions[next] {
            let total = counter.add(key, add);
            gateway.handle(now, counter_answered(key, 1.0, total), actions);
        }
        next += 1;
    }
}

/// Numbers of requests of one tenant in a minute.
struct MinuteOfRequests {
    forwarded: f64,
    sent: f64,
}

/// Simulates a fleet with one tenant that sends requests at a constant rate for a minute, each request to a
/// different gateway than the one before.
fn send_for_a_minute(gateways: usize, plan: &Plan, requests_per_second: f64) -> MinuteOfRequests {
    let settings = Settings { fleet_gateway_count: gateways as f64, plans: vec![plan.clone()], ..settings() };
    let mut counter = CounterStub::unlimited();
    let mut fleet: Vec<Gateway> =
        (0..gateways).map(|index| Gateway::new(settings.clone(), index as u64)).collect();
    for gateway in &mut fleet {
        gateway.handle(0.0, complete_list(ready_endpoints(20)), &mut Vec::new());
    }
    let sent = (60.0 * requests_per_second) as u32;
    let mut forwarded = 0.0;
    for number in 0..sent {
        let now = 1000.0 + 1000.0 * f64::from(number) / requests_per_second;
        let gateway = &mut fleet[(number as usize * 37) % gateways];
        let id = RequestId(number);
        let gateway_count = gateways as f64;
        let request = Request { id, units: 1.0, time_left: 1500.0, gateway_count, ..Request::default() };
        let mut actions = Vec::new();
        gateway.handle(now, Event::Request(request), &mut actions);
        answer_calls(&mut counter, gateway, now, &mut actions);
        if let Some(server) = forwarded_to(&actions) {
            forwarded += 1.0;
            actions.clear();
            gateway.handle(now, attempt_ended(id, 0, server, Outcome::Ok, 0.0), &mut actions);
            answer_calls(&mut counter, gateway, now, &mut actions);
        }
    }
    MinuteOfRequests { forwarded, sent: f64::from(sent) }
}

#[test]
fn a_hundred_gateways_enforce_the_quota_of_a_tenant_that_sends_each_about_one_request_per_minute() {
    let plan = Plan { rate: 0.7, burst: 4.0, priority_multiplier: 1.0, ..Plan::default() };
    let quota = 4.0 + 0.7 * 60.0;
    let MinuteOfRequests { forwarded, sent } = send_for_a_minute(100, &plan, 2.1);
    assert!(
        (0.9..1.1).contains(&(forwarded / quota)),
        "{forwarded} of {sent} requests were forwarded, sent at three times the rate; the quota is {quota}"
    );
    let MinuteOfRequests { forwarded, sent } = send_for_a_minute(100, &plan, 0.5);
    assert!(forwarded >= 0.98 * sent, "only {forwarded} of {sent} requests within the quota were forwarded");
}
