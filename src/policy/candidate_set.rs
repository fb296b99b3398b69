//! The servers that an attempt may go to, from the front of the gateway's order up to a number of them.

use super::endpoint_block::{bits_below, positions_of, BLOCK_CAPACITY};
use super::endpoint_index::EndpointPosition;

/// One server of the set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Candidate {
    pub(super) position: EndpointPosition,
    /// Number of the server in the whole order, candidate or not.
    pub(super) rank: usize,
}

/// The candidates of one block.
struct Run {
    block: usize,
    members: u64,
    /// Rank of the block's first server.
    first_rank: usize,
}

/// A set of candidates; its memory is used again for the next one.
#[derive(Default)]
pub(super) struct CandidateSet {
    max_size: usize,
    len: usize,
    servers_passed: usize,
    runs: Vec<Run>,
}

impl CandidateSet {
    /// Starts an empty set that takes `max_size` servers at most.
    pub(super) fn begin(&mut self, max_size: usize) {
        self.max_size = max_size;
        self.len = 0;
        self.servers_passed = 0;
        self.runs.clear();
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// How many more it takes.
    pub(super) fn remaining(&self) -> usize {
        self.max_size - self.len
    }

    /// Servers of the order that were passed, up to the last one that was wanted.
    pub(super) fn servers_passed(&self) -> usize {
        self.servers_passed
    }

    /// Takes these members of a block of `block_len` servers, the first ones if it does not take all.
    pub(super) fn add(&mut self, block: usize, mut members: u64, block_len: usize) {
        if members.count_ones() as usize > self.remaining() {
            let first_left_out = positions_of(members).nth(self.remaining());
            members = first_left_out.map_or(members, |position| members & bits_below(position));
        }
        if members != 0 {
            self.runs.push(Run { block, members, first_rank: self.servers_passed });
        }
        self.len += members.count_ones() as usize;
        self.servers_passed +=
            if self.remaining() > 0 { block_len } else { BLOCK_CAPACITY - members.leading_zeros() as usize };
    }

    /// All of them, in order.
    pub(super) fn iter(&self) -> impl Iterator<Item = Candidate> + '_ {
        self.runs.iter().flat_map(|run| positions_of(run.members).map(|slot| run.candidate(slot)))
    }

    /// One of them, counted from 0.
    pub(super) fn nth(&self, mut index: usize) -> Option<Candidate> {
        for run in &self.runs {
            let size = run.members.count_ones() as usize;
            if index < size {
                return positions_of(run.members).nth(index).map(|slot| run.candidate(slot));
            }
            index -= size;
        }
        None
    }
}

impl Run {
    fn candidate(&self, slot: usize) -> Candidate {
        let position = EndpointPosition { block: self.block, slot };
        Candidate { position, rank: self.first_rank + slot }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/candidate_set.rs"]
mod tests;
