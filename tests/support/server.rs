//! A stub of a server.

use super::{endpoint_entry, eventually, read_message, response_bytes, Message};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a server does with a request.
pub enum StubResponse {
    /// Writes these bytes.
    Write(Vec<u8>),
    /// Waits, then writes.
    Delayed(Duration, Vec<u8>),
    /// Writes these bytes and closes.
    Close(Vec<u8>),
    /// Writes bytes, waits, and writes others that nobody asked for.
    WriteTwice(Vec<u8>, Duration, Vec<u8>),
    /// Writes nothing until the gateway closes.
    NoResponse,
}

/// A server whose `act` decides on each request.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    /// The requests that have come.
    pub requests: Arc<Mutex<Vec<Message>>>,
    /// How many connections were accepted.
    pub connections: Arc<AtomicUsize>,
    /// How long each connection had been quiet when the gateway closed it; zero where the server did.
    pub idle_before_close: Receiver<Duration>,
    /// The second write of each [`StubResponse::WriteTwice`] is done.
    pub second_writes: Receiver<()>,
}

impl Server {
    /// Starts a server.
    pub fn start(act: impl Fn(&Message) -> StubResponse + Send + Sync + 'static) -> Server {
        Server::on(TcpListener::bind("127.0.0.1:0").expect("a port"), act)
    }

    /// Starts a server on a listener.
    pub(super) fn on(
        listener: TcpListener,
        act: impl Fn(&Message) -> StubResponse + Send + Sync + 'static,
    ) -> Server {
        let address = listener.local_addr().expect("an address");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let connections = Arc::new(AtomicUsize::new(0));
        let (idle_sender, idle_before_close) = channel();
        let (write_sender, second_writes) = channel();
        let handler = Handler {
            act: Arc::new(act),
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

    /// A server that answers each request with its request line.
    pub fn ok() -> Server {
        Server::start(|message| {
            StubResponse::Write(response_bytes(
                "200 OK",
                "X-Backend-Load: queue=0\r\n",
                message.start_line.as_bytes(),
            ))
        })
    }

    /// Requests that have come.
    pub fn count(&self) -> usize {
        self.requests.lock().expect("a lock").len()
    }
}

/// A server's entries under many ids, so that no limit on requests in flight at one is met.
pub fn endpoints_of(server: &Server) -> Vec<String> {
    (10..40).map(|id| endpoint_entry(&format!("s-000000{id}"), server.address, "Ready")).collect()
}

/// Serves connections of a server.
#[derive(Clone)]
struct Handler {
    act: Arc<dyn Fn(&Message) -> StubResponse + Send + Sync>,
    requests: Arc<Mutex<Vec<Message>>>,
    idle_before_close: Sender<Duration>,
    second_writes: Sender<()>,
}

impl Handler {
    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
        loop {
            let quiet_since = Instant::now();
            let Some(message) = read_message(&mut reader) else {
                let _ = self.idle_before_close.send(quiet_since.elapsed());
                return;
            };
            self.requests.lock().expect("a lock").push(message.clone());
            match (self.act)(&message) {
                StubResponse::Write(bytes) => _ = stream.write_all(&bytes),
                StubResponse::WriteTwice(bytes, wait, more) => {
                    self.write_twice(&mut stream, bytes, wait, more)
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
                StubResponse::NoResponse => {}
            }
        }
    }

    /// Without a wait all is one write.
    fn write_twice(&self, stream: &mut TcpStream, bytes: Vec<u8>, wait: Duration, more: Vec<u8>) {
        if wait.is_zero() {
            let _ = stream.write_all(&[bytes, more].concat());
        } else {
            let _ = stream.write_all(&bytes);
            std::thread::sleep(wait);
            let _ = stream.write_all(&more);
        }
        let _ = self.second_writes.send(());
    }
}

/// Writes and closes, and returns once the close is in the peer's socket.
fn write_and_close(stream: &mut TcpStream, bytes: &[u8]) {
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(std::net::Shutdown::Write);
    eventually("the close is in the peer's socket", || !close_is_under_way(stream));
}

/// Whether the peer's side has not taken in the close yet: a busy machine delivers it some time after the
/// call that ends the stream has returned. The kernel shows it by the state of this end.
fn close_is_under_way(stream: &TcpStream) -> bool {
    const FIN_WAIT1: &str = "04";
    let (Ok(local), Ok(peer)) = (stream.local_addr(), stream.peer_addr()) else { return false };
    let local_port = format!(":{:04X}", local.port());
    let peer_port = format!(":{:04X}", peer.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table of connections");
    let mut rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    rows.any(|row| row[1].ends_with(&local_port) && row[2].ends_with(&peer_port) && row[3] == FIN_WAIT1)
}
