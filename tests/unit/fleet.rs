//! The order of servers against plain maps, through growth, loss and return.

use super::*;
use rand_core::SeedableRng;
use std::collections::BTreeMap;

/// Checks order, bits and counts against what each server was last said to be.
fn check(fleet: &Fleet, known: &BTreeMap<u32, Standing>) {
    let slots: Vec<&Slot> = fleet.blocks.iter().flat_map(|b| &b.slots).collect();
    assert!(slots.windows(2).all(|w| w[0].key < w[1].key));
    assert_eq!((slots.len(), fleet.len()), (known.len(), known.len()));
    let count = |of: fn(&Standing) -> bool| known.values().filter(|s| of(s)).count();
    assert_eq!(
        (fleet.ready, fleet.healthy, fleet.warm),
        (count(|s| s.ready), count(|s| s.healthy), count(|s| s.warm))
    );
    for block in &fleet.blocks {
        assert!((1..=BLOCK).contains(&block.slots.len()) && block.first == block.slots[0].key);
        for (i, slot) in block.slots.iter().enumerate() {
            let s = known[&slot.server.entry.server.0];
            let bit = |mask: u64| mask >> i & 1 == 1;
            assert_eq!(bit(block.sound), s.ready && !s.paused && s.healthy);
            assert_eq!(bit(block.ailing), s.ready && !s.paused && !s.healthy && s.reachable);
            assert_eq!(bit(block.cold), !s.warm);
            let entry = &slot.server.entry;
            for (tag, mask) in &block.groups {
                assert_eq!(bit(*mask), [Tag::Zone(entry.zone), Tag::Cell(entry.cell)].contains(tag));
            }
            assert!(bit(block.of(Tag::Zone(entry.zone))) && bit(block.of(Tag::Cell(entry.cell))));
        }
        let past = !below(block.slots.len());
        let groups = block.groups.iter().fold(0, |all, group| all | group.1);
        assert_eq!((block.sound | block.ailing | block.cold | groups) & past, 0);
        assert!(block.groups.windows(2).all(|w| w[0].0 < w[1].0) && block.groups.iter().all(|g| g.1 != 0));
    }
    assert!(fleet.blocks.len() <= 4 * known.len() / BLOCK + 1, "{} blocks", fleet.blocks.len());
}

#[test]
fn order_bits_and_counts_follow_every_change() {
    let mut rng = Pcg64Mcg::seed_from_u64(8);
    let mut fleet = Fleet::new(rng.next_u64());
    let mut known = BTreeMap::new();
    // The fleet grows to some thousands, shrinks to a handful, and grows again.
    for (round, size) in [6000, 9, 700, 1, 200].into_iter().enumerate() {
        for step in 0..9000 {
            let id = rng.next_u32() % 8000;
            if known.len() > size || rng.next_u32() % 9 == 0 {
                let id = known.range(id..).next().map_or(id, |(id, _)| *id);
                fleet.remove(ServerId(id));
                known.remove(&id);
            } else {
                let [ready, paused, healthy, reachable, warm] = [0; 5].map(|_| rng.next_u32() % 3 > 0);
                let standing = Standing { ready, paused, healthy, reachable, warm };
                let place = fleet.enter(ServerId(id));
                let entry = &mut fleet.at_mut(place).entry;
                let home = rng.next_u32();
                (entry.server, entry.zone, entry.cell) =
                    (ServerId(id), (home % 6) as u16, (home % 29) as u16);
                fleet.group(place);
                fleet.stand(place, standing, f64::from(id));
                known.insert(id, standing);
            }
            if step % 997 == 0 {
                check(&fleet, &known);
            }
        }
        check(&fleet, &known);
        // Half stay in a whole list; the wakes are those of the servers that are left.
        fleet.begin_list();
        known.retain(|id, _| id % 2 == round as u32 % 2);
        for (id, standing) in &known {
            let place = fleet.enter(ServerId(*id));
            fleet.stand(place, *standing, f64::from(*id));
        }
        fleet.drop_unlisted();
        check(&fleet, &known);
        let due: Vec<u32> =
            fleet.due(4000.0).into_iter().map(|place| fleet.at(place).entry.server.0).collect();
        assert_eq!(due, known.keys().copied().filter(|id| *id <= 4000).collect::<Vec<_>>());
        assert!(fleet.due(4000.0).is_empty());
        assert!(due.iter().all(|id| fleet.get(&ServerId(*id)).is_some()));
    }
}

#[test]
fn a_walk_takes_the_first_of_the_order_and_finds_each_by_number_and_rank() {
    for most in [1, 5, 6, 7, 64, 65, usize::MAX] {
        let mut walk = Walk::default();
        walk.begin(most);
        let blocks = [(0b1011_0000, 9), (0, 64), (u64::MAX, 64), (1 << 63, 64)];
        let mut all = Vec::new();
        let mut start = 0;
        for (b, (bits, len)) in blocks.into_iter().enumerate() {
            all.extend(ones(bits).map(|i| ((b, i), start + i)));
            start += len;
            if walk.room() > 0 {
                walk.take(b, bits, len);
            }
        }
        let passed = if most > all.len() { start } else { all[most - 1].1 + 1 };
        all.truncate(most);
        assert_eq!(
            (walk.all().collect::<Vec<_>>(), walk.count, walk.passed),
            (all.clone(), all.len(), passed)
        );
        assert!(all.iter().enumerate().all(|(n, found)| walk.nth(n) == Some(*found)));
        assert_eq!(walk.nth(all.len()), None);
    }
}

#[test]
fn draws_are_those_of_drawing_one_after_another() {
    let start = Pcg64Mcg::seed_from_u64(3);
    let mut one = start.clone();
    let all: Vec<f64> = (0..300).map(|_| share(&mut one)).collect();
    let mut draws = Draws::new(start);
    assert!([7, 8, 299, 0, 0, 150, 3].into_iter().all(|rank| draws.at(rank) == all[rank]));
}
