//! Clients that leave: nothing of a request is sent on once its client has gone, wherever the request stands
//! just then and however the client went. Each crossing is forced by a gate that a fake peer waits at.

#[allow(dead_code)] // each file of tests uses its own part
mod fakes;

use fakes::*;
use socket2::SockRef;
use std::collections::HashSet;
use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

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
         X-Quota: units=1,spread={spread},first=0\r\nContent-Length: 2\r\n\r\n{{}}",
        spread = limiter.gateways,
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
    for cancelling in [true, false] {
        for how in WAYS {
            let server = Unreachable::new();
            let (mut setup, _discovery, _counter) = with_list(server.address);
            (setup.connect_timeout, setup.cancelling) = (60_000.0, cancelling);
            let limiter = setup.start();
            let clients: Vec<Client> = (0..crowd(how)).map(|_| ask(&limiter, "gone")).collect();
            // Answered in order, so what was written before has been taken in.
            assert_eq!(limiter.client().get("/healthz", "").status(), 200);
            clients.into_iter().for_each(|client| leave(client, how));
            all_left_but(&limiter, 0);
            let (heard, gone) = server.open();
            if !cancelling {
                // The module may not call these off: they come up when the kernel tries again, after 1, 3 or
                // 7 s, and end. One that never comes up had nothing sent on it either.
                within(Duration::from_secs(12), || gone.load(Ordering::SeqCst) > 0);
            }
            assert_eq!(limiter.client().get("/healthz", "").status(), 200);
            assert_eq!(heard.load(Ordering::SeqCst), 0, "{how:?}, cancelling {cancelling}");
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
    for cancelling in [true, false] {
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
            (setup.known, setup.cancelling) = (known, cancelling);
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
            assert_eq!(seen(&a, "slow") + seen(&b, "slow"), before, "{how:?}, cancelling {cancelling}");
            drop(counter);
        }
    }
}

/// Clients that leave in one instant.
const FLOOD: usize = 500;
/// An attempt that begins later than this after its client's close is one too late.
const TOO_LATE: Duration = Duration::from_millis(100);

/// Stops the limiter, as a machine does that is short of CPU. The guard lets it go on.
struct Stall<'a>(&'a Limiter);

impl<'a> Stall<'a> {
    fn begin(limiter: &'a Limiter) -> Self {
        limiter.signal("-STOP");
        let stat = format!("/proc/{}/stat", limiter.child.id());
        eventually("the limiter stands still", || {
            std::fs::read_to_string(&stat).expect("its state").contains(") T ")
        });
        Stall(limiter)
    }
}

impl Drop for Stall<'_> {
    fn drop(&mut self) {
        self.0.signal("-CONT");
    }
}

/// Waits until the servers have seen all that was sent to them: nothing stands unread in their sockets, and
/// nothing new is seen for a while.
fn settled(servers: &[&Server]) {
    let ports: Vec<String> = servers.iter().map(|s| format!(":{:04X}", s.address.port())).collect();
    let (mut count, mut since) = (0, Instant::now());
    eventually("the servers have seen all", || {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table of connections");
        let mut rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        let unread = rows.any(|row| {
            ports.iter().any(|p| row[1].ends_with(p)) && row[3] != "0A" && !row[4].ends_with(":00000000")
        });
        let now: usize = servers.iter().map(|s| s.count()).sum();
        if unread || now != count {
            (count, since) = (now, Instant::now());
        }
        since.elapsed() > 2 * TOO_LATE
    });
}

/// Has these clients leave in one instant, in all ways, while the limiter stands still, and counts the attempts
/// that begin for them (requests named `gone`) when it goes on, over 0.1 s later. What it had begun before has
/// reached the servers by then, so the count does not depend on how long the machine takes for anything.
/// `first` brings up what stands in the limiter's sockets before the closes do.
fn begun_too_late(
    limiter: &Limiter,
    servers: &[&Server],
    first: impl FnOnce(),
    clients: impl FnOnce() -> Vec<Client>,
) -> usize {
    let stall = Stall::begin(limiter);
    first();
    let clients = clients();
    let ports: HashSet<u16> =
        clients.iter().map(|c| c.stream.local_addr().expect("an address").port()).collect();
    let none = |state| !others_ends(limiter, &[state]).iter().any(|port| ports.contains(port));
    let mut half = Vec::new();
    for (i, client) in clients.into_iter().enumerate() {
        match i % 50 {
            // Closed half, and read on.
            0..10 => {
                client.stream.shutdown(Shutdown::Write).expect("a half-close");
                half.push(client);
            }
            49 => leave(client, Leave::MuchBehind),
            i => leave(client, WAYS[i % 4]),
        }
    }
    eventually("the kernel has taken in the closes", || none(ESTABLISHED));
    std::thread::sleep(TOO_LATE);
    settled(servers);
    let begun = || servers.iter().map(|s| seen(s, "gone")).sum::<usize>();
    let before = begun();
    drop(stall);
    eventually("the limiter lets go of those who left", || none(CLOSE_WAIT));
    assert_eq!(limiter.client().get("/healthz", "").status(), 200);
    settled(servers);
    begun() - before
}

/// A stall may fall between the look at a client's socket and the write that follows: one case in each.
const MOST: usize = 1;

/// A server under so many ids that a flood meets no limit on what is out at one.
fn many_of(server: &Server) -> Vec<String> {
    (0..600).map(|i| member(&format!("s-{:08x}", i + 1), server.address, "Ready")).collect()
}

/// A limiter that takes all of a flood at once.
fn roomy(server: &Server) -> (Limiter, Discovery, Counter) {
    let (mut setup, discovery, counter) = around(&many_of(server));
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
    let mut others = Vec::new();
    let first = || others = flood(&limiter, "other", FLOOD);
    let late = begun_too_late(&limiter, &[&server], first, || flood(&limiter, "gone", FLOOD));
    assert!(late <= MOST, "{late} attempts");
}

#[test]
fn a_flood_that_left_is_not_sent_on_a_second_time() {
    let gate = Gate::default();
    let there = gate.clone();
    let server = Server::start(move |m| {
        if m.start.contains("&name=gone ") {
            there.wait();
            return Act::Write(answer("503 Busy", "X-Unprocessed: 1\r\n", b""));
        }
        Act::Write(answer("200 OK", "", b"good"))
    });
    let (limiter, _discovery, _counter) = roomy(&server);
    let clients = flood(&limiter, "gone", FLOOD);
    assert_eq!(limiter.client().get("/healthz", "").status(), 200);
    settled(&[&server]);
    let mut others = Vec::new();
    let first = || {
        gate.open();
        others = flood(&limiter, "other", FLOOD);
        std::thread::sleep(TOO_LATE);
    };
    let late = begun_too_late(&limiter, &[&server], first, || clients);
    assert!(late <= MOST, "{late} attempts");
}

#[test]
fn a_flood_that_leaves_while_it_is_being_sent_on_is_not_sent_on_further() {
    // Tasks by the hundred stand before those that would tell of the closes.
    for begun in [1, 60, 120, 250] {
        let server = Server::ok();
        let (limiter, _discovery, _counter) = roomy(&server);
        let stall = Stall::begin(&limiter);
        let (clients, _others) = (flood(&limiter, "gone", FLOOD), flood(&limiter, "other", FLOOD));
        drop(stall);
        eventually("attempts", || seen(&server, "gone") >= begun);
        let late = begun_too_late(&limiter, &[&server], || (), || clients);
        assert!(late <= MOST, "{late} attempts after {begun}");
    }
}
