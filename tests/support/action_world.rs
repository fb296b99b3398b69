//! A small closed world around a few limiters on the simulator's wire: servers that answer, fail or fall silent, a
//! list that changes, a counter, and clients. Everything follows from the seed and from what the limiters do.

use super::frames::{frame, record};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rate_limiting_gateway::simulator::Host;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Simulated time begins here, ms.
const START: f64 = 100_000.0;
/// Bytes of an action record and of a reply's header.
const ACTION_BYTES: usize = 32;
const REPLY_HEADER_BYTES: usize = 8;
/// Codes of outcomes on the wire.
const OK: u8 = 0;
const ERROR: u8 = 13;
const REJECTED: u8 = 8;
const TIMED_OUT: u8 = 4;
const CONNECT_FAILED: u8 = 14;
const RESET: u8 = 10;
const CANCELLED: u8 = 1;
/// States of a server on the wire.
const REMOVED: u8 = 0;
const READY: u8 = 1;
const DRAINING: u8 = 2;

/// What is played.
pub struct Scenario {
    /// Settings text of every limiter.
    pub settings: &'static str,
    pub seed: u64,
    pub limiters: u32,
    pub servers: u32,
    pub tenants: u64,
    /// Requests a second at all limiters together.
    pub rate: f64,
    /// Simulated time, ms.
    pub span: f64,
    /// Servers slow down with what is out at them.
    pub overloaded: bool,
    /// Servers fail, hang, drain, vanish and come back cold; answers are lost; clients leave.
    pub server_faults: bool,
    /// The counter is silent for a while, and answers are lost.
    pub counter_faults: bool,
    /// A call to the counter takes about this long, ms.
    pub counter_delay: f64,
    /// Share of the calls that are turned away.
    pub counter_rejects: f64,
    /// Every second phase of 20 s has other tenants, so that tenants fall idle and return; all calls of 5 s are
    /// turned away; a server that breaks stays so for 30 s; connections are reset after about 300 ms.
    pub long_faults: bool,
}

impl Scenario {
    /// A day without faults.
    pub fn quiet(settings: &'static str, seed: u64) -> Self {
        Scenario {
            settings,
            seed,
            limiters: 2,
            servers: 6,
            tenants: 10,
            rate: 100.0,
            span: 40_000.0,
            overloaded: false,
            server_faults: false,
            counter_faults: false,
            counter_delay: 3.0,
            counter_rejects: 0.0,
            long_faults: false,
        }
    }

    /// The same with every kind of fault.
    pub fn with_all_faults(self) -> Self {
        Scenario { server_faults: true, counter_faults: true, ..self }
    }
}

/// How often the limiters did what; a scenario that does not reach a rule shows here.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub requests: u32,
    pub forwarded: u32,
    pub rejected: u32,
    pub failed: u32,
    pub cancelled: u32,
    pub counter_calls: u32,
    pub watches: u32,
}

/// An event that is due for one limiter, or a change of the world itself.
enum Due {
    Arrival,
    ListChange,
    Event { limiter: u32, record: Vec<u8> },
    AttemptEnds { limiter: u32, request: u32, attempt: u8, outcome: u8 },
    ClientLeaves { limiter: u32, request: u32 },
    Timer { limiter: u32, token: u64 },
}

struct Attempt {
    server: u32,
    sent: f64,
    live: bool,
}

#[derive(Default)]
struct OpenRequest {
    answered: bool,
    attempts: Vec<Attempt>,
}

#[derive(Clone, Copy)]
struct Server {
    state: u8,
    started: f64,
    in_flight: f64,
    /// Nothing it is sent ends well before this.
    broken_until: f64,
}

/// The world and its limiters.
pub struct World<'a> {
    scenario: &'a Scenario,
    host: Host,
    rng: Pcg64Mcg,
    now: f64,
    due: BTreeMap<u64, Due>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    sequence: u64,
    servers: Vec<Server>,
    requests: BTreeMap<(u32, u32), OpenRequest>,
    totals: BTreeMap<u64, f32>,
    counts: Counts,
    digest: u64,
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap())
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(bytes[at..at + 8].try_into().unwrap())
}

fn f64_at(bytes: &[u8], at: usize) -> f64 {
    f64::from_bits(u64_at(bytes, at))
}

