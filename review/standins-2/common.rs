//! Stand-ins for the cases of the second review: clients, servers, the discovery agent, the counter service and
//! the platform that starts the limiters. Only the standard library is used. All addresses are loopback
//! addresses with free ports.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A case ends itself after this time, ms.
const LONGEST_RUN_MS: u64 = 112_000;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Makes the next close of the stream send a reset.
pub fn reset_on_close(stream: &TcpStream) {
    // SOL_SOCKET = 1, SO_LINGER = 13 on Linux on x86-64 and arm64.
    let linger = [1i32, 0i32];
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Unix time, ms.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

static START: OnceLock<Instant> = OnceLock::new();

/// Seconds since the first call in this process.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Whether the case runs with its disruption (`TROUBLE=0` runs it without).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---- The record ------------------------------------------------------------------------------------------

static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Opens `record.txt` in the folder of the case, which is the first argument of the program.
pub fn open_record() -> PathBuf {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| cannot_run("no folder given")));
    let file =
        File::create(folder.join("record.txt")).unwrap_or_else(|e| cannot_run(&format!("record.txt: {e}")));
    let _ = RECORD.set(Mutex::new(file));
    now();
    // A case that fails by itself or takes too long has not run.
    std::panic::set_hook(Box::new(|info| cannot_run(&format!("{info}"))));
    thread::spawn(|| {
        sleep_ms(LONGEST_RUN_MS);
        cannot_run("the case took too long")
    });
    folder
}

/// Writes a line with the time, in seconds since the start, into the record.
pub fn record(text: &str) {
    if let Some(file) = RECORD.get() {
        let _ = writeln!(lock(file), "{:9.3} {text}", now());
    }
}

/// Ends the case with 2: it could not run.
pub fn cannot_run(reason: &str) -> ! {
    record(&format!("could not run: {reason}"));
    eprintln!("could not run: {reason}");
    end_processes();
    std::process::exit(2)
}

/// Ends the case with 1 if `broken` is not empty, else with 0.
pub fn verdict(broken: &[String]) -> ! {
    end_processes();
    for line in broken.iter().take(20) {
        record(&format!("BROKEN {line}"));
        println!("BROKEN {line}");
    }
    let word = if broken.is_empty() { "held" } else { "broken" };
    record(&format!("the rule was {word} ({} findings)", broken.len()));
    println!("the rule was {word} ({} findings)", broken.len());
    std::process::exit(i32::from(!broken.is_empty()))
}

// ---- The platform: limiters as processes -----------------------------------------------------------------

static TEMPORARY: Mutex<Option<PathBuf>> = Mutex::new(None);
static PIDS: Mutex<Vec<i32>> = Mutex::new(Vec::new());

pub fn send_signal(pid: i32, signal: i32) {
    if pid > 0 {
        unsafe { kill(pid, signal) };
    }
}

