//! Decides which requests are quarantined, from evidence of this VM and of others.
//!
//! A request is refused because of its own identity, or because of segments of its prompt.
//!
//! Invariant: all VMs decide alike on the same evidence, so they need no agreement. A VM adopts a quarantine
//! that another VM began even if it has not received the evidence.

use crate::quarantine::quarantine_table::ReportedQuarantine;
use crate::{
    CrashHistory, CrashReport, CrashVerdict, EndpointCrash, MIN_CRASHES_PER_VERDICT, QuarantineMessage,
    QuarantinePhase, QuarantineTable, QuarantinedSuspect, SuspectKey, SuspectKind, SuspectMessage,
};

use spanfold_entity::Moment;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Interval between repeated messages: messages get lost, and VMs start late. A VM sends 60 bytes a second
/// for evidence of each kind and 30 for quarantines, and only while there are any.
const REPEAT_INTERVAL_MILLIS: u64 = 1_000;

/// Delay between the report after which a suspect may be found fatal and its evaluation. Requests that were
/// running at the same crash are reported one after the other, within 20 ms by VMs of one data centre and 140
/// ms across five, and the first reported must not look more suspicious than the others.
const EVIDENCE_DELAY_MILLIS: u64 = 150;
/// Number of audiences, which are groups of VMs with separate messages: this data centre, other data centres,
/// and the VMs of this one that receive relayed reports through a leader.
const AUDIENCE_COUNT: usize = 3;

/// Maximum number of verdicts that are kept for the log.
const MAX_SHORT_VERDICTS: usize = 64;

/// Change to the set of quarantined suspects.
#[derive(Clone, Debug, PartialEq)]
pub enum QuarantineChange {
    /// A quarantine began on the evidence here.
    Begun {
        /// The suspect.
        suspect: SuspectKey,
        /// Number of this quarantine of the suspect.
        round: u32,
        /// The evidence.
        verdict: CrashVerdict,
    },
    /// A suspect runs once at a time from now on: the evidence here is strong, but no proof.
    TrialBegun {
        /// The suspect.
        suspect: SuspectKey,
        /// The evidence.
        verdict: CrashVerdict,
    },
    /// A segment is refused in more prompts from now on: it has fewer companions.
    Narrowed {
        /// The suspect.
        suspect: SuspectKey,
        /// Number of this quarantine of the suspect.
        round: u32,
    },
    /// Another VM, or the store, reported a quarantine.
    Adopted {
        /// The suspect.
        suspect: SuspectKey,
        /// Number of this quarantine of the suspect.
        round: u32,
    },
    /// A suspect was released here.
    Lifted {
        /// The suspect.
        suspect: SuspectKey,
        /// Number of this quarantine of the suspect.
        round: u32,
    },
}

/// Evidence and quarantines at one VM.
#[derive(Debug, Default)]
pub struct RequestQuarantine {
    history: CrashHistory,
    table: QuarantineTable,
    /// Suspects to evaluate, and when.
    pending_evaluations: BTreeMap<SuspectKey, Moment>,
    repeat_schedules: [RepeatSchedule; AUDIENCE_COUNT],
    /// Verdicts that did not suffice, until they are logged.
    short_verdicts: Vec<(SuspectKey, CrashVerdict)>,
}

/// Repetition of messages to one audience.
#[derive(Clone, Copy, Debug, Default)]
struct RepeatSchedule {
    next_at: Moment,
    /// Index of the history's next report about a request, and of that about a segment.
    next_reports: [usize; 2],
    /// The suspect whose quarantine was sent last.
    last_suspect: Option<SuspectKey>,
}

impl RequestQuarantine {
    /// Whether there is no evidence and no quarantine; requests then need no lookup.
    pub fn is_idle(&self) -> bool {
        self.history.is_empty() && self.table.is_empty()
    }

    /// Whether there is evidence against a segment, or a quarantine of one.
    pub fn suspects_segments(&self) -> bool {
        self.history.has_segments() || self.table.has_segments()
    }

