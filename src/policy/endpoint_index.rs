//! Index of the listed servers in the gateway's own order. Every change updates the counts of the index and
//! the bit masks of its blocks, so that a search can skip up to 64 servers at a time. The index does not
//! decide which servers are healthy: the caller sets each server's health and the next time at which that
//! health may change.

use super::endpoint_block::{Block, Slot, BLOCK_CAPACITY, HALF_CAPACITY};
use super::endpoint_health::{HealthState, TrackedEndpoint};
use crate::ids::{Millis, ServerId};
use std::collections::BTreeSet;

/// Multiplier in the hash that determines a gateway's order of servers: 2^64 divided by the golden ratio.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
const HASH_ROTATION: u32 = 29;

/// Position of a server in the index. It is valid until a server is inserted or removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EndpointPosition {
    pub(super) block: usize,
    pub(super) slot: usize,
}

/// A server whose health may change without an event, and the next time at which this may happen.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Transition {
    /// The time, encoded by [`time_bits`].
    at: u64,
    /// Sort key of the server.
    key: u64,
}

/// Encodes a time as the bits of its `f64`, which sort in the same order as the times. A negative time is
/// encoded as 0.
fn time_bits(at: Millis) -> u64 {
    at.max(0.0).to_bits()
}

/// Index of all servers of the endpoint list.
pub(super) struct EndpointIndex {
    /// Random number that the hash of a server id includes, so that each gateway has a different order.
    salt: u64,
    /// Blocks in the gateway's order. No block is empty.
    pub(super) blocks: Vec<Block>,
    /// The next health transition of each server that has one.
    transitions: BTreeSet<Transition>,
    /// Increased by 1, wrapping around, at the start of each update that lists all servers.
    list_generation: u32,
    len: usize,
    ready_count: usize,
    healthy_count: usize,
    warm_count: usize,
}

impl EndpointIndex {
    pub(super) fn new(salt: u64) -> Self {
        EndpointIndex {
            salt,
            blocks: Vec::new(),
            transitions: BTreeSet::new(),
            list_generation: 0,
            len: 0,
            ready_count: 0,
            healthy_count: 0,
            warm_count: 0,
        }
    }

    /// Number of servers in the index.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Number of servers that accept new requests according to the endpoint list.
    pub(super) fn ready_count(&self) -> usize {
        self.ready_count
    }

    /// Number of healthy servers, including those that accept no new requests.
    pub(super) fn healthy_count(&self) -> usize {
        self.healthy_count
    }

    /// Number of servers whose slow start is over.
    pub(super) fn warm_count(&self) -> usize {
        self.warm_count
    }

    /// Sort key of a server in the gateway's order. No two servers have the same key.
    fn key(&self, server: ServerId) -> u64 {
        (u64::from(server.0) ^ self.salt).wrapping_mul(GOLDEN_RATIO).rotate_left(HASH_ROTATION)
    }

    /// Position of the server with this key, or as `Err` the position at which to insert the server.
    fn search(&self, key: u64) -> Result<EndpointPosition, EndpointPosition> {
        let block = self.blocks.partition_point(|block| block.first_key <= key).saturating_sub(1);
        let Some(block_for_key) = self.blocks.get(block) else {
            return Err(EndpointPosition { block, slot: 0 });
        };
        let found = block_for_key.slots.binary_search_by_key(&key, |slot| slot.key);
        found.map(|slot| EndpointPosition { block, slot }).map_err(|slot| EndpointPosition { block, slot })
    }

    pub(super) fn find(&self, server: ServerId) -> Option<EndpointPosition> {
        self.search(self.key(server)).ok()
    }

    pub(super) fn get(&self, server: ServerId) -> Option<&TrackedEndpoint> {
        self.find(server).map(|position| self.at(position))
    }

    pub(super) fn at(&self, position: EndpointPosition) -> &TrackedEndpoint {
        &self.blocks[position.block].slots[position.slot].tracked_endpoint
    }

