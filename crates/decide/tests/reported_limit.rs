//! Which of the reports that an endpoint said of its limit stands.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use spanfold_decide::{LimitChange, LimitReport, ReportedLimit};
use spanfold_entity::Moment;

/// A report of an answer whose request was sent, and which came, at so many milliseconds.
fn report(per_s: Option<f64>, sent: u64, received: u64) -> LimitReport {
    LimitReport { per_s, sent_at: Moment(sent * 1_000), received_at: Moment(received * 1_000) }
}

fn after(reports: &[LimitReport]) -> ReportedLimit {
    let mut limit = ReportedLimit::default();
    for report in reports {
        limit.observe(*report);
    }
    limit
}

#[test]
fn another_value_stands_at_once_whether_lower_or_higher() {
    let mut limit = ReportedLimit::default();
    assert_eq!(limit.observe(report(None, 0, 5)), LimitChange::None);
    assert_eq!(limit.observe(report(Some(1.4), 10, 20)), LimitChange::Begun);
    assert_eq!(limit.observe(report(Some(1.4), 20, 30)), LimitChange::None);
    assert_eq!(limit.observe(report(Some(0.2), 30, 40)), LimitChange::Changed(1.4));
    assert_eq!(limit.observe(report(Some(9.0), 40, 50)), LimitChange::Changed(0.2));
    assert_eq!(limit.observe(report(None, 50, 60)), LimitChange::Ended(9.0));
    assert_eq!(limit.observe(report(Some(2.0), 60, 70)), LimitChange::Begun);
}

#[test]
fn an_older_word_that_comes_late_changes_nothing_back() {
    // A lower one, and one after the end of the limit.
    assert_eq!(after(&[report(Some(5.0), 10, 20), report(Some(1.0), 1, 9)]).per_s(), Some(5.0));
    assert_eq!(
        after(&[report(Some(5.0), 10, 20), report(None, 20, 30), report(Some(5.0), 5, 19)]).per_s(),
        None
    );
    assert_eq!(after(&[report(Some(1.0), 10, 20), report(None, 1, 10)]).per_s(), Some(1.0));
}

#[test]
fn of_words_that_cross_the_lower_one_stands_until_the_next() {
    let crossed = [report(Some(1.0), 10, 20), report(Some(5.0), 8, 25)];
    assert_eq!(after(&crossed).per_s(), Some(1.0));
    assert_eq!(after(&[crossed[1], crossed[0]]).per_s(), Some(1.0));
    assert_eq!(after(&[crossed[0], report(None, 12, 22)]).per_s(), Some(1.0));
    assert_eq!(after(&[crossed[0], crossed[1], report(Some(5.0), 25, 30)]).per_s(), Some(5.0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// An endpoint says one thing after the other; answers take their time, each way, and come in any order.
    #[test]
    fn what_stands_at_last_is_what_was_said_last(
        said in prop::collection::vec(prop_oneof![Just(None), (0_u8..4).prop_map(|per_s| Some(f64::from(per_s)))], 1..9),
        ways in prop::collection::vec((0_u64..400, 0_u64..400), 9),
    ) {
        let mut reports: Vec<_> = said.iter().zip(&ways).enumerate().map(|(turn, (per_s, (there, back)))| {
            let made = 1_000 + turn as u64 * 100;
            report(*per_s, made - there, made + back)
        }).collect();
        reports.sort_by_key(|report| report.received_at);
        let mut limit = after(&reports);
        // The lowest report that may be the last one stands, and no other that is surely older.
        let last = said[said.len() - 1];
        let is_lower = |own: Option<f64>, other: Option<f64>| own.unwrap_or(f64::MAX) <= other.unwrap_or(f64::MAX);
        prop_assert!(is_lower(limit.per_s(), last), "{:?} stands, {:?} was said last", limit.per_s(), last);
        // One more answer, whose request was sent after all others had come, is believed whatever it says.
        limit.observe(report(last, 5_000, 5_010));
        prop_assert_eq!(limit.per_s(), last);
    }
}
