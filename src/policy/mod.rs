//! The decisions of one gateway. It does no I/O, reads no clock and draws random numbers from its own seed
//! only, so the same settings, seed and events always give the same actions.
//!
//! [`Gateway`] passes each event to the rule that it concerns. A request meets the rules in this order:
//! `request_lifecycle` (arrival to final answer), `admission` (quota, ceiling, attempts in flight), `queue`,
//! `concurrency_limit`, `endpoint_selection` with `endpoint_health` (outlier ejection) and `slow_start`, and
//! for a further attempt `retry_budget` and `hedging`. What the gateways know of each other's use of a quota
//! comes through the counter service: `counter_calls`, `counter_health`, and `batched_usage` or `low_traffic`
//! for each tenant.

mod admission;
mod batched_usage;
mod candidate_set;
mod ceiling;
mod concurrency_limit;
mod counter_calls;
mod counter_health;
mod counter_key;
mod endpoint_block;
mod endpoint_health;
mod endpoint_index;
mod endpoint_selection;
mod hedging;
mod low_traffic;
mod mean_latency;
mod queue;
mod random;
mod request;
mod request_lifecycle;
mod retry_budget;
mod send_rate;
mod sliding_window;
mod slow_start;
mod tally;
mod tenant;

pub use counter_health::counter_call_timeout;

use self::concurrency_limit::ConcurrencyLimit;
use self::counter_calls::CallOwner;
use self::counter_health::CounterHealth;
use self::endpoint_selection::EndpointSelector;
use self::request::InFlightRequest;
use self::retry_budget::RetryBudget;
use self::send_rate::SendRate;
use self::slow_start::SlowStart;
use self::tenant::Tenant;
use crate::action::Action;
use crate::event::{Endpoint, EndpointUpdate, Event};
use crate::ids::{CounterKey, Millis, RequestId, TenantId};
use crate::settings::Settings;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Period of the housekeeping timer, ms: short beside any latency objective.
const HOUSEKEEPING_INTERVAL: Millis = 20.0;
/// Tenants examined for eviction in one housekeeping: it takes no longer, however many there are.
const EVICTION_BATCH: usize = 32;
/// Mean response time of a class before the first one, as a share of its latency objective.
const INITIAL_LATENCY_DIVISOR: f64 = 5.0;

/// The decisions of one gateway and what they need to remember.
pub struct Gateway {
    settings: Settings,
    rng: Pcg64Mcg,
    /// When the first event came.
    started_at: Option<Millis>,
    selector: EndpointSelector,
    tenants: BTreeMap<TenantId, Tenant>,
    /// Tenants with something to tell the counter.
    unsynced: BTreeSet<TenantId>,
    /// Where the search for tenants to evict goes on.
    eviction_cursor: TenantId,
    /// Counter calls in flight.
    counter_calls: BTreeMap<CounterKey, CallOwner>,
    counter_health: CounterHealth,
    requests: BTreeMap<RequestId, InFlightRequest>,
    /// Requests that wait to be forwarded.
    queue: BTreeSet<RequestId>,
    /// Mean response time of each class, ms.
    class_latency: Vec<Millis>,
    concurrency: ConcurrencyLimit,
    retry_budget: RetryBudget,
    send_rate: SendRate,
    /// What the present event wants done.
    actions: Vec<Action>,
}

impl Gateway {
    /// A gateway that knows nothing yet but its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let salt = rng.next_u64();
        let initial_latency =
            settings.classes.iter().map(|class| class.latency_objective / INITIAL_LATENCY_DIVISOR);
        Gateway {
            class_latency: initial_latency.collect(),
            selector: EndpointSelector::new(salt, SlowStart::new(&settings)),
            counter_health: CounterHealth::new(settings.counter_timeout),
            settings,
            rng,
            started_at: None,
            tenants: BTreeMap::new(),
            unsynced: BTreeSet::new(),
            eviction_cursor: TenantId(0),
            counter_calls: BTreeMap::new(),
            requests: BTreeMap::new(),
            queue: BTreeSet::new(),
            concurrency: ConcurrencyLimit::default(),
            retry_budget: RetryBudget::new(),
            send_rate: SendRate::default(),
            actions: Vec::new(),
        }
    }

    /// Tenants of which something is remembered.
    pub fn tenant_count(&self) -> usize {
        self.tenants.len()
    }

    /// Servers, and blocks of up to 64 of them, that selections of a server have looked at so far.
    pub fn endpoints_examined(&self) -> u64 {
        self.selector.endpoints_examined()
    }

    /// Takes in one event at `now`, ms, and appends what is to be done. Times must not run backwards.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        if self.started_at.is_none() {
            self.start(now);
        }
        match event {
            Event::EndpointsChanged { update, entries } => self.endpoints_changed(now, update, entries),
            Event::Request(request) => self.request_arrived(now, request),
            Event::AttemptEnded { id, attempt, server, outcome, complete, elapsed } => {
                self.selector.record_outcome(now, server, outcome, elapsed);
                self.attempt_ended(now, id, attempt, outcome, complete);
            }
            Event::ResponseStarted { id, .. } => self.response_started(id),
            Event::ClientDisconnected(id) => self.complete(now, id),
            Event::Timer(_) => self.run_housekeeping(now),
            // No health check is ever asked for.
            Event::HealthChecked { .. } => {}
            Event::CounterReplied { key, outcome, elapsed, total } => {
                self.counter_replied(now, key, outcome, elapsed, total);
            }
        }
        self.serve_queue(now);
        actions.append(&mut self.actions);
    }

    fn start(&mut self, now: Millis) {
        self.started_at = Some(now);
        self.schedule_housekeeping();
        if self.settings.poll_endpoints {
            self.actions.push(Action::WatchEndpoints);
        }
    }

    fn schedule_housekeeping(&mut self) {
        self.actions.push(Action::Timer { after: HOUSEKEEPING_INTERVAL, token: 0 });
    }

    fn run_housekeeping(&mut self, now: Millis) {
        self.schedule_housekeeping();
        self.evict_idle_tenants(now);
        for tenant in self.unsynced.iter().copied().collect::<Vec<_>>() {
            self.sync_counter(now, tenant);
        }
        self.send_hedged_requests(now);
    }

    /// Forgets tenants that have not come for long, a batch at a time.
    fn evict_idle_tenants(&mut self, now: Millis) {
        let batch = self.tenants.range(self.eviction_cursor..).take(EVICTION_BATCH);
        let batch: Vec<TenantId> = batch.map(|(id, _)| *id).collect();
        let reached_end = batch.len() < EVICTION_BATCH;
        self.eviction_cursor = match batch.last() {
            Some(last) if !reached_end => TenantId(last.0 + 1),
            _ => TenantId(0),
        };
        for id in batch {
            if self.tenants.get(&id).is_some_and(|tenant| tenant.is_evictable(now)) {
                self.tenants.remove(&id);
                self.unsynced.remove(&id);
            }
        }
    }

    fn endpoints_changed(&mut self, now: Millis, update: EndpointUpdate, entries: Vec<Endpoint>) {
        if update == EndpointUpdate::Failed {
            self.actions.push(Action::WatchEndpoints);
            return;
        }
        self.selector.apply_endpoints(now, update, entries);
        self.initialize_concurrency_limit();
    }

    fn response_started(&mut self, id: RequestId) {
        if let Some(in_flight) = self.requests.get_mut(&id) {
            in_flight.streaming = true;
        }
    }
}
