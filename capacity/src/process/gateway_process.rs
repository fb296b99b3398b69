//! Starts a gateway as a separate process, and measures its processor time and memory.

use super::READY_TIMEOUT;
use crate::error::Error;
use crate::memory::resident_bytes;
use crate::stub_peers::{start_counter, Client};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Pause between two readiness checks of a starting gateway.
const READINESS_POLL: Duration = Duration::from_millis(5);

/// Number of the next configuration file that this process writes.
static NEXT_FILE: AtomicUsize = AtomicUsize::new(0);

/// A running gateway process. Dropping this value kills the process and deletes its configuration file.
pub(super) struct GatewayProcess {
    child: Child,
    pub address: SocketAddr,
    config_path: PathBuf,
    counter: SocketAddr,
    /// Number of gateways in the fleet according to the settings.
    gateways: usize,
    pub started: Instant,
}

impl GatewayProcess {
    /// Starts a gateway and waits until it has logged the address that it serves.
    pub fn start(program: &Path, discovery: SocketAddr, gateways: usize) -> Result<Self, Error> {
        let number = NEXT_FILE.fetch_add(1, Ordering::SeqCst);
        let name = format!("gateway-capacity-{}-{number}.json", std::process::id());
        let config_path = std::env::temp_dir().join(name);
        let counter = start_counter()?;
        std::fs::write(&config_path, config(discovery, counter, gateways))?;
        let started = Instant::now();
        let mut child =
            Command::new(program).env("PROXY_CONFIG", &config_path).stderr(Stdio::piped()).spawn()?;
        let address = wait_for_address(child.stderr.take().ok_or(Error::StderrNotPiped)?)?;
        Ok(GatewayProcess { child, address, config_path, counter, gateways, started })
    }

    /// Starts a gateway and waits until it is ready.
    pub fn start_ready(program: &Path, discovery: SocketAddr, gateways: usize) -> Result<Self, Error> {
        let gateway = GatewayProcess::start(program, discovery, gateways)?;
        if gateway.wait_until_ready()? {
            Ok(gateway)
        } else {
            Err(Error::NotReady)
        }
    }

    /// Waits until the gateway is ready. Returns `false` if it is not ready within [`READY_TIMEOUT`].
    pub fn wait_until_ready(&self) -> Result<bool, Error> {
        while self.started.elapsed() < READY_TIMEOUT {
            if Client::connect(self.address)?.is_ready()? {
                return Ok(true);
            }
            std::thread::sleep(READINESS_POLL);
        }
        Ok(false)
    }

    /// Replaces the configuration file by one that names another discovery agent.
    pub fn configure_discovery(&self, discovery: SocketAddr) -> Result<(), Error> {
        Ok(std::fs::write(&self.config_path, config(discovery, self.counter, self.gateways))?)
    }

    /// Sends SIGHUP to the gateway, which then reads its configuration file again.
    pub fn send_sighup(&self) -> Result<(), Error> {
        Command::new("kill").args(["-HUP", &self.child.id().to_string()]).status()?;
        Ok(())
    }

    /// Processor time that all threads of the gateway have used so far, ms.
    pub fn processor_time(&self) -> f64 {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        let mut nanos = 0.0;
        for task in tasks.into_iter().flatten().flatten() {
            let text = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
            nanos += text.split(' ').next().and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
        }
        nanos / 1e6
    }

    /// Resident memory of the gateway, bytes.
    pub fn resident_bytes(&self) -> f64 {
        resident_bytes(self.child.id()).unwrap_or_default() as f64
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}

/// Reads the log until the gateway reports the address that it serves. A thread discards the rest of the log.
fn wait_for_address(log: ChildStderr) -> Result<SocketAddr, Error> {
    let mut lines = BufReader::new(log).lines();
    let address = loop {
        let line = lines.next().ok_or(Error::ExitedBeforeServing)??;
        if let Some((_, address)) = line.split_once(" serves ") {
            break address.parse()?;
        }
    };
    std::thread::spawn(move || lines.for_each(drop));
    Ok(address)
}

/// The gateway's configuration as JSON text.
fn config(discovery: SocketAddr, counter: SocketAddr, gateways: usize) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","counter":"{counter}","seed":"8c1f30d27a5be964","limits":{{"sockets":16384,"memory_mb":4096}},
        "settings":{{"balancers":{gateways},"areas":["zone-0","zone-1","zone-2","zone-3","zone-4","zone-5"],"zone":0,"discovery":"pushed",
        "classes":[{{"name":"look","deadline":9000,"goal_time":8000,"importance":2,"idempotency":"free"}}],
        "plans":[{{"name":"large","rate":100000,"store_size":100000}},{{"name":"small","rate":100,"store_size":200}}],
        "ceilings":{{"conn_idle":60000,"connect_timeout":1000,"max_attempts":3,"cancelling":true,"retry_after":true,"max_retry_after":1000}},
        "family_info":{{"shared_counter":true,"counter_timeout":50,"max_units":2}},
        "safety":{{"start_capacity":0.2,"warm_after":16000,"overload_factor":2,"tip_after":2000}}}}}}"#
    )
}
