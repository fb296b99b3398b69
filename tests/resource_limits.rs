//! What the gateway holds returns to its level: descriptors, connections to the counter and correlation ids
//! in flight, after bursts of clients that disconnect, of clients that send nonsense, and of responses that
//! cannot be used.

#[allow(dead_code)] // each file of tests uses its own part
mod support;

use socket2::SockRef;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{
    endpoint_entry, endpoint_list, endpoints_of, eventually, response_bytes, start_stubs, Client, Counter,
    Discovery, Gate, GatewayProcess, Message, Server, Setup, StubResponse,
};

/// Descriptors that the gateway holds.
fn descriptors(gateway: &GatewayProcess) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", gateway.child.id())).expect("its descriptors").count()
}

/// Memory that the gateway holds, kB.
fn memory(gateway: &GatewayProcess) -> usize {
    let path = format!("/proc/{}/status", gateway.child.id());
    let status = std::fs::read_to_string(path).expect("its status");
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("its memory");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a number")
}

/// Sixty clients connect at once to a gateway that may hold eight. None of them may be lost, and the
/// descriptors may not go beyond the bound meanwhile.
#[test]
fn a_burst_of_connections_stays_within_the_bound_and_each_is_served_in_its_turn() {
    let gate = Gate::default();
    let server = gated_server(&gate);
    let (mut setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
    // Eight clients and eight connections to servers, the least that is set.
    setup.sockets = 0;
    let gateway = setup.start();
    let before = descriptors(&gateway);
    // All stand in the queue before the first is accepted.
    gateway.signal("-STOP");
    let mut clients: Vec<Client> = (0..60).map(|_| gateway.client()).collect();
    clients.iter_mut().for_each(|client| client.send("POST", "long", "X-Time-Left: 20\r\n", b"{}"));
    gateway.signal("-CONT");
    eventually("the first attempts", || server.count() >= 8);
    let held = descriptors(&gateway);
    assert!(held <= before + 8 + 8, "{held} descriptors, {before} before");
    gate.open();
    for client in &mut clients {
        assert_eq!(client.read().map(|response| response.status()), Some(200));
    }
}

/// A server that answers once the gate is open.
fn gated_server(gate: &Gate) -> Server {
    let gate = gate.clone();
    Server::start(move |_| {
        gate.wait();
        StubResponse::Write(response_bytes("200 OK", "", b""))
    })
}

/// The most descriptors of a gateway at rest: its own, and connections to peers that it keeps.
const DESCRIPTORS_AT_REST: usize = 30 + 24;
/// The most that memory may grow after the first round, kB.
const MAX_MEMORY_GROWTH: usize = 4096;
/// Connections to the counter.
const COUNTER_CONNECTIONS: usize = 4;

/// For four rounds clients disconnect, reset and send nonsense, and servers answer with what is no response.
/// After each round the descriptors have to come back to their level, and after the last one the memory.
#[test]
fn disconnected_and_invalid_clients_and_unusable_responses_leave_nothing_behind() {
    let server = server_with_unusable_responses();
    let (mut setup, _discovery, counter) = start_stubs(&endpoints_of(&server));
    setup.sockets = 400;
    let gateway = setup.start();
    assert_eq!(gateway.client().get_idempotent().status(), 200);
    let counter_connections = || counter.connections.load(Ordering::SeqCst);
    eventually("connections to the counter", || counter_connections() >= COUNTER_CONNECTIONS);
    let mut memory_levels = Vec::new();
    for _ in 0..4 {
        (0..60).for_each(|kind| misbehave(gateway.client(), kind));
        // Waits for each to be answered, unusable as the server's responses are.
        for _ in 0..8 {
            assert_eq!(gateway.client().post_non_idempotent("0.3").status() / 100, 5);
        }
        assert_correlation_id_is_released(&gateway);
        eventually("descriptors at their level", || descriptors(&gateway) <= DESCRIPTORS_AT_REST);
        memory_levels.push(memory(&gateway));
    }
    // The first round warms up buffers; later ones add nothing.
    let (first, last) = (memory_levels[0], memory_levels[memory_levels.len() - 1]);
    assert!(last < first + MAX_MEMORY_GROWTH, "memory grows: {memory_levels:?} kB");
    assert!(counter_connections() <= COUNTER_CONNECTIONS, "connections to the counter were replaced");
    assert_eq!(gateway.client().get_idempotent().status(), 200);
}

/// A server that answers requests of one class with silence, noise, an endless body and a cut one in turn.
fn server_with_unusable_responses() -> Server {
    let unusable = AtomicUsize::new(0);
    let endless = ["HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", &"x".repeat(200_000)].concat();
    Server::start(move |request: &Message| {
        if !request.start_line.contains("/once") {
            return StubResponse::Write(response_bytes("200 OK", "", b"good"));
        }
        match unusable.fetch_add(1, Ordering::SeqCst) % 4 {
            0 => StubResponse::NoResponse,
            1 => StubResponse::Write(b"noise without end of a line".to_vec()),
            2 => StubResponse::Write(endless.clone().into_bytes()),
            _ => StubResponse::Close(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec()),
        }
    })
}

/// Disconnects in one of four ways, after a request or what is none.
fn misbehave(mut client: Client, kind: usize) {
    match kind % 4 {
        0 => client.send("POST", "once", "X-Time-Left: 1.9\r\n", b"{}"),
        1 => {
            client.send("POST", "once", "X-Time-Left: 1.9\r\n", b"{}");
            // The close is a reset.
            SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).expect("linger");
        }
        2 => _ = client.stream.write_all(&[b'x'; 30_000]),
        // Half a request.
        _ => _ = client.stream.write_all(b"POST /once HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf"),
    }
}

