//! The gateway stays within its memory limit and serves its usual clients while other clients misbehave, at the
//! smallest limits that the operators set: 32 MB and 256 descriptors.

#[allow(dead_code)] // each test program uses only some of the helpers
mod support;

use std::io::Write;
use std::net::TcpStream;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use support::{
    endpoints_of, peak_memory, response_bytes, start_stubs, Client, Counter, Discovery, GatewayProcess,
    Server, StubResponse,
};

/// The memory limit, MB.
const MEMORY_MB: f64 = 32.0;
/// The limit on descriptors.
const SOCKETS: usize = 256;
/// Length of the largest body that the gateway accepts, bytes.
const LARGEST_BODY: usize = 64 * 1024;

/// A gateway at the smallest limits, with its peers.
struct LimitedGateway {
    gateway: GatewayProcess,
    _peers: (Discovery, Counter),
}

impl LimitedGateway {
    fn start(server: &Server) -> Self {
        let (mut setup, discovery, counter) = start_stubs(&endpoints_of(server));
        setup.memory_mb = MEMORY_MB;
        setup.sockets = SOCKETS;
        setup.descriptor_limit = Some(SOCKETS);
        LimitedGateway { gateway: setup.start(), _peers: (discovery, counter) }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.gateway.address).expect("the client could not connect");
        stream.set_nodelay(true).expect("TCP_NODELAY could not be set");
        stream
    }

    /// Asserts that the memory has always been within the limit.
    fn assert_within_memory_limit(&self) {
        let peak = peak_memory(&self.gateway);
        println!("{peak} kB of memory at most");
        assert!(peak as f64 * 1024.0 < MEMORY_MB * 1e6, "the gateway used {peak} kB");
    }
}

/// The head of a valid request of the class `once`, without the empty line that ends it.
fn head(correlation_id: usize, body_length: usize) -> String {
    format!(
        "POST /once?customer=00000000b4d65521 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: hostile-{correlation_id}\r\n\
         X-Service-Class: once\r\nX-Plan: team\r\nX-Time-Left: 2.0\r\nX-Quota: units=1,spread=2,first=0\r\n\
         Content-Length: {body_length}\r\n"
    )
}

/// Pause between two bytes on a stream. Without it, the gateway would read many bytes at once.
const BYTE_INTERVAL: Duration = Duration::from_millis(1);

/// Writes one byte at a time to each stream in turn, so that the gateway reads the bytes one by one.
fn trickle(mut streams: Vec<TcpStream>, duration: Duration) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            // The gateway may have closed a connection.
            streams.iter_mut().for_each(|stream| _ = stream.write_all(b"x"));
            std::thread::sleep(BYTE_INTERVAL);
        }
    })
}

/// Regression test for an incident: a body that arrived byte by byte occupied a read buffer of 8 KB for each
/// byte, and a few such clients brought a process to many times its memory limit.
#[test]
fn bodies_that_arrive_byte_by_byte_stay_within_the_memory_limit() {
    const WRITERS: usize = 2;
    const CLIENTS_PER_WRITER: usize = 24;
    let server = Server::ok();
    let limited = LimitedGateway::start(&server);
    let connect = |number| {
        let mut stream = limited.connect();
        let head = head(number, LARGEST_BODY) + "\r\n";
        stream.write_all(head.as_bytes()).expect("the head could not be written");
        stream
    };
    let streams = |writer| (0..CLIENTS_PER_WRITER).map(move |i| writer * CLIENTS_PER_WRITER + i).map(connect);
    let writers: Vec<_> =
        (0..WRITERS).map(|writer| trickle(streams(writer).collect(), Duration::from_millis(1800))).collect();
    writers.into_iter().for_each(|writer| writer.join().expect("a writer panicked"));
    limited.assert_within_memory_limit();
    assert_eq!(limited.gateway.client().get_idempotent().status(), 200);
}

/// The same for the responses of servers.
#[test]
fn responses_that_arrive_byte_by_byte_stay_within_the_memory_limit() {
    const CLIENTS: usize = 30;
    let server = Server::start(|_| {
        let response = response_bytes("200 OK", "", &vec![b'x'; LARGEST_BODY]);
        StubResponse::ByteByByte(response)
    });
    let limited = LimitedGateway::start(&server);
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| limited.gateway.client()).collect();
    clients.iter_mut().for_each(|client| client.send("POST", "once", "X-Time-Left: 1.9\r\n", b"{}"));
    for client in &mut clients {
        assert!(client.read().is_some(), "a request got no response");
    }
    limited.assert_within_memory_limit();
}