    /// Returns the quarantine of a suspect, if it is quarantined now.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{QuarantineMessage, RequestQuarantine, SuspectKey, SuspectMessage};
    /// use spanfold_entity::Moment;
    /// let suspect = SuspectKey::default();
    /// let mut quarantine = RequestQuarantine::default();
    /// let message = QuarantineMessage::Held { suspect, round: 1, endings: 3, rest_micros: 1_000 };
    /// assert!(quarantine.apply_message(&SuspectMessage::Request(message), Moment(0)).0);
    /// assert!(quarantine.quarantined(suspect, Moment(999)).is_some());
    /// assert!(quarantine.quarantined(suspect, Moment(1_000)).is_none());
    /// ```
    pub fn quarantined(&self, suspect: SuspectKey, now: Moment) -> Option<&QuarantinedSuspect> {
        self.table.quarantined(suspect, now)
    }

    /// Returns because of which of its `suspects` a request is refused now.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{RequestQuarantine, SuspectKey, SuspectKind};
    /// use spanfold_entity::Moment;
    /// let suspects = [(SuspectKey::default(), SuspectKind::Request)];
    /// assert_eq!(RequestQuarantine::default().refusal_of(&suspects, Moment(0)), None);
    /// ```
    pub fn refusal_of(&self, suspects: &[(SuspectKey, SuspectKind)], now: Moment) -> Option<SuspectKey> {
        self.table.refusal_of(suspects, now)
    }

    /// Returns which of the `suspects` of a request may run only once at a time.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{RequestQuarantine, SuspectKey, SuspectKind};
    /// use spanfold_entity::Moment;
    /// let suspects = [(SuspectKey::default(), SuspectKind::Request)];
    /// assert_eq!(RequestQuarantine::default().trial_of(&suspects, Moment(0)), None);
    /// ```
    pub fn trial_of(&self, suspects: &[(SuspectKey, SuspectKind)], now: Moment) -> Option<SuspectKey> {
        self.table.trial_of(suspects, now)
    }

    /// Whether there is evidence against a suspect, or a row of it in the table of quarantines.
    pub fn has_records(&self, suspect: SuspectKey) -> bool {
        self.table.contains(suspect) || self.history.crashes_of(suspect) > 0
    }

    /// Returns the number of recorded endpoint crashes under a suspect.
    pub fn crashes_of(&self, suspect: SuspectKey) -> usize {
        self.history.crashes_of(suspect)
    }

    /// Whether a suspect may be put in quarantine if `pending` endpoints, whose connections broke under it,
    /// turn out to have crashed.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{RequestQuarantine, SuspectKey};
    /// let quarantine = RequestQuarantine::default();
    /// assert!(!quarantine.is_near_threshold(SuspectKey::default(), 2));
    /// assert!(quarantine.is_near_threshold(SuspectKey::default(), 3));
    /// ```
    pub fn is_near_threshold(&self, suspect: SuspectKey, pending: usize) -> bool {
        let may_suffice = self.history.crashes_of(suspect) + pending >= MIN_CRASHES_PER_VERDICT;
        pending > 0 && (may_suffice || self.table.is_on_probation(suspect))
    }

    /// Returns the verdicts since the last call that did not suffice for a quarantine.
    pub fn take_short_verdicts(&mut self) -> Vec<(SuspectKey, CrashVerdict)> {
        std::mem::take(&mut self.short_verdicts)
    }

    /// Returns all suspects that are or were quarantined.
    pub fn rows(&self) -> impl Iterator<Item = (SuspectKey, &QuarantinedSuspect)> {
        self.table.rows()
    }

    /// Counts a refused request.
    pub fn count_turned_away(&mut self, suspect: SuspectKey) {
        self.table.count_turned_away(suspect);
    }

    /// Records the crash of an endpoint, whatever it was running.
    pub fn record_crash(&mut self, crash: EndpointCrash) {
        self.history.record_crash(crash);
    }

    /// Adds a report; returns whether it is new.
    pub fn record_report(&mut self, report: &CrashReport, now: Moment) -> bool {
        let is_new = self.history.add_report(report);
        let suspect = report.suspect;
        let may_be_fatal = self.history.crashes_of(suspect) >= MIN_CRASHES_PER_VERDICT
            || self.table.is_on_probation(suspect);
        let quarantined = self.table.quarantined(suspect, now);
        if is_new && quarantined.is_some_and(|row| row.companions.is_empty()) {
            self.history.mark_explained(suspect);
        } else if is_new && (may_be_fatal || quarantined.is_some()) {
            self.schedule_evaluation(suspect, now);
        }
        is_new
    }

    fn schedule_evaluation(&mut self, suspect: SuspectKey, now: Moment) {
        self.pending_evaluations.entry(suspect).or_insert(now.after_millis(EVIDENCE_DELAY_MILLIS));
    }

