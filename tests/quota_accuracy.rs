//! What a fleet lets through beyond its customers' quotas: many gateways on one simulated counter that is slow,
//! bears fewer calls than there are requests and falls silent for a while, beside a policy that sees the true
//! state of all quotas half a second late. Simulated time and fixed seeds: the figures are the same each run.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{Endpoint, EndpointUpdate, Event, Outcome, Request};
use rate_limiting_gateway::ids::{CounterKey, Millis, PlanId, RequestId, ServerId, TenantId};
use rate_limiting_gateway::policy::{counter_call_timeout, Gateway};
use rate_limiting_gateway::settings::{Class, Plan, Settings};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// How long a day lasts, ms, and the share of it at the start that does not count.
const DAY: Millis = 30_000.0;
/// How late the reference policy sees the quotas, ms.
const LATE: Millis = 500.0;
/// A server's answer takes this long, ms.
const WORK: Millis = 40.0;

/// A deployment's traffic and its counter.
struct World {
    gateways: usize,
    plans: Vec<Plan>,
    /// Customers of each plan.
    tenants: Vec<usize>,
    /// Calls that the counter bears a second, the time each takes at least, ms, and its time-out, ms.
    calls_a_second: f64,
    call_takes: Millis,
    call_timeout: Millis,
    /// The counter answers nothing in this span, ms.
    silent: std::ops::Range<Millis>,
    /// Three times as much is asked in this span.
    surge: std::ops::Range<Millis>,
    /// Seven in ten gateways start anew here.
    restarts: Millis,
    seed: u64,
}

impl World {
    /// Gateways that a plan's customers come to: all, or as many as a ceiling can be shared by.
    fn gateway_count(&self, plan: usize) -> f64 {
        let most = if self.plans[plan].ceiling_rate > 0.0 {
            self.plans[plan].ceiling_burst / 2.0
        } else {
            f64::INFINITY
        };
        (self.gateways as f64).min(most).floor()
    }
}

struct Dice(Pcg64Mcg);

impl Dice {
    fn roll(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn between(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * self.roll()
    }

    /// Time to the next of events that come at a rate, ms.
    fn wait(&mut self, a_second: f64) -> Millis {
        -1000.0 * (1.0 - self.roll()).ln() / a_second
    }
}

/// A quota as the operators count it.
#[derive(Clone)]
struct Store {
    holds: f64,
    at: Millis,
}

impl Store {
    fn fill(&mut self, plan: &Plan, now: Millis) {
        self.holds = (self.holds + (now - self.at) * plan.rate / 1000.0).min(plan.burst);
        self.at = now;
    }

    /// Takes a unit if it is there.
    fn take(&mut self, plan: &Plan, now: Millis) -> bool {
        self.fill(plan, now);
        let inside = self.holds >= 1.0;
        self.holds -= if inside { 1.0 } else { 0.0 };
        inside
    }
}

/// What came of a policy, as shares of the worth asked inside the quotas.
#[derive(Clone, Copy, Debug)]
struct Account {
    /// Sent on inside the quotas.
    inside: f64,
    /// Cost of what was sent on beyond them, less what it earned.
    beyond: f64,
}

/// Books what a policy sends on, and when.
struct Books {
    stores: Vec<Store>,
    inside: f64,
    beyond: f64,
    /// Requests refused, and those of them whose quota was half unused.
    refused: usize,
    with_room: usize,
}

impl Books {
    fn new(world: &World, plan_of: &[usize]) -> Self {
        let store = |p: &usize| Store { holds: world.plans[*p].burst, at: 0.0 };
        Books {
            stores: plan_of.iter().map(store).collect(),
            inside: 0.0,
            beyond: 0.0,
            refused: 0,
            with_room: 0,
        }
    }

