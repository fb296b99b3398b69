//! Why a call to the discovery agent or a watch has failed.

use hyper::StatusCode;
use std::error::Error;
use std::fmt::{Display, Formatter};

/// Why a call to the discovery agent or a watch has failed.
#[derive(Debug)]
pub enum DiscoveryError {
    /// The connection cannot be opened.
    Connect(std::io::Error),
    /// The connection was not open in time.
    ConnectTimeout,
    /// The request cannot be built for this agent's address.
    Request(hyper::http::Error),
    /// The connection or its HTTP framing has failed.
    Http(hyper::Error),
    /// The response head did not come in time.
    ResponseTimeout,
    /// The agent has answered, with another status than 200.
    Refused(StatusCode),
    /// The response body has ended where a list or a further event was due.
    ResponseEnded,
    /// Nothing has come between two objects for too long.
    Idle,
    /// An object has begun and was not complete in time.
    ObjectTimeout,
    /// A complete list was not received in time.
    ListTimeout,
    /// A byte that cannot stand where it does in a JSON object.
    InvalidByte {
        /// The byte.
        byte: u8,
        /// Its position in the object, bytes.
        offset: usize,
    },
    /// An object over the limit.
    ObjectTooLarge {
        /// The limit, bytes.
        max_bytes: usize,
    },
    /// A JSON object that is no endpoint list.
    InvalidList(serde_json::Error),
    /// An entry of an incremental list cannot be decoded.
    InvalidEntry,
}

impl Display for DiscoveryError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            DiscoveryError::Connect(error) => write!(f, "cannot connect: {error}"),
            DiscoveryError::ConnectTimeout => f.write_str("connecting timed out"),
            DiscoveryError::Request(error) => write!(f, "invalid request: {error}"),
            DiscoveryError::Http(error) => error.fmt(f),
            DiscoveryError::ResponseTimeout => f.write_str("no response in time"),
            DiscoveryError::Refused(status) => write!(f, "answered {status}"),
            DiscoveryError::ResponseEnded => f.write_str("the response has ended"),
            DiscoveryError::Idle => f.write_str("the agent has gone silent"),
            DiscoveryError::ObjectTimeout => f.write_str("an object was not complete in time"),
            DiscoveryError::ListTimeout => f.write_str("the complete list was not received in time"),
            DiscoveryError::InvalidByte { byte, offset } => {
                write!(f, "not a JSON object: byte {byte:#04x} at offset {offset}")
            }
            DiscoveryError::ObjectTooLarge { max_bytes } => {
                write!(f, "an object of over {max_bytes} bytes")
            }
            DiscoveryError::InvalidList(error) => write!(f, "not an endpoint list: {error}"),
            DiscoveryError::InvalidEntry => f.write_str("an entry cannot be decoded"),
        }
    }
}

impl Error for DiscoveryError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            DiscoveryError::Connect(error) => Some(error),
            DiscoveryError::Request(error) => Some(error),
            DiscoveryError::Http(error) => error.source(),
            DiscoveryError::InvalidList(error) => Some(error),
            _ => None,
        }
    }
}

impl From<hyper::http::Error> for DiscoveryError {
    fn from(error: hyper::http::Error) -> Self {
        DiscoveryError::Request(error)
    }
}

impl From<hyper::Error> for DiscoveryError {
    fn from(error: hyper::Error) -> Self {
        DiscoveryError::Http(error)
    }
}

impl From<serde_json::Error> for DiscoveryError {
    fn from(error: serde_json::Error) -> Self {
        DiscoveryError::InvalidList(error)
    }
}
