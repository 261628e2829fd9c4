//! Applies what endpoints state in their answers besides a limit.
//!
//! That is departures, backoffs, weight versions, warm-up times and invalid headers.
//!
//! Invariant: a departure is final for its incarnation. Neither an entry nor a later answer revokes it.

use super::fleet_limits::MAX_COLD_MILLIS;
use super::fleet_table::RemovedEndpoint;
use crate::{BackoffChange, EndpointKey, EndpointRow, FleetTable, ShareCapacity};
use spanfold_entity::Moment;
use std::sync::Arc;

impl FleetTable {
    /// Records an endpoint's departure, from an answer to any VM; returns whether it is new.
    ///
    /// The departure of an endpoint that is not listed yet is recorded too, since an earlier listing may
    /// still add it.
    pub fn record_departure(&mut self, key: EndpointKey, now: Moment) -> bool {
        if let Some(row) = self.rows.get_mut(&key) {
            // No request will be sent there that could use the cache.
            row.cached_segments.clear();
            return !std::mem::replace(&mut row.has_departed, true);
        }
        let is_new = !self.had_departed(key);
        if is_new {
            let removed = RemovedEndpoint {
                id: String::new(),
                recorded_at: now,
                weights: Arc::default(),
                has_departed: true,
            };
            self.record_removed(key, removed);
        }
        is_new
    }

    /// Returns at most `limit` departing endpoints; successive values of `offset` rotate through all of them.
    pub fn rotating_departures(&self, offset: usize, limit: usize) -> Vec<EndpointKey> {
        let departed = self.rows.iter().filter(|(_, row)| row.has_departed);
        let departed: Vec<_> = departed.map(|(key, _)| *key).collect();
        let indices = (0..departed.len().min(limit)).map(|index| (offset + index) % departed.len());
        indices.map(|index| departed[index]).collect()
    }

    /// Records that an endpoint asked this VM for a backoff of `millis`.
    pub fn record_backoff(&mut self, key: EndpointKey, millis: u64, now: Moment) -> BackoffChange {
        self.rows.get_mut(&key).map_or(BackoffChange::None, |row| row.backoff.extend(millis, now))
    }

    /// Records that an endpoint served a request sent at `sent_at`; returns whether that completes a backoff.
    pub fn record_served(&mut self, key: EndpointKey, sent_at: Moment) -> bool {
        self.rows.get_mut(&key).is_some_and(|row| row.backoff.record_served(sent_at))
    }

    /// Returns the capacity of a service's endpoints after their backoffs, if all are backing off.
    ///
    /// Only endpoints count that take work and pass `may_serve`.
    pub fn backoff_capacity(
        &self,
        service: &str,
        vms: usize,
        may_serve: impl Fn(&EndpointRow) -> bool,
        now: Moment,
    ) -> Option<ShareCapacity> {
        let mut capacity = ShareCapacity { vms, ..ShareCapacity::default() };
        let rows = self.rows_of(service).map(|(_, row)| row);
        for row in rows.filter(|row| row.takes_work(now) && may_serve(row)) {
            let until = row.backoff.until(now)?;
            capacity.backoff_until =
                Some(capacity.backoff_until.map_or(until, |earliest| earliest.min(until)));
            capacity.add_backed_off(row);
        }
        capacity.backoff_until.is_some().then_some(capacity)
    }

    /// Records a model's weight version that an engine reported to this VM; returns whether it is newer.
    ///
    /// Versions only rise, so an older one comes from an answer that arrived out of order and is ignored.
    pub fn record_weights(&mut self, key: EndpointKey, model: &str, version: u64, now: Moment) -> bool {
        let Some(row) = self.rows.get_mut(&key) else { return false };
        if row.entry.weights.get(model).is_some_and(|recorded| *recorded >= version) {
            return false;
        }
        Arc::make_mut(&mut row.entry.weights).insert(model.to_owned(), version);
        row.entry.weights = self.weights.intern(Arc::clone(&row.entry.weights));
        row.observed_weights_at = Some(now);
        row.cordoned_until = now;
        row.cached_segments.clear();
        self.changing_weights.insert(key);
        true
    }

    /// Records that an endpoint stays cold for `millis`, as an answer stated; returns whether it was warm.
    pub fn record_cold(&mut self, key: EndpointKey, millis: u64, now: Moment) -> bool {
        let cold_until = now.after_millis(millis.min(MAX_COLD_MILLIS));
        let Some(row) = self.rows.get_mut(&key) else { return false };
        let was_warm = now >= row.cold_until;
        row.cold_until = cold_until;
        self.max_cold_until = self.max_cold_until.max(cold_until);
        was_warm && cold_until > now
    }

    /// Records whether a header of an endpoint's last answer was invalid; returns whether that is new.
    pub fn record_invalid_header(&mut self, key: EndpointKey, name: &'static str, is_invalid: bool) -> bool {
        let Some(row) = self.rows.get_mut(&key) else { return false };
        let position = row.invalid_headers.iter().position(|recorded| *recorded == name);
        match (position, is_invalid) {
            (None, true) => {
                row.invalid_headers.push(name);
                return true;
            }
            (Some(position), false) => drop(row.invalid_headers.swap_remove(position)),
            _ => {}
        }
        false
    }

    /// Returns the number of endpoints that announced their departure in an answer.
    pub fn departed_count(&self) -> usize {
        self.rows.values().filter(|row| row.has_departed).count()
    }

    /// Returns the number of endpoints that are backing off from this VM.
    pub fn backing_off_count(&self, now: Moment) -> usize {
        self.rows.values().filter(|row| row.backoff.is_backing_off(now)).count()
    }
}
