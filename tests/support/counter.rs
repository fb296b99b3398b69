//! A stub of the counter service.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// A stub counter service that adds up the amounts of the calls. `make_reply` receives the number of the
/// call, from 0, and the new total, and returns the bytes of the reply.
pub struct Counter {
    /// The address that the counter listens on.
    pub address: SocketAddr,
    /// Sum of the amounts of all calls.
    pub added: Arc<Mutex<f64>>,
    /// Number of calls for which `make_reply` was called.
    pub calls: Arc<AtomicUsize>,
    /// Number of calls that were read, whether or not `make_reply` has returned for them.
    pub calls_received: Arc<AtomicUsize>,
    /// Number of connections that were accepted.
    pub connections: Arc<AtomicUsize>,
}

impl Counter {
    /// Starts a counter whose replies are made by `make_reply`.
    pub fn start(make_reply: impl Fn(usize, f64) -> Vec<u8> + Send + Sync + 'static) -> Counter {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no port could be bound");
        let handler = Handler {
            make_reply: Arc::new(make_reply),
            totals: Arc::default(),
            added: Arc::default(),
            calls: Arc::default(),
            calls_received: Arc::default(),
        };
        let counter = Counter {
            address: listener.local_addr().expect("the listener has no address"),
            added: handler.added.clone(),
            calls: handler.calls.clone(),
            calls_received: handler.calls_received.clone(),
            connections: Arc::default(),
        };
        let connections = counter.connections.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                connections.fetch_add(1, Ordering::SeqCst);
                let handler = handler.clone();
                std::thread::spawn(move || handler.serve(stream));
            }
        });
        counter
    }

    /// Starts a counter that replies to each call with the new total.
    pub fn ok() -> Counter {
        Counter::start(|_, total| format!("ok {total}\r\n").into_bytes())
    }
}

/// Serves the connections to a counter.
#[derive(Clone)]
struct Handler {
    make_reply: Arc<dyn Fn(usize, f64) -> Vec<u8> + Send + Sync>,
    totals: Arc<Mutex<HashMap<String, f64>>>,
    added: Arc<Mutex<f64>>,
    calls: Arc<AtomicUsize>,
    calls_received: Arc<AtomicUsize>,
}

impl Handler {
    fn serve(&self, mut stream: TcpStream) {
        let reader = BufReader::new(stream.try_clone().expect("the socket could not be cloned"));
        for line in reader.lines().map_while(Result::ok) {
            if stream.write_all(&self.reply(&line)).is_err() {
                return;
            }
        }
    }

    fn reply(&self, line: &str) -> Vec<u8> {
        let words: Vec<&str> = line.split(' ').collect();
        let ["bump", name, add, _] = words[..] else { return b"pong\r\n".to_vec() };
        self.calls_received.fetch_add(1, Ordering::SeqCst);
        let total = self.add(name, add.parse().expect("the amount of a call is not a number"));
        (self.make_reply)(self.calls.fetch_add(1, Ordering::SeqCst), total)
    }

    /// Adds `amount` to the counter `name` and returns its new total.
    fn add(&self, name: &str, amount: f64) -> f64 {
        *self.added.lock().expect("lock poisoned") += amount;
        let mut totals = self.totals.lock().expect("lock poisoned");
        let total = totals.entry(name.to_owned()).or_default();
        *total += amount;
        *total
    }
}
