//! Clients that send requests and disconnect in different ways.

use crate::support::{Client, GatewayProcess, Message, Server};
use socket2::SockRef;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DisconnectKind {
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

pub const DISCONNECT_KINDS: [DisconnectKind; 6] = [
    DisconnectKind::Close,
    DisconnectKind::Reset,
    DisconnectKind::HalfCloseThenClose,
    DisconnectKind::PartialRequestBehind,
    DisconnectKind::FullBuffersBehind,
    DisconnectKind::Simultaneous,
];

/// Clients that disconnect together.
pub fn client_count(kind: DisconnectKind) -> usize {
    if kind == DisconnectKind::Simultaneous {
        20
    } else {
        1
    }
}

pub fn disconnect(client: Client, kind: DisconnectKind) {
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

/// Disconnects these clients at the same time, in all ways. Returns those that have half-closed and still
/// read.
pub fn disconnect_all(clients: Vec<Client>) -> Vec<Client> {
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

/// Sends a request that can be told from others by the name in its path.
pub fn send_request(gateway: &GatewayProcess, name: &str) -> Client {
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

pub fn send_requests(gateway: &GatewayProcess, name: &str, count: usize) -> Vec<Client> {
    (0..count).map(|_| send_request(gateway, name)).collect()
}

/// Sends a request of the idempotent class, which may be hedged.
pub fn send_idempotent_request(gateway: &GatewayProcess, name: &str) -> Client {
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
pub fn attempts_seen(server: &Server, name: &str) -> usize {
    server.seen.lock().expect("a lock").iter().filter(|message| has_name(message, name)).count()
}

pub fn has_name(message: &Message, name: &str) -> bool {
    message.start.contains(&format!("&name={name} "))
}

/// Waits until the gateway has read what was written to it before: it answers in order.
pub fn wait_until_read(gateway: &GatewayProcess) {
    assert_eq!(gateway.client().get("/healthz", "").status(), 200);
}
