//! Cold servers under the sum of what a whole fleet sends: many gateways and servers on one simulated clock, some
//! of the servers starting together. A cold server falls when it gets more than N + 2 √N + 2 requests of mean work
//! within the settings' time, N being what they allow it then. Fixed seeds: the figures are the same each run.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{Endpoint, EndpointUpdate, Event, Outcome, Request};
use rate_limiting_gateway::ids::{ClassId, Millis, RequestId, ServerId, TenantId};
use rate_limiting_gateway::policy::Gateway;
use rate_limiting_gateway::settings::{Class, DeduplicationScope, Idempotency, Plan, Settings};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// The servers start anew at this time, ms, and have been gone for as long as `GONE`.
const START: Millis = 3000.0;
const GONE: Millis = 700.0;
/// A burst begins so long after the start, ms.
const BURST_AFTER: Millis = 2500.0;
/// Mean work of a request on a warm server of size 1, ms; and how many one works at side by side.
const WORK: Millis = 80.0;
const CORES: usize = 2;
/// Requests a server holds before it turns further ones away.
const QUEUE: usize = 40;
/// Seeds that each world is played on; large fleets take long, and have more if `COLD_SEEDS` tells so.
const SEEDS: u64 = 20;
const SEEDS_LARGE: u64 = 1;

/// What happens to the gateways at the start of the servers.
#[derive(Clone, Copy, PartialEq)]
enum Restart {
    /// They run on.
    None,
    /// All begin anew with the present list.
    Whole,
    /// All begin anew with the list as it was before.
    Cached,
}

/// A deployment and what befalls it.
#[derive(Clone)]
struct World {
    gateways: usize,
    servers: usize,
    /// The first of the servers start cold; all stand in zones of equal size, one after the other.
    cold: usize,
    zones: usize,
    /// The cold servers stand in the list before, and come back; else they join.
    back: bool,
    /// What is asked, as a share of what all servers could do warm.
    load: f64,
    /// The servers' sizes spread around 1 by this factor; the list tells them.
    sizes: f64,
    /// Each gateway is told of the start within this time after it, ms.
    told_within: Millis,
    restart: Restart,
    /// From so long after the start on no connection to any warm server comes up, ms.
    cut_after: Millis,
    /// From `BURST_AFTER` on so many times the traffic comes.
    burst: f64,
    /// Of all attempts, this share fails, in each of five ways.
    faults: f64,
    /// Factors of the settings.
    slow_start_capacity: f64,
    overload_window: Millis,
    overload_factor: f64,
    /// How long is played from the start on, ms.
    length: Millis,
}

impl World {
    fn new(gateways: usize, servers: usize, cold: usize) -> Self {
        World {
            gateways,
            servers,
            cold,
            zones: 3,
            back: true,
            load: 0.6,
            sizes: 1.0,
            told_within: 1500.0,
            restart: Restart::None,
            cut_after: Millis::INFINITY,
            burst: 1.0,
            faults: 0.0,
            slow_start_capacity: 0.2,
            overload_window: 2000.0,
            overload_factor: 2.0,
            length: 5000.0,
        }
    }

    fn settings(&self) -> Settings {
        let class = |latency_objective, idempotency| Class {
            latency_objective,
            deadline: 2000.0,
            priority_weight: 1.0,
            idempotency,
            ..Class::default()
        };
        let zonal = Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, window: 1500.0 };
        Settings {
            gateway_count: self.gateways as f64,
            classes: vec![
                class(800.0, Idempotency::Idempotent),
                class(1000.0, zonal),
                class(800.0, Idempotency::NonIdempotent),
            ],
            plans: vec![Plan { priority_multiplier: 1.0, ..Plan::default() }],
            max_units: 1.0,
            max_attempts: 4,
            hedging_allowed: true,
            cancellation_allowed: true,
            slow_start_capacity: self.slow_start_capacity,
            slow_start_window: 12_000.0,
            ..Settings::default()
        }
    }
}

struct Dice(Pcg64Mcg);

impl Dice {
    fn roll(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// An exponential draw.
    fn wait(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.roll()).ln()
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival,
    Tick(usize, u32),
    Told(usize),
    /// The end of an attempt: its number, and how it ends.
    End(u64, u8),
    Die,
    Begin,
}

const ENDS: [Outcome; 6] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::TimedOut,
];

