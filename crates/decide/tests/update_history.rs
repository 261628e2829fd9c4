//! History of store updates, from which a VM answers VMs that missed some.

use spanfold_decide::{StoreEvent, StoreItem, StorePosition, UpdateHistory};
use spanfold_entity::Moment;

const fn rev(revision: u64) -> StorePosition {
    StorePosition { era: 1, revision }
}

fn removed(revision: u64) -> StoreEvent {
    StoreEvent::Removed { key: format!("key-{revision}"), position: rev(revision) }
}

fn at(seconds: u64) -> Moment {
    Moment(0).after_millis(seconds * 1_000)
}

#[test]
fn all_events_after_a_position_are_returned_or_none() {
    let mut history = UpdateHistory::default();
    history.push(rev(2), rev(5), &[removed(4), removed(5)], at(0));
    history.push(rev(5), rev(5), &[], at(0));
    history.push(rev(5), rev(9), &[removed(8)], at(1));
    assert_eq!(history.since(rev(2)), Some((rev(9), vec![removed(4), removed(5), removed(8)])));
    // A step that contains the position is returned whole: events applied twice have no further effect.
    assert_eq!(history.since(rev(4)), Some((rev(9), vec![removed(4), removed(5), removed(8)])));
    assert_eq!(history.since(rev(5)), Some((rev(9), vec![removed(8)])));
    assert_eq!((history.since(rev(1)), history.since(rev(9)), history.since(rev(12))), (None, None, None));
}

#[test]
fn a_gap_and_expiry_shorten_the_history() {
    let mut history = UpdateHistory::default();
    history.push(rev(2), rev(5), &[removed(4)], at(0));
    history.push(rev(7), rev(9), &[removed(8)], at(1));
    assert_eq!(history.since(rev(2)), None);
    assert_eq!(history.since(rev(7)), Some((rev(9), vec![removed(8)])));
    history.push(rev(9), rev(10), &[removed(10)], at(30));
    assert_eq!(history.since(rev(7)), None);
    assert_eq!(history.since(rev(9)), Some((rev(10), vec![removed(10)])));
}

#[test]
fn large_updates_evict_older_ones() {
    let large = |revision: u64| {
        StoreEvent::Written(StoreItem {
            key: "key".to_owned(),
            value: vec![0; 1 << 20],
            position: rev(revision),
        })
    };
    let mut history = UpdateHistory::default();
    for revision in 1..20 {
        history.push(rev(revision - 1), rev(revision), &[large(revision)], at(0));
    }
    assert_eq!(history.since(rev(10)), None);
    assert_eq!(history.since(rev(17)), Some((rev(19), vec![large(18), large(19)])));
}

#[test]
fn updates_of_an_earlier_era_are_not_returned_after_a_restore() {
    let mut history = UpdateHistory::default();
    history.push(rev(2), rev(9), &[removed(8)], at(0));
    let restored = |revision| StorePosition { era: 2, revision };
    // The store is listed again at position 2:6, and updates follow.
    history.push(restored(6), restored(7), &[], at(1));
    assert_eq!((history.since(rev(2)), history.since(rev(9))), (None, None));
    assert_eq!(history.since(restored(6)), Some((restored(7), vec![])));
}
