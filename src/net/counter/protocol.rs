//! The text protocol of the counter service. Each call is one line, and gets a reply of one line. Calls end
//! in CRLF; a reply may also end in a line feed alone.
//!
//! | call | replies |
//! | --- | --- |
//! | `bump <key> <amount> <time to live>` | `ok <total>`, `busy`, `error ...` |
//! | `ping` | `pong` |
//!
//! A key is written as 16 hexadecimal digits, and the time to live in whole ms.

use crate::ids::{CounterKey, Millis};
use std::fmt;

/// Maximum length of a reply line, bytes, without its line feed.
pub(super) const MAX_REPLY_LINE_BYTES: usize = 256;

/// The line of the ping call, which keeps an idle connection open.
pub(super) const PING_LINE: &[u8] = b"ping\r\n";

/// A call that adds to a counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Increment {
    /// The key of the counter to add to.
    pub key: CounterKey,
    /// The amount to add, which may be negative; 0 only reads the total.
    pub amount: f64,
    /// Time to live of the counter if this call creates it, ms. It is sent as a whole number of at least 1.
    pub ttl: Millis,
}

impl Increment {
    pub(super) fn to_line(self) -> String {
        let ttl = (self.ttl as u64).max(1);
        format!("bump {:016x} {} {ttl}\r\n", self.key.0, self.amount)
    }
}

/// A reply of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Reply {
    /// The amount was added. Holds the counter's total after the addition.
    Total(f64),
    /// The service is overloaded; nothing was added.
    Busy,
    /// The service rejected the call; nothing was added.
    Error,
    /// The reply to a ping.
    Pong,
}

impl Reply {
    /// Parses a line without its line feed.
    ///
    /// # Errors
    /// Returns an error if the line is not a reply of the protocol. The error contains the line, or `?` if
    /// the line is not UTF-8.
    pub(super) fn parse(line: &[u8]) -> Result<Self, InvalidReply> {
        let text = std::str::from_utf8(line).unwrap_or("?").trim();
        let (keyword, argument) = match text.split_once(' ') {
            Some((keyword, argument)) => (keyword, Some(argument)),
            None => (text, None),
        };
        let reply = match (keyword, argument) {
            ("ok", Some(total)) => parse_total(total).map(Reply::Total),
            ("busy", None) => Some(Reply::Busy),
            ("error", _) => Some(Reply::Error),
            ("pong", None) => Some(Reply::Pong),
            _ => None,
        };
        reply.ok_or_else(|| InvalidReply(text.to_owned()))
    }
}

fn parse_total(text: &str) -> Option<f64> {
    text.trim().parse().ok().filter(|total: &f64| total.is_finite())
}

/// A line that is not a reply of the protocol.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct InvalidReply(String);

impl fmt::Display for InvalidReply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid reply {:?}", self.0)
    }
}

impl std::error::Error for InvalidReply {}

#[cfg(test)]
#[path = "../../../tests/unit/counter_protocol.rs"]
mod tests;
