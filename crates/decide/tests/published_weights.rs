//! Which versions were named, and since when.

use spanfold_decide::{PublicationRecord, PublishedVersion, PublishedWeights};
use spanfold_entity::Moment;

const VERSION_MILLIS: u64 = 10_000;

fn at(millis: u64) -> Moment {
    Moment(0).after_millis(millis)
}

fn version(version: u64, millis: u64) -> PublishedVersion {
    PublishedVersion { version, since: at(millis) }
}

fn named(rows: &[(u64, u64)]) -> PublishedWeights {
    let mut weights = PublishedWeights::default();
    for (row, millis) in rows {
        weights.note(version(*row, *millis), VERSION_MILLIS, at(0));
    }
    weights
}

#[test]
fn each_version_counts_by_its_own_naming() {
    let wanted = named(&[(2, 1_000), (3, 5_000)]).wanted(VERSION_MILLIS).unwrap();
    assert_eq!(wanted.last_start(1), at(11_000));
    assert_eq!(wanted.last_start(2), at(15_000));
    assert_eq!(wanted.last_start(3), Moment::NEVER);
}

#[test]
fn a_version_that_is_told_late_counts_as_if_it_had_been_told_first() {
    assert_eq!(named(&[(3, 5_000), (2, 1_000)]), named(&[(2, 1_000), (3, 5_000)]));
}

#[test]
fn the_earliest_word_on_a_naming_stands() {
    assert_eq!(named(&[(2, 4_000), (2, 1_000), (2, 6_000)]), named(&[(2, 1_000)]));
}

#[test]
fn what_an_overdue_version_rules_out_needs_no_older_one() {
    let mut weights = named(&[(2, 1_000), (3, 2_000), (4, 9_000)]);
    let (before, now) = (weights.wanted(VERSION_MILLIS).unwrap(), at(12_000));
    assert!(!weights.note(version(4, 9_000), VERSION_MILLIS, now));
    assert_eq!(weights, named(&[(3, 2_000), (4, 9_000)]));
    let after = weights.wanted(VERSION_MILLIS).unwrap();
    for version in 1..=4 {
        assert_eq!(now >= before.last_start(version), now >= after.last_start(version), "{version}");
    }
}

#[test]
fn an_older_version_than_an_overdue_one_is_no_news() {
    let mut weights = named(&[(3, 2_000)]);
    assert!(!weights.note(version(2, 1_000), VERSION_MILLIS, at(12_000)));
    assert_eq!(weights, named(&[(3, 2_000)]));
}

#[test]
fn nothing_is_wanted_until_a_version_is_named() {
    assert_eq!(named(&[]).wanted(VERSION_MILLIS), None);
}

#[test]
fn a_record_gives_back_the_age_that_a_naming_has_by_the_engines_clock() {
    let weights = named(&[(2, 1_000), (3, 5_000)]);
    let record = PublicationRecord::new(7, &weights, 90_000, at(6_000));
    let ages: Vec<_> = record.ages(92_000).collect();
    assert_eq!(ages, [(2, 7_000_000), (3, 3_000_000)]);
    // A clock that seems to go back makes nothing older.
    assert_eq!(record.ages(0).collect::<Vec<_>>(), [(2, 0), (3, 0)]);
}

#[test]
fn a_record_covers_what_it_tells_as_early_or_earlier() {
    let record = |rows: &[(u64, u64)]| PublicationRecord::new(7, &named(rows), 90_000, at(9_000));
    let held = record(&[(2, 1_000), (3, 5_000)]);
    assert!(held.covers(&held));
    assert!(held.covers(&record(&[(3, 6_000)])));
    // VMs hear of one naming some milliseconds apart.
    assert!(held.covers(&record(&[(3, 4_900)])));
    assert!(!held.covers(&record(&[(3, 3_000)])));
    assert!(!held.covers(&record(&[(3, 5_000), (4, 8_000)])));
}