/// Kills every process that the case has started and that has not been waited for, waits until they have ended, and
/// deletes the temporary folder.
pub fn end_processes() {
    let pids: Vec<i32> = lock(&PIDS).drain(..).collect();
    pids.iter().for_each(|pid| send_signal(*pid, SIGKILL));
    let until = now() + 2.0;
    while pids.iter().any(|pid| is_running(*pid)) && now() < until {
        sleep_ms(5);
    }
    if let Some(folder) = lock(&TEMPORARY).take() {
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// Whether a process exists and has not ended; a process that has ended and was not waited for is a zombie.
fn is_running(pid: i32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let state = stat.rsplit(')').next().and_then(|rest| rest.trim_start().chars().next());
    state.is_some_and(|state| state != 'Z' && state != 'X')
}

/// The command of the key in the deploy file.
pub fn deploy_command(key: &str) -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml")
        .unwrap_or_else(|e| cannot_run(&format!("deploy/balancer.toml: {e}")));
    let line = text.lines().find(|line| line.split('=').next().is_some_and(|k| k.trim() == key));
    let value = line.and_then(|line| line.split('"').nth(1));
    value.unwrap_or_else(|| cannot_run("the deploy file has no such command")).to_owned()
}

pub struct Limiter {
    pub name: String,
    pub address: SocketAddr,
    pub config: PathBuf,
    child: Child,
}

impl Limiter {
    /// Writes the configuration and starts a limiter with the command of the deploy file.
    pub fn start(folder: &Path, name: &str, address: SocketAddr, config: &str) -> Limiter {
        let path = folder.join(format!("{name}.json"));
        write_file(&path, config);
        Limiter::spawn(folder, name, address, path)
    }

    fn spawn(folder: &Path, name: &str, address: SocketAddr, config: PathBuf) -> Limiter {
        let log = File::options().create(true).append(true).open(folder.join(format!("{name}.log")));
        let log = log.unwrap_or_else(|e| cannot_run(&format!("log: {e}")));
        let mut command = Command::new("/bin/sh");
        // PR_SET_PDEATHSIG: the limiter ends with the case, however the case ends.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64);
                Ok(())
            })
        };
        let child = command
            .args(["-c", &deploy_command("run")])
            .env("PROXY_CONFIG", &config)
            .env("PROXY_NAME", name)
            .env("PROXY_LISTEN", address.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("the limiter cannot be started: {e}")));
        lock(&PIDS).push(child.id() as i32);
        record(&format!("platform: started limiter {name} at {address}"));
        Limiter { name: name.to_owned(), address, config, child }
    }

    /// Waits until `GET /healthz` answers 200.
    pub fn wait_ready(&self) {
        let until = now() + 30.0;
        while now() < until {
            if let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(200)) {
                let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
                let mut stream = stream;
                let _ = stream
                    .write_all(b"GET /healthz HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n");
                let mut text = String::new();
                let _ = stream.read_to_string(&mut text);
                if text.starts_with("HTTP/1.1 200") {
                    record(&format!("platform: limiter {} is ready", self.name));
                    return;
                }
            }
            sleep_ms(20);
        }
        cannot_run("a limiter was not ready within 30 s");
    }

    pub fn signal(&self, signal: i32) {
        record(&format!("platform: signal {signal} to {}", self.name));
        send_signal(self.child.id() as i32, signal);
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn wait_ended(&mut self, seconds: f64) -> bool {
        let until = now() + seconds;
        while now() < until {
            if self.has_ended() {
                let pid = self.child.id() as i32;
                lock(&PIDS).retain(|other| *other != pid);
                return true;
            }
            sleep_ms(5);
        }
        false
    }

    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        let _ = self.child.wait();
        let pid = self.child.id() as i32;
        lock(&PIDS).retain(|other| *other != pid);
    }

    /// The processor time used so far, seconds.
    pub fn stat_line(&self) -> String {
        std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default()
    }
}

pub fn write_file(path: &Path, text: &str) {
    // A new file takes the place of the old one at once, so that no reader sees half of it.
    let new = path.with_extension("new");
    let written = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, path));
    written.unwrap_or_else(|e| cannot_run(&format!("{}: {e}", path.display())));
}

/// A loopback address with a free port.
pub fn free_address() -> SocketAddr {
    let listener =
        TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("no free port: {e}")));
    listener.local_addr().unwrap_or_else(|e| cannot_run(&format!("no free port: {e}")))
}

pub fn bind() -> (TcpListener, SocketAddr) {
    let listener =
        TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("no free port: {e}")));
    let address = listener.local_addr().unwrap_or_else(|e| cannot_run(&format!("no free port: {e}")));
    (listener, address)
}

/// A private folder that the case deletes at its end.
pub fn temporary_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap_or_else(|e| cannot_run(&format!("temporary folder: {e}")));
    *lock(&TEMPORARY) = Some(folder.clone());
    folder
}

// ---- HTTP messages ---------------------------------------------------------------------------------------

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message whose body has a `Content-Length` or none. `Ok(None)` is an orderly end before the first
/// byte.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let length: usize = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

// ---- The counter service ---------------------------------------------------------------------------------

pub struct Counter {
    pub address: SocketAddr,
    pub calls: Arc<AtomicU64>,
}

