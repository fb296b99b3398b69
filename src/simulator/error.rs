//! Errors of the simulator's protocol.

use crate::config::SettingsError;
use std::error::Error;
use std::fmt::{Display, Formatter};

/// The reason why the adapter cannot read or answer the simulator's input.
#[derive(Debug)]
pub enum FrameError {
    /// Reading from or writing to a stream failed.
    Io {
        /// Name of the stream.
        stream: &'static str,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A frame is invalid.
    InFrame {
        /// Number of the frame, from 0.
        frame: u64,
        /// The reason why the frame is invalid.
        source: Box<FrameError>,
    },
    /// An event record is invalid.
    InRecord {
        /// Number of the record in its frame, from 0.
        record: usize,
        /// The reason why the record is invalid.
        source: Box<FrameError>,
    },
    /// The input ended within the length field of a frame.
    TruncatedLength,
    /// The input ended within a frame.
    TruncatedFrame {
        /// Number of bytes of the frame that were received, with the length field.
        received: usize,
        /// Length of the frame, bytes, with the length field.
        length: usize,
    },
    /// The length of a frame is less than the length of the frame header.
    ShorterThanHeader {
        /// Length of the frame, bytes, with the length field.
        length: usize,
    },
    /// The frame is too short for the number of event records that its header states.
    TooManyRecords {
        /// Number of event records that the header states.
        count: usize,
    },
    /// A field extends past the end of its section.
    FieldOutOfBounds {
        /// Name of the section: `header`, `event`, `tail` or `endpoint`.
        section: &'static str,
        /// Offset of the field in the section, bytes.
        offset: usize,
        /// Size of the field, bytes.
        size: usize,
    },
    /// A floating-point number is infinite or NaN.
    NotFinite {
        /// Name of the section that contains the number.
        section: &'static str,
        /// Offset of the number in the section, bytes.
        offset: usize,
    },
    /// A list of items extends past the end of its section.
    ItemsOutOfBounds {
        /// Name of the section that should contain the items.
        section: &'static str,
        /// Number of items.
        count: u32,
        /// Size of one item, bytes.
        size: usize,
        /// Offset of the first item in the section, bytes.
        offset: usize,
    },
    /// The settings of an instance are not valid UTF-8.
    SettingsNotUtf8,
    /// The settings of an instance are invalid.
    Settings(SettingsError),
    /// An event is addressed to an instance that is not running.
    UnknownInstance {
        /// Code of the event.
        code: u16,
        /// Number of the instance.
        instance: u32,
    },
    /// The code of an event is unknown.
    UnknownEvent(u16),
    /// The kind of an endpoint update is unknown.
    UnknownEndpointUpdate(u8),
    /// The state of an endpoint is unknown.
    UnknownEndpointState(u8),
    /// The outcome of an attempt, a health check or a counter call is unknown.
    UnknownOutcome(u8),
}

impl FrameError {
    /// Adds the number of the invalid frame. I/O errors are returned unchanged, since the frame did not cause
    /// them.
    pub(super) fn in_frame(self, frame: u64) -> Self {
        match self {
            FrameError::Io { .. } => self,
            error => FrameError::InFrame { frame, source: Box::new(error) },
        }
    }

    /// Adds the number of the invalid record.
    pub(super) fn in_record(self, record: usize) -> Self {
        FrameError::InRecord { record, source: Box::new(self) }
    }
}

impl Display for FrameError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            FrameError::Io { stream, source } => write!(f, "I/O error on {stream}: {source}"),
            FrameError::InFrame { frame, source } => write!(f, "frame {frame}: {source}"),
            FrameError::InRecord { record, source } => write!(f, "record {record}: {source}"),
            FrameError::TruncatedLength => f.write_str("input ended within the frame length"),
            FrameError::TruncatedFrame { received, length } => {
                write!(f, "input ended within the frame, after {received} of {length} bytes")
            }
            FrameError::ShorterThanHeader { length } => {
                write!(f, "frame length {length} is shorter than a header")
            }
            FrameError::TooManyRecords { count } => {
                write!(f, "header: {count} event records do not fit into the frame")
            }
            FrameError::FieldOutOfBounds { section, offset, size } => {
                write!(f, "{section}: field of {size} bytes at {offset} extends past the end")
            }
            FrameError::NotFinite { section, offset } => {
                write!(f, "{section}: number at {offset} is not finite")
            }
            FrameError::ItemsOutOfBounds { section, count, size, offset } => {
                write!(f, "{section}: {count} items of {size} bytes at {offset} extend past the end")
            }
            FrameError::SettingsNotUtf8 => f.write_str("settings are not valid UTF-8"),
            FrameError::Settings(error) => error.fmt(f),
            FrameError::UnknownInstance { code, instance } => {
                write!(f, "event {code} for instance {instance}, which is not running")
            }
            FrameError::UnknownEvent(code) => write!(f, "unknown event code {code}"),
            FrameError::UnknownEndpointUpdate(kind) => write!(f, "unknown kind of endpoint update {kind}"),
            FrameError::UnknownEndpointState(state) => write!(f, "unknown endpoint state {state}"),
            FrameError::UnknownOutcome(outcome) => write!(f, "unknown outcome {outcome}"),
        }
    }
}

impl Error for FrameError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            FrameError::Io { source, .. } => Some(source),
            FrameError::InFrame { source, .. } | FrameError::InRecord { source, .. } => Some(source),
            FrameError::Settings(error) => Some(error),
            _ => None,
        }
    }
}

impl From<SettingsError> for FrameError {
    fn from(error: SettingsError) -> Self {
        FrameError::Settings(error)
    }
}
