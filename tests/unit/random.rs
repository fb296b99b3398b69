//! Draws by index.

use super::*;
use rand_core::SeedableRng;

#[test]
fn draws_by_index_are_those_of_drawing_one_after_another() {
    let start = Pcg64Mcg::seed_from_u64(3);
    let mut one = start.clone();
    let all: Vec<f64> = (0..300).map(|_| uniform(&mut one)).collect();
    let mut draws = IndexedDraws::new(start);
    assert!([7, 8, 299, 0, 0, 150, 3].into_iter().all(|index| draws.at(index) == all[index]));
}
