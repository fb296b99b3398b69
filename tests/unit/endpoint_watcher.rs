//! Every state of the watcher, in paused time: how long it takes until what the agent holds is acted on.
//!
//! The story of them all: a server is about to leave, discovery marks it as draining, and the agent is in
//! trouble at that moment. Once the agent holds the change and can be reached, the gateway has to act on it
//! in time, whatever the watcher was waiting for when the trouble began.

use super::super::json_framer::max_object_bytes;
use super::super::timing::{RequestTiming, OBJECT_TIMEOUT, WATCH_IDLE_TIMEOUT};
use super::{Connect, EndpointList, EndpointSink, WatcherHandle, WatcherLimits};
use crate::config::Config;
use crate::ids::ServerId;
use crate::net::event_loop::EventLoop;
use std::cell::{Cell, RefCell};
use std::fmt::{Display, Formatter};
use std::future::{pending, Future};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::time::{sleep, Instant};

/// A change counts as notified this long after discovery had it and could be reached, and this long after
/// SIGHUP.
const NOTIFIED: Duration = Duration::from_secs(6);
const NOTIFIED_AFTER_HANGUP: Duration = Duration::from_secs(4);
/// Between two bytes of an agent that trickles, two pieces of one that is slow, two looks of a watch.
const STEP: Duration = Duration::from_millis(50);

/// What an agent does with a call, and with the watches that are open.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AgentMode {
    Healthy,
    /// Its lists and objects come steadily over almost all the time that one may take.
    Slow,
    HangsAtConnect,
    HangsAtHead,
    TricklesHead,
    HangsInBody,
    HangsInObject,
    TricklesObject,
    /// White space in place of a list.
    TricklesWhitespace,
    TricklesChunkHead,
    Refuses,
    Closes,
    ClosesBehindHead,
    SendsNonsense,
    SendsBadEntries,
}

const FAULTY: [AgentMode; 13] = [
    AgentMode::HangsAtConnect,
    AgentMode::HangsAtHead,
    AgentMode::TricklesHead,
    AgentMode::HangsInBody,
    AgentMode::HangsInObject,
    AgentMode::TricklesObject,
    AgentMode::TricklesWhitespace,
    AgentMode::TricklesChunkHead,
    AgentMode::Refuses,
    AgentMode::Closes,
    AgentMode::ClosesBehindHead,
    AgentMode::SendsNonsense,
    AgentMode::SendsBadEntries,
];

/// An agent in memory. What it does with a call is decided when the call comes and stays so for that call.
struct AgentState {
    mode: Cell<AgentMode>,
    /// What it does with calls for a watch, if that is another thing.
    watches: Cell<Option<AgentMode>>,
    revision: Cell<u64>,
    /// Complete lists that were sent, and connections that were opened.
    lists: Cell<u32>,
    calls: Cell<u32>,
}

#[derive(Clone)]
struct StubAgent(Rc<AgentState>);

impl StubAgent {
    fn new(mode: AgentMode, revision: u64) -> Self {
        let (mode, revision) = (Cell::new(mode), Cell::new(revision));
        let (watches, lists, calls) = (Cell::default(), Cell::default(), Cell::default());
        StubAgent(Rc::new(AgentState { mode, watches, revision, lists, calls }))
    }

    /// Its one server drains from the second version on.
    fn object(&self, complete: bool) -> String {
        let revision = self.0.revision.get();
        let phase = if revision < 2 { "Ready" } else { "Terminating" };
        let member = format!(r#"{{"id":"s-00000001","host_port":"127.0.0.1:9","phase":"{phase}"}}"#);
        format!(r#"{{"revision":{revision},"complete":{complete},"members":[{member}]}}"#) + "\n"
    }
}

impl Display for StubAgent {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("agent")
    }
}

impl PartialEq for StubAgent {
    fn eq(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }
}

impl Connect for StubAgent {
    type Stream = DuplexStream;

