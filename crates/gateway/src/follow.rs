//! Follows the platform's store: configuration, endpoints, weight targets, VMs.
//!
//! Invariant: a listing is complete before its watch begins at the listing's lowest revision, and
//! no key's older revision replaces a newer one, so a change told twice or late does no harm.

use crate::call_link::CallLink;
use crate::gateway::Gateway;
use crate::gateway_metrics::KindLabel;
use crate::lease_keeper::{ORDERS_KEY, VM_PREFIX};
use crate::peer_message::PeerKey;
use crate::weight_desk::HolderRecord;
use crate::{EndpointKey, RouteTable, StoreEvent, StoreItem, StoreRefusal, StoreTransaction, VmEntry};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Prefix of all keys of this system.
const OWN_PREFIX: &str = "spanfold/";
/// Key of the secret that authenticates messages between VMs; it stays as long as the deployment.
const PEER_KEY_KEY: &str = "spanfold/peer-key";

/// How long a watch waits for changes, in milliseconds; each is priced. A cut that says nothing is
/// noticed after this and the margin below: within the three seconds after its end in which a VM
/// need not know of changes (the users' pages).
const WATCH_MILLIS: u64 = 2_300;
/// An answer to a watch that comes later than this after its time is not waited for.
const WATCH_MARGIN: Duration = Duration::from_millis(600);
/// A listing that takes longer has failed.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a watch that brought changes: one call then brings a burst of them.
const GATHER_PAUSE: Duration = Duration::from_millis(250);
/// First pause after a failed call, doubled with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed calls.
const RETRY_PAUSE_MOST: Duration = Duration::from_millis(800);
/// Failed calls in a row after which the store counts as having been away.
const AWAY_FAILURES: u32 = 2;

/// What the tasks that order engines need to know of the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct OrdersView {
    /// The holder's record and its revision; none if the key is absent.
    pub holder: Option<(HolderRecord, u64)>,
}

/// Follows the store until the process ends.
pub(crate) async fn follow_store(gateway: Arc<Gateway>, orders: watch::Sender<OrdersView>) {
    let mut follower = StoreFollower {
        link: CallLink::new(gateway.settings.store),
        gateway,
        orders,
        revisions: HashMap::new(),
        failures: 0,
    };
    loop {
        let Some(mut revision) = follower.list_all().await else { continue };
        let mut watches = 0;
        while let Some(next) = follower.watch_once(revision).await {
            revision = next;
            follower.offer_peer_key(watches).await;
            watches += 1;
        }
    }
}

struct StoreFollower {
    gateway: Arc<Gateway>,
    link: CallLink,
    orders: watch::Sender<OrdersView>,
    revisions: HashMap<String, u64>,
    failures: u32,
}

impl StoreFollower {
    /// Lists everything; gives the revision to watch from.
    async fn list_all(&mut self) -> Option<u64> {
        let keys = self.gateway.dialect.keys;
        let mut lowest = u64::MAX;
        let mut listed = Vec::new();
        for prefix in [keys.configuration, keys.weights, keys.endpoints, OWN_PREFIX] {
            let mut after: Option<String> = None;
            loop {
                let call = (self.gateway.dialect.store.range)(prefix, after.as_deref());
                let read = self.gateway.dialect.store.read_range;
                let page = self.call("list", &call, Instant::now() + LIST_TIMEOUT, read).await?;
                let page = page.ok()?;
                lowest = lowest.min(page.revision);
                after = page.items.last().map(|item| item.key.clone());
                listed.extend(page.items);
                if !page.more {
                    break;
                }
            }
        }
        let present: HashSet<String> = listed.iter().map(|item| item.key.clone()).collect();
        self.note_absent(&present);
        for item in listed {
            self.written(&item);
        }
        Some(lowest)
    }

