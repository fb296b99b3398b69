//! Passes the events of the sockets and timers to the policy in order, and executes the actions that the
//! policy returns.
//!
//! A process has one [`EventLoop`], on one thread. Other modules pass events to [`EventLoop::dispatch`].
//! Executing an action may produce another event immediately, so events are queued: the policy handles an
//! event only after the actions of the previous event have been executed.

use super::cached_list::CachedList;
use super::clock::Clock;
use super::connection_limits::max_tenants;
use super::counter::{CounterClient, Increment};
use super::discovery::{EndpointList, EndpointSink};
use super::endpoint_registry::EndpointRegistry;
use super::event_sink::EventSink;
use super::request_table::{AttemptId, RequestTable};
use super::supervisor::keep_running;
use super::timer_queue::{TimerKind, TimerQueue};
use super::upstream::{AttemptOwner, ConnectionPool, PoolSettings, Target};
use crate::action::Action;
use crate::config::{Config, Names};
use crate::event::{EndpointUpdate, Event, Outcome};
use crate::ids::{CounterKey, Millis, RequestId, ServerId};
use crate::policy::{counter_call_timeout, Gateway};
use crate::settings::Settings;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::Duration;

mod attempts;
mod endpoints;
mod requests;
mod timers;

pub use super::request_table::Answer;
pub use requests::IncomingRequest;

use timers::CONNECTION_CHECK_INTERVAL;

/// The policy and the actions that it has returned but that have not been executed yet.
struct Policy {
    gateway: Gateway,
    /// Buffer for the actions that the policy returns for one event; empty between events.
    new_actions: Vec<Action>,
    /// Actions that wait to be executed, in order.
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
    /// Whether [`run_until_idle`](Self::run_until_idle) is on the call stack. The running call also handles
    /// events that are enqueued before it returns.
    running: Cell<bool>,
    timers: TimerQueue,
    cached_list: CachedList,
    /// The connections to servers.
    pub pool: ConnectionPool,
    counter: Rc<CounterClient>,
}

impl EventLoop {
    /// Creates an event loop that opens at most `max_upstream_connections` connections to servers. It starts
    /// with the cached endpoint list in the configuration, if there is one.
    pub fn new(config: &Config, max_upstream_connections: usize) -> Rc<Self> {
        let counter_call_timeout = counter_call_timeout(&config.settings);
        let gateway =
            Gateway::new(config.settings.clone(), config.seed).with_max_tenants(max_tenants(config.limits));
        let clock = Clock::start();
        let event_loop = Rc::new(EventLoop {
            clock,
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
            cached_list: CachedList::new(clock.now(), config.drain_grace),
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

    /// The client through which the counter service is called.
    pub fn counter(&self) -> &CounterClient {
        &self.counter
    }

    /// The names of classes, plans and zones, as read at startup.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// The settings of the policy, as read at startup.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Time within which the gateway has to stop sending new requests to a server after discovery reports
    /// that the server is draining.
    pub fn drain_grace(&self) -> Duration {
        self.drain_grace
    }

    /// Whether the gateway can serve requests: a server is registered, and the discovery agent has confirmed
    /// the endpoint list or is considered to be down.
    pub fn is_ready(&self) -> bool {
        self.cached_list.is_ready(self.now()) && !self.endpoints.borrow().is_empty()
    }

    /// Whether the gateway may send requests to the servers of its endpoint list.
    ///
    /// # Errors
    /// Returns the time, ms, after which it may do so at the latest.
    pub fn check_may_forward(&self) -> Result<(), Millis> {
        let now = self.now();
        if self.cached_list.allows_attempts(now) {
            Ok(())
        } else {
            Err(self.cached_list.time_until_ready(now))
        }
    }

    /// Number of requests that have no final answer yet and whose clients are still connected.
    pub fn requests_in_flight(&self) -> usize {
        self.requests.borrow().incomplete_ids().count()
    }

    // ---- Events and actions -------------------------------------------------------------------

    /// Passes an event to the policy and executes the actions that the policy returns. If another event is
    /// being handled, this only enqueues the new event.
    pub fn dispatch(self: &Rc<Self>, event: Event) {
        self.enqueue(event);
        self.run_until_idle();
    }

    fn enqueue(&self, event: Event) {
        self.events.borrow_mut().push_back(event);
    }

    /// Handles events and executes actions until no event and no action is queued.
    ///
    /// A panic while an event is handled must not end the task that dispatched the event, such as the task of
    /// a client connection or of the timers, and must not lose queued events. The panic is therefore caught
    /// and logged here. Events and actions that have not begun stay queued. If the event was a new request,
    /// the request is answered as failed.
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

    /// Passes `event`, if it is not `None`, to the policy, and executes all pending actions.
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
            // The discovery watcher reports changes of the endpoint list without being asked, and the policy
            // requests no health checks.
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

    fn check_may_begin(&self, id: RequestId, attempt_number: u8, target: Target) -> Result<(), Outcome> {
        EventLoop::check_may_begin(self, id, attempt_number, target)
    }

    fn attempt_begins(&self, id: RequestId) {
        self.requests.borrow().record_forwarded(id);
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

    fn confirm_endpoints(&self) {
        self.cached_list.confirm();
    }
}
