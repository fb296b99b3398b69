//! Real limiters beside stand-ins: time to ready, idle cost, changes, connections, latency, SIGHUP.

use crate::measure::Report;
use crate::memory::resident;
use crate::stub_peers::{counter, Agent, Client, Server};
use hdrhistogram::Histogram;
use std::error::Error;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

type Failure = Box<dyn Error>;

/// Lists of so many servers.
pub const SERVERS: [usize; 4] = [20, 200, 1_000, 5_700];
const CONNECTIONS: [usize; 4] = [0, 100, 500, 1_000];
const RATES: [usize; 4] = [50, 100, 200, 300];
/// Limiters by the settings where latency is measured.
const LIMITERS: usize = 530;
/// Bytes of a piece: a TCP segment's.
const PIECE: usize = 1400;
/// How long a limiter may take to say that it can serve.
const READY: Duration = Duration::from_secs(8);

static NEXT: AtomicUsize = AtomicUsize::new(0);

/// One entry of a list.
fn member(n: usize, at: SocketAddr, phase: &str) -> String {
    format!(
        r#"{{"id":"s-{n:08x}","host_port":"{at}","locality":"zone-{}","flavor":"m2","cell":{},"phase":"{phase}","size":1.0,"up_since_ms":0}}"#,
        n % 6,
        n / 8
    )
}

