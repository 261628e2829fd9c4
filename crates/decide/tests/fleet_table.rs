//! Entries, weights, failures and loads in the endpoint table.

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

fn is_departing(table: &FleetTable, id: &str, now: Moment) -> Option<bool> {
    table.row(EndpointKey::of(id)).map(|row| row.is_departing(now))
}

#[test]
fn an_endpoint_whose_entry_expires_in_an_outage_has_a_grace_period_and_returns() {
    let mut table = FleetTable::default();
    table.apply_entry(entry("i-1", 1), Moment(0));
    table.mark_entry_missing("i-1", at(2_300));
    assert_eq!(is_departing(&table, "i-1", at(100)), Some(false));
    // The store still fails: the grace period is extended.
    table.extend_grace(at(2_000), at(4_300));
    table.sweep(at(3_000));
    assert_eq!(is_departing(&table, "i-1", at(3_000)), Some(false));
    table.apply_entry(entry("i-1", 1), Moment(0));
    assert_eq!(is_departing(&table, "i-1", at(9_000)), Some(false));
}

#[test]
fn the_entry_of_an_endpoint_that_announced_its_departure_does_not_return() {
    let mut table = FleetTable::default();
    table.apply_entry(EndpointEntry { draining: true, ..entry("i-1", 1) }, Moment(0));
    table.mark_entry_missing("i-1", Moment(0));
    assert_eq!(is_departing(&table, "i-1", at(1)), Some(true));
    // An expired grace period is not extended.
    table.extend_grace(at(1), at(5_000));
    assert_eq!(is_departing(&table, "i-1", at(2)), Some(true));
    assert_eq!(table.sweep(at(3)).removed, [EndpointKey::of("i-1")]);
    assert!(!table.apply_entry(entry("i-1", 1), Moment(0)));
    assert_eq!(is_departing(&table, "i-1", at(4)), None);
}

/// Guards against work for an endpoint that left when its last write arrives late: the row stayed as work ran there.
#[test]
fn a_late_write_of_a_removed_endpoint_gives_it_no_work_at_once() {
    let mut table = FleetTable::default();
    table.apply_entry(entry("i-1", 1), Moment(0));
    let key = EndpointKey::of("i-1");
    table.reserve(key, LoadCount { running: 1, ..LoadCount::default() }, &[], 7);
    table.mark_entry_missing("i-1", Moment(0));
    table.sweep(at(500));
    table.apply_entry(entry("i-1", 1), at(1_000));
    assert!(table.row(key).unwrap().is_ejected(at(4_900)));
    assert!(!table.row(key).unwrap().is_ejected(at(5_100)));
}

#[test]
fn an_endpoint_returns_when_its_removed_entry_is_written_again() {
    let mut table = FleetTable::default();
    table.apply_entry(entry("i-1", 1), Moment(0));
    table.mark_entry_missing("i-1", Moment(0));
    assert_eq!(is_departing(&table, "i-1", at(1)), Some(true));
    assert_eq!(table.sweep(at(3)).removed, [EndpointKey::of("i-1")]);
    assert!(table.apply_entry(entry("i-1", 1), at(4)));
    assert_eq!(is_departing(&table, "i-1", at(4)), Some(false));
    // A late write of a stopped endpoint expires before the ejection is over.
    let ejected = |millis| table.row(EndpointKey::of("i-1")).map(|row| row.is_ejected(at(millis)));
    assert_eq!((ejected(4_003), ejected(4_004)), (Some(true), Some(false)));
}

#[test]
fn an_older_entry_does_not_revoke_a_departure() {
    let mut table = FleetTable::default();
    table.apply_entry(EndpointEntry { draining: true, ..entry("i-1", 1) }, Moment(0));
    table.apply_entry(entry("i-1", 1), Moment(0));
    assert_eq!(is_departing(&table, "i-1", at(1)), Some(true));
}

#[test]
fn weights_of_an_engine_count_while_it_may_serve_after_its_entry_is_removed() {
    // Guards against answers of mixed weights: entries expired while answers of the store were lost. The
    // lease holder had no request at those engines, discarded them, and released cache that they still
    // transferred.
    let mut table = FleetTable::default();
    table.apply_entry(entry("i-1", 1), Moment(0));
    table.apply_entry(entry("i-2", 3), Moment(0));
    table.mark_entry_missing("i-1", Moment(0));
    table.sweep(at(10));
    assert_eq!(table.oldest_weights(at(1_000)), BTreeMap::from([("m".to_owned(), 1)]));
    assert_eq!(table.oldest_weights(at(20_000)), BTreeMap::from([("m".to_owned(), 3)]));
}

#[test]
fn weights_that_an_engine_reports_override_older_entries() {
    let mut table = FleetTable::default();
    let key = EndpointKey::of("i-1");
    table.apply_entry(entry("i-1", 1), Moment(0));
    table.set_weights(key, &BTreeMap::from([("m".to_owned(), 2)]), at(1));
    table.apply_entry(entry("i-1", 1), Moment(0));
    assert_eq!(table.oldest_weights(at(2))["m"], 2);
    // The engine denies the version: the listed weights apply again.
    table.revert_weights(key);
    assert_eq!(table.oldest_weights(at(2))["m"], 1);
}

