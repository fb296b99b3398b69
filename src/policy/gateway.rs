//! The state of a gateway, and the routing of each event to the code that handles it.

use super::class_latency::ClassLatency;
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

/// The initial mean response time of a class is the class's latency objective divided by this value.
const INITIAL_LATENCY_DIVISOR: f64 = 5.0;

/// Makes the decisions of one gateway and holds the state that the decisions need.
pub struct Gateway {
    pub(super) settings: Settings,
    pub(super) rng: Pcg64Mcg,
    /// Time of the first event; `None` before that event.
    pub(super) started_at: Option<Millis>,
    pub(super) selector: EndpointSelector,
    pub(super) tenants: BTreeMap<TenantId, Tenant>,
    /// Maximum number of tenants that the gateway keeps state for.
    max_tenants: usize,
    /// Tenants that may have units to send to the counter. Each housekeeping run checks all of them.
    pub(super) unsynced_tenants: BTreeSet<TenantId>,
    pub(super) eviction_cursor: EvictionCursor,
    /// Tenant and disposition of each counter key that has calls in flight.
    pub(super) counter_calls: BTreeMap<CounterKey, KeyOwner>,
    pub(super) counter_health: CounterHealth,
    pub(super) requests: BTreeMap<RequestId, TrackedRequest>,
    /// Requests that are waiting to be forwarded.
    pub(super) queue: BTreeSet<RequestId>,
    /// Mean response time of each class, indexed by [`ClassId`](crate::ids::ClassId).
    pub(super) class_latency: Vec<ClassLatency>,
    pub(super) concurrency: ConcurrencyLimit,
    pub(super) retry_budget: RetryBudget,
    pub(super) send_rate: SendRate,
    /// Actions that follow from the current event.
    pub(super) actions: Vec<Action>,
}

impl Gateway {
    /// Creates a gateway that knows no servers and no tenants yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let salt = rng.next_u64();
        let initial_latency =
            settings.classes.iter().map(|class| class.latency_objective / INITIAL_LATENCY_DIVISOR);
        Gateway {
            class_latency: initial_latency.map(ClassLatency::new).collect(),
            selector: EndpointSelector::new(salt, SlowStart::new(&settings)),
            counter_health: CounterHealth::new(settings.counter_timeout),
            settings,
            rng,
            started_at: None,
            tenants: BTreeMap::new(),
            max_tenants: usize::MAX,
            unsynced_tenants: BTreeSet::new(),
            eviction_cursor: EvictionCursor::default(),
            counter_calls: BTreeMap::new(),
            requests: BTreeMap::new(),
            queue: BTreeSet::new(),
            concurrency: ConcurrencyLimit::default(),
            retry_budget: RetryBudget::new(),
            send_rate: SendRate::default(),
            actions: Vec::new(),
        }
    }

    /// Limits the number of tenants that the gateway keeps state for. When it is reached, the gateway evicts
    /// tenants whose state matters least, and rejects requests of new tenants if there are none. Without this
    /// call the number is not limited.
    pub fn with_max_tenants(mut self, max_tenants: usize) -> Self {
        self.max_tenants = max_tenants;
        self
    }

    /// Number of tenants that the gateway keeps state for.
    pub fn tenant_count(&self) -> usize {
        self.tenants.len()
    }

    /// Total number of servers and of blocks (up to 64 servers each) that all server selections so far have
    /// examined. In each selection, a server is counted once when slow start is checked and once when its
    /// cost is calculated.
    pub fn endpoints_examined(&self) -> u64 {
        self.selector.endpoints_examined()
    }

    /// Handles one event that happens at `now`, ms, and appends the resulting actions. On its first event,
    /// the gateway also schedules housekeeping and, if `poll_endpoints` is set, asks for the endpoint list.
    /// `now` must not be earlier than for the previous event.
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
            // The gateway never asks for health checks.
            Event::HealthChecked { .. } => {}
            Event::CounterReplied { key, outcome, elapsed, total } => {
                self.counter_replied(now, key, outcome, elapsed, total);
            }
        }
        self.process_queue(now);
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
        self.evict_tenants(|tenant| tenant.is_evictable(now));
        for tenant in self.unsynced_tenants.iter().copied().collect::<Vec<_>>() {
            self.sync_counter(now, tenant);
        }
        self.send_hedged_requests(now);
    }

    /// Evicts the tenants of the next eviction batch for which `is_evictable` returns true.
    fn evict_tenants(&mut self, is_evictable: impl Fn(&Tenant) -> bool) {
        self.eviction_cursor.evict(&mut self.tenants, &mut self.unsynced_tenants, is_evictable);
    }

    /// Whether there is room for the state of another tenant. If the maximum number is reached, this evicts
    /// tenants whose state has no effect on what their plans allow.
    pub(super) fn make_room_for_tenant(&mut self, now: Millis) -> bool {
        if self.tenants.len() >= self.max_tenants {
            self.evict_tenants(|tenant| tenant.is_replaceable(now));
        }
        self.tenants.len() < self.max_tenants
    }

    fn endpoints_changed(&mut self, now: Millis, update: EndpointUpdate, entries: Vec<Endpoint>) {
        if update == EndpointUpdate::Failed {
            self.actions.push(Action::WatchEndpoints);
            return;
        }
        self.selector.apply_endpoints(now, update, entries);
        self.update_concurrency_bounds();
    }

    fn response_started(&mut self, id: RequestId) {
        if let Some(tracked) = self.requests.get_mut(&id) {
            tracked.response_started = true;
        }
    }
}
