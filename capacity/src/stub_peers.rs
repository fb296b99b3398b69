//! Small stand-ins for the peers of a real limiter: a discovery agent, a counter and a server, on loopback.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Between two pieces of a list the agent waits this long, so that each comes by itself.
const BETWEEN: Duration = Duration::from_micros(200);
/// A watch says an empty line so often.
const QUIET: Duration = Duration::from_secs(2);

fn serve(
    each: impl Fn(TcpStream) -> std::io::Result<()> + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let each = Arc::new(each);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let each = each.clone();
            // A peer that goes ends its thread; nobody else minds.
            std::thread::spawn(move || each(stream));
        }
    });
    Ok(address)
}

/// The head of a message; none at the end.
fn head(reader: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    while !text.ends_with("\r\n\r\n") {
        if reader.read_line(&mut text).ok()? == 0 {
            return None;
        }
    }
    Some(text)
}

/// A discovery agent that holds one list.
pub struct Agent {
    /// Where it listens.
    pub address: SocketAddr,
    /// Open watches.
    pub watches: Arc<Mutex<Vec<TcpStream>>>,
    /// Whole lists that were written.
    pub lists: Arc<AtomicUsize>,
    /// Calls that have come.
    pub calls: Arc<AtomicUsize>,
}

impl Agent {
    /// An agent that tells this list, in pieces of so many bytes; 0: in one.
    ///
    /// # Errors
    /// When there is no port.
    pub fn start(list: String, piece: usize) -> std::io::Result<Agent> {
        let watches = Arc::new(Mutex::new(Vec::<TcpStream>::new()));
        let (lists, calls) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let (open, written, asked) = (watches.clone(), lists.clone(), calls.clone());
        let address = serve(move |mut stream| {
            stream.set_nodelay(true)?;
            let mut reader = BufReader::new(stream.try_clone()?);
            let Some(asks) = head(&mut reader) else { return Ok(()) };
            asked.fetch_add(1, Ordering::SeqCst);
            let bytes = list.as_bytes();
            let pieces = bytes.chunks(if piece == 0 { bytes.len().max(1) } else { piece });
            if !asks.contains("follow=1") {
                write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", bytes.len())?;
                for piece in pieces {
                    stream.write_all(piece)?;
                    std::thread::sleep(BETWEEN);
                }
                written.fetch_add(1, Ordering::SeqCst);
                return Ok(());
            }
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            if asks.contains("since=1 ") || asks.contains("since=1&") {
                stream.write_all(b"2\r\n\r\n\r\n")?;
            } else {
                for piece in pieces {
                    write!(stream, "{:x}\r\n", piece.len())?;
                    stream.write_all(piece)?;
                    stream.write_all(b"\r\n")?;
                    std::thread::sleep(BETWEEN);
                }
                written.fetch_add(1, Ordering::SeqCst);
            }
            if let Ok(mut open) = open.lock() {
                open.push(stream);
            }
            Ok(())
        })?;
        let quiet = watches.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(QUIET);
            if let Ok(mut open) = quiet.lock() {
                open.retain_mut(|stream| stream.write_all(b"2\r\n\r\n\r\n").is_ok());
            }
        });
        Ok(Agent { address, watches, lists, calls })
    }

    /// Tells all watches of a change; its bytes on the wire.
    pub fn tell(&self, change: &str) -> usize {
        let chunk = format!("{:x}\r\n{change}\r\n\r\n", change.len() + 2);
        if let Ok(mut open) = self.watches.lock() {
            open.retain_mut(|stream| stream.write_all(chunk.as_bytes()).is_ok());
        }
        chunk.len()
    }

    /// A watch is open.
    pub fn watched(&self) -> bool {
        self.watches.lock().is_ok_and(|open| !open.is_empty())
    }
}

/// A counter that answers every call at once with the same total.
///
/// # Errors
/// When there is no port.
pub fn counter() -> std::io::Result<SocketAddr> {
    serve(|mut stream| {
        stream.set_nodelay(true)?;
        for line in BufReader::new(stream.try_clone()?).lines() {
            stream.write_all(if line?.starts_with("ping") { b"pong\r\n" } else { b"ok 1\r\n" })?;
        }
        Ok(())
    })
}

/// A server that answers every request with a few bytes, at once or when it is let.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that have come.
    pub requests: Arc<AtomicUsize>,
    /// While this holds nothing is answered.
    pub held: Arc<AtomicBool>,
}

impl Server {
    /// Starts one.
    ///
    /// # Errors
    /// When there is no port.
    pub fn start() -> std::io::Result<Server> {
        let (requests, held) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
        let (came, holds) = (requests.clone(), held.clone());
        let address = serve(move |mut stream| {
            stream.set_nodelay(true)?;
            let mut reader = BufReader::new(stream.try_clone()?);
            while head(&mut reader).is_some() {
                came.fetch_add(1, Ordering::SeqCst);
                while holds.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(5));
                }
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")?;
            }
            Ok(())
        })?;
        Ok(Server { address, requests, held })
    }
}

/// A client's connection, to a limiter or straight to a server.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects.
    ///
    /// # Errors
    /// When nobody listens.
    pub fn connect(to: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        Ok(Client(BufReader::new(stream)))
    }

    /// Writes a request of the safe class, of a customer that comes in through so many limiters.
    ///
    /// # Errors
    /// When the connection is gone.
    pub fn send(
        &mut self,
        id: usize,
        tenant: usize,
        plan: &str,
        gateway_count: usize,
    ) -> std::io::Result<()> {
        let text = format!(
            "GET /look?customer={tenant:016x} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {id:016x}\r\nX-Service-Class: look\r\nX-Plan: {plan}\r\nX-Time-Left: 9.0\r\nX-Quota: units=1,spread={gateway_count},first=0\r\nContent-Length: 0\r\n\r\n"
        );
        self.0.get_mut().write_all(text.as_bytes())
    }

    /// Reads an answer; its status.
    ///
    /// # Errors
    /// When none comes.
    pub fn read(&mut self) -> std::io::Result<u16> {
        let gone = || std::io::Error::other("no answer");
        let head = head(&mut self.0).ok_or_else(gone)?;
        let length = head.to_ascii_lowercase();
        let length = length.split("content-length:").nth(1).and_then(|t| t.split('\r').next());
        let length: usize = length.and_then(|t| t.trim().parse().ok()).unwrap_or(0);
        self.0.read_exact(&mut vec![0; length])?;
        head.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or_else(gone)
    }

    /// Whether the limiter says that it can serve.
    ///
    /// # Errors
    /// When none comes.
    pub fn healthy(&mut self) -> std::io::Result<bool> {
        self.0.get_mut().write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")?;
        Ok(self.read()? == 200)
    }
}
