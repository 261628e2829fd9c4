//! Tests of the quarantine of requests: how it begins, propagates and ends, and what follows.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use spanfold_decide::{
    CrashReport, EndpointCrash, EndpointKey, IdentityKey, QuarantineChange, QuarantineMessage,
    QuarantinePhase, QuarantineTable, RequestIdentity, RequestQuarantine, SuspectKey, SuspectKind,
    SuspectMessage,
};
use spanfold_entity::Moment;
use std::sync::Arc;

const MICROS_PER_SECOND: u64 = 1_000_000;
const QUARANTINE_MICROS: u64 = 600 * MICROS_PER_SECOND;
const EVIDENCE_DELAY_MICROS: u64 = 150_000;

fn request(number: u64) -> SuspectKey {
    let body = number.to_le_bytes();
    let identity = RequestIdentity { account: "a", method: "POST", host: "h", path: "/p", body: &body };
    IdentityKey::derive(&[1; 32]).of(&identity)
}

fn report(number: u64, start: u64, at: Moment) -> CrashReport {
    let start = EndpointKey(start);
    let crash = EndpointCrash { start, address_digest: start.0, service: 1, service_size: 18, at };
    CrashReport { suspect: request(number), kind: SuspectKind::Request, crash, age_micros: 60_000 }
}

/// Evaluates the evidence that arrived at `at`.
fn evaluate(quarantine: &mut RequestQuarantine, at: Moment) -> Vec<QuarantineChange> {
    assert_eq!(quarantine.evaluate_due(at), Vec::new());
    quarantine.evaluate_due(Moment(at.0 + EVIDENCE_DELAY_MICROS))
}

/// Records three endpoint crashes under request 1, the last at `at`; returns the changes.
fn record_three_crashes(quarantine: &mut RequestQuarantine, first: u64, at: Moment) -> Vec<QuarantineChange> {
    for row in 0..3 {
        let at = Moment(at.0 - (2 - row) * MICROS_PER_SECOND);
        assert!(quarantine.record_report(&report(1, first + row, at), at));
    }
    evaluate(quarantine, at)
}

fn is_quarantined(quarantine: &RequestQuarantine, number: u64, now: Moment) -> bool {
    quarantine.quarantined(request(number), now).is_some()
}

#[test]
fn quarantine_ends_at_its_deadline_and_one_more_crash_begins_the_next() {
    let mut quarantine = RequestQuarantine::default();
    let begun_at = Moment(1_000 * MICROS_PER_SECOND);
    let changes = record_three_crashes(&mut quarantine, 10, begun_at);
    assert!(matches!(changes[..], [QuarantineChange::Begun { round: 1, .. }]), "{changes:?}");
    assert!(is_quarantined(
        &quarantine,
        1,
        Moment(begun_at.0 + EVIDENCE_DELAY_MICROS + QUARANTINE_MICROS - 1)
    ));
    let over_at = Moment(begun_at.0 + EVIDENCE_DELAY_MICROS + QUARANTINE_MICROS);
    assert!(!is_quarantined(&quarantine, 1, over_at));
    assert_eq!(quarantine.sweep(over_at).len(), 1);
    let next_crash = Moment(over_at.0 + 30 * MICROS_PER_SECOND);
    quarantine.record_report(&report(1, 20, next_crash), next_crash);
    let changes = evaluate(&mut quarantine, next_crash);
    assert!(matches!(changes[..], [QuarantineChange::Begun { round: 2, .. }]), "{changes:?}");
    assert!(is_quarantined(&quarantine, 1, Moment(next_crash.0 + EVIDENCE_DELAY_MICROS)));
}

#[test]
fn request_answered_after_its_quarantine_is_discarded() {
    let mut quarantine = RequestQuarantine::default();
    let begun_at = Moment(1_000 * MICROS_PER_SECOND);
    record_three_crashes(&mut quarantine, 10, begun_at);
    let over_at = Moment(begun_at.0 + EVIDENCE_DELAY_MICROS + QUARANTINE_MICROS);
    quarantine.sweep(over_at);
    assert!(quarantine.record_answered(request(1), over_at, over_at).0);
    assert!(quarantine.is_idle());
    let later = Moment(over_at.0 + MICROS_PER_SECOND);
    quarantine.record_report(&report(1, 20, later), later);
    assert_eq!(evaluate(&mut quarantine, later), Vec::new());
}

