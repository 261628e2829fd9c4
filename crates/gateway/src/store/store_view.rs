//! Applies the store's items: configuration, endpoints, weight targets, VMs, the holder of the right to
//! order.
//!
//! Invariant: an older change of a key never replaces a newer one, so a change that arrives twice or late
//! does no harm. Changes are ordered by era and revision: a store restored from a backup assigns revisions
//! again.

use crate::LeaseHolder;
use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use crate::orders::publication_task::{PUBLICATION_PREFIX, PublicationKey};
use crate::quarantine::quarantine_task::QUARANTINE_PREFIX;
use crate::quarantine::stored_quarantine::StoredQuarantine;
use crate::rollout::RECORD_PREFIX;
use crate::store::lease_keeper::{CANDIDATE_LEASE_MILLIS, ORDERS_KEY, VM_PREFIX};
use crate::streams::software_task::{COMPLETE_KEY, SOFTWARE_PREFIX, parse_software_key};
use crate::{
    EndpointCrash, EndpointEntry, EndpointSnapshot, EntryError, PublicationRecord, RouteTable, StoreEvent,
    StoreItem, StorePosition, StoredSoftware, SuspectKey, VmEntry, WeightTarget, short_digest,
};
use spanfold_entity::{MICROS_PER_MILLI, MICROS_PER_SECOND, Moment};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// Key of the secret that authenticates messages between VMs; it lasts as long as the deployment.
pub(crate) const PEER_KEY_KEY: &str = "spanfold/peer-key";

/// Time between an endpoint's crash and the removal of its entry, in microseconds: three heartbeats of 1.2 s.
const ENTRY_EXPIRY_DELAY_MICROS: u64 = 3_400_000;

/// An evacuation that a restored store lacks continues for this long, in milliseconds. The operator writes it
/// again, as endpoints write their entries within some two seconds.
const EVACUATION_GRACE_MILLIS: u64 = 5_000;

/// Longest time between a change and its arrival here while the store works, in milliseconds.
const MAX_READ_DELAY_MILLIS: u64 = 1_000;

/// Largest lead of an endpoint's start time over this VM's wall clock, in milliseconds: clocks step by
/// seconds. A start beyond it would count as the newest as long as the deployment lives.
const MAX_START_LEAD_MILLIS: u64 = 60_000;

/// The store's state that the tasks ordering engines use.
#[derive(Clone, Debug, Default)]
pub(crate) struct OrdersView {
    /// The holder and the position at which it was written; none if the key is absent.
    pub holder: Option<(LeaseHolder, StorePosition)>,
}

/// From this many changes together on, endpoints are logged in one line: each line takes as long as the
/// change itself.
const MIN_BULK_CHANGES: usize = 64;

/// Record of a key.
#[derive(Clone, Copy, Debug)]
struct KeyRecord {
    /// Position of its last change.
    position: StorePosition,
    /// The last listing that contained it.
    listing: u32,
}

/// Largest sum of the changes that a listing collects, in bytes. Above it, other VMs list the store too.
const MAX_LISTED_CHANGE_BYTES: usize = 4 << 20;

/// Progress of a listing.
#[derive(Debug, Default)]
pub(crate) struct StoreListing {
    /// The configuration, which is applied at the end.
    configuration: Option<StoreItem>,
    /// What changed since the view's last position; none if that is not known.
    changes: Option<Vec<StoreEvent>>,
    change_bytes: usize,
    began_at: Moment,
}

impl StoreListing {
    fn record_change(&mut self, event: StoreEvent) {
        let Some(changes) = &mut self.changes else { return };
        self.change_bytes += event.size();
        changes.push(event);
        if self.change_bytes > MAX_LISTED_CHANGE_BYTES {
            self.changes = None;
        }
    }
}

/// The store's items as far as this VM has applied them.
#[derive(Debug)]
pub(crate) struct StoreView {
    gateway: Arc<Gateway>,
    orders: watch::Sender<OrdersView>,
    /// The last change of each key.
    keys: HashMap<String, KeyRecord>,
    /// Number of the listing under way, or of the last one.
    listing: u32,
    /// Whether many changes are being applied together.
    is_bulk: bool,
    /// Endpoints changed by these.
    bulk_count: usize,
    /// Endpoints whose entries these removed.
    bulk_missing_count: usize,
    /// Position at which the configuration in force was written.
    configuration_at: StorePosition,
    /// When the store last confirmed that the view is current.
    pub confirmed_at: Moment,
    /// Publications in the first listing.
    listed_weights: Vec<(WeightTarget, StorePosition)>,
}