struct Machine {
    size: f64,
    free_at: [Millis; CORES],
    /// When each of those that it holds will be done.
    holds: VecDeque<Millis>,
    /// What came, when, and from a gateway that had been told; as far as it is cold.
    came: Vec<(Millis, f64, bool)>,
}

/// What came of a day.
#[derive(Clone, Copy, Default, Debug)]
struct Result {
    /// The worst window of a cold server, in requests and in work, against what it bears.
    worst: f64,
    worst_work: f64,
    /// What cold servers got, as a share of what they could do at the time.
    share: f64,
    /// Requests served within their aim.
    served: f64,
}

struct Fleet {
    world: World,
    set: Settings,
    dice: Dice,
    gateways: Vec<Gateway>,
    /// How often each gateway began, and whether it knows of the start.
    runs: Vec<u32>,
    told: Vec<bool>,
    /// Cumulative shares of the traffic.
    traffic: Vec<f64>,
    machines: Vec<Machine>,
    heap: BinaryHeap<Reverse<(u64, u64, Due)>>,
    pushed: u64,
    /// Attempts that are out: gateway, its run, request, attempt, server, when it was sent.
    out: HashMap<u64, (usize, u32, RequestId, u8, usize, Millis)>,
    number: HashMap<(usize, u32, u32, u8), u64>,
    tries: HashMap<(usize, u32, u32), u8>,
    arrived: HashMap<(usize, u32, u32), Millis>,
    asked: u32,
    served: u32,
    died: bool,
    begun: bool,
}

