//! Handles the signals that control the gateway process.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// What a signal tells the gateway process to do.
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
    /// Installs the handlers. From then on, the signals no longer end the process.
    ///
    /// # Errors
    /// Returns an error if the operating system does not allow a handler to be installed.
    pub fn install() -> io::Result<Self> {
        Ok(ControlSignals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal. No signal is lost if the returned future is dropped before it is ready.
    pub async fn next(&mut self) -> ControlSignal {
        tokio::select! {
            _ = self.terminate.recv() => ControlSignal::Shutdown,
            _ = self.interrupt.recv() => ControlSignal::Shutdown,
            _ = self.hangup.recv() => ControlSignal::Reload,
        }
    }
}
