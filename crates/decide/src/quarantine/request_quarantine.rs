//! Decides which requests are quarantined, from evidence of this VM and of others.
//!
//! Invariant: all VMs decide alike on the same evidence, so they need no agreement. A VM adopts a quarantine
//! that another VM began even if it has not received the evidence.

use crate::{
    CrashHistory, CrashReport, CrashVerdict, EndpointCrash, MIN_CRASHES_PER_VERDICT, QuarantineMessage,
    QuarantinePhase, QuarantineTable, QuarantinedRequest, RequestKey,
};

use spanfold_entity::Moment;
use std::collections::BTreeMap;

/// Interval between repeated messages: messages get lost, and VMs start late. A VM sends 60 bytes a second
/// for evidence and 30 for quarantines, and only while there are any.
const REPEAT_INTERVAL_MILLIS: u64 = 1_000;

/// Delay between the report after which a request may be found fatal and the request's evaluation. Requests
/// that were running at the same crash are reported one after the other, within 20 ms by VMs of one data
/// centre and 140 ms across five, and the first reported must not look more suspicious than the others.
const EVIDENCE_DELAY_MILLIS: u64 = 150;
/// Number of audiences, which are groups of VMs with separate messages: this data centre, other data centres,
/// and the VMs of this one that receive relayed reports through a leader.
const AUDIENCE_COUNT: usize = 3;

/// Maximum number of verdicts that are kept for the log.
const MAX_SHORT_VERDICTS: usize = 64;

/// Change to the set of quarantined requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuarantineChange {
    /// A quarantine began on the evidence here.
    Begun {
        /// The request.
        request: RequestKey,
        /// Number of this quarantine of the request.
        round: u32,
        /// The evidence.
        verdict: CrashVerdict,
    },
    /// Another VM, or the store, reported a quarantine.
    Adopted {
        /// The request.
        request: RequestKey,
        /// Number of this quarantine of the request.
        round: u32,
    },
    /// A request was released here.
    Lifted {
        /// The request.
        request: RequestKey,
        /// Number of this quarantine of the request.
        round: u32,
    },
}

/// Evidence and quarantines at one VM.
#[derive(Debug, Default)]
pub struct RequestQuarantine {
    history: CrashHistory,
    table: QuarantineTable,
    /// Requests to evaluate, and when.
    pending_evaluations: BTreeMap<RequestKey, Moment>,
    repeat_schedules: [RepeatSchedule; AUDIENCE_COUNT],
    /// Verdicts that did not suffice, until they are logged.
    short_verdicts: Vec<(RequestKey, CrashVerdict)>,
}

/// Repetition of messages to one audience.
#[derive(Clone, Copy, Debug, Default)]
struct RepeatSchedule {
    next_at: Moment,
    /// Index of the history's next report.
    next_report: usize,
    /// The request whose quarantine was sent last.
    last_request: Option<RequestKey>,
}

impl RequestQuarantine {
    /// Whether there is no evidence and no quarantine; requests then need no lookup.
    pub fn is_idle(&self) -> bool {
        self.history.is_empty() && self.table.is_empty()
    }

    /// Returns the quarantine of a request, if the request is to be refused.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{QuarantineMessage, RequestKey, RequestQuarantine};
    /// use spanfold_entity::Moment;
    /// let request = RequestKey::default();
    /// let mut quarantine = RequestQuarantine::default();
    /// let message = QuarantineMessage::Held { request, round: 1, endings: 3, rest_micros: 1_000 };
    /// assert!(quarantine.apply_quarantine_message(&message, Moment(0)).0);
    /// assert!(quarantine.quarantined(request, Moment(999)).is_some());
    /// assert!(quarantine.quarantined(request, Moment(1_000)).is_none());
    /// ```
    pub fn quarantined(&self, request: RequestKey, now: Moment) -> Option<QuarantinedRequest> {
        self.table.quarantined(request, now)
    }

    /// Whether there is evidence against a request, or a row of it in the table of quarantines.
    pub fn has_records(&self, request: RequestKey) -> bool {
        self.table.contains(request) || self.history.crashes_of(request) > 0
    }

    /// Returns the number of recorded endpoint crashes under a request.
    pub fn crashes_of(&self, request: RequestKey) -> usize {
        self.history.crashes_of(request)
    }

