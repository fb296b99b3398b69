//! Simulates gateways and servers on one clock, where some of the servers start at the same time.

use crate::attempts::{AttemptKey, AttemptTable, InFlightAttempt, RequestKey};
use crate::event::{FleetEvent, SequencedEvent};
use crate::report::SlowStartReport;
use crate::server::{ReceivedRequest, SimulatedServer, CORES, MEAN_WORK};
use crate::simulation::{EventQueue, SeededRng};
use crate::world::{GatewayRestart, World, DOWNTIME, START};
use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{Endpoint, EndpointUpdate, Event, Outcome, Request};
use rate_limiting_gateway::ids::{ClassId, Millis, RequestId, ServerId, TenantId};
use rate_limiting_gateway::policy::Gateway;
use rate_limiting_gateway::settings::Settings;
use std::collections::{HashMap, VecDeque};

/// Time from the servers' start to the beginning of a traffic burst, in ms.
const BURST_AFTER: Millis = 2500.0;
/// Number of tenants. Successive requests come from successive tenants.
const TENANTS: u64 = 5000;
/// Classes of successive requests, repeated.
const CLASSES: [usize; 4] = [0, 0, 1, 2];
/// Time after which the client of a request gives up, in ms.
const TIME_LEFT: Millis = 2000.0;
/// Maximum time from arrival to response for a request to count as served in time, in ms.
const SERVED_WITHIN: Millis = 800.0;
/// Time after which the gateway learns of a failed connection, in ms.
const CONNECT_FAILURE_LATENCY: Millis = 1.0;
/// Time after which the gateway learns of any other injected fault except a timeout, in ms.
const FAULT_LATENCY: Millis = 2.0;
/// Time after which the gateway learns that a server with a full queue rejected a request, in ms.
const REJECTION_LATENCY: Millis = 1.0;
/// Time from the completion of a request until the gateway receives the response, in ms.
const RESPONSE_LATENCY: Millis = 0.5;
/// The outcomes of attempts with an injected fault, all equally likely.
const FAULTS: [Outcome; 5] =
    [Outcome::Error, Outcome::Rejected, Outcome::ConnectFailed, Outcome::Reset, Outcome::TimedOut];

/// An event to pass to one gateway.
struct GatewayEvent {
    gateway: usize,
    event: Event,
}

/// The random properties of an attempt, drawn when the attempt begins.
struct DrawnAttempt {
    /// Work of the request, as a multiple of [`MEAN_WORK`].
    work: f64,
    /// How the attempt fails, if a fault is injected.
    fault: Option<Outcome>,
}

/// The state of the starting servers.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ServerPhase {
    BeforeStop,
    Down,
    Started,
}

/// A simulated fleet of gateways and servers.
pub struct Fleet {
    world: World,
    settings: Settings,
    rng: SeededRng,
    gateways: Vec<Gateway>,
    /// Number of times that each gateway has restarted.
    incarnations: Vec<u32>,
    /// Whether each gateway has been notified of the servers' start.
    notified: Vec<bool>,
    /// Cumulative shares of the traffic over the gateways.
    traffic: Vec<f64>,
    servers: Vec<SimulatedServer>,
    phase: ServerPhase,
    queue: EventQueue<SequencedEvent>,
    next_sequence: u64,
    attempts: AttemptTable,
    /// When each request arrived, in ms.
    arrived_at: HashMap<RequestKey, Millis>,
    /// Number of requests that have arrived.
    requests: u32,
    /// Number of requests that were served in time.
    served_in_time: u32,
}

impl Fleet {
    /// A fleet in which no event has happened yet.
    pub fn new(world: &World, seed: u64) -> Self {
        let mut rng = SeededRng::new(seed.wrapping_mul(0x9e37_79b9) ^ 0x5eed);
        let settings = world.settings();
        let traffic = cumulative_traffic(world.gateways, &mut rng);
        let server = |_| SimulatedServer::new(world.size_spread.powf(2.0 * rng.uniform() - 1.0));
        let servers = (0..world.servers).map(server).collect();
        let gateway = |index: usize| Gateway::new(settings.clone(), seed << 20 | index as u64);
        Fleet {
            gateways: (0..world.gateways).map(gateway).collect(),
            incarnations: vec![0; world.gateways],
            notified: vec![false; world.gateways],
            world: world.clone(),
            settings,
            rng,
            traffic,
            servers,
            phase: ServerPhase::BeforeStop,
            queue: EventQueue::new(),
            next_sequence: 0,
            attempts: AttemptTable::default(),
            arrived_at: HashMap::new(),
            requests: 0,
            served_in_time: 0,
        }
    }

