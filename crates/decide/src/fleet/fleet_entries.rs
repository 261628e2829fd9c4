//! Applies entries of service discovery to the table of endpoints.
//!
//! Invariant: of two incarnations of one id the later one is current, and no entry revokes its endpoint's
//! departure.

use crate::fleet::endpoint_row::GraceState;
use crate::fleet::fleet_table::{MAX_REMOVED_ENDPOINTS, NewestIncarnation};
use crate::{
    ContactChange, EndpointEntry, EndpointKey, EndpointRow, FleetTable, SoftwareState, StoreOutage,
    StoreSilence, short_digest,
};
use spanfold_entity::Moment;
use std::sync::Arc;

/// Time for which an endpoint gets no work after its removed entry was written again, in milliseconds.
///
/// The entry of an unreachable endpoint expires within this time, after three heartbeats of 1.2 s.
const REAPPEARANCE_DELAY_MILLIS: u64 = 4_000;

/// Time by which grace periods are extended while the store is away, in milliseconds.
const GRACE_HOLD_MILLIS: u64 = 300;

impl FleetTable {
    /// Applies an endpoint's entry; returns whether anything but weights changed.
    ///
    /// An entry cannot revoke its endpoint's departure, since an older one may arrive late.
    pub fn apply_entry(&mut self, mut entry: EndpointEntry, now: Moment) -> bool {
        let key = entry.key();
        self.software_history.record_following(now);
        if !self.is_newest(&entry, key) {
            return false;
        }
        if entry.born_millis.is_some() && !self.dated_services.contains(&entry.service) {
            self.record_dated_service(&entry.service);
        }
        // The entry of a live endpoint also expires when a network cut outlasts its heartbeats, and is
        // written again afterwards: only a departure excludes the endpoint.
        if self.had_departed(key) {
            return false;
        }
        entry.weights = self.weights.intern(entry.weights);
        let has_reappeared = self.removed.remove(&key).is_some();
        let cold_until = self.cold_until_of(&entry, now);
        if let Some(row) = self.rows.get_mut(&key) {
            if row.grace_deadline.take().is_some_and(|deadline| now >= deadline) {
                // As below; work that runs there has kept the row.
                row.eject_until(now.after_millis(REAPPEARANCE_DELAY_MILLIS));
            }
            row.grace = GraceState { was_running: row.grace.was_running, ..GraceState::default() };
            row.is_unreadable = false;
            entry.draining |= row.entry.draining;
            row.listed_weights.clone_from(&entry.weights);
            // Entries lag behind: versions that the engine itself reported may be newer.
            if entry.weights != row.entry.weights {
                let weights = Arc::make_mut(&mut entry.weights);
                for (model, version) in row.entry.weights.iter() {
                    let listed = weights.entry(model.clone()).or_default();
                    *listed = (*listed).max(*version);
                }
                entry.weights = self.weights.intern(entry.weights);
            }
            if entry.weights != row.entry.weights {
                row.cached_segments.clear();
            }
            // An entry that was written for another reason repeats the former warm-up time.
            if entry.cold_millis != row.entry.cold_millis {
                // The remaining time counts from when the entry was written, so the entry read with the least
                // delay gives the earliest end, which is the closest to the true one.
                let counts_down = entry.cold_millis < row.entry.cold_millis;
                row.cold_until = if counts_down { cold_until.min(row.cold_until) } else { cold_until };
            }
            if entry.version != row.entry.version {
                let software = short_digest(&row.entry.version);
                self.settle_due.remove(&row.entry.service);
                row.software_state = SoftwareState::Unsettled;
                self.software_history.record_gone(&row.entry.service, software, now);
            }
            let changed = entry.draining != row.entry.draining;
            row.entry = entry;
            return changed;
        }
        self.settle_due.remove(&entry.service);
        self.keys_by_service.entry(entry.service.clone()).or_default().push(key);
        let mut row = EndpointRow::new(entry);
        row.cold_until = cold_until;
        row.evacuated_until = self.evacuated.get(&row.entry.data_centre).copied().unwrap_or(Moment(0));
        if has_reappeared {
            // The last write of a stopped endpoint may arrive late: its entry expires before this delay is
            // over.
            row.eject_until(now.after_millis(REAPPEARANCE_DELAY_MILLIS));
        }
        self.rows.insert(key, Box::new(row));
        true
    }

    /// Records that the entry of `id` was written and cannot be parsed; returns whether it could be before.
    ///
    /// The endpoint gets no work until an entry follows that can be parsed.
    pub fn set_unreadable(&mut self, id: &str) -> bool {
        let key = self.key_of(id);
        if let Some(row) = self.rows.get_mut(&key) {
            row.is_unreadable = true;
        }
        self.unreadable_ids.len() < MAX_REMOVED_ENDPOINTS && self.unreadable_ids.insert(id.to_owned())
    }

    /// Records that the entry of `id` can be parsed, or is gone; returns whether it was unreadable before.
    pub fn clear_unreadable(&mut self, id: &str) -> bool {
        self.unreadable_ids.remove(id)
    }

