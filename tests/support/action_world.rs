//! A simulated environment for a few gateways, which it drives over the simulator's protocol: servers that
//! answer, fail or stop responding, an endpoint list that changes, a counter service, and clients. The seed
//! and the actions of the gateways determine everything that happens.

use super::frames::{event_code, frame, record};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rate_limiting_gateway::simulator::GatewayHost;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Time at which the simulation starts, ms.
const START: f64 = 100_000.0;
/// Bytes of an action record.
const ACTION_BYTES: usize = 32;
/// Bytes of the header of a reply.
const REPLY_HEADER_BYTES: usize = 8;
/// Codes of outcomes in event records.
const OK: u8 = 0;
const ERROR: u8 = 13;
const REJECTED: u8 = 8;
const TIMED_OUT: u8 = 4;
const CONNECT_FAILED: u8 = 14;
const RESET: u8 = 10;
const CANCELLED: u8 = 1;
/// Codes of server states in endpoint entries.
const REMOVED: u8 = 0;
const READY: u8 = 1;
const DRAINING: u8 = 2;
/// Codes of action records.
const FORWARD: u16 = 1000;
const REJECT: u16 = 1010;
const FAIL: u16 = 1020;
const CANCEL: u16 = 1030;
const TIMER: u16 = 1040;
const WATCH_ENDPOINTS: u16 = 1100;
const INCREMENT_COUNTER: u16 = 1120;

/// The load and the faults of a simulation.
pub struct Scenario {
    /// Settings of every gateway, as `path=value` lines.
    pub settings: &'static str,
    pub seed: u64,
    pub gateways: u32,
    pub servers: u32,
    pub tenants: u64,
    /// Requests per second at all gateways together.
    pub rate: f64,
    /// Length of the simulation, ms.
    pub duration: f64,
    /// Each attempt in flight slows its server down 16 times as much as without this.
    pub overloaded: bool,
    /// Servers fail, hang, drain, are removed and restart cold; connections are reset; clients disconnect.
    pub server_faults: bool,
    /// The counter service does not respond for 5 s, and some of its replies are lost.
    pub counter_faults: bool,
    /// Mean duration of a call to the counter service, ms.
    pub counter_delay: f64,
    /// Share of counter calls that the counter service rejects.
    pub counter_reject_share: f64,
    /// The set of tenants changes every 20 s, so that tenants become idle and return. The counter service
    /// rejects all calls for 5 s. A faulty server stays faulty for 30 s instead of 4 s. Some connections are
    /// reset, after about 300 ms.
    pub long_faults: bool,
}

impl Scenario {
    /// A scenario without faults.
    pub fn without_faults(settings: &'static str, seed: u64) -> Self {
        Scenario {
            settings,
            seed,
            gateways: 2,
            servers: 6,
            tenants: 10,
            rate: 100.0,
            duration: 40_000.0,
            overloaded: false,
            server_faults: false,
            counter_faults: false,
            counter_delay: 3.0,
            counter_reject_share: 0.0,
            long_faults: false,
        }
    }

    /// The same scenario with faults of the servers and of the counter service.
    pub fn with_all_faults(self) -> Self {
        Scenario { server_faults: true, counter_faults: true, ..self }
    }
}

/// How often the gateways took each action. The counts show whether a scenario exercises a rule at all.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub requests: u32,
    pub forwarded: u32,
    pub rejected: u32,
    pub failed: u32,
    pub cancelled: u32,
    pub counter_calls: u32,
    pub endpoint_watches: u32,
}

/// An event scheduled for one gateway, or a change of the environment.
enum ScheduledEvent {
    RequestArrives,
    EndpointsChange,
    GatewayEvent { gateway: u32, record: Vec<u8> },
    AttemptEnds { gateway: u32, request: u32, attempt: u8, outcome: u8 },
    ClientDisconnects { gateway: u32, request: u32 },
    Timer { gateway: u32, token: u64 },
}

