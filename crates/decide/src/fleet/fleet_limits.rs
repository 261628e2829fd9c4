//! What keeps work from endpoints for a while: evacuated data centres, and engines that are cold.
//!
//! Invariant: an endpoint that is listed in an evacuated data centre is marked as such, whichever of both was told first.

use crate::{
    ColdRight, ColdSpec, EndpointEntry, EndpointKey, EndpointRow, FleetTable, LimitChange, LimitWord,
};
use spanfold_entity::Moment;

/// An endpoint is taken for cold for this long at most, in milliseconds, whatever its entry says.
const COLD_MOST_MILLIS: u64 = 600_000;

impl FleetTable {
    /// Until when an endpoint is cold whose entry has come at `now`.
    pub(super) fn cold_until(&mut self, entry: &EndpointEntry, now: Moment) -> Moment {
        let spec = self.services.get(&entry.service).map_or_else(ColdSpec::default, |service| service.cold);
        let millis = entry.cold_millis.unwrap_or(spec.start_millis).min(COLD_MOST_MILLIS);
        let until = now.after_millis(millis);
        if spec.per_s > 0.0 {
            self.cold_until = self.cold_until.max(until);
        }
        until
    }

    /// Whether any endpoint may be cold.
    pub fn is_any_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// What an endpoint bears, if it is cold and bears less than a warm one.
    pub fn cold_spec(&self, row: &EndpointRow, now: Moment) -> Option<ColdSpec> {
        if now >= row.cold_until {
            return None;
        }
        let spec = self.services.get(&row.entry.service)?.cold;
        (spec.per_s > 0.0).then_some(spec)
    }

    /// Endpoints that are cold and bear less than warm ones.
    pub fn cold_count(&self, now: Moment) -> usize {
        self.rows.values().filter(|row| self.cold_spec(row, now).is_some()).count()
    }

    /// Counts a request that is about to be sent to an endpoint, if that is cold; false if this VM's part of what it
    /// bears is used up, which another request may have done since the choice.
    pub fn take_cold_part(&mut self, key: EndpointKey, right: Option<&ColdRight>, now: Moment) -> bool {
        let Some(spec) = self.rows.get(&key).and_then(|row| self.cold_spec(row, now)) else { return true };
        let Some(row) = self.rows.get_mut(&key) else { return false };
        let part = right.map_or(0, |right| right.part(key, spec));
        let takes = row.cold_sends.count(now) < part;
        if takes {
            row.cold_sends.push(now);
        }
        takes
    }

    /// Takes what an endpoint says of its limit, to this VM or as another one told.
    pub fn hear_limit(&mut self, key: EndpointKey, word: LimitWord) -> LimitChange {
        self.rows.get_mut(&key).map_or(LimitChange::None, |row| row.limit.hear(word))
    }

    /// Notes whether an endpoint's last word of its limit was odd; whether that is new.
    pub fn note_odd_limit(&mut self, key: EndpointKey, is_odd: bool) -> bool {
        let Some(row) = self.rows.get_mut(&key) else { return false };
        let is_new = is_odd && !row.has_odd_limit;
        row.has_odd_limit = is_odd;
        is_new
    }

    /// Endpoints that name a limit.
    pub fn limited_count(&self) -> usize {
        self.rows.values().filter(|row| row.limit.per_s().is_some()).count()
    }

    /// Notes that a data centre is evacuated until `until`, [`Moment::NEVER`] while the operator asks for it; whether it
    /// was not before.
    pub fn evacuate(&mut self, data_centre: &str, until: Moment, now: Moment) -> bool {
        let before = self.evacuated.insert(data_centre.to_owned(), until);
        self.mark_evacuated(data_centre, until);
        before.is_none_or(|before| now >= before)
    }

    /// Notes that an evacuation was taken back; whether there was one.
    pub fn end_evacuation(&mut self, data_centre: &str) -> bool {
        self.mark_evacuated(data_centre, Moment(0));
        self.evacuated.remove(data_centre).is_some()
    }

    /// Ends evacuations whose time is over, and names them.
    pub fn end_lapsed_evacuations(&mut self, now: Moment) -> Vec<String> {
        let over: Vec<_> =
            self.evacuated.iter().filter(|(_, until)| now >= **until).map(|(name, _)| name.clone()).collect();
        for data_centre in &over {
            self.end_evacuation(data_centre);
        }
        over
    }

    /// Data centres that are evacuated.
    pub fn evacuated(&self, now: Moment) -> impl Iterator<Item = &str> {
        let rows = self.evacuated.iter().filter(move |(_, until)| now < **until);
        rows.map(|(data_centre, _)| data_centre.as_str())
    }

    fn mark_evacuated(&mut self, data_centre: &str, until: Moment) {
        for row in self.rows.values_mut().filter(|row| row.entry.data_centre == data_centre) {
            row.evacuated_until = until;
        }
    }
}
