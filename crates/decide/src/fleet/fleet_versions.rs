//! Endpoints of a service by their software version.

use crate::{
    FleetTable, SoftwareKey, SoftwareRecord, SoftwareState, SoleSoftware, StreamOrigin, VersionSplit,
    short_digest,
};
use spanfold_entity::Moment;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Fraction of its usual memory that new prompts may fill at an endpoint of a scarce version: the rest is for
/// streams that only such endpoints can continue.
const SCARCE_MEMORY_FRACTION: f64 = 0.85;
/// A version is scarce if at most this fraction of its service's endpoints have it.
const SCARCE_FRACTION: f64 = 0.25;
/// A version of at most this many endpoints is scarce, too.
const SCARCE_ENDPOINTS: usize = 2;

/// Longest time between two checks whether a version is settled, in milliseconds.
const MAX_SETTLE_INTERVAL_MILLIS: u64 = 500;

impl FleetTable {
    /// Returns the canary order of the last canary endpoint for a share of the requests.
    ///
    /// None if no endpoint of the version takes work.
    pub fn last_canary_order(&self, service: &str, version: &str, share: f64, now: Moment) -> Option<u64> {
        let rows = self.rows_of(service).filter(|(_, row)| *row.entry.version == *version);
        let mut orders: Vec<_> = rows
            .filter(|(_, row)| row.takes_work(now))
            .map(|(key, _)| VersionSplit::canary_order(key))
            .collect();
        let count = ((orders.len() as f64 * share).ceil() as usize).max(1);
        if orders.len() < count {
            return None;
        }
        let (_, last, _) = orders.select_nth_unstable(count - 1);
        Some(*last)
    }

    /// Whether nothing contradicts that a stream began at its recorded version.
    ///
    /// An endpoint that starts again under its id with another version may have begun it at either.
    pub fn confirms_origin(&self, origin: &StreamOrigin) -> bool {
        self.row(origin.endpoint).is_none_or(|row| short_digest(&row.entry.version) == origin.software)
    }

    /// Reserves memory at the endpoints of versions that few of their service's endpoints have.
    pub(super) fn reserve_scarce_versions(&mut self, now: Moment) {
        for keys in self.keys_by_service.values() {
            let mut counts: HashMap<Arc<str>, usize> = HashMap::new();
            for row in keys.iter().filter_map(|key| self.rows.get(key)).filter(|row| row.takes_work(now)) {
                match counts.get_mut(&row.entry.version) {
                    Some(count) => *count += 1,
                    None => drop(counts.insert(Arc::clone(&row.entry.version), 1)),
                }
            }
            let total: usize = counts.values().sum();
            let is_scarce = |count: usize| {
                counts.len() > 1
                    && (count <= SCARCE_ENDPOINTS || count as f64 <= total as f64 * SCARCE_FRACTION)
            };
            for key in keys {
                if let Some(row) = self.rows.get_mut(key) {
                    let is_scarce = counts.get(&row.entry.version).is_some_and(|count| is_scarce(*count));
                    row.new_prompt_fraction = if is_scarce { SCARCE_MEMORY_FRACTION } else { 1.0 };
                }
            }
        }
    }

    /// Sets since when the services' software versions have been followed, for tests.
    pub fn set_software_followed_since(&mut self, since: Moment) {
        self.software_history.set_followed_since(since);
    }

    /// Returns whether a service's endpoints have had one software version only since a moment.
    ///
    /// The service is given by the short digest of its name.
    pub fn sole_software(&self, service: u64, since: Moment) -> SoleSoftware {
        let name = self.keys_by_service.keys().find(|name| short_digest(name) == service);
        let Some(name) = name else { return SoleSoftware::Unsure };
        let listed = self.rows_of(name).map(|(_, row)| short_digest(&row.entry.version));
        self.software_history.sole_since(name, since, listed)
    }

    /// Returns the store's record of software versions.
    pub const fn software_record(&self) -> &SoftwareRecord {
        &self.software_history.record
    }

