//! A made-up deployment of any size: its settings, servers, customers and traffic.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rate_limiting_gateway::event::{Endpoint, EndpointState, Request};
use rate_limiting_gateway::ids::{CounterKey, Millis, PlanId, RequestId, ServerId, TenantId};
use rate_limiting_gateway::settings::{Class, Plan, Settings};

/// Random numbers that are the same in each run.
pub struct Dice(Pcg64Mcg);

impl Dice {
    /// From a seed.
    pub fn new(seed: u64) -> Self {
        Dice(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Evenly from 0 to 1.
    pub fn roll(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A whole number below `n`.
    pub fn below(&mut self, n: usize) -> usize {
        (self.roll() * n as f64) as usize
    }

    /// Time to the next of events that come at a rate, ms.
    pub fn wait(&mut self, a_second: f64) -> Millis {
        -1000.0 * (1.0 - self.roll()).ln() / a_second
    }
}

/// Sizes of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Limiters.
    pub gateways: usize,
    /// Servers, all in one list.
    pub servers: usize,
    /// Customers.
    pub tenants: usize,
    /// Requests a second over all limiters.
    pub rate: f64,
    /// Limiters that one customer comes in through; 0: all of them.
    pub gateway_count: usize,
    /// Zones.
    pub zones: usize,
}

impl Default for Deployment {
    /// The operators' plan for two years.
    fn default() -> Self {
        let (gateways, servers, tenants) = (530, 5_700, 28_000);
        Deployment { gateways, servers, tenants, rate: 140_000.0, gateway_count: 0, zones: 6 }
    }
}

/// Rate of the smallest plan, units a second; each next one has four times as much.
const LEAST_RATE: f64 = 1.0;
const PLAN_STEP: f64 = 4.0;
const PLANS: usize = 9;
/// A plan's burst is what its rate yields in this time, s.
const BURST: f64 = 2.0;
/// One customer in so many asks more than its quota.
const OVER: usize = 10;
/// Shortest aim, ms, and the deadline.
const AIM: Millis = 500.0;
const DEADLINE: Millis = 1500.0;

impl Deployment {
    /// The limiters that one customer comes in through.
    pub fn gateway_count(&self) -> usize {
        if self.gateway_count == 0 {
            self.gateways
        } else {
            self.gateway_count
        }
    }

    /// Requests a second at one limiter.
    pub fn share(&self) -> f64 {
        self.rate / self.gateways as f64
    }

    /// What each limiter is told at its start.
    pub fn settings(&self) -> Settings {
        let class =
            Class { latency_objective: AIM, deadline: DEADLINE, priority_weight: 1.0, ..Class::default() };
        let plan = |i: usize| {
            let rate = LEAST_RATE * PLAN_STEP.powi(i as i32);
            Plan {
                rate,
                burst: BURST * rate,
                priority_multiplier: 1.0,
                overage_penalty: 1.0,
                ..Plan::default()
            }
        };
        Settings {
            gateway_count: self.gateways as f64,
            classes: vec![class],
            plans: (0..PLANS).map(plan).collect(),
            max_units: 1.0,
            max_attempts: 3,
            cancellation_allowed: true,
            max_retry_after: 1000.0,
            counter: true,
            counter_timeout: 30.0,
            slow_start_capacity: 0.2,
            slow_start_window: 10_000.0,
            ..Settings::default()
        }
    }

    /// The whole list of servers.
    pub fn entries(&self) -> Vec<Endpoint> {
        (0..self.servers).map(|n| self.entry(n, EndpointState::Ready, 0.0)).collect()
    }

    /// One line of the list.
    pub fn entry(&self, n: usize, state: EndpointState, started: Millis) -> Endpoint {
        let (zone, cell) = ((n % self.zones) as u16, (n / 8) as u16);
        Endpoint { server: ServerId(n as u32 + 1), weight: 1.0, zone, cell, started, state }
    }

    /// The customers by size, and what they ask.
    pub fn demand(&self) -> Demand {
        // Zipf with exponent 1: the n-th largest asks an n-th of the largest.
        let harmonic: f64 = (1..=self.tenants).map(|n| 1.0 / n as f64).sum();
        let mut sum = 0.0;
        let mut upto = Vec::with_capacity(self.tenants);
        let mut plans = Vec::with_capacity(self.tenants);
        for n in 1..=self.tenants {
            let share = 1.0 / n as f64 / harmonic;
            sum += share;
            upto.push(sum);
            let steps = (self.rate * share / LEAST_RATE).max(1.0).log(PLAN_STEP).ceil() as usize;
            // Those that ask too much have the plan below that which they need.
            let over = usize::from(n % OVER == 0);
            plans.push(PlanId(steps.saturating_sub(over).min(PLANS - 1)));
        }
        Demand { upto, plans, gateway_count: self.gateway_count(), gateways: self.gateways }
    }
}

/// Who asks, by Zipf's law.
pub struct Demand {
    upto: Vec<f64>,
    plans: Vec<PlanId>,
    gateway_count: usize,
    gateways: usize,
}

impl Demand {
    /// Whose the next request is.
    pub fn draw(&self, dice: &mut Dice) -> usize {
        let roll = dice.roll();
        self.upto.partition_point(|upto| *upto < roll).min(self.upto.len() - 1)
    }

    /// The limiter that it comes to: any of its customer's set.
    pub fn gateway(&self, tenant: usize, dice: &mut Dice) -> usize {
        (tenant.wrapping_mul(7919) + dice.below(self.gateway_count)) % self.gateways
    }

    /// A request of a customer.
    pub fn request(&self, id: u32, tenant: usize) -> Request {
        Request {
            id: RequestId(id),
            tenant: TenantId(tenant as u64 * 7919 + 1),
            plan: self.plans[tenant],
            units: 1.0,
            time_left: DEADLINE,
            gateway_count: self.gateway_count as f64,
            ..Request::default()
        }
    }
}

/// Bytes of a call to the counter and of its answer, as they stand on the wire (PROTOCOL, the counter).
pub fn call_bytes(name: CounterKey, add: f64, ttl: Millis, total: f64) -> usize {
    let call = format!("bump {:016x} {add} {}\r\n", name.0, ttl as u64);
    call.len() + format!("ok {total}\r\n").len()
}