/// What a client of a crowd does before it stops and stays.
fn begin_request(kind: usize, number: usize) -> Vec<u8> {
    match kind % 4 {
        // Stops before the last bytes of a large body.
        0 => [(head(number, LARGEST_BODY) + "\r\n").into_bytes(), vec![b'x'; LARGEST_BODY - 10]].concat(),
        // A head of very many short fields, up to the limit of a head.
        1 => (head(number, 0) + &"a:\r\n".repeat(3800)).into_bytes(),
        // As many short fields as a head may have, and a part of a large body.
        2 => {
            let fields: String = (0..85).map(|field| format!("f{field}:\r\n")).collect();
            [(head(number, LARGEST_BODY) + &fields + "\r\n").into_bytes(), vec![b'x'; 30_000]].concat()
        }
        // A head with a long field that does not end.
        _ => (head(number, 0) + "X-Long: " + &"x".repeat(15_000)).into_bytes(),
    }
}

/// Hundreds of clients are connected at once, stop in the middle of a large request or send heads of very many
/// short fields, and stay. The usual clients must be served meanwhile.
#[test]
fn a_crowd_that_stops_within_large_requests_stays_within_the_memory_limit() {
    const CLIENTS: usize = 400;
    let server = Server::ok();
    let limited = LimitedGateway::start(&server);
    let mut crowd = Vec::new();
    for number in 0..CLIENTS {
        let mut stream = limited.connect();
        // The gateway may already have closed the connection, or may not read before another one is closed.
        stream.set_write_timeout(Some(Duration::from_millis(20))).expect("the timeout could not be set");
        let _ = stream.write_all(&begin_request(number, number));
        crowd.push(stream);
        if number % 20 == 0 {
            assert_eq!(limited.gateway.client().get_idempotent().status(), 200);
        }
    }
    limited.assert_within_memory_limit();
}

/// Number of requests that a flooding client writes at once.
const FLOOD_BATCH: usize = 100;
/// Time for which a client floods the gateway.
const FLOOD_DURATION: Duration = Duration::from_secs(3);
/// Longest time that a usual client may wait for its answer.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(500);

/// Requests of the class `look`, each of a tenant that has not sent one before, with too little time left to be
/// forwarded.
fn late_requests_of_new_tenants(first_number: usize) -> Vec<u8> {
    let request = |number| {
        format!(
            "GET /look?customer={number:016x} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: flood-{number}\r\n\
             X-Service-Class: look\r\nX-Plan: team\r\nX-Time-Left: 0.001\r\nX-Quota: units=1,spread=2,first=0\r\n\r\n"
        )
    };
    (first_number..first_number + FLOOD_BATCH).map(request).collect::<String>().into_bytes()
}

/// Writes requests on one connection at full speed and reads the answers. Returns the number of requests.
fn flood(mut stream: TcpStream) -> JoinHandle<usize> {
    std::thread::spawn(move || {
        let mut reader = stream.try_clone().expect("the socket could not be cloned");
        let reading = std::thread::spawn(move || std::io::copy(&mut reader, &mut std::io::sink()));
        let end = Instant::now() + FLOOD_DURATION;
        let mut number = 1_000;
        while Instant::now() < end {
            stream
                .write_all(&late_requests_of_new_tenants(number))
                .expect("the gateway closed the connection");
            number += FLOOD_BATCH;
        }
        drop(stream.shutdown(std::net::Shutdown::Both));
        let _ = reading.join();
        number
    })
}

/// Regression test for an incident: while one client sent small requests of ever new tenants at full speed, the
/// memory grew without end, and the other clients waited longer and longer for their answers.
#[test]
fn a_flood_of_ever_new_tenants_on_one_connection_neither_fills_the_memory_nor_delays_other_clients() {
    let server = Server::ok();
    let limited = LimitedGateway::start(&server);
    let flood = flood(limited.connect());
    let mut client = limited.gateway.client();
    let mut longest = Duration::ZERO;
    while !flood.is_finished() {
        let sent_at = Instant::now();
        assert_eq!(client.get_idempotent().status(), 200);
        longest = longest.max(sent_at.elapsed());
        std::thread::sleep(Duration::from_millis(10));
    }
    println!("{} requests, answers within {longest:?}", flood.join().expect("the flood panicked"));
    assert!(longest < MAX_RESPONSE_TIME, "an answer took {longest:?}");
    limited.assert_within_memory_limit();
}