    /// Writes a peer key if the store holds none: the first VMs of a deployment do, and the first
    /// of their writes stands.
    ///
    /// One VM after the other does so, in the order of their names, for as long as none is told.
    async fn offer_peer_key(&mut self, watches: usize) {
        if self.revisions.contains_key(PEER_KEY_KEY) || self.gateway.peers().own_rank() > watches {
            return;
        }
        let offer = StoreTransaction {
            conditions: vec![(PEER_KEY_KEY.to_owned(), 0)],
            writes: vec![(PEER_KEY_KEY.to_owned(), rand::random::<PeerKey>().to_vec(), 0)],
            removals: Vec::new(),
        };
        let dialect = self.gateway.dialect.store;
        let deadline = Instant::now() + LIST_TIMEOUT;
        match self.call("write", &(dialect.transact)(&offer), deadline, dialect.read_transact).await {
            Some(Ok(revision)) => log::info!(revision; "peer_key.offered"),
            // Another VM was first, or nothing was done: the watch tells, or the next listing offers again.
            Some(Err(error)) => log::info!(cause:% = error; "peer_key.not_taken"),
            None => {}
        }
    }

    /// Waits for changes once; none if everything must be listed anew.
    async fn watch_once(&mut self, revision: u64) -> Option<u64> {
        let call = (self.gateway.dialect.store.watch)("", revision, WATCH_MILLIS);
        let deadline = Instant::now() + Duration::from_millis(WATCH_MILLIS) + WATCH_MARGIN;
        let read = self.gateway.dialect.store.read_watch;
        let page = match self.call("watch", &call, deadline, read).await {
            None => return Some(revision),
            Some(Ok(page)) => page,
            Some(Err(error)) => {
                log::warn!(cause:% = error, revision; "watch.relist");
                return None;
            }
        };
        let changed = !page.events.is_empty();
        for event in page.events {
            match event {
                StoreEvent::Written(item) => self.written(&item),
                StoreEvent::Removed { key, revision } => self.removed(&key, revision),
            }
        }
        if changed {
            tokio::time::sleep(GATHER_PAUSE).await;
        }
        Some(page.revision.max(revision))
    }

    /// Makes one call. None: it failed and a pause was made; an error: it must not be repeated as is.
    async fn call<T>(
        &mut self,
        kind: &str,
        call: &crate::WireCall,
        deadline: Instant,
        read: crate::StoreDecoder<T>,
    ) -> Option<Result<T, StoreRefusal>> {
        self.gateway.metrics.store_calls.get_or_create(&KindLabel::new(kind)).inc();
        let cause = match self.link.call(call, deadline).await {
            Ok((status, body)) => match read(status, &body) {
                Err(StoreRefusal::NotDone(status)) => format!("status {status}"),
                Err(error) => return Some(Err(error)),
                Ok(value) => {
                    self.note_answer();
                    return Some(Ok(value));
                }
            },
            Err(error) => error.to_string(),
        };
        self.failures += 1;
        self.gateway.note_store_trouble();
        if self.failures == AWAY_FAILURES {
            log::warn!(dependency = "store", call = kind, cause = cause.as_str(); "dependency.lost");
        }
        let pause = RETRY_PAUSE * (1 << self.failures.min(4));
        tokio::time::sleep(pause.min(RETRY_PAUSE_MOST)).await;
        None
    }

    fn note_answer(&mut self) {
        if self.failures >= AWAY_FAILURES {
            self.gateway.note_store_trouble();
            log::info!(dependency = "store", failures = self.failures; "dependency.regained");
        }
        self.failures = 0;
    }

    fn note_absent(&mut self, present: &HashSet<String>) {
        let prefix = self.gateway.dialect.keys.endpoints;
        let listed = present.iter().filter_map(|key| key.strip_prefix(prefix));
        let listed: HashSet<_> = listed.map(EndpointKey::of).collect();
        let held_until = self.gateway.hold_until();
        let missing = self.gateway.table().miss_all_but(&listed, held_until);
        for id in missing {
            log::info!(endpoint = id.as_str(), source = "list", held_until:% = held_until; "endpoint.missing");
        }
        let gone: Vec<_> = self.revisions.keys().filter(|key| !present.contains(*key)).cloned().collect();
        for key in gone {
            self.revisions.remove(&key);
            if let Some(name) = key.strip_prefix(VM_PREFIX) {
                self.gateway.peers().unlist(name, self.gateway.now());
            } else if key == ORDERS_KEY {
                self.orders.send_replace(OrdersView::default());
            }
        }
    }

