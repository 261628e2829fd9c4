//! Which of an endpoint's reports of its limit applies.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use spanfold_decide::{LimitChange, LimitReport, ReportedLimit};
use spanfold_entity::Moment;

/// A report in an answer. Its request was sent at `sent_millis`, and it was received at `received_millis`.
fn report(per_s: Option<f64>, sent_millis: u64, received_millis: u64) -> LimitReport {
    LimitReport { per_s, sent_at: Moment(sent_millis * 1_000), received_at: Moment(received_millis * 1_000) }
}

fn limit_after(reports: &[LimitReport]) -> ReportedLimit {
    let mut limit = ReportedLimit::default();
    for report in reports {
        limit.observe(*report);
    }
    limit
}

#[test]
fn another_value_applies_at_once_whether_lower_or_higher() {
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
fn an_older_report_that_arrives_late_reverts_nothing() {
    // A lower one, and one after the end of the limit.
    assert_eq!(limit_after(&[report(Some(5.0), 10, 20), report(Some(1.0), 1, 9)]).per_s(), Some(5.0));
    assert_eq!(
        limit_after(&[report(Some(5.0), 10, 20), report(None, 20, 30), report(Some(5.0), 5, 19)]).per_s(),
        None
    );
    assert_eq!(limit_after(&[report(Some(1.0), 10, 20), report(None, 1, 10)]).per_s(), Some(1.0));
}

#[test]
fn of_reports_that_cross_the_lower_one_applies_until_the_next() {
    let crossed = [report(Some(1.0), 10, 20), report(Some(5.0), 8, 25)];
    assert_eq!(limit_after(&crossed).per_s(), Some(1.0));
    assert_eq!(limit_after(&[crossed[1], crossed[0]]).per_s(), Some(1.0));
    assert_eq!(limit_after(&[crossed[0], report(None, 12, 22)]).per_s(), Some(1.0));
    assert_eq!(limit_after(&[crossed[0], crossed[1], report(Some(5.0), 25, 30)]).per_s(), Some(5.0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// An endpoint makes one report after the other; answers are delayed in each direction, and arrive in any
    /// order.
    #[test]
    fn the_last_report_applies_in_the_end(
        values in prop::collection::vec(prop_oneof![Just(None), (0_u8..4).prop_map(|per_s| Some(f64::from(per_s)))], 1..9),
        delays in prop::collection::vec((0_u64..400, 0_u64..400), 9),
    ) {
        let mut reports: Vec<_> = values
            .iter()
            .zip(&delays)
            .enumerate()
            .map(|(index, (per_s, (request_delay, answer_delay)))| {
                let reported = 1_000 + index as u64 * 100;
                report(*per_s, reported - request_delay, reported + answer_delay)
            })
            .collect();
        reports.sort_by_key(|report| report.received_at);
        let mut limit = limit_after(&reports);
        // The lowest report that may be the last one applies, and no report that is certainly older.
        let last = values[values.len() - 1];
        let is_lower =
            |limit: Option<f64>, bound: Option<f64>| limit.unwrap_or(f64::MAX) <= bound.unwrap_or(f64::MAX);
        prop_assert!(is_lower(limit.per_s(), last), "{:?} applies, {:?} was reported last", limit.per_s(), last);
        // One more answer, whose request was sent after all others had arrived, is accepted whatever it
        // reports.
        limit.observe(report(last, 5_000, 5_010));
        prop_assert_eq!(limit.per_s(), last);
    }
}
