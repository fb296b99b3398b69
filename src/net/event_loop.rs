//! Passes what happens on the sockets to the policy, in order, and executes the actions that it asks for.
//!
//! A process has one [`EventLoop`], on one thread. Every change enters by [`EventLoop::dispatch`]. Executing
//! an action may bring up the next event at once; events are therefore queued, and the policy sees one only
//! after the actions of the event before it have been executed.

use super::clock::Clock;
use super::counter::{CompletedCall, CounterClient, Increment};
use super::discovery::{EndpointList, EndpointSink};
use super::endpoint_registry::EndpointRegistry;
use super::event_sink::EventSink;
use super::request_table::{AttemptId, PendingRequest, RequestTable};
use super::supervisor::keep_running;
use super::timer_queue::{TimerKind, TimerQueue};
use super::upstream::{AttemptOwner, ConnectionPool, ForwardedRequest, PoolSettings};
use crate::action::Action;
use crate::config::{Config, Names};
use crate::event::{EndpointUpdate, Event, Outcome, Request};
use crate::ids::{CounterKey, Millis, RequestId, ServerId};
use crate::policy::{counter_call_timeout, Gateway};
use crate::settings::Settings;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

mod attempts;

pub use super::request_table::Answer;

/// The policy sees a deadline this much earlier, ms: a client counts its deadline from when it sent the
/// request, and a response needs time to reach it.
const RESPONSE_MARGIN: Millis = 20.0;
/// A request that has no answer this long before its deadline, ms, is answered as timed out by the event
/// loop. Less than [`RESPONSE_MARGIN`], so that the policy has its turn first.
const DEADLINE_MARGIN: Millis = 8.0;
/// Between two checks of connections to servers and the counter, ms.
const CONNECTION_CHECK_INTERVAL: Millis = 500.0;

/// A request that was read completely.
pub struct IncomingRequest {
    /// The request as the policy sees it; the event loop assigns its id.
    pub request: Request,
    /// What is sent to a server.
    pub forward: ForwardedRequest,
    /// The client's connection, which closes when the task that serves it drops it.
    pub client: Weak<TcpStream>,
}

/// The policy and the actions it has asked for.
struct Policy {
    gateway: Gateway,
    /// Filled by the gateway while it handles an event.
    decided: Vec<Action>,
    /// Actions to execute.
    pending: VecDeque<Action>,
}

impl Policy {
    fn handle(&mut self, now: Millis, event: Event) {
        self.gateway.handle(now, event, &mut self.decided);
        self.pending.extend(self.decided.drain(..));
    }
}

/// The one owner of the policy, and of all that its actions are executed on.
pub struct EventLoop {
    clock: Clock,
    names: Names,
    settings: Settings,
    drain_grace: Duration,
    counter_call_timeout: Millis,
    policy: RefCell<Policy>,
    requests: RefCell<RequestTable>,
    endpoints: RefCell<EndpointRegistry>,
    /// Events that the policy has not seen.
    events: RefCell<VecDeque<Event>>,
    /// [`run_until_idle`](Self::run_until_idle) is on the stack; it takes up what is enqueued meanwhile.
    running: Cell<bool>,
    timers: TimerQueue,
    ready: Cell<bool>,
    /// Connections to servers.
    pub pool: ConnectionPool,
    counter: Rc<CounterClient>,
}

impl EventLoop {
    /// An event loop that knows the server list in the configuration, if there is one, and opens at most
    /// `max_upstream_connections` to servers.
    pub fn new(config: &Config, max_upstream_connections: usize) -> Rc<Self> {
        let counter_call_timeout = counter_call_timeout(&config.settings);
        let gateway = Gateway::new(config.settings.clone(), config.seed);
        let event_loop = Rc::new(EventLoop {
            clock: Clock::start(),
            names: config.names.clone(),
            settings: config.settings.clone(),
            drain_grace: Duration::from_secs_f64(config.drain_grace / 1000.0),
            counter_call_timeout,
            policy: RefCell::new(Policy { gateway, decided: Vec::new(), pending: VecDeque::new() }),
            requests: RefCell::default(),
            endpoints: RefCell::new(EndpointRegistry::new(config.names.zones.clone())),
            events: RefCell::default(),
            running: Cell::new(false),
            timers: TimerQueue::default(),
            ready: Cell::new(false),
            pool: ConnectionPool::new(PoolSettings {
                server_idle_timeout: config.conn_idle,
                connect_timeout: config.connect_timeout,
                max_connections: max_upstream_connections,
            }),
            counter: Rc::new(CounterClient::new(config.counter, counter_call_timeout)),
        });
        if let Some(known) = config.known() {
            event_loop.update_endpoints(&known, EndpointUpdate::Cached);
        }
        event_loop.timers.arm(event_loop.now() + CONNECTION_CHECK_INTERVAL, TimerKind::ConnectionCheck);
        event_loop
    }

