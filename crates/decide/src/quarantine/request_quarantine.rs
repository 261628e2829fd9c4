//! Decides which requests are held back, on evidence of this VM and of others.
//!
//! Invariant: all VMs decide alike on the same evidence, so none has to be asked, and a hold that one of them began is
//! taken over by the others without their having seen any of it.

use crate::{
    CrashHistory, CrashReport, CrashVerdict, ENDINGS_LEAST, EndpointCrash, QuarantineMessage,
    QuarantinePhase, QuarantineTable, QuarantinedRequest, RequestKey,
};

use spanfold_entity::Moment;
use std::collections::BTreeMap;

/// Pause between notes that are told again, in milliseconds: messages get lost, and VMs start late. A VM tells 60 bytes
/// a second for evidence and 30 for holds, and only while there are any.
const RETELL_MILLIS: u64 = 1_000;

/// Evidence is weighed so long after it came, in milliseconds: those that were at the same end are reported one after the
/// other, within 20 ms by VMs of one data centre and 140 across five, and the first must not look guiltier than the rest.
const SETTLE_MILLIS: u64 = 150;
/// Groups of VMs with separate reports: this data centre, other data centres, and the VMs of this one that receive
/// reports of others through a lead.
const AUDIENCES: usize = 3;

/// A change of what is held back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuarantineChange {
    /// A hold began on the evidence here.
    Begun {
        /// The request.
        request: RequestKey,
        /// Which hold of it.
        round: u32,
        /// The evidence.
        verdict: CrashVerdict,
    },
    /// Another VM, or the store, told of a hold.
    Adopted {
        /// The request.
        request: RequestKey,
        /// Which hold of it.
        round: u32,
    },
    /// A hold was lifted here.
    Lifted {
        /// The request.
        request: RequestKey,
        /// Which hold of it.
        round: u32,
    },
}

/// Evidence and holds of one VM.
#[derive(Debug, Default)]
pub struct RequestQuarantine {
    ledger: CrashHistory,
    book: QuarantineTable,
    /// Requests that are to be judged, and when.
    unjudged: BTreeMap<RequestKey, Moment>,
    rhythms: [TellRhythm; AUDIENCES],
}

/// What is told again to one audience, and when.
#[derive(Clone, Copy, Debug, Default)]
struct TellRhythm {
    next_at: Moment,
    /// Which of the ledger's reports comes next.
    report: usize,
    /// Whose hold came last.
    held: Option<RequestKey>,
}

impl RequestQuarantine {
    /// Whether nothing is known of any request: then none needs to be looked up.
    pub fn is_idle(&self) -> bool {
        self.ledger.is_empty() && self.book.is_empty()
    }

    /// The hold of a request, if it is to be turned away.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{QuarantineNote, RequestKey, RequestQuarantine};
    /// use spanfold_entity::Moment;
    /// let request = RequestKey::default();
    /// let mut quarantine = RequestQuarantine::default();
    /// let note = QuarantineNote::Held { request, round: 1, endings: 3, rest_micros: 1_000 };
    /// assert!(quarantine.take_note(&note, Moment(0)).0);
    /// assert!(quarantine.held(request, Moment(999)).is_some());
    /// assert!(quarantine.held(request, Moment(1_000)).is_none());
    /// ```
    pub fn held(&self, request: RequestKey, now: Moment) -> Option<QuarantinedRequest> {
        self.book.held(request, now)
    }

    /// Whether anything is known of a request.
    pub fn knows(&self, request: RequestKey) -> bool {
        self.book.knows(request) || self.ledger.crashes_of(request) > 0
    }

    /// Endpoints that ended under a request, as far as is known here.
    pub fn crashes_of(&self, request: RequestKey) -> usize {
        self.ledger.crashes_of(request)
    }

    /// Whether the end of one more endpoint may be what holds a request back.
    pub fn is_close(&self, request: RequestKey) -> bool {
        self.book.is_on_trial(request) || self.ledger.crashes_of(request) + 1 >= ENDINGS_LEAST
    }

