//! Every state of the follower, in paused time: how long it takes until what the agent holds is acted on.

use super::*;
use crate::config::Config;
use crate::ids::ServerId;
use crate::net::event_loop::EventLoop;
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::rc::Rc;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::time::sleep;

/// A change counts as told this long after discovery had it and could be reached, and this long after SIGHUP.
const TOLD: Duration = Duration::from_secs(6);
const TOLD_AFTER_HANGUP: Duration = Duration::from_secs(4);
/// Between two bytes of an agent that trickles, two pieces of one that is slow, two looks of a watch.
const STEP: Duration = Duration::from_millis(50);

/// What an agent does with a call, and with the watches that are open.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    Sound,
    /// Its lists and objects come steadily over almost all the time that one may take.
    Slow,
    HangsAtConnect,
    HangsAtHead,
    TricklesHead,
    HangsInBody,
    HangsInObject,
    TricklesObject,
    /// White space in place of a list.
    TricklesBlanks,
    TricklesChunkHead,
    Refuses,
    Closes,
    ClosesBehindHead,
    TellsNonsense,
    TellsBadEntries,
}

const BAD: [Mode; 13] = [
    Mode::HangsAtConnect,
    Mode::HangsAtHead,
    Mode::TricklesHead,
    Mode::HangsInBody,
    Mode::HangsInObject,
    Mode::TricklesObject,
    Mode::TricklesBlanks,
    Mode::TricklesChunkHead,
    Mode::Refuses,
    Mode::Closes,
    Mode::ClosesBehindHead,
    Mode::TellsNonsense,
    Mode::TellsBadEntries,
];

/// An agent in memory. What it does with a call is settled when the call comes and stays so for that call.
struct State {
    mode: Cell<Mode>,
    /// What it does with calls for a watch, if that is another thing.
    watches: Cell<Option<Mode>>,
    revision: Cell<u64>,
    /// Whole lists that were told, and connections that were asked for.
    lists: Cell<u32>,
    calls: Cell<u32>,
}

#[derive(Clone)]
struct Agent(Rc<State>);

impl Agent {
    fn new(mode: Mode, revision: u64) -> Self {
        let (mode, revision) = (Cell::new(mode), Cell::new(revision));
        let (watches, lists, calls) = (Cell::default(), Cell::default(), Cell::default());
        Agent(Rc::new(State { mode, watches, revision, lists, calls }))
    }

    /// Its one server drains from the second version on.
    fn object(&self, complete: bool) -> String {
        let revision = self.0.revision.get();
        let phase = if revision < 2 { "Ready" } else { "Terminating" };
        let member = format!(r#"{{"id":"s-00000001","host_port":"127.0.0.1:9","phase":"{phase}"}}"#);
        format!(r#"{{"revision":{revision},"complete":{complete},"members":[{member}]}}"#) + "\n"
    }
}

impl Display for Agent {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("agent")
    }
}

impl PartialEq for Agent {
    fn eq(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }
}

impl Connect for Agent {
    type Stream = DuplexStream;

    async fn connect(&self) -> std::io::Result<DuplexStream> {
        self.0.calls.set(self.0.calls.get() + 1);
        if self.0.mode.get() == Mode::HangsAtConnect {
            pending::<()>().await;
        }
        let (here, there) = duplex(1 << 16);
        let agent = self.clone();
        tokio::task::spawn_local(async move {
            // A caller that has left is no matter.
            let _ = serve(there, agent).await;
        });
        Ok(here)
    }
}

async fn chunk(io: &mut DuplexStream, data: &str) -> std::io::Result<()> {
    io.write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes()).await
}

/// Repeats a piece until the caller leaves.
async fn trickle(io: &mut DuplexStream, piece: &str) -> std::io::Result<()> {
    loop {
        io.write_all(piece.as_bytes()).await?;
        sleep(STEP).await;
    }
}

async fn tell(io: &mut DuplexStream, object: &str, slow: bool) -> std::io::Result<()> {
    if !slow {
        return chunk(io, object).await;
    }
    let steps = (OBJECT_TIME.as_millis() / STEP.as_millis()) as usize - 1;
    for piece in object.as_bytes().chunks(object.len().div_ceil(steps)) {
        sleep(STEP).await;
        chunk(io, std::str::from_utf8(piece).expect("plain text")).await?;
    }
    Ok(())
}

