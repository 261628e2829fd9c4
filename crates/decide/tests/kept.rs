//! Tests of the prompt cache's state: transfers, cache indexes of stores, and outdated segments.

use spanfold_decide::{
    CacheChange, CacheUpdate, DeploymentConfig, EndpointKey, FleetTable, IndexReporter, LoadSource,
    PollSchedule, ServiceRow, StoreRow, StoreSpec, VmKey, outdated_segments, short_digest,
};
use spanfold_entity::Moment;
use std::collections::BTreeMap;

fn change(salt: &str, segment: u64, tokens: u32) -> CacheChange {
    CacheChange { cache_salt: salt.to_owned(), segment, segment_text: segment.to_string(), tokens }
}

fn update(incarnation: u64, changes: Vec<CacheChange>) -> CacheUpdate {
    CacheUpdate { incarnation, changes, ..CacheUpdate::default() }
}

fn store(tokens: u64) -> StoreRow {
    StoreRow::new(StoreSpec {
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "dc-a".to_owned(),
        tokens,
        link_mbps: 29_000.0,
        transfer_latency_millis: 6.0,
        token_bytes: 18_432,
        max_long_polls: 12,
    })
}

fn key(salt: &str, segment: u64) -> u64 {
    segment ^ short_digest(salt)
}

#[test]
fn segment_with_a_newer_copy_in_the_same_store_is_not_outdated() {
    // Guards against the release of a segment during a transfer of it.
    let listed =
        update(1, vec![change("shared.m.1", 7, 9), change("shared.m.2", 7, 9), change("shared.m.1", 8, 9)]);
    assert_eq!(outdated_segments(&listed, "m", 2), [("shared.m.1".to_owned(), "8".to_owned())]);
}

#[test]
fn segments_of_other_models_and_foreign_salts_are_not_outdated() {
    let listed = update(1, vec![change("shared.n.1", 7, 9), change("foreign", 8, 9), change("a.b", 9, 9)]);
    assert!(outdated_segments(&listed, "m", 9).is_empty());
}

#[test]
fn broken_segments_are_outdated_with_their_weights() {
    let mut listed = update(1, Vec::new());
    listed.broken_segments =
        vec![("shared.m.1".to_owned(), "5".to_owned()), ("shared.m.2".to_owned(), "6".to_owned())];
    assert_eq!(outdated_segments(&listed, "m", 2), [("shared.m.1".to_owned(), "5".to_owned())]);
}

#[test]
fn segment_counts_only_when_reported_complete_by_a_reachable_store() {
    let mut row = store(1_000);
    let now = Moment(0);
    row.record_request(key("s", 7), 100, now);
    assert!(!row.contains(key("s", 7), 100, now));
    assert!(row.has_or_awaits(key("s", 7), now));
    row.replace(&update(3, vec![change("s", 7, 60)]), now.after_millis(1_800));
    assert!(!row.contains(key("s", 7), 100, now), "60 of 100 tokens are not the complete segment");
    row.apply(&update(3, vec![change("s", 7, 100)]), now.after_millis(1_800));
    assert!(row.contains(key("s", 7), 100, now));
    assert!(!row.contains(key("t", 7), 100, now), "another salt is another segment");
    assert!(!row.contains(key("s", 7), 100, now.after_millis(5_000)), "an unreachable store counts as empty");
    row.mark_unreachable();
    assert!(!row.contains(key("s", 7), 100, now));
}

#[test]
fn new_incarnation_of_a_store_contains_only_what_it_reports() {
    let mut row = store(1_000);
    row.replace(&update(3, vec![change("s", 7, 100)]), Moment::NEVER);
    row.replace(&update(4, vec![change("s", 8, 100)]), Moment::NEVER);
    assert!(!row.contains(key("s", 7), 100, Moment(0)));
    assert!(row.contains(key("s", 8), 100, Moment(0)));
}

