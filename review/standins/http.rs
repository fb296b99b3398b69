//! Reads HTTP/1.1 messages from a socket and notes when their bytes arrive.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::Instant;

/// A message that was read whole.
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When the first byte of the message was read.
    pub first_byte: Instant,
    /// When the last byte of the message was read.
    pub last_byte: Instant,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Why no message was read.
#[derive(Debug, PartialEq, Eq)]
pub enum NoMessage {
    /// The connection ended before the first byte of a message.
    Ended,
    /// The connection ended inside a message.
    Broken,
    /// The read time-out of the socket passed.
    TimedOut,
}

/// Reads messages from a connection. Bytes behind a message are kept for the next one.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: &TcpStream) -> std::io::Result<Reader> {
        Ok(Reader { stream: stream.try_clone()?, buffer: Vec::new() })
    }

    /// Whether bytes have been read that belong to no message yet.
    pub fn has_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn fill(&mut self) -> Result<(), NoMessage> {
        let mut chunk = [0; 16384];
        match self.stream.read(&mut chunk) {
            Ok(n @ 1..) => {
                self.buffer.extend_from_slice(&chunk[..n]);
                Ok(())
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Err(NoMessage::TimedOut)
            }
            _ if self.buffer.is_empty() => Err(NoMessage::Ended),
            _ => Err(NoMessage::Broken),
        }
    }

    /// Reads a message whose body is as long as `Content-Length` says, or empty without that header.
    pub fn message(&mut self) -> Result<Message, NoMessage> {
        if self.buffer.is_empty() {
            self.fill()?;
        }
        let first_byte = Instant::now();
        let head_end = loop {
            if let Some(at) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break at;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        let mut lines = head.split("\r\n");
        let start_line = lines.next().unwrap_or("").to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        let mut message =
            Message { start_line, headers, body: Vec::new(), first_byte, last_byte: first_byte };
        let length = message.header("content-length").map_or(0, |value| value.parse().unwrap_or(0));
        let end = head_end + 4 + length;
        while self.buffer.len() < end {
            match self.fill() {
                Err(NoMessage::Ended) => return Err(NoMessage::Broken),
                result => result?,
            }
        }
        message.body = self.buffer[head_end + 4..end].to_vec();
        message.last_byte = Instant::now();
        self.buffer.drain(..end);
        Ok(message)
    }
}
