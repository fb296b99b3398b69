//! Clients that ask once and rest fill the descriptors, while other clients write their requests slowly.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;

/// Clients that come each second, ask once and rest until the limiter ends their connection.
const CROWD_PER_SECOND: u64 = 50;
/// Time for which the crowd comes before the slow clients begin, s. It fills all places for clients.
const FILL_SECONDS: f64 = 5.0;
/// Time for which the slow clients send, s.
const SLOW_SECONDS: f64 = 15.0;
const SLOW_CLIENTS: u64 = 10;
/// A slow request is written in two pieces with this pause between them, ms.
const PAUSE_MS: u64 = 400;
/// A close that is seen this soon after the first piece, ms, has crossed the begin of the request.
const CROSSING_MS: u64 = 80;
const TIME_LEFT: f64 = 1.5;

/// How a slow request ended.
#[derive(Clone, Debug)]
struct SlowEnd {
    id: String,
    end: End,
}

fn request(customer: u64) -> Request {
    Request {
        id: fresh_id(),
        class: "send-alert",
        customer,
        plan: "riks",
        time_left: TIME_LEFT,
        spread: 1,
        first: 0,
        body: vec![b'x'; 400],
    }
}

/// Whether the limiter has ended the connection, as far as has been seen.
fn has_ended(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let seen = stream.peek(&mut [0u8; 1]);
    let _ = stream.set_nonblocking(false);
    !matches!(seen, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}

/// Asks once and rests until the limiter ends the connection.
fn ask_and_rest(address: std::net::SocketAddr, customer: u64) {
    let Some(mut stream) = connect(address) else { return };
    let request = Request { class: "fetch-count", ..request(customer) };
    record(&format!("crowd {customer:x}: sends {}", request.id));
    if stream.write_all(&request.bytes()).is_err() {
        return;
    }
    let (end, keep) = read_answer(&stream, TIME_LEFT + 0.6);
    record(&format!("crowd {customer:x}: {} ends: {}", request.id, end.short()));
    if keep {
        let _ = stream.set_read_timeout(None);
        let _ = stream.read(&mut [0u8; 1]);
        record(&format!("crowd {customer:x}: the limiter has ended the resting connection"));
    }
}

/// Sends a request in one piece and, on the same connection, one in two. Returns how the second ended, or
/// `None` if the limiter ended the connection before or just when the second began.
fn slow_request(address: std::net::SocketAddr, customer: u64) -> Option<SlowEnd> {
    let mut stream = connect(address)?;
    stream.write_all(&request(customer).bytes()).ok()?;
    if !read_answer(&stream, TIME_LEFT + 0.6).1 {
        return None;
    }
    sleep_ms(50);
    if has_ended(&stream) {
        return None;
    }
    let slow = request(customer);
    let bytes = slow.bytes();
    let (first, second) = bytes.split_at(bytes.len() / 2);
    record(&format!("client {customer}: begins {} on a kept connection", slow.id));
    stream.write_all(first).ok()?;
    sleep_ms(CROSSING_MS);
    if has_ended(&stream) {
        record(&format!("client {customer}: {} crossed a close", slow.id));
        return None;
    }
    sleep_ms(PAUSE_MS - CROSSING_MS);
    stream.write_all(second).ok()?;
    record(&format!("client {customer}: has written the last byte of {}", slow.id));
    let (end, _) = read_answer(&stream, TIME_LEFT + 0.6);
    record(&format!("client {customer}: {} ends: {}", slow.id, end.short()));
    Some(SlowEnd { id: slow.id, end })
}

fn main() {
    open_record();
    let mut deployment = Deployment::new(1, 8);
    deployment.sockets = 256;
    deployment.start_limiters();
    let address = deployment.limiters[0].address;
    let start = now();
    let end = start + FILL_SECONDS + SLOW_SECONDS;
    if trouble() {
        thread::spawn(move || {
            for number in 0.. {
                if now() > end {
                    return;
                }
                thread::spawn(move || ask_and_rest(address, 0x10_0000 + number));
                sleep_ms(1000 / CROWD_PER_SECOND);
            }
        });
    }
    sleep_until(start + FILL_SECONDS);
    let ends: Arc<Mutex<Vec<SlowEnd>>> = Arc::default();
    let clients: Vec<_> = (0..SLOW_CLIENTS)
        .map(|client| {
            let ends = ends.clone();
            thread::spawn(move || {
                while now() < end {
                    if let Some(slow_end) = slow_request(address, 0x1000 + client) {
                        lock(&ends).push(slow_end);
                    }
                    sleep_ms(200);
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    if deployment.limiters.iter_mut().any(Limiter::has_ended) {
        verdict(&["the limiter has ended by itself".to_owned()]);
    }
    let ends = lock(&ends);
    let lost: Vec<String> = ends
        .iter()
        .filter(|slow_end| !matches!(slow_end.end, End::Answer(..)))
        .map(|slow_end| {
            format!("{} was written whole and got no answer: {}", slow_end.id, slow_end.end.short())
        })
        .collect();
    println!("{} slow requests were written whole, {} of them got no answer", ends.len(), lost.len());
    verdict(&lost)
}
