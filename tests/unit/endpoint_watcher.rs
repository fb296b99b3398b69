//! Tests, in paused time, of how long the watcher takes to apply a change that the agent holds.
//!
//! In all tests a server is about to leave, discovery marks it as draining, and the agent is faulty at that
//! moment. Once the agent holds the change and can be reached, the gateway must apply it in time, whatever
//! the watcher was waiting for when the fault began. Otherwise the server gets new requests while it drains.

use super::super::json_framer::max_object_bytes;
use super::super::timing::{RequestTiming, OBJECT_TIMEOUT, WATCH_IDLE_TIMEOUT};
use super::{Connect, EndpointSink, WatcherHandle, WatcherLimits};
use crate::config::Config;
use crate::ids::ServerId;
use crate::net::discovery::EndpointList;
use crate::net::event_loop::EventLoop;
use std::cell::{Cell, RefCell};
use std::fmt::{Display, Formatter};
use std::future::{pending, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{duplex, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf};
use tokio::time::{sleep, Instant};

/// A change counts as notified this long after discovery has the change and can be reached.
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);
/// A change that a new agent holds counts as notified this long after SIGHUP.
const MAX_DELAY_AFTER_SIGHUP: Duration = Duration::from_secs(4);
/// The interval at which a trickling agent sends bytes, a slow agent sends pieces, and a watch checks for
/// changes.
const STEP: Duration = Duration::from_millis(50);

/// How the agent responds to requests and treats the open watches.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AgentMode {
    Healthy,
    /// Sends each object steadily over almost all the time that an object may take.
    Slow,
    /// Refuses connections and ends the open watches, as if its process had ended.
    Refuses,
    HangsAtConnect,
    HangsAtHead,
    TricklesHead,
    HangsInBody,
    HangsInObject,
    TricklesObject,
    /// Sends white space instead of a list.
    TricklesWhitespace,
    TricklesChunkHead,
    RespondsUnavailable,
    Closes,
    ClosesAfterHead,
    SendsInvalidJson,
    SendsInvalidEntries,
}

const FAULTY_MODES: [AgentMode; 14] = [
    AgentMode::Refuses,
    AgentMode::HangsAtConnect,
    AgentMode::HangsAtHead,
    AgentMode::TricklesHead,
    AgentMode::HangsInBody,
    AgentMode::HangsInObject,
    AgentMode::TricklesObject,
    AgentMode::TricklesWhitespace,
    AgentMode::TricklesChunkHead,
    AgentMode::RespondsUnavailable,
    AgentMode::Closes,
    AgentMode::ClosesAfterHead,
    AgentMode::SendsInvalidJson,
    AgentMode::SendsInvalidEntries,
];

/// State of the stub agent. The mode of a request is chosen when its connection is opened; a later change of
/// mode affects only healthy and slow watches.
struct AgentState {
    mode: Cell<AgentMode>,
    /// The mode of watch requests, if it differs from `mode`.
    watch_mode: Cell<Option<AgentMode>>,
    revision: Cell<u64>,
    /// Number of complete lists sent.
    lists_sent: Cell<u32>,
    /// Number of connections opened.
    connections_opened: Cell<u32>,
    /// Number of connections that are open, and the largest number that were open at once.
    open_connections: Cell<u32>,
    max_open_connections: Cell<u32>,
    /// Time that the agent takes to accept a connection.
    connect_delay: Cell<Duration>,
    /// Time from the arrival of a request until the agent begins to answer it.
    response_delay: Cell<Duration>,
    /// Time over which an agent in the mode `Slow` sends an object.
    slow_object_time: Cell<Duration>,
    /// Time that the agent works on each request, also on one that has been closed. Requests wait in turn.
    service_time: Cell<Duration>,
    turn: tokio::sync::Mutex<()>,
}

/// Counts a connection to the agent from when the gateway begins to open it until the gateway closes it.
struct OpenConnection(StubAgent);