struct Attempt {
    server: u32,
    sent: f64,
    in_flight: bool,
}

#[derive(Default)]
struct RequestState {
    answered: bool,
    attempts: Vec<Attempt>,
}

#[derive(Clone, Copy)]
struct Server {
    state: u8,
    started: f64,
    in_flight: f64,
    /// Until this time, attempts at the server fail or hang.
    faulty_until: f64,
}

/// The simulated environment and its gateways.
pub struct World<'a> {
    scenario: &'a Scenario,
    host: GatewayHost,
    rng: Pcg64Mcg,
    now: f64,
    /// Scheduled events by their sequence numbers.
    scheduled: BTreeMap<u64, ScheduledEvent>,
    /// Times of the scheduled events in µs, with their sequence numbers.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    sequence: u64,
    servers: Vec<Server>,
    /// Requests by gateway and request number.
    requests: BTreeMap<(u32, u32), RequestState>,
    /// Totals of the counter service by counter key.
    totals: BTreeMap<u64, f32>,
    counts: Counts,
    /// FNV-1a hash of all reply frames so far.
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
        let server = Server { state: READY, started: 0.0, in_flight: 0.0, faulty_until: 0.0 };
        World {
            scenario,
            host: GatewayHost::default(),
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            now: START,
            scheduled: BTreeMap::new(),
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

    /// Runs the scenario and returns the digest of all reply frames.
    pub fn run(&mut self) -> u64 {
        for gateway in 0..self.scenario.gateways {
            self.start_gateway(gateway);
        }
        self.schedule(0.0, ScheduledEvent::RequestArrives);
        self.schedule(1500.0, ScheduledEvent::EndpointsChange);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at as f64 / 1000.0;
            if self.now > START + self.scenario.duration {
                break;
            }
            if let Some(event) = self.scheduled.remove(&number) {
                self.handle_event(event);
            }
        }
        self.digest
    }

    fn uniform(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn random_below(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    fn schedule(&mut self, after: f64, event: ScheduledEvent) {
        let at = ((self.now + after.max(0.0)) * 1000.0) as u64;
        self.sequence += 1;
        self.scheduled.insert(self.sequence, event);
        self.queue.push(Reverse((at, self.sequence)));
    }

    fn elapsed(&self) -> f64 {
        self.now - START
    }

    fn handle_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::RequestArrives => self.request_arrives(),
            ScheduledEvent::EndpointsChange => self.change_endpoints(),
            ScheduledEvent::GatewayEvent { gateway, record } => self.send_event(gateway, record, &[]),
            ScheduledEvent::AttemptEnds { gateway, request, attempt, outcome } => {
                self.end_attempt(gateway, request, attempt, outcome);
            }
            ScheduledEvent::ClientDisconnects { gateway, request } => {
                self.disconnect_client(gateway, request)
            }
            ScheduledEvent::Timer { gateway, token } => {
                self.send_event(
                    gateway,
                    record(event_code::TIMER, gateway, &[(6, &token.to_le_bytes())]),
                    &[],
                );
            }
        }
    }

    // ---- Events -------------------------------------------------------------------------------

    fn start_gateway(&mut self, gateway: u32) {
        let text = self.scenario.settings.as_bytes();
        let seed = self.scenario.seed * 1000 + u64::from(gateway);
        let started = record(
            event_code::INSTANCE_STARTED,
            gateway,
            &[(6, &seed.to_le_bytes()), (18, &(text.len() as u32).to_le_bytes())],
        );
        let all: Vec<u32> = (0..self.scenario.servers).collect();
        let offset = (text.len() as u32).to_le_bytes();
        let count = (all.len() as u32).to_le_bytes();
        // The cached list contains the first half of the servers.
        let half = (all.len() as u32 / 2).to_le_bytes();
        let cached = record(event_code::ENDPOINTS_CHANGED, gateway, &[(6, &[2]), (11, &offset), (15, &half)]);
        let tail = [text, &self.entries(&all)].concat();
        self.send_frame(gateway, &[started, cached], &tail);
        let complete = record(event_code::ENDPOINTS_CHANGED, gateway, &[(6, &[1]), (15, &count)]);
        let entries = self.entries(&all);
        self.send_event(gateway, complete, &entries);
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

    fn request_arrives(&mut self) {
        let peak = (10_000.0..15_000.0).contains(&self.elapsed());
        let rate = if peak { 2.0 * self.scenario.rate } else { self.scenario.rate };
        let wait = -(1.0 - self.uniform()).ln() * 1000.0 / rate;
        self.schedule(wait, ScheduledEvent::RequestArrives);
        let gateway = self.random_below(u64::from(self.scenario.gateways)) as u32;
        // A few tenants send most of the requests, so that some tenants exceed their quota.
        let skewed_share = self.uniform() * self.uniform();
        let mut tenant = (skewed_share * self.scenario.tenants as f64) as u64;
        if self.scenario.long_faults {
            let phase = (self.elapsed() / 20_000.0) as u64;
            tenant += phase % 3 * self.scenario.tenants;
        }
        let classes = integer_setting(self.scenario.settings, "classes.count");
        let plans = integer_setting(self.scenario.settings, "plans.count");
        let class = self.random_below(classes) as u16;
        let plan = (tenant % plans) as u32;
        let gateway_count = integer_setting(self.scenario.settings, "balancers") as f32;
        let units: f32 = if self.uniform() < 0.2 { 2.0 } else { 1.0 };
        let time_left = if self.uniform() < 0.1 { 30.0 + 400.0 * self.uniform() } else { 1000.0 };
        self.counts.requests += 1;
        let request = self.counts.requests;
        self.requests.insert((gateway, request), RequestState::default());
        let arrival = record(
            event_code::REQUEST,
            gateway,
            &[
                (6, &request.to_le_bytes()),
                (16, &gateway_count.to_le_bytes()),
                (20, &time_left.to_le_bytes()),
                (28, &class.to_le_bytes()),
                (30, &units.to_le_bytes()),
                (34, &plan.to_le_bytes()),
                (38, &(tenant + 1).to_le_bytes()),
            ],
        );
        if self.scenario.server_faults && self.uniform() < 0.05 {
            let after = 200.0 * self.uniform();
            self.schedule(after, ScheduledEvent::ClientDisconnects { gateway, request });
        }
        self.send_event(gateway, arrival, &[]);
    }

    fn disconnect_client(&mut self, gateway: u32, request: u32) {
        let Some(request_state) =
            self.requests.get_mut(&(gateway, request)).filter(|request| !request.answered)
        else {
            return;
        };
        request_state.answered = true;
        self.send_event(
            gateway,
            record(event_code::CLIENT_DISCONNECTED, gateway, &[(6, &request.to_le_bytes())]),
            &[],
        );
    }

    fn end_attempt(&mut self, gateway: u32, request: u32, attempt: u8, outcome: u8) {
        let Some(request_state) = self.requests.get_mut(&(gateway, request)) else { return };
        let Some(ended_attempt) =
            request_state.attempts.get_mut(usize::from(attempt)).filter(|attempt| attempt.in_flight)
        else {
            return;
        };
        ended_attempt.in_flight = false;
        request_state.answered |= outcome == OK;
        let (server, elapsed, complete) =
            (ended_attempt.server, self.now - ended_attempt.sent, u8::from(request_state.answered));
        self.servers[server as usize - 1].in_flight -= 1.0;
        let ended = record(
            event_code::ATTEMPT_ENDED,
            gateway,
            &[
                (6, &request.to_le_bytes()),
                (14, &elapsed.to_le_bytes()),
                (22, &server.to_le_bytes()),
                (26, &[outcome, complete, attempt]),
            ],
        );
        self.send_event(gateway, ended, &[]);
    }

    /// Makes some servers faulty, draining or removed, or restarts them cold. Sends all gateways the same
    /// update: an incremental list, a complete list, or the notice that the list could not be fetched.
    fn change_endpoints(&mut self) {
        self.schedule(1500.0, ScheduledEvent::EndpointsChange);
        if !self.scenario.server_faults {
            return;
        }
        let fault_duration = if self.scenario.long_faults { 30_000.0 } else { 4000.0 };
        let mut changed = Vec::new();
        for _ in 0..1 + self.scenario.servers / 10 {
            let number = self.random_below(u64::from(self.scenario.servers)) as u32;
            let roll = self.uniform();
            let now = self.now;
            let server = &mut self.servers[number as usize];
            match server.state {
                READY if roll < 0.4 => server.faulty_until = now + fault_duration,
                READY if roll < 0.7 => server.state = DRAINING,
                READY => server.state = REMOVED,
                _ => (server.state, server.started, server.faulty_until) = (READY, now, 0.0),
            }
            changed.push(number);
        }
        let kind = [0u8, 0, 1, 3][self.random_below(4) as usize];
        let listed: Vec<u32> = match kind {
            0 => changed,
            1 => (0..self.scenario.servers).filter(|n| self.servers[*n as usize].state != REMOVED).collect(),
            _ => Vec::new(),
        };
        let (entries, count) = (self.entries(&listed), (listed.len() as u32).to_le_bytes());
        for gateway in 0..self.scenario.gateways {
            self.send_event(
                gateway,
                record(event_code::ENDPOINTS_CHANGED, gateway, &[(6, &[kind]), (15, &count)]),
                &entries,
            );
        }
    }

    fn send_event(&mut self, gateway: u32, event: Vec<u8>, tail: &[u8]) {
        self.send_frame(gateway, &[event], tail);
    }

    fn send_frame(&mut self, gateway: u32, events: &[Vec<u8>], tail: &[u8]) {
        let reply = self.host.answer(&frame(self.now, events, tail)).unwrap();
        for byte in &reply {
            self.digest = (self.digest ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
        for action in reply[REPLY_HEADER_BYTES..].chunks_exact(ACTION_BYTES) {
            self.execute(gateway, action);
        }
    }

    // ---- Actions ------------------------------------------------------------------------------

    fn execute(&mut self, gateway: u32, action: &[u8]) {
        let request = u32_at(action, 6);
        match u16::from_le_bytes([action[0], action[1]]) {
            FORWARD => self.forward(gateway, request, u32_at(action, 10), f64_at(action, 14)),
            REJECT => {
                self.counts.rejected += 1;
                self.complete_request(gateway, request);
            }
            FAIL => {
                self.counts.failed += 1;
                self.complete_request(gateway, request);
            }
            CANCEL => {
                self.counts.cancelled += 1;
                let (attempt, outcome) = (action[10], CANCELLED);
                self.schedule(0.0, ScheduledEvent::AttemptEnds { gateway, request, attempt, outcome });
            }
            TIMER => {
                let token = u64_at(action, 14);
                self.schedule(f64_at(action, 6), ScheduledEvent::Timer { gateway, token });
            }
            WATCH_ENDPOINTS => self.counts.endpoint_watches += 1,
            INCREMENT_COUNTER => {
                self.increment_counter(gateway, u64_at(action, 6), f32::from_bits(u32_at(action, 14)))
            }
            code => panic!("gateway {gateway} returned an action record with the unknown code {code}"),
        }
    }

    fn complete_request(&mut self, gateway: u32, request: u32) {
        if let Some(request_state) = self.requests.get_mut(&(gateway, request)) {
            assert!(!request_state.answered, "request {request} got a second final answer");
            request_state.answered = true;
        }
    }

    fn forward(&mut self, gateway: u32, request: u32, server: u32, timeout: f64) {
        self.counts.forwarded += 1;
        let sent = self.now;
        let request_state = self.requests.get_mut(&(gateway, request)).unwrap();
        assert!(!request_state.answered, "request {request} was forwarded after its final answer");
        let attempt = request_state.attempts.len() as u8;
        request_state.attempts.push(Attempt { server, sent, in_flight: true });
        let (mut elapsed, mut outcome) = self.serve_attempt(server as usize - 1);
        self.servers[server as usize - 1].in_flight += 1.0;
        if elapsed >= timeout {
            (elapsed, outcome) = (timeout, TIMED_OUT);
        }
        if self.uniform() < 0.02 {
            let started = record(
                event_code::RESPONSE_STARTED,
                gateway,
                &[(6, &request.to_le_bytes()), (10, &[attempt])],
            );
            self.schedule(elapsed / 2.0, ScheduledEvent::GatewayEvent { gateway, record: started });
        }
        self.schedule(elapsed, ScheduledEvent::AttemptEnds { gateway, request, attempt, outcome });
    }

    /// Time after which an attempt at a server ends, ms, and its outcome.
    fn serve_attempt(&mut self, index: usize) -> (f64, u8) {
        let server = self.servers[index];
        let load = if self.scenario.overloaded { server.in_flight } else { server.in_flight / 16.0 };
        let work = 20.0 + 40.0 * self.uniform();
        let service_time = work * (1.0 + load);
        let roll = self.uniform();
        if server.state == REMOVED {
            return (250.0, CONNECT_FAILED);
        }
        if server.faulty_until > self.now {
            return [(5.0, ERROR), (9_000.0, OK), (1.0, RESET), (2.0, REJECTED)][index % 4];
        }
        match roll {
            _ if !self.scenario.server_faults => (service_time, OK),
            r if self.scenario.long_faults && r < 0.2 => (250.0 + 300.0 * r, RESET),
            r if r < 0.01 => (service_time / 2.0, RESET),
            r if r < 0.02 => (service_time / 4.0, ERROR),
            r if r < 0.03 => (1.0, REJECTED),
            r if r < 0.05 => (9_000.0, OK),
            _ => (service_time, OK),
        }
    }

    fn increment_counter(&mut self, gateway: u32, key: u64, add: f32) {
        self.counts.counter_calls += 1;
        let unresponsive = self.scenario.counter_faults && (18_000.0..23_000.0).contains(&self.elapsed());
        let reply_lost = self.scenario.counter_faults && self.uniform() < 0.03;
        let mut elapsed = self.scenario.counter_delay * (0.5 + self.uniform());
        let mut outcome = OK;
        let all_rejected = self.scenario.long_faults && (30_000.0..35_000.0).contains(&self.elapsed());
        if self.uniform() < self.scenario.counter_reject_share || all_rejected {
            (elapsed, outcome) = (1.0, REJECTED);
        } else if unresponsive {
            (elapsed, outcome) = (30.0, if key % 2 == 0 { TIMED_OUT } else { CONNECT_FAILED });
        } else if reply_lost {
            (elapsed, outcome) = (10.0, RESET);
        }
        let mut total = 0f32;
        if outcome == OK || outcome == RESET {
            let value = self.totals.entry(key).or_default();
            *value += add;
            total = *value;
        }
        let total = if outcome == OK { total } else { 0.0 };
        let replied = record(
            event_code::COUNTER_REPLIED,
            gateway,
            &[
                (6, &elapsed.to_le_bytes()),
                (14, &[outcome]),
                (15, &key.to_le_bytes()),
                (23, &total.to_le_bytes()),
            ],
        );
        self.schedule(elapsed, ScheduledEvent::GatewayEvent { gateway, record: replied });
    }
}

/// Reads an integer from the settings text.
fn integer_setting(settings: &str, key: &str) -> u64 {
    let line = settings.lines().find_map(|line| line.trim().strip_prefix(key)?.strip_prefix('='));
    line.and_then(|value| value.parse().ok()).expect(key)
}