impl Fleet {
    fn new(world: &World, seed: u64) -> Self {
        let mut dice = Dice(Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9) ^ 0x5eed));
        let set = world.settings();
        let mut sum = 0.0;
        let mut traffic = Vec::new();
        for _ in 0..world.gateways {
            // Some gateways see several times what others do.
            sum += 0.3 + dice.wait(0.7).min(3.0);
            traffic.push(sum);
        }
        traffic.iter_mut().for_each(|t| *t /= sum);
        let machines = (0..world.servers)
            .map(|_| Machine {
                size: world.sizes.powf(2.0 * dice.roll() - 1.0),
                free_at: [0.0; CORES],
                holds: VecDeque::new(),
                came: Vec::new(),
            })
            .collect();
        Fleet {
            gateways: (0..world.gateways).map(|g| Gateway::new(set.clone(), seed << 20 | g as u64)).collect(),
            runs: vec![0; world.gateways],
            told: vec![false; world.gateways],
            world: world.clone(),
            set,
            dice,
            traffic,
            machines,
            heap: BinaryHeap::new(),
            pushed: 0,
            out: HashMap::new(),
            number: HashMap::new(),
            tries: HashMap::new(),
            arrived: HashMap::new(),
            asked: 0,
            served: 0,
            died: false,
            begun: false,
        }
    }

    fn push(&mut self, at: Millis, due: Due) {
        self.pushed += 1;
        self.heap.push(Reverse(((at * 1000.0) as u64, self.pushed, due)));
    }

    fn entries(&self, new: bool) -> Vec<Endpoint> {
        let first = if new || self.world.back { 0 } else { self.world.cold };
        let zone = |s: usize| (s * self.world.zones / self.world.servers) as u16;
        (first..self.world.servers)
            .map(|s| Endpoint {
                server: ServerId(s as u32),
                weight: self.machines[s].size,
                zone: zone(s),
                started: if new && s < self.world.cold { START } else { 0.0 },
                ..Endpoint::default()
            })
            .collect()
    }

    fn warmth(&self, server: usize, now: Millis) -> f64 {
        if server >= self.world.cold || now < START - GONE {
            return 1.0;
        }
        let warmed = ((now - START) / self.set.slow_start_window).clamp(0.0, 1.0);
        self.set.slow_start_capacity + (1.0 - self.set.slow_start_capacity) * warmed
    }

    /// Requests of mean work that a server can do in a millisecond.
    fn capacity(&self, server: usize, now: Millis) -> f64 {
        self.machines[server].size * CORES as f64 / WORK * self.warmth(server, now)
    }

    fn send(&mut self, now: Millis, g: usize, id: RequestId, server: usize, timeout: Millis) {
        let run = self.runs[g];
        let tries = self.tries.entry((g, run, id.0)).or_default();
        let attempt = *tries;
        *tries += 1;
        self.pushed += 1;
        let number = self.pushed;
        self.out.insert(number, (g, run, id, attempt, server, now));
        self.number.insert((g, run, id.0, attempt), number);
        let work = self.dice.wait(1.0);
        let gone = server < self.world.cold && self.died && !self.begun;
        let roll = self.dice.roll();
        let fault = if roll < self.world.faults { 1 + (roll / self.world.faults * 5.0) as u8 } else { 0 };
        let cut = server >= self.world.cold && now > START + self.world.cut_after;
        if gone || cut || fault == 3 {
            return self.push(now + 1.0, Due::End(number, 3));
        }
        if server < self.world.cold && self.begun {
            let told = self.told[g];
            self.machines[server].came.push((now, work, told));
        }
        if fault > 0 && fault < 5 {
            return self.push(now + 2.0, Due::End(number, fault));
        }
        self.push(now + timeout, Due::End(number, 5));
        if fault == 5 {
            return;
        }
        let speed = self.machines[server].size * self.warmth(server, now);
        let machine = &mut self.machines[server];
        while machine.holds.front().is_some_and(|done| *done <= now) {
            machine.holds.pop_front();
        }
        if machine.holds.len() >= QUEUE {
            return self.push(now + 1.0, Due::End(number, 2));
        }
        let core = if machine.free_at[0] <= machine.free_at[1] { 0 } else { 1 };
        let done = machine.free_at[core].max(now) + work * WORK / speed;
        machine.free_at[core] = done;
        let place = machine.holds.partition_point(|d| *d < done);
        machine.holds.insert(place, done);
        self.push(done + 0.5, Due::End(number, 0));
    }

    fn end(&mut self, now: Millis, number: u64, outcome: Outcome) -> Option<(usize, Event)> {
        let (g, run, id, attempt, server, sent) = self.out.remove(&number)?;
        if run != self.runs[g] {
            return None;
        }
        let ok = outcome == Outcome::Ok;
        if ok && now - self.arrived[&(g, run, id.0)] <= 800.0 {
            self.served += 1;
        }
        let complete = ok || outcome == Outcome::Cancelled;
        let (server, elapsed) = (ServerId(server as u32), now - sent);
        Some((g, Event::AttemptEnded { id, attempt, server, outcome, complete, elapsed }))
    }

    fn handle(&mut self, now: Millis, g: usize, event: Event) {
        let mut todo = VecDeque::from([event]);
        while let Some(event) = todo.pop_front() {
            let mut actions = Vec::new();
            self.gateways[g].handle(now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Forward { id, server, timeout } => {
                        self.send(now, g, id, server.0 as usize, timeout)
                    }
                    Action::Cancel { id, attempt } => {
                        if let Some(number) = self.number.get(&(g, self.runs[g], id.0, attempt)).copied() {
                            todo.extend(self.end(now, number, Outcome::Cancelled).map(|e| e.1));
                        }
                    }
                    Action::Timer { after, .. } => self.push(now + after, Due::Tick(g, self.runs[g])),
                    _ => {}
                }
            }
        }
    }

    fn tell(&mut self, now: Millis, g: usize, update: EndpointUpdate, new: bool) {
        self.told[g] |= new;
        let mut entries = self.entries(new);
        if update == EndpointUpdate::Incremental {
            entries.truncate(self.world.cold);
        }
        self.handle(now, g, Event::EndpointsChanged { update, entries });
    }

    fn play(mut self) -> Result {
        for g in 0..self.world.gateways {
            self.tell(0.0, g, EndpointUpdate::Complete, false);
            let at = START + self.world.told_within * (0.1 + 0.9 * self.dice.roll());
            self.push(at, Due::Told(g));
        }
        let total: f64 = self.machines.iter().map(|m| m.size).sum::<f64>() * CORES as f64 / WORK;
        let between = 1.0 / (total * self.world.load);
        self.push(0.0, Due::Arrival);
        self.push(START - GONE, Due::Die);
        self.push(START, Due::Begin);
        while let Some(Reverse((at, _, due))) = self.heap.pop() {
            let now = at as f64 / 1000.0;
            if now > START + self.world.length {
                break;
            }
            match due {
                Due::Arrival => {
                    let burst = if now > START + BURST_AFTER { self.world.burst } else { 1.0 };
                    let wait = self.dice.wait(between / burst);
                    self.push(now + wait, Due::Arrival);
                    let roll = self.dice.roll();
                    let g = self.traffic.partition_point(|t| *t < roll).min(self.world.gateways - 1);
                    self.asked += 1;
                    self.arrived.insert((g, self.runs[g], self.asked), now);
                    let class = [0, 0, 1, 2][self.asked as usize % 4];
                    let request = Request {
                        id: RequestId(self.asked),
                        tenant: TenantId(u64::from(self.asked) % 5000),
                        class: ClassId(class),
                        units: 1.0,
                        time_left: 2000.0,
                        gateway_count: self.world.gateways as f64,
                        ..Request::default()
                    };
                    self.handle(now, g, Event::Request(request));
                }
                Due::Tick(g, run) if run == self.runs[g] => self.handle(now, g, Event::Timer(0)),
                Due::Tick(..) => {}
                Due::Told(g) => self.tell(now, g, EndpointUpdate::Incremental, true),
                Due::End(number, how) => {
                    if let Some((g, event)) = self.end(now, number, ENDS[usize::from(how)]) {
                        self.handle(now, g, event);
                    }
                }
                Due::Die => {
                    self.died = self.world.back;
                    let cold = self.world.cold;
                    let mut lost: Vec<u64> =
                        self.out.iter().filter(|(_, o)| o.4 < cold).map(|(n, _)| *n).collect();
                    lost.sort_unstable();
                    for number in lost {
                        if let Some((g, event)) = self.end(now, number, Outcome::Reset) {
                            self.handle(now, g, event);
                        }
                    }
                }
                Due::Begin => {
                    self.begun = true;
                    for machine in &mut self.machines[..self.world.cold] {
                        machine.free_at = [now; CORES];
                        machine.holds.clear();
                    }
                    if self.world.restart == Restart::None {
                        continue;
                    }
                    for g in 0..self.world.gateways {
                        self.runs[g] += 1;
                        let seed = self.dice.0.next_u64();
                        self.gateways[g] = Gateway::new(self.set.clone(), seed);
                        let whole = self.world.restart == Restart::Whole;
                        let update = if whole { EndpointUpdate::Complete } else { EndpointUpdate::Cached };
                        self.tell(now, g, update, whole);
                    }
                }
            }
        }
        self.result()
    }

    fn result(&self) -> Result {
        let mut result =
            Result { served: f64::from(self.served) / f64::from(self.asked), ..Result::default() };
        let (tip, end) = (self.world.overload_window, START + self.world.length);
        let (mut got, mut could) = (0.0, 0.0);
        for (s, machine) in self.machines[..self.world.cold].iter().enumerate() {
            could += self.world.length * (self.capacity(s, START) + self.capacity(s, end)) / 2.0;
            got += machine.came.len() as f64;
            let (mut first, mut count, mut work, mut by_told) = (0, 0.0, 0.0, 0.0);
            for (i, (at, weighs, told)) in machine.came.iter().enumerate() {
                count += 1.0;
                work += weighs;
                by_told += if *told { 1.0 } else { 0.0 };
                while machine.came[first].0 <= at - tip {
                    count -= 1.0;
                    work -= machine.came[first].1;
                    by_told -= if machine.came[first].2 { 1.0 } else { 0.0 };
                    first += 1;
                }
                debug_assert!(first <= i);
                // What it may be sent: its capacity over the window, cold before the start as at the start.
                let from = (at - tip).max(START);
                let mean = (self.capacity(s, from) + self.capacity(s, *at)) / 2.0;
                let n = self.world.overload_factor
                    * ((at - from) * mean + (tip - (at - from)) * self.capacity(s, START));
                let bears = n + 2.0 * n.sqrt() + 2.0;
                if by_told * 3.0 > count * 2.0 {
                    result.worst = result.worst.max(count / bears);
                    result.worst_work = result.worst_work.max(work / bears);
                }
            }
        }
        result.share = got / could;
        result
    }
}

