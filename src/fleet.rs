//! The servers in a gateway's own order, in blocks of at most 64 with a bit for each, and counts of them,
//! kept up by changes: a search passes a block at a time. No rule is here: what a server's standing is, and
//! until when, its caller says.

use crate::interface::{Millis, ServerId};
use crate::state::Server;
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// Servers in a block: the bits of a mask.
const BLOCK: usize = 64;
/// Neighbours that hold no more than this together become one block.
const MERGE: usize = BLOCK / 2;

/// A wake that is not awaited.
const NEVER: u64 = u64::MAX;

/// Where a server is: its block and the index in it, valid until a server comes or goes.
pub(crate) type Place = (usize, usize);

/// How a server stands at a time.
#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) struct Standing {
    pub(crate) ready: bool,
    pub(crate) paused: bool,
    pub(crate) healthy: bool,
    pub(crate) reachable: bool,
    pub(crate) warm: bool,
}

/// What servers have in common.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Tag {
    Zone(u16),
    Cell(u16),
}

/// A server and how it is kept.
#[derive(Default)]
pub(crate) struct Slot {
    pub(crate) server: Server,
    /// Its place in the order.
    key: u64,
    /// As what it is counted, and when time alone may change that.
    standing: Standing,
    wake: u64,
    /// The last list it was entered in.
    listed: u32,
}

/// Consecutive servers of the order; bit `i` of each mask stands for the server at `i`.
#[derive(Default)]
pub(crate) struct Block {
    /// The key of the first server.
    first: u64,
    /// Ready, not paused and healthy.
    pub(crate) sound: u64,
    /// Ready and not paused, but not healthy, though within reach.
    pub(crate) ailing: u64,
    /// Not warm yet.
    pub(crate) cold: u64,
    /// Of each zone and cell in it, ordered by it.
    groups: Vec<(Tag, u64)>,
    pub(crate) slots: Vec<Slot>,
}

impl Block {
    fn masks(&mut self) -> impl Iterator<Item = &mut u64> {
        let groups = self.groups.iter_mut().map(|group| &mut group.1);
        [&mut self.sound, &mut self.ailing, &mut self.cold].into_iter().chain(groups)
    }

    /// The servers of a zone or cell.
    pub(crate) fn of(&self, tag: Tag) -> u64 {
        self.groups.binary_search_by_key(&tag, |g| g.0).map_or(0, |at| self.groups[at].1)
    }

    /// Adds servers to a zone or cell.
    fn join(&mut self, tag: Tag, bits: u64) {
        match self.groups.binary_search_by_key(&tag, |g| g.0) {
            Ok(at) => self.groups[at].1 |= bits,
            Err(at) => self.groups.insert(at, (tag, bits)),
        }
    }

    /// Sets the bits of the server at `i`.
    fn mark(&mut self, i: usize) {
        let s = self.slots[i].standing;
        let takes = s.ready && !s.paused;
        let bits = [takes && s.healthy, takes && !s.healthy && s.reachable, !s.warm];
        for (mask, bit) in self.masks().zip(bits) {
            *mask = *mask & !(1 << i) | u64::from(bit) << i;
        }
    }
}

/// Bits below bit `i`.
pub(crate) fn below(i: usize) -> u64 {
    1u64.checked_shl(i as u32).map_or(u64::MAX, |bit| bit - 1)
}

/// The numbers of the bits set, from the lowest.
pub(crate) fn ones(mut bits: u64) -> impl Iterator<Item = usize> {
    std::iter::from_fn(move || {
        let i = (bits != 0).then(|| bits.trailing_zeros() as usize)?;
        bits &= bits - 1;
        Some(i)
    })
}

/// The servers known.
pub(crate) struct Fleet {
    salt: u64,
    /// No block is empty.
    pub(crate) blocks: Vec<Block>,
    /// When the standing of which server may change by time alone: the bits of the time, which order as it
    /// does, and the server's key.
    wakes: BTreeSet<(u64, u64)>,
    listing: u32,
    len: usize,
    pub(crate) ready: usize,
    pub(crate) healthy: usize,
    pub(crate) warm: usize,
}

impl Fleet {
    pub(crate) fn new(salt: u64) -> Self {
        let (blocks, wakes) = (Vec::new(), BTreeSet::new());
        Fleet { salt, blocks, wakes, listing: 0, len: 0, ready: 0, healthy: 0, warm: 0 }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// A server's place in the order; no two servers share one.
    fn key(&self, id: ServerId) -> u64 {
        (u64::from(id.0) ^ self.salt).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29)
    }