#[test]
fn probation_ends_too() {
    let mut quarantine = RequestQuarantine::default();
    let begun_at = Moment(1_000 * MICROS_PER_SECOND);
    record_three_crashes(&mut quarantine, 10, begun_at);
    quarantine.sweep(Moment(begun_at.0 + EVIDENCE_DELAY_MICROS + QUARANTINE_MICROS));
    quarantine
        .sweep(Moment(begun_at.0 + EVIDENCE_DELAY_MICROS + QUARANTINE_MICROS + 3_600 * MICROS_PER_SECOND));
    assert!(quarantine.is_idle());
}

#[test]
fn repeated_report_never_extends_a_quarantine() {
    let mut quarantine = RequestQuarantine::default();
    let held_message =
        |rest_micros| QuarantineMessage::Held { suspect: request(1), round: 1, endings: 3, rest_micros };
    assert!(
        quarantine
            .apply_message(&SuspectMessage::Request(held_message(100 * MICROS_PER_SECOND)), Moment(0))
            .0
    );
    assert!(
        !quarantine
            .apply_message(
                &SuspectMessage::Request(held_message(100 * MICROS_PER_SECOND)),
                Moment(50 * MICROS_PER_SECOND)
            )
            .0
    );
    assert!(!is_quarantined(&quarantine, 1, Moment(100 * MICROS_PER_SECOND)));
    // A VM whose clock stood still, or the store, reports the quarantine after it has ended.
    quarantine.sweep(Moment(100 * MICROS_PER_SECOND));
    quarantine.apply_message(
        &SuspectMessage::Request(held_message(60 * MICROS_PER_SECOND)),
        Moment(101 * MICROS_PER_SECOND),
    );
    assert_eq!(
        quarantine.adopt_stored(
            request(1),
            SuspectKind::Request,
            (1, 3),
            Arc::default(),
            Moment(101 * MICROS_PER_SECOND)
        ),
        Vec::new()
    );
    assert!(!is_quarantined(&quarantine, 1, Moment(102 * MICROS_PER_SECOND)));
}

#[test]
fn reported_time_is_bounded_by_the_quarantine_duration() {
    let mut quarantine = RequestQuarantine::default();
    let message =
        QuarantineMessage::Held { suspect: request(1), round: 1, endings: 3, rest_micros: u64::MAX };
    quarantine.apply_message(&SuspectMessage::Request(message), Moment(0));
    assert!(
        is_quarantined(&quarantine, 1, Moment(QUARANTINE_MICROS - 1))
            && !is_quarantined(&quarantine, 1, Moment(QUARANTINE_MICROS))
    );
}

/// Propagates the repeated messages of `from` for `seconds`; half of them are lost, and the others arrive
/// twice.
fn repeat_messages(from: &mut RequestQuarantine, to: &mut RequestQuarantine, at: Moment, seconds: u64) {
    let mut random = SmallRng::seed_from_u64(3);
    for second in 0..seconds {
        let now = Moment(at.0 + second * MICROS_PER_SECOND);
        for message in from.repeat_messages(0, now) {
            if random.random() {
                to.apply_message(&message, now);
                to.apply_message(&message, Moment(now.0 + MICROS_PER_SECOND / 2));
            }
        }
        to.evaluate_due(Moment(now.0 + MICROS_PER_SECOND));
    }
}

#[test]
fn evidence_and_quarantines_propagate_despite_lost_and_duplicate_messages() {
    let (mut informed, mut uninformed) = (RequestQuarantine::default(), RequestQuarantine::default());
    let begun_at = Moment(1_000 * MICROS_PER_SECOND);
    record_three_crashes(&mut informed, 10, begun_at);
    let at = Moment(begun_at.0 + MICROS_PER_SECOND);
    informed.record_report(&report(2, 40, at), at);
    repeat_messages(&mut informed, &mut uninformed, at, 32);
    assert!(is_quarantined(&uninformed, 1, Moment(at.0 + 32 * MICROS_PER_SECOND)));
    assert_eq!((uninformed.crashes_of(request(1)), uninformed.crashes_of(request(2))), (3, 1));
}

