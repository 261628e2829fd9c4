//! Keeps in the platform's store when weights were named, while this VM holds the right to order engines.
//!
//! VMs tell one another for how long a version has been named, but once every VM that knew has ended, the store tells
//! those that start the newest version and not its age. So the one holder writes down each naming's time, and
//! a new holder reads it; the others receive it with the holder's load digests.
//!
//! Invariant: a record is written only over the one that was read, so that what it told before is in it.

use crate::gateway::Gateway;
use crate::orders::order_task::read_report;
use crate::store::lease_keeper::OrderRight;
use crate::store::store_link::StoreLink;
use crate::{EndpointKey, PublicationRecord, StoreItem, StorePosition, StoreTransaction};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Prefix of the records; the digest of the model's name follows.
const NAMED_PREFIX: &str = "spanfold/named/";

/// Pause between looks: a naming that is not yet written down is lost only if all VMs end within it.
const LOOK_PAUSE: Duration = Duration::from_millis(300);
/// Pause after a call that failed: calls are priced, refused ones too.
const FAILURE_PAUSE: Duration = Duration::from_millis(800);

/// A model's record as the store holds it.
#[derive(Debug)]
struct HeldRecord {
    record: PublicationRecord,
    position: StorePosition,
}

/// Keeps the records until the process ends.
pub(crate) async fn keep_namings(gateway: Arc<Gateway>, right: watch::Receiver<OrderRight>) {
    let mut keeper =
        NamingKeeper { link: StoreLink::new(&gateway, "namings"), gateway, era: None, held: None };
    loop {
        let holds = right.borrow().fencing != 0 && !keeper.gateway.is_stopping();
        let pause = if holds {
            keeper.look().await
        } else {
            keeper.held = None;
            LOOK_PAUSE
        };
        tokio::time::sleep(pause).await;
    }
}

struct NamingKeeper {
    gateway: Arc<Gateway>,
    link: StoreLink,
    /// The era of the store that they were read in.
    era: Option<u64>,
    /// The records by model; none until they have been read, or if a write may not have been done.
    held: Option<BTreeMap<u64, HeldRecord>>,
}

impl NamingKeeper {
    /// Reads the records if that is due, and writes what they lack; gives the pause until the next look.
    async fn look(&mut self) -> Duration {
        // Records of an era that is over may be gone, or hold less than they did.
        let era = self.gateway.era.known();
        if self.era != era {
            (self.era, self.held) = (era, None);
        }
        if self.gateway.weights().is_empty() {
            return LOOK_PAUSE;
        }
        if !self.knows_clock().await || !self.read_records().await || !self.write_records().await {
            return FAILURE_PAUSE;
        }
        LOOK_PAUSE
    }

    /// Whether the engines' clock is known; an engine is asked for it if not.
    async fn knows_clock(&self) -> bool {
        if self.gateway.engine_clock_at(self.gateway.now()).is_none()
            && let Some(engine) = self.any_engine()
        {
            read_report(&self.gateway, engine).await;
        }
        self.gateway.engine_clock_at(self.gateway.now()).is_some()
    }

    /// An engine with weights, another one each time: one may be silent.
    fn any_engine(&self) -> Option<EndpointKey> {
        let now = self.gateway.now();
        let table = self.gateway.table();
        let engines = table.rows().filter(|(_, row)| !row.is_departing(now) && !row.entry.weights.is_empty());
        let keys: Vec<_> = engines.map(|(key, _)| key).collect();
        (!keys.is_empty()).then(|| keys[rand::random_range(0..keys.len())])
    }

    /// Reads the records and believes them, unless they are held; false if that failed.
    async fn read_records(&mut self) -> bool {
        if self.held.is_some() {
            return true;
        }
        let dialect = self.gateway.dialect.store;
        let call = (dialect.range)(NAMED_PREFIX, None);
        let Some(Ok(page)) = self.link.call("list", &call, dialect.read_range).await else { return false };
        let held: BTreeMap<_, _> = page.items.iter().filter_map(read_record).collect();
        let clock = self.gateway.engine_clock_at(self.gateway.now()).unwrap_or(0);
        for row in held.values() {
            let ages = row.record.ages(clock).map(|(version, age)| (row.record.model, version, age));
            self.gateway.apply_named_ages(&ages.collect::<Vec<_>>());
        }
        log::info!(models = held.len(), clock_ms = clock; "namings.read");
        self.held = Some(held);
        true
    }

    /// Writes the records that lack something; false if a write may not have been done.
    async fn write_records(&mut self) -> bool {
        let now = self.gateway.now();
        let Some(clock) = self.gateway.engine_clock_at(now) else { return false };
        for (model, weights) in self.gateway.namings() {
            let known = PublicationRecord::new(model, &weights, clock, now);
            let held = self.held.as_ref().and_then(|held| held.get(&model));
            if !held.is_some_and(|held| held.record.covers(&known)) {
                let position = held.map(|held| held.position);
                if !self.write(known, position).await {
                    // Another holder may have written meanwhile: what it knew is read first.
                    self.held = None;
                    return false;
                }
            }
        }
        true
    }

    async fn write(&mut self, record: PublicationRecord, position: Option<StorePosition>) -> bool {
        let key = format!("{NAMED_PREFIX}{:016x}", record.model);
        // Plain structs of numbers always have a JSON form.
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let write = StoreTransaction {
            conditions: vec![(key.clone(), position)],
            writes: vec![(key, value, 0)],
            removals: Vec::new(),
        };
        let dialect = self.gateway.dialect.store;
        let call = (dialect.transact)(&write);
        let Some(Ok(position)) = self.link.call("write", &call, dialect.read_transact).await else {
            return false;
        };
        let newest = record.namings.last().map_or(0, |row| row.version);
        log::info!(model = record.model, version = newest, position:%; "namings.written");
        if let Some(held) = &mut self.held {
            held.insert(record.model, HeldRecord { record, position });
        }
        true
    }
}

fn read_record(item: &StoreItem) -> Option<(u64, HeldRecord)> {
    match serde_json::from_slice::<PublicationRecord>(&item.value) {
        Ok(record) => Some((record.model, HeldRecord { record, position: item.position })),
        Err(error) => {
            log::error!(key = item.key.as_str(), cause:% = error; "namings.unreadable");
            None
        }
    }
}
