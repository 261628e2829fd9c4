//! Bytes held for slow callers and endpoints, over random histories.

use proptest::prelude::*;
use spanfold_decide::{HeldBytes, ReservationId};

const MOST: u64 = 40_000;

#[derive(Clone, Debug)]
enum Step {
    Begin,
    Grow(usize, u64),
    Shrink(usize, u64),
    Settle(usize),
    End(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let place = 0_usize..40;
    prop_oneof![
        2 => Just(Step::Begin),
        6 => (place.clone(), 1_u64..9_000).prop_map(|(place, bytes)| Step::Grow(place, bytes)),
        2 => (place.clone(), 1_u64..9_000).prop_map(|(place, bytes)| Step::Shrink(place, bytes)),
        1 => place.clone().prop_map(Step::Settle),
        1 => place.prop_map(Step::End),
    ]
}

proptest! {
    #[test]
    fn the_bound_holds_and_those_that_hold_most_end(steps in prop::collection::vec(step(), 1..400)) {
        let mut held = HeldBytes::new(MOST);
        // What each holder has by the test's own count; none once it has ended.
        let mut model: Vec<(ReservationId, Option<u64>, bool)> = Vec::new();
        for step in steps {
            match step {
                Step::Begin => model.push((held.begin(), Some(0), true)),
                Step::Grow(place, bytes) => {
                    let Some((id, Some(own), _)) = model.get(place).copied() else { continue };
                    model[place].1 = Some(own + bytes);
                    for ended in held.grow(id, bytes) {
                        let row = model.iter_mut().find(|row| row.0 == ended).unwrap();
                        let had = row.1.take().unwrap();
                        let is_evictable = row.2;
                        prop_assert!(is_evictable || ended == id);
                        // Nobody that may end holds more than the one that was ended.
                        let others = model.iter().filter(|row| row.2).filter_map(|row| row.1);
                        prop_assert!(others.max().unwrap_or(0) <= had);
                    }
                }
                Step::Shrink(place, bytes) => {
                    let Some((id, Some(own), _)) = model.get(place).copied() else { continue };
                    held.shrink(id, bytes);
                    model[place].1 = Some(own.saturating_sub(bytes));
                }
                Step::Settle(place) => {
                    if let Some(row) = model.get_mut(place) {
                        held.settle(row.0);
                        row.2 = false;
                    }
                }
                Step::End(place) => {
                    if let Some(row) = model.get_mut(place) {
                        held.end(row.0);
                        row.1 = None;
                    }
                }
            }
            prop_assert!(held.total() <= MOST);
            prop_assert_eq!(held.total(), model.iter().filter_map(|row| row.1).sum::<u64>());
        }
    }
}

#[test]
fn one_that_holds_little_is_not_ended_for_one_that_holds_more() {
    let mut held = HeldBytes::new(100);
    let small: Vec<_> = (0..9).map(|_| held.begin()).collect();
    for id in &small {
        assert!(held.grow(*id, 10).is_empty());
    }
    let large = held.begin();
    assert_eq!(held.grow(large, 30), [large]);
    assert_eq!(held.total(), 90);
}
