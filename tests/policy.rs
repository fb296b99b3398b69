//! Each failure found, as one small script through the module's interface.

use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{Endpoint, EndpointState, EndpointUpdate, Event, Outcome, Request};
use rate_limiting_gateway::ids::{CounterKey, RequestId, ServerId, TenantId};
use rate_limiting_gateway::policy::Gateway;
use rate_limiting_gateway::settings::{Class, DeduplicationScope, Idempotency, Plan, Settings};

/// A gateway with its clock, and helpers that drive it.
struct Rig {
    gateway: Gateway,
    actions: Vec<Action>,
    next: u32,
}

fn settings() -> Settings {
    Settings {
        gateway_count: 3.0,
        classes: vec![Class {
            latency_objective: 500.0,
            deadline: 1500.0,
            priority_weight: 1.0,
            ..Class::default()
        }],
        plans: vec![Plan {
            rate: 5.0,
            burst: 10.0,
            priority_multiplier: 1.0,
            overage_penalty: 0.6,
            ..Plan::default()
        }],
        max_units: 1.0,
        max_attempts: 4,
        hedging_allowed: true,
        cancellation_allowed: true,
        counter: true,
        counter_timeout: 50.0,
        slow_start_capacity: 0.2,
        slow_start_window: 10_000.0,
        ..Settings::default()
    }
}

fn server(n: u32) -> Endpoint {
    Endpoint { server: ServerId(n), weight: 1.0, ..Endpoint::default() }
}

impl Rig {
    fn new(settings: Settings, servers: u32) -> Self {
        let mut rig = Rig { gateway: Gateway::new(settings, 11), actions: Vec::new(), next: 1 };
        let entries = (1..=servers).map(server).collect();
        rig.feed(0.0, Event::EndpointsChanged { update: EndpointUpdate::Cached, entries });
        rig
    }

    fn feed(&mut self, now: f64, event: Event) -> Vec<Action> {
        self.actions.clear();
        self.gateway.handle(now, event, &mut self.actions);
        self.actions.clone()
    }

    fn ask(&mut self, now: f64) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next);
        self.next += 1;
        let request = Request { id, units: 1.0, time_left: 1500.0, gateway_count: 3.0, ..Request::default() };
        (id, self.feed(now, Event::Request(request)))
    }

    fn end(&mut self, now: f64, id: RequestId, server: ServerId, outcome: Outcome) -> Vec<Action> {
        let complete = outcome == Outcome::Ok;
        let event = Event::AttemptEnded { id, attempt: 0, server, outcome, complete, elapsed: 50.0 };
        self.feed(now, event)
    }
}

fn sent(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Forward { server, .. } => Some(*server),
        _ => None,
    })
}

fn counts(actions: &[Action]) -> Vec<(CounterKey, f64)> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::IncrementCounter { key: name, add, .. } => Some((*name, *add)),
            _ => None,
        })
        .collect()
}

fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

/// Sends `n` requests at once, answering each before the next; returns how many were let in.
fn burst(rig: &mut Rig, now: f64, n: usize) -> usize {
    let mut let_in = 0;
    for _ in 0..n {
        let (id, actions) = rig.ask(now);
        if let Some(server) = sent(&actions) {
            let_in += 1;
            rig.end(now, id, server, Outcome::Ok);
        }
    }
    let_in
}

#[test]
fn all_under_capacity_pass_and_the_hard_multiple_refuses() {
    let mut rig = Rig::new(settings(), 4);
    assert_eq!(burst(&mut rig, 1000.0, 10), 10);
    // Between the marks the chance decides; past the hard multiple nothing passes.
    burst(&mut rig, 1000.0, 10);
    assert_eq!(burst(&mut rig, 1000.0, 50), 0);
}

#[test]
fn a_new_customer_is_read_once_off_the_path() {
    let mut rig = Rig::new(settings(), 4);
    let (_, first) = rig.ask(1000.0);
    assert!(sent(&first).is_some(), "the read is not waited for");
    assert_eq!(counts(&first).len(), 1);
    let (_, second) = rig.ask(1001.0);
    assert!(counts(&second).is_empty());
}

