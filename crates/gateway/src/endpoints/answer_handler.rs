//! Applies what endpoints state about themselves in answers, and propagates it to other VMs.
//!
//! Invariant: every answer of the addressed endpoint is applied, including refusals, failures and answers
//! to orders. A limit or a backoff that cannot be parsed changes nothing. Limits and departures are sent
//! through the leaders to every VM once, and are repeated, so that a lost message costs little.

use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use crate::peers::load_digest::DigestScope;
use crate::{AnswerFacts, BackoffChange, EndpointKey, HeaderField, LimitChange, LimitReport};
use serde::{Deserialize, Serialize};
use spanfold_entity::{MICROS_PER_MILLI, Moment};

/// Maximum number of limits, and of departures, that a VM repeats in each sweep.
const MAX_REPEATED_PER_SWEEP: usize = 1;

/// Sender and request of an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerSource<'a> {
    /// The endpoint that sent the answer.
    pub key: EndpointKey,
    /// The request's id, or the path of the call; empty if another VM reported it.
    pub request: &'a str,
    /// When the request was sent.
    pub sent_at: Moment,
}

/// A statement of one endpoint that concerns other VMs.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ObservedAnswer {
    /// Its limit, or the end of one.
    Limit(EndpointKey, LimitReport),
    /// It is departing.
    Departure(EndpointKey),
}

/// An [`ObservedAnswer`] as messages between VMs contain it, in at most 31 bytes. It contains ages instead of
/// moments, since VMs' clocks have different origins.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum AnswerRecord {
    Limit {
        key: EndpointKey,
        per_s: Option<f64>,
        /// Age of the request, since it was sent, in microseconds.
        sent_ago: u64,
        /// Age of its answer, since it was received, in microseconds.
        received_ago: u64,
    },
    Departure(EndpointKey),
}

impl AnswerRecord {
    pub(crate) fn of(observed: &ObservedAnswer, now: Moment) -> Self {
        match *observed {
            ObservedAnswer::Departure(key) => Self::Departure(key),
            ObservedAnswer::Limit(key, report) => Self::Limit {
                key,
                per_s: report.per_s,
                sent_ago: now.micros_since(report.sent_at),
                received_ago: now.micros_since(report.received_at),
            },
        }
    }

    fn observed(&self, now: Moment) -> ObservedAnswer {
        let at = |ago: u64| Moment(now.0.saturating_sub(ago));
        match *self {
            Self::Departure(key) => ObservedAnswer::Departure(key),
            Self::Limit { key, per_s, sent_ago, received_ago } => {
                let (sent_at, received_at) = (at(sent_ago), at(received_ago));
                ObservedAnswer::Limit(key, LimitReport { per_s, sent_at, received_at })
            }
        }
    }
}

/// How this VM received a departure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DepartureSource {
    /// In an answer to this VM.
    Answer,
    /// In a report that this VM requested.
    Report,
    /// From another VM.
    Peer,
}

impl DepartureSource {
    const fn label(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Report => "report",
            Self::Peer => "peer",
        }
    }
}

/// VMs to which a received report is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ForwardScope {
    /// None: they have received it.
    Nobody,
    /// Other data centres.
    Remote,
    /// The VMs of its own data centre.
    Relayed,
}

impl ForwardScope {
    /// Returns the scope for a digest of `scope`. `is_local` states whether the digest describes its sender
    /// alone, which is a VM of this data centre.
    pub(crate) fn of(scope: DigestScope, is_local: bool, is_leader: bool) -> Self {
        match scope {
            DigestScope::Vm if is_local => Self::Remote,
            DigestScope::DataCentre if is_leader => Self::Relayed,
            DigestScope::Vm | DigestScope::DataCentre | DigestScope::Elsewhere => Self::Nobody,
        }
    }
}

impl Gateway {
    /// Applies what an answer of the addressed endpoint states.
    pub(crate) fn observe_answer(&self, source: &AnswerSource<'_>, facts: &AnswerFacts) {
        self.log_invalid_headers(source, facts);
        self.observe_limit(source, &facts.limit);
        self.observe_departure(source, facts);
        self.observe_backoff(source, facts);
        self.observe_coldness(source, facts);
    }

    fn observe_coldness(&self, source: &AnswerSource<'_>, facts: &AnswerFacts) {
        let Some(cold_ms) = facts.cold_millis.value() else { return };
        let mut table = self.table();
        if !table.record_cold(source.key, cold_ms, self.now()) {
            return;
        }
        let endpoint = table.row(source.key).map_or("", |row| row.entry.id.as_str());
        log::info!(request = source.request, endpoint, cold_ms; "endpoint.cold");
    }

