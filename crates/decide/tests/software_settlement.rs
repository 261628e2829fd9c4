//! When streams may begin on a software version: all VMs have to know it first.

use spanfold_decide::{
    EndpointEntry, FleetTable, SoftwareKey, StoredSoftware, VersionSplit, known_everywhere_at, short_digest,
};
use spanfold_entity::Moment;
use std::collections::BTreeMap;

fn at(millis: u64) -> Moment {
    Moment(0).after_millis(millis)
}

fn key(software: &str) -> SoftwareKey {
    SoftwareKey { service: short_digest("llm"), software: short_digest(software) }
}

fn list(table: &mut FleetTable, id: &str, software: &str, now: Moment) {
    let entry = EndpointEntry {
        id: id.to_owned(),
        born_millis: None,
        service: "llm".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "dc-a".to_owned(),
        version: software.into(),
        slots: 8,
        draining: false,
        cold_millis: None,
        weights: BTreeMap::new().into(),
    };
    table.apply_entry(entry, now);
}

/// Returns the software versions at which a stream may begin.
fn settled(table: &mut FleetTable, now: Moment) -> Vec<String> {
    table.settle_software("llm", now);
    let split = VersionSplit::Settled(Box::new(VersionSplit::Any));
    let rows = table.rows_of("llm").filter(|(key, row)| split.allows(*key, row));
    let mut versions: Vec<_> = rows.map(|(_, row)| row.entry.version.to_string()).collect();
    versions.sort();
    versions
}

/// Guards against streams that begin on a version before each view without it has ended.
#[test]
fn a_new_version_is_settled_once_all_views_without_it_have_ended() {
    let mut table = FleetTable::default();
    list(&mut table, "i-1", "v1", at(0));
    assert_eq!(settled(&mut table, at(0)), ["v1"]);
    list(&mut table, "i-2", "v2", at(1_000));
    assert_eq!(settled(&mut table, at(10_000)), ["v1"]);
    table.software_record_mut().record_stored(key("v1"), StoredSoftware::default(), at(10_000));
    table.software_record_mut().record_stored(key("v2"), StoredSoftware::default(), at(10_000));
    let known_at = known_everywhere_at(at(10_000));
    assert_eq!(settled(&mut table, Moment(known_at.0 - 1)), ["v1"]);
    assert_eq!(settled(&mut table, known_at), ["v1", "v2"]);
}

/// Guards against a VM that starts during a release and waits for versions that the others use already.
#[test]
fn a_version_that_is_recorded_as_settled_may_be_used_at_once() {
    let mut table = FleetTable::default();
    list(&mut table, "i-1", "v1", at(0));
    list(&mut table, "i-2", "v2", at(0));
    let stored = StoredSoftware { is_ending: false, is_settled: true };
    table.software_record_mut().record_stored(key("v1"), stored, at(0));
    table.software_record_mut().record_stored(key("v2"), StoredSoftware::default(), at(0));
    assert_eq!(settled(&mut table, at(0)), ["v1"]);
}

/// Guards against a version that is taken for the only one although the store records another.
#[test]
fn a_version_beside_one_that_has_just_left_is_not_the_only_one() {
    let mut table = FleetTable::default();
    table.software_record_mut().record_stored(
        key("v1"),
        StoredSoftware { is_ending: true, ..Default::default() },
        at(0),
    );
    list(&mut table, "i-2", "v2", at(0));
    assert!(settled(&mut table, at(100)).is_empty());
}
