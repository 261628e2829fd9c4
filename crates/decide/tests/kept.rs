//! What is kept where: plans, books of stores, and what is freed.

use spanfold_decide::{
    CacheChange, CacheUpdate, DeploymentConfig, EndpointKey, FleetTable, IndexReporter, LoadSource,
    PollSchedule, ServiceRow, StoreRow, StoreSpec, VmKey, outdated_segments, short_digest,
};
use spanfold_entity::Moment;
use std::collections::BTreeMap;

fn change(salt: &str, part: u64, tokens: u32) -> CacheChange {
    CacheChange { salt: salt.to_owned(), part, segment_text: part.to_string(), tokens }
}

fn news(incarnation: u64, changes: Vec<CacheChange>) -> CacheUpdate {
    CacheUpdate { incarnation, changes, ..CacheUpdate::default() }
}

fn store(tokens: u64) -> StoreRow {
    StoreRow::new(StoreSpec {
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "dc-a".to_owned(),
        tokens,
        link_mbps: 29_000.0,
        first_millis: 6.0,
        token_bytes: 18_432,
        max_long_polls: 12,
    })
}

fn key(salt: &str, part: u64) -> u64 {
    part ^ short_digest(salt)
}

#[test]
fn a_part_with_a_newer_copy_in_the_same_store_is_not_freed() {
    // Seen once at cvmpw-fleet on a day of our own: a part was freed while a move of it was under way.
    let listed =
        news(1, vec![change("shared.m.1", 7, 9), change("shared.m.2", 7, 9), change("shared.m.1", 8, 9)]);
    assert_eq!(outdated_segments(&listed, "m", 2), [("shared.m.1".to_owned(), "8".to_owned())]);
}

#[test]
fn parts_of_other_models_and_foreign_texts_are_not_freed() {
    let listed = news(1, vec![change("shared.n.1", 7, 9), change("somebody", 8, 9), change("a.b", 9, 9)]);
    assert!(outdated_segments(&listed, "m", 9).is_empty());
}

#[test]
fn what_broke_off_on_its_way_is_freed_with_its_weights() {
    let mut listed = news(1, Vec::new());
    listed.broken =
        vec![("shared.m.1".to_owned(), "5".to_owned()), ("shared.m.2".to_owned(), "6".to_owned())];
    assert_eq!(outdated_segments(&listed, "m", 2), [("shared.m.1".to_owned(), "5".to_owned())]);
}

#[test]
fn a_part_counts_only_when_the_store_told_it_whole_and_is_heard() {
    let mut row = store(1_000);
    let now = Moment(0);
    row.ask(key("s", 7), 100, now);
    assert!(!row.holds(key("s", 7), 100, now));
    assert!(row.has_or_awaits(key("s", 7), now));
    row.replace(&news(3, vec![change("s", 7, 60)]), now.after_millis(1_800));
    assert!(!row.holds(key("s", 7), 100, now), "60 of 100 tokens are not the whole part");
    row.apply(&news(3, vec![change("s", 7, 100)]), now.after_millis(1_800));
    assert!(row.holds(key("s", 7), 100, now));
    assert!(!row.holds(key("t", 7), 100, now), "another salt is another part");
    assert!(!row.holds(key("s", 7), 100, now.after_millis(5_000)), "a silent store holds nothing");
    row.lose();
    assert!(!row.holds(key("s", 7), 100, now));
}

#[test]
fn a_new_incarnation_of_a_store_holds_only_what_it_tells() {
    let mut row = store(1_000);
    row.replace(&news(3, vec![change("s", 7, 100)]), Moment::NEVER);
    row.replace(&news(4, vec![change("s", 8, 100)]), Moment::NEVER);
    assert!(!row.holds(key("s", 7), 100, Moment(0)));
    assert!(row.holds(key("s", 8), 100, Moment(0)));
}

#[test]
fn room_counts_what_is_held_and_what_is_on_its_way() {
    let mut row = store(1_000);
    row.replace(&news(1, vec![change("s", 1, 500)]), Moment(0));
    assert!(row.has_capacity(400));
    row.ask(key("s", 2), 300, Moment(0));
    assert!(!row.has_capacity(400));
    row.apply(&news(1, vec![change("s", 1, 0)]), Moment(0));
    assert!(row.has_capacity(400));
}

#[test]
fn moves_wait_for_one_another_and_take_longer_across_data_centres() {
    let row = store(1_000_000);
    let now = Moment(0);
    let near = row.transfer_time_micros(5_000, "dc-a", now);
    let far = row.transfer_time_micros(5_000, "dc-b", now);
    assert!((near - 31_423.0).abs() < 10.0, "{near}");
    assert!((far - near - 25_423.0).abs() < 10.0, "{far}");
}

#[yare::parameterized(
    today = { 9, 12 },
    small_twin = { 16, 12 },
    grown = { 91, 12 },
    to_come = { 420, 12 },
    few_calls = { 9, 1 },
)]
fn the_vms_together_have_fewer_calls_waiting_than_a_store_holds_back(vms: usize, calls: u32) {
    // The small twin of a grown day made 473,934 priced calls for 2,714 requests: with 16 VMs each
    // refused call was followed by a listing at once.
    let rhythm = PollSchedule::new(vms, calls);
    let round = rhythm.held_millis + rhythm.rest_millis;
    let waiting = vms as f64 * rhythm.held_millis as f64 / round as f64;
    assert!(waiting <= f64::from(calls), "{waiting}");
    assert!(rhythm.held_millis >= 200, "shorter calls are priced");
    assert!(rhythm.counts_millis() > 2 * round);
}

