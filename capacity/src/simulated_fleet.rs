//! A whole fleet of decision modules on one simulated clock, with its servers, list and counter. The same seed
//! gives the same figures.

use crate::deployment::{call_bytes, Deployment, Dice};
use crate::measure::Report;
use crate::memory::resident;
use cpu_time::ThreadTime;
use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{Endpoint, EndpointState, EndpointUpdate, Event, Outcome};
use rate_limiting_gateway::ids::{CounterKey, Millis, RequestId, ServerId};
use rate_limiting_gateway::policy::{counter_call_timeout, Gateway};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// A server works on a request for this long, ms, and on so many at once without slowing down.
const WORK: std::ops::Range<Millis> = 20.0..60.0;
const SLOTS: f64 = 8.0;
/// The counter's parts, each of which works at one call at a time, and the time of a call's way, ms.
const PARTS: usize = 6;
const WAY: Millis = 1.0;
/// A server that is gone lets a connection fail after this, ms, and the list tells of it after this.
const CONNECT: Millis = 250.0;
const TOLD_AFTER: Millis = 2000.0;
/// Simulated time begins here, ms.
const START: Millis = 1_000_000.0;

/// What befalls the servers after the first second that counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Trouble {
    /// Nothing.
    None,
    /// One zone is lost, and returns cold 3 s later.
    Zone,
    /// Half of the servers drain and are replaced by cold ones, in ten steps over 2 s.
    Release,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    /// Sizes.
    pub deployment: Deployment,
    /// Simulated seconds that count; one more before them does not.
    pub seconds: f64,
    /// Calls that the counter bears, as a share of the requests; 0: all.
    pub bears: f64,
    /// Trouble with servers.
    pub trouble: Trouble,
    /// Seed of everything.
    pub seed: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Tick(u32),
    Counted(u32, u64, u64, u8, u64),
    Ended(u32, u32, u32, u8, bool),
    Lost(u16),
    Told(u16, bool),
}

fn micros(at: Millis) -> u64 {
    (at * 1000.0) as u64
}