    /// Whether a request may be put in quarantine if `pending` endpoints, whose connections broke under it,
    /// turn out to have crashed.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{RequestKey, RequestQuarantine};
    /// let quarantine = RequestQuarantine::default();
    /// assert!(!quarantine.is_near_threshold(RequestKey::default(), 2));
    /// assert!(quarantine.is_near_threshold(RequestKey::default(), 3));
    /// ```
    pub fn is_near_threshold(&self, request: RequestKey, pending: usize) -> bool {
        let may_suffice = self.history.crashes_of(request) + pending >= MIN_CRASHES_PER_VERDICT;
        pending > 0 && (may_suffice || self.table.is_on_probation(request))
    }

    /// Returns the verdicts since the last call that did not suffice for a quarantine.
    pub fn take_short_verdicts(&mut self) -> Vec<(RequestKey, CrashVerdict)> {
        std::mem::take(&mut self.short_verdicts)
    }

    /// Returns all requests that are or were quarantined.
    pub fn rows(&self) -> impl Iterator<Item = (RequestKey, &QuarantinedRequest)> {
        self.table.rows()
    }

    /// Counts a refused request.
    pub fn count_turned_away(&mut self, request: RequestKey) {
        self.table.count_turned_away(request);
    }

    /// Records the crash of an endpoint, whatever it was running.
    pub fn record_crash(&mut self, crash: EndpointCrash) {
        self.history.record_crash(crash);
    }

    /// Adds a report; returns whether it is new.
    pub fn record_report(&mut self, report: &CrashReport, now: Moment) -> bool {
        let is_new = self.history.add_report(report);
        let request = report.request;
        let may_be_fatal = self.history.crashes_of(request) >= MIN_CRASHES_PER_VERDICT
            || self.table.is_on_probation(request);
        if is_new && self.table.quarantined(request, now).is_some() {
            self.history.mark_explained(request);
        } else if is_new && may_be_fatal {
            self.pending_evaluations.entry(request).or_insert(now.after_millis(EVIDENCE_DELAY_MILLIS));
        }
        is_new
    }

    /// Returns when the next request is to be evaluated; never if there is none.
    pub fn next_evaluation_at(&self) -> Moment {
        self.pending_evaluations.values().copied().min().unwrap_or(Moment::NEVER)
    }

    /// Returns when a request is to be evaluated, if it is.
    pub fn evaluation_at_of(&self, request: RequestKey) -> Option<Moment> {
        self.pending_evaluations.get(&request).copied()
    }

    /// Evaluates the requests that are due; returns the changes.
    pub fn evaluate_due(&mut self, now: Moment) -> Vec<QuarantineChange> {
        let due: Vec<_> = self
            .pending_evaluations
            .iter()
            .filter(|(_, at)| now >= **at)
            .map(|(request, _)| *request)
            .collect();
        let mut changes = Vec::new();
        for request in due {
            self.pending_evaluations.remove(&request);
            changes.extend(self.evaluate(request, now));
        }
        changes
    }

    /// Records that an endpoint completed a request; returns whether endpoints had crashed under it before.
    pub fn record_answered(&mut self, request: RequestKey, at: Moment) -> bool {
        let was_on_probation = self.table.is_on_probation(request);
        self.table.end_probation(request);
        self.history.record_answered(request, at) || was_on_probation
    }

    /// Applies another VM's message; returns whether it contained anything new, and the changes.
    pub fn apply_quarantine_message(
        &mut self,
        message: &QuarantineMessage,
        now: Moment,
    ) -> (bool, Vec<QuarantineChange>) {
        let before = |micros: u64| Moment(now.0.saturating_sub(micros));
        match *message {
            QuarantineMessage::Ended { request, start, place, service, among, age_micros, ago_micros } => {
                let crash = EndpointCrash {
                    start,
                    address_digest: place,
                    service,
                    service_size: among,
                    at: before(ago_micros),
                };
                let report = CrashReport { request, crash, age_micros };
                (self.record_report(&report, now), Vec::new())
            }
            QuarantineMessage::Answered { request, ago_micros } => {
                (self.record_answered(request, before(ago_micros)), Vec::new())
            }
            QuarantineMessage::Held { request, round, endings, rest_micros } => {
                let until = now.after_micros(rest_micros);
                self.adopt(request, (round, endings), until, false, now)
            }
            QuarantineMessage::Lifted { request, round } => {
                let is_released = self.table.apply_release(request, round, now);
                let change = QuarantineChange::Lifted { request, round };
                if is_released {
                    self.history.discard(request);
                }
                (is_released, is_released.then_some(change).into_iter().collect())
            }
        }
    }

    /// Applies a quarantine that is in the store: it lasts at most its full duration from now on.
    pub fn adopt_stored(
        &mut self,
        request: RequestKey,
        round_and_crashes: (u32, u32),
        now: Moment,
    ) -> Vec<QuarantineChange> {
        self.adopt(request, round_and_crashes, Moment::NEVER, true, now).1
    }

