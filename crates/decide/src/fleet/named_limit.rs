//! What an endpoint says of how many requests a second it takes from all VMs together.
//!
//! Pattern: an endpoint in need names a limit in its answers, for as long as it holds: another value takes its place, and
//! an answer without one ends it. Answers come over many connections to many VMs, which tell one another, so that they
//! cross. When an answer was made is not told; it was made between its request's send and its arrival.
//!
//! Invariant: of two words the later one stands. Where their times overlap, and either may be the later one, the lower limit
//! stands: wrongly kept, it is corrected by the next answer; wrongly dropped, the endpoint would get too much.

use spanfold_entity::Moment;
use std::cmp::Ordering;

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
pub struct NamedLimit(Option<LimitWord>);

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
        let Some(standing) = self.0 else {
            if word.per_s.is_none() {
                return LimitChange::None;
            }
            self.0 = Some(word);
            return LimitChange::Begun;
        };
        if standing.is_after(&word) {
            return LimitChange::None;
        }
        if word.per_s == standing.per_s {
            self.0 = Some(LimitWord {
                sent_at: standing.sent_at.max(word.sent_at),
                heard_at: standing.heard_at.max(word.heard_at),
                ..word
            });
            return LimitChange::None;
        }
        if !word.is_after(&standing) && !word.is_lower(&standing) {
            return LimitChange::None;
        }
        self.0 = Some(word);
        match (standing.per_s, word.per_s) {
            (None, _) => LimitChange::Begun,
            (Some(before), Some(_)) => LimitChange::Changed(before),
            (Some(before), None) => LimitChange::Ended(before),
        }
    }

    /// The limit that stands, in requests a second.
    pub fn per_s(&self) -> Option<f64> {
        self.0.and_then(|word| word.per_s)
    }

    /// The word that stands, a limit or the end of one.
    pub const fn word(&self) -> Option<&LimitWord> {
        self.0.as_ref()
    }

    /// Forgets the end of a limit after a while.
    pub(crate) fn sweep(&mut self, now: Moment) {
        if self.0.is_some_and(|word| word.per_s.is_none() && now >= word.heard_at.after_millis(ENDED_MILLIS))
        {
            self.0 = None;
        }
    }
}
