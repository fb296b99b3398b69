//! The choice of server over long random days: the same decisions as the plain rule, and the work they take.

use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{Endpoint, EndpointState, EndpointUpdate, Event, Outcome, Request};
use rate_limiting_gateway::ids::{ClassId, RequestId, ServerId, TenantId};
use rate_limiting_gateway::policy::Gateway;
use rate_limiting_gateway::settings::{Class, DeduplicationScope, Idempotency, Plan, Settings};

/// SplitMix64: the script's own chance, apart from the module's.
struct Dice(u64);

impl Dice {
    fn roll(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn below(&mut self, n: u64) -> u64 {
        self.roll() % n
    }

    fn share(&mut self) -> f64 {
        self.roll() as f64 / u64::MAX as f64
    }
}

fn settings() -> Settings {
    let keyed = |scope| Idempotency::IdempotencyKey { scope, window: 4000.0 };
    let repeats = [
        Idempotency::Idempotent,
        keyed(DeduplicationScope::Zone),
        keyed(DeduplicationScope::Cell),
        keyed(DeduplicationScope::All),
        Idempotency::NonIdempotent,
    ];
    let class = |idempotency| Class {
        latency_objective: 600.0,
        deadline: 1500.0,
        priority_weight: 1.0,
        idempotency,
        ..Class::default()
    };
    Settings {
        gateway_count: 3.0,
        classes: repeats.into_iter().map(class).collect(),
        plans: vec![Plan { priority_multiplier: 1.0, ..Plan::default() }],
        max_units: 1.0,
        max_attempts: 4,
        hedging_allowed: true,
        cancellation_allowed: true,
        slow_start_capacity: 0.2,
        slow_start_window: 4000.0,
        ..Settings::default()
    }
}

fn entry(n: u32) -> Endpoint {
    let (zone, cell) = ((n % 6) as u16, (n % 23) as u16);
    Endpoint { server: ServerId(n), weight: 1.0, zone, cell, ..Endpoint::default() }
}

/// A gateway before a fleet that changes, fails and recovers by chance.
struct Day {
    gateway: Gateway,
    dice: Dice,
    now: f64,
    fleet: Vec<Endpoint>,
    /// When an attempt ends, how, its request, its number and its server.
    out: Vec<(f64, Outcome, RequestId, u8, ServerId, f64)>,
    attempts: Vec<(RequestId, u8)>,
    digest: u64,
    sends: usize,
    /// Until then nearly all attempts fail.
    storm: f64,
}

impl Day {
    fn new(servers: u32, seed: u64) -> Self {
        let fleet: Vec<Endpoint> = (1..=servers).map(entry).collect();
        let mut day = Day {
            gateway: Gateway::new(settings(), seed),
            dice: Dice(seed),
            now: 100.0,
            fleet: fleet.clone(),
            out: Vec::new(),
            attempts: Vec::new(),
            digest: 0xcbf2_9ce4_8422_2325,
            sends: 0,
            storm: 0.0,
        };
        day.feed(Event::EndpointsChanged { update: EndpointUpdate::Cached, entries: fleet });
        day
    }

    fn note(&mut self, word: u32) {
        self.digest = (self.digest ^ u64::from(word)).wrapping_mul(0x0100_0000_01b3);
    }

    fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Forward { id, server, .. } => {
                    self.note(id.0 ^ (server.0 << 16));
                    self.sends += 1;
                    let number = self.attempts.iter().filter(|a| a.0 == id).count() as u8;
                    self.attempts.push((id, number));
                    let bad = server.0 % 17 == 3 || self.now < self.storm;
                    let outcome = match self.dice.below(if bad { 8 } else { 60 }) {
                        0 => Outcome::Rejected,
                        1 => Outcome::Error,
                        2 => Outcome::ConnectFailed,
                        3 => Outcome::Reset,
                        4 => Outcome::TimedOut,
                        _ => Outcome::Ok,
                    };
                    let slow = if server.0 % 11 == 5 { 160.0 } else { 40.0 };
                    let elapsed = (slow * self.dice.share()).floor() / 4.0 + 1.0;
                    self.out.push((self.now + elapsed, outcome, id, number, server, elapsed));
                }
                Action::Reject { id, .. } | Action::Fail(id) => {
                    self.note(!id.0);
                    self.attempts.retain(|a| a.0 != id);
                }
                Action::Cancel { id, attempt } => self.note(id.0.rotate_left(8) ^ u32::from(attempt)),
                _ => {}
            }
        }
    }

    /// Ends the attempts that are due, in the order of their ends.
    fn settle(&mut self) {
        while let Some(next) = (0..self.out.len()).min_by(|a, b| self.out[*a].0.total_cmp(&self.out[*b].0)) {
            if self.out[next].0 > self.now {
                return;
            }
            let (_, outcome, id, attempt, server, elapsed) = self.out.remove(next);
            let complete = outcome == Outcome::Ok;
            if complete {
                self.attempts.retain(|a| a.0 != id);
            }
            self.feed(Event::AttemptEnded { id, attempt, server, outcome, complete, elapsed });
        }
    }

    /// One change of the list: a server drains, goes, returns or restarts, a zone is lost or returns, half
    /// of the servers are replaced, a whole list leaves some out and names one twice; or a storm begins.
    fn change(&mut self) {
        let spot = self.dice.below(self.fleet.len() as u64) as usize;
        let started = (self.now - 9000.0).max(1.0);
        let mut update = EndpointUpdate::Incremental;
        let entries = match self.dice.below(16) {
            0..=3 => {
                self.fleet[spot].state = EndpointState::Draining;
                vec![self.fleet[spot].clone()]
            }
            4..=6 => {
                let gone = self.fleet[spot].clone();
                vec![Endpoint { state: EndpointState::Removed, ..gone }]
            }
            7..=10 => {
                let fresh = entry(self.fleet[spot].server.0);
                self.fleet[spot] = Endpoint { started, ..fresh };
                vec![self.fleet[spot].clone()]
            }
            11 => {
                let zone = self.dice.below(6) as u16;
                let state = [EndpointState::Draining, EndpointState::Ready][self.dice.below(2) as usize];
                self.fleet.iter_mut().filter(|e| e.zone == zone).for_each(|e| e.state = state);
                self.fleet.iter().filter(|e| e.zone == zone).cloned().collect()
            }
            12 => {
                for e in self.fleet.iter_mut().step_by(2) {
                    *e = Endpoint { started, ..entry(e.server.0 + 20_000) };
                }
                update = EndpointUpdate::Complete;
                self.fleet.clone()
            }
            13 => {
                self.storm = self.now + 400.0;
                Vec::new()
            }
            _ => {
                update = EndpointUpdate::Complete;
                self.fleet.iter_mut().for_each(|e| e.state = EndpointState::Ready);
                let left = self.dice.below(9) as usize;
                let some = self.fleet.iter().enumerate().filter(|(i, _)| i % 9 != left);
                some.map(|(_, e)| e.clone()).chain([self.fleet[spot].clone()]).collect()
            }
        };
        self.feed(Event::EndpointsChanged { update, entries });
    }

    fn play(&mut self, requests: u32, gap: f64, changes: u64) {
        let mut tick = self.now;
        for n in 0..requests {
            self.now += (8.0 * gap * self.dice.share()).floor() / 4.0;
            if self.now >= tick {
                tick = self.now + 20.0;
                self.feed(Event::Timer(0));
            }
            self.settle();
            if self.dice.below(changes) == 0 {
                self.change();
            }
            let class = ClassId(self.dice.below(5) as usize);
            let (id, tenant) = (RequestId(n), TenantId(u64::from(n % 50)));
            let request = Request { id, tenant, class, units: 1.0, time_left: 900.0, ..Request::default() };
            self.feed(Event::Request(request));
        }
    }
}