#[test]
fn evidence_from_both_sides_of_a_partition_adds_up() {
    let (mut first_vm, mut second_vm) = (RequestQuarantine::default(), RequestQuarantine::default());
    let at = |seconds: u64| Moment(seconds * MICROS_PER_SECOND);
    first_vm.record_report(&report(1, 10, at(100)), at(100));
    second_vm.record_report(&report(1, 11, at(101)), at(101));
    first_vm.record_report(&report(1, 12, at(102)), at(102));
    assert!(!is_quarantined(&first_vm, 1, at(103)) && !is_quarantined(&second_vm, 1, at(103)));
    // The partition heals minutes later.
    repeat_messages(&mut first_vm, &mut second_vm, at(300), 16);
    repeat_messages(&mut second_vm, &mut first_vm, at(320), 16);
    assert!(is_quarantined(&first_vm, 1, at(340)) && is_quarantined(&second_vm, 1, at(340)));
}

#[test]
fn released_request_is_quarantined_again_neither_by_others_nor_by_the_store() {
    let (mut first_vm, mut second_vm) = (RequestQuarantine::default(), RequestQuarantine::default());
    let begun_at = Moment(1_000 * MICROS_PER_SECOND);
    record_three_crashes(&mut first_vm, 10, begun_at);
    repeat_messages(&mut first_vm, &mut second_vm, begun_at, 16);
    let released_at = Moment(begun_at.0 + 40 * MICROS_PER_SECOND);
    assert_eq!(first_vm.release(request(1), released_at), Some(1));
    assert_eq!(first_vm.release(request(1), released_at), None);
    let message = QuarantineMessage::Held {
        suspect: request(1),
        round: 1,
        endings: 3,
        rest_micros: 60 * MICROS_PER_SECOND,
    };
    first_vm.apply_message(&SuspectMessage::Request(message), released_at);
    first_vm.adopt_stored(request(1), SuspectKind::Request, (1, 3), Arc::default(), released_at);
    assert!(!is_quarantined(&first_vm, 1, released_at));
    repeat_messages(&mut first_vm, &mut second_vm, released_at, 8);
    assert!(!is_quarantined(&second_vm, 1, Moment(released_at.0 + 9 * MICROS_PER_SECOND)));
    // A VM that starts meanwhile reads it from the store.
    let mut restarted = RequestQuarantine::default();
    restarted.adopt_stored(request(1), SuspectKind::Request, (1, 3), Arc::default(), released_at);
    assert!(is_quarantined(&restarted, 1, released_at));
    repeat_messages(&mut second_vm, &mut restarted, Moment(released_at.0 + 10 * MICROS_PER_SECOND), 8);
    assert!(!is_quarantined(&restarted, 1, Moment(released_at.0 + 20 * MICROS_PER_SECOND)));
    // New crashes count.
    let changes = record_three_crashes(&mut first_vm, 50, Moment(released_at.0 + 60 * MICROS_PER_SECOND));
    assert!(matches!(changes[..], [QuarantineChange::Begun { round: 2, .. }]), "{changes:?}");
}

#[test]
fn quarantine_is_released_when_its_crashes_are_attributed_to_another_request() {
    let mut quarantine = RequestQuarantine::default();
    // Both requests were running at four crashes, and the younger one is taken as the cause; the older one
    // continues. The order of their reports doesn't matter.
    for row in 0..4 {
        let at = Moment((100 + row) * MICROS_PER_SECOND);
        let older_report = CrashReport { age_micros: 90_000, ..report(2, 10 + row, at) };
        quarantine.record_report(&older_report, at);
        quarantine.record_report(&report(1, 10 + row, at), at);
        quarantine.evaluate_due(Moment(at.0 + EVIDENCE_DELAY_MICROS));
    }
    let at = Moment(104 * MICROS_PER_SECOND);
    assert!(is_quarantined(&quarantine, 1, at) && !is_quarantined(&quarantine, 2, at));
    let at = Moment(106 * MICROS_PER_SECOND);
    quarantine.record_report(&report(2, 20, at), at);
    let changes = evaluate(&mut quarantine, at);
    assert!(
        matches!(changes[..], [QuarantineChange::Begun { .. }, QuarantineChange::Lifted { .. }]),
        "{changes:?}"
    );
    let at = Moment(at.0 + EVIDENCE_DELAY_MICROS);
    assert!(!is_quarantined(&quarantine, 1, at) && is_quarantined(&quarantine, 2, at));
}