    /// Starts the tasks that run the timers and the counter's connections for the life of the process.
    pub fn start(self: &Rc<Self>) {
        self.counter.start(self);
        let event_loop = self.clone();
        keep_running("timers", move || event_loop.clone().run_timers());
    }

    /// The present Unix time, ms; never runs backwards.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The counter service.
    pub fn counter(&self) -> &CounterClient {
        &self.counter
    }

    /// Names of classes, plans and zones.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// The settings of the policy.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// How long after the notice of a drain a server may still be sent new requests.
    pub fn drain_grace(&self) -> Duration {
        self.drain_grace
    }

    /// Whether the gateway can serve: [`set_ready`](Self::set_ready) was called and a server is known.
    pub fn is_ready(&self) -> bool {
        self.ready.get() && !self.endpoints.borrow().is_empty()
    }

    /// From now on the gateway serves with the server list that it has.
    pub fn set_ready(&self) {
        self.ready.set(true);
    }

    /// Requests that have no final answer yet.
    pub fn requests_in_flight(&self) -> usize {
        self.requests.borrow().incomplete().count()
    }

    // ---- Events in, actions out ---------------------------------------------------------------

    /// Passes an event to the policy and executes the actions that follow. Called while another event is
    /// handled, it only enqueues the event.
    pub fn dispatch(self: &Rc<Self>, event: Event) {
        self.enqueue(event);
        self.run_until_idle();
    }

    fn enqueue(&self, event: Event) {
        self.events.borrow_mut().push_back(event);
    }

    /// Handles events until none is left.
    ///
    /// A panic while one event is handled must not end the task that dispatched it, a client's connection or
    /// the timers, nor lose what is queued: it is caught and logged here, the queues hold all that was not
    /// begun, and a request whose arrival was being handled is answered as failed.
    fn run_until_idle(self: &Rc<Self>) {
        if self.running.replace(true) {
            return;
        }
        loop {
            let event = self.events.borrow_mut().pop_front();
            if event.is_none() && self.policy.borrow().pending.is_empty() {
                break;
            }
            let arrived = match &event {
                Some(Event::Request(request)) => Some(request.id),
                _ => None,
            };
            if catch_unwind(AssertUnwindSafe(|| self.step(event))).is_err() {
                log::error!("panic while an event was handled");
                if let Some(id) = arrived {
                    self.answer(id, Answer::Failed);
                }
            }
        }
        self.running.set(false);
    }

    /// Passes one event to the policy and executes all pending actions.
    fn step(self: &Rc<Self>, event: Option<Event>) {
        if let Some(event) = event {
            self.policy.borrow_mut().handle(self.now(), event);
        }
        loop {
            let action = self.policy.borrow_mut().pending.pop_front();
            let Some(action) = action else { break };
            self.execute(action);
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Forward { id, server, timeout } => {
                self.start_attempt(id, server, Some(timeout).filter(|timeout| *timeout > 0.0));
            }
            Action::Reject { id, retry_after } => self.answer(id, Answer::Rejected { retry_after }),
            Action::Fail(id) => self.answer(id, Answer::Failed),
            Action::Cancel { id, attempt } => {
                self.end_attempt(AttemptId { request: id, number: attempt }, Outcome::Cancelled);
            }
            Action::IncrementCounter { key, add, ttl } => self.increment_counter(key, add, ttl),
            Action::Timer { after, token } => self.timers.arm(self.now() + after, TimerKind::Policy(token)),
            // Discovery pushes its changes to this gateway, and the policy asks for no health check.
            Action::WatchEndpoints | Action::HealthCheck(_) => {}
        }
    }

    fn increment_counter(&self, key: CounterKey, add: f64, ttl: Millis) {
        let now = self.now();
        match self.counter.increment(Increment { key, amount: add, ttl }, now) {
            Ok(call) => self.timers.arm(now + self.counter_call_timeout, TimerKind::CounterCall(call)),
            Err(outcome) => self.enqueue(Event::CounterReplied { key, outcome, elapsed: 0.0, total: 0.0 }),
        }
    }

    // ---- Requests -----------------------------------------------------------------------------

    /// Takes on a request. Exactly one answer arrives on the channel, unless the client leaves before.
    pub fn submit(self: &Rc<Self>, incoming: IncomingRequest) -> (RequestId, oneshot::Receiver<Answer>) {
        let IncomingRequest { mut request, forward, client } = incoming;
        let deadline = self.now() + request.time_left;
        let (pending, answer) = PendingRequest::new(forward, client, deadline);
        let id = self.requests.borrow_mut().insert(pending);
        self.timers.arm(deadline - DEADLINE_MARGIN, TimerKind::Deadline(id));
        request.id = id;
        request.time_left = (request.time_left - RESPONSE_MARGIN).max(1.0);
        self.dispatch(Event::Request(request));
        (id, answer)
    }

