//! Weight versions of engines, from entries, answers and other VMs.

use crate::fleet::fleet_table::REMOVED_RETENTION_MILLIS;
use crate::{CordonSource, EndpointKey, EndpointRow, FleetTable, short_digest};
use spanfold_entity::Moment;
use std::collections::BTreeMap;
use std::sync::Arc;

impl FleetTable {
    /// Returns the oldest version of each model that an engine may serve.
    ///
    /// Includes engines whose entries were removed recently, since they may continue to serve.
    pub fn oldest_weights(&self, now: Moment) -> BTreeMap<String, u64> {
        let recent =
            self.removed.values().filter(|row| now < row.recorded_at.after_millis(REMOVED_RETENTION_MILLIS));
        let all = self.rows.values().map(|row| &row.entry.weights).chain(recent.map(|row| &row.weights));
        let mut oldest = BTreeMap::new();
        for (model, version) in all.flat_map(|weights| weights.iter()) {
            let least = oldest.entry(model.clone()).or_insert(*version);
            *least = (*least).min(*version);
        }
        oldest
    }

    /// Cordons an engine until `until`, because this VM orders a change of its weights.
    pub fn cordon_until(&mut self, key: EndpointKey, until: Moment) {
        if let Some(row) = self.rows.get_mut(&key) {
            row.cordoned_until = until;
            row.cordoned_by = CordonSource::Own;
            self.changing_weights.insert(key);
        }
    }

    /// Cordons an engine, as reported by the VM that orders the change or by one that relays the report.
    pub fn cordon_as_reported(&mut self, key: EndpointKey, until: Moment, is_local: bool) {
        if let Some(row) = self.rows.get_mut(&key) {
            row.cordoned_until = until;
            row.cordoned_by = if is_local { CordonSource::Local } else { CordonSource::Remote };
            self.changing_weights.insert(key);
        }
    }

    /// Sets the versions of models that an engine reported itself. Models that it did not report keep theirs.
    pub fn set_weights(&mut self, key: EndpointKey, reported: &BTreeMap<String, u64>, now: Moment) {
        let Some(row) = self.rows.get_mut(&key) else { return };
        let is_changed =
            reported.iter().any(|(model, version)| row.entry.weights.get(model) != Some(version));
        if is_changed {
            let mut weights = row.entry.weights.as_ref().clone();
            weights.extend(reported.iter().map(|(model, version)| (model.clone(), *version)));
            row.entry.weights = self.weights.intern(Arc::new(weights));
            row.observed_weights_at = Some(now);
            row.cordoned_until = now;
            row.cached_segments.clear();
            self.changing_weights.insert(key);
        }
    }

    /// Applies a version that a peer reported of an engine, if it is newer than the recorded one.
    pub fn raise_weights(
        &mut self,
        key: EndpointKey,
        model_digest: u64,
        version: u64,
        is_local: bool,
        now: Moment,
    ) {
        let Some(model) = self.model_named(key, model_digest) else { return };
        let Some(row) = self.rows.get_mut(&key) else { return };
        if row.entry.weights.get(&model).is_none_or(|recorded| *recorded < version) {
            Arc::make_mut(&mut row.entry.weights).insert(model, version);
            row.entry.weights = self.weights.intern(Arc::clone(&row.entry.weights));
            row.cached_segments.clear();
            row.cordoned_until = now;
            let reported_at =
                if is_local { &mut row.reported_weights_at } else { &mut row.remote_weights_at };
            *reported_at = Some(now);
            self.changing_weights.insert(key);
        }
    }

    /// Returns the models that an engine serves: those of its entry, or those of its service if it names none.
    pub fn models_of<'a>(&'a self, row: &'a EndpointRow) -> Vec<&'a str> {
        if !row.entry.weights.is_empty() {
            return row.entry.weights.keys().map(String::as_str).collect();
        }
        let engine = self.service(&row.entry.service).and_then(|service| service.engine.as_ref());
        engine.into_iter().flat_map(|engine| engine.models.iter()).map(String::as_str).collect()
    }

    /// Returns the model of an engine whose name has this short digest.
    fn model_named(&self, key: EndpointKey, model_digest: u64) -> Option<String> {
        let models = self.models_of(self.rows.get(&key)?);
        models.into_iter().find(|model| short_digest(model) == model_digest).map(str::to_owned)
    }

    /// Iterates over the endpoints whose weights change or changed recently.
    pub fn rows_with_changing_weights(&self) -> impl Iterator<Item = (EndpointKey, &EndpointRow)> {
        self.changing_weights.iter().filter_map(|key| Some((*key, self.rows.get(key)?.as_ref())))
    }

    /// Reverts to the versions from service discovery, because an engine denied another one.
    pub fn revert_weights(&mut self, key: EndpointKey) {
        if let Some(row) = self.rows.get_mut(&key) {
            row.entry.weights.clone_from(&row.listed_weights);
            row.observed_weights_at = None;
        }
    }
}
