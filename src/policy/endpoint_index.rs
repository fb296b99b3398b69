//! The servers of the list in a gateway's own order, in blocks with bit masks and counts that are kept up by
//! changes, so that a search passes up to 64 servers at a time. It holds no rule: how a server counts, and
//! until when, its caller says.

use super::endpoint_block::{Block, Slot, BLOCK_CAPACITY, MERGE_SIZE};
use super::endpoint_health::{HealthState, TrackedEndpoint};
use crate::ids::{Millis, ServerId};
use std::collections::BTreeSet;

/// Multiplier of the hash that gives each gateway an order of its own: the golden ratio.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
const HASH_ROTATION: u32 = 29;

/// Where a server is; valid until a server is inserted or removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EndpointPosition {
    pub(super) block: usize,
    pub(super) slot: usize,
}

/// When time alone may change a server's health.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Transition {
    /// Bits of the time, which order as it does.
    at: u64,
    /// The server's key.
    key: u64,
}

fn time_bits(at: Millis) -> u64 {
    at.max(0.0).to_bits()
}

/// All servers of the list.
pub(super) struct EndpointIndex {
    /// Makes the order differ from gateway to gateway.
    salt: u64,
    /// No block is empty.
    pub(super) blocks: Vec<Block>,
    transitions: BTreeSet<Transition>,
    /// Number of the present complete list.
    listing: u32,
    len: usize,
    ready: usize,
    healthy: usize,
    warm: usize,
}

impl EndpointIndex {
    pub(super) fn new(salt: u64) -> Self {
        EndpointIndex {
            salt,
            blocks: Vec::new(),
            transitions: BTreeSet::new(),
            listing: 0,
            len: 0,
            ready: 0,
            healthy: 0,
            warm: 0,
        }
    }

    /// All servers.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Servers that the list says take requests.
    pub(super) fn ready(&self) -> usize {
        self.ready
    }

    /// Servers that are not ejected.
    pub(super) fn healthy(&self) -> usize {
        self.healthy
    }

    /// Servers whose slow start is over.
    pub(super) fn warm(&self) -> usize {
        self.warm
    }

    /// A server's place in the order; no two servers share one.
    fn key(&self, server: ServerId) -> u64 {
        (u64::from(server.0) ^ self.salt).wrapping_mul(GOLDEN_RATIO).rotate_left(HASH_ROTATION)
    }

    /// Where a key is, or else where it would be inserted.
    fn search(&self, key: u64) -> Result<EndpointPosition, EndpointPosition> {
        let block = self.blocks.partition_point(|block| block.first_key <= key).saturating_sub(1);
        let Some(candidate) = self.blocks.get(block) else {
            return Err(EndpointPosition { block, slot: 0 });
        };
        let found = candidate.slots.binary_search_by_key(&key, |slot| slot.key);
        found.map(|slot| EndpointPosition { block, slot }).map_err(|slot| EndpointPosition { block, slot })
    }

    pub(super) fn find(&self, server: ServerId) -> Option<EndpointPosition> {
        self.search(self.key(server)).ok()
    }

    pub(super) fn get(&self, server: ServerId) -> Option<&TrackedEndpoint> {
        self.find(server).map(|position| self.at(position))
    }

    pub(super) fn at(&self, position: EndpointPosition) -> &TrackedEndpoint {
        &self.blocks[position.block].slots[position.slot].server
    }

    /// Changes that its health or localities follow from must be followed by [`EndpointIndex::set_health`]
    /// and [`EndpointIndex::update_localities`].
    pub(super) fn at_mut(&mut self, position: EndpointPosition) -> &mut TrackedEndpoint {
        &mut self.blocks[position.block].slots[position.slot].server
    }

    /// Finds a server, or inserts one of which nothing is counted yet, and marks it as named by the present
    /// list.
    pub(super) fn enter(&mut self, server: ServerId) -> EndpointPosition {
        let key = self.key(server);
        let position = self.search(key).unwrap_or_else(|position| self.insert(key, position));
        self.blocks[position.block].slots[position.slot].listed_in = self.listing;
        position
    }

