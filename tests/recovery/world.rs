//! Simulates the servers, the counter service, discovery and the clients of one gateway.

use crate::deployment::Deployment;
use crate::simulation::{complete_list, ready_endpoints, CounterStub, SeededRng};
use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{Event, Outcome, Request};
use rate_limiting_gateway::ids::{CounterKey, Millis, RequestId, ServerId, TenantId};
use rate_limiting_gateway::policy::Gateway;
use std::collections::{BTreeMap, HashMap};

/// Seed of the gateway and of the arrival times.
const SEED: u64 = 23;
/// Time of undisturbed traffic before the first disturbance, ms.
const WARM_UP: Millis = 4000.0;
/// Time that the gateway has to recover after the last disturbance, ms.
const RECOVERY: Millis = 10_000.0;
/// Time after the recovery in which the forwarded requests are counted, ms.
const MEASURED: Millis = 10_000.0;
/// Time until an attempt fails, ms.
const FAILURE_TIME: Millis = 2.0;
/// Time until a reply of the counter, and until a call without a reply is given up, ms.
const COUNTER_REPLY_TIME: Millis = 2.0;
const COUNTER_TIMEOUT: Millis = 125.0;

/// What is wrong for a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disturbance {
    /// Discovery lists no server.
    NoServers,
    /// Discovery lists only one server.
    OneServer,
    /// The servers do not respond.
    ServersHang,
    /// Each attempt fails quickly.
    ServersFail(Outcome),
    /// The counter does not reply, and has lost its totals when it returns.
    CounterSilent,
    /// The process does not run. Whatever happened in this time is handled late.
    ProcessPaused,
}

/// A disturbance and the undisturbed time after it.
#[derive(Clone, Copy, Debug)]
pub struct DisturbancePeriod {
    pub kind: Disturbance,
    pub duration: Millis,
    pub pause: Millis,
}

/// The requests that arrived in the measured time.
#[derive(Debug, Default)]
pub struct Report {
    pub arrived: u32,
    pub forwarded: u32,
}

/// An event that is due at a known time.
#[derive(Clone, Debug)]
enum Scheduled {
    RequestArrives,
    AttemptEnds { id: RequestId, attempt: u8, outcome: Outcome },
    CounterReplies { key: CounterKey, outcome: Outcome, total: f64, elapsed: Millis },
    Timer(u64),
    Starts(Disturbance),
    Ends(Disturbance),
}

/// An attempt that has not ended.
struct Attempt {
    server: ServerId,
    started_at: Millis,
}

pub struct World<'a> {
    deployment: &'a Deployment,
    gateway: Gateway,
    rng: SeededRng,
    now: Millis,
    /// The scheduled events, ordered by their time in µs and then by the order of scheduling.
    queue: BTreeMap<(u64, u64), Scheduled>,
    next_sequence_number: u64,
    next_request: u32,
    attempts: HashMap<(RequestId, u8), Attempt>,
    /// Number of attempts of each request that have started, and the deadline of the request.
    requests: HashMap<RequestId, (u8, Millis)>,
    disturbance: Option<Disturbance>,
    counter: CounterStub,
    measured_from: Millis,
    report: Report,
}

impl<'a> World<'a> {
    pub fn new(deployment: &'a Deployment, disturbances: &[DisturbancePeriod]) -> Self {
        let mut world = World {
            deployment,
            gateway: Gateway::new(deployment.settings(), SEED),
            rng: SeededRng::new(SEED),
            now: 0.0,
            queue: BTreeMap::new(),
            next_sequence_number: 0,
            next_request: 0,
            attempts: HashMap::new(),
            requests: HashMap::new(),
            disturbance: None,
            counter: CounterStub::unlimited(),
            measured_from: 0.0,
            report: Report::default(),
        };
        let mut at = WARM_UP;
        for period in disturbances {
            world.schedule(at, Scheduled::Starts(period.kind));
            world.schedule(at + period.duration, Scheduled::Ends(period.kind));
            at += period.duration + period.pause;
        }
        world.measured_from = at + RECOVERY;
        world.schedule(0.0, Scheduled::RequestArrives);
        world
    }

    /// Plays the disturbances and returns what was measured after them.
    pub fn run(mut self) -> Report {
        self.handle(complete_list(ready_endpoints(self.deployment.servers)));
        let ends_at = self.measured_from + MEASURED;
        while let Some(((at, _), scheduled)) = self.queue.pop_first() {
            let at = at as f64 / 1000.0;
            if at >= ends_at {
                break;
            }
            // Events that were due while the process was paused are handled when it runs again.
            self.now = self.now.max(at);
            self.fire(scheduled);
        }
        self.report
    }

    fn schedule(&mut self, at: Millis, scheduled: Scheduled) {
        self.next_sequence_number += 1;
        self.queue.insert(((at * 1000.0) as u64, self.next_sequence_number), scheduled);
    }

