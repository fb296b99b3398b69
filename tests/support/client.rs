//! An HTTP client of the gateway.

use super::{read_message, Message, WAIT_TIMEOUT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};

/// The correlation id of the next request of any client.
static NEXT_CORRELATION_ID: AtomicUsize = AtomicUsize::new(1);

/// A client with one connection to the gateway.
pub struct Client {
    /// The stream that requests are written to.
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to the gateway at `address`.
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("the client could not connect");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout could not be set");
        let reader = BufReader::new(stream.try_clone().expect("the socket could not be cloned"));
        Client { stream, reader }
    }

    /// Writes a request without reading its response. `headers` consists of whole header lines.
    pub fn send(&mut self, method: &str, class: &str, headers: &str, body: &[u8]) {
        let id = NEXT_CORRELATION_ID.fetch_add(1, Ordering::SeqCst);
        let head = format!(
            "{method} /{class}?customer=00000000b4d65521 HTTP/1.1\r\n\
             Host: api.internal\r\n\
             X-Correlation-Id: {id:016x}\r\n\
             X-Service-Class: {class}\r\n\
             X-Plan: team\r\n\
             X-Quota: units=1,spread=2,first=0\r\n\
             {headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        self.stream.write_all(&[head.as_bytes(), body].concat()).expect("the request could not be written");
    }

    /// Writes `bytes` and reads a response. Returns `None` if the connection is closed.
    pub fn exchange_bytes(&mut self, bytes: &[u8]) -> Option<Message> {
        let _ = self.stream.write_all(bytes);
        self.read()
    }

    /// Reads a response. Returns `None` if the connection is closed.
    pub fn read(&mut self) -> Option<Message> {
        read_message(&mut self.reader)
    }

    /// Sends a GET request that has none of the headers the gateway defines, except those in `headers`, and
    /// returns the response. `headers` consists of whole header lines.
    pub fn get(&mut self, path: &str, headers: &str) -> Message {
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\n{headers}\r\n");
        self.exchange_bytes(request.as_bytes()).expect("the gateway closed the connection without a response")
    }

    /// Sends a request of an idempotent class and returns the response.
    pub fn get_idempotent(&mut self) -> Message {
        self.send("GET", "look", "X-Time-Left: 2.0\r\n", b"");
        self.read().expect("the gateway closed the connection without a response")
    }

    /// Sends a request of a class that is not idempotent and returns the response. `time_left` is the value
    /// of the `X-Time-Left` header, s.
    pub fn post_non_idempotent(&mut self, time_left: &str) -> Message {
        self.send("POST", "once", &format!("X-Time-Left: {time_left}\r\n"), b"{}");
        self.read().expect("the gateway closed the connection without a response")
    }
}