/// Plays a world on all seeds, three at a time, prints what came of it, and holds the worst window and what the
/// cold servers got.
fn hold(what: &str, world: &World, least_share: f64) {
    let told = std::env::var("COLD_SEEDS").ok().and_then(|s| s.parse().ok());
    let seeds = told.unwrap_or(if world.gateways < 100 { SEEDS } else { SEEDS_LARGE });
    let mut all = Vec::new();
    std::thread::scope(|scope| {
        let play = |part| (1..=seeds).filter(move |s| s % 3 == part).map(|s| Fleet::new(world, s).play());
        let parts: Vec<_> = (0..3).map(|p| scope.spawn(move || play(p).collect::<Vec<_>>())).collect();
        for part in parts {
            all.extend(part.join().expect("a seed that plays"));
        }
    });
    let worst = |get: fn(&Result) -> f64| all.iter().map(get).fold(0.0, f64::max);
    let mean = |get: fn(&Result) -> f64| all.iter().map(get).sum::<f64>() / all.len() as f64;
    let (most, share) = (worst(|r| r.worst), mean(|r| r.share));
    println!(
        "{what}, {seeds} seeds: worst window {most:.2} of what a cold server bears, {:.2} by work; they got \
         {share:.2} of what they could do; {:.3} served in time",
        worst(|r| r.worst_work),
        mean(|r| r.served)
    );
    if std::env::var("COLD_LOOK").is_err() {
        assert!(most <= 1.0, "{what}: a cold server falls, at {most:.2}");
        assert!(share >= least_share, "{what}: cold servers got {share:.2}, {least_share} at least");
    }
}

