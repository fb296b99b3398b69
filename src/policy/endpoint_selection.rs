//! The server that an attempt goes to: the cheapest by peak-sensitive response time and attempts in flight,
//! of all servers, or of two at random (power of two choices) where this gateway keeps to a subset.
//!
//! Guards of the subset: with many servers and little traffic, evidence of each comes too rarely to act on. A
//! subset in an order of this gateway's own is met often enough, and of two members compared at random not
//! all gateways take the same server at once. The cost is uneven shares.

use super::candidate_set::{Candidate, CandidateSet};
use super::endpoint_block::{bits_below, positions_of, Locality};
use super::endpoint_index::{EndpointIndex, EndpointPosition};
use super::mean_latency::MeanLatency;
use super::random::{uniform, IndexedDraws};
use super::request::InFlightRequest;
use super::slow_start::SlowStart;
use crate::event::{Endpoint, EndpointState, EndpointUpdate, Outcome};
use crate::ids::{Millis, ServerId};
use crate::settings::{DeduplicationScope, Idempotency};
use rand_pcg::Pcg64Mcg;

/// A gateway keeps to as many servers as it sends first attempts in this time, ms: it hears of each every few
/// seconds, however many there are ...
const SUBSET_SPAN: Millis = 3000.0;
/// ... and to this many at least.
const MIN_SUBSET_SIZE: f64 = 8.0;
/// Gain of a response time in the mean of all servers.
const FLEET_LATENCY_GAIN: f64 = 0.02;
/// Least mean response time of all servers that costs are computed with, ms.
const MIN_FLEET_LATENCY: Millis = 1.0;
/// Time constant with which a server that is not heard of drifts back to the mean of all servers, ms.
const LATENCY_DECAY: Millis = 4000.0;
/// The drift is this many times slower with a subset, as samples are rarer.
const SUBSET_DECAY_FACTOR: f64 = 3.0;
/// Share by which costs are varied at random, so that equal servers are taken in turn.
const COST_JITTER: f64 = 0.1;
/// Leaves room for rounding where a cost is bounded from below.
const ROUNDING_MARGIN: f64 = 0.999;

/// Which servers a further attempt may go to.
#[derive(Clone, Copy)]
enum AllowedServers {
    All,
    /// Those that share the idempotency keys of the server that may have executed the request.
    SameLocality(Locality),
    None,
}

/// The cheapest server so far.
#[derive(Clone, Copy)]
struct Cheapest {
    cost: f64,
    server: Option<ServerId>,
}

/// All servers, and the choice among them.
pub(super) struct EndpointSelector {
    index: EndpointIndex,
    slow_start: SlowStart,
    /// Mean response time of all servers.
    mean_latency: MeanLatency,
    /// This gateway keeps to a subset of the servers.
    subset_active: bool,
    /// The last set of candidates, kept for its memory.
    candidates: CandidateSet,
    endpoints_examined: u64,
}

impl EndpointSelector {
    /// Knows no server; `salt` gives the gateway an order of servers of its own.
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

    /// Servers of the list.
    pub(super) fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether the last selection kept to a subset of the servers.
    pub(super) fn subset_active(&self) -> bool {
        self.subset_active
    }

    /// Servers, and blocks of up to 64 of them, that selections have looked at so far.
    pub(super) fn endpoints_examined(&self) -> u64 {
        self.endpoints_examined
    }

    // ---- List and evidence --------------------------------------------------------------------

    /// Takes in news of the list.
    pub(super) fn apply_endpoints(&mut self, now: Millis, update: EndpointUpdate, entries: Vec<Endpoint>) {
        let complete = update != EndpointUpdate::Incremental;
        if complete {
            self.index.begin_list();
        }
        for endpoint in entries {
            if endpoint.state == EndpointState::Removed {
                self.index.remove(endpoint.server);
                continue;
            }
            let position = self.index.enter(endpoint.server);
            self.index.at_mut(position).update(now, endpoint, self.mean_latency);
            self.index.update_localities(position);
            self.refresh_health(now, position);
        }
        if complete {
            self.index.remove_unlisted();
        }
    }

