//! Keeps the store's record of the software versions that can have begun streams.
//!
//! A version is written when its first endpoint is listed, and under a lease once its last one is gone. That
//! costs calls at a change of versions and none for a stream.

use crate::gateway::Gateway;
use crate::orders::publication_task::to_json;
use crate::store::store_link::StoreLink;
use crate::store::write_turn::WriteTurn;
use crate::streams::resumption::RETURN_WINDOW_MILLIS;
use crate::{SoftwareKey, StorePosition, StoreTransaction, StoredSoftware, UnstoredSoftware, short_digest};
use spanfold_entity::Moment;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Prefix of the record's keys; the digests of the service's name and of the version follow.
pub(crate) const SOFTWARE_PREFIX: &str = "spanfold/software/";
/// Key that exists if every version that can have begun a stream is recorded.
pub(crate) const COMPLETE_KEY: &str = "spanfold/software/complete";

/// Interval between checks. A stream whose version has not been recorded is refused less surely if all VMs
/// that know it end.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay after a failed call: calls are priced, refused ones too.
const RETRY_DELAY: Duration = Duration::from_millis(800);
/// Time for which a version has no endpoint before its record gets a lease, in milliseconds: endpoints that
/// crash are soon replaced.
const GONE_DELAY_MILLIS: u64 = 3_000;
/// Added to the lifetime of a record under a lease, in milliseconds.
const LIFETIME_MARGIN_MILLIS: u64 = 1_000;
/// Longest lifetime that a store grants, in milliseconds (specified).
const MAX_LIFETIME_MILLIS: u64 = 600_000;
/// Most items that one transaction writes; a store takes 32.
const MAX_WRITES: usize = 30;

/// Parses a record's key without its prefix; none if it is of another form.
pub(crate) fn parse_software_key(text: &str) -> Option<SoftwareKey> {
    let (service, software) = text.split_once('/')?;
    let digest = |text| u64::from_str_radix(text, 16).ok();
    Some(SoftwareKey { service: digest(service)?, software: digest(software)? })
}

fn software_key_text(key: SoftwareKey) -> String {
    format!("{SOFTWARE_PREFIX}{:016x}/{:016x}", key.service, key.software)
}

impl Gateway {
    /// Whether all VMs know the software versions of a service's endpoints; false before the store was listed.
    pub(crate) fn settle_software(&self, service: &str) -> bool {
        // A part of a listing may lack versions.
        let is_listed = self.applied_position() != StorePosition::default();
        is_listed && self.table().settle_software(service, self.now())
    }
}

