//! Uniform random numbers from the generator of one gateway. The order of the draws is part of the gateway's
//! behaviour: the same seed and events have to give the same actions.

use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

/// Number of random bits in a draw: the precision of an `f64`.
const MANTISSA_BITS: u32 = 53;

/// Draws a number from 0 up to, but not including, 1.
pub(super) fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}

/// A sequence of draws in which each draw can be read by its index, without making the earlier draws.
pub(super) struct IndexedDraws {
    /// The generator before the draw at index 0.
    initial_rng: Pcg64Mcg,
    /// The generator before the draw at `next_index`.
    rng: Pcg64Mcg,
    /// Index of the draw that `rng` makes next.
    next_index: usize,
}

impl IndexedDraws {
    /// The draws that `rng` would make from its current state on.
    pub(super) fn new(rng: Pcg64Mcg) -> Self {
        IndexedDraws { initial_rng: rng.clone(), rng, next_index: 0 }
    }

    /// The draw at `index`, from 0 up to, but not including, 1.
    pub(super) fn at(&mut self, index: usize) -> f64 {
        if index < self.next_index {
            self.rng = self.initial_rng.clone();
            self.next_index = 0;
        }
        self.rng.advance((index - self.next_index) as u128);
        self.next_index = index + 1;
        uniform(&mut self.rng)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/random.rs"]
mod tests;