/// A correlation id in flight is released when its client disconnects: the same one may be used again.
fn assert_correlation_id_is_released(gateway: &GatewayProcess) {
    const REQUEST: &[u8] = b"GET /look?customer=00000000b4d65521 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: same\r\n\
        X-Service-Class: look\r\nX-Plan: team\r\nX-Time-Left: 1.9\r\nX-Quota: units=1,spread=2,first=0\r\n\r\n";
    drop(gateway.client().stream.write_all(REQUEST));
    eventually("the correlation id is released", || {
        gateway.client().exchange_bytes(REQUEST).is_some_and(|response| response.status() == 200)
    });
}

/// The smallest limit on sockets, of the configuration and of the process.
const MIN_SOCKETS: usize = 256;
/// Descriptors that are kept for the gateway itself and its peers.
const RESERVED_DESCRIPTORS: usize = 24;
/// A new list is in force so soon after discovery is back.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(6);

/// A gateway with the smallest limit whose discovery is down, and the peers of a new configuration, whose
/// discovery is silent.
struct LimiterAtLimit {
    gateway: GatewayProcess,
    /// The new configuration.
    setup: Setup,
    new_discovery: Discovery,
    new_counter: Counter,
    /// The first peers, which have to live as long.
    _old_peers: (Discovery, Counter),
}

impl LimiterAtLimit {
    fn start(server: &Server, new_server: &Server) -> Self {
        let members = |server: &Server| -> Vec<String> {
            (10..70).map(|id| endpoint_entry(&format!("s-000000{id}"), server.address, "Ready")).collect()
        };
        let (mut setup, discovery, counter) = start_stubs(&members(server));
        setup.sockets = MIN_SOCKETS;
        setup.descriptor_limit = Some(MIN_SOCKETS);
        let gateway = setup.start();
        eventually("a watch", || discovery.watch_count() > 0);
        eventually("connections to the counter", || has_connections(&counter));
        let new_discovery = Discovery::start(endpoint_list(7, true, &members(new_server)));
        let new_counter = Counter::ok();
        for agent in [&discovery, &new_discovery] {
            agent.unresponsive.store(true, Ordering::SeqCst);
        }
        discovery.reset();
        setup.discovery = new_discovery.address;
        setup.counter = new_counter.address;
        LimiterAtLimit { gateway, setup, new_discovery, new_counter, _old_peers: (discovery, counter) }
    }

