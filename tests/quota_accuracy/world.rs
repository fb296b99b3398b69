//! A deployment, the traffic of its tenants and what befalls it, and the requests that follow from these.

use crate::simulation::SeededRng;
use rate_limiting_gateway::ids::Millis;
use rate_limiting_gateway::settings::{Class, Plan, Settings};
use std::ops::Range;

/// Length of a simulation, ms.
pub const DURATION: Millis = 30_000.0;
/// A tenant's gateways are this far from those of the tenant before.
const GATEWAY_STRIDE: usize = 37;
/// Factor of the traffic during a surge.
const SURGE: f64 = 3.0;
/// A tenant's traffic comes in spikes of `SPIKE_TIME` ms between stretches of `USUAL_TIME` ms.
const SPIKE_TIME: Range<Millis> = 1300.0..5000.0;
const USUAL_TIME: Range<Millis> = 8700.0..20_000.0;

/// A plan, and what a request beyond its quota earns and costs, as shares of the request's value.
#[derive(Clone)]
pub struct PricedPlan {
    pub plan: Plan,
    pub overage_value: f64,
    pub overage_penalty: f64,
}

impl PricedPlan {
    /// Whether a request beyond the quota earns more than it costs.
    pub fn overage_pays(&self) -> bool {
        self.overage_value > self.overage_penalty
    }
}

/// A deployment's traffic and its counter.
pub struct World {
    pub gateways: usize,
    pub plans: Vec<PricedPlan>,
    /// Tenants of each plan.
    pub tenants: Vec<usize>,
    /// Calls that the counter executes in a second.
    pub counter_calls_per_second: f64,
    /// The least that a counter call takes, ms.
    pub counter_latency: Millis,
    /// The settings' time-out of a counter call, ms.
    pub counter_timeout: Millis,
    /// The counter answers nothing in this span, ms.
    pub counter_outage: Range<Millis>,
    /// Three times the traffic comes in this span, ms.
    pub surge: Range<Millis>,
    /// When seven in ten gateways restart, ms; none: never.
    pub restart_at: Option<Millis>,
    pub seed: u64,
}

/// A request that comes in at a gateway.
pub struct Arrival {
    pub at: Millis,
    pub tenant: usize,
    pub gateway: usize,
}

impl World {
    /// The index of each tenant's plan.
    pub fn plan_indices(&self) -> Vec<usize> {
        self.tenants.iter().enumerate().flat_map(|(plan, tenants)| vec![plan; *tenants]).collect()
    }

    /// Gateways through which a plan's tenants come in: all, or as many as can share a ceiling.
    pub fn gateways_of_plan(&self, plan: usize) -> f64 {
        let plan = &self.plans[plan].plan;
        let max = if plan.ceiling_rate > 0.0 { plan.ceiling_burst / 2.0 } else { f64::INFINITY };
        (self.gateways as f64).min(max).floor()
    }

    /// Settings of each gateway.
    pub fn settings(&self) -> Settings {
        let class =
            Class { latency_objective: 600.0, deadline: 2000.0, priority_weight: 1.0, ..Class::default() };
        Settings {
            gateway_count: self.gateways as f64,
            classes: vec![class],
            plans: self.plans.iter().map(|priced| priced.plan.clone()).collect(),
            max_units: 1.0,
            max_attempts: 3,
            cancellation_allowed: true,
            max_retry_after: 1000.0,
            counter_enabled: true,
            counter_timeout: self.counter_timeout,
            slow_start_capacity: 0.2,
            slow_start_window: 10_000.0,
            ..Settings::default()
        }
    }

    /// The requests of all tenants in the order in which they come in.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut rng = SeededRng::new(self.seed);
        let mut arrivals = Vec::new();
        for (tenant, plan) in self.plan_indices().into_iter().enumerate() {
            TenantTraffic::new(self, tenant, plan, &mut rng).add_arrivals(&mut rng, &mut arrivals);
        }
        arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
        arrivals
    }
}

/// A tenant's demand as a multiple of its quota: usually, and in spikes, as a multiple of the usual demand.
struct DemandProfile {
    usual: f64,
    spike: f64,
}

impl DemandProfile {
    /// Most use a part of their quota, some nearly all, some far more all the time or in spikes.
    fn draw(rng: &mut SeededRng) -> Self {
        match rng.uniform() {
            kind if kind < 0.12 => DemandProfile { usual: rng.between(0.85, 1.0), spike: 1.0 },
            kind if kind < 0.22 => DemandProfile { usual: rng.between(1.5, 4.0), spike: 1.0 },
            kind if kind < 0.4 => {
                DemandProfile { usual: rng.between(0.26, 0.47), spike: rng.between(2.1, 7.7) }
            }
            _ => DemandProfile { usual: rng.between(0.26, 0.47), spike: 1.0 },
        }
    }
}

/// The traffic of one tenant.
struct TenantTraffic<'a> {
    world: &'a World,
    tenant: usize,
    /// Rate of its quota, requests a second.
    rate: f64,
    gateways: f64,
    first_gateway: usize,
    profile: DemandProfile,
    in_spike: bool,
    /// When a spike begins or ends, and the busiest gateway changes, ms.
    next_change: Millis,
    /// Position of the busiest gateway among the tenant's, 0 to 1.
    busiest_gateway: f64,
}

impl<'a> TenantTraffic<'a> {
    fn new(world: &'a World, tenant: usize, plan: usize, rng: &mut SeededRng) -> Self {
        let gateways = world.gateways_of_plan(plan);
        let shares_gateways = gateways < world.gateways as f64;
        TenantTraffic {
            world,
            tenant,
            rate: world.plans[plan].plan.rate,
            gateways,
            first_gateway: if shares_gateways { tenant * GATEWAY_STRIDE } else { 0 },
            profile: DemandProfile::draw(rng),
            in_spike: false,
            next_change: 0.0,
            busiest_gateway: 0.0,
        }
    }

    fn add_arrivals(&mut self, rng: &mut SeededRng, arrivals: &mut Vec<Arrival>) {
        let mut at = rng.interarrival(self.rate);
        self.next_change = rng.between(0.0, USUAL_TIME.end);
        self.busiest_gateway = rng.uniform();
        while at < DURATION {
            if at > self.next_change {
                self.change(at, rng);
            }
            arrivals.push(Arrival { at, tenant: self.tenant, gateway: self.draw_gateway(rng) });
            let surge = if self.world.surge.contains(&at) { SURGE } else { 1.0 };
            let demand = if self.in_spike { self.profile.spike } else { self.profile.usual };
            at += rng.interarrival(self.rate * surge * demand);
        }
    }

    fn change(&mut self, now: Millis, rng: &mut SeededRng) {
        self.in_spike = !self.in_spike && self.profile.spike > 1.0;
        let span = if self.in_spike { SPIKE_TIME } else { USUAL_TIME };
        self.next_change = now + rng.between(span.start, span.end);
        self.busiest_gateway = rng.uniform();
    }

    /// Uneven: the gateways next to the busiest get several times the mean.
    fn draw_gateway(&self, rng: &mut SeededRng) -> usize {
        let distance = rng.uniform().powi(2);
        let position = ((self.busiest_gateway + distance) * self.gateways) as usize % self.gateways as usize;
        (self.first_gateway + position) % self.world.gateways
    }
}
