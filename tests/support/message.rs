//! Reads and writes HTTP messages.

use std::io::BufRead;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start_line: String,
    /// The header names and values, in the order in which they were received.
    pub headers: Vec<(String, String)>,
    /// The body, whose length the `Content-Length` header gives.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the first header named `name`, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Returns the status code of a response.
    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .expect("the status line has no valid status code")
    }
}

/// Reads one message. Its body is as long as `Content-Length` says, or empty without that header. Returns
/// `None` if the connection ends or fails before the message is complete.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if message.start_line.is_empty() {
            message.start_line = text.to_owned();
        } else if text.is_empty() {
            break;
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let length = message
        .header("content-length")
        .map_or(0, |value| value.parse().expect("the Content-Length header is not a number"));
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Returns the bytes of a response. `headers` consists of whole header lines.
pub fn response_bytes(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}