async fn serve(mut io: DuplexStream, agent: Agent) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(io.read_u8().await?);
    }
    let head = String::from_utf8(head).expect("text");
    let since = head.split_once("since=").map(|(_, rest)| rest.split(' ').next().expect("a number"));
    let since: Option<u64> = since.map(|since| since.parse().expect("a number"));
    let mode = agent.0.watches.get().filter(|_| since.is_some()).unwrap_or(agent.0.mode.get());
    match mode {
        Mode::HangsAtConnect | Mode::HangsAtHead => return pending().await,
        Mode::Closes => return Ok(()),
        Mode::TricklesHead => {
            io.write_all(b"HTTP/1.1 200 OK\r\nX-Long: ").await?;
            return trickle(&mut io, "x").await;
        }
        Mode::Refuses => return io.write_all(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n").await,
        _ => {}
    }
    io.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    if mode != Mode::Sound && mode != Mode::Slow {
        return spoil(&mut io, mode, since.is_none()).await;
    }
    let slow = mode == Mode::Slow;
    let Some(mut told) = since else {
        agent.0.lists.set(agent.0.lists.get() + 1);
        tell(&mut io, &agent.object(true), slow).await?;
        return io.write_all(b"0\r\n\r\n").await;
    };
    let mut quiet = Instant::now();
    chunk(&mut io, "\r\n").await?;
    loop {
        let now = agent.0.mode.get();
        if now != mode {
            return spoil(&mut io, now, false).await;
        }
        if agent.0.revision.get() > told {
            tell(&mut io, &agent.object(false), slow).await?;
            told = agent.0.revision.get();
        } else if quiet.elapsed() >= Duration::from_secs(2) {
            chunk(&mut io, "\r\n").await?;
            quiet = Instant::now();
        }
        sleep(STEP).await;
    }
}

/// What comes behind the head of an answer, or on a watch that was sound so far.
async fn spoil(io: &mut DuplexStream, mode: Mode, whole: bool) -> std::io::Result<()> {
    match mode {
        Mode::Refuses | Mode::Closes | Mode::ClosesBehindHead => return Ok(()),
        Mode::HangsInObject => chunk(io, r#"{"revision":2,"mem"#).await?,
        Mode::TricklesObject => {
            chunk(io, r#"{"revision":2,"members":[{"id":""#).await?;
            return trickle(io, "1\r\na\r\n").await;
        }
        // On a watch white space is no fault.
        Mode::TricklesBlanks if whole => return trickle(io, "1\r\n\n\r\n").await,
        Mode::TricklesChunkHead => {
            io.write_all(b"7;").await?;
            return trickle(io, "x").await;
        }
        Mode::TellsNonsense => chunk(io, "{\"revision\": oops\n").await?,
        Mode::TellsBadEntries => {
            let object = format!(r#"{{"revision":1,"complete":{whole},"members":[{{"id":7}}]}}"#);
            chunk(io, &(object + "\n")).await?;
        }
        _ => {}
    }
    pending().await
}

const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{
    "balancers":1,"areas":["a"],"zone":0,"discovery":"pushed",
    "classes":[{"name":"look","deadline":2000,"goal_time":1500,"importance":2,"idempotency":"free",
        "group":"all","repeat_window":25000,"late_value":0}],
    "plans":[{"name":"team","rate":100,"store_size":100}]}}"#;

/// The driver, and when it was told of the drain.
#[derive(Clone)]
struct Told {
    event_loop: Rc<EventLoop>,
    drained: Rc<RefCell<Option<Instant>>>,
}

impl Learn for Told {
    fn learn(&self, list: &ServerList<'_>) -> bool {
        let whole = self.event_loop.servers_changed(list);
        if list.revision >= 2 {
            // From here on nothing new goes to it, whatever is under way.
            assert!(!self.event_loop.may_send(ServerId(1)));
            self.drained.borrow_mut().get_or_insert(Instant::now());
        }
        whole
    }
}

/// Runs in paused time, with the driver as it is told.
fn paused<F: Future<Output = T>, T>(run: impl FnOnce(Told, Bounds) -> F) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let config = Config::parse(CONFIG).expect("a configuration");
    let event_loop = EventLoop::new(&config, 16);
    let bounds = Bounds { drain_grace: event_loop.drain_grace(), most_bytes: most_bytes(192.0) };
    let told = Told { event_loop, drained: Rc::default() };
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), run(told, bounds))
}