    async fn connect(&self) -> std::io::Result<DuplexStream> {
        self.0.calls.set(self.0.calls.get() + 1);
        if self.0.mode.get() == AgentMode::HangsAtConnect {
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

async fn send_object(io: &mut DuplexStream, object: &str, slow: bool) -> std::io::Result<()> {
    if !slow {
        return chunk(io, object).await;
    }
    let steps = (OBJECT_TIMEOUT.as_millis() / STEP.as_millis()) as usize - 1;
    for piece in object.as_bytes().chunks(object.len().div_ceil(steps)) {
        sleep(STEP).await;
        chunk(io, std::str::from_utf8(piece).expect("plain text")).await?;
    }
    Ok(())
}

async fn serve(mut io: DuplexStream, agent: StubAgent) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(io.read_u8().await?);
    }
    let head = String::from_utf8(head).expect("text");
    let since = head.split_once("since=").map(|(_, rest)| rest.split(' ').next().expect("a number"));
    let since: Option<u64> = since.map(|since| since.parse().expect("a number"));
    let mode = agent.0.watches.get().filter(|_| since.is_some()).unwrap_or(agent.0.mode.get());
    match mode {
        AgentMode::HangsAtConnect | AgentMode::HangsAtHead => return pending().await,
        AgentMode::Closes => return Ok(()),
        AgentMode::TricklesHead => {
            io.write_all(b"HTTP/1.1 200 OK\r\nX-Long: ").await?;
            return trickle(&mut io, "x").await;
        }
        AgentMode::Refuses => return io.write_all(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n").await,
        _ => {}
    }
    io.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    if mode != AgentMode::Healthy && mode != AgentMode::Slow {
        return misbehave(&mut io, mode, since.is_none()).await;
    }
    let slow = mode == AgentMode::Slow;
    let Some(mut sent) = since else {
        agent.0.lists.set(agent.0.lists.get() + 1);
        send_object(&mut io, &agent.object(true), slow).await?;
        return io.write_all(b"0\r\n\r\n").await;
    };
    let mut idle_since = Instant::now();
    chunk(&mut io, "\r\n").await?;
    loop {
        let now = agent.0.mode.get();
        if now != mode {
            return misbehave(&mut io, now, false).await;
        }
        if agent.0.revision.get() > sent {
            send_object(&mut io, &agent.object(false), slow).await?;
            sent = agent.0.revision.get();
        } else if idle_since.elapsed() >= Duration::from_secs(2) {
            chunk(&mut io, "\r\n").await?;
            idle_since = Instant::now();
        }
        sleep(STEP).await;
    }
}

/// What comes behind the head of an answer, or on a watch that was healthy so far.
async fn misbehave(io: &mut DuplexStream, mode: AgentMode, complete: bool) -> std::io::Result<()> {
    match mode {
        AgentMode::Refuses | AgentMode::Closes | AgentMode::ClosesBehindHead => return Ok(()),
        AgentMode::HangsInObject => chunk(io, r#"{"revision":2,"mem"#).await?,
        AgentMode::TricklesObject => {
            chunk(io, r#"{"revision":2,"members":[{"id":""#).await?;
            return trickle(io, "1\r\na\r\n").await;
        }
        // On a watch white space is no fault.
        AgentMode::TricklesWhitespace if complete => return trickle(io, "1\r\n\n\r\n").await,
        AgentMode::TricklesChunkHead => {
            io.write_all(b"7;").await?;
            return trickle(io, "x").await;
        }
        AgentMode::SendsNonsense => chunk(io, "{\"revision\": oops\n").await?,
        AgentMode::SendsBadEntries => {
            let object = format!(r#"{{"revision":1,"complete":{complete},"members":[{{"id":7}}]}}"#);
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

/// The event loop, and when it was notified of the drain.
#[derive(Clone)]
struct RecordingSink {
    event_loop: Rc<EventLoop>,
    drained: Rc<RefCell<Option<Instant>>>,
}

impl EndpointSink for RecordingSink {
    fn apply_endpoints(&self, list: &EndpointList<'_>) -> bool {
        let decoded = self.event_loop.endpoints_changed(list);
        if list.revision >= 2 {
            // From here on nothing new goes to it, whatever is under way.
            assert!(!self.event_loop.accepts_requests(ServerId(1)));
            self.drained.borrow_mut().get_or_insert(Instant::now());
        }
        decoded
    }
}

/// Runs in paused time, with the event loop as the sink.
fn in_paused_time<F: Future<Output = T>, T>(run: impl FnOnce(RecordingSink, WatcherLimits) -> F) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let config = Config::parse(CONFIG).expect("a configuration");
    let event_loop = EventLoop::new(&config, 16);
    let limits =
        WatcherLimits { drain_grace: event_loop.drain_grace(), max_object_bytes: max_object_bytes(192.0) };
    let sink = RecordingSink { event_loop, drained: Rc::default() };
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), run(sink, limits))
}

/// How long it takes from now until the drain is acted on.
async fn until_drained(sink: &RecordingSink) -> Duration {
    let start = Instant::now();
    while sink.drained.borrow().is_none() && start.elapsed() < 2 * NOTIFIED {
        sleep(Duration::from_millis(5)).await;
    }
    start.elapsed()
}

/// What the watcher is doing when the agent turns faulty.
#[derive(Clone, Copy, Debug)]
enum Stage {
    /// It has no list, and asks for one.
    Start,
    /// It has a list, and asks for a watch.
    Known,
    /// It has a watch, which turns faulty as well.
    Watching,
}

const STAGES: [Stage; 3] = [Stage::Start, Stage::Known, Stage::Watching];

/// Brings a watcher to a stage, and lets the agent be faulty for a time.
async fn start_in_stage(
    sink: &RecordingSink,
    limits: WatcherLimits,
    stage: Stage,
    mode: AgentMode,
    faulty_for: Duration,
) -> (WatcherHandle<StubAgent>, StubAgent) {
    let agent = StubAgent::new(mode, 1);
    let known = if matches!(stage, Stage::Start) { None } else { Some(1) };
    if matches!(stage, Stage::Watching) {
        agent.0.mode.set(AgentMode::Healthy);
    }
    let watcher = WatcherHandle::start(sink, agent.clone(), known, limits);
    if matches!(stage, Stage::Watching) {
        // Just behind an empty line, from where silence lasts longest until it is met.
        sleep(Duration::from_millis(2110)).await;
        agent.0.mode.set(mode);
    }
    sleep(faulty_for).await;
    (watcher, agent)
}

/// Moments over the cycle of any state, and well into its longest pause.
fn fault_durations() -> impl Iterator<Item = Duration> {
    (0..90).map(|i| Duration::from_millis(i * 97))
}

/// The agent is in one kind of trouble, for any length of time, and then has a drain to send.
#[test]
fn what_the_agent_holds_is_acted_on_in_time_from_every_state() {
    for back in [AgentMode::Healthy, AgentMode::Slow] {
        for stage in STAGES {
            for mode in FAULTY {
                let longest = fault_durations().map(|faulty_for| {
                    in_paused_time(|sink, limits| async move {
                        let (_watcher, agent) = start_in_stage(&sink, limits, stage, mode, faulty_for).await;
                        agent.0.mode.set(back);
                        agent.0.revision.set(2);
                        until_drained(&sink).await
                    })
                });
                let longest = longest.max().expect("durations");
                println!("{stage:?}, {mode:?}, then {back:?}: acted on after {} ms", longest.as_millis());
                assert!(longest < NOTIFIED, "{stage:?}, {mode:?}, then {back:?}: {longest:?}");
                // A SIGHUP that leaves the agent as it is changes nothing in this.
                assert!(
                    back == AgentMode::Slow || longest < NOTIFIED_AFTER_HANGUP,
                    "{stage:?}, {mode:?}: {longest:?}"
                );
            }
        }
    }
}

/// The agent is silent, and a call is out to it at the moment it comes back. That call is lost; the next one
/// has to bring the drain before new requests to the server are forbidden.
#[test]
fn a_call_that_was_out_when_a_silent_agent_came_back_costs_less_than_the_grace() {
    for stage in STAGES {
        for mode in [AgentMode::HangsAtConnect, AgentMode::HangsAtHead] {
            // The watch that falls silent with the agent has been given up by then.
            for faulty_for in fault_durations().map(|duration| duration + WATCH_IDLE_TIMEOUT) {
                let (elapsed, grace) = in_paused_time(|sink, limits| async move {
                    let (_watcher, agent) = start_in_stage(&sink, limits, stage, mode, faulty_for).await;
                    agent.0.mode.set(AgentMode::Healthy);
                    agent.0.revision.set(2);
                    (until_drained(&sink).await, limits.drain_grace)
                });
                assert!(elapsed < grace, "{stage:?}, {mode:?} for {faulty_for:?}: {elapsed:?}");
            }
        }
    }
}

/// Operators move the gateway to another agent by SIGHUP while the watcher is in any state. A drain that the
/// new agent holds must not wait for what the watcher was doing with the old one.
#[test]
fn a_new_agent_is_heard_in_time_after_sighup_in_every_state() {
    for back in [AgentMode::Healthy, AgentMode::Slow] {
        let mut longest = Duration::ZERO;
        for stage in STAGES {
            for mode in FAULTY {
                for faulty_for in fault_durations().step_by(6) {
                    let elapsed = in_paused_time(|sink, limits| async move {
                        let (mut watcher, _agent) =
                            start_in_stage(&sink, limits, stage, mode, faulty_for).await;
                        watcher.switch_agent(&sink, StubAgent::new(back, 2));
                        until_drained(&sink).await
                    });
                    assert!(
                        elapsed < NOTIFIED_AFTER_HANGUP,
                        "{stage:?}, {mode:?} for {faulty_for:?}: {elapsed:?}"
                    );
                    longest = longest.max(elapsed);
                }
            }
        }
        println!("SIGHUP to an agent that is {back:?}: acted on after {} ms", longest.as_millis());
    }
    // The new agent is faulty first, and so is the old one from then on.
    for mode in FAULTY {
        let longest = fault_durations().step_by(3).map(|faulty_for| {
            in_paused_time(|sink, limits| async move {
                let (mut watcher, _) =
                    start_in_stage(&sink, limits, Stage::Watching, AgentMode::HangsAtHead, STEP).await;
                let agent = StubAgent::new(mode, 2);
                watcher.switch_agent(&sink, agent.clone());
                sleep(faulty_for).await;
                agent.0.mode.set(AgentMode::Healthy);
                until_drained(&sink).await
            })
        });
        let longest = longest.max().expect("durations");
        println!("SIGHUP to an agent that is {mode:?} first: acted on after {} ms", longest.as_millis());
        assert!(longest < NOTIFIED_AFTER_HANGUP, "{mode:?}: {longest:?}");
    }
}

/// The agent answers calls for a watch and sends nothing on them, or refuses them, while its complete list
/// would have the drain. The watcher has to ask for that list, and not so often that lists become a load.
#[test]
fn what_no_watch_sends_comes_by_a_complete_list() {
    // Its calls for a watch go on failing; only its list has the change.
    for mode in [
        AgentMode::HangsInBody,
        AgentMode::Refuses,
        AgentMode::ClosesBehindHead,
        AgentMode::TricklesChunkHead,
    ] {
        let longest = fault_durations().step_by(3).map(|faulty_for| {
            in_paused_time(|sink, limits| async move {
                let agent = StubAgent::new(AgentMode::Healthy, 1);
                agent.0.watches.set(Some(mode));
                let _watcher = WatcherHandle::start(&sink, agent.clone(), Some(1), limits);
                sleep(faulty_for).await;
                agent.0.revision.set(2);
                until_drained(&sink).await
            })
        });
        let longest = longest.max().expect("durations");
        println!("watches that are {mode:?} for ever: acted on after {} ms", longest.as_millis());
        assert!(longest < NOTIFIED, "{mode:?}: {longest:?}");
        let lists = in_paused_time(|sink, limits| async move {
            let agent = StubAgent::new(AgentMode::Healthy, 1);
            agent.0.watches.set(Some(mode));
            let _watcher = WatcherHandle::start(&sink, agent.clone(), Some(1), limits);
            sleep(10 * NOTIFIED).await;
            agent.0.lists.get()
        });
        assert!(lists <= 20, "{mode:?}: {lists} complete lists in a minute");
    }
    // A healthy watch that was reset now and then is no cause for one, and neither is an agent that was down.
    in_paused_time(|sink, limits| async move {
        let agent = StubAgent::new(AgentMode::Healthy, 1);
        let _watcher = WatcherHandle::start(&sink, agent.clone(), Some(1), limits);
        for mode in [AgentMode::Closes, AgentMode::HangsAtHead, AgentMode::HangsAtConnect, AgentMode::Closes]
        {
            sleep(Duration::from_secs(3)).await;
            agent.0.mode.set(mode);
            sleep(Duration::from_secs(3)).await;
            agent.0.mode.set(AgentMode::Healthy);
        }
        agent.0.revision.set(2);
        until_drained(&sink).await;
        assert_eq!(agent.0.lists.get(), 0);
    });
}

/// The agent is down for a minute. The watcher must not call it in a spin, nor back off so far that its
/// return is missed.
#[test]
fn an_agent_that_stays_faulty_is_neither_called_without_a_backoff_nor_forgotten_with_a_long_grace() {
    for grace in [1000, 20_000].map(Duration::from_millis) {
        for mode in [AgentMode::Closes, AgentMode::Refuses, AgentMode::HangsAtHead] {
            for faulty_for in fault_durations().step_by(6).map(|duration| 10 * NOTIFIED + duration) {
                let (elapsed, calls) = in_paused_time(|sink, limits| async move {
                    let limits = WatcherLimits { drain_grace: grace, ..limits };
                    let (_watcher, agent) =
                        start_in_stage(&sink, limits, Stage::Known, mode, faulty_for).await;
                    let calls = agent.0.calls.get();
                    agent.0.mode.set(AgentMode::Healthy);
                    agent.0.revision.set(2);
                    (until_drained(&sink).await, calls)
                });
                assert!(elapsed < Duration::from_secs(2), "grace {grace:?}, {mode:?}: {elapsed:?}");
                let max_calls = faulty_for.as_millis()
                    / RequestTiming::for_drain_grace(grace).max_backoff.as_millis()
                    + 10;
                assert!(u128::from(calls) <= max_calls, "grace {grace:?}, {mode:?}: {calls} calls");
            }
        }
    }
}