impl<'a> World<'a> {
    pub fn new(scenario: &'a Scenario) -> Self {
        let server = Server { state: READY, started: 0.0, in_flight: 0.0, broken_until: 0.0 };
        World {
            scenario,
            host: Host::default(),
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            now: START,
            due: BTreeMap::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            servers: vec![server; scenario.servers as usize],
            requests: BTreeMap::new(),
            totals: BTreeMap::new(),
            counts: Counts::default(),
            // FNV-1a, 64 bits: http://www.isthe.com/chongo/tech/comp/fnv/
            digest: 0xcbf2_9ce4_8422_2325,
        }
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Plays the scenario; the digest of all reply frames.
    pub fn play(&mut self) -> u64 {
        for limiter in 0..self.scenario.limiters {
            self.provision(limiter);
        }
        self.plan(0.0, Due::Arrival);
        self.plan(1500.0, Due::ListChange);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at as f64 / 1000.0;
            if self.now > START + self.scenario.span {
                break;
            }
            if let Some(due) = self.due.remove(&number) {
                self.come_due(due);
            }
        }
        self.digest
    }

    fn roll(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn pick(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    fn plan(&mut self, after: f64, due: Due) {
        let at = ((self.now + after.max(0.0)) * 1000.0) as u64;
        self.sequence += 1;
        self.due.insert(self.sequence, due);
        self.queue.push(Reverse((at, self.sequence)));
    }

    fn elapsed(&self) -> f64 {
        self.now - START
    }

    fn come_due(&mut self, due: Due) {
        match due {
            Due::Arrival => self.arrive(),
            Due::ListChange => self.change_list(),
            Due::Event { limiter, record } => self.tell(limiter, record, &[]),
            Due::AttemptEnds { limiter, request, attempt, outcome } => {
                self.end_attempt(limiter, request, attempt, outcome);
            }
            Due::ClientLeaves { limiter, request } => self.leave(limiter, request),
            Due::Timer { limiter, token } => {
                self.tell(limiter, record(1070, limiter, &[(6, &token.to_le_bytes())]), &[]);
            }
        }
    }

    // ---- Events -------------------------------------------------------------------------------

    fn provision(&mut self, limiter: u32) {
        let text = self.scenario.settings.as_bytes();
        let seed = self.scenario.seed * 1000 + u64::from(limiter);
        let provision =
            record(1040, limiter, &[(6, &seed.to_le_bytes()), (18, &(text.len() as u32).to_le_bytes())]);
        let all: Vec<u32> = (0..self.scenario.servers).collect();
        let offset = (text.len() as u32).to_le_bytes();
        let count = (all.len() as u32).to_le_bytes();
        // As last held: half of the list.
        let half = (all.len() as u32 / 2).to_le_bytes();
        let cached = record(1080, limiter, &[(6, &[2]), (11, &offset), (15, &half)]);
        let tail = [text, &self.entries(&all)].concat();
        self.exchange(limiter, &[provision, cached], &tail);
        let full = record(1080, limiter, &[(6, &[1]), (15, &count)]);
        let entries = self.entries(&all);
        self.tell(limiter, full, &entries);
    }

    fn entries(&self, servers: &[u32]) -> Vec<u8> {
        let mut bytes = Vec::new();
        for &number in servers {
            let server = &self.servers[number as usize];
            bytes.extend(1f32.to_le_bytes());
            bytes.extend((number + 1).to_le_bytes());
            bytes.extend(((number % 2) as u16).to_le_bytes());
            bytes.push(0);
            bytes.extend(server.started.to_le_bytes());
            bytes.extend(((number % 5) as u16).to_le_bytes());
            bytes.push(server.state);
        }
        bytes
    }

    fn arrive(&mut self) {
        let busy = (10_000.0..15_000.0).contains(&self.elapsed());
        let rate = if busy { 2.0 * self.scenario.rate } else { self.scenario.rate };
        let wait = -(1.0 - self.roll()).ln() * 1000.0 / rate;
        self.plan(wait, Due::Arrival);
        let limiter = self.pick(u64::from(self.scenario.limiters)) as u32;
        // Few tenants ask for most, so that some go beyond their quota.
        let skewed = self.roll() * self.roll();
        let mut tenant = (skewed * self.scenario.tenants as f64) as u64;
        if self.scenario.long_faults {
            let phase = (self.elapsed() / 20_000.0) as u64;
            tenant += phase % 3 * self.scenario.tenants;
        }
        let classes = setting(self.scenario.settings, "classes.count");
        let plans = setting(self.scenario.settings, "plans.count");
        let class = self.pick(classes) as u16;
        let plan = (tenant % plans) as u32;
        let spread = setting(self.scenario.settings, "balancers") as f32;
        let units: f32 = if self.roll() < 0.2 { 2.0 } else { 1.0 };
        let time_left = if self.roll() < 0.1 { 30.0 + 400.0 * self.roll() } else { 1000.0 };
        self.counts.requests += 1;
        let request = self.counts.requests;
        self.requests.insert((limiter, request), OpenRequest::default());
        let ingress = record(
            1010,
            limiter,
            &[
                (6, &request.to_le_bytes()),
                (16, &spread.to_le_bytes()),
                (20, &time_left.to_le_bytes()),
                (28, &class.to_le_bytes()),
                (30, &units.to_le_bytes()),
                (34, &plan.to_le_bytes()),
                (38, &(tenant + 1).to_le_bytes()),
            ],
        );
        if self.scenario.server_faults && self.roll() < 0.05 {
            let after = 200.0 * self.roll();
            self.plan(after, Due::ClientLeaves { limiter, request });
        }
        self.tell(limiter, ingress, &[]);
    }

    fn leave(&mut self, limiter: u32, request: u32) {
        let Some(open) = self.requests.get_mut(&(limiter, request)).filter(|o| !o.answered) else { return };
        open.answered = true;
        self.tell(limiter, record(1100, limiter, &[(6, &request.to_le_bytes())]), &[]);
    }

    fn end_attempt(&mut self, limiter: u32, request: u32, attempt: u8, outcome: u8) {
        let Some(open) = self.requests.get_mut(&(limiter, request)) else { return };
        let Some(out) = open.attempts.get_mut(usize::from(attempt)).filter(|a| a.live) else { return };
        out.live = false;
        open.answered |= outcome == OK;
        let (server, took, complete) = (out.server, self.now - out.sent, u8::from(open.answered));
        self.servers[server as usize - 1].in_flight -= 1.0;
        let ended = record(
            1030,
            limiter,
            &[
                (6, &request.to_le_bytes()),
                (14, &took.to_le_bytes()),
                (22, &server.to_le_bytes()),
                (26, &[outcome, complete, attempt]),
            ],
        );
        self.tell(limiter, ended, &[]);
    }

    /// Some servers drain, go, break or come back cold, and all limiters are told, in a change or a whole list.
    fn change_list(&mut self) {
        self.plan(1500.0, Due::ListChange);
        if !self.scenario.server_faults {
            return;
        }
        let broken_for = if self.scenario.long_faults { 30_000.0 } else { 4000.0 };
        let mut changed = Vec::new();
        for _ in 0..1 + self.scenario.servers / 10 {
            let number = self.pick(u64::from(self.scenario.servers)) as u32;
            let roll = self.roll();
            let now = self.now;
            let server = &mut self.servers[number as usize];
            match server.state {
                READY if roll < 0.4 => server.broken_until = now + broken_for,
                READY if roll < 0.7 => server.state = DRAINING,
                READY => server.state = REMOVED,
                _ => (server.state, server.started, server.broken_until) = (READY, now, 0.0),
            }
            changed.push(number);
        }
        let kind = [0u8, 0, 1, 3][self.pick(4) as usize];
        let listed: Vec<u32> = match kind {
            0 => changed,
            1 => (0..self.scenario.servers).filter(|n| self.servers[*n as usize].state != REMOVED).collect(),
            _ => Vec::new(),
        };
        let (entries, count) = (self.entries(&listed), (listed.len() as u32).to_le_bytes());
        for limiter in 0..self.scenario.limiters {
            self.tell(limiter, record(1080, limiter, &[(6, &[kind]), (15, &count)]), &entries);
        }
    }

    fn tell(&mut self, limiter: u32, event: Vec<u8>, tail: &[u8]) {
        self.exchange(limiter, &[event], tail);
    }

    fn exchange(&mut self, limiter: u32, events: &[Vec<u8>], tail: &[u8]) {
        let reply = self.host.answer(&frame(self.now, events, tail)).unwrap();
        for byte in &reply {
            self.digest = (self.digest ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
        for action in reply[REPLY_HEADER_BYTES..].chunks_exact(ACTION_BYTES) {
            self.carry_out(limiter, action);
        }
    }

    // ---- Actions ------------------------------------------------------------------------------

    fn carry_out(&mut self, limiter: u32, action: &[u8]) {
        let request = u32_at(action, 6);
        match u16::from_le_bytes([action[0], action[1]]) {
            1000 => self.forward(limiter, request, u32_at(action, 10), f64_at(action, 14)),
            1010 => {
                self.counts.rejected += 1;
                self.answer(limiter, request);
            }
            1020 => {
                self.counts.failed += 1;
                self.answer(limiter, request);
            }
            1030 => {
                self.counts.cancelled += 1;
                let (attempt, outcome) = (action[10], CANCELLED);
                self.plan(0.0, Due::AttemptEnds { limiter, request, attempt, outcome });
            }
            1040 => {
                let token = u64_at(action, 14);
                self.plan(f64_at(action, 6), Due::Timer { limiter, token });
            }
            1100 => self.counts.watches += 1,
            1120 => self.count(limiter, u64_at(action, 6), f32::from_bits(u32_at(action, 14))),
            code => panic!("unknown action {code}"),
        }
    }

    fn answer(&mut self, limiter: u32, request: u32) {
        if let Some(open) = self.requests.get_mut(&(limiter, request)) {
            assert!(!open.answered, "a second answer to {request}");
            open.answered = true;
        }
    }

    fn forward(&mut self, limiter: u32, request: u32, server: u32, timeout: f64) {
        self.counts.forwarded += 1;
        let sent = self.now;
        let open = self.requests.get_mut(&(limiter, request)).unwrap();
        assert!(!open.answered, "an attempt after the answer to {request}");
        let attempt = open.attempts.len() as u8;
        open.attempts.push(Attempt { server, sent, live: true });
        let (mut took, mut outcome) = self.service(server as usize - 1);
        self.servers[server as usize - 1].in_flight += 1.0;
        if took >= timeout {
            (took, outcome) = (timeout, TIMED_OUT);
        }
        if self.roll() < 0.02 {
            let streaming = record(1090, limiter, &[(6, &request.to_le_bytes()), (10, &[attempt])]);
            self.plan(took / 2.0, Due::Event { limiter, record: streaming });
        }
        self.plan(took, Due::AttemptEnds { limiter, request, attempt, outcome });
    }

    /// How long a server takes, ms, and how it ends.
    fn service(&mut self, index: usize) -> (f64, u8) {
        let server = self.servers[index];
        let crowd = if self.scenario.overloaded { server.in_flight } else { server.in_flight / 16.0 };
        let work = 20.0 + 40.0 * self.roll();
        let usual = work * (1.0 + crowd);
        let roll = self.roll();
        if server.state == REMOVED {
            return (250.0, CONNECT_FAILED);
        }
        if server.broken_until > self.now {
            return [(5.0, ERROR), (9_000.0, OK), (1.0, RESET), (2.0, REJECTED)][index % 4];
        }
        match roll {
            _ if !self.scenario.server_faults => (usual, OK),
            r if self.scenario.long_faults && r < 0.2 => (250.0 + 300.0 * r, RESET),
            r if r < 0.01 => (usual / 2.0, RESET),
            r if r < 0.02 => (usual / 4.0, ERROR),
            r if r < 0.03 => (1.0, REJECTED),
            r if r < 0.05 => (9_000.0, OK),
            _ => (usual, OK),
        }
    }

    fn count(&mut self, limiter: u32, name: u64, add: f32) {
        self.counts.counter_calls += 1;
        let silent = self.scenario.counter_faults && (18_000.0..23_000.0).contains(&self.elapsed());
        let lost = self.scenario.counter_faults && self.roll() < 0.03;
        let mut took = self.scenario.counter_delay * (0.5 + self.roll());
        let mut outcome = OK;
        let all_rejected = self.scenario.long_faults && (30_000.0..35_000.0).contains(&self.elapsed());
        if self.roll() < self.scenario.counter_rejects || all_rejected {
            (took, outcome) = (1.0, REJECTED);
        } else if silent {
            (took, outcome) = (30.0, if name % 2 == 0 { TIMED_OUT } else { CONNECT_FAILED });
        } else if lost {
            (took, outcome) = (10.0, RESET);
        }
        let mut total = 0f32;
        if outcome == OK || outcome == RESET {
            let held = self.totals.entry(name).or_default();
            *held += add;
            total = *held;
        }
        let total = if outcome == OK { total } else { 0.0 };
        let counted = record(
            1060,
            limiter,
            &[
                (6, &took.to_le_bytes()),
                (14, &[outcome]),
                (15, &name.to_le_bytes()),
                (23, &total.to_le_bytes()),
            ],
        );
        self.plan(took, Due::Event { limiter, record: counted });
    }
}

/// A whole number of the settings text.
fn setting(settings: &str, key: &str) -> u64 {
    let line = settings.lines().find_map(|line| line.trim().strip_prefix(key)?.strip_prefix('='));
    line.and_then(|value| value.parse().ok()).expect(key)
}