/// How long it takes from now until the drain is acted on.
async fn until_drained(told: &Told) -> Duration {
    let start = Instant::now();
    while told.drained.borrow().is_none() && start.elapsed() < 2 * TOLD {
        sleep(Duration::from_millis(5)).await;
    }
    start.elapsed()
}

/// What the follower is at when the agent turns bad.
#[derive(Clone, Copy, Debug)]
enum Stage {
    /// It has no list, and asks for one.
    Start,
    /// It has a list, and asks for a watch.
    Known,
    /// It has a watch, which turns bad as well.
    Watching,
}

const STAGES: [Stage; 3] = [Stage::Start, Stage::Known, Stage::Watching];

/// Brings a follower to a stage, lets the agent be bad for a time, and gives back what is left to be done.
async fn bring(
    told: &Told,
    bounds: Bounds,
    stage: Stage,
    mode: Mode,
    bad_for: Duration,
) -> (Following<Agent>, Agent) {
    let agent = Agent::new(mode, 1);
    let known = if matches!(stage, Stage::Start) { None } else { Some(1) };
    if matches!(stage, Stage::Watching) {
        agent.0.mode.set(Mode::Sound);
    }
    let following = Following::start(told, agent.clone(), known, bounds);
    if matches!(stage, Stage::Watching) {
        // Just behind an empty line, from where silence lasts longest until it is met.
        sleep(Duration::from_millis(2110)).await;
        agent.0.mode.set(mode);
    }
    sleep(bad_for).await;
    (following, agent)
}

/// Moments over the cycle of any state, and well into its longest pause.
fn moments() -> impl Iterator<Item = Duration> {
    (0..90).map(|i| Duration::from_millis(i * 97))
}

#[test]
fn what_the_agent_holds_is_acted_on_in_time_from_every_state() {
    for back in [Mode::Sound, Mode::Slow] {
        for stage in STAGES {
            for mode in BAD {
                let longest = moments().map(|bad_for| {
                    paused(|told, bounds| async move {
                        let (_following, agent) = bring(&told, bounds, stage, mode, bad_for).await;
                        agent.0.mode.set(back);
                        agent.0.revision.set(2);
                        until_drained(&told).await
                    })
                });
                let longest = longest.max().expect("moments");
                println!("{stage:?}, {mode:?}, then {back:?}: acted on after {} ms", longest.as_millis());
                assert!(longest < TOLD, "{stage:?}, {mode:?}, then {back:?}: {longest:?}");
                // A SIGHUP that leaves the agent as it is changes nothing in this.
                assert!(
                    back == Mode::Slow || longest < TOLD_AFTER_HANGUP,
                    "{stage:?}, {mode:?}: {longest:?}"
                );
            }
        }
    }
}

#[test]
fn a_call_that_was_out_when_a_silent_agent_came_back_costs_less_than_the_grace() {
    for stage in STAGES {
        for mode in [Mode::HangsAtConnect, Mode::HangsAtHead] {
            // The watch that falls silent with the agent has been given up by then.
            for bad_for in moments().map(|moment| moment + SILENCE) {
                let (elapsed, grace) = paused(|told, bounds| async move {
                    let (_following, agent) = bring(&told, bounds, stage, mode, bad_for).await;
                    agent.0.mode.set(Mode::Sound);
                    agent.0.revision.set(2);
                    (until_drained(&told).await, bounds.drain_grace)
                });
                assert!(elapsed < grace, "{stage:?}, {mode:?} for {bad_for:?}: {elapsed:?}");
            }
        }
    }
}

