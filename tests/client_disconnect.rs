//! Tests that no part of a request is forwarded after its client has disconnected, in any stage of the
//! request and for any kind of disconnect. Each race is forced by a stub peer that waits at a gate, or by
//! pausing the gateway's process.

#[allow(dead_code)] // each test file uses only some of the helpers
mod support;

#[path = "client_disconnect/clients.rs"]
mod clients;
#[path = "client_disconnect/paused_gateway.rs"]
mod paused_gateway;
#[path = "client_disconnect/sockets.rs"]
mod sockets;
#[path = "client_disconnect/stage_scenario.rs"]
mod stage_scenario;
#[path = "client_disconnect/stubs.rs"]
mod stubs;

use clients::*;
use paused_gateway::{DisconnectingClients, PausedGateway, LATE_THRESHOLD};
use sockets::{wait_for_disconnects, wait_until_server_has_read_all};
use stage_scenario::*;
use std::sync::atomic::Ordering;
use std::time::Duration;
use stubs::*;
use support::*;

// ---- Disconnects that the gateway has noticed ---------------------------------------------

/// A slow request occupies its tenant's only slot, so further requests of the tenant are queued. Their
/// clients disconnect, and then the slot becomes free. No queued request may be forwarded, and the slot must
/// serve later requests.
#[test]
fn a_queued_request_is_not_forwarded_after_its_client_disconnects() {
    for kind in DISCONNECT_KINDS {
        let gate = Gate::default();
        let server = gated_server(&gate, response_bytes("200 OK", "", b"late"));
        let (mut setup, _discovery, _counter) = setup_for(server.address);
        setup.plan = ONE_IN_FLIGHT_PLAN;
        let gateway = setup.start();
        let mut slow = send_request(&gateway, "slow");
        eventually("the slow request occupies the slot", || server.request_count() == 1);
        let queued = send_requests(&gateway, "queued", client_count(kind));
        wait_until_gateway_has_read_all(&gateway);
        queued.into_iter().for_each(|client| disconnect(client, kind));
        wait_for_disconnects(&gateway, 1);
        gate.open();
        assert_eq!(slow.read().expect("no response to the slow request").status(), 200, "{kind:?}");
        let mut after = send_request(&gateway, "after");
        assert_eq!(after.read().expect("no response to the later request").status(), 200, "{kind:?}");
        assert_eq!(attempts_seen(&server, "queued"), 0, "{kind:?}: forwarded after its client disconnected");
    }
}

/// A request waits for its connection to a server, and its client disconnects. If attempts must not be
/// cancelled, the connection may still be established later. Nothing may be sent on it.
#[test]
fn a_request_awaiting_its_upstream_connection_is_not_forwarded_after_its_client_disconnects() {
    for cancellation_allowed in [true, false] {
        for kind in DISCONNECT_KINDS {
            let server = UnreachableServer::new();
            let (mut setup, _discovery, _counter) = setup_for(server.address);
            setup.connect_timeout = NO_CONNECT_TIMEOUT_MS;
            setup.cancellation_allowed = cancellation_allowed;
            let gateway = setup.start();
            let clients = send_requests(&gateway, "disconnected", client_count(kind));
            wait_until_gateway_has_read_all(&gateway);
            clients.into_iter().for_each(|client| disconnect(client, kind));
            wait_for_disconnects(&gateway, 0);
            let (bytes_received, connections_ended) = server.accept_and_count();
            if !cancellation_allowed {
                // These attempts continue: their connections are established when the kernel retries, after
                // 1, 3 or 7 s, and are then closed. Nothing was sent on a connection that is never
                // established either, so the test does not require that one is.
                holds_within(Duration::from_secs(12), || connections_ended.load(Ordering::SeqCst) > 0);
            }
            assert_eq!(gateway.client().get("/healthz", "").status(), 200);
            let bytes_received = bytes_received.load(Ordering::SeqCst);
            assert_eq!(
                bytes_received, 0,
                "{kind:?}, cancellation allowed: {cancellation_allowed}: bytes were sent to the server"
            );
        }
    }
}

/// A request waits for the counter, and its client disconnects. The counter's reply must not cause it to be
/// forwarded, and later requests must be served.
#[test]
fn a_request_awaiting_the_counter_is_not_forwarded_after_its_client_disconnects() {
    for kind in DISCONNECT_KINDS {
        let gate = Gate::default();
        let counter = gated_counter(&gate);
        let server = Server::ok();
        let (mut setup, _discovery, _counter) = setup_for(server.address);
        require_counter_calls(&mut setup, &counter, 4000.0);
        let gateway = setup.start();
        eventually("the gateway has connected to the counter", || {
            counter.connections.load(Ordering::SeqCst) >= 4
        });
        let clients = send_requests(&gateway, "disconnected", client_count(kind));
        eventually("the gateway calls the counter", || counter.calls_received.load(Ordering::SeqCst) > 0);
        wait_until_gateway_has_read_all(&gateway);
        clients.into_iter().for_each(|client| disconnect(client, kind));
        wait_for_disconnects(&gateway, 0);
        gate.open();
        let mut after = send_request(&gateway, "after");
        assert_eq!(after.read().expect("no response to the later request").status(), 200, "{kind:?}");
        let attempts = attempts_seen(&server, "disconnected");
        assert_eq!(attempts, 0, "{kind:?}: forwarded after its client disconnected");
    }
}

