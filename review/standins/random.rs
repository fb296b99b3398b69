//! Numbers that look random and are the same in each run.

/// A number from 0 up to, but not including, 1 for each seed (SplitMix64).
pub fn uniform(seed: u64) -> f64 {
    let mut z = seed.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// An exponential number with mean 1 for each seed.
pub fn exponential(seed: u64) -> f64 {
    -(1.0 - uniform(seed)).ln()
}
