//! Scheduling of weight loads by the holder of the orders lease.
//!
//! Invariant: orders are sent only while the holder's lease is safe by its own monotonic clock, and a new
//! holder waits for the time in which its predecessor's last order may still take effect. Each order states
//! the target and the number of orders that the engine has accepted, so that the engine itself refuses an
//! order that arrives after a newer one. An engine that serves several models loads one of them at a time, and
//! what is learned of one model changes nothing of another.

use crate::{EndpointKey, short_digest};
use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;
use std::cmp::Reverse;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

/// Number of engines that may load at the same time in a small deployment; large ones allow more. By
/// specification for 18 engines, more concurrent loads slow one another down.
const MIN_CONCURRENT_LOADS: usize = 3;
/// Fraction of the time until old weights are overdue. All engines should have loaded within it: large
/// deployments run as many concurrent loads as that takes (9 of 60 engines in 12 s; more than 12 loads slow
/// one another down). The other half is a reserve for a holder that fails.
const LOADING_FRACTION: f64 = 0.5;
/// Fraction of all engines that may be cordoned at the same time, loading ones included: while some load, the
/// next ones finish their running requests.
const MAX_CORDONED_FRACTION: f64 = 0.3;
/// Fraction of all engines that may be cordoned if fewer would not load all models in time.
const MAX_REQUIRED_FRACTION: f64 = 0.5;
/// Interval after which an order without effect is repeated, in milliseconds: running requests finish first,
/// and a load takes about a second.
const REPEAT_INTERVAL_MILLIS: u64 = 4_000;
/// Minimum time between the cordon of an engine and its order, in milliseconds. By then all VMs have received
/// the cordon.
const MIN_CORDON_MILLIS: u64 = 100;
/// Longest wait for an engine's running requests between its cordon and its order, in milliseconds. Requests
/// that still run then finish before the load all the same.
const MAX_CORDON_MILLIS: u64 = 900;

/// Assumed time of a load until one is measured, in microseconds (specified: 0.76 s).
const FIRST_LOAD_MICROS: u64 = 900_000;
/// Typical delay until the end of a load is noticed, in microseconds: reports lag, and engines are polled in
/// turn.
const REPORT_DELAY_MICROS: u64 = 250_000;
/// Fraction of the estimated load time after which engines are polled for completion. Polls are priced.
const POLL_START_FRACTION: f64 = 0.8;
/// Lower bound of the estimated load time, in microseconds.
const MIN_LOAD_MICROS: u64 = 300_000;
/// Upper bound of the estimated load time, in microseconds: a longer load waited for running requests.
const MAX_LOAD_MICROS: u64 = 1_500_000;

/// VM that may order engines; stored under a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Name of the VM.
    pub name: String,
    /// Incarnation of the VM.
    pub incarnation: u64,
    /// Lease to which the record is attached.
    pub lease: u64,
}

/// Ownership of a holder's record, from the view of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseOwnership {
    /// Written by this process under its current lease.
    Own,
    /// Written by an earlier process of this VM: the holder is the same VM.
    PreviousProcess,
    /// Written by this process under an expired lease: the record is deleted, or soon will be.
    Expired,
    /// Written by another VM, which is the holder.
    Other,
}

impl LeaseHolder {
    /// Returns the ownership of this record, for the process that would write `own`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{LeaseHolder, LeaseOwnership};
    /// let own = LeaseHolder { name: "vm-1".into(), incarnation: 7, lease: 3 };
    /// let before = LeaseHolder { lease: 2, ..own.clone() };
    /// assert_eq!(before.ownership(&own), LeaseOwnership::Expired);
    /// ```
    pub fn ownership(&self, own: &Self) -> LeaseOwnership {
        if self.name != own.name {
            LeaseOwnership::Other
        } else if self.incarnation != own.incarnation {
            LeaseOwnership::PreviousProcess
        } else if self.lease != own.lease {
            LeaseOwnership::Expired
        } else {
            LeaseOwnership::Own
        }
    }
}

/// Recorded state of one model at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineState {
    /// Key of the engine.
    pub key: EndpointKey,
    /// Model that the engine serves.
    pub model: String,
    /// Weight version that it last reported; [`UNKNOWN_VERSION`](crate::UNKNOWN_VERSION) if it reported none.
    pub version: u64,
    /// Target weight version.
    pub target: u64,
    /// Number of requests in flight at the engine.
    pub running: u32,
}

