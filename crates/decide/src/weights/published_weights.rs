//! The weight versions that were named for a model, and when.
//!
//! Invariant: a naming counts from the earliest moment that anybody has told, whoever told it, and each
//! version counts by its own naming: a newer one takes nothing back from the bound that an earlier one set.

use crate::RequiredWeights;
use spanfold_entity::Moment;

/// Versions named for one model, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PublishedWeights(Vec<PublishedVersion>);

/// One version that was named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublishedVersion {
    /// The version.
    pub version: u64,
    /// When it was named, as far as known: not earlier than in truth.
    pub since: Moment,
}

impl PublishedWeights {
    /// Takes that `named` was named; returns whether that is news.
    ///
    /// Versions older than one that has been named for `version_millis` are forgotten: whatever they rule out, it
    /// rules out.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{NamedVersion, NamedWeights};
    /// use spanfold_entity::Moment;
    /// let mut weights = NamedWeights::default();
    /// assert!(weights.note(NamedVersion { version: 3, since: Moment(9) }, 10, Moment(9)));
    /// assert!(!weights.note(NamedVersion { version: 3, since: Moment(7) }, 10, Moment(9)));
    /// assert!(weights.note(NamedVersion { version: 2, since: Moment(5) }, 10, Moment(9)));
    /// assert_eq!(weights.newest(), Some(3));
    /// ```
    pub fn note(&mut self, named: PublishedVersion, version_millis: u64, now: Moment) -> bool {
        let is_news = match self.0.binary_search_by_key(&named.version, |row| row.version) {
            Ok(place) => {
                self.0[place].since = self.0[place].since.min(named.since);
                false
            }
            Err(place) => {
                self.0.insert(place, named);
                true
            }
        };
        let overdue = self.0.iter().rposition(|row| now >= row.since.after_millis(version_millis));
        self.0.drain(..overdue.unwrap_or(0));
        is_news && self.0.iter().any(|row| row.version == named.version)
    }

    /// The newest version.
    pub fn newest(&self) -> Option<u64> {
        self.0.last().map(|row| row.version)
    }

    /// All versions that matter, oldest first.
    pub fn versions(&self) -> &[PublishedVersion] {
        &self.0
    }

    /// What a request may start on, if older weights are overdue `version_millis` after a naming.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{NamedVersion, NamedWeights};
    /// use spanfold_entity::Moment;
    /// let mut weights = NamedWeights::default();
    /// weights.note(NamedVersion { version: 2, since: Moment(5) }, 10, Moment(5));
    /// let wanted = weights.wanted(10).unwrap();
    /// assert_eq!(wanted.last_start(1), Moment(5).after_millis(10));
    /// assert_eq!(wanted.last_start(2), Moment::NEVER);
    /// ```
    pub fn wanted(&self, version_millis: u64) -> Option<RequiredWeights> {
        let bounds = self.0.iter().map(|row| (row.version, row.since.after_millis(version_millis)));
        Some(RequiredWeights { newest: self.newest()?, bounds: bounds.collect() })
    }
}
