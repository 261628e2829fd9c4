//! Table of all listed endpoints, with their loads.
//!
//! Each start of an endpoint is an incarnation with a row of its own. Rows are keyed by a short digest of the
//! id and the start time. The digest is the same on all VMs, so that load digests need no names.
//!
//! Invariant: an incarnation that has announced its departure is never chosen again. One whose entry was
//! removed is chosen again only after its entry is written anew. Of two incarnations of one id the later one
//! is current, and no state of the earlier one applies to it.

use crate::fleet::reported_health::AvoidanceReport;
use crate::{
    CostModel, DeploymentConfig, EndpointEntry, EndpointKey, EndpointRow, HomeRegions, LoadSource,
    PendingTime, SendOutcome, SendReport, ServiceCosts, ServiceRow, SharedWeights, SoftwareHistory, StoreRow,
    StreamPauses, ViewAges, VmKey, short_digest,
};
use spanfold_entity::Moment;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// Time after which a data centre is tried again once a send to it failed, in milliseconds.
const DATA_CENTRE_RETRY_DELAY_MILLIS: u64 = 3_000;
/// Time for which an endpoint may continue to serve after its entry was removed, in milliseconds.
///
/// Exceeds the longest deadline of requests that were sent before the removal.
pub(super) const REMOVED_RETENTION_MILLIS: u64 = 15_000;
/// Age up to which an answer from any endpoint shows that this VM is not cut off itself, in milliseconds.
///
/// Only then does it report to other VMs that it cannot reach an endpoint.
const REACHABILITY_WINDOW_MILLIS: u64 = 2_000;
/// Avoidances that one sweep reports, since each is logged.
pub const MAX_AVOIDANCE_CHANGES: usize = 8;
/// Random draws for each endpoint to probe: some hit the same one again, or one that departs.
const PROBE_DRAWS: usize = 6;
/// Removed incarnations that are retained, so that a late entry does not restore one.
///
/// Covers several replacements of all endpoints of a large deployment. Bounds the unreadable ids too.
pub(super) const MAX_REMOVED_ENDPOINTS: usize = 16_384;

/// Table of all endpoints.
#[derive(Debug, Default)]
pub struct FleetTable {
    /// Rows by key, each in its own allocation: the nodes of a tree are a third empty.
    pub(super) rows: BTreeMap<EndpointKey, Box<EndpointRow>>,
    /// Weight sets shared by many endpoints.
    pub(super) weights: SharedWeights,
    pub(super) services: BTreeMap<String, ServiceRow>,
    pub(super) keys_by_service: HashMap<String, Vec<EndpointKey>>,
    /// Ids whose last written entries cannot be parsed.
    pub(super) unreadable_ids: HashSet<String>,
    /// Services whose endpoints state their start times.
    pub(super) dated_services: HashSet<String>,
    /// Newest incarnation of each id.
    pub(super) newest_incarnations: HashMap<EndpointKey, NewestIncarnation>,
    pub(super) removed: HashMap<EndpointKey, RemovedEndpoint>,
    pub(super) stores: BTreeMap<EndpointKey, StoreRow>,
    reachability: HashMap<String, ReachabilityRecord>,
    /// Learned costs of the services to which the model applies.
    cost_models: BTreeMap<String, CostModel>,
    pub(super) reported_rows: HashMap<LoadSource, ReportedRows>,
    /// Endpoints where this VM has work in flight.
    pub(super) own_busy: BTreeSet<EndpointKey>,
    /// Endpoints whose weights change or changed recently, which digests contain besides their loads.
    pub(super) changing_weights: BTreeSet<EndpointKey>,
    /// Evacuated data centres, with the end of each evacuation.
    pub(super) evacuated: BTreeMap<String, Moment>,
    /// Region of each data centre.
    pub(super) regions: BTreeMap<String, String>,
    /// Time from which no endpoint is cold, as far as recorded.
    ///
    /// Counts only endpoints whose service has a reduced rate while cold, and those that stated a warm-up time
    /// in an answer.
    pub(super) max_cold_until: Moment,
    /// Software versions of endpoints that are gone.
    pub(super) software_history: SoftwareHistory,
    /// When to check again whether the software versions of a service are settled, by its name.
    pub(super) settle_due: HashMap<String, Moment>,
    /// Whether any endpoint may have a reported limit.
    pub(super) has_limits: bool,
    /// Ages of other VMs' reports; zero while they count as current.
    pub(super) view_ages: ViewAges,
    /// Mean interval between reports from other data centres, in microseconds.
    pub(super) leader_interval_micros: f64,
    /// Time for which load stays pending, by service.
    pub(super) pending_times: HashMap<String, PendingTime>,
    /// Overlong pauses of streams, by service.
    pub(super) stream_pauses: HashMap<String, StreamPauses>,
}

