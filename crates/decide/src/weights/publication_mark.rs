//! Marks of recent publications in the platform's store.
//!
//! A mark is stored under a lease that ends before its version is overdue. The store counts that time, so
//! VMs that start later need no clock to know whether a publication is recent.
//!
//! Invariant: the lease of a mark ends before its version is overdue, or the mark is not written.

use crate::PublishedVersion;
use serde::{Deserialize, Serialize};
use spanfold_entity::{MICROS_PER_MILLI, Moment};

/// Time between the end of a mark and the moment at which its version is overdue, in milliseconds: VMs
/// receive the end by then, and the store may grant the lease some time after the call was made.
const MARK_MARGIN_MILLIS: u64 = 500;
/// Longest time of the call that grants a mark's lease, in milliseconds. The lease counts from its arrival.
const MAX_GRANT_MILLIS: u64 = 300;
/// Shortest lifetime that a store grants, in milliseconds (specified).
const MIN_LIFETIME_MILLIS: u64 = 1_000;

/// The mark of a recent publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublicationMark {
    /// Short digest of the model's name.
    pub model: u64,
    /// Number of the version.
    pub version: u64,
}

/// The relevant versions of a model, as the store records them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublicationRecord {
    /// Short digest of the model's name.
    pub model: u64,
    /// Versions, oldest first. One without a mark is overdue.
    pub versions: Vec<u64>,
}

impl PublicationMark {
    /// Returns the lifetime of the lease of a publication's mark, in milliseconds; none if it would be too
    /// short.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{PublicationMark, PublicationSource, PublishedVersion};
    /// use spanfold_entity::Moment;
    /// let published = PublishedVersion { version: 2, since: Moment(0), source: PublicationSource::Store };
    /// let now = Moment(0).after_millis(100);
    /// assert_eq!(PublicationMark::lifetime_millis(&published, 10_000, now), Some(9_400));
    /// assert_eq!(PublicationMark::lifetime_millis(&published, 1_500, now), None);
    /// ```
    pub fn lifetime_millis(published: &PublishedVersion, version_millis: u64, now: Moment) -> Option<u64> {
        let overdue_at = published.since.after_millis(version_millis);
        let millis = (overdue_at.micros_since(now) / MICROS_PER_MILLI).checked_sub(MARK_MARGIN_MILLIS)?;
        (millis >= MIN_LIFETIME_MILLIS).then_some(millis)
    }

    /// Whether a lease that was requested at `sent_at` and granted by `now` ends early enough.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::PublicationMark;
    /// use spanfold_entity::Moment;
    /// assert!(PublicationMark::is_grant_timely(Moment(0), Moment(4_000)));
    /// assert!(!PublicationMark::is_grant_timely(Moment(0), Moment(4_000_000)));
    /// ```
    pub const fn is_grant_timely(sent_at: Moment, now: Moment) -> bool {
        now.micros_since(sent_at) <= MAX_GRANT_MILLIS * MICROS_PER_MILLI
    }
}
