//! A block of consecutive servers of the index, with a bit mask for each property that a search filters by.

use super::endpoint_health::{HealthState, TrackedEndpoint};

/// Maximum number of servers in a block: the number of bits in a mask.
pub(super) const BLOCK_CAPACITY: usize = u64::BITS as usize;
/// Number of servers that a full block keeps when it is split. When a server is removed from a block, the
/// block is merged with the next one if both together hold at most this many servers.
pub(super) const HALF_CAPACITY: usize = BLOCK_CAPACITY / 2;

/// The zone or the cell that a server is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Locality {
    /// Number of the zone, as in the endpoint list.
    Zone(u16),
    /// Number of the cell, as in the endpoint list.
    Cell(u16),
}

/// A locality and the mask of the block's servers that are in it.
#[derive(Clone)]
pub(super) struct LocalityMask {
    pub(super) locality: Locality,
    /// Bit mask: bit `i` is set if the server at slot `i` is in the locality.
    pub(super) slot_mask: u64,
}

/// One entry of a block: a server and the data that the index keeps about it.
#[derive(Default)]
pub(super) struct Slot {
    pub(super) tracked_endpoint: TrackedEndpoint,
    /// Sort key of the server in the gateway's own order.
    pub(super) key: u64,
    pub(super) health: HealthState,
    /// Bits of the `f64` time at which the health may next change without an event. `None` means that the
    /// health changes only with an event.
    pub(super) next_transition: Option<u64>,
    /// List generation of the index when an update of the endpoint list last contained the server.
    pub(super) list_generation: u32,
}

/// Consecutive servers in the gateway's order. Bit `i` of each mask belongs to the server at slot `i`.
#[derive(Default)]
pub(super) struct Block {
    /// Sort key of the first server.
    pub(super) first_key: u64,
    /// Servers that are ready, not paused and healthy.
    pub(super) available: u64,
    /// Servers that are ready, not paused and reachable, but not healthy.
    pub(super) unhealthy_reachable: u64,
    /// Servers in slow start.
    pub(super) slow_starting: u64,
    /// Masks of the localities, sorted by locality. No mask is empty.
    pub(super) localities: Vec<LocalityMask>,
    pub(super) slots: Vec<Slot>,
}

impl Block {
    /// All masks of the block. [`Block::update_health_bits`] relies on the order of the first three.
    fn masks(&mut self) -> impl Iterator<Item = &mut u64> {
        let locality_masks = self.localities.iter_mut().map(|mask| &mut mask.slot_mask);
        [&mut self.available, &mut self.unhealthy_reachable, &mut self.slow_starting]
            .into_iter()
            .chain(locality_masks)
    }

    fn search_locality(&self, locality: Locality) -> Result<usize, usize> {
        self.localities.binary_search_by_key(&locality, |mask| mask.locality)
    }

    /// Bit mask of the servers in a locality.
    pub(super) fn locality_slot_mask(&self, locality: Locality) -> u64 {
        self.search_locality(locality).map_or(0, |index| self.localities[index].slot_mask)
    }

    fn add_to_locality(&mut self, locality: Locality, slot_mask: u64) {
        match self.search_locality(locality) {
            Ok(index) => self.localities[index].slot_mask |= slot_mask,
            Err(index) => self.localities.insert(index, LocalityMask { locality, slot_mask }),
        }
    }

    fn drop_empty_localities(&mut self) {
        self.localities.retain(|mask| mask.slot_mask != 0);
    }

    /// Sets the locality bits of the server at `slot` to the zone and cell of its list entry.
    pub(super) fn update_localities(&mut self, slot: usize) {
        let endpoint = &self.slots[slot].tracked_endpoint.endpoint;
        let localities = [Locality::Zone(endpoint.zone), Locality::Cell(endpoint.cell)];
        let bit = 1 << slot;
        if localities.iter().all(|locality| self.locality_slot_mask(*locality) & bit != 0) {
            return;
        }
        for mask in &mut self.localities {
            mask.slot_mask &= !bit;
        }
        for locality in localities {
            self.add_to_locality(locality, bit);
        }
        self.drop_empty_localities();
    }

    /// Sets the health bits of the server at `slot` from its stored health.
    pub(super) fn update_health_bits(&mut self, slot: usize) {
        let health = self.slots[slot].health;
        let accepts_requests = health.ready && !health.paused;
        let health_bits = [
            accepts_requests && health.healthy,
            accepts_requests && !health.healthy && health.reachable,
            !health.warm,
        ];
        for (mask, bit) in self.masks().zip(health_bits) {
            *mask = *mask & !(1 << slot) | u64::from(bit) << slot;
        }
    }

    /// Inserts a server at `slot`; the servers at `slot` and above move up by one slot. The new server's
    /// locality bits stay unset until [`Block::update_localities`] is called.
    pub(super) fn insert(&mut self, slot: usize, new_slot: Slot) {
        for mask in self.masks() {
            *mask = *mask & bits_below(slot) | (*mask & !bits_below(slot)) << 1;
        }
        self.slots.insert(slot, new_slot);
        self.first_key = self.slots[0].key;
        self.update_health_bits(slot);
    }

    /// Removes the server at `slot`, which may leave the block empty.
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

    /// Moves the servers at slot [`HALF_CAPACITY`] and above into a new block and returns that block.
    pub(super) fn split_off(&mut self) -> Block {
        let slots = self.slots.split_off(HALF_CAPACITY);
        let mut upper =
            Block { first_key: slots[0].key, localities: self.localities.clone(), slots, ..Block::default() };
        for (low, high) in self.masks().zip(upper.masks()) {
            *high = *low >> HALF_CAPACITY;
            *low &= bits_below(HALF_CAPACITY);
        }
        self.drop_empty_localities();
        upper.drop_empty_localities();
        upper
    }

    /// Appends the servers of `upper`, the block that follows this one in the order.
    pub(super) fn append(&mut self, mut upper: Block) {
        let shift = self.slots.len();
        self.available |= upper.available << shift;
        self.unhealthy_reachable |= upper.unhealthy_reachable << shift;
        self.slow_starting |= upper.slow_starting << shift;
        for mask in &upper.localities {
            self.add_to_locality(mask.locality, mask.slot_mask << shift);
        }
        self.slots.append(&mut upper.slots);
    }
}

/// A mask of the bits below the bit at `index`. All bits are set if `index` is 64 or more.
pub(super) fn bits_below(index: usize) -> u64 {
    1u64.checked_shl(index as u32).map_or(u64::MAX, |bit| bit - 1)
}

/// The indices of the bits that are set in `bits`, from the lowest to the highest.
pub(super) fn bit_indices(mut bits: u64) -> impl Iterator<Item = usize> {
    std::iter::from_fn(move || {
        let index = (bits != 0).then(|| bits.trailing_zeros() as usize)?;
        bits &= bits - 1;
        Some(index)
    })
}
