//! Software versions that the endpoints of each service have had.
//!
//! A stream without a record goes on only if nothing but one version can have begun it. Endpoints that are
//! listed count as they are; only versions of endpoints that are gone are stored. What this VM did not follow
//! itself is in the store's record.

use crate::{SoftwareRecord, short_digest};
use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;
use std::collections::HashMap;

/// Time for which versions of endpoints that are gone are stored, in milliseconds: longer than any stream.
const RETENTION_MILLIS: u64 = 120_000;

/// What one VM knows of a service's software versions over a span of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SoleSoftware {
    /// It has not followed the service for the whole span, or its list may be old.
    Unsure,
    /// The service had several versions.
    Mixed,
    /// The service had only the version with this short digest.
    Sole(u64),
}

impl SoleSoftware {
    /// Combines what two VMs know.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::SoleSoftware::{Mixed, Sole, Unsure};
    /// assert_eq!(Unsure.and(Sole(1)), Sole(1));
    /// assert_eq!(Sole(1).and(Sole(2)), Mixed);
    /// assert_eq!(Mixed.and(Sole(1)), Mixed);
    /// ```
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unsure, known) | (known, Self::Unsure) => known,
            (Self::Sole(one), Self::Sole(two)) if one == two => self,
            _ => Self::Mixed,
        }
    }
}

/// Versions of endpoints that are gone, and since when the services have been followed.
#[derive(Debug, Default)]
pub(crate) struct SoftwareHistory {
    followed_since: Option<Moment>,
    /// Versions by service, with the time at which one of their endpoints was last listed.
    gone: HashMap<String, Vec<(u64, Moment)>>,
    /// Versions that the store records.
    pub(crate) record: SoftwareRecord,
}

impl SoftwareHistory {
    /// Records that entries of endpoints are received.
    pub(crate) fn record_following(&mut self, now: Moment) {
        self.followed_since.get_or_insert(now);
    }

    /// Sets since when the services have been followed.
    pub(crate) const fn set_followed_since(&mut self, since: Moment) {
        self.followed_since = Some(since);
    }

    /// Whether entries have been received since a moment.
    fn has_followed_since(&self, since: Moment) -> bool {
        self.followed_since.is_some_and(|at| at <= since)
    }

    /// Whether entries have been received for longer than any stream lasts.
    pub(crate) fn has_followed_long(&self, now: Moment) -> bool {
        self.followed_since.is_some_and(|at| now >= at.after_millis(RETENTION_MILLIS))
    }

    /// Records that an endpoint of a version is gone, or has another version.
    pub(crate) fn record_gone(&mut self, service: &str, software: u64, now: Moment) {
        let versions = self.gone.entry(service.to_owned()).or_default();
        versions.retain(|(other, at)| *other != software && now < at.after_millis(RETENTION_MILLIS));
        versions.push((software, now));
    }

    /// Returns what is known of a service since a moment, given the versions that are listed now.
    pub(crate) fn sole_since(
        &self,
        service: &str,
        since: Moment,
        listed: impl Iterator<Item = u64>,
    ) -> SoleSoftware {
        let gone = self.gone.get(service).map_or(&[][..], Vec::as_slice);
        let gone = gone.iter().filter(|(_, at)| *at >= since).map(|(software, _)| *software);
        let known = listed
            .chain(gone)
            .chain(self.record.versions_of(short_digest(service)))
            .fold(SoleSoftware::Unsure, |known, software| known.and(SoleSoftware::Sole(software)));
        let is_followed = self.has_followed_since(since) || self.record.is_complete();
        if is_followed || known == SoleSoftware::Mixed { known } else { SoleSoftware::Unsure }
    }
}
