//! Clients that leave: nothing of a request is sent on once its client has gone, wherever the request stands
//! just then and however the client went. Each crossing is forced by a gate that a fake peer waits at.

#[allow(dead_code)] // each file of tests uses its own part
mod support;

use socket2::SockRef;
use std::collections::HashSet;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::*;

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leave {
    Close,
    Reset,
    HalfThenClose,
    /// Closes with a part of a further request unread behind the one that is open.
    BytesBehind,
    /// The same by a reset, and more than any buffer of the limiter's takes.
    MuchBehind,
    /// With many others at once.
    Burst,
}

const WAYS: [Leave; 6] =
    [Leave::Close, Leave::Reset, Leave::HalfThenClose, Leave::BytesBehind, Leave::MuchBehind, Leave::Burst];

/// Clients that leave together.
fn crowd(how: Leave) -> usize {
    if how == Leave::Burst {
        20
    } else {
        1
    }
}

fn leave(client: Client, how: Leave) {
    let mut stream = client.stream;
    match how {
        Leave::Close | Leave::Burst => {}
        Leave::Reset => SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("linger"),
        Leave::HalfThenClose => stream.shutdown(Shutdown::Write).expect("a half-close"),
        Leave::BytesBehind => stream.write_all(b"GET /look?customer=0000").expect("bytes"),
        Leave::MuchBehind => {
            stream.set_nonblocking(true).expect("no waiting");
            let more = vec![b'x'; 1 << 16];
            while stream.write(&more).is_ok() {}
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("linger");
        }
    }
}

/// A request that can be told from others by its path.
fn ask(limiter: &Limiter, name: &str) -> Client {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let id = NEXT.fetch_add(1, Ordering::SeqCst);
    let mut client = limiter.client();
    // Of the class that waits longest: no time-out ends what a gate holds back.
    let head = format!(
        "POST /long?customer=00000000b4d65521&name={name} HTTP/1.1\r\nHost: x\r\n\
         X-Correlation-Id: {name}{id}\r\nX-Service-Class: long\r\nX-Plan: team\r\nX-Time-Left: 29\r\n\
         X-Quota: units=1,spread={gateway_count},first=0\r\nContent-Length: 2\r\n\r\n{{}}",
        gateway_count = limiter.gateways,
    );
    client.stream.write_all(head.as_bytes()).expect("a request is written");
    client
}

/// Requests of this name that the server has seen.
fn seen(server: &Server, name: &str) -> usize {
    let wanted = format!("&name={name} ");
    server.seen.lock().expect("a lock").iter().filter(|m| m.start.contains(&wanted)).count()
}

