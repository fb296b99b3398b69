//! The gateway under test, to which tests send events at chosen times, and helpers to inspect its actions.

use crate::simulation::{attempt_ended, complete_list, forwarded_to, ready_endpoints};
use rate_limiting_gateway::action::Action;
use rate_limiting_gateway::event::{EndpointUpdate, Event, Outcome, Request};
use rate_limiting_gateway::ids::{CounterKey, Millis, RequestId, ServerId, TenantId};
use rate_limiting_gateway::policy::Gateway;
use rate_limiting_gateway::settings::{Class, Plan, Settings};

/// Seed of the gateway that [`Rig::new`] creates.
const SEED: u64 = 11;
/// Time after which the client of a request gives up, ms.
pub const TIME_LEFT: Millis = 1500.0;
/// Response time of the servers, ms.
const RESPONSE_TIME: Millis = 50.0;

/// Settings of a fleet of three gateways with one plan of 5 requests per second and a burst of 10.
pub fn settings() -> Settings {
    Settings {
        fleet_gateway_count: 3.0,
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

/// Settings of a fleet of 500 gateways with one plan, in which each gateway gets few requests of a tenant.
pub fn large_fleet_settings(rate: f64, burst: f64) -> Settings {
    let plan = Plan { rate, burst, priority_multiplier: 1.0, ..Plan::default() };
    Settings { fleet_gateway_count: 500.0, plans: vec![plan], ..settings() }
}

/// A call of the gateway to the counter service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    pub key: CounterKey,
    pub add: f64,
}

/// The actions that resulted from an event.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Actions(pub Vec<Action>);

impl Actions {
    /// The server of the first attempt that the actions start.
    pub fn forwarded_to(&self) -> Option<ServerId> {
        forwarded_to(&self.0)
    }

    /// Whether a request was forwarded.
    pub fn is_forwarded(&self) -> bool {
        self.forwarded_to().is_some()
    }

    /// Whether a request was rejected.
    pub fn is_rejected(&self) -> bool {
        self.0.iter().any(|action| matches!(action, Action::Reject { .. }))
    }

    /// Whether the request was neither forwarded nor rejected.
    pub fn is_queued(&self) -> bool {
        !self.is_forwarded() && !self.is_rejected()
    }

    /// The `Retry-After` of the first rejection, ms.
    pub fn retry_after(&self) -> Option<Millis> {
        self.0.iter().find_map(|action| match action {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        })
    }

    /// All calls to the counter service.
    pub fn counter_calls(&self) -> Vec<CounterCall> {
        let call = |action: &Action| match action {
            Action::IncrementCounter { key, add, .. } => Some(CounterCall { key: *key, add: *add }),
            _ => None,
        };
        self.0.iter().filter_map(call).collect()
    }

    /// The first call to the counter service. Panics if there is none.
    pub fn counter_call(&self) -> CounterCall {
        self.counter_calls()[0]
    }
}

/// The id of a request that the gateway received, and the actions that resulted from it.
pub struct Received {
    pub id: RequestId,
    pub actions: Actions,
}

/// The gateway under test.
pub struct Rig {
    pub gateway: Gateway,
    /// The actions that resulted from the last event.
    pub last_actions: Actions,
    next_request: u32,
}

impl Rig {
    /// Creates a gateway with a cached list of ready servers, numbered from 1.
    pub fn new(settings: Settings, servers: u32) -> Self {
        let mut rig = Rig::without_list(settings, SEED);
        let entries = ready_endpoints(servers);
        rig.handle(0.0, Event::EndpointsChanged { update: EndpointUpdate::Cached, entries });
        rig
    }

    /// Creates a gateway with a complete list of ready servers, numbered from 1.
    pub fn with_complete_list(settings: Settings, seed: u64, servers: u32) -> Self {
        let mut rig = Rig::without_list(settings, seed);
        rig.handle(0.0, complete_list(ready_endpoints(servers)));
        rig
    }

    fn without_list(settings: Settings, seed: u64) -> Self {
        Rig { gateway: Gateway::new(settings, seed), last_actions: Actions::default(), next_request: 1 }
    }

    /// Sends an event to the gateway at the time `now`, ms, and returns the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event) -> Actions {
        let mut actions = Vec::new();
        self.gateway.handle(now, event, &mut actions);
        self.last_actions = Actions(actions);
        self.last_actions.clone()
    }

    /// Fires the housekeeping timer.
    pub fn timer(&mut self, now: Millis) -> Actions {
        self.handle(now, Event::Timer(0))
    }

    /// A tenant that has not sent a request yet.
    pub fn next_tenant(&self) -> TenantId {
        TenantId(u64::from(self.next_request) + 1)
    }

    /// Sends a request of the first tenant, whose requests are received by three gateways.
    pub fn request(&mut self, now: Millis) -> Received {
        self.request_like(now, Request { gateway_count: 3.0, ..Request::default() })
    }

    /// Sends a request like the given one, but with a new id, one unit and [`TIME_LEFT`].
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

    /// Sends requests of the first tenant and ends each forwarded attempt before the next request. Returns
    /// how many requests were forwarded.
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