impl Counter {
    /// A counter that answers every call at once.
    pub fn start() -> Counter {
        let (listener, address) = bind();
        let totals: Arc<Mutex<HashMap<String, (f64, Instant)>>> = Arc::default();
        let calls = Arc::new(AtomicU64::new(0));
        let count = calls.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (totals, count) = (totals.clone(), count.clone());
                thread::spawn(move || serve_counter(stream, &totals, &count));
            }
        });
        Counter { address, calls }
    }
}

fn serve_counter(mut stream: TcpStream, totals: &Mutex<HashMap<String, (f64, Instant)>>, count: &AtomicU64) {
    let _ = stream.set_nodelay(true);
    let Ok(reader) = stream.try_clone() else { return };
    for line in BufReader::new(reader).lines().map_while(Result::ok) {
        let words: Vec<&str> = line.split(' ').collect();
        let answer = match words[..] {
            ["ping"] => "pong\r\n".to_owned(),
            ["bump", name, add, life] => match (add.parse::<f64>(), life.trim().parse::<u64>()) {
                (Ok(add), Ok(life)) => {
                    count.fetch_add(1, Ordering::Relaxed);
                    let mut totals = lock(totals);
                    let at = Instant::now();
                    let entry = totals.entry(name.to_owned()).or_insert((0.0, at));
                    if entry.1 <= at {
                        *entry = (0.0, at + Duration::from_millis(life.clamp(1, 60_000)));
                    }
                    entry.0 += add;
                    format!("ok {}\r\n", entry.0)
                }
                _ => "error\r\n".to_owned(),
            },
            _ => "error\r\n".to_owned(),
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

// ---- The discovery agent ---------------------------------------------------------------------------------

#[derive(Clone, Debug)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub phase: &'static str,
    pub up_since_ms: u64,
    pub zone: String,
    pub cell: u16,
}

impl Member {
    pub fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"{}","flavor":"std-2core","cell":{},"phase":"{}","size":1.0,"up_since_ms":{}}}"#,
            self.id, self.address, self.zone, self.cell, self.phase, self.up_since_ms
        )
    }
}

pub fn list_json(revision: u64, complete: bool, members: &[Member]) -> String {
    let members: Vec<String> = members.iter().map(Member::json).collect();
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, members.join(","))
}

#[derive(Default)]
pub struct AgentState {
    /// What the agent has: each change with its revision; the last entry of an id holds.
    changes: Vec<(u64, Member)>,
    pub revision: u64,
    /// Changes that the agent gets when discovery is back.
    held_back: Vec<Member>,
    down: bool,
    watches: Vec<(TcpStream, Arc<AtomicBool>)>,
}

/// A discovery agent: the whole list, and watches that push changes.
#[derive(Clone)]
pub struct Agent {
    pub name: String,
    pub address: SocketAddr,
    pub state: Arc<Mutex<AgentState>>,
    /// Time from a call until its answer begins, ms.
    pub answer_delay_ms: Arc<AtomicU64>,
    /// Whether calls wait in turn: one is answered after the other.
    pub in_turn: Arc<AtomicBool>,
    turn: Arc<Mutex<()>>,
    /// Whether the agent takes no new connection.
    pub closed: Arc<AtomicBool>,
}

