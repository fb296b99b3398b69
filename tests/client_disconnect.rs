//! Clients that disconnect: nothing of a request is forwarded once its client has gone, whichever stage the request
//! is in and however the client went. Each race is forced by a gate at which a stub peer waits, or by a gateway that
//! is paused.

#[allow(dead_code)] // each file of tests uses its own part
mod support;

use socket2::SockRef;
use std::collections::HashSet;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use support::*;

// ---- How clients disconnect -----------------------------------------------------------------------------------

#[derive(Clone, Copy, Debug, PartialEq)]
enum DisconnectKind {
    Close,
    Reset,
    HalfCloseThenClose,
    /// Closes with a part of a further request unread behind the one in flight.
    PartialRequestBehind,
    /// Resets with more unread behind the request than any buffer of the gateway holds.
    FullBuffersBehind,
    /// Closes at the same time as many others.
    Simultaneous,
}

const DISCONNECT_KINDS: [DisconnectKind; 6] = [
    DisconnectKind::Close,
    DisconnectKind::Reset,
    DisconnectKind::HalfCloseThenClose,
    DisconnectKind::PartialRequestBehind,
    DisconnectKind::FullBuffersBehind,
    DisconnectKind::Simultaneous,
];

/// Clients that disconnect together.
fn client_count(kind: DisconnectKind) -> usize {
    if kind == DisconnectKind::Simultaneous {
        20
    } else {
        1
    }
}

fn disconnect(client: Client, kind: DisconnectKind) {
    let mut stream = client.stream;
    match kind {
        DisconnectKind::Close | DisconnectKind::Simultaneous => {}
        DisconnectKind::Reset => reset_on_close(&stream),
        DisconnectKind::HalfCloseThenClose => stream.shutdown(Shutdown::Write).expect("a half-close"),
        DisconnectKind::PartialRequestBehind => {
            stream.write_all(b"GET /look?customer=0000").expect("bytes");
        }
        DisconnectKind::FullBuffersBehind => {
            stream.set_nonblocking(true).expect("a non-blocking socket");
            let more = vec![b'x'; 1 << 16];
            while stream.write(&more).is_ok() {}
            reset_on_close(&stream);
        }
    }
}

fn reset_on_close(stream: &TcpStream) {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("linger");
}

/// Disconnects these clients at the same time, in all ways. Returns those that have half-closed and still read.
fn disconnect_all(clients: Vec<Client>) -> Vec<Client> {
    let mut half_closed = Vec::new();
    for (i, client) in clients.into_iter().enumerate() {
        match i % 50 {
            0..10 => {
                client.stream.shutdown(Shutdown::Write).expect("a half-close");
                half_closed.push(client);
            }
            49 => disconnect(client, DisconnectKind::FullBuffersBehind),
            i => disconnect(client, DISCONNECT_KINDS[i % 4]),
        }
    }
    half_closed
}

// ---- Requests and what the server has seen of them ------------------------------------------------------------

/// Sends a request that can be told from others by the name in its path.
fn send_request(gateway: &Limiter, name: &str) -> Client {
    static NEXT_ID: AtomicUsize = AtomicUsize::new(0);
    let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    let mut client = gateway.client();
    // Of the class with the longest deadline: no timeout ends what a gate holds back.
    let request = format!(
        "POST /long?customer=00000000b4d65521&name={name} HTTP/1.1\r\nHost: x\r\n\
         X-Correlation-Id: {name}{id}\r\nX-Service-Class: long\r\nX-Plan: team\r\nX-Time-Left: 29\r\n\
         X-Quota: units=1,spread={gateway_count},first=0\r\nContent-Length: 2\r\n\r\n{{}}",
        gateway_count = gateway.gateways,
    );
    client.stream.write_all(request.as_bytes()).expect("a request is written");
    client
}

fn send_requests(gateway: &Limiter, name: &str, count: usize) -> Vec<Client> {
    (0..count).map(|_| send_request(gateway, name)).collect()
}

