//! Work in flight at endpoints: that of this VM, and that of other VMs as they report it.
//!
//! Invariant: endpoints that a source's last digest does not list have no work in flight from that source.

use crate::{
    EndpointKey, EndpointRow, FleetTable, LoadCount, LoadSource, PromptSegment, StreamPauses, ViewAges, VmKey,
};
use spanfold_entity::Moment;
use std::collections::BTreeSet;

/// Fraction of an engine's memory that the estimate of cached segments may fill; the remainder stays free.
const USABLE_CACHE_FRACTION: f64 = 0.9;
/// Largest interval between reports that is measured, in microseconds: the time for which they count.
const MAX_INTERVAL_MICROS: u64 = 1_500_000;
/// Weight of the newest interval between reports from other data centres.
const INTERVAL_WEIGHT: f64 = 0.1;

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
        if !matches!(source, LoadSource::Vm(_)) && reported.received_at != Moment(0) {
            // A longer interval is an outage, after which the loads no longer count.
            let sample = now.micros_since(reported.received_at).min(MAX_INTERVAL_MICROS) as f64;
            self.leader_interval_micros += INTERVAL_WEIGHT * (sample - self.leader_interval_micros);
        }
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

    /// Sets the ages of other VMs' reports, without the interval between reports from other data centres; zero
    /// if they count as current.
    pub const fn set_digest_ages(&mut self, ages: ViewAges) {
        self.view_ages = ages;
    }

    /// Returns the mean ages of other VMs' reports.
    pub fn view_ages(&self) -> ViewAges {
        let ViewAges { local_micros, remote_micros } = self.view_ages;
        if self.view_ages.are_current() {
            return self.view_ages;
        }
        // A change waits for half of an interval on average.
        ViewAges { local_micros, remote_micros: remote_micros + self.leader_interval_micros / 2.0 }
    }

    /// Records that `units` of a service's load were pending for `micros`: prompt tokens of engines, requests
    /// of plain endpoints.
    pub fn record_pending(&mut self, key: EndpointKey, units: u64, micros: u64) {
        let Some(service) = self.rows.get(&key).map(|row| row.entry.service.as_str()) else { return };
        self.pending_times.entry(service.to_owned()).or_default().record(units, micros);
    }

    /// Records that a stream of a service has ended, and whether a pause between its events was too long.
    pub fn record_pauses(&mut self, service: &str, is_overlong: bool) {
        self.stream_pauses.entry(service.to_owned()).or_default().record(is_overlong);
    }

    /// Returns the overlong pauses of a service's recent streams.
    pub fn stream_pauses(&self, service: &str) -> StreamPauses {
        self.stream_pauses.get(service).copied().unwrap_or_default()
    }

    /// Returns the mean units of a service's request while it is pending.
    pub(crate) fn pending_units(&self, service: &str) -> f64 {
        self.pending_times.get(service).copied().unwrap_or_default().units()
    }

    /// Returns the mean time for which load of a service stays pending, in microseconds.
    pub fn pending_micros(&self, service: &str) -> f64 {
        self.pending_times.get(service).copied().unwrap_or_default().micros()
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
