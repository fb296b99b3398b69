//! The servers that an attempt may be sent to: the first eligible servers in the gateway's order, up to a
//! maximum number.

use super::endpoint_block::{bit_indices, bits_below, BLOCK_CAPACITY};
use super::endpoint_index::EndpointPosition;

/// A server that an attempt may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Candidate {
    pub(super) position: EndpointPosition,
    /// Index, from 0, of the server in the gateway's order of all servers, candidates or not.
    pub(super) rank: usize,
}

/// The candidates that are in one block of the index.
struct BlockCandidates {
    /// Index of the block.
    block: usize,
    /// Bit mask of the slots of the candidates.
    slot_mask: u64,
    /// Rank of the first server in the block.
    first_rank: usize,
}

/// The candidates of one selection. The next selection resets the set and so reuses its allocation.
#[derive(Default)]
pub(super) struct CandidateSet {
    max_size: usize,
    /// Number of candidates in the set.
    len: usize,
    servers_scanned: usize,
    blocks: Vec<BlockCandidates>,
}

impl CandidateSet {
    /// Empties the set and limits it to `max_size` servers.
    pub(super) fn reset(&mut self, max_size: usize) {
        self.max_size = max_size;
        self.len = 0;
        self.servers_scanned = 0;
        self.blocks.clear();
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// How many more servers fit into the set.
    pub(super) fn remaining_capacity(&self) -> usize {
        self.max_size - self.len
    }

    /// Number of servers scanned, in the gateway's order: if the set is full, the servers up to the last
    /// candidate, otherwise all servers of the blocks passed to [`CandidateSet::add`].
    pub(super) fn servers_scanned(&self) -> usize {
        self.servers_scanned
    }

    /// Adds the servers in `slot_mask` of a block that holds `block_len` servers. If not all of them fit into
    /// the set, adds as many as fit, from the lowest slot up.
    pub(super) fn add(&mut self, block: usize, mut slot_mask: u64, block_len: usize) {
        if slot_mask.count_ones() as usize > self.remaining_capacity() {
            let first_excluded = bit_indices(slot_mask).nth(self.remaining_capacity());
            slot_mask = first_excluded.map_or(slot_mask, |slot| slot_mask & bits_below(slot));
        }
        if slot_mask != 0 {
            self.blocks.push(BlockCandidates { block, slot_mask, first_rank: self.servers_scanned });
        }
        self.len += slot_mask.count_ones() as usize;
        self.servers_scanned += if self.remaining_capacity() > 0 {
            block_len
        } else {
            BLOCK_CAPACITY - slot_mask.leading_zeros() as usize
        };
    }

    /// All candidates, in the gateway's order.
    pub(super) fn iter(&self) -> impl Iterator<Item = Candidate> + '_ {
        self.blocks.iter().flat_map(|block| bit_indices(block.slot_mask).map(|slot| block.candidate(slot)))
    }

    /// The candidate at `index`, counted from 0; `None` if the set has fewer candidates.
    pub(super) fn nth(&self, mut index: usize) -> Option<Candidate> {
        for block in &self.blocks {
            let size = block.slot_mask.count_ones() as usize;
            if index < size {
                return bit_indices(block.slot_mask).nth(index).map(|slot| block.candidate(slot));
            }
            index -= size;
        }
        None
    }
}

impl BlockCandidates {
    fn candidate(&self, slot: usize) -> Candidate {
        let position = EndpointPosition { block: self.block, slot };
        Candidate { position, rank: self.first_rank + slot }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/candidate_set.rs"]
mod tests;
