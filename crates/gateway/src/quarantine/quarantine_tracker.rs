//! Tracks requests and segments that crash endpoints: records and propagates evidence, and quarantines them.
//!
//! Without shared evidence, one prompt that was sent again and again, each time to another VM, crashed 15 of
//! 18 engines within 14 seconds, since each VM saw at most one of its crashes. With shared evidence each VM
//! that has recorded three crashes quarantines the prompt 150 ms after the last report, if the fleet has no
//! other crashes. Prompts that share a segment are no copies of one another: evidence is kept of each of their
//! segments, too.
//!
//! Invariant: a VM forwards each message that is new to it, so that the message reaches every VM once through
//! the leaders. Messages are repeated periodically, since some are lost.

use crate::endpoints::crash_detector::millis;
use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use crate::peers::load_digest::DigestScope;
use crate::quarantine::stored_quarantine::StoredQuarantine;
use crate::quarantine::trial_claims::TrialClaims;
use crate::{
    CrashReport, CrashVerdict, EndpointCrash, QuarantineChange, QuarantineMessage, QuarantinePhase,
    QuarantinedSuspect, RequestQuarantine, SuspectKey, SuspectKind, SuspectMessage, VmKey,
};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{MutexGuard, PoisonError};

/// Maximum length of a suspect's description, in bytes; a longer one is truncated.
const MAX_LABEL_BYTES: usize = 160;
/// Maximum number of stored descriptions; they take 0.2 MB.
const MAX_LABELS: usize = 1_024;

/// Description of a suspect for operators.
#[derive(Debug, Default)]
struct SuspectLabel {
    /// Client account, method, host and path of a request; service and model of a segment.
    text: String,
    /// A segment's name, as callers state it.
    part: Option<String>,
}

/// Evidence and quarantines, with descriptions of the suspects for operators.
#[derive(Debug, Default)]
pub(crate) struct QuarantineTracker {
    pub quarantine: RequestQuarantine,
    pub trials: TrialClaims,
    /// Descriptions of requests that this VM received, of their segments, and of what the store contains.
    labels: BTreeMap<SuspectKey, SuspectLabel>,
}

/// Row of the list of quarantined suspects for operators.
#[derive(Debug, Serialize)]
pub(crate) struct QuarantineRow {
    pub digest: String,
    pub request: String,
    /// The segment's name; empty for a request.
    pub part: String,
    /// The names of its companions, or their digests.
    pub together: Vec<String>,
    pub phase: String,
    pub round: u32,
    pub endings: u32,
    pub rest_s: u64,
    pub turned_away: u64,
}

impl QuarantineTracker {
    /// Stores the description of a suspect, unless there is one. `part` is a segment's name.
    ///
    /// If there are too many, first discards those of suspects without evidence or quarantine.
    pub(crate) fn describe(&mut self, suspect: SuspectKey, text: &str, part: Option<&str>) {
        if self.labels.len() >= MAX_LABELS && !self.labels.contains_key(&suspect) {
            let quarantine = &self.quarantine;
            self.labels.retain(|labelled, _| quarantine.has_records(*labelled));
        }
        if self.labels.len() < MAX_LABELS {
            let (text, part) = (truncated(text).to_owned(), part.map(|part| truncated(part).to_owned()));
            self.labels.entry(suspect).or_insert(SuspectLabel { text, part });
        }
    }

    /// Returns a suspect's description; empty if this VM has none.
    pub(crate) fn label(&self, suspect: SuspectKey) -> &str {
        self.labels.get(&suspect).map_or("", |label| &label.text)
    }

    /// Returns a segment's name; empty if this VM has none, or for a request.
    pub(crate) fn part_name(&self, suspect: SuspectKey) -> &str {
        self.labels.get(&suspect).and_then(|label| label.part.as_deref()).unwrap_or("")
    }

    /// Returns the names of the companions of a row, or their digests.
    fn companion_names(&self, row: &QuarantinedSuspect) -> Vec<String> {
        let name = |key: &SuspectKey| match self.part_name(*key) {
            "" => key.to_string(),
            name => name.to_owned(),
        };
        row.companions.iter().map(name).collect()
    }

    /// Returns a quarantine in its stored form.
    pub(crate) fn stored_form(&self, suspect: SuspectKey, row: &QuarantinedSuspect) -> StoredQuarantine {
        let is_segment = row.kind == SuspectKind::Segment;
        StoredQuarantine {
            round: row.round,
            endings: row.crashes,
            request: self.label(suspect).to_owned(),
            part: is_segment.then(|| self.part_name(suspect).to_owned()),
            together: row.companions.iter().map(ToString::to_string).collect(),
        }
    }
}

/// Returns the beginning of a description.
fn truncated(text: &str) -> &str {
    let length = (0..=MAX_LABEL_BYTES.min(text.len())).rev().find(|length| text.is_char_boundary(*length));
    &text[..length.unwrap_or(0)]
}

