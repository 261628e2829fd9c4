//! Outages of the platform's store, from the answers and failed calls of all VMs that this one has learned of.
//!
//! The entries of live endpoints expire while the store is away, and are written again soon after its return.
//! An entry that is removed while the store serves any VM belongs to an endpoint that left.
//!
//! Invariant: an outage is a span of at least [`MIN_OUTAGE_MILLIS`] in which calls failed and no VM is known to
//! have received an answer. Failed calls alone are none: the store may refuse one VM, or the path of that VM may
//! be broken. The end of an outage is fixed when it is first known, and moves only to an earlier moment.

use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;

/// Shortest span without an answer that counts as an outage, in milliseconds.
///
/// Entries expire after three heartbeats of 1.2 s. Another VM polls the store within this time if the polling
/// one is refused, and VMs learn of each other's answers.
const MIN_OUTAGE_MILLIS: u64 = 1_500;
/// Time after an outage within which endpoints write their entries again, in milliseconds.
///
/// The platform allows them two seconds; the rest is for the propagation of the entry.
const ENTRY_RETURN_MILLIS: u64 = 2_300;
/// Longest time after an outage in which a call fails that was sent in it, in milliseconds.
const FAILURE_DELAY_MILLIS: u64 = 700;
/// Time for which a failed call is recent, in milliseconds.
const RECENT_FAILURE_MILLIS: u64 = 3_500;
/// Age from which on an answer or a failed call is not reported to other VMs, in microseconds.
const MAX_REPORTED_AGE_MICROS: u64 = 10_000_000;

/// Whose calls to the store a report is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactSource {
    /// Those of this VM.
    Own,
    /// Those of other VMs of this data centre, which they reported themselves.
    Local,
    /// Those of VMs of other data centres.
    Remote,
    /// Not known: another VM reported an answer that it may have learned of itself.
    Indirect,
}

/// Number of [`ContactSource`]s.
const SOURCE_COUNT: usize = 4;

/// Ages of the newest answer and the newest failed call, in microseconds; none if there is no recent one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactAges {
    /// Age of the answer.
    pub answered_micros: Option<u64>,
    /// Age of the failed call.
    pub failed_micros: Option<u64>,
}

/// A span in which the store answered no VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreOutage {
    /// The last answer before it.
    pub began_at: Moment,
    /// The first answer after it.
    pub ended_at: Moment,
    /// Whether it is the restoration of the store from a backup, which may lack entries.
    pub is_restoration: bool,
}

impl StoreOutage {
    /// Returns until when endpoints whose entries expired in the outage get work.
    pub const fn grace_deadline(&self) -> Moment {
        self.ended_at.after_millis(ENTRY_RETURN_MILLIS)
    }

    /// Name of its cause, for logs.
    pub const fn cause(&self) -> &'static str {
        if self.is_restoration { "restoration" } else { "outage" }
    }
}

/// What an answer changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactChange {
    /// Nothing.
    None,
    /// It ended an outage.
    Returned(StoreOutage),
    /// It was received before the end of the last outage, which was shorter, or none.
    Refuted(Option<StoreOutage>),
}

/// A time since the last answer in which a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreSilence {
    /// It is an outage unless an answer before `away_at` becomes known.
    Undecided {
        /// When it becomes an outage.
        away_at: Moment,
    },
    /// It is an outage.
    Away,
}

/// Newest answer and newest failed call of one source.
#[derive(Clone, Copy, Debug, Default)]
struct ContactRecord {
    answered_at: Option<Moment>,
    failed_at: Option<Moment>,
}

/// Answers and failed calls of the store that this VM knows of.
///
/// # Examples
/// ```
/// use spanfold_decide::{ContactChange, ContactSource, StoreContact};
/// use spanfold_entity::Moment;
/// let at = |millis| Moment(0).after_millis(millis);
/// let mut contact = StoreContact::default();
/// contact.record_answer(ContactSource::Own, at(1_000));
/// // One VM's call fails, another one's is answered.
/// contact.record_failure(ContactSource::Own, at(1_500));
/// contact.record_answer(ContactSource::Local, at(1_900));
/// assert_eq!(contact.grace_deadline(at(2_000)), None);
/// // No VM's call is answered for two seconds.
/// contact.record_failure(ContactSource::Own, at(2_500));
/// contact.record_answer(ContactSource::Local, at(3_900));
/// assert_eq!(contact.grace_deadline(at(4_000)), Some(at(3_900 + 2_300)));
/// assert_eq!(contact.grace_deadline(at(6_200)), None);
/// ```
#[derive(Debug, Default)]
pub struct StoreContact {
    records: [ContactRecord; SOURCE_COUNT],
    /// Newest answer to any VM.
    answered_at: Option<Moment>,
    /// Newest failed call of any VM.
    failed_at: Option<Moment>,
    /// The last long span without an answer in which no call is known to have failed.
    gap: Option<(Moment, Moment)>,
    outage: Option<StoreOutage>,
}