/// Next step for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WeightStep {
    /// Cordon the engine: an order follows.
    Cordon(EndpointKey),
    /// Order the engine to load this version of the model.
    Order(EndpointKey, String, u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoadStage {
    /// Cordoned since this moment; ordered once its requests have finished.
    Cordoned(Moment),
    /// Ordered at the first moment; repeated from the second on if it has no effect.
    Ordered(Moment, Moment),
}

/// Load of a model's version at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
struct WeightLoad {
    model: String,
    version: u64,
    stage: LoadStage,
}

impl WeightLoad {
    fn is_of(&self, engine: &EngineState) -> bool {
        self.model == engine.model
    }
}

/// Schedule of the weight loads in progress.
#[derive(Debug)]
pub struct WeightScheduler {
    /// At most one load for each engine.
    loads: BTreeMap<EndpointKey, WeightLoad>,
    /// Unreachable engines, with the time before which they get no order; other engines precede them.
    unreachable: BTreeMap<EndpointKey, Moment>,
    /// Estimated time of a load, in microseconds.
    load_micros: u64,
    /// Time after which old weights are overdue, in milliseconds.
    version_millis: u64,
}

impl WeightScheduler {
    /// Creates a scheduler without loads. Old weights are overdue `version_millis` after newer ones are
    /// published.
    pub const fn new(version_millis: u64) -> Self {
        Self {
            loads: BTreeMap::new(),
            unreachable: BTreeMap::new(),
            load_micros: FIRST_LOAD_MICROS,
            version_millis,
        }
    }

    /// Returns the next steps, based on the recorded states of all models at all engines.
    ///
    /// # Examples
    /// ```
    /// use spanfold_entity::Moment;
    /// use spanfold_decide::{WeightStep, EndpointKey, EngineState, WeightScheduler};
    /// let engine = EngineState {
    ///     key: EndpointKey(1), model: "m".into(), version: 1, target: 2, running: 0,
    /// };
    /// let steps = WeightScheduler::new(10_000).steps(&[engine], Moment(0));
    /// assert_eq!(steps, [WeightStep::Cordon(EndpointKey(1))]);
    /// ```
    pub fn steps(&mut self, engines: &[EngineState], now: Moment) -> Vec<WeightStep> {
        self.discard_finished(engines, now);
        let mut steps = Vec::new();
        let mut loading = self.loading_count(now);
        let max_loads = self.max_concurrent_loads(engines);
        for engine in engines {
            let load = self.loads.get_mut(&engine.key).filter(|load| load.is_of(engine));
            let Some(load) = load else { continue };
            let is_due = match load.stage {
                LoadStage::Cordoned(since) => {
                    let is_drained = engine.running == 0 && now >= since.after_millis(MIN_CORDON_MILLIS);
                    let is_cordon_expired = now >= since.after_millis(MAX_CORDON_MILLIS);
                    let is_due = (is_drained || is_cordon_expired) && loading < max_loads;
                    loading += usize::from(is_due);
                    is_due
                }
                LoadStage::Ordered(_, repeat_at) => now >= repeat_at,
            };
            if is_due {
                load.stage = LoadStage::Ordered(now, now.after_millis(REPEAT_INTERVAL_MILLIS));
                steps.push(WeightStep::Order(engine.key, engine.model.clone(), load.version));
            }
        }
        self.cordon_next(engines, now, &mut steps);
        steps
    }

    /// Returns engines whose loads may be finished, so that their state is worth polling.
    pub fn finishing_loads(&self, now: Moment) -> impl Iterator<Item = EndpointKey> {
        let poll_start_micros = (self.load_micros as f64 * POLL_START_FRACTION) as u64;
        let ordered = self.loads.iter().filter(move |(_, load)| match load.stage {
            LoadStage::Cordoned(_) => false,
            LoadStage::Ordered(since, _) => now >= since.after_micros(poll_start_micros),
        });
        ordered.map(|(key, _)| *key)
    }

    /// Repeats the order of a model's `version` from `at` on, because the engine did not accept it.
    ///
    /// A newer version may have been published since; its load is not affected.
    pub fn repeat(&mut self, key: EndpointKey, model: &str, version: u64, at: Moment) {
        if let Some(load) = self.loads.get_mut(&key)
            && (load.model == model && load.version == version)
        {
            load.stage = LoadStage::Ordered(at, at);
        }
    }

    /// Releases the slot of an unreachable engine to others until `until`. The engine is idle, so it would
    /// otherwise be selected first again and again.
    pub fn set_aside(&mut self, key: EndpointKey, model: &str, version: u64, until: Moment) {
        if self.loads.get(&key).is_some_and(|load| load.model == model && load.version == version) {
            self.loads.remove(&key);
            self.unreachable.insert(key, until);
        }
    }

    /// Records that an engine is reachable.
    pub fn record_reached(&mut self, key: EndpointKey) {
        self.unreachable.remove(&key);
    }

    /// Returns the cordoned engines.
    pub fn cordoned(&self) -> impl Iterator<Item = EndpointKey> {
        self.loads.keys().copied()
    }

    /// Cordons the next engines: those that are the most versions behind and have the fewest requests.
    ///
    /// If several models of an engine are behind equally, different engines begin with different ones.
    fn cordon_next(&mut self, engines: &[EngineState], now: Moment, steps: &mut Vec<WeightStep>) {
        let engine_count = engines.iter().map(|engine| engine.key).collect::<BTreeSet<_>>().len() as f64;
        let max_required = (engine_count * MAX_REQUIRED_FRACTION) as usize;
        let required = self.required_loads(engines).min(max_required);
        let max_cordoned = ((engine_count * MAX_CORDONED_FRACTION) as usize).max(required).max(1);
        let mut waiting: Vec<_> = engines
            .iter()
            .filter(|engine| engine.version < engine.target && !self.loads.contains_key(&engine.key))
            .filter(|engine| self.unreachable.get(&engine.key).is_none_or(|until| now >= *until))
            .collect();
        let is_unreachable = |engine: &EngineState| self.unreachable.contains_key(&engine.key);
        waiting.sort_by_cached_key(|engine| {
            let behind = Reverse(engine.target - engine.version);
            let draw = short_digest(&engine.model) ^ engine.key.0;
            (is_unreachable(engine), behind, engine.running, engine.key, draw)
        });
        for engine in waiting {
            if self.loads.len() >= max_cordoned {
                return;
            }
            if let Entry::Vacant(entry) = self.loads.entry(engine.key) {
                let (model, version) = (engine.model.clone(), engine.target);
                entry.insert(WeightLoad { model, version, stage: LoadStage::Cordoned(now) });
                steps.push(WeightStep::Cordon(engine.key));
            }
        }
    }

    fn max_concurrent_loads(&self, engines: &[EngineState]) -> usize {
        self.required_loads(engines).max(MIN_CONCURRENT_LOADS)
    }

    /// Returns the number of concurrent loads with which all engines load all models that change in time.
    fn required_loads(&self, engines: &[EngineState]) -> usize {
        let is_behind = |engine: &&EngineState| engine.version < engine.target;
        let changing: BTreeSet<_> = engines.iter().filter(is_behind).map(|engine| &engine.model).collect();
        let loads = engines.iter().filter(|engine| changing.contains(&engine.model)).count();
        let total_micros = loads as f64 * FIRST_LOAD_MICROS as f64;
        let available_micros = self.version_millis as f64 * 1_000.0 * LOADING_FRACTION;
        (total_micros / available_micros.max(1.0)) as usize
    }

    /// Counts the loads in progress. A load that should be finished no longer counts, although its end is
    /// reported only later.
    fn loading_count(&self, now: Moment) -> usize {
        let loading = self.loads.values().filter(|load| match load.stage {
            LoadStage::Cordoned(_) => false,
            LoadStage::Ordered(since, _) => now < since.after_micros(self.load_micros),
        });
        loading.count()
    }

    /// Discards loads that are done or no longer required, and updates the estimated load time.
    fn discard_finished(&mut self, engines: &[EngineState], now: Moment) {
        for engine in engines {
            if let Some(load) = self.loads.get(&engine.key).filter(|load| load.is_of(engine))
                && let LoadStage::Ordered(since, _) = load.stage
                && engine.version == load.version
            {
                let load_micros = now.micros_since(since).saturating_sub(REPORT_DELAY_MICROS);
                let sample = load_micros.clamp(MIN_LOAD_MICROS, MAX_LOAD_MICROS);
                self.load_micros = (self.load_micros * 3 + sample) / 4;
            }
        }
        self.unreachable.retain(|key, _| engines.iter().any(|engine| engine.key == *key));
        let required: BTreeMap<_, _> = engines
            .iter()
            .filter(|engine| engine.version < engine.target)
            .map(|engine| ((engine.key, engine.model.as_str()), engine.target))
            .collect();
        self.loads.retain(|key, load| required.get(&(*key, load.model.as_str())) == Some(&load.version));
    }
}
