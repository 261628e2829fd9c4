//! Holds of requests: how they begin, spread, end, and what follows.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use spanfold_decide::{
    CrashReport, EndpointCrash, EndpointKey, IdentityKey, QuarantineChange, QuarantineMessage,
    QuarantinePhase, QuarantineTable, RequestIdentity, RequestKey, RequestQuarantine,
};
use spanfold_entity::Moment;

const SECOND: u64 = 1_000_000;
const HOLD: u64 = 600 * SECOND;
const SETTLE: u64 = 150_000;

fn request(number: u64) -> RequestKey {
    let body = number.to_le_bytes();
    let identity = RequestIdentity { account: "a", method: "POST", host: "h", path: "/p", body: &body };
    IdentityKey::derive(&[1; 32]).of(&identity)
}

fn report(number: u64, start: u64, at: Moment) -> CrashReport {
    let start = EndpointKey(start);
    let ending = EndpointCrash { start, place: start.0, service: 1, among: 18, at };
    CrashReport { request: request(number), ending, age_micros: 60_000 }
}

/// Judges what came at `at`.
fn judge(quarantine: &mut RequestQuarantine, at: Moment) -> Vec<QuarantineChange> {
    assert_eq!(quarantine.evaluate_due(at), Vec::new());
    quarantine.evaluate_due(Moment(at.0 + SETTLE))
}

/// Takes the ends of three endpoints under request 1, the last at `at`; gives what changed.
fn three_ends(quarantine: &mut RequestQuarantine, first: u64, at: Moment) -> Vec<QuarantineChange> {
    for row in 0..3 {
        let at = Moment(at.0 - (2 - row) * SECOND);
        assert!(quarantine.take_report(&report(1, first + row, at), at));
    }
    judge(quarantine, at)
}

fn is_held(quarantine: &RequestQuarantine, number: u64, now: Moment) -> bool {
    quarantine.held(request(number), now).is_some()
}

#[test]
fn a_hold_ends_at_its_time_and_one_more_end_begins_the_next() {
    let mut quarantine = RequestQuarantine::default();
    let begun = Moment(1_000 * SECOND);
    let changes = three_ends(&mut quarantine, 10, begun);
    assert!(matches!(changes[..], [QuarantineChange::Begun { round: 1, .. }]), "{changes:?}");
    assert!(is_held(&quarantine, 1, Moment(begun.0 + SETTLE + HOLD - 1)));
    let over = Moment(begun.0 + SETTLE + HOLD);
    assert!(!is_held(&quarantine, 1, over));
    assert_eq!(quarantine.sweep(over).len(), 1);
    let again = Moment(over.0 + 30 * SECOND);
    quarantine.take_report(&report(1, 20, again), again);
    let changes = judge(&mut quarantine, again);
    assert!(matches!(changes[..], [QuarantineChange::Begun { round: 2, .. }]), "{changes:?}");
    assert!(is_held(&quarantine, 1, Moment(again.0 + SETTLE)));
}

#[test]
fn a_request_that_runs_after_its_hold_is_forgotten() {
    let mut quarantine = RequestQuarantine::default();
    let begun = Moment(1_000 * SECOND);
    three_ends(&mut quarantine, 10, begun);
    let over = Moment(begun.0 + SETTLE + HOLD);
    quarantine.sweep(over);
    assert!(quarantine.record_answered(request(1), over));
    assert!(quarantine.is_idle());
    let later = Moment(over.0 + SECOND);
    quarantine.take_report(&report(1, 20, later), later);
    assert_eq!(judge(&mut quarantine, later), Vec::new());
}

#[test]
fn what_follows_a_hold_ends_too() {
    let mut quarantine = RequestQuarantine::default();
    let begun = Moment(1_000 * SECOND);
    three_ends(&mut quarantine, 10, begun);
    quarantine.sweep(Moment(begun.0 + SETTLE + HOLD));
    quarantine.sweep(Moment(begun.0 + SETTLE + HOLD + 3_600 * SECOND));
    assert!(quarantine.is_idle());
}

#[test]
fn a_hold_told_again_never_lasts_longer() {
    let mut quarantine = RequestQuarantine::default();
    let held =
        |rest_micros| QuarantineMessage::Held { request: request(1), round: 1, endings: 3, rest_micros };
    assert!(quarantine.apply_quarantine_message(&held(100 * SECOND), Moment(0)).0);
    assert!(!quarantine.apply_quarantine_message(&held(100 * SECOND), Moment(50 * SECOND)).0);
    assert!(!is_held(&quarantine, 1, Moment(100 * SECOND)));
    // A VM whose clock stood still, or the store, tells of it after it is over.
    quarantine.sweep(Moment(100 * SECOND));
    quarantine.apply_quarantine_message(&held(60 * SECOND), Moment(101 * SECOND));
    assert_eq!(quarantine.take_stored(request(1), (1, 3), Moment(101 * SECOND)), Vec::new());
    assert!(!is_held(&quarantine, 1, Moment(102 * SECOND)));
}

