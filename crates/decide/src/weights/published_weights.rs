//! Weight versions published for a model, with their publication times.
//!
//! Invariant: a publication counts from the earliest time that any VM reported, and each version counts by
//! its own publication: a newer version does not relax the bound that an earlier one set. A version whose
//! publication time is not known is overdue, unless the store holds its mark: the store removes the mark by
//! its own clock before the version is overdue. The store's record names versions only: it tells VMs that
//! start about those that are not the newest.

use crate::RequiredWeights;
use spanfold_entity::Moment;
use std::collections::BTreeSet;

/// Versions published for one model, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PublishedWeights {
    rows: Vec<PublishedVersion>,
    /// Versions whose marks the store holds: they are not overdue.
    marks: BTreeSet<u64>,
    /// Versions that the store's record names.
    recorded: BTreeSet<u64>,
}

/// What the store lacks of a model's publications.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnstoredWeights {
    /// Recent versions without a mark, with their known publication times.
    pub unmarked: Vec<PublishedVersion>,
    /// All relevant versions, for the record.
    pub versions: Vec<u64>,
    /// Whether the record names all versions with known publication times.
    pub is_recorded: bool,
}

/// How a VM learned when a version was published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublicationSource {
    /// It followed the platform's store when the version was published.
    Store,
    /// Another VM reported it.
    Peer,
    /// It did not: the store holds the version's mark, so that it is not overdue.
    Mark,
    /// It did not, but a VM that did was running at most so long ago.
    Bound,
    /// It did not, and the store holds no mark: the version counts as overdue.
    Unknown,
}

impl PublicationSource {
    /// Returns the name of the source in log lines.
    ///
    /// # Examples
    /// ```
    /// assert_eq!(spanfold_decide::PublicationSource::Peer.name(), "peer");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
            Self::Mark => "mark",
            Self::Bound => "bound",
            Self::Unknown => "unknown",
        }
    }

    /// Whether the version was published at the recorded time or later.
    pub const fn is_known(self) -> bool {
        matches!(self, Self::Store | Self::Peer | Self::Bound)
    }
}

/// A published version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublishedVersion {
    /// Number of the version.
    pub version: u64,
    /// Recorded time of its publication.
    pub since: Moment,
    /// Source of that time.
    pub source: PublicationSource,
}

impl PublishedWeights {
    /// Records a publication whose time is known; returns whether it is new and relevant.
    ///
    /// Versions older than one published at least `version_millis` ago are discarded: that one rules out
    /// every version that they rule out.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{PublicationSource, PublishedVersion, PublishedWeights};
    /// use spanfold_entity::Moment;
    /// let mut weights = PublishedWeights::default();
    /// let since = |version, micros| {
    ///     PublishedVersion { version, since: Moment(micros), source: PublicationSource::Store }
    /// };
    /// assert!(weights.record_publication(since(3, 9), 10, Moment(9)));
    /// assert!(!weights.record_publication(since(3, 7), 10, Moment(9)));
    /// assert!(weights.record_publication(since(2, 5), 10, Moment(9)));
    /// assert_eq!(weights.newest(), Some(3));
    /// ```
    pub fn record_publication(
        &mut self,
        publication: PublishedVersion,
        version_millis: u64,
        now: Moment,
    ) -> bool {
        let is_new = match self.find(publication.version) {
            Ok(index) => {
                let row = &mut self.rows[index];
                if !row.source.is_known() || publication.since < row.since {
                    *row = publication;
                }
                false
            }
            Err(index) => {
                self.rows.insert(index, publication);
                true
            }
        };
        self.discard_ruled_out(version_millis, now);
        is_new && self.find(publication.version).is_ok()
    }

    /// Records a version that was published before this VM followed the store; returns whether it is new and
    /// relevant.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::PublishedWeights;
    /// use spanfold_entity::Moment;
    /// let (mut weights, now) = (PublishedWeights::default(), Moment(90_000));
    /// assert!(weights.record_listed(2, 10, now));
    /// assert!(now >= weights.required(10).unwrap().start_deadline(1));
    /// ```
    pub fn record_listed(&mut self, version: u64, version_millis: u64, now: Moment) -> bool {
        let Err(index) = self.find(version) else { return false };
        self.rows.insert(index, self.listed(version, version_millis, now));
        self.discard_ruled_out(version_millis, now);
        self.find(version).is_ok()
    }

    /// Records that the store holds the mark of a version.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::PublishedWeights;
    /// use spanfold_entity::Moment;
    /// let (mut weights, now) = (PublishedWeights::default(), Moment(90_000));
    /// weights.record_listed(2, 10, now);
    /// weights.record_mark(2, 10, now);
    /// assert_eq!(weights.required(10).unwrap().start_deadline(1), now.after_millis(10));
    /// weights.record_mark_end(2, 10, now);
    /// assert!(now >= weights.required(10).unwrap().start_deadline(1));
    /// ```
    pub fn record_mark(&mut self, version: u64, version_millis: u64, now: Moment) {
        self.marks.insert(version);
        let listed = self.listed(version, version_millis, now);
        match self.find(version) {
            Ok(index) if self.rows[index].source == PublicationSource::Unknown => self.rows[index] = listed,
            Ok(_) => {}
            Err(index) => self.rows.insert(index, listed),
        }
        self.discard_ruled_out(version_millis, now);
    }