    fn send(&mut self, plan: &Plan, tenant: usize, now: Millis) {
        if self.stores[tenant].take(plan, now) {
            self.inside += plan.priority_multiplier;
        } else {
            self.beyond += plan.priority_multiplier * (plan.overage_penalty - plan.overage_value);
        }
    }
}

impl Books {
    fn refuse(&mut self, plan: &Plan, tenant: usize, now: Millis) {
        self.stores[tenant].fill(plan, now);
        self.refused += 1;
        self.with_room += usize::from(self.stores[tenant].holds >= plan.burst / 2.0);
    }
}

/// The requests of a day in order: when, whose, at which gateway.
fn arrivals(world: &World, plan_of: &[usize], dice: &mut Dice) -> Vec<(Millis, usize, usize)> {
    let mut all = Vec::new();
    for (tenant, plan) in plan_of.iter().enumerate() {
        let rate = world.plans[*plan].rate;
        let set = world.gateway_count(*plan);
        let first = if set < world.gateways as f64 { tenant * 37 } else { 0 };
        let kind = dice.roll();
        // Most use a part of their quota, some nearly all, some far more all the time or in spikes.
        let (usual, spike) = match kind {
            k if k < 0.12 => (dice.between(0.85, 1.0), 1.0),
            k if k < 0.22 => (dice.between(1.5, 4.0), 1.0),
            k if k < 0.4 => (dice.between(0.26, 0.47), dice.between(2.1, 7.7)),
            _ => (dice.between(0.26, 0.47), 1.0),
        };
        let mut at = dice.wait(rate);
        let (mut turn, mut high, mut home) = (dice.between(0.0, 20_000.0), false, dice.roll());
        while at < DAY {
            if at > turn {
                high = !high && spike > 1.0;
                turn = at + if high { dice.between(1300.0, 5000.0) } else { dice.between(8700.0, 20_000.0) };
                home = dice.roll();
            }
            // Uneven: the gateways next to the busiest see several times the mean.
            let off = dice.roll().powi(2);
            let gateway = (first + ((home + off) * set) as usize % set as usize) % world.gateways;
            all.push((at, tenant, gateway));
            let more = if world.surge.contains(&at) { 3.0 } else { 1.0 };
            at += dice.wait(rate * more * if high { spike } else { usual });
        }
    }
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    all
}

/// A policy that sees every store as it was a moment ago, and lets in what it then held, or what earns more
/// beyond a quota than it costs.
fn seen_late(world: &World, plan_of: &[usize], arrivals: &[(Millis, usize, usize)]) -> Books {
    let mut books = Books::new(world, plan_of);
    let mut past: Vec<VecDeque<(Millis, f64)>> = plan_of.iter().map(|_| VecDeque::new()).collect();
    for (now, tenant, _) in arrivals {
        let plan = &world.plans[plan_of[*tenant]];
        let past = &mut past[*tenant];
        while past.get(1).is_some_and(|(at, _)| *at <= now - LATE) {
            past.pop_front();
        }
        let seen = past.front().filter(|(at, _)| *at <= now - LATE);
        let held = seen
            .map_or(plan.burst, |(at, held)| (held + (now - LATE - at) * plan.rate / 1000.0).min(plan.burst));
        if held >= 1.0 || plan.overage_value > plan.overage_penalty {
            books.send(plan, *tenant, *now);
            past.push_back((*now, books.stores[*tenant].holds));
        }
    }
    books
}

/// The bound from information: of a gateway that sees a customer too rarely to remember it, a call tells one
/// request whether the quota holds it, and what has no call is let in. Here each call tells the whole truth
/// at once and costs no second one, for as many requests as the counter bears.
fn seen_by_calls(world: &World, plan_of: &[usize], arrivals: &[(Millis, usize, usize)]) -> Books {
    let (mut books, mut dice) = (Books::new(world, plan_of), Dice(Pcg64Mcg::seed_from_u64(!world.seed)));
    let told = world.calls_a_second * DAY / 1000.0 / arrivals.len() as f64;
    for (now, tenant, _) in arrivals {
        let plan = &world.plans[plan_of[*tenant]];
        books.stores[*tenant].fill(plan, *now);
        if dice.roll() >= told || books.stores[*tenant].holds >= 1.0 {
            books.send(plan, *tenant, *now);
        }
    }
    books
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// A gateway's timer.
    Tick(usize, u32),
    /// A call's answer, or the end of waiting for it.
    Answer(u64),
    /// The answer of a server to a request of a gateway.
    Served(usize, u32),
}

/// Calls to the counter in one span: made, answered in time, turned away, not answered in time.
#[derive(Clone, Copy, Default, Debug)]
struct Load {
    made: usize,
    answered: usize,
    full: usize,
    late: usize,
}

/// A call that is out: which gateway's, and in which of its lives; since when; and how it will end.
struct Call {
    gateway: usize,
    life: u32,
    since: Millis,
    name: CounterKey,
    outcome: Outcome,
    total: f64,
}

/// One counter, whose two parts answer calls in turn and turn away those for whom the line is too long.
struct Counter {
    totals: HashMap<CounterKey, f64>,
    free_at: [Millis; 2],
    calls: HashMap<u64, Call>,
    next: u64,
    load: Load,
    /// Whoever calls waits this long, ms.
    patience: Millis,
}

impl Counter {
    /// Takes a call, and tells when it ends.
    fn call(
        &mut self,
        world: &World,
        now: Millis,
        gateway: (usize, u32),
        name: CounterKey,
        add: f64,
    ) -> (Millis, Due) {
        self.load.made += 1;
        let part = (name.0 >> 7) as usize % 2;
        let begins = self.free_at[part].max(now);
        let (at, outcome, total) = if world.silent.contains(&now) {
            (now + self.patience, Outcome::TimedOut, 0.0)
        } else if begins - now > 3.0 * world.call_timeout {
            (now + 1.0, Outcome::Rejected, 0.0)
        } else {
            self.free_at[part] = begins + 2000.0 / world.calls_a_second;
            let total = self.totals.entry(name).or_default();
            *total += add;
            match begins + world.call_takes {
                late if late - now > self.patience => (now + self.patience, Outcome::TimedOut, 0.0),
                at => (at, Outcome::Ok, *total),
            }
        };
        match outcome {
            Outcome::Ok => self.load.answered += 1,
            Outcome::Rejected => self.load.full += 1,
            _ => self.load.late += 1,
        }
        self.next += 1;
        let (gateway, life) = gateway;
        self.calls.insert(self.next, Call { gateway, life, since: now, name, outcome, total });
        (at, Due::Answer(self.next))
    }
}

fn settings(world: &World) -> Settings {
    let class =
        Class { latency_objective: 600.0, deadline: 2000.0, priority_weight: 1.0, ..Class::default() };
    Settings {
        gateway_count: world.gateways as f64,
        classes: vec![class],
        plans: world.plans.clone(),
        max_units: 1.0,
        max_attempts: 3,
        cancellation_allowed: true,
        max_retry_after: 1000.0,
        counter: true,
        counter_timeout: world.call_timeout,
        slow_start_capacity: 0.2,
        slow_start_window: 10_000.0,
        ..Settings::default()
    }
}

/// The day with a fleet of the program's own gateways.
fn fleet(world: &World, plan_of: &[usize], arrivals: &[(Millis, usize, usize)]) -> (Books, Vec<Load>) {
    let set = settings(world);
    let patience = counter_call_timeout(&set);
    let mut all: Vec<Gateway> =
        (0..world.gateways).map(|g| Gateway::new(set.clone(), world.seed ^ g as u64)).collect();
    let mut books = Books::new(world, plan_of);
    let mut counter = Counter {
        totals: HashMap::new(),
        free_at: [0.0; 2],
        calls: HashMap::new(),
        next: 0,
        load: Load::default(),
        patience,
    };
    let mut heap: BinaryHeap<Reverse<(u64, Due)>> = BinaryHeap::new();
    let mut asked: HashMap<u32, usize> = HashMap::new();
    let mut sent: HashMap<(usize, u32), (ServerId, bool)> = HashMap::new();
    let micros = |at: Millis| (at * 1000.0) as u64;
    let entries: Vec<Endpoint> = (1..=world.gateways.min(150) as u32)
        .map(|n| Endpoint { server: ServerId(n), weight: 1.0, ..Endpoint::default() })
        .collect();
    let mut todo: Vec<(usize, Event)> = (0..world.gateways)
        .map(|g| (g, Event::EndpointsChanged { update: EndpointUpdate::Complete, entries: entries.clone() }))
        .collect();
    let (mut now, mut next, mut actions) = (0.0, 0, Vec::new());
    let (mut loads, mut restarts, mut lives) = (Vec::new(), world.restarts, vec![0; world.gateways]);
    loop {
        if now >= 1000.0 * (loads.len() + 1) as f64 {
            loads.push(std::mem::take(&mut counter.load));
        }
        if now >= restarts {
            restarts = f64::INFINITY;
            for g in (0..world.gateways).filter(|g| g % 10 < 7) {
                all[g] = Gateway::new(set.clone(), !world.seed ^ g as u64);
                todo.push((
                    g,
                    Event::EndpointsChanged { update: EndpointUpdate::Complete, entries: entries.clone() },
                ));
                lives[g] += 1;
            }
        }
        for (g, event) in todo.drain(..) {
            all[g].handle(now, event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::Forward { id, server, .. } => {
                        let tenant = asked[&id.0];
                        let first = sent.insert((g, id.0), (server, true)).is_none();
                        if first {
                            books.send(&world.plans[plan_of[tenant]], tenant, now);
                        }
                        heap.push(Reverse((micros(now + WORK), Due::Served(g, id.0))));
                    }
                    Action::Reject { id, .. } => {
                        let tenant = asked[&id.0];
                        books.refuse(&world.plans[plan_of[tenant]], tenant, now);
                    }
                    Action::IncrementCounter { key: name, add, .. } => {
                        let (at, due) = counter.call(world, now, (g, lives[g]), name, add);
                        heap.push(Reverse((micros(at), due)));
                    }
                    Action::Timer { after, .. } => {
                        heap.push(Reverse((micros(now + after), Due::Tick(g, lives[g]))))
                    }
                    _ => {}
                }
            }
        }
        let due = heap.peek().map_or(f64::INFINITY, |Reverse((at, _))| *at as f64 / 1000.0);
        let arrival = arrivals.get(next).filter(|a| a.0 <= due);
        if let Some((at, tenant, gateway)) = arrival {
            now = at.max(now);
            let id = next as u32;
            asked.insert(id, *tenant);
            next += 1;
            let request = Request {
                id: RequestId(id),
                tenant: TenantId(*tenant as u64 * 7919 + 1),
                plan: PlanId(plan_of[*tenant]),
                units: 1.0,
                time_left: 1500.0,
                gateway_count: world.gateway_count(plan_of[*tenant]),
                ..Request::default()
            };
            todo.push((*gateway, Event::Request(request)));
            continue;
        }
        let Some(Reverse((at, due))) = heap.pop() else { break };
        now = (at as f64 / 1000.0).max(now);
        if now > DAY {
            break;
        }
        match due {
            Due::Tick(g, life) if life == lives[g] => todo.push((g, Event::Timer(0))),
            Due::Tick(..) => {}
            Due::Answer(call) => {
                let call = counter.calls.remove(&call).filter(|c| c.life == lives[c.gateway]);
                if let Some(Call { gateway, since, name, outcome, total, .. }) = call {
                    todo.push((
                        gateway,
                        Event::CounterReplied { key: name, outcome, elapsed: now - since, total },
                    ));
                }
            }
            Due::Served(g, id) => {
                let Some((server, true)) = sent.get(&(g, id)).copied() else { continue };
                sent.insert((g, id), (server, false));
                let (id, outcome, complete) = (RequestId(id), Outcome::Ok, true);
                let ended = Event::AttemptEnded { id, attempt: 0, server, outcome, complete, elapsed: WORK };
                todo.push((g, ended));
            }
        }
    }
    loads.push(counter.load);
    (books, loads)
}

