//! Errors of the discovery watcher.

use hyper::StatusCode;
use std::error::Error;
use std::fmt::{Display, Formatter};

/// The reason why a watch or another request to the discovery agent failed.
#[derive(Debug)]
pub enum DiscoveryError {
    /// The connection could not be opened.
    Connect(std::io::Error),
    /// The request could not be built, for example because the agent's address is not a valid `Host` header.
    InvalidRequest(hyper::http::Error),
    /// The connection failed, or the agent violated the HTTP protocol.
    Http(hyper::Error),
    /// The response head did not arrive in time. The request stays open.
    ResponseTimeout,
    /// The agent responded with a status other than 200.
    UnexpectedStatus(StatusCode),
    /// The response body ended before a complete list was received, or while a watch was open.
    ResponseEnded,
    /// No byte arrived in time before an object or between two objects.
    IdleTimeout,
    /// An object began, but was not completed in time or stopped arriving.
    ObjectTimeout,
    /// A complete list was not received in time. The request may stay open.
    ListTimeout,
    /// A byte is not valid at its position in a JSON object.
    InvalidByte {
        /// The invalid byte.
        byte: u8,
        /// Offset of the byte from the start of the object, bytes.
        offset: usize,
    },
    /// An incomplete object is already larger than the limit.
    ObjectTooLarge {
        /// The limit, bytes.
        max_bytes: usize,
    },
    /// A JSON object is not an endpoint list.
    InvalidList(serde_json::Error),
    /// An entry of an incremental list could not be decoded.
    InvalidEntry,
    /// The watch was opened for the changes after a revision of another agent, and the agent's complete list
    /// has an earlier revision. The watch may therefore omit changes.
    EarlierRevision {
        /// The revision of the agent's complete list.
        revision: u64,
    },
}

impl Display for DiscoveryError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            DiscoveryError::Connect(error) => write!(f, "the connection could not be opened: {error}"),
            DiscoveryError::InvalidRequest(error) => write!(f, "the request could not be built: {error}"),
            DiscoveryError::Http(error) => write!(f, "HTTP error: {error}"),
            DiscoveryError::ResponseTimeout => f.write_str("the response head did not arrive in time"),
            DiscoveryError::UnexpectedStatus(status) => write!(f, "the agent responded with {status}"),
            DiscoveryError::ResponseEnded => f.write_str("the agent ended the response"),
            DiscoveryError::IdleTimeout => f.write_str("the agent sent nothing for too long"),
            DiscoveryError::ObjectTimeout => f.write_str("a JSON object was not completed in time"),
            DiscoveryError::ListTimeout => f.write_str("the complete list was not received in time"),
            DiscoveryError::InvalidByte { byte, offset } => {
                write!(f, "invalid JSON object: unexpected byte {byte:#04x} at offset {offset}")
            }
            DiscoveryError::ObjectTooLarge { max_bytes } => {
                write!(f, "a JSON object is larger than the limit of {max_bytes} bytes")
            }
            DiscoveryError::InvalidList(error) => write!(f, "a JSON object is not an endpoint list: {error}"),
            DiscoveryError::InvalidEntry => {
                f.write_str("an entry of an incremental list could not be decoded")
            }
            DiscoveryError::EarlierRevision { revision } => {
                write!(f, "the agent's list has revision {revision}, which is earlier than the known one")
            }
        }
    }
}

impl Error for DiscoveryError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            DiscoveryError::Connect(error) => Some(error),
            DiscoveryError::InvalidRequest(error) => Some(error),
            DiscoveryError::Http(error) => error.source(),
            DiscoveryError::InvalidList(error) => Some(error),
            _ => None,
        }
    }
}

impl From<hyper::http::Error> for DiscoveryError {
    fn from(error: hyper::http::Error) -> Self {
        DiscoveryError::InvalidRequest(error)
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
