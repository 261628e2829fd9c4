//! Sequence numbers of other VMs' messages, each of which is accepted once.

use proptest::prelude::*;
use spanfold_decide::{UsedSequences, VmKey};
use std::collections::BTreeSet;

/// Numbers that may overtake one another.
const WINDOW: u64 = 1_024;

#[test]
fn numbers_older_than_the_window_are_rejected() {
    let (mut sequences, vm) = (UsedSequences::default(), VmKey::of("vm-2"));
    assert!(sequences.accept(vm, 1, 5_000, true));
    assert!(!sequences.accept(vm, 1, 5_000 - WINDOW, true));
    assert!(sequences.accept(vm, 1, 5_001 - WINDOW, true));
    assert!(!sequences.accept(vm, 1, 0, true));
    assert!(sequences.accept(vm, 1, u64::MAX, true));
    assert!(!sequences.accept(vm, 1, u64::MAX, true));
    assert!(!sequences.accept(vm, 1, 5_002, true));
}

#[test]
fn each_incarnation_has_its_own_numbers_and_only_a_current_one_begins() {
    let (mut sequences, vm) = (UsedSequences::default(), VmKey::of("vm-2"));
    assert!(!sequences.accept(vm, 1, 1, false));
    assert!(sequences.accept(vm, 1, 1, true));
    assert!(sequences.accept(vm, 2, 1, true));
    // Requests of the previous one may still arrive, once each.
    assert!(sequences.accept(vm, 1, 2, false));
    assert!(!sequences.accept(vm, 1, 1, false));
    assert!(sequences.accept(VmKey::of("vm-3"), 1, 1, true));
    // The oldest of five is forgotten, and not accepted again.
    (3..=5).for_each(|incarnation| assert!(sequences.accept(vm, incarnation, 1, true)));
    assert!(!sequences.accept(vm, 1, 3, false));
    sequences.retain(|known| known == vm);
    assert!(sequences.accept(VmKey::of("vm-3"), 1, 1, true));
    assert!(!sequences.accept(vm, 5, 1, true));
}

proptest! {
    #[test]
    fn no_number_is_accepted_twice_and_none_within_the_window_is_lost(
        steps in prop::collection::vec((0..1_500_u64, 0..1_200_u64), 1..400),
    ) {
        let (mut sequences, vm) = (UsedSequences::default(), VmKey::of("vm-2"));
        let (mut newest, mut accepted) = (1_u64, BTreeSet::new());
        for (forward, back) in steps {
            // Mostly small steps, with jumps beyond the window.
            let base = newest + if forward > 1_400 { forward } else { forward % 4 };
            let sequence = base.saturating_sub(back % 1_100).max(1);
            let is_accepted = sequences.accept(vm, 1, sequence, true);
            let is_in_window = sequence + WINDOW > newest;
            prop_assert_eq!(is_accepted, is_in_window && !accepted.contains(&sequence));
            if is_accepted {
                accepted.insert(sequence);
                newest = newest.max(sequence);
            }
        }
    }
}