#[test]
fn a_full_listing_marks_entries_missing() {
    let mut table = FleetTable::default();
    table.apply_entry(entry("i-1", 1), Moment(0));
    table.apply_entry(entry("i-2", 1), Moment(0));
    let listed = HashSet::from([EndpointKey::of("i-2")]);
    assert_eq!(table.mark_missing_except(&listed, Moment(0)), ["i-1"]);
    assert!(table.mark_missing_except(&listed, Moment(0)).is_empty());
}

#[test]
fn a_data_centre_is_failing_from_a_failed_send_until_an_answer() {
    let mut table = FleetTable::default();
    table.apply_entry(entry("i-1", 1), Moment(0));
    let key = EndpointKey::of("i-1");
    assert!(!table.is_failing("dc-a", at(0)));
    table.record_outcome(key, SendOutcome::Broken, at(100));
    assert!(table.is_failing("dc-a", at(200)));
    assert!(!table.is_failing("dc-b", at(200)));
    assert!(!table.is_failing("dc-a", at(4_000)), "it is tried again");
    table.record_outcome(key, SendOutcome::Answered, at(300));
    assert!(!table.is_failing("dc-a", at(400)));
}

fn running(running: u32) -> LoadCount {
    LoadCount { running, ..LoadCount::default() }
}

#[test]
fn a_digest_of_a_data_centre_counts_each_of_its_vms_once() {
    let mut table = FleetTable::default();
    table.apply_entry(entry("i-1", 1), Moment(0));
    let (key, local, remote) = (EndpointKey::of("i-1"), VmKey::of("near"), VmKey::of("far"));
    table.reserve(key, running(1), &[], 0);
    table.apply_peer_loads(LoadSource::Vm(local), &[(key, running(2))], at(0));
    table.apply_peer_loads(LoadSource::Vm(remote), &[(key, running(4))], at(0));
    table.apply_peer_loads(LoadSource::data_centre("dc-b"), &[(key, running(8))], at(0));
    // Placement counts all loads; a digest of this data centre only those that its own VMs report of
    // themselves.
    assert_eq!(table.row(key).unwrap().load(at(100)).running, 15);
    assert_eq!(table.loads_of(|vm| vm == local, at(100)), [(key, running(3))]);
    assert_eq!(table.loads_of(|_| false, at(100)), [(key, running(1))]);
    // An old report does not count any more.
    assert_eq!(table.loads_of(|vm| vm == local, at(2_000)), [(key, running(1))]);
}

#[test]
fn a_later_digest_replaces_the_earlier_one_of_its_source() {
    let mut table = FleetTable::default();
    table.apply_entry(entry("i-1", 1), Moment(0));
    let (key, source) = (EndpointKey::of("i-1"), LoadSource::data_centre("dc-b"));
    table.apply_peer_loads(source, &[(key, running(8))], at(0));
    table.apply_peer_loads(source, &[], at(1));
    assert_eq!(table.row(key).unwrap().load(at(2)).running, 0);
}

#[test]
fn loads_of_other_data_centres_are_summed_apart_from_those_of_local_vms() {
    let mut table = FleetTable::default();
    table.apply_entry(entry("i-1", 1), Moment(0));
    let key = EndpointKey::of("i-1");
    let load = |running| LoadCount { running, pending_prefill_tokens: 10, memory_tokens: 100 };
    for (source, running) in [
        (LoadSource::Vm(VmKey::of("vm-2")), 1),
        (LoadSource::data_centre("dc-b"), 2),
        (LoadSource::data_centre("dc-c"), 4),
    ] {
        table.apply_peer_loads(source, &[(key, load(running))], Moment(0));
    }
    let remote: Vec<_> =
        table.remote_loads(at(100)).into_iter().map(|(key, load)| (key, load.running)).collect();
    assert_eq!(remote, [(key, 6)]);
    assert_eq!(table.row(key).unwrap().load(at(100)).running, 7);
    // An unreachable data centre does not count any more, nor do its requests.
    assert!(table.remote_loads(at(1_500)).is_empty());
    // Loads that a leader relayed are not relayed again.
    table.apply_peer_loads(LoadSource::Elsewhere, &[(key, load(6))], at(1_500));
    assert!(table.remote_loads(at(1_600)).is_empty());
    assert_eq!(table.row(key).unwrap().load(at(1_600)).running, 6);
}

/// Guards against a report or an order's answer about one model that erases what is known of an engine's others.
#[test]
fn a_report_of_one_model_keeps_the_versions_of_the_others() {
    let mut table = FleetTable::default();
    let weights = BTreeMap::from([("m".to_owned(), 7), ("m.v1.5".to_owned(), 2)]);
    table.apply_entry(EndpointEntry { weights: weights.into(), ..entry("i-1", 1) }, at(0));
    let key = EndpointKey::of("i-1");
    table.set_weights(key, &BTreeMap::from([("m.v1.5".to_owned(), 3)]), at(1));
    let recorded = table.row(key).unwrap().entry.weights.as_ref().clone();
    assert_eq!(recorded, BTreeMap::from([("m".to_owned(), 7), ("m.v1.5".to_owned(), 3)]));
}