impl StoreView {
    pub(crate) fn new(gateway: Arc<Gateway>, orders: watch::Sender<OrdersView>) -> Self {
        Self {
            gateway,
            orders,
            keys: HashMap::new(),
            listing: 0,
            is_bulk: false,
            bulk_count: 0,
            bulk_missing_count: 0,
            configuration_at: StorePosition::default(),
            confirmed_at: Moment(0),
            listed_weights: Vec::new(),
        }
    }

    pub(crate) fn contains_key(&self, key: &str) -> bool {
        self.keys.contains_key(key)
    }

    /// Whether a change need not be propagated because a later configuration is in force.
    ///
    /// A later configuration that was refused supersedes nothing.
    pub(crate) fn is_superseded(&self, event: &StoreEvent) -> bool {
        event.key() == self.gateway.dialect.keys.configuration && event.position() < self.configuration_at
    }

    /// Begins a listing, which is applied page by page: thousands of items at once take more memory than all
    /// that is retained of them. If the view `is_current` up to a position of the store's present era, the
    /// changes since then are collected.
    pub(crate) fn begin_listing(&mut self, is_current: bool) -> StoreListing {
        self.listing += 1;
        let began_at = self.gateway.now();
        StoreListing { changes: is_current.then(Vec::new), began_at, ..StoreListing::default() }
    }

    /// Logs how many endpoints a bulk of changes affected, in place of a line for each.
    fn end_bulk(&mut self, source: &str) {
        self.is_bulk = false;
        let (endpoints, missing) =
            (std::mem::take(&mut self.bulk_count), std::mem::take(&mut self.bulk_missing_count));
        if endpoints > 0 || missing > 0 {
            let late_ms = self.gateway.now().micros_since(self.confirmed_at) / MICROS_PER_MILLI;
            log::info!(endpoints, missing, late_ms, source; "endpoint.entries");
        }
    }

    /// Applies a page of a listing. The configuration is applied at the end: requests are served once it is
    /// in force, and all else is recorded by then.
    pub(crate) fn apply_page(&mut self, page: Vec<StoreItem>, listing: &mut StoreListing) {
        self.is_bulk = page.len() >= MIN_BULK_CHANGES;
        for item in page {
            if item.key == self.gateway.dialect.keys.configuration {
                if let Some(record) = self.keys.get_mut(&item.key) {
                    record.listing = self.listing;
                }
                listing.configuration = Some(item);
            } else if self.apply_written(&item) {
                listing.record_change(StoreEvent::Written(item));
            }
        }
        self.end_bulk("list");
    }

    /// Applies another VM's snapshot of all endpoints, which counts as listed up to its position.
    pub(crate) fn apply_snapshot(&mut self, snapshot: EndpointSnapshot, listing: &mut StoreListing) {
        listing.changes = None;
        let prefix = self.gateway.dialect.keys.endpoints;
        let position = snapshot.position;
        self.is_bulk = snapshot.entries.len() >= MIN_BULK_CHANGES;
        for entry in snapshot.entries {
            if self.record_key(&format!("{prefix}{}", entry.id), position) {
                self.apply_endpoint_entry(entry, position);
            }
        }
        for id in snapshot.unreadable {
            if self.record_key(&format!("{prefix}{id}"), position) {
                self.record_unreadable_endpoint(
                    &id,
                    &EntryError::Bytes("another VM could not read it".to_owned()),
                );
            }
        }
        self.end_bulk("another VM");
    }

    /// Records that a key is listed and was written at `position`; returns whether that is a change.
    fn record_key(&mut self, key: &str, position: StorePosition) -> bool {
        let record = KeyRecord { position, listing: self.listing };
        match self.keys.get_mut(key) {
            Some(earlier) if earlier.position >= position => {
                earlier.listing = self.listing;
                false
            }
            Some(earlier) => {
                *earlier = record;
                true
            }
            None => {
                self.keys.insert(key.to_owned(), record);
                true
            }
        }
    }

