//! Endpoints that start again under the same id: state of one incarnation does not apply to another.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use spanfold_decide::{
    EndpointEntry, EndpointKey, FleetTable, LoadCount, LoadSource, PromptSegment, SendOutcome, SendReport,
    VmKey,
};
use spanfold_entity::Moment;
use std::collections::BTreeMap;

const SEGMENTS: [PromptSegment; 1] = [PromptSegment { key: 5, tokens: 100 }];

fn at(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

fn entry(born: Option<u64>, version: u64) -> EndpointEntry {
    EndpointEntry {
        id: "i-1".into(),
        born_millis: born,
        service: "llm".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "dc-a".into(),
        version: "v1".into(),
        slots: 8,
        draining: false,
        cold_millis: None,
        weights: BTreeMap::from([("m".to_owned(), version)]).into(),
    }
}

fn key(born: u64) -> EndpointKey {
    EndpointKey::of_incarnation("i-1", Some(born))
}

/// Returns a table with the incarnation started at 1,000, which `prepare` changes, and then that started at
/// 2,000.
fn restarted(prepare: impl Fn(&mut FleetTable)) -> FleetTable {
    let mut table = FleetTable::default();
    table.apply_entry(entry(Some(1_000), 1), at(0));
    prepare(&mut table);
    assert!(table.apply_entry(entry(Some(2_000), 2), at(10)));
    table
}

fn takes_work(table: &FleetTable, key: EndpointKey, millis: u64) -> bool {
    table.row(key).is_some_and(|row| !row.is_departing(at(millis)) && !row.is_ejected(at(millis)))
}

#[test]
fn an_incarnation_after_a_departed_one_gets_work_at_once() {
    let table = restarted(|table| {
        table.apply_entry(EndpointEntry { draining: true, ..entry(Some(1_000), 1) }, at(5));
    });
    assert!(takes_work(&table, key(2_000), 10) && !takes_work(&table, key(1_000), 10));
}

#[test]
fn an_incarnation_after_one_whose_entry_was_removed_gets_work_at_once() {
    let table = restarted(|table| {
        table.mark_entry_missing("i-1", Moment(0));
        table.sweep(at(6));
    });
    assert!(takes_work(&table, key(2_000), 10));
}

#[test]
fn ejection_slowdown_failures_and_suspicion_do_not_carry_over_to_the_next_incarnation() {
    let table = restarted(|table| {
        for _ in 0..8 {
            table.record_outcome(key(1_000), SendOutcome::Broken, at(4));
            table.record_slowdown(key(1_000), 9_000, 1_000);
        }
        for vm in ["a", "b"] {
            let report = SendReport {
                key: key(1_000),
                outcome: SendOutcome::Unreached,
                pace: None,
                rest_millis: None,
            };
            table.apply_send_report(VmKey::of(vm), &report, 0.0, at(5));
        }
    });
    let row = table.row(key(2_000)).unwrap();
    assert!(takes_work(&table, key(2_000), 10) && !row.is_suspected());
    assert!((row.slowdown() - 1.0).abs() < 1e-9 && row.failure_ratio() < 1e-9);
}

#[test]
fn load_and_cache_of_the_earlier_incarnation_do_not_carry_over_to_the_next_one() {
    let load = LoadCount { running: 3, pending_prefill_tokens: 40, memory_tokens: 90 };
    let table = restarted(|table| {
        table.reserve(key(1_000), load, &SEGMENTS, 7);
        table.apply_peer_loads(LoadSource::Vm(VmKey::of("a")), &[(key(1_000), load)], at(5));
    });
    let row = table.row(key(2_000)).unwrap();
    assert_eq!(row.load(at(10)), LoadCount::default());
    assert_eq!(row.cached_segments.leading(&SEGMENTS, 7), 0);
    // Work that still runs at the earlier incarnation is counted there until it finishes.
    assert_eq!(table.row(key(1_000)).unwrap().own, load);
}

#[test]
fn weights_are_those_that_the_new_incarnation_lists_even_if_they_are_older() {
    let mut table = FleetTable::default();
    table.apply_entry(entry(Some(1_000), 1), at(0));
    table.set_weights(key(1_000), &BTreeMap::from([("m".to_owned(), 7)]), at(1));
    table.apply_entry(entry(Some(2_000), 5), at(2));
    assert_eq!(table.row(key(2_000)).unwrap().entry.weights["m"], 5);
}

#[test]
fn late_messages_of_an_earlier_incarnation_change_nothing() {
    let mut table = restarted(|_| {});
    assert!(!table.apply_entry(EndpointEntry { draining: true, ..entry(Some(1_000), 9) }, at(20)));
    let load = LoadCount { running: 9, ..LoadCount::default() };
    table.apply_peer_loads(LoadSource::Vm(VmKey::of("a")), &[(key(1_000), load)], at(21));
    table.raise_weights(key(1_000), spanfold_decide::short_digest("m"), 9, true, at(22));
    table.cordon_as_reported(key(1_000), at(900), true);
    table.record_segments(key(1_000), &SEGMENTS, 7);
    table.record_outcome(key(1_000), SendOutcome::Broken, at(23));
    let row = table.row(key(2_000)).unwrap();
    assert!(takes_work(&table, key(2_000), 24) && !row.is_cordoned(at(24)));
    assert_eq!((row.entry.weights["m"], row.load(at(24)).running), (2, 0));
    assert_eq!(row.cached_segments.leading(&SEGMENTS, 7), 0);
}

#[test]
fn an_entry_of_the_same_incarnation_retains_its_state() {
    let mut table = FleetTable::default();
    table.apply_entry(entry(Some(1_000), 1), at(0));
    table.reserve(key(1_000), LoadCount { running: 1, ..LoadCount::default() }, &SEGMENTS, 7);
    assert!(!table.apply_entry(entry(Some(1_000), 1), at(1)));
    assert_eq!(table.row(key(1_000)).unwrap().own.running, 1);
}

#[test]
fn a_removed_entry_is_that_of_the_newest_incarnation() {
    let mut table = restarted(|_| {});
    table.mark_entry_missing("i-1", Moment(0));
    assert!(!takes_work(&table, key(2_000), 20));
}

#[test]
fn an_entry_without_a_start_time_is_ignored_where_endpoints_state_theirs() {
    let mut table = FleetTable::default();
    let undated = EndpointEntry { id: "i-2".into(), ..entry(None, 1) };
    assert!(!table.lacks_start_time(&undated));
    table.apply_entry(undated.clone(), at(0));
    assert!(takes_work(&table, EndpointKey::of("i-2"), 1));
    table.apply_entry(entry(Some(1_000), 1), at(2));
    assert!(table.lacks_start_time(&undated));
    assert!(!takes_work(&table, EndpointKey::of("i-2"), 3) && takes_work(&table, key(1_000), 3));
    assert!(!table.apply_entry(entry(None, 9), at(4)));
    assert!(takes_work(&table, key(1_000), 5));
}

#[test]
fn an_unreadable_entry_excludes_its_endpoint_until_a_readable_one_follows() {
    let mut table = FleetTable::default();
    table.apply_entry(entry(Some(1_000), 1), at(0));
    assert!(table.set_unreadable("i-1") && !table.set_unreadable("i-1"));
    assert!(!takes_work(&table, key(1_000), 1));
    assert!(table.clear_unreadable("i-1"));
    table.apply_entry(entry(Some(1_000), 1), at(2));
    assert!(takes_work(&table, key(1_000), 3));
    assert!(!table.clear_unreadable("i-1"));
}

/// Change of one of three entries.
#[derive(Clone, Debug)]
enum EntryChange {
    Written { id: usize, born: u64, is_draining: bool },
    Unreadable { id: usize },
    Removed { id: usize },
}

fn changes() -> impl Strategy<Value = Vec<EntryChange>> {
    let written = (0..3_usize, 1..4_u64, any::<bool>())
        .prop_map(|(id, born, is_draining)| EntryChange::Written { id, born, is_draining });
    let unreadable = (0..3_usize).prop_map(|id| EntryChange::Unreadable { id });
    let removed = (0..3_usize).prop_map(|id| EntryChange::Removed { id });
    prop::collection::vec(prop_oneof![3 => written, 1 => unreadable, 1 => removed], 1..40)
}

#[test]
fn an_endpoint_gets_work_only_if_its_last_entry_is_a_readable_one_of_its_newest_incarnation() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(512), rng);
    runner
        .run(&changes(), |changes| {
            let mut table = FleetTable::default();
            // By id: the newest start time that was written, and whether the last entry lists that
            // incarnation.
            let mut expected: [(u64, bool); 3] = Default::default();
            for (step, change) in changes.iter().enumerate() {
                let now = at(step as u64);
                match *change {
                    EntryChange::Written { id, born, is_draining } => {
                        let name = format!("i-{id}");
                        table.clear_unreadable(&name);
                        let draining = is_draining;
                        table.apply_entry(EndpointEntry { id: name, draining, ..entry(Some(born), 1) }, now);
                        let (newest, is_listed) = &mut expected[id];
                        let stays_excluded = *newest == born && !*is_listed;
                        if born >= *newest {
                            // An incarnation that announced its departure does not return; any other entry
                            // may be written again.
                            let stays_excluded = stays_excluded && has_departed(&table, id, born);
                            *is_listed = !is_draining && !stays_excluded;
                            *newest = born;
                        }
                    }
                    EntryChange::Unreadable { id } => {
                        table.set_unreadable(&format!("i-{id}"));
                        expected[id].1 = false;
                    }
                    EntryChange::Removed { id } => {
                        table.mark_entry_missing(&format!("i-{id}"), Moment(0));
                        expected[id].1 = false;
                    }
                }
                for (id, (newest, is_listed)) in expected.iter().enumerate() {
                    for born in 1..4 {
                        let key = EndpointKey::of_incarnation(&format!("i-{id}"), Some(born));
                        let is_used = table.row(key).is_some_and(|row| !row.is_departing(now));
                        prop_assert!(!is_used || (born == *newest && *is_listed), "{id} {born}: {changes:?}");
                    }
                }
            }
            Ok(())
        })
        .unwrap();
}

/// Whether an incarnation has announced its departure.
fn has_departed(table: &FleetTable, id: usize, born: u64) -> bool {
    let key = EndpointKey::of_incarnation(&format!("i-{id}"), Some(born));
    table.row(key).is_some_and(|row| row.entry.draining)
}