/// The fleet's account, the late-seeing policy's, and calls and requests a second.
fn play(world: &World) -> (Account, Account, Vec<Load>, f64, f64) {
    let plan_of: Vec<usize> =
        world.tenants.iter().enumerate().flat_map(|(plan, many)| vec![plan; *many]).collect();
    let mut dice = Dice(Pcg64Mcg::seed_from_u64(world.seed));
    let arrivals = arrivals(world, &plan_of, &mut dice);
    // What one gateway that saw everything at once would let in.
    let mut whole = Books::new(world, &plan_of);
    for (now, tenant, _) in &arrivals {
        let plan = &world.plans[plan_of[*tenant]];
        whole.stores[*tenant].fill(plan, *now);
        if whole.stores[*tenant].holds >= 1.0 {
            whole.send(plan, *tenant, *now);
        }
    }
    let share = |b: &Books| Account { inside: b.inside / whole.inside, beyond: b.beyond / whole.inside };
    let late = share(&seen_late(world, &plan_of, &arrivals));
    println!("bound by what calls can tell: {:?}", share(&seen_by_calls(world, &plan_of, &arrivals)));
    let (books, loads) = fleet(world, &plan_of, &arrivals);
    let with_room = books.with_room as f64 / arrivals.len() as f64;
    (share(&books), late, loads, with_room, arrivals.len() as f64 * 1000.0 / DAY)
}