    /// Ends a whole listing at `position`: keys that it didn't contain are removed.
    ///
    /// Returns what changed since the view's last position, if that is known.
    pub(crate) fn finish_listing(
        &mut self,
        mut listing: StoreListing,
        position: StorePosition,
    ) -> Option<Vec<StoreEvent>> {
        let missing = self.keys.iter().filter(|(_, record)| record.listing != self.listing);
        let missing: Vec<_> = missing.map(|(key, _)| key.clone()).collect();
        self.is_bulk = missing.len() >= MIN_BULK_CHANGES;
        for key in missing {
            self.apply_removed(&key, position, "list", listing.began_at);
            listing.record_change(StoreEvent::Removed { key, position });
        }
        self.end_bulk("list");
        if let Some(item) = listing.configuration.take()
            && self.apply_written(&item)
        {
            listing.record_change(StoreEvent::Written(item));
        }
        self.bound_listed_weights();
        listing.changes
    }

    /// Bounds the ages of publications in the first listing.
    ///
    /// The holder's key outlasts its VM by its lease. A publication that was written after the key and has no
    /// mark was made when that VM was about to stop, or later.
    fn bound_listed_weights(&mut self) {
        let holder = self.keys.get(ORDERS_KEY).map(|record| record.position);
        for (target, position) in std::mem::take(&mut self.listed_weights) {
            if holder.is_some_and(|holder| holder < position) {
                self.gateway.bound_publication(&target, CANDIDATE_LEASE_MILLIS + MAX_READ_DELAY_MILLIS);
            }
        }
    }

    /// Applies changes that `source` reported.
    pub(crate) fn apply_all(&mut self, events: &[StoreEvent], source: &str) {
        self.is_bulk = events.len() >= MIN_BULK_CHANGES;
        for event in events {
            match event {
                StoreEvent::Written(item) => {
                    self.apply_written(item);
                }
                StoreEvent::Removed { key, position } => {
                    self.apply_removed(key, *position, source, self.gateway.now());
                }
            }
        }
        self.end_bulk(source);
    }

    /// Applies an item; returns whether it is newer than what is known of its key.
    fn apply_written(&mut self, item: &StoreItem) -> bool {
        if !self.record_key(&item.key, item.position) {
            return false;
        }
        let keys = self.gateway.dialect.keys;
        if item.key == keys.configuration {
            self.apply_configuration(item);
        } else if let Some(id) = item.key.strip_prefix(keys.endpoints) {
            self.apply_endpoint(id, item);
        } else if item.key.starts_with(keys.weights) {
            self.apply_weights(item);
        } else if let Some(key) = item.key.strip_prefix(PUBLICATION_PREFIX).and_then(PublicationKey::parse) {
            self.apply_publication(key, item);
        } else if let Some(data_centre) = item.key.strip_prefix(keys.evacuations) {
            self.apply_evacuation(data_centre, item.position);
        } else if let Some(service) = item.key.strip_prefix(keys.rollouts) {
            self.gateway.apply_rollout_order(service, item);
        } else if item.key.starts_with(RECORD_PREFIX) {
            self.gateway.record_rollout(item);
        } else if let Some(service) = item.key.strip_prefix(keys.rollout_statuses) {
            self.gateway.rollouts().record_status(service, &item.value, item.position);
        } else if item.key == COMPLETE_KEY {
            self.gateway.table().software_record_mut().set_complete(true);
        } else if let Some(key) = item.key.strip_prefix(SOFTWARE_PREFIX).and_then(parse_software_key) {
            match serde_json::from_slice::<StoredSoftware>(&item.value) {
                Ok(stored) => {
                    let now = self.gateway.now();
                    self.gateway.table().software_record_mut().record_stored(key, stored, now);
                }
                Err(error) => log::error!(key = item.key.as_str(), cause:% = error; "software.unreadable"),
            }
        } else if item.key.starts_with(VM_PREFIX) {
            match serde_json::from_slice::<VmEntry>(&item.value) {
                Ok(entry) => self.gateway.peers().list_at(entry, self.gateway.now()),
                Err(error) => log::error!(key = item.key.as_str(), cause:% = error; "vm.unreadable"),
            }
        } else if let Some(digest) = item.key.strip_prefix(QUARANTINE_PREFIX) {
            self.apply_quarantine(digest, item);
        } else if item.key == PEER_KEY_KEY {
            match item.value.as_slice().try_into() {
                Ok(key) => self.gateway.set_peer_key(key),
                Err(_) => log::error!(bytes = item.value.len(); "peer_key.unreadable"),
            }
        } else if item.key == ORDERS_KEY {
            match serde_json::from_slice(&item.value) {
                Ok(holder) => {
                    self.orders.send_replace(OrdersView { holder: Some((holder, item.position)) });
                }
                Err(error) => log::error!(key = item.key.as_str(), cause:% = error; "holder.unreadable"),
            }
        }
        true
    }

