//! What entries of service discovery do to the table of endpoints.
//!
//! Invariant: of two starts under one id the later one stands; an entry never takes back that its endpoint leaves.

use crate::fleet::fleet_table::{ENDED_MOST, NewestStart};
use crate::{EndpointEntry, EndpointKey, EndpointRow, FleetTable};
use spanfold_entity::Moment;
use std::sync::Arc;

/// An endpoint whose entry was written again gets work only after this long, in milliseconds, if its entry stands
/// by then: the entry of one that is silent lapses after three heartbeats of 1.2 s.
const RETURNED_MILLIS: u64 = 4_000;

impl FleetTable {
    /// Takes an endpoint's entry; returns whether it told anything new but weights.
    ///
    /// An entry cannot take back that its endpoint leaves: an older one may arrive late.
    pub fn apply_entry(&mut self, mut entry: EndpointEntry, now: Moment) -> bool {
        let key = entry.key();
        if !self.is_newest(&entry, key) {
            return false;
        }
        if entry.born_millis.is_some() && !self.dated.contains(&entry.service) {
            self.note_dated(&entry.service);
        }
        // A living endpoint's entry goes too, if a cut outlasts its heartbeats, and is written again afterwards.
        if self.had_departed(key) {
            return false;
        }
        entry.weights = self.weights.share(entry.weights);
        let has_returned = self.ended.remove(&key).is_some();
        let cold_until = self.cold_until(&entry, now);
        if let Some(row) = self.rows.get_mut(&key) {
            row.missing_until = None;
            row.is_unreadable = false;
            entry.draining |= row.entry.draining;
            row.listed_weights.clone_from(&entry.weights);
            // Entries lag behind: what was seen at the engine itself may be newer.
            if entry.weights != row.entry.weights {
                let weights = Arc::make_mut(&mut entry.weights);
                for (model, version) in row.entry.weights.iter() {
                    let listed = weights.entry(model.clone()).or_default();
                    *listed = (*listed).max(*version);
                }
                entry.weights = self.weights.share(entry.weights);
            }
            if entry.weights != row.entry.weights {
                row.kept.clear();
            }
            // An entry that was written for another reason repeats what it said before.
            if entry.cold_millis != row.entry.cold_millis {
                // The time was counted down when the entry was written: what was heard sooner after that is nearer.
                let counts_down = entry.cold_millis < row.entry.cold_millis;
                row.cold_until = if counts_down { cold_until.min(row.cold_until) } else { cold_until };
            }
            let changed = entry.draining != row.entry.draining;
            row.entry = entry;
            return changed;
        }
        self.by_service.entry(entry.service.clone()).or_default().push(key);
        let mut row = EndpointRow::new(entry);
        row.cold_until = cold_until;
        row.evacuated_until = self.evacuated.get(&row.entry.data_centre).copied().unwrap_or(Moment(0));
        if has_returned {
            // The last write of one that is gone may come late: its entry lapses before this time is over.
            row.eject_until(now.after_millis(RETURNED_MILLIS));
        }
        self.rows.insert(key, Box::new(row));
        true
    }

    /// Notes that the entry of `id` was written and cannot be read: it names no endpoint to use until one that can be
    /// read follows. Whether it could be read before.
    pub fn set_unreadable(&mut self, id: &str) -> bool {
        let key = self.key_of(id);
        if let Some(row) = self.rows.get_mut(&key) {
            row.is_unreadable = true;
        }
        self.unreadable.len() < ENDED_MOST && self.unreadable.insert(id.to_owned())
    }

    /// Notes that the entry of `id` can be read, or is gone; whether it could not be read before.
    pub fn clear_unreadable(&mut self, id: &str) -> bool {
        self.unreadable.remove(id)
    }

    /// Ids whose entries cannot be read.
    pub fn unreadable(&self) -> impl Iterator<Item = &str> {
        self.unreadable.iter().map(String::as_str)
    }

    /// Whether an entry lacks the start that all endpoints of its service tell: it is not that endpoint's own.
    pub fn lacks_start(&self, entry: &EndpointEntry) -> bool {
        entry.born_millis.is_none() && self.dated.contains(&entry.service)
    }

    /// Learns that the endpoints of a service tell their starts: entries without were not their own.
    fn note_dated(&mut self, service: &str) {
        self.dated.insert(service.to_owned());
        let rows = self.rows.values_mut();
        for row in rows.filter(|row| row.entry.service == service && row.entry.born_millis.is_none()) {
            row.is_unreadable = true;
        }
    }

    /// Whether an entry is of the newest start of its id; an earlier start that it takes the place of has ended.
    fn is_newest(&mut self, entry: &EndpointEntry, key: EndpointKey) -> bool {
        let start = NewestStart { key, born_millis: entry.born_millis };
        let id = EndpointKey::of(&entry.id);
        match self.newest.insert(id, start) {
            Some(known) if known.born_millis > entry.born_millis => {
                // A late entry of an earlier start.
                self.newest.insert(id, known);
                false
            }
            Some(known) => {
                if known.key != key {
                    self.mark_key_missing(known.key, Moment(0));
                }
                true
            }
            None => true,
        }
    }

    /// The key of the newest start of `id`.
    pub fn key_of(&self, id: &str) -> EndpointKey {
        let key = EndpointKey::of(id);
        self.newest.get(&key).map_or(key, |start| start.key)
    }

    /// Notes that the entry of `id` is gone; until `hold` its endpoint goes on getting work.
    ///
    /// A hold is for entries that lapsed while their store was away: those of living endpoints return.
    pub fn mark_entry_missing(&mut self, id: &str, hold: Moment) {
        self.mark_key_missing(self.key_of(id), hold);
    }

    /// The same for one start of an endpoint.
    pub fn mark_key_missing(&mut self, key: EndpointKey, hold: Moment) {
        if let Some(row) = self.rows.get_mut(&key) {
            row.missing_until = Some(row.missing_until.map_or(hold, |until| until.min(hold)));
        }
    }

    /// Goes on holding entries that lapsed, because the store is still in trouble.
    pub fn extend_grace(&mut self, now: Moment, until: Moment) {
        for row in self.rows.values_mut() {
            if let Some(hold) = &mut row.missing_until
                && now < *hold
            {
                *hold = (*hold).max(until);
            }
        }
    }
}
