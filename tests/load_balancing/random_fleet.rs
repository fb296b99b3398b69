//! A gateway with a fleet that changes, fails and recovers at random, and a digest of the gateway's actions.

use crate::deployment::{endpoint, endpoints, request, settings, CLASSES, ZONES};
use crate::simulation::attempt_ended;
use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{Endpoint, EndpointState, EndpointUpdate, Event, Outcome};
use rate_limiting_gateway::ids::{ClassId, Millis, RequestId, ServerId};
use rate_limiting_gateway::policy::Gateway;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Minimum time between events of the gateway's timer, in ms.
const TIMER_PERIOD: Millis = 20.0;
/// Duration of an outage, in which most attempts fail, in ms.
const OUTAGE_DURATION: Millis = 400.0;
/// Age of a restarted server when the list shows its restart, in ms.
const RESTART_AGE: Millis = 9000.0;
/// Number that is added to the id of a server to get the id of its replacement.
const REPLACEMENT_OFFSET: u32 = 20_000;

/// SplitMix64 random generator of the test, which is independent of the gateway's generator.
struct SplitMix64(u64);

impl SplitMix64 {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }

    fn uniform(&mut self) -> f64 {
        self.next() as f64 / u64::MAX as f64
    }
}

/// An attempt in flight, and how and when it will end.
struct InFlightAttempt {
    ends_at: Millis,
    outcome: Outcome,
    id: RequestId,
    attempt: u8,
    server: ServerId,
    elapsed: Millis,
}

/// An attempt, ended or not, of a request that has no final answer yet.
struct UnansweredAttempt {
    id: RequestId,
}

/// A gateway with a fleet that changes, fails and recovers at random.
pub struct RandomFleet {
    gateway: Gateway,
    rng: SplitMix64,
    now: Millis,
    endpoints: Vec<Endpoint>,
    in_flight: Vec<InFlightAttempt>,
    /// All attempts so far of the requests without a final answer. The attempts of a request are counted to
    /// number its next attempt.
    unanswered: Vec<UnansweredAttempt>,
    /// Hash of the gateway's actions.
    pub digest: u64,
    /// Number of attempts that the gateway has sent.
    pub forwarded: usize,
    /// When the current outage ends, in ms.
    outage_until: Millis,
}

impl RandomFleet {
    /// A gateway that starts with a cached list of ready servers.
    pub fn new(servers: u32, seed: u64) -> Self {
        let endpoints = endpoints(servers);
        let mut fleet = RandomFleet {
            gateway: Gateway::new(settings(), seed),
            rng: SplitMix64(seed),
            now: 100.0,
            endpoints: endpoints.clone(),
            in_flight: Vec::new(),
            unanswered: Vec::new(),
            digest: FNV_OFFSET,
            forwarded: 0,
            outage_until: 0.0,
        };
        fleet.handle(Event::EndpointsChanged { update: EndpointUpdate::Cached, entries: endpoints });
        fleet
    }

    /// Sends requests at a mean interval, in ms. On average, the list changes or an outage begins once in
    /// `requests_per_change` requests.
    pub fn run(&mut self, requests: u32, mean_interval: Millis, requests_per_change: u64) {
        let mut next_timer = self.now;
        for number in 0..requests {
            self.now += (8.0 * mean_interval * self.rng.uniform()).floor() / 4.0;
            if self.now >= next_timer {
                next_timer = self.now + TIMER_PERIOD;
                self.handle(Event::Timer(0));
            }
            self.end_due_attempts();
            if self.rng.below(requests_per_change) == 0 {
                self.apply_random_change();
            }
            let class = ClassId(self.rng.below(CLASSES) as usize);
            self.handle(Event::Request(request(number, class)));
        }
    }

