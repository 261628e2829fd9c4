//! What this VM does about requests under which endpoints end: takes evidence, tells others, holds back.
//!
//! Pattern: one prompt, sent again and again, each time to another VM, ended 15 of 18 engines within 14 seconds, since
//! each VM saw one end of it at most. With evidence shared it is held back after three ends in a quiet fleet, 150 ms after
//! the last became known, by each VM that knows them.
//!
//! Invariant: whoever learns something new tells it on, so that each note goes once through the leads to every VM; what
//! was lost on the way is told again in turn.

use crate::endpoints::end_watch::{BrokenSend, millis};
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

/// Longest description of a request that is kept, in bytes.
const LABEL_BYTES: usize = 160;
/// Descriptions that are kept at most; with them, 0.2 MB.
const LABELS_LIMIT: usize = 1_024;

/// Evidence and holds, with what operators want to know of the requests.
#[derive(Debug, Default)]
pub(crate) struct QuarantineDesk {
    pub quarantine: RequestQuarantine,
    /// Client account, method, host and path of requests that came here, or that the store describes.
    labels: BTreeMap<RequestKey, String>,
}

/// One row of what operators are shown.
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

impl QuarantineDesk {
    /// Keeps a description of a request, unless there is one.
    pub(crate) fn describe(&mut self, request: RequestKey, label: &str) {
        if self.labels.len() >= LABELS_LIMIT && !self.labels.contains_key(&request) {
            let quarantine = &self.quarantine;
            self.labels.retain(|known, _| quarantine.knows(*known));
        }
        if self.labels.len() < LABELS_LIMIT {
            let end = (0..=LABEL_BYTES.min(label.len())).rev().find(|end| label.is_char_boundary(*end));
            let label = &label[..end.unwrap_or(0)];
            self.labels.entry(request).or_insert_with(|| label.to_owned());
        }
    }

    /// A request's description; empty if none is known here.
    pub(crate) fn label(&self, request: RequestKey) -> &str {
        self.labels.get(&request).map_or("", String::as_str)
    }
}

impl Gateway {
    /// Evidence and holds. Never held across a wait.
    pub(crate) fn desk(&self) -> MutexGuard<'_, QuarantineDesk> {
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes that an endpoint ended while it had a request of this VM.
    pub(crate) fn take_own_report(&self, report: &CrashReport, send: &BrokenSend, endpoint: &str) {
        let now = self.now();
        let mut desk = self.desk();
        if !desk.quarantine.take_report(report, now) {
            return;
        }
        let endings = desk.quarantine.crashes_of(report.request);
        drop(desk);
        self.metrics.quarantine_reports.get_or_create(&KindLabel::new("own")).inc();
        log::warn!(request = send.request_id.as_str(), digest:% = report.request, endpoint,
            age_ms = millis(report.age_micros), endings;
            "quarantine.evidence");
        let note = QuarantineMessage::of_report(report, now);
        self.near_cases.push(note);
        self.far_cases.push(note);
        self.loads_changed.notify_one();
        self.evidence_came.notify_one();
    }

    /// Whether one more end may be what holds a request back.
    pub(crate) fn is_close_to_hold(&self, request: RequestKey) -> bool {
        self.desk().quarantine.is_close(request)
    }

    /// Judges the requests whose evidence has settled.
    pub(crate) fn judge_requests(&self) {
        let changes = self.desk().quarantine.evaluate_due(self.now());
        self.announce(&changes);
    }

    /// Notes that an endpoint ran a request to its end: it is not what endpoints end of.
    pub(crate) fn record_answered(&self, request: RequestKey) {
        if self.desk().quarantine.record_answered(request, self.now()) {
            let note = QuarantineMessage::Answered { request, ago_micros: 0 };
            self.near_cases.push(note);
            self.far_cases.push(note);
        }
    }

