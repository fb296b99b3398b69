//! Processor time of one decision module: a request, an answer, a further attempt, a counter's answer, the
//! housekeeping, a whole list and a change of one server.

use crate::deployment::{call_bytes, Demand, Deployment, Dice};
use crate::measure::Report;
use cpu_time::ThreadTime;
use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{Endpoint, EndpointState, EndpointUpdate, Event, Outcome};
use rate_limiting_gateway::ids::{CounterKey, Millis, RequestId, ServerId};
use rate_limiting_gateway::policy::Gateway;
use std::collections::HashMap;
use std::time::Duration;

/// Events are fed in slices of this length, ms: the period of the housekeeping.
const SLICE: Millis = 20.0;
/// A server answers after so many slices; the counter in the next one.
const WORK: u64 = 2;
/// One attempt in so many cannot connect: the cost of a further attempt is measured on these.
const FAILS: usize = 25;
/// Slices at the start that are not measured.
const WARM_UP: u64 = 50;
/// The clock of the simulated day begins here, ms: far from 0, as Unix time is.
const START: Millis = 1_000_000.0;

/// Servers where the size is that of something else.
const OF_OTHERS: usize = 2_000;

/// Sizes at which is measured.
pub const SERVERS: [usize; 4] = [20, 200, 1_000, 5_700];
/// The same of limiters.
pub const GATEWAYS: [usize; 4] = [10, 100, 300, 530];
/// The same of customers that one limiter remembers.
pub const CUSTOMERS: [usize; 4] = [1_000, 10_000, 100_000, 1_000_000];

/// Time and number of one kind of event.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spent {
    /// Processor time of all of them.
    pub time: Duration,
    /// How many there were.
    pub events: usize,
}

impl Spent {
    /// µs each.
    pub fn each(&self) -> f64 {
        self.time.as_secs_f64() * 1e6 / self.events.max(1) as f64
    }

    fn add(&mut self, since: ThreadTime, events: usize, clock: Duration) {
        self.time += since.elapsed().saturating_sub(clock);
        self.events += events;
    }
}

/// What a stretch of traffic cost one module.
#[derive(Clone, Copy, Debug, Default)]
pub struct Costs {
    /// Requests that came in, their first attempts among it.
    pub request: Spent,
    /// Attempts that ended well.
    pub answer: Spent,
    /// Attempts that could not connect, the next attempt among it.
    pub retry: Spent,
    /// Answers of the counter.
    pub counted: Spent,
    /// The housekeeping.
    pub tick: Spent,
    /// Attempts made, calls made, and bytes of these with their answers.
    pub attempts: usize,
    /// Calls to the counter.
    pub calls: usize,
    /// Bytes to and from the counter.
    pub bytes: usize,
}

impl Costs {
    /// µs of everything, for each request.
    pub fn whole(&self) -> f64 {
        let all = [self.request, self.answer, self.retry, self.counted, self.tick];
        all.iter().map(|s| s.time.as_secs_f64()).sum::<f64>() * 1e6 / self.request.events.max(1) as f64
    }
}

/// What reading the clock itself costs.
fn clock_cost() -> Duration {
    const READS: u32 = 2000;
    let since = ThreadTime::now();
    for _ in 0..READS {
        std::hint::black_box(ThreadTime::now().elapsed());
    }
    // Each turn reads it twice, of which one falls between two readings.
    since.elapsed() / READS / 2
}

/// One module with its list, and the world around it as far as it matters.
pub struct Bench {
    gateway: Gateway,
    demand: Demand,
    dice: Dice,
    now: Millis,
    slice: u64,
    next: u32,
    totals: HashMap<CounterKey, f64>,
    /// Attempts by the slice in which they end.
    out: HashMap<u64, Vec<(RequestId, ServerId, u8)>>,
    tries: HashMap<RequestId, u8>,
    calls: Vec<(CounterKey, f64)>,
    share: f64,
    clock: Duration,
}

impl Bench {
    /// A module that knows its list.
    pub fn new(deployment: &Deployment, seed: u64) -> Self {
        let mut bench = Bench {
            gateway: Gateway::new(deployment.settings(), seed),
            demand: deployment.demand(),
            dice: Dice::new(seed),
            now: START,
            slice: 0,
            next: 0,
            totals: HashMap::new(),
            out: HashMap::new(),
            tries: HashMap::new(),
            calls: Vec::new(),
            share: deployment.share(),
            clock: clock_cost(),
        };
        bench.list(EndpointUpdate::Complete, deployment.entries());
        bench
    }