/// Servers, requests, mean gap in ms between them, requests to a change of the list, and a digest of all that
/// the gateway did, as recorded of the rule that looked at every server (commit 2fc4292).
const DAYS: [(u32, u32, f64, u64, u64); 11] = [
    (1, 2000, 6.0, 40, 0xbb2a_c1dc_fc44_94c6),
    (3, 4000, 6.0, 40, 0xc70e_8475_0d86_1773),
    (20, 6000, 4.0, 60, 0xbfca_bdfb_bae5_f0ad),
    (20, 3000, 300.0, 30, 0xe23f_9bd7_b5d3_fa11),
    (130, 5000, 8.0, 60, 0xc184_7d5c_8e88_38a5),
    (200, 6000, 60.0, 60, 0x47c3_095d_cbfc_ac82),
    (200, 6000, 2.0, 100, 0xc1f7_075c_7494_811c),
    (1000, 4000, 4.0, 60, 0xd51f_8fdf_ef3c_3976),
    (1000, 3000, 200.0, 40, 0xbfbc_39ec_fc49_7fb9),
    (5700, 3000, 4.0, 60, 0x8c07_caab_d6f7_6c13),
    (5700, 1500, 0.3, 100, 0xb1c8_4b70_8f17_e473),
];

#[test]
fn the_index_chooses_as_a_look_at_every_server_did() {
    for (servers, requests, gap, changes, digest) in DAYS {
        let seeds = if servers < 1000 { 4 } else { 2 };
        let found = (0..seeds).fold(0, |sum: u64, seed| {
            let mut day = Day::new(servers, 77 + seed);
            day.play(requests, gap, changes);
            assert!(servers < 20 || day.sends * 3 > requests as usize, "{servers}: {} sends", day.sends);
            sum.rotate_left(1) ^ day.digest
        });
        assert_eq!(found, digest, "{servers} servers, a request in {gap} ms");
    }
}

/// A gateway at a limiter's share of the plan's peak, 264 requests a second, each answered before the next.
struct Steady {
    gateway: Gateway,
    now: f64,
    next: u32,
    class: ClassId,
    repeats: u32,
}

impl Steady {
    fn new(servers: u32) -> Self {
        let plans = vec![Plan { rate: 1000.0, burst: 2000.0, priority_multiplier: 1.0, ..Plan::default() }];
        let gateway = Gateway::new(Settings { plans, ..settings() }, 5);
        let mut steady = Steady { gateway, now: 1.0, next: 0, class: ClassId(0), repeats: 0 };
        steady.list(EndpointUpdate::Complete, (1..=servers).map(entry).collect());
        steady.run(2500);
        steady
    }

    fn list(&mut self, update: EndpointUpdate, entries: Vec<Endpoint>) {
        self.gateway.handle(self.now, Event::EndpointsChanged { update, entries }, &mut Vec::new());
    }

    fn run(&mut self, requests: u32) {
        for _ in 0..requests {
            self.next += 1;
            self.now += 1000.0 / 264.0;
            let (id, tenant) = (RequestId(self.next), TenantId(u64::from(self.next % 50)));
            let class = self.class;
            let request = Request { id, tenant, class, units: 1.0, time_left: 900.0, ..Request::default() };
            let mut actions = Vec::new();
            self.gateway.handle(self.now, Event::Request(request), &mut actions);
            // Where it is bound to a group, one in twelve is reset and repeated.
            let reset = class != ClassId(0) && self.next % 12 == 0;
            let (mut attempt, mut at) = (0, self.now);
            while let Some(server) = actions.iter().find_map(|a| match a {
                Action::Forward { server, .. } => Some(*server),
                _ => None,
            }) {
                let outcome = if reset && attempt == 0 { Outcome::Reset } else { Outcome::Ok };
                let (complete, elapsed) = (outcome == Outcome::Ok, f64::from(server.0 % 7) + 1.0);
                let ended = Event::AttemptEnded { id, attempt, server, outcome, complete, elapsed };
                actions.clear();
                at += elapsed;
                self.gateway.handle(at, ended, &mut actions);
                self.repeats += u32::from(attempt > 0);
                attempt += 1;
            }
            if self.next % 5 == 0 {
                self.gateway.handle(self.now, Event::Timer(0), &mut Vec::new());
            }
        }
    }

