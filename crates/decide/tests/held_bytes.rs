//! Limit on buffered bytes, over random histories.

use proptest::prelude::*;
use spanfold_decide::{HeldBytes, ReservationId};

const LIMIT_BYTES: u64 = 40_000;

#[derive(Clone, Debug)]
enum Step {
    Begin,
    Grow(usize, u64),
    Shrink(usize, u64),
    Settle(usize),
    End(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0_usize..40;
    prop_oneof![
        2 => Just(Step::Begin),
        6 => (index.clone(), 1_u64..9_000).prop_map(|(index, bytes)| Step::Grow(index, bytes)),
        2 => (index.clone(), 1_u64..9_000).prop_map(|(index, bytes)| Step::Shrink(index, bytes)),
        1 => index.clone().prop_map(Step::Settle),
        1 => index.prop_map(Step::End),
    ]
}

proptest! {
    #[test]
    fn the_largest_reservations_are_evicted_at_the_limit(steps in prop::collection::vec(step(), 1..400)) {
        let mut held = HeldBytes::new(LIMIT_BYTES);
        // Bytes of each reservation by the test's own count; none once it has been evicted or removed.
        let mut model: Vec<(ReservationId, Option<u64>, bool)> = Vec::new();
        for step in steps {
            match step {
                Step::Begin => model.push((held.begin(), Some(0), true)),
                Step::Grow(index, bytes) => {
                    let Some((id, Some(bytes_before), _)) = model.get(index).copied() else { continue };
                    model[index].1 = Some(bytes_before + bytes);
                    for evicted in held.grow(id, bytes) {
                        let row = model.iter_mut().find(|row| row.0 == evicted).unwrap();
                        let evicted_bytes = row.1.take().unwrap();
                        let is_evictable = row.2;
                        prop_assert!(is_evictable || evicted == id);
                        // No evictable reservation holds more than the evicted one.
                        let others = model.iter().filter(|row| row.2).filter_map(|row| row.1);
                        prop_assert!(others.max().unwrap_or(0) <= evicted_bytes);
                    }
                }
                Step::Shrink(index, bytes) => {
                    let Some((id, Some(bytes_before), _)) = model.get(index).copied() else { continue };
                    held.shrink(id, bytes);
                    model[index].1 = Some(bytes_before.saturating_sub(bytes));
                }
                Step::Settle(index) => {
                    if let Some(row) = model.get_mut(index) {
                        held.pin(row.0);
                        row.2 = false;
                    }
                }
                Step::End(index) => {
                    if let Some(row) = model.get_mut(index) {
                        held.release(row.0);
                        row.1 = None;
                    }
                }
            }
            prop_assert!(held.total() <= LIMIT_BYTES);
            prop_assert_eq!(held.total(), model.iter().filter_map(|row| row.1).sum::<u64>());
        }
    }
}

#[test]
fn a_small_reservation_is_not_evicted_for_a_larger_one() {
    let mut held = HeldBytes::new(100);
    let small: Vec<_> = (0..9).map(|_| held.begin()).collect();
    for id in &small {
        assert!(held.grow(*id, 10).is_empty());
    }
    let large = held.begin();
    assert_eq!(held.grow(large, 30), [large]);
    assert_eq!(held.total(), 90);
}

/// Guards against reservations of one size that evict each other, so that none is ever whole.
#[test]
fn reservations_of_one_size_do_not_evict_each_other() {
    let mut held = HeldBytes::new(100);
    let ids: Vec<_> = (0..4).map(|_| held.begin()).collect();
    let grown: Vec<_> = ids.iter().map(|id| held.grow_beside(*id, 40).is_some()).collect();
    assert_eq!(grown, [true, true, false, false]);
    // A small one displaces a large one, whose memory is in use until it is released.
    let small = held.begin();
    assert!(held.grow(small, 19).is_empty());
    assert_eq!(held.grow_beside(ids[2], 10), Some(vec![ids[1]]));
    assert!(!held.has_room(30));
    held.release(ids[1]);
    assert!(held.has_room(30));
}
