//! Runs the gateway as a child process.

use super::{Client, WAIT_TIMEOUT};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Interval between two checks whether the process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Number of the next configuration file that this test process writes.
static NEXT_FILE_NUMBER: AtomicUsize = AtomicUsize::new(0);

/// A running gateway process. It is killed when this value is dropped.
pub struct GatewayProcess {
    /// The child process.
    pub child: Child,
    /// The address that the gateway serves.
    pub address: SocketAddr,
    /// Number of gateways in the fleet, as the gateway's settings state it.
    pub gateways: usize,
    path: PathBuf,
}

impl GatewayProcess {
    /// Starts a gateway with a configuration and waits until it listens. If `descriptor_limit` is given, a
    /// shell limits the number of its file descriptors.
    pub(super) fn launch(config: &str, descriptor_limit: Option<usize>, gateways: usize) -> GatewayProcess {
        let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::SeqCst);
        let name = format!("rate-limiting-gateway-{}-{number}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, config).expect("the configuration file could not be written");
        let mut command = command(descriptor_limit);
        command.env("PROXY_CONFIG", &path).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the gateway could not be started");
        let address = wait_for_address(child.stderr.take().expect("the gateway has no log stream"));
        GatewayProcess { child, address, gateways, path }
    }

    /// Connects a new client to the gateway.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Sends SIGTERM, which starts a graceful shutdown.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.path, config).expect("the configuration file could not be written");
        self.signal("-HUP");
    }

    /// Sends a signal to the gateway. `name` is the option of `kill` that selects it, such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill could not be run").success());
    }

    /// Waits until the process exits and returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("the state of the gateway could not be read") {
                return status.code();
            }
            assert!(Instant::now() < deadline, "the gateway did not exit in time");
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
    }
}

/// Largest resident memory that the gateway has had, kB.
pub fn peak_memory(gateway: &GatewayProcess) -> usize {
    memory_figure(gateway, "VmHWM:")
}

/// Resident memory of the gateway, kB.
pub fn memory(gateway: &GatewayProcess) -> usize {
    memory_figure(gateway, "VmRSS:")
}

/// A figure of the kernel's status of the process, kB.
fn memory_figure(gateway: &GatewayProcess, name: &str) -> usize {
    let path = format!("/proc/{}/status", gateway.child.id());
    let status = std::fs::read_to_string(path).expect("the status of the gateway could not be read");
    let line = status.lines().find(|line| line.starts_with(name)).expect("the status lacks the figure");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("the figure is not a number")
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

fn command(descriptor_limit: Option<usize>) -> Command {
    let program = env!("CARGO_BIN_EXE_rate-limiting-gateway");
    match descriptor_limit {
        Some(limit) => {
            let mut shell = Command::new("/bin/sh");
            shell.arg("-c").arg(format!("ulimit -n {limit}; exec {program}"));
            shell
        }
        None => Command::new(program),
    }
}

/// Reads the log up to the line with the address that the gateway serves. A thread discards the rest.
fn wait_for_address(log: ChildStderr) -> SocketAddr {
    let mut lines = BufReader::new(log).lines();
    let address = loop {
        let line = lines
            .next()
            .expect("the log ended before the gateway served an address")
            .expect("the log could not be read");
        if let Some((_, address)) = line.split_once(" serves ") {
            break address.parse().expect("the address in the log is invalid");
        }
    };
    std::thread::spawn(move || lines.for_each(drop));
    address
}
