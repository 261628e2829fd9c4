//! Applies what endpoints state of themselves in their answers, and forwards to other VMs what concerns them.
//!
//! Invariant: every answer of the addressed endpoint is applied, including refusals, failures and answers to orders. A limit
//! or a rest that cannot be read changes nothing. Each change of a limit goes through the leads to every VM once, and is repeated while answers repeat it, so that
//! a lost message costs a second.

use crate::gateway::Gateway;
use crate::gateway_metrics::KindLabel;
use crate::load_digest::DigestScope;
use crate::{AnswerFacts, EndpointKey, HeaderField, LimitChange, LimitReport, RestChange};
use serde::{Deserialize, Serialize};
use spanfold_entity::{MICROS_PER_MILLI, Moment};

/// Limits that a VM repeats in each sweep, so that a VM that starts learns them from the others.
const REPEATED_MOST: usize = 1;

/// The answer that a limit was read from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerSource<'a> {
    /// The endpoint that sent it.
    pub key: EndpointKey,
    /// The request's id, or the path of the call; empty if another VM reported it.
    pub request: &'a str,
    /// When the request was sent.
    pub sent_at: Moment,
}

/// A limit report of one endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ObservedLimit {
    key: EndpointKey,
    report: LimitReport,
}

/// The same in messages between VMs, with ages in place of moments, since VMs have different origins. 30 bytes at most.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LimitNote {
    key: EndpointKey,
    per_s: Option<f64>,
    /// How long ago the request was sent, in microseconds.
    sent_ago: u64,
    /// How long ago its answer came, in microseconds.
    received_ago: u64,
}

impl LimitNote {
    pub(crate) fn of(heard: &ObservedLimit, now: Moment) -> Self {
        let ObservedLimit { key, report } = *heard;
        let (sent_ago, received_ago) =
            (now.micros_since(report.sent_at), now.micros_since(report.received_at));
        Self { key, per_s: report.per_s, sent_ago, received_ago }
    }

    fn report(&self, now: Moment) -> LimitReport {
        let at = |ago: u64| Moment(now.0.saturating_sub(ago));
        LimitReport { per_s: self.per_s, sent_at: at(self.sent_ago), received_at: at(self.received_ago) }
    }
}

/// VMs to which a received report is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ForwardScope {
    /// None: they have received it.
    Nobody,
    /// Other data centres.
    Far,
    /// The VMs of its own data centre.
    Passed,
}

impl ForwardScope {
    /// The scope for a digest of `scope`; `is_near` if its sender described itself to its own data centre.
    pub(crate) fn of(scope: DigestScope, is_near: bool, is_lead: bool) -> Self {
        match scope {
            DigestScope::Vm if is_near => Self::Far,
            DigestScope::DataCentre if is_lead => Self::Passed,
            DigestScope::Vm | DigestScope::DataCentre | DigestScope::Elsewhere => Self::Nobody,
        }
    }
}

impl Gateway {
    /// Applies what an answer of the addressed endpoint states of it.
    pub(crate) fn observe_answer(&self, source: &AnswerSource<'_>, facts: &AnswerFacts) {
        self.log_odd_headers(source, facts);
        self.observe_limit(source, &facts.limit);
        self.observe_departure(source, facts);
        self.observe_rest(source, facts);
    }

    fn observe_limit(&self, source: &AnswerSource<'_>, limit: &HeaderField<f64>) {
        if let Some(label) = limit.label() {
            self.metrics.limit_reports.get_or_create(&KindLabel::new(label)).inc();
        }
        if matches!(limit, HeaderField::Invalid(_)) {
            return;
        }
        let report = LimitReport { per_s: limit.value(), sent_at: source.sent_at, received_at: self.now() };
        if let Some(observed) = self.apply_limit_report(source, report) {
            self.near_limits.push(observed);
            self.far_limits.push(observed);
            self.loads_changed.notify_one();
        }
    }

    /// A value that cannot be read counts as a departure too: taken wrongly, it costs one endpoint its work; ignored wrongly,
    /// callers their requests.
    fn observe_departure(&self, source: &AnswerSource<'_>, facts: &AnswerFacts) {
        let leaves = matches!(facts.leaving, HeaderField::Invalid(_)) || facts.leaving.value() == Some(true);
        if leaves && self.table().note_departure(source.key) {
            self.metrics.departures.get_or_create(&KindLabel::new("answer")).inc();
            self.log_departure(source, "its answer");
        }
    }

