//! Stores of kept cache, and the moves that take their links.

use crate::{EndpointKey, FleetTable, LinkTransfers, LoadSource, StoreRow, StoreSpec, VmKey};
use spanfold_entity::Moment;

impl FleetTable {
    /// The stores of kept cache with what the configuration says of them.
    pub fn store_specs(&self) -> Vec<(EndpointKey, StoreSpec)> {
        self.stores.iter().map(|(key, row)| (*key, row.spec.clone())).collect()
    }

    /// All stores of kept cache.
    pub fn stores(&self) -> impl Iterator<Item = (EndpointKey, &StoreRow)> {
        self.stores.iter().map(|(key, row)| (*key, row))
    }

    /// All stores of kept cache, to be changed.
    pub fn stores_mut(&mut self) -> impl Iterator<Item = (EndpointKey, &mut StoreRow)> {
        self.stores.iter_mut().map(|(key, row)| (*key, row))
    }

    /// One store of kept cache.
    pub fn store(&self, key: EndpointKey) -> Option<&StoreRow> {
        self.stores.get(&key)
    }

    /// One store of kept cache, to be changed.
    pub fn store_mut(&mut self, key: EndpointKey) -> Option<&mut StoreRow> {
        self.stores.get_mut(&key)
    }

    /// How long the moves of this VM, and of the VMs that `counts` names, still take each store's link,
    /// in microseconds, and the pace that their moves have shown lately; links at rest are left out.
    pub fn moves_of(&self, counts: impl Fn(VmKey) -> bool, now: Moment) -> Vec<LinkTransfers> {
        self.busy_links(|row| row.moves_of(&counts, now))
    }

    /// The same of the VMs of other data centres, as their leads told.
    pub fn remote_transfers(&self, now: Moment) -> Vec<LinkTransfers> {
        self.busy_links(|row| row.remote_transfers(now))
    }

    fn busy_links(&self, moves_of: impl Fn(&StoreRow) -> (u64, Option<f64>)) -> Vec<LinkTransfers> {
        let moves = self.stores.iter().map(|(key, row)| {
            let (micros, pace) = moves_of(row);
            (*key, micros, pace.map(|pace| pace as f32))
        });
        moves.filter(|(_, micros, pace)| *micros > 0 || pace.is_some()).collect()
    }

    /// Takes what another VM says of its moves from stores.
    pub fn apply_peer_transfers(&mut self, source: LoadSource, moves: &[LinkTransfers], now: Moment) {
        let named = moves.iter().map(|(key, _, _)| *key).collect();
        let before = std::mem::replace(&mut self.told.entry(source).or_default().stores, named);
        for key in before {
            // A link that is not named is at rest.
            if let Some(row) = self.stores.get_mut(&key)
                && !moves.iter().any(|(named, _, _)| *named == key)
            {
                row.clear_peer(source);
            }
        }
        for (key, micros, pace) in moves {
            if let Some(row) = self.stores.get_mut(key) {
                row.set_peer(source, *micros, pace.map(f64::from), now);
            }
        }
    }
}
