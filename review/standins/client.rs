//! A stand-in for a usual client. It sends one request at a time and keeps its connection.

use crate::http::{Message, NoMessage, Reader};
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

static NEXT_ID: AtomicU64 = AtomicU64::new(0x9b1f_03aa_0000_0001);

/// How a request ended for its client.
#[derive(Debug)]
pub enum End {
    Answered {
        status: u16,
        body: String,
    },
    /// The connection ended, twice if it was a kept one, with no whole answer.
    Closed,
    /// There was no answer half a second after the client's time.
    NoAnswer,
}

pub struct Outcome {
    pub id: String,
    pub end: End,
    /// When the request's last byte was written and when it ended, ms of the record.
    pub sent_at: f64,
    pub ended_at: f64,
}

pub struct Client {
    limiter: SocketAddr,
    /// Number of the limiter, with which the sets of this client's customers begin.
    limiter_number: usize,
    record: Record,
    connection: Option<(TcpStream, Reader)>,
}

impl Client {
    pub fn new(limiter: SocketAddr, limiter_number: usize, record: &Record) -> Client {
        Client { limiter, limiter_number, record: record.clone(), connection: None }
    }

    fn connect(&mut self) -> std::io::Result<()> {
        let stream = TcpStream::connect(self.limiter)?;
        stream.set_nodelay(true)?;
        let reader = Reader::new(&stream)?;
        self.connection = Some((stream, reader));
        Ok(())
    }

    /// Sends a request of a class and waits for its answer. A request that crosses the end of a kept
    /// connection is sent once more on a new one.
    pub fn call(&mut self, method: &str, class: &str, customer: u64, time_left: f64) -> Outcome {
        let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
        let body = if method == "POST" { "{}" } else { "" };
        let length = if method == "POST" { "Content-Length: 2\r\n" } else { "" };
        let text = format!(
            "{method} /{class}?customer={customer:016x} HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {id}\r\n\
             X-Service-Class: {class}\r\nX-Plan: lokal\r\nX-Time-Left: {time_left:.3}\r\n{length}\
             X-Quota: units=1,spread=2,first={}\r\n\r\n{body}",
            self.limiter_number
        );
        let was_kept = self.connection.is_some();
        let sent_at = self.record.now();
        self.record.line(&format!("client sends {id}: {method} /{class}, time left {time_left:.3}"));
        let mut end = self.exchange(&text, time_left);
        if was_kept && matches!(end, End::Closed) {
            self.record.line(&format!("client sends {id} once more: its connection ended"));
            end = self.exchange(&text, time_left);
        }
        let ended_at = self.record.now();
        self.record.line(&format!("client got for {id}: {end:?}"));
        Outcome { id, end, sent_at, ended_at }
    }

    fn exchange(&mut self, text: &str, time_left: f64) -> End {
        if self.connection.is_none() && self.connect().is_err() {
            return End::Closed;
        }
        let Some((mut stream, mut reader)) = self.connection.take() else { return End::Closed };
        let ends = Instant::now() + Duration::from_secs_f64(time_left + 0.5);
        if stream.write_all(text.as_bytes()).is_err() {
            return End::Closed;
        }
        let wait = ends.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let _ = stream.set_read_timeout(Some(wait));
        match reader.message() {
            Ok(answer) => {
                let end = End::Answered { status: answer.status(), body: answer.text() };
                if !closes(&answer) {
                    self.connection = Some((stream, reader));
                }
                end
            }
            Err(NoMessage::TimedOut) => End::NoAnswer,
            Err(_) => End::Closed,
        }
    }
}

fn closes(answer: &Message) -> bool {
    answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
}
