//! Accounting of the units that a policy forwards within and beyond the quotas, and the reference policies
//! with which the fleet is compared.

use crate::scenario::{Arrival, PricedPlan, Scenario, DURATION};
use crate::simulation::SeededRng;
use rate_limiting_gateway::ids::Millis;
use rate_limiting_gateway::settings::Plan;
use std::collections::VecDeque;

/// Delay with which the delayed policy sees the levels of the quotas, ms.
const VIEW_DELAY: Millis = 500.0;

/// A tenant's token bucket with its true level.
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

    /// Takes a token if there is one; returns whether there was.
    fn take(&mut self, plan: &Plan, now: Millis) -> bool {
        self.refill(plan, now);
        let within = self.tokens >= 1.0;
        self.tokens -= if within { 1.0 } else { 0.0 };
        within
    }
}

/// Result of a policy, as shares of the value that the ideal policy forwards within the quotas.
#[derive(Clone, Copy, Debug)]
pub struct Score {
    /// Value of the requests forwarded within the quotas.
    pub within_quota: f64,
    /// Cost of the requests forwarded beyond the quotas, less the value that they earned.
    pub overage_cost: f64,
}

/// Records the requests that a policy forwards and rejects, against the true levels of the quotas.
pub struct QuotaAccounting<'a> {
    scenario: &'a Scenario,
    plan_indices: Vec<usize>,
    buckets: Vec<TokenBucket>,
    within_quota: f64,
    overage_cost: f64,
    /// Requests rejected while at least half of their quota was unused.
    rejected_with_unused_quota: usize,
}

impl<'a> QuotaAccounting<'a> {
    /// A new accounting, in which every token bucket is full.
    pub fn new(scenario: &'a Scenario) -> Self {
        let plan_indices = scenario.plan_indices();
        let full =
            |index: &usize| TokenBucket { tokens: scenario.plans[*index].plan.burst, refilled_at: 0.0 };
        QuotaAccounting {
            scenario,
            buckets: plan_indices.iter().map(full).collect(),
            plan_indices,
            within_quota: 0.0,
            overage_cost: 0.0,
            rejected_with_unused_quota: 0,
        }
    }

    /// A tenant's plan.
    pub fn plan_of(&self, tenant: usize) -> &'a PricedPlan {
        &self.scenario.plans[self.plan_indices[tenant]]
    }

    /// Whether a request of the tenant is within its quota now.
    fn has_token(&mut self, tenant: usize, now: Millis) -> bool {
        let plan = self.plan_of(tenant);
        self.buckets[tenant].refill(&plan.plan, now);
        self.buckets[tenant].tokens >= 1.0
    }

    /// Records a forwarded request.
    pub fn record_forwarded(&mut self, tenant: usize, now: Millis) {
        let priced = self.plan_of(tenant);
        let value = priced.plan.priority_multiplier;
        if self.buckets[tenant].take(&priced.plan, now) {
            self.within_quota += value;
        } else {
            self.overage_cost += value * (priced.overage_penalty - priced.overage_value);
        }
    }

    /// Records a rejected request.
    pub fn record_rejected(&mut self, tenant: usize, now: Millis) {
        let plan = self.plan_of(tenant);
        let bucket = &mut self.buckets[tenant];
        bucket.refill(&plan.plan, now);
        self.rejected_with_unused_quota += usize::from(bucket.tokens >= plan.plan.burst / 2.0);
    }

    /// The score of the policy, relative to the ideal policy.
    pub fn score(&self, ideal: &QuotaAccounting) -> Score {
        Score {
            within_quota: self.within_quota / ideal.within_quota,
            overage_cost: self.overage_cost / ideal.within_quota,
        }
    }

    /// Requests rejected while at least half of their quota was unused, as a share of `requests`.
    pub fn rejected_with_unused_quota(&self, requests: usize) -> f64 {
        self.rejected_with_unused_quota as f64 / requests as f64
    }
}

/// The ideal policy: one gateway that receives every request and so knows the true level of every quota.
pub fn ideal_policy<'a>(scenario: &'a Scenario, arrivals: &[Arrival]) -> QuotaAccounting<'a> {
    let mut accounting = QuotaAccounting::new(scenario);
    for arrival in arrivals {
        if accounting.has_token(arrival.tenant, arrival.at) {
            accounting.record_forwarded(arrival.tenant, arrival.at);
        }
    }
    accounting
}

/// A token bucket's level after a request.
#[derive(Clone, Copy)]
struct Level {
    at: Millis,
    tokens: f64,
}

/// The past levels of a tenant's bucket, from which a policy reads the level with a delay.
#[derive(Clone, Default)]
struct DelayedView(VecDeque<Level>);

impl DelayedView {
    /// The bucket's level [`VIEW_DELAY`] before `now`.
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

/// A policy that sees the level of every quota with a delay of [`VIEW_DELAY`]. It forwards a request if the
/// quota held one at that time, or if a request beyond the quota earns more than it costs.
pub fn delayed_policy<'a>(scenario: &'a Scenario, arrivals: &[Arrival]) -> QuotaAccounting<'a> {
    let mut accounting = QuotaAccounting::new(scenario);
    let mut views = vec![DelayedView::default(); accounting.buckets.len()];
    for Arrival { at, tenant, .. } in arrivals {
        let priced = accounting.plan_of(*tenant);
        let view = &mut views[*tenant];
        if view.tokens(&priced.plan, *at) >= 1.0 || priced.overage_pays() {
            accounting.record_forwarded(*tenant, *at);
            view.0.push_back(Level { at: *at, tokens: accounting.buckets[*tenant].tokens });
        }
    }
    accounting
}

/// The best result that the number of counter calls allows. A gateway that rarely receives a request of a
/// tenant needs a call to learn whether the request is within the quota, and forwards requests without a
/// call. This policy makes as many calls as the counter can serve, and each call returns the true level
/// immediately and needs no second call.
pub fn call_limited_policy<'a>(scenario: &'a Scenario, arrivals: &[Arrival]) -> QuotaAccounting<'a> {
    let mut accounting = QuotaAccounting::new(scenario);
    let mut rng = SeededRng::new(!scenario.seed);
    let calls_per_request = scenario.counter_calls_per_second * DURATION / 1000.0 / arrivals.len() as f64;
    for Arrival { at, tenant, .. } in arrivals {
        let has_token = accounting.has_token(*tenant, *at);
        if rng.uniform() >= calls_per_request || has_token {
            accounting.record_forwarded(*tenant, *at);
        }
    }
    accounting
}
