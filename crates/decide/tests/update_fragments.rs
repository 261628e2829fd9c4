//! Store updates in fragments are applied as a whole or not at all.

use spanfold_decide::{
    ReassemblyProgress, StoreEvent, StoreItem, StorePosition, UpdateReassembly, VmKey, split_update,
};

const REPORTER: VmKey = VmKey(1);

const fn rev(revision: u64) -> StorePosition {
    StorePosition { era: 1, revision }
}

/// An update whose value does not compress, so that it needs several fragments.
fn large_update(revision: u64) -> Vec<StoreEvent> {
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
fn fragments_are_reassembled_in_any_order_and_with_duplicates() {
    let events = large_update(7);
    let mut fragments = split_update(&events).unwrap();
    assert!(fragments.len() > 4);
    fragments.reverse();
    let duplicate = fragments[0].clone();
    let last = fragments.pop().unwrap();
    let mut reassembly = UpdateReassembly::default();
    for fragment in fragments.iter().chain([&duplicate]) {
        assert_eq!(reassembly.add_fragment(REPORTER, rev(6), rev(7), fragment), ReassemblyProgress::Partial);
    }
    assert_eq!(reassembly.add_fragment(REPORTER, rev(6), rev(7), &last), ReassemblyProgress::Whole(events));
}

#[test]
fn fragments_of_different_vms_and_updates_are_not_mixed() {
    let (first, second) = (large_update(7), large_update(8));
    let (first_fragments, second_fragments) = (split_update(&first).unwrap(), split_update(&second).unwrap());
    let mut reassembly = UpdateReassembly::default();
    for (first_fragment, second_fragment) in first_fragments.iter().zip(&second_fragments).skip(1) {
        assert_eq!(
            reassembly.add_fragment(REPORTER, rev(6), rev(7), first_fragment),
            ReassemblyProgress::Partial
        );
        assert_eq!(
            reassembly.add_fragment(REPORTER, rev(7), rev(8), second_fragment),
            ReassemblyProgress::Partial
        );
        assert_eq!(
            reassembly.add_fragment(VmKey(2), rev(6), rev(7), first_fragment),
            ReassemblyProgress::Partial
        );
    }
    assert_eq!(
        reassembly.add_fragment(REPORTER, rev(7), rev(8), &second_fragments[0]),
        ReassemblyProgress::Whole(second)
    );
    reassembly.discard_up_to(rev(7));
    // The earlier fragments were discarded, so this fragment starts a new reassembly.
    assert_eq!(
        reassembly.add_fragment(REPORTER, rev(6), rev(7), &first_fragments[0]),
        ReassemblyProgress::Partial
    );
}

#[test]
fn repetitive_text_is_compressed() {
    let value: Vec<u8> = (0..2_000)
        .flat_map(|number| {
            format!("{{\"name\":\"r-{number}\",\"pathPrefix\":\"/p-{number}/\",\"timeoutMs\":3000}},")
                .into_bytes()
        })
        .collect();
    let size = value.len();
    let events = vec![StoreEvent::Written(StoreItem { key: "key".to_owned(), value, position: rev(3) })];
    let packed_bytes: usize =
        split_update(&events).unwrap().iter().map(|fragment| fragment.content.len()).sum();
    assert!(packed_bytes * 4 < size, "{packed_bytes} bytes for {size}");
}

#[test]
fn invalid_fragments_are_rejected() {
    let mut fragment = split_update(&large_update(7)).unwrap().remove(0);
    let mut reassembly = UpdateReassembly::default();
    for (place, count) in [(0, 0), (3, 3), (0, u32::MAX)] {
        (fragment.place, fragment.count) = (place, count);
        assert_eq!(
            reassembly.add_fragment(REPORTER, rev(6), rev(7), &fragment),
            ReassemblyProgress::Unreadable
        );
    }
    (fragment.place, fragment.count) = (0, 1);
    assert_eq!(reassembly.add_fragment(REPORTER, rev(6), rev(7), &fragment), ReassemblyProgress::Unreadable);
}

#[test]
fn interleaved_fragments_of_several_vms_are_all_reassembled() {
    let events = large_update(7);
    let fragments = split_update(&events).unwrap();
    let mut reassembly = UpdateReassembly::default();
    let mut complete = 0;
    for fragment in &fragments {
        for reporter in 0..9 {
            complete += usize::from(matches!(
                reassembly.add_fragment(VmKey(reporter), rev(6), rev(7), fragment),
                ReassemblyProgress::Whole(_)
            ));
        }
    }
    assert_eq!(complete, 9);
}

#[test]
fn updates_of_too_many_fragments_are_not_split() {
    let events: Vec<_> = (0..12).flat_map(|revision| large_update(revision + 1)).collect();
    assert_eq!(split_update(&events), None);
}