#[test]
fn free_space_excludes_stored_and_pending_segments() {
    let mut row = store(1_000);
    row.replace(&update(1, vec![change("s", 1, 500)]), Moment(0));
    assert!(row.has_capacity(400));
    row.record_request(key("s", 2), 300, Moment(0));
    assert!(!row.has_capacity(400));
    row.apply(&update(1, vec![change("s", 1, 0)]), Moment(0));
    assert!(row.has_capacity(400));
}

#[test]
fn transfers_across_data_centres_take_longer() {
    let row = store(1_000_000);
    let now = Moment(0);
    let local = row.transfer_time_micros(5_000, "dc-a", now);
    let remote = row.transfer_time_micros(5_000, "dc-b", now);
    assert!((local - 31_423.0).abs() < 10.0, "{local}");
    assert!((remote - local - 25_423.0).abs() < 10.0, "{remote}");
}

#[yare::parameterized(
    current_fleet = { 9, 12 },
    small_replica = { 16, 12 },
    grown_fleet = { 91, 12 },
    future_fleet = { 420, 12 },
    few_calls = { 9, 1 },
)]
fn long_polls_of_all_leaders_stay_below_the_limit_of_a_store(vms: usize, max_calls: u32) {
    // Guards against excessive charged calls: in a small replica of a grown day, 473,934 charged calls were
    // made for 2,714 requests, since with 16 VMs each refused call was followed at once by a listing.
    let schedule = PollSchedule::new(vms, max_calls);
    let round_millis = schedule.long_poll_millis + schedule.delay_millis;
    let waiting_calls = vms as f64 * schedule.long_poll_millis as f64 / round_millis as f64;
    assert!(waiting_calls <= f64::from(max_calls), "{waiting_calls}");
    assert!(schedule.long_poll_millis >= 200, "shorter calls are charged");
    assert!(schedule.report_lifetime_millis() > 2 * round_millis);
}

#[test]
fn segment_sent_by_another_vm_takes_space_but_may_be_sent_again() {
    let mut row = store(1_000);
    let now = Moment(0);
    row.replace(&update(1, Vec::new()), now.after_millis(60_000));
    row.record_remote_request(key("s", 1), 600, now);
    assert!(!row.has_capacity(500));
    assert!(!row.has_or_awaits(key("s", 1), now));
    // Sent from here, too: it counts once, and is expected.
    row.record_request(key("s", 1), 600, now);
    row.record_remote_request(key("s", 1), 600, now);
    assert!(row.has_capacity(300));
    assert!(row.has_or_awaits(key("s", 1), now));
    row.apply(&update(1, vec![change("s", 1, 600)]), now.after_millis(60_000));
    assert!(row.has_capacity(300) && !row.has_capacity(500));
}

#[test]
fn slowdown_of_a_link_is_that_of_recent_transfers() {
    let mut row = store(1_000);
    let now = Moment(0).after_millis(1);
    let stated = row.transfer_time_micros(1_000, "dc-a", now);
    // Most VMs have transferred nothing from there; the only one that has saw a slow link.
    for name in ["vm-1", "vm-2", "vm-3"] {
        row.set_peer_transfers(LoadSource::Vm(VmKey::of(name)), 0, None, now);
    }
    row.set_peer_transfers(LoadSource::Vm(VmKey::of("vm-4")), 0, Some(4.0), now);
    assert!((row.slowdown(now) - 4.0).abs() < 1e-9);
    assert!(row.transfer_time_micros(1_000, "dc-a", now) > stated * 1.5);
    // Its report expires.
    assert!((row.slowdown(now.after_millis(2_000)) - 1.0).abs() < 1e-9);
}

/// Guards against gaps in a store's index: with one position shared by two stores in rotation, an index of
/// nearly twice the segments of one message advanced by only a few, and some segments were not propagated for
/// minutes.
#[test]
fn full_index_is_propagated_completely_across_calls() {
    let mut row = store(1_000_000);
    row.replace(&update(1, (1..=1_990).map(|segment| change("s", segment, 9)).collect()), Moment(9));
    let reported: std::collections::BTreeSet<u64> =
        (0..3).flat_map(|_| row.next_segments(1_000)).map(|(segment, _)| segment).collect();
    assert_eq!(reported.len(), 1_990);
}

