//! All endpoints that this VM knows, with their loads.
//!
//! Invariant: an endpoint that has said it leaves is never chosen again in its present start, and one whose entry is
//! gone only if it writes it again. Of two starts under one id the later one stands, and nothing that is believed of the
//! earlier one holds for it. Rows are found by a short digest of id and start, which is the same on all VMs, so that
//! digests of loads need no names.

use crate::{
    DeploymentConfig, EndpointEntry, EndpointKey, EndpointRow, HomeRegions, LoadSource, SendOutcome,
    SendReport, ServiceRow, SharedWeights, StoreRow, VmKey,
};
use spanfold_entity::Moment;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// A data centre to which a send broke is tried again after this long, in milliseconds.
const FAILING_MILLIS: u64 = 3_000;
/// An endpoint whose entry is gone may go on serving for this long, in milliseconds: the longest
/// deadline of requests that were sent before, and more.
pub(super) const AFTERLIFE_MILLIS: u64 = 15_000;
/// A VM with an answer from any endpoint within this time, in milliseconds, is believed of one that it cannot reach.
const REACHING_MILLIS: u64 = 2_000;
/// Ended incarnations that are remembered, so that a late entry does not revive one: several replacements of all endpoints
/// of a large deployment.
pub(super) const ENDED_MOST: usize = 16_384;

/// All endpoints.
#[derive(Debug, Default)]
pub struct FleetTable {
    /// Each row for itself: a tree's nodes are a third empty.
    pub(super) rows: BTreeMap<EndpointKey, Box<EndpointRow>>,
    /// Weights that many endpoints have, kept once.
    pub(super) weights: SharedWeights,
    pub(super) services: BTreeMap<String, ServiceRow>,
    pub(super) by_service: HashMap<String, Vec<EndpointKey>>,
    /// Ids whose entries cannot be read since they were written last.
    pub(super) unreadable: HashSet<String>,
    /// Services whose endpoints tell their starts.
    pub(super) dated: HashSet<String>,
    /// The newest start of each id.
    pub(super) newest: HashMap<EndpointKey, NewestStart>,
    pub(super) ended: HashMap<EndpointKey, EndedRow>,
    pub(super) stores: BTreeMap<EndpointKey, StoreRow>,
    reach: HashMap<String, ReachNote>,
    pub(super) told: HashMap<LoadSource, ToldRows>,
    /// Endpoints where this VM has work in flight.
    pub(super) own_busy: BTreeSet<EndpointKey>,
    /// Endpoints of which other VMs are told more than loads: their weights change, or have changed lately.
    pub(super) changing: BTreeSet<EndpointKey>,
    /// Evacuated data centres, and until when.
    pub(super) evacuated: BTreeMap<String, Moment>,
    /// The region of each data centre.
    pub(super) regions: BTreeMap<String, String>,
    /// No endpoint is cold from then on, as far as is known.
    pub(super) cold_until: Moment,
    /// Whether any endpoint may name a limit.
    pub(super) has_limits: bool,
}

/// Which rows a source's last digest named: those that its next one does not name are at rest.
#[derive(Debug, Default)]
pub(super) struct ToldRows {
    pub(super) at: Moment,
    pub(super) endpoints: Vec<EndpointKey>,
    pub(super) stores: Vec<EndpointKey>,
}

/// The newest start of an endpoint that was told.
#[derive(Clone, Copy, Debug)]
pub(super) struct NewestStart {
    pub(super) key: EndpointKey,
    pub(super) born_millis: Option<u64>,
}

/// An incarnation that is gone, or that is not known yet and leaves.
#[derive(Debug)]
pub(super) struct EndedRow {
    /// Its id; empty if that is not known yet.
    pub(super) id: String,
    pub(super) at: Moment,
    /// The weights that it had.
    pub(super) weights: Arc<BTreeMap<String, u64>>,
    /// It had said that it leaves.
    pub(super) draining: bool,
}

