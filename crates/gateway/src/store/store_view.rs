//! What the store's items mean: configuration, endpoints, weight targets, VMs, the holder of orders.
//!
//! Invariant: no key's older change replaces a newer one, so a change told twice or late does no harm. In what order
//! changes came is told by era and revision: a store restored from a copy gives out revisions again.

use crate::LeaseHolder;
use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use crate::quarantine::quarantine_desk::StoredHold;
use crate::quarantine::quarantine_task::HOLD_PREFIX;
use crate::rollout::RECORD_PREFIX;
use crate::store::lease_keeper::{ORDERS_KEY, VM_PREFIX};
use crate::{
    EndpointCrash, EndpointEntry, EndpointSnapshot, EntryError, RequestKey, RouteTable, StoreEvent,
    StoreItem, StorePosition, VmEntry, short_digest,
};
use spanfold_entity::Moment;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// Key of the secret that authenticates messages between VMs; it stays as long as the deployment.
pub(crate) const PEER_KEY_KEY: &str = "spanfold/peer-key";

/// An endpoint's entry goes so long after its end, in microseconds: three heartbeats of 1.2 s.
const LAPSE_MICROS: u64 = 3_400_000;

/// An evacuation that a store restored from a copy lacks goes on for so long, in milliseconds: the operator writes it again,
/// as endpoints write their entries within some two seconds.
const RESTORED_MILLIS: u64 = 5_000;

/// A start may lie so far ahead of this VM's time of day, in milliseconds: clocks step by seconds. One beyond it would
/// pass for the newest as long as the deployment lives.
const FUTURE_MILLIS: u64 = 60_000;

/// What the tasks that order engines need to know of the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct OrdersView {
    /// The holder's record and when it was written; none if the key is absent.
    pub holder: Option<(LeaseHolder, StorePosition)>,
}

/// From so many changes together on, endpoints are logged as one line: each line takes as long as the change itself.
const BULK_LEAST: usize = 64;

/// What is known of a key.
#[derive(Clone, Copy, Debug)]
struct KeyRow {
    /// Its last change.
    position: StorePosition,
    /// The last listing that held it.
    listing: u32,
}

/// What a listing leaves for its end.
#[derive(Debug, Default)]
pub(crate) struct StoreListing {
    configuration: Option<StoreItem>,
}

