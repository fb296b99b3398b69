//! Selects the server of an attempt: the candidate with the lowest cost. The cost depends on the server's
//! mean response time, its attempts in flight and its progress in slow start. The gateway compares all
//! candidates, or, if it uses only a subset of the servers, two random members of the subset (power of two
//! choices).
//!
//! With many servers and little traffic, a gateway that used all servers would get results from each of them
//! too rarely to judge the server's health. The gateway then uses a subset, the first eligible servers in an
//! order of its own, so that each member gets requests often enough. Comparing only two random members
//! prevents all gateways from choosing the same server at the same time. The drawback is that servers get
//! uneven shares of the traffic.

use super::candidate_set::{Candidate, CandidateSet};
use super::endpoint_block::{bit_indices, bits_below, Locality};
use super::endpoint_index::{EndpointIndex, EndpointPosition};
use super::mean_latency::MeanLatency;
use super::random::{uniform, IndexedDraws};
use super::request::TrackedRequest;
use super::slow_start::SlowStart;
use crate::event::{Endpoint, EndpointState, EndpointUpdate, Outcome};
use crate::ids::{Millis, ServerId};
use crate::settings::{DeduplicationScope, Idempotency};
use rand_pcg::Pcg64Mcg;

/// Time, in ms, from which the size of the subset is calculated: the number of first attempts that the
/// gateway sends in this time at its mean rate, but at least [`MIN_SUBSET_SIZE`]. Above this minimum, each
/// member gets a request every few seconds, however many servers there are.
const SUBSET_TRAFFIC_WINDOW: Millis = 3000.0;
/// Minimum number of servers in the subset.
const MIN_SUBSET_SIZE: f64 = 8.0;
/// Weight of a new response time in the moving average over all servers.
const OVERALL_LATENCY_GAIN: f64 = 0.02;
/// Lower bound, in ms, of the mean response time over all servers in the calculation of costs.
const MIN_OVERALL_LATENCY: Millis = 1.0;
/// Time constant, in ms, of an exponential decay: while a server gets no new samples, the latency in its cost
/// returns from the server's own mean to the mean over all servers.
const LATENCY_DECAY_TIME: Millis = 4000.0;
/// Factor on [`LATENCY_DECAY_TIME`] if the gateway uses a subset, since samples are rarer then.
const SUBSET_DECAY_FACTOR: f64 = 3.0;
/// Maximum share of a cost that is added at random, so that servers of equal cost share the traffic.
const COST_JITTER: f64 = 0.1;
/// Factor on the lower bound of a cost, so that a rounding error does not exclude the cheapest server.
const ROUNDING_MARGIN: f64 = 0.999;

/// The servers to which the next attempt of a request may be sent, given the idempotency of its class.
#[derive(Clone, Copy)]
enum AllowedServers {
    All,
    /// The servers that share idempotency keys with the first server that may have executed the request.
    SameLocality(Locality),
    None,
}

/// The server with the lowest cost so far; the cost is infinite while there is no server.
#[derive(Clone, Copy)]
struct CheapestServer {
    cost: f64,
    server: Option<ServerId>,
}

/// Tracks all listed servers and selects the server of each attempt.
pub(super) struct EndpointSelector {
    index: EndpointIndex,
    slow_start: SlowStart,
    /// Mean response time of successful attempts to all servers.
    mean_latency: MeanLatency,
    /// Whether the last selection used only a subset of the servers.
    subset_active: bool,
    /// The candidates of the last selection, kept to reuse the allocation.
    candidates: CandidateSet,
    endpoints_examined: u64,
}

impl EndpointSelector {
    /// A selector without servers. `salt` gives each gateway a different order of servers.
    pub(super) fn new(salt: u64, slow_start: SlowStart) -> Self {
        EndpointSelector {
            index: EndpointIndex::new(salt),
            slow_start,
            mean_latency: MeanLatency::default(),
            subset_active: false,
            candidates: CandidateSet::default(),
            endpoints_examined: 0,
        }
    }

    /// Number of listed servers.
    pub(super) fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether the last selection used only a subset of the servers.
    pub(super) fn subset_active(&self) -> bool {
        self.subset_active
    }

    /// Total number of servers and of blocks (up to 64 servers each) that all selections so far have
    /// examined. In each selection, a server is counted once when slow start is checked and once when its
    /// cost is calculated.
    pub(super) fn endpoints_examined(&self) -> u64 {
        self.endpoints_examined
    }

    // ---- List updates and attempt results -----------------------------------------------------

    /// Applies an update of the endpoint list.
    pub(super) fn apply_endpoints(&mut self, now: Millis, update: EndpointUpdate, entries: Vec<Endpoint>) {
        let complete = update != EndpointUpdate::Incremental;
        if complete {
            self.index.begin_complete_list();
        }
        for endpoint in entries {
            if endpoint.state == EndpointState::Removed {
                self.index.remove(endpoint.server);
                continue;
            }
            let position = self.index.find_or_insert(endpoint.server);
            self.index.at_mut(position).update(now, endpoint, self.mean_latency);
            self.index.update_localities(position);
            self.refresh_health(now, position);
        }
        if complete {
            self.index.remove_unlisted();
        }
    }