/// Endpoints that get less work than others, or none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounts {
    /// Those that VMs could not reach.
    pub suspected: usize,
    /// Those that are cold.
    pub cold: usize,
    /// Those that name a limit.
    pub limited: usize,
    /// Those that said in an answer that they leave.
    pub departed: usize,
    /// Those that asked this VM for a rest.
    pub resting: usize,
}

/// What a pass over all endpoints brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetSweep {
    /// Endpoints that were gone and idle, and are dropped.
    pub gone: Vec<EndpointKey>,
    /// Counts of the others.
    pub counts: FleetCounts,
}

/// How sends to a data centre's endpoints went last.
#[derive(Clone, Copy, Debug, Default)]
struct ReachNote {
    broke_at: Option<Moment>,
    answered_at: Option<Moment>,
}

impl FleetTable {
    /// Takes the region of each data centre.
    pub fn set_regions(&mut self, regions: BTreeMap<String, String>) {
        self.regions = regions;
    }

    /// Whether a request with these homes may be served in a data centre, or anything kept of it there.
    pub fn is_home(&self, homes: HomeRegions<'_>, data_centre: &str) -> bool {
        homes.is_anywhere() || homes.allow(self.regions.get(data_centre).map(String::as_str))
    }

    /// Takes the services of a new configuration.
    pub fn set_services(&mut self, config: &DeploymentConfig) {
        self.services.clone_from(&config.services);
        let specs: BTreeMap<_, _> = config
            .services
            .iter()
            .filter_map(|(name, service)| Some((EndpointKey::of(name), service.store.clone()?)))
            .collect();
        self.stores.retain(|key, row| specs.get(key) == Some(&row.spec));
        for (key, spec) in specs {
            self.stores.entry(key).or_insert_with(|| StoreRow::new(spec));
        }
    }

    /// What the configuration says of `service`.
    pub fn service(&self, service: &str) -> Option<&ServiceRow> {
        self.services.get(service)
    }

    /// Notes entries that a whole listing does not hold any more.
    pub fn mark_missing_except(&mut self, listed: &HashSet<EndpointKey>, hold: Moment) -> Vec<String> {
        let missing: Vec<_> = self
            .rows
            .iter()
            .filter(|(key, row)| !listed.contains(key) && row.missing_until.is_none())
            .map(|(_, row)| row.entry.id.clone())
            .collect();
        for id in &missing {
            self.mark_entry_missing(id, hold);
        }
        missing
    }

    /// Drops endpoints that are gone and idle, and counts the others, in one pass over all.
    pub fn sweep(&mut self, now: Moment) -> FleetSweep {
        let mut gone = Vec::new();
        let mut counts = FleetCounts::default();
        for (key, row) in &mut self.rows {
            if row.missing_until.is_some_and(|until| now >= until) && row.own.running == 0 {
                gone.push(*key);
                continue;
            }
            row.relax();
            row.peers.sweep(now);
            counts.suspected += usize::from(row.is_suspected());
            counts.limited += usize::from(row.limit.per_s().is_some());
            counts.departed += usize::from(row.has_departed);
            counts.resting += usize::from(row.rest.is_backing_off(now));
        }
        counts.cold = if now < self.cold_until { self.cold_count(now) } else { 0 };
        let rows = &self.rows;
        self.changing.retain(|key| rows.get(key).is_some_and(|row| row.is_changing(now)));
        for key in &gone {
            let Some(row) = self.rows.remove(key) else { continue };
            self.own_busy.remove(key);
            if let Some(keys) = self.by_service.get_mut(&row.entry.service) {
                keys.retain(|other| other != key);
            }
            let draining = row.has_announced_end();
            let EndpointEntry { id, weights, .. } = row.entry;
            self.record_ended(*key, EndedRow { id, at: now, weights, draining });
        }
        for row in self.stores.values_mut() {
            row.sweep(now);
        }
        self.told.retain(|_, told| now < told.at.after_millis(AFTERLIFE_MILLIS));
        FleetSweep { gone, counts }
    }