/// Writes what the record lacks, until the process ends.
pub(crate) async fn record_software(gateway: Arc<Gateway>) {
    let mut writer = SoftwareWriter {
        link: StoreLink::new(&gateway, "software"),
        gateway,
        turn: WriteTurn::default(),
        gone_since: BTreeMap::new(),
    };
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        if !writer.write_missing().await {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

struct SoftwareWriter {
    gateway: Arc<Gateway>,
    link: StoreLink,
    turn: WriteTurn,
    /// Since when a recorded version has had no endpoint.
    gone_since: BTreeMap<SoftwareKey, Moment>,
}

impl SoftwareWriter {
    /// Writes what is missing, if it is this VM's turn; false if a call failed.
    async fn write_missing(&mut self) -> bool {
        let now = self.gateway.now();
        let lifetimes = self.stream_lifetimes();
        for service in lifetimes.keys() {
            self.gateway.settle_software(service);
        }
        let is_current = self.gateway.list_membership().is_list_current(now);
        let is_listed = self.gateway.applied_position() != StorePosition::default();
        if !is_current || !is_listed || self.gateway.is_stopping() {
            self.gone_since.clear();
            return true;
        }
        let (mut unstored, completes) = {
            let table = self.gateway.table();
            let listed = table.listed_software(lifetimes.keys().map(String::as_str));
            let has_followed_long = table.has_followed_software_long(now);
            let record = table.software_record();
            (record.unstored(&listed, now), has_followed_long && !record.is_complete())
        };
        self.retain_long_gone(&mut unstored, now);
        let is_missing = completes || unstored != UnstoredSoftware::default();
        if !self.turn.is_due(&self.gateway, is_missing) {
            return true;
        }
        let is_listed_written = unstored.listed.is_empty() && !completes
            || self.write(&unstored.listed, 0, false, completes).await;
        let is_settled_written =
            unstored.settled.is_empty() || self.write(&unstored.settled, 0, true, false).await;
        is_listed_written && is_settled_written && self.write_gone(&unstored.gone, &lifetimes).await
    }

    /// Returns how long a stream of each service with resumable streams may go on, in milliseconds.
    fn stream_lifetimes(&self) -> BTreeMap<String, u64> {
        let Some(routes) = self.gateway.routes() else { return BTreeMap::new() };
        let mut lifetimes = BTreeMap::new();
        for route in routes.config().routes.iter().filter(|route| route.resumable) {
            for target in &route.targets {
                let millis = route.timeout_millis + RETURN_WINDOW_MILLIS + LIFETIME_MARGIN_MILLIS;
                let longest = lifetimes.entry(target.service.clone()).or_insert(millis);
                *longest = millis.max(*longest);
            }
        }
        lifetimes
    }

    /// Leaves versions out that have not been gone for long.
    fn retain_long_gone(&mut self, unstored: &mut UnstoredSoftware, now: Moment) {
        let gone: BTreeSet<_> = unstored.gone.iter().copied().collect();
        self.gone_since.retain(|key, _| gone.contains(key));
        unstored
            .gone
            .retain(|key| now >= self.gone_since.entry(*key).or_insert(now).after_millis(GONE_DELAY_MILLIS));
    }

    /// Records versions whose endpoints are gone, under a lease for each service.
    async fn write_gone(&mut self, gone: &[SoftwareKey], lifetimes: &BTreeMap<String, u64>) -> bool {
        let longest = lifetimes.values().copied().max().unwrap_or(MAX_LIFETIME_MILLIS);
        let services: BTreeSet<_> = gone.iter().map(|key| key.service).collect();
        for service in services {
            let lifetime = lifetimes.iter().find(|(name, _)| short_digest(name) == service);
            let millis = lifetime.map_or(longest, |(_, millis)| *millis).min(MAX_LIFETIME_MILLIS);
            let dialect = self.gateway.dialect.store;
            let call = (dialect.grant)(millis);
            let Some(Ok(grant)) = self.link.call("grant", &call, dialect.decode_grant).await else {
                return false;
            };
            let keys: Vec<_> = gone.iter().filter(|key| key.service == service).copied().collect();
            if !self.write(&keys, grant.lease, false, false).await {
                return false;
            }
        }
        true
    }

    /// Writes records, under a lease unless it is zero; `settles` if all VMs know the versions.
    async fn write(&mut self, keys: &[SoftwareKey], lease: u64, settles: bool, completes: bool) -> bool {
        let is_ending = lease != 0;
        let keys = &keys[..keys.len().min(MAX_WRITES)];
        let stored: Vec<_> = {
            let table = self.gateway.table();
            let is_settled = |key| settles || table.software_record().is_settled(key);
            keys.iter()
                .map(|key| (*key, StoredSoftware { is_ending, is_settled: is_settled(*key) }))
                .collect()
        };
        let mut writes: Vec<_> =
            stored.iter().map(|(key, stored)| (software_key_text(*key), to_json(stored), lease)).collect();
        if completes {
            writes.push((COMPLETE_KEY.to_owned(), to_json(&true), 0));
        }
        let write = StoreTransaction { writes, ..StoreTransaction::default() };
        let dialect = self.gateway.dialect.store;
        let call = (dialect.transact)(&write);
        let Some(Ok(position)) = self.link.call("write", &call, dialect.decode_transact).await else {
            return false;
        };
        log::info!(versions = keys.len(), is_ending, settles, completes, position:%; "software.recorded");
        let now = self.gateway.now();
        let mut table = self.gateway.table();
        let record = table.software_record_mut();
        for (key, stored) in stored {
            record.record_stored(key, stored, now);
        }
        if completes {
            record.set_complete(true);
        }
        true
    }
}
