//! Checks that draws by index are the draws that the generator makes in sequence.

use super::*;
use rand_core::SeedableRng;

#[test]
fn a_draw_by_index_equals_the_draw_made_in_sequence() {
    let start = Pcg64Mcg::seed_from_u64(3);
    let mut sequential = start.clone();
    let all: Vec<f64> = (0..300).map(|_| uniform(&mut sequential)).collect();
    let mut draws = IndexedDraws::new(start);
    assert!([7, 8, 299, 0, 0, 150, 3].into_iter().all(|index| draws.at(index) == all[index]));
}