    fn fire(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::RequestArrives => self.request_arrives(),
            Scheduled::AttemptEnds { id, attempt, outcome } => self.end_attempt(id, attempt, outcome),
            Scheduled::CounterReplies { key, outcome, total, elapsed } => {
                self.handle(Event::CounterReplied { key, outcome, elapsed, total });
            }
            Scheduled::Timer(token) => self.handle(Event::Timer(token)),
            Scheduled::Starts(kind) => self.start_disturbance(kind),
            Scheduled::Ends(kind) => self.end_disturbance(kind),
        }
    }

    fn start_disturbance(&mut self, kind: Disturbance) {
        self.disturbance = Some(kind);
        match kind {
            Disturbance::NoServers => self.handle(complete_list(Vec::new())),
            Disturbance::OneServer => self.handle(complete_list(ready_endpoints(1))),
            Disturbance::ProcessPaused => {
                let ends = |scheduled: &Scheduled| matches!(scheduled, Scheduled::Ends(_));
                let end = self.queue.iter().find(|(_, scheduled)| ends(scheduled));
                self.now = end.map_or(self.now, |((at, _), _)| *at as f64 / 1000.0);
            }
            _ => {}
        }
    }

    fn end_disturbance(&mut self, kind: Disturbance) {
        self.disturbance = None;
        match kind {
            Disturbance::NoServers | Disturbance::OneServer => {
                self.handle(complete_list(ready_endpoints(self.deployment.servers)));
            }
            Disturbance::CounterSilent => self.counter = CounterStub::unlimited(),
            _ => {}
        }
    }

    fn request_arrives(&mut self) {
        let next = self.rng.interarrival(self.deployment.request_rate);
        self.schedule(self.now + next, Scheduled::RequestArrives);
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.requests.insert(id, (0, self.now + self.deployment.time_left));
        let request = Request {
            id,
            tenant: TenantId(u64::from(id.0) % self.deployment.tenants),
            units: 1.0,
            time_left: self.deployment.time_left,
            gateway_count: f64::from(self.deployment.gateways.min(30)),
            ..Request::default()
        };
        self.report.arrived += u32::from(self.now >= self.measured_from);
        self.handle(Event::Request(request));
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Forward { id, server, timeout } => self.start_attempt(id, server, timeout),
            Action::Cancel { id, attempt } => {
                self.schedule(self.now, Scheduled::AttemptEnds { id, attempt, outcome: Outcome::Cancelled });
            }
            Action::IncrementCounter { key, add, .. } => self.call_counter(key, add),
            Action::Timer { after, token } => self.schedule(self.now + after, Scheduled::Timer(token)),
            Action::Reject { .. } | Action::Fail(_) | Action::HealthCheck(_) | Action::WatchEndpoints => {}
        }
    }

    fn start_attempt(&mut self, id: RequestId, server: ServerId, timeout: Millis) {
        let Some((attempts, deadline)) = self.requests.get_mut(&id) else { return };
        let attempt = *attempts;
        *attempts += 1;
        let time_left = (*deadline - self.now).max(0.0);
        let timeout = if timeout > 0.0 { timeout.min(time_left) } else { time_left };
        if attempt == 0 && self.now >= self.measured_from {
            self.report.forwarded += 1;
        }
        let (outcome, elapsed) = match self.disturbance {
            Some(Disturbance::ServersHang) => (Outcome::TimedOut, timeout),
            Some(Disturbance::ServersFail(outcome)) => (outcome, FAILURE_TIME),
            _ if self.deployment.response_time > timeout => (Outcome::TimedOut, timeout),
            _ => (Outcome::Ok, self.deployment.response_time),
        };
        self.attempts.insert((id, attempt), Attempt { server, started_at: self.now });
        self.schedule(self.now + elapsed, Scheduled::AttemptEnds { id, attempt, outcome });
    }

    fn end_attempt(&mut self, id: RequestId, attempt: u8, outcome: Outcome) {
        let Some(ended) = self.attempts.remove(&(id, attempt)) else { return };
        self.handle(Event::AttemptEnded {
            id,
            attempt,
            server: ended.server,
            outcome,
            complete: outcome == Outcome::Ok,
            elapsed: self.now - ended.started_at,
        });
    }

    fn call_counter(&mut self, key: CounterKey, add: f64) {
        let (outcome, total, elapsed) = match self.disturbance {
            Some(Disturbance::CounterSilent) => (Outcome::TimedOut, 0.0, COUNTER_TIMEOUT),
            _ => (Outcome::Ok, self.counter.add(key, add), COUNTER_REPLY_TIME),
        };
        self.schedule(self.now + elapsed, Scheduled::CounterReplies { key, outcome, total, elapsed });
    }
}