/// Fleets of each size: gateways, servers.
const FLEETS: [(usize, usize); 5] = [(4, 12), (20, 24), (30, 24), (300, 90), (530, 120)];

/// Plays a world in each fleet; cold servers are to get that share of what they could do. Today's shares are far
/// from what is wanted: the bounds hold what was measured, so that it gets no worse unseen.
fn each(what: &str, least_share: f64, world: impl Fn(World) -> World) {
    for (gateways, servers) in FLEETS {
        let base = World::new(gateways, servers, servers / 3);
        hold(&format!("{gateways} gateways, {what}"), &world(base), least_share);
    }
}

#[test]
fn a_single_start() {
    each("a single start", 0.08, |w| World { cold: 1, ..w });
}

#[test]
fn a_zone_that_comes_back() {
    each("a zone", 0.12, |w| w);
}

#[test]
fn half_of_the_servers_join() {
    each("half join", 0.005, |w| World { cold: w.servers / 2, back: false, ..w });
}

#[test]
fn told_late() {
    each("told late", 0.28, |w| World { told_within: 4000.0, ..w });
}

#[test]
fn all_start_at_once() {
    each("all", 0.8, |w| World { cold: w.servers, ..w });
    each("all, near capacity", 0.8, |w| World { cold: w.servers, load: 0.9, ..w });
}

#[test]
fn warm_servers_cut_off_while_others_are_cold() {
    each("a cut", 0.28, |w| World { cut_after: 2500.0, ..w });
}

#[test]
fn a_burst() {
    each("a burst", 0.12, |w| World { burst: 2.0, ..w });
    each("a burst from next to nothing", 0.04, |w| World { burst: 20.0, load: 0.04, ..w });
}

#[test]
fn attempts_that_fail() {
    each("faults", 0.15, |w| World { faults: 0.3, ..w });
}

#[test]
fn gateways_that_restart_with_the_servers() {
    each("restart, whole list", 0.0, |w| World { restart: Restart::Whole, ..w });
    each("restart, cached list", 0.18, |w| World { restart: Restart::Cached, ..w });
}

#[test]
fn near_capacity() {
    each("half, near capacity", 0.18, |w| World { load: 0.9, cold: w.servers / 2, ..w });
}

#[test]
fn a_small_margin() {
    each("a factor of 1.2", 0.2, |w| World { overload_factor: 1.2, load: 0.9, ..w });
    each("half a second", 0.2, |w| World { overload_window: 500.0, load: 0.8, ..w });
}

#[test]
fn unlike_sizes() {
    each("unlike sizes", 0.15, |w| World { sizes: 4.0, load: 0.8, ..w });
}

#[test]
fn little_traffic() {
    for gateways in [20, 300, 530] {
        let few = World::new(gateways, 6, 2);
        hold(&format!("{gateways} gateways, six servers"), &few, 0.15);
        let idle = World { load: 0.2 * gateways as f64 / (90.0 * 25.0), ..World::new(gateways, 90, 30) };
        hold(&format!("{gateways} gateways, 0.2 requests a second each"), &idle, 0.0);
    }
}