/// A server is about to reject a request without executing it, so that the gateway may retry it on any
/// server. The client disconnects before the rejection arrives. There must be no further attempt.
#[test]
fn a_request_is_not_retried_after_its_client_disconnects() {
    for cancellation_allowed in [true, false] {
        for kind in DISCONNECT_KINDS {
            let gate = Gate::default();
            let rejection = response_bytes("503 Busy", "X-Unprocessed: 1\r\n", b"");
            let (a, b) = (gated_server(&gate, rejection.clone()), gated_server(&gate, rejection));
            let members = [
                endpoint_entry("s-00000001", a.address, "Ready"),
                endpoint_entry("s-00000002", b.address, "Ready"),
            ];
            let known = endpoint_list(1, true, &members);
            let (mut setup, discovery, _counter) = setup_for(a.address);
            *discovery.list.lock().expect("poisoned lock") = known.clone();
            setup.initial_list = known;
            setup.cancellation_allowed = cancellation_allowed;
            let gateway = setup.start();
            let clients = send_requests(&gateway, "slow", client_count(kind));
            eventually("a server receives the first attempt", || a.request_count() + b.request_count() >= 1);
            wait_until_gateway_has_read_all(&gateway);
            clients.into_iter().for_each(|client| disconnect(client, kind));
            wait_for_disconnects(&gateway, 0);
            let before = a.request_count() + b.request_count();
            gate.open();
            let mut after = send_request(&gateway, "after");
            assert_eq!(after.read().expect("no response to the later request").status(), 200, "{kind:?}");
            let attempts = attempts_seen(&a, "slow") + attempts_seen(&b, "slow");
            assert_eq!(
                attempts, before,
                "{kind:?}, cancellation allowed: {cancellation_allowed}: retried after the disconnect"
            );
        }
    }
}

// ---- Disconnects that the gateway has had no time to notice -------------------------------

/// Number of clients that disconnect at the same time.
const FLOOD_SIZE: usize = 500;
/// Largest number of late attempts that a pause of the gateway can cause: the pause may fall between the
/// check of one client's socket and the write that follows it.
const MAX_LATE_ATTEMPTS: usize = 1;

/// Five hundred clients send one request each and disconnect before a busy gateway reads any of them. When
/// the gateway reads the requests, it must not forward them.
#[test]
fn a_flood_is_not_forwarded_if_its_clients_disconnect_before_it_is_read() {
    let server = Server::ok();
    let (gateway, _discovery, _counter) = start_gateway_for_flood(&server);
    let paused = PausedGateway::pause(&gateway);
    let _others = send_requests(&gateway, "other", FLOOD_SIZE);
    let clients = send_requests(&gateway, "disconnected", FLOOD_SIZE);
    let disconnecting = DisconnectingClients { gateway: &gateway, server: &server, clients };
    let late = disconnecting.late_attempts_after_pause(paused);
    assert!(late <= MAX_LATE_ATTEMPTS, "{late} attempts started after their clients disconnected");
}

/// The clients of a flood disconnect once the server has seen this many attempts; each test runs with each
/// number.
const ATTEMPTS_BEFORE_DISCONNECT: [usize; 4] = [1, 60, 120, 250];

/// Number of floods that a test sends at most until enough attempts have been seen. On a busy machine the servers
/// respond slowly, so that the concurrency limit stays low and the gateway rejects most of a flood.
const MAX_FLOODS: usize = 20;
/// Time for which a test waits for the attempts of one flood.
const FLOOD_WAIT: Duration = Duration::from_secs(2);

/// A flood that the gateway is forwarding, together with as many other requests.
struct FloodBeingForwarded {
    clients: Vec<Client>,
    _others: Vec<Client>,
}

impl FloodBeingForwarded {
    /// Starts floods until the server has seen `min_attempts` of one or more of them, and returns the last one at
    /// that moment.
    fn start(gateway: &GatewayProcess, server: &Server, min_attempts: usize) -> Self {
        let has_seen_enough = || attempts_seen(server, "disconnected") >= min_attempts;
        for _ in 0..MAX_FLOODS {
            let flood = Self::send(gateway);
            if holds_within(FLOOD_WAIT, has_seen_enough) {
                return flood;
            }
        }
        panic!("the server has not seen enough attempts of {MAX_FLOODS} floods");
    }

