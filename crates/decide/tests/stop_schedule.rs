//! Deadlines of requests in a planned stop.

use spanfold_decide::{AnswerTimes, StopSchedule};
use spanfold_entity::Moment;

fn at(millis: u64) -> Moment {
    Moment(0).after_millis(millis)
}

/// Guards against a grace period that ends before connections are closed, whatever its length.
#[yare::parameterized(
    none = { 0 }, tiny = { 300 }, short = { 1_000 }, two = { 2_000 }, eight = { 8_000 }, thirty = { 30_000 },
)]
fn a_stop_closes_answers_and_ends_in_this_order(grace_millis: u64) {
    let stop = StopSchedule::begin(at(5_000), grace_millis);
    assert!(stop.has_begun());
    assert!(at(5_000) <= stop.closes_at() && stop.closes_at() <= stop.answer_deadline());
    assert!(stop.answer_deadline() <= stop.ends_at() && stop.ends_at() <= at(5_000 + grace_millis));
}

/// Guards against a request that may not be repeated and is sent with less time than its own deadline leaves.
#[test]
fn a_request_that_may_not_be_repeated_needs_its_whole_time() {
    let stop = StopSchedule::begin(at(0), 8_000);
    for deadline in (0..20_000).step_by(50).map(at) {
        let send_deadline = stop.send_deadline(deadline, false, Some(1_000));
        assert!(
            send_deadline == deadline && deadline <= stop.answer_deadline() || send_deadline == Moment(0)
        );
    }
}

/// Guards against a send whose answer would not come before the stop's last moment for answers.
#[test]
fn a_repeatable_request_is_sent_only_while_its_usual_answer_fits() {
    let stop = StopSchedule::begin(at(0), 8_000);
    for usual_micros in (0..9_000_000).step_by(100_000) {
        let send_deadline = stop.send_deadline(at(20_000), true, Some(usual_micros));
        assert!(
            send_deadline == Moment(0) || send_deadline.after_micros(usual_micros) <= stop.answer_deadline()
        );
    }
    assert_eq!(stop.send_deadline(at(20_000), true, None), Moment(0));
}

/// Guards against answer times that outlive their cause, or that are forgotten within a window.
#[test]
fn answer_times_are_those_of_two_windows() {
    let mut times = AnswerTimes::default();
    times.record("chat", 9_000, at(0));
    times.record("chat", 100, at(29_000));
    times.record("chat", 200, at(31_000));
    assert_eq!(times.usual_micros("chat"), Some(9_000));
    times.record("chat", 300, at(62_000));
    assert_eq!(times.usual_micros("chat"), Some(300));
    times.retain(|_| false);
    assert_eq!(times.usual_micros("chat"), None);
}