    /// Updates the health of a server in the index, and the next time at which that health may change without
    /// an event.
    fn refresh_health(&mut self, now: Millis, position: EndpointPosition) {
        let (health, next_transition) = self.index.at(position).health(now, &self.slow_start);
        self.index.set_health(position, health, next_transition);
    }

    /// Records that an attempt was sent to a server.
    pub(super) fn record_forwarded(&mut self, now: Millis, server: ServerId) {
        let Some(position) = self.index.find(server) else { return };
        self.index.at_mut(position).attempt_started();
        self.refresh_health(now, position);
    }

    /// Records how an attempt ended after `elapsed` ms, which may change the health of its server.
    pub(super) fn record_outcome(
        &mut self,
        now: Millis,
        server: ServerId,
        outcome: Outcome,
        elapsed: Millis,
    ) {
        let Some(position) = self.index.find(server) else { return };
        self.index.at_mut(position).record_outcome(now, outcome, elapsed, self.subset_active);
        if outcome == Outcome::Ok {
            self.mean_latency.record(elapsed, OVERALL_LATENCY_GAIN);
        }
        self.refresh_health(now, position);
    }

    // ---- Selection ----------------------------------------------------------------------------

    /// Selects the server for the next attempt of the request, or `None` if no server may get the attempt
    /// now. `send_rate` is this gateway's rate of first attempts, per millisecond.
    pub(super) fn select(
        &mut self,
        now: Millis,
        request: &TrackedRequest,
        send_rate: f64,
        rng: &mut Pcg64Mcg,
    ) -> Option<ServerId> {
        for position in self.index.take_due_transitions(now) {
            self.refresh_health(now, position);
        }
        let subset_size = (send_rate * SUBSET_TRAFFIC_WINDOW).max(MIN_SUBSET_SIZE);
        self.subset_active = subset_size < self.index.ready_count() as f64;
        let max_size = if self.subset_active { subset_size.ceil() as usize } else { usize::MAX };
        let candidates = self.collect_candidates(now, request, max_size, send_rate);
        // Each scanned server has a draw, indexed by the server's rank, even if its cost is not compared.
        let mut draws = IndexedDraws::new(rng.clone());
        rng.advance(candidates.servers_scanned() as u128);
        let mut cheapest = CheapestServer { cost: f64::INFINITY, server: None };
        if self.subset_active && candidates.len() > 2 {
            for index in two_random_indices(candidates.len(), rng) {
                let Some(candidate) = candidates.nth(index) else { continue };
                self.update_cheapest(now, candidate, &mut draws, &mut cheapest);
            }
        } else {
            for candidate in candidates.iter() {
                self.update_cheapest(now, candidate, &mut draws, &mut cheapest);
            }
        }
        self.candidates = candidates;
        cheapest.server
    }