    /// The block and the index in it at which a key is, or would be put in.
    fn search(&self, key: u64) -> (usize, Result<usize, usize>) {
        let b = self.blocks.partition_point(|block| block.first <= key).saturating_sub(1);
        let found = self.blocks.get(b).map(|block| block.slots.binary_search_by_key(&key, |s| s.key));
        (b, found.unwrap_or(Err(0)))
    }

    pub(crate) fn find(&self, id: ServerId) -> Option<Place> {
        let (b, i) = self.search(self.key(id));
        i.ok().map(|i| (b, i))
    }

    pub(crate) fn get(&self, id: &ServerId) -> Option<&Server> {
        self.find(*id).map(|place| self.at(place))
    }

    pub(crate) fn at(&self, (b, i): Place) -> &Server {
        &self.blocks[b].slots[i].server
    }

    /// Changes of what a standing follows from have to be told by [`Fleet::stand`].
    pub(crate) fn at_mut(&mut self, (b, i): Place) -> &mut Server {
        &mut self.blocks[b].slots[i].server
    }

    /// Finds a server or puts in an unknown one, of which nothing is counted yet, and marks it as listed.
    pub(crate) fn enter(&mut self, id: ServerId) -> Place {
        let key = self.key(id);
        let (mut b, mut at) = self.search(key);
        if let Err(mut i) = at {
            if self.blocks.is_empty() {
                self.blocks.push(Block::default());
            }
            if self.blocks[b].slots.len() == BLOCK {
                let full = &mut self.blocks[b];
                let mut upper = Block {
                    slots: full.slots.split_off(MERGE),
                    groups: full.groups.clone(),
                    ..Block::default()
                };
                upper.first = upper.slots[0].key;
                for (low, high) in full.masks().zip(upper.masks()) {
                    (*low, *high) = (*low & below(MERGE), *low >> MERGE);
                }
                full.groups.retain(|group| group.1 != 0);
                upper.groups.retain(|group| group.1 != 0);
                self.blocks.insert(b + 1, upper);
                if i > MERGE {
                    (b, i) = (b + 1, i - MERGE);
                }
            }
            let block = &mut self.blocks[b];
            for mask in block.masks() {
                *mask = *mask & below(i) | (*mask & !below(i)) << 1;
            }
            block.slots.insert(i, Slot { key, wake: NEVER, ..Slot::default() });
            block.first = block.slots[0].key;
            block.mark(i);
            self.len += 1;
            at = Ok(i);
        }
        let i = at.unwrap_or_else(|i| i);
        self.blocks[b].slots[i].listed = self.listing;
        (b, i)
    }

    /// Puts a server into the zone and cell of its entry.
    pub(crate) fn group(&mut self, (b, i): Place) {
        let block = &mut self.blocks[b];
        let entry = &block.slots[i].server.entry;
        let tags = [Tag::Zone(entry.zone), Tag::Cell(entry.cell)];
        if tags.iter().any(|tag| block.of(*tag) >> i & 1 == 0) {
            block.groups.iter_mut().for_each(|group| group.1 &= !(1 << i));
            tags.into_iter().for_each(|tag| block.join(tag, 1 << i));
            block.groups.retain(|group| group.1 != 0);
        }
    }

    /// Counts a server anew; `until` is when its standing may change by itself.
    pub(crate) fn stand(&mut self, (b, i): Place, standing: Standing, until: Millis) {
        let block = &mut self.blocks[b];
        let s = &mut block.slots[i];
        let (old, key) = (std::mem::replace(&mut s.standing, standing), s.key);
        let wake = if until < Millis::INFINITY { until.max(0.0).to_bits() } else { NEVER };
        let was = std::mem::replace(&mut s.wake, wake);
        if old != standing {
            block.mark(i);
            let counts = [&mut self.ready, &mut self.healthy, &mut self.warm];
            for (count, (new, old)) in counts.into_iter().zip(standing.counted().zip(old.counted())) {
                *count = *count + usize::from(new) - usize::from(old);
            }
        }
        if was != wake {
            self.wakes.remove(&(was, key));
            if wake != NEVER {
                self.wakes.insert((wake, key));
            }
        }
    }

    /// The servers whose standing may have changed by now; they no longer wait for it.
    pub(crate) fn due(&mut self, now: Millis) -> Vec<Place> {
        let mut due = Vec::new();
        while let Some(&(_, key)) = self.wakes.first().filter(|w| w.0 <= now.max(0.0).to_bits()) {
            self.wakes.pop_first();
            if let (b, Ok(i)) = self.search(key) {
                self.blocks[b].slots[i].wake = NEVER;
                due.push((b, i));
            }
        }
        due
    }

