//! What an endpoint says of how many requests a second it takes from all VMs together.
//!
//! Pattern: an endpoint in need names a limit in its answers, for as long as it holds: another value takes its place, and
//! an answer without one ends it. Answers come over many connections to many VMs, which tell one another, so that they
//! cross. When an answer was made is not told; it was made between its request's send and its arrival.
//!
//! Invariant: of two words the later one stands. Where their times overlap, and either may be the later one, the lower limit
//! stands: wrongly kept, it is corrected by the next answer; wrongly dropped, the endpoint would get too much.
//!
//! A limit that no answer repeats for a while ends by itself, not at once but by doubling: all VMs would send together to an
//! endpoint that may still mean it, before the first answer says so.

use crate::admit::{LEAST_PER_S, RateTerms};
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::cmp::Ordering;

/// A limit that no answer has repeated for this long, in milliseconds, and for [`LAPSE_WINDOWS`] of its windows, begins to rise.
const LAPSE_MILLIS: u64 = 30_000;
/// Windows of a limit in which an answer would have repeated it, had the endpoint got what it takes.
const LAPSE_WINDOWS: u64 = 2;
/// Time in which a limit that has lapsed doubles, in milliseconds.
const DOUBLE_MILLIS: f64 = 4_000.0;
/// A limit that has risen to so many requests a second is over.
const RISEN_PER_S: f64 = 1_000.0;
/// VMs are told again of what an endpoint repeats after this long, in milliseconds.
const RETELL_MILLIS: u64 = 1_000;

/// A word that ended a limit is remembered for this long, in milliseconds, so that older words that come late do not bring
/// the limit back, and so that other VMs are told.
const ENDED_MILLIS: u64 = 10_000;

/// What one answer says of its endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitWord {
    /// Requests a second from all VMs together; none if the answer names no limit.
    pub per_s: Option<f64>,
    /// When its request was sent: the word is not older.
    pub sent_at: Moment,
    /// When the answer came: the word is not newer.
    pub heard_at: Moment,
}

/// What a word changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// Nothing: it repeats what stands, or is older.
    None,
    /// A limit stands where there was none.
    Begun,
    /// Another limit stands; the one before is given, in requests a second.
    Changed(f64),
    /// No limit stands any more; the one before is given, in requests a second.
    Ended(f64),
}

/// What stands of what an endpoint said.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NamedLimit {
    word: Option<LimitWord>,
    /// When the other VMs are to be told of what it repeats.
    retell_at: Moment,
    /// When the answer came that they were told of last.
    told_heard_at: Moment,
}

impl LimitWord {
    /// Whether it is surely later than `other`.
    fn is_after(&self, other: &Self) -> bool {
        self.sent_at >= other.heard_at
    }

    /// Whether it allows less than `other`.
    fn is_lower(&self, other: &Self) -> bool {
        match (self.per_s, other.per_s) {
            (Some(own), Some(other)) => own.total_cmp(&other) == Ordering::Less,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }
}

impl NamedLimit {
    /// Takes a word of the endpoint, from an answer to this VM or as another VM told it.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{LimitChange, LimitWord, NamedLimit};
    /// use spanfold_entity::Moment;
    /// let word = |per_s, sent, heard| LimitWord { per_s, sent_at: Moment(sent), heard_at: Moment(heard) };
    /// let mut limit = NamedLimit::default();
    /// assert_eq!(limit.hear(word(Some(1.4), 10, 20)), LimitChange::Begun);
    /// assert_eq!(limit.hear(word(None, 5, 9)), LimitChange::None);
    /// assert_eq!(limit.hear(word(None, 20, 30)), LimitChange::Ended(1.4));
    /// ```
    pub fn hear(&mut self, word: LimitWord) -> LimitChange {
        let Some(standing) = self.word else {
            if word.per_s.is_none() {
                return LimitChange::None;
            }
            self.word = Some(word);
            return LimitChange::Begun;
        };
        if standing.is_after(&word) {
            return LimitChange::None;
        }
        if word.per_s == standing.per_s {
            self.word = Some(LimitWord {
                sent_at: standing.sent_at.max(word.sent_at),
                heard_at: standing.heard_at.max(word.heard_at),
                ..word
            });
            return LimitChange::None;
        }
        if !word.is_after(&standing) && !word.is_lower(&standing) {
            return LimitChange::None;
        }
        self.word = Some(word);
        match (standing.per_s, word.per_s) {
            (None, _) => LimitChange::Begun,
            (Some(before), Some(_)) => LimitChange::Changed(before),
            (Some(before), None) => LimitChange::Ended(before),
        }
    }

    /// The limit that the endpoint named last, in requests a second.
    pub fn per_s(&self) -> Option<f64> {
        self.word.and_then(|word| word.per_s)
    }

    /// The word that stands, a limit or the end of one.
    pub const fn word(&self) -> Option<&LimitWord> {
        self.word.as_ref()
    }

    /// The limit that VMs keep to, in requests a second: the one that was named, or more when it has lapsed.
    pub fn rate(&self, now: Moment) -> Option<f64> {
        let word = self.word?;
        let per_s = word.per_s?;
        let window_millis = RateTerms::of_limit(per_s).window_millis;
        let lapse_at = word.heard_at.after_millis(LAPSE_MILLIS + LAPSE_WINDOWS * window_millis);
        if now < lapse_at {
            return Some(per_s);
        }
        let doublings = now.micros_since(lapse_at) as f64 / (DOUBLE_MILLIS * MICROS_PER_MILLI as f64);
        let risen = per_s.max(LEAST_PER_S) * doublings.exp2();
        // One that was higher from the beginning is over as soon as it lapses.
        (risen < RISEN_PER_S).then_some(risen)
    }

    /// The word that other VMs are to be told now, if any: one that changed something, or repeats what they know for so long.
    pub(crate) fn take_due(&mut self, change: LimitChange, now: Moment) -> Option<LimitWord> {
        let word = self.word?;
        let is_repeated = now >= self.retell_at && word.heard_at > self.told_heard_at;
        if change == LimitChange::None && !is_repeated {
            return None;
        }
        self.retell_at = now.after_millis(RETELL_MILLIS);
        self.told_heard_at = word.heard_at;
        Some(word)
    }

    /// Forgets the end of a limit after a while, and a limit that has lapsed and risen; whether it was that.
    pub(crate) fn sweep(&mut self, now: Moment) -> bool {
        let Some(word) = self.word else { return false };
        let has_risen = word.per_s.is_some() && self.rate(now).is_none();
        let is_old = word.per_s.is_none() && now >= word.heard_at.after_millis(ENDED_MILLIS);
        if has_risen || is_old {
            self.word = None;
        }
        has_risen
    }
}
