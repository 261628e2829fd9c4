//! Records of streams: bounded in number and age, and no account evicts another's.

use spanfold_decide::{EndpointKey, StreamKey, StreamOrigin, StreamRecords};
use spanfold_entity::Moment;

/// Records that the table holds in these tests.
const CAPACITY: usize = 100;
/// Accounts of these tests.
const BUSY: u64 = 1;
const QUIET: u64 = 2;

fn key(account: u64, number: usize) -> StreamKey {
    StreamKey::of(&account.to_string(), number.to_string().as_bytes())
}

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin::of("llm", software, EndpointKey::of("i-1"))
}

/// Guards against an account whose many streams evict the records of another one.
#[test]
fn a_busy_account_evicts_its_own_records_only() {
    let mut records = StreamRecords::new(CAPACITY);
    let expires_at = Moment(1_000);
    for number in 0..CAPACITY / 2 {
        assert!(!records.insert(key(QUIET, number), QUIET, origin("v1"), expires_at));
    }
    let evictions = (0..CAPACITY * 10)
        .filter(|number| records.insert(key(BUSY, *number), BUSY, origin("v2"), expires_at));
    assert_eq!(evictions.count(), CAPACITY * 10 - CAPACITY / 2);
    assert_eq!(records.len(), CAPACITY);
    for number in 0..CAPACITY / 2 {
        assert_eq!(records.find(key(QUIET, number), Moment(0)), Some((origin("v1"), expires_at)));
    }
    // The newest records of the busy account stay.
    assert!(records.find(key(BUSY, CAPACITY * 10 - 1), Moment(0)).is_some());
    assert!(records.find(key(BUSY, 0), Moment(0)).is_none());
}

/// Guards against records that stay for ever, and against a renewed one that is removed with its first time.
#[test]
fn records_expire_unless_they_are_renewed() {
    let mut records = StreamRecords::new(CAPACITY);
    for number in 0..10 {
        records.insert(key(BUSY, number), BUSY, origin("v1"), Moment(1_000));
    }
    records.insert(key(BUSY, 9), BUSY, origin("v1"), Moment(2_000));
    records.sweep(Moment(1_000));
    assert_eq!(records.len(), 1);
    assert!(records.find(key(BUSY, 9), Moment(1_999)).is_some());
    assert!(records.find(key(BUSY, 9), Moment(2_000)).is_none());
    records.sweep(Moment(2_000));
    assert!(records.is_empty());
}

/// Guards against a renewal that shortens a record's time.
#[test]
fn a_copy_with_less_time_shortens_nothing() {
    let mut records = StreamRecords::new(CAPACITY);
    records.insert(key(BUSY, 0), BUSY, origin("v1"), Moment(2_000));
    records.insert(key(BUSY, 0), BUSY, origin("v1"), Moment(1_000));
    assert_eq!(records.find(key(BUSY, 0), Moment(0)), Some((origin("v1"), Moment(2_000))));
}

/// Guards against sizes that drift from the records, so that evictions hit the wrong account.
#[test]
fn the_largest_account_is_evicted_after_others_have_expired() {
    let mut records = StreamRecords::new(CAPACITY);
    for number in 0..60 {
        records.insert(key(BUSY, number), BUSY, origin("v1"), Moment(1_000));
    }
    for number in 0..40 {
        records.insert(key(QUIET, number), QUIET, origin("v1"), Moment(9_000));
    }
    records.sweep(Moment(1_000));
    for number in 0..60 {
        assert!(!records.insert(key(3, number), 3, origin("v1"), Moment(9_000)));
    }
    assert!(records.insert(key(BUSY, 0), BUSY, origin("v1"), Moment(9_000)));
    assert!(records.find(key(3, 0), Moment(0)).is_none());
    assert!(records.find(key(QUIET, 0), Moment(0)).is_some());
}