    pub(crate) fn remove(&mut self, id: ServerId) {
        self.take_out(self.key(id));
    }

    fn take_out(&mut self, key: u64) {
        let (b, Ok(i)) = self.search(key) else { return };
        self.stand((b, i), Standing::default(), Millis::INFINITY);
        let block = &mut self.blocks[b];
        block.slots.remove(i);
        for mask in block.masks() {
            *mask = *mask & below(i) | (*mask >> 1) & !below(i);
        }
        block.groups.retain(|group| group.1 != 0);
        self.len -= 1;
        if self.blocks[b].slots.is_empty() {
            self.blocks.remove(b);
            return;
        }
        self.blocks[b].first = self.blocks[b].slots[0].key;
        if b + 1 < self.blocks.len() && self.blocks[b].slots.len() + self.blocks[b + 1].slots.len() <= MERGE {
            let mut upper = self.blocks.remove(b + 1);
            let block = &mut self.blocks[b];
            let shift = block.slots.len();
            for (low, high) in block.masks().take(3).zip(upper.masks()) {
                *low |= *high << shift;
            }
            upper.groups.iter().for_each(|group| block.join(group.0, group.1 << shift));
            block.slots.append(&mut upper.slots);
        }
    }

    /// Begins a whole list: servers not entered until [`Fleet::drop_unlisted`] are not in it.
    pub(crate) fn begin_list(&mut self) {
        self.listing = self.listing.wrapping_add(1);
    }

    pub(crate) fn drop_unlisted(&mut self) {
        let slots = self.blocks.iter().flat_map(|b| &b.slots);
        let gone: Vec<u64> = slots.filter(|s| s.listed != self.listing).map(|s| s.key).collect();
        gone.into_iter().for_each(|key| self.take_out(key));
    }
}

impl Standing {
    /// The counts it adds to, in the order of the fleet's.
    fn counted(self) -> impl Iterator<Item = bool> {
        [self.ready, self.healthy, self.warm].into_iter()
    }
}

/// The servers that a choice may take, from the front of the order up to a number of them.
#[derive(Default)]
pub(crate) struct Walk {
    most: usize,
    pub(crate) count: usize,
    /// Servers passed, up to the last one that was wanted.
    pub(crate) passed: usize,
    /// A block, the bits of those in it, and the rank of its first server in the order.
    runs: Vec<(usize, u64, usize)>,
}

impl Walk {
    pub(crate) fn begin(&mut self, most: usize) {
        (self.most, self.count, self.passed) = (most, 0, 0);
        self.runs.clear();
    }

    /// How many more are wanted.
    pub(crate) fn room(&self) -> usize {
        self.most - self.count
    }

    /// Takes these of a block of `len` servers, the first as far as they are wanted.
    pub(crate) fn take(&mut self, block: usize, mut bits: u64, len: usize) {
        if bits.count_ones() as usize > self.room() {
            bits = ones(bits).nth(self.room()).map_or(bits, |past| bits & below(past));
        }
        if bits != 0 {
            self.runs.push((block, bits, self.passed));
        }
        self.count += bits.count_ones() as usize;
        self.passed += if self.room() > 0 { len } else { BLOCK - bits.leading_zeros() as usize };
    }

    /// The places and ranks of all of them, in order.
    pub(crate) fn all(&self) -> impl Iterator<Item = (Place, usize)> + '_ {
        self.runs.iter().flat_map(|&(b, bits, rank)| ones(bits).map(move |i| ((b, i), rank + i)))
    }

    /// The place and rank of one of them, counted from 0.
    pub(crate) fn nth(&self, mut n: usize) -> Option<(Place, usize)> {
        for &(b, bits, rank) in &self.runs {
            let size = bits.count_ones() as usize;
            if n < size {
                return ones(bits).nth(n).map(|i| ((b, i), rank + i));
            }
            n -= size;
        }
        None
    }
}

/// One draw of a generator for each rank, reached without drawing those between.
pub(crate) struct Draws {
    start: Pcg64Mcg,
    next: Pcg64Mcg,
    rank: usize,
}

impl Draws {
    pub(crate) fn new(rng: Pcg64Mcg) -> Self {
        Draws { start: rng.clone(), next: rng, rank: 0 }
    }

    pub(crate) fn at(&mut self, rank: usize) -> f64 {
        if rank < self.rank {
            (self.next, self.rank) = (self.start.clone(), 0);
        }
        self.next.advance((rank - self.rank) as u128);
        self.rank = rank + 1;
        share(&mut self.next)
    }
}

/// A number from 0 up to 1.
pub(crate) fn share(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

#[cfg(test)]
#[path = "../tests/unit/fleet.rs"]
mod tests;