    fn written(&mut self, item: &StoreItem) {
        if self.revisions.get(&item.key).is_some_and(|known| *known >= item.revision) {
            return;
        }
        self.revisions.insert(item.key.clone(), item.revision);
        let keys = self.gateway.dialect.keys;
        if item.key == keys.configuration {
            self.configuration_written(item);
        } else if let Some(id) = item.key.strip_prefix(keys.endpoints) {
            self.endpoint_written(id, item);
        } else if item.key.starts_with(keys.weights) {
            self.weights_written(item);
        } else if item.key.starts_with(VM_PREFIX) {
            match serde_json::from_slice::<VmEntry>(&item.value) {
                Ok(entry) => self.gateway.peers().list(entry),
                Err(error) => log::error!(key = item.key.as_str(), cause:% = error; "vm.unreadable"),
            }
        } else if item.key == PEER_KEY_KEY {
            match item.value.as_slice().try_into() {
                Ok(key) => self.gateway.set_peer_key(key),
                Err(_) => log::error!(bytes = item.value.len(); "peer_key.unreadable"),
            }
        } else if item.key == ORDERS_KEY {
            match serde_json::from_slice(&item.value) {
                Ok(record) => {
                    self.orders.send_replace(OrdersView { holder: Some((record, item.revision)) });
                }
                Err(error) => log::error!(key = item.key.as_str(), cause:% = error; "holder.unreadable"),
            }
        }
    }

    fn configuration_written(&self, item: &StoreItem) {
        match (self.gateway.dialect.decode.configuration)(&item.value) {
            Ok(config) => {
                let version = config.version;
                let (routes, accounts) = (config.routes.len(), config.accounts.len());
                if self.gateway.set_routes(RouteTable::new(config)) {
                    self.gateway.metrics.configuration_version.set(version as i64);
                    log::info!(version, routes, accounts, revision = item.revision; "configuration.in_force");
                }
            }
            Err(faults) => {
                let faults = faults.join("; ");
                log::error!(revision = item.revision, faults = faults.as_str(); "configuration.rejected");
            }
        }
    }

    fn endpoint_written(&self, id: &str, item: &StoreItem) {
        match (self.gateway.dialect.decode.endpoint)(id, &item.value) {
            Ok(entry) => {
                let (service, draining) = (entry.service.clone(), entry.draining);
                let address = entry.address.to_string();
                if self.gateway.table().apply_entry(entry) {
                    let (service, address) = (service.as_str(), address.as_str());
                    log::info!(endpoint = id, service, address, draining, revision = item.revision; "endpoint.entry");
                }
            }
            Err(fault) => log::error!(endpoint = id, cause = fault.as_str(); "endpoint.unreadable"),
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

    fn removed(&mut self, key: &str, revision: u64) {
        if self.revisions.get(key).is_some_and(|known| *known >= revision) {
            return;
        }
        self.revisions.remove(key);
        let now = self.gateway.now();
        if let Some(id) = key.strip_prefix(self.gateway.dialect.keys.endpoints) {
            let held_until = self.gateway.hold_until();
            self.gateway.table().miss_entry(id, held_until);
            log::info!(endpoint = id, source = "watch", held_until:% = held_until; "endpoint.missing");
        } else if let Some(name) = key.strip_prefix(VM_PREFIX) {
            self.gateway.peers().unlist(name, now);
            log::info!(vm = name; "vm.unlisted");
        } else if key == ORDERS_KEY {
            self.orders.send_replace(OrdersView::default());
        }
    }
}