impl StoreContact {
    /// Records that the store answered a VM at `at`.
    pub fn record_answer(&mut self, source: ContactSource, at: Moment) -> ContactChange {
        let record = &mut self.records[source as usize];
        record.answered_at = record.answered_at.max(Some(at));
        let Some(previous) = self.answered_at else {
            self.answered_at = Some(at);
            return ContactChange::None;
        };
        if at <= previous {
            return self.refute(at);
        }
        self.answered_at = Some(at);
        if at < previous.after_millis(MIN_OUTAGE_MILLIS) {
            return ContactChange::None;
        }
        self.gap = Some((previous, at));
        self.end_outage()
    }

    /// Records that a VM's call to the store failed at `at`.
    pub fn record_failure(&mut self, source: ContactSource, at: Moment) -> ContactChange {
        let record = &mut self.records[source as usize];
        record.failed_at = record.failed_at.max(Some(at));
        self.failed_at = self.failed_at.max(Some(at));
        // Its report may arrive after that of the answer that followed.
        self.end_outage_with(at)
    }

    /// Records that the store was restored from a backup.
    pub const fn record_restoration(&mut self, now: Moment) -> StoreOutage {
        let outage = StoreOutage { began_at: now, ended_at: now, is_restoration: true };
        self.outage = Some(outage);
        outage
    }

    /// Discards what was recorded before a suspension of this VM: it says nothing of the time since.
    pub fn discard(&mut self) {
        *self = Self { outage: self.outage, ..Self::default() };
    }

    /// Returns whether the store may be away; none if it answered after the last failed call.
    pub fn silence(&self, now: Moment) -> Option<StoreSilence> {
        let answered_at = self.answered_at.filter(|answered_at| self.failed_at > Some(*answered_at))?;
        let away_at = answered_at.after_millis(MIN_OUTAGE_MILLIS);
        Some(if now < away_at { StoreSilence::Undecided { away_at } } else { StoreSilence::Away })
    }

    /// Returns until when the endpoint of an entry that is gone at `now` gets work; none if it left.
    pub fn grace_deadline(&self, now: Moment) -> Option<Moment> {
        self.last_outage().map(|outage| outage.grace_deadline()).filter(|deadline| now < *deadline)
    }

    /// Returns the last outage.
    pub const fn last_outage(&self) -> Option<StoreOutage> {
        self.outage
    }

    /// Returns the microseconds since the last failed call of any VM, while that is recent.
    pub fn failure_age(&self, now: Moment) -> Option<u64> {
        let failed_at = self.failed_at.filter(|at| now < at.after_millis(RECENT_FAILURE_MILLIS));
        failed_at.map(|at| now.micros_since(at))
    }

    /// Returns the ages of the newest answer and failed call of `sources`, for reports to other VMs.
    pub fn ages(&self, sources: &[ContactSource], now: Moment) -> ContactAges {
        let records = || sources.iter().map(|source| self.records[*source as usize]);
        let age = |at: Moment| Some(now.micros_since(at)).filter(|age| *age < MAX_REPORTED_AGE_MICROS);
        ContactAges {
            answered_micros: records().filter_map(|record| record.answered_at).max().and_then(age),
            failed_micros: records().filter_map(|record| record.failed_at).max().and_then(age),
        }
    }

    /// Returns the outage that the present gap is, if a call failed in it.
    fn end_outage(&mut self) -> ContactChange {
        self.failed_at.map_or(ContactChange::None, |failed_at| self.end_outage_with(failed_at))
    }

    fn end_outage_with(&mut self, failed_at: Moment) -> ContactChange {
        let Some((began_at, ended_at)) = self.gap else { return ContactChange::None };
        if failed_at <= began_at || failed_at > ended_at.after_millis(FAILURE_DELAY_MILLIS) {
            return ContactChange::None;
        }
        self.gap = None;
        let outage = StoreOutage { began_at, ended_at, is_restoration: false };
        self.outage = Some(outage);
        ContactChange::Returned(outage)
    }

    /// Shortens the last gap or outage by an answer within it.
    fn refute(&mut self, at: Moment) -> ContactChange {
        self.gap = self.gap.and_then(|(began_at, ended_at)| shorten(began_at, ended_at, at));
        let Some(outage) = self.outage.filter(|outage| outage.began_at < at && at < outage.ended_at) else {
            return ContactChange::None;
        };
        self.outage = shorten(outage.began_at, outage.ended_at, at).map(|(began_at, ended_at)| StoreOutage {
            began_at,
            ended_at,
            ..outage
        });
        ContactChange::Refuted(self.outage)
    }
}

/// Returns the last part of a span without an answer that is long enough, given an answer at `at`.
fn shorten(began_at: Moment, ended_at: Moment, at: Moment) -> Option<(Moment, Moment)> {
    let parts = if began_at < at && at < ended_at {
        [(at, ended_at), (began_at, at)]
    } else {
        [(began_at, ended_at); 2]
    };
    parts.into_iter().find(|(began_at, ended_at)| *ended_at >= began_at.after_millis(MIN_OUTAGE_MILLIS))
}
