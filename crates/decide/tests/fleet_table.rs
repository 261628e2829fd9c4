//! Which endpoints count as there.

use spanfold_decide::{EndpointEntry, EndpointKey, FleetTable, LoadCount, LoadSource, SendOutcome, VmKey};
use spanfold_entity::Moment;
use std::collections::{BTreeMap, HashSet};

fn entry(id: &str, version: u64) -> EndpointEntry {
    EndpointEntry {
        id: id.to_owned(),
        born_millis: None,
        service: "llm".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "dc-a".to_owned(),
        version: "v1".into(),
        slots: 8,
        draining: false,
        cold_millis: None,
        weights: BTreeMap::from([("m".to_owned(), version)]).into(),
    }
}

fn at(millis: u64) -> Moment {
    Moment(0).after_millis(millis)
}

fn leaving(table: &FleetTable, id: &str, now: Moment) -> Option<bool> {
    table.row(EndpointKey::of(id)).map(|row| row.is_departing(now))
}

#[test]
fn an_entry_that_lapsed_in_an_outage_is_held_and_returns() {
    let mut table = FleetTable::default();
    table.apply_entry(entry("i-1", 1), Moment(0));
    table.mark_entry_missing("i-1", at(2_300));
    assert_eq!(leaving(&table, "i-1", at(100)), Some(false));
    // The store is still in trouble: the hold goes on.
    table.extend_grace(at(2_000), at(4_300));
    table.sweep(at(3_000));
    assert_eq!(leaving(&table, "i-1", at(3_000)), Some(false));
    table.apply_entry(entry("i-1", 1), Moment(0));
    assert_eq!(leaving(&table, "i-1", at(9_000)), Some(false));
}

#[test]
fn an_entry_of_an_endpoint_that_said_it_leaves_does_not_return() {
    let mut table = FleetTable::default();
    table.apply_entry(EndpointEntry { draining: true, ..entry("i-1", 1) }, Moment(0));
    table.mark_entry_missing("i-1", Moment(0));
    assert_eq!(leaving(&table, "i-1", at(1)), Some(true));
    // A hold that is over is not extended.
    table.extend_grace(at(1), at(5_000));
    assert_eq!(leaving(&table, "i-1", at(2)), Some(true));
    assert_eq!(table.sweep(at(3)).gone, [EndpointKey::of("i-1")]);
    assert!(!table.apply_entry(entry("i-1", 1), Moment(0)));
    assert_eq!(leaving(&table, "i-1", at(4)), None);
}

#[test]
fn an_entry_that_is_written_again_after_it_went_returns() {
    let mut table = FleetTable::default();
    table.apply_entry(entry("i-1", 1), Moment(0));
    table.mark_entry_missing("i-1", Moment(0));
    assert_eq!(leaving(&table, "i-1", at(1)), Some(true));
    assert_eq!(table.sweep(at(3)).gone, [EndpointKey::of("i-1")]);
    assert!(table.apply_entry(entry("i-1", 1), at(4)));
    assert_eq!(leaving(&table, "i-1", at(4)), Some(false));
    // A late write of one that is gone lapses again before then.
    let ejected = |millis| table.row(EndpointKey::of("i-1")).map(|row| row.is_ejected(at(millis)));
    assert_eq!((ejected(4_003), ejected(4_004)), (Some(true), Some(false)));
}

#[test]
fn an_older_entry_does_not_take_back_that_an_endpoint_leaves() {
    let mut table = FleetTable::default();
    table.apply_entry(EndpointEntry { draining: true, ..entry("i-1", 1) }, Moment(0));
    table.apply_entry(entry("i-1", 1), Moment(0));
    assert_eq!(leaving(&table, "i-1", at(1)), Some(true));
}

#[test]
fn weights_of_an_engine_whose_entry_went_count_while_it_may_serve() {
    // MIXED at cvmpw-fleet, a day of our own: entries lapsed while answers of the store were lost, the
    // holder had no request at those engines and forgot them, and freed what they still moved.
    let mut table = FleetTable::default();
    table.apply_entry(entry("i-1", 1), Moment(0));
    table.apply_entry(entry("i-2", 3), Moment(0));
    table.mark_entry_missing("i-1", Moment(0));
    table.sweep(at(10));
    assert_eq!(table.oldest_weights(at(1_000)), BTreeMap::from([("m".to_owned(), 1)]));
    assert_eq!(table.oldest_weights(at(20_000)), BTreeMap::from([("m".to_owned(), 3)]));
}