/// A whole list of servers that all stand at one address, on one line or laid out over several.
fn list(servers: usize, at: SocketAddr, indented: bool) -> Result<String, Failure> {
    let members: Vec<String> = (1..=servers).map(|n| member(n, at, "Ready")).collect();
    let text = format!(r#"{{"revision":1,"complete":true,"members":[{}]}}"#, members.join(","));
    match indented {
        false => Ok(text + "\n"),
        true => Ok(serde_json::to_string_pretty(&serde_json::from_str::<serde_json::Value>(&text)?)? + "\n"),
    }
}

/// A running limiter.
struct Limiter {
    child: Child,
    address: SocketAddr,
    path: PathBuf,
    counter: SocketAddr,
    started: Instant,
}

impl Limiter {
    fn config(agent: SocketAddr, counter: SocketAddr, limiters: usize) -> String {
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{agent}","counter":"{counter}","seed":"8c1f30d27a5be964","limits":{{"sockets":16384,"memory_mb":4096}},
            "settings":{{"balancers":{limiters},"areas":["zone-0","zone-1","zone-2","zone-3","zone-4","zone-5"],"zone":0,"discovery":"pushed",
            "classes":[{{"name":"look","deadline":9000,"goal_time":8000,"importance":2,"idempotency":"free"}}],
            "plans":[{{"name":"large","rate":100000,"store_size":100000}},{{"name":"small","rate":100,"store_size":200}}],
            "ceilings":{{"conn_idle":60000,"connect_timeout":1000,"max_attempts":3,"cancelling":true,"retry_after":true,"max_retry_after":1000}},
            "family_info":{{"shared_counter":true,"counter_timeout":50,"max_units":2}},
            "safety":{{"start_capacity":0.2,"warm_after":16000,"overload_factor":2,"tip_after":2000}}}}}}"#
        )
    }

    fn start(program: &Path, agent: SocketAddr, limiters: usize) -> Result<Limiter, Failure> {
        let name = format!("scale-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let path = std::env::temp_dir().join(name);
        let counter = counter()?;
        std::fs::write(&path, Limiter::config(agent, counter, limiters))?;
        let started = Instant::now();
        let mut child = Command::new(program).env("PROXY_CONFIG", &path).stderr(Stdio::piped()).spawn()?;
        let mut log = BufReader::new(child.stderr.take().ok_or("no log")?).lines();
        let address = loop {
            let line = log.next().ok_or("the limiter ended")??;
            if let Some((_, address)) = line.split_once(" serves ") {
                break address.parse()?;
            }
        };
        std::thread::spawn(move || log.for_each(drop));
        Ok(Limiter { child, address, path, counter, started })
    }

    /// Waits until it says that it can serve; false where it does not in time.
    fn ready(&self) -> Result<bool, Failure> {
        while self.started.elapsed() < READY {
            if Client::connect(self.address)?.healthy()? {
                return Ok(true);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(false)
    }

    /// Processor time so far, ms.
    fn spent(&self) -> f64 {
        let mut all = 0.0;
        for task in
            std::fs::read_dir(format!("/proc/{}/task", self.child.id())).into_iter().flatten().flatten()
        {
            let text = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
            all += text.split(' ').next().and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0) / 1e6;
        }
        all
    }

    fn resident(&self) -> f64 {
        resident(self.child.id()).unwrap_or_default() as f64
    }
}

impl Drop for Limiter {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

fn within(span: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + span;
    while !holds() {
        if Instant::now() > end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    true
}

/// Lists, idling and changes by servers.
///
/// # Errors
/// When a process or a port is not to be had.
pub fn lists(program: &Path, repeats: usize) -> Result<Report, Failure> {
    let mut report = Report::default();
    let server = Server::start()?;
    for _ in 0..repeats {
        for servers in SERVERS {
            for (form, indented, piece) in [
                ("compact, in one", false, 0),
                ("compact, pieces", false, PIECE),
                ("indented, pieces", true, PIECE),
            ] {
                let text = list(servers, server.address, indented)?;
                let size = servers as f64;
                let mut add = |what: &str, unit, value| {
                    report.sample(&format!("list {form}: {what}"), "servers", unit, size, value);
                };
                add("bytes", "bytes", text.len() as f64);
                let agent = Agent::start(text, piece)?;
                let limiter = Limiter::start(program, agent.address, 1)?;
                let ready = limiter.ready()?;
                let elapsed = limiter.started.elapsed().as_secs_f64() * 1000.0;
                add("ready", "of starts", f64::from(u8::from(ready)));
                add("time to ready, by the clock on the wall", "ms", elapsed);
                let watched = ready && within(READY, || agent.watched());
                add("processor time, start to watch", "ms", limiter.spent());
                add("calls to the agent by then", "calls", agent.calls.load(Ordering::SeqCst) as f64);
                add("resident memory", "bytes", limiter.resident());
                if indented || piece > 0 || !watched {
                    continue;
                }
                quiet(&mut report, &limiter, &agent, servers, server.address);
            }
        }
    }
    Ok(report)
}

/// Processor time of a limiter that gets no request, without and with changes of the list.
fn quiet(report: &mut Report, limiter: &Limiter, agent: &Agent, servers: usize, at: SocketAddr) {
    const IDLE: Duration = Duration::from_secs(3);
    const CHANGES: usize = 200;
    let size = servers as f64;
    let before = limiter.spent();
    std::thread::sleep(IDLE);
    let idle = (limiter.spent() - before) / IDLE.as_secs_f64();
    report.sample("idle, a second", "servers", "ms", size, idle);
    let (before, since) = (limiter.spent(), Instant::now());
    let mut bytes = 0;
    for i in 0..CHANGES {
        let phase = if i % 2 == 0 { "Terminating" } else { "Ready" };
        let entry = member(1 + i / 2 * servers / CHANGES, at, phase);
        bytes += agent.tell(&format!(r#"{{"revision":{},"complete":false,"members":[{entry}]}}"#, i + 2));
        std::thread::sleep(Duration::from_millis(5));
    }
    std::thread::sleep(Duration::from_millis(200));
    let spent = limiter.spent() - before - idle * since.elapsed().as_secs_f64();
    report.sample("change told on the watch", "servers", "ms", size, spent / CHANGES as f64);
    report.sample("bytes of a change", "servers", "bytes", size, bytes as f64 / CHANGES as f64);
}

/// Memory by connections.
///
/// # Errors
/// When a process or a port is not to be had.
pub fn connections(program: &Path, repeats: usize) -> Result<Report, Failure> {
    let mut report = Report::default();
    for _ in 0..repeats {
        for many in CONNECTIONS {
            let server = Server::start()?;
            let agent = Agent::start(list(1_000, server.address, false)?, 0)?;
            let limiter = Limiter::start(program, agent.address, 1)?;
            if !limiter.ready()? {
                return Err("never ready".into());
            }
            let mut clients = Vec::new();
            for _ in 0..many {
                let mut client = Client::connect(limiter.address)?;
                client.healthy()?;
                clients.push(client);
            }
            let mut add = |what: &str, value| report.sample(what, "connections", "bytes", many as f64, value);
            add("resident, so many clients that rest", limiter.resident());
            server.held.store(true, Ordering::SeqCst);
            for (n, client) in clients.iter_mut().enumerate() {
                client.send(n, n, "large", 1)?;
            }
            let out = within(Duration::from_secs(8), || server.requests.load(Ordering::SeqCst) >= many);
            add("resident, each with a request out at a server", limiter.resident());
            server.held.store(false, Ordering::SeqCst);
            let mut good = 0;
            for client in &mut clients {
                good += usize::from(client.read().is_ok_and(|status| status == 200));
            }
            add("resident, all answered", limiter.resident());
            let unit = "requests";
            report.sample("answered", "connections", unit, many as f64, good as f64);
            if !out {
                report.sample("not all were out", "connections", unit, many as f64, good as f64);
            }
        }
    }
    Ok(report)
}

/// Latency through the limiter and straight to the server, in turns, and processor time a request.
///
/// # Errors
/// When a process or a port is not to be had.
pub fn latency(program: &Path, repeats: usize, servers: usize, seconds: f64) -> Result<Report, Failure> {
    let mut report = Report::default();
    let server = Server::start()?;
    let agent = Agent::start(list(servers, server.address, false)?, 0)?;
    let limiter = Limiter::start(program, agent.address, LIMITERS)?;
    if !limiter.ready()? {
        return Err("never ready".into());
    }
    // Of a small customer each request waits for a call to the counter; a large one's calls are made beside.
    for (plan, rate) in (0..repeats).flat_map(|_| ["large", "small"]).flat_map(|p| RATES.map(|r| (p, r))) {
        let mut to: Vec<(Client, Histogram<u64>)> = Vec::new();
        for address in [server.address, limiter.address] {
            to.push((Client::connect(address)?, Histogram::new_with_bounds(1, 60_000_000, 3)?));
        }
        let before = limiter.spent();
        let since = Instant::now();
        let many = (rate as f64 * seconds) as usize;
        for n in 0..many {
            let at = since + Duration::from_secs_f64(n as f64 / rate as f64);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            for (client, times) in &mut to {
                let begun = Instant::now();
                client.send(n, n % 1000, plan, if plan == "small" { LIMITERS } else { 1 })?;
                client.read()?;
                times.record(begun.elapsed().as_nanos() as u64 / 1000)?;
            }
        }
        let mut add = |what: &str, unit, value| {
            report.sample(
                &format!("{plan} customers: {what}"),
                "requests a second",
                unit,
                rate as f64,
                value,
            );
        };
        let spent = limiter.spent() - before;
        add("processor time, whole process", "ms a second", spent / since.elapsed().as_secs_f64());
        for share in [0.5, 0.99] {
            let at = |i: usize| to[i].1.value_at_quantile(share) as f64 / 1000.0;
            let name = if share < 0.9 { "half" } else { "99 in 100" };
            add(&format!("direct, {name} within"), "ms", at(0));
            add(&format!("through the limiter, {name} within"), "ms", at(1));
            add(&format!("added, {name}"), "ms", at(1) - at(0));
        }
    }
    Ok(report)
}

/// SIGHUP to a configuration that names another agent, whose list names other addresses.
///
/// # Errors
/// When a process or a port is not to be had.
pub fn hangup(program: &Path, repeats: usize) -> Result<Report, Failure> {
    let mut report = Report::default();
    for _ in 0..repeats {
        for servers in SERVERS {
            let (old, new) = (Server::start()?, Server::start()?);
            let agent = Agent::start(list(servers, old.address, false)?, 0)?;
            let other = Agent::start(list(servers, new.address, false)?, 0)?;
            let limiter = Limiter::start(program, agent.address, 1)?;
            if !limiter.ready()? {
                return Err("never ready".into());
            }
            let mut client = Client::connect(limiter.address)?;
            client.send(0, 1, "large", 1)?;
            client.read()?;
            std::fs::write(&limiter.path, Limiter::config(other.address, limiter.counter, 1))?;
            let (before, since) = (limiter.spent(), Instant::now());
            let pid = limiter.child.id().to_string();
            Command::new("kill").args(["-HUP", &pid]).status()?;
            let mut asked = 0;
            while new.requests.load(Ordering::SeqCst) == 0 && since.elapsed() < READY {
                asked += 1;
                client.send(asked, 1, "large", 1)?;
                client.read()?;
                std::thread::sleep(Duration::from_millis(1));
            }
            let mut add =
                |what: &str, unit, value| report.sample(what, "servers", unit, servers as f64, value);
            add("SIGHUP to in force, by the clock on the wall", "ms", since.elapsed().as_secs_f64() * 1000.0);
            add("processor time of it, requests among it", "ms", limiter.spent() - before);
        }
    }
    Ok(report)
}