    /// Iterates over the ids whose entries cannot be parsed.
    pub fn unreadable(&self) -> impl Iterator<Item = &str> {
        self.unreadable_ids.iter().map(String::as_str)
    }

    /// Whether an entry lacks a start time although the endpoints of its service state theirs.
    ///
    /// Such an entry was not written by its endpoint.
    pub fn lacks_start_time(&self, entry: &EndpointEntry) -> bool {
        entry.born_millis.is_none() && self.dated_services.contains(&entry.service)
    }

    /// Records that the endpoints of a service state their start times.
    ///
    /// Entries without one were not written by their endpoints and are marked unreadable.
    fn record_dated_service(&mut self, service: &str) {
        self.dated_services.insert(service.to_owned());
        let rows = self.rows.values_mut();
        for row in rows.filter(|row| row.entry.service == service && row.entry.born_millis.is_none()) {
            row.is_unreadable = true;
        }
    }

    /// Whether an entry belongs to the newest incarnation of its id; marks an earlier incarnation missing.
    fn is_newest(&mut self, entry: &EndpointEntry, key: EndpointKey) -> bool {
        let incarnation = NewestIncarnation { key, born_millis: entry.born_millis };
        let id = EndpointKey::of(&entry.id);
        match self.newest_incarnations.insert(id, incarnation) {
            Some(current) if current.born_millis > entry.born_millis => {
                // A late entry of an earlier incarnation.
                self.newest_incarnations.insert(id, current);
                false
            }
            Some(current) => {
                if current.key != key {
                    self.mark_key_missing(current.key, Moment(0));
                }
                true
            }
            None => true,
        }
    }

    /// Returns the key of the newest incarnation of `id`.
    pub fn key_of(&self, id: &str) -> EndpointKey {
        let key = EndpointKey::of(id);
        self.newest_incarnations.get(&key).map_or(key, |incarnation| incarnation.key)
    }

    /// Records that the entry of `id` is gone; its endpoint gets work until `grace_deadline`.
    ///
    /// The grace period is for entries that expired while their store was unavailable: live endpoints write
    /// theirs again.
    pub fn mark_entry_missing(&mut self, id: &str, grace_deadline: Moment) {
        self.mark_key_missing(self.key_of(id), grace_deadline);
    }

    /// Records that the entry of one incarnation is gone; it gets work until `grace_deadline`.
    pub fn mark_key_missing(&mut self, key: EndpointKey, grace_deadline: Moment) {
        if let Some(row) = self.rows.get_mut(&key) {
            row.grace_deadline =
                Some(row.grace_deadline.map_or(grace_deadline, |current| current.min(grace_deadline)));
        }
    }

    /// Extends running grace periods of missing entries, because the store is away again.
    ///
    /// Each period may be extended during one further outage.
    pub fn extend_grace(&mut self, now: Moment, grace_deadline: Moment) {
        for row in self.rows.values_mut().filter(|row| !row.grace.is_renewed) {
            if let Some(current) = &mut row.grace_deadline
                && now < *current
            {
                *current = (*current).max(grace_deadline);
            }
        }
    }

    /// Holds running grace periods while the store is away, or may be.
    ///
    /// To be called at least each [`GRACE_HOLD_MILLIS`].
    pub fn hold_grace(&mut self, silence: StoreSilence, now: Moment) {
        match silence {
            StoreSilence::Away => self.extend_grace(now, now.after_millis(GRACE_HOLD_MILLIS)),
            StoreSilence::Undecided { away_at } => {
                let held_until = away_at.after_millis(GRACE_HOLD_MILLIS);
                let rows = self.rows.values_mut().filter(|row| !row.grace.was_held);
                for row in rows {
                    if let Some(current) = &mut row.grace_deadline
                        && now < *current
                        && *current < held_until
                    {
                        *current = held_until;
                        row.grace.was_held = true;
                    }
                }
            }
        }
    }

    /// Applies to grace periods what an answer of the store changed.
    pub fn apply_contact_change(&mut self, change: ContactChange, now: Moment) {
        match change {
            ContactChange::None => {}
            ContactChange::Returned(outage) => self.renew_grace(&outage),
            ContactChange::Refuted(outage) => {
                self.shorten_grace(outage.map_or(now, |outage| outage.grace_deadline()));
            }
        }
    }

    /// Lets grace periods that ran when an outage began end after it instead.
    fn renew_grace(&mut self, outage: &StoreOutage) {
        for row in self.rows.values_mut().filter(|row| !row.grace.is_renewed) {
            if row.grace_deadline.is_some_and(|current| outage.began_at < current) {
                row.grace_deadline = Some(outage.grace_deadline());
                row.grace.is_renewed = true;
            }
        }
    }

    /// Ends grace periods no later than `grace_deadline`, because their outage was shorter, or none.
    fn shorten_grace(&mut self, grace_deadline: Moment) {
        for row in self.rows.values_mut() {
            row.grace_deadline = row.grace_deadline.map(|current| current.min(grace_deadline));
        }
    }
}
