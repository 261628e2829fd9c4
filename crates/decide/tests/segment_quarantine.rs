//! Tests of quarantines of segments: companions, trials, and messages of VMs of the former form.

use spanfold_decide::{
    CrashReport, EndpointCrash, EndpointKey, IdentityKey, QuarantineChange, QuarantineMessage,
    QuarantinePhase, RequestQuarantine, SuspectKey, SuspectKind, SuspectMessage,
};
use spanfold_entity::Moment;
use std::sync::Arc;

const MICROS_PER_SECOND: u64 = 1_000_000;
const EVIDENCE_DELAY_MICROS: u64 = 150_000;
const QUARANTINE_MICROS: u64 = 600 * MICROS_PER_SECOND;

fn segment(name: &str) -> SuspectKey {
    IdentityKey::derive(&[1; 32]).of_segment("llm", "m", name)
}

/// Returns the suspects of a prompt: its segments.
fn prompt(names: &[&str]) -> Vec<(SuspectKey, SuspectKind)> {
    names.iter().map(|name| (segment(name), SuspectKind::Segment)).collect()
}

/// Returns the reports of a prompt that crashed the `start`th endpoint.
fn reports(names: &[&str], start: u64, at: Moment) -> Vec<CrashReport> {
    let (start, service_size) = (EndpointKey(start), 18);
    let crash = EndpointCrash { start, address_digest: start.0, service: 1, service_size, at };
    let report = |name: &&str| CrashReport {
        suspect: segment(name),
        kind: SuspectKind::Segment,
        crash,
        age_micros: 90_000,
    };
    names.iter().map(report).collect()
}

/// Records a crash under a prompt, and evaluates it; returns the changes.
fn crash(
    quarantine: &mut RequestQuarantine,
    names: &[&str],
    start: u64,
    at: Moment,
) -> Vec<QuarantineChange> {
    for report in reports(names, start, at) {
        quarantine.record_report(&report, at);
    }
    quarantine.evaluate_due(Moment(at.0 + EVIDENCE_DELAY_MICROS))
}

/// Records crashes under prompts with the segments `names`, one a second, until they are quarantined.
fn quarantined(names: &[&str]) -> (RequestQuarantine, Moment) {
    let mut quarantine = RequestQuarantine::default();
    for start in 0..6 {
        let at = Moment((100 + start) * MICROS_PER_SECOND);
        let changes = crash(&mut quarantine, names, start, at);
        if changes.iter().any(|change| matches!(change, QuarantineChange::Begun { .. })) {
            return (quarantine, Moment(at.0 + EVIDENCE_DELAY_MICROS));
        }
    }
    panic!("no quarantine after six crashes");
}

fn is_refused(quarantine: &RequestQuarantine, names: &[&str], now: Moment) -> bool {
    quarantine.refusal_of(&prompt(names), now).is_some()
}

/// Guards against a refusal of prompts that lack one of the segments that always came together.
#[test]
fn only_prompts_with_all_companions_are_refused() {
    let (mut quarantine, now) = quarantined(&["aa", "dead"]);
    assert!(is_refused(&quarantine, &["aa", "dead", "bb"], now));
    assert!(!is_refused(&quarantine, &["aa", "bb"], now) && !is_refused(&quarantine, &["dead"], now));
    // An answer clears one of them.
    let (matters, changes) = quarantine.record_answered(segment("aa"), now, now);
    assert!(matters && changes.iter().any(|change| matches!(change, QuarantineChange::Narrowed { .. })));
    assert!(is_refused(&quarantine, &["dead"], now) && !is_refused(&quarantine, &["aa"], now));
}

/// Guards against a set of companions that grows again by an older message.
#[test]
fn a_late_message_adds_no_companion() {
    let (mut quarantine, now) = quarantined(&["aa", "dead"]);
    let (mut second, _) = quarantined(&["aa", "dead"]);
    let older = quarantine.message_of(segment("dead"), now).unwrap();
    quarantine.record_answered(segment("aa"), now, now);
    quarantine.apply_message(&older, now);
    assert!(is_refused(&quarantine, &["dead"], now));
    // The other VM learns of it by the message about the quarantine alone.
    second.apply_message(&quarantine.message_of(segment("dead"), now).unwrap(), now);
    assert!(is_refused(&second, &["dead"], now));
}

/// Guards against a crash without a companion that changes nothing while both are quarantined.
#[test]
fn a_crash_without_a_companion_narrows_the_quarantine() {
    let (mut quarantine, now) = quarantined(&["aa", "dead"]);
    let at = Moment(now.0 + MICROS_PER_SECOND);
    let changes = crash(&mut quarantine, &["dead", "cc"], 50, at);
    assert!(
        changes.iter().any(
            |change| matches!(change, QuarantineChange::Lifted { suspect, .. } if *suspect == segment("aa"))
        ),
        "{changes:?}"
    );
    let now = Moment(at.0 + EVIDENCE_DELAY_MICROS);
    assert!(is_refused(&quarantine, &["dead", "dd"], now) && !is_refused(&quarantine, &["aa"], now));
}

