//! A gateway that holds requests in one stage until they are released.

use crate::clients::{
    attempts_seen, has_name, send_idempotent_request, send_requests, wait_until_gateway_has_read_all,
};
use crate::paused_gateway::DisconnectingClients;
use crate::stubs::{
    allow_flood, gated_counter, many_endpoints_at, require_counter_calls, NO_CONNECT_TIMEOUT_MS,
    ONE_IN_FLIGHT_PLAN,
};
use crate::support::{
    eventually, response_bytes, start_stubs, Client, Counter, Discovery, Gate, GatewayProcess, Message,
    Server, StubResponse, UnreachableServer,
};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The stage of the requests when their clients disconnect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestStage {
    /// The request is queued because of the limit on its tenant's attempts in flight.
    AwaitingTenantSlot,
    /// The request is queued because of the concurrency limit.
    AwaitingConcurrencySlot,
    /// The request waits for the reply to a counter call.
    AwaitingCounter,
    /// The connection to a server is being established.
    Connecting,
    /// An attempt was sent. The server is about to reject it without executing it, and a retry would follow.
    AwaitingRetry,
    /// An attempt was sent. The server does not respond, and a hedged request would follow.
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

/// How long an attempt occupies its tenant's only slot. Fifty attempts in a row take far longer than
/// [`LATE_THRESHOLD`](crate::paused_gateway::LATE_THRESHOLD).
const SLOT_TIME: Duration = Duration::from_millis(20);

/// Returns the stub server's response to a request in a scenario of this stage.
fn respond(stage: RequestStage, gate: &Gate, message: &Message) -> StubResponse {
    let is_disconnected = has_name(message, "disconnected");
    match stage {
        RequestStage::AwaitingRetry if is_disconnected => {
            gate.wait();
            StubResponse::Write(response_bytes("503 Busy", "X-Unprocessed: 1\r\n", b""))
        }
        RequestStage::AwaitingHedge if is_disconnected => StubResponse::NoResponse,
        RequestStage::AwaitingTenantSlot if is_disconnected => {
            StubResponse::Delayed(SLOT_TIME, response_bytes("200 OK", "", b"good"))
        }
        _ => {
            if has_name(message, "slow") {
                gate.wait();
            }
            StubResponse::Write(response_bytes("200 OK", "", b"good"))
        }
    }
}

/// A gateway that holds requests named `disconnected` in one stage until they are released.
pub struct StageScenario {
    stage: RequestStage,
    pub gateway: GatewayProcess,
    pub server: Server,
    clients: Vec<Client>,
    unreachable: Option<UnreachableServer>,
    gate: Gate,
    _slow_clients: Vec<Client>,
    _discovery: Discovery,
    _counters: Vec<Counter>,
    _backlog_connections: Vec<TcpStream>,
}

impl StageScenario {
    pub fn start(stage: RequestStage, cancellation_allowed: bool) -> Self {
        let gate = Gate::default();
        let server_gate = gate.clone();
        let server = Server::start(move |message| respond(stage, &server_gate, message));
        let unreachable = (stage == RequestStage::Connecting).then(UnreachableServer::new);
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
        let slow_clients = occupy_slots(stage, &gateway, &server);
        let clients = send_requests_for(stage, &gateway);
        // The gateway answers in order: after the first health check it has read all requests, and after the
        // second it has started the actions that follow from them.
        (0..2).for_each(|_| wait_until_gateway_has_read_all(&gateway));
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
            _backlog_connections: Vec::new(),
        }
    }

    /// Releases the requests: on return, the data that they wait for is in the gateway's sockets, or the
    /// delay of their hedged requests is over.
    pub fn release(&mut self) {
        self.gate.open();
        if let Some(unreachable) = self.unreachable.take() {
            let (stage, gate) = (self.stage, self.gate.clone());
            let (server, backlog_connections) =
                unreachable.serve(move |message| respond(stage, &gate, message));
            eventually("the gateway's connections are established", || {
                server.connections.load(Ordering::SeqCst) > backlog_connections.len()
            });
            self.server = server;
            self._backlog_connections = backlog_connections;
        }
        if self.stage == RequestStage::AwaitingHedge {
            std::thread::sleep(Duration::from_millis(700));
        }
    }

    /// Number of attempts that the server sees before the requests are released.
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

/// Brings the gateway into a state in which it holds requests in this stage.
fn prepare(stage: RequestStage, gateway: &GatewayProcess, counters: &[Counter]) {
    match stage {
        RequestStage::AwaitingCounter => {
            let gated = counters.last().expect("the scenario has no counter");
            eventually("the gateway has connected to the counter", || {
                gated.connections.load(Ordering::SeqCst) >= 4
            });
        }
        RequestStage::AwaitingHedge => {
            // A hedged request is sent after eight mean response times. These responses lower the mean to
            // about 0.1 s.
            let mut client = gateway.client();
            (0..40).for_each(|_| assert_eq!(client.get_idempotent().status(), 200));
        }
        _ => {}
    }
}

/// Sends slow requests that occupy all slots, so that later requests have to wait for one.
fn occupy_slots(stage: RequestStage, gateway: &GatewayProcess, server: &Server) -> Vec<Client> {
    let count = match stage {
        RequestStage::AwaitingTenantSlot => 1,
        // Ten servers have eight slots each, and two gateways share them.
        RequestStage::AwaitingConcurrencySlot => 40,
        _ => 0,
    };
    let slow_clients = send_requests(gateway, "slow", count);
    eventually("the slow requests occupy all slots", || attempts_seen(server, "slow") == count);
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