#[test]
fn a_new_agent_is_heard_in_time_after_sighup_in_every_state() {
    for back in [Mode::Sound, Mode::Slow] {
        let mut longest = Duration::ZERO;
        for stage in STAGES {
            for mode in BAD {
                for bad_for in moments().step_by(6) {
                    let elapsed = paused(|told, bounds| async move {
                        let (mut following, _agent) = bring(&told, bounds, stage, mode, bad_for).await;
                        following.move_to(&told, Agent::new(back, 2));
                        until_drained(&told).await
                    });
                    assert!(elapsed < TOLD_AFTER_HANGUP, "{stage:?}, {mode:?} for {bad_for:?}: {elapsed:?}");
                    longest = longest.max(elapsed);
                }
            }
        }
        println!("SIGHUP to an agent that is {back:?}: acted on after {} ms", longest.as_millis());
    }
    // The new agent is bad first, and so is the old one from then on.
    for mode in BAD {
        let longest = moments().step_by(3).map(|bad_for| {
            paused(|told, bounds| async move {
                let (mut following, _) = bring(&told, bounds, Stage::Watching, Mode::HangsAtHead, STEP).await;
                let agent = Agent::new(mode, 2);
                following.move_to(&told, agent.clone());
                sleep(bad_for).await;
                agent.0.mode.set(Mode::Sound);
                until_drained(&told).await
            })
        });
        let longest = longest.max().expect("moments");
        println!("SIGHUP to an agent that is {mode:?} first: acted on after {} ms", longest.as_millis());
        assert!(longest < TOLD_AFTER_HANGUP, "{mode:?}: {longest:?}");
    }
}

#[test]
fn what_no_watch_tells_comes_by_the_whole_list() {
    // Its calls for a watch go on failing; only its list tells.
    for mode in [Mode::HangsInBody, Mode::Refuses, Mode::ClosesBehindHead, Mode::TricklesChunkHead] {
        let longest = moments().step_by(3).map(|bad_for| {
            paused(|told, bounds| async move {
                let agent = Agent::new(Mode::Sound, 1);
                agent.0.watches.set(Some(mode));
                let _following = Following::start(&told, agent.clone(), Some(1), bounds);
                sleep(bad_for).await;
                agent.0.revision.set(2);
                until_drained(&told).await
            })
        });
        let longest = longest.max().expect("moments");
        println!("watches that are {mode:?} for ever: acted on after {} ms", longest.as_millis());
        assert!(longest < TOLD, "{mode:?}: {longest:?}");
        let lists = paused(|told, bounds| async move {
            let agent = Agent::new(Mode::Sound, 1);
            agent.0.watches.set(Some(mode));
            let _following = Following::start(&told, agent.clone(), Some(1), bounds);
            sleep(10 * TOLD).await;
            agent.0.lists.get()
        });
        assert!(lists <= 20, "{mode:?}: {lists} whole lists in a minute");
    }
    // A sound watch that was reset now and then is no cause for one, and neither is an agent that was down.
    paused(|told, bounds| async move {
        let agent = Agent::new(Mode::Sound, 1);
        let _following = Following::start(&told, agent.clone(), Some(1), bounds);
        for mode in [Mode::Closes, Mode::HangsAtHead, Mode::HangsAtConnect, Mode::Closes] {
            sleep(Duration::from_secs(3)).await;
            agent.0.mode.set(mode);
            sleep(Duration::from_secs(3)).await;
            agent.0.mode.set(Mode::Sound);
        }
        agent.0.revision.set(2);
        until_drained(&told).await;
        assert_eq!(agent.0.lists.get(), 0);
    });
}

#[test]
fn an_agent_that_stays_bad_is_neither_asked_without_a_pause_nor_forgotten_with_a_long_grace() {
    for grace in [1000, 20_000].map(Duration::from_millis) {
        for mode in [Mode::Closes, Mode::Refuses, Mode::HangsAtHead] {
            for bad_for in moments().step_by(6).map(|moment| 10 * TOLD + moment) {
                let (elapsed, calls) = paused(|told, bounds| async move {
                    let bounds = Bounds { drain_grace: grace, ..bounds };
                    let (_following, agent) = bring(&told, bounds, Stage::Known, mode, bad_for).await;
                    let calls = agent.0.calls.get();
                    agent.0.mode.set(Mode::Sound);
                    agent.0.revision.set(2);
                    (until_drained(&told).await, calls)
                });
                assert!(elapsed < Duration::from_secs(2), "grace {grace:?}, {mode:?}: {elapsed:?}");
                let most = bad_for.as_millis() / CallTiming::within(grace).longest_pause.as_millis() + 10;
                assert!(u128::from(calls) <= most, "grace {grace:?}, {mode:?}: {calls} calls");
            }
        }
    }
}
