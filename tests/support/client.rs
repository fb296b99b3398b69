//! A client of the gateway.

use super::{read_message, Message, WAIT_TIMEOUT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Numbers the correlation ids of all clients.
static NEXT_ID: AtomicUsize = AtomicUsize::new(1);

/// A client's connection.
pub struct Client {
    /// Where requests are written.
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects.
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
        let reader = BufReader::new(stream.try_clone().expect("a clone"));
        Client { stream, reader }
    }

    /// Writes a request without reading its response.
    pub fn send(&mut self, method: &str, class: &str, headers: &str, body: &[u8]) {
        let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
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
        self.stream.write_all(&[head.as_bytes(), body].concat()).expect("a request is written");
    }

    /// Writes bytes, and reads a response; none if the connection is closed.
    pub fn exchange_bytes(&mut self, bytes: &[u8]) -> Option<Message> {
        let _ = self.stream.write_all(bytes);
        self.read()
    }

    /// Reads a response; none if the connection is closed.
    pub fn read(&mut self) -> Option<Message> {
        read_message(&mut self.reader)
    }

    /// The response to a GET without the gateway's own headers; `headers` are whole lines.
    pub fn get(&mut self, path: &str, headers: &str) -> Message {
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\n{headers}\r\n");
        self.exchange_bytes(request.as_bytes()).expect("a response")
    }

    /// The response to a request of the idempotent class.
    pub fn get_idempotent(&mut self) -> Message {
        self.send("GET", "look", "X-Time-Left: 2.0\r\n", b"");
        self.read().expect("a response")
    }

    /// The response to a request of the class that is not idempotent, with so many seconds left.
    pub fn post_non_idempotent(&mut self, left: &str) -> Message {
        self.send("POST", "once", &format!("X-Time-Left: {left}\r\n"), b"{}");
        self.read().expect("a response")
    }
}