impl Agent {
    pub fn start(name: &str, revision: u64, members: &[Member]) -> Agent {
        let (listener, address) = bind();
        let state = AgentState {
            changes: members.iter().map(|m| (revision, m.clone())).collect(),
            revision,
            ..AgentState::default()
        };
        let agent = Agent {
            name: name.to_owned(),
            address,
            state: Arc::new(Mutex::new(state)),
            answer_delay_ms: Arc::default(),
            in_turn: Arc::default(),
            turn: Arc::default(),
            closed: Arc::default(),
        };
        let acceptor = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if acceptor.closed.load(Ordering::SeqCst) {
                    return;
                }
                let agent = acceptor.clone();
                thread::spawn(move || agent.serve(stream));
            }
        });
        let beating = agent.clone();
        thread::spawn(move || loop {
            sleep_ms(2000);
            let mut state = lock(&beating.state);
            if !state.down {
                for (stream, silent) in &mut state.watches {
                    if !silent.load(Ordering::SeqCst) {
                        let _ = stream.write_all(b"1\r\n\n\r\n");
                    }
                }
            }
        });
        agent
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let target = request.start.split(' ').nth(1).unwrap_or("").to_owned();
            record(&format!("agent {}: call {target}", self.name));
            let turn = self.in_turn.load(Ordering::SeqCst).then(|| lock(&self.turn));
            let delay = self.answer_delay_ms.load(Ordering::SeqCst);
            if delay > 0 {
                sleep_ms(delay);
            }
            drop(turn);
            while lock(&self.state).down {
                sleep_ms(5);
            }
            let since = target.split("since=").nth(1).and_then(|text| text.parse::<u64>().ok());
            let mut state = lock(&self.state);
            if target.contains("follow=1") {
                let since = since.unwrap_or(0);
                let changed = state.since(since);
                let mut text = String::from(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
                );
                if state.revision > since {
                    let complete = since == 0;
                    text.push_str(&chunk(&list_json(state.revision, complete, &changed)));
                } else {
                    text.push_str("1\r\n\n\r\n");
                }
                record(&format!(
                    "agent {}: answers {target}: {} changes, revision {}",
                    self.name,
                    changed.len(),
                    state.revision
                ));
                if stream.write_all(text.as_bytes()).is_ok() {
                    state.watches.push((stream, Arc::default()));
                }
                return;
            }
            let members = state.whole();
            let body = list_json(state.revision, true, &members);
            record(&format!(
                "agent {}: answers {target}: whole list, revision {}",
                self.name, state.revision
            ));
            drop(state);
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Gives the agent a change. While discovery is down, the agent gets it at the return.
    pub fn tell(&self, member: &Member) {
        let mut state = lock(&self.state);
        if state.down {
            state.held_back.push(member.clone());
            return;
        }
        state.apply(member.clone());
        record(&format!(
            "agent {}: has {} {} (revision {})",
            self.name, member.id, member.phase, state.revision
        ));
        state.push(&[member.clone()]);
    }

    pub fn set_down(&self, down: bool) {
        let mut state = lock(&self.state);
        state.down = down;
        record(&format!("agent {}: down = {down}", self.name));
        if !down {
            let held_back = std::mem::take(&mut state.held_back);
            for member in &held_back {
                state.apply(member.clone());
                record(&format!(
                    "agent {}: has {} {} (revision {})",
                    self.name, member.id, member.phase, state.revision
                ));
            }
            if !held_back.is_empty() {
                state.push(&held_back);
            }
        }
    }

    /// All open watches fall silent; they stay open.
    pub fn silence_watches(&self) {
        record(&format!("agent {}: open watches fall silent", self.name));
        lock(&self.state).watches.iter().for_each(|(_, silent)| silent.store(true, Ordering::SeqCst));
    }

    /// Resets or ends all open watches.
    pub fn end_watches(&self, reset: bool) {
        record(&format!("agent {}: open watches end (reset = {reset})", self.name));
        for (mut stream, _) in lock(&self.state).watches.drain(..) {
            if reset {
                reset_on_close(&stream);
            } else {
                let _ = stream.write_all(b"0\r\n\r\n");
            }
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn watch_count(&self) -> usize {
        lock(&self.state).watches.len()
    }

    /// As an agent that discovery has moved away from: takes no new connection, and closes the open ones after
    /// 1.5 s.
    pub fn retire(&self) {
        self.closed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        let agent = self.clone();
        thread::spawn(move || {
            sleep_ms(1500);
            for (stream, _) in lock(&agent.state).watches.drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        });
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\n\r\n", text.len() + 1)
}

impl AgentState {
    fn apply(&mut self, member: Member) {
        self.revision += 1;
        let revision = self.revision;
        self.changes.retain(|(_, other)| other.id != member.id);
        self.changes.push((revision, member));
    }

    fn since(&self, since: u64) -> Vec<Member> {
        self.changes.iter().filter(|(revision, _)| *revision > since).map(|(_, m)| m.clone()).collect()
    }

    fn whole(&self) -> Vec<Member> {
        self.changes.iter().map(|(_, m)| m.clone()).filter(|m| m.phase != "Gone").collect()
    }

    fn push(&mut self, members: &[Member]) {
        let text = chunk(&list_json(self.revision, false, members));
        for (stream, silent) in &mut self.watches {
            if !silent.load(Ordering::SeqCst) {
                let _ = stream.write_all(text.as_bytes());
            }
        }
    }
}

// ---- Servers ---------------------------------------------------------------------------------------------

/// A request that has arrived whole at a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub server: String,
    pub id: String,
    pub method: String,
    pub first_byte_at: f64,
    pub at: f64,
    pub time_left: f64,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// What a server does with a request that has arrived.
pub enum Reply {
    /// Works for this time, ms, and answers 200 with the id of the request in the body.
    Serve(u64),
    /// Works for the time and answers with exactly these bytes; then closes or not.
    Raw(u64, Vec<u8>, bool),
    /// Answers 503 with `X-Unprocessed: 1` at once.
    TurnAway,
    /// Answers nothing.
    Hang,
    /// Resets the connection after the time, ms.
    Reset(u64),
}

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
}

pub fn served_body(id: &str) -> String {
    format!("served {id}\n")
}

pub fn served(id: &str) -> Vec<u8> {
    let body = served_body(id);
    format!("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

impl Server {
    pub fn start(
        id: &str,
        arrivals: &Arrivals,
        reply: impl Fn(&Arrival) -> Reply + Send + Sync + 'static,
    ) -> Server {
        let (listener, address) = bind();
        let reply: Arc<dyn Fn(&Arrival) -> Reply + Send + Sync> = Arc::new(reply);
        let (name, arrivals) = (id.to_owned(), arrivals.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, arrivals, reply) = (name.clone(), arrivals.clone(), reply.clone());
                thread::spawn(move || serve(&name, stream, &arrivals, &*reply));
            }
        });
        Server { id: id.to_owned(), address }
    }

    pub fn member(&self, phase: &'static str) -> Member {
        Member {
            id: self.id.clone(),
            address: self.address,
            phase,
            up_since_ms: 0,
            zone: "oslo-1".into(),
            cell: 0,
        }
    }
}