    /// Returns when the next suspect is to be evaluated; never if there is none.
    pub fn next_evaluation_at(&self) -> Moment {
        self.pending_evaluations.values().copied().min().unwrap_or(Moment::NEVER)
    }

    /// Returns when a suspect is to be evaluated, if it is.
    pub fn evaluation_at_of(&self, suspect: SuspectKey) -> Option<Moment> {
        self.pending_evaluations.get(&suspect).copied()
    }

    /// Evaluates the suspects that are due; returns the changes.
    pub fn evaluate_due(&mut self, now: Moment) -> Vec<QuarantineChange> {
        let due: Vec<_> = self
            .pending_evaluations
            .iter()
            .filter(|(_, at)| now >= **at)
            .map(|(suspect, _)| *suspect)
            .collect();
        let mut changes = Vec::new();
        for suspect in due {
            self.pending_evaluations.remove(&suspect);
            changes.extend(self.evaluate(suspect, now));
        }
        changes
    }

    /// Records that an endpoint answered a suspect; returns whether that matters to other VMs, and the changes.
    ///
    /// The suspect was no cause of earlier crashes: others that were there may be.
    pub fn record_answered(
        &mut self,
        suspect: SuspectKey,
        at: Moment,
        now: Moment,
    ) -> (bool, Vec<QuarantineChange>) {
        let was_on_trial = self.table.end_trial(suspect);
        let changes = self.clear_companion(suspect, now);
        let rivals = self.history.rivals_of(suspect);
        let had_evidence = self.history.record_answered(suspect, at);
        if had_evidence {
            self.pending_evaluations.remove(&suspect);
            for rival in rivals {
                self.schedule_evaluation(rival, now);
            }
        }
        (had_evidence || was_on_trial || !changes.is_empty(), changes)
    }

    /// Applies another VM's message; returns whether it contained anything new, and the changes.
    pub fn apply_message(&mut self, message: &SuspectMessage, now: Moment) -> (bool, Vec<QuarantineChange>) {
        match message {
            SuspectMessage::Request(message) => {
                self.apply_content(SuspectKind::Request, message, &Arc::default(), now)
            }
            SuspectMessage::Segment { message, companions } => {
                self.apply_content(SuspectKind::Segment, message, companions, now)
            }
            SuspectMessage::Trial { suspect, kind, round, endings, rest_micros, companions } => {
                // An endpoint has answered it: its sender has not received that yet.
                if self.history.is_answered(*suspect) {
                    return (false, Vec::new());
                }
                let phase = if *round == 0 { QuarantinePhase::Suspected } else { QuarantinePhase::Probation };
                let reported = ReportedQuarantine {
                    kind: *kind,
                    phase,
                    round: *round,
                    crashes: *endings,
                    until: now.after_micros(*rest_micros),
                    companions: Arc::clone(companions),
                    is_stored: false,
                };
                (self.table.adopt(*suspect, &reported, now), Vec::new())
            }
        }
    }

    fn apply_content(
        &mut self,
        kind: SuspectKind,
        message: &QuarantineMessage,
        companions: &Arc<[SuspectKey]>,
        now: Moment,
    ) -> (bool, Vec<QuarantineChange>) {
        let before = |micros: u64| Moment(now.0.saturating_sub(micros));
        match *message {
            QuarantineMessage::Ended { suspect, start, place, service, among, age_micros, ago_micros } => {
                let crash = EndpointCrash {
                    start,
                    address_digest: place,
                    service,
                    service_size: among,
                    at: before(ago_micros),
                };
                let report = CrashReport { suspect, kind, crash, age_micros };
                (self.record_report(&report, now), Vec::new())
            }
            QuarantineMessage::Answered { suspect, ago_micros } => {
                self.record_answered(suspect, before(ago_micros), now)
            }
            QuarantineMessage::Held { suspect, round, endings, rest_micros } => {
                let reported = ReportedQuarantine {
                    kind,
                    phase: QuarantinePhase::Quarantined,
                    round,
                    crashes: endings,
                    until: now.after_micros(rest_micros),
                    companions: Arc::clone(companions),
                    is_stored: false,
                };
                self.adopt(suspect, &reported, now)
            }
            QuarantineMessage::Lifted { suspect, round } => {
                let is_released = self.table.apply_release(suspect, kind, round, now);
                let change = QuarantineChange::Lifted { suspect, round };
                if is_released {
                    self.history.discard(suspect);
                }
                (is_released, is_released.then_some(change).into_iter().collect())
            }
        }
    }