    /// Reloads the configuration, lets discovery answer, and waits until its list is in force: all that is no
    /// client's gets its descriptors.
    fn move_to_new_peers(&self) {
        let LimiterAtLimit { gateway, setup, new_discovery, new_counter, .. } = self;
        gateway.reload(&setup.config());
        eventually("a call to the silent discovery", || new_discovery.call_count() > 0);
        eventually("connections to the new counter", || has_connections(new_counter));
        let started = Instant::now();
        new_discovery.unresponsive.store(false, Ordering::SeqCst);
        eventually("a watch after the list", || new_discovery.watch_count() > 0);
        let elapsed = started.elapsed();
        let descriptors = descriptors(gateway);
        println!("in force {elapsed:.2?} after discovery's return, {descriptors} descriptors");
        assert!(elapsed < IN_FORCE_WITHIN, "in force after {elapsed:?}");
        let calls = new_discovery.request_lines.lock().expect("a lock").clone();
        assert!(calls.iter().any(|call| call.contains("since=7")), "{calls:?}");
    }
}

fn has_connections(counter: &Counter) -> bool {
    counter.connections.load(Ordering::SeqCst) >= COUNTER_CONNECTIONS
}

/// Far more idle clients than descriptors are connected and keep connecting. Discovery, the counter, servers
/// and a client with a request still have to get their descriptors.
#[test]
fn idle_clients_that_fill_the_descriptors_take_none_from_peers_or_requests() {
    let (server, new_server) = (Server::ok(), Server::ok());
    let at_limit = LimiterAtLimit::start(&server, &new_server);
    let gateway = &at_limit.gateway;
    // Connected already, half of them after one request; and more that connect meanwhile.
    let mut idle: Vec<Client> = (0..200).map(|_| gateway.client()).collect();
    for client in idle.iter_mut().step_by(2) {
        // One whose descriptor was wanted may have been closed.
        _ = client.exchange_bytes(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    let address = gateway.address;
    let connected = Arc::new(AtomicUsize::new(0));
    let connected_so_far = connected.clone();
    let connecting = std::thread::spawn(move || {
        let connect = |_| {
            let client = Client::connect(address);
            connected.fetch_add(1, Ordering::SeqCst);
            client
        };
        (0..400).map(connect).collect::<Vec<_>>()
    });
    at_limit.move_to_new_peers();
    eventually("more idle clients than descriptors", || {
        connected_so_far.load(Ordering::SeqCst) > MIN_SOCKETS
    });
    // A client with a request is still served, and from the list that is in force now.
    let before = server.count();
    eventually("a response", || {
        let mut client = gateway.client();
        client.send("GET", "look", "X-Time-Left: 2.0\r\n", b"");
        client.read().is_some_and(|response| response.status() == 200)
    });
    assert_eq!(server.count(), before, "sent to a server that is removed");
    assert!(new_server.count() > 0);
    assert!(descriptors(gateway) <= MIN_SOCKETS);
    drop((idle, connecting.join().expect("the connecting clients")));
}

/// All client connections that the gateway accepts have a request in flight. Discovery and the counter still
/// have to get their descriptors.
#[test]
fn requests_in_flight_on_all_client_connections_take_no_descriptor_from_peers() {
    let gate = Gate::default();
    let server = gated_server(&gate);
    let new_server = Server::ok();
    let at_limit = LimiterAtLimit::start(&server, &new_server);
    let gateway = &at_limit.gateway;
    // All stand in the queue before the first is accepted.
    gateway.signal("-STOP");
    let mut clients: Vec<Client> = (0..MIN_SOCKETS).map(|_| gateway.client()).collect();
    clients.iter_mut().for_each(|client| client.send("POST", "long", "X-Time-Left: 30\r\n", b"{}"));
    gateway.signal("-CONT");
    // What the gateway lets clients have, and for each request a connection to its server.
    let client_share = (MIN_SOCKETS - RESERVED_DESCRIPTORS) / 2;
    eventually("an attempt for each", || server.count() >= client_share);
    assert_eq!(server.count(), client_share);
    at_limit.move_to_new_peers();
    assert!(descriptors(gateway) <= MIN_SOCKETS);
    gate.open();
    for client in &mut clients {
        assert_eq!(client.read().map(|response| response.status()), Some(200));
    }
    assert!(new_server.count() > 0, "the list is not in force");
}
