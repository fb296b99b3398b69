//! Starts the project's limiter with the command `run` of the deploy file.

use crate::record::Record;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// What one limiter is told.
pub struct LimiterSetup {
    pub name: String,
    pub discovery: SocketAddr,
    pub counter: SocketAddr,
    /// The list as this limiter last held it, in discovery's form.
    pub known: String,
    pub settings: String,
    pub memory_mb: u32,
    pub sockets: u32,
}

pub struct Limiter {
    pub address: SocketAddr,
    child: Child,
    folder: PathBuf,
    config: String,
    discovery: SocketAddr,
}

impl LimiterSetup {
    /// Starts the limiter and waits until it is ready. Ends the run with exit code 2 if it does not get ready.
    pub fn start(&self, record: &Record) -> Limiter {
        let address = free_address();
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), self.name));
        std::fs::create_dir_all(&folder).unwrap_or_else(|e| crate::cannot_run(&format!("{folder:?}: {e}")));
        let config_path = folder.join("config.json");
        let config = format!(
            r#"{{"name":"{}","listen":"{address}","discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"counter":"{}","known":{},"settings":{}}}"#,
            self.name, self.discovery, self.memory_mb, self.sockets, self.counter, self.known, self.settings
        );
        std::fs::write(&config_path, &config).unwrap_or_else(|e| crate::cannot_run(&format!("{e}")));
        let mut child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command())
            .env("PROXY_NAME", &self.name)
            .env("PROXY_LISTEN", address.to_string())
            .env("PROXY_DISCOVERY", self.discovery.to_string())
            .env("PROXY_CONFIG", &config_path)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|e| crate::cannot_run(&format!("the limiter cannot be started: {e}")));
        note_process(child.id());
        let log = child.stderr.take().expect("no log");
        let (log_record, name) = (record.clone(), self.name.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                log_record.line(&format!("limiter {name} logs: {line}"));
            }
        });
        let limiter = Limiter { address, child, folder, config, discovery: self.discovery };
        let give_up = Instant::now() + Duration::from_secs(10);
        while !limiter.is_ready() {
            if Instant::now() > give_up {
                drop(limiter);
                crate::cannot_run("the limiter did not get ready");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        record.line(&format!("limiter {} is ready at {address}", self.name));
        limiter
    }
}

impl Limiter {
    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let asked = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        let mut answer = String::new();
        asked.is_ok() && stream.read_to_string(&mut answer).is_ok() && answer.starts_with("HTTP/1.1 200")
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Replaces the configuration by one that names another discovery, and sends SIGHUP.
    pub fn move_discovery(&mut self, discovery: SocketAddr) {
        let (old, new) =
            (format!("\"discovery\":\"{}\"", self.discovery), format!("\"discovery\":\"{discovery}\""));
        self.config = self.config.replace(&old, &new);
        self.discovery = discovery;
        let (draft, path) = (self.folder.join("config.new"), self.folder.join("config.json"));
        let replaced = std::fs::write(&draft, &self.config).and_then(|()| std::fs::rename(&draft, &path));
        replaced.unwrap_or_else(|e| crate::cannot_run(&format!("the configuration cannot be replaced: {e}")));
        self.signal("-HUP");
    }

    /// Sends a signal, such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill {signal} {}", self.child.id())).status();
    }
}

impl Drop for Limiter {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The file in which the script finds the processes that still have to be ended if this program is stopped.
fn process_file() -> Option<String> {
    std::env::var("REVIEW_PROCESSES").ok()
}

fn note_process(id: u32) {
    if let Some(path) = process_file() {
        let file = std::fs::OpenOptions::new().append(true).create(true).open(path);
        let _ = file.and_then(|mut file| writeln!(file, "{id}"));
    }
}

/// Forgets the noted processes, because all of them have ended.
pub fn forget_processes() {
    if let Some(path) = process_file() {
        let _ = std::fs::write(path, "");
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    listener.local_addr().expect("no address")
}

/// The value of `run` in the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml")
        .unwrap_or_else(|e| crate::cannot_run(&format!("deploy/balancer.toml: {e}")));
    let value = text.lines().find_map(|line| line.strip_prefix("run = \"")?.split('"').next());
    value.map(str::to_owned).unwrap_or_else(|| crate::cannot_run("the deploy file has no run"))
}

/// Settings like those of the deployment `valgnatt-oslo`, with 2 limiters.
pub fn small_settings() -> String {
    r#"{"areas":["oslo-1"],"balancers":2,"ceilings":{"cancelling":true,"conn_idle":30000.0,"connect_timeout":250.0,
    "cpu_us_per_request":0.0,"cpu_us_per_s":495466,"max_attempts":6,"max_open":24773,"max_retry_after":1000.0,
    "multiplex":100,"parallel_tries":true,"peers":false,"probes":true,"retry_after":true},
    "classes":[
    {"deadline":2000.0,"goal_time":500.0,"group":"all","idempotency":"free","importance":3.0,"late_value":0.2,
     "name":"fetch-count","repeat_window":5000.0,"stream":false},
    {"deadline":1500.0,"goal_time":400.0,"group":"all","idempotency":"single_shot","importance":9.0,
     "late_value":0.0,"name":"send-alert","repeat_window":5000.0,"stream":false}],
    "clients":{"marks_retry":false},"discovery":"pushed","family":"gate",
    "family_info":{"call_price":0.01,"counter_timeout":30.0,"max_units":1,"metering":2000.0,"peer_in_per_s":0.0,
    "settles":false,"shared_counter":true},"flavors":["std-2core","old-2core"],"layer":0,"layers":["results-nodes"],
    "my_number":0,
    "plans":[
    {"cap_depth":0.0,"ceiling_slack":0.0,"excess_worth":0.0,"hard_rate":0.0,"max_out":0,"name":"lokal",
     "over_cost":1.2,"pays":0.72,"rate":1.2,"store_size":6.0},
    {"cap_depth":19.0,"ceiling_slack":2.0,"excess_worth":0.0,"hard_rate":10.0,"max_out":0,"name":"fylke",
     "over_cost":1.2,"pays":1.1,"rate":4.3,"store_size":8.0},
    {"cap_depth":0.0,"ceiling_slack":0.0,"excess_worth":0.0,"hard_rate":0.0,"max_out":3,"name":"riks",
     "over_cost":1.0,"pays":1.4,"rate":20.0,"store_size":51.0}],
    "report":{"columns":[],"source":"none"},
    "safety":{"ask_within":10000.0,"drain_grace":1000.0,"grace_to_answer":16.0,"overload_factor":2.0,
    "start_capacity":0.18,"tip_after":2000.0,"warm_after":17000.0},"tick":4.0,"weights":"none","zone":0}"#
        .replace('\n', "")
}
