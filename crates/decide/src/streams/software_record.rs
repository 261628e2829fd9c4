//! Software versions of services as the platform's store records them.
//!
//! A version is recorded while its endpoints are listed, and under a lease once they are gone: the store
//! removes it when no stream that it began can go on. VMs that start know from that which versions can have
//! begun a stream, without having followed the services.
//!
//! A version begins streams that callers may take up elsewhere only once it is settled: no VM takes it any more for
//! one that does not exist. Until then it was recorded too short a while ago. The record says that a version is
//! settled, for VMs that start later.
//!
//! Invariant: what a restored store lacks is not forgotten: it is written again.

use crate::known_everywhere_at;
use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;
use std::collections::{BTreeMap, BTreeSet};

/// A software version of a service, by short digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareKey {
    /// Short digest of the service's name.
    pub service: u64,
    /// Short digest of the version.
    pub software: u64,
}

/// Whether streams that callers may take up elsewhere begin on an endpoint's software version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoftwareState {
    /// Some VMs may not know it.
    Unsettled,
    /// All VMs know it, or it is the only one of its service.
    Settled,
}

/// Value of a version's record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSoftware {
    /// Whether the record ends with its lease.
    pub is_ending: bool,
    /// Whether all VMs know the version.
    #[serde(default)]
    pub is_settled: bool,
}

/// How a version is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RecordedSoftware {
    stored: StoredSoftware,
    /// When all VMs know it.
    settled_at: Moment,
    /// Whether the store holds it, as far as this VM knows.
    is_stored: bool,
}

/// Versions that the store records, and whether that record is complete.
#[derive(Clone, Debug, Default)]
pub struct SoftwareRecord {
    versions: BTreeMap<SoftwareKey, RecordedSoftware>,
    /// Versions that were once the only known one of their service.
    sole: BTreeSet<SoftwareKey>,
    is_complete: bool,
}

/// What the store's record lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnstoredSoftware {
    /// Versions with listed endpoints, to be recorded.
    pub listed: Vec<SoftwareKey>,
    /// Recorded versions without endpoints, to be recorded under a lease.
    pub gone: Vec<SoftwareKey>,
    /// Versions of services with several, to be recorded as settled.
    pub settled: Vec<SoftwareKey>,
}

impl SoftwareRecord {
    /// Records that the store holds a version, as this VM learned at `now`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{SoftwareKey, SoftwareRecord, StoredSoftware};
    /// use spanfold_entity::Moment;
    /// let (mut record, key) = (SoftwareRecord::default(), SoftwareKey { service: 1, software: 2 });
    /// record.record_stored(key, StoredSoftware::default(), Moment(0));
    /// assert!(record.versions_of(1).eq([2]));
    /// assert_eq!(record.settled_at(key), Moment(0).after_millis(2_600));
    /// ```
    pub fn record_stored(&mut self, key: SoftwareKey, stored: StoredSoftware, now: Moment) {
        let settled_at = if stored.is_settled { now } else { known_everywhere_at(now) };
        let settled_at = self.versions.get(&key).map_or(settled_at, |known| known.settled_at.min(settled_at));
        self.versions.insert(key, RecordedSoftware { stored, settled_at, is_stored: true });
    }

    /// Records that a version is the only known one of its service: no VM takes it for another one.
    pub(crate) fn record_sole(&mut self, key: SoftwareKey) {
        self.sole.insert(key);
    }

    /// Returns when all VMs know a version; never if it is not recorded.
    pub fn settled_at(&self, key: SoftwareKey) -> Moment {
        if self.sole.contains(&key) {
            return Moment(0);
        }
        self.versions.get(&key).map_or(Moment::NEVER, |version| version.settled_at)
    }

    /// Whether the store's record says that a version is settled.
    pub fn is_settled(&self, key: SoftwareKey) -> bool {
        self.versions.get(&key).is_some_and(|version| version.stored.is_settled)
    }

    /// Records that the store has removed a version: the lease has ended.
    pub fn record_removed(&mut self, key: SoftwareKey) {
        self.versions.remove(&key);
        self.sole.remove(&key);
    }

    /// Records that the store was restored from a backup, which may lack versions.
    pub fn record_restoration(&mut self) {
        self.versions.values_mut().for_each(|version| version.is_stored = false);
        self.is_complete = false;
    }

    /// Sets whether every version that can have begun a stream is recorded.
    pub const fn set_complete(&mut self, is_complete: bool) {
        self.is_complete = is_complete;
    }

    /// Whether every version that can have begun a stream is recorded or listed.
    pub const fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the recorded versions of a service.
    pub fn versions_of(&self, service: u64) -> impl Iterator<Item = u64> {
        self.versions.keys().filter(move |key| key.service == service).map(|key| key.software)
    }

    /// Returns what the store lacks, given the listed versions of all services.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{SoftwareKey, SoftwareRecord, StoredSoftware};
    /// use spanfold_entity::Moment;
    /// let (old, new) =
    ///     (SoftwareKey { service: 1, software: 2 }, SoftwareKey { service: 1, software: 3 });
    /// let mut record = SoftwareRecord::default();
    /// record.record_stored(old, StoredSoftware::default(), Moment(0));
    /// let unstored = record.unstored(&[new].into(), Moment(0));
    /// assert_eq!((unstored.listed, unstored.gone), (vec![new], vec![old]));
    /// ```
    pub fn unstored(&self, listed: &BTreeSet<SoftwareKey>, now: Moment) -> UnstoredSoftware {
        let lacks = |key: &&SoftwareKey| {
            self.versions.get(key).is_none_or(|version| version.stored.is_ending || !version.is_stored)
        };
        let gone = self.versions.iter().filter(|(key, version)| {
            !listed.contains(key) && (!version.stored.is_ending || !version.is_stored)
        });
        let settles = |key: &&SoftwareKey| {
            self.versions.get(key).is_some_and(|version| {
                !version.stored.is_ending && !version.stored.is_settled && now >= self.settled_at(**key)
            }) && self.versions_of(key.service).nth(1).is_some()
        };
        UnstoredSoftware {
            listed: listed.iter().filter(lacks).copied().collect(),
            gone: gone.map(|(key, _)| *key).collect(),
            settled: listed.iter().filter(settles).copied().collect(),
        }
    }
}
