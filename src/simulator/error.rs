//! Errors of the simulator's protocol.

use crate::config::SettingsError;
use std::error::Error;
use std::fmt::{Display, Formatter};

/// Why the input violates the simulator's protocol, or cannot be read or answered.
#[derive(Debug)]
pub enum FrameError {
    /// Reading or writing has failed.
    Io {
        /// What was read or written.
        stream: &'static str,
        /// Why.
        source: std::io::Error,
    },
    /// A fault of one frame.
    InFrame {
        /// Number of the frame, from 0.
        frame: u64,
        /// The fault.
        source: Box<FrameError>,
    },
    /// A fault of one event record.
    InRecord {
        /// Number of the record in its frame, from 0.
        record: usize,
        /// The fault.
        source: Box<FrameError>,
    },
    /// The input has ended within a frame's length.
    TruncatedLength,
    /// The input has ended within a frame.
    Truncated {
        /// Bytes that came.
        received: usize,
        /// The frame's length, bytes.
        length: usize,
    },
    /// A frame's length is shorter than its header.
    ShorterThanHeader {
        /// The length, bytes.
        length: usize,
    },
    /// More event records than the frame has room for.
    TooManyRecords {
        /// Their number by the header.
        count: usize,
    },
    /// A field lies outside of its bytes.
    FieldOutside {
        /// What the bytes are.
        section: &'static str,
        /// Where the field begins.
        offset: usize,
        /// Bytes of the field.
        size: usize,
    },
    /// A number is infinite or NaN.
    NotFinite {
        /// What the bytes are.
        section: &'static str,
        /// Where the number begins.
        offset: usize,
    },
    /// Items lie outside of the tail.
    ItemsOutside {
        /// What the bytes are.
        section: &'static str,
        /// Number of items.
        count: u32,
        /// Bytes of an item.
        size: usize,
        /// Where the first begins.
        offset: usize,
    },
    /// The settings of an instance are not UTF-8.
    SettingsNotUtf8,
    /// The settings of an instance cannot be used.
    Settings(SettingsError),
    /// An event for an instance that was not started.
    UnknownInstance {
        /// The event's code.
        code: u16,
        /// The instance.
        instance: u32,
    },
    /// An event of unknown kind.
    UnknownEvent(u16),
    /// An endpoint list of unknown kind.
    UnknownUpdate(u8),
    /// A server in an unknown state.
    UnknownState(u8),
    /// An unknown outcome.
    UnknownOutcome(u8),
}

impl FrameError {
    /// The same fault, with the number of its frame. A failure to read or write is no fault of the frame.
    pub(super) fn in_frame(self, frame: u64) -> Self {
        match self {
            FrameError::Io { .. } => self,
            fault => FrameError::InFrame { frame, source: Box::new(fault) },
        }
    }

    /// The same fault, with the number of its record.
    pub(super) fn in_record(self, record: usize) -> Self {
        FrameError::InRecord { record, source: Box::new(self) }
    }
}

impl Display for FrameError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            FrameError::Io { stream, source } => write!(f, "{stream}: {source}"),
            FrameError::InFrame { frame, source } => write!(f, "frame {frame}: {source}"),
            FrameError::InRecord { record, source } => write!(f, "record {record}: {source}"),
            FrameError::TruncatedLength => f.write_str("cut short in its length"),
            FrameError::Truncated { received, length } => {
                write!(f, "cut short, {received} of {length} bytes")
            }
            FrameError::ShorterThanHeader { length } => {
                write!(f, "length {length} is shorter than a header")
            }
            FrameError::TooManyRecords { count } => write!(f, "header: {count} records do not fit"),
            FrameError::FieldOutside { section, offset, size } => {
                write!(f, "{section}: {size} bytes at {offset} lie outside")
            }
            FrameError::NotFinite { section, offset } => {
                write!(f, "{section}: number at {offset} is not finite")
            }
            FrameError::ItemsOutside { section, count, size, offset } => {
                write!(f, "{section}: {count} items of {size} bytes from {offset} reach past the tail")
            }
            FrameError::SettingsNotUtf8 => f.write_str("settings: not UTF-8"),
            FrameError::Settings(error) => error.fmt(f),
            FrameError::UnknownInstance { code, instance } => {
                write!(f, "event {code} for instance {instance}, which was never provisioned")
            }
            FrameError::UnknownEvent(code) => write!(f, "unknown event code {code}"),
            FrameError::UnknownUpdate(kind) => write!(f, "list of unknown kind {kind}"),
            FrameError::UnknownState(state) => write!(f, "server in unknown state {state}"),
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