    /// Runs the simulation to its end and returns the results.
    pub fn run(mut self) -> SlowStartReport {
        for gateway in 0..self.world.gateways {
            self.send_list(0.0, gateway, EndpointUpdate::Complete, false);
            let notified_at = START + self.world.notified_within * (0.1 + 0.9 * self.rng.uniform());
            self.schedule(notified_at, FleetEvent::Notified { gateway });
        }
        self.schedule(0.0, FleetEvent::Arrival);
        self.schedule(START - DOWNTIME, FleetEvent::ServersStop);
        self.schedule(START, FleetEvent::ServersStart);
        let mean_interarrival = self.mean_interarrival();
        while let Some((now, SequencedEvent { event, .. })) = self.queue.pop() {
            if now > self.world.end() {
                break;
            }
            self.apply(now, event, mean_interarrival);
        }
        self.report()
    }

    fn schedule(&mut self, at: Millis, event: FleetEvent) {
        self.next_sequence += 1;
        self.queue.schedule(at, SequencedEvent { sequence: self.next_sequence, event });
    }

    /// Mean time between requests outside the burst, in ms.
    fn mean_interarrival(&self) -> Millis {
        let sizes: f64 = self.servers.iter().map(|server| server.size).sum();
        let capacity = sizes * CORES as f64 / MEAN_WORK;
        1.0 / (capacity * self.world.load)
    }

    fn apply(&mut self, now: Millis, event: FleetEvent, mean_interarrival: Millis) {
        match event {
            FleetEvent::Arrival => self.arrival(now, mean_interarrival),
            FleetEvent::Timer { gateway, incarnation } => {
                if incarnation == self.incarnations[gateway] {
                    self.handle(now, gateway, Event::Timer(0));
                }
            }
            FleetEvent::Notified { gateway } => {
                self.send_list(now, gateway, EndpointUpdate::Incremental, true);
            }
            FleetEvent::AttemptEnded { number, outcome } => self.end_and_notify(now, number, outcome),
            FleetEvent::ServersStop => self.stop_servers(now),
            FleetEvent::ServersStart => self.start_servers(now),
        }
    }

    /// Passes a new request to a random gateway and schedules the next arrival.
    fn arrival(&mut self, now: Millis, mean_interarrival: Millis) {
        let burst = if now > START + BURST_AFTER { self.world.burst } else { 1.0 };
        let wait = self.rng.exponential(mean_interarrival / burst);
        self.schedule(now + wait, FleetEvent::Arrival);
        let drawn = self.rng.uniform();
        let gateway = self.traffic.partition_point(|share| *share < drawn).min(self.world.gateways - 1);
        self.requests += 1;
        let id = RequestId(self.requests);
        self.arrived_at.insert(self.request_key(gateway, id), now);
        let request = Request {
            id,
            tenant: TenantId(u64::from(self.requests) % TENANTS),
            class: ClassId(CLASSES[self.requests as usize % CLASSES.len()]),
            units: 1.0,
            time_left: TIME_LEFT,
            gateway_count: self.world.gateways as f64,
            ..Request::default()
        };
        self.handle(now, gateway, Event::Request(request));
    }

    fn request_key(&self, gateway: usize, id: RequestId) -> RequestKey {
        RequestKey { gateway, incarnation: self.incarnations[gateway], id }
    }

    /// Takes the starting servers down and resets their connections. Servers that are new to the endpoint
    /// list have no connections yet.
    fn stop_servers(&mut self, now: Millis) {
        if self.world.known_before {
            self.phase = ServerPhase::Down;
        }
        let reset_attempts = self.attempts.in_flight_at(|server| self.world.is_starting(server));
        for number in reset_attempts {
            self.end_and_notify(now, number, Outcome::Reset);
        }
    }

