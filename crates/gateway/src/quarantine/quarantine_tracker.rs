//! Tracks requests that crash endpoints: records and propagates evidence, and quarantines requests.
//!
//! Without shared evidence, one prompt that was sent again and again, each time to another VM, crashed 15 of
//! 18 engines within 14 seconds, since each VM saw at most one of its crashes. With shared evidence each VM
//! that has recorded three crashes quarantines the prompt 150 ms after the last report, if the fleet has no
//! other crashes.
//!
//! Invariant: a VM forwards each message that is new to it, so that the message reaches every VM once through
//! the leaders. Messages are repeated periodically, since some are lost.

use crate::endpoints::crash_detector::{BrokenSend, millis};
use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use crate::peers::load_digest::DigestScope;
use crate::{
    CrashReport, EndpointCrash, QuarantineChange, QuarantineMessage, QuarantinePhase, QuarantinedRequest,
    RequestKey,
};
use crate::{RequestQuarantine, VmKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{MutexGuard, PoisonError};

/// Maximum length of a request's description, in bytes; a longer one is truncated.
const MAX_LABEL_BYTES: usize = 160;
/// Maximum number of stored descriptions; they take 0.2 MB.
const MAX_LABELS: usize = 1_024;

/// Evidence and quarantines, with descriptions of the requests for operators.
#[derive(Debug, Default)]
pub(crate) struct QuarantineTracker {
    pub quarantine: RequestQuarantine,
    /// Client account, method, host and path of requests.
    ///
    /// This VM received them, or they are quarantined in the store.
    labels: BTreeMap<RequestKey, String>,
}

/// Row of the list of quarantined requests for operators.
#[derive(Debug, Serialize)]
pub(crate) struct QuarantineRow {
    pub digest: String,
    pub request: String,
    pub phase: String,
    pub round: u32,
    pub endings: u32,
    pub rest_s: u64,
    pub turned_away: u64,
}

impl QuarantineTracker {
    /// Stores the description of a request, unless there is one.
    ///
    /// If there are too many, first discards those of requests without evidence or quarantine.
    pub(crate) fn describe(&mut self, request: RequestKey, label: &str) {
        if self.labels.len() >= MAX_LABELS && !self.labels.contains_key(&request) {
            let quarantine = &self.quarantine;
            self.labels.retain(|labelled, _| quarantine.has_records(*labelled));
        }
        if self.labels.len() < MAX_LABELS {
            let length =
                (0..=MAX_LABEL_BYTES.min(label.len())).rev().find(|length| label.is_char_boundary(*length));
            let label = &label[..length.unwrap_or(0)];
            self.labels.entry(request).or_insert_with(|| label.to_owned());
        }
    }

    /// Returns a request's description; empty if this VM has none.
    pub(crate) fn label(&self, request: RequestKey) -> &str {
        self.labels.get(&request).map_or("", String::as_str)
    }
}

impl Gateway {
    /// Locks the evidence and the quarantines; the lock is not held across an await.
    pub(crate) fn quarantine_tracker(&self) -> MutexGuard<'_, QuarantineTracker> {
        self.quarantine_tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an endpoint crashed while it had a request of this VM.
    pub(crate) fn record_own_crash(&self, report: &CrashReport, send: &BrokenSend, endpoint: &str) {
        let now = self.now();
        let mut tracker = self.quarantine_tracker();
        if !tracker.quarantine.record_report(report, now) {
            return;
        }
        let crash_count = tracker.quarantine.crashes_of(report.request);
        drop(tracker);
        self.metrics.quarantine_reports.get_or_create(&KindLabel::new("own")).inc();
        log::warn!(request = send.request_id.as_str(), digest:% = report.request, endpoint,
            age_ms = millis(report.age_micros), endings = crash_count;
            "quarantine.evidence");
        let message = QuarantineMessage::of_report(report, now);
        self.local_quarantine_messages.push(message);
        self.remote_quarantine_messages.push(message);
        self.loads_changed.notify_one();
        self.evidence_received.notify_one();
    }

    /// Evaluates the requests whose evidence is due.
    pub(crate) fn evaluate_requests(&self) {
        let (changes, short) = {
            let mut tracker = self.quarantine_tracker();
            (tracker.quarantine.evaluate_due(self.now()), tracker.quarantine.take_short_verdicts())
        };
        for (request, verdict) in short {
            log::warn!(digest:% = request, endings = verdict.crashes, blamed = verdict.counted,
                log_odds = verdict.log_odds, needed = verdict.needed_log_odds(); "quarantine.short");
        }
        self.publish_changes(&changes);
    }

    /// Records that an endpoint completed a request: the request does not crash endpoints.
    pub(crate) fn record_answered(&self, request: RequestKey) {
        if self.quarantine_tracker().quarantine.record_answered(request, self.now()) {
            let message = QuarantineMessage::Answered { request, ago_micros: 0 };
            self.local_quarantine_messages.push(message);
            self.remote_quarantine_messages.push(message);
        }
    }

    /// Applies messages of the VM `reporter`, and queues new ones for other VMs.
    ///
    /// These are the VMs to which the reporter has not sent them.
    pub(crate) fn apply_quarantine_messages(
        &self,
        messages: &[QuarantineMessage],
        scope: DigestScope,
        reporter: VmKey,
        is_leader: bool,
    ) {
        let now = self.now();
        let is_local = self.peers().is_local(reporter);
        for message in messages {
            let (is_new, changes) =
                self.quarantine_tracker().quarantine.apply_quarantine_message(message, now);
            if !is_new {
                continue;
            }
            if matches!(message, QuarantineMessage::Ended { .. }) {
                self.metrics.quarantine_reports.get_or_create(&KindLabel::new("told")).inc();
                self.evidence_received.notify_one();
            }
            self.publish_changes(&changes);
            if scope == DigestScope::Vm && is_local {
                self.remote_quarantine_messages.push(*message);
            } else if scope == DigestScope::DataCentre && is_leader {
                self.relayed_quarantine_messages.push(*message);
            }
        }
    }

    /// Records that an endpoint's entry vanished without an announced departure.
    pub(crate) fn record_vanished_entry(&self, crash: EndpointCrash) {
        self.quarantine_tracker().quarantine.record_crash(crash);
    }

    /// Applies a quarantine that is in the store.
    pub(crate) fn apply_stored_quarantine(&self, request: RequestKey, stored: &StoredQuarantine) {
        let changes = {
            let mut tracker = self.quarantine_tracker();
            tracker.describe(request, &stored.request);
            tracker.quarantine.adopt_stored(request, (stored.round, stored.endings), self.now())
        };
        self.publish_changes(&changes);
    }

    /// Releases a request at an operator's command; false if it is not quarantined.
    pub(crate) fn release_request(&self, request: RequestKey) -> bool {
        let Some(round) = self.quarantine_tracker().quarantine.release(request, self.now()) else {
            return false;
        };
        self.publish_changes(&[QuarantineChange::Lifted { request, round }]);
        true
    }

    /// Returns all requests that are or were quarantined, for operators.
    pub(crate) fn quarantine_rows(&self) -> Vec<QuarantineRow> {
        let now = self.now();
        let tracker = self.quarantine_tracker();
        let rows = tracker.quarantine.rows().map(|(request, row)| QuarantineRow {
            digest: request.to_string(),
            request: tracker.label(request).to_owned(),
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
            let (label, request, round) = match *change {
                QuarantineChange::Begun { request, round, verdict } => {
                    log::error!(digest:% = request, round, endings = verdict.crashes, blamed = verdict.counted,
                        log_odds = verdict.log_odds, request = self.quarantine_tracker().label(request); "quarantine.begun");
                    ("begun", request, round)
                }
                QuarantineChange::Adopted { request, round } => {
                    log::warn!(digest:% = request, round; "quarantine.adopted");
                    ("adopted", request, round)
                }
                QuarantineChange::Lifted { request, round } => {
                    log::warn!(digest:% = request, round; "quarantine.lifted");
                    let message = QuarantineMessage::Lifted { request, round };
                    self.local_quarantine_messages.push(message);
                    self.remote_quarantine_messages.push(message);
                    ("lifted", request, round)
                }
            };
            self.metrics.quarantine_holds.get_or_create(&KindLabel::new(label)).inc();
            if label == "begun" {
                self.propagate_quarantine(request, round);
            }
        }
        if !changes.is_empty() {
            self.quarantine_changed.notify_one();
            self.loads_changed.notify_one();
        }
    }

    /// Propagates a quarantine that began at this VM: other VMs may lack some of the evidence.
    fn propagate_quarantine(&self, request: RequestKey, round: u32) {
        let now = self.now();
        let Some(QuarantinedRequest { crashes: endings, until, .. }) =
            self.quarantine_tracker().quarantine.quarantined(request, now)
        else {
            return;
        };
        let message =
            QuarantineMessage::Held { request, round, endings, rest_micros: until.micros_since(now) };
        self.local_quarantine_messages.push(message);
        self.remote_quarantine_messages.push(message);
    }
}

/// Quarantine in its stored form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredQuarantine {
    pub round: u32,
    pub endings: u32,
    /// Client account, method, host and path.
    #[serde(default)]
    pub request: String,
}

/// Returns the label of a phase.
const fn phase_label(phase: QuarantinePhase) -> &'static str {
    match phase {
        QuarantinePhase::Quarantined => "held",
        QuarantinePhase::Probation => "trial",
        QuarantinePhase::Released => "lifted",
    }
}
