//! All endpoints that this VM knows, with their loads.
//!
//! Invariant: an endpoint that has said it leaves is never chosen again in its present start, and one whose entry is
//! gone only if it writes it again. Of two starts under one id the later one stands, and nothing that is believed of the
//! earlier one holds for it. Rows are found by a short digest of id and start, which is the same on all VMs, so that
//! digests of loads need no names.

use crate::CloseReporter;
use crate::{
    DeploymentConfig, EndpointEntry, EndpointRow, HomeRegions, LoadCount, PromptPart, SendOutcome,
    SendReport, ServiceRow, SharedWeights, StoreRow, StoreSpec,
};
use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// Short digest of an endpoint's id and of its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointKey(pub u64);

/// Short digest of a VM's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VmKey(pub u64);

/// A store, how long moves still take its link in microseconds, and the pace that they have shown lately.
pub type LinkMoves = (EndpointKey, u64, Option<f32>);

/// Whose loads a digest tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LoadSource {
    /// Those of one VM.
    Vm(VmKey),
    /// Those of all VMs of a data centre together, by the short digest of its name.
    DataCentre(u64),
    /// Those of all VMs of all other data centres together, as a lead of this one passed them on.
    Elsewhere,
}

impl LoadSource {
    /// The VMs of a data centre.
    pub fn data_centre(name: &str) -> Self {
        Self::DataCentre(short_digest(name))
    }
}