/// Guards against a VM of the former form whose list of quarantined requests, to which the store's rows of
/// segments belong there, removes companions or holds back a segment alone.
#[test]
fn a_segments_quarantine_that_is_reported_as_a_requests_changes_nothing() {
    let (mut quarantine, now) = quarantined(&["aa", "dead"]);
    let suspect = segment("aa");
    let message = QuarantineMessage::Held { suspect, round: 1, endings: 4, rest_micros: QUARANTINE_MICROS };
    quarantine.apply_message(&SuspectMessage::Request(message), now);
    assert!(!is_refused(&quarantine, &["aa"], now) && is_refused(&quarantine, &["aa", "dead"], now));
    let mut restarted = RequestQuarantine::default();
    restarted.apply_message(&SuspectMessage::Request(message), now);
    assert!(!is_refused(&restarted, &["aa"], now));
    // The true row replaces the mistaken one.
    let companions = Arc::from([segment("dead")]);
    restarted.adopt_stored(suspect, SuspectKind::Segment, (1, 4), companions, now);
    assert!(is_refused(&restarted, &["aa", "dead"], now) && !is_refused(&restarted, &["aa"], now));
}

/// Guards against several runs of a segment at once after many crashes that prove nothing, and after its
/// quarantine.
#[test]
fn five_crashes_at_once_and_an_ended_quarantine_put_a_segment_on_trial() {
    let mut quarantine = RequestQuarantine::default();
    let at = Moment(100 * MICROS_PER_SECOND);
    for start in 0..6 {
        for report in reports(&["dead"], start, at) {
            quarantine.record_report(&report, at);
        }
    }
    let now = Moment(at.0 + EVIDENCE_DELAY_MICROS);
    let changes = quarantine.evaluate_due(now);
    assert!(matches!(changes[..], [QuarantineChange::TrialBegun { .. }]), "{changes:?}");
    assert_eq!(quarantine.trial_of(&prompt(&["aa", "dead"]), now), Some(segment("dead")));
    assert!(!is_refused(&quarantine, &["dead"], now) && quarantine.trial_of(&prompt(&["aa"]), now).is_none());
    // An answer ends it for all VMs that receive it.
    assert!(quarantine.record_answered(segment("dead"), now, now).0 && quarantine.is_idle());

    let (mut quarantine, begun_at) = quarantined(&["dead"]);
    let over_at = Moment(begun_at.0 + QUARANTINE_MICROS);
    quarantine.sweep(over_at);
    assert_eq!(quarantine.trial_of(&prompt(&["dead"]), over_at), Some(segment("dead")));
    // A VM that starts now learns of the trial.
    let mut started = RequestQuarantine::default();
    started.apply_message(&quarantine.message_of(segment("dead"), over_at).unwrap(), over_at);
    assert_eq!(started.trial_of(&prompt(&["dead"]), over_at), Some(segment("dead")));
    assert!(started.rows().all(|(_, row)| row.phase == QuarantinePhase::Probation));
}

/// Guards against messages that grow with the segments of a prompt, or repeat too often.
#[test]
fn messages_are_small_and_few() {
    let (mut quarantine, now) = quarantined(&["aa", "dead"]);
    let repeated: Vec<_> = (0..100)
        .flat_map(|tick| quarantine.repeat_messages(0, Moment(now.0 + tick * MICROS_PER_SECOND / 10)))
        .collect();
    // One report and one quarantine each second for ten seconds.
    assert_eq!(repeated.len(), 20);
    for message in &repeated {
        assert!(postcard::to_stdvec(message).unwrap().len() <= 90);
    }
}

/// Guards against an account that holds back another one's prompts by naming their segments in its own, fatal
/// ones: an answer to any of them in between clears the segment.
#[test]
fn an_account_that_names_segments_of_others_does_not_hold_them_back_while_they_are_answered() {
    let mut quarantine = RequestQuarantine::default();
    for start in 0..20 {
        let at = Moment((100 + start) * MICROS_PER_SECOND);
        crash(&mut quarantine, &["theirs"], start, at);
        // The other account uses it once in three crashes.
        if start % 3 == 2 {
            quarantine.record_answered(segment("theirs"), at, at);
        }
        let now = Moment(at.0 + EVIDENCE_DELAY_MICROS);
        assert!(!is_refused(&quarantine, &["theirs", "own"], now), "after {start} crashes");
        assert!(quarantine.trial_of(&prompt(&["theirs", "own"]), now).is_none(), "after {start} crashes");
    }
}

/// Guards against an account that always names a segment of its own beside one of another account, which then
/// is refused with it although it is never answered alone.
#[test]
fn a_segment_that_came_with_one_of_the_fatal_prompts_own_is_not_held_back_alone() {
    let (quarantine, now) = quarantined(&["theirs", "mine"]);
    assert!(is_refused(&quarantine, &["theirs", "mine"], now));
    assert!(!is_refused(&quarantine, &["theirs", "other"], now));
}

/// Guards against evidence that says that something is suspected, and against keys that are computed, where
/// nothing crashed or all of it was answered.
#[test]
fn no_segment_is_suspected_before_a_crash_and_after_an_answer() {
    let mut quarantine = RequestQuarantine::default();
    assert!(quarantine.is_idle() && !quarantine.suspects_segments());
    let at = Moment(100 * MICROS_PER_SECOND);
    crash(&mut quarantine, &["aa", "bb"], 1, at);
    assert!(quarantine.suspects_segments());
    for name in ["aa", "bb"] {
        quarantine.record_answered(segment(name), at, at);
    }
    assert!(quarantine.is_idle() && !quarantine.suspects_segments());
}
