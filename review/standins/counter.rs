//! A stand-in for the counter service. It answers every call at once.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

type Totals = Arc<Mutex<HashMap<String, (f64, Instant)>>>;

pub fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().expect("no address");
    let totals = Totals::default();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let totals = totals.clone();
            std::thread::spawn(move || serve(stream, &totals));
        }
    });
    address
}

fn serve(mut stream: TcpStream, totals: &Totals) {
    let _ = stream.set_nodelay(true);
    // An idle connection is closed after 10 s.
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let Ok(reading) = stream.try_clone() else { return };
    for line in BufReader::new(reading).lines().map_while(Result::ok) {
        if stream.write_all(answer(line.trim(), totals).as_bytes()).is_err() {
            return;
        }
    }
}

fn answer(line: &str, totals: &Totals) -> String {
    let words: Vec<&str> = line.split(' ').collect();
    match words[..] {
        ["ping"] => "pong\r\n".into(),
        ["bump", name, amount, life] => {
            let (Ok(amount), Ok(life)) = (amount.parse::<f64>(), life.parse::<u64>()) else {
                return "error\r\n".into();
            };
            let now = Instant::now();
            let ends = now + Duration::from_millis(life.clamp(1, 60_000));
            let mut totals = totals.lock().unwrap();
            let entry = totals.entry(name.to_owned()).or_insert((0.0, ends));
            if entry.1 <= now {
                *entry = (0.0, ends);
            }
            entry.0 += amount;
            format!("ok {}\r\n", entry.0)
        }
        _ => "error\r\n".into(),
    }
}