#[test]
fn weights_seen_at_an_engine_stand_against_entries_that_lag() {
    let mut table = FleetTable::default();
    let key = EndpointKey::of("i-1");
    table.apply_entry(entry("i-1", 1), Moment(0));
    table.set_weights(key, &BTreeMap::from([("m".to_owned(), 2)]), at(1));
    table.apply_entry(entry("i-1", 1), Moment(0));
    assert_eq!(table.oldest_weights(at(2))["m"], 2);
    // The engine denies it: back to what it was listed with.
    table.revert_weights(key);
    assert_eq!(table.oldest_weights(at(2))["m"], 1);
}

#[test]
fn a_whole_listing_tells_what_is_missing() {
    let mut table = FleetTable::default();
    table.apply_entry(entry("i-1", 1), Moment(0));
    table.apply_entry(entry("i-2", 1), Moment(0));
    let listed = HashSet::from([EndpointKey::of("i-2")]);
    assert_eq!(table.mark_missing_except(&listed, Moment(0)), ["i-1"]);
    assert!(table.mark_missing_except(&listed, Moment(0)).is_empty());
}

#[test]
fn a_data_centre_fails_from_a_break_until_an_answer() {
    let mut table = FleetTable::default();
    table.apply_entry(entry("i-1", 1), Moment(0));
    let key = EndpointKey::of("i-1");
    assert!(!table.is_failing("dc-a", at(0)));
    table.learn(key, SendOutcome::Broken, at(100));
    assert!(table.is_failing("dc-a", at(200)));
    assert!(!table.is_failing("dc-b", at(200)));
    assert!(!table.is_failing("dc-a", at(4_000)), "it is tried again");
    table.learn(key, SendOutcome::Answered, at(300));
    assert!(!table.is_failing("dc-a", at(400)));
}

fn running(running: u32) -> LoadCount {
    LoadCount { running, ..LoadCount::default() }
}

#[test]
fn what_is_told_of_a_data_centre_counts_each_of_its_vms_once() {
    let mut table = FleetTable::default();
    table.apply_entry(entry("i-1", 1), Moment(0));
    let (key, near, far) = (EndpointKey::of("i-1"), VmKey::of("near"), VmKey::of("far"));
    table.take(key, running(1), &[], 0);
    table.apply_peer_loads(LoadSource::Vm(near), &[(key, running(2))], at(0));
    table.apply_peer_loads(LoadSource::Vm(far), &[(key, running(4))], at(0));
    table.apply_peer_loads(LoadSource::data_centre("dc-b"), &[(key, running(8))], at(0));
    // Placement counts all; a digest of this data centre only what its own VMs said of themselves.
    assert_eq!(table.row(key).unwrap().load(at(100)).running, 15);
    assert_eq!(table.loads_of(|vm| vm == near, at(100)), [(key, running(3))]);
    assert_eq!(table.loads_of(|_| false, at(100)), [(key, running(1))]);
    // What a VM told a while ago does not count any more.
    assert_eq!(table.loads_of(|vm| vm == near, at(2_000)), [(key, running(1))]);
}

#[test]
fn a_later_digest_replaces_its_sources_earlier_one() {
    let mut table = FleetTable::default();
    table.apply_entry(entry("i-1", 1), Moment(0));
    let (key, source) = (EndpointKey::of("i-1"), LoadSource::data_centre("dc-b"));
    table.apply_peer_loads(source, &[(key, running(8))], at(0));
    table.apply_peer_loads(source, &[], at(1));
    assert_eq!(table.row(key).unwrap().load(at(2)).running, 0);
}

#[test]
fn what_other_data_centres_told_is_summed_apart_from_near_vms() {
    let mut table = FleetTable::default();
    table.apply_entry(entry("i-1", 1), Moment(0));
    let key = EndpointKey::of("i-1");
    let load = |running| LoadCount { running, unread_tokens: 10, memory_tokens: 100 };
    for (source, running) in [
        (LoadSource::Vm(VmKey::of("vm-2")), 1),
        (LoadSource::data_centre("dc-b"), 2),
        (LoadSource::data_centre("dc-c"), 4),
    ] {
        table.apply_peer_loads(source, &[(key, load(running))], Moment(0));
    }
    let far: Vec<_> =
        table.remote_loads(at(100)).into_iter().map(|(key, load)| (key, load.running)).collect();
    assert_eq!(far, [(key, 6)]);
    assert_eq!(table.row(key).unwrap().load(at(100)).running, 7);
    // A data centre that is silent is gone, and its requests with it.
    assert!(table.remote_loads(at(1_500)).is_empty());
    // What a lead passed on is not passed on again.
    table.apply_peer_loads(LoadSource::Elsewhere, &[(key, load(6))], at(1_500));
    assert!(table.remote_loads(at(1_600)).is_empty());
    assert_eq!(table.row(key).unwrap().load(at(1_600)).running, 6);
}