    fn apply_configuration(&mut self, item: &StoreItem) {
        match (self.gateway.dialect.decoders.configuration)(&item.value) {
            Ok(config) => {
                let version = config.version;
                let (routes, accounts) = (config.routes.len(), config.accounts.len());
                let before = self.gateway.routes().map_or(0, |table| table.config().version);
                if self.gateway.set_routes(RouteTable::new(config)) {
                    self.configuration_at = item.position;
                    let metrics = &self.gateway.metrics.configuration;
                    metrics.version.set(version as i64);
                    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                    metrics.since_seconds.set(since_1970.as_secs() as i64);
                    let open = self.gateway.open_requests.load(Ordering::Relaxed);
                    let late_micros = self.gateway.now().micros_since(self.confirmed_at);
                    let late_ms = if before == 0 { 0 } else { late_micros / MICROS_PER_MILLI };
                    if before > 0 {
                        metrics.lateness_seconds.observe(late_micros as f64 / MICROS_PER_SECOND as f64);
                    }
                    log::info!(version, before, routes, accounts, open, late_ms, position:% = item.position;
                        "configuration.in_force");
                }
            }
            Err(faults) => {
                let faults = faults.join("; ");
                log::error!(position:% = item.position, faults = faults.as_str(); "configuration.rejected");
            }
        }
    }

    fn apply_endpoint(&mut self, id: &str, item: &StoreItem) {
        let entry = match self.decode_endpoint(id, &item.value) {
            Ok(entry) => entry,
            Err(fault) => return self.record_unreadable_endpoint(id, &fault),
        };
        self.apply_endpoint_entry(entry, item.position);
    }

    /// Applies a decoded entry.
    fn apply_endpoint_entry(&mut self, entry: EndpointEntry, position: StorePosition) {
        let id = entry.id.clone();
        let id = id.as_str();
        self.gateway.record_entry_version(&entry);
        let (service, draining) = (entry.service.clone(), entry.draining);
        let (key, socket_address) = (entry.key(), entry.address);
        let (is_readable_again, is_changed) = {
            let mut table = self.gateway.table();
            (table.clear_unreadable(id), table.apply_entry(entry, self.gateway.now()))
        };
        if is_readable_again {
            log::info!(endpoint = id, position:%; "endpoint.readable");
        }
        if is_changed && self.is_bulk {
            self.bulk_count += 1;
            self.gateway.record_started_at(socket_address, key);
        } else if is_changed {
            let (service, address) = (service.as_str(), socket_address.to_string());
            let address = address.as_str();
            let late_micros = self.gateway.now().micros_since(self.confirmed_at);
            if draining {
                self.record_departure_lateness(late_micros);
            }
            let late_ms = late_micros / MICROS_PER_MILLI;
            log::info!(endpoint = id, service, address, draining, late_ms, position:%; "endpoint.entry");
            self.gateway.record_started_at(socket_address, key);
        }
    }

    fn record_departure_lateness(&self, micros: u64) {
        let seconds = micros as f64 / MICROS_PER_SECOND as f64;
        self.gateway.metrics.fleet.departure_lateness_seconds.observe(seconds);
    }

