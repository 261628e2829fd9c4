//! Changes in pieces: whole or not at all.

use spanfold_decide::{
    ReassemblyProgress, StoreEvent, StoreItem, StorePosition, UpdateReassembly, VmKey, split_update,
};

const TELLER: VmKey = VmKey(1);

/// A change whose value does not compress, so that it needs several pieces.
const fn rev(revision: u64) -> StorePosition {
    StorePosition { era: 1, revision }
}

fn large_change(revision: u64) -> Vec<StoreEvent> {
    let mut state = revision;
    let value = (0..100_000).map(|_| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 56) as u8
    });
    vec![StoreEvent::Written(StoreItem {
        key: "key".to_owned(),
        value: value.collect(),
        position: rev(revision),
    })]
}

#[test]
fn pieces_make_the_changes_in_any_order_and_twice_told() {
    let events = large_change(7);
    let mut pieces = split_update(&events).unwrap();
    assert!(pieces.len() > 4);
    pieces.reverse();
    let again = pieces[0].clone();
    let last = pieces.pop().unwrap();
    let mut assembly = UpdateReassembly::default();
    for piece in pieces.iter().chain([&again]) {
        assert_eq!(assembly.take(TELLER, rev(6), rev(7), piece), ReassemblyProgress::Partial);
    }
    assert_eq!(assembly.take(TELLER, rev(6), rev(7), &last), ReassemblyProgress::Whole(events));
}

#[test]
fn pieces_of_other_vms_and_of_other_changes_are_kept_apart() {
    let (one, other) = (large_change(7), large_change(8));
    let (one_pieces, other_pieces) = (split_update(&one).unwrap(), split_update(&other).unwrap());
    let mut assembly = UpdateReassembly::default();
    for (mine, theirs) in one_pieces.iter().zip(&other_pieces).skip(1) {
        assert_eq!(assembly.take(TELLER, rev(6), rev(7), mine), ReassemblyProgress::Partial);
        assert_eq!(assembly.take(TELLER, rev(7), rev(8), theirs), ReassemblyProgress::Partial);
        assert_eq!(assembly.take(VmKey(2), rev(6), rev(7), mine), ReassemblyProgress::Partial);
    }
    assert_eq!(assembly.take(TELLER, rev(7), rev(8), &other_pieces[0]), ReassemblyProgress::Whole(other));
    assembly.discard_up_to(rev(7));
    // The other pieces are gone: this one is a first one again.
    assert_eq!(assembly.take(TELLER, rev(6), rev(7), &one_pieces[0]), ReassemblyProgress::Partial);
}

#[test]
fn repeated_text_is_told_in_few_bytes() {
    let value: Vec<u8> = (0..2_000)
        .flat_map(|number| {
            format!("{{\"name\":\"r-{number}\",\"pathPrefix\":\"/p-{number}/\",\"timeoutMs\":3000}},")
                .into_bytes()
        })
        .collect();
    let size = value.len();
    let events = vec![StoreEvent::Written(StoreItem { key: "key".to_owned(), value, position: rev(3) })];
    let told: usize = split_update(&events).unwrap().iter().map(|piece| piece.content.len()).sum();
    assert!(told * 4 < size, "{told} bytes for {size}");
}

#[test]
fn what_is_no_piece_changes_nothing() {
    let mut piece = split_update(&large_change(7)).unwrap().remove(0);
    let mut assembly = UpdateReassembly::default();
    for (place, count) in [(0, 0), (3, 3), (0, u32::MAX)] {
        (piece.place, piece.count) = (place, count);
        assert_eq!(assembly.take(TELLER, rev(6), rev(7), &piece), ReassemblyProgress::Unreadable);
    }
    (piece.place, piece.count) = (0, 1);
    assert_eq!(assembly.take(TELLER, rev(6), rev(7), &piece), ReassemblyProgress::Unreadable);
}

#[test]
fn several_vms_that_tell_the_same_in_turn_disturb_none_of_each_other() {
    let events = large_change(7);
    let pieces = split_update(&events).unwrap();
    let mut assembly = UpdateReassembly::default();
    let mut whole = 0;
    for piece in &pieces {
        for teller in 0..9 {
            whole += usize::from(matches!(
                assembly.take(VmKey(teller), rev(6), rev(7), piece),
                ReassemblyProgress::Whole(_)
            ));
        }
    }
    assert_eq!(whole, 9);
}

#[test]
fn changes_of_too_many_pieces_are_not_told() {
    let events: Vec<_> = (0..12).flat_map(|revision| large_change(revision + 1)).collect();
    assert_eq!(split_update(&events), None);
}