/// Rows that the last digest of a source listed.
///
/// Rows that its next digest does not list are idle there.
#[derive(Debug, Default)]
pub(super) struct ReportedRows {
    pub(super) received_at: Moment,
    pub(super) endpoints: Vec<EndpointKey>,
    pub(super) stores: Vec<EndpointKey>,
}

/// Newest incarnation of an endpoint that an entry has listed.
#[derive(Clone, Copy, Debug)]
pub(super) struct NewestIncarnation {
    pub(super) key: EndpointKey,
    pub(super) born_millis: Option<u64>,
}

/// Incarnation that was removed, or one that departs and is not listed yet.
#[derive(Debug)]
pub(super) struct RemovedEndpoint {
    /// Its id; empty if it was never listed.
    pub(super) id: String,
    pub(super) recorded_at: Moment,
    /// Weights that it had loaded.
    pub(super) weights: Arc<BTreeMap<String, u64>>,
    /// Whether it had announced its departure.
    pub(super) has_departed: bool,
}

/// Counts of endpoints that get less work than others, or none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounts {
    /// Endpoints that VMs could not reach.
    pub suspected: usize,
    /// Endpoints that are skipped now on other VMs' reports.
    pub avoided: usize,
    /// Endpoints that are cold.
    pub cold: usize,
    /// Endpoints with a reported limit.
    pub limited: usize,
    /// Endpoints that announced their departure in an answer.
    pub departed: usize,
    /// Endpoints that asked this VM for a backoff that has not expired.
    pub backing_off: usize,
    /// Endpoints without an entry that get work until their grace periods end.
    pub unlisted: usize,
}

/// Beginning or end of an avoidance of an endpoint, on other VMs' reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AvoidanceChange {
    /// Id of the endpoint.
    pub endpoint: String,
    /// The reports on which it is avoided; none if a VM has received an answer since.
    pub basis: Option<AvoidanceReport>,
}

/// Result of a sweep over all endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetSweep {
    /// Endpoints that were removed: their entries are gone and this VM has no work in flight there.
    pub removed: Vec<EndpointKey>,
    /// Counts of the remaining endpoints.
    pub counts: FleetCounts,
    /// Avoidances that began or ended, at most [`MAX_AVOIDANCE_CHANGES`]: later sweeps report the others.
    pub avoidances: Vec<AvoidanceChange>,
    /// Ids of endpoints that were served without an entry and no longer are; at most
    /// [`MAX_AVOIDANCE_CHANGES`].
    pub unlisted: Vec<String>,
}

/// Times of the last failed and the last answered send to a data centre's endpoints.
#[derive(Clone, Copy, Debug, Default)]
struct ReachabilityRecord {
    failed_at: Option<Moment>,
    answered_at: Option<Moment>,
}

impl FleetTable {
    /// Sets the region of each data centre.
    pub fn set_regions(&mut self, regions: BTreeMap<String, String>) {
        self.regions = regions;
    }

    /// Whether a request with these home regions may be served, or its cache stored, in a data centre.
    pub fn is_home(&self, homes: HomeRegions<'_>, data_centre: &str) -> bool {
        homes.is_anywhere() || homes.allow(self.regions.get(data_centre).map(String::as_str))
    }

