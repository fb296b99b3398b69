//! A simulated fleet: gateways with the real policy, one clock and one counter.

use crate::quota_accounting::QuotaAccounting;
use crate::scenario::{Arrival, Scenario, DURATION};
use crate::simulation::{attempt_ended, complete_list, ready_endpoints, CounterStub, EventQueue};
use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{Event, Outcome, Request};
use rate_limiting_gateway::ids::{CounterKey, Millis, PlanId, RequestId, ServerId, TenantId};
use rate_limiting_gateway::policy::{counter_call_timeout, Gateway};
use rate_limiting_gateway::settings::Settings;
use std::collections::HashMap;

/// Response time of a server, ms.
const RESPONSE_TIME: Millis = 40.0;
/// Time after which a request's client stops waiting, ms.
const TIME_LEFT: Millis = 1500.0;
/// Number of the counter's partitions.
const COUNTER_PARTITIONS: usize = 2;
/// Latency of a counter call that is rejected, ms.
const REJECTION_LATENCY: Millis = 1.0;
/// The counter rejects a call that would wait in its queue longer than this multiple of the counter time-out.
const COUNTER_QUEUE_TIMEOUTS: f64 = 3.0;
/// Upper bound of the number of servers, which otherwise equals the number of gateways.
const MAX_SERVERS: usize = 150;
/// Number of gateways out of ten that restart.
const RESTARTED_IN_TEN: usize = 7;

/// Numbers of calls to the counter in one second.
#[derive(Clone, Copy, Default, Debug)]
pub struct CallCounts {
    pub made: usize,
    pub answered: usize,
    pub rejected: usize,
    pub timed_out: usize,
}

/// Events of the simulation. Events of the same microsecond are ordered by their variants, then by their
/// fields.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    Timer { gateway: usize, incarnation: u32 },
    CounterReplied { call: u64 },
    AttemptEnded { gateway: usize, id: RequestId },
}

/// An event for one gateway.
struct GatewayEvent {
    gateway: usize,
    event: Event,
}

/// A counter call in flight.
struct PendingCall {
    gateway: usize,
    incarnation: u32,
    since: Millis,
    key: CounterKey,
    outcome: Outcome,
    total: f64,
}

/// How a counter call ends.
struct CallEnd {
    at: Millis,
    outcome: Outcome,
    total: f64,
}

/// A forwarded request.
#[derive(Clone, Copy)]
struct ForwardedRequest {
    server: ServerId,
    ended: bool,
}

/// The requests that the fleet forwarded and rejected, and the numbers of counter calls in each second.
pub struct FleetResult<'a> {
    pub accounting: QuotaAccounting<'a>,
    pub calls: Vec<CallCounts>,
}

/// Simulates the fleet.
pub fn run<'a>(scenario: &'a Scenario, arrivals: &[Arrival]) -> FleetResult<'a> {
    let mut fleet = Fleet::new(scenario, arrivals);
    loop {
        fleet.close_second();
        fleet.restart_if_due();
        fleet.handle_pending_events();
        if !fleet.advance() {
            break;
        }
    }
    fleet.calls.push(fleet.current_calls);
    FleetResult { accounting: fleet.accounting, calls: fleet.calls }
}

struct Fleet<'a, 'b> {
    scenario: &'a Scenario,
    arrivals: &'b [Arrival],
    plan_indices: Vec<usize>,
    settings: Settings,
    /// Time-out of the gateways' counter calls, ms.
    call_timeout: Millis,
    gateways: Vec<Gateway>,
    /// Number of restarts of each gateway. Timers and counter replies of an earlier incarnation are dropped.
    incarnations: Vec<u32>,
    restart_at: Option<Millis>,
    counter: CounterStub,
    pending_calls: HashMap<u64, PendingCall>,
    next_call: u64,
    current_calls: CallCounts,
    /// Numbers of counter calls in each second that has passed.
    calls: Vec<CallCounts>,
    accounting: QuotaAccounting<'a>,
    forwarded: HashMap<(usize, RequestId), ForwardedRequest>,
    queue: EventQueue<FleetEvent>,
    pending_events: Vec<GatewayEvent>,
    now: Millis,
    next_arrival: usize,
}

