//! Errors of the measurements.

use hdrhistogram::{CreationError, RecordError};
use std::fmt;
use std::net::AddrParseError;

/// Why a measurement could not be made.
#[derive(Debug)]
pub enum Error {
    /// A process, file or socket failed.
    Io(std::io::Error),
    /// A JSON text could not be read or laid out.
    Json(serde_json::Error),
    /// A histogram of latencies could not be created.
    HistogramCreation(CreationError),
    /// A latency is beyond the histogram's bounds.
    HistogramRecord(RecordError),
    /// The gateway logged an address that cannot be read.
    Address(AddrParseError),
    /// The gateway's log cannot be read.
    NoLog,
    /// The gateway exited before it served.
    Exited,
    /// The gateway was not ready in time.
    NotReady,
    /// A measuring process printed no figure.
    NoFigure,
    /// `memory-one` was given a kind that it does not know.
    UnknownKind(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(error) => write!(f, "input or output failed: {error}"),
            Error::Json(error) => write!(f, "invalid JSON: {error}"),
            Error::HistogramCreation(error) => write!(f, "no histogram: {error}"),
            Error::HistogramRecord(error) => write!(f, "latency not recorded: {error}"),
            Error::Address(error) => write!(f, "invalid address in the gateway's log: {error}"),
            Error::NoLog => write!(f, "the gateway's log cannot be read"),
            Error::Exited => write!(f, "the gateway exited before it served"),
            Error::NotReady => write!(f, "the gateway was not ready in time"),
            Error::NoFigure => write!(f, "a measuring process printed no figure"),
            Error::UnknownKind(kind) => write!(f, "unknown kind: {kind}"),
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
            Error::NoLog | Error::Exited | Error::NotReady | Error::NoFigure | Error::UnknownKind(_) => None,
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