    /// Adds a word to the digest.
    fn add_to_digest(&mut self, word: u32) {
        self.digest = (self.digest ^ u64::from(word)).wrapping_mul(FNV_PRIME);
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Forward { id, server, .. } => self.begin_attempt(id, server),
                Action::Reject { id, .. } | Action::Fail(id) => {
                    self.add_to_digest(!id.0);
                    self.unanswered.retain(|attempt| attempt.id != id);
                }
                Action::Cancel { id, attempt } => {
                    self.add_to_digest(id.0.rotate_left(8) ^ u32::from(attempt));
                }
                _ => {}
            }
        }
    }

    fn begin_attempt(&mut self, id: RequestId, server: ServerId) {
        self.add_to_digest(id.0 ^ (server.0 << 16));
        self.forwarded += 1;
        let attempt = self.unanswered.iter().filter(|earlier| earlier.id == id).count() as u8;
        self.unanswered.push(UnansweredAttempt { id });
        let outcome = self.draw_outcome(server);
        let max_quarter_millis = if server.0 % 11 == 5 { 160.0 } else { 40.0 };
        let elapsed = (max_quarter_millis * self.rng.uniform()).floor() / 4.0 + 1.0;
        let ends_at = self.now + elapsed;
        self.in_flight.push(InFlightAttempt { ends_at, outcome, id, attempt, server, elapsed });
    }

    fn draw_outcome(&mut self, server: ServerId) -> Outcome {
        let failing = server.0 % 17 == 3 || self.now < self.outage_until;
        match self.rng.below(if failing { 8 } else { 60 }) {
            0 => Outcome::Rejected,
            1 => Outcome::Error,
            2 => Outcome::ConnectFailed,
            3 => Outcome::Reset,
            4 => Outcome::TimedOut,
            _ => Outcome::Ok,
        }
    }

    /// Ends the attempts whose end time has passed, in the order of their end times.
    fn end_due_attempts(&mut self) {
        let ends_at = |fleet: &Self, index: usize| fleet.in_flight[index].ends_at;
        while let Some(next) =
            (0..self.in_flight.len()).min_by(|a, b| ends_at(self, *a).total_cmp(&ends_at(self, *b)))
        {
            if ends_at(self, next) > self.now {
                return;
            }
            let ended = self.in_flight.remove(next);
            if ended.outcome == Outcome::Ok {
                self.unanswered.retain(|attempt| attempt.id != ended.id);
            }
            let InFlightAttempt { outcome, id, attempt, server, elapsed, .. } = ended;
            self.handle(attempt_ended(id, attempt, server, outcome, elapsed));
        }
    }

    /// Makes one random change. Either the list changes (a server drains, is removed or restarts; a zone
    /// drains or returns; half of the servers are replaced; a complete list omits some servers and lists one
    /// twice), or an outage begins.
    fn apply_random_change(&mut self) {
        let index = self.rng.below(self.endpoints.len() as u64) as usize;
        let mut update = EndpointUpdate::Incremental;
        let entries = match self.rng.below(16) {
            0..=3 => self.drain(index),
            4..=6 => vec![Endpoint { state: EndpointState::Removed, ..self.endpoints[index].clone() }],
            7..=10 => self.restart(index),
            11 => self.change_zone_state(),
            12 => {
                update = EndpointUpdate::Complete;
                self.replace_half()
            }
            13 => {
                self.outage_until = self.now + OUTAGE_DURATION;
                Vec::new()
            }
            _ => {
                update = EndpointUpdate::Complete;
                self.omit_some_and_repeat_one(index)
            }
        };
        self.handle(Event::EndpointsChanged { update, entries });
    }

    /// Start time that the list shows for a server that restarts, in ms.
    fn restarted_at(&self) -> Millis {
        (self.now - RESTART_AGE).max(1.0)
    }

    fn drain(&mut self, index: usize) -> Vec<Endpoint> {
        self.endpoints[index].state = EndpointState::Draining;
        vec![self.endpoints[index].clone()]
    }

    fn restart(&mut self, index: usize) -> Vec<Endpoint> {
        let started_at = self.restarted_at();
        self.endpoints[index] = Endpoint { started_at, ..endpoint(self.endpoints[index].server.0) };
        vec![self.endpoints[index].clone()]
    }

    fn change_zone_state(&mut self) -> Vec<Endpoint> {
        let zone = self.rng.below(u64::from(ZONES)) as u16;
        let state = [EndpointState::Draining, EndpointState::Ready][self.rng.below(2) as usize];
        let in_zone = self.endpoints.iter_mut().filter(|endpoint| endpoint.zone == zone);
        in_zone
            .map(|endpoint| {
                endpoint.state = state;
                endpoint.clone()
            })
            .collect()
    }

    fn replace_half(&mut self) -> Vec<Endpoint> {
        let started_at = self.restarted_at();
        for replaced in self.endpoints.iter_mut().step_by(2) {
            *replaced = Endpoint { started_at, ..endpoint(replaced.server.0 + REPLACEMENT_OFFSET) };
        }
        self.endpoints.clone()
    }

    fn omit_some_and_repeat_one(&mut self, repeated: usize) -> Vec<Endpoint> {
        self.endpoints.iter_mut().for_each(|endpoint| endpoint.state = EndpointState::Ready);
        let omitted = self.rng.below(9) as usize;
        let listed = self.endpoints.iter().enumerate().filter(|(index, _)| index % 9 != omitted);
        listed.map(|(_, endpoint)| endpoint.clone()).chain([self.endpoints[repeated].clone()]).collect()
    }
}
