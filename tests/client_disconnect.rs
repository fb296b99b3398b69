//! Clients that disconnect: nothing of a request is forwarded once its client has gone, whichever stage the
//! request is in and however the client went. Each race is forced by a gate at which a stub peer waits, or by
//! a gateway that is paused.

#[allow(dead_code)] // each file of tests uses its own part
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
use paused_gateway::{DisconnectingClients, PausedGateway, LATE_AFTER};
use sockets::{wait_for_disconnects, wait_until_server_has_seen_all};
use stage_scenario::*;
use std::sync::atomic::Ordering;
use std::time::Duration;
use stubs::*;
use support::*;

// ---- Disconnects that the gateway has noticed
// -----------------------------------------------------------------

/// A tenant's only slot is taken, and its further requests are queued. Their clients disconnect; then the
/// slot becomes free. None of the queued requests may be forwarded, and the slot must serve others.
#[test]
fn a_queued_request_is_not_forwarded_after_its_client_disconnects() {
    for kind in DISCONNECT_KINDS {
        let gate = Gate::default();
        let server = gated_server(&gate, answer("200 OK", "", b"late"));
        let (mut setup, _discovery, _counter) = setup_for(server.address);
        setup.plan = ONE_IN_FLIGHT_PLAN;
        let gateway = setup.start();
        let mut slow = send_request(&gateway, "slow");
        eventually("the slot to be taken", || server.count() == 1);
        let queued = send_requests(&gateway, "queued", client_count(kind));
        wait_until_read(&gateway);
        queued.into_iter().for_each(|client| disconnect(client, kind));
        wait_for_disconnects(&gateway, 1);
        gate.open();
        assert_eq!(slow.read().expect("a response").status(), 200, "{kind:?}");
        let mut after = send_request(&gateway, "after");
        assert_eq!(after.read().expect("a response").status(), 200, "{kind:?}");
        assert_eq!(attempts_seen(&server, "queued"), 0, "{kind:?}: forwarded for a client that had gone");
    }
}

