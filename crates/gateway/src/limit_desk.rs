//! What this VM makes of the limits that endpoints name in their answers, and tells the others.
//!
//! Invariant: each answer of the endpoint that was meant is read for its limit, whatever else it says: also one that refuses
//! or fails, since its head is whole. What cannot be read changes nothing of what stands. What is told goes once through the
//! leads to every VM, and is told again while answers repeat it, so that a lost message costs a second.

use crate::gateway::Gateway;
use crate::gateway_metrics::KindLabel;
use crate::load_digest::DigestScope;
use crate::{EndpointKey, LimitChange, LimitWord, SaidLimit};
use hyper::header::HeaderMap;
use serde::{Deserialize, Serialize};
use spanfold_entity::{MICROS_PER_MILLI, Moment};

/// Limits that a VM tells again at each turn, twice a second: a VM that starts learns of them from all others.
const RETOLD_MOST: usize = 1;

/// The answer that a limit was read from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitSource<'a> {
    /// Who gave it.
    pub key: EndpointKey,
    /// The request's id, or what the call was for; empty if another VM told of the answer.
    pub request: &'a str,
    /// When the request was sent.
    pub sent_at: Moment,
}

/// What an endpoint said.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeardLimit {
    key: EndpointKey,
    word: LimitWord,
}

/// The same as VMs tell one another: with ages, since each VM counts from its own start. 30 bytes at most.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LimitNote {
    key: EndpointKey,
    per_s: Option<f64>,
    /// How long ago the request was sent, in microseconds.
    sent_ago: u64,
    /// How long ago its answer came, in microseconds.
    heard_ago: u64,
}

impl LimitNote {
    pub(crate) fn of(heard: &HeardLimit, now: Moment) -> Self {
        let HeardLimit { key, word } = *heard;
        let (sent_ago, heard_ago) = (now.micros_since(word.sent_at), now.micros_since(word.heard_at));
        Self { key, per_s: word.per_s, sent_ago, heard_ago }
    }

    fn word(&self, now: Moment) -> LimitWord {
        let at = |ago: u64| Moment(now.0.saturating_sub(ago));
        LimitWord { per_s: self.per_s, sent_at: at(self.sent_ago), heard_at: at(self.heard_ago) }
    }
}

/// Whom a VM that was told tells in turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Onward {
    /// Nobody: they have been told.
    Nobody,
    /// Other data centres.
    Far,
    /// The VMs of its own data centre.
    Passed,
}

impl Onward {
    /// Whom to tell of a digest of `scope`, `is_near` if its teller spoke of itself to its own data centre.
    pub(crate) fn of(scope: DigestScope, is_near: bool, is_lead: bool) -> Self {
        match scope {
            DigestScope::Vm if is_near => Self::Far,
            DigestScope::DataCentre if is_lead => Self::Passed,
            DigestScope::Vm | DigestScope::DataCentre | DigestScope::Elsewhere => Self::Nobody,
        }
    }
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
        if let Some(heard) = self.take_limit_word(source, word) {
            self.near_limits.push(heard);
            self.far_limits.push(heard);
            self.loads_changed.notify_one();
        }
    }

    /// Takes what other VMs heard of endpoints' limits.
    pub(crate) fn take_limits(&self, notes: &[LimitNote], onward: Onward) {
        let now = self.now();
        for note in notes {
            let word = note.word(now);
            let source = LimitSource { key: note.key, request: "", sent_at: word.sent_at };
            self.metrics.limit_words.get_or_create(&KindLabel::new("told")).inc();
            let Some(heard) = self.take_limit_word(&source, word) else { continue };
            match onward {
                Onward::Nobody => {}
                Onward::Far => self.far_limits.push(heard),
                Onward::Passed => self.passed_limits.push(heard),
            }
        }
    }

    /// Takes a word; gives what others are to be told.
    fn take_limit_word(&self, source: &LimitSource<'_>, word: LimitWord) -> Option<HeardLimit> {
        let (change, due) = {
            let mut table = self.table();
            let change = table.hear_limit(source.key, word);
            (change, table.take_due_limit(source.key, change, self.now()))
        };
        self.log_limit(source, &word, change);
        due.map(|word| HeardLimit { key: source.key, word })
    }

    /// Tells the VMs of this data centre again of limits that stand, some at each `turn`.
    pub(crate) fn retell_limits(&self, turn: usize) {
        let words = self.table().limits_in_turn(turn * RETOLD_MOST, RETOLD_MOST);
        for (key, word) in words {
            self.near_limits.push(HeardLimit { key, word });
        }
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
