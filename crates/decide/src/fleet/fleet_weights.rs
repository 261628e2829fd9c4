//! Weights of engines as entries, answers and other VMs tell them.

use crate::fleet::fleet_table::AFTERLIFE_MILLIS;
use crate::{CordonSource, EndpointKey, EndpointRow, FleetTable, short_digest};
use spanfold_entity::Moment;
use std::collections::BTreeMap;
use std::sync::Arc;

impl FleetTable {
    /// The oldest weights of each model that an engine has, or had when its entry went a short while
    /// ago: it may still serve.
    pub fn oldest_weights(&self, now: Moment) -> BTreeMap<String, u64> {
        let late = self.ended.values().filter(|row| now < row.at.after_millis(AFTERLIFE_MILLIS));
        let all = self.rows.values().map(|row| &row.entry.weights).chain(late.map(|row| &row.weights));
        let mut oldest = BTreeMap::new();
        for (model, version) in all.flat_map(|weights| weights.iter()) {
            let least = oldest.entry(model.clone()).or_insert(*version);
            *least = (*least).min(*version);
        }
        oldest
    }

    /// Gives an engine no new work until `until`, because its weights are about to change.
    pub fn cordon_until(&mut self, key: EndpointKey, until: Moment) {
        if let Some(row) = self.rows.get_mut(&key) {
            row.cordoned_until = until;
            row.cordoned_by = CordonSource::Own;
            self.changing.insert(key);
        }
    }

    /// The same, as told by the VM that orders the change or by one that passes it on.
    pub fn cordon_as_reported(&mut self, key: EndpointKey, until: Moment, is_local: bool) {
        if let Some(row) = self.rows.get_mut(&key) {
            row.cordoned_until = until;
            row.cordoned_by = if is_local { CordonSource::Local } else { CordonSource::Remote };
            self.changing.insert(key);
        }
    }

    /// Takes the weight versions that an engine told itself.
    pub fn set_weights(&mut self, key: EndpointKey, weights: &BTreeMap<String, u64>, now: Moment) {
        if let Some(row) = self.rows.get_mut(&key)
            && *row.entry.weights != *weights
        {
            row.entry.weights = self.weights.share(Arc::new(weights.clone()));
            row.observed_weights_at = Some(now);
            row.cordoned_until = now;
            row.kept.clear();
            self.changing.insert(key);
        }
    }

    /// Takes a version that a peer saw at an engine, if it is newer than what is known here.
    pub fn raise_weights(
        &mut self,
        key: EndpointKey,
        model_digest: u64,
        version: u64,
        is_local: bool,
        now: Moment,
    ) {
        let Some(row) = self.rows.get_mut(&key) else { return };
        let known = row.entry.weights.iter().find(|(model, _)| short_digest(model) == model_digest);
        if let Some((model, known)) = known
            && *known < version
        {
            let model = model.clone();
            Arc::make_mut(&mut row.entry.weights).insert(model, version);
            row.entry.weights = self.weights.share(Arc::clone(&row.entry.weights));
            row.kept.clear();
            row.cordoned_until = now;
            let told = if is_local { &mut row.reported_weights_at } else { &mut row.remote_weights_at };
            *told = Some(now);
            self.changing.insert(key);
        }
    }

    /// Endpoints whose weights change, or have changed lately.
    pub fn changing(&self) -> impl Iterator<Item = (EndpointKey, &EndpointRow)> {
        self.changing.iter().filter_map(|key| Some((*key, self.rows.get(key)?.as_ref())))
    }

    /// Falls back to the versions that service discovery told, because an engine denied another.
    pub fn revert_weights(&mut self, key: EndpointKey) {
        if let Some(row) = self.rows.get_mut(&key) {
            row.entry.weights.clone_from(&row.listed_weights);
            row.observed_weights_at = None;
        }
    }
}