    /// Decodes an entry that an endpoint wrote itself; one of another writer is refused.
    fn decode_endpoint(&self, id: &str, value: &[u8]) -> Result<EndpointEntry, EntryError> {
        let entry = (self.gateway.dialect.decoders.endpoint)(id, value)?;
        let latest = wall_clock_millis().saturating_add(MAX_START_LEAD_MILLIS);
        let is_future = entry.born_millis.is_some_and(|born| born > latest);
        if is_future || self.gateway.table().lacks_start_time(&entry) {
            return Err(EntryError::InvalidStart);
        }
        Ok(entry)
    }

    /// Records an entry that names no usable endpoint; logged once, not with each heartbeat.
    fn record_unreadable_endpoint(&self, id: &str, fault: &EntryError) {
        let kind = KindLabel::new(fault.kind());
        self.gateway.metrics.unreadable_entries.get_or_create(&kind).inc();
        if self.gateway.table().set_unreadable(id) {
            log::error!(endpoint = id, cause:% = fault; "endpoint.unreadable");
        }
    }

    /// The entry's value does not matter, only the data centre's name in the key.
    fn apply_evacuation(&self, data_centre: &str, position: StorePosition) {
        let now = self.gateway.now();
        let mut table = self.gateway.table();
        if table.evacuate(data_centre, Moment::NEVER, now) {
            let endpoints = table.rows().filter(|(_, row)| row.entry.data_centre == data_centre).count();
            log::warn!(data_centre, endpoints, position:%; "evacuation.begun");
        }
    }

    fn apply_quarantine(&self, digest: &str, item: &StoreItem) {
        let suspect = digest.parse::<SuspectKey>().map_err(|error| error.to_string());
        let quarantine =
            serde_json::from_slice::<StoredQuarantine>(&item.value).map_err(|error| error.to_string());
        match suspect.and_then(|suspect| Ok((suspect, quarantine?))) {
            Ok((suspect, quarantine)) => self.gateway.apply_stored_quarantine(suspect, &quarantine),
            Err(cause) => {
                log::error!(key = item.key.as_str(), cause = cause.as_str(); "quarantine.unreadable");
            }
        }
    }

    /// Records a crash if an endpoint's entry is removed while the store works and the endpoint had announced
    /// no departure.
    fn record_expired_endpoint(&self, id: &str, now: Moment) {
        let (key, crash) = {
            let table = self.gateway.table();
            let key = table.key_of(id);
            let crash = table.row(key).filter(|row| !row.has_announced_departure()).map(|row| {
                let service = &row.entry.service;
                EndpointCrash {
                    start: key,
                    address_digest: short_digest(&row.entry.address.to_string()),
                    service: short_digest(service),
                    service_size: table.rows_of(service).count() as u32,
                    at: Moment(now.0.saturating_sub(ENTRY_EXPIRY_DELAY_MICROS)),
                }
            });
            (key, crash)
        };
        if let Some(crash) = crash {
            self.gateway.record_vanished_entry(crash);
            self.gateway.confirm_crash(key, "its entry is gone");
        }
    }

    fn apply_weights(&mut self, item: &StoreItem) {
        match (self.gateway.dialect.decoders.weights)(&item.value) {
            Ok(target) => {
                if self.confirmed_at == Moment(0) {
                    self.listed_weights.push((target.clone(), item.position));
                }
                if self.gateway.record_publication(&target, self.earliest_change()) {
                    let late_micros = self.gateway.now().micros_since(self.confirmed_at);
                    let is_listed = self.confirmed_at == Moment(0);
                    if !is_listed {
                        let seconds = late_micros as f64 / MICROS_PER_SECOND as f64;
                        self.gateway.metrics.weights.lateness_seconds.observe(seconds);
                    }
                    let late_ms = if is_listed { 0 } else { late_micros / MICROS_PER_MILLI };
                    log::info!(model = target.model.as_str(), version = target.version, late_ms,
                        at_start = is_listed, position:% = item.position; "weights.named");
                }
            }
            Err(fault) => log::error!(key = item.key.as_str(), cause = fault.as_str(); "weights.unreadable"),
        }
    }

    /// Returns the earliest moment at which a change that is applied now can have been made; none if this VM
    /// did not follow the store then.
    fn earliest_change(&self) -> Option<Moment> {
        let now = self.gateway.now();
        let earliest = Moment(now.0.saturating_sub(MAX_READ_DELAY_MILLIS * MICROS_PER_MILLI));
        (self.confirmed_at != Moment(0)).then(|| self.confirmed_at.max(earliest))
    }

