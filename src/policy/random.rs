//! Uniform random numbers from a gateway's own generator. Their order is part of a gateway's behaviour: the
//! same events and seed give the same actions.

use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

/// Bits of a draw that an `f64` between 0 and 1 holds exactly.
const MANTISSA_BITS: u32 = 53;

/// A number from 0 up to but not including 1.
pub(super) fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}

/// A sequence of draws of which any can be read without making those before it.
pub(super) struct IndexedDraws {
    start: Pcg64Mcg,
    next: Pcg64Mcg,
    /// Index of the draw that `next` makes.
    next_index: usize,
}

impl IndexedDraws {
    /// The draws that `rng` would make from here on.
    pub(super) fn new(rng: Pcg64Mcg) -> Self {
        IndexedDraws { start: rng.clone(), next: rng, next_index: 0 }
    }

    /// The draw at `index`, from 0 up to but not including 1.
    pub(super) fn at(&mut self, index: usize) -> f64 {
        if index < self.next_index {
            self.next = self.start.clone();
            self.next_index = 0;
        }
        self.next.advance((index - self.next_index) as u128);
        self.next_index = index + 1;
        uniform(&mut self.next)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/random.rs"]
mod tests;
