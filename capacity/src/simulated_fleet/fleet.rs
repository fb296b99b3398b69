//! The event loop of the simulation. The gateways handle arriving requests and scheduled events, and their
//! actions schedule further events.

use super::event::{AttemptEnd, CallResult, CounterReply, FleetEvent, ServerGroup};
use super::figures::FleetCounts;
use super::scenario::{Scenario, START};
use super::servers::{LoadDistribution, SimulatedServers};
use crate::deployment::{counter_call_bytes, Demand, Deployment};
use crate::simulation::{
    attempt_ended, complete_list, incremental_list, micros, CounterStub, EventQueue, SeededRng,
};
use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{Endpoint, EndpointState, Event, Outcome};
use rate_limiting_gateway::ids::{CounterKey, Millis, RequestId, ServerId};
use rate_limiting_gateway::policy::{counter_call_timeout, Gateway};
use std::collections::HashMap;

/// Period of the gateways' timers, ms. The first firing of each timer is at a random time within this period.
const TIMER_PERIOD: Millis = 20.0;
/// Number of partitions of the counter service. Each executes one call at a time.
const COUNTER_PARTITIONS: usize = 6;
/// The counter rejects a call that would wait in its queue for more than this many counter time-outs.
const COUNTER_QUEUE_TIMEOUTS: f64 = 3.0;
/// Network latency of a counter call and its reply together, ms.
const COUNTER_LATENCY: Millis = 1.0;
/// Duration of every attempt as reported to the gateways, ms. It is the middle of the range of service times.
const REPORTED_LATENCY: Millis = 40.0;

/// An event for one gateway.
struct GatewayEvent {
    gateway: usize,
    event: Event,
}

/// The result of a counter call, determined when the call starts.
struct CallEnd {
    result: CallResult,
    /// Time from the start to the end of the call, ms.
    elapsed: Millis,
    /// The counter's total after the call.
    total: f64,
}

/// The state of a running simulation.
pub(super) struct SimulatedFleet {
    deployment: Deployment,
    /// Time at which the warm-up ends and counting begins, ms.
    counting_from: Millis,
    end: Millis,
    demand: Demand,
    rng: SeededRng,
    now: Millis,
    queue: EventQueue<FleetEvent>,
    next_arrival: Millis,
    next_request: u32,
    gateways: Vec<Gateway>,
    servers: SimulatedServers,
    counter: CounterStub,
    /// Time-out of the gateways for a counter call, ms.
    counter_timeout: Millis,
    /// Number of attempts that each request has had.
    attempts: HashMap<RequestId, u8>,
    counts: FleetCounts,
}

impl SimulatedFleet {
    /// Creates a fleet whose gateways have received their endpoint lists.
    pub fn new(scenario: &Scenario) -> Self {
        let deployment = scenario.deployment;
        let settings = deployment.settings();
        let gateway = |index| Gateway::new(settings.clone(), scenario.seed << 16 ^ index);
        let max_queue_delay = COUNTER_QUEUE_TIMEOUTS * settings.counter_timeout;
        let calls_per_second = scenario.counter_calls_per_second();
        let mut fleet = SimulatedFleet {
            deployment,
            counting_from: scenario.counting_from(),
            end: scenario.end(),
            demand: deployment.demand(),
            rng: SeededRng::new(scenario.seed),
            now: START,
            queue: EventQueue::new(),
            next_arrival: START,
            next_request: 0,
            gateways: (0..deployment.gateways as u64).map(gateway).collect(),
            servers: SimulatedServers::new(deployment.servers, deployment.zones),
            counter: CounterStub::new(COUNTER_PARTITIONS, calls_per_second, max_queue_delay),
            counter_timeout: counter_call_timeout(&settings),
            attempts: HashMap::new(),
            counts: FleetCounts::default(),
        };
        fleet.start_gateways();
        for scheduled in scenario.fault_events() {
            fleet.queue.schedule(scheduled.at, scheduled.event);
        }
        fleet
    }

