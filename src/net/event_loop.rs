//! Passes the events of the sockets and timers to the policy in order, and executes the actions that the
//! policy returns.
//!
//! A process has one [`EventLoop`], on one thread. Events are passed to [`EventLoop::dispatch`]. Executing an
//! action may produce another event at once, so events are queued: the policy gets an event only after the
//! actions of the previous event have been executed.

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

/// Time, ms, by which the policy's deadline for a request is earlier than the client's: the client counts its
/// deadline from the moment it sent the request, and the response needs time to reach it.
const RESPONSE_MARGIN: Millis = 20.0;
/// Time, ms, before a request's deadline at which the event loop answers the request as timed out if it has
/// no answer yet. It is shorter than [`RESPONSE_MARGIN`], so that the policy can answer the request first.
const DEADLINE_MARGIN: Millis = 8.0;
/// Time, ms, between two checks of the connections to servers and to the counter.
const CONNECTION_CHECK_INTERVAL: Millis = 500.0;

/// A client request that has been read completely.
pub struct IncomingRequest {
    /// The request as the policy sees it; the event loop assigns its id.
    pub request: Request,
    /// The request that is sent to a server.
    pub forwarded_request: ForwardedRequest,
    /// The client's connection, which closes when the task that serves it drops its reference.
    pub client: Weak<TcpStream>,
}

/// The policy and the actions that it has returned.
struct Policy {
    gateway: Gateway,
    /// The actions that the gateway returns for the event that it is handling.
    new_actions: Vec<Action>,
    /// Actions that have not been executed yet.
    pending_actions: VecDeque<Action>,
}

impl Policy {
    fn handle(&mut self, now: Millis, event: Event) {
        self.gateway.handle(now, event, &mut self.new_actions);
        self.pending_actions.extend(self.new_actions.drain(..));
    }
}

/// Owns the policy and everything that the policy's actions operate on: requests, endpoints, timers and
/// connections.
pub struct EventLoop {
    clock: Clock,
    names: Names,
    settings: Settings,
    drain_grace: Duration,
    counter_call_timeout: Millis,
    policy: RefCell<Policy>,
    requests: RefCell<RequestTable>,
    endpoints: RefCell<EndpointRegistry>,
    /// Events that the policy has not handled yet.
    events: RefCell<VecDeque<Event>>,
    /// Whether [`run_until_idle`](Self::run_until_idle) is on the call stack. That call also handles the
    /// events that are enqueued meanwhile.
    running: Cell<bool>,
    timers: TimerQueue,
    ready: Cell<bool>,
    /// The connections to servers.
    pub pool: ConnectionPool,
    counter: Rc<CounterClient>,
}

impl EventLoop {
    /// Creates an event loop that opens at most `max_upstream_connections` connections to servers. It starts
    /// with the server list in the configuration, if there is one.
    pub fn new(config: &Config, max_upstream_connections: usize) -> Rc<Self> {
        let counter_call_timeout = counter_call_timeout(&config.settings);
        let gateway = Gateway::new(config.settings.clone(), config.seed);
        let event_loop = Rc::new(EventLoop {
            clock: Clock::start(),
            names: config.names.clone(),
            settings: config.settings.clone(),
            drain_grace: Duration::from_secs_f64(config.drain_grace / 1000.0),
            counter_call_timeout,
            policy: RefCell::new(Policy {
                gateway,
                new_actions: Vec::new(),
                pending_actions: VecDeque::new(),
            }),
            requests: RefCell::default(),
            endpoints: RefCell::new(EndpointRegistry::new(config.names.zones.clone())),
            events: RefCell::default(),
            running: Cell::new(false),
            timers: TimerQueue::default(),
            ready: Cell::new(false),
            pool: ConnectionPool::new(PoolSettings {
                server_idle_timeout: config.server_idle_timeout,
                connect_timeout: config.connect_timeout,
                max_connections: max_upstream_connections,
            }),
            counter: Rc::new(CounterClient::new(config.counter, counter_call_timeout)),
        });
        if let Some(cached) = config.cached_endpoints() {
            event_loop.update_endpoints(&cached, EndpointUpdate::Cached);
        }
        event_loop.timers.arm(event_loop.now() + CONNECTION_CHECK_INTERVAL, TimerKind::ConnectionCheck);
        event_loop
    }

    /// Starts the tasks that run the timers and the connections to the counter for the life of the process.
    pub fn start(self: &Rc<Self>) {
        self.counter.start(self);
        let event_loop = self.clone();
        keep_running("timers", move || event_loop.clone().run_timers());
    }

    /// The current Unix time, ms; it never runs backwards.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The client of the counter service.
    pub fn counter(&self) -> &CounterClient {
        &self.counter
    }

    /// The names of classes, plans and zones.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// The settings of the policy.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Time after discovery reports that a server is draining within which the gateway has to stop sending
    /// new requests to it.
    pub fn drain_grace(&self) -> Duration {
        self.drain_grace
    }

    /// Whether the gateway can serve requests: [`set_ready`](Self::set_ready) was called and a server is
    /// registered.
    pub fn is_ready(&self) -> bool {
        self.ready.get() && !self.endpoints.borrow().is_empty()
    }