fn serve(
    name: &str,
    mut stream: TcpStream,
    arrivals: &Arrivals,
    reply: &(dyn Fn(&Arrival) -> Reply + Send + Sync),
) {
    let _ = stream.set_nodelay(true);
    let Ok(clone) = stream.try_clone() else { return };
    let mut reader = BufReader::new(clone);
    loop {
        if !matches!(reader.fill_buf(), Ok(bytes) if !bytes.is_empty()) {
            return;
        }
        let first_byte_at = now();
        let Ok(Some(message)) = read_message(&mut reader) else { return };
        let Some(id) = message.header("x-correlation-id").map(str::to_owned) else {
            let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            continue;
        };
        let arrival = Arrival {
            server: name.to_owned(),
            id: id.clone(),
            method: message.start.split(' ').next().unwrap_or("").to_owned(),
            first_byte_at,
            at: now(),
            time_left: message.header("x-time-left").and_then(|v| v.parse().ok()).unwrap_or(-1.0),
        };
        record(&format!("server {name}: arrived {id} time left {}", arrival.time_left));
        lock(arrivals).push(arrival.clone());
        let written = match reply(&arrival) {
            Reply::Serve(ms) => {
                sleep_ms(ms);
                stream.write_all(&served(&id))
            }
            Reply::Raw(ms, bytes, close) => {
                sleep_ms(ms);
                let written = stream.write_all(&bytes);
                if close {
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                    return;
                }
                written
            }
            Reply::TurnAway => stream.write_all(
                b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n",
            ),
            Reply::Hang => Ok(()),
            Reply::Reset(ms) => {
                sleep_ms(ms);
                reset_on_close(&stream);
                return;
            }
        };
        if written.is_err() {
            return;
        }
    }
}

// ---- Clients ---------------------------------------------------------------------------------------------

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The status and the body of the answer.
    Answer(u16, Vec<u8>),
    /// The connection ended without a whole answer.
    Closed,
    /// No answer by the time the client stopped looking.
    Nothing,
    /// The request could not be sent: no connection.
    NotSent,
}