    /// Servers and blocks of servers looked at for a request.
    fn endpoints_examined(&mut self) -> u64 {
        let before = self.gateway.endpoints_examined();
        self.run(200);
        (self.gateway.endpoints_examined() - before) / 200
    }
}

#[test]
fn a_choice_looks_at_no_more_servers_in_a_larger_fleet() {
    let endpoints_examined = [20, 200, 1000, 5700].map(|servers| Steady::new(servers).endpoints_examined());
    println!("servers and blocks looked at a request before 20, 200, 1,000 and 5,700 servers: {endpoints_examined:?}");
    assert!(
        2 * endpoints_examined[3] <= 3 * endpoints_examined[0]
            && 2 * endpoints_examined[2] <= 3 * endpoints_examined[0],
        "{endpoints_examined:?}"
    );
    // All are compared while they are no more than the requests of 3 s.
    assert!(endpoints_examined[1] <= 220, "{endpoints_examined:?}");
}

#[test]
fn a_repeat_that_is_bound_to_a_zone_or_a_cell_passes_the_others_in_blocks() {
    for class in [1, 2] {
        let mut steady = Steady::new(5700);
        (steady.class, steady.repeats) = (ClassId(class), 0);
        let endpoints_examined = steady.endpoints_examined();
        assert!(steady.repeats >= 12, "{} repeats", steady.repeats);
        // A first attempt looks at 20, a repeat at each block at most, of 32 servers or more on the whole.
        assert!(
            endpoints_examined <= 20 + 5700 / 32 / 12 + 1,
            "class {class}: {endpoints_examined} looks a request"
        );
    }
}

#[test]
fn servers_that_take_nothing_are_passed_in_blocks() {
    for left in [1, 3, 400, 5700] {
        let mut steady = Steady::new(5700);
        let drained = |n| Endpoint { state: EndpointState::Draining, ..entry(n) };
        steady.list(EndpointUpdate::Incremental, (1..=5700 - left).map(drained).collect());
        let endpoints_examined = steady.endpoints_examined();
        assert!(
            endpoints_examined <= 5700 / 16 + u64::from(left.min(400)),
            "{endpoints_examined} looks before {left} ready servers"
        );
    }
}

/// The time of one piece of work, in µs: the median of nine repeats of `n`, the least and the most.
fn micros(steady: &mut Steady, n: u32, work: impl Fn(&mut Steady, u32)) -> String {
    let mut times = [0.0; 9].map(|_| {
        let begin = std::time::Instant::now();
        (0..n).for_each(|i| work(steady, i));
        begin.elapsed().as_secs_f64() * 1e6 / f64::from(n)
    });
    times.sort_by(f64::total_cmp);
    format!("{:.2} ({:.2} to {:.2})", times[4], times[0], times[8])
}

#[test]
fn what_a_request_and_a_list_cost_is_printed() {
    for servers in [20, 200, 700, 1000, 5700] {
        let mut steady = Steady::new(servers);
        let request = micros(&mut steady, 1000, |s, _| s.run(1));
        let change = micros(&mut steady, 999, |s, i| {
            let state =
                [EndpointState::Removed, EndpointState::Draining, EndpointState::Ready][i as usize % 3];
            s.list(EndpointUpdate::Incremental, vec![Endpoint { state, ..entry(1 + i / 3 % servers) }]);
        });
        let whole = micros(&mut steady, 3, |s, _| {
            s.list(EndpointUpdate::Complete, (1..=servers).map(entry).collect())
        });
        println!("{servers} servers, µs: a request {request}, a delta of one {change}, a whole list {whole}");
    }
}