impl<'a, 'b> Fleet<'a, 'b> {
    fn new(scenario: &'a Scenario, arrivals: &'b [Arrival]) -> Self {
        let settings = scenario.settings();
        let gateway = |index: usize| Gateway::new(settings.clone(), scenario.seed ^ index as u64);
        let max_queueing = COUNTER_QUEUE_TIMEOUTS * scenario.counter_timeout;
        let calls_per_second = Some(scenario.counter_calls_per_second);
        let mut fleet = Fleet {
            scenario,
            arrivals,
            plan_indices: scenario.plan_indices(),
            call_timeout: counter_call_timeout(&settings),
            gateways: (0..scenario.gateways).map(gateway).collect(),
            settings,
            incarnations: vec![0; scenario.gateways],
            restart_at: scenario.restart_at,
            counter: CounterStub::new(COUNTER_PARTITIONS, calls_per_second, max_queueing),
            pending_calls: HashMap::new(),
            next_call: 0,
            current_calls: CallCounts::default(),
            calls: Vec::new(),
            accounting: QuotaAccounting::new(scenario),
            forwarded: HashMap::new(),
            queue: EventQueue::new(),
            pending_events: Vec::new(),
            now: 0.0,
            next_arrival: 0,
        };
        for gateway in 0..scenario.gateways {
            fleet.send_endpoint_list(gateway);
        }
        fleet
    }

    fn send_endpoint_list(&mut self, gateway: usize) {
        let servers = self.scenario.gateways.min(MAX_SERVERS) as u32;
        self.pending_events.push(GatewayEvent { gateway, event: complete_list(ready_endpoints(servers)) });
    }

    /// Starts new call counts when a second has passed.
    fn close_second(&mut self) {
        if self.now >= 1000.0 * (self.calls.len() + 1) as f64 {
            self.calls.push(std::mem::take(&mut self.current_calls));
        }
    }

    fn restart_if_due(&mut self) {
        if self.restart_at.is_none_or(|at| self.now < at) {
            return;
        }
        self.restart_at = None;
        for gateway in (0..self.scenario.gateways).filter(|gateway| gateway % 10 < RESTARTED_IN_TEN) {
            let seed = !self.scenario.seed ^ gateway as u64;
            self.gateways[gateway] = Gateway::new(self.settings.clone(), seed);
            self.incarnations[gateway] += 1;
            self.send_endpoint_list(gateway);
        }
    }

