//! A stub of a server behind the gateway.

use super::{endpoint_entry, eventually, read_message, response_bytes, Message};
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How a stub server responds to a request.
pub enum StubResponse {
    /// Writes the bytes.
    Write(Vec<u8>),
    /// Writes the bytes after a delay.
    Delayed(Duration, Vec<u8>),
    /// Writes the bytes and closes the connection.
    Close(Vec<u8>),
    /// Writes the bytes and, after a delay, resets the connection.
    Reset(Vec<u8>, Duration),
    /// Writes the first bytes, and after a delay the second bytes, which no request has asked for.
    WriteTwice(Vec<u8>, Duration, Vec<u8>),
    /// Writes the bytes one by one, with a pause between two of them, for up to 1.5 s.
    ByteByByte(Vec<u8>),
    /// Writes nothing and leaves the connection open.
    NoResponse,
}

/// A stub server. A function given at its start decides how it responds to each request.
pub struct Server {
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The requests that were received.
    pub requests: Arc<Mutex<Vec<Message>>>,
    /// Number of connections that were accepted.
    pub connections: Arc<AtomicUsize>,
    /// For each closed connection, how long it had been idle when the gateway closed it, or zero if the
    /// server closed it.
    pub idle_before_close: Receiver<Duration>,
    /// Receives an item when the second write of a [`StubResponse::WriteTwice`] is done.
    pub second_writes: Receiver<()>,
}

impl Server {
    /// Starts a server on a free port. `respond` returns the response to a request.
    pub fn start(respond: impl Fn(&Message) -> StubResponse + Send + Sync + 'static) -> Server {
        Server::start_on(TcpListener::bind("127.0.0.1:0").expect("no port could be bound"), respond)
    }

    /// Starts a server on `listener`. `respond` returns the response to a request.
    pub(super) fn start_on(
        listener: TcpListener,
        respond: impl Fn(&Message) -> StubResponse + Send + Sync + 'static,
    ) -> Server {
        let address = listener.local_addr().expect("the listener has no address");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let connections = Arc::new(AtomicUsize::new(0));
        let (idle_sender, idle_before_close) = channel();
        let (write_sender, second_writes) = channel();
        let handler = Handler {
            respond: Arc::new(respond),
            requests: requests.clone(),
            idle_before_close: idle_sender,
            second_writes: write_sender,
        };
        let accepted = connections.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepted.fetch_add(1, Ordering::SeqCst);
                let handler = handler.clone();
                std::thread::spawn(move || handler.serve(stream));
            }
        });
        Server { address, requests, connections, idle_before_close, second_writes }
    }

    /// Starts a server that answers each request with status 200 and the request line as the body.
    pub fn ok() -> Server {
        Server::start(|message| {
            StubResponse::Write(response_bytes(
                "200 OK",
                "X-Backend-Load: queue=0\r\n",
                message.start_line.as_bytes(),
            ))
        })
    }

    /// Number of requests that were received.
    pub fn request_count(&self) -> usize {
        self.requests.lock().expect("lock poisoned").len()
    }
}

/// Returns endpoint entries with many ids for one server, so that no test reaches the concurrency limit of an
/// endpoint.
pub fn endpoints_of(server: &Server) -> Vec<String> {
    (10..40).map(|id| endpoint_entry(&format!("s-000000{id}"), server.address, "Ready")).collect()
}

/// Serves the connections to a server.
#[derive(Clone)]
struct Handler {
    respond: Arc<dyn Fn(&Message) -> StubResponse + Send + Sync>,
    requests: Arc<Mutex<Vec<Message>>>,
    idle_before_close: Sender<Duration>,
    second_writes: Sender<()>,
}

impl Handler {
    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("the socket could not be cloned"));
        loop {
            let idle_since = Instant::now();
            let Some(message) = read_message(&mut reader) else {
                let _ = self.idle_before_close.send(idle_since.elapsed());
                return;
            };
            self.requests.lock().expect("lock poisoned").push(message.clone());
            match (self.respond)(&message) {
                StubResponse::Write(bytes) => _ = stream.write_all(&bytes),
                StubResponse::WriteTwice(bytes, wait, second_bytes) => {
                    self.write_twice(&mut stream, bytes, wait, second_bytes)
                }
                StubResponse::Delayed(wait, bytes) => {
                    std::thread::sleep(wait);
                    let _ = stream.write_all(&bytes);
                }
                StubResponse::Close(bytes) => {
                    write_and_close(&mut stream, &bytes);
                    drop((stream, reader));
                    let _ = self.idle_before_close.send(Duration::ZERO);
                    return;
                }
                StubResponse::Reset(bytes, wait) => {
                    let _ = stream.write_all(&bytes);
                    std::thread::sleep(wait);
                    SockRef::from(&stream)
                        .set_linger(Some(Duration::ZERO))
                        .expect("the linger option could not be set");
                    drop((stream, reader));
                    let _ = self.idle_before_close.send(Duration::ZERO);
                    return;
                }
                StubResponse::ByteByByte(bytes) => write_byte_by_byte(&mut stream, &bytes),
                StubResponse::NoResponse => {}
            }
        }
    }

    /// Writes both parts; if `wait` is zero, in a single write.
    fn write_twice(&self, stream: &mut TcpStream, bytes: Vec<u8>, wait: Duration, second_bytes: Vec<u8>) {
        if wait.is_zero() {
            let _ = stream.write_all(&[bytes, second_bytes].concat());
        } else {
            let _ = stream.write_all(&bytes);
            std::thread::sleep(wait);
            let _ = stream.write_all(&second_bytes);
        }
        let _ = self.second_writes.send(());
    }
}

/// Writes the bytes one by one, until the time of [`StubResponse::ByteByByte`] is over or the peer closes the
/// connection.
fn write_byte_by_byte(stream: &mut TcpStream, bytes: &[u8]) {
    let _ = stream.set_nodelay(true);
    let end = Instant::now() + Duration::from_millis(1500);
    for byte in bytes {
        if Instant::now() > end || stream.write_all(&[*byte]).is_err() {
            return;
        }
        std::thread::sleep(Duration::from_micros(500));
    }
}

/// Writes the bytes and closes the stream for writing. Returns once the peer's socket has received the close.
fn write_and_close(stream: &mut TcpStream, bytes: &[u8]) {
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(std::net::Shutdown::Write);
    eventually("the peer's socket receives the close", || !is_close_pending(stream));
}

/// Whether the peer's socket has not received the close yet. A busy machine delivers the close some time
/// after the call that closes the stream has returned; until then the kernel shows this end in state
/// FIN_WAIT1.
fn is_close_pending(stream: &TcpStream) -> bool {
    const FIN_WAIT1: &str = "04";
    let (Ok(local), Ok(peer)) = (stream.local_addr(), stream.peer_addr()) else { return false };
    let local_port = format!(":{:04X}", local.port());
    let peer_port = format!(":{:04X}", peer.port());
    let table =
        std::fs::read_to_string("/proc/net/tcp").expect("the kernel's connection table could not be read");
    let mut rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    rows.any(|row| row[1].ends_with(&local_port) && row[2].ends_with(&peer_port) && row[3] == FIN_WAIT1)
}