    fn answer(&self, id: RequestId, answer: Answer) {
        self.requests.borrow_mut().answer(id, answer);
    }

    /// The client has disconnected; its request needs no answer any more.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        let responder = self.requests.borrow_mut().complete(id);
        if let Some(responder) = responder {
            // Before the policy hears of it: the client's task is woken first, and closes its connection.
            drop(responder);
            self.withdraw(id);
        }
    }

    /// Tells the policy that a request needs no decision any more.
    fn withdraw(self: &Rc<Self>, id: RequestId) {
        self.dispatch(Event::ClientDisconnected(id));
        self.requests.borrow_mut().remove_if_finished(id);
    }

    /// Guards against a policy that leaves a request without an answer: the client would wait until its own
    /// deadline and see a connection without a response. It is answered while it still waits.
    fn enforce_deadline(self: &Rc<Self>, id: RequestId) {
        let responder = self.requests.borrow_mut().complete(id);
        let Some(responder) = responder else { return };
        // A client that has just left needs no answer.
        let _ = responder.send(Answer::TimedOut);
        self.withdraw(id);
    }

    /// Answers all requests that have no answer yet as timed out, at the end of a shutdown.
    pub fn time_out_all(self: &Rc<Self>) {
        let incomplete: Vec<RequestId> = self.requests.borrow().incomplete().collect();
        for id in incomplete {
            self.enforce_deadline(id);
        }
    }

    // ---- Servers ------------------------------------------------------------------------------

    /// Takes in a server list from discovery. False where an entry was ignored: the change it stands for is
    /// unknown.
    pub fn endpoints_changed(self: &Rc<Self>, list: &EndpointList<'_>) -> bool {
        let update = if list.complete { EndpointUpdate::Complete } else { EndpointUpdate::Incremental };
        let complete = self.update_endpoints(list, update);
        self.set_ready();
        complete
    }

    /// Whether a server may be sent new requests.
    pub fn accepts_requests(&self, server: ServerId) -> bool {
        self.endpoints.borrow().is_ready(server)
    }

    fn update_endpoints(self: &Rc<Self>, list: &EndpointList<'_>, update: EndpointUpdate) -> bool {
        let decoded = self.endpoints.borrow_mut().apply(list, update);
        self.pool.retain_servers(|server| self.accepts_requests(server));
        self.dispatch(Event::EndpointsChanged { update, entries: decoded.endpoints });
        decoded.complete
    }

    // ---- Timers -------------------------------------------------------------------------------

    async fn run_timers(self: Rc<Self>) {
        loop {
            let kind = self.timers.next(&self.clock).await;
            self.timer_fired(kind);
        }
    }

    fn timer_fired(self: &Rc<Self>, kind: TimerKind) {
        match kind {
            TimerKind::Policy(token) => self.dispatch(Event::Timer(token)),
            TimerKind::Attempt(attempt) => {
                if self.requests.borrow().is_in_flight(attempt) {
                    self.finish_attempt(attempt, Outcome::TimedOut);
                }
            }
            TimerKind::Deadline(id) => self.enforce_deadline(id),
            TimerKind::CounterCall(call) => self.counter_call_timed_out(call),
            TimerKind::ConnectionCheck => {
                self.pool.drop_expired(self.now());
                self.counter.check_connections(self.now());
                self.timers.arm(self.now() + CONNECTION_CHECK_INTERVAL, TimerKind::ConnectionCheck);
            }
        }
    }

    fn counter_call_timed_out(self: &Rc<Self>, call: u64) {
        if let Some(CompletedCall { key, elapsed }) = self.counter.complete(call, self.now()) {
            self.dispatch(Event::CounterReplied { key, outcome: Outcome::TimedOut, elapsed, total: 0.0 });
        }
    }
}

impl EventSink for Rc<EventLoop> {
    fn now(&self) -> Millis {
        EventLoop::now(self)
    }

    fn dispatch(&self, event: Event) {
        EventLoop::dispatch(self, event);
    }
}

impl AttemptOwner for Rc<EventLoop> {
    fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    fn check_may_begin(&self, id: RequestId, server: ServerId) -> Result<(), Outcome> {
        EventLoop::check_may_begin(self, id, server)
    }

    fn accepts_requests(&self, server: ServerId) -> bool {
        EventLoop::accepts_requests(self, server)
    }

    fn attempt_ended(&self, id: RequestId, attempt: u8, outcome: Outcome, body: Option<Bytes>) {
        EventLoop::attempt_ended(self, id, attempt, outcome, body);
    }
}

impl EndpointSink for Rc<EventLoop> {
    fn apply_endpoints(&self, list: &EndpointList<'_>) -> bool {
        self.endpoints_changed(list)
    }
}