impl End {
    /// The status of the answer, or how the request ended without one.
    pub fn short(&self) -> String {
        match self {
            End::Answer(status, _) => format!("{status}"),
            other => format!("{other:?}"),
        }
    }
}

#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub class: &'static str,
    pub customer: u64,
    pub plan: &'static str,
    pub time_left: f64,
    pub spread: usize,
    pub first: usize,
    pub body: Vec<u8>,
}

impl Request {
    pub fn method(&self) -> &'static str {
        if self.class == "fetch-count" {
            "GET"
        } else {
            "POST"
        }
    }

    pub fn bytes(&self) -> Vec<u8> {
        let length = if self.method() == "POST" {
            format!("Content-Length: {}\r\n", self.body.len())
        } else {
            String::new()
        };
        let mut bytes = format!(
            "{} /{}?customer={:016x} HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {}\r\nX-Service-Class: {}\r\nX-Plan: {}\r\nX-Time-Left: {:.3}\r\n{length}X-Quota: units=1,spread={},first={}\r\n\r\n",
            self.method(), self.class, self.customer, self.id, self.class, self.plan, self.time_left, self.spread, self.first
        )
        .into_bytes();
        if self.method() == "POST" {
            bytes.extend_from_slice(&self.body);
        }
        bytes
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn fresh_id() -> String {
    format!("{:016x}", 0x9b1f_0000_0000_0000u64 + NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

pub fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    let _ = stream.set_nodelay(true);
    Some(stream)
}

/// Reads an answer until `seconds` from now have passed. Returns the end and whether the connection stays open.
pub fn read_answer(stream: &TcpStream, seconds: f64) -> (End, bool) {
    let _ = stream.set_read_timeout(Some(Duration::from_secs_f64(seconds.max(0.001))));
    let Ok(clone) = stream.try_clone() else { return (End::Closed, false) };
    let mut reader = BufReader::new(clone);
    match read_message(&mut reader) {
        Ok(Some(message)) => {
            let close = message.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
            (End::Answer(message.status(), message.body), !close)
        }
        Ok(None) => (End::Closed, false),
        Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
            (End::Nothing, false)
        }
        Err(_) => (End::Closed, false),
    }
}

/// Clients that send one request at a time and keep their connections. Each request and its end is recorded.
pub struct Load {
    threads: Vec<thread::JoinHandle<()>>,
    stop: Arc<AtomicBool>,
    pub answers: Arc<Mutex<HashMap<String, usize>>>,
}

impl Load {
    /// Starts `clients` clients of the limiter number `limiter` of `limiters`. Each sends a `fetch-count`, waits
    /// for its answer, and rests for `rest_ms`.
    pub fn start(limiter: usize, limiters: usize, address: SocketAddr, clients: u64, rest_ms: u64) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let answers: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
        let threads = (0..clients)
            .map(|client| {
                let (stop, answers) = (stop.clone(), answers.clone());
                thread::spawn(move || {
                    let mut stream = None;
                    while !stop.load(Ordering::SeqCst) {
                        stream = stream.or_else(|| connect(address));
                        let Some(open) = stream.as_mut() else {
                            sleep_ms(20);
                            continue;
                        };
                        let request = Request {
                            id: fresh_id(),
                            class: "fetch-count",
                            customer: 0x1000 + 100 * limiter as u64 + client,
                            plan: "riks",
                            time_left: 1.5,
                            spread: limiters,
                            first: 0,
                            body: Vec::new(),
                        };
                        record(&format!("client {limiter}/{client}: sends {}", request.id));
                        if open.write_all(&request.bytes()).is_err() {
                            stream = None;
                            continue;
                        }
                        let (end, keep) = read_answer(open, request.time_left + 0.6);
                        let text = match &end {
                            End::Answer(status, _) => format!("{status}"),
                            other => format!("{other:?}"),
                        };
                        record(&format!("client {limiter}/{client}: {} ends: {text}", request.id));
                        *lock(&answers).entry(text).or_default() += 1;
                        if !keep {
                            stream = None;
                        }
                        sleep_ms(rest_ms);
                    }
                })
            })
            .collect();
        Load { threads, stop, answers }
    }

    pub fn end(self) -> HashMap<String, usize> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let answers = lock(&self.answers).clone();
        answers
    }
}

