//! The lifecycle of a gateway process: startup, configuration reload and graceful shutdown.

use super::client::ClientListener;
use super::connection_limits::ConnectionLimits;
use super::discovery::{max_object_bytes, WatcherHandle, WatcherLimits};
use super::event_loop::EventLoop;
use super::shutdown::{self, ShutdownSchedule};
use super::signals::{ControlSignal, ControlSignals};
use super::socket::listen;
use super::supervisor::keep_running;
use crate::config::Config;
use crate::ids::Millis;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;
use thiserror::Error;

/// The reason why the gateway cannot start.
#[derive(Debug, Error)]
pub enum ServeError {
    /// A signal handler cannot be installed.
    #[error("cannot install a signal handler: {0}")]
    Signals(#[source] io::Error),
    /// The gateway cannot listen on the configured address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error that the operating system reported.
        source: io::Error,
    },
}

/// Serves clients until SIGTERM or SIGINT arrives, then shuts down gracefully and returns. On SIGHUP the
/// gateway reads the configuration at `config_path` again. Must run in a [`LocalSet`](tokio::task::LocalSet).
///
/// # Errors
/// Returns an error if the gateway cannot start.
pub async fn serve(config: Config, config_path: String) -> Result<(), ServeError> {
    // The handlers are installed before anything else: a signal without a handler would end the process.
    let mut signals = ControlSignals::install().map_err(ServeError::Signals)?;
    let mut gateway = RunningGateway::start(config, config_path)?;
    while signals.next().await == ControlSignal::Reload {
        gateway.reload();
    }
    gateway.shut_down(&mut signals).await;
    Ok(())
}

struct RunningGateway {
    config_path: String,
    event_loop: Rc<EventLoop>,
    clients: Rc<ClientListener>,
    discovery: WatcherHandle<SocketAddr>,
    /// The longest deadline of any request class, ms; 0 if no class has a deadline.
    max_deadline: Millis,
}

impl RunningGateway {
    fn start(config: Config, config_path: String) -> Result<Self, ServeError> {
        let limits = ConnectionLimits::from_process_limits(config.limits);
        let event_loop = EventLoop::new(&config, limits.max_upstream);
        event_loop.start();
        let discovery = start_discovery(&config, &event_loop);
        let clients = ClientListener::new(event_loop.clone(), limits.max_clients);
        let address = start_listener(&clients, config.listen)
            .map_err(|source| ServeError::Listen { address: config.listen, source })?;
        // The program that starts this process may read the address from this line, so its format must not
        // change.
        log::info!("{} serves {address}", config.name);
        let max_deadline = config.settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        Ok(RunningGateway { config_path, event_loop, clients, discovery, max_deadline })
    }

    /// Reads the configuration file again and applies the addresses of discovery and the counter service. All
    /// other settings need a restart. If the file cannot be read or is invalid, nothing changes.
    fn reload(&mut self) {
        match Config::load(&self.config_path) {
            Ok(config) => {
                let counter = config.counter.map_or_else(|| "none".to_owned(), |address| address.to_string());
                log::info!(
                    "configuration reloaded: discovery {}, counter {counter}; other settings need a restart",
                    config.discovery
                );
                self.discovery.switch_agent(&self.event_loop, config.discovery);
                self.event_loop.counter().set_address(config.counter);
            }
            Err(error) => {
                log::error!("configuration reload failed, keeping the previous configuration: {error}")
            }
        }
    }

    /// Shuts down gracefully. Returns when all accepted requests are answered or the time for answering them
    /// has run out.
    async fn shut_down(mut self, signals: &mut ControlSignals) {
        let start = Instant::now();
        let (event_loop, clients) = (self.event_loop.clone(), self.clients.clone());
        log::info!(
            "shutting down: finishing {} client connections with {} requests in flight",
            clients.connection_count(),
            event_loop.requests_in_flight()
        );
        clients.start_draining();
        let schedule = ShutdownSchedule::new(start, self.max_deadline);
        let mut finish = pin!(shutdown::finish_requests(&event_loop, &clients, schedule));
        loop {
            tokio::select! {
                () = finish.as_mut() => break,
                signal = signals.next() => match signal {
                    ControlSignal::Reload => self.reload(),
                    // The shutdown continues: accepted requests still need their answers.
                    ControlSignal::Shutdown => {}
                },
            }
        }
        log::info!("shutdown completed after {} ms", start.elapsed().as_millis());
    }
}

fn start_discovery(config: &Config, event_loop: &Rc<EventLoop>) -> WatcherHandle<SocketAddr> {
    let known_revision = config.cached_endpoints().map(|list| list.revision);
    let limits = WatcherLimits {
        drain_grace: event_loop.drain_grace(),
        max_object_bytes: max_object_bytes(config.limits.memory_mb),
    };
    WatcherHandle::start(event_loop, config.discovery, known_revision, limits)
}

/// Starts the tasks that accept client connections and close idle ones, and returns the address that the
/// gateway listens on. The listener stays open for the life of the process, even during a shutdown: closing
/// it would reset the connections that wait to be accepted, and their requests would be lost.
fn start_listener(clients: &Rc<ClientListener>, address: SocketAddr) -> io::Result<SocketAddr> {
    let listener = Rc::new(listen(address)?);
    let address = listener.local_addr()?;
    let acceptor = clients.clone();
    keep_running("accept", move || acceptor.clone().accept(listener.clone()));
    let reaper = clients.clone();
    keep_running("idle reaper", move || reaper.clone().run_idle_reaper());
    Ok(address)
}