    fn apply_publication(&self, key: PublicationKey, item: &StoreItem) {
        match key {
            PublicationKey::Mark(mark) => self.gateway.record_mark(&mark),
            PublicationKey::Record(model) => match serde_json::from_slice::<PublicationRecord>(&item.value) {
                Ok(record) => self.gateway.record_stored_versions(model, &record.versions),
                Err(error) => log::error!(key = item.key.as_str(), cause:% = error; "publication.unreadable"),
            },
        }
    }

    fn apply_removed(&mut self, key: &str, position: StorePosition, source: &str, read_at: Moment) {
        if self.keys.get(key).is_some_and(|record| record.position >= position) {
            return;
        }
        // What a backup lacks was not removed: it is written again.
        let is_missing_after_restore =
            self.keys.remove(key).is_some_and(|record| record.position.era < position.era);
        let now = self.gateway.now();
        if let Some(id) = key.strip_prefix(self.gateway.dialect.keys.endpoints) {
            let grace_deadline = self.gateway.entry_grace_deadline(read_at);
            self.gateway.table().mark_entry_missing(id, grace_deadline);
            self.gateway.table().clear_unreadable(id);
            if grace_deadline == Moment(0) {
                self.record_expired_endpoint(id, now);
            }
            let late_micros = now.micros_since(self.confirmed_at);
            let served_micros = grace_deadline.micros_since(now);
            self.record_departure_lateness(late_micros + served_micros);
            let (late_ms, served_ms) = (late_micros / MICROS_PER_MILLI, served_micros / MICROS_PER_MILLI);
            let outage = self.gateway.last_outage().filter(|_| served_ms > 0);
            let cause = outage.map_or("removed", |outage| outage.cause());
            if self.is_bulk {
                self.bulk_missing_count += 1;
            } else {
                log::info!(endpoint = id, source, late_ms, served_ms, cause, position:%; "endpoint.missing");
            }
        } else if let Some(data_centre) = key.strip_prefix(self.gateway.dialect.keys.evacuations) {
            if is_missing_after_restore {
                let deadline = now.after_millis(EVACUATION_GRACE_MILLIS);
                self.gateway.table().evacuate(data_centre, deadline, now);
            } else if self.gateway.table().cancel_evacuation(data_centre) {
                log::warn!(data_centre, source; "evacuation.ended");
            }
        } else if let Some(service) = key.strip_prefix(self.gateway.dialect.keys.rollouts) {
            // A rollout that a backup lacks was not withdrawn: it expires.
            if !is_missing_after_restore {
                self.gateway.withdraw_rollout(service);
            }
        } else if let Some(service) = key.strip_prefix(RECORD_PREFIX) {
            self.gateway.rollouts().record_positions.remove(service);
        } else if let Some(service) = key.strip_prefix(self.gateway.dialect.keys.rollout_statuses) {
            self.gateway.rollouts().statuses.remove(service);
        } else if let Some(key) = key.strip_prefix(PUBLICATION_PREFIX).and_then(PublicationKey::parse) {
            match key {
                // A mark that a backup lacks has not ended: it is written again.
                PublicationKey::Mark(_) if is_missing_after_restore => {}
                PublicationKey::Mark(mark) => self.gateway.record_mark_end(mark.model, mark.version),
                PublicationKey::Record(model) => self.gateway.record_stored_versions(model, &[]),
            }
        } else if key == COMPLETE_KEY {
            self.gateway.table().software_record_mut().set_complete(false);
        } else if let Some(key) = key.strip_prefix(SOFTWARE_PREFIX).and_then(parse_software_key) {
            // A version that a backup lacks is written again.
            if !is_missing_after_restore {
                self.gateway.table().software_record_mut().record_removed(key);
            }
        } else if let Some(name) = key.strip_prefix(VM_PREFIX) {
            self.gateway.peers().unlist(name, now);
            log::info!(vm = name; "vm.unlisted");
        } else if key == ORDERS_KEY {
            self.orders.send_replace(OrdersView::default());
        }
    }
}

/// Returns the wall clock's time in milliseconds.
fn wall_clock_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
