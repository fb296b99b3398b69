//! The life of a gateway process on its sockets: start, reload of the configuration, graceful shutdown.

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
use std::time::{Duration, Instant};
use thiserror::Error;

/// Without a server list from discovery the gateway serves with the cached one after this.
const INITIAL_LIST_TIMEOUT: Duration = Duration::from_millis(500);

/// Why the gateway cannot serve.
#[derive(Debug, Error)]
pub enum ServeError {
    /// A signal handler cannot be installed.
    #[error("signal handler: {0}")]
    Signals(#[source] io::Error),
    /// The configured address cannot be listened on.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
}

/// Serves until SIGTERM or SIGINT, and then until what was accepted is answered. On SIGHUP the configuration
/// at `config_path` is read again. Needs a [`LocalSet`](tokio::task::LocalSet).
///
/// # Errors
/// When the gateway cannot start to serve.
pub async fn serve(config: Config, config_path: String) -> Result<(), ServeError> {
    // Before anything else: a signal that arrives while it has no handler ends the process.
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
    /// The longest deadline of a class, ms.
    max_deadline: Millis,
}

impl RunningGateway {
    fn start(config: Config, config_path: String) -> Result<Self, ServeError> {
        let limits = ConnectionLimits::from_process_limits(config.limits);
        let event_loop = EventLoop::new(&config, limits.max_upstream);
        event_loop.start();
        let discovery = start_discovery(&config, &event_loop);
        limit_wait_for_list(event_loop.clone());
        let clients = ClientListener::new(event_loop.clone(), limits.max_clients);
        let address = start_listener(&clients, config.listen)
            .map_err(|source| ServeError::Listen { address: config.listen, source })?;
        // Whoever starts the process may wait for this line to learn the address: its form is an interface.
        log::info!("{} serves {address}", config.name);
        let max_deadline = config.settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        Ok(RunningGateway { config_path, event_loop, clients, discovery, max_deadline })
    }

    /// Takes over the addresses of discovery and the counter; all other settings need a restart. A file that
    /// cannot be read or is invalid changes nothing.
    fn reload(&mut self) {
        match Config::load(&self.config_path) {
            Ok(config) => {
                let counter = config.counter.map_or_else(|| "none".to_owned(), |address| address.to_string());
                log::info!(
                    "configuration reloaded: discovery {}, counter {counter}; other settings need a restart",
                    config.discovery
                );
                self.discovery.move_to(&self.event_loop, config.discovery);
                self.event_loop.counter().move_to(config.counter);
            }
            Err(error) => log::error!("configuration reload rejected: {error}"),
        }
    }

    /// Ends when all that was accepted has its answer, or when the time for it is up.
    async fn shut_down(mut self, signals: &mut ControlSignals) {
        let start = Instant::now();
        let (event_loop, clients) = (self.event_loop.clone(), self.clients.clone());
        log::info!(
            "shutting down: {} connections, {} requests in flight",
            clients.connection_count(),
            event_loop.requests_in_flight()
        );
        clients.start_draining();
        let schedule = ShutdownSchedule::new(start, self.max_deadline);
        let mut finished = pin!(shutdown::finish_requests(&event_loop, &clients, schedule));
        loop {
            tokio::select! {
                () = finished.as_mut() => break,
                signal = signals.next() => match signal {
                    ControlSignal::Reload => self.reload(),
                    // The shutdown goes on: what was accepted still needs its answer.
                    ControlSignal::Shutdown => {}
                },
            }
        }
        log::info!("shutdown complete after {} ms", start.elapsed().as_millis());
    }
}

fn start_discovery(config: &Config, event_loop: &Rc<EventLoop>) -> WatcherHandle<SocketAddr> {
    let known_revision = config.known().map(|list| list.revision);
    let limits = WatcherLimits {
        drain_grace: event_loop.drain_grace(),
        max_object_bytes: max_object_bytes(config.limits.memory_mb),
    };
    WatcherHandle::start(event_loop, config.discovery, known_revision, limits)
}

/// Serves with the cached server list if discovery has none in time.
fn limit_wait_for_list(event_loop: Rc<EventLoop>) {
    tokio::task::spawn_local(async move {
        tokio::time::sleep(INITIAL_LIST_TIMEOUT).await;
        event_loop.set_ready();
    });
}

/// Accepts clients for the life of the process, also during a shutdown: when a listener closes, the
/// connections that wait to be accepted are reset and their requests lost. Returns the address listened on.
fn start_listener(clients: &Rc<ClientListener>, address: SocketAddr) -> io::Result<SocketAddr> {
    let listener = Rc::new(listen(address)?);
    let address = listener.local_addr()?;
    let accepting = clients.clone();
    keep_running("accept", move || accepting.clone().accept(listener.clone()));
    let reaping = clients.clone();
    keep_running("idle reaper", move || reaping.clone().reap_idle());
    Ok(address)
}