    /// Returns the store's record of software versions, to change it.
    pub fn software_record_mut(&mut self) -> &mut SoftwareRecord {
        self.settle_due.clear();
        &mut self.software_history.record
    }

    /// Records at a service's endpoints whether all VMs know their software versions, if that may have changed;
    /// returns whether it is so for each of them.
    ///
    /// The only version of a service is never mistaken for another one.
    pub fn settle_software(&mut self, service: &str, now: Moment) -> bool {
        if let Some(due_at) = self.settle_due.get(service)
            && now < *due_at
        {
            return *due_at == Moment::NEVER;
        }
        let id = short_digest(service);
        let mut listed: HashMap<Arc<str>, u64> = HashMap::new();
        for (_, row) in self.rows_of(service) {
            if !listed.contains_key(&row.entry.version) {
                listed.insert(Arc::clone(&row.entry.version), short_digest(&row.entry.version));
            }
        }
        let record = &mut self.software_history.record;
        let known: BTreeSet<u64> = listed.values().copied().chain(record.versions_of(id)).collect();
        let key_of = |software| SoftwareKey { service: id, software };
        if let (Some(software), 1) = (known.first(), known.len()) {
            record.record_sole(key_of(*software));
        }
        let settled_at = |software| record.settled_at(key_of(software));
        let settled: HashMap<Arc<str>, Moment> =
            listed.iter().map(|(version, software)| (Arc::clone(version), settled_at(*software))).collect();
        let due_at = settled.values().filter(|at| now < **at).min().copied();
        for key in self.keys_by_service.get(service).into_iter().flatten() {
            if let Some(row) = self.rows.get_mut(key) {
                let is_settled = settled.get(&row.entry.version).is_some_and(|at| now >= *at);
                row.software_state =
                    if is_settled { SoftwareState::Settled } else { SoftwareState::Unsettled };
            }
        }
        // A version without a record gets one, which is a change.
        let next_at = match due_at {
            None => Moment::NEVER,
            Some(at) => at.min(now.after_millis(MAX_SETTLE_INTERVAL_MILLIS)),
        };
        self.settle_due.insert(service.to_owned(), next_at);
        due_at.is_none()
    }

    /// Returns the software versions of the listed endpoints of some services.
    pub fn listed_software<'a>(&self, services: impl Iterator<Item = &'a str>) -> BTreeSet<SoftwareKey> {
        let versions = services.flat_map(|name| {
            let service = short_digest(name);
            let rows = self.rows_of(name);
            rows.map(move |(_, row)| SoftwareKey { service, software: short_digest(&row.entry.version) })
        });
        versions.collect()
    }

    /// Whether this VM has followed the services for longer than any stream lasts.
    pub fn has_followed_software_long(&self, now: Moment) -> bool {
        self.software_history.has_followed_long(now)
    }

    /// Describes the software versions of a service's listed endpoints, with their numbers, for log lines.
    pub fn describe_software(&self, service: &str) -> String {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for (_, row) in self.rows_of(service) {
            *counts.entry(&row.entry.version).or_default() += 1;
        }
        let texts: Vec<_> = counts.iter().map(|(version, count)| format!("{version}: {count}")).collect();
        texts.join(", ")
    }

    /// Whether an endpoint of the version that began a stream takes work, now or after a backoff.
    pub fn has_software(&self, service: &str, origin: &StreamOrigin, now: Moment) -> bool {
        let mut rows = self.rows_of(service).filter(|(_, row)| row.takes_work(now));
        rows.any(|(_, row)| short_digest(&row.entry.version) == origin.software)
    }

    /// Marks the endpoints of all versions but the current one departed.
    ///
    /// They are stopped, and do not announce their departure themselves.
    pub fn mark_other_versions_departed(&mut self, service: &str, version: &str) {
        let rows = self.rows.values_mut().filter(|row| row.entry.service == *service);
        for row in rows.filter(|row| *row.entry.version != *version) {
            row.has_departed = true;
        }
    }
}
