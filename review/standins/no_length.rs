//! Answers that have no length and come whole.

use crate::client::{Client, End, Outcome};
use crate::discovery::{Discovery, Member};
use crate::limiter::{small_settings, Limiter, LimiterSetup};
use crate::record::Record;
use crate::server::{Attempt, Framing, ServerSetup};
use crate::{counter, Verdict};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

const SERVERS: usize = 8;
const LIMITERS: usize = 2;
const CLIENTS_PER_LIMITER: usize = 8;
const REQUESTS_PER_CLIENT: usize = 40;
/// Every fourth answer has no length.
const NO_LENGTH_EVERY: u64 = 4;
/// The case could not run if fewer answers than this were marked.
const MIN_MARKED: usize = 50;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let framing = move |number: u64| match trouble && number % NO_LENGTH_EVERY == 0 {
        true => Framing::EndOfConnection,
        false => Framing::Length,
    };
    let servers = ServerSetup::new(record, Duration::from_millis(30), Arc::new(framing));
    let members = (0..SERVERS).map(|n| format!("s-5be2a0{n:02x}"));
    let members = members.map(|id| Member::ready(&id, servers.start(&id))).collect();
    let discovery = Discovery::start(record, members, Duration::ZERO);
    let counter = counter::start();
    let mut limiters: Vec<Limiter> = (0..LIMITERS)
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
    let clients = (0..LIMITERS * CLIENTS_PER_LIMITER).map(|n| {
        let mut client = Client::new(limiters[n % LIMITERS].address, 0, record);
        std::thread::spawn(move || drive(&mut client, n))
    });
    let clients: Vec<_> = clients.collect();
    let outcomes: Vec<Outcome> = clients.into_iter().flat_map(|thread| thread.join().unwrap()).collect();
    if !limiters.iter_mut().all(Limiter::runs) {
        record.say("a limiter has ended");
    }
    drop(limiters);
    let attempts = servers.attempts.lock().unwrap().clone();
    judge(record, &outcomes, &attempts, trouble)
}

/// Sends a client's requests, about four a second. Each customer asks far less than its quota allows.
fn drive(client: &mut Client, number: usize) -> Vec<Outcome> {
    (0..REQUESTS_PER_CLIENT)
        .map(|turn| {
            let customer = 0xb4d6_5000 + (number * REQUESTS_PER_CLIENT + turn) as u64 % 320;
            let outcome = match (turn + number) % 2 {
                0 => client.call("GET", "fetch-count", customer, 2.0),
                _ => client.call("POST", "send-alert", customer, 1.5),
            };
            std::thread::sleep(Duration::from_millis(200));
            outcome
        })
        .collect()
}

/// Counts the marked answers that were forwarded. An answer is left out if another answer to the same request
/// was written before it, or if its client's time was over.
fn judge(record: &Record, outcomes: &[Outcome], attempts: &[Attempt], trouble: bool) -> Verdict {
    let by_id: HashMap<&str, &Outcome> =
        outcomes.iter().map(|outcome| (outcome.id.as_str(), outcome)).collect();
    let marked_framing = if trouble { Framing::EndOfConnection } else { Framing::Length };
    let (mut marked, mut forwarded, mut unsafe_marked, mut unsafe_failed) = (0, 0, 0, 0);
    for attempt in attempts {
        let Some((framing, answered_at)) = attempt.answered else { continue };
        let Some(outcome) = by_id.get(attempt.request_id.as_str()) else { continue };
        let is_first = !attempts.iter().any(|other| {
            let earlier = other.answered.is_some_and(|(_, at)| at < answered_at);
            other.request_id == attempt.request_id && earlier
        });
        if framing != marked_framing || !is_first || answered_at > outcome.sent_at + 1400.0 {
            continue;
        }
        marked += 1;
        let is_forwarded =
            matches!(&outcome.end, End::Answered { status: 200, body } if *body == attempt.body);
        forwarded += usize::from(is_forwarded);
        if attempt.class == "send-alert" {
            unsafe_marked += 1;
            unsafe_failed += usize::from(!matches!(outcome.end, End::Answered { status: 200, .. }));
        }
    }
    let kind = if trouble { "answers with no length that came whole" } else { "answers (all with a length)" };
    record.say(&format!("{marked} {kind}, {forwarded} of them forwarded"));
    record.say(&format!(
        "of these {unsafe_marked} were of send-alert; {unsafe_failed} of those did not end with 200"
    ));
    if marked < MIN_MARKED {
        return Verdict::CannotRun;
    }
    if forwarded * 2 < marked {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