#[test]
fn no_told_time_exceeds_a_holds_own() {
    let mut quarantine = RequestQuarantine::default();
    let note = QuarantineMessage::Held { request: request(1), round: 1, endings: 3, rest_micros: u64::MAX };
    quarantine.apply_quarantine_message(&note, Moment(0));
    assert!(is_held(&quarantine, 1, Moment(HOLD - 1)) && !is_held(&quarantine, 1, Moment(HOLD)));
}

/// Carries what `from` tells again over `seconds`, of which half of the messages are lost and each other one comes twice.
fn repeat_messages(from: &mut RequestQuarantine, to: &mut RequestQuarantine, at: Moment, seconds: u64) {
    let mut random = SmallRng::seed_from_u64(3);
    for second in 0..seconds {
        let now = Moment(at.0 + second * SECOND);
        for note in from.repeat_messages(0, now) {
            if random.random() {
                to.apply_quarantine_message(&note, now);
                to.apply_quarantine_message(&note, Moment(now.0 + SECOND / 2));
            }
        }
        to.evaluate_due(Moment(now.0 + SECOND));
    }
}

#[test]
fn a_vm_that_heard_nothing_learns_evidence_and_holds_although_messages_are_lost_and_doubled() {
    let (mut knows, mut late) = (RequestQuarantine::default(), RequestQuarantine::default());
    let begun = Moment(1_000 * SECOND);
    three_ends(&mut knows, 10, begun);
    let at = Moment(begun.0 + SECOND);
    knows.take_report(&report(2, 40, at), at);
    repeat_messages(&mut knows, &mut late, at, 32);
    assert!(is_held(&late, 1, Moment(at.0 + 32 * SECOND)));
    assert_eq!((late.crashes_of(request(1)), late.crashes_of(request(2))), (3, 1));
}

#[test]
fn two_sides_of_a_cut_find_together_what_neither_could() {
    let (mut one, mut other) = (RequestQuarantine::default(), RequestQuarantine::default());
    let at = |seconds: u64| Moment(seconds * SECOND);
    one.take_report(&report(1, 10, at(100)), at(100));
    other.take_report(&report(1, 11, at(101)), at(101));
    one.take_report(&report(1, 12, at(102)), at(102));
    assert!(!is_held(&one, 1, at(103)) && !is_held(&other, 1, at(103)));
    // The cut heals minutes later.
    repeat_messages(&mut one, &mut other, at(300), 16);
    repeat_messages(&mut other, &mut one, at(320), 16);
    assert!(is_held(&one, 1, at(340)) && is_held(&other, 1, at(340)));
}

#[test]
fn what_operators_lift_comes_back_neither_from_others_nor_from_the_store() {
    let (mut one, mut other) = (RequestQuarantine::default(), RequestQuarantine::default());
    let begun = Moment(1_000 * SECOND);
    three_ends(&mut one, 10, begun);
    repeat_messages(&mut one, &mut other, begun, 16);
    let lifted = Moment(begun.0 + 40 * SECOND);
    assert_eq!(one.lift(request(1), lifted), Some(1));
    assert_eq!(one.lift(request(1), lifted), None);
    let note =
        QuarantineMessage::Held { request: request(1), round: 1, endings: 3, rest_micros: 60 * SECOND };
    one.apply_quarantine_message(&note, lifted);
    one.take_stored(request(1), (1, 3), lifted);
    assert!(!is_held(&one, 1, lifted));
    repeat_messages(&mut one, &mut other, lifted, 8);
    assert!(!is_held(&other, 1, Moment(lifted.0 + 9 * SECOND)));
    // A VM that starts meanwhile lists it in the store.
    let mut fresh = RequestQuarantine::default();
    fresh.take_stored(request(1), (1, 3), lifted);
    assert!(is_held(&fresh, 1, lifted));
    repeat_messages(&mut other, &mut fresh, Moment(lifted.0 + 10 * SECOND), 8);
    assert!(!is_held(&fresh, 1, Moment(lifted.0 + 20 * SECOND)));
    // New ends count.
    let changes = three_ends(&mut one, 50, Moment(lifted.0 + 60 * SECOND));
    assert!(matches!(changes[..], [QuarantineChange::Begun { round: 2, .. }]), "{changes:?}");
}

