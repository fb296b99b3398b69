//! Checks the index against a plain map while servers are added, updated and removed at random.

use super::*;
use crate::policy::endpoint_block::{bits_below, Locality};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Position of a server that has to be in the index.
fn position_of(index: &EndpointIndex, id: u32) -> EndpointPosition {
    index.find(ServerId(id)).expect("the server is in the index")
}

/// Checks the masks of one block against the health that was last set for each server.
fn check_block(block: &Block, expected: &BTreeMap<u32, HealthState>) {
    assert!((1..=BLOCK_CAPACITY).contains(&block.slots.len()) && block.first_key == block.slots[0].key);
    for (i, slot) in block.slots.iter().enumerate() {
        let health = expected[&slot.tracked_endpoint.endpoint.server.0];
        let bit = |mask: u64| mask >> i & 1 == 1;
        assert_eq!(bit(block.available), health.ready && !health.paused && health.healthy);
        assert_eq!(
            bit(block.unhealthy_reachable),
            health.ready && !health.paused && !health.healthy && health.reachable
        );
        assert_eq!(bit(block.slow_starting), !health.warm);
        let endpoint = &slot.tracked_endpoint.endpoint;
        let own = [Locality::Zone(endpoint.zone), Locality::Cell(endpoint.cell)];
        for mask in &block.localities {
            assert_eq!(bit(mask.slot_mask), own.contains(&mask.locality));
        }
        assert!(own.iter().all(|locality| bit(block.locality_slot_mask(*locality))));
    }
    let unused_bits = !bits_below(block.slots.len());
    let members = block.localities.iter().fold(0, |all, mask| all | mask.slot_mask);
    assert_eq!(
        (block.available | block.unhealthy_reachable | block.slow_starting | members) & unused_bits,
        0
    );
    assert!(block.localities.windows(2).all(|pair| pair[0].locality < pair[1].locality));
    assert!(block.localities.iter().all(|mask| mask.slot_mask != 0));
}

/// Checks order, masks and counts against the health that was last set for each server.
fn check(index: &EndpointIndex, expected: &BTreeMap<u32, HealthState>) {
    let slots: Vec<&Slot> = index.blocks.iter().flat_map(|block| &block.slots).collect();
    assert!(slots.windows(2).all(|pair| pair[0].key < pair[1].key));
    assert_eq!((slots.len(), index.len()), (expected.len(), expected.len()));
    let count = |of: fn(&HealthState) -> bool| expected.values().filter(|health| of(health)).count();
    assert_eq!(
        (index.ready_count(), index.healthy_count(), index.warm_count()),
        (count(|health| health.ready), count(|health| health.healthy), count(|health| health.warm))
    );
    index.blocks.iter().for_each(|block| check_block(block, expected));
    assert!(index.blocks.len() <= 4 * expected.len() / BLOCK_CAPACITY + 1, "{} blocks", index.blocks.len());
}

#[test]
fn order_masks_and_counts_match_the_servers_after_every_change() {
    let mut rng = Pcg64Mcg::seed_from_u64(8);
    let mut index = EndpointIndex::new(rng.next_u64());
    let mut expected = BTreeMap::new();
    // The fleet grows to some thousands, shrinks to a handful, and grows again.
    for (round, size) in [6000, 9, 700, 1, 200].into_iter().enumerate() {
        for step in 0..9000 {
            let id = rng.next_u32() % 8000;
            if expected.len() > size || rng.next_u32() % 9 == 0 {
                let id = expected.range(id..).next().map_or(id, |(id, _)| *id);
                index.remove(ServerId(id));
                expected.remove(&id);
            } else {
                let [ready, paused, healthy, reachable, warm] = [0; 5].map(|_| rng.next_u32() % 3 > 0);
                let health = HealthState { ready, paused, healthy, reachable, warm };
                let position = index.find_or_insert(ServerId(id));
                let endpoint = &mut index.at_mut(position).endpoint;
                let locality = rng.next_u32();
                endpoint.server = ServerId(id);
                endpoint.zone = (locality % 6) as u16;
                endpoint.cell = (locality % 29) as u16;
                index.update_localities(position);
                index.set_health(position, health, Some(f64::from(id)));
                expected.insert(id, health);
            }
            if step % 997 == 0 {
                check(&index, &expected);
            }
        }
        check(&index, &expected);
        // A complete list keeps half of the servers; only their transitions remain.
        index.begin_complete_list();
        expected.retain(|id, _| id % 2 == round as u32 % 2);
        for (id, health) in &expected {
            let position = index.find_or_insert(ServerId(*id));
            index.set_health(position, *health, Some(f64::from(*id)));
        }
        index.remove_unlisted();
        check(&index, &expected);
        let due: Vec<u32> = index
            .take_due_transitions(4000.0)
            .into_iter()
            .map(|position| index.at(position).endpoint.server.0)
            .collect();
        assert_eq!(due, expected.keys().copied().filter(|id| *id <= 4000).collect::<Vec<_>>());
        assert!(index.take_due_transitions(4000.0).is_empty());
        assert!(due.iter().all(|id| index.at(position_of(&index, *id)).endpoint.server == ServerId(*id)));
    }
}
