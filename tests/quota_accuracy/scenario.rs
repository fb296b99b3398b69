//! A simulated scenario: a deployment, the traffic of its tenants and the faults that occur, and the requests
//! that result from them.

use crate::simulation::SeededRng;
use rate_limiting_gateway::ids::Millis;
use rate_limiting_gateway::settings::{Class, Plan, Settings};
use std::ops::Range;

/// Length of a simulation, ms.
pub const DURATION: Millis = 30_000.0;
/// Distance between the first gateways of two consecutive tenants.
const GATEWAY_STRIDE: usize = 37;
/// Factor by which traffic increases during a surge.
const SURGE_FACTOR: f64 = 3.0;
/// Range of the duration of a tenant's traffic spikes, ms.
const SPIKE_DURATION: Range<Millis> = 1300.0..5000.0;
/// Range of the time between two traffic spikes of a tenant, ms. For a tenant without spikes, the range of
/// the time between two changes of its busiest gateway.
const TIME_BETWEEN_SPIKES: Range<Millis> = 8700.0..20_000.0;

/// A plan, and the value and the penalty of a request beyond its quota, as shares of the request's value.
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

/// A deployment, its traffic, its counter and its faults.
pub struct Scenario {
    pub gateways: usize,
    pub plans: Vec<PricedPlan>,
    /// Number of tenants of each plan.
    pub tenants: Vec<usize>,
    /// Number of calls that the counter can execute per second.
    pub counter_calls_per_second: f64,
    /// Shortest latency of a counter call, ms.
    pub counter_latency: Millis,
    /// [`Settings::counter_timeout`], ms.
    pub counter_timeout: Millis,
    /// Time during which the counter does not answer, ms.
    pub counter_outage: Range<Millis>,
    /// Time during which the traffic is [`SURGE_FACTOR`] times as high, ms.
    pub surge: Range<Millis>,
    /// Time at which seven of ten gateways restart, ms; `None` if no gateway restarts.
    pub restart_at: Option<Millis>,
    pub seed: u64,
}

/// A request that arrives at a gateway.
pub struct Arrival {
    pub at: Millis,
    pub tenant: usize,
    pub gateway: usize,
}

impl Scenario {
    /// The index of each tenant's plan.
    pub fn plan_indices(&self) -> Vec<usize> {
        self.tenants.iter().enumerate().flat_map(|(plan, tenants)| vec![plan; *tenants]).collect()
    }

    /// Number of gateways that receive the requests of one tenant of a plan: all gateways, or fewer if the
    /// plan has a ceiling, so that each gateway's part of the ceiling's burst is at least 2 units.
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
            fleet_gateway_count: self.gateways as f64,
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

    /// The requests of all tenants in the order of their arrival.
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

/// A tenant's demand.
struct DemandProfile {
    /// Demand outside spikes, as a multiple of the quota's rate.
    normal: f64,
    /// Demand in spikes, as a multiple of the quota's rate; 1 if the tenant has no spikes.
    spike: f64,
}

impl DemandProfile {
    /// Draws a profile. Most tenants use a part of their quota, some nearly all of it, and some exceed it
    /// by far, permanently or in spikes.
    fn draw(rng: &mut SeededRng) -> Self {
        match rng.uniform() {
            kind if kind < 0.12 => DemandProfile { normal: rng.between(0.85, 1.0), spike: 1.0 },
            kind if kind < 0.22 => DemandProfile { normal: rng.between(1.5, 4.0), spike: 1.0 },
            kind if kind < 0.4 => {
                DemandProfile { normal: rng.between(0.26, 0.47), spike: rng.between(2.1, 7.7) }
            }
            _ => DemandProfile { normal: rng.between(0.26, 0.47), spike: 1.0 },
        }
    }
}

/// The traffic of one tenant.
struct TenantTraffic<'a> {
    scenario: &'a Scenario,
    tenant: usize,
    /// Rate of the tenant's quota, requests per second.
    rate: f64,
    gateways: f64,
    first_gateway: usize,
    profile: DemandProfile,
    in_spike: bool,
    /// Time at which the next spike begins or ends and the busiest gateway changes, ms.
    next_demand_change: Millis,
    /// Position of the busiest gateway among the tenant's gateways, 0 to 1.
    busiest_gateway: f64,
}

impl<'a> TenantTraffic<'a> {
    fn new(scenario: &'a Scenario, tenant: usize, plan: usize, rng: &mut SeededRng) -> Self {
        let gateways = scenario.gateways_of_plan(plan);
        let uses_subset = gateways < scenario.gateways as f64;
        TenantTraffic {
            scenario,
            tenant,
            rate: scenario.plans[plan].plan.rate,
            gateways,
            first_gateway: if uses_subset { tenant * GATEWAY_STRIDE } else { 0 },
            profile: DemandProfile::draw(rng),
            in_spike: false,
            next_demand_change: 0.0,
            busiest_gateway: 0.0,
        }
    }

    fn add_arrivals(&mut self, rng: &mut SeededRng, arrivals: &mut Vec<Arrival>) {
        let mut at = rng.interarrival(self.rate);
        self.next_demand_change = rng.between(0.0, TIME_BETWEEN_SPIKES.end);
        self.busiest_gateway = rng.uniform();
        while at < DURATION {
            if at > self.next_demand_change {
                self.change_demand(at, rng);
            }
            arrivals.push(Arrival { at, tenant: self.tenant, gateway: self.draw_gateway(rng) });
            let surge = if self.scenario.surge.contains(&at) { SURGE_FACTOR } else { 1.0 };
            let demand = if self.in_spike { self.profile.spike } else { self.profile.normal };
            at += rng.interarrival(self.rate * surge * demand);
        }
    }

    fn change_demand(&mut self, now: Millis, rng: &mut SeededRng) {
        self.in_spike = !self.in_spike && self.profile.spike > 1.0;
        let span = if self.in_spike { SPIKE_DURATION } else { TIME_BETWEEN_SPIKES };
        self.next_demand_change = now + rng.between(span.start, span.end);
        self.busiest_gateway = rng.uniform();
    }

    /// Draws the gateway of a request. The distribution is uneven: the gateways next to the busiest one
    /// receive several times the mean number of requests.
    fn draw_gateway(&self, rng: &mut SeededRng) -> usize {
        let distance = rng.uniform().powi(2);
        let position = ((self.busiest_gateway + distance) * self.gateways) as usize % self.gateways as usize;
        (self.first_gateway + position) % self.scenario.gateways
    }
}