impl Gateway {
    /// Locks the evidence and the quarantines; the lock is not held across an await.
    pub(crate) fn quarantine_tracker(&self) -> MutexGuard<'_, QuarantineTracker> {
        self.quarantine_tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an endpoint crashed while it had requests of this VM; each report has a request's id.
    pub(crate) fn record_own_crash(&self, reports: &[(CrashReport, &str)], endpoint: &str) {
        let now = self.now();
        // All at once: the evidence against suspects of one crash is compared.
        let new_reports: Vec<_> = {
            let mut tracker = self.quarantine_tracker();
            let is_new = |(report, _): &&(CrashReport, &str)| tracker.quarantine.record_report(report, now);
            reports.iter().filter(is_new).collect()
        };
        for (report, request_id) in new_reports {
            self.log_evidence(report, request_id, endpoint);
            self.metrics.quarantine.reports.get_or_create(&KindLabel::new("own")).inc();
            let message = QuarantineMessage::of_report(report, now);
            self.push_quarantine_message(&SuspectMessage::of(report.kind, message));
        }
        self.loads_changed.notify_one();
        self.evidence_received.notify_one();
    }

    /// Logs evidence. Segments that were at a single crash are many, and are named by the line of the broken
    /// send.
    fn log_evidence(&self, report: &CrashReport, request_id: &str, endpoint: &str) {
        let tracker = self.quarantine_tracker();
        let crash_count = tracker.quarantine.crashes_of(report.suspect);
        if report.kind == SuspectKind::Request || crash_count > 1 {
            log::warn!(request = request_id, digest:% = report.suspect,
                part = tracker.part_name(report.suspect), endpoint,
                age_ms = millis(report.age_micros), endings = crash_count;
                "quarantine.evidence");
        }
    }

    /// Queues a message for the VMs of this data centre, and for other data centres.
    fn push_quarantine_message(&self, message: &SuspectMessage) {
        self.local_quarantine_messages.push(message.clone());
        self.remote_quarantine_messages.push(message.clone());
    }

    /// Evaluates the suspects whose evidence is due.
    pub(crate) fn evaluate_suspects(&self) {
        let (changes, short) = {
            let mut tracker = self.quarantine_tracker();
            (tracker.quarantine.evaluate_due(self.now()), tracker.quarantine.take_short_verdicts())
        };
        for (suspect, verdict) in short {
            let part = self.quarantine_tracker().part_name(suspect).to_owned();
            log::warn!(digest:% = suspect, part = part.as_str(), endings = verdict.crashes,
                blamed = verdict.counted, log_odds = verdict.log_odds, needed = verdict.needed_log_odds();
                "quarantine.short");
        }
        self.publish_changes(&changes);
    }

    /// Records that an endpoint answered suspects: they do not crash endpoints.
    pub(crate) fn record_answered(&self, suspects: &[(SuspectKey, SuspectKind)]) {
        let now = self.now();
        for (suspect, kind) in suspects {
            let (matters, changes) = self.quarantine_tracker().quarantine.record_answered(*suspect, now, now);
            if matters {
                let message = QuarantineMessage::Answered { suspect: *suspect, ago_micros: 0 };
                self.push_quarantine_message(&SuspectMessage::of(*kind, message));
                self.evidence_received.notify_one();
            }
            self.publish_changes(&changes);
        }
        let keys: Vec<_> = suspects.iter().map(|(suspect, _)| *suspect).collect();
        self.crash_detector.exonerate(&keys);
    }

    /// Applies messages of the VM `reporter`, and queues new ones for other VMs.
    ///
    /// These are the VMs to which the reporter has not sent them.
    pub(crate) fn apply_quarantine_messages(
        &self,
        messages: &[SuspectMessage],
        scope: DigestScope,
        reporter: VmKey,
        is_leader: bool,
    ) {
        let now = self.now();
        let is_local = self.peers().is_local(reporter);
        let outcomes: Vec<_> = {
            let mut tracker = self.quarantine_tracker();
            messages.iter().map(|message| tracker.quarantine.apply_message(message, now)).collect()
        };
        for (message, (is_new, changes)) in messages.iter().zip(outcomes) {
            self.publish_changes(&changes);
            if !is_new {
                continue;
            }
            if let SuspectMessage::Request(message) | SuspectMessage::Segment { message, .. } = message
                && matches!(message, QuarantineMessage::Ended { .. } | QuarantineMessage::Answered { .. })
            {
                self.evidence_received.notify_one();
                if matches!(message, QuarantineMessage::Ended { .. }) {
                    self.metrics.quarantine.reports.get_or_create(&KindLabel::new("told")).inc();
                }
            }
            if scope == DigestScope::Vm && is_local {
                self.remote_quarantine_messages.push(message.clone());
            } else if scope == DigestScope::DataCentre && is_leader {
                self.relayed_quarantine_messages.push(message.clone());
            }
        }
    }

    /// Records that an endpoint's entry vanished without an announced departure.
    pub(crate) fn record_vanished_entry(&self, crash: EndpointCrash) {
        self.quarantine_tracker().quarantine.record_crash(crash);
    }