/// Ports at the other end of the limiter's connections that are in these states, which the kernel tells.
fn others_ends(limiter: &Limiter, states: &[&str]) -> Vec<u16> {
    let port = format!(":{:04X}", limiter.address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table of connections");
    let rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let rows = rows.filter(|row| row[1].ends_with(&port) && states.contains(&row[3]));
    let ports = rows.map(|row| row[2].split_once(':').expect("an address").1.to_owned());
    ports.map(|port| u16::from_str_radix(&port, 16).expect("a port")).collect()
}

const LISTEN: &str = "0A";
const ESTABLISHED: &str = "01";
/// Closed by the client alone.
const CLOSE_WAIT: &str = "08";

/// Waits until the limiter has taken note: it holds so many connections of clients and no more.
fn all_left_but(limiter: &Limiter, remain: usize) {
    eventually("the limiter lets go of those who left", || {
        others_ends(limiter, &[ESTABLISHED, CLOSE_WAIT]).len() == remain
    });
    // A reset shows there before the limiter has heard of it; a whole exchange later it has.
    assert_eq!(limiter.client().get("/healthz", "").status(), 200);
}

fn with_list(server: SocketAddr) -> (Setup, Discovery, Counter) {
    around(&[member("s-00000001", server, "Ready")])
}

/// Tells of requests by name which the server begins, and makes those named `slow` wait at a gate.
fn gated(gate: &Gate, bytes: Vec<u8>) -> Server {
    let there = gate.clone();
    Server::start(move |m| {
        if m.start.contains("&name=slow ") {
            there.wait();
            return Act::Write(bytes.clone());
        }
        Act::Write(answer("200 OK", "", b"good"))
    })
}

#[test]
fn a_request_that_is_held_is_not_sent_once_its_client_has_left() {
    for how in WAYS {
        let gate = Gate::default();
        let server = gated(&gate, answer("200 OK", "", b"late"));
        let (mut setup, _discovery, _counter) = with_list(server.address);
        // One slot at this gateway, which a slow request holds.
        setup.plan = r#"{"name":"team","rate":100000,"store_size":100000,"max_out":2}"#;
        let limiter = setup.start();
        let mut slow = ask(&limiter, "slow");
        eventually("the slot to be taken", || server.count() == 1);
        let held: Vec<Client> = (0..crowd(how)).map(|_| ask(&limiter, "held")).collect();
        // Answered in order, so what was written before has been taken in.
        assert_eq!(limiter.client().get("/healthz", "").status(), 200);
        held.into_iter().for_each(|client| leave(client, how));
        all_left_but(&limiter, 1);
        gate.open();
        assert_eq!(slow.read().expect("an answer").status(), 200, "{how:?}");
        let mut after = ask(&limiter, "after");
        assert_eq!(after.read().expect("an answer").status(), 200, "{how:?}");
        assert_eq!(seen(&server, "held"), 0, "{how:?}: sent on for a client that had left");
    }
}

#[test]
fn a_request_whose_connection_is_coming_up_is_not_sent_once_its_client_has_left() {
    for cancellation_allowed in [true, false] {
        for how in WAYS {
            let server = Unreachable::new();
            let (mut setup, _discovery, _counter) = with_list(server.address);
            (setup.connect_timeout, setup.cancellation_allowed) = (60_000.0, cancellation_allowed);
            let limiter = setup.start();
            let clients: Vec<Client> = (0..crowd(how)).map(|_| ask(&limiter, "gone")).collect();
            // Answered in order, so what was written before has been taken in.
            assert_eq!(limiter.client().get("/healthz", "").status(), 200);
            clients.into_iter().for_each(|client| leave(client, how));
            all_left_but(&limiter, 0);
            let (heard, gone) = server.open();
            if !cancellation_allowed {
                // The module may not call these off: they come up when the kernel tries again, after 1, 3 or
                // 7 s, and end. One that never comes up had nothing sent on it either.
                within(Duration::from_secs(12), || gone.load(Ordering::SeqCst) > 0);
            }
            assert_eq!(limiter.client().get("/healthz", "").status(), 200);
            assert_eq!(heard.load(Ordering::SeqCst), 0, "{how:?}, cancelling {cancellation_allowed}");
        }
    }
}

#[test]
fn a_request_that_waits_for_the_counter_is_not_sent_once_its_client_has_left() {
    for how in WAYS {
        let gate = Gate::default();
        let there = gate.clone();
        let counter = Counter::start(move |_, total| {
            there.wait();
            format!("ok {total}\r\n").into_bytes()
        });
        let server = Server::ok();
        let (mut setup, _discovery, _counter) = with_list(server.address);
        // Thin at each gateway, so that each request is booked before it is sent on.
        setup.plan = r#"{"name":"team","rate":2,"store_size":30}"#;
        setup.gateways = 200;
        (setup.counter, setup.counter_timeout) = (counter.address, 4000.0);
        let limiter = setup.start();
        eventually("connections", || counter.connections.load(Ordering::SeqCst) >= 4);
        let clients: Vec<Client> = (0..crowd(how)).map(|_| ask(&limiter, "gone")).collect();
        eventually("a call", || counter.asked.load(Ordering::SeqCst) > 0);
        // Answered in order, so what was written before has been taken in.
        assert_eq!(limiter.client().get("/healthz", "").status(), 200);
        clients.into_iter().for_each(|client| leave(client, how));
        all_left_but(&limiter, 0);
        gate.open();
        let mut after = ask(&limiter, "after");
        assert_eq!(after.read().expect("an answer").status(), 200, "{how:?}");
        assert_eq!(seen(&server, "gone"), 0, "{how:?}: sent on for a client that had left");
    }
}

#[test]
fn a_request_is_not_sent_again_once_its_client_has_left() {
    for cancellation_allowed in [true, false] {
        for how in WAYS {
            let gate = Gate::default();
            // Turned away unseen: may go out again, to this server after a pause, or to the other.
            let full = answer("503 Busy", "X-Unprocessed: 1\r\n", b"");
            let (a, b) = (gated(&gate, full.clone()), gated(&gate, full));
            let known = list(
                1,
                true,
                &[member("s-00000001", a.address, "Ready"), member("s-00000002", b.address, "Ready")],
            );
            let (mut setup, discovery, counter) = with_list(a.address);
            *discovery.list.lock().expect("a lock") = known.clone();
            (setup.known, setup.cancellation_allowed) = (known, cancellation_allowed);
            let limiter = setup.start();
            let many = crowd(how);
            let clients: Vec<Client> = (0..many).map(|_| ask(&limiter, "slow")).collect();
            eventually("the first attempts", || a.count() + b.count() >= 1);
            // Answered in order, so what was written before has been taken in.
            assert_eq!(limiter.client().get("/healthz", "").status(), 200);
            clients.into_iter().for_each(|client| leave(client, how));
            all_left_but(&limiter, 0);
            let before = a.count() + b.count();
            gate.open();
            let mut after = ask(&limiter, "after");
            assert_eq!(after.read().expect("an answer").status(), 200, "{how:?}");
            assert_eq!(
                seen(&a, "slow") + seen(&b, "slow"),
                before,
                "{how:?}, cancelling {cancellation_allowed}"
            );
            drop(counter);
        }
    }
}

/// Clients that leave in one instant.
const FLOOD: usize = 500;
/// An attempt that begins later than this after its client's close is one too late.
const TOO_LATE: Duration = Duration::from_millis(100);

/// Stops the limiter, as a machine does that is short of CPU. The guard lets it go on.
struct Stall {
    process: String,
}

impl Stall {
    fn begin(limiter: &Limiter) -> Self {
        limiter.signal("-STOP");
        let stat = format!("/proc/{}/stat", limiter.child.id());
        eventually("the limiter stands still", || {
            std::fs::read_to_string(&stat).expect("its state").contains(") T ")
        });
        Stall { process: limiter.child.id().to_string() }
    }
}

impl Drop for Stall {
    fn drop(&mut self) {
        let _ = Command::new("kill").args(["-CONT", &self.process]).status();
    }
}

/// Waits until the server has seen all that was sent to it: nothing stands unread in its sockets, and nothing
/// new is seen for a while.
fn settled(server: &Server) {
    let port = format!(":{:04X}", server.address.port());
    let (mut count, mut since) = (0, Instant::now());
    eventually("the server has seen all", || {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table of connections");
        let mut rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        let unread =
            rows.any(|row| row[1].ends_with(&port) && row[3] != LISTEN && !row[4].ends_with(":00000000"));
        let now = server.count();
        if unread || now != count {
            (count, since) = (now, Instant::now());
        }
        since.elapsed() > 2 * TOO_LATE
    });
}

/// Has these clients leave in one instant, in all ways. Those that closed half read on.
fn leave_all(clients: Vec<Client>) -> Vec<Client> {
    let mut half = Vec::new();
    for (i, client) in clients.into_iter().enumerate() {
        match i % 50 {
            0..10 => {
                client.stream.shutdown(Shutdown::Write).expect("a half-close");
                half.push(client);
            }
            49 => leave(client, Leave::MuchBehind),
            i => leave(client, WAYS[i % 4]),
        }
    }
    half
}

/// Has clients leave while the limiter stands still, and counts the attempts that begin for them (requests
/// named `gone`) when it goes on, over 0.1 s later. What it had begun before has reached the server by then,
/// so the count does not depend on how long the machine takes for anything.
fn begun_too_late(stall: Stall, limiter: &Limiter, server: &Server, clients: Vec<Client>) -> usize {
    let ports: HashSet<u16> =
        clients.iter().map(|c| c.stream.local_addr().expect("an address").port()).collect();
    let none = |state| !others_ends(limiter, &[state]).iter().any(|port| ports.contains(port));
    let _half = leave_all(clients);
    eventually("the kernel has taken in the closes", || none(ESTABLISHED));
    std::thread::sleep(TOO_LATE);
    settled(server);
    let before = seen(server, "gone");
    drop(stall);
    eventually("the limiter lets go of those who left", || none(CLOSE_WAIT));
    assert_eq!(limiter.client().get("/healthz", "").status(), 200);
    settled(server);
    seen(server, "gone") - before
}

/// A stall may fall between the look at a client's socket and the write that follows: one case in each.
const MOST: usize = 1;

/// A server under so many ids that a flood meets no limit on what is out at one.
fn many_of(address: SocketAddr) -> Vec<String> {
    (0..600).map(|i| member(&format!("s-{:08x}", i + 1), address, "Ready")).collect()
}

/// A limiter that takes all of a flood at once.
fn roomy(server: &Server) -> (Limiter, Discovery, Counter) {
    let (mut setup, discovery, counter) = around(&many_of(server.address));
    (setup.sockets, setup.memory_mb) = (4096, 2000.0);
    (setup.start(), discovery, counter)
}

fn flood(limiter: &Limiter, name: &str, many: usize) -> Vec<Client> {
    (0..many).map(|_| ask(limiter, name)).collect()
}

#[test]
fn a_flood_that_left_before_it_was_read_is_not_sent_on() {
    let server = Server::ok();
    let (limiter, _discovery, _counter) = roomy(&server);
    let stall = Stall::begin(&limiter);
    let _others = flood(&limiter, "other", FLOOD);
    let clients = flood(&limiter, "gone", FLOOD);
    let late = begun_too_late(stall, &limiter, &server, clients);
    assert!(late <= MOST, "{late} attempts");
}

/// A flood whose requests are being sent on, among as many others: so many have begun at least.
fn being_sent_on(limiter: &Limiter, server: &Server, begun: usize) -> (Vec<Client>, Vec<Client>) {
    let stall = Stall::begin(limiter);
    let (clients, others) = (flood(limiter, "gone", FLOOD), flood(limiter, "other", FLOOD));
    drop(stall);
    eventually("attempts", || seen(server, "gone") >= begun);
    (clients, others)
}

#[test]
fn a_flood_that_leaves_while_it_is_being_sent_on_is_not_sent_on_further() {
    // Tasks by the hundred stand before those that would tell of the closes.
    for begun in [1, 60, 120, 250] {
        let server = Server::ok();
        let (limiter, _discovery, _counter) = roomy(&server);
        let (clients, _others) = being_sent_on(&limiter, &server, begun);
        let late = begun_too_late(Stall::begin(&limiter), &limiter, &server, clients);
        assert!(late <= MOST, "{late} attempts after {begun}");
    }
}

/// Where requests stand when their clients leave.
#[derive(Clone, Copy, Debug)]
enum Stands {
    /// Held under the limit on what one customer has out.
    Held,
    /// Waiting for a place under the concurrency limit.
    Placeless,
    /// Waiting for the counter.
    Counting,
    /// Its connection is coming up.
    Connecting,
    /// Sent, and about to be turned away unseen: goes out again.
    TurnedAway,
    /// Sent, and late: a second copy goes out.
    Late,
}

const EACH: [Stands; 6] =
    [Stands::Held, Stands::Placeless, Stands::Counting, Stands::Connecting, Stands::TurnedAway, Stands::Late];

/// When the last request named `gone` was seen.
type LastSeen = Arc<Mutex<Option<Instant>>>;

/// What a server does with a request in a scene.
fn act(stands: Stands, gate: &Gate, last: &LastSeen, m: &Message) -> Act {
    let gone = m.start.contains("&name=gone ");
    if gone {
        *last.lock().expect("a lock") = Some(Instant::now());
    }
    match stands {
        Stands::TurnedAway if gone => {
            gate.wait();
            Act::Write(answer("503 Busy", "X-Unprocessed: 1\r\n", b""))
        }
        Stands::Late if gone => Act::Silence,
        _ => {
            if m.start.contains("&name=slow ") {
                gate.wait();
            }
            Act::Write(answer("200 OK", "", b"good"))
        }
    }
}

/// A limiter that holds requests named `gone`, until what they wait for is let through.
struct Scene {
    stands: Stands,
    limiter: Limiter,
    server: Server,
    clients: Vec<Client>,
    unreachable: Option<Unreachable>,
    gate: Gate,
    _slow: Vec<Client>,
    last: LastSeen,
    _around: (Discovery, Counter, Option<Counter>, Vec<TcpStream>),
}

impl Scene {
    fn new(stands: Stands, cancellation_allowed: bool) -> Scene {
        let (gate, last) = (Gate::default(), LastSeen::default());
        let acting = (gate.clone(), last.clone());
        let server = Server::start(move |m| act(stands, &acting.0, &acting.1, m));
        let unreachable = matches!(stands, Stands::Connecting).then(Unreachable::new);
        let mut members = many_of(unreachable.as_ref().map_or(server.address, |u| u.address));
        if matches!(stands, Stands::Placeless) {
            members.truncate(10);
        }
        let (mut setup, discovery, usual) = around(&members);
        (setup.sockets, setup.memory_mb, setup.cancellation_allowed) = (4096, 2000.0, cancellation_allowed);
        let (mut slow, mut counter) = (0, None);
        match stands {
            Stands::Held => {
                setup.plan = r#"{"name":"team","rate":100000,"store_size":100000,"max_out":2}"#;
                slow = 1;
            }
            // Eight a server, over two gateways.
            Stands::Placeless => slow = 40,
            Stands::Counting => {
                let there = gate.clone();
                let held = Counter::start(move |_, total| {
                    there.wait();
                    format!("ok {total}\r\n").into_bytes()
                });
                setup.plan = r#"{"name":"team","rate":2,"store_size":30}"#;
                (setup.gateways, setup.counter, setup.counter_timeout) = (200, held.address, 20_000.0);
                counter = Some(held);
            }
            Stands::Connecting => setup.connect_timeout = 60_000.0,
            Stands::TurnedAway | Stands::Late => {}
        }
        let limiter = setup.start();
        if let Some(counter) = &counter {
            eventually("connections", || counter.connections.load(Ordering::SeqCst) >= 4);
        }
        if matches!(stands, Stands::Late) {
            // A second copy goes out after eight mean answer times, which are about 0.1 s by then.
            let mut client = limiter.client();
            (0..40).for_each(|_| assert_eq!(client.look().status(), 200));
        }
        let slow: Vec<Client> = (0..slow).map(|_| ask(&limiter, "slow")).collect();
        eventually("what is in the way", || seen(&server, "slow") == slow.len());
        let clients = match stands {
            Stands::Late => (0..5).map(|_| look(&limiter, "gone")).collect(),
            _ => flood(&limiter, "gone", if slow.len() > 1 { 15 } else { 50 }),
        };
        // Answered in order: after the first all have been taken in, after the second what that led to has begun.
        (0..2).for_each(|_| assert_eq!(limiter.client().get("/healthz", "").status(), 200));
        let around = (discovery, usual, counter, Vec::new());
        Scene { stands, limiter, server, clients, unreachable, gate, _slow: slow, last, _around: around }
    }

    /// Lets through what was waited for: then that stands in the limiter's sockets, or is overdue.
    fn let_through(&mut self) {
        self.gate.open();
        if let Some(unreachable) = self.unreachable.take() {
            let (stands, gate, last) = (self.stands, self.gate.clone(), self.last.clone());
            let (server, fill) = unreachable.serve(move |m| act(stands, &gate, &last, m));
            eventually("connections that come up", || server.connections.load(Ordering::SeqCst) > fill.len());
            (self.server, self._around.3) = (server, fill);
        }
        if matches!(self.stands, Stands::Late) {
            std::thread::sleep(Duration::from_millis(700));
        }
    }
}

/// A request of the class that is safe to repeat.
fn look(limiter: &Limiter, name: &str) -> Client {
    let mut client = limiter.client();
    let port = client.stream.local_addr().expect("an address").port();
    let head = format!(
        "GET /look?customer=00000000b4d65521&name={name} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: l{port}\r\n\
         X-Service-Class: look\r\nX-Plan: team\r\nX-Time-Left: 2.0\r\nX-Quota: units=1,spread=2,first=0\r\n\r\n"
    );
    client.stream.write_all(head.as_bytes()).expect("a request is written");
    client
}

#[test]
fn wherever_a_request_stands_it_is_not_sent_on_after_a_stall_in_which_its_client_left() {
    for stands in EACH {
        // Where clients stay, attempts begin, first ones or further ones.
        let mut scene = Scene::new(stands, true);
        let firsts =
            if matches!(stands, Stands::TurnedAway | Stands::Late) { scene.clients.len() } else { 0 };
        scene.let_through();
        eventually(&format!("further attempts, {stands:?}"), || seen(&scene.server, "gone") > firsts);
        drop(scene);
        for cancellation_allowed in [true, false] {
            let mut scene = Scene::new(stands, cancellation_allowed);
            let stall = Stall::begin(&scene.limiter);
            scene.let_through();
            settled(&scene.server);
            let clients = std::mem::take(&mut scene.clients);
            let late = begun_too_late(stall, &scene.limiter, &scene.server, clients);
            assert!(late <= MOST, "{late} attempts, {stands:?}, cancelling {cancellation_allowed}");
        }
    }
}

#[test]
#[ignore = "prints figures of this machine; the stalls hold the bound"]
fn longest_time_from_a_close_to_the_last_attempt_that_begins() {
    let since = |closed: Instant, last: &LastSeen| {
        let last = last.lock().expect("a lock").filter(|at| *at > closed);
        last.map_or("none".into(), |at| format!("{:.1} ms", (at - closed).as_secs_f64() * 1000.0))
    };
    for stands in EACH {
        for cancellation_allowed in [true, false] {
            let mut scene = Scene::new(stands, cancellation_allowed);
            scene.let_through();
            let closed = Instant::now();
            let _half = leave_all(std::mem::take(&mut scene.clients));
            settled(&scene.server);
            println!("{stands:?}, cancelling {cancellation_allowed}: {}", since(closed, &scene.last));
        }
    }
    for begun in [1, 60, 120, 250] {
        let last = LastSeen::default();
        let there = last.clone();
        let server = Server::start(move |m| act(Stands::Held, &Gate::default(), &there, m));
        let (limiter, _discovery, _counter) = roomy(&server);
        let (clients, _others) = being_sent_on(&limiter, &server, begun);
        let closed = Instant::now();
        let _half = leave_all(clients);
        settled(&server);
        println!("flood of {FLOOD} after {begun}: {}", since(closed, &last));
    }
}