const STORE_COUNT: u64 = 58;
const SEGMENTS_PER_STORE: u64 = 344;

/// Returns the table of a VM that has just listed 58 stores of 344 segments each: 20,000 segments, of 12
/// bytes each in a message.
fn listed_stores() -> FleetTable {
    let spec = store(1_700_000).spec;
    let names = (0..STORE_COUNT).map(|number| format!("store-{number}"));
    let services: BTreeMap<_, _> =
        names.map(|name| (name, ServiceRow { store: Some(spec.clone()), ..ServiceRow::default() })).collect();
    let mut table = FleetTable::default();
    table.set_services(&DeploymentConfig { services, ..DeploymentConfig::default() });
    for (number, (_, row)) in table.stores_mut().enumerate() {
        let first = number as u64 * SEGMENTS_PER_STORE;
        let changes =
            (first..first + SEGMENTS_PER_STORE).map(|segment| change("s", segment, 5_000)).collect();
        row.replace(&update(1, changes), Moment::NEVER);
    }
    table
}

#[test]
fn indexes_of_many_stores_are_propagated_completely_in_bounded_messages() {
    let (mut sender, mut receiver) = (listed_stores(), listed_stores());
    for (_, row) in receiver.stores_mut() {
        row.replace(&update(1, Vec::new()), Moment::NEVER);
    }
    let mut reporter = IndexReporter::default();
    let mut messages = 0;
    loop {
        let report = reporter.next(&mut sender, 500, messages % 10 == 0, Moment(0));
        messages += 1;
        // One message must fit into one datagram of 65,507 bytes, and callers use most of the link.
        let segments: usize = report.rows.iter().map(|row| row.parts.len()).sum();
        assert!(segments <= 500, "{segments}");
        for row in &report.rows {
            receiver.store_mut(row.store).unwrap().apply_cache_report(row, Moment::NEVER);
        }
        if !report.is_partial {
            break;
        }
    }
    assert_eq!(messages, (STORE_COUNT * SEGMENTS_PER_STORE).div_ceil(500));
    let has_same_contents = |(store, row): (EndpointKey, &StoreRow)| {
        (0..STORE_COUNT * SEGMENTS_PER_STORE).all(|segment| {
            row.contains(key("s", segment), 5_000, Moment(0))
                == sender.store(store).unwrap().contains(key("s", segment), 5_000, Moment(0))
        })
    };
    assert!(receiver.stores().all(has_same_contents));
}

#[test]
fn stores_without_changes_are_included_only_when_full_indexes_are_due() {
    let mut table = listed_stores();
    let mut reporter = IndexReporter::default();
    while reporter.next(&mut table, 1_000, false, Moment(0)).is_partial {}
    let (store, row) = table.stores_mut().nth(7).unwrap();
    row.apply(&update(1, vec![change("s", 9_999_999, 5_000)]), Moment::NEVER);
    let report = reporter.next(&mut table, 1_000, false, Moment(0));
    assert_eq!(report.rows.iter().map(|row| (row.store, row.parts.len())).collect::<Vec<_>>(), [(store, 1)]);
    // With full indexes due, each message includes all stores, which shows that they are reachable, and the
    // full indexes follow in rotation.
    let mut segment_count = 0;
    for _ in 0..STORE_COUNT {
        let report = reporter.next(&mut table, 1_000, true, Moment(0));
        assert_eq!(report.rows.len() as u64, STORE_COUNT);
        segment_count += report.rows.iter().map(|row| row.parts.len()).sum::<usize>() as u64;
    }
    assert_eq!(segment_count, STORE_COUNT * SEGMENTS_PER_STORE + 1);
}
