//! One gateway, driven by events at chosen times, and what the tests look for in its actions.

use crate::simulation::{attempt_ended, complete_list, forwarded_to, ready_endpoints};
use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{EndpointUpdate, Event, Outcome, Request};
use rate_limiting_gateway::ids::{CounterKey, Millis, RequestId, ServerId, TenantId};
use rate_limiting_gateway::policy::Gateway;
use rate_limiting_gateway::settings::{Class, Plan, Settings};

/// Seed of the gateway in [`Rig::new`].
const SEED: u64 = 11;
/// The time after which a request's client gives up, ms.
pub const TIME_LEFT: Millis = 1500.0;
/// Response time of servers, ms.
const RESPONSE_TIME: Millis = 50.0;

/// Three gateways, and one plan of 5 requests a second with a burst of 10.
pub fn settings() -> Settings {
    Settings {
        gateway_count: 3.0,
        classes: vec![Class {
            latency_objective: 500.0,
            deadline: TIME_LEFT,
            priority_weight: 1.0,
            ..Class::default()
        }],
        plans: vec![Plan { rate: 5.0, burst: 10.0, priority_multiplier: 1.0, ..Plan::default() }],
        max_units: 1.0,
        max_attempts: 4,
        hedging_allowed: true,
        cancellation_allowed: true,
        counter_enabled: true,
        counter_timeout: 50.0,
        slow_start_capacity: 0.2,
        slow_start_window: 10_000.0,
        ..Settings::default()
    }
}

/// Five hundred gateways with one plan: each sees a tenant rarely.
pub fn large_fleet_settings(rate: f64, burst: f64) -> Settings {
    let plan = Plan { rate, burst, priority_multiplier: 1.0, ..Plan::default() };
    Settings { gateway_count: 500.0, plans: vec![plan], ..settings() }
}

/// A call to the counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    pub key: CounterKey,
    pub add: f64,
}

/// The actions that followed from an event.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Actions(pub Vec<Action>);

impl Actions {
    /// The server of the first attempt.
    pub fn forwarded_to(&self) -> Option<ServerId> {
        forwarded_to(&self.0)
    }

    /// A request was forwarded.
    pub fn is_forwarded(&self) -> bool {
        self.forwarded_to().is_some()
    }

    /// A request was rejected.
    pub fn is_rejected(&self) -> bool {
        self.0.iter().any(|action| matches!(action, Action::Reject { .. }))
    }

    /// Neither forwarded nor rejected yet.
    pub fn is_queued(&self) -> bool {
        !self.is_forwarded() && !self.is_rejected()
    }

    /// The `Retry-After` of a rejection, ms.
    pub fn retry_after(&self) -> Option<Millis> {
        self.0.iter().find_map(|action| match action {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        })
    }

    /// The calls to the counter.
    pub fn counter_calls(&self) -> Vec<CounterCall> {
        let call = |action: &Action| match action {
            Action::IncrementCounter { key, add, .. } => Some(CounterCall { key: *key, add: *add }),
            _ => None,
        };
        self.0.iter().filter_map(call).collect()
    }

    /// The first call to the counter.
    pub fn counter_call(&self) -> CounterCall {
        self.counter_calls()[0]
    }
}

/// A request that has come in, and the actions that followed.
pub struct Received {
    pub id: RequestId,
    pub actions: Actions,
}

/// One gateway, driven by events.
pub struct Rig {
    pub gateway: Gateway,
    /// The actions that followed from the last event.
    pub last_actions: Actions,
    next_request: u32,
}

impl Rig {
    /// A gateway that holds a cached list of ready servers, numbered from 1.
    pub fn new(settings: Settings, servers: u32) -> Self {
        let mut rig = Rig::without_list(settings, SEED);
        let entries = ready_endpoints(servers);
        rig.handle(0.0, Event::EndpointsChanged { update: EndpointUpdate::Cached, entries });
        rig
    }

    /// A gateway that holds a complete list of ready servers, numbered from 1.
    pub fn with_complete_list(settings: Settings, seed: u64, servers: u32) -> Self {
        let mut rig = Rig::without_list(settings, seed);
        rig.handle(0.0, complete_list(ready_endpoints(servers)));
        rig
    }

    fn without_list(settings: Settings, seed: u64) -> Self {
        Rig { gateway: Gateway::new(settings, seed), last_actions: Actions::default(), next_request: 1 }
    }

    /// Feeds an event to the gateway at a time, ms.
    pub fn handle(&mut self, now: Millis, event: Event) -> Actions {
        let mut actions = Vec::new();
        self.gateway.handle(now, event, &mut actions);
        self.last_actions = Actions(actions);
        self.last_actions.clone()
    }

    /// Fires the timer.
    pub fn timer(&mut self, now: Millis) -> Actions {
        self.handle(now, Event::Timer(0))
    }

    /// A tenant that no request was of.
    pub fn next_tenant(&self) -> TenantId {
        TenantId(u64::from(self.next_request) + 1)
    }

    /// A request of the first tenant, through three gateways.
    pub fn request(&mut self, now: Millis) -> Received {
        self.request_like(now, Request { gateway_count: 3.0, ..Request::default() })
    }

    /// A request of one unit with an id of its own, otherwise like the given one.
    pub fn request_like(&mut self, now: Millis, request: Request) -> Received {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let request = Request { id, units: 1.0, time_left: TIME_LEFT, ..request };
        Received { id, actions: self.handle(now, Event::Request(request)) }
    }

    /// Ends the first attempt of a request.
    pub fn end_attempt(&mut self, now: Millis, id: RequestId, server: ServerId, outcome: Outcome) -> Actions {
        self.handle(now, attempt_ended(id, 0, server, outcome, RESPONSE_TIME))
    }

    /// Sends requests of the first tenant, answering each before the next; how many were forwarded.
    pub fn send_burst(&mut self, now: Millis, requests: usize) -> usize {
        let mut forwarded = 0;
        for _ in 0..requests {
            let Received { id, actions } = self.request(now);
            if let Some(server) = actions.forwarded_to() {
                forwarded += 1;
                self.end_attempt(now, id, server, Outcome::Ok);
            }
        }
        forwarded
    }
}