// ---- Settings --------------------------------------------------------------------------------------------

/// The settings of a small deployment, as those of the wire page.
pub fn settings(limiters: usize) -> String {
    format!(
        r#"{{"areas":["oslo-1"],"balancers":{limiters},"ceilings":{{"cancelling":true,"conn_idle":30000.0,"connect_timeout":250.0,"cpu_us_per_request":0.0,"cpu_us_per_s":495466,"max_attempts":6,"max_open":24773,"max_retry_after":1000.0,"multiplex":100,"parallel_tries":true,"peers":false,"probes":true,"retry_after":true}},
"classes":[{{"deadline":2000.0,"goal_time":500.0,"group":"all","idempotency":"free","importance":3.0,"late_value":0.2,"name":"fetch-count","repeat_window":5000.0,"stream":false}},
{{"deadline":1500.0,"goal_time":400.0,"group":"all","idempotency":"single_shot","importance":9.0,"late_value":0.0,"name":"send-alert","repeat_window":5000.0,"stream":false}}],
"clients":{{"marks_retry":false}},"discovery":"pushed","family":"gate","family_info":{{"call_price":0.01,"counter_timeout":30.0,"max_units":1,"metering":2000.0,"peer_in_per_s":0.0,"settles":false,"shared_counter":true}},"flavors":["std-2core","old-2core"],"my_number":0,"layer":0,"layers":["results-nodes"],
"plans":[{{"cap_depth":0.0,"ceiling_slack":0.0,"excess_worth":0.0,"hard_rate":0.0,"max_out":0,"name":"lokal","over_cost":1.2,"pays":0.72,"rate":1.2,"store_size":6.0}},
{{"cap_depth":19.0,"ceiling_slack":2.0,"excess_worth":0.0,"hard_rate":10.0,"max_out":0,"name":"fylke","over_cost":1.2,"pays":1.1,"rate":4.3,"store_size":8.0}},
{{"cap_depth":0.0,"ceiling_slack":0.0,"excess_worth":0.0,"hard_rate":0.0,"max_out":3,"name":"riks","over_cost":1.0,"pays":1.4,"rate":20.0,"store_size":51.0}}],
"report":{{"columns":[],"source":"none"}},"safety":{{"ask_within":10000.0,"drain_grace":1000.0,"grace_to_answer":16.0,"overload_factor":2.0,"start_capacity":0.18,"tip_after":2000.0,"warm_after":17000.0}},"tick":4.0,"weights":"none","zone":0}}"#
    )
}

pub struct Config<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub counter: SocketAddr,
    pub known: String,
    pub settings: String,
    pub sockets: usize,
    pub memory_mb: usize,
}

impl Config<'_> {
    pub fn json(&self) -> String {
        let seed = (unix_ms() * 1000.0) as u64;
        format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{}","seed":"{seed:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"counter":"{}","known":{},"settings":{}}}"#,
            self.name,
            self.listen,
            self.discovery,
            self.memory_mb,
            self.sockets,
            self.counter,
            self.known,
            self.settings
        )
    }
}

impl AgentState {
    /// Whether the agent has that a server drains or is gone.
    pub fn has_left(&self, id: &str) -> bool {
        self.changes.iter().any(|(_, member)| member.id == id && member.phase != "Ready")
    }

    /// The whole list as JSON.
    pub fn list(&self) -> String {
        list_json(self.revision, true, &self.whole())
    }
}

impl Agent {
    /// A new agent that has what this one has.
    pub fn successor(&self, name: &str) -> Agent {
        let (revision, changes) = {
            let state = lock(&self.state);
            (state.revision, state.changes.clone())
        };
        let agent = Agent::start(name, revision, &[]);
        lock(&agent.state).changes = changes;
        agent
    }
}

// ---- A small deployment ----------------------------------------------------------------------------------

