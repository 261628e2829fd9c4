//! What this VM makes of the limits that endpoints name in their answers.
//!
//! Invariant: each answer of the endpoint that was meant is read for its limit, whatever else it says: also one that refuses
//! or fails, since its head is whole. What cannot be read changes nothing of what stands.

use crate::gateway::Gateway;
use crate::gateway_metrics::KindLabel;
use crate::{EndpointKey, LimitChange, LimitWord, SaidLimit};
use hyper::header::HeaderMap;
use spanfold_entity::{MICROS_PER_MILLI, Moment};

/// The answer that a limit was read from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitSource<'a> {
    /// Who gave it.
    pub key: EndpointKey,
    /// The request's id, or what the call was for.
    pub request: &'a str,
    /// When the request was sent.
    pub sent_at: Moment,
}

impl Gateway {
    /// Takes what the head of an answer says of its endpoint's limit.
    pub(crate) fn hear_limit(&self, source: &LimitSource<'_>, headers: &HeaderMap) {
        let said = (self.dialect.decode.endpoint_limit)(headers);
        self.count_limit(&said);
        self.log_odd_limit(source, &said);
        let per_s = match said {
            SaidLimit::Nothing => None,
            SaidLimit::PerSecond(per_s) | SaidLimit::Several(per_s) => Some(per_s),
            SaidLimit::Unreadable(_) => return,
        };
        let word = LimitWord { per_s, sent_at: source.sent_at, heard_at: self.now() };
        let change = self.table().hear_limit(source.key, word);
        self.log_limit(source, &word, change);
    }

    fn count_limit(&self, said: &SaidLimit) {
        let kind = match said {
            SaidLimit::Nothing => return,
            SaidLimit::PerSecond(_) => "named",
            SaidLimit::Several(_) => "several",
            SaidLimit::Unreadable(fault) => fault.kind(),
        };
        self.metrics.limit_words.get_or_create(&KindLabel::new(kind)).inc();
    }

    /// Writes down that an endpoint begins to name what is not one limit.
    fn log_odd_limit(&self, source: &LimitSource<'_>, said: &SaidLimit) {
        let cause = match said {
            SaidLimit::Nothing | SaidLimit::PerSecond(_) => None,
            SaidLimit::Several(_) => Some("several limits, the lowest counts".to_owned()),
            SaidLimit::Unreadable(fault) => Some(fault.to_string()),
        };
        let mut table = self.table();
        if !table.note_odd_limit(source.key, cause.is_some()) {
            return;
        }
        let (Some(cause), Some(row)) = (cause, table.row(source.key)) else { return };
        let (request, endpoint, cause) = (source.request, row.entry.id.as_str(), cause.as_str());
        log::warn!(request, endpoint, cause; "limit.odd");
    }

    /// Writes down what an endpoint's word changed.
    fn log_limit(&self, source: &LimitSource<'_>, word: &LimitWord, change: LimitChange) {
        let before = match change {
            LimitChange::None => return,
            LimitChange::Begun => -1.0,
            LimitChange::Changed(before) | LimitChange::Ended(before) => before,
        };
        let table = self.table();
        let Some(row) = table.row(source.key) else { return };
        let (endpoint, born) = (row.entry.id.as_str(), row.entry.born_millis.unwrap_or_default());
        let waited_ms = word.heard_at.micros_since(word.sent_at) / MICROS_PER_MILLI;
        match word.per_s {
            Some(per_s) => log::warn!(request = source.request, endpoint, born, per_s, before, waited_ms;
                "limit.named"),
            None => log::warn!(request = source.request, endpoint, born, before, waited_ms; "limit.ended"),
        }
    }
}