    /// Applies a quarantine that is in the store.
    pub(crate) fn apply_stored_quarantine(&self, suspect: SuspectKey, stored: &StoredQuarantine) {
        let changes = {
            let mut tracker = self.quarantine_tracker();
            tracker.describe(suspect, &stored.request, stored.part.as_deref());
            let round_and_crashes = (stored.round, stored.endings);
            let (kind, companions) = (stored.kind(), stored.companions());
            tracker.quarantine.adopt_stored(suspect, kind, round_and_crashes, companions, self.now())
        };
        self.publish_changes(&changes);
    }

    /// Releases a suspect at an operator's command; false if it is not quarantined.
    pub(crate) fn release_suspect(&self, suspect: SuspectKey) -> bool {
        let Some(round) = self.quarantine_tracker().quarantine.release(suspect, self.now()) else {
            return false;
        };
        self.publish_changes(&[QuarantineChange::Lifted { suspect, round }]);
        true
    }

    /// Returns all suspects that are or were quarantined, for operators.
    pub(crate) fn quarantine_rows(&self) -> Vec<QuarantineRow> {
        let now = self.now();
        let tracker = self.quarantine_tracker();
        let rows = tracker.quarantine.rows().map(|(suspect, row)| QuarantineRow {
            digest: suspect.to_string(),
            request: tracker.label(suspect).to_owned(),
            part: tracker.part_name(suspect).to_owned(),
            together: tracker.companion_names(row),
            phase: phase_label(row.phase).to_owned(),
            round: row.round,
            endings: row.crashes,
            rest_s: row.until.micros_since(now) / spanfold_entity::MICROS_PER_SECOND,
            turned_away: row.turned_away,
        });
        rows.collect()
    }

    /// Logs, counts and propagates changes.
    fn publish_changes(&self, changes: &[QuarantineChange]) {
        for change in changes {
            let suspect = match *change {
                QuarantineChange::Begun { suspect, .. }
                | QuarantineChange::TrialBegun { suspect, .. }
                | QuarantineChange::Narrowed { suspect, .. }
                | QuarantineChange::Adopted { suspect, .. }
                | QuarantineChange::Lifted { suspect, .. } => suspect,
            };
            let part = self.quarantine_tracker().part_name(suspect).to_owned();
            let part = part.as_str();
            let label = match *change {
                QuarantineChange::Begun { round, verdict, .. } => {
                    self.log_begun(suspect, round, &verdict);
                    "begun"
                }
                QuarantineChange::TrialBegun { verdict, .. } => {
                    log::warn!(digest:% = suspect, part, endings = verdict.crashes, blamed = verdict.counted,
                        log_odds = verdict.log_odds; "quarantine.suspected");
                    "suspected"
                }
                QuarantineChange::Narrowed { round, .. } => {
                    log::warn!(digest:% = suspect, part, round; "quarantine.narrowed");
                    "narrowed"
                }
                QuarantineChange::Adopted { round, .. } => {
                    log::warn!(digest:% = suspect, part, round; "quarantine.adopted");
                    "adopted"
                }
                QuarantineChange::Lifted { round, .. } => {
                    log::warn!(digest:% = suspect, part, round; "quarantine.lifted");
                    "lifted"
                }
            };
            self.metrics.quarantine.holds.get_or_create(&KindLabel::new(label)).inc();
            // What another VM began, or a leader relays, is propagated by that VM.
            if !matches!(change, QuarantineChange::Adopted { .. }) {
                self.propagate_row(suspect);
            }
        }
        if !changes.is_empty() {
            self.quarantine_changed.notify_one();
            self.loads_changed.notify_one();
        }
    }

    fn log_begun(&self, suspect: SuspectKey, round: u32, verdict: &CrashVerdict) {
        let tracker = self.quarantine_tracker();
        let row = tracker.quarantine.rows().find(|(key, _)| *key == suspect);
        let together = row.map(|(_, row)| tracker.companion_names(row)).unwrap_or_default().join(",");
        log::error!(digest:% = suspect, round, endings = verdict.crashes, blamed = verdict.counted,
            log_odds = verdict.log_odds, part = tracker.part_name(suspect), together = together.as_str(),
            request = tracker.label(suspect); "quarantine.begun");
    }

    /// Propagates a change of this VM: other VMs may lack some of the evidence.
    fn propagate_row(&self, suspect: SuspectKey) {
        let message = self.quarantine_tracker().quarantine.message_of(suspect, self.now());
        if let Some(message) = message {
            self.push_quarantine_message(&message);
        }
    }
}

/// Returns the label of a phase.
const fn phase_label(phase: QuarantinePhase) -> &'static str {
    match phase {
        QuarantinePhase::Suspected => "suspected",
        QuarantinePhase::Quarantined => "held",
        QuarantinePhase::Probation => "trial",
        QuarantinePhase::Released => "lifted",
    }
}
