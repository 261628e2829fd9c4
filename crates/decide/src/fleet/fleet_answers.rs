//! What endpoints state in their answers beyond a limit: departures, rests, invalid headers.
//!
//! Invariant: a departure is final for its start. Neither an entry nor a later answer takes it back.

use super::fleet_limits::COLD_MOST_MILLIS;
use super::fleet_table::EndedRow;
use crate::{BackoffChange, EndpointKey, EndpointRow, FleetTable, ShareCapacity};
use spanfold_entity::Moment;
use std::sync::Arc;

impl FleetTable {
    /// Notes that an endpoint leaves, as an answer of it said to this VM or to another one; whether that is new.
    ///
    /// An endpoint whose entry has not been read yet is remembered too: a listing made earlier may still bring it.
    pub fn record_departure(&mut self, key: EndpointKey, now: Moment) -> bool {
        if let Some(row) = self.rows.get_mut(&key) {
            // Nothing goes there that could use what it keeps.
            row.kept.clear();
            return !std::mem::replace(&mut row.has_departed, true);
        }
        let is_new = !self.had_departed(key);
        if is_new {
            let ended = EndedRow { id: String::new(), at: now, weights: Arc::default(), draining: true };
            self.record_ended(key, ended);
        }
        is_new
    }

    /// Endpoints that leave, `most` of them from the `turn`th on.
    pub fn rotating_departures(&self, turn: usize, most: usize) -> Vec<EndpointKey> {
        let departed = self.rows.iter().filter(|(_, row)| row.has_departed);
        let departed: Vec<_> = departed.map(|(key, _)| *key).collect();
        let places = (0..departed.len().min(most)).map(|place| (turn + place) % departed.len());
        places.map(|place| departed[place]).collect()
    }

    /// Notes that an endpoint asked this VM for a rest of so many milliseconds.
    pub fn record_backoff(&mut self, key: EndpointKey, millis: u64, now: Moment) -> BackoffChange {
        self.rows.get_mut(&key).map_or(BackoffChange::None, |row| row.rest.ask(millis, now))
    }

    /// Notes that an endpoint served a request that was sent at `sent_at`; whether it has returned from a rest with that.
    pub fn record_served(&mut self, key: EndpointKey, sent_at: Moment) -> bool {
        self.rows.get_mut(&key).is_some_and(|row| row.rest.record_served(sent_at))
    }

    /// What the endpoints of a service take once their rests end, if all of them rest that `may_serve` and take work.
    pub fn backoff_capacity(
        &self,
        service: &str,
        vms: usize,
        may_serve: impl Fn(&EndpointRow) -> bool,
        now: Moment,
    ) -> Option<ShareCapacity> {
        let mut outlook = ShareCapacity { vms, ..ShareCapacity::default() };
        let rows = self.rows_of(service).map(|(_, row)| row);
        for row in rows.filter(|row| row.takes_work(now) && may_serve(row)) {
            let until = row.rest.until(now)?;
            outlook.backoff_until = Some(outlook.backoff_until.map_or(until, |known| known.min(until)));
            outlook.add_backed_off(row);
        }
        outlook.backoff_until.is_some().then_some(outlook)
    }

    /// Notes the version of a model's weights that an answer or an event of an engine told to this VM; whether it is newer than
    /// the known one. Older ones are of answers that crossed: versions rise only.
    pub fn record_weights(&mut self, key: EndpointKey, model: &str, version: u64, now: Moment) -> bool {
        let Some(row) = self.rows.get_mut(&key) else { return false };
        if row.entry.weights.get(model).is_none_or(|known| *known >= version) {
            return false;
        }
        Arc::make_mut(&mut row.entry.weights).insert(model.to_owned(), version);
        row.entry.weights = self.weights.share(Arc::clone(&row.entry.weights));
        row.observed_weights_at = Some(now);
        row.cordoned_until = now;
        row.kept.clear();
        self.changing.insert(key);
        true
    }

    /// Notes that an endpoint stays cold for so many milliseconds, as an answer told; whether it was warm.
    pub fn record_cold(&mut self, key: EndpointKey, millis: u64, now: Moment) -> bool {
        let until = now.after_millis(millis.min(COLD_MOST_MILLIS));
        let Some(row) = self.rows.get_mut(&key) else { return false };
        let was_warm = now >= row.cold_until;
        row.cold_until = until;
        self.cold_until = self.cold_until.max(until);
        was_warm && until > now
    }

    /// Notes whether a header of an endpoint's last answer was invalid; whether that is new.
    pub fn record_invalid_header(&mut self, key: EndpointKey, name: &'static str, is_odd: bool) -> bool {
        let Some(row) = self.rows.get_mut(&key) else { return false };
        let place = row.odd_headers.iter().position(|known| *known == name);
        match (place, is_odd) {
            (None, true) => {
                row.odd_headers.push(name);
                return true;
            }
            (Some(place), false) => drop(row.odd_headers.swap_remove(place)),
            _ => {}
        }
        false
    }

    /// Endpoints that said in an answer that they leave.
    pub fn departed_count(&self) -> usize {
        self.rows.values().filter(|row| row.has_departed).count()
    }

    /// Endpoints that asked this VM for a rest that is not over.
    pub fn resting_count(&self, now: Moment) -> usize {
        self.rows.values().filter(|row| row.rest.is_backing_off(now)).count()
    }
}