    fn handle_pending_events(&mut self) {
        let mut actions = Vec::new();
        for GatewayEvent { gateway, event } in std::mem::take(&mut self.pending_events) {
            self.gateways[gateway].handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(gateway, action);
            }
        }
    }

    /// Advances the clock to the next arrival or event; returns false at the end of the simulation.
    fn advance(&mut self) -> bool {
        let next_event = self.queue.next_micros().map_or(f64::INFINITY, |at| at as f64 / 1000.0);
        if let Some(arrival) = self.arrivals.get(self.next_arrival).filter(|arrival| arrival.at <= next_event)
        {
            self.now = arrival.at.max(self.now);
            let event = Event::Request(self.request(arrival));
            self.next_arrival += 1;
            self.pending_events.push(GatewayEvent { gateway: arrival.gateway, event });
            return true;
        }
        let Some((at, event)) = self.queue.pop() else { return false };
        self.now = at.max(self.now);
        if self.now > DURATION {
            return false;
        }
        let events = self.gateway_event(event);
        self.pending_events.extend(events);
        true
    }

    fn request(&self, arrival: &Arrival) -> Request {
        let plan = self.plan_indices[arrival.tenant];
        Request {
            id: RequestId(self.next_arrival as u32),
            tenant: TenantId(arrival.tenant as u64 * 7919 + 1),
            plan: PlanId(plan),
            units: 1.0,
            time_left: TIME_LEFT,
            gateway_count: self.scenario.gateways_of_plan(plan),
            ..Request::default()
        }
    }

    fn gateway_event(&mut self, event: FleetEvent) -> Option<GatewayEvent> {
        match event {
            FleetEvent::Timer { gateway, incarnation } => {
                let current = incarnation == self.incarnations[gateway];
                current.then_some(GatewayEvent { gateway, event: Event::Timer(0) })
            }
            FleetEvent::CounterReplied { call } => {
                let call = self.pending_calls.remove(&call)?;
                let PendingCall { gateway, key, outcome, total, .. } = call;
                let elapsed = self.now - call.since;
                let event = Event::CounterReplied { key, outcome, elapsed, total };
                let current = call.incarnation == self.incarnations[gateway];
                current.then_some(GatewayEvent { gateway, event })
            }
            FleetEvent::AttemptEnded { gateway, id } => {
                let forwarded = self.forwarded.get_mut(&(gateway, id)).filter(|request| !request.ended)?;
                forwarded.ended = true;
                let event = attempt_ended(id, 0, forwarded.server, Outcome::Ok, RESPONSE_TIME);
                Some(GatewayEvent { gateway, event })
            }
        }
    }

    fn execute(&mut self, gateway: usize, action: Action) {
        match action {
            Action::Forward { id, server, .. } => {
                let forwarded = ForwardedRequest { server, ended: false };
                if self.forwarded.insert((gateway, id), forwarded).is_none() {
                    self.accounting.record_forwarded(self.tenant_of(id), self.now);
                }
                let ended = FleetEvent::AttemptEnded { gateway, id };
                self.queue.schedule(self.now + RESPONSE_TIME, ended);
            }
            Action::Reject { id, .. } => self.accounting.record_rejected(self.tenant_of(id), self.now),
            Action::IncrementCounter { key, add, .. } => self.call_counter(gateway, key, add),
            Action::Timer { after, .. } => {
                let incarnation = self.incarnations[gateway];
                self.queue.schedule(self.now + after, FleetEvent::Timer { gateway, incarnation });
            }
            _ => {}
        }
    }

    /// The tenant of a request. Request ids are indices into the arrivals.
    fn tenant_of(&self, id: RequestId) -> usize {
        self.arrivals[id.0 as usize].tenant
    }

    fn call_counter(&mut self, gateway: usize, key: CounterKey, add: f64) {
        let CallEnd { at, outcome, total } = self.end_of_call(key, add);
        self.current_calls.made += 1;
        match outcome {
            Outcome::Ok => self.current_calls.answered += 1,
            Outcome::Rejected => self.current_calls.rejected += 1,
            _ => self.current_calls.timed_out += 1,
        }
        self.next_call += 1;
        let incarnation = self.incarnations[gateway];
        let call = PendingCall { gateway, incarnation, since: self.now, key, outcome, total };
        self.pending_calls.insert(self.next_call, call);
        self.queue.schedule(at, FleetEvent::CounterReplied { call: self.next_call });
    }

    fn end_of_call(&mut self, key: CounterKey, add: f64) -> CallEnd {
        let timed_out = CallEnd { at: self.now + self.call_timeout, outcome: Outcome::TimedOut, total: 0.0 };
        if self.scenario.counter_outage.contains(&self.now) {
            return timed_out;
        }
        let Some(call) = self.counter.accept(self.now, key, add) else {
            return CallEnd { at: self.now + REJECTION_LATENCY, outcome: Outcome::Rejected, total: 0.0 };
        };
        let at = call.starts_at + self.scenario.counter_latency;
        if at - self.now > self.call_timeout {
            return timed_out;
        }
        CallEnd { at, outcome: Outcome::Ok, total: call.total }
    }
}
