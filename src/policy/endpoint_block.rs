//! A run of consecutive servers of the index, with a bit mask for each question that a search asks of them.

use super::endpoint_health::{HealthState, TrackedEndpoint};

/// Servers that a block holds at most: the bits of a mask.
pub(super) const BLOCK_CAPACITY: usize = u64::BITS as usize;
/// A full block keeps this many when it is split, and neighbours that hold no more together become one block.
pub(super) const MERGE_SIZE: usize = BLOCK_CAPACITY / 2;

/// What servers have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Locality {
    /// They stand in one zone.
    Zone(u16),
    /// They stand in one cell.
    Cell(u16),
}

/// The servers of one locality in a block.
#[derive(Clone)]
pub(super) struct LocalityMask {
    pub(super) locality: Locality,
    pub(super) members: u64,
}

/// A server and how it is kept.
#[derive(Default)]
pub(super) struct Slot {
    pub(super) server: TrackedEndpoint,
    /// Position in the gateway's own order of servers.
    pub(super) key: u64,
    pub(super) health: HealthState,
    /// When time alone may change the health, as the bits of the time.
    pub(super) next_transition: Option<u64>,
    /// The last list that named it.
    pub(super) listed_in: u32,
}

/// Consecutive servers of the order. Bit `i` of each mask stands for the server at `i`.
#[derive(Default)]
pub(super) struct Block {
    /// Key of the first server.
    pub(super) first_key: u64,
    /// Ready, not paused and healthy.
    pub(super) healthy: u64,
    /// Ready and not paused, not healthy, but reachable.
    pub(super) unhealthy: u64,
    /// In slow start.
    pub(super) cold: u64,
    /// Ordered by locality; none is empty.
    pub(super) localities: Vec<LocalityMask>,
    pub(super) slots: Vec<Slot>,
}

impl Block {
    fn masks(&mut self) -> impl Iterator<Item = &mut u64> {
        let localities = self.localities.iter_mut().map(|locality| &mut locality.members);
        [&mut self.healthy, &mut self.unhealthy, &mut self.cold].into_iter().chain(localities)
    }

    fn search_locality(&self, locality: Locality) -> Result<usize, usize> {
        self.localities.binary_search_by_key(&locality, |mask| mask.locality)
    }

    /// The servers of a locality.
    pub(super) fn members_of(&self, locality: Locality) -> u64 {
        self.search_locality(locality).map_or(0, |found| self.localities[found].members)
    }

    fn add_to_locality(&mut self, locality: Locality, members: u64) {
        match self.search_locality(locality) {
            Ok(found) => self.localities[found].members |= members,
            Err(position) => self.localities.insert(position, LocalityMask { locality, members }),
        }
    }

    fn drop_empty_localities(&mut self) {
        self.localities.retain(|locality| locality.members != 0);
    }

    /// Moves the server at `slot` to the localities of its entry.
    pub(super) fn update_localities(&mut self, slot: usize) {
        let endpoint = &self.slots[slot].server.endpoint;
        let localities = [Locality::Zone(endpoint.zone), Locality::Cell(endpoint.cell)];
        let bit = 1 << slot;
        if localities.iter().all(|locality| self.members_of(*locality) & bit != 0) {
            return;
        }
        for mask in &mut self.localities {
            mask.members &= !bit;
        }
        for locality in localities {
            self.add_to_locality(locality, bit);
        }
        self.drop_empty_localities();
    }

    /// Sets the bits of the server at `slot` by its health.
    pub(super) fn update_health_bits(&mut self, slot: usize) {
        let health = self.slots[slot].health;
        let takes_requests = health.ready && !health.paused;
        let bits = [
            takes_requests && health.healthy,
            takes_requests && !health.healthy && health.reachable,
            !health.warm,
        ];
        for (mask, bit) in self.masks().zip(bits) {
            *mask = *mask & !(1 << slot) | u64::from(bit) << slot;
        }
    }

    /// Inserts a server before the one at `slot`.
    pub(super) fn insert(&mut self, slot: usize, server: Slot) {
        for mask in self.masks() {
            *mask = *mask & bits_below(slot) | (*mask & !bits_below(slot)) << 1;
        }
        self.slots.insert(slot, server);
        self.first_key = self.slots[0].key;
        self.update_health_bits(slot);
    }

    /// Removes a server. The block may be empty then.
    pub(super) fn remove(&mut self, slot: usize) {
        self.slots.remove(slot);
        for mask in self.masks() {
            *mask = *mask & bits_below(slot) | (*mask >> 1) & !bits_below(slot);
        }
        self.drop_empty_localities();
        if let Some(first) = self.slots.first() {
            self.first_key = first.key;
        }
    }

    /// Splits off the servers from [`MERGE_SIZE`] on.
    pub(super) fn split_off(&mut self) -> Block {
        let slots = self.slots.split_off(MERGE_SIZE);
        let mut upper =
            Block { first_key: slots[0].key, localities: self.localities.clone(), slots, ..Block::default() };
        for (low, high) in self.masks().zip(upper.masks()) {
            *high = *low >> MERGE_SIZE;
            *low &= bits_below(MERGE_SIZE);
        }
        self.drop_empty_localities();
        upper.drop_empty_localities();
        upper
    }

    /// Appends the servers of the block behind this one.
    pub(super) fn append(&mut self, mut upper: Block) {
        let shift = self.slots.len();
        self.healthy |= upper.healthy << shift;
        self.unhealthy |= upper.unhealthy << shift;
        self.cold |= upper.cold << shift;
        for mask in &upper.localities {
            self.add_to_locality(mask.locality, mask.members << shift);
        }
        self.slots.append(&mut upper.slots);
    }
}

/// The bits below bit `position`.
pub(super) fn bits_below(position: usize) -> u64 {
    1u64.checked_shl(position as u32).map_or(u64::MAX, |bit| bit - 1)
}

/// The positions of the bits that are set, from the lowest.
pub(super) fn positions_of(mut bits: u64) -> impl Iterator<Item = usize> {
    std::iter::from_fn(move || {
        let position = (bits != 0).then(|| bits.trailing_zeros() as usize)?;
        bits &= bits - 1;
        Some(position)
    })
}