    /// Brings the starting servers up and, depending on the world, restarts all gateways.
    fn start_servers(&mut self, now: Millis) {
        self.phase = ServerPhase::Started;
        for server in &mut self.servers[..self.world.starting] {
            server.restart(now);
        }
        let (update, current) = match self.world.gateway_restart {
            GatewayRestart::None => return,
            GatewayRestart::WithCompleteList => (EndpointUpdate::Complete, true),
            GatewayRestart::WithCachedList => (EndpointUpdate::Cached, false),
        };
        for gateway in 0..self.world.gateways {
            self.incarnations[gateway] += 1;
            self.gateways[gateway] = Gateway::new(self.settings.clone(), self.rng.next_seed());
            self.send_list(now, gateway, update, current);
        }
    }

    /// Sends a gateway the endpoint list: if `current`, the list that shows the servers' start, otherwise the
    /// list from before the start.
    fn send_list(&mut self, now: Millis, gateway: usize, update: EndpointUpdate, current: bool) {
        self.notified[gateway] |= current;
        let mut entries = self.entries(current);
        if update == EndpointUpdate::Incremental {
            entries.truncate(self.world.starting);
        }
        self.handle(now, gateway, Event::EndpointsChanged { update, entries });
    }

    fn entries(&self, current: bool) -> Vec<Endpoint> {
        let world = &self.world;
        let first = if current || world.known_before { 0 } else { world.starting };
        let entry = |server: usize| Endpoint {
            server: ServerId(server as u32),
            weight: self.servers[server].size,
            zone: (server * world.zones / world.servers) as u16,
            started_at: if current && world.is_starting(server) { START } else { 0.0 },
            ..Endpoint::default()
        };
        (first..world.servers).map(entry).collect()
    }

    /// Passes an event to a gateway, followed by the ends of the attempts that the gateway cancels.
    fn handle(&mut self, now: Millis, gateway: usize, event: Event) {
        let mut pending = VecDeque::from([event]);
        while let Some(event) = pending.pop_front() {
            let mut actions = Vec::new();
            self.gateways[gateway].handle(now, event, &mut actions);
            for action in actions {
                pending.extend(self.execute(now, gateway, action));
            }
        }
    }

    /// Executes an action and returns the end of the attempt if the action cancels one.
    fn execute(&mut self, now: Millis, gateway: usize, action: Action) -> Option<Event> {
        match action {
            Action::Forward { id, server, timeout } => {
                let request = self.request_key(gateway, id);
                self.begin_attempt(now, request, server.0 as usize, timeout);
                None
            }
            Action::Cancel { id, attempt } => {
                let key = AttemptKey { request: self.request_key(gateway, id), attempt };
                let number = self.attempts.number(key)?;
                self.end_attempt(now, number, Outcome::Cancelled).map(|ended| ended.event)
            }
            Action::Timer { after, .. } => {
                let incarnation = self.incarnations[gateway];
                self.schedule(now + after, FleetEvent::Timer { gateway, incarnation });
                None
            }
            _ => None,
        }
    }

    fn begin_attempt(&mut self, now: Millis, request: RequestKey, server: usize, timeout: Millis) {
        let number = self.attempts.add(request, server, now);
        let DrawnAttempt { work, fault } = self.draw_attempt();
        if !self.is_reachable(now, server) || fault == Some(Outcome::ConnectFailed) {
            let outcome = Outcome::ConnectFailed;
            return self
                .schedule(now + CONNECT_FAILURE_LATENCY, FleetEvent::AttemptEnded { number, outcome });
        }
        if self.world.is_starting(server) && self.phase == ServerPhase::Started {
            let gateway_notified = self.notified[request.gateway];
            self.servers[server].received.push(ReceivedRequest { at: now, work, gateway_notified });
        }
        match fault {
            Some(Outcome::TimedOut) | None => {}
            Some(outcome) => {
                return self.schedule(now + FAULT_LATENCY, FleetEvent::AttemptEnded { number, outcome });
            }
        }
        let timed_out = FleetEvent::AttemptEnded { number, outcome: Outcome::TimedOut };
        self.schedule(now + timeout, timed_out);
        if fault.is_none() {
            self.serve(now, number, server, work);
        }
    }