    /// Applies the services of a new configuration.
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
        let learned: BTreeSet<_> = config
            .services
            .iter()
            .filter(|(_, service)| service.engine.as_ref().is_some_and(CostModel::applies_to))
            .map(|(name, _)| name)
            .collect();
        self.cost_models.retain(|name, _| learned.contains(name));
        for name in learned {
            if !self.cost_models.contains_key(name) {
                self.cost_models.insert(name.clone(), CostModel::default());
            }
        }
    }

    /// Returns the configuration of `service`.
    pub fn service(&self, service: &str) -> Option<&ServiceRow> {
        self.services.get(service)
    }

    /// Marks entries missing that a full listing does not contain; returns their ids.
    pub fn mark_missing_except(
        &mut self,
        listed: &HashSet<EndpointKey>,
        grace_deadline: Moment,
    ) -> Vec<String> {
        let missing: Vec<_> = self
            .rows
            .iter()
            .filter(|(key, row)| !listed.contains(key) && row.grace_deadline.is_none())
            .map(|(_, row)| row.entry.id.clone())
            .collect();
        for id in &missing {
            self.mark_entry_missing(id, grace_deadline);
        }
        missing
    }

    /// Removes idle endpoints whose entries are gone and counts the others, in one pass.
    pub fn sweep(&mut self, now: Moment) -> FleetSweep {
        let mut removed = Vec::new();
        let mut counts = FleetCounts::default();
        let mut avoidances = Vec::new();
        let mut unlisted = Vec::new();
        for (key, row) in &mut self.rows {
            let is_served_unlisted = row.grace_deadline.is_some_and(|deadline| now < deadline);
            let was_served_unlisted = std::mem::replace(&mut row.grace.was_running, is_served_unlisted);
            if was_served_unlisted && !is_served_unlisted && unlisted.len() < MAX_AVOIDANCE_CHANGES {
                unlisted.push(row.entry.id.clone());
            }
            if row.grace_deadline.is_some_and(|deadline| now >= deadline) && row.own.running == 0 {
                removed.push(*key);
                continue;
            }
            row.decay_slowdown();
            row.peer_loads.sweep(now);
            counts.suspected += usize::from(row.is_suspected());
            counts.avoided += usize::from(row.is_avoided(now));
            if row.is_suspected() != row.is_avoidance_reported && avoidances.len() < MAX_AVOIDANCE_CHANGES {
                row.is_avoidance_reported = row.is_suspected();
                let (endpoint, basis) = (row.entry.id.clone(), row.avoidance_basis());
                avoidances.push(AvoidanceChange { endpoint, basis });
            }
            counts.limited += usize::from(row.limit.per_s().is_some());
            counts.departed += usize::from(row.has_departed);
            counts.backing_off += usize::from(row.backoff.is_backing_off(now));
            counts.unlisted += usize::from(is_served_unlisted);
        }
        counts.cold = if now < self.max_cold_until { self.cold_count(now) } else { 0 };
        let rows = &self.rows;
        self.changing_weights.retain(|key| rows.get(key).is_some_and(|row| row.has_changing_weights(now)));
        for key in &removed {
            let Some(row) = self.rows.remove(key) else { continue };
            self.own_busy.remove(key);
            if let Some(keys) = self.keys_by_service.get_mut(&row.entry.service) {
                keys.retain(|listed_key| listed_key != key);
            }
            let software = short_digest(&row.entry.version);
            self.settle_due.remove(&row.entry.service);
            self.software_history.record_gone(&row.entry.service, software, now);
            let has_departed = row.has_announced_departure();
            let EndpointEntry { id, weights, .. } = row.entry;
            self.record_removed(*key, RemovedEndpoint { id, recorded_at: now, weights, has_departed });
        }
        self.reserve_scarce_versions(now);
        for row in self.stores.values_mut() {
            row.sweep(now);
        }
        self.reported_rows.retain(|_, rows| now < rows.received_at.after_millis(REMOVED_RETENTION_MILLIS));
        FleetSweep { removed, counts, avoidances, unlisted }
    }

    /// Records a removed incarnation, and evicts the oldest record when the limit is reached.
    pub(super) fn record_removed(&mut self, key: EndpointKey, removed: RemovedEndpoint) {
        if self.removed.len() >= MAX_REMOVED_ENDPOINTS
            && let Some(oldest) =
                self.removed.iter().min_by_key(|(_, row)| row.recorded_at).map(|(key, _)| *key)
            && let Some(row) = self.removed.remove(&oldest)
            && self.key_of(&row.id) == oldest
        {
            self.newest_incarnations.remove(&EndpointKey::of(&row.id));
        }
        self.removed.insert(key, removed);
    }

    /// Whether an incarnation that was removed, or is not listed yet, had announced its departure.
    pub(super) fn had_departed(&self, key: EndpointKey) -> bool {
        self.removed.get(&key).is_some_and(|row| row.has_departed)
    }

    /// Returns the row of an endpoint.
    pub fn row(&self, key: EndpointKey) -> Option<&EndpointRow> {
        self.rows.get(&key).map(Box::as_ref)
    }

    /// Iterates over all endpoints.
    pub fn rows(&self) -> impl Iterator<Item = (EndpointKey, &EndpointRow)> {
        self.rows.iter().map(|(key, row)| (*key, row.as_ref()))
    }

    /// Returns the keys of the endpoints of `service`.
    pub(crate) fn keys_of(&self, service: &str) -> &[EndpointKey] {
        self.keys_by_service.get(service).map_or(&[][..], Vec::as_slice)
    }

    /// Iterates over the endpoints of `service`.
    pub fn rows_of(&self, service: &str) -> impl Iterator<Item = (EndpointKey, &EndpointRow)> {
        self.keys_of(service).iter().filter_map(|key| self.rows.get(key).map(|row| (*key, row.as_ref())))
    }

    /// Records the outcome of a send by this VM.
    pub fn record_outcome(&mut self, key: EndpointKey, outcome: SendOutcome, now: Moment) {
        let Some(row) = self.rows.get_mut(&key) else { return };
        row.record_outcome(outcome, now);
        let record = self.reachability.entry(row.entry.data_centre.clone()).or_default();
        match outcome {
            SendOutcome::Unreached | SendOutcome::Broken | SendOutcome::Silent => {
                record.failed_at = Some(now);
            }
            SendOutcome::Answered | SendOutcome::Failed | SendOutcome::Refused => {
                record.answered_at = Some(now);
            }
        }
    }

    /// Discards this VM's failures since `since`, when it had no path to any endpoint.
    pub fn discard_failures(&mut self, since: Moment) {
        for row in self.rows.values_mut() {
            row.discard_failures(since);
        }
        for record in self.reachability.values_mut() {
            record.failed_at = record.failed_at.filter(|at| *at < since);
        }
    }

    /// Draws endpoints to probe: of different data centres and services first, and none that departs.
    ///
    /// `draw` returns random numbers from 0 to 1. The time does not grow with the number of endpoints.
    pub fn draw_probe_targets(
        &self,
        count: usize,
        exclude: &[EndpointKey],
        draw: impl Fn() -> f64,
        now: Moment,
    ) -> Vec<EndpointKey> {
        let services: Vec<_> = self.keys_by_service.values().filter(|keys| !keys.is_empty()).collect();
        let index = |length: usize| ((draw() * length as f64) as usize).min(length - 1);
        let mut drawn: Vec<(EndpointKey, &EndpointRow)> = Vec::new();
        if services.is_empty() {
            return Vec::new();
        }
        for _ in 0..count * PROBE_DRAWS {
            let keys = services[index(services.len())];
            let key = keys[index(keys.len())];
            let row = self.rows.get(&key).filter(|row| !row.is_departing(now));
            let is_new = !exclude.contains(&key) && drawn.iter().all(|(other, _)| *other != key);
            if let Some(row) = row.filter(|_| is_new) {
                drawn.push((key, row));
            }
        }
        let mut chosen = Vec::new();
        let mut seen = Vec::new();
        drawn.retain(|(key, row)| {
            let place = (row.entry.data_centre.as_str(), row.entry.service.as_str());
            let is_first = !seen.contains(&place);
            if is_first {
                seen.push(place);
                chosen.push(*key);
            }
            !is_first
        });
        chosen.extend(drawn.iter().map(|(key, _)| *key));
        chosen.truncate(count);
        chosen
    }

    /// Whether a send to a data centre failed recently and none has been answered since.
    pub fn is_failing(&self, data_centre: &str, now: Moment) -> bool {
        let Some(record) = self.reachability.get(data_centre) else { return false };
        let failed_at = record.failed_at.filter(|at| now < at.after_millis(DATA_CENTRE_RETRY_DELAY_MILLIS));
        failed_at.is_some_and(|at| record.answered_at.is_none_or(|answered_at| answered_at <= at))
    }

    /// Whether [`is_failing`](Self::is_failing) holds for any data centre.
    pub fn is_any_failing(&self, now: Moment) -> bool {
        self.reachability.keys().any(|data_centre| self.is_failing(data_centre, now))
    }

    /// Updates an engine's slowdown from the time to a first event.
    ///
    /// Returns the sample, a multiple of the usual time.
    pub fn record_slowdown(
        &mut self,
        key: EndpointKey,
        taken_micros: u64,
        expected_micros: u64,
    ) -> Option<f32> {
        self.rows.get_mut(&key)?.record_slowdown(taken_micros, expected_micros)
    }

    /// Records the time from a send to its first event, if the costs of the endpoint's service are learned.
    ///
    /// `sample_tokens` is that of the endpoint's choice. Times of endpoints that are cold or suspected at
    /// `now` are discarded.
    pub fn record_first_event(
        &mut self,
        key: EndpointKey,
        sample_tokens: u64,
        taken_micros: u64,
        now: Moment,
    ) {
        let Some(row) = self.rows.get(&key) else { return };
        if now < row.cold_until || row.is_suspected() {
            return;
        }
        if let Some(model) = self.cost_models.get_mut(&row.entry.service) {
            model.record(sample_tokens, taken_micros as f64);
        }
    }

    /// Returns the expected times of a service's engines.
    pub fn costs(&self, service: &str) -> ServiceCosts {
        self.cost_models.get(service).map_or(ServiceCosts::CONSTANT, CostModel::costs)
    }

    /// Iterates over the services whose costs are learned, with their estimates.
    pub fn cost_models(&self) -> impl Iterator<Item = (&str, &CostModel)> {
        self.cost_models.iter().map(|(service, model)| (service.as_str(), model))
    }

    /// Whether a send is reported to other VMs: it failed, or its endpoint failed before.
    ///
    /// A failed send indicates nothing about the endpoint while this VM has no answers from any endpoint.
    pub fn should_propagate(&self, report: &SendReport, now: Moment) -> bool {
        let Some(row) = self.rows.get(&report.key) else { return false };
        let is_recent = |at: Moment| now < at.after_millis(REACHABILITY_WINDOW_MILLIS);
        let reaches_others =
            self.reachability.values().any(|record| record.answered_at.is_some_and(is_recent));
        row.should_propagate(report) && (report.outcome == SendOutcome::Answered || reaches_others)
    }

    /// Applies another VM's report of a send.
    ///
    /// `slot` is a fresh random draw of this VM's position among all VMs, which staggers their retries.
    /// Returns whether the report begins an avoidance of the endpoint.
    pub fn apply_send_report(
        &mut self,
        reporter: VmKey,
        report: &SendReport,
        slot: f64,
        now: Moment,
    ) -> bool {
        let row = self.rows.get_mut(&report.key);
        row.is_some_and(|row| row.apply_send_report(reporter, report, slot, now))
    }
}