impl OpenConnection {
    fn new(agent: &StubAgent) -> Self {
        let open_connections = agent.0.open_connections.get() + 1;
        agent.0.open_connections.set(open_connections);
        agent.0.max_open_connections.set(agent.0.max_open_connections.get().max(open_connections));
        OpenConnection(agent.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0 .0.open_connections.set(self.0 .0.open_connections.get() - 1);
    }
}

#[derive(Clone)]
struct StubAgent(Rc<AgentState>);

impl StubAgent {
    fn new(mode: AgentMode, revision: u64) -> Self {
        StubAgent(Rc::new(AgentState {
            mode: Cell::new(mode),
            watch_mode: Cell::default(),
            revision: Cell::new(revision),
            lists_sent: Cell::default(),
            connections_opened: Cell::default(),
            open_connections: Cell::default(),
            max_open_connections: Cell::default(),
            connect_delay: Cell::default(),
            response_delay: Cell::default(),
            slow_object_time: Cell::new(OBJECT_TIMEOUT - STEP),
            service_time: Cell::default(),
            turn: tokio::sync::Mutex::default(),
        }))
    }

    /// An agent that begins each answer only after a delay.
    fn with_response_delay(delay: Duration, revision: u64) -> Self {
        let agent = StubAgent::new(AgentMode::Healthy, revision);
        agent.0.response_delay.set(delay);
        agent
    }

    /// An agent that answers one request after the other and works on each for `service_time`.
    fn with_requests_in_turn(service_time: Duration, revision: u64) -> Self {
        let agent = StubAgent::new(AgentMode::Healthy, revision);
        agent.0.service_time.set(service_time);
        agent
    }

    /// An agent that sends each object over a long time.
    fn with_slow_objects(object_time: Duration, revision: u64) -> Self {
        let agent = StubAgent::new(AgentMode::Slow, revision);
        agent.0.slow_object_time.set(object_time);
        agent
    }

    /// Time over which the agent sends an object.
    fn object_time(&self, mode: AgentMode) -> Duration {
        match mode {
            AgentMode::Slow => self.0.slow_object_time.get(),
            _ => Duration::ZERO,
        }
    }

