//! A stub of the counter service.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// A counter that adds up, and lets `twist` write the replies: the call's number and total in, bytes out.
pub struct Counter {
    /// Where it listens.
    pub address: SocketAddr,
    /// Sum of all amounts that calls have added.
    pub added: Arc<Mutex<f64>>,
    /// Calls for which `twist` was called.
    pub calls: Arc<AtomicUsize>,
    /// Calls that were read, whether or not `twist` has returned for them.
    pub calls_received: Arc<AtomicUsize>,
    /// Connections that were accepted.
    pub connections: Arc<AtomicUsize>,
}

impl Counter {
    /// Starts a counter.
    pub fn start(twist: impl Fn(usize, f64) -> Vec<u8> + Send + Sync + 'static) -> Counter {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let handler = Handler {
            twist: Arc::new(twist),
            totals: Arc::default(),
            added: Arc::default(),
            calls: Arc::default(),
            requests_seen: Arc::default(),
        };
        let counter = Counter {
            address: listener.local_addr().expect("an address"),
            added: handler.added.clone(),
            calls: handler.calls.clone(),
            calls_received: handler.requests_seen.clone(),
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

    /// A counter that replies with the totals.
    pub fn ok() -> Counter {
        Counter::start(|_, total| format!("ok {total}\r\n").into_bytes())
    }
}

/// Serves connections of a counter.
#[derive(Clone)]
struct Handler {
    twist: Arc<dyn Fn(usize, f64) -> Vec<u8> + Send + Sync>,
    totals: Arc<Mutex<HashMap<String, f64>>>,
    added: Arc<Mutex<f64>>,
    calls: Arc<AtomicUsize>,
    requests_seen: Arc<AtomicUsize>,
}

impl Handler {
    fn serve(&self, mut stream: TcpStream) {
        let reader = BufReader::new(stream.try_clone().expect("a clone"));
        for line in reader.lines().map_while(Result::ok) {
            if stream.write_all(&self.reply(&line)).is_err() {
                return;
            }
        }
    }

    fn reply(&self, line: &str) -> Vec<u8> {
        let words: Vec<&str> = line.split(' ').collect();
        let ["bump", name, add, _] = words[..] else { return b"pong\r\n".to_vec() };
        self.requests_seen.fetch_add(1, Ordering::SeqCst);
        let total = self.add(name, add.parse().expect("an amount"));
        (self.twist)(self.calls.fetch_add(1, Ordering::SeqCst), total)
    }

    /// Adds to a counter, and returns its new total.
    fn add(&self, name: &str, amount: f64) -> f64 {
        *self.added.lock().expect("a lock") += amount;
        let mut totals = self.totals.lock().expect("a lock");
        let total = totals.entry(name.to_owned()).or_default();
        *total += amount;
        *total
    }
}