    /// All requests that are or were held back.
    pub fn rows(&self) -> impl Iterator<Item = (RequestKey, &QuarantinedRequest)> {
        self.book.rows()
    }

    /// Counts a request that was turned away.
    pub fn count_turned_away(&mut self, request: RequestKey) {
        self.book.count_turned_away(request);
    }

    /// Notes that an endpoint ended, whatever ran there.
    pub fn record_crash(&mut self, ending: EndpointCrash) {
        self.ledger.record_crash(ending);
    }

    /// Takes a report; whether it brings anything new.
    pub fn take_report(&mut self, report: &CrashReport, now: Moment) -> bool {
        let is_new = self.ledger.take(report);
        let request = report.request;
        let may_be_fatal = self.ledger.crashes_of(request) >= ENDINGS_LEAST || self.book.is_on_trial(request);
        if is_new && self.book.held(request, now).is_some() {
            self.ledger.explain(request);
        } else if is_new && may_be_fatal {
            self.unjudged.entry(request).or_insert(now.after_millis(SETTLE_MILLIS));
        }
        is_new
    }

    /// When the next request is to be judged; never if none is.
    pub fn next_evaluation_at(&self) -> Moment {
        self.unjudged.values().copied().min().unwrap_or(Moment::NEVER)
    }

    /// When this request is to be judged, if it is.
    pub fn evaluation_at_of(&self, request: RequestKey) -> Option<Moment> {
        self.unjudged.get(&request).copied()
    }

    /// Judges the requests whose time has come; gives what changes.
    pub fn evaluate_due(&mut self, now: Moment) -> Vec<QuarantineChange> {
        let due: Vec<_> =
            self.unjudged.iter().filter(|(_, at)| now >= **at).map(|(request, _)| *request).collect();
        let mut changes = Vec::new();
        for request in due {
            self.unjudged.remove(&request);
            changes.extend(self.judge(request, now));
        }
        changes
    }

    /// Notes that an endpoint ran a request to its end; whether endpoints had ended under it before.
    pub fn record_answered(&mut self, request: RequestKey, at: Moment) -> bool {
        let is_trial = self.book.is_on_trial(request);
        self.book.clear(request);
        self.ledger.clear(request, at) || is_trial
    }

    /// Takes what another VM told: whether it brings anything new, and what changes with it.
    pub fn apply_quarantine_message(
        &mut self,
        note: &QuarantineMessage,
        now: Moment,
    ) -> (bool, Vec<QuarantineChange>) {
        let before = |micros: u64| Moment(now.0.saturating_sub(micros));
        match *note {
            QuarantineMessage::Ended { request, start, place, service, among, age_micros, ago_micros } => {
                let ending = EndpointCrash { start, place, service, among, at: before(ago_micros) };
                let report = CrashReport { request, ending, age_micros };
                (self.take_report(&report, now), Vec::new())
            }
            QuarantineMessage::Answered { request, ago_micros } => {
                (self.record_answered(request, before(ago_micros)), Vec::new())
            }
            QuarantineMessage::Held { request, round, endings, rest_micros } => {
                let until = now.after_micros(rest_micros);
                self.adopt(request, (round, endings), until, false, now)
            }
            QuarantineMessage::Lifted { request, round } => {
                let is_lifted = self.book.lift_as_told(request, round, now);
                let change = QuarantineChange::Lifted { request, round };
                if is_lifted {
                    self.ledger.forget(request);
                }
                (is_lifted, is_lifted.then_some(change).into_iter().collect())
            }
        }
    }

    /// Takes a hold that stands in the store: it ends a hold's time from now at the latest.
    pub fn take_stored(
        &mut self,
        request: RequestKey,
        round_and_endings: (u32, u32),
        now: Moment,
    ) -> Vec<QuarantineChange> {
        self.adopt(request, round_and_endings, Moment::NEVER, true, now).1
    }

    /// Ends a hold before its time and forgets the evidence; gives its number.
    pub fn lift(&mut self, request: RequestKey, now: Moment) -> Option<u32> {
        self.ledger.forget(request);
        self.book.lift(request, now)
    }