    /// Mutable access to a server. The caller has to call [`EndpointIndex::set_health`] after a change that
    /// affects the server's health, and [`EndpointIndex::update_localities`] after a change of zone or cell.
    pub(super) fn at_mut(&mut self, position: EndpointPosition) -> &mut TrackedEndpoint {
        &mut self.blocks[position.block].slots[position.slot].tracked_endpoint
    }

    /// Finds a server, or inserts it with default health, and sets its list generation to the current one.
    pub(super) fn find_or_insert(&mut self, server: ServerId) -> EndpointPosition {
        let key = self.key(server);
        let position = self.search(key).unwrap_or_else(|position| self.insert(key, position));
        self.blocks[position.block].slots[position.slot].list_generation = self.list_generation;
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
            if slot > HALF_CAPACITY {
                block += 1;
                slot -= HALF_CAPACITY;
            }
        }
        self.blocks[block].insert(slot, Slot { key, ..Slot::default() });
        self.len += 1;
        EndpointPosition { block, slot }
    }

    /// Updates the locality masks of a server's block to the zone and cell in the server's list entry.
    pub(super) fn update_localities(&mut self, position: EndpointPosition) {
        self.blocks[position.block].update_localities(position.slot);
    }

    /// Sets the health of a server and updates masks and counts. `next_transition` is the next time at which
    /// the health may change without an event, or `None` if the health changes only by events.
    pub(super) fn set_health(
        &mut self,
        position: EndpointPosition,
        health: HealthState,
        next_transition: Option<Millis>,
    ) {
        let block = &mut self.blocks[position.block];
        let slot = &mut block.slots[position.slot];
        let key = slot.key;
        let old_health = std::mem::replace(&mut slot.health, health);
        let transition = next_transition.map(time_bits);
        let old_transition = std::mem::replace(&mut slot.next_transition, transition);
        if old_health != health {
            block.update_health_bits(position.slot);
            adjust_count(&mut self.ready_count, old_health.ready, health.ready);
            adjust_count(&mut self.healthy_count, old_health.healthy, health.healthy);
            adjust_count(&mut self.warm_count, old_health.warm, health.warm);
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

    /// Removes the transitions that are due at `now` and returns the positions of their servers, whose health
    /// may have changed.
    pub(super) fn take_due_transitions(&mut self, now: Millis) -> Vec<EndpointPosition> {
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

    /// Merges the block at `index` with the next one if both together hold at most [`HALF_CAPACITY`] servers.
    fn merge_with_next(&mut self, index: usize) {
        let Some(next) = self.blocks.get(index + 1) else { return };
        if self.blocks[index].slots.len() + next.slots.len() <= HALF_CAPACITY {
            let next = self.blocks.remove(index + 1);
            self.blocks[index].append(next);
        }
    }

    /// Begins an update that lists all servers. The caller then passes each listed server to
    /// [`EndpointIndex::find_or_insert`] and ends the update with [`EndpointIndex::remove_unlisted`].
    pub(super) fn begin_complete_list(&mut self) {
        self.list_generation = self.list_generation.wrapping_add(1);
    }

    /// Ends an update that lists all servers, and removes the servers that the update did not list.
    pub(super) fn remove_unlisted(&mut self) {
        let slots = self.blocks.iter().flat_map(|block| &block.slots);
        let unlisted: Vec<u64> =
            slots.filter(|slot| slot.list_generation != self.list_generation).map(|slot| slot.key).collect();
        for key in unlisted {
            self.remove_key(key);
        }
    }
}

/// Updates the number of servers with a property after that property of one server has changed from `before`
/// to `after`.
fn adjust_count(count: &mut usize, before: bool, after: bool) {
    *count = *count + usize::from(after) - usize::from(before);
}

#[cfg(test)]
#[path = "../../tests/unit/endpoint_index.rs"]
mod tests;
