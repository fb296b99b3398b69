//! New configurations move discovery to agents to which nothing has been sent yet.

use crate::client::{Client, End, Outcome};
use crate::discovery::{Discovery, Member};
use crate::limiter::{small_settings, Limiter, LimiterSetup};
use crate::record::Record;
use crate::server::{Framing, ServerSetup};
use crate::{counter, random, Verdict};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Size of the fleet, as the settings tell it.
const FLEET_LIMITERS: usize = 100;
const SERVERS: usize = 60;
/// Limiters of the fleet that this test starts.
const LIMITERS: usize = 10;
/// Requests a second that each limiter gets.
const RATE: f64 = 18.0;
const CLIENTS_PER_LIMITER: usize = 10;
const WORK: Duration = Duration::from_millis(105);
const WARM_UP: Duration = Duration::from_secs(6);
/// Number of new configurations, one after the other.
const MOVES: usize = 5;
/// Time from SIGHUP until the list is sent to the new agent.
const EMPTY_FOR: Duration = Duration::from_millis(1500);
/// Time from then until the next new configuration.
const BETWEEN: Duration = Duration::from_millis(6500);
/// Time after the last one.
const END: Duration = Duration::from_secs(6);
/// The rule: a limiter that rejects all that it gets, at least so many, for so long, with no attempt in between.
const WINDOW_MS: f64 = 4000.0;
const MIN_REQUESTS: usize = 15;
/// The rule: at most one limiter in ten.
const ALLOWED_SHARE: f64 = 0.1;
/// After the agent has told its list, a limiter has this long before a window may begin.
const TOLD_SLACK_MS: f64 = 1000.0;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let mut servers = ServerSetup::new(record, WORK, Arc::new(|_| Framing::Length));
    servers.work_varies = true;
    let ids = (0..SERVERS).map(|n| format!("s-5be2a0{n:02x}"));
    let members: Vec<Member> = ids.map(|id| Member::ready(&id, servers.start(&id))).collect();
    let discovery = Discovery::start(record, members.clone(), Duration::ZERO);
    let counter = counter::start();
    let settings = small_settings().replace("\"balancers\":2", &format!("\"balancers\":{FLEET_LIMITERS}"));
    let mut limiters: Vec<Limiter> = (0..LIMITERS)
        .map(|n| {
            let setup = LimiterSetup {
                name: format!("n{n}"),
                discovery: discovery.address,
                counter,
                known: discovery.whole_list(),
                settings: settings.replace("\"my_number\":0", &format!("\"my_number\":{n}")),
                memory_mb: 192,
                sockets: 1024,
            };
            setup.start(record)
        })
        .collect();
    let started = Instant::now();
    let ends = started + WARM_UP + (EMPTY_FOR + BETWEEN) * MOVES as u32 + END;
    let clients: Vec<_> = (0..LIMITERS * CLIENTS_PER_LIMITER)
        .map(|n| {
            let mut client = Client::new(limiters[n % LIMITERS].address, n % LIMITERS, record);
            std::thread::spawn(move || drive(&mut client, n, ends))
        })
        .collect();
    std::thread::sleep(WARM_UP);
    let mut agent_before = discovery;
    let mut told_at = Vec::new();
    let mut moves_at = Vec::new();
    for number in 1..=MOVES {
        let agent = Discovery::start_empty(record);
        if !trouble {
            agent.receive_list(&members);
        }
        moves_at.push(record.now());
        record.say(&format!("SIGHUP {number}: discovery moves to {}", agent.address));
        limiters.iter_mut().for_each(|limiter| limiter.move_discovery(agent.address));
        std::thread::sleep(EMPTY_FOR);
        // The old agent closes its connections 1.5 s after SIGHUP.
        agent_before.close();
        agent_before = agent.clone();
        if trouble {
            agent.receive_list(&members);
        }
        record.line("the new agent has the list and tells it");
        told_at.push(record.now());
        std::thread::sleep(BETWEEN);
    }
    let outcomes: Vec<Vec<Outcome>> = clients.into_iter().map(|thread| thread.join().unwrap()).collect();
    let all_run = limiters.iter_mut().all(Limiter::runs);
    drop(limiters);
    moves_at.push(record.now());
    let periods: Vec<(f64, f64)> =
        told_at.iter().zip(&moves_at[1..]).map(|(told, next)| (told + TOLD_SLACK_MS, *next)).collect();
    let attempted: HashSet<String> =
        servers.attempts.lock().unwrap().iter().map(|attempt| attempt.request_id.clone()).collect();
    let mut stuck = 0;
    for limiter in 0..LIMITERS {
        let own = outcomes.iter().skip(limiter).step_by(LIMITERS).flatten();
        // The time of each request, and whether it was rejected without an attempt.
        let mut requests: Vec<(f64, bool)> = own
            .map(|outcome| {
                let rejected = matches!(outcome.end, End::Answered { status: 429 | 503, .. });
                (outcome.sent_at, rejected && !attempted.contains(&outcome.id))
            })
            .collect();
        requests.sort_by(|a, b| a.0.total_cmp(&b.0));
        let served = requests.iter().filter(|(_, rejected)| !rejected).count();
        let last_attempt =
            requests.iter().filter(|(_, rejected)| !rejected).map(|(at, _)| *at).fold(0.0, f64::max);
        let longest =
            periods.iter().filter_map(|period| longest_rejection(&requests, *period)).fold(0.0, f64::max);
        stuck += usize::from(longest >= WINDOW_MS);
        record.say(&format!(
            "limiter n{limiter}: {} requests, {served} attempted, the last of these at {last_attempt:.0} ms; \
             with the list told it rejected all for {longest:.0} ms on end at most",
            requests.len()
        ));
    }
    record.say(&format!(
        "{stuck} of {LIMITERS} limiters rejected all that they got for {WINDOW_MS} ms or longer"
    ));
    if !all_run {
        record.say("a limiter has ended");
        return Verdict::Broken;
    }
    if stuck as f64 > ALLOWED_SHARE * LIMITERS as f64 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// The longest time in a period between the first and the last of at least [`MIN_REQUESTS`] requests in a row
/// that were all rejected without an attempt.
fn longest_rejection(requests: &[(f64, bool)], (from, to): (f64, f64)) -> Option<f64> {
    let in_period: Vec<_> = requests.iter().filter(|(at, _)| (from..to).contains(at)).collect();
    let runs = in_period.split(|(_, rejected)| !rejected).filter(|run| run.len() >= MIN_REQUESTS);
    runs.map(|run| run[run.len() - 1].0 - run[0].0).max_by(f64::total_cmp)
}

fn drive(client: &mut Client, number: usize, ends: Instant) -> Vec<Outcome> {
    let pause = CLIENTS_PER_LIMITER as f64 / RATE - WORK.as_secs_f64();
    let mut outcomes = Vec::new();
    while Instant::now() < ends {
        let seed = (number * 100_000 + outcomes.len()) as u64;
        std::thread::sleep(Duration::from_secs_f64(pause * random::exponential(seed).min(5.0)));
        // Each customer asks far less than its quota allows.
        let customer = 1 + seed % (1 << 33);
        outcomes.push(match (outcomes.len() + number) % 2 {
            0 => client.call("GET", "fetch-count", customer, 2.0),
            _ => client.call("POST", "send-alert", customer, 1.5),
        });
    }
    outcomes
}