    fn start_gateways(&mut self) {
        let entries = self.deployment.entries();
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            gateway.handle(self.now, complete_list(entries.clone()), &mut Vec::new());
            let first_timer = self.now + TIMER_PERIOD * self.rng.uniform();
            self.queue.schedule(first_timer, FleetEvent::Timer { gateway: index as u32 });
        }
    }

    /// Runs the simulation to its end.
    pub fn run(&mut self) {
        let mut actions = Vec::new();
        loop {
            let events = self.next_gateway_events();
            if self.now >= self.end {
                return;
            }
            for GatewayEvent { gateway, event } in events {
                self.gateways[gateway].handle(self.now, event, &mut actions);
                for action in actions.drain(..) {
                    self.execute(gateway, action);
                }
            }
        }
    }

    /// Expected number of requests in the time simulated so far, including the warm-up.
    pub fn expected_requests(&self) -> usize {
        (micros(self.now - START) as f64 / 1e6 * self.deployment.rate) as usize
    }

    /// The counts so far.
    pub fn counts(&self) -> FleetCounts {
        self.counts
    }

    /// Sum over all gateways of the tenants that each keeps state for.
    pub fn remembered_tenants(&self) -> usize {
        self.gateways.iter().map(Gateway::tenant_count).sum()
    }

    /// How evenly the counted attempts were distributed over the servers.
    pub fn load_distribution(&self) -> LoadDistribution {
        self.servers.load_distribution()
    }

    /// Whether the warm-up is over, so that requests, attempts and calls are counted.
    fn is_counted(&self) -> bool {
        self.now >= self.counting_from
    }

    /// Advances the clock to the next arrival or scheduled event, and returns the events that gateways have
    /// to handle.
    fn next_gateway_events(&mut self) -> Vec<GatewayEvent> {
        let next_micros = self.queue.next_micros().unwrap_or(u64::MAX);
        if micros(self.next_arrival) <= next_micros {
            return vec![self.next_request()];
        }
        let Some((at, event)) = self.queue.pop() else { return Vec::new() };
        self.now = at.max(self.now);
        self.apply(event)
    }

    fn next_request(&mut self) -> GatewayEvent {
        self.now = self.next_arrival.max(self.now);
        self.next_arrival += self.rng.interarrival(self.deployment.rate);
        let tenant = self.demand.draw_tenant(&mut self.rng);
        let gateway = self.demand.draw_gateway(tenant, &mut self.rng);
        let request = self.demand.request(self.next_request, tenant);
        self.next_request += 1;
        self.counts.requests += usize::from(self.is_counted());
        GatewayEvent { gateway, event: Event::Request(request) }
    }

    fn apply(&mut self, event: FleetEvent) -> Vec<GatewayEvent> {
        match event {
            FleetEvent::Timer { gateway } => {
                vec![GatewayEvent { gateway: gateway as usize, event: Event::Timer(0) }]
            }
            FleetEvent::CounterReplied(reply) => {
                vec![GatewayEvent { gateway: reply.gateway as usize, event: reply.to_gateway_event() }]
            }
            FleetEvent::AttemptEnded(end) => vec![self.end_attempt(end)],
            FleetEvent::ZoneFailed { zone } => {
                self.servers.set_running(ServerGroup::Zone(zone), false);
                Vec::new()
            }
            FleetEvent::ListChanged { group, ready } => self.update_endpoint_lists(group, ready),
        }
    }

    fn end_attempt(&mut self, end: AttemptEnd) -> GatewayEvent {
        let served = self.servers.end_attempt(end.server, end.connected);
        self.counts.failed_attempts += usize::from(!served);
        let outcome = if served { Outcome::Ok } else { Outcome::ConnectFailed };
        let server = ServerId(end.server + 1);
        let event = attempt_ended(end.id, end.attempt, server, outcome, REPORTED_LATENCY);
        GatewayEvent { gateway: end.gateway as usize, event }
    }

    fn update_endpoint_lists(&mut self, group: ServerGroup, ready: bool) -> Vec<GatewayEvent> {
        let state = if ready { EndpointState::Ready } else { EndpointState::Draining };
        let started_at = if ready { self.now } else { 0.0 };
        let members = self.servers.members(group);
        let entries: Vec<Endpoint> =
            members.into_iter().map(|server| self.deployment.entry(server, state, started_at)).collect();
        if ready {
            self.servers.set_running(group, true);
        }
        let gateways = self.gateways.len();
        self.counts.list_entries += entries.len() * gateways;
        let notify = |gateway| GatewayEvent { gateway, event: incremental_list(entries.clone()) };
        (0..gateways).map(notify).collect()
    }

    fn execute(&mut self, gateway: usize, action: Action) {
        match action {
            Action::Forward { id, server, .. } => self.begin_attempt(gateway, id, server),
            Action::IncrementCounter { key, add, ttl } => self.call_counter(gateway, key, add, ttl),
            Action::Timer { after, .. } => {
                self.queue.schedule(self.now + after, FleetEvent::Timer { gateway: gateway as u32 });
            }
            Action::Reject { .. } => self.counts.rejected_requests += usize::from(self.is_counted()),
            _ => {}
        }
    }

    fn begin_attempt(&mut self, gateway: usize, id: RequestId, server: ServerId) {
        let counted = self.is_counted();
        self.counts.attempts += usize::from(counted);
        let server = server.0 - 1;
        let started = self.servers.begin_attempt(server, counted, &mut self.rng);
        let attempts = self.attempts.entry(id).or_default();
        let end = AttemptEnd {
            gateway: gateway as u32,
            id,
            server,
            attempt: *attempts,
            connected: started.connected,
        };
        *attempts += 1;
        self.queue.schedule(self.now + started.elapsed, FleetEvent::AttemptEnded(end));
    }

    fn call_counter(&mut self, gateway: usize, key: CounterKey, add: f64, ttl: Millis) {
        let end = self.simulate_call(key, add);
        if self.is_counted() {
            self.counts.add_call(end.result, counter_call_bytes(key, add, ttl, end.total));
        }
        let reply = CounterReply {
            gateway: gateway as u32,
            key,
            total_bits: end.total.to_bits(),
            result: end.result,
            elapsed_micros: micros(end.elapsed),
        };
        self.queue.schedule(self.now + end.elapsed, FleetEvent::CounterReplied(reply));
    }

    fn simulate_call(&mut self, key: CounterKey, add: f64) -> CallEnd {
        let Some(call) = self.counter.accept(self.now, key, add) else {
            return CallEnd { result: CallResult::Rejected, elapsed: COUNTER_LATENCY, total: 0.0 };
        };
        let elapsed = call.starts_at - self.now + COUNTER_LATENCY;
        if elapsed > self.counter_timeout {
            let elapsed = self.counter_timeout;
            return CallEnd { result: CallResult::TimedOut, elapsed, total: call.total };
        }
        CallEnd { result: CallResult::Answered, elapsed, total: call.total }
    }
}