    /// Applies the version of a model's weights that an answer or an event reports.
    pub(crate) fn observe_weights(&self, source: &AnswerSource<'_>, model: &str, version: u64) {
        let mut table = self.table();
        if !table.record_weights(source.key, model, version, self.now()) {
            return;
        }
        let endpoint = table.row(source.key).map_or("", |row| row.entry.id.as_str());
        log::info!(request = source.request, endpoint, model, version; "weights.seen");
        self.loads_changed.notify_one();
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
            self.forward(observed);
        }
    }

    /// Propagates what an endpoint stated to this VM to all others.
    fn forward(&self, observed: ObservedAnswer) {
        self.local_answers.push(observed);
        self.remote_answers.push(observed);
        self.loads_changed.notify_one();
    }

    /// Records a stated departure. An invalid value counts as one, too: a false departure costs one
    /// endpoint its work, an ignored one costs callers their requests.
    fn observe_departure(&self, source: &AnswerSource<'_>, facts: &AnswerFacts) {
        let is_departing =
            matches!(facts.leaving, HeaderField::Invalid(_)) || facts.leaving.value() == Some(true);
        if is_departing {
            self.record_departure(source, DepartureSource::Answer);
        }
    }

    fn observe_backoff(&self, source: &AnswerSource<'_>, facts: &AnswerFacts) {
        let Some(label) = facts.rest_millis.label() else { return };
        self.metrics.rests.get_or_create(&KindLabel::new(label)).inc();
        let Some(asked_ms) = facts.rest_millis.value() else { return };
        let mut table = self.table();
        let (backoff_ms, extends) = match table.record_backoff(source.key, asked_ms, self.now()) {
            BackoffChange::None => return,
            BackoffChange::Begun(millis) => (millis, false),
            BackoffChange::Extended(millis) => (millis, true),
        };
        let Some(row) = table.row(source.key) else { return };
        let (endpoint, born) = (row.entry.id.as_str(), row.entry.born_millis.unwrap_or_default());
        let status = facts.status.as_u16();
        log::info!(request = source.request, endpoint, born, status, asked_ms, rest_ms = backoff_ms, extends;
            "endpoint.resting");
    }

    /// Records that an endpoint is departing, and propagates it if that is new.
    pub(crate) fn record_departure(&self, source: &AnswerSource<'_>, origin: DepartureSource) -> bool {
        let now = self.now();
        let mut table = self.table();
        if !table.record_departure(source.key, now) {
            return false;
        }
        self.metrics.departures.get_or_create(&KindLabel::new(origin.label())).inc();
        let row = table.row(source.key);
        let endpoint = row.map_or("", |row| row.entry.id.as_str());
        let born = row.and_then(|row| row.entry.born_millis).unwrap_or_default();
        log::warn!(request = source.request, endpoint, born, source = origin.label(); "endpoint.leaving");
        drop(table);
        if origin != DepartureSource::Peer {
            self.forward(ObservedAnswer::Departure(source.key));
        }
        true
    }

    /// Applies what endpoints stated to other VMs.
    pub(crate) fn apply_answer_records(&self, records: &[AnswerRecord], forward: ForwardScope) {
        let now = self.now();
        for record in records {
            let forwarded = match record.observed(now) {
                ObservedAnswer::Limit(key, report) => {
                    self.metrics.limit_reports.get_or_create(&KindLabel::new("told")).inc();
                    let source = AnswerSource { key, request: "", sent_at: report.sent_at };
                    self.apply_limit_report(&source, report)
                }
                ObservedAnswer::Departure(key) => {
                    let source = AnswerSource { key, request: "", sent_at: now };
                    let is_new = self.record_departure(&source, DepartureSource::Peer);
                    is_new.then_some(ObservedAnswer::Departure(key))
                }
            };
            match (forwarded, forward) {
                (None, _) | (_, ForwardScope::Nobody) => {}
                (Some(observed), ForwardScope::Remote) => self.remote_answers.push(observed),
                (Some(observed), ForwardScope::Relayed) => self.relayed_answers.push(observed),
            }
        }
    }

    /// Applies a limit; returns what to propagate.
    fn apply_limit_report(&self, source: &AnswerSource<'_>, report: LimitReport) -> Option<ObservedAnswer> {
        let (change, due) = {
            let mut table = self.table();
            let change = table.observe_limit(source.key, report);
            (change, table.take_due_limit(source.key, change, self.now()))
        };
        self.log_limit(source, &report, change);
        due.map(|report| ObservedAnswer::Limit(source.key, report))
    }

    /// Repeats some current limits and departures in each sweep `round`, for VMs that start or missed a
    /// message. Departures are also sent to other data centres, since no answer repeats them there.
    pub(crate) fn repeat_answers(&self, round: usize) {
        let (limits, departures) = {
            let (table, first) = (self.table(), round * MAX_REPEATED_PER_SWEEP);
            (
                table.rotating_limits(first, MAX_REPEATED_PER_SWEEP),
                table.rotating_departures(first, MAX_REPEATED_PER_SWEEP),
            )
        };
        for (key, report) in limits {
            self.local_answers.push(ObservedAnswer::Limit(key, report));
        }
        for key in departures {
            self.local_answers.push(ObservedAnswer::Departure(key));
            self.remote_answers.push(ObservedAnswer::Departure(key));
        }
    }

    /// Logs each header that becomes invalid or gets several values.
    fn log_invalid_headers(&self, source: &AnswerSource<'_>, facts: &AnswerFacts) {
        let causes = [
            ("limit", facts.limit.cause("the limit")),
            ("leaving", facts.leaving.cause("the departure")),
            ("rest", facts.rest_millis.cause("the rest")),
            ("weights", facts.weights.cause("the version of weights")),
            ("cold", facts.cold_millis.cause("the time of being cold")),
        ];
        let mut table = self.table();
        for (field, cause) in causes {
            if !table.record_invalid_header(source.key, field, cause.is_some()) {
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
