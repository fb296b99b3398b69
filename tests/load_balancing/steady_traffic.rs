//! A gateway with steady traffic, for what a selection examines and costs.

use crate::deployment::{endpoints, request, settings, IDEMPOTENT};
use crate::simulation::{attempt_ended, complete_list, forwarded_to};
use rate_limiting_gateway::event::{Event, Outcome};
use rate_limiting_gateway::ids::{ClassId, Millis, RequestId};
use rate_limiting_gateway::policy::Gateway;
use rate_limiting_gateway::settings::{Plan, Settings};

/// One gateway's share of the plan's peak.
const REQUESTS_PER_SECOND: f64 = 264.0;
/// Requests after which a gateway knows its traffic.
const WARM_UP_REQUESTS: u32 = 2500;
/// The timer fires once in so many requests.
const REQUESTS_PER_TIMER: u32 = 5;
/// Of classes with an idempotency key one request in so many is reset and retried.
const REQUESTS_PER_RETRY: u32 = 12;
/// Requests over which the endpoints examined are averaged.
const MEASURED_REQUESTS: u32 = 200;

/// A gateway at its share of the plan's peak, with each request answered before the next.
pub struct SteadyTraffic {
    gateway: Gateway,
    now: Millis,
    last_request: u32,
    pub class: ClassId,
    /// Retries so far.
    pub retries: u32,
}

impl SteadyTraffic {
    /// A gateway that knows its servers and its traffic.
    pub fn new(servers: u32) -> Self {
        let plans = vec![Plan { rate: 1000.0, burst: 2000.0, priority_multiplier: 1.0, ..Plan::default() }];
        let gateway = Gateway::new(Settings { plans, ..settings() }, 5);
        let mut traffic = SteadyTraffic { gateway, now: 1.0, last_request: 0, class: IDEMPOTENT, retries: 0 };
        traffic.handle(complete_list(endpoints(servers)));
        traffic.run(WARM_UP_REQUESTS);
        traffic
    }

    /// Feeds an event whose actions do not matter.
    pub fn handle(&mut self, event: Event) {
        self.gateway.handle(self.now, event, &mut Vec::new());
    }

    /// Sends so many requests.
    pub fn run(&mut self, requests: u32) {
        for _ in 0..requests {
            self.last_request += 1;
            self.now += 1000.0 / REQUESTS_PER_SECOND;
            self.run_request();
            if self.last_request % REQUESTS_PER_TIMER == 0 {
                self.handle(Event::Timer(0));
            }
        }
    }

    /// One request to its end, with its retry.
    fn run_request(&mut self) {
        let id = RequestId(self.last_request);
        let is_reset = self.class != IDEMPOTENT && self.last_request % REQUESTS_PER_RETRY == 0;
        let mut actions = Vec::new();
        let event = Event::Request(request(self.last_request, self.class));
        self.gateway.handle(self.now, event, &mut actions);
        let mut attempt = 0;
        let mut at = self.now;
        while let Some(server) = forwarded_to(&actions) {
            let outcome = if is_reset && attempt == 0 { Outcome::Reset } else { Outcome::Ok };
            let elapsed = f64::from(server.0 % 7) + 1.0;
            at += elapsed;
            actions.clear();
            self.gateway.handle(at, attempt_ended(id, attempt, server, outcome, elapsed), &mut actions);
            self.retries += u32::from(attempt > 0);
            attempt += 1;
        }
    }

    /// Servers and blocks of servers that the gateway examines for a request.
    pub fn endpoints_examined(&mut self) -> u64 {
        let before = self.gateway.endpoints_examined();
        self.run(MEASURED_REQUESTS);
        (self.gateway.endpoints_examined() - before) / u64::from(MEASURED_REQUESTS)
    }
}
