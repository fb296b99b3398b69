//! The gateway's process.

use super::{Client, WAIT_TIMEOUT};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Pause between two looks at whether the process has ended.
const EXIT_POLL: Duration = Duration::from_millis(5);

/// Numbers the configuration files of this process.
static NEXT_FILE: AtomicUsize = AtomicUsize::new(0);

/// A running gateway; it is killed when this is dropped.
pub struct GatewayProcess {
    /// The process.
    pub child: Child,
    /// Where it serves.
    pub address: SocketAddr,
    /// Gateways of the fleet by its settings.
    pub gateways: usize,
    path: PathBuf,
}

impl GatewayProcess {
    /// Starts a gateway with a configuration and waits until it listens. The shell limits its descriptors, if
    /// they are to be limited.
    pub(super) fn launch(config: &str, descriptors: Option<usize>, gateways: usize) -> GatewayProcess {
        let number = NEXT_FILE.fetch_add(1, Ordering::SeqCst);
        let name = format!("rate-limiting-gateway-{}-{number}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, config).expect("a configuration");
        let mut command = command(descriptors);
        command.env("PROXY_CONFIG", &path).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the limiter");
        let address = wait_for_address(child.stderr.take().expect("a log"));
        GatewayProcess { child, address, gateways, path }
    }

    /// Connects a client.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Tells it to shut down.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.path, config).expect("a configuration");
        self.signal("-HUP");
    }

    /// Sends a signal, by its name as an option of `kill`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill").success());
    }

    /// Waits for the process and gives its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("a status") {
                return status.code();
            }
            assert!(Instant::now() < deadline, "the limiter does not end");
            std::thread::sleep(EXIT_POLL);
        }
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

fn command(descriptors: Option<usize>) -> Command {
    let program = env!("CARGO_BIN_EXE_rate-limiting-gateway");
    match descriptors {
        Some(limit) => {
            let mut shell = Command::new("/bin/sh");
            shell.arg("-c").arg(format!("ulimit -n {limit}; exec {program}"));
            shell
        }
        None => Command::new(program),
    }
}

/// Reads the log up to the address that the gateway serves at; a thread discards the rest.
fn wait_for_address(log: ChildStderr) -> SocketAddr {
    let mut lines = BufReader::new(log).lines();
    let address = loop {
        let line = lines.next().expect("a line of the log").expect("text");
        if let Some((_, address)) = line.split_once(" serves ") {
            break address.parse().expect("an address");
        }
    };
    std::thread::spawn(move || lines.for_each(drop));
    address
}