/// Servers, limiters with an agent each, and the counter.
pub struct Deployment {
    pub folder: PathBuf,
    pub arrivals: Arrivals,
    pub servers: Vec<Server>,
    pub members: Vec<Member>,
    pub counter: Counter,
    pub agents: Vec<Agent>,
    pub limiters: Vec<Limiter>,
    addresses: Vec<SocketAddr>,
    /// The limit on descriptors that the configuration states.
    pub sockets: usize,
}

impl Deployment {
    /// Starts `servers` servers, and agents that have them at revision 41, for `limiters` limiters.
    pub fn new(limiters: usize, servers: usize) -> Deployment {
        let arrivals = Arrivals::default();
        let servers: Vec<Server> = (0..servers)
            .map(|n| Server::start(&format!("s-5be2a0{n:02x}"), &arrivals, |_| Reply::Serve(30)))
            .collect();
        let members: Vec<Member> = servers.iter().map(|server| server.member("Ready")).collect();
        Deployment {
            folder: temporary_folder(),
            arrivals,
            counter: Counter::start(),
            agents: (0..limiters).map(|n| Agent::start(&format!("old-{n}"), 41, &members)).collect(),
            limiters: Vec::new(),
            addresses: (0..limiters).map(|_| free_address()).collect(),
            servers,
            members,
            sockets: 1024,
        }
    }

    fn config(&self, limiter: usize, known: String) -> String {
        Config {
            name: &format!("n{limiter}"),
            listen: self.addresses[limiter],
            discovery: self.agents[limiter].address,
            counter: self.counter.address,
            known,
            settings: settings(self.agents.len()),
            sockets: self.sockets,
            memory_mb: 192,
        }
        .json()
    }

    /// Starts all limiters and waits until they are ready.
    pub fn start_limiters(&mut self) {
        for n in 0..self.agents.len() {
            let config = self.config(n, list_json(41, true, &self.members));
            self.limiters.push(Limiter::start(&self.folder, &format!("n{n}"), self.addresses[n], &config));
        }
        self.limiters.iter().for_each(Limiter::wait_ready);
    }

    pub fn start_load(&self, clients: u64, rest_ms: u64) -> Vec<Load> {
        let count = self.agents.len();
        (0..count).map(|n| Load::start(n, count, self.addresses[n], clients, rest_ms)).collect()
    }

    /// Moves discovery to new agents with a new configuration and SIGHUP. Returns the time of the signals.
    pub fn move_discovery(&mut self, agents: Vec<Agent>) -> f64 {
        let old = std::mem::replace(&mut self.agents, agents);
        let at = now();
        for n in 0..self.limiters.len() {
            write_file(&self.limiters[n].config, &self.config(n, list_json(41, true, &self.members)));
            self.limiters[n].signal(SIGHUP);
            old[n].retire();
        }
        at
    }

    /// Ends the load and gives the verdict on the requests that were sent to `server` after `until`, the time
    /// at which the grace of the rule ends.
    pub fn verdict_on_drain(mut self, loads: Vec<Load>, server: &str, until: f64) -> ! {
        for load in loads {
            println!("answers: {:?}", load.end());
        }
        if self.limiters.iter_mut().any(Limiter::has_ended) {
            verdict(&["a limiter has ended by itself".to_owned()]);
        }
        let arrivals = lock(&self.arrivals);
        let late: Vec<String> = arrivals
            .iter()
            .filter(|arrival| arrival.server == server && arrival.first_byte_at > until)
            .map(|arrival| {
                let after = arrival.first_byte_at - until;
                format!(
                    "{} was sent to the draining server {server} {after:.3} s after the grace",
                    arrival.id
                )
            })
            .collect();
        println!(
            "{} requests in all, {} of them too late to the draining server",
            arrivals.len(),
            late.len()
        );
        verdict(&late)
    }
}

/// Sleeps until this time, in seconds since the start of the case.
pub fn sleep_until(at: f64) {
    sleep_ms(((at - now()).max(0.0) * 1000.0) as u64);
}

impl Deployment {
    /// Kills the limiters; their clients see their connections end.
    pub fn kill_limiters(&mut self) {
        self.limiters.iter_mut().for_each(Limiter::kill);
        self.limiters.clear();
    }
}
