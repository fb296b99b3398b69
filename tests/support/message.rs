//! HTTP messages as they come over a socket.

use std::io::BufRead;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request or status line.
    pub start_line: String,
    /// Names and values, in the order in which they came.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header, by its name in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status")
    }
}

/// Reads one message with a stated length; none at the end of the connection.
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
    let length = message.header("content-length").map_or(0, |value| value.parse().expect("a length"));
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// The bytes of a response; `headers` are whole lines.
pub fn response_bytes(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}