fn plan(rate: f64, burst_s: f64, priority_multiplier: f64, overage_penalty: f64) -> Plan {
    Plan { rate, burst: rate * burst_s, priority_multiplier, overage_penalty, ..Plan::default() }
}

/// Three plans of small, middling and large quotas.
fn usual(seed: u64) -> World {
    World {
        gateways: 100,
        plans: vec![plan(1.1, 4.0, 0.7, 1.2), plan(5.0, 2.0, 1.1, 1.2), plan(20.0, 2.2, 1.4, 1.0)],
        tenants: vec![500, 120, 15],
        calls_a_second: 500.0,
        call_takes: 5.0,
        call_timeout: 30.0,
        silent: 0.0..0.0,
        surge: 0.0..0.0,
        restarts: f64::INFINITY,
        seed,
    }
}

/// Plays a world on two seeds, holds the cost of what passes beyond the quotas against the late-seeing
/// policy's, and what is served of the room that there is.
fn hold(what: &str, world: impl Fn(u64) -> World, most: f64, least_inside: f64) {
    for seed in [1, 2] {
        let (ours, late, loads, with_room, asked) = play(&world(seed));
        let more = ours.beyond - late.beyond;
        let calls = loads.iter().map(|l| l.made).sum::<usize>() as f64 * 1000.0 / DAY;
        println!("{what}, seed {seed}: {with_room:.3} refused with half of their quota unused");
        println!("{what}, seed {seed}: {more:+.3} beyond, {ours:?} beside {late:?}; {calls:.0} calls for {asked:.0}");

        assert!(more <= most, "{what}, seed {seed}: costs {more:.3} more than seen late, {most} at most");
        assert!(ours.inside >= least_inside, "{what}, seed {seed}: {:.3} of the room was used", ours.inside);
    }
}

