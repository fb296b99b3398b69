//! Handles the signals that control the gateway process.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The operation that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlSignal {
    /// SIGHUP: read the configuration again.
    Reload,
    /// SIGTERM or SIGINT: shut down gracefully.
    Shutdown,
}

/// The installed handlers of the control signals.
pub struct ControlSignals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl ControlSignals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// Returns an error if the operating system refuses a handler.
    pub fn install() -> io::Result<Self> {
        Ok(ControlSignals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal. Dropping the returned future before it is ready loses no signal.
    pub async fn next(&mut self) -> ControlSignal {
        tokio::select! {
            _ = self.terminate.recv() => ControlSignal::Shutdown,
            _ = self.interrupt.recv() => ControlSignal::Shutdown,
            _ = self.hangup.recv() => ControlSignal::Reload,
        }
    }
}
