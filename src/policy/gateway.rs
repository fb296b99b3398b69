//! The gateway: its state, and the rule that each event goes to.

use super::concurrency_limit::ConcurrencyLimit;
use super::counter_health::CounterHealth;
use super::counter_key::KeyOwner;
use super::endpoint_selection::EndpointSelector;
use super::housekeeping::{EvictionCursor, HOUSEKEEPING_INTERVAL};
use super::request::TrackedRequest;
use super::retry_budget::RetryBudget;
use super::send_rate::SendRate;
use super::slow_start::SlowStart;
use super::tenant::Tenant;
use crate::action::Action;
use crate::event::{Endpoint, EndpointUpdate, Event};
use crate::ids::{CounterKey, Millis, RequestId, TenantId};
use crate::settings::Settings;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// The latency objective over this stands for the mean response time of a class before the first response.
const INITIAL_LATENCY_DIVISOR: f64 = 5.0;

/// The decisions of one gateway and what they need to remember.
pub struct Gateway {
    pub(super) settings: Settings,
    pub(super) rng: Pcg64Mcg,
    /// When the first event came.
    pub(super) started_at: Option<Millis>,
    pub(super) selector: EndpointSelector,
    pub(super) tenants: BTreeMap<TenantId, Tenant>,
    /// Tenants that may have something to tell the counter; housekeeping looks at each.
    pub(super) unsynced: BTreeSet<TenantId>,
    pub(super) eviction: EvictionCursor,
    /// Counter calls in flight.
    pub(super) counter_calls: BTreeMap<CounterKey, KeyOwner>,
    pub(super) counter_health: CounterHealth,
    pub(super) requests: BTreeMap<RequestId, TrackedRequest>,
    /// Requests that wait to be forwarded.
    pub(super) queue: BTreeSet<RequestId>,
    /// Mean response time of each class, ms.
    pub(super) class_latency: Vec<Millis>,
    pub(super) concurrency: ConcurrencyLimit,
    pub(super) retry_budget: RetryBudget,
    pub(super) send_rate: SendRate,
    /// What the present event wants done.
    pub(super) actions: Vec<Action>,
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
            eviction: EvictionCursor::default(),
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
            Event::ClientDisconnected(id) => self.finish(now, id),
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
        self.eviction.evict_idle(now, &mut self.tenants, &mut self.unsynced);
        for tenant in self.unsynced.iter().copied().collect::<Vec<_>>() {
            self.sync_counter(now, tenant);
        }
        self.send_hedged_requests(now);
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