    fn send(gateway: &GatewayProcess) -> Self {
        let paused = PausedGateway::pause(gateway);
        let clients = send_requests(gateway, "disconnected", FLOOD_SIZE);
        let others = send_requests(gateway, "other", FLOOD_SIZE);
        drop(paused);
        FloodBeingForwarded { clients, _others: others }
    }
}

/// Five hundred clients disconnect while the gateway is forwarding their requests. Hundreds of the gateway's
/// tasks are scheduled before the tasks that would notice the disconnects, and each of them could start an
/// attempt. None of them may.
#[test]
fn a_flood_is_not_forwarded_further_after_its_clients_disconnect() {
    for min_attempts in ATTEMPTS_BEFORE_DISCONNECT {
        let server = Server::ok();
        let (gateway, _discovery, _counter) = start_gateway_for_flood(&server);
        let flood = FloodBeingForwarded::start(&gateway, &server, min_attempts);
        let clients = flood.clients;
        let disconnecting = DisconnectingClients { gateway: &gateway, server: &server, clients };
        let late = disconnecting.late_attempts_after_pause(PausedGateway::pause(&gateway));
        assert!(
            late <= MAX_LATE_ATTEMPTS,
            "{late} late attempts; the clients disconnected after at least {min_attempts} attempts"
        );
    }
}

// ---- Each stage of a request --------------------------------------------------------------

/// While the gateway is paused, the event that the requests wait for happens and the clients disconnect. When
/// the gateway resumes, it finds both at once and must not start attempts for clients that have disconnected.
#[test]
fn at_every_stage_a_request_is_not_forwarded_if_its_client_disconnects_while_the_gateway_is_paused() {
    for stage in REQUEST_STAGES {
        // Control run: if the clients stay connected, the gateway starts first or further attempts.
        let mut scenario = StageScenario::start(stage, true);
        let attempts_before = scenario.attempts_before_release();
        scenario.release();
        eventually(&format!("the server sees further attempts, {stage:?}"), || {
            attempts_seen(&scenario.server, "disconnected") > attempts_before
        });
        drop(scenario);
        for cancellation_allowed in [true, false] {
            let mut scenario = StageScenario::start(stage, cancellation_allowed);
            let paused = PausedGateway::pause(&scenario.gateway);
            scenario.release();
            wait_until_server_has_read_all(&scenario.server);
            let late = scenario.disconnecting_clients().late_attempts_after_pause(paused);
            assert!(
                late <= MAX_LATE_ATTEMPTS,
                "{late} late attempts, {stage:?}, cancellation allowed: {cancellation_allowed}"
            );
        }
    }
}

/// Clients disconnect from a running gateway, and 0.1 s later the event that their requests wait for happens.
/// No attempt may start. The connecting stage is left out: a test above covers a connection that is
/// established that late, and if cancellation is allowed none is established.
#[test]
fn at_every_stage_a_request_is_not_forwarded_if_it_is_released_0_1_s_after_its_client_disconnects() {
    for stage in REQUEST_STAGES.into_iter().filter(|stage| *stage != RequestStage::Connecting) {
        for cancellation_allowed in [true, false] {
            let mut scenario = StageScenario::start(stage, cancellation_allowed);
            let mut disconnecting = scenario.disconnecting_clients();
            let ports = disconnecting.ports();
            let _half_closed = disconnecting.disconnect_all(&ports);
            std::thread::sleep(LATE_THRESHOLD);
            wait_until_server_has_read_all(&scenario.server);
            let before = attempts_seen(&scenario.server, "disconnected");
            scenario.release();
            wait_until_server_has_read_all(&scenario.server);
            let late = attempts_seen(&scenario.server, "disconnected") - before;
            assert_eq!(late, 0, "late attempts, {stage:?}, cancellation allowed: {cancellation_allowed}");
        }
    }
}

/// Clients disconnect from a running gateway just as the event that their requests wait for happens. Attempts
/// that start at that moment are unavoidable, but none may start later than 0.1 s after the disconnects.
#[test]
fn no_attempt_begins_later_than_0_1_s_after_its_client_disconnects() {
    for stage in REQUEST_STAGES {
        for cancellation_allowed in [true, false] {
            let mut scenario = StageScenario::start(stage, cancellation_allowed);
            scenario.release();
            let late = scenario.disconnecting_clients().late_attempts();
            assert!(
                late <= MAX_LATE_ATTEMPTS,
                "{late} late attempts, {stage:?}, cancellation allowed: {cancellation_allowed}"
            );
        }
    }
    for min_attempts in ATTEMPTS_BEFORE_DISCONNECT {
        let server = Server::ok();
        let (gateway, _discovery, _counter) = start_gateway_for_flood(&server);
        let flood = FloodBeingForwarded::start(&gateway, &server, min_attempts);
        let clients = flood.clients;
        let late = DisconnectingClients { gateway: &gateway, server: &server, clients }.late_attempts();
        assert!(
            late <= MAX_LATE_ATTEMPTS,
            "{late} late attempts; the clients disconnected after at least {min_attempts} attempts"
        );
    }
}