    /// Hands on news of the list; the time it took.
    pub fn list(&mut self, update: EndpointUpdate, entries: Vec<Endpoint>) -> Duration {
        let mut actions = Vec::new();
        let since = ThreadTime::now();
        self.gateway.handle(self.now, Event::EndpointsChanged { update, entries }, &mut actions);
        let elapsed = since.elapsed().saturating_sub(self.clock);
        self.carry_out(actions, &mut Costs::default());
        elapsed
    }

    fn carry_out(&mut self, actions: Vec<Action>, costs: &mut Costs) {
        for action in actions {
            match action {
                Action::Forward { id, server, .. } => {
                    costs.attempts += 1;
                    let tries = self.tries.entry(id).or_default();
                    self.out.entry(self.slice + WORK).or_default().push((id, server, *tries));
                    *tries += 1;
                }
                Action::IncrementCounter { key: name, add, ttl } => {
                    let total = self.totals.entry(name).or_default();
                    *total += add;
                    costs.calls += 1;
                    costs.bytes += call_bytes(name, add, ttl, *total);
                    self.calls.push((name, *total));
                }
                _ => {}
            }
        }
    }

    fn feed(&mut self, events: Vec<Event>, spent: impl Fn(&mut Costs) -> &mut Spent, costs: &mut Costs) {
        let many = events.len();
        let mut actions = Vec::with_capacity(16 * many);
        let since = ThreadTime::now();
        for event in events {
            self.gateway.handle(self.now, event, &mut actions);
        }
        if many > 0 {
            spent(costs).add(since, many, self.clock);
        }
        self.carry_out(actions, costs);
    }

    /// The next slice: answers of servers and the counter, requests, housekeeping.
    fn step(&mut self, tenants: Option<usize>, costs: &mut Costs) {
        (self.slice, self.now) = (self.slice + 1, self.now + SLICE);
        let (mut good, mut bad) = (Vec::new(), Vec::new());
        for (i, (id, server, attempt)) in
            self.out.remove(&self.slice).unwrap_or_default().into_iter().enumerate()
        {
            let fails = attempt == 0 && (self.slice as usize * 31 + i) % FAILS == 0;
            let outcome = if fails { Outcome::ConnectFailed } else { Outcome::Ok };
            let (elapsed, complete) = (SLICE * WORK as f64, !fails);
            let ended = Event::AttemptEnded { id, attempt, server, outcome, complete, elapsed };
            if fails { &mut bad } else { &mut good }.push(ended);
        }
        self.feed(good, |c| &mut c.answer, costs);
        self.feed(bad, |c| &mut c.retry, costs);
        let counted =
            |(name, total)| Event::CounterReplied { key: name, outcome: Outcome::Ok, elapsed: 5.0, total };
        let counted: Vec<Event> = self.calls.drain(..).map(counted).collect();
        self.feed(counted, |c| &mut c.counted, costs);
        let (mut at, mut requests) = (self.dice.wait(self.share), Vec::new());
        while at < SLICE {
            let who = match tenants {
                None => self.demand.draw(&mut self.dice),
                Some(many) => self.dice.below(many),
            };
            requests.push(Event::Request(self.demand.request(self.next, who)));
            self.next += 1;
            at += self.dice.wait(self.share);
        }
        self.feed(requests, |c| &mut c.request, costs);
        self.feed(vec![Event::Timer(0)], |c| &mut c.tick, costs);
    }

    /// Plays some seconds of the deployment's traffic.
    pub fn play(&mut self, seconds: f64) -> Costs {
        self.stretch(seconds, None)
    }

    fn stretch(&mut self, seconds: f64, tenants: Option<usize>) -> Costs {
        for _ in 0..WARM_UP {
            self.step(tenants, &mut Costs::default());
        }
        let mut costs = Costs::default();
        for _ in 0..(seconds * 1000.0 / SLICE) as u64 {
            self.step(tenants, &mut costs);
        }
        costs
    }

