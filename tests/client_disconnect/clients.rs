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
    /// Sends a part of a further request after the one in flight, and closes.
    CloseAfterPartialRequest,
    /// Sends more bytes after the request than the gateway's buffers hold, so that some stay unread, and
    /// resets.
    ResetAfterFullBuffers,
    /// Closes at the same time as many other clients.
    Simultaneous,
}

pub const DISCONNECT_KINDS: [DisconnectKind; 6] = [
    DisconnectKind::Close,
    DisconnectKind::Reset,
    DisconnectKind::HalfCloseThenClose,
    DisconnectKind::CloseAfterPartialRequest,
    DisconnectKind::ResetAfterFullBuffers,
    DisconnectKind::Simultaneous,
];

/// Number of clients that disconnect together.
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
        DisconnectKind::HalfCloseThenClose => {
            stream.shutdown(Shutdown::Write).expect("failed to shut down sending")
        }
        DisconnectKind::CloseAfterPartialRequest => {
            stream.write_all(b"GET /look?customer=0000").expect("failed to send a partial request");
        }
        DisconnectKind::ResetAfterFullBuffers => {
            stream.set_nonblocking(true).expect("failed to make the socket non-blocking");
            let more = vec![b'x'; 1 << 16];
            while stream.write(&more).is_ok() {}
            reset_on_close(&stream);
        }
    }
}

fn reset_on_close(stream: &TcpStream) {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("failed to set SO_LINGER");
}

/// Disconnects these clients at the same time, with all kinds of disconnect. Returns the clients that have
/// only shut down sending and still read.
pub fn disconnect_all(clients: Vec<Client>) -> Vec<Client> {
    let mut half_closed = Vec::new();
    for (i, client) in clients.into_iter().enumerate() {
        match i % 50 {
            0..10 => {
                client.stream.shutdown(Shutdown::Write).expect("failed to shut down sending");
                half_closed.push(client);
            }
            49 => disconnect(client, DisconnectKind::ResetAfterFullBuffers),
            i => disconnect(client, DISCONNECT_KINDS[i % 4]),
        }
    }
    half_closed
}

/// Sends a request with a name in its query, by which the stubs recognise it.
pub fn send_request(gateway: &GatewayProcess, name: &str) -> Client {
    static NEXT_ID: AtomicUsize = AtomicUsize::new(0);
    let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    let mut client = gateway.client();
    // The class has the longest deadline, so that no timeout ends a request that waits at a gate.
    let request = format!(
        "POST /long?customer=00000000b4d65521&name={name} HTTP/1.1\r\nHost: x\r\n\
         X-Correlation-Id: {name}{id}\r\nX-Service-Class: long\r\nX-Plan: team\r\nX-Time-Left: 29\r\n\
         X-Quota: units=1,spread={gateway_count},first=0\r\nContent-Length: 2\r\n\r\n{{}}",
        gateway_count = gateway.gateways,
    );
    client.stream.write_all(request.as_bytes()).expect("failed to send a request");
    client
}

pub fn send_requests(gateway: &GatewayProcess, name: &str, count: usize) -> Vec<Client> {
    (0..count).map(|_| send_request(gateway, name)).collect()
}

/// Sends a request of the idempotent class, which may be hedged.
pub fn send_idempotent_request(gateway: &GatewayProcess, name: &str) -> Client {
    let mut client = gateway.client();
    let port = client.stream.local_addr().expect("the socket has no address").port();
    let request = format!(
        "GET /look?customer=00000000b4d65521&name={name} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: l{port}\r\n\
         X-Service-Class: look\r\nX-Plan: team\r\nX-Time-Left: 2.0\r\nX-Quota: units=1,spread=2,first=0\r\n\r\n"
    );
    client.stream.write_all(request.as_bytes()).expect("failed to send a request");
    client
}

/// Number of attempts that the server has seen of requests with this name.
pub fn attempts_seen(server: &Server, name: &str) -> usize {
    server.requests.lock().expect("poisoned lock").iter().filter(|message| has_name(message, name)).count()
}

/// Whether the request has this name; see [`send_request`].
pub fn has_name(message: &Message, name: &str) -> bool {
    message.start_line.contains(&format!("&name={name} "))
}

/// Waits until the gateway has read all bytes that were written to it before. It answers in order, so one
/// health check is enough.
pub fn wait_until_gateway_has_read_all(gateway: &GatewayProcess) {
    assert_eq!(gateway.client().get("/healthz", "").status(), 200);
}