/// A request waits for its connection to a server, and its client disconnects. The connection comes up later,
/// also where attempts must not be cancelled. Nothing may be sent on it.
#[test]
fn a_request_awaiting_its_upstream_connection_is_not_forwarded_after_its_client_disconnects() {
    for cancellation_allowed in [true, false] {
        for kind in DISCONNECT_KINDS {
            let server = Unreachable::new();
            let (mut setup, _discovery, _counter) = setup_for(server.address);
            setup.connect_timeout = NO_CONNECT_TIMEOUT_MS;
            setup.cancellation_allowed = cancellation_allowed;
            let gateway = setup.start();
            let clients = send_requests(&gateway, "disconnected", client_count(kind));
            wait_until_read(&gateway);
            clients.into_iter().for_each(|client| disconnect(client, kind));
            wait_for_disconnects(&gateway, 0);
            let (bytes_received, connections_ended) = server.open();
            if !cancellation_allowed {
                // These attempts go on: their connections come up when the kernel tries again, after 1, 3 or
                // 7 s, and end. One that never comes up had nothing sent on it either.
                within(Duration::from_secs(12), || connections_ended.load(Ordering::SeqCst) > 0);
            }
            assert_eq!(gateway.client().get("/healthz", "").status(), 200);
            let bytes_received = bytes_received.load(Ordering::SeqCst);
            assert_eq!(bytes_received, 0, "{kind:?}, cancellation allowed: {cancellation_allowed}");
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
        eventually("connections", || counter.connections.load(Ordering::SeqCst) >= 4);
        let clients = send_requests(&gateway, "disconnected", client_count(kind));
        eventually("a call", || counter.requests_seen.load(Ordering::SeqCst) > 0);
        wait_until_read(&gateway);
        clients.into_iter().for_each(|client| disconnect(client, kind));
        wait_for_disconnects(&gateway, 0);
        gate.open();
        let mut after = send_request(&gateway, "after");
        assert_eq!(after.read().expect("a response").status(), 200, "{kind:?}");
        let attempts = attempts_seen(&server, "disconnected");
        assert_eq!(attempts, 0, "{kind:?}: forwarded for a client that had gone");
    }
}

/// A server is about to reject a request without executing it, so the gateway may retry it there or
/// elsewhere. Its client disconnects before the rejection. There must be no further attempt.
#[test]
fn a_request_is_not_retried_after_its_client_disconnects() {
    for cancellation_allowed in [true, false] {
        for kind in DISCONNECT_KINDS {
            let gate = Gate::default();
            let rejection = answer("503 Busy", "X-Unprocessed: 1\r\n", b"");
            let (a, b) = (gated_server(&gate, rejection.clone()), gated_server(&gate, rejection));
            let members =
                [member("s-00000001", a.address, "Ready"), member("s-00000002", b.address, "Ready")];
            let known = list(1, true, &members);
            let (mut setup, discovery, _counter) = setup_for(a.address);
            *discovery.list.lock().expect("a lock") = known.clone();
            setup.known = known;
            setup.cancellation_allowed = cancellation_allowed;
            let gateway = setup.start();
            let clients = send_requests(&gateway, "slow", client_count(kind));
            eventually("the first attempts", || a.count() + b.count() >= 1);
            wait_until_read(&gateway);
            clients.into_iter().for_each(|client| disconnect(client, kind));
            wait_for_disconnects(&gateway, 0);
            let before = a.count() + b.count();
            gate.open();
            let mut after = send_request(&gateway, "after");
            assert_eq!(after.read().expect("a response").status(), 200, "{kind:?}");
            let attempts = attempts_seen(&a, "slow") + attempts_seen(&b, "slow");
            assert_eq!(attempts, before, "{kind:?}, cancellation allowed: {cancellation_allowed}");
        }
    }
}

// ---- Disconnects that the gateway has had no time to notice
// ---------------------------------------------------

/// Clients that disconnect at the same time.
const FLOOD_SIZE: usize = 500;
/// A pause may fall between the check of a client's socket and the write that follows: one case in each.
const MAX_LATE_ATTEMPTS: usize = 1;

/// Five hundred clients send a request each and disconnect before a busy gateway reads any of them. It must
/// not forward the requests for nobody when it does.
#[test]
fn a_flood_that_disconnects_before_it_is_read_is_not_forwarded() {
    let server = Server::ok();
    let (gateway, _discovery, _counter) = start_gateway_for_flood(&server);
    let paused = PausedGateway::pause(&gateway);
    let _others = send_requests(&gateway, "other", FLOOD_SIZE);
    let clients = send_requests(&gateway, "disconnected", FLOOD_SIZE);
    let disconnecting = DisconnectingClients { gateway: &gateway, server: &server, clients };
    let late = disconnecting.late_attempts_after_pause(paused);
    assert!(late <= MAX_LATE_ATTEMPTS, "{late} attempts");
}

/// Numbers of attempts after which the clients of a flood disconnect.
const ATTEMPTS_BEFORE_DISCONNECT: [usize; 4] = [1, 60, 120, 250];

/// A flood that the gateway is forwarding, among as many other requests.
struct FloodBeingForwarded {
    clients: Vec<Client>,
    _others: Vec<Client>,
}

impl FloodBeingForwarded {
    /// Returns as soon as the server has seen `min_attempts` of the flood.
    fn start(gateway: &GatewayProcess, server: &Server, min_attempts: usize) -> Self {
        let paused = PausedGateway::pause(gateway);
        let clients = send_requests(gateway, "disconnected", FLOOD_SIZE);
        let others = send_requests(gateway, "other", FLOOD_SIZE);
        drop(paused);
        eventually("attempts", || attempts_seen(server, "disconnected") >= min_attempts);
        FloodBeingForwarded { clients, _others: others }
    }
}

/// Five hundred clients disconnect while the gateway is forwarding their requests. Hundreds of its tasks are
/// due before those that would notice the closes, and each of them may begin an attempt. None may.
#[test]
fn a_flood_that_disconnects_while_it_is_forwarded_is_not_forwarded_further() {
    for min_attempts in ATTEMPTS_BEFORE_DISCONNECT {
        let server = Server::ok();
        let (gateway, _discovery, _counter) = start_gateway_for_flood(&server);
        let flood = FloodBeingForwarded::start(&gateway, &server, min_attempts);
        let clients = flood.clients;
        let disconnecting = DisconnectingClients { gateway: &gateway, server: &server, clients };
        let late = disconnecting.late_attempts_after_pause(PausedGateway::pause(&gateway));
        assert!(late <= MAX_LATE_ATTEMPTS, "{late} attempts after {min_attempts}");
    }
}

// ---- Each stage of a request
// ----------------------------------------------------------------------------------

/// What a request waits for happens while the gateway is paused, and so do the disconnects of the clients.
/// When the gateway goes on, it finds both at once and must not begin attempts for clients that have gone.
#[test]
fn at_every_stage_a_request_is_not_forwarded_after_a_pause_in_which_its_client_disconnects() {
    for stage in REQUEST_STAGES {
        // Where clients stay, attempts begin: first ones or further ones.
        let mut scenario = StageScenario::start(stage, true);
        let attempts_before = scenario.attempts_before_release();
        scenario.release();
        eventually(&format!("further attempts, {stage:?}"), || {
            attempts_seen(&scenario.server, "disconnected") > attempts_before
        });
        drop(scenario);
        for cancellation_allowed in [true, false] {
            let mut scenario = StageScenario::start(stage, cancellation_allowed);
            let paused = PausedGateway::pause(&scenario.gateway);
            scenario.release();
            wait_until_server_has_seen_all(&scenario.server);
            let late = scenario.disconnecting_clients().late_attempts_after_pause(paused);
            assert!(
                late <= MAX_LATE_ATTEMPTS,
                "{late} attempts, {stage:?}, cancellation allowed: {cancellation_allowed}"
            );
        }
    }
}

/// Clients disconnect from a running gateway, and 0.1 s later what their requests wait for happens. No
/// attempt may begin. (A connection that comes up that late has a test above: where cancellation is allowed,
/// none does.)
#[test]
fn at_every_stage_a_request_is_not_forwarded_if_it_is_released_0_1_s_after_its_client_disconnects() {
    for stage in REQUEST_STAGES.into_iter().filter(|stage| *stage != RequestStage::Connecting) {
        for cancellation_allowed in [true, false] {
            let mut scenario = StageScenario::start(stage, cancellation_allowed);
            let mut disconnecting = scenario.disconnecting_clients();
            let ports = disconnecting.ports();
            let _half_closed = disconnecting.disconnect_all(&ports);
            std::thread::sleep(LATE_AFTER);
            wait_until_server_has_seen_all(&scenario.server);
            let before = attempts_seen(&scenario.server, "disconnected");
            scenario.release();
            wait_until_server_has_seen_all(&scenario.server);
            let late = attempts_seen(&scenario.server, "disconnected") - before;
            assert_eq!(late, 0, "{stage:?}, cancellation allowed: {cancellation_allowed}");
        }
    }
}

/// Clients disconnect from a running gateway just when what their requests wait for happens. Attempts that
/// have begun by then are unavoidable; later than 0.1 s after the disconnects there must be none.
#[test]
fn no_attempt_begins_later_than_0_1_s_after_its_client_disconnects() {
    for stage in REQUEST_STAGES {
        for cancellation_allowed in [true, false] {
            let mut scenario = StageScenario::start(stage, cancellation_allowed);
            scenario.release();
            let late = scenario.disconnecting_clients().late_attempts();
            assert!(
                late <= MAX_LATE_ATTEMPTS,
                "{late} attempts, {stage:?}, cancellation allowed: {cancellation_allowed}"
            );
        }
    }
    for min_attempts in ATTEMPTS_BEFORE_DISCONNECT {
        let server = Server::ok();
        let (gateway, _discovery, _counter) = start_gateway_for_flood(&server);
        let flood = FloodBeingForwarded::start(&gateway, &server, min_attempts);
        let clients = flood.clients;
        let late = DisconnectingClients { gateway: &gateway, server: &server, clients }.late_attempts();
        assert!(late <= MAX_LATE_ATTEMPTS, "{late} attempts after {min_attempts}");
    }
}
