//! A stand-in for a server. It checks what arrives, takes some time for each request and answers.

use crate::http::{Message, Reader};
use crate::record::Record;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How the end of an answer's body is told.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Framing {
    Length,
    /// No length: the body ends with the connection, which is closed in order.
    EndOfConnection,
}

/// One attempt that has arrived whole at a server.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub request_id: String,
    pub class: String,
    pub server: String,
    /// When its first byte and its last byte arrived, ms of the record.
    pub first_byte: f64,
    pub last_byte: f64,
    /// How the answer was framed, if one was written whole, and when.
    pub answered: Option<(Framing, f64)>,
    pub body: String,
}

pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

/// Decides how a server frames the answer to an attempt, given the number of the attempt among all attempts.
pub type FramingChoice = Arc<dyn Fn(u64) -> Framing + Send + Sync>;

#[derive(Clone)]
pub struct ServerSetup {
    pub record: Record,
    pub attempts: Attempts,
    /// Mean time that a request takes.
    pub work: Duration,
    /// Whether the time of a request is drawn (exponential, at most six times the mean) or always the mean.
    pub work_varies: bool,
    pub framing: FramingChoice,
    next_number: Arc<AtomicU64>,
}

impl ServerSetup {
    pub fn new(record: &Record, work: Duration, framing: FramingChoice) -> ServerSetup {
        let (attempts, next_number) = (Attempts::default(), Arc::default());
        ServerSetup { record: record.clone(), attempts, work, work_varies: false, framing, next_number }
    }

    /// Starts a server on a free port.
    pub fn start(&self, name: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let address = listener.local_addr().expect("no address");
        let (setup, name) = (self.clone(), name.to_owned());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (setup, name) = (setup.clone(), name.clone());
                std::thread::spawn(move || _ = setup.serve(stream, &name));
            }
        });
        address
    }

    fn serve(&self, mut stream: TcpStream, name: &str) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        // An idle connection is closed after 30 s, as the settings tell.
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        let mut reader = Reader::new(&stream)?;
        while let Ok(request) = reader.message() {
            let Some(id) = request.header("x-correlation-id").map(str::to_owned) else {
                stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            };
            let index = self.note_arrival(&request, &id, name);
            let number = self.next_number.fetch_add(1, Ordering::SeqCst);
            let factor = if self.work_varies { crate::random::exponential(number).min(6.0) } else { 1.0 };
            std::thread::sleep(self.work.mul_f64(factor));
            let framing = (self.framing)(number);
            let body = format!("answer {number} of {name} to {id}");
            let framing_header = match framing {
                Framing::Length => format!("Content-Length: {}\r\n", body.len()),
                Framing::EndOfConnection => "Connection: close\r\n".to_owned(),
            };
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n{framing_header}\r\n{body}");
            let written = stream.write_all(answer.as_bytes());
            if framing == Framing::EndOfConnection {
                end_in_order(&mut stream);
            }
            self.record
                .line(&format!("server {name} answered {id}: 200, {framing:?}, {body:?}, {written:?}"));
            if written.is_ok() {
                let attempt = &mut self.attempts.lock().unwrap()[index];
                attempt.answered = Some((framing, self.record.now()));
                attempt.body = body;
            }
            written?;
            if framing == Framing::EndOfConnection {
                break;
            }
        }
        Ok(())
    }

    fn note_arrival(&self, request: &Message, id: &str, name: &str) -> usize {
        let ago = |at: Instant| self.record.now() - at.elapsed().as_secs_f64() * 1000.0;
        let (first_byte, last_byte) = (ago(request.first_byte), ago(request.last_byte));
        self.record.line_at(
            first_byte,
            &format!(
                "server {name} got {id}: {}, time left {}",
                request.start_line,
                request.header("x-time-left").unwrap_or("-")
            ),
        );
        let attempt = Attempt {
            request_id: id.to_owned(),
            class: request.header("x-service-class").unwrap_or("").to_owned(),
            server: name.to_owned(),
            first_byte,
            last_byte,
            answered: None,
            body: String::new(),
        };
        let mut attempts = self.attempts.lock().unwrap();
        attempts.push(attempt);
        attempts.len() - 1
    }
}

/// Ends sending and waits until the peer has closed as well, so that no reset follows.
fn end_in_order(stream: &mut TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let mut rest = [0; 1024];
    while matches!(stream.read(&mut rest), Ok(1..)) {}
}
