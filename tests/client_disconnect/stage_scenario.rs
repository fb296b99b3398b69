//! A gateway that holds requests in one stage until they are released.

use crate::clients::{attempts_seen, has_name, send_idempotent_request, send_requests, wait_until_read};
use crate::paused_gateway::DisconnectingClients;
use crate::stubs::{
    allow_flood, gated_counter, many_endpoints_at, require_counter_calls, NO_CONNECT_TIMEOUT_MS,
    ONE_IN_FLIGHT_PLAN,
};
use crate::support::{
    answer, eventually, start_stubs, Client, Counter, Discovery, Gate, GatewayProcess, Message, Server,
    StubResponse, Unreachable,
};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The stage that requests are in when their clients disconnect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestStage {
    /// Queued under the limit on what one tenant has in flight.
    AwaitingTenantSlot,
    /// Queued under the concurrency limit.
    AwaitingConcurrencySlot,
    AwaitingCounter,
    /// Its connection to a server is coming up.
    Connecting,
    /// Sent, and about to be rejected without being executed: is retried.
    AwaitingRetry,
    /// Sent, and slow: a hedged request follows.
    AwaitingHedge,
}

pub const REQUEST_STAGES: [RequestStage; 6] = [
    RequestStage::AwaitingTenantSlot,
    RequestStage::AwaitingConcurrencySlot,
    RequestStage::AwaitingCounter,
    RequestStage::Connecting,
    RequestStage::AwaitingRetry,
    RequestStage::AwaitingHedge,
];

/// How long an attempt holds a tenant's only slot: fifty of them go on for long after
/// [`LATE_AFTER`](crate::paused_gateway::LATE_AFTER).
const SLOT_TIME: Duration = Duration::from_millis(20);

/// The server's part in a scenario.
fn respond(stage: RequestStage, gate: &Gate, message: &Message) -> StubResponse {
    let is_disconnected = has_name(message, "disconnected");
    match stage {
        RequestStage::AwaitingRetry if is_disconnected => {
            gate.wait();
            StubResponse::Write(answer("503 Busy", "X-Unprocessed: 1\r\n", b""))
        }
        RequestStage::AwaitingHedge if is_disconnected => StubResponse::Silence,
        RequestStage::AwaitingTenantSlot if is_disconnected => {
            StubResponse::Late(SLOT_TIME, answer("200 OK", "", b"good"))
        }
        _ => {
            if has_name(message, "slow") {
                gate.wait();
            }
            StubResponse::Write(answer("200 OK", "", b"good"))
        }
    }
}

/// A gateway that holds requests named `disconnected` in one stage until they are released.
pub struct StageScenario {
    stage: RequestStage,
    pub gateway: GatewayProcess,
    pub server: Server,
    clients: Vec<Client>,
    unreachable: Option<Unreachable>,
    gate: Gate,
    _slow_clients: Vec<Client>,
    _discovery: Discovery,
    _counters: Vec<Counter>,
    _queue_fill: Vec<TcpStream>,
}

impl StageScenario {
    pub fn start(stage: RequestStage, cancellation_allowed: bool) -> Self {
        let gate = Gate::default();
        let server_gate = gate.clone();
        let server = Server::start(move |message| respond(stage, &server_gate, message));
        let unreachable = (stage == RequestStage::Connecting).then(Unreachable::new);
        let mut members = many_endpoints_at(unreachable.as_ref().map_or(server.address, |u| u.address));
        if stage == RequestStage::AwaitingConcurrencySlot {
            members.truncate(10);
        }
        let (mut setup, discovery, counter) = start_stubs(&members);
        allow_flood(&mut setup);
        setup.cancellation_allowed = cancellation_allowed;
        let mut counters = vec![counter];
        match stage {
            RequestStage::AwaitingTenantSlot => setup.plan = ONE_IN_FLIGHT_PLAN,
            RequestStage::AwaitingCounter => {
                let counter = gated_counter(&gate);
                require_counter_calls(&mut setup, &counter, 20_000.0);
                counters.push(counter);
            }
            RequestStage::Connecting => setup.connect_timeout = NO_CONNECT_TIMEOUT_MS,
            RequestStage::AwaitingConcurrencySlot
            | RequestStage::AwaitingRetry
            | RequestStage::AwaitingHedge => {}
        }
        let gateway = setup.start();
        prepare(stage, &gateway, &counters);
        let slow_clients = take_slots(stage, &gateway, &server);
        let clients = send_requests_for(stage, &gateway);
        // Answered in order: after the first all have been read, after the second what that led to has begun.
        (0..2).for_each(|_| wait_until_read(&gateway));
        StageScenario {
            stage,
            gateway,
            server,
            clients,
            unreachable,
            gate,
            _slow_clients: slow_clients,
            _discovery: discovery,
            _counters: counters,
            _queue_fill: Vec::new(),
        }
    }

    /// Releases the requests: what they waited for is then in the gateway's sockets, or overdue.
    pub fn release(&mut self) {
        self.gate.open();
        if let Some(unreachable) = self.unreachable.take() {
            let (stage, gate) = (self.stage, self.gate.clone());
            let (server, fill) = unreachable.serve(move |message| respond(stage, &gate, message));
            eventually("connections that come up", || server.connections.load(Ordering::SeqCst) > fill.len());
            self.server = server;
            self._queue_fill = fill;
        }
        if self.stage == RequestStage::AwaitingHedge {
            std::thread::sleep(Duration::from_millis(700));
        }
    }

    /// Attempts at the requests that the server sees before they are released.
    pub fn attempts_before_release(&self) -> usize {
        match self.stage {
            RequestStage::AwaitingRetry | RequestStage::AwaitingHedge => self.clients.len(),
            _ => 0,
        }
    }

    pub fn disconnecting_clients(&mut self) -> DisconnectingClients<'_> {
        let clients = std::mem::take(&mut self.clients);
        DisconnectingClients { gateway: &self.gateway, server: &self.server, clients }
    }
}

/// What has to have happened before requests can be held in this stage.
fn prepare(stage: RequestStage, gateway: &GatewayProcess, counters: &[Counter]) {
    match stage {
        RequestStage::AwaitingCounter => {
            let gated = counters.last().expect("a counter");
            eventually("connections", || gated.connections.load(Ordering::SeqCst) >= 4);
        }
        RequestStage::AwaitingHedge => {
            // A hedged request follows after eight mean response times, which are about 0.1 s by then.
            let mut client = gateway.client();
            (0..40).for_each(|_| assert_eq!(client.get_idempotent().status(), 200));
        }
        _ => {}
    }
}

/// Sends slow requests that take all slots for which others then wait.
fn take_slots(stage: RequestStage, gateway: &GatewayProcess, server: &Server) -> Vec<Client> {
    let count = match stage {
        RequestStage::AwaitingTenantSlot => 1,
        // Eight a server, over two gateways.
        RequestStage::AwaitingConcurrencySlot => 40,
        _ => 0,
    };
    let slow_clients = send_requests(gateway, "slow", count);
    eventually("the slots are taken", || attempts_seen(server, "slow") == count);
    slow_clients
}

fn send_requests_for(stage: RequestStage, gateway: &GatewayProcess) -> Vec<Client> {
    match stage {
        RequestStage::AwaitingHedge => {
            (0..5).map(|_| send_idempotent_request(gateway, "disconnected")).collect()
        }
        RequestStage::AwaitingConcurrencySlot => send_requests(gateway, "disconnected", 15),
        _ => send_requests(gateway, "disconnected", 50),
    }
}