    /// Remembers an incarnation that is gone, in place of the one that went first if there are too many.
    pub(super) fn record_ended(&mut self, key: EndpointKey, ended: EndedRow) {
        if self.ended.len() >= ENDED_MOST
            && let Some(first) = self.ended.iter().min_by_key(|(_, row)| row.at).map(|(key, _)| *key)
            && let Some(row) = self.ended.remove(&first)
            && self.key_of(&row.id) == first
        {
            self.newest.remove(&EndpointKey::of(&row.id));
        }
        self.ended.insert(key, ended);
    }

    /// Whether an incarnation that is gone, or not known yet, had said that it leaves.
    pub(super) fn had_departed(&self, key: EndpointKey) -> bool {
        self.ended.get(&key).is_some_and(|row| row.draining)
    }

    /// One endpoint.
    pub fn row(&self, key: EndpointKey) -> Option<&EndpointRow> {
        self.rows.get(&key).map(Box::as_ref)
    }

    /// All endpoints.
    pub fn rows(&self) -> impl Iterator<Item = (EndpointKey, &EndpointRow)> {
        self.rows.iter().map(|(key, row)| (*key, row.as_ref()))
    }

    /// The keys of the endpoints of `service`.
    pub(crate) fn keys_of(&self, service: &str) -> &[EndpointKey] {
        self.by_service.get(service).map_or(&[][..], Vec::as_slice)
    }

    /// The endpoints of `service`.
    pub fn rows_of(&self, service: &str) -> impl Iterator<Item = (EndpointKey, &EndpointRow)> {
        self.keys_of(service).iter().filter_map(|key| self.rows.get(key).map(|row| (*key, row.as_ref())))
    }

    /// Learns from how a send went.
    pub fn learn(&mut self, key: EndpointKey, outcome: SendOutcome, now: Moment) {
        let Some(row) = self.rows.get_mut(&key) else { return };
        row.learn(outcome, now);
        let note = self.reach.entry(row.entry.data_centre.clone()).or_default();
        match outcome {
            SendOutcome::Unreached | SendOutcome::Broken | SendOutcome::Silent => note.broke_at = Some(now),
            SendOutcome::Answered | SendOutcome::Failed | SendOutcome::Refused => {
                note.answered_at = Some(now);
            }
        }
    }

    /// Whether the last send to a data centre broke a short while ago, and none was answered since.
    pub fn is_failing(&self, data_centre: &str, now: Moment) -> bool {
        let Some(note) = self.reach.get(data_centre) else { return false };
        let broke = note.broke_at.filter(|at| now < at.after_millis(FAILING_MILLIS));
        broke.is_some_and(|at| note.answered_at.is_none_or(|answered| answered <= at))
    }

    /// Whether that holds for any data centre.
    pub fn is_any_failing(&self, now: Moment) -> bool {
        self.reach.keys().any(|data_centre| self.is_failing(data_centre, now))
    }

    /// Learns an engine's pace from the time to a first event; gives the multiple of the usual time that it took.
    pub fn record_slowdown(
        &mut self,
        key: EndpointKey,
        taken_micros: u64,
        expected_micros: u64,
    ) -> Option<f32> {
        self.rows.get_mut(&key)?.record_slowdown(taken_micros, expected_micros)
    }

    /// Whether a send is reported to other VMs: it failed, or its endpoint failed before. A broken send indicates nothing
    /// about the endpoint while this VM has no answers from any endpoint.
    pub fn should_propagate(&self, report: &SendReport, now: Moment) -> bool {
        let Some(row) = self.rows.get(&report.key) else { return false };
        let lately = |at: Moment| now < at.after_millis(REACHING_MILLIS);
        let reaches_others = self.reach.values().any(|note| note.answered_at.is_some_and(lately));
        row.should_propagate(report) && (report.outcome == SendOutcome::Answered || reaches_others)
    }

    /// Learns from what another VM reports of a send; `turn` is this VM's place, drawn anew, among all VMs.
    pub fn apply_send_report(&mut self, teller: VmKey, report: &SendReport, turn: f64, now: Moment) {
        if let Some(row) = self.rows.get_mut(&report.key) {
            row.apply_send_report(teller, report, turn, now);
        }
    }
}
