//! Writes calls to a connection and reads the replies.

use super::calls::OutstandingCalls;
use super::connection::{Connection, PendingCall, PendingKind, UnmatchedReply};
use super::protocol::{InvalidReply, Reply, MAX_REPLY_LINE_BYTES};
use crate::event::{Event, Outcome};
use crate::net::event_sink::EventSink;
use std::fmt;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const READ_BUFFER_BYTES: usize = 2048;

/// The reason why a connection failed.
#[derive(Debug)]
pub(super) enum ExchangeError {
    /// Reading or writing failed.
    Io(io::Error),
    /// The service closed the connection.
    Closed,
    /// The service did not reply in time.
    Unresponsive,
    /// A reply line is longer than the protocol allows.
    LineTooLong,
    /// A line is not a valid reply.
    Invalid(InvalidReply),
    /// A reply arrived while no call was pending.
    Unexpected(Reply),
    /// A ping got the reply to an increment, or an increment got the reply to a ping.
    OutOfOrder(Reply),
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExchangeError::Io(error) => write!(f, "{error}"),
            ExchangeError::Closed => write!(f, "the service closed the connection"),
            ExchangeError::Unresponsive => write!(f, "the service did not reply in time"),
            ExchangeError::LineTooLong => write!(f, "reply line longer than {MAX_REPLY_LINE_BYTES} bytes"),
            ExchangeError::Invalid(error) => write!(f, "{error}"),
            ExchangeError::Unexpected(reply) => {
                write!(f, "reply {reply:?} arrived while no call was pending")
            }
            ExchangeError::OutOfOrder(reply) => {
                write!(f, "reply {reply:?} does not match the oldest pending call")
            }
        }
    }
}

impl std::error::Error for ExchangeError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ExchangeError::Io(error) => Some(error),
            ExchangeError::Invalid(error) => Some(error),
            _ => None,
        }
    }
}

impl From<io::Error> for ExchangeError {
    fn from(error: io::Error) -> Self {
        ExchangeError::Io(error)
    }
}

impl From<InvalidReply> for ExchangeError {
    fn from(error: InvalidReply) -> Self {
        ExchangeError::Invalid(error)
    }
}

/// Writes calls and reads replies until the connection is retired and all its calls are answered.
///
/// # Errors
/// Returns the reason if the connection fails earlier. A connection also fails if it is marked as
/// unresponsive, or if it is retired and nothing is read or written for `idle_timeout`.
pub(super) async fn exchange<S: EventSink>(
    mut stream: TcpStream,
    connection: &Connection,
    calls: &OutstandingCalls,
    sink: &S,
    idle_timeout: Duration,
) -> Result<(), ExchangeError> {
    let (mut reader, mut writer) = stream.split();
    let mut replies = ReplyReader { connection, calls, sink, line: Vec::new() };
    let mut read_buffer = [0u8; READ_BUFFER_BYTES];
    let mut unsent = Vec::new();
    loop {
        connection.take_unsent(&mut unsent);
        if connection.is_retired() && unsent.is_empty() && connection.has_no_pending_calls() {
            return Ok(());
        }
        if connection.is_unresponsive() {
            return Err(ExchangeError::Unresponsive);
        }
        tokio::select! {
            written = writer.write(&unsent), if !unsent.is_empty() => {
                let count = written?;
                unsent.drain(..count);
                connection.record_written(count);
            }
            received = reader.read(&mut read_buffer) => match received? {
                0 => return Err(ExchangeError::Closed),
                count => replies.receive(&read_buffer[..count])?,
            },
            () = connection.wait_for_change() => {}
            () = tokio::time::sleep(idle_timeout), if connection.is_retired() => {
                return Err(ExchangeError::Unresponsive);
            }
        }
    }
}

/// Splits the received bytes into reply lines and reports the outcomes of the calls that the lines answer.
struct ReplyReader<'a, S> {
    connection: &'a Connection,
    calls: &'a OutstandingCalls,
    sink: &'a S,
    /// The received bytes of the line that is not complete yet.
    line: Vec<u8>,
}

impl<S: EventSink> ReplyReader<'_, S> {
    fn receive(&mut self, bytes: &[u8]) -> Result<(), ExchangeError> {
        self.connection.record_received();
        for &byte in bytes {
            if byte != b'\n' {
                self.line.push(byte);
            } else {
                self.handle_line()?;
                self.line.clear();
            }
            if self.line.len() > MAX_REPLY_LINE_BYTES {
                return Err(ExchangeError::LineTooLong);
            }
        }
        Ok(())
    }

    /// Handles a complete line. A line that is invalid or does not match the oldest pending call ends the
    /// connection, because it is unknown which call the line answers. The oldest call stays pending, so that
    /// it is reported as possibly executed, like the later calls that were written.
    fn handle_line(&self) -> Result<(), ExchangeError> {
        let reply = Reply::parse(&self.line)?;
        let answered = self.connection.match_reply(reply).map_err(|unmatched| match unmatched {
            UnmatchedReply::Unexpected => ExchangeError::Unexpected(reply),
            UnmatchedReply::OutOfOrder => ExchangeError::OutOfOrder(reply),
        })?;
        self.report(answered, reply);
        Ok(())
    }

    /// Reports the outcome of an increment, unless the increment has already timed out.
    fn report(&self, answered: PendingCall, reply: Reply) {
        let PendingKind::Increment(id) = answered.kind else { return };
        let Some(call) = self.calls.complete(id, self.sink.now()) else { return };
        let (outcome, total) = match reply {
            Reply::Total(total) => (Outcome::Ok, total),
            Reply::Busy | Reply::Error | Reply::Pong => (Outcome::Rejected, 0.0),
        };
        self.sink.dispatch(Event::CounterReplied { key: call.key, outcome, elapsed: call.elapsed, total });
    }
}
