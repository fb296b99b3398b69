//! A stand-in for the discovery agent: it answers calls for the whole list and keeps watches open.

use crate::http::Reader;
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// On an idle watch an empty line is written this often.
const HEARTBEAT: Duration = Duration::from_secs(2);

#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub phase: &'static str,
    pub locality: &'static str,
    pub cell: u16,
    pub up_since_ms: f64,
    /// The revision that changed this entry last.
    pub revision: u64,
}

impl Member {
    pub fn ready(id: &str, address: SocketAddr) -> Member {
        let id = id.to_owned();
        Member { id, address, phase: "Ready", locality: "oslo-1", cell: 0, up_since_ms: 0.0, revision: 1 }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"{}","flavor":"std-2core","cell":{},"phase":"{}","size":1.0,"up_since_ms":{}}}"#,
            self.id, self.address, self.locality, self.cell, self.phase, self.up_since_ms
        )
    }
}

struct State {
    revision: u64,
    members: Vec<Member>,
    answer_delay: Duration,
    closed: bool,
}

impl State {
    fn list(&self, complete: bool, since: u64) -> String {
        let members = self.members.iter();
        let chosen = members.filter(|m| if complete { m.phase != "Gone" } else { m.revision > since });
        let entries: Vec<String> = chosen.map(Member::json).collect();
        format!(r#"{{"revision":{},"complete":{complete},"members":[{}]}}"#, self.revision, entries.join(","))
    }
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Discovery {
    /// Starts an agent that holds `members`. It begins each answer `answer_delay` after the call has arrived.
    pub fn start(record: &Record, members: Vec<Member>, answer_delay: Duration) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let address = listener.local_addr().expect("no address");
        let state = State { revision: 1, members, answer_delay, closed: false };
        let discovery = Discovery { address, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let (serving, record) = (discovery.clone(), record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (serving, record) = (serving.clone(), record.clone());
                std::thread::spawn(move || serving.serve(stream, &record));
            }
        });
        discovery
    }

    /// The whole list, as a limiter's configuration holds it under `known`.
    pub fn whole_list(&self) -> String {
        self.shared.0.lock().unwrap().list(true, 0)
    }

    /// Starts an agent to which nothing has been sent yet.
    pub fn start_empty(record: &Record) -> Discovery {
        let discovery = Discovery::start(record, Vec::new(), Duration::ZERO);
        discovery.shared.0.lock().unwrap().revision = 0;
        discovery
    }

    /// Ends the agent: it closes its connections and answers no further call.
    pub fn close(&self) {
        self.shared.0.lock().unwrap().closed = true;
        self.shared.1.notify_all();
    }

    /// Sends the whole list to the agent. The open watches tell it at once.
    pub fn receive_list(&self, members: &[Member]) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.members = members.to_vec();
        let revision = state.revision;
        state.members.iter_mut().for_each(|member| member.revision = revision);
        self.shared.1.notify_all();
    }

    /// Changes the phase of a member. The open watches tell it at once.
    pub fn set_phase(&self, id: &str, phase: &'static str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        for member in state.members.iter_mut().filter(|member| member.id == id) {
            (member.phase, member.revision) = (phase, revision);
        }
        self.shared.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream, record: &Record) {
        let _ = stream.set_nodelay(true);
        let Ok(mut reader) = Reader::new(&stream) else { return };
        while let Ok(call) = reader.message() {
            record.line(&format!("discovery call {}", call.start_line));
            let (delay, closed) = {
                let state = self.shared.0.lock().unwrap();
                (state.answer_delay, state.closed)
            };
            if closed {
                return;
            }
            std::thread::sleep(delay);
            let path = call.start_line.split(' ').nth(1).unwrap_or("").to_owned();
            if path.contains("follow=1") {
                let since = path.split("since=").nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
                let ended = self.watch(&mut stream, since, record);
                record.line(&format!("discovery watch ended: {ended:?}"));
                return;
            }
            let list = self.whole_list();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            let written = stream.write_all(format!("{head}{list}").as_bytes());
            record.line(&format!("discovery answered with the whole list: {written:?}"));
            if written.is_err() {
                return;
            }
        }
    }

    fn watch(&self, stream: &mut TcpStream, mut since: u64, record: &Record) -> std::io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        loop {
            let mut state = self.shared.0.lock().unwrap();
            if state.revision <= since && !state.closed {
                state = self.shared.1.wait_timeout(state, HEARTBEAT).unwrap().0;
            }
            if state.closed {
                return Ok(());
            }
            let line = if state.revision > since { state.list(false, since) + "\n" } else { "\n".to_owned() };
            since = state.revision;
            drop(state);
            stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())?;
            if line.len() > 1 {
                record.line(&format!("discovery told {}", line.trim()));
            }
        }
    }
}
