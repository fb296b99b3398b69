//! A gateway with steady traffic, to measure how many servers a selection examines and how long it takes.

use crate::deployment::{endpoints, request, settings, IDEMPOTENT};
use crate::simulation::{attempt_ended, complete_list, forwarded_to};
use rate_limiting_gateway::event::{Event, Outcome};
use rate_limiting_gateway::ids::{ClassId, Millis, RequestId};
use rate_limiting_gateway::policy::Gateway;
use rate_limiting_gateway::settings::{Plan, Settings};

/// Requests per second of one gateway at its share of the planned peak traffic.
const REQUESTS_PER_SECOND: f64 = 264.0;
/// Number of requests after which the gateway's averages of rate and response times are stable.
const WARM_UP_REQUESTS: u32 = 2500;
/// Number of requests between two timer events.
const REQUESTS_PER_TIMER: u32 = 5;
/// In classes with an idempotency key, the first attempt of one request in this many is reset and retried.
const REQUESTS_PER_RETRY: u32 = 12;
/// Number of requests over which the number of examined endpoints is averaged.
const MEASURED_REQUESTS: u32 = 200;

/// A gateway at its share of the planned peak traffic. Each request ends before the next one arrives.
pub struct SteadyTraffic {
    gateway: Gateway,
    now: Millis,
    last_request: u32,
    /// Class of the requests.
    pub class: ClassId,
    /// Number of retries so far.
    pub retries: u32,
}

impl SteadyTraffic {
    /// A gateway that has its endpoint list and has been warmed up with traffic.
    pub fn new(servers: u32) -> Self {
        let plans = vec![Plan { rate: 1000.0, burst: 2000.0, priority_multiplier: 1.0, ..Plan::default() }];
        let gateway = Gateway::new(Settings { plans, ..settings() }, 5);
        let mut traffic = SteadyTraffic { gateway, now: 1.0, last_request: 0, class: IDEMPOTENT, retries: 0 };
        traffic.handle(complete_list(endpoints(servers)));
        traffic.run(WARM_UP_REQUESTS);
        traffic
    }

    /// Passes an event to the gateway and discards the resulting actions.
    pub fn handle(&mut self, event: Event) {
        self.gateway.handle(self.now, event, &mut Vec::new());
    }

    /// Runs a number of requests, with the timer events between them.
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

    /// Runs one request, including its retry, until it ends.
    fn run_request(&mut self) {
        let id = RequestId(self.last_request);
        let first_attempt_is_reset = self.class != IDEMPOTENT && self.last_request % REQUESTS_PER_RETRY == 0;
        let mut actions = Vec::new();
        let event = Event::Request(request(self.last_request, self.class));
        self.gateway.handle(self.now, event, &mut actions);
        let mut attempt = 0;
        let mut at = self.now;
        while let Some(server) = forwarded_to(&actions) {
            let outcome = if first_attempt_is_reset && attempt == 0 { Outcome::Reset } else { Outcome::Ok };
            let elapsed = f64::from(server.0 % 7) + 1.0;
            at += elapsed;
            actions.clear();
            self.gateway.handle(at, attempt_ended(id, attempt, server, outcome, elapsed), &mut actions);
            self.retries += u32::from(attempt > 0);
            attempt += 1;
        }
    }

    /// Mean number of servers and blocks of servers that the gateway examines per request.
    pub fn endpoints_examined(&mut self) -> u64 {
        let before = self.gateway.endpoints_examined();
        self.run(MEASURED_REQUESTS);
        (self.gateway.endpoints_examined() - before) / u64::from(MEASURED_REQUESTS)
    }
}
