//! A stub of a discovery agent that holds one endpoint list.

use super::connection::{listen, read_head};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Pause between two pieces of a list, so that the gateway reads each piece separately.
const PIECE_PAUSE: Duration = Duration::from_micros(200);
/// Period of the empty lines that keep a watch open.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// An HTTP chunk that contains an empty line.
const HEARTBEAT_CHUNK: &[u8] = b"2\r\n\r\n\r\n";

/// A discovery agent that holds one endpoint list and can publish changes.
pub struct DiscoveryStub {
    /// Address of the agent.
    pub address: SocketAddr,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    calls: Arc<AtomicUsize>,
}

impl DiscoveryStub {
    /// Starts an agent that writes this list in pieces of `piece_bytes` bytes. If `piece_bytes` is 0, it
    /// writes the list in one piece.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub fn start(list: String, piece_bytes: usize) -> std::io::Result<DiscoveryStub> {
        let piece_bytes = if piece_bytes == 0 { list.len().max(1) } else { piece_bytes };
        let watches = Arc::new(Mutex::new(Vec::new()));
        let calls = Arc::new(AtomicUsize::new(0));
        let agent = ListResponder { list, piece_bytes, watches: watches.clone(), calls: calls.clone() };
        let address = listen(move |stream| agent.serve(stream))?;
        let heartbeat_watches = watches.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(HEARTBEAT);
            write_to_all(&heartbeat_watches, HEARTBEAT_CHUNK);
        });
        Ok(DiscoveryStub { address, watches, calls })
    }

    /// Writes a change to all open watches, and returns its size on the wire in bytes.
    pub fn publish(&self, change: &str) -> usize {
        let chunk = format!("{:x}\r\n{change}\r\n\r\n", change.len() + 2);
        write_to_all(&self.watches, chunk.as_bytes());
        chunk.len()
    }

    /// Whether any watch is open.
    pub fn is_watched(&self) -> bool {
        self.watches.lock().is_ok_and(|watches| !watches.is_empty())
    }

    /// Number of calls received.
    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
}

/// Writes to all watches, and removes watches whose connection is closed.
fn write_to_all(watches: &Mutex<Vec<TcpStream>>, bytes: &[u8]) {
    if let Ok(mut watches) = watches.lock() {
        watches.retain_mut(|stream| stream.write_all(bytes).is_ok());
    }
}

/// Answers the calls to the agent.
struct ListResponder {
    list: String,
    piece_bytes: usize,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    calls: Arc<AtomicUsize>,
}

impl ListResponder {
    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let Some(head) = read_head(&mut BufReader::new(stream.try_clone()?)) else { return Ok(()) };
        self.calls.fetch_add(1, Ordering::SeqCst);
        if head.contains("follow=1") {
            self.serve_watch(stream, &head)
        } else {
            self.write_list(stream)
        }
    }

    fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        self.list.as_bytes().chunks(self.piece_bytes)
    }

    fn write_list(&self, mut stream: TcpStream) -> std::io::Result<()> {
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", self.list.len())?;
        for piece in self.pieces() {
            stream.write_all(piece)?;
            std::thread::sleep(PIECE_PAUSE);
        }
        Ok(())
    }

    /// Writes the list unless the gateway already has it, which is revision 1, and keeps the connection open
    /// for changes.
    fn serve_watch(&self, mut stream: TcpStream, head: &str) -> std::io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        if head.contains("since=1 ") || head.contains("since=1&") {
            stream.write_all(HEARTBEAT_CHUNK)?;
        } else {
            for piece in self.pieces() {
                write!(stream, "{:x}\r\n", piece.len())?;
                stream.write_all(piece)?;
                stream.write_all(b"\r\n")?;
                std::thread::sleep(PIECE_PAUSE);
            }
        }
        if let Ok(mut watches) = self.watches.lock() {
            watches.push(stream);
        }
        Ok(())
    }
}