#[test]
fn with_a_counter_that_bears_every_call_less_passes_than_where_quotas_are_seen_late() {
    hold("ample", |seed| World { calls_a_second: 5000.0, ..usual(seed) }, 0.0, 0.97);
}

#[test]
fn with_a_counter_that_bears_half_of_the_requests_it_costs_at_most_a_tenth_more() {
    hold("usual", usual, 0.1, 0.97);
}

#[test]
fn excess_that_earns_more_than_it_costs_is_no_reason_to_fail() {
    // The account takes what it earns into its cost, by the settings alone.
    let generous = |seed| {
        let mut world = usual(seed);
        for plan in &mut world.plans {
            (plan.overage_value, plan.overage_penalty) = (0.3, 0.1);
        }
        world
    };
    hold("generous", generous, 0.2, 0.97);
}

/// What is not met: here the cost is more than a tenth above the late-seeing policy's. The bounds hold what
/// was reached, so that it gets no worse unseen.
#[test]
fn with_a_slow_or_silent_counter_the_cost_stays_where_it_was_measured() {
    hold("slow", |seed| World { call_takes: 80.0, calls_a_second: 300.0, ..usual(seed) }, 0.21, 0.97);
    hold("silent for 6 s of 30", |seed| World { silent: 10_000.0..16_000.0, ..usual(seed) }, 0.19, 0.97);
}