    /// Records the versions that the store's record names; none if the store has none.
    pub fn record_stored(&mut self, versions: &[u64], version_millis: u64, now: Moment) {
        self.recorded = versions.iter().copied().collect();
        for version in versions {
            self.record_listed(*version, version_millis, now);
        }
    }

    /// Records that a version was published at most `age_millis` ago, unless it was marked before that; returns
    /// whether nothing better is known.
    ///
    /// The record names each version that was marked, and outlasts the mark.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::PublishedWeights;
    /// use spanfold_entity::Moment;
    /// let (mut weights, now) = (PublishedWeights::default(), Moment(90_000));
    /// weights.record_listed(2, 10, now);
    /// assert!(weights.bound_age(2, 4, 10, now));
    /// assert_eq!(weights.required(10).unwrap().start_deadline(1), now.after_millis(6));
    /// weights.record_stored(&[3], 10, now);
    /// assert!(!weights.bound_age(3, 4, 10, now));
    /// ```
    pub fn bound_age(&mut self, version: u64, age_millis: u64, version_millis: u64, now: Moment) -> bool {
        let Ok(index) = self.find(version) else { return false };
        let is_unknown =
            self.rows[index].source == PublicationSource::Unknown && !self.recorded.contains(&version);
        if is_unknown && age_millis < version_millis {
            let since = Moment(now.0.saturating_sub(Moment(0).after_millis(age_millis).0));
            self.rows[index] = PublishedVersion { version, since, source: PublicationSource::Bound };
        }
        is_unknown
    }

    /// Records that the store has removed the mark of a version.
    pub fn record_mark_end(&mut self, version: u64, version_millis: u64, now: Moment) {
        self.marks.remove(&version);
        if let Ok(index) = self.find(version)
            && self.rows[index].source == PublicationSource::Mark
        {
            self.rows[index] = self.listed(version, version_millis, now);
        }
        self.discard_ruled_out(version_millis, now);
    }

    /// Records that the store was restored from a backup, which may lack marks and the record.
    pub fn record_restoration(&mut self) {
        self.marks.clear();
        self.recorded.clear();
    }

    /// Returns what the store lacks of this model's publications; none if it lacks nothing.
    pub fn unstored(&self, version_millis: u64, now: Moment) -> Option<UnstoredWeights> {
        let known = || self.rows.iter().filter(|row| row.source.is_known());
        let unmarked = known().filter(|row| {
            let is_overdue = now >= row.since.after_millis(version_millis);
            !is_overdue && !self.marks.contains(&row.version)
        });
        let unmarked: Vec<_> = unmarked.copied().collect();
        let is_recorded = known().all(|row| self.recorded.contains(&row.version));
        let versions = self.rows.iter().map(|row| row.version).collect();
        (!unmarked.is_empty() || !is_recorded).then_some(UnstoredWeights { unmarked, versions, is_recorded })
    }

    /// Returns the newest version.
    pub fn newest(&self) -> Option<u64> {
        self.rows.last().map(|row| row.version)
    }

    /// Returns all relevant versions, oldest first.
    pub fn versions(&self) -> &[PublishedVersion] {
        &self.rows
    }

    /// Returns the versions on which a request may start. Older weights are overdue `version_millis` after a
    /// publication.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{PublicationSource, PublishedVersion, PublishedWeights};
    /// use spanfold_entity::Moment;
    /// let mut weights = PublishedWeights::default();
    /// let published = PublishedVersion { version: 2, since: Moment(5), source: PublicationSource::Store };
    /// weights.record_publication(published, 10, Moment(5));
    /// let required = weights.required(10).unwrap();
    /// assert_eq!(required.start_deadline(1), Moment(5).after_millis(10));
    /// assert_eq!(required.start_deadline(2), Moment::NEVER);
    /// ```
    pub fn required(&self, version_millis: u64) -> Option<RequiredWeights> {
        let bounds = self.rows.iter().map(|row| (row.version, row.since.after_millis(version_millis)));
        Some(RequiredWeights { newest: self.newest()?, bounds: bounds.collect() })
    }

    fn find(&self, version: u64) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&version, |row| row.version)
    }

    /// Returns the row of a version whose publication time is not known.
    fn listed(&self, version: u64, version_millis: u64, now: Moment) -> PublishedVersion {
        if self.marks.contains(&version) {
            return PublishedVersion { version, since: now, source: PublicationSource::Mark };
        }
        let since = Moment(now.0.saturating_sub(Moment(0).after_millis(version_millis).0));
        PublishedVersion { version, since, source: PublicationSource::Unknown }
    }

    fn discard_ruled_out(&mut self, version_millis: u64, now: Moment) {
        let is_overdue = |row: &PublishedVersion| now >= row.since.after_millis(version_millis);
        let newest_overdue = self.rows.iter().rposition(is_overdue);
        self.rows.drain(..newest_overdue.unwrap_or(0));
    }
}
