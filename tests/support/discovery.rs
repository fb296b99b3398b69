//! A stub of a discovery agent, and the endpoint lists that it writes.

use super::{read_message, response_bytes};
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Period of the empty lines that keep a watch alive.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// A chunk of HTTP that holds an empty line.
const HEARTBEAT_CHUNK: &[u8] = b"2\r\n\r\n\r\n";
const WATCH_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A discovery agent. What is written to it goes to all open watches raw.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// The complete list.
    pub list: Arc<Mutex<String>>,
    /// Request lines of the calls that have come.
    pub request_lines: Arc<Mutex<Vec<String>>>,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    /// Watches send no empty lines, as if they were dead.
    pub silent_watches: Arc<AtomicBool>,
    /// Calls are accepted and never answered, as by an agent while discovery is down.
    pub unresponsive: Arc<AtomicBool>,
    /// What is written goes out in pieces of so many bytes.
    pub write_size: Arc<AtomicUsize>,
}

impl Discovery {
    /// Starts an agent that holds a complete list.
    pub fn start(list: String) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let discovery = Discovery {
            address: listener.local_addr().expect("an address"),
            list: Arc::new(Mutex::new(list)),
            request_lines: Arc::default(),
            watches: Arc::default(),
            silent_watches: Arc::default(),
            unresponsive: Arc::default(),
            write_size: Arc::new(AtomicUsize::new(usize::MAX)),
        };
        let mut handler = Handler {
            list: discovery.list.clone(),
            requests_seen: discovery.request_lines.clone(),
            watches: discovery.watches.clone(),
            unresponsive: discovery.unresponsive.clone(),
            write_size: discovery.write_size.clone(),
            unanswered: Vec::new(),
        };
        std::thread::spawn(move || listener.incoming().flatten().for_each(|stream| handler.serve(stream)));
        let (watches, silent_watches) = (discovery.watches.clone(), discovery.silent_watches.clone());
        std::thread::spawn(move || send_heartbeats(&watches, &silent_watches));
        discovery
    }

    /// Writes to all watches, as a chunk of its own or several.
    pub fn write(&self, text: &str) {
        for stream in self.watches.lock().expect("a lock").iter_mut() {
            for piece in text.as_bytes().chunks(self.write_size.load(Ordering::SeqCst)) {
                let head = format!("{:x}\r\n", piece.len());
                let _ = stream.write_all(&[head.as_bytes(), piece, b"\r\n"].concat());
            }
        }
    }

    /// Resets all open watches, in the middle of whatever was sent.
    pub fn reset(&self) {
        for stream in self.watches.lock().expect("a lock").drain(..) {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("linger");
        }
    }

    /// Calls that have come.
    pub fn call_count(&self) -> usize {
        self.request_lines.lock().expect("a lock").len()
    }

    /// Watches that are open.
    pub fn watch_count(&self) -> usize {
        self.watches.lock().expect("a lock").len()
    }
}

fn send_heartbeats(watches: &Mutex<Vec<TcpStream>>, silent_watches: &AtomicBool) {
    loop {
        std::thread::sleep(HEARTBEAT);
        if !silent_watches.load(Ordering::SeqCst) {
            for stream in watches.lock().expect("a lock").iter_mut() {
                let _ = stream.write_all(HEARTBEAT_CHUNK);
            }
        }
    }
}

/// Answers the calls, one after the other.
struct Handler {
    list: Arc<Mutex<String>>,
    requests_seen: Arc<Mutex<Vec<String>>>,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    unresponsive: Arc<AtomicBool>,
    write_size: Arc<AtomicUsize>,
    /// Connections that came while the agent was deaf; they stay open.
    unanswered: Vec<TcpStream>,
}

impl Handler {
    fn serve(&mut self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
        stream.set_nodelay(true).expect("no delay");
        let Some(message) = read_message(&mut reader) else { return };
        self.requests_seen.lock().expect("a lock").push(message.start_line.clone());
        if self.unresponsive.load(Ordering::SeqCst) {
            self.unanswered.push(stream);
        } else if message.start_line.contains("follow=1") {
            let _ = stream.write_all(&[WATCH_HEAD, HEARTBEAT_CHUNK].concat());
            self.watches.lock().expect("a lock").push(stream);
        } else {
            let list = self.list.lock().expect("a lock").clone();
            for piece in
                response_bytes("200 OK", "", list.as_bytes()).chunks(self.write_size.load(Ordering::SeqCst))
            {
                let _ = stream.write_all(piece);
            }
        }
    }
}

/// One entry of a list.
pub fn endpoint_entry(id: &str, address: SocketAddr, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"m","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}

/// A list of entries, complete or a change.
pub fn endpoint_list(revision: u64, complete: bool, members: &[String]) -> String {
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, members.join(","))
}
