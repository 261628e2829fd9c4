//! Work in flight at endpoints: this VM's own, and what others tell.
//!
//! Invariant: what a source's digest does not name is at rest there.

use crate::{EndpointKey, EndpointRow, FleetTable, LoadCount, LoadSource, PromptSegment, VmKey};
use spanfold_entity::Moment;
use std::collections::BTreeSet;

/// Memory kept free of the belief about kept parts, as a part of an engine's memory.
const KEPT_PART: f64 = 0.9;

impl FleetTable {
    /// Counts work sent to an endpoint, and believes that it keeps `parts` from now on.
    pub fn take(&mut self, key: EndpointKey, load: LoadCount, parts: &[PromptSegment], salt: u64) {
        self.record_segments(key, parts, salt);
        if let Some(row) = self.rows.get_mut(&key) {
            row.own.add(load);
            self.own_busy.insert(key);
        }
    }

    /// Counts work as ended.
    pub fn release(&mut self, key: EndpointKey, load: LoadCount) {
        if let Some(row) = self.rows.get_mut(&key) {
            row.own.subtract(load);
            if row.own == LoadCount::default() {
                self.own_busy.remove(&key);
            }
        }
    }

    /// Believes that an endpoint keeps `parts` from now on.
    pub fn record_segments(&mut self, key: EndpointKey, parts: &[PromptSegment], salt: u64) {
        let Some(row) = self.rows.get_mut(&key) else { return };
        let memory = self
            .services
            .get(&row.entry.service)
            .and_then(|service| service.engine.as_ref())
            .map_or(0, |engine| engine.memory_tokens);
        row.kept.note(parts, salt, (memory as f64 * KEPT_PART) as u64);
    }

    /// Takes what other VMs say they have in flight.
    pub fn apply_peer_loads(&mut self, source: LoadSource, loads: &[(EndpointKey, LoadCount)], now: Moment) {
        let named = loads.iter().map(|(key, _)| *key).collect();
        let told = self.told.entry(source).or_default();
        told.at = now;
        let before = std::mem::replace(&mut told.endpoints, named);
        for key in before {
            if let Some(row) = self.rows.get_mut(&key) {
                row.peers.clear(source);
            }
        }
        for (key, load) in loads {
            if let Some(row) = self.rows.get_mut(key) {
                row.peers.set(source, *load, now);
            }
        }
    }

    /// What this VM, and the VMs that `counts` names, have in flight; idle endpoints are left out.
    pub fn loads_of(&self, counts: impl Fn(VmKey) -> bool, now: Moment) -> Vec<(EndpointKey, LoadCount)> {
        let told = self.told_by(|source| matches!(source, LoadSource::Vm(vm) if counts(vm)));
        let busy: BTreeSet<_> = self.own_busy.iter().copied().chain(told).collect();
        self.loads_at(busy, |row| row.load_of(&counts, now))
    }

    /// Endpoints that the last digests of some sources named: all others are at rest there.
    fn told_by(&self, counts: impl Fn(LoadSource) -> bool) -> impl Iterator<Item = EndpointKey> {
        let told = self.told.iter().filter(move |(source, _)| counts(**source));
        told.flat_map(|(_, rows)| rows.endpoints.iter().copied())
    }

    fn loads_at(
        &self,
        keys: BTreeSet<EndpointKey>,
        load: impl Fn(&EndpointRow) -> LoadCount,
    ) -> Vec<(EndpointKey, LoadCount)> {
        let loads = keys.into_iter().filter_map(|key| Some((key, load(self.rows.get(&key)?))));
        loads.filter(|(_, load)| *load != LoadCount::default()).collect()
    }

    /// What the VMs of other data centres have in flight, as their leads told; idle endpoints are left out.
    pub fn remote_loads(&self, now: Moment) -> Vec<(EndpointKey, LoadCount)> {
        let busy = self.told_by(|source| matches!(source, LoadSource::DataCentre(_))).collect();
        self.loads_at(busy, |row| row.peers.sum_far(now))
    }
}