#[test]
fn a_hold_is_lifted_when_its_ends_turn_out_to_be_anothers() {
    let mut quarantine = RequestQuarantine::default();
    // Both were at four ends, and the younger one is blamed; the other goes on. Who is reported first does not matter.
    for row in 0..4 {
        let at = Moment((100 + row) * SECOND);
        let older = CrashReport { age_micros: 90_000, ..report(2, 10 + row, at) };
        quarantine.take_report(&older, at);
        quarantine.take_report(&report(1, 10 + row, at), at);
        quarantine.evaluate_due(Moment(at.0 + SETTLE));
    }
    let at = Moment(104 * SECOND);
    assert!(is_held(&quarantine, 1, at) && !is_held(&quarantine, 2, at));
    let at = Moment(106 * SECOND);
    quarantine.take_report(&report(2, 20, at), at);
    let changes = judge(&mut quarantine, at);
    assert!(
        matches!(changes[..], [QuarantineChange::Begun { .. }, QuarantineChange::Lifted { .. }]),
        "{changes:?}"
    );
    let at = Moment(at.0 + SETTLE);
    assert!(!is_held(&quarantine, 1, at) && is_held(&quarantine, 2, at));
}

#[test]
fn a_hold_is_written_once_and_by_another_vm_if_the_first_does_not() {
    let mut quarantine = RequestQuarantine::default();
    let begun = Moment(1_000 * SECOND);
    three_ends(&mut quarantine, 10, begun);
    let begun = Moment(begun.0 + SETTLE);
    let (due, row) = quarantine.due_write(begun).unwrap();
    assert_eq!(due, request(1));
    quarantine.record_written(due, &row, Moment::NEVER);
    assert_eq!(quarantine.due_write(Moment(begun.0 + SECOND)), None);
    let mut other = RequestQuarantine::default();
    let note = QuarantineMessage::Held { request: request(1), round: 1, endings: 3, rest_micros: HOLD };
    other.apply_quarantine_message(&note, begun);
    assert_eq!(other.due_write(begun), None);
    assert!(other.due_write(Moment(begun.0 + 2 * SECOND)).is_some());
    other.take_stored(request(1), (1, 3), Moment(begun.0 + 2 * SECOND));
    assert_eq!(other.due_write(Moment(begun.0 + 3 * SECOND)), None);
}

#[test]
fn a_hold_that_is_lifted_while_it_is_written_is_removed_from_the_store() {
    let mut quarantine = RequestQuarantine::default();
    let begun = Moment(1_000 * SECOND);
    three_ends(&mut quarantine, 10, begun);
    let at = Moment(begun.0 + SECOND);
    let (due, row) = quarantine.due_write(at).unwrap();
    quarantine.lift(due, at);
    // The write is done, and the store tells of it.
    quarantine.record_written(due, &row, Moment::NEVER);
    quarantine.take_stored(due, (row.round, row.endings), at);
    let (due, row) = quarantine.due_write(at).unwrap();
    assert_eq!((due, row.phase), (request(1), QuarantinePhase::Lifted));
    quarantine.record_written(due, &row, Moment::NEVER);
    assert_eq!(quarantine.due_write(Moment(at.0 + SECOND)), None);
}

#[test]
fn the_book_is_bounded_and_holds_in_force_stay() {
    let mut book = QuarantineTable::default();
    for number in 0..512 {
        assert_eq!(book.hold(request(number), 3, Moment(number)), Some(1));
    }
    assert_eq!(book.hold(request(1_000), 3, Moment(1_000)), None);
    book.lift(request(5), Moment(2_000));
    assert_eq!(book.hold(request(1_000), 3, Moment(3_000)), Some(1));
    assert_eq!(book.rows().filter(|(_, row)| row.phase == QuarantinePhase::Held).count(), 512);
}

#[test]
fn notes_are_small_and_few() {
    let mut quarantine = RequestQuarantine::default();
    let begun = Moment(1_000 * SECOND);
    let before = Moment(800 * SECOND);
    for number in 2..500 {
        quarantine.take_report(&report(number, number, before), before);
    }
    three_ends(&mut quarantine, 1_000, begun);
    let notes: Vec<_> = (0..100)
        .flat_map(|tenth| quarantine.repeat_messages(0, Moment(begun.0 + tenth * SECOND / 10)))
        .collect();
    // A report and a hold each second for ten seconds.
    assert_eq!(notes.len(), 20);
    for note in &notes {
        assert!(postcard::to_stdvec(note).unwrap().len() <= 70);
    }
}