    fn draw_attempt(&mut self) -> DrawnAttempt {
        let work = self.rng.exponential(1.0);
        let drawn = self.rng.uniform();
        let fault_rate = self.world.fault_rate;
        let fault = if drawn < fault_rate {
            FAULTS.get((drawn / fault_rate * FAULTS.len() as f64) as usize).copied()
        } else {
            None
        };
        DrawnAttempt { work, fault }
    }

    fn is_reachable(&self, now: Millis, server: usize) -> bool {
        if self.world.is_starting(server) {
            self.phase != ServerPhase::Down
        } else {
            !self.world.warm_servers_are_unreachable(now)
        }
    }

    fn serve(&mut self, now: Millis, number: u64, server: usize, work: f64) {
        let speed = self.servers[server].size * self.capacity_fraction(server, now);
        let (at, outcome) = match self.servers[server].enqueue(now, work, speed) {
            Some(completed_at) => (completed_at + RESPONSE_LATENCY, Outcome::Ok),
            None => (now + REJECTION_LATENCY, Outcome::Rejected),
        };
        self.schedule(at, FleetEvent::AttemptEnded { number, outcome });
    }

    /// Ends an attempt in flight and returns the event for its gateway. Returns `None` if the attempt has
    /// already ended or its gateway has restarted since.
    fn end_attempt(&mut self, now: Millis, number: u64, outcome: Outcome) -> Option<GatewayEvent> {
        let InFlightAttempt { key, server, sent_at } = self.attempts.remove(number)?;
        let RequestKey { gateway, incarnation, id } = key.request;
        if incarnation != self.incarnations[gateway] {
            return None;
        }
        let served = outcome == Outcome::Ok;
        if served && now - self.arrived_at[&key.request] <= SERVED_WITHIN {
            self.served_in_time += 1;
        }
        let event = Event::AttemptEnded {
            id,
            attempt: key.attempt,
            server: ServerId(server as u32),
            outcome,
            complete: served || outcome == Outcome::Cancelled,
            elapsed: now - sent_at,
        };
        Some(GatewayEvent { gateway, event })
    }

    fn end_and_notify(&mut self, now: Millis, number: u64, outcome: Outcome) {
        if let Some(GatewayEvent { gateway, event }) = self.end_attempt(now, number, outcome) {
            self.handle(now, gateway, event);
        }
    }

    /// The share of its full capacity that a server has at `now`.
    fn capacity_fraction(&self, server: usize, now: Millis) -> f64 {
        if !self.world.is_starting(server) || now < START - DOWNTIME {
            return 1.0;
        }
        let window_fraction = ((now - START) / self.settings.slow_start_window).clamp(0.0, 1.0);
        let initial_capacity = self.settings.slow_start_capacity;
        initial_capacity + (1.0 - initial_capacity) * window_fraction
    }

    /// Number of requests of mean work that a server can complete per millisecond at `now`.
    fn capacity(&self, server: usize, now: Millis) -> f64 {
        self.servers[server].size * CORES as f64 / MEAN_WORK * self.capacity_fraction(server, now)
    }

    fn report(&self) -> SlowStartReport {
        let served_fraction = f64::from(self.served_in_time) / f64::from(self.requests);
        let mut report = SlowStartReport { served_fraction, ..SlowStartReport::default() };
        let mut received = 0.0;
        let mut capacity = 0.0;
        for (index, server) in self.servers[..self.world.starting].iter().enumerate() {
            let at_both_ends = self.capacity(index, START) + self.capacity(index, self.world.end());
            capacity += self.world.duration * at_both_ends / 2.0;
            received += server.received.len() as f64;
            report.add_windows(&self.world, server, &|at| self.capacity(index, at));
        }
        report.utilization = received / capacity;
        report
    }
}

/// Random cumulative shares of the traffic over the gateways. Some gateways get several times as much as
/// others.
fn cumulative_traffic(gateways: usize, rng: &mut SeededRng) -> Vec<f64> {
    let mut sum = 0.0;
    let mut traffic = Vec::new();
    for _ in 0..gateways {
        sum += 0.3 + rng.exponential(0.7).min(3.0);
        traffic.push(sum);
    }
    traffic.iter_mut().for_each(|share| *share /= sum);
    traffic
}