    /// Applies a quarantine that is in the store: it lasts at most its full duration from now on.
    pub fn adopt_stored(
        &mut self,
        suspect: SuspectKey,
        kind: SuspectKind,
        (round, crashes): (u32, u32),
        companions: Arc<[SuspectKey]>,
        now: Moment,
    ) -> Vec<QuarantineChange> {
        let (phase, until) = (QuarantinePhase::Quarantined, Moment::NEVER);
        let reported = ReportedQuarantine { kind, phase, round, crashes, until, companions, is_stored: true };
        self.adopt(suspect, &reported, now).1
    }

    /// Releases a suspect and discards the evidence; returns the number of its quarantine.
    pub fn release(&mut self, suspect: SuspectKey, now: Moment) -> Option<u32> {
        self.history.discard(suspect);
        self.pending_evaluations.remove(&suspect);
        self.table.release(suspect, now)
    }

    /// Returns a row to write to the store now, or to delete there after a release.
    pub fn due_write(&self, now: Moment) -> Option<(SuspectKey, QuarantinedSuspect)> {
        self.table.due_write(now)
    }

    /// Schedules a write of all quarantines, since the store may have lost them.
    pub fn rewrite_all(&mut self) {
        self.table.rewrite_all();
    }

    /// Records when a row is to be written or deleted again: never if that is done.
    pub fn record_written(&mut self, suspect: SuspectKey, written: &QuarantinedSuspect, write_at: Moment) {
        self.table.record_written(suspect, written, write_at);
    }

    /// Discards what has expired; returns the quarantines that ended.
    pub fn sweep(&mut self, now: Moment) -> Vec<(SuspectKey, QuarantinedSuspect)> {
        self.history.sweep(now);
        self.table.sweep(now)
    }

    /// Returns the messages to repeat now to an audience (0 to 2): one report about a request, one about a
    /// segment and one quarantine each second, in rotation.
    pub fn repeat_messages(&mut self, audience: usize, now: Moment) -> Vec<SuspectMessage> {
        let is_idle = self.is_idle();
        let Some(schedule) =
            self.repeat_schedules.get_mut(audience).filter(|schedule| !is_idle && now >= schedule.next_at)
        else {
            return Vec::new();
        };
        schedule.next_at = now.after_millis(REPEAT_INTERVAL_MILLIS);
        let (segments, requests): (Vec<_>, Vec<_>) =
            self.history.reports().into_iter().partition(|report| report.kind == SuspectKind::Segment);
        let mut messages = Vec::new();
        for (reports, next) in [requests, segments].iter().zip(&mut schedule.next_reports) {
            if let Some(report) = reports.get(*next % reports.len().max(1)) {
                let message = QuarantineMessage::of_report(report, now);
                messages.push(SuspectMessage::of(report.kind, message));
            }
            *next = next.wrapping_add(1);
        }
        let quarantined = self.table.next_to_propagate(schedule.last_suspect);
        schedule.last_suspect = quarantined.map(|(suspect, _)| suspect);
        messages.extend(quarantined.map(|(suspect, row)| message_of(suspect, row, now)));
        messages
    }

    /// Returns the message about the row of a suspect.
    pub fn message_of(&self, suspect: SuspectKey, now: Moment) -> Option<SuspectMessage> {
        self.table.row(suspect).map(|row| message_of(suspect, row, now))
    }

    /// Returns the kind of a suspect, if it is recorded.
    pub fn kind_of(&self, suspect: SuspectKey) -> Option<SuspectKind> {
        self.table.row(suspect).map(|row| row.kind).or_else(|| self.history.kind_of(suspect))
    }

    fn adopt(
        &mut self,
        suspect: SuspectKey,
        reported: &ReportedQuarantine,
        now: Moment,
    ) -> (bool, Vec<QuarantineChange>) {
        let round = reported.round;
        if !self.table.adopt(suspect, reported, now) {
            return (false, Vec::new());
        }
        self.history.mark_explained(suspect);
        (true, vec![QuarantineChange::Adopted { suspect, round }])
    }