/// Sends a request of the idempotent class, which may be hedged.
fn send_idempotent_request(gateway: &Limiter, name: &str) -> Client {
    let mut client = gateway.client();
    let port = client.stream.local_addr().expect("an address").port();
    let request = format!(
        "GET /look?customer=00000000b4d65521&name={name} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: l{port}\r\n\
         X-Service-Class: look\r\nX-Plan: team\r\nX-Time-Left: 2.0\r\nX-Quota: units=1,spread=2,first=0\r\n\r\n"
    );
    client.stream.write_all(request.as_bytes()).expect("a request is written");
    client
}

/// Attempts at requests of this name that the server has seen.
fn attempts_seen(server: &Server, name: &str) -> usize {
    server.seen.lock().expect("a lock").iter().filter(|message| has_name(message, name)).count()
}

fn has_name(message: &Message, name: &str) -> bool {
    message.start.contains(&format!("&name={name} "))
}

/// Waits until the gateway has read what was written to it before: it answers in order.
fn wait_until_read(gateway: &Limiter) {
    assert_eq!(gateway.client().get("/healthz", "").status(), 200);
}

// ---- States of connections, as the kernel tells them ----------------------------------------------------------

const LISTEN: &str = "0A";
const ESTABLISHED: &str = "01";
/// Closed by the other end alone.
const CLOSE_WAIT: &str = "08";

/// A line of the kernel's table of connections.
struct SocketEntry {
    local: String,
    remote: String,
    state: String,
    queues: String,
}

impl SocketEntry {
    fn has_unread_bytes(&self) -> bool {
        let (_, receive_queue) = self.queues.split_once(':').expect("two queues");
        let queued = u64::from_str_radix(receive_queue, 16).expect("a length");
        match self.state.as_str() {
            LISTEN => false,
            // The peer's close counts as one byte, and stays unread while a stub waits at a gate.
            CLOSE_WAIT => queued > 1,
            _ => queued > 0,
        }
    }

    fn remote_port(&self) -> u16 {
        let (_, port) = self.remote.split_once(':').expect("an address");
        u16::from_str_radix(port, 16).expect("a port")
    }
}

/// The kernel's sockets at this local address.
fn sockets_at(address: SocketAddr) -> Vec<SocketEntry> {
    let port = format!(":{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table of connections");
    let entries = table.lines().map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let column = |i: usize| columns[i].to_owned();
        SocketEntry { local: column(1), remote: column(2), state: column(3), queues: column(4) }
    });
    entries.filter(|entry| entry.local.ends_with(&port)).collect()
}

/// Ports of the clients whose connections are in these states at the gateway's end.
fn client_ports(gateway: &Limiter, states: &[&str]) -> Vec<u16> {
    let entries = sockets_at(gateway.address).into_iter();
    entries.filter(|entry| states.contains(&entry.state.as_str())).map(|entry| entry.remote_port()).collect()
}

/// Waits until the gateway has noticed the disconnects: it holds so many connections of clients and no more.
fn wait_for_disconnects(gateway: &Limiter, remaining: usize) {
    eventually("the gateway closes the connections of those who disconnected", || {
        client_ports(gateway, &[ESTABLISHED, CLOSE_WAIT]).len() == remaining
    });
    // A reset shows there before the gateway has heard of it; a whole exchange later it has.
    assert_eq!(gateway.client().get("/healthz", "").status(), 200);
}

/// Waits until the server has seen all that was sent to it: nothing is unread in its sockets, and nothing new is
/// seen for a while.
fn wait_until_server_has_seen_all(server: &Server) {
    let mut last_count = 0;
    let mut last_change = Instant::now();
    eventually("the server has seen all", || {
        let is_unread = sockets_at(server.address).iter().any(SocketEntry::has_unread_bytes);
        let count = server.count();
        if is_unread || count != last_count {
            last_count = count;
            last_change = Instant::now();
        }
        last_change.elapsed() > 2 * LATE_AFTER
    });
}

// ---- Stubs and setups -----------------------------------------------------------------------------------------

