//! Discovery that is slow to answer, while a server begins to drain.

use crate::client::{Client, Outcome};
use crate::discovery::{Discovery, Member};
use crate::limiter::{small_settings, Limiter, LimiterSetup};
use crate::record::Record;
use crate::server::{Framing, ServerSetup};
use crate::{counter, Verdict};
use std::sync::Arc;
use std::time::{Duration, Instant};

const SERVERS: usize = 8;
const LIMITERS: usize = 2;
const CLIENTS_PER_LIMITER: usize = 6;
/// Time that the slow agent takes for each answer.
const ANSWER_DELAY: Duration = Duration::from_millis(700);
/// Time from the start until a server begins to drain.
const QUIET: Duration = Duration::from_secs(5);
/// Time from the drain until the end.
const DRAIN: Duration = Duration::from_secs(20);
/// From the drain on: discovery has the change and can be reached; it counts as told 6 s later, the grace is 1 s,
/// and each time limit on sockets is 50 ms longer.
const LIMIT_MS: f64 = 6000.0 + 1000.0 + 50.0;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let servers = ServerSetup::new(record, Duration::from_millis(30), Arc::new(|_| Framing::Length));
    let ids: Vec<String> = (0..SERVERS).map(|n| format!("s-5be2a0{n:02x}")).collect();
    let members = ids.iter().map(|id| Member::ready(id, servers.start(id))).collect();
    let delay = if trouble { ANSWER_DELAY } else { Duration::ZERO };
    let discovery = Discovery::start(record, members, delay);
    let counter = counter::start();
    let limiters: Vec<Limiter> = (0..LIMITERS)
        .map(|n| {
            let setup = LimiterSetup {
                name: format!("n{n}"),
                discovery: discovery.address,
                counter,
                known: discovery.whole_list(),
                settings: small_settings().replace("\"my_number\":0", &format!("\"my_number\":{n}")),
                memory_mb: 192,
                sockets: 1024,
            };
            setup.start(record)
        })
        .collect();
    let ends = Instant::now() + QUIET + DRAIN;
    let clients: Vec<_> = (0..LIMITERS * CLIENTS_PER_LIMITER)
        .map(|n| {
            let mut client = Client::new(limiters[n % LIMITERS].address, 0, record);
            std::thread::spawn(move || drive(&mut client, n, ends))
        })
        .collect();
    std::thread::sleep(QUIET);
    let draining = &ids[3];
    let drained_at = record.now();
    record.say(&format!("server {draining} begins to drain; discovery has it at {drained_at:.0} ms"));
    discovery.set_phase(draining, "Terminating");
    let outcomes: Vec<Outcome> = clients.into_iter().flat_map(|thread| thread.join().unwrap()).collect();
    drop(limiters);
    let attempts = servers.attempts.lock().unwrap();
    let before = attempts.iter().filter(|a| a.server == *draining && a.first_byte < drained_at).count();
    let late: Vec<f64> = attempts
        .iter()
        .filter(|a| a.server == *draining && a.first_byte > drained_at + LIMIT_MS)
        .map(|a| a.first_byte - drained_at)
        .collect();
    record.say(&format!("{} requests, {} attempts", outcomes.len(), attempts.len()));
    record.say(&format!(
        "attempts to the server: {before} before it drained, {} later than {LIMIT_MS} ms",
        late.len()
    ));
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        record.say(&format!(
            "the first of these {first:.0} ms and the last {last:.0} ms after discovery had the drain"
        ));
    }
    match (before, late.len()) {
        (0..=4, _) => Verdict::CannotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn drive(client: &mut Client, number: usize, ends: Instant) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    while Instant::now() < ends {
        let customer = 0xb4d6_5000 + (number * 97 + outcomes.len() * 13) as u64 % 320;
        outcomes.push(match (outcomes.len() + number) % 2 {
            0 => client.call("GET", "fetch-count", customer, 2.0),
            _ => client.call("POST", "send-alert", customer, 1.5),
        });
        std::thread::sleep(Duration::from_millis(250));
    }
    outcomes
}