    /// Counts a server by what is known of it now, until time alone changes that.
    fn refresh_health(&mut self, now: Millis, position: EndpointPosition) {
        let (health, until) = self.index.at(position).health(now, &self.slow_start);
        self.index.set_health(position, health, until);
    }

    /// An attempt was sent to a server.
    pub(super) fn record_forwarded(&mut self, now: Millis, server: ServerId) {
        let Some(position) = self.index.find(server) else { return };
        self.index.at_mut(position).attempt_started();
        self.refresh_health(now, position);
    }

    /// Takes the end of an attempt that took `elapsed` ms as evidence of its server's health.
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
            self.mean_latency.record(elapsed, FLEET_LATENCY_GAIN);
        }
        self.refresh_health(now, position);
    }

    // ---- Selection ----------------------------------------------------------------------------

    /// The cheapest server that the request may go to now; `send_rate` in first attempts per millisecond.
    pub(super) fn select(
        &mut self,
        now: Millis,
        request: &InFlightRequest,
        send_rate: f64,
        rng: &mut Pcg64Mcg,
    ) -> Option<ServerId> {
        for position in self.index.take_due(now) {
            self.refresh_health(now, position);
        }
        let subset_size = (send_rate * SUBSET_SPAN).max(MIN_SUBSET_SIZE);
        self.subset_active = subset_size < self.index.ready() as f64;
        let max_size = if self.subset_active { subset_size.ceil() as usize } else { usize::MAX };
        let candidates = self.collect_candidates(now, request, max_size, send_rate);
        // Each server passed has a draw of its own, whether it is used or not.
        let mut draws = IndexedDraws::new(rng.clone());
        rng.advance(candidates.servers_passed() as u128);
        let mut cheapest = Cheapest { cost: f64::INFINITY, server: None };
        if self.subset_active && candidates.len() > 2 {
            for index in two_of(candidates.len(), rng) {
                let Some(candidate) = candidates.nth(index) else { continue };
                self.compare(now, candidate, &mut draws, &mut cheapest);
            }
        } else {
            for candidate in candidates.iter() {
                self.compare(now, candidate, &mut draws, &mut cheapest);
            }
        }
        self.candidates = candidates;
        cheapest.server
    }

    /// Which servers the idempotency of a request leaves for its next attempt.
    fn allowed_servers(&self, request: &InFlightRequest) -> AllowedServers {
        let Some(first) = request.first_possible_execution() else { return AllowedServers::All };
        let home = self.index.get(first.server).map(|server| &server.endpoint);
        let locality = match request.class.idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. } => {
                return AllowedServers::All;
            }
            Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, .. } => {
                home.map(|endpoint| Locality::Zone(endpoint.zone))
            }
            Idempotency::IdempotencyKey { scope: DeduplicationScope::Cell, .. } => {
                home.map(|endpoint| Locality::Cell(endpoint.cell))
            }
            Idempotency::NonIdempotent => None,
        };
        locality.map_or(AllowedServers::None, AllowedServers::SameLocality)
    }

    /// Servers that the request was sent to before. Where only one takes requests, it is tried again.
    fn already_attempted(&self, request: &InFlightRequest) -> Vec<EndpointPosition> {
        let others_ready = self.index.ready() > 1;
        let excluded = request.attempts.iter().filter(|attempt| attempt.live || others_ready);
        excluded.filter_map(|attempt| self.index.find(attempt.server)).collect()
    }

    /// The servers that the request may go to, up to a number of them.
    fn collect_candidates(
        &mut self,
        now: Millis,
        request: &InFlightRequest,
        max_size: usize,
        send_rate: f64,
    ) -> CandidateSet {
        let allowed = self.allowed_servers(request);
        let excluded = self.already_attempted(request);
        let rate_per_server = send_rate / self.index.warm().max(1) as f64;
        // Ejection holds while half of the fleet is healthy. Past that the failures have a common cause, and
        // only servers that cannot be reached stay out.
        let ejection_active = 2 * self.index.healthy() >= self.index.ready();
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.begin(max_size);
        for block_index in 0..self.index.blocks.len() {
            if candidates.remaining() == 0 {
                break;
            }
            self.endpoints_examined += 1;
            let block = &self.index.blocks[block_index];
            let mut members = block.healthy | if ejection_active { 0 } else { block.unhealthy };
            for position in excluded.iter().filter(|position| position.block == block_index) {
                members &= !(1 << position.slot);
            }
            members &= match allowed {
                AllowedServers::All => u64::MAX,
                AllowedServers::SameLocality(locality) => block.members_of(locality),
                AllowedServers::None => 0,
            };
            let block_len = block.slots.len();
            let members = self.without_slow_starting(
                now,
                block_index,
                members,
                candidates.remaining(),
                rate_per_server,
            );
            candidates.add(block_index, members, block_len);
        }
        candidates
    }

    /// Leaves out the servers in slow start that may be sent nothing now, as far as `wanted` members reach.
    fn without_slow_starting(
        &mut self,
        now: Millis,
        block: usize,
        mut members: u64,
        wanted: usize,
        rate_per_server: f64,
    ) -> u64 {
        for slot in positions_of(members & self.index.blocks[block].cold) {
            if (members & bits_below(slot)).count_ones() as usize >= wanted {
                break;
            }
            self.endpoints_examined += 1;
            if !self.slow_start_allows(now, EndpointPosition { block, slot }, rate_per_server) {
                members &= !(1 << slot);
            }
        }
        members
    }

    fn slow_start_allows(&mut self, now: Millis, position: EndpointPosition, rate_per_server: f64) -> bool {
        let server = self.index.at_mut(position);
        let warm_fraction = self.slow_start.warm_fraction(now, server.endpoint.started);
        warm_fraction >= 1.0 || server.slow_start_tokens.refill(now, warm_fraction, rate_per_server)
    }

    /// Takes a candidate if it is cheaper: by its response time, the attempts in flight at it and its
    /// capacity.
    fn compare(
        &mut self,
        now: Millis,
        candidate: Candidate,
        draws: &mut IndexedDraws,
        cheapest: &mut Cheapest,
    ) {
        self.endpoints_examined += 1;
        let server = self.index.at(candidate.position);
        let jitter = 1.0 + COST_JITTER * draws.at(candidate.rank);
        let warm_fraction = self.slow_start.warm_fraction(now, server.endpoint.started);
        let cost = |latency: Millis| latency * (1.0 + server.in_flight()) * jitter / warm_fraction;
        let fleet = self.mean_latency.get().unwrap_or(0.0).max(MIN_FLEET_LATENCY);
        let own = server.mean_latency().unwrap_or(fleet);
        // The latency lies between its own mean and the fleet's: most candidates need no closer look.
        if cost(own.min(fleet)) * ROUNDING_MARGIN > cheapest.cost {
            return;
        }
        let decay_factor = if self.subset_active { SUBSET_DECAY_FACTOR } else { 1.0 };
        let freshness = (-server.sample_age(now) / (LATENCY_DECAY * decay_factor)).exp();
        let cost = cost(fleet + (own - fleet) * freshness);
        if cheapest.server.is_none() || cost < cheapest.cost {
            *cheapest = Cheapest { cost, server: Some(server.endpoint.server) };
        }
    }
}

/// Two different indices below `len`, which is at least 2.
fn two_of(len: usize, rng: &mut Pcg64Mcg) -> [usize; 2] {
    let first = (uniform(rng) * len as f64) as usize;
    let other = (first + 1 + (uniform(rng) * (len - 1) as f64) as usize) % len;
    [first, other]
}