    /// The servers to which the next attempt may be sent, given the idempotency of the request's class. All
    /// servers are allowed if it is certain that no server has executed the request.
    fn allowed_servers(&self, request: &TrackedRequest) -> AllowedServers {
        let Some(first) = request.first_possibly_executed_attempt() else { return AllowedServers::All };
        let first_endpoint = self.index.get(first.server).map(|tracked| &tracked.endpoint);
        let locality = match request.class.idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. } => {
                return AllowedServers::All;
            }
            Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, .. } => {
                first_endpoint.map(|endpoint| Locality::Zone(endpoint.zone))
            }
            Idempotency::IdempotencyKey { scope: DeduplicationScope::Cell, .. } => {
                first_endpoint.map(|endpoint| Locality::Cell(endpoint.cell))
            }
            Idempotency::NonIdempotent => None,
        };
        locality.map_or(AllowedServers::None, AllowedServers::SameLocality)
    }

    /// The servers to exclude because they have received an attempt of the request. If at most one server is
    /// ready, a server is excluded only while the request has an attempt in flight to it, so that a retry can
    /// use the same server again.
    fn excluded_servers(&self, request: &TrackedRequest) -> Vec<EndpointPosition> {
        let others_ready = self.index.ready_count() > 1;
        let excluded = request.attempts.iter().filter(|attempt| attempt.in_flight || others_ready);
        excluded.filter_map(|attempt| self.index.find(attempt.server)).collect()
    }

    /// The first servers in the gateway's order that the next attempt of the request may be sent to, at most
    /// `max_size` of them.
    fn collect_candidates(
        &mut self,
        now: Millis,
        request: &TrackedRequest,
        max_size: usize,
        send_rate: f64,
    ) -> CandidateSet {
        let allowed = self.allowed_servers(request);
        let excluded = self.excluded_servers(request);
        let rate_per_server = send_rate / self.index.warm_count().max(1) as f64;
        // Ejection applies while there are at least half as many healthy servers as ready ones. Otherwise the
        // failures are assumed to have a common cause, and of the unhealthy servers only the unreachable ones
        // are excluded.
        let ejection_active = 2 * self.index.healthy_count() >= self.index.ready_count();
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.reset(max_size);
        for block_index in 0..self.index.blocks.len() {
            if candidates.remaining_capacity() == 0 {
                break;
            }
            self.endpoints_examined += 1;
            let block = &self.index.blocks[block_index];
            let mut slot_mask = block.available | if ejection_active { 0 } else { block.unhealthy_reachable };
            for position in excluded.iter().filter(|position| position.block == block_index) {
                slot_mask &= !(1 << position.slot);
            }
            slot_mask &= match allowed {
                AllowedServers::All => u64::MAX,
                AllowedServers::SameLocality(locality) => block.locality_slot_mask(locality),
                AllowedServers::None => 0,
            };
            let block_len = block.slots.len();
            let slot_mask = self.exclude_slow_start_limited_servers(
                now,
                block_index,
                slot_mask,
                candidates.remaining_capacity(),
                rate_per_server,
            );
            candidates.add(block_index, slot_mask, block_len);
        }
        candidates
    }

    /// Removes from `slot_mask` the servers to which slow start allows no attempt now. The check stops as
    /// soon as the first `needed` servers are known, because the caller uses no more than these.
    fn exclude_slow_start_limited_servers(
        &mut self,
        now: Millis,
        block: usize,
        mut slot_mask: u64,
        needed: usize,
        rate_per_server: f64,
    ) -> u64 {
        for slot in bit_indices(slot_mask & self.index.blocks[block].slow_starting) {
            if (slot_mask & bits_below(slot)).count_ones() as usize >= needed {
                break;
            }
            self.endpoints_examined += 1;
            if !self.refill_slow_start_tokens(now, EndpointPosition { block, slot }, rate_per_server) {
                slot_mask &= !(1 << slot);
            }
        }
        slot_mask
    }

    /// Refills the slow start tokens of the server at `position` if the server has not reached its full
    /// capacity, and returns whether slow start allows an attempt now.
    fn refill_slow_start_tokens(
        &mut self,
        now: Millis,
        position: EndpointPosition,
        rate_per_server: f64,
    ) -> bool {
        let tracked = self.index.at_mut(position);
        let capacity_fraction = self.slow_start.capacity_fraction(now, tracked.endpoint.started_at);
        capacity_fraction >= 1.0 || tracked.slow_start_tokens.refill(now, capacity_fraction, rate_per_server)
    }

    /// Replaces `cheapest` with the candidate if the candidate has a lower cost. The cost depends on the
    /// server's response time, its attempts in flight, the share of its full capacity that it has reached in
    /// slow start, and a random jitter.
    fn update_cheapest(
        &mut self,
        now: Millis,
        candidate: Candidate,
        draws: &mut IndexedDraws,
        cheapest: &mut CheapestServer,
    ) {
        self.endpoints_examined += 1;
        let tracked = self.index.at(candidate.position);
        let jitter = 1.0 + COST_JITTER * draws.at(candidate.rank);
        let capacity_fraction = self.slow_start.capacity_fraction(now, tracked.endpoint.started_at);
        let cost =
            |latency: Millis| latency * (1.0 + tracked.attempts_in_flight()) * jitter / capacity_fraction;
        let overall_latency = self.mean_latency.get().unwrap_or(0.0).max(MIN_OVERALL_LATENCY);
        let server_latency = tracked.mean_latency().unwrap_or(overall_latency);
        // The latency in the cost lies between the server's own mean and the mean over all servers. For most
        // candidates, even the lower of the two gives too high a cost, so the decay need not be computed.
        if cost(server_latency.min(overall_latency)) * ROUNDING_MARGIN > cheapest.cost {
            return;
        }
        let decay_factor = if self.subset_active { SUBSET_DECAY_FACTOR } else { 1.0 };
        let sample_weight = (-tracked.sample_age(now) / (LATENCY_DECAY_TIME * decay_factor)).exp();
        let cost = cost(overall_latency + (server_latency - overall_latency) * sample_weight);
        if cheapest.server.is_none() || cost < cheapest.cost {
            *cheapest = CheapestServer { cost, server: Some(tracked.endpoint.server) };
        }
    }
}

/// Draws two different indices below `len`, which must be at least 2.
fn two_random_indices(len: usize, rng: &mut Pcg64Mcg) -> [usize; 2] {
    let first = (uniform(rng) * len as f64) as usize;
    let other = (first + 1 + (uniform(rng) * (len - 1) as f64) as usize) % len;
    [first, other]
}
