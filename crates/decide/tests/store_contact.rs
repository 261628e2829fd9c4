//! Outages of the store as derived from the answers and failed calls of several VMs.

use spanfold_decide::{
    ContactChange, ContactSource, EndpointEntry, EndpointKey, FleetTable, StoreContact, StoreSilence,
};
use spanfold_entity::Moment;

fn at(millis: u64) -> Moment {
    Moment(0).after_millis(millis)
}

/// Returns a contact whose VM and all others got no answer from 1 s to 3.6 s.
fn after_outage() -> StoreContact {
    let mut contact = StoreContact::default();
    contact.record_answer(ContactSource::Own, at(1_000));
    contact.record_failure(ContactSource::Own, at(2_000));
    assert!(matches!(contact.record_answer(ContactSource::Own, at(3_600)), ContactChange::Returned(_)));
    contact
}

/// Guards against grace periods that rest on an outage although another VM was answered meanwhile.
#[test]
fn an_answer_that_is_reported_late_ends_the_grace_period() {
    let mut contact = after_outage();
    let mut table = FleetTable::default();
    let entry = EndpointEntry {
        id: "i-1".into(),
        born_millis: None,
        service: "llm".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "dc-a".into(),
        version: "v1".into(),
        slots: 8,
        draining: false,
        cold_millis: None,
        weights: std::collections::BTreeMap::new().into(),
    };
    table.apply_entry(entry, at(0));
    table.mark_entry_missing("i-1", contact.grace_deadline(at(3_600)).unwrap());
    let takes_work = |table: &FleetTable| table.row(EndpointKey::of("i-1")).unwrap().takes_work(at(3_900));
    assert!(takes_work(&table));
    let change = contact.record_answer(ContactSource::Local, at(2_300));
    assert_eq!(change, ContactChange::Refuted(None));
    table.apply_contact_change(change, at(3_800));
    assert!(!takes_work(&table));
}

/// Guards against an end of an outage that a later report moves to a later moment.
#[test]
fn an_outage_ends_with_its_first_answer() {
    let mut contact = after_outage();
    contact.record_answer(ContactSource::Local, at(3_400));
    assert_eq!(contact.last_outage().unwrap().ended_at, at(3_400));
    for failed_at in [4_100, 4_500, 5_000] {
        contact.record_failure(ContactSource::Local, at(failed_at));
        contact.record_answer(ContactSource::Local, at(failed_at + 300));
    }
    assert_eq!(contact.grace_deadline(at(5_600)), Some(at(3_400 + 2_300)));
    assert_eq!(contact.grace_deadline(at(5_700)), None);
}

/// Guards against an outage that is missed because the failed calls are reported after the answer that ended it.
#[test]
fn a_failed_call_that_is_reported_late_shows_an_outage() {
    let mut contact = StoreContact::default();
    contact.record_answer(ContactSource::Own, at(1_000));
    assert_eq!(contact.record_answer(ContactSource::Local, at(4_000)), ContactChange::None);
    assert!(matches!(contact.record_failure(ContactSource::Indirect, at(3_000)), ContactChange::Returned(_)));
}

/// Guards against an outage in the place of a time in which this VM knew of no calls at all.
#[test]
fn a_time_without_calls_or_before_a_suspension_is_no_outage() {
    let mut contact = StoreContact::default();
    contact.record_answer(ContactSource::Own, at(1_000));
    contact.record_answer(ContactSource::Own, at(9_000));
    assert_eq!(contact.grace_deadline(at(9_000)), None);
    contact.record_failure(ContactSource::Own, at(9_500));
    assert_eq!(contact.silence(at(9_600)), Some(StoreSilence::Undecided { away_at: at(10_500) }));
    assert_eq!(contact.silence(at(10_500)), Some(StoreSilence::Away));
    contact.discard();
    contact.record_answer(ContactSource::Own, at(14_000));
    assert_eq!((contact.grace_deadline(at(14_000)), contact.silence(at(14_100))), (None, None));
}

/// Guards against answers that VMs report back to each other, so that their age never grows.
#[test]
fn vms_report_the_answers_of_their_own_calls_only() {
    let mut contact = StoreContact::default();
    contact.record_answer(ContactSource::Own, at(1_000));
    contact.record_answer(ContactSource::Local, at(2_000));
    contact.record_answer(ContactSource::Indirect, at(2_500));
    let ages = contact.ages(&[ContactSource::Own], at(3_000));
    assert_eq!((ages.answered_micros, ages.failed_micros), (Some(2_000_000), None));
    assert_eq!(contact.ages(&[ContactSource::Own], at(30_000)).answered_micros, None);
}