/// A site with hundreds of gateways and a counter that bears a part of some 3,500 requests a second.
fn many(gateways: usize, part: f64, seed: u64) -> World {
    World {
        gateways,
        plans: vec![
            plan(0.9, 3.3, 0.7, 1.2),
            Plan { ceiling_rate: 8.9, ceiling_burst: 17.0, ..plan(3.7, 1.9, 1.1, 1.2) },
            plan(14.0, 2.5, 1.4, 1.0),
        ],
        tenants: vec![1900, 480, 60],
        calls_a_second: part * 3500.0,
        call_takes: 1.5,
        ..usual(seed)
    }
}

/// Holds that from a second on the counter is used to a share at least, and that of the calls made a share
/// at most is turned away or answered too late.
fn keeps_up(what: &str, world: &World, from: usize, least_used: f64, most_lost: f64) {
    let (ours, late, mut loads, with_room, _) = play(world);
    loads.truncate((DAY / 1000.0) as usize);
    let sum = |f: fn(&Load) -> usize| loads[from..].iter().map(f).sum::<usize>() as f64;
    let used = sum(|l| l.answered) / (loads.len() - from) as f64 / world.calls_a_second;
    let lost = sum(|l| l.full + l.late) / sum(|l| l.made);
    let (more, inside) = (ours.beyond - late.beyond, ours.inside);
    println!("{what}: from second {from} {used:.2} of the counter used, {lost:.3} of the calls lost");
    println!("{what}: {more:+.3} beyond, {inside:.3} inside, {with_room:.3} refused with half of it unused");
    assert!(used >= least_used, "{what}: {used:.2} of the counter was used");
    assert!(lost <= most_lost, "{what}: {lost:.3} of the calls were lost");
}

#[test]
fn three_seconds_after_a_surge_has_gone_the_counter_is_used_again() {
    for (part, seed) in [(0.6, 1), (0.6, 2), (1.0 / 3.0, 1), (1.0 / 3.0, 2)] {
        let world = World { surge: 6_000.0..12_000.0, ..many(300, part, seed) };
        keeps_up(&format!("surge, {part:.2}, seed {seed}"), &world, 15, 0.85, 0.05);
    }
}

#[test]
fn three_seconds_after_most_gateways_restart_few_calls_are_lost() {
    for (gateways, part, most) in [(300, 1.0 / 3.0, 0.05), (530, 1.0 / 3.0, 0.05)] {
        let world = World { restarts: 12_000.0, ..many(gateways, part, 1) };
        keeps_up(&format!("restart of {gateways}"), &world, 15, 0.9, most);
    }
}

/// What is not met: with few calls for each gateway it takes long to find out how few, and a part that bears
/// one call in some ten ms turns away calls that come together. The bounds hold what was reached.
#[test]
fn with_a_counter_that_bears_a_tenth_or_a_hundredth_the_lost_calls_stay_where_they_were_measured() {
    for (part, most) in [(0.1, 0.15), (0.01, 0.65)] {
        let world = World { restarts: 12_000.0, ..many(300, part, 1) };
        keeps_up(&format!("restart, {part:.2}"), &world, 15, 0.9, most);
    }
}
