//! A test bench that sends traffic to one gateway, in time slices of equal length.

use super::costs::{clock_cost, Costs, EventCost};
use crate::deployment::{counter_call_bytes, Demand, Deployment};
use crate::simulation::{attempt_ended, counter_answered, CounterStub, SeededRng};
use cpu_time::ThreadTime;
use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{Endpoint, EndpointUpdate, Event, Outcome};
use rate_limiting_gateway::ids::{CounterKey, Millis, RequestId, ServerId};
use rate_limiting_gateway::policy::Gateway;
use std::collections::HashMap;
use std::time::Duration;

/// Length of a time slice, which is also the period of the gateway's timer, ms.
const SLICE_LENGTH: Millis = 20.0;
/// Number of slices after which a server responds. The counter replies in the next slice.
const RESPONSE_SLICES: u64 = 2;
/// About one first attempt in this many fails to connect, so that retries are measured too.
const FAILURE_STRIDE: usize = 25;
/// Number of slices at the start that are not measured.
const WARM_UP_SLICES: u64 = 50;
/// Simulated time at which the traffic starts, ms. The value is far from 0, as Unix time is.
const START: Millis = 1_000_000.0;
/// Simulated time between the first requests of two tenants, ms.
const FIRST_REQUEST_INTERVAL: Millis = 0.01;
/// Duration of a counter call as reported to the gateway, ms.
const COUNTER_LATENCY: Millis = 5.0;
/// Response time of a server to the first request of a tenant, ms.
const FIRST_REQUEST_LATENCY: Millis = 10.0;

/// How the tenant of each request is chosen.
#[derive(Clone, Copy)]
enum TenantMix {
    /// The tenant is drawn by its share of the deployment's traffic.
    Demand,
    /// Each of this many tenants is equally likely.
    Uniform(usize),
}

/// An attempt that is in flight.
struct InFlightAttempt {
    id: RequestId,
    server: ServerId,
    /// Number of the attempt within its request, from 0.
    attempt: u8,
}

impl InFlightAttempt {
    fn end_event(&self, outcome: Outcome) -> Event {
        attempt_ended(self.id, self.attempt, self.server, outcome, SLICE_LENGTH * RESPONSE_SLICES as f64)
    }
}

/// A counter call whose reply is outstanding.
struct PendingCall {
    key: CounterKey,
    total: f64,
}

/// One gateway, and the parts of its peers that affect its decisions.
pub struct Bench {
    gateway: Gateway,
    demand: Demand,
    rng: SeededRng,
    now: Millis,
    slice: u64,
    next_request: u32,
    counter: CounterStub,
    /// Attempts in flight, by the slice in which they end.
    in_flight: HashMap<u64, Vec<InFlightAttempt>>,
    /// Number of attempts that each request has had.
    attempts: HashMap<RequestId, u8>,
    pending_calls: Vec<PendingCall>,
    requests_per_second: f64,
    /// Processor time that one reading of the processor clock takes.
    clock_cost: Duration,
}

impl Bench {
    /// Creates a gateway and sends it the complete endpoint list.
    pub fn new(deployment: &Deployment, seed: u64) -> Self {
        let mut bench = Bench {
            gateway: Gateway::new(deployment.settings(), seed),
            demand: deployment.demand(),
            rng: SeededRng::new(seed),
            now: START,
            slice: 0,
            next_request: 0,
            counter: CounterStub::unlimited(),
            in_flight: HashMap::new(),
            attempts: HashMap::new(),
            pending_calls: Vec::new(),
            requests_per_second: deployment.rate_per_gateway(),
            clock_cost: clock_cost(),
        };
        bench.update_endpoints(EndpointUpdate::Complete, deployment.entries());
        bench
    }

    /// Sends the gateway an update of the endpoint list, and returns the processor time of the update.
    pub fn update_endpoints(&mut self, update: EndpointUpdate, entries: Vec<Endpoint>) -> Duration {
        let mut actions = Vec::new();
        let started = ThreadTime::now();
        self.gateway.handle(self.now, Event::EndpointsChanged { update, entries }, &mut actions);
        let elapsed = started.elapsed().saturating_sub(self.clock_cost);
        self.execute(actions, &mut Costs::default());
        elapsed
    }

    /// Runs the deployment's traffic for some simulated seconds, after a warm-up that is not measured.
    pub fn run(&mut self, seconds: f64) -> Costs {
        self.run_mix(seconds, TenantMix::Demand)
    }

    /// Runs traffic in which all tenants have equal shares for some simulated seconds, after a warm-up that
    /// is not measured.
    pub(super) fn run_uniform_tenants(&mut self, seconds: f64, tenants: usize) -> Costs {
        self.run_mix(seconds, TenantMix::Uniform(tenants))
    }