    /// A row that is to be written into the store now, or removed there if its hold was lifted.
    pub fn due_write(&self, now: Moment) -> Option<(RequestKey, QuarantinedRequest)> {
        self.book.due_write(now)
    }

    /// Has all holds written anew: the store may have lost them.
    pub fn write_all_again(&mut self) {
        self.book.write_all_again();
    }

    /// Notes when a row is to be written or removed again: never if that is done.
    pub fn record_written(&mut self, request: RequestKey, written: &QuarantinedRequest, write_at: Moment) {
        self.book.record_written(request, written, write_at);
    }

    /// Drops what is over; gives the holds that ended.
    pub fn sweep(&mut self, now: Moment) -> Vec<(RequestKey, QuarantinedRequest)> {
        self.ledger.sweep(now);
        self.book.sweep(now)
    }

    /// What is told again now to an audience (0 to 2), a report and a hold each second, in turn.
    pub fn repeat_messages(&mut self, audience: usize, now: Moment) -> Vec<QuarantineMessage> {
        let is_idle = self.is_idle();
        let Some(rhythm) = self.rhythms.get_mut(audience).filter(|rhythm| !is_idle && now >= rhythm.next_at)
        else {
            return Vec::new();
        };
        rhythm.next_at = now.after_millis(RETELL_MILLIS);
        let reports = self.ledger.reports();
        let report = reports.get(rhythm.report % reports.len().max(1));
        rhythm.report = rhythm.report.wrapping_add(1);
        let held = self.book.next_to_tell(rhythm.held);
        rhythm.held = held.map(|(request, _)| request);
        let report = report.map(|report| QuarantineMessage::of_report(report, now));
        let held = held.map(|(request, row)| note_of(request, &row, now));
        report.into_iter().chain(held).collect()
    }

    fn adopt(
        &mut self,
        request: RequestKey,
        (round, endings): (u32, u32),
        until: Moment,
        is_stored: bool,
        now: Moment,
    ) -> (bool, Vec<QuarantineChange>) {
        if !self.book.adopt(request, (round, endings), until, is_stored, now) {
            return (false, Vec::new());
        }
        self.ledger.explain(request);
        (true, vec![QuarantineChange::Adopted { request, round }])
    }

    fn judge(&mut self, request: RequestKey, now: Moment) -> Vec<QuarantineChange> {
        let verdict = self.ledger.verdict(request);
        let is_fatal = verdict.is_fatal() || (self.book.is_on_trial(request) && verdict.is_fatal_again());
        if !is_fatal {
            return Vec::new();
        }
        let Some(round) = self.book.hold(request, verdict.endings as u32, now) else { return Vec::new() };
        self.ledger.explain(request);
        let mut changes = vec![QuarantineChange::Begun { request, round, verdict }];
        changes.extend(self.lift_innocent(now));
        changes
    }

    /// Lifts holds whose ends are all put down to other requests by now.
    fn lift_innocent(&mut self, now: Moment) -> Vec<QuarantineChange> {
        let held = self.book.rows().filter(|(_, row)| row.phase == QuarantinePhase::Held);
        let innocent = held.filter(|(request, _)| {
            let verdict = self.ledger.verdict(*request);
            verdict.endings > 0 && verdict.counted == 0
        });
        let innocent: Vec<_> = innocent.map(|(request, _)| request).collect();
        let lifted = innocent.into_iter().filter_map(|request| {
            let round = self.lift(request, now)?;
            Some(QuarantineChange::Lifted { request, round })
        });
        lifted.collect()
    }
}

/// What is told of a row: its hold, or that it was lifted.
fn note_of(request: RequestKey, row: &QuarantinedRequest, now: Moment) -> QuarantineMessage {
    let QuarantinedRequest { round, endings, until, .. } = *row;
    match row.phase {
        QuarantinePhase::Lifted => QuarantineMessage::Lifted { request, round },
        QuarantinePhase::Held | QuarantinePhase::Trial => {
            QuarantineMessage::Held { request, round, endings, rest_micros: until.micros_since(now) }
        }
    }
}