    fn observe_rest(&self, source: &AnswerSource<'_>, facts: &AnswerFacts) {
        let Some(label) = facts.rest_millis.label() else { return };
        self.metrics.rests.get_or_create(&KindLabel::new(label)).inc();
        let Some(asked_ms) = facts.rest_millis.value() else { return };
        let mut table = self.table();
        let (rest_ms, extends) = match table.note_rest(source.key, asked_ms, self.now()) {
            RestChange::None => return,
            RestChange::Begun(millis) => (millis, false),
            RestChange::Extended(millis) => (millis, true),
        };
        let Some(row) = table.row(source.key) else { return };
        let (endpoint, born) = (row.entry.id.as_str(), row.entry.born_millis.unwrap_or_default());
        let status = facts.status.as_u16();
        log::info!(request = source.request, endpoint, born, status, asked_ms, rest_ms, extends;
            "endpoint.resting");
    }

    fn log_departure(&self, source: &AnswerSource<'_>, origin: &str) {
        let table = self.table();
        let Some(row) = table.row(source.key) else { return };
        let (endpoint, born) = (row.entry.id.as_str(), row.entry.born_millis.unwrap_or_default());
        log::warn!(request = source.request, endpoint, born, source = origin; "endpoint.leaving");
    }

    /// Applies limits that other VMs have received.
    pub(crate) fn apply_limit_notes(&self, notes: &[LimitNote], forward: ForwardScope) {
        let now = self.now();
        for note in notes {
            let report = note.report(now);
            let source = AnswerSource { key: note.key, request: "", sent_at: report.sent_at };
            self.metrics.limit_reports.get_or_create(&KindLabel::new("told")).inc();
            let Some(heard) = self.apply_limit_report(&source, report) else { continue };
            match forward {
                ForwardScope::Nobody => {}
                ForwardScope::Far => self.far_limits.push(heard),
                ForwardScope::Passed => self.passed_limits.push(heard),
            }
        }
    }

    /// Applies a report; returns what to forward.
    fn apply_limit_report(&self, source: &AnswerSource<'_>, report: LimitReport) -> Option<ObservedLimit> {
        let (change, due) = {
            let mut table = self.table();
            let change = table.observe_limit(source.key, report);
            (change, table.take_due_limit(source.key, change, self.now()))
        };
        self.log_limit(source, &report, change);
        due.map(|report| ObservedLimit { key: source.key, report })
    }

    /// Repeats current limits to the VMs of this data centre, some in each sweep `turn`.
    pub(crate) fn repeat_limits(&self, turn: usize) {
        let reports = self.table().limits_in_turn(turn * REPEATED_MOST, REPEATED_MOST);
        for (key, report) in reports {
            self.near_limits.push(ObservedLimit { key, report });
        }
    }

    /// Logs each header that begins to be invalid or to have several values.
    fn log_odd_headers(&self, source: &AnswerSource<'_>, facts: &AnswerFacts) {
        let causes = [
            ("limit", facts.limit.cause("the limit")),
            ("leaving", facts.leaving.cause("the departure")),
            ("rest", facts.rest_millis.cause("the rest")),
            ("weights", facts.weights.cause("the version of weights")),
            ("cold", facts.cold_millis.cause("the time of being cold")),
        ];
        let mut table = self.table();
        for (field, cause) in causes {
            if !table.note_odd_header(source.key, field, cause.is_some()) {
                continue;
            }
            let (Some(cause), Some(row)) = (cause, table.row(source.key)) else { continue };
            let (request, endpoint, cause) = (source.request, row.entry.id.as_str(), cause.as_str());
            log::warn!(request, endpoint, field, cause; "answer.odd");
        }
    }

    /// Logs a change of an endpoint's limit.
    fn log_limit(&self, source: &AnswerSource<'_>, report: &LimitReport, change: LimitChange) {
        let before = match change {
            LimitChange::None => return,
            LimitChange::Begun => -1.0,
            LimitChange::Changed(before) | LimitChange::Ended(before) => before,
        };
        let table = self.table();
        let Some(row) = table.row(source.key) else { return };
        let (endpoint, born) = (row.entry.id.as_str(), row.entry.born_millis.unwrap_or_default());
        let waited_ms = report.received_at.micros_since(report.sent_at) / MICROS_PER_MILLI;
        match report.per_s {
            Some(per_s) => log::warn!(request = source.request, endpoint, born, per_s, before, waited_ms;
                "limit.named"),
            None => log::warn!(request = source.request, endpoint, born, before, waited_ms; "limit.ended"),
        }
    }
}