    fn run_mix(&mut self, seconds: f64, mix: TenantMix) -> Costs {
        for _ in 0..WARM_UP_SLICES {
            self.step(mix, &mut Costs::default());
        }
        let mut costs = Costs::default();
        for _ in 0..(seconds * 1000.0 / SLICE_LENGTH) as u64 {
            self.step(mix, &mut costs);
        }
        costs
    }

    /// Simulates the next slice: the ends of attempts, the counter replies, the requests and the timer.
    fn step(&mut self, mix: TenantMix, costs: &mut Costs) {
        self.slice += 1;
        self.now += SLICE_LENGTH;
        self.end_attempts(costs);
        let replies = self
            .pending_calls
            .drain(..)
            .map(|call| counter_answered(call.key, COUNTER_LATENCY, call.total))
            .collect();
        self.measure(replies, |costs| &mut costs.counter_reply, costs);
        let requests = self.arrivals(mix);
        self.measure(requests, |costs| &mut costs.request, costs);
        self.measure(vec![Event::Timer(0)], |costs| &mut costs.timer, costs);
    }

    fn end_attempts(&mut self, costs: &mut Costs) {
        let mut served = Vec::new();
        let mut failed = Vec::new();
        let due = self.in_flight.remove(&self.slice).unwrap_or_default();
        for (index, attempt) in due.into_iter().enumerate() {
            if attempt.attempt == 0 && (self.slice as usize * 31 + index) % FAILURE_STRIDE == 0 {
                failed.push(attempt.end_event(Outcome::ConnectFailed));
            } else {
                served.push(attempt.end_event(Outcome::Ok));
            }
        }
        self.measure(served, |costs| &mut costs.served_attempt, costs);
        self.measure(failed, |costs| &mut costs.retry, costs);
    }

    fn arrivals(&mut self, mix: TenantMix) -> Vec<Event> {
        let mut requests = Vec::new();
        let mut at = self.rng.interarrival(self.requests_per_second);
        while at < SLICE_LENGTH {
            let tenant = match mix {
                TenantMix::Demand => self.demand.draw_tenant(&mut self.rng),
                TenantMix::Uniform(tenants) => self.rng.index(tenants),
            };
            requests.push(self.request_event(tenant));
            at += self.rng.interarrival(self.requests_per_second);
        }
        requests
    }

    fn request_event(&mut self, tenant: usize) -> Event {
        let request = self.demand.request(self.next_request, tenant);
        self.next_request += 1;
        Event::Request(request)
    }

    /// Sends events to the gateway, and adds their processor time to the cost that `cost` selects.
    fn measure(&mut self, events: Vec<Event>, cost: fn(&mut Costs) -> &mut EventCost, costs: &mut Costs) {
        let count = events.len();
        let mut actions = Vec::with_capacity(16 * count);
        let started = ThreadTime::now();
        for event in events {
            self.gateway.handle(self.now, event, &mut actions);
        }
        if count > 0 {
            cost(costs).add(started, count, self.clock_cost);
        }
        self.execute(actions, costs);
    }

    fn execute(&mut self, actions: Vec<Action>, costs: &mut Costs) {
        for action in actions {
            match action {
                Action::Forward { id, server, .. } => {
                    costs.attempts += 1;
                    self.begin_attempt(id, server);
                }
                Action::IncrementCounter { key, add, ttl } => {
                    let total = self.counter.add(key, add);
                    costs.counter_calls += 1;
                    costs.counter_bytes += counter_call_bytes(key, add, ttl, total);
                    self.pending_calls.push(PendingCall { key, total });
                }
                _ => {}
            }
        }
    }

    fn begin_attempt(&mut self, id: RequestId, server: ServerId) {
        let attempts = self.attempts.entry(id).or_default();
        let attempt = InFlightAttempt { id, server, attempt: *attempts };
        *attempts += 1;
        self.in_flight.entry(self.slice + RESPONSE_SLICES).or_default().push(attempt);
    }

    /// Sends one request of each tenant, so that the gateway keeps state for all tenants. Servers and counter
    /// reply immediately.
    pub(super) fn send_one_request_per_tenant(&mut self, tenants: usize) {
        for tenant in 0..tenants {
            self.now += FIRST_REQUEST_INTERVAL;
            let mut actions = Vec::new();
            let request = self.request_event(tenant);
            self.gateway.handle(self.now, request, &mut actions);
            while let Some(action) = actions.pop() {
                if let Some(event) = self.immediate_reply(action) {
                    self.gateway.handle(self.now, event, &mut actions);
                }
            }
        }
    }

    fn immediate_reply(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Forward { id, server, .. } => {
                Some(attempt_ended(id, 0, server, Outcome::Ok, FIRST_REQUEST_LATENCY))
            }
            Action::IncrementCounter { key, add, .. } => {
                Some(counter_answered(key, COUNTER_LATENCY, self.counter.add(key, add)))
            }
            _ => None,
        }
    }

    /// Number of tenants that the gateway keeps state for.
    pub fn tenant_count(&self) -> usize {
        self.gateway.tenant_count()
    }
}