fn setup_for(server: SocketAddr) -> (Setup, Discovery, Counter) {
    around(&[member("s-00000001", server, "Ready")])
}

/// A server that makes requests named `slow` wait at a gate before it answers them with these bytes.
fn gated_server(gate: &Gate, response: Vec<u8>) -> Server {
    let gate = gate.clone();
    Server::start(move |message| {
        if has_name(message, "slow") {
            gate.wait();
            return Act::Write(response.clone());
        }
        Act::Write(answer("200 OK", "", b"good"))
    })
}

/// A counter that makes calls wait at a gate.
fn gated_counter(gate: &Gate) -> Counter {
    let gate = gate.clone();
    Counter::start(move |_, total| {
        gate.wait();
        format!("ok {total}\r\n").into_bytes()
    })
}

/// The gateway must call the counter before it forwards a request: each of many gateways has a small quota.
fn require_counter_calls(setup: &mut Setup, counter: &Counter, counter_timeout: f64) {
    setup.plan = r#"{"name":"team","rate":2,"store_size":30}"#;
    setup.gateways = 200;
    setup.counter = counter.address;
    setup.counter_timeout = counter_timeout;
}

/// The gateway may have one attempt of a tenant in flight: two over two gateways.
const ONE_IN_FLIGHT_PLAN: &str = r#"{"name":"team","rate":100000,"store_size":100000,"max_out":2}"#;

/// Longer than any test: a connection that does not come up is not given up.
const NO_CONNECT_TIMEOUT_MS: f64 = 60_000.0;

/// A server under so many ids that a flood reaches no limit on what is in flight at one.
fn many_endpoints_at(address: SocketAddr) -> Vec<String> {
    (0..600).map(|i| member(&format!("s-{:08x}", i + 1), address, "Ready")).collect()
}

/// Room for the connections and requests of a whole flood.
fn allow_flood(setup: &mut Setup) {
    setup.sockets = 4096;
    setup.memory_mb = 2000.0;
}

/// A gateway that accepts a whole flood.
fn start_gateway_for_flood(server: &Server) -> (Limiter, Discovery, Counter) {
    let (mut setup, discovery, counter) = around(&many_endpoints_at(server.address));
    allow_flood(&mut setup);
    (setup.start(), discovery, counter)
}

// ---- Disconnects that the gateway has noticed -----------------------------------------------------------------

/// A tenant's only slot is taken, and its further requests are queued. Their clients disconnect; then the slot
/// becomes free. None of the queued requests may be forwarded, and the slot must serve others.
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
                // These attempts go on: their connections come up when the kernel tries again, after 1, 3 or 7 s,
                // and end. One that never comes up had nothing sent on it either.
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
        eventually("a call", || counter.asked.load(Ordering::SeqCst) > 0);
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

/// A server is about to reject a request without executing it, so the gateway may retry it there or elsewhere. Its
/// client disconnects before the rejection. There must be no further attempt.
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

// ---- Disconnects that the gateway has had no time to notice ---------------------------------------------------

/// Clients that disconnect at the same time.
const FLOOD_SIZE: usize = 500;
/// An attempt that begins this long after its client has disconnected is late.
const LATE_AFTER: Duration = Duration::from_millis(100);
/// A pause may fall between the check of a client's socket and the write that follows: one case in each.
const MAX_LATE_ATTEMPTS: usize = 1;

/// Stops the gateway's process, as a machine does that is short of CPU, until it is dropped.
struct PausedGateway {
    process_id: String,
}

impl PausedGateway {
    fn pause(gateway: &Limiter) -> Self {
        gateway.signal("-STOP");
        let stat = format!("/proc/{}/stat", gateway.child.id());
        eventually("the gateway is paused", || {
            std::fs::read_to_string(&stat).expect("its state").contains(") T ")
        });
        PausedGateway { process_id: gateway.child.id().to_string() }
    }
}