/// Short digest of `text`; the same on every VM.
///
/// # Examples
/// ```
/// use spanfold_decide::short_digest;
/// assert_ne!(short_digest("a"), short_digest("b"));
/// ```
pub fn short_digest(text: &str) -> u64 {
    let hash = blake3::hash(text.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

impl EndpointKey {
    /// The key of the endpoint called `id`, on a platform that does not tell starts apart: a new start has a new id.
    pub fn of(id: &str) -> Self {
        Self(short_digest(id))
    }

    /// The key of a start of the endpoint called `id`, where `born_millis` tells starts apart.
    ///
    /// All that is believed of an endpoint, here and at other VMs, stands under this key: what belongs to an earlier start
    /// is not found under a later one's.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::EndpointKey;
    /// assert_ne!(EndpointKey::of_start("a", Some(1)), EndpointKey::of_start("a", Some(2)));
    /// assert_eq!(EndpointKey::of_start("a", None), EndpointKey::of("a"));
    /// ```
    pub fn of_start(id: &str, born_millis: Option<u64>) -> Self {
        born_millis.map_or_else(|| Self::of(id), |born| Self(short_digest(&format!("{id}@{born}"))))
    }
}

impl VmKey {
    /// The key of the VM called `name`.
    pub fn of(name: &str) -> Self {
        Self(short_digest(name))
    }
}

/// Memory kept free of the belief about kept parts, as a part of an engine's memory.
const KEPT_PART: f64 = 0.9;
/// A data centre to which a send broke is tried again after this long, in milliseconds.
const FAILING_MILLIS: u64 = 3_000;
/// An endpoint whose entry is gone may go on serving for this long, in milliseconds: the longest
/// deadline of requests that were sent before, and more.
const AFTERLIFE_MILLIS: u64 = 15_000;
/// An endpoint whose entry was written again gets work only after this long, in milliseconds, if its entry stands
/// by then: the entry of one that is silent lapses after three heartbeats of 1.2 s.
const RETURNED_MILLIS: u64 = 4_000;
/// A VM with an answer from any endpoint within this time, in milliseconds, is believed of one that it cannot reach.
const REACHING_MILLIS: u64 = 2_000;
/// Ended incarnations that are remembered, so that a late entry does not revive one: several replacements of all endpoints
/// of a large deployment.
const ENDED_MOST: usize = 16_384;

/// All endpoints.
#[derive(Debug, Default)]
pub struct FleetTable {
    /// Each row for itself: a tree's nodes are a third empty.
    pub(super) rows: BTreeMap<EndpointKey, Box<EndpointRow>>,
    /// Weights that many endpoints have, kept once.
    pub(super) weights: SharedWeights,
    pub(super) services: BTreeMap<String, ServiceRow>,
    by_service: HashMap<String, Vec<EndpointKey>>,
    /// Ids whose entries cannot be read since they were written last.
    unreadable: HashSet<String>,
    /// Services whose endpoints tell their starts.
    dated: HashSet<String>,
    /// The newest start of each id.
    newest: HashMap<EndpointKey, NewestStart>,
    ended: HashMap<EndpointKey, EndedRow>,
    stores: BTreeMap<EndpointKey, StoreRow>,
    reach: HashMap<String, ReachNote>,
    told: HashMap<LoadSource, ToldRows>,
    /// Endpoints where this VM has work in flight.
    own_busy: BTreeSet<EndpointKey>,
    /// Endpoints of which other VMs are told more than loads: their weights change, or have changed lately.
    pub(super) changing: BTreeSet<EndpointKey>,
    /// Evacuated data centres, and until when.
    pub(super) evacuated: BTreeMap<String, Moment>,
    /// The region of each data centre.
    regions: BTreeMap<String, String>,
    /// No endpoint is cold from then on, as far as is known.
    pub(super) cold_until: Moment,
    /// Whether any endpoint may name a limit.
    pub(super) has_limits: bool,
}

/// Which rows a source's last digest named: those that its next one does not name are at rest.
#[derive(Debug, Default)]
struct ToldRows {
    at: Moment,
    endpoints: Vec<EndpointKey>,
    stores: Vec<EndpointKey>,
}

/// The newest start of an endpoint that was told.
#[derive(Clone, Copy, Debug)]
struct NewestStart {
    key: EndpointKey,
    born_millis: Option<u64>,
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
    pub doubted: usize,
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

    /// The stores of kept cache with what the configuration says of them.
    pub fn store_specs(&self) -> Vec<(EndpointKey, StoreSpec)> {
        self.stores.iter().map(|(key, row)| (*key, row.spec.clone())).collect()
    }

    /// All stores of kept cache.
    pub fn stores(&self) -> impl Iterator<Item = (EndpointKey, &StoreRow)> {
        self.stores.iter().map(|(key, row)| (*key, row))
    }

    /// All stores of kept cache, to be changed.
    pub fn stores_mut(&mut self) -> impl Iterator<Item = (EndpointKey, &mut StoreRow)> {
        self.stores.iter_mut().map(|(key, row)| (*key, row))
    }

    /// One store of kept cache.
    pub fn store(&self, key: EndpointKey) -> Option<&StoreRow> {
        self.stores.get(&key)
    }

    /// One store of kept cache, to be changed.
    pub fn store_mut(&mut self, key: EndpointKey) -> Option<&mut StoreRow> {
        self.stores.get_mut(&key)
    }

    /// How long the moves of this VM, and of the VMs that `counts` names, still take each store's link,
    /// in microseconds, and the pace that their moves have shown lately; links at rest are left out.
    pub fn moves_of(&self, counts: impl Fn(VmKey) -> bool, now: Moment) -> Vec<LinkMoves> {
        self.busy_links(|row| row.moves_of(&counts, now))
    }

    /// The same of the VMs of other data centres, as their leads told.
    pub fn far_moves(&self, now: Moment) -> Vec<LinkMoves> {
        self.busy_links(|row| row.far_moves(now))
    }

    fn busy_links(&self, moves_of: impl Fn(&StoreRow) -> (u64, Option<f64>)) -> Vec<LinkMoves> {
        let moves = self.stores.iter().map(|(key, row)| {
            let (micros, pace) = moves_of(row);
            (*key, micros, pace.map(|pace| pace as f32))
        });
        moves.filter(|(_, micros, pace)| *micros > 0 || pace.is_some()).collect()
    }

    /// Takes what another VM says of its moves from stores.
    pub fn apply_peer_moves(&mut self, source: LoadSource, moves: &[LinkMoves], now: Moment) {
        let named = moves.iter().map(|(key, _, _)| *key).collect();
        let before = std::mem::replace(&mut self.told.entry(source).or_default().stores, named);
        for key in before {
            // A link that is not named is at rest.
            if let Some(row) = self.stores.get_mut(&key)
                && !moves.iter().any(|(named, _, _)| *named == key)
            {
                row.clear_peer(source);
            }
        }
        for (key, micros, pace) in moves {
            if let Some(row) = self.stores.get_mut(key) {
                row.set_peer(source, *micros, pace.map(f64::from), now);
            }
        }
    }

    /// What the configuration says of `service`.
    pub fn service(&self, service: &str) -> Option<&ServiceRow> {
        self.services.get(service)
    }

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
                    self.miss_key(known.key, Moment(0));
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
    pub fn miss_entry(&mut self, id: &str, hold: Moment) {
        self.miss_key(self.key_of(id), hold);
    }

    /// The same for one start of an endpoint.
    pub fn miss_key(&mut self, key: EndpointKey, hold: Moment) {
        if let Some(row) = self.rows.get_mut(&key) {
            row.missing_until = Some(row.missing_until.map_or(hold, |until| until.min(hold)));
        }
    }

    /// Goes on holding entries that lapsed, because the store is still in trouble.
    pub fn extend_holds(&mut self, now: Moment, until: Moment) {
        for row in self.rows.values_mut() {
            if let Some(hold) = &mut row.missing_until
                && now < *hold
            {
                *hold = (*hold).max(until);
            }
        }
    }

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

    /// Notes entries that a whole listing does not hold any more.
    pub fn miss_all_but(&mut self, listed: &HashSet<EndpointKey>, hold: Moment) -> Vec<String> {
        let missing: Vec<_> = self
            .rows
            .iter()
            .filter(|(key, row)| !listed.contains(key) && row.missing_until.is_none())
            .map(|(_, row)| row.entry.id.clone())
            .collect();
        for id in &missing {
            self.miss_entry(id, hold);
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
            counts.doubted += usize::from(row.is_doubted());
            counts.limited += usize::from(row.limit.per_s().is_some());
            counts.departed += usize::from(row.has_departed);
            counts.resting += usize::from(row.rest.is_resting(now));
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
            self.note_ended(*key, EndedRow { id, at: now, weights, draining });
        }
        for row in self.stores.values_mut() {
            row.sweep(now);
        }
        self.told.retain(|_, told| now < told.at.after_millis(AFTERLIFE_MILLIS));
        FleetSweep { gone, counts }
    }

    /// Remembers an incarnation that is gone, in place of the one that went first if there are too many.
    pub(super) fn note_ended(&mut self, key: EndpointKey, ended: EndedRow) {
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

    /// The endpoints of `service`.
    pub fn rows_of(&self, service: &str) -> impl Iterator<Item = (EndpointKey, &EndpointRow)> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| self.rows.get(key).map(|row| (*key, row.as_ref())))
    }

    /// Counts work sent to an endpoint, and believes that it keeps `parts` from now on.
    pub fn take(&mut self, key: EndpointKey, load: LoadCount, parts: &[PromptPart], salt: u64) {
        self.note_parts(key, parts, salt);
        if let Some(row) = self.rows.get_mut(&key) {
            row.own.add(load);
            self.own_busy.insert(key);
        }
    }

    /// Counts work as ended.
    pub fn release(&mut self, key: EndpointKey, load: LoadCount) {
        if let Some(row) = self.rows.get_mut(&key) {
            row.own.subtract(load);
            if row.own == LoadCount::default() {
                self.own_busy.remove(&key);
            }
        }
    }

    /// Believes that an endpoint keeps `parts` from now on.
    pub fn note_parts(&mut self, key: EndpointKey, parts: &[PromptPart], salt: u64) {
        let Some(row) = self.rows.get_mut(&key) else { return };
        let memory = self
            .services
            .get(&row.entry.service)
            .and_then(|service| service.engine.as_ref())
            .map_or(0, |engine| engine.memory_tokens);
        row.kept.note(parts, salt, (memory as f64 * KEPT_PART) as u64);
    }

    /// Takes what other VMs say they have in flight.
    pub fn apply_peer_loads(&mut self, source: LoadSource, loads: &[(EndpointKey, LoadCount)], now: Moment) {
        let named = loads.iter().map(|(key, _)| *key).collect();
        let told = self.told.entry(source).or_default();
        told.at = now;
        let before = std::mem::replace(&mut told.endpoints, named);
        for key in before {
            if let Some(row) = self.rows.get_mut(&key) {
                row.peers.clear(source);
            }
        }
        for (key, load) in loads {
            if let Some(row) = self.rows.get_mut(key) {
                row.peers.set(source, *load, now);
            }
        }
    }

    /// What this VM, and the VMs that `counts` names, have in flight; idle endpoints are left out.
    pub fn loads_of(&self, counts: impl Fn(VmKey) -> bool, now: Moment) -> Vec<(EndpointKey, LoadCount)> {
        let told = self.told_by(|source| matches!(source, LoadSource::Vm(vm) if counts(vm)));
        let busy: BTreeSet<_> = self.own_busy.iter().copied().chain(told).collect();
        self.loads_at(busy, |row| row.load_of(&counts, now))
    }

    /// Endpoints that the last digests of some sources named: all others are at rest there.
    fn told_by(&self, counts: impl Fn(LoadSource) -> bool) -> impl Iterator<Item = EndpointKey> {
        let told = self.told.iter().filter(move |(source, _)| counts(**source));
        told.flat_map(|(_, rows)| rows.endpoints.iter().copied())
    }

    fn loads_at(
        &self,
        keys: BTreeSet<EndpointKey>,
        load: impl Fn(&EndpointRow) -> LoadCount,
    ) -> Vec<(EndpointKey, LoadCount)> {
        let loads = keys.into_iter().filter_map(|key| Some((key, load(self.rows.get(&key)?))));
        loads.filter(|(_, load)| *load != LoadCount::default()).collect()
    }

    /// What the VMs of other data centres have in flight, as their leads told; idle endpoints are left out.
    pub fn far_loads(&self, now: Moment) -> Vec<(EndpointKey, LoadCount)> {
        let busy = self.told_by(|source| matches!(source, LoadSource::DataCentre(_))).collect();
        self.loads_at(busy, |row| row.peers.sum_far(now))
    }

    /// Gives an engine no new work until `until`, because its weights are about to change.
    pub fn close_until(&mut self, key: EndpointKey, until: Moment) {
        if let Some(row) = self.rows.get_mut(&key) {
            row.closing_until = until;
            row.closed_by = CloseReporter::Own;
            self.changing.insert(key);
        }
    }

    /// The same, as told by the VM that orders the change or by one that passes it on.
    pub fn close_as_told(&mut self, key: EndpointKey, until: Moment, is_near: bool) {
        if let Some(row) = self.rows.get_mut(&key) {
            row.closing_until = until;
            row.closed_by = if is_near { CloseReporter::Near } else { CloseReporter::Far };
            self.changing.insert(key);
        }
    }

    /// Takes the weight versions that an engine told itself.
    pub fn set_weights(&mut self, key: EndpointKey, weights: &BTreeMap<String, u64>, now: Moment) {
        if let Some(row) = self.rows.get_mut(&key)
            && *row.entry.weights != *weights
        {
            row.entry.weights = self.weights.share(Arc::new(weights.clone()));
            row.weights_seen = Some(now);
            row.closing_until = now;
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
        is_near: bool,
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
            row.closing_until = now;
            let told = if is_near { &mut row.weights_told } else { &mut row.weights_far };
            *told = Some(now);
            self.changing.insert(key);
        }
    }

    /// Endpoints whose weights change, or have changed lately.
    pub fn changing(&self) -> impl Iterator<Item = (EndpointKey, &EndpointRow)> {
        self.changing.iter().filter_map(|key| Some((*key, self.rows.get(key)?.as_ref())))
    }

    /// Falls back to the versions that service discovery told, because an engine denied another.
    pub fn doubt_weights(&mut self, key: EndpointKey) {
        if let Some(row) = self.rows.get_mut(&key) {
            row.entry.weights.clone_from(&row.listed_weights);
            row.weights_seen = None;
        }
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
    pub fn learn_pace(&mut self, key: EndpointKey, taken_micros: u64, expected_micros: u64) -> Option<f32> {
        self.rows.get_mut(&key)?.learn_pace(taken_micros, expected_micros)
    }

    /// Whether a send is reported to other VMs: it failed, or its endpoint failed before. A broken send indicates nothing
    /// about the endpoint while this VM has no answers from any endpoint.
    pub fn is_notable(&self, report: &SendReport, now: Moment) -> bool {
        let Some(row) = self.rows.get(&report.key) else { return false };
        let lately = |at: Moment| now < at.after_millis(REACHING_MILLIS);
        let reaches_others = self.reach.values().any(|note| note.answered_at.is_some_and(lately));
        row.is_notable(report) && (report.outcome == SendOutcome::Answered || reaches_others)
    }

    /// Learns from what another VM reports of a send; `turn` is this VM's place, drawn anew, among all VMs.
    pub fn learn_reported(&mut self, teller: VmKey, report: &SendReport, turn: f64, now: Moment) {
        if let Some(row) = self.rows.get_mut(&report.key) {
            row.learn_reported(teller, report, turn, now);
        }
    }
}
