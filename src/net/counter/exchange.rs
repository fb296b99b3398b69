//! Writing calls to a connection and reading the replies.

use super::calls::OutstandingCalls;
use super::connection::{Connection, PendingCall, PendingKind, UnmatchedReply};
use super::protocol::{InvalidReply, Reply, MAX_LINE};
use crate::event::{Event, Outcome};
use crate::net::event_sink::EventSink;
use std::fmt;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Size of the read buffer, bytes.
const READ_BUFFER: usize = 2048;

/// Why a connection could not go on.
#[derive(Debug)]
pub(super) enum ExchangeError {
    /// Reading or writing failed.
    Io(io::Error),
    /// The service closed the connection.
    Closed,
    /// A reply is overdue.
    Unresponsive,
    /// A line is longer than the protocol allows.
    LineTooLong,
    /// A line is no reply.
    Invalid(InvalidReply),
    /// A reply came to no call.
    Unexpected(Reply),
    /// A ping was answered as an increment, or an increment as a ping.
    OutOfOrder(Reply),
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExchangeError::Io(error) => write!(f, "{error}"),
            ExchangeError::Closed => write!(f, "closed by the service"),
            ExchangeError::Unresponsive => write!(f, "no reply in time"),
            ExchangeError::LineTooLong => write!(f, "line longer than {MAX_LINE} bytes"),
            ExchangeError::Invalid(error) => write!(f, "{error}"),
            ExchangeError::Unexpected(reply) => write!(f, "reply {reply:?} to no call"),
            ExchangeError::OutOfOrder(reply) => write!(f, "reply {reply:?} out of order"),
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

/// Writes calls and reads replies until the connection has been retired and owes nothing. A retired
/// connection on which nothing happens for `max_silence` is given up.
///
/// # Errors
/// Why the connection ended before.
pub(super) async fn exchange<S: EventSink>(
    mut stream: TcpStream,
    connection: &Connection,
    calls: &OutstandingCalls,
    sink: &S,
    max_silence: Duration,
) -> Result<(), ExchangeError> {
    let (mut reader, mut writer) = stream.split();
    let mut replies = ReplyReader { connection, calls, sink, line: Vec::new() };
    let mut read_buffer = [0u8; READ_BUFFER];
    let mut unsent = Vec::new();
    loop {
        connection.fill(&mut unsent);
        if connection.is_retired() && unsent.is_empty() && connection.owes_nothing() {
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
            () = connection.woken() => {}
            () = tokio::time::sleep(max_silence), if connection.is_retired() => {
                return Err(ExchangeError::Unresponsive);
            }
        }
    }
}

/// Cuts what is received into lines and reports the outcome of the calls that they answer.
struct ReplyReader<'a, S> {
    connection: &'a Connection,
    calls: &'a OutstandingCalls,
    sink: &'a S,
    /// The line that is not complete yet.
    line: Vec<u8>,
}

impl<S: EventSink> ReplyReader<'_, S> {
    fn receive(&mut self, bytes: &[u8]) -> Result<(), ExchangeError> {
        self.connection.record_receipt();
        for &byte in bytes {
            if byte != b'\n' {
                self.line.push(byte);
            } else {
                self.complete_line()?;
                self.line.clear();
            }
            if self.line.len() > MAX_LINE {
                return Err(ExchangeError::LineTooLong);
            }
        }
        Ok(())
    }

    /// An invalid line leaves unknown which call it answers, so the connection is given up. The call whose
    /// reply was due stays pending and is reported, like those behind it, as possibly executed.
    fn complete_line(&self) -> Result<(), ExchangeError> {
        let reply = Reply::parse(&self.line)?;
        let answered = self.connection.take_answered(reply).map_err(|unmatched| match unmatched {
            UnmatchedReply::Unexpected => ExchangeError::Unexpected(reply),
            UnmatchedReply::OutOfOrder => ExchangeError::OutOfOrder(reply),
        })?;
        self.report(answered, reply);
        Ok(())
    }

    /// Reports the outcome of a call, unless it has timed out before.
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