impl Drop for PausedGateway {
    fn drop(&mut self) {
        let _ = Command::new("kill").args(["-CONT", &self.process_id]).status();
    }
}

/// Clients whose requests are named `disconnected`, and whose late attempts are counted.
struct DisconnectingClients<'a> {
    gateway: &'a Limiter,
    server: &'a Server,
    clients: Vec<Client>,
}

impl DisconnectingClients<'_> {
    /// Disconnects the clients while the gateway is paused, and counts the attempts that begin for them when it goes
    /// on, after more than [`LATE_AFTER`].
    fn late_attempts_after_pause(mut self, paused: PausedGateway) -> usize {
        let ports = self.ports();
        let _half_closed = self.disconnect_all(&ports);
        std::thread::sleep(LATE_AFTER);
        self.attempts_after_resume(paused, &ports)
    }

    /// Disconnects the clients while the gateway runs, and counts the attempts that begin for them after
    /// [`LATE_AFTER`].
    fn late_attempts(mut self) -> usize {
        let ports = self.ports();
        let _half_closed = self.disconnect_all(&ports);
        std::thread::sleep(LATE_AFTER);
        self.attempts_after_resume(PausedGateway::pause(self.gateway), &ports)
    }

    fn ports(&self) -> HashSet<u16> {
        let addresses = self.clients.iter().map(|client| client.stream.local_addr().expect("an address"));
        addresses.map(|address| address.port()).collect()
    }

    fn disconnect_all(&mut self, ports: &HashSet<u16>) -> Vec<Client> {
        let half_closed = disconnect_all(std::mem::take(&mut self.clients));
        eventually("the kernel has received the closes", || !self.any_in_state(ports, ESTABLISHED));
        half_closed
    }

    /// Counts the attempts that begin once the gateway goes on. What it had begun before the pause reaches the server
    /// during the pause, so the count does not depend on how long the machine takes for anything.
    fn attempts_after_resume(&self, paused: PausedGateway, ports: &HashSet<u16>) -> usize {
        wait_until_server_has_seen_all(self.server);
        let before = attempts_seen(self.server, "disconnected");
        drop(paused);
        eventually("the gateway closes the connections", || !self.any_in_state(ports, CLOSE_WAIT));
        assert_eq!(self.gateway.client().get("/healthz", "").status(), 200);
        wait_until_server_has_seen_all(self.server);
        attempts_seen(self.server, "disconnected") - before
    }

    fn any_in_state(&self, ports: &HashSet<u16>, state: &str) -> bool {
        client_ports(self.gateway, &[state]).iter().any(|port| ports.contains(port))
    }
}

/// Five hundred clients send a request each and disconnect before a busy gateway reads any of them. It must not
/// forward the requests for nobody when it does.
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
    fn start(gateway: &Limiter, server: &Server, min_attempts: usize) -> Self {
        let paused = PausedGateway::pause(gateway);
        let clients = send_requests(gateway, "disconnected", FLOOD_SIZE);
        let others = send_requests(gateway, "other", FLOOD_SIZE);
        drop(paused);
        eventually("attempts", || attempts_seen(server, "disconnected") >= min_attempts);
        FloodBeingForwarded { clients, _others: others }
    }
}

/// Five hundred clients disconnect while the gateway is forwarding their requests. Hundreds of its tasks are due
/// before those that would notice the closes, and each of them may begin an attempt. None may.
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

// ---- Each stage of a request ----------------------------------------------------------------------------------

/// The stage that requests are in when their clients disconnect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RequestStage {
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

const REQUEST_STAGES: [RequestStage; 6] = [
    RequestStage::AwaitingTenantSlot,
    RequestStage::AwaitingConcurrencySlot,
    RequestStage::AwaitingCounter,
    RequestStage::Connecting,
    RequestStage::AwaitingRetry,
    RequestStage::AwaitingHedge,
];

/// How long an attempt holds a tenant's only slot: fifty of them go on for long after [`LATE_AFTER`].
const SLOT_TIME: Duration = Duration::from_millis(20);