    /// Lets the gateway report itself ready with its current server list.
    pub fn set_ready(&self) {
        self.ready.set(true);
    }

    /// Number of requests that have no final answer yet.
    pub fn requests_in_flight(&self) -> usize {
        self.requests.borrow().incomplete().count()
    }

    // ---- Events and actions -------------------------------------------------------------------

    /// Passes an event to the policy and executes the actions that the policy returns. If another event is
    /// being handled, this only enqueues the event.
    pub fn dispatch(self: &Rc<Self>, event: Event) {
        self.enqueue(event);
        self.run_until_idle();
    }

    fn enqueue(&self, event: Event) {
        self.events.borrow_mut().push_back(event);
    }

    /// Handles events until the queues are empty.
    ///
    /// A panic while an event is handled must not end the task that dispatched the event (a client connection
    /// or the timers) and must not lose queued events. The panic is therefore caught and logged here: events
    /// and actions not yet begun stay queued, and if the event was a new request, it is answered as failed.
    fn run_until_idle(self: &Rc<Self>) {
        if self.running.replace(true) {
            return;
        }
        loop {
            let event = self.events.borrow_mut().pop_front();
            if event.is_none() && self.policy.borrow().pending_actions.is_empty() {
                break;
            }
            let new_request = match &event {
                Some(Event::Request(request)) => Some(request.id),
                _ => None,
            };
            if catch_unwind(AssertUnwindSafe(|| self.process_event(event))).is_err() {
                log::error!("event loop: handling an event panicked; continuing with the next event");
                if let Some(id) = new_request {
                    self.answer(id, Answer::Failed);
                }
            }
        }
        self.running.set(false);
    }

    /// Passes an event to the policy, if there is one, and executes all pending actions.
    fn process_event(self: &Rc<Self>, event: Option<Event>) {
        if let Some(event) = event {
            self.policy.borrow_mut().handle(self.now(), event);
        }
        loop {
            let action = self.policy.borrow_mut().pending_actions.pop_front();
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
            // Discovery pushes its changes to this gateway, and the policy requests no health checks.
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

    /// Registers a request and passes it to the policy. Exactly one answer is sent on the returned channel,
    /// unless the client disconnects first.
    pub fn submit(self: &Rc<Self>, incoming: IncomingRequest) -> (RequestId, oneshot::Receiver<Answer>) {
        let IncomingRequest { mut request, forwarded_request, client } = incoming;
        let deadline = self.now() + request.time_left;
        let (pending, answer) = PendingRequest::new(forwarded_request, client, deadline);
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

    /// Handles the disconnect of a client, whose request no longer needs an answer.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        let responder = self.requests.borrow_mut().complete(id);
        if let Some(responder) = responder {
            // The responder is dropped before the policy handles the disconnect, so that the client's task is
            // woken first and closes its connection.
            drop(responder);
            self.cancel_request(id);
        }
    }

    /// Reports to the policy that the client of a request has disconnected, so that the policy does no
    /// further work for the request.
    fn cancel_request(self: &Rc<Self>, id: RequestId) {
        self.dispatch(Event::ClientDisconnected(id));
        self.requests.borrow_mut().remove_if_finished(id);
    }

    /// Answers a request as timed out if it has no answer shortly before its deadline. This guards against a
    /// policy that leaves a request unanswered: the client would wait until its deadline and get no response.
    fn enforce_deadline(self: &Rc<Self>, id: RequestId) {
        let responder = self.requests.borrow_mut().complete(id);
        let Some(responder) = responder else { return };
        // Sending fails if the client has just disconnected; it then needs no answer.
        let _ = responder.send(Answer::TimedOut);
        self.cancel_request(id);
    }

    /// Answers all requests that have no answer yet as timed out, at the end of a shutdown.
    pub fn time_out_all_requests(self: &Rc<Self>) {
        let incomplete: Vec<RequestId> = self.requests.borrow().incomplete().collect();
        for id in incomplete {
            self.enforce_deadline(id);
        }
    }

    // ---- Servers ------------------------------------------------------------------------------

    /// Applies a server list from discovery. Returns false if an invalid entry was ignored, since the change
    /// that it describes is then unknown.
    pub fn endpoints_changed(self: &Rc<Self>, list: &EndpointList<'_>) -> bool {
        let update = if list.complete { EndpointUpdate::Complete } else { EndpointUpdate::Incremental };
        let all_decoded = self.update_endpoints(list, update);
        self.set_ready();
        all_decoded
    }

    /// Whether new requests may be sent to a server.
    pub fn accepts_requests(&self, server: ServerId) -> bool {
        self.endpoints.borrow().is_ready(server)
    }

    fn update_endpoints(self: &Rc<Self>, list: &EndpointList<'_>, update: EndpointUpdate) -> bool {
        let decoded = self.endpoints.borrow_mut().apply(list, update);
        self.pool.retain_servers(|server| self.accepts_requests(server));
        self.dispatch(Event::EndpointsChanged { update, entries: decoded.endpoints });
        decoded.all_decoded
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
        if let Some(CompletedCall { key, elapsed }) = self.counter.expire_call(call, self.now()) {
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
