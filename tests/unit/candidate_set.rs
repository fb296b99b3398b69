//! Candidates by number and rank.

use super::*;

#[test]
fn a_set_takes_the_first_of_the_order_and_finds_each_by_number_and_rank() {
    for max_size in [1, 5, 6, 7, 64, 65, usize::MAX] {
        let mut set = CandidateSet::default();
        set.begin(max_size);
        let blocks = [(0b1011_0000, 9), (0, 64), (u64::MAX, 64), (1 << 63, 64)];
        let mut expected = Vec::new();
        let mut first_rank = 0;
        for (block, (members, len)) in blocks.into_iter().enumerate() {
            expected.extend(positions_of(members).map(|slot| Candidate {
                position: EndpointPosition { block, slot },
                rank: first_rank + slot,
            }));
            first_rank += len;
            if set.remaining() > 0 {
                set.add(block, members, len);
            }
        }
        let passed = if max_size > expected.len() { first_rank } else { expected[max_size - 1].rank + 1 };
        expected.truncate(max_size);
        assert_eq!(set.iter().collect::<Vec<_>>(), expected);
        assert_eq!((set.len(), set.servers_passed()), (expected.len(), passed));
        assert!(expected.iter().enumerate().all(|(n, candidate)| set.nth(n) == Some(*candidate)));
        assert_eq!(set.nth(expected.len()), None);
    }
}