/// The store's items as far as this VM knows them.
#[derive(Debug)]
pub(crate) struct StoreView {
    gateway: Arc<Gateway>,
    orders: watch::Sender<OrdersView>,
    /// Each known key's last change.
    keys: HashMap<String, KeyRow>,
    /// Number of the listing under way, or of the last one.
    listing: u32,
    /// Whether many changes are taken together.
    is_bulk: bool,
    /// Endpoints that these brought.
    bulk_count: usize,
    /// When the configuration in force was written.
    configuration_at: StorePosition,
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
            configuration_at: StorePosition::default(),
        }
    }

    pub(crate) fn holds(&self, key: &str) -> bool {
        self.keys.contains_key(key)
    }

    /// Whether other VMs need not be told of a change: a configuration that came later is in force.
    ///
    /// A later one that was refused supersedes nothing.
    pub(crate) fn is_superseded(&self, event: &StoreEvent) -> bool {
        event.key() == self.gateway.dialect.keys.configuration && event.position() < self.configuration_at
    }

    /// Begins a listing, which is taken page by page: thousands of items at once take more memory than all that is kept of
    /// them.
    pub(crate) fn begin_listing(&mut self) -> StoreListing {
        self.listing += 1;
        StoreListing::default()
    }

    /// Logs how many endpoints many changes brought, in place of a line for each.
    fn end_bulk(&mut self, source: &str) {
        let (is_bulk, endpoints) = (std::mem::take(&mut self.is_bulk), std::mem::take(&mut self.bulk_count));
        if is_bulk && endpoints > 0 {
            log::info!(endpoints, source; "endpoint.entries");
        }
    }

    /// Takes a page of a listing. The configuration waits for the end: requests are served once it is in force, and all else
    /// is known by then.
    pub(crate) fn take_page(&mut self, page: Vec<StoreItem>, listing: &mut StoreListing) {
        self.is_bulk = page.len() >= BULK_LEAST;
        for item in page {
            if item.key == self.gateway.dialect.keys.configuration {
                if let Some(row) = self.keys.get_mut(&item.key) {
                    row.listing = self.listing;
                }
                listing.configuration = Some(item);
            } else {
                self.written(&item);
            }
        }
        self.end_bulk("list");
    }

    /// Takes all endpoints as another VM knows them: that counts as listed up to its position.
    pub(crate) fn take_copy(&mut self, copy: EndpointSnapshot) {
        let prefix = self.gateway.dialect.keys.endpoints;
        let position = copy.position;
        self.is_bulk = copy.entries.len() >= BULK_LEAST;
        for entry in copy.entries {
            if self.note_key(&format!("{prefix}{}", entry.id), position) {
                self.endpoint_known(entry, position);
            }
        }
        for id in copy.unreadable {
            if self.note_key(&format!("{prefix}{id}"), position) {
                self.endpoint_unreadable(&id, &EntryError::Bytes("another VM could not read it".to_owned()));
            }
        }
        self.end_bulk("another VM");
    }

    /// Notes that a key is listed and was written at `position`; whether that is news.
    fn note_key(&mut self, key: &str, position: StorePosition) -> bool {
        let row = KeyRow { position, listing: self.listing };
        match self.keys.get_mut(key) {
            Some(known) if known.position >= position => {
                known.listing = self.listing;
                false
            }
            Some(known) => {
                *known = row;
                true
            }
            None => {
                self.keys.insert(key.to_owned(), row);
                true
            }
        }
    }

    /// Ends a whole listing at `position`: what it did not hold is gone.
    pub(crate) fn end_listing(&mut self, listing: StoreListing, position: StorePosition) {
        let gone = self.keys.iter().filter(|(_, row)| row.listing != self.listing);
        let gone: Vec<_> = gone.map(|(key, _)| key.clone()).collect();
        for key in gone {
            self.removed(&key, position, "list");
        }
        if let Some(item) = listing.configuration {
            self.written(&item);
        }
    }

    /// Takes changes that `source` told.
    pub(crate) fn apply_all(&mut self, events: &[StoreEvent], source: &str) {
        self.is_bulk = events.len() >= BULK_LEAST;
        for event in events {
            match event {
                StoreEvent::Written(item) => self.written(item),
                StoreEvent::Removed { key, position } => self.removed(key, *position, source),
            }
        }
        self.end_bulk(source);
    }

    fn written(&mut self, item: &StoreItem) {
        if !self.note_key(&item.key, item.position) {
            return;
        }
        let keys = self.gateway.dialect.keys;
        if item.key == keys.configuration {
            self.configuration_written(item);
        } else if let Some(id) = item.key.strip_prefix(keys.endpoints) {
            self.endpoint_written(id, item);
        } else if item.key.starts_with(keys.weights) {
            self.weights_written(item);
        } else if let Some(data_centre) = item.key.strip_prefix(keys.evacuations) {
            self.evacuation_written(data_centre, item.position);
        } else if let Some(service) = item.key.strip_prefix(keys.rollouts) {
            self.gateway.order_rollout(service, item);
        } else if item.key.starts_with(RECORD_PREFIX) {
            self.gateway.record_rollout(item);
        } else if let Some(service) = item.key.strip_prefix(keys.rollout_statuses) {
            self.gateway.rollouts().record_status(service, &item.value, item.position);
        } else if item.key.starts_with(VM_PREFIX) {
            match serde_json::from_slice::<VmEntry>(&item.value) {
                Ok(entry) => self.gateway.peers().list_at(entry, self.gateway.now()),
                Err(error) => log::error!(key = item.key.as_str(), cause:% = error; "vm.unreadable"),
            }
        } else if let Some(digest) = item.key.strip_prefix(HOLD_PREFIX) {
            self.hold_written(digest, item);
        } else if item.key == PEER_KEY_KEY {
            match item.value.as_slice().try_into() {
                Ok(key) => self.gateway.set_peer_key(key),
                Err(_) => log::error!(bytes = item.value.len(); "peer_key.unreadable"),
            }
        } else if item.key == ORDERS_KEY {
            match serde_json::from_slice(&item.value) {
                Ok(record) => {
                    self.orders.send_replace(OrdersView { holder: Some((record, item.position)) });
                }
                Err(error) => log::error!(key = item.key.as_str(), cause:% = error; "holder.unreadable"),
            }
        }
    }

    fn configuration_written(&mut self, item: &StoreItem) {
        match (self.gateway.dialect.decode.configuration)(&item.value) {
            Ok(config) => {
                let version = config.version;
                let (routes, accounts) = (config.routes.len(), config.accounts.len());
                if self.gateway.set_routes(RouteTable::new(config)) {
                    self.configuration_at = item.position;
                    self.gateway.metrics.configuration_version.set(version as i64);
                    log::info!(version, routes, accounts, position:% = item.position; "configuration.in_force");
                }
            }
            Err(faults) => {
                let faults = faults.join("; ");
                log::error!(position:% = item.position, faults = faults.as_str(); "configuration.rejected");
            }
        }
    }

    fn endpoint_written(&mut self, id: &str, item: &StoreItem) {
        let entry = match self.read_endpoint(id, &item.value) {
            Ok(entry) => entry,
            Err(fault) => return self.endpoint_unreadable(id, &fault),
        };
        self.endpoint_known(entry, item.position);
    }

    /// Takes an entry that could be read.
    fn endpoint_known(&mut self, entry: EndpointEntry, position: StorePosition) {
        let id = entry.id.clone();
        let id = id.as_str();
        self.gateway.note_version(&entry);
        let (service, draining) = (entry.service.clone(), entry.draining);
        let (key, at) = (entry.key(), entry.address);
        let (is_readable_again, is_changed) = {
            let mut table = self.gateway.table();
            (table.clear_unreadable(id), table.apply_entry(entry, self.gateway.now()))
        };
        if is_readable_again {
            log::info!(endpoint = id, position:%; "endpoint.readable");
        }
        if is_changed && self.is_bulk {
            self.bulk_count += 1;
            self.gateway.note_started_at(at, key);
        } else if is_changed {
            let (service, address) = (service.as_str(), at.to_string());
            let address = address.as_str();
            log::info!(endpoint = id, service, address, draining, position:%; "endpoint.entry");
            self.gateway.note_started_at(at, key);
        }
    }

    /// Reads an entry that an endpoint wrote itself; one of another writer is no such entry.
    fn read_endpoint(&self, id: &str, value: &[u8]) -> Result<EndpointEntry, EntryError> {
        let entry = (self.gateway.dialect.decode.endpoint)(id, value)?;
        let latest = time_of_day_millis().saturating_add(FUTURE_MILLIS);
        let is_future = entry.born_millis.is_some_and(|born| born > latest);
        if is_future || self.gateway.table().lacks_start(&entry) {
            return Err(EntryError::Born);
        }
        Ok(entry)
    }

    /// An entry that names no endpoint to use; told once, not with each heartbeat.
    fn endpoint_unreadable(&self, id: &str, fault: &EntryError) {
        let kind = KindLabel::new(fault.kind());
        self.gateway.metrics.unreadable_entries.get_or_create(&kind).inc();
        if self.gateway.table().set_unreadable(id) {
            log::error!(endpoint = id, cause:% = fault; "endpoint.unreadable");
        }
    }

    /// What the operator writes beside the data centre's name does not matter.
    fn evacuation_written(&self, data_centre: &str, position: StorePosition) {
        let now = self.gateway.now();
        let mut table = self.gateway.table();
        if table.evacuate(data_centre, Moment::NEVER, now) {
            let endpoints = table.rows().filter(|(_, row)| row.entry.data_centre == data_centre).count();
            log::warn!(data_centre, endpoints, position:%; "evacuation.begun");
        }
    }

    fn hold_written(&self, digest: &str, item: &StoreItem) {
        let request = digest.parse::<RequestKey>().map_err(|error| error.to_string());
        let hold = serde_json::from_slice::<StoredHold>(&item.value).map_err(|error| error.to_string());
        match request.and_then(|request| Ok((request, hold?))) {
            Ok((request, hold)) => self.gateway.take_stored_hold(request, &hold),
            Err(cause) => {
                log::error!(key = item.key.as_str(), cause = cause.as_str(); "quarantine.unreadable");
            }
        }
    }

    /// An entry that went while the store was well, of an endpoint that had not said that it leaves: it has ended.
    fn endpoint_lapsed(&self, id: &str, now: Moment) {
        let (key, ending) = {
            let table = self.gateway.table();
            let key = table.key_of(id);
            let ending = table.row(key).filter(|row| !row.has_announced_end()).map(|row| {
                let service = &row.entry.service;
                EndpointCrash {
                    start: key,
                    place: short_digest(&row.entry.address.to_string()),
                    service: short_digest(service),
                    among: table.rows_of(service).count() as u32,
                    at: Moment(now.0.saturating_sub(LAPSE_MICROS)),
                }
            });
            (key, ending)
        };
        if let Some(ending) = ending {
            self.gateway.note_lapsed(ending);
            self.gateway.record_ended(key, "its entry is gone");
        }
    }

    fn weights_written(&self, item: &StoreItem) {
        match (self.gateway.dialect.decode.weights)(&item.value) {
            Ok(target) => {
                if self.gateway.name_weights(&target) {
                    log::info!(model = target.model.as_str(), version = target.version; "weights.named");
                }
            }
            Err(fault) => log::error!(key = item.key.as_str(), cause = fault.as_str(); "weights.unreadable"),
        }
    }

    fn removed(&mut self, key: &str, position: StorePosition, source: &str) {
        if self.keys.get(key).is_some_and(|known| known.position >= position) {
            return;
        }
        // What a copy lacks was not taken away: it is written again.
        let is_lost = self.keys.remove(key).is_some_and(|known| known.position.era < position.era);
        let now = self.gateway.now();
        if let Some(id) = key.strip_prefix(self.gateway.dialect.keys.endpoints) {
            let held_until = self.gateway.hold_until();
            self.gateway.table().mark_entry_missing(id, held_until);
            self.gateway.table().clear_unreadable(id);
            if held_until == Moment(0) {
                self.endpoint_lapsed(id, now);
            }
            log::info!(endpoint = id, source, held_until:% = held_until; "endpoint.missing");
        } else if let Some(data_centre) = key.strip_prefix(self.gateway.dialect.keys.evacuations) {
            if is_lost {
                let until = now.after_millis(RESTORED_MILLIS);
                self.gateway.table().evacuate(data_centre, until, now);
            } else if self.gateway.table().cancel_evacuation(data_centre) {
                log::warn!(data_centre, source; "evacuation.ended");
            }
        } else if let Some(service) = key.strip_prefix(self.gateway.dialect.keys.rollouts) {
            // One that a copy lacks was not taken back: it ends with its time.
            if !is_lost {
                self.gateway.withdraw_rollout(service);
            }
        } else if let Some(service) = key.strip_prefix(RECORD_PREFIX) {
            self.gateway.rollouts().records_at.remove(service);
        } else if let Some(service) = key.strip_prefix(self.gateway.dialect.keys.rollout_statuses) {
            self.gateway.rollouts().statuses.remove(service);
        } else if let Some(name) = key.strip_prefix(VM_PREFIX) {
            self.gateway.peers().unlist(name, now);
            log::info!(vm = name; "vm.unlisted");
        } else if key == ORDERS_KEY {
            self.orders.send_replace(OrdersView::default());
        }
    }
}

/// The time of day in milliseconds.
fn time_of_day_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
