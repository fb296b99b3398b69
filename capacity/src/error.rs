//! Errors of the measurements.

use hdrhistogram::{CreationError, RecordError};
use std::fmt;
use std::net::AddrParseError;

/// Why a measurement could not be made.
#[derive(Debug)]
pub enum Error {
    /// A process, file or socket failed.
    Io(std::io::Error),
    /// A JSON text could not be parsed or formatted.
    Json(serde_json::Error),
    /// A histogram of latencies could not be created.
    HistogramCreation(CreationError),
    /// A latency is outside the bounds of the histogram.
    HistogramRecord(RecordError),
    /// The gateway logged an address that cannot be parsed.
    Address(AddrParseError),
    /// The gateway's log cannot be read, because its standard error is not connected to a pipe.
    StderrNotPiped,
    /// The gateway exited before it logged the address that it serves.
    ExitedBeforeServing,
    /// The gateway did not become ready within the time-out.
    NotReady,
    /// A `memory-one` process did not print a number.
    InvalidMemoryOutput,
    /// `memory-one` was called with an unknown kind of state.
    UnknownKind(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(error) => write!(f, "a process, file or socket operation failed: {error}"),
            Error::Json(error) => write!(f, "cannot parse or format JSON: {error}"),
            Error::HistogramCreation(error) => write!(f, "cannot create a latency histogram: {error}"),
            Error::HistogramRecord(error) => write!(f, "cannot record a latency in the histogram: {error}"),
            Error::Address(error) => write!(f, "cannot parse the address in the gateway's log: {error}"),
            Error::StderrNotPiped => {
                write!(f, "cannot read the gateway's log: its standard error is not piped")
            }
            Error::ExitedBeforeServing => {
                write!(f, "the gateway exited before it logged the address that it serves")
            }
            Error::NotReady => write!(f, "the gateway did not become ready within the time-out"),
            Error::InvalidMemoryOutput => write!(f, "a `memory-one` process did not print a number"),
            Error::UnknownKind(kind) => write!(f, "unknown kind of state: {kind}"),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Error::Io(error) => Some(error),
            Error::Json(error) => Some(error),
            Error::HistogramCreation(error) => Some(error),
            Error::HistogramRecord(error) => Some(error),
            Error::Address(error) => Some(error),
            Error::StderrNotPiped
            | Error::ExitedBeforeServing
            | Error::NotReady
            | Error::InvalidMemoryOutput
            | Error::UnknownKind(_) => None,
        }
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Error::Io(error)
    }
}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Self {
        Error::Json(error)
    }
}

impl From<CreationError> for Error {
    fn from(error: CreationError) -> Self {
        Error::HistogramCreation(error)
    }
}

impl From<RecordError> for Error {
    fn from(error: RecordError) -> Self {
        Error::HistogramRecord(error)
    }
}

impl From<AddrParseError> for Error {
    fn from(error: AddrParseError) -> Self {
        Error::Address(error)
    }
}