#[test]
fn a_part_that_another_vm_sends_takes_room_but_may_be_sent_again() {
    let mut row = store(1_000);
    let now = Moment(0);
    row.replace(&news(1, Vec::new()), now.after_millis(60_000));
    row.record_remote_request(key("s", 1), 600, now);
    assert!(!row.has_capacity(500));
    assert!(!row.has_or_awaits(key("s", 1), now));
    // Sent from here, too: it counts once, and is awaited.
    row.ask(key("s", 1), 600, now);
    row.record_remote_request(key("s", 1), 600, now);
    assert!(row.has_capacity(300));
    assert!(row.has_or_awaits(key("s", 1), now));
    row.apply(&news(1, vec![change("s", 1, 600)]), now.after_millis(60_000));
    assert!(row.has_capacity(300) && !row.has_capacity(500));
}

#[test]
fn a_links_pace_is_that_of_moves_that_were_seen_lately() {
    let mut row = store(1_000);
    let now = Moment(0).after_millis(1);
    let stated = row.transfer_time_micros(1_000, "dc-a", now);
    // Most VMs have moved nothing from there; the one that has saw a slow link.
    for name in ["vm-1", "vm-2", "vm-3"] {
        row.set_peer(LoadSource::Vm(VmKey::of(name)), 0, None, now);
    }
    row.set_peer(LoadSource::Vm(VmKey::of("vm-4")), 0, Some(4.0), now);
    assert!((row.pace(now) - 4.0).abs() < 1e-9);
    assert!(row.transfer_time_micros(1_000, "dc-a", now) > stated * 1.5);
    // What it saw does not count for long.
    assert!((row.pace(now.after_millis(2_000)) - 1.0).abs() < 1e-9);
}

/// Where two stores took turns, each one's place was counted on with the other's turns: a book of nearly
/// twice the parts that are told at once moved on by a few of them, and some were not told for minutes.
#[test]
fn a_book_is_told_whole_although_other_stores_have_turns_between() {
    let mut row = store(1_000_000);
    row.replace(&news(1, (1..=1_990).map(|part| change("s", part, 9)).collect()), Moment(9));
    let told: std::collections::BTreeSet<u64> =
        (0..3).flat_map(|_| row.next_segments(1_000)).map(|(part, _)| part).collect();
    assert_eq!(told.len(), 1_990);
}

const STORES: u64 = 58;
const STORE_PARTS: u64 = 344;

/// A VM that has just listed 58 stores of 344 parts each: 20,000 parts, of 12 bytes each in a message.
fn listed_stores() -> FleetTable {
    let spec = store(1_700_000).spec;
    let names = (0..STORES).map(|number| format!("store-{number}"));
    let services: BTreeMap<_, _> =
        names.map(|name| (name, ServiceRow { store: Some(spec.clone()), ..ServiceRow::default() })).collect();
    let mut table = FleetTable::default();
    table.set_services(&DeploymentConfig { services, ..DeploymentConfig::default() });
    for (number, (_, row)) in table.stores_mut().enumerate() {
        let first = number as u64 * STORE_PARTS;
        let parts = (first..first + STORE_PARTS).map(|part| change("s", part, 5_000)).collect();
        row.replace(&news(1, parts), Moment::NEVER);
    }
    table
}

#[test]
fn books_of_many_stores_are_told_in_messages_that_fit_and_none_is_left_out() {
    let (mut from, mut to) = (listed_stores(), listed_stores());
    for (_, row) in to.stores_mut() {
        row.replace(&news(1, Vec::new()), Moment::NEVER);
    }
    let mut teller = IndexReporter::default();
    let mut messages = 0;
    loop {
        let told = teller.next(&mut from, 500, messages % 10 == 0, Moment(0));
        messages += 1;
        // One message must fit into one datagram of 65,507 bytes; callers have most of the link besides.
        let parts: usize = told.rows.iter().map(|row| row.parts.len()).sum();
        assert!(parts <= 500, "{parts}");
        for row in &told.rows {
            to.store_mut(row.store).unwrap().apply_cache_report(row, Moment::NEVER);
        }
        if !told.is_partial {
            break;
        }
    }
    assert_eq!(messages, (STORES * STORE_PARTS).div_ceil(500));
    let hears_all = |(store, row): (EndpointKey, &StoreRow)| {
        (0..STORES * STORE_PARTS).all(|part| {
            row.holds(key("s", part), 5_000, Moment(0))
                == from.store(store).unwrap().holds(key("s", part), 5_000, Moment(0))
        })
    };
    assert!(to.stores().all(hears_all));
}

#[test]
fn stores_without_changes_are_named_only_when_books_are_due() {
    let mut table = listed_stores();
    let mut teller = IndexReporter::default();
    while teller.next(&mut table, 1_000, false, Moment(0)).is_partial {}
    let (store, row) = table.stores_mut().nth(7).unwrap();
    row.apply(&news(1, vec![change("s", 9_999_999, 5_000)]), Moment::NEVER);
    let told = teller.next(&mut table, 1_000, false, Moment(0));
    assert_eq!(told.rows.iter().map(|row| (row.store, row.parts.len())).collect::<Vec<_>>(), [(store, 1)]);
    // Each is named with the books, which says that it is heard; each book has its turn.
    let mut parts = 0;
    for _ in 0..STORES {
        let told = teller.next(&mut table, 1_000, true, Moment(0));
        assert_eq!(told.rows.len() as u64, STORES);
        parts += told.rows.iter().map(|row| row.parts.len()).sum::<usize>() as u64;
    }
    assert_eq!(parts, STORES * STORE_PARTS + 1);
}