    fn evaluate(&mut self, suspect: SuspectKey, now: Moment) -> Vec<QuarantineChange> {
        let Some(kind) = self.history.kind_of(suspect) else { return Vec::new() };
        let verdict = self.history.verdict(suspect);
        let mut companions = self.history.companions(suspect);
        if let Some(row) = self.table.quarantined(suspect, now) {
            let round = row.round;
            let is_narrowed = verdict.counted > 0 && self.table.narrow(suspect, &companions, now);
            self.history.mark_explained(suspect);
            let mut changes: Vec<_> =
                is_narrowed.then_some(QuarantineChange::Narrowed { suspect, round }).into_iter().collect();
            changes.extend(self.release_exonerated(now));
            return changes;
        }
        if let Some(row) = self.table.row(suspect).filter(|row| row.phase.is_trial()) {
            // Evidence from before its trial may have expired.
            companions = row.companions.iter().copied().filter(|key| companions.contains(key)).collect();
            self.table.narrow(suspect, &companions, now);
        }
        let is_fatal =
            verdict.is_fatal() || (self.table.is_on_probation(suspect) && verdict.is_fatal_again());
        if !is_fatal {
            if self.short_verdicts.len() < MAX_SHORT_VERDICTS {
                self.short_verdicts.push((suspect, verdict));
            }
            let is_trial = verdict.needs_trial()
                && self.table.begin_trial(suspect, kind, verdict.crashes as u32, companions, now);
            return is_trial
                .then_some(QuarantineChange::TrialBegun { suspect, verdict })
                .into_iter()
                .collect();
        }
        let begun = self.table.begin(suspect, kind, verdict.crashes as u32, companions, now);
        let Some(round) = begun else { return Vec::new() };
        self.history.mark_explained(suspect);
        let mut changes = vec![QuarantineChange::Begun { suspect, round, verdict }];
        changes.extend(self.release_exonerated(now));
        changes
    }

    /// Releases quarantined suspects whose crashes are now all attributed to other suspects.
    fn release_exonerated(&mut self, now: Moment) -> Vec<QuarantineChange> {
        let quarantined = self.table.rows().filter(|(_, row)| row.phase == QuarantinePhase::Quarantined);
        let exonerated = quarantined.filter(|(suspect, _)| {
            let verdict = self.history.verdict(*suspect);
            verdict.crashes > 0 && verdict.counted == 0
        });
        let exonerated: Vec<_> = exonerated.map(|(suspect, _)| suspect).collect();
        let released = exonerated.into_iter().filter_map(|suspect| {
            let round = self.release(suspect, now)?;
            Some(QuarantineChange::Lifted { suspect, round })
        });
        released.collect()
    }

    /// Clears a segment that is quarantined with companions: they are the cause without it.
    fn clear_companion(&mut self, segment: SuspectKey, now: Moment) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        for suspect in self.table.accompanied_by(segment) {
            let Some(row) = self.table.row(suspect) else { continue };
            let (round, phase) = (row.round, row.phase);
            let remaining: Vec<_> = row.companions.iter().copied().filter(|key| *key != segment).collect();
            self.table.narrow(suspect, &remaining, now);
            if phase == QuarantinePhase::Quarantined {
                changes.push(QuarantineChange::Narrowed { suspect, round });
            }
        }
        let is_joint = self.table.quarantined(segment, now).is_some_and(|row| !row.companions.is_empty());
        if is_joint && let Some(round) = self.table.release(segment, now) {
            changes.push(QuarantineChange::Lifted { suspect: segment, round });
        }
        changes
    }
}

/// Builds the message about a row: its quarantine, its trial or its release.
fn message_of(suspect: SuspectKey, row: &QuarantinedSuspect, now: Moment) -> SuspectMessage {
    let QuarantinedSuspect { kind, round, crashes: endings, until, ref companions, .. } = *row;
    let rest_micros = until.micros_since(now);
    let message = match row.phase {
        QuarantinePhase::Released => QuarantineMessage::Lifted { suspect, round },
        QuarantinePhase::Quarantined => QuarantineMessage::Held { suspect, round, endings, rest_micros },
        QuarantinePhase::Suspected | QuarantinePhase::Probation => {
            let companions = Arc::clone(companions);
            return SuspectMessage::Trial { suspect, kind, round, endings, rest_micros, companions };
        }
    };
    match kind {
        SuspectKind::Request => SuspectMessage::Request(message),
        SuspectKind::Segment => SuspectMessage::Segment { message, companions: Arc::clone(companions) },
    }
}