    /// Releases a request and discards the evidence; returns the number of its quarantine.
    pub fn release(&mut self, request: RequestKey, now: Moment) -> Option<u32> {
        self.history.discard(request);
        self.table.release(request, now)
    }

    /// Returns a row to write to the store now, or to delete there after a release.
    pub fn due_write(&self, now: Moment) -> Option<(RequestKey, QuarantinedRequest)> {
        self.table.due_write(now)
    }

    /// Schedules a write of all quarantines, since the store may have lost them.
    pub fn rewrite_all(&mut self) {
        self.table.rewrite_all();
    }

    /// Records when a row is to be written or deleted again: never if that is done.
    pub fn record_written(&mut self, request: RequestKey, written: &QuarantinedRequest, write_at: Moment) {
        self.table.record_written(request, written, write_at);
    }

    /// Discards what has expired; returns the quarantines that ended.
    pub fn sweep(&mut self, now: Moment) -> Vec<(RequestKey, QuarantinedRequest)> {
        self.history.sweep(now);
        self.table.sweep(now)
    }

    /// Returns the messages to repeat now to an audience (0 to 2): one report and one quarantine each second,
    /// in rotation.
    pub fn repeat_messages(&mut self, audience: usize, now: Moment) -> Vec<QuarantineMessage> {
        let is_idle = self.is_idle();
        let Some(schedule) =
            self.repeat_schedules.get_mut(audience).filter(|schedule| !is_idle && now >= schedule.next_at)
        else {
            return Vec::new();
        };
        schedule.next_at = now.after_millis(REPEAT_INTERVAL_MILLIS);
        let reports = self.history.reports();
        let report = reports.get(schedule.next_report % reports.len().max(1));
        schedule.next_report = schedule.next_report.wrapping_add(1);
        let quarantined = self.table.next_to_propagate(schedule.last_request);
        schedule.last_request = quarantined.map(|(request, _)| request);
        let report = report.map(|report| QuarantineMessage::of_report(report, now));
        let quarantined = quarantined.map(|(request, row)| message_of(request, &row, now));
        report.into_iter().chain(quarantined).collect()
    }

    fn adopt(
        &mut self,
        request: RequestKey,
        (round, crashes): (u32, u32),
        until: Moment,
        is_stored: bool,
        now: Moment,
    ) -> (bool, Vec<QuarantineChange>) {
        if !self.table.adopt(request, (round, crashes), until, is_stored, now) {
            return (false, Vec::new());
        }
        self.history.mark_explained(request);
        (true, vec![QuarantineChange::Adopted { request, round }])
    }

    fn evaluate(&mut self, request: RequestKey, now: Moment) -> Vec<QuarantineChange> {
        let verdict = self.history.verdict(request);
        let is_fatal =
            verdict.is_fatal() || (self.table.is_on_probation(request) && verdict.is_fatal_again());
        if !is_fatal {
            if self.short_verdicts.len() < MAX_SHORT_VERDICTS {
                self.short_verdicts.push((request, verdict));
            }
            return Vec::new();
        }
        let Some(round) = self.table.begin(request, verdict.crashes as u32, now) else { return Vec::new() };
        self.history.mark_explained(request);
        let mut changes = vec![QuarantineChange::Begun { request, round, verdict }];
        changes.extend(self.release_exonerated(now));
        changes
    }

    /// Releases quarantined requests whose crashes are now all attributed to other requests.
    fn release_exonerated(&mut self, now: Moment) -> Vec<QuarantineChange> {
        let quarantined = self.table.rows().filter(|(_, row)| row.phase == QuarantinePhase::Quarantined);
        let exonerated = quarantined.filter(|(request, _)| {
            let verdict = self.history.verdict(*request);
            verdict.crashes > 0 && verdict.counted == 0
        });
        let exonerated: Vec<_> = exonerated.map(|(request, _)| request).collect();
        let released = exonerated.into_iter().filter_map(|request| {
            let round = self.release(request, now)?;
            Some(QuarantineChange::Lifted { request, round })
        });
        released.collect()
    }
}

/// Builds the message about a row: its quarantine, or its release.
fn message_of(request: RequestKey, row: &QuarantinedRequest, now: Moment) -> QuarantineMessage {
    let QuarantinedRequest { round, crashes: endings, until, .. } = *row;
    match row.phase {
        QuarantinePhase::Released => QuarantineMessage::Lifted { request, round },
        QuarantinePhase::Quarantined | QuarantinePhase::Probation => {
            QuarantineMessage::Held { request, round, endings, rest_micros: until.micros_since(now) }
        }
    }
}