/// The server's part in a scenario.
fn respond(stage: RequestStage, gate: &Gate, message: &Message) -> Act {
    let is_disconnected = has_name(message, "disconnected");
    match stage {
        RequestStage::AwaitingRetry if is_disconnected => {
            gate.wait();
            Act::Write(answer("503 Busy", "X-Unprocessed: 1\r\n", b""))
        }
        RequestStage::AwaitingHedge if is_disconnected => Act::Silence,
        RequestStage::AwaitingTenantSlot if is_disconnected => {
            Act::Late(SLOT_TIME, answer("200 OK", "", b"good"))
        }
        _ => {
            if has_name(message, "slow") {
                gate.wait();
            }
            Act::Write(answer("200 OK", "", b"good"))
        }
    }
}

/// A gateway that holds requests named `disconnected` in one stage until they are released.
struct StageScenario {
    stage: RequestStage,
    gateway: Limiter,
    server: Server,
    clients: Vec<Client>,
    unreachable: Option<Unreachable>,
    gate: Gate,
    _slow_clients: Vec<Client>,
    _discovery: Discovery,
    _counters: Vec<Counter>,
    _queue_fill: Vec<TcpStream>,
}

impl StageScenario {
    fn start(stage: RequestStage, cancellation_allowed: bool) -> Self {
        let gate = Gate::default();
        let server_gate = gate.clone();
        let server = Server::start(move |message| respond(stage, &server_gate, message));
        let unreachable = (stage == RequestStage::Connecting).then(Unreachable::new);
        let mut members = many_endpoints_at(unreachable.as_ref().map_or(server.address, |u| u.address));
        if stage == RequestStage::AwaitingConcurrencySlot {
            members.truncate(10);
        }
        let (mut setup, discovery, counter) = around(&members);
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
    fn release(&mut self) {
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
    fn attempts_before_release(&self) -> usize {
        match self.stage {
            RequestStage::AwaitingRetry | RequestStage::AwaitingHedge => self.clients.len(),
            _ => 0,
        }
    }

    fn disconnecting_clients(&mut self) -> DisconnectingClients<'_> {
        let clients = std::mem::take(&mut self.clients);
        DisconnectingClients { gateway: &self.gateway, server: &self.server, clients }
    }
}

/// What has to have happened before requests can be held in this stage.
fn prepare(stage: RequestStage, gateway: &Limiter, counters: &[Counter]) {
    match stage {
        RequestStage::AwaitingCounter => {
            let gated = counters.last().expect("a counter");
            eventually("connections", || gated.connections.load(Ordering::SeqCst) >= 4);
        }
        RequestStage::AwaitingHedge => {
            // A hedged request follows after eight mean response times, which are about 0.1 s by then.
            let mut client = gateway.client();
            (0..40).for_each(|_| assert_eq!(client.look().status(), 200));
        }
        _ => {}
    }
}

/// Sends slow requests that take all slots for which others then wait.
fn take_slots(stage: RequestStage, gateway: &Limiter, server: &Server) -> Vec<Client> {
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

fn send_requests_for(stage: RequestStage, gateway: &Limiter) -> Vec<Client> {
    match stage {
        RequestStage::AwaitingHedge => {
            (0..5).map(|_| send_idempotent_request(gateway, "disconnected")).collect()
        }
        RequestStage::AwaitingConcurrencySlot => send_requests(gateway, "disconnected", 15),
        _ => send_requests(gateway, "disconnected", 50),
    }
}

/// What a request waits for happens while the gateway is paused, and so do the disconnects of the clients. When the
/// gateway goes on, it finds both at once and must not begin attempts for clients that have gone.
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

/// Clients disconnect from a running gateway, and 0.1 s later what their requests wait for happens. No attempt may
/// begin. (A connection that comes up that late has a test above: where cancellation is allowed, none does.)
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

/// Clients disconnect from a running gateway just when what their requests wait for happens. Attempts that have
/// begun by then are unavoidable; later than 0.1 s after the disconnects there must be none.
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
