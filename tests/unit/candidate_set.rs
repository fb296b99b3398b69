//! Checks the contents of a candidate set against a plain list.

use super::*;

#[test]
fn a_set_holds_the_first_servers_of_the_order_with_their_index_and_rank() {
    for max_size in [1, 5, 6, 7, 64, 65, usize::MAX] {
        let mut set = CandidateSet::default();
        set.reset(max_size);
        let blocks = [(0b1011_0000, 9), (0, 64), (u64::MAX, 64), (1 << 63, 64)];
        let mut expected = Vec::new();
        let mut first_rank = 0;
        for (block, (slot_mask, len)) in blocks.into_iter().enumerate() {
            expected.extend(bit_indices(slot_mask).map(|slot| Candidate {
                position: EndpointPosition { block, slot },
                rank: first_rank + slot,
            }));
            first_rank += len;
            if set.remaining_capacity() > 0 {
                set.add(block, slot_mask, len);
            }
        }
        let scanned = if max_size > expected.len() { first_rank } else { expected[max_size - 1].rank + 1 };
        expected.truncate(max_size);
        assert_eq!(set.iter().collect::<Vec<_>>(), expected);
        assert_eq!((set.len(), set.servers_scanned()), (expected.len(), scanned));
        assert!(expected.iter().enumerate().all(|(index, candidate)| set.nth(index) == Some(*candidate)));
        assert_eq!(set.nth(expected.len()), None);
    }
}