#[test]
fn use_of_other_gateways_fills_the_window() {
    let mut rig = Rig::new(settings(), 4);
    let (_, first) = rig.ask(1000.0);
    let (name, _) = counts(&first)[0];
    let event = Event::CounterReplied { key: name, outcome: Outcome::Ok, elapsed: 2.0, total: 100.0 };
    rig.feed(1002.0, event);
    assert!(burst(&mut rig, 1003.0, 20) < 10);
}

#[test]
fn a_drained_server_gets_nothing_more() {
    let mut rig = Rig::new(settings(), 2);
    let drained = Endpoint { state: EndpointState::Draining, ..server(1) };
    rig.feed(500.0, Event::EndpointsChanged { update: EndpointUpdate::Incremental, entries: vec![drained] });
    for i in 0..8 {
        let (_, actions) = rig.ask(1000.0 + f64::from(i));
        assert_ne!(sent(&actions), Some(ServerId(1)));
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_not_refused_or_retried() {
    let mut set = settings();
    set.classes[0].idempotency = Idempotency::NonIdempotent;
    let mut rig = Rig::new(set, 4);
    let (id, actions) = rig.ask(1000.0);
    let server = sent(&actions).unwrap();
    let after = rig.end(1050.0, id, server, Outcome::Reset);
    assert!(after.contains(&Action::Fail(id)));
    assert!(sent(&after).is_none() && !refused(&after));
}

#[test]
fn an_unsafe_request_that_never_ran_goes_elsewhere() {
    let mut set = settings();
    set.classes[0].idempotency = Idempotency::NonIdempotent;
    let mut rig = Rig::new(set, 4);
    let (id, actions) = rig.ask(1000.0);
    let server = sent(&actions).unwrap();
    let after = rig.end(1050.0, id, server, Outcome::ConnectFailed);
    assert!(sent(&after).is_some_and(|s| s != server));
}

#[test]
fn a_keyed_request_stays_in_its_zone() {
    let mut set = settings();
    set.classes[0].idempotency =
        Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, window: 4000.0 };
    let mut rig = Rig::new(set, 0);
    let entries = (1..=6).map(|n| Endpoint { zone: (n % 2) as u16, ..server(n) }).collect();
    rig.feed(1.0, Event::EndpointsChanged { update: EndpointUpdate::Complete, entries });
    let (id, actions) = rig.ask(1000.0);
    let first = sent(&actions).unwrap();
    let after = rig.end(1050.0, id, first, Outcome::Reset);
    let second = sent(&after).unwrap();
    assert_eq!(first.0 % 2, second.0 % 2);
    assert_ne!(first, second);
}

#[test]
fn requests_that_nothing_can_serve_are_refused_in_time() {
    let mut rig = Rig::new(settings(), 0);
    let (id, actions) = rig.ask(1000.0);
    assert!(sent(&actions).is_none());
    let mut done = refused(&actions);
    for i in 1..75 {
        let after = rig.feed(1000.0 + 20.0 * f64::from(i), Event::Timer(0));
        done |= after.iter().any(|a| matches!(a, Action::Reject { id: r, .. } if *r == id));
    }
    assert!(done);
}

#[test]
fn a_try_too_short_for_housekeeping_is_answered_at_once() {
    // Found on a bench drill: a client's repeat with a few ms left was held and never answered.
    let mut rig = Rig::new(settings(), 0);
    let request =
        Request { id: RequestId(5), units: 1.0, time_left: 6.0, gateway_count: 2.0, ..Request::default() };
    let actions = rig.feed(1000.0, Event::Request(request));
    assert!(refused(&actions));
}

#[test]
fn a_cold_server_gets_a_trickle() {
    let mut rig = Rig::new(settings(), 0);
    let mut cold = server(1);
    cold.started = 1000.0;
    let entries = vec![cold, server(2), server(3)];
    rig.feed(1000.0, Event::EndpointsChanged { update: EndpointUpdate::Complete, entries });
    let mut to_cold = 0;
    for i in 0..60 {
        let now = 1000.0 + f64::from(i) * 15.0;
        let request = Request {
            id: RequestId(i as u32),
            tenant: TenantId(i as u64),
            units: 1.0,
            time_left: 1500.0,
            gateway_count: 2.0,
            ..Request::default()
        };
        let actions = rig.feed(now, Event::Request(request));
        let to = sent(&actions).unwrap();
        to_cold += usize::from(to == ServerId(1));
        rig.end(now + 1.0, RequestId(i as u32), to, Outcome::Ok);
    }
    assert!(to_cold <= 8, "{to_cold} of 60 in the first second");
}

#[test]
fn a_silent_counter_leaves_each_gateway_its_share() {
    let mut rig = Rig::new(settings(), 4);
    let (_, first) = rig.ask(1000.0);
    let (name, _) = counts(&first)[0];
    rig.feed(
        1050.0,
        Event::CounterReplied { key: name, outcome: Outcome::TimedOut, elapsed: 50.0, total: 0.0 },
    );
    let let_in = burst(&mut rig, 1060.0, 40);
    assert!(let_in <= 6, "{let_in} of a burst of 10 by one of three gateways");
}

#[test]
fn a_ceiling_holds_unheard_and_through_a_restart() {
    let mut set = settings();
    set.plans[0] = Plan { ceiling_rate: 10.0, ceiling_burst: 20.0, ..set.plans[0].clone() };
    let mut total = 0;
    for _ in 0..3 {
        // The counter answers nothing, and every instance starts without memory.
        let mut rig = Rig::new(set.clone(), 4);
        for step in 0..200 {
            let now = 1000.0 + f64::from(step) * 5.0;
            for (name, _) in counts(&rig.actions.clone()) {
                rig.feed(
                    now,
                    Event::CounterReplied {
                        key: name,
                        outcome: Outcome::ConnectFailed,
                        elapsed: 1.0,
                        total: 0.0,
                    },
                );
            }
            total += burst(&mut rig, now, 1);
        }
    }
    assert!(total <= 20 + 10 + 2, "{total} units in a second by three gateways");
}

#[test]
fn same_events_same_actions() {
    let run = || {
        let mut rig = Rig::new(settings(), 5);
        let mut all = Vec::new();
        for i in 0..200 {
            all.extend(rig.ask(1000.0 + f64::from(i) * 7.0).1);
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn an_open_cap_holds_what_exceeds_the_fair_share() {
    // Found on a bench day: estimates of the others' attempts let 4% of the units out beyond the cap.
    let mut set = settings();
    set.plans[0].max_in_flight = 6.0;
    let mut rig = Rig::new(set, 4);
    let (first, a) = rig.ask(1000.0);
    let (_, b) = rig.ask(1000.0);
    let (third, c) = rig.ask(1000.0);
    assert!(sent(&a).is_some() && sent(&b).is_some());
    assert!(sent(&c).is_none() && !refused(&c), "held, not refused");
    let after = rig.end(1050.0, first, sent(&a).unwrap(), Outcome::Ok);
    assert!(after.iter().any(|x| matches!(x, Action::Forward { id, .. } if *id == third)));
}

#[test]
fn the_refill_of_the_store_passes_though_the_window_is_full() {
    let mut rig = Rig::new(settings(), 4);
    assert_eq!(burst(&mut rig, 1000.0, 9), 9);
    // 0.8 s later the window still holds nine, the store has four more.
    assert!(burst(&mut rig, 1800.0, 4) >= 3);
}

#[test]
fn a_pressed_gateway_keeps_sending_two_attempts_a_server() {
    // Found on an incident: the limit fell for ever while slowness had another cause.
    let mut rig = Rig::new(Settings { gateway_count: 1.0, ..settings() }, 6);
    for i in 0..400u32 {
        let request = Request {
            id: RequestId(i),
            tenant: TenantId(u64::from(i)),
            units: 1.0,
            time_left: 1500.0,
            gateway_count: 2.0,
            ..Request::default()
        };
        let now = 1000.0 + f64::from(i) * 10.0;
        if let Some(server) = sent(&rig.feed(now, Event::Request(request))) {
            rig.end(now + 450.0, RequestId(i), server, Outcome::Ok);
        }
    }
    let mut out = 0;
    for i in 1000..1040u32 {
        let request = Request {
            id: RequestId(i),
            tenant: TenantId(u64::from(i)),
            units: 1.0,
            time_left: 1500.0,
            gateway_count: 2.0,
            ..Request::default()
        };
        out += usize::from(sent(&rig.feed(9000.0, Event::Request(request))).is_some());
    }
    assert!((12..40).contains(&out), "{out} out");
}

#[test]
fn between_the_marks_refusals_follow_the_factor() {
    // 10 units of capacity, 10.2 observed: the factor is 1 - 5 / 10.2 over the last second. The hard mark is 10.5.
    let mut passed = 0;
    let runs = 400;
    for seed in 0..runs {
        let mut set = settings();
        set.counter = false;
        let mut gateway = Gateway::new(set, seed);
        let mut actions = Vec::new();
        gateway.handle(
            0.0,
            Event::EndpointsChanged {
                update: EndpointUpdate::Complete,
                entries: (1..=8).map(server).collect(),
            },
            &mut actions,
        );
        for (i, units) in [5.0, 5.0, 0.2, 1.0].into_iter().enumerate() {
            actions.clear();
            let id = RequestId(i as u32);
            let request = Request { id, units, time_left: 1500.0, gateway_count: 1.0, ..Request::default() };
            gateway.handle(1000.0, Event::Request(request), &mut actions);
        }
        passed += usize::from(sent(&actions).is_some());
    }
    let share = passed as f64 / runs as f64;
    assert!((0.40..0.58).contains(&share), "passed {share}");
}

#[test]
fn a_plan_without_a_rate_passes_and_calls_no_counter() {
    let mut set = settings();
    set.plans[0].rate = 0.0;
    let mut rig = Rig::new(set, 4);
    assert_eq!(burst(&mut rig, 1000.0, 100), 100);
    assert!(counts(&rig.ask(1001.0).1).is_empty());
}

/// Hundreds of gateways share a customer of which each sees a request a minute.
fn crowd(rate: f64, burst: f64) -> Settings {
    let plan = Plan { rate, burst, priority_multiplier: 1.0, overage_penalty: 0.6, ..Plan::default() };
    Settings { gateway_count: 500.0, plans: vec![plan], ..settings() }
}

fn ask_thin(rig: &mut Rig, now: f64, tenant: u64) -> (RequestId, Vec<Action>) {
    let id = RequestId(rig.next);
    rig.next += 1;
    let tenant = TenantId(tenant);
    let request =
        Request { id, tenant, units: 1.0, time_left: 1500.0, gateway_count: 400.0, ..Request::default() };
    (id, rig.feed(now, Event::Request(request)))
}

#[test]
fn many_gateways_call_the_counter_at_most_once_a_request_and_less_when_it_fails() {
    let mut calls = [0; 2];
    for gateway in 0..500u64 {
        let mut rig = Rig::new(crowd(4.0, 10.0), 4);
        rig.gateway = Gateway::new(crowd(4.0, 10.0), gateway);
        rig.feed(
            0.0,
            Event::EndpointsChanged {
                update: EndpointUpdate::Complete,
                entries: (1..=4).map(server).collect(),
            },
        );
        for tenant in 0..40 {
            let now = 1000.0 + 1000.0 * tenant as f64;
            let (_, actions) = ask_thin(&mut rig, now, tenant);
            let made = counts(&actions);
            assert!(made.len() <= 1);
            calls[usize::from(tenant >= 20)] += made.len();
            for (name, _) in made {
                let outcome = Outcome::Rejected;
                rig.feed(now + 5.0, Event::CounterReplied { key: name, outcome, elapsed: 5.0, total: 0.0 });
            }
        }
    }
    assert!(calls[1] < 500 * 20 * 15 / 100, "{calls:?}");
}

#[test]
fn a_thin_customer_is_decided_by_the_use_just_read_and_what_is_declined_is_taken_back() {
    // Names last 30 s and are staggered: customer 0 has one that began at 0 s, and by 6 s 24 units were yielded.
    for (total, passes) in [(20.0, true), (33.0, true), (38.0, false)] {
        let mut rig = Rig::new(crowd(4.0, 10.0), 4);
        let (_, actions) = ask_thin(&mut rig, 6000.0, 0);
        assert!(sent(&actions).is_none(), "its count is waited for");
        let (name, add) = counts(&actions)[0];
        let event =
            Event::CounterReplied { key: name, outcome: Outcome::Ok, elapsed: 4.0, total: total + add };
        let after = rig.feed(6000.0, event);
        assert_eq!((sent(&after).is_some(), refused(&after)), (passes, !passes), "{total}");
        let back: Vec<f64> = counts(&after).into_iter().map(|c| c.1).collect();
        assert_eq!(back, if passes { vec![] } else { vec![-add] }, "{total}");
    }
}

#[test]
fn a_count_is_waited_for_up_to_a_quarter_of_the_aim_however_long_a_call_may_take() {
    // The aim is 500 ms. A simulated call ends at its time-out, and with it the wait; a real one is answered.
    for timeout in [30.0, 100.0, 5000.0] {
        let mut rig = Rig::new(Settings { counter_timeout: timeout, ..crowd(4.0, 10.0) }, 4);
        ask_thin(&mut rig, 1000.0, 0);
        assert!(sent(&rig.feed(1124.0, Event::Timer(0))).is_none(), "decided early, time-out {timeout} ms");
        assert!(sent(&rig.feed(1125.0, Event::Timer(0))).is_some(), "held for long, time-out {timeout} ms");
        let (_, actions) = ask_thin(&mut rig, 2000.0, 1);
        let (name, add) = counts(&actions)[0];
        let event =
            Event::CounterReplied { key: name, outcome: Outcome::Ok, elapsed: 100.0, total: 1000.0 + add };
        assert!(refused(&rig.feed(2100.0, event)), "an answer after 100 ms decides, time-out {timeout} ms");
        let mut rig = Rig::new(Settings { counter_timeout: timeout, ..crowd(4.0, 10.0) }, 4);
        let (_, actions) = ask_thin(&mut rig, 2000.0, 1);
        let (name, _) = counts(&actions)[0];
        let event =
            Event::CounterReplied { key: name, outcome: Outcome::TimedOut, elapsed: 30.0, total: 0.0 };
        assert!(sent(&rig.feed(2030.0, event)).is_some(), "a call that is given up holds nothing up");
    }
    for (aims, timeout, patience) in
        [(vec![500.0, 8000.0], 30.0, 125.0), (vec![400.0], 900.0, 900.0), (vec![60_000.0], 30.0, 800.0)]
    {
        let classes = aims
            .into_iter()
            .map(|latency_objective| Class { latency_objective, ..Class::default() })
            .collect();
        let set = Settings { classes, counter_timeout: timeout, ..settings() };
        assert_eq!(rate_limiting_gateway::policy::counter_call_timeout(&set), patience);
    }
}

#[test]
fn a_request_that_its_part_of_the_ceiling_cannot_bear_in_time_is_refused_at_once_and_told_when_to_come() {
    for gateways in [3.0, 300.0] {
        // A part of the ceiling's store of two units, which takes 5 s for another.
        let (rate, burst) = (0.2 * gateways, 2.0 * gateways);
        let ceiling = Plan { ceiling_rate: rate, ceiling_burst: burst, ..Plan::default() };
        let plan = Plan { rate: 0.9 * rate, burst: 0.9 * burst, priority_multiplier: 1.0, ..ceiling };
        let set = Settings { gateway_count: gateways, plans: vec![plan], counter: false, ..settings() };
        let set = Settings { max_retry_after: 60_000.0, ..set };
        let mut rig = Rig::new(set, gateways as u32);
        let mut ask = |now: f64| {
            let id = RequestId(rig.next);
            rig.next += 1;
            let request =
                Request { id, units: 1.0, time_left: 1500.0, gateway_count: gateways, ..Request::default() };
            let actions = rig.feed(now, Event::Request(request));
            (sent(&actions).is_some(), actions)
        };
        assert!(ask(60_000.0).0 && ask(60_000.0).0, "the store is full at first");
        let (passed, actions) = ask(60_000.0);
        assert!(!passed && refused(&actions), "held though nothing can come of it");
        let wait = actions.iter().find_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        });
        assert!(wait.is_some_and(|w| (4900.0..5100.0).contains(&w)), "told to wait {wait:?} ms");
        // What the store will hold soon enough is waited for.
        let (passed, actions) = ask(64_900.0);
        assert!(!passed && !refused(&actions), "not worth a wait of 100 ms");
        assert!(sent(&rig.feed(65_010.0, Event::Timer(0))).is_some());
    }
}

#[test]
fn many_gateways_together_hold_less_than_one_attempt_each_when_answers_are_slow() {
    let servers = 100;
    let mut rig = Rig::new(crowd(1000.0, 3000.0), servers);
    rig.gateway = Gateway::new(Settings { counter: false, ..crowd(1000.0, 3000.0) }, 5);
    rig.feed(
        0.0,
        Event::EndpointsChanged {
            update: EndpointUpdate::Complete,
            entries: (1..=servers).map(server).collect(),
        },
    );
    let mut last = 0;
    for second in 0..100 {
        let now = 1000.0 * f64::from(second);
        let (id, actions) = ask_thin(&mut rig, now, 1);
        if let Some(server) = sent(&actions) {
            last = second;
            let (outcome, complete) = (Outcome::Ok, true);
            let elapsed = 480.0;
            let ended = Event::AttemptEnded { id, attempt: 0, server, outcome, complete, elapsed };
            rig.feed(now + elapsed, ended);
            // Eight attempts a server over 500 gateways are more than one each at first, two are not.
            if second > 80 {
                let (_, next) = ask_thin(&mut rig, now + elapsed + 20.0, 1);
                assert!(sent(&next).is_none(), "the gateway rests after an attempt");
            }
        }
    }
    assert!(last > 80, "it goes on sending, last at {last} s");
}

#[test]
fn a_server_that_fails_at_once_is_left_at_once_where_servers_are_met_rarely() {
    for outcome in [Outcome::ConnectFailed, Outcome::Reset, Outcome::Error] {
        let mut rig = Rig::new(crowd(1000.0, 3000.0), 100);
        rig.gateway = Gateway::new(Settings { counter: false, ..crowd(1000.0, 3000.0) }, 5);
        let entries = (1..=100).map(server).collect();
        rig.feed(0.0, Event::EndpointsChanged { update: EndpointUpdate::Complete, entries });
        let (id, actions) = ask_thin(&mut rig, 1000.0, 1);
        let bad = sent(&actions).expect("sent");
        rig.end(1003.0, id, bad, outcome);
        for n in 0..20 {
            let (_, actions) = ask_thin(&mut rig, 1100.0 + 50.0 * f64::from(n), 1);
            assert_ne!(sent(&actions), Some(bad), "{outcome:?}");
        }
    }
}

#[test]
fn a_hundred_gateways_together_send_a_failing_server_one_request_each_at_most() {
    // Found on a day with a bad server: each gateway met it every few seconds, and three failures took long.
    let mut failed = 0;
    for seed in 0..100 {
        let mut rig = Rig::new(crowd(1000.0, 3000.0), 60);
        rig.gateway = Gateway::new(Settings { counter: false, ..crowd(1000.0, 3000.0) }, seed);
        let entries = (1..=60).map(server).collect();
        rig.feed(0.0, Event::EndpointsChanged { update: EndpointUpdate::Complete, entries });
        for n in 0..50 {
            let now = 1000.0 + 50.0 * f64::from(n);
            let (id, actions) = ask_thin(&mut rig, now, 1);
            let Some(to) = sent(&actions) else { continue };
            let bad = to.0 % 10 == 0;
            failed += usize::from(bad);
            rig.end(now + 10.0, id, to, if bad { Outcome::Error } else { Outcome::Ok });
        }
    }
    // Six of sixty are bad, so a gateway meets about one of them among its eight.
    assert!(failed <= 200, "{failed} of 5000 requests met a failing server");
}

/// One request each of new customers, 10 ms apart with the housekeeping; calls are answered by `outcome`
/// after 5 ms. Returns how many calls were made.
fn newcomers(rig: &mut Rig, from: f64, many: usize, outcome: impl Fn(usize) -> Outcome) -> usize {
    let mut calls = 0;
    for i in 0..many {
        let now = from + 10.0 * i as f64;
        let id = RequestId(rig.next);
        rig.next += 1;
        let tenant = TenantId(u64::from(rig.next));
        let request =
            Request { id, tenant, units: 1.0, time_left: 1500.0, gateway_count: 3.0, ..Request::default() };
        let mut acts = rig.feed(now, Event::Request(request));
        if let Some(server) = sent(&acts) {
            rig.end(now, id, server, Outcome::Ok);
        }
        acts.extend(rig.feed(now + 1.0, Event::Timer(0)));
        for (name, _) in counts(&acts) {
            let outcome = outcome(calls);
            calls += 1;
            rig.feed(now + 5.0, Event::CounterReplied { key: name, outcome, elapsed: 5.0, total: 1.0 });
        }
    }
    calls
}

#[test]
fn a_crowded_counter_is_called_more_rarely_and_a_lost_call_is_no_crowding() {
    let crowded = |i: usize| if i % 2 == 0 { Outcome::Rejected } else { Outcome::Ok };
    let mut rig = Rig::new(settings(), 4);
    let at_first = newcomers(&mut rig, 1000.0, 100, crowded);
    newcomers(&mut rig, 2000.0, 300, crowded);
    let later = newcomers(&mut rig, 5000.0, 100, crowded);
    assert!(2 * later < at_first, "{at_first} calls in the first second, {later} in the fifth");
    let lost = |i: usize| if i % 2 == 0 { Outcome::Reset } else { Outcome::Ok };
    let mut rig = Rig::new(settings(), 4);
    let at_first = newcomers(&mut rig, 1000.0, 100, lost);
    newcomers(&mut rig, 2000.0, 300, lost);
    let later = newcomers(&mut rig, 5000.0, 100, lost);
    assert!(10 * later >= 9 * at_first, "{at_first} calls in the first second, {later} in the fifth");
}

#[test]
fn customers_who_come_once_are_forgotten() {
    let mut rig = Rig::new(settings(), 4);
    newcomers(&mut rig, 1000.0, 2000, |_| Outcome::Ok);
    assert!(rig.gateway.tenant_count() >= 1990);
    newcomers(&mut rig, 21_000.0, 4000, |_| Outcome::Ok);
    // One comes every 10 ms and is kept for 30 s.
    let kept = rig.gateway.tenant_count();
    assert!(kept <= 3200, "{kept} customers are remembered");
}

/// The counter service as it is told on the wire, without delay.
#[derive(Default)]
struct Numbers(std::collections::HashMap<CounterKey, f64>);

impl Numbers {
    /// Answers the calls among `actions`, and what they bring on, until there are no more.
    fn serve(&mut self, gateway: &mut Gateway, now: f64, actions: &mut Vec<Action>) {
        let mut next = 0;
        while next < actions.len() {
            if let Action::IncrementCounter { key: name, add, .. } = actions[next] {
                let total = self.0.entry(name).or_default();
                *total += add;
                let event =
                    Event::CounterReplied { key: name, outcome: Outcome::Ok, elapsed: 1.0, total: *total };
                gateway.handle(now, event, actions);
            }
            next += 1;
        }
    }
}

/// A fleet of `gateways` with one customer, who asks `rate` times a second for a minute, each time at another
/// gateway; returns how many were sent on and how many asked.
fn fleet(gateways: usize, plan: Plan, rate: f64) -> (f64, f64) {
    let set = Settings { gateway_count: gateways as f64, plans: vec![plan], ..settings() };
    let mut numbers = Numbers::default();
    let mut all: Vec<Gateway> = (0..gateways).map(|g| Gateway::new(set.clone(), g as u64)).collect();
    let entries: Vec<Endpoint> = (1..=20).map(server).collect();
    for gateway in &mut all {
        let event = Event::EndpointsChanged { update: EndpointUpdate::Complete, entries: entries.clone() };
        gateway.handle(0.0, event, &mut Vec::new());
    }
    let asked = (60.0 * rate) as u32;
    let mut passed = 0.0;
    for i in 0..asked {
        let now = 1000.0 + 1000.0 * f64::from(i) / rate;
        let gateway = &mut all[(i as usize * 37) % gateways];
        let id = RequestId(i);
        let gateway_count = gateways as f64;
        let request = Request { id, units: 1.0, time_left: 1500.0, gateway_count, ..Request::default() };
        let mut actions = Vec::new();
        gateway.handle(now, Event::Request(request), &mut actions);
        numbers.serve(gateway, now, &mut actions);
        if let Some(server) = sent(&actions) {
            passed += 1.0;
            let (outcome, complete, elapsed) = (Outcome::Ok, true, 0.0);
            let ended = Event::AttemptEnded { id, attempt: 0, server, outcome, complete, elapsed };
            actions.clear();
            gateway.handle(now, ended, &mut actions);
            numbers.serve(gateway, now, &mut actions);
        }
    }
    (passed, f64::from(asked))
}

#[test]
fn a_hundred_gateways_hold_a_customer_of_whom_each_sees_a_request_a_minute() {
    let plan =
        || Plan { rate: 0.7, burst: 4.0, priority_multiplier: 1.0, overage_penalty: 1.2, ..Plan::default() };
    let quota = 4.0 + 0.7 * 60.0;
    let (passed, asked) = fleet(100, plan(), 2.1);
    assert!(
        (0.9..1.1).contains(&(passed / quota)),
        "{passed} of {asked} at three times the quota of {quota}"
    );
    let (passed, asked) = fleet(100, plan(), 0.5);
    assert!(passed >= 0.98 * asked, "{passed} of {asked} within the quota");
}

#[test]
fn a_gateways_part_of_a_ceiling_has_filled_before_its_customer_comes() {
    // Found on a day with a hundred gateways: most met a customer for the first time, with nothing to give.
    let ceiling = Plan { ceiling_rate: 6.0, ceiling_burst: 12.0, ..Plan::default() };
    let plan = Plan { rate: 3.0, burst: 5.0, priority_multiplier: 1.0, overage_penalty: 1.2, ..ceiling };
    let set = Settings { plans: vec![plan], counter: false, ..settings() };
    let mut rig = Rig::new(set, 4);
    assert!(sent(&rig.ask(5000.0).1).is_some(), "the first of a customer passes");
    let later = burst(&mut rig, 5000.0, 20);
    assert!(later <= 3, "{later} more of a third of the ceiling's store of 12");
}
