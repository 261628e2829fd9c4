//! When weights were named, in a form that outlasts every VM.
//!
//! Invariant: times are told on the engines' clock, which goes on while VMs do not; a record never makes a naming
//! younger than its writer knew it.

use crate::PublishedWeights;
use serde::{Deserialize, Serialize};
use spanfold_entity::{MICROS_PER_MILLI, Moment};

/// A record is written anew if a naming turns out to be older by more than this, in milliseconds: VMs hear
/// of one naming some milliseconds apart.
const SLACK_MILLIS: u64 = 200;

/// When one version was named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamingTime {
    /// The version.
    pub version: u64,
    /// The engines' clock at its naming, in milliseconds.
    pub clock_millis: u64,
}

/// When the versions of one model were named that matter still.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublicationRecord {
    /// Short digest of the model's name.
    pub model: u64,
    /// The namings, oldest first.
    pub namings: Vec<NamingTime>,
}

impl PublicationRecord {
    /// What is known of a model at `now`, when the engines' clock stands at `clock_millis`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{NamedVersion, NamedWeights, NamingRecord};
    /// use spanfold_entity::Moment;
    /// let mut weights = NamedWeights::default();
    /// weights.note(NamedVersion { version: 2, since: Moment(4_000) }, 10, Moment(9_000));
    /// let record = NamingRecord::new(7, &weights, 100, Moment(9_000));
    /// assert_eq!(record.namings[0].clock_millis, 95);
    /// assert_eq!(record.ages(102).next(), Some((2, 7_000)));
    /// ```
    pub fn new(model: u64, weights: &PublishedWeights, clock_millis: u64, now: Moment) -> Self {
        let namings = weights.versions().iter().map(|row| {
            let age_millis = now.micros_since(row.since) / MICROS_PER_MILLI;
            NamingTime { version: row.version, clock_millis: clock_millis.saturating_sub(age_millis) }
        });
        Self { model, namings: namings.collect() }
    }

    /// Each version with the microseconds since its naming, when the engines' clock stands at `clock_millis`.
    pub fn ages(&self, clock_millis: u64) -> impl Iterator<Item = (u64, u64)> {
        let age = move |row: &NamingTime| clock_millis.saturating_sub(row.clock_millis) * MICROS_PER_MILLI;
        self.namings.iter().map(move |row| (row.version, age(row)))
    }

    /// Whether this record tells all that `known` does.
    pub fn covers(&self, known: &Self) -> bool {
        known.namings.iter().all(|named| {
            let recorded = self.namings.iter().find(|row| row.version == named.version);
            recorded.is_some_and(|row| row.clock_millis <= named.clock_millis.saturating_add(SLACK_MILLIS))
        })
    }
}