    /// Lets every one of so many customers come once, quickly.
    fn meet(&mut self, tenants: usize) {
        for who in 0..tenants {
            self.now += 0.01;
            let mut actions = Vec::new();
            let request = self.demand.request(self.next, who);
            self.next += 1;
            self.gateway.handle(self.now, Event::Request(request), &mut actions);
            let mut more = Vec::new();
            while let Some(action) = actions.pop() {
                let event = match action {
                    Action::Forward { id, server, .. } => Event::AttemptEnded {
                        id,
                        attempt: 0,
                        server,
                        outcome: Outcome::Ok,
                        complete: true,
                        elapsed: 10.0,
                    },
                    Action::IncrementCounter { key: name, add, .. } => {
                        let total = self.totals.entry(name).or_default();
                        *total += add;
                        Event::CounterReplied { key: name, outcome: Outcome::Ok, elapsed: 5.0, total: *total }
                    }
                    _ => continue,
                };
                self.gateway.handle(self.now, event, &mut more);
                actions.append(&mut more);
            }
        }
    }

    /// Customers that the module remembers.
    pub fn tenant_count(&self) -> usize {
        self.gateway.tenant_count()
    }
}

fn note(report: &mut Report, by: &'static str, size: usize, costs: &Costs) {
    let mut add = |what: &str, unit, value| report.sample(what, by, unit, size as f64, value);
    let requests = costs.request.events.max(1) as f64;
    add("request with all that follows", "µs", costs.whole());
    add("request, its first attempt among it", "µs", costs.request.each());
    add("answer of a server", "µs", costs.answer.each());
    add("attempt that could not connect, and the next", "µs", costs.retry.each());
    add("answer of the counter", "µs", costs.counted.each());
    add("housekeeping, 50 a second", "µs", costs.tick.each());
    add("calls to the counter a request", "calls", costs.calls as f64 / requests);
    add("bytes a call with its answer", "bytes", costs.bytes as f64 / costs.calls.max(1) as f64);
}

/// Measures by servers, limiters and customers.
pub fn measure(repeats: usize, seconds: f64) -> Report {
    let plan = Deployment::default();
    let mut report = Report::default();
    for repeat in 0..repeats as u64 {
        for servers in SERVERS {
            // As many limiters as the plan has for so many servers, each with its share of the plan's traffic; so the
            // concurrency limit of each stays. Customers come in through as many as in the plan.
            let gateways = (servers * plan.gateways).div_ceil(plan.servers);
            let (rate, gateway_count) = (plan.share() * gateways as f64, plan.gateways);
            let deployment = Deployment { servers, gateways, rate, gateway_count, ..plan };
            let mut bench = Bench::new(&deployment, repeat + 1);
            note(&mut report, "servers", servers, &bench.play(seconds));
            lists(&mut report, &mut bench, &deployment);
        }
        for gateways in GATEWAYS {
            // The share of one limiter stays what it is in the plan: more limiters carry more traffic.
            let deployment =
                Deployment { gateways, rate: plan.share() * gateways as f64, servers: OF_OTHERS, ..plan };
            note(&mut report, "limiters", gateways, &Bench::new(&deployment, repeat + 1).play(seconds));
        }
        for tenants in CUSTOMERS {
            let (servers, gateways, gateway_count) = (200, 19, plan.gateways);
            let rate = plan.share() * gateways as f64;
            let deployment = Deployment { tenants, servers, gateways, gateway_count, rate, ..plan };
            let mut bench = Bench::new(&deployment, repeat + 1);
            bench.meet(tenants);
            let costs = bench.stretch(seconds, Some(tenants));
            note(&mut report, "customers remembered", tenants, &costs);
        }
    }
    report
}

/// Times of a whole list that says nothing new, of one that replaces half, and of single changes.
fn lists(report: &mut Report, bench: &mut Bench, deployment: &Deployment) {
    const CHANGES: usize = 20;
    let size = deployment.servers as f64;
    let mut add = |what: &str, time: Duration| {
        report.sample(what, "servers", "µs", size, time.as_secs_f64() * 1e6);
    };
    add("whole list, nothing new", bench.list(EndpointUpdate::Complete, deployment.entries()));
    let single: Duration = (0..CHANGES)
        .map(|i| {
            let state = if i % 2 == 0 { EndpointState::Draining } else { EndpointState::Ready };
            let n = i / 2 * deployment.servers / CHANGES;
            bench.list(EndpointUpdate::Incremental, vec![deployment.entry(n, state, 0.0)])
        })
        .sum();
    add("change of one server", single / CHANGES as u32);
    let shifted = |n| Endpoint {
        server: ServerId((n + deployment.servers / 2) as u32 + 1),
        ..deployment.entry(n, EndpointState::Ready, 0.0)
    };
    add(
        "whole list, half replaced",
        bench.list(EndpointUpdate::Complete, (0..deployment.servers).map(shifted).collect()),
    );
}