/// Plays a fleet.
pub fn play(play: &Play) -> Report {
    let d = play.deployment;
    let (settings, demand, entries) = (d.settings(), d.demand(), d.entries());
    let waits = counter_call_timeout(&settings);
    let mut dice = Dice::new(play.seed);
    let before = resident(std::process::id()).unwrap_or_default();
    let mut fleet: Vec<Gateway> =
        (0..d.gateways as u64).map(|g| Gateway::new(settings.clone(), play.seed << 16 ^ g)).collect();
    let mut todo: Vec<(usize, Event)> = Vec::new();
    let (mut heap, mut now, mut acts) = (BinaryHeap::new(), START, Vec::new());
    for (g, gateway) in fleet.iter_mut().enumerate() {
        let full = Event::EndpointsChanged { update: EndpointUpdate::Complete, entries: entries.clone() };
        gateway.handle(now, full, &mut acts);
        // The housekeeping of a fleet does not fall on one moment.
        acts.clear();
        heap.push(Reverse((micros(now + 20.0 * dice.roll()), Due::Tick(g as u32))));
    }
    let listed = resident(std::process::id()).unwrap_or_default();
    let (mut totals, mut free_at) = (HashMap::<CounterKey, f64>::new(), [START; PARTS]);
    let calls_a_second = play.bears * d.rate;
    let mut up = vec![true; d.servers];
    let mut busy = vec![0.0; d.servers];
    let mut load = vec![0u32; d.servers];
    let mut tries: HashMap<u32, u8> = HashMap::new();
    let (begin, end) = (START + 1000.0, START + 1000.0 + play.seconds * 1000.0);
    if play.trouble == Trouble::Zone {
        heap.push(Reverse((micros(begin + 1000.0), Due::Lost(0))));
        heap.push(Reverse((micros(begin + 1000.0 + TOLD_AFTER), Due::Told(0, false))));
        heap.push(Reverse((micros(begin + 4000.0), Due::Told(0, true))));
    }
    if play.trouble == Trouble::Release {
        for step in 0..10 {
            let at = begin + 1000.0 + 200.0 * f64::from(step);
            heap.push(Reverse((micros(at), Due::Told(100 + step, false))));
            heap.push(Reverse((micros(at + 200.0), Due::Told(100 + step, true))));
        }
    }
    // Requests, attempts, refused, failed attempts, calls, unanswered, turned away, their bytes, entries told.
    let mut n = [0usize; 9];
    let (mut next, mut arrives) = (0u32, START);
    let spent = ThreadTime::now();
    loop {
        let due = heap.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
        if micros(arrives) <= due {
            now = arrives.max(now);
            arrives += dice.wait(d.rate);
            let who = demand.draw(&mut dice);
            let gateway = demand.gateway(who, &mut dice);
            n[0] += usize::from(now >= begin);
            todo.push((gateway, Event::Request(demand.request(next, who))));
            next += 1;
        } else if let Some(Reverse((at, due))) = heap.pop() {
            now = (at as f64 / 1000.0).max(now);
            match due {
                Due::Tick(g) => todo.push((g as usize, Event::Timer(0))),
                Due::Counted(g, name, total, how, elapsed) => {
                    let outcome = [Outcome::Ok, Outcome::TimedOut, Outcome::Rejected][usize::from(how)];
                    let (name, total, elapsed) =
                        (CounterKey(name), f64::from_bits(total), elapsed as f64 / 1000.0);
                    todo.push((g as usize, Event::CounterReplied { key: name, outcome, elapsed, total }));
                }
                Due::Ended(g, id, server, attempt, good) => {
                    busy[server as usize] -= f64::from(u8::from(good));
                    let good = good && up[server as usize];
                    let outcome = if good { Outcome::Ok } else { Outcome::ConnectFailed };
                    n[3] += usize::from(!good);
                    let (id, server) = (RequestId(id), ServerId(server + 1));
                    let (complete, elapsed) = (good, 40.0);
                    let ended = Event::AttemptEnded { id, attempt, server, outcome, complete, elapsed };
                    todo.push((g as usize, ended));
                }
                Due::Lost(zone) => {
                    (0..d.servers).filter(|s| s % d.zones == usize::from(zone)).for_each(|s| up[s] = false);
                }
                Due::Told(part, back) => {
                    let of = |s: usize| match part {
                        zone if zone < 100 => s % d.zones == usize::from(zone),
                        step => s % 20 == usize::from(step - 100),
                    };
                    let state = if back { EndpointState::Ready } else { EndpointState::Draining };
                    let news: Vec<Endpoint> = (0..d.servers)
                        .filter(|s| of(*s))
                        .map(|s| d.entry(s, state, if back { now } else { 0.0 }))
                        .collect();
                    (0..d.servers).filter(|s| back && of(*s)).for_each(|s| up[s] = true);
                    n[8] += news.len() * d.gateways;
                    let (update, all) = (EndpointUpdate::Incremental, 0..d.gateways);
                    todo.extend(all.map(|g| (g, Event::EndpointsChanged { update, entries: news.clone() })));
                }
            }
        }
        if now >= end {
            break;
        }
        let counts = usize::from(now >= begin);
        for (g, event) in todo.drain(..) {
            fleet[g].handle(now, event, &mut acts);
            for action in acts.drain(..) {
                match action {
                    Action::Forward { id, server, .. } => {
                        let s = server.0 - 1;
                        let attempt = tries.entry(id.0).or_default();
                        let good = up[s as usize];
                        busy[s as usize] += f64::from(u8::from(good));
                        load[s as usize] += counts as u32;
                        n[1] += counts;
                        let work = WORK.start + (WORK.end - WORK.start) * dice.roll();
                        let elapsed = if good { work * (busy[s as usize] / SLOTS).max(1.0) } else { CONNECT };
                        let due = Due::Ended(g as u32, id.0, s, *attempt, good);
                        heap.push(Reverse((micros(now + elapsed), due)));
                        *attempt += 1;
                    }
                    Action::IncrementCounter { key: name, add, ttl } => {
                        n[4] += counts;
                        let free = &mut free_at[(name.0 >> 7) as usize % PARTS];
                        let begins = free.max(now);
                        let full = begins - now > 3.0 * settings.counter_timeout;
                        let (mut elapsed, mut how, mut total) = (WAY, 2, 0.0);
                        if !full {
                            if calls_a_second > 0.0 {
                                *free = begins + 1000.0 * PARTS as f64 / calls_a_second;
                            }
                            let sum = totals.entry(name).or_default();
                            *sum += add;
                            (elapsed, how, total) = (begins - now + WAY, 0, *sum);
                        }
                        if how == 0 && elapsed > waits {
                            (elapsed, how) = (waits, 1);
                        }
                        n[5] += if how == 1 { counts } else { 0 };
                        n[6] += if how == 2 { counts } else { 0 };
                        n[7] += counts * call_bytes(name, add, ttl, total);
                        let due = Due::Counted(g as u32, name.0, total.to_bits(), how, micros(elapsed));
                        heap.push(Reverse((micros(now + elapsed), due)));
                    }
                    Action::Timer { after, .. } => {
                        heap.push(Reverse((micros(now + after), Due::Tick(g as u32))))
                    }
                    Action::Reject { .. } => n[2] += counts,
                    _ => {}
                }
            }
        }
    }
    let spent = spent.elapsed().as_secs_f64();
    let after = resident(std::process::id()).unwrap_or_default();
    let mut report = Report::default();
    let per = |value: usize, by: usize| value as f64 / by.max(1) as f64;
    let all: usize = (micros(now - START) as f64 / 1e6 * d.rate) as usize;
    report.fact("requests", n[0] as f64, "");
    report.fact("attempts a request", per(n[1], n[0]), "");
    report.fact("requests refused", per(n[2], n[0]), "of all");
    report.fact("attempts that could not connect", per(n[3], n[1]), "of all");
    report.fact("calls to the counter a request", per(n[4], n[0]), "");
    report.fact("calls a second, whole fleet", n[4] as f64 / play.seconds, "");
    report.fact("calls with no answer in time", per(n[5], n[4]), "of all");
    report.fact("calls turned away", per(n[6], n[4]), "of all");
    let counter_bytes = n[7] as f64 / play.seconds / d.gateways as f64;
    report.fact("to and from the counter, a limiter", counter_bytes, "bytes a second");
    let tenant_count: usize = fleet.iter().map(Gateway::tenant_count).sum();
    report.fact("customers remembered, a limiter", per(tenant_count, d.gateways), "");
    report.fact("entries told by changes, whole fleet", n[8] as f64, "");
    let mean = load.iter().map(|l| f64::from(*l)).sum::<f64>() / d.servers as f64;
    let off = load.iter().map(|l| (f64::from(*l) - mean).powi(2)).sum::<f64>() / d.servers as f64;
    let most = load.iter().max().copied().unwrap_or_default();
    report.fact("attempts a server, mean", mean, "");
    report.fact("attempts a server, greatest over mean", f64::from(most) / mean, "");
    report.fact("attempts a server, deviation over mean", off.sqrt() / mean, "");
    report.fact("the same by chance alone", 1.0 / mean.sqrt(), "");
    report.fact("servers that got nothing", load.iter().filter(|l| **l == 0).count() as f64, "");
    report.fact("processor time a request, simulator included", spent * 1e6 / all.max(1) as f64, "µs");
    report.fact(
        "memory of the lists, a limiter",
        (listed.saturating_sub(before) / d.gateways) as f64,
        "bytes",
    );
    report.fact("memory in the end, whole fleet", after as f64 / 1e9, "GB");
    report
}