    fn insert(&mut self, key: u64, position: EndpointPosition) -> EndpointPosition {
        let EndpointPosition { mut block, mut slot } = position;
        if self.blocks.is_empty() {
            self.blocks.push(Block::default());
        }
        if self.blocks[block].slots.len() == BLOCK_CAPACITY {
            let upper = self.blocks[block].split_off();
            self.blocks.insert(block + 1, upper);
            if slot > MERGE_SIZE {
                block += 1;
                slot -= MERGE_SIZE;
            }
        }
        self.blocks[block].insert(slot, Slot { key, ..Slot::default() });
        self.len += 1;
        EndpointPosition { block, slot }
    }

    /// Moves a server to the zone and cell of its entry.
    pub(super) fn update_localities(&mut self, position: EndpointPosition) {
        self.blocks[position.block].update_localities(position.slot);
    }

    /// Counts a server anew; `until` is when time alone may change its health.
    pub(super) fn set_health(
        &mut self,
        position: EndpointPosition,
        health: HealthState,
        until: Option<Millis>,
    ) {
        let block = &mut self.blocks[position.block];
        let slot = &mut block.slots[position.slot];
        let key = slot.key;
        let old_health = std::mem::replace(&mut slot.health, health);
        let transition = until.map(time_bits);
        let old_transition = std::mem::replace(&mut slot.next_transition, transition);
        if old_health != health {
            block.update_health_bits(position.slot);
            recount(&mut self.ready, old_health.ready, health.ready);
            recount(&mut self.healthy, old_health.healthy, health.healthy);
            recount(&mut self.warm, old_health.warm, health.warm);
        }
        if old_transition != transition {
            if let Some(at) = old_transition {
                self.transitions.remove(&Transition { at, key });
            }
            if let Some(at) = transition {
                self.transitions.insert(Transition { at, key });
            }
        }
    }

    /// The servers whose health may have changed by now; they no longer wait for that.
    pub(super) fn take_due(&mut self, now: Millis) -> Vec<EndpointPosition> {
        let mut due = Vec::new();
        while let Some(transition) = self.transitions.first().filter(|first| first.at <= time_bits(now)) {
            let key = transition.key;
            self.transitions.pop_first();
            if let Ok(position) = self.search(key) {
                self.blocks[position.block].slots[position.slot].next_transition = None;
                due.push(position);
            }
        }
        due
    }

    pub(super) fn remove(&mut self, server: ServerId) {
        self.remove_key(self.key(server));
    }

    fn remove_key(&mut self, key: u64) {
        let Ok(position) = self.search(key) else { return };
        self.set_health(position, HealthState::default(), None);
        let index = position.block;
        self.blocks[index].remove(position.slot);
        self.len -= 1;
        if self.blocks[index].slots.is_empty() {
            self.blocks.remove(index);
        } else {
            self.merge_with_next(index);
        }
    }

    /// Joins a block with the one behind it where both are small.
    fn merge_with_next(&mut self, index: usize) {
        let Some(next) = self.blocks.get(index + 1) else { return };
        if self.blocks[index].slots.len() + next.slots.len() <= MERGE_SIZE {
            let next = self.blocks.remove(index + 1);
            self.blocks[index].append(next);
        }
    }

    /// Begins a complete list: servers not entered until [`EndpointIndex::remove_unlisted`] are not in it.
    pub(super) fn begin_list(&mut self) {
        self.listing = self.listing.wrapping_add(1);
    }

    /// Ends a complete list.
    pub(super) fn remove_unlisted(&mut self) {
        let slots = self.blocks.iter().flat_map(|block| &block.slots);
        let unlisted: Vec<u64> =
            slots.filter(|slot| slot.listed_in != self.listing).map(|slot| slot.key).collect();
        for key in unlisted {
            self.remove_key(key);
        }
    }
}

fn recount(count: &mut usize, before: bool, after: bool) {
    *count = *count + usize::from(after) - usize::from(before);
}

#[cfg(test)]
#[path = "../../tests/unit/endpoint_index.rs"]
mod tests;
