//! What a policy forwards within and beyond the quotas, and the policies that the fleet is compared with.

use crate::simulation::SeededRng;
use crate::world::{Arrival, PricedPlan, World, DURATION};
use rate_limiting_gateway::ids::Millis;
use rate_limiting_gateway::settings::Plan;
use std::collections::VecDeque;

/// How late the delayed policy sees the quotas, ms.
const VIEW_DELAY: Millis = 500.0;

/// The true token bucket of a tenant.
#[derive(Clone)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    fn refill(&mut self, plan: &Plan, now: Millis) {
        self.tokens = (self.tokens + (now - self.refilled_at) * plan.rate / 1000.0).min(plan.burst);
        self.refilled_at = now;
    }

    /// Takes a token if there is one.
    fn take(&mut self, plan: &Plan, now: Millis) -> bool {
        self.refill(plan, now);
        let within = self.tokens >= 1.0;
        self.tokens -= if within { 1.0 } else { 0.0 };
        within
    }
}

/// What came of a policy, as shares of the value requested within the quotas.
#[derive(Clone, Copy, Debug)]
pub struct Account {
    /// Value of what was forwarded within the quotas.
    pub within_quota: f64,
    /// Cost of what was forwarded beyond them, less what it earned.
    pub overage_cost: f64,
}

/// Records what a policy forwards and rejects.
pub struct Ledger<'a> {
    world: &'a World,
    plan_indices: Vec<usize>,
    buckets: Vec<TokenBucket>,
    within_quota: f64,
    overage_cost: f64,
    /// Requests rejected while at least half of their quota was unused.
    rejected_with_capacity: usize,
}

impl<'a> Ledger<'a> {
    /// A ledger of full buckets.
    pub fn new(world: &'a World) -> Self {
        let plan_indices = world.plan_indices();
        let full = |index: &usize| TokenBucket { tokens: world.plans[*index].plan.burst, refilled_at: 0.0 };
        Ledger {
            world,
            buckets: plan_indices.iter().map(full).collect(),
            plan_indices,
            within_quota: 0.0,
            overage_cost: 0.0,
            rejected_with_capacity: 0,
        }
    }

    /// A tenant's plan.
    pub fn plan_of(&self, tenant: usize) -> &'a PricedPlan {
        &self.world.plans[self.plan_indices[tenant]]
    }

    /// Whether a tenant's quota holds a request now.
    fn has_token(&mut self, tenant: usize, now: Millis) -> bool {
        let plan = self.plan_of(tenant);
        self.buckets[tenant].refill(&plan.plan, now);
        self.buckets[tenant].tokens >= 1.0
    }

    /// Records a forwarded request.
    pub fn forward(&mut self, tenant: usize, now: Millis) {
        let priced = self.plan_of(tenant);
        let value = priced.plan.priority_multiplier;
        if self.buckets[tenant].take(&priced.plan, now) {
            self.within_quota += value;
        } else {
            self.overage_cost += value * (priced.overage_penalty - priced.overage_value);
        }
    }

    /// Records a rejected request.
    pub fn reject(&mut self, tenant: usize, now: Millis) {
        let plan = self.plan_of(tenant);
        let bucket = &mut self.buckets[tenant];
        bucket.refill(&plan.plan, now);
        self.rejected_with_capacity += usize::from(bucket.tokens >= plan.plan.burst / 2.0);
    }

    /// What came of the policy beside one that saw all quotas at once.
    pub fn account(&self, ideal: &Ledger) -> Account {
        Account {
            within_quota: self.within_quota / ideal.within_quota,
            overage_cost: self.overage_cost / ideal.within_quota,
        }
    }

    /// Requests rejected while at least half of their quota was unused, as a share of all.
    pub fn rejected_with_capacity(&self, requests: usize) -> f64 {
        self.rejected_with_capacity as f64 / requests as f64
    }
}

/// What one gateway would forward that sees every request at once.
pub fn ideal_policy<'a>(world: &'a World, arrivals: &[Arrival]) -> Ledger<'a> {
    let mut ledger = Ledger::new(world);
    for arrival in arrivals {
        if ledger.has_token(arrival.tenant, arrival.at) {
            ledger.forward(arrival.tenant, arrival.at);
        }
    }
    ledger
}

/// A token bucket's level after a request.
#[derive(Clone, Copy)]
struct Level {
    at: Millis,
    tokens: f64,
}

/// The past levels of a tenant's bucket, as a policy sees them that is told late.
#[derive(Clone, Default)]
struct DelayedView(VecDeque<Level>);

impl DelayedView {
    /// The level as it was `VIEW_DELAY` ago.
    fn tokens(&mut self, plan: &Plan, now: Millis) -> f64 {
        let seen_at = now - VIEW_DELAY;
        while self.0.get(1).is_some_and(|level| level.at <= seen_at) {
            self.0.pop_front();
        }
        match self.0.front().filter(|level| level.at <= seen_at) {
            Some(level) => {
                (level.tokens + (now - VIEW_DELAY - level.at) * plan.rate / 1000.0).min(plan.burst)
            }
            None => plan.burst,
        }
    }
}

/// A policy that sees every quota as it was a moment ago, and forwards what the quota held then, or what
/// earns more beyond a quota than it costs.
pub fn delayed_policy<'a>(world: &'a World, arrivals: &[Arrival]) -> Ledger<'a> {
    let mut ledger = Ledger::new(world);
    let mut views = vec![DelayedView::default(); ledger.buckets.len()];
    for Arrival { at, tenant, .. } in arrivals {
        let priced = ledger.plan_of(*tenant);
        let view = &mut views[*tenant];
        if view.tokens(&priced.plan, *at) >= 1.0 || priced.overage_pays() {
            ledger.forward(*tenant, *at);
            view.0.push_back(Level { at: *at, tokens: ledger.buckets[*tenant].tokens });
        }
    }
    ledger
}

/// The bound from information: a gateway that sees a tenant too rarely to remember it learns by a call
/// whether the quota holds one request, and forwards what has no call. Here each call gives the true level at
/// once and costs no second one, for as many requests as the counter can serve.
pub fn call_bound_policy<'a>(world: &'a World, arrivals: &[Arrival]) -> Ledger<'a> {
    let mut ledger = Ledger::new(world);
    let mut rng = SeededRng::new(!world.seed);
    let calls_per_request = world.counter_calls_per_second * DURATION / 1000.0 / arrivals.len() as f64;
    for Arrival { at, tenant, .. } in arrivals {
        let has_token = ledger.has_token(*tenant, *at);
        if rng.uniform() >= calls_per_request || has_token {
            ledger.forward(*tenant, *at);
        }
    }
    ledger
}
