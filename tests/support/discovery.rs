//! A stub of a discovery agent, and the endpoint lists that it sends.

use super::{read_message, response_bytes};
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Interval between the empty lines that keep a watch alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// An HTTP chunk that contains an empty line.
const HEARTBEAT_CHUNK: &[u8] = b"2\r\n\r\n\r\n";
const WATCH_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A stub of a discovery agent. It sends text to all watches without checking the format.
pub struct Discovery {
    /// The address that the agent listens on.
    pub address: SocketAddr,
    /// The complete list, which a request that opens no watch receives.
    pub list: Arc<Mutex<String>>,
    /// Request lines of all calls that were received.
    pub request_lines: Arc<Mutex<Vec<String>>>,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    /// Whether the agent sends no empty lines on its watches, as if they were dead.
    pub silent_watches: Arc<AtomicBool>,
    /// Whether the agent accepts calls but never answers them, as it does while discovery is down.
    pub unresponsive: Arc<AtomicBool>,
    /// Maximum number of bytes of a list or an event that the agent writes at once.
    pub write_size: Arc<AtomicUsize>,
    /// Time, ms, from the arrival of a call until its answer.
    pub answer_delay: Arc<AtomicU64>,
}

impl Discovery {
    /// Starts an agent whose complete list is `list`.
    pub fn start(list: String) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no port could be bound");
        let discovery = Discovery {
            address: listener.local_addr().expect("the listener has no address"),
            list: Arc::new(Mutex::new(list)),
            request_lines: Arc::default(),
            watches: Arc::default(),
            silent_watches: Arc::default(),
            unresponsive: Arc::default(),
            write_size: Arc::new(AtomicUsize::new(usize::MAX)),
            answer_delay: Arc::default(),
        };
        let mut handler = Handler {
            list: discovery.list.clone(),
            request_lines: discovery.request_lines.clone(),
            watches: discovery.watches.clone(),
            unresponsive: discovery.unresponsive.clone(),
            write_size: discovery.write_size.clone(),
            answer_delay: discovery.answer_delay.clone(),
            unanswered: Vec::new(),
        };
        std::thread::spawn(move || listener.incoming().flatten().for_each(|stream| handler.serve(stream)));
        let (watches, silent_watches) = (discovery.watches.clone(), discovery.silent_watches.clone());
        std::thread::spawn(move || send_heartbeats(&watches, &silent_watches));
        discovery
    }

    /// Writes `text` to all watches, in chunks of at most [`write_size`](Self::write_size) bytes.
    pub fn write(&self, text: &str) {
        for stream in self.watches.lock().expect("lock poisoned").iter_mut() {
            for piece in text.as_bytes().chunks(self.write_size.load(Ordering::SeqCst)) {
                let head = format!("{:x}\r\n", piece.len());
                let _ = stream.write_all(&[head.as_bytes(), piece, b"\r\n"].concat());
            }
        }
    }

    /// Resets the connections of all watches, even in the middle of an event.
    pub fn reset(&self) {
        for stream in self.watches.lock().expect("lock poisoned").drain(..) {
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .expect("the linger option could not be set");
        }
    }

    /// Number of calls that were received.
    pub fn call_count(&self) -> usize {
        self.request_lines.lock().expect("lock poisoned").len()
    }

    /// Whether the request line of the last call that was received contains `text`.
    pub fn last_call_contains(&self, text: &str) -> bool {
        self.request_lines.lock().expect("lock poisoned").last().is_some_and(|line| line.contains(text))
    }

    /// Number of watches that were opened and not reset, including those that the gateway has closed.
    pub fn watch_count(&self) -> usize {
        self.watches.lock().expect("lock poisoned").len()
    }
}

fn send_heartbeats(watches: &Mutex<Vec<TcpStream>>, silent_watches: &AtomicBool) {
    loop {
        std::thread::sleep(HEARTBEAT_INTERVAL);
        if !silent_watches.load(Ordering::SeqCst) {
            for stream in watches.lock().expect("lock poisoned").iter_mut() {
                let _ = stream.write_all(HEARTBEAT_CHUNK);
            }
        }
    }
}

/// Answers calls one after the other.
struct Handler {
    list: Arc<Mutex<String>>,
    request_lines: Arc<Mutex<Vec<String>>>,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    unresponsive: Arc<AtomicBool>,
    write_size: Arc<AtomicUsize>,
    answer_delay: Arc<AtomicU64>,
    /// Connections of the calls that were received while the agent was unresponsive. They stay open.
    unanswered: Vec<TcpStream>,
}

impl Handler {
    fn serve(&mut self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("the socket could not be cloned"));
        stream.set_nodelay(true).expect("TCP_NODELAY could not be set");
        let Some(message) = read_message(&mut reader) else { return };
        self.request_lines.lock().expect("lock poisoned").push(message.start_line.clone());
        std::thread::sleep(Duration::from_millis(self.answer_delay.load(Ordering::SeqCst)));
        if self.unresponsive.load(Ordering::SeqCst) {
            self.unanswered.push(stream);
        } else if message.start_line.contains("follow=1") {
            let _ = stream.write_all(&[WATCH_HEAD, HEARTBEAT_CHUNK].concat());
            self.watches.lock().expect("lock poisoned").push(stream);
        } else {
            let list = self.list.lock().expect("lock poisoned").clone();
            for piece in
                response_bytes("200 OK", "", list.as_bytes()).chunks(self.write_size.load(Ordering::SeqCst))
            {
                let _ = stream.write_all(piece);
            }
        }
    }
}

/// Returns the JSON of one entry of an endpoint list.
pub fn endpoint_entry(id: &str, address: SocketAddr, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"m","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}

/// Returns the JSON of a list of endpoint entries: the complete list, or the entries that have changed.
pub fn endpoint_list(revision: u64, complete: bool, members: &[String]) -> String {
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, members.join(","))
}
