//! Cache stores, and the transfers that use their links.

use crate::{EndpointKey, FleetTable, LinkTransfers, LoadSource, StoreRow, StoreSpec, VmKey};
use spanfold_entity::Moment;

impl FleetTable {
    /// Returns the configuration of each cache store.
    pub fn store_specs(&self) -> Vec<(EndpointKey, StoreSpec)> {
        self.stores.iter().map(|(key, row)| (*key, row.spec.clone())).collect()
    }

    /// Iterates over the cache stores.
    pub fn stores(&self) -> impl Iterator<Item = (EndpointKey, &StoreRow)> {
        self.stores.iter().map(|(key, row)| (*key, row))
    }

    /// Iterates over the cache stores, mutably.
    pub fn stores_mut(&mut self) -> impl Iterator<Item = (EndpointKey, &mut StoreRow)> {
        self.stores.iter_mut().map(|(key, row)| (*key, row))
    }

    /// Returns a cache store.
    pub fn store(&self, key: EndpointKey) -> Option<&StoreRow> {
        self.stores.get(&key)
    }

    /// Returns a cache store, mutably.
    pub fn store_mut(&mut self, key: EndpointKey) -> Option<&mut StoreRow> {
        self.stores.get_mut(&key)
    }

    /// Returns the transfers of this VM and of the VMs that `includes` selects, without idle links.
    ///
    /// Each item contains the remaining transfer time on a store's link, in microseconds, and the recent
    /// slowdown.
    pub fn transfers_of(&self, includes: impl Fn(VmKey) -> bool, now: Moment) -> Vec<LinkTransfers> {
        self.busy_links(|row| row.transfers_of(&includes, now))
    }

    /// Returns the transfers of the VMs of other data centres, as their leaders report them.
    pub fn remote_transfers(&self, now: Moment) -> Vec<LinkTransfers> {
        self.busy_links(|row| row.remote_transfers(now))
    }

    fn busy_links(&self, transfers_of: impl Fn(&StoreRow) -> (u64, Option<f64>)) -> Vec<LinkTransfers> {
        let transfers = self.stores.iter().map(|(key, row)| {
            let (micros, slowdown) = transfers_of(row);
            (*key, micros, slowdown.map(|slowdown| slowdown as f32))
        });
        transfers.filter(|(_, micros, slowdown)| *micros > 0 || slowdown.is_some()).collect()
    }

    /// Applies another VM's report of its transfers from stores.
    pub fn apply_peer_transfers(&mut self, source: LoadSource, transfers: &[LinkTransfers], now: Moment) {
        let listed = transfers.iter().map(|(key, _, _)| *key).collect();
        let previous = std::mem::replace(&mut self.reported_rows.entry(source).or_default().stores, listed);
        for key in previous {
            // A link that the report does not list is idle.
            if let Some(row) = self.stores.get_mut(&key)
                && !transfers.iter().any(|(listed_key, _, _)| *listed_key == key)
            {
                row.clear_peer_transfers(source);
            }
        }
        for (key, micros, slowdown) in transfers {
            if let Some(row) = self.stores.get_mut(key) {
                row.set_peer_transfers(source, *micros, slowdown.map(f64::from), now);
            }
        }
    }
}