#[test]
fn quarantine_is_stored_once_or_by_another_vm() {
    let mut quarantine = RequestQuarantine::default();
    let begun_at = Moment(1_000 * MICROS_PER_SECOND);
    record_three_crashes(&mut quarantine, 10, begun_at);
    let begun_at = Moment(begun_at.0 + EVIDENCE_DELAY_MICROS);
    let (due, row) = quarantine.due_write(begun_at).unwrap();
    assert_eq!(due, request(1));
    quarantine.record_written(due, &row, Moment::NEVER);
    assert_eq!(quarantine.due_write(Moment(begun_at.0 + MICROS_PER_SECOND)), None);
    let mut second_vm = RequestQuarantine::default();
    let message =
        QuarantineMessage::Held { suspect: request(1), round: 1, endings: 3, rest_micros: QUARANTINE_MICROS };
    second_vm.apply_message(&SuspectMessage::Request(message), begun_at);
    assert_eq!(second_vm.due_write(begun_at), None);
    assert!(second_vm.due_write(Moment(begun_at.0 + 2 * MICROS_PER_SECOND)).is_some());
    second_vm.adopt_stored(
        request(1),
        SuspectKind::Request,
        (1, 3),
        Arc::default(),
        Moment(begun_at.0 + 2 * MICROS_PER_SECOND),
    );
    assert_eq!(second_vm.due_write(Moment(begun_at.0 + 3 * MICROS_PER_SECOND)), None);
}

#[test]
fn quarantine_released_during_its_write_is_deleted_from_the_store() {
    let mut quarantine = RequestQuarantine::default();
    let begun_at = Moment(1_000 * MICROS_PER_SECOND);
    record_three_crashes(&mut quarantine, 10, begun_at);
    let at = Moment(begun_at.0 + MICROS_PER_SECOND);
    let (due, row) = quarantine.due_write(at).unwrap();
    quarantine.release(due, at);
    // The write completes, and the store reports it.
    quarantine.record_written(due, &row, Moment::NEVER);
    quarantine.adopt_stored(due, SuspectKind::Request, (row.round, row.crashes), Arc::default(), at);
    let (due, row) = quarantine.due_write(at).unwrap();
    assert_eq!((due, row.phase), (request(1), QuarantinePhase::Released));
    quarantine.record_written(due, &row, Moment::NEVER);
    assert_eq!(quarantine.due_write(Moment(at.0 + MICROS_PER_SECOND)), None);
}

#[test]
fn table_is_bounded_and_retains_active_quarantines() {
    let mut table = QuarantineTable::default();
    for number in 0..512 {
        assert_eq!(
            table.begin(request(number), SuspectKind::Request, 3, Arc::default(), Moment(number)),
            Some(1)
        );
    }
    assert_eq!(table.begin(request(1_000), SuspectKind::Request, 3, Arc::default(), Moment(1_000)), None);
    table.release(request(5), Moment(2_000));
    assert_eq!(table.begin(request(1_000), SuspectKind::Request, 3, Arc::default(), Moment(3_000)), Some(1));
    assert_eq!(table.rows().filter(|(_, row)| row.phase == QuarantinePhase::Quarantined).count(), 512);
}

#[test]
fn messages_are_small_and_few() {
    let mut quarantine = RequestQuarantine::default();
    let begun_at = Moment(1_000 * MICROS_PER_SECOND);
    let before = Moment(800 * MICROS_PER_SECOND);
    for number in 2..500 {
        quarantine.record_report(&report(number, number, before), before);
    }
    record_three_crashes(&mut quarantine, 1_000, begun_at);
    let messages: Vec<_> = (0..100)
        .flat_map(|tick| quarantine.repeat_messages(0, Moment(begun_at.0 + tick * MICROS_PER_SECOND / 10)))
        .collect();
    // One report and one quarantine each second for ten seconds.
    assert_eq!(messages.len(), 20);
    for message in &messages {
        assert!(postcard::to_stdvec(message).unwrap().len() <= 70);
    }
}
