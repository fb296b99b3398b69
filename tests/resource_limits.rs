//! The gateway stays within its resource limits and leaks no resources. Disconnecting clients, invalid
//! requests and unusable responses must not leak descriptors, counter connections or correlation ids. Idle or
//! busy clients must not take the descriptors that discovery, the counter and servers need.

#[allow(dead_code)] // each test file uses only some of its items
mod support;

use socket2::SockRef;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{
    endpoint_entry, endpoint_list, endpoints_of, eventually, memory, response_bytes, start_stubs, Client,
    Counter, Discovery, Gate, GatewayProcess, Message, Server, Setup, StubResponse,
};

/// Number of file descriptors that the gateway has open.
fn descriptors(gateway: &GatewayProcess) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", gateway.child.id()))
        .expect("the descriptors of the gateway could not be read")
        .count()
}

/// Sixty clients connect at once to a gateway that keeps at most eight client connections open. Each client
/// must get its response, and the number of descriptors must stay within the limit while the clients wait.
#[test]
fn a_burst_of_clients_stays_within_the_connection_limit_and_each_client_is_served() {
    let gate = Gate::default();
    let server = gated_server(&gate);
    let (mut setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
    // With 0 sockets the gateway uses its minimum: eight client connections and eight server connections.
    setup.sockets = 0;
    let gateway = setup.start();
    let before = descriptors(&gateway);
    // All connections are in the accept queue before the gateway accepts the first one.
    gateway.signal("-STOP");
    let mut clients: Vec<Client> = (0..60).map(|_| gateway.client()).collect();
    clients.iter_mut().for_each(|client| client.send("POST", "long", "X-Time-Left: 20\r\n", b"{}"));
    gateway.signal("-CONT");
    eventually("the server receives the first eight attempts", || server.request_count() >= 8);
    let during_burst = descriptors(&gateway);
    assert!(during_burst <= before + 8 + 8, "{during_burst} descriptors during the burst, {before} before");
    gate.open();
    for client in &mut clients {
        assert_eq!(client.read().map(|response| response.status()), Some(200));
    }
}

/// Starts a server that responds only once the gate is open.
fn gated_server(gate: &Gate) -> Server {
    let gate = gate.clone();
    Server::start(move |_| {
        gate.wait();
        StubResponse::Write(response_bytes("200 OK", "", b""))
    })
}

/// Maximum number of descriptors of a gateway without clients: 30 of its own, and 24 connections to peers
/// that it keeps open.
const DESCRIPTORS_AT_REST: usize = 30 + 24;
/// Maximum growth of the memory after the first round, kB.
const MAX_MEMORY_GROWTH: usize = 4096;
/// Number of connections that the gateway keeps to the counter.
const COUNTER_CONNECTIONS: usize = 4;

/// In each of four rounds, clients disconnect, reset their connections and send invalid data, and servers
/// send unusable responses. The number of descriptors must return to its level after each round, and the
/// memory must grow by less than [`MAX_MEMORY_GROWTH`] between the first and the last round.
#[test]
fn disconnects_invalid_requests_and_unusable_responses_leak_no_resources() {
    let server = server_with_unusable_responses();
    let (mut setup, _discovery, counter) = start_stubs(&endpoints_of(&server));
    setup.sockets = 400;
    let gateway = setup.start();
    assert_eq!(gateway.client().get_idempotent().status(), 200);
    let counter_connections = || counter.connections.load(Ordering::SeqCst);
    eventually("the gateway opens its connections to the counter", || {
        counter_connections() >= COUNTER_CONNECTIONS
    });
    let mut memory_levels = Vec::new();
    for _ in 0..4 {
        (0..60).for_each(|kind| send_and_disconnect(gateway.client(), kind));
        // The gateway must answer each of these requests, although the server's responses are unusable.
        for _ in 0..8 {
            assert_eq!(gateway.client().post_non_idempotent("0.3").status() / 100, 5);
        }
        assert_correlation_id_is_released(&gateway);
        eventually("the number of descriptors returns to its level", || {
            descriptors(&gateway) <= DESCRIPTORS_AT_REST
        });
        memory_levels.push(memory(&gateway));
    }
    // The first round allocates buffers, so the memory is compared with its level after that round.
    let (first, last) = (memory_levels[0], memory_levels[memory_levels.len() - 1]);
    assert!(
        last < first + MAX_MEMORY_GROWTH,
        "the memory grew too much after the first round: {memory_levels:?} kB"
    );
    assert!(counter_connections() <= COUNTER_CONNECTIONS, "the gateway replaced connections to the counter");
    assert_eq!(gateway.client().get_idempotent().status(), 200);
}

/// Starts a server that responds to requests of the class `once` in turn with nothing, bytes that are no
/// HTTP, a response whose body is far too long, and a truncated response. It responds normally to all other
/// requests.
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

/// Sends a request, invalid data or half a request, and disconnects. `kind` selects one of four combinations.
fn send_and_disconnect(mut client: Client, kind: usize) {
    match kind % 4 {
        0 => client.send("POST", "once", "X-Time-Left: 1.9\r\n", b"{}"),
        1 => {
            client.send("POST", "once", "X-Time-Left: 1.9\r\n", b"{}");
            // Without linger time, the close resets the connection.
            SockRef::from(&client.stream)
                .set_linger(Some(Duration::ZERO))
                .expect("the linger option could not be set");
        }
        2 => _ = client.stream.write_all(&[b'x'; 30_000]),
        // Half a request.
        _ => _ = client.stream.write_all(b"POST /once HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf"),
    }
}

/// Checks that the gateway releases the correlation id of a request in flight when its client disconnects:
/// the same id must be usable again.
fn assert_correlation_id_is_released(gateway: &GatewayProcess) {
    const REQUEST: &[u8] = b"GET /look?customer=00000000b4d65521 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: same\r\n\
        X-Service-Class: look\r\nX-Plan: team\r\nX-Time-Left: 1.9\r\nX-Quota: units=1,spread=2,first=0\r\n\r\n";
    drop(gateway.client().stream.write_all(REQUEST));
    eventually("the gateway releases the correlation id", || {
        gateway.client().exchange_bytes(REQUEST).is_some_and(|response| response.status() == 200)
    });
}

/// The smallest socket limit, set both in the configuration and as the descriptor limit of the process.
const MIN_SOCKETS: usize = 256;
/// Number of descriptors that the gateway reserves for itself and for its connections to discovery and the
/// counter.
const RESERVED_DESCRIPTORS: usize = 24;
/// Time within which a new list must be applied once discovery responds again.
const LIST_APPLY_TIMEOUT: Duration = Duration::from_secs(6);

/// A gateway with the smallest socket limit whose discovery agent is down, and the peers of a new
/// configuration, whose discovery agent does not respond at first.
struct GatewayAtSocketLimit {
    gateway: GatewayProcess,
    /// The setup of the new configuration.
    setup: Setup,
    new_discovery: Discovery,
    new_counter: Counter,
    /// The first discovery agent and counter, which have to exist for as long as the gateway.
    _old_peers: (Discovery, Counter),
}

impl GatewayAtSocketLimit {
    fn start(server: &Server, new_server: &Server) -> Self {
        let members = |server: &Server| -> Vec<String> {
            (10..70).map(|id| endpoint_entry(&format!("s-000000{id}"), server.address, "Ready")).collect()
        };
        let (mut setup, discovery, counter) = start_stubs(&members(server));
        setup.sockets = MIN_SOCKETS;
        setup.descriptor_limit = Some(MIN_SOCKETS);
        let gateway = setup.start();
        eventually("the gateway opens a watch", || discovery.watch_count() > 0);
        eventually("the gateway opens its connections to the counter", || has_connections(&counter));
        let new_discovery = Discovery::start(endpoint_list(7, true, &members(new_server)));
        let new_counter = Counter::ok();
        for agent in [&discovery, &new_discovery] {
            agent.unresponsive.store(true, Ordering::SeqCst);
        }
        discovery.reset();
        setup.discovery = new_discovery.address;
        setup.counter = new_counter.address;
        GatewayAtSocketLimit { gateway, setup, new_discovery, new_counter, _old_peers: (discovery, counter) }
    }

    /// Reloads the configuration, lets the new discovery agent respond and waits until the gateway has
    /// applied its list. This fails if a connection to discovery or to the counter gets no descriptor.
    fn move_to_new_peers(&self) {
        let GatewayAtSocketLimit { gateway, setup, new_discovery, new_counter, .. } = self;
        gateway.reload(&setup.config());
        eventually("the gateway calls the silent discovery agent", || new_discovery.call_count() > 0);
        eventually("the gateway opens its connections to the new counter", || has_connections(new_counter));
        let started = Instant::now();
        new_discovery.unresponsive.store(false, Ordering::SeqCst);
        eventually("the gateway opens a watch after it has read the list", || {
            new_discovery.watch_count() > 0
        });
        let elapsed = started.elapsed();
        let descriptors = descriptors(gateway);
        println!(
            "the list was applied {elapsed:.2?} after discovery responded again, {descriptors} descriptors"
        );
        assert!(elapsed < LIST_APPLY_TIMEOUT, "the list was applied only after {elapsed:?}");
        let requests = new_discovery.request_lines.lock().expect("lock poisoned").clone();
        assert!(
            requests.iter().any(|request| request.contains("since=7")),
            "no watch from revision 7: {requests:?}"
        );
    }
}

fn has_connections(counter: &Counter) -> bool {
    counter.connections.load(Ordering::SeqCst) >= COUNTER_CONNECTIONS
}

/// Far more idle clients than there are descriptors connect, and more keep connecting. The connections to
/// discovery, the counter and servers, and a client with a request, must still get descriptors.
#[test]
fn idle_clients_take_no_descriptors_from_peers_or_requests() {
    let (server, new_server) = (Server::ok(), Server::ok());
    let at_limit = GatewayAtSocketLimit::start(&server, &new_server);
    let gateway = &at_limit.gateway;
    // These clients connect before the gateway moves to the new peers, and half of them send one request.
    // More clients connect during the move.
    let mut idle: Vec<Client> = (0..200).map(|_| gateway.client()).collect();
    for client in idle.iter_mut().step_by(2) {
        // The gateway may have closed this connection because it needed the descriptor.
        _ = client.exchange_bytes(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    let address = gateway.address;
    let connected = Arc::new(AtomicUsize::new(0));
    let connected_count = connected.clone();
    let connecting = std::thread::spawn(move || {
        let connect = |_| {
            let client = Client::connect(address);
            connected.fetch_add(1, Ordering::SeqCst);
            client
        };
        (0..400).map(connect).collect::<Vec<_>>()
    });
    at_limit.move_to_new_peers();
    eventually("more idle clients have connected than there are descriptors", || {
        connected_count.load(Ordering::SeqCst) > MIN_SOCKETS
    });
    // The gateway still serves a client with a request, and uses the new list for it.
    let before = server.request_count();
    eventually("the gateway responds with status 200", || {
        let mut client = gateway.client();
        client.send("GET", "look", "X-Time-Left: 2.0\r\n", b"");
        client.read().is_some_and(|response| response.status() == 200)
    });
    assert_eq!(
        server.request_count(),
        before,
        "a request was sent to a server that the new list does not contain"
    );
    assert!(new_server.request_count() > 0, "no request was sent to the server of the new list");
    assert!(descriptors(gateway) <= MIN_SOCKETS, "the gateway has more descriptors than the limit");
    drop((idle, connecting.join().expect("the thread that connects clients panicked")));
}

/// All client connections that the gateway accepts have a request in flight. The connections to discovery and
/// the counter must still get descriptors.
#[test]
fn requests_in_flight_on_all_client_connections_take_no_descriptors_from_peers() {
    let gate = Gate::default();
    let server = gated_server(&gate);
    let new_server = Server::ok();
    let at_limit = GatewayAtSocketLimit::start(&server, &new_server);
    let gateway = &at_limit.gateway;
    // All connections are in the accept queue before the gateway accepts the first one.
    gateway.signal("-STOP");
    let mut clients: Vec<Client> = (0..MIN_SOCKETS).map(|_| gateway.client()).collect();
    clients.iter_mut().for_each(|client| client.send("POST", "long", "X-Time-Left: 30\r\n", b"{}"));
    gateway.signal("-CONT");
    // Clients get half of the remaining descriptors. The other half is for connections to servers, one for
    // each request.
    let max_clients = (MIN_SOCKETS - RESERVED_DESCRIPTORS) / 2;
    eventually("the server receives an attempt for each accepted request", || {
        server.request_count() >= max_clients
    });
    assert_eq!(server.request_count(), max_clients, "the gateway accepted more clients than their share");
    at_limit.move_to_new_peers();
    assert!(descriptors(gateway) <= MIN_SOCKETS, "the gateway has more descriptors than the limit");
    gate.open();
    for client in &mut clients {
        assert_eq!(client.read().map(|response| response.status()), Some(200));
    }
    assert!(new_server.request_count() > 0, "no request was sent to the server of the new list");
}
