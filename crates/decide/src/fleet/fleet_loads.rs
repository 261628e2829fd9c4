//! Work in flight at endpoints: that of this VM, and that of other VMs as they report it.
//!
//! Invariant: endpoints that a source's last digest does not list have no work in flight from that source.

use crate::{EndpointKey, EndpointRow, FleetTable, LoadCount, LoadSource, PromptSegment, VmKey};
use spanfold_entity::Moment;
use std::collections::BTreeSet;

/// Fraction of an engine's memory that the estimate of cached segments may fill; the remainder stays free.
const USABLE_CACHE_FRACTION: f64 = 0.9;

impl FleetTable {
    /// Counts work sent to an endpoint, and records that it caches `segments` from now on.
    pub fn reserve(&mut self, key: EndpointKey, load: LoadCount, segments: &[PromptSegment], salt: u64) {
        self.record_segments(key, segments, salt);
        if let Some(row) = self.rows.get_mut(&key) {
            row.own.add(load);
            self.own_busy.insert(key);
        }
    }

    /// Counts work as finished.
    pub fn release(&mut self, key: EndpointKey, load: LoadCount) {
        if let Some(row) = self.rows.get_mut(&key) {
            row.own.subtract(load);
            if row.own == LoadCount::default() {
                self.own_busy.remove(&key);
            }
        }
    }

    /// Records that an endpoint caches `segments` from now on.
    pub fn record_segments(&mut self, key: EndpointKey, segments: &[PromptSegment], salt: u64) {
        let Some(row) = self.rows.get_mut(&key) else { return };
        let memory = self
            .services
            .get(&row.entry.service)
            .and_then(|service| service.engine.as_ref())
            .map_or(0, |engine| engine.memory_tokens);
        row.cached_segments.record(segments, salt, (memory as f64 * USABLE_CACHE_FRACTION) as u64);
    }

    /// Applies a digest of the work that other VMs have in flight.
    pub fn apply_peer_loads(&mut self, source: LoadSource, loads: &[(EndpointKey, LoadCount)], now: Moment) {
        let listed = loads.iter().map(|(key, _)| *key).collect();
        let reported = self.reported_rows.entry(source).or_default();
        reported.received_at = now;
        let previous = std::mem::replace(&mut reported.endpoints, listed);
        for key in previous {
            if let Some(row) = self.rows.get_mut(&key) {
                row.peer_loads.clear(source);
            }
        }
        for (key, load) in loads {
            if let Some(row) = self.rows.get_mut(key) {
                row.peer_loads.set(source, *load, now);
            }
        }
    }

    /// Returns the loads of this VM and of the VMs that `includes` selects, without idle endpoints.
    pub fn loads_of(&self, includes: impl Fn(VmKey) -> bool, now: Moment) -> Vec<(EndpointKey, LoadCount)> {
        let reported = self.reported_by(|source| matches!(source, LoadSource::Vm(vm) if includes(vm)));
        let busy: BTreeSet<_> = self.own_busy.iter().copied().chain(reported).collect();
        self.loads_at(busy, |row| row.load_of(&includes, now))
    }

    /// Iterates over the endpoints in the last digests of the sources that `includes` selects.
    ///
    /// All other endpoints have no work in flight from those sources.
    fn reported_by(&self, includes: impl Fn(LoadSource) -> bool) -> impl Iterator<Item = EndpointKey> {
        let reported = self.reported_rows.iter().filter(move |(source, _)| includes(**source));
        reported.flat_map(|(_, rows)| rows.endpoints.iter().copied())
    }

    fn loads_at(
        &self,
        keys: BTreeSet<EndpointKey>,
        load: impl Fn(&EndpointRow) -> LoadCount,
    ) -> Vec<(EndpointKey, LoadCount)> {
        let loads = keys.into_iter().filter_map(|key| Some((key, load(self.rows.get(&key)?))));
        loads.filter(|(_, load)| *load != LoadCount::default()).collect()
    }

    /// Returns the loads of the VMs of other data centres, as their leaders report them.
    ///
    /// Idle endpoints are omitted.
    pub fn remote_loads(&self, now: Moment) -> Vec<(EndpointKey, LoadCount)> {
        let busy = self.reported_by(|source| matches!(source, LoadSource::DataCentre(_))).collect();
        self.loads_at(busy, |row| row.peer_loads.remote_sum(now))
    }
}