    /// Takes what the VM `teller` told; what is new goes on to those that it has not told.
    pub(crate) fn take_notes(
        &self,
        notes: &[QuarantineMessage],
        scope: DigestScope,
        teller: VmKey,
        is_lead: bool,
    ) {
        let now = self.now();
        let is_local = self.peers().is_local(teller);
        for note in notes {
            let (is_new, changes) = self.desk().quarantine.apply_quarantine_message(note, now);
            if !is_new {
                continue;
            }
            if matches!(note, QuarantineMessage::Ended { .. }) {
                self.metrics.quarantine_reports.get_or_create(&KindLabel::new("told")).inc();
                self.evidence_came.notify_one();
            }
            self.announce(&changes);
            if scope == DigestScope::Vm && is_local {
                self.far_cases.push(*note);
            } else if scope == DigestScope::DataCentre && is_lead {
                self.passed_cases.push(*note);
            }
        }
    }

    /// Notes that an endpoint's entry went although it had not said that it leaves.
    pub(crate) fn note_lapsed(&self, ending: EndpointCrash) {
        self.desk().quarantine.record_crash(ending);
    }

    /// Takes a hold that stands in the store.
    pub(crate) fn take_stored_hold(&self, request: RequestKey, hold: &StoredHold) {
        let changes = {
            let mut desk = self.desk();
            desk.describe(request, &hold.request);
            desk.quarantine.take_stored(request, (hold.round, hold.endings), self.now())
        };
        self.announce(&changes);
    }

    /// Ends a hold because operators want it; false if there is none.
    pub(crate) fn lift_hold(&self, request: RequestKey) -> bool {
        let Some(round) = self.desk().quarantine.lift(request, self.now()) else { return false };
        self.announce(&[QuarantineChange::Lifted { request, round }]);
        true
    }

    /// All holds and trials, as operators see them.
    pub(crate) fn quarantine_rows(&self) -> Vec<QuarantineRow> {
        let now = self.now();
        let desk = self.desk();
        let rows = desk.quarantine.rows().map(|(request, row)| QuarantineRow {
            digest: request.to_string(),
            request: desk.label(request).to_owned(),
            phase: phase_word(row.phase).to_owned(),
            round: row.round,
            endings: row.endings,
            rest_s: row.until.micros_since(now) / spanfold_entity::MICROS_PER_SECOND,
            turned_away: row.turned_away,
        });
        rows.collect()
    }

    /// Writes down and tells what changed.
    fn announce(&self, changes: &[QuarantineChange]) {
        for change in changes {
            let (word, request, round) = match *change {
                QuarantineChange::Begun { request, round, verdict } => {
                    log::error!(digest:% = request, round, endings = verdict.endings, blamed = verdict.counted,
                        log_odds = verdict.log_odds, request = self.desk().label(request); "quarantine.begun");
                    ("begun", request, round)
                }
                QuarantineChange::Adopted { request, round } => {
                    log::warn!(digest:% = request, round; "quarantine.adopted");
                    ("adopted", request, round)
                }
                QuarantineChange::Lifted { request, round } => {
                    log::warn!(digest:% = request, round; "quarantine.lifted");
                    let note = QuarantineMessage::Lifted { request, round };
                    self.near_cases.push(note);
                    self.far_cases.push(note);
                    ("lifted", request, round)
                }
            };
            self.metrics.quarantine_holds.get_or_create(&KindLabel::new(word)).inc();
            if word == "begun" {
                self.tell_hold(request, round);
            }
        }
        if !changes.is_empty() {
            self.holds_changed.notify_one();
            self.loads_changed.notify_one();
        }
    }

    /// Tells others of a hold that began here: they may lack some of the evidence.
    fn tell_hold(&self, request: RequestKey, round: u32) {
        let now = self.now();
        let Some(QuarantinedRequest { endings, until, .. }) = self.desk().quarantine.held(request, now)
        else {
            return;
        };
        let note = QuarantineMessage::Held { request, round, endings, rest_micros: until.micros_since(now) };
        self.near_cases.push(note);
        self.far_cases.push(note);
    }
}

/// A hold as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredHold {
    pub round: u32,
    pub endings: u32,
    /// Client account, method, host and path.
    #[serde(default)]
    pub request: String,
}

/// A word for how far a hold is.
const fn phase_word(phase: QuarantinePhase) -> &'static str {
    match phase {
        QuarantinePhase::Held => "held",
        QuarantinePhase::Trial => "trial",
        QuarantinePhase::Lifted => "lifted",
    }
}