    /// Returns the list of the agent's only server, which drains from revision 2 on.
    fn list_text(&self, complete: bool) -> String {
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
    type Stream = CountedStream;

    async fn connect(&self) -> std::io::Result<CountedStream> {
        let open_connection = OpenConnection::new(self);
        self.0.connections_opened.set(self.0.connections_opened.get() + 1);
        if self.0.mode.get() == AgentMode::HangsAtConnect {
            pending::<()>().await;
        }
        let mode = self.0.mode.get();
        if mode == AgentMode::Refuses {
            return Err(std::io::ErrorKind::ConnectionRefused.into());
        }
        sleep(self.0.connect_delay.get()).await;
        let (gateway_io, agent_io) = duplex(1 << 16);
        let agent = self.clone();
        tokio::task::spawn_local(async move {
            // The watcher may close the connection at any time, so errors are ignored.
            let _ = serve_request(agent_io, agent, mode).await;
        });
        Ok(CountedStream { io: gateway_io, _open_connection: open_connection })
    }
}

/// The gateway's end of a connection.
struct CountedStream {
    io: DuplexStream,
    _open_connection: OpenConnection,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

async fn send_chunk(io: &mut DuplexStream, data: &str) -> std::io::Result<()> {
    io.write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes()).await
}

/// Sends a piece again and again until the watcher closes the connection.
async fn trickle(io: &mut DuplexStream, piece: &str) -> std::io::Result<()> {
    loop {
        io.write_all(piece.as_bytes()).await?;
        sleep(STEP).await;
    }
}

/// Sends an object in pieces over `duration`, or at once if `duration` is zero.
async fn send_object(io: &mut DuplexStream, object: &str, duration: Duration) -> std::io::Result<()> {
    let steps = (duration.as_millis() / STEP.as_millis()) as usize;
    if steps == 0 {
        return send_chunk(io, object).await;
    }
    let pieces = object.as_bytes().chunks(object.len().div_ceil(steps));
    let interval = duration / pieces.len() as u32;
    for piece in pieces {
        sleep(interval).await;
        send_chunk(io, std::str::from_utf8(piece).expect("the list is not ASCII")).await?;
    }
    Ok(())
}

/// Waits for the turn of a request, and works on it.
async fn serve_in_turn(agent: &StubAgent) {
    if !agent.0.service_time.get().is_zero() {
        let _turn = agent.0.turn.lock().await;
        sleep(agent.0.service_time.get()).await;
    }
}

/// Serves a connection that was opened while the agent was in `mode`.
async fn serve_request(mut io: DuplexStream, agent: StubAgent, mode: AgentMode) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(io.read_u8().await?);
    }
    let head = String::from_utf8(head).expect("the request head is not UTF-8");
    let since =
        head.split_once("since=").map(|(_, rest)| rest.split(' ').next().expect("the revision is missing"));
    let since: Option<u64> = since.map(|since| since.parse().expect("the revision is not a number"));
    let mode = agent.0.watch_mode.get().filter(|_| since.is_some()).unwrap_or(mode);
    sleep(agent.0.response_delay.get()).await;
    serve_in_turn(&agent).await;
    match mode {
        AgentMode::HangsAtConnect | AgentMode::HangsAtHead => return pending().await,
        AgentMode::Refuses | AgentMode::Closes => return Ok(()),
        AgentMode::TricklesHead => {
            io.write_all(b"HTTP/1.1 200 OK\r\nX-Long: ").await?;
            return trickle(&mut io, "x").await;
        }
        AgentMode::RespondsUnavailable => {
            return io.write_all(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n").await
        }
        _ => {}
    }
    io.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    if mode != AgentMode::Healthy && mode != AgentMode::Slow {
        return send_faulty_body(&mut io, mode, since.is_none()).await;
    }
    let Some(sent) = since else {
        agent.0.lists_sent.set(agent.0.lists_sent.get() + 1);
        send_object(&mut io, &agent.list_text(true), agent.object_time(mode)).await?;
        return io.write_all(b"0\r\n\r\n").await;
    };
    serve_watch(io, &agent, mode, sent).await
}

/// Sends empty lines and changes on a watch until the agent's mode changes.
async fn serve_watch(
    mut io: DuplexStream,
    agent: &StubAgent,
    mode: AgentMode,
    mut sent: u64,
) -> std::io::Result<()> {
    let mut idle_since = Instant::now();
    send_chunk(&mut io, "\r\n").await?;
    loop {
        let new_mode = agent.0.mode.get();
        if new_mode != mode {
            return send_faulty_body(&mut io, new_mode, false).await;
        }
        if agent.0.revision.get() > sent {
            send_object(&mut io, &agent.list_text(false), agent.object_time(mode)).await?;
            sent = agent.0.revision.get();
        } else if idle_since.elapsed() >= Duration::from_secs(2) {
            send_chunk(&mut io, "\r\n").await?;
            idle_since = Instant::now();
        }
        sleep(STEP).await;
    }
}

/// Sends the faulty rest of a response, after its head or on a watch that was healthy until now.
async fn send_faulty_body(io: &mut DuplexStream, mode: AgentMode, complete: bool) -> std::io::Result<()> {
    match mode {
        AgentMode::Refuses
        | AgentMode::RespondsUnavailable
        | AgentMode::Closes
        | AgentMode::ClosesAfterHead => return Ok(()),
        AgentMode::HangsInObject => send_chunk(io, r#"{"revision":2,"mem"#).await?,
        AgentMode::TricklesObject => {
            send_chunk(io, r#"{"revision":2,"members":[{"id":""#).await?;
            return trickle(io, "1\r\na\r\n").await;
        }
        // White space is valid on a watch.
        AgentMode::TricklesWhitespace if complete => return trickle(io, "1\r\n\n\r\n").await,
        AgentMode::TricklesChunkHead => {
            io.write_all(b"7;").await?;
            return trickle(io, "x").await;
        }
        AgentMode::SendsInvalidJson => send_chunk(io, "{\"revision\": oops\n").await?,
        AgentMode::SendsInvalidEntries => {
            let object = format!(r#"{{"revision":1,"complete":{complete},"members":[{{"id":7}}]}}"#);
            send_chunk(io, &(object + "\n")).await?;
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

/// Passes lists to the event loop and records when the drain was applied.
#[derive(Clone)]
struct RecordingSink {
    event_loop: Rc<EventLoop>,
    drain_applied_at: Rc<RefCell<Option<Instant>>>,
}

impl EndpointSink for RecordingSink {
    fn apply_endpoints(&self, list: &EndpointList<'_>) -> bool {
        let decoded = self.event_loop.endpoints_changed(list);
        if list.revision >= 2 {
            // From now on the server must not get new requests.
            assert!(
                !self.event_loop.accepts_requests(ServerId(1)),
                "a draining server still accepts new requests"
            );
            self.drain_applied_at.borrow_mut().get_or_insert(Instant::now());
        }
        decoded
    }

    fn confirm_endpoints(&self) {
        EndpointSink::confirm_endpoints(&self.event_loop);
    }
}

/// Runs a test in paused time, with the event loop as the sink of the lists.
fn run_in_paused_time<F: Future<Output = T>, T>(run: impl FnOnce(RecordingSink, WatcherLimits) -> F) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let config = Config::parse(CONFIG).expect("the configuration is invalid");
    let event_loop = EventLoop::new(&config, 16);
    let limits =
        WatcherLimits { drain_grace: event_loop.drain_grace(), max_object_bytes: max_object_bytes(192.0) };
    let sink = RecordingSink { event_loop, drain_applied_at: Rc::default() };
    tokio::task::LocalSet::new().block_on(&runtime.expect("the runtime cannot be built"), run(sink, limits))
}

/// Waits until the drain is applied, and returns how long that takes from now.
async fn time_until_drained(sink: &RecordingSink) -> Duration {
    let start = Instant::now();
    while sink.drain_applied_at.borrow().is_none() && start.elapsed() < 2 * MAX_NOTIFICATION_DELAY {
        sleep(Duration::from_millis(5)).await;
    }
    start.elapsed()
}

/// What the watcher is doing when the agent becomes faulty.
#[derive(Clone, Copy, Debug)]
enum Stage {
    /// The watcher has no list and requests a complete one.
    RequestingList,
    /// The watcher has a list and requests a watch.
    RequestingWatch,
    /// The watcher has an open watch, which becomes faulty as well.
    Watching,
}

const STAGES: [Stage; 3] = [Stage::RequestingList, Stage::RequestingWatch, Stage::Watching];

/// Starts a watcher, brings it to a stage, and keeps the agent faulty for a time.
async fn start_in_stage(
    sink: &RecordingSink,
    limits: WatcherLimits,
    stage: Stage,
    mode: AgentMode,
    faulty_for: Duration,
) -> (WatcherHandle<StubAgent>, StubAgent) {
    let agent = StubAgent::new(mode, 1);
    let known_revision = if matches!(stage, Stage::RequestingList) { None } else { Some(1) };
    if matches!(stage, Stage::Watching) {
        agent.0.mode.set(AgentMode::Healthy);
    }
    let watcher = WatcherHandle::start(sink, agent.clone(), known_revision, limits);
    if matches!(stage, Stage::Watching) {
        // The agent has just sent an empty line, so the watcher takes longest to notice that nothing follows.
        sleep(Duration::from_millis(2110)).await;
        agent.0.mode.set(mode);
    }
    sleep(faulty_for).await;
    (watcher, agent)
}

/// Fault durations that end at many points of the watcher's retry cycle, and well into its longest wait.
fn fault_durations() -> impl Iterator<Item = Duration> {
    (0..90).map(|i| Duration::from_millis(i * 97))
}

/// The agent has one kind of fault for any length of time, recovers and then holds a drain. The watcher must
/// not keep waiting for the faulty response beyond the notification delay.
#[test]
fn a_drain_is_applied_in_time_after_the_agent_recovers_from_any_fault() {
    for recovered_mode in [AgentMode::Healthy, AgentMode::Slow] {
        for stage in STAGES {
            for mode in FAULTY_MODES {
                let longest = fault_durations().map(|faulty_for| {
                    run_in_paused_time(|sink, limits| async move {
                        let (_watcher, agent) = start_in_stage(&sink, limits, stage, mode, faulty_for).await;
                        agent.0.mode.set(recovered_mode);
                        agent.0.revision.set(2);
                        time_until_drained(&sink).await
                    })
                });
                let longest = longest.max().expect("no fault duration was tested");
                println!(
                    "{stage:?}, {mode:?}, then {recovered_mode:?}: drain applied within {} ms",
                    longest.as_millis()
                );
                assert!(
                    longest < MAX_NOTIFICATION_DELAY,
                    "{stage:?}, {mode:?}, then {recovered_mode:?}: the drain was applied only after \
                     {longest:?}"
                );
                // A SIGHUP that keeps the agent does not restart the watcher, so the limit after SIGHUP also
                // holds here.
                assert!(
                    recovered_mode == AgentMode::Slow || longest < MAX_DELAY_AFTER_SIGHUP,
                    "{stage:?}, {mode:?}: the drain was applied only after {longest:?}"
                );
            }
        }
    }
}

/// The agent does not respond, and a request is pending at the moment it recovers. That request gets no
/// response; the next one must return the drain before the grace ends and new requests to the server are
/// forbidden.
#[test]
fn a_request_pending_when_the_agent_recovers_delays_a_drain_by_less_than_the_grace() {
    for stage in STAGES {
        for mode in [AgentMode::HangsAtConnect, AgentMode::HangsAtHead] {
            // By then the watch on which nothing arrives any more has been closed.
            for faulty_for in fault_durations().map(|duration| duration + WATCH_IDLE_TIMEOUT) {
                let (elapsed, grace) = run_in_paused_time(|sink, limits| async move {
                    let (_watcher, agent) = start_in_stage(&sink, limits, stage, mode, faulty_for).await;
                    agent.0.mode.set(AgentMode::Healthy);
                    agent.0.revision.set(2);
                    (time_until_drained(&sink).await, limits.drain_grace)
                });
                assert!(
                    elapsed < grace,
                    "{stage:?}, {mode:?} for {faulty_for:?}: the drain was applied only after {elapsed:?}"
                );
            }
        }
    }
}

/// An operator switches the gateway to another agent with SIGHUP, while the watcher is in any state. A drain
/// that the new agent holds must not be delayed by a pending request to the old agent.
#[test]
fn a_drain_at_a_new_agent_is_applied_in_time_after_sighup() {
    for recovered_mode in [AgentMode::Healthy, AgentMode::Slow] {
        let mut longest = Duration::ZERO;
        for stage in STAGES {
            for mode in FAULTY_MODES {
                for faulty_for in fault_durations().step_by(6) {
                    let elapsed = run_in_paused_time(|sink, limits| async move {
                        let (mut watcher, _agent) =
                            start_in_stage(&sink, limits, stage, mode, faulty_for).await;
                        watcher.switch_agent(&sink, StubAgent::new(recovered_mode, 2));
                        time_until_drained(&sink).await
                    });
                    assert!(
                        elapsed < MAX_DELAY_AFTER_SIGHUP,
                        "{stage:?}, {mode:?} for {faulty_for:?}: the drain was applied only after {elapsed:?}"
                    );
                    longest = longest.max(elapsed);
                }
            }
        }
        println!(
            "SIGHUP to an agent in mode {recovered_mode:?}: drain applied within {} ms",
            longest.as_millis()
        );
    }
    // The new agent is faulty at first, and the old agent stays faulty.
    for mode in FAULTY_MODES {
        let longest = fault_durations().step_by(3).map(|faulty_for| {
            run_in_paused_time(|sink, limits| async move {
                let (mut watcher, _) =
                    start_in_stage(&sink, limits, Stage::Watching, AgentMode::HangsAtHead, STEP).await;
                let agent = StubAgent::new(mode, 2);
                watcher.switch_agent(&sink, agent.clone());
                sleep(faulty_for).await;
                agent.0.mode.set(AgentMode::Healthy);
                time_until_drained(&sink).await
            })
        });
        let longest = longest.max().expect("no fault duration was tested");
        println!(
            "SIGHUP to an agent first in mode {mode:?}: drain applied within {} ms",
            longest.as_millis()
        );
        assert!(longest < MAX_DELAY_AFTER_SIGHUP, "{mode:?}: the drain was applied only after {longest:?}");
    }
}

/// The agent responds to watch requests but sends nothing on the watches, or rejects the requests, while its
/// complete list holds the drain. The watcher must request the complete list, but not so often that the lists
/// become a load.
#[test]
fn a_drain_that_no_watch_sends_is_read_from_a_complete_list() {
    // All watch requests keep failing, and only the complete list holds the change.
    for mode in [
        AgentMode::HangsInBody,
        AgentMode::RespondsUnavailable,
        AgentMode::ClosesAfterHead,
        AgentMode::TricklesChunkHead,
    ] {
        let longest = fault_durations().step_by(3).map(|faulty_for| {
            run_in_paused_time(|sink, limits| async move {
                let agent = StubAgent::new(AgentMode::Healthy, 1);
                agent.0.watch_mode.set(Some(mode));
                let _watcher = WatcherHandle::start(&sink, agent.clone(), Some(1), limits);
                sleep(faulty_for).await;
                agent.0.revision.set(2);
                time_until_drained(&sink).await
            })
        });
        let longest = longest.max().expect("no fault duration was tested");
        println!("all watches in mode {mode:?}: drain applied within {} ms", longest.as_millis());
        assert!(longest < MAX_NOTIFICATION_DELAY, "{mode:?}: the drain was applied only after {longest:?}");
        let lists_sent = run_in_paused_time(|sink, limits| async move {
            let agent = StubAgent::new(AgentMode::Healthy, 1);
            agent.0.watch_mode.set(Some(mode));
            let _watcher = WatcherHandle::start(&sink, agent.clone(), Some(1), limits);
            sleep(10 * MAX_NOTIFICATION_DELAY).await;
            agent.0.lists_sent.get()
        });
        assert!(lists_sent <= 20, "{mode:?}: {lists_sent} complete lists were requested in a minute");
    }
    // Neither an occasional reset of a healthy watch nor an agent that was down causes a complete list.
    run_in_paused_time(|sink, limits| async move {
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
        time_until_drained(&sink).await;
        assert_eq!(agent.0.lists_sent.get(), 0, "a complete list was requested without need");
    });
}

/// The agent is down for a minute. The watcher must not send requests in a busy loop, and must not back off
/// so far that it notices the recovery late.
#[test]
fn requests_to_an_agent_that_stays_faulty_back_off_up_to_a_limit_for_any_grace() {
    for grace in [1000, 20_000].map(Duration::from_millis) {
        for mode in [AgentMode::Closes, AgentMode::RespondsUnavailable, AgentMode::HangsAtHead] {
            for faulty_for in
                fault_durations().step_by(6).map(|duration| 10 * MAX_NOTIFICATION_DELAY + duration)
            {
                let (elapsed, connections) = run_in_paused_time(|sink, limits| async move {
                    let limits = WatcherLimits { drain_grace: grace, ..limits };
                    let (_watcher, agent) =
                        start_in_stage(&sink, limits, Stage::RequestingWatch, mode, faulty_for).await;
                    let connections = agent.0.connections_opened.get();
                    agent.0.mode.set(AgentMode::Healthy);
                    agent.0.revision.set(2);
                    (time_until_drained(&sink).await, connections)
                });
                assert!(
                    elapsed < Duration::from_secs(2),
                    "grace {grace:?}, {mode:?}: the drain was applied only after {elapsed:?}"
                );
                let max_connections = faulty_for.as_millis()
                    / RequestTiming::for_drain_grace(grace).max_backoff.as_millis()
                    + 10;
                assert!(
                    u128::from(connections) <= max_connections,
                    "grace {grace:?}, {mode:?}: {connections} connections were opened without enough backoff"
                );
            }
        }
    }
}

#[path = "slow_discovery_agents.rs"]
mod slow_discovery_agents;
