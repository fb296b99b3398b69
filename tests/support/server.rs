//! A stub of a server.

use super::{answer, eventually, member, read_message, Message};
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
    Late(Duration, Vec<u8>),
    /// Writes these bytes and closes.
    Close(Vec<u8>),
    /// Writes bytes, waits, and writes others that nobody asked for.
    Twice(Vec<u8>, Duration, Vec<u8>),
    /// Writes nothing until the gateway closes.
    Silence,
}

/// A server whose `act` decides on each request.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    /// The requests that have come.
    pub seen: Arc<Mutex<Vec<Message>>>,
    /// How many connections were accepted.
    pub connections: Arc<AtomicUsize>,
    /// How long each connection had been quiet when the gateway closed it; zero where the server did.
    pub closed: Receiver<Duration>,
    /// The second write of each [`StubResponse::Twice`] is done.
    pub wrote: Receiver<()>,
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
        let seen = Arc::new(Mutex::new(Vec::new()));
        let connections = Arc::new(AtomicUsize::new(0));
        let (closed_sender, closed) = channel();
        let (wrote_sender, wrote) = channel();
        let handler =
            Handler { act: Arc::new(act), seen: seen.clone(), closed: closed_sender, wrote: wrote_sender };
        let accepted = connections.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepted.fetch_add(1, Ordering::SeqCst);
                let handler = handler.clone();
                std::thread::spawn(move || handler.serve(stream));
            }
        });
        Server { address, seen, connections, closed, wrote }
    }

    /// A server that answers each request with its request line.
    pub fn ok() -> Server {
        Server::start(|message| {
            StubResponse::Write(answer("200 OK", "X-Backend-Load: queue=0\r\n", message.start.as_bytes()))
        })
    }

    /// Requests that have come.
    pub fn count(&self) -> usize {
        self.seen.lock().expect("a lock").len()
    }
}

/// A server's entries under many ids, so that no limit on requests in flight at one is met.
pub fn endpoints_of(server: &Server) -> Vec<String> {
    (10..40).map(|id| member(&format!("s-000000{id}"), server.address, "Ready")).collect()
}

/// Serves connections of a server.
#[derive(Clone)]
struct Handler {
    act: Arc<dyn Fn(&Message) -> StubResponse + Send + Sync>,
    seen: Arc<Mutex<Vec<Message>>>,
    closed: Sender<Duration>,
    wrote: Sender<()>,
}

impl Handler {
    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
        loop {
            let quiet_since = Instant::now();
            let Some(message) = read_message(&mut reader) else {
                let _ = self.closed.send(quiet_since.elapsed());
                return;
            };
            self.seen.lock().expect("a lock").push(message.clone());
            match (self.act)(&message) {
                StubResponse::Write(bytes) => _ = stream.write_all(&bytes),
                StubResponse::Twice(bytes, wait, more) => self.write_twice(&mut stream, bytes, wait, more),
                StubResponse::Late(wait, bytes) => {
                    std::thread::sleep(wait);
                    let _ = stream.write_all(&bytes);
                }
                StubResponse::Close(bytes) => {
                    write_and_close(&mut stream, &bytes);
                    drop((stream, reader));
                    let _ = self.closed.send(Duration::ZERO);
                    return;
                }
                StubResponse::Silence => {}
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
        let _ = self.wrote.send(());
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
