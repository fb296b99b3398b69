//! A synthetic deployment of configurable size: its settings, servers, tenants and traffic.

use crate::simulation::SeededRng;
use rate_limiting_gateway::event::{Endpoint, EndpointState, Request};
use rate_limiting_gateway::ids::{CounterKey, Millis, PlanId, RequestId, ServerId, TenantId};
use rate_limiting_gateway::settings::{Class, Plan, Settings};

/// Size and traffic of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of servers. All of them are in one endpoint list.
    pub servers: usize,
    /// Number of tenants.
    pub tenants: usize,
    /// Requests per second over all gateways.
    pub rate: f64,
    /// Number of gateways that receive one tenant's requests; 0 means all gateways.
    pub gateways_per_tenant: usize,
    /// Number of zones.
    pub zones: usize,
}

impl Default for Deployment {
    /// The planned deployment: fleet size and traffic of the operators' two-year plan.
    fn default() -> Self {
        Deployment {
            gateways: 530,
            servers: 5_700,
            tenants: 28_000,
            rate: 140_000.0,
            gateways_per_tenant: 0,
            zones: 6,
        }
    }
}

/// Rate of the smallest plan, units per second.
const MIN_PLAN_RATE: f64 = 1.0;
/// Ratio of a plan's rate to the rate of the next smaller plan.
const PLAN_RATE_FACTOR: f64 = 4.0;
const PLAN_COUNT: usize = 9;
/// Time in which a plan's rate adds up to its burst, s.
const BURST_SECONDS: f64 = 2.0;
/// Tenants whose rank by traffic is a multiple of this number exceed their quota.
const OVER_QUOTA_STRIDE: usize = 10;
const LATENCY_OBJECTIVE: Millis = 500.0;
const DEADLINE: Millis = 1500.0;
/// Number of servers in a cell.
const CELL_SIZE: usize = 8;
/// Step between the ids of tenants with consecutive ranks, and between their first gateways. It is a prime, so
/// that tenants with similar traffic use different gateways.
const TENANT_STRIDE: usize = 7919;

impl Deployment {
    /// Number of gateways that receive one tenant's requests.
    pub fn gateways_per_tenant(&self) -> usize {
        if self.gateways_per_tenant == 0 {
            self.gateways
        } else {
            self.gateways_per_tenant
        }
    }

    /// Requests per second at one gateway.
    pub fn rate_per_gateway(&self) -> f64 {
        self.rate / self.gateways as f64
    }

    /// Settings of every gateway.
    pub fn settings(&self) -> Settings {
        let class = Class {
            latency_objective: LATENCY_OBJECTIVE,
            deadline: DEADLINE,
            priority_weight: 1.0,
            ..Class::default()
        };
        let plan = |i: usize| {
            let rate = MIN_PLAN_RATE * PLAN_RATE_FACTOR.powi(i as i32);
            Plan { rate, burst: BURST_SECONDS * rate, priority_multiplier: 1.0, ..Plan::default() }
        };
        Settings {
            fleet_gateway_count: self.gateways as f64,
            classes: vec![class],
            plans: (0..PLAN_COUNT).map(plan).collect(),
            max_units: 1.0,
            max_attempts: 3,
            cancellation_allowed: true,
            max_retry_after: 1000.0,
            counter_enabled: true,
            counter_timeout: 30.0,
            slow_start_capacity: 0.2,
            slow_start_window: 10_000.0,
            ..Settings::default()
        }
    }

    /// The complete endpoint list.
    pub fn entries(&self) -> Vec<Endpoint> {
        (0..self.servers).map(|index| self.entry(index, EndpointState::Ready, 0.0)).collect()
    }

    /// One entry of the endpoint list. `started_at` is the time at which the server last started, ms.
    pub fn entry(&self, index: usize, state: EndpointState, started_at: Millis) -> Endpoint {
        Endpoint {
            server: ServerId(index as u32 + 1),
            weight: 1.0,
            zone: (index % self.zones) as u16,
            cell: (index / CELL_SIZE) as u16,
            started_at,
            state,
        }
    }

    /// The traffic of all tenants.
    pub fn demand(&self) -> Demand {
        // Zipf's law with exponent 1: the tenant of rank n sends 1/n of the requests of the largest tenant.
        let harmonic: f64 = (1..=self.tenants).map(|rank| 1.0 / rank as f64).sum();
        let mut sum = 0.0;
        let mut cumulative_shares = Vec::with_capacity(self.tenants);
        let mut plans = Vec::with_capacity(self.tenants);
        for rank in 1..=self.tenants {
            let share = 1.0 / rank as f64 / harmonic;
            sum += share;
            cumulative_shares.push(sum);
            plans.push(self.plan_of(rank, share));
        }
        Demand {
            cumulative_shares,
            plans,
            gateways_per_tenant: self.gateways_per_tenant(),
            gateways: self.gateways,
        }
    }

    /// The plan of a tenant: the smallest plan whose rate covers the tenant's share of the traffic, or the
    /// next smaller plan if the tenant is to exceed its quota.
    fn plan_of(&self, rank: usize, share: f64) -> PlanId {
        let rate = (self.rate * share / MIN_PLAN_RATE).max(1.0);
        let sufficient = rate.log(PLAN_RATE_FACTOR).ceil() as usize;
        let over_quota = usize::from(rank % OVER_QUOTA_STRIDE == 0);
        PlanId(sufficient.saturating_sub(over_quota).min(PLAN_COUNT - 1))
    }
}

/// Draws the tenants of requests by Zipf's law, and the gateways that receive them.
pub struct Demand {
    cumulative_shares: Vec<f64>,
    plans: Vec<PlanId>,
    gateways_per_tenant: usize,
    gateways: usize,
}

impl Demand {
    /// Draws the tenant of the next request.
    pub fn draw_tenant(&self, rng: &mut SeededRng) -> usize {
        let drawn = rng.uniform();
        let tenant = self.cumulative_shares.partition_point(|share| *share < drawn);
        tenant.min(self.cumulative_shares.len() - 1)
    }

    /// Draws the gateway that receives a tenant's request.
    pub fn draw_gateway(&self, tenant: usize, rng: &mut SeededRng) -> usize {
        (tenant.wrapping_mul(TENANT_STRIDE) + rng.index(self.gateways_per_tenant)) % self.gateways
    }

    /// A request of a tenant.
    pub fn request(&self, id: u32, tenant: usize) -> Request {
        Request {
            id: RequestId(id),
            tenant: TenantId((tenant * TENANT_STRIDE) as u64 + 1),
            plan: self.plans[tenant],
            units: 1.0,
            time_left: DEADLINE,
            gateway_count: self.gateways_per_tenant as f64,
            ..Request::default()
        }
    }
}

/// Number of bytes on the wire of a counter call and its reply. `ttl` is in ms.
pub fn counter_call_bytes(key: CounterKey, add: f64, ttl: Millis, total: f64) -> usize {
    let call = format!("bump {:016x} {add} {}\r\n", key.0, ttl as u64);
    let reply = format!("ok {total}\r\n");
    call.len() + reply.len()
}
