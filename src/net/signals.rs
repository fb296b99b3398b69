//! The signals that control the gateway process.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlSignal {
    /// SIGHUP: read the configuration again.
    Reload,
    /// SIGTERM or SIGINT: shut down gracefully.
    Shutdown,
}

/// Handlers of the control signals.
pub struct ControlSignals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl ControlSignals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// When the system refuses a handler.
    pub fn install() -> io::Result<Self> {
        Ok(ControlSignals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal. Dropped before it is ready, it loses none.
    pub async fn next(&mut self) -> ControlSignal {
        tokio::select! {
            _ = self.terminate.recv() => ControlSignal::Shutdown,
            _ = self.interrupt.recv() => ControlSignal::Shutdown,
            _ = self.hangup.recv() => ControlSignal::Reload,
        }
    }
}
