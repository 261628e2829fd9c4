//! Which engine loads which weights next: the holder's decisions.
//!
//! Invariant: orders leave only while the holder's lease is safe by its own monotonic clock, and a
//! new holder waits out the time in which its predecessor's last order may still count. Each order
//! states the target and the count of orders that the engine has taken, so that one which is
//! carried out late, after a newer one, is refused by the engine itself.

use crate::EndpointKey;
use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;
use std::collections::BTreeMap;

/// Engines that load at once in a small deployment: loads slow one another beyond that (the users'
/// sheet for 18 engines).
const LOADS_LEAST: usize = 3;
/// All engines are to have loaded within this part of the time after which old weights are overdue; in
/// large deployments as many load at once as that takes (9 of 60 in 12 s; they slow one another beyond
/// 12). The other half is for a holder that fails.
const LOADING_PART: f64 = 0.5;
/// Engines that are closed to new work at once, loading ones included, as a part of all: while some
/// load, the next ones finish what they run.
const CLOSED_PART: f64 = 0.3;
/// An order that has shown no effect is given again after this long, in milliseconds: running
/// requests end first, and a load takes about a second.
const REPEAT_INTERVAL_MILLIS: u64 = 4_000;
/// An engine is closed to new work for at least this long before its order, in milliseconds, so
/// that all VMs have heard of it.
const CLOSE_LEAST_MILLIS: u64 = 100;
/// An engine is ordered after this long even if requests still run there, in milliseconds; they
/// end first all the same.
const CLOSE_MOST_MILLIS: u64 = 900;

/// Time of a load until one was seen, in microseconds (the users' sheet: 0.76 s).
const FIRST_LOAD_MICROS: u64 = 900_000;
/// The end of a load is seen about this late, in microseconds: reports lag, and are asked for in turn.
const TOLD_LATE_MICROS: u64 = 250_000;
/// Engines are asked whether their load is over from this part of its learned time on: asking is priced.
const ASK_FROM_PART: f64 = 0.8;
/// Learned times of loads stay above this, in microseconds.
const LEAST_LOAD_MICROS: u64 = 300_000;
/// And below this, in microseconds: a longer one waited for running requests.
const MOST_LOAD_MICROS: u64 = 1_500_000;

/// Who may order engines: written under a lease into the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The VM's name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The lease under which the record lives.
    pub lease: u64,
}

/// Whose a holder's record is, as one process sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseOwnership {
    /// This process wrote it under the lease that it has now.
    Own,
    /// An earlier process of this VM wrote it: the holder is the same VM.
    PreviousProcess,
    /// This process wrote it under a lease that has ended: the record is gone, or soon will be.
    Expired,
    /// Another VM holds the right.
    Other,
}

impl LeaseHolder {
    /// Whose this record is, for the process that would write `own`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{HolderRecord, HolderStanding};
    /// let own = HolderRecord { name: "vm-1".into(), incarnation: 7, lease: 3 };
    /// let before = HolderRecord { lease: 2, ..own.clone() };
    /// assert_eq!(before.standing(&own), HolderStanding::Lapsed);
    /// ```
    pub fn standing(&self, own: &Self) -> LeaseOwnership {
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

/// What the holder knows of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineState {
    /// The engine.
    pub key: EndpointKey,
    /// The model that it serves.
    pub model: String,
    /// The version that it has, as last told.
    pub version: u64,
    /// The version that it should have.
    pub target: u64,
    /// Requests in flight there.
    pub running: u32,
}

/// What to do with an engine now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WeightStep {
    /// Give it no new work: an order follows.
    Close(EndpointKey),
    /// Order it to load the version.
    Order(EndpointKey, String, u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoadStage {
    /// No new work since then; the order goes out when its requests have ended.
    Closing(Moment),
    /// Ordered: when, and repeated from the second moment on if nothing came of it.
    Ordered(Moment, Moment),
}

/// The loads that are under way.
#[derive(Debug)]
pub struct WeightScheduler {
    loads: BTreeMap<EndpointKey, (u64, LoadStage)>,
    /// Engines that were not reached: no order before then, and others go first.
    unreached: BTreeMap<EndpointKey, Moment>,
    /// Time of a load as learned, in microseconds.
    load_micros: u64,
    /// Time after which old weights are overdue, in milliseconds.
    version_millis: u64,
}

impl WeightScheduler {
    /// A desk without loads, where old weights are overdue `version_millis` after newer ones were named.
    pub const fn new(version_millis: u64) -> Self {
        Self {
            loads: BTreeMap::new(),
            unreached: BTreeMap::new(),
            load_micros: FIRST_LOAD_MICROS,
            version_millis,
        }
    }

    /// Decides the next steps from what is known of all engines.
    ///
    /// # Examples
    /// ```
    /// use spanfold_entity::Moment;
    /// use spanfold_decide::{DeskStep, EndpointKey, EngineState, WeightDesk};
    /// let engine = EngineState {
    ///     key: EndpointKey(1), model: "m".into(), version: 1, target: 2, running: 0,
    /// };
    /// let steps = WeightDesk::new(10_000).steps(&[engine], Moment(0));
    /// assert_eq!(steps, [DeskStep::Close(EndpointKey(1))]);
    /// ```
    pub fn steps(&mut self, engines: &[EngineState], now: Moment) -> Vec<WeightStep> {
        self.forget_done(engines, now);
        let mut steps = Vec::new();
        let mut loading = self.loading_count(now);
        let at_once = self.loads_at_once(engines.len());
        for engine in engines {
            let Some((version, stage)) = self.loads.get_mut(&engine.key) else { continue };
            let due = match *stage {
                LoadStage::Closing(since) => {
                    let drained = engine.running == 0 && now >= since.after_millis(CLOSE_LEAST_MILLIS);
                    let waited = now >= since.after_millis(CLOSE_MOST_MILLIS);
                    let due = (drained || waited) && loading < at_once;
                    loading += usize::from(due);
                    due
                }
                LoadStage::Ordered(_, again) => now >= again,
            };
            if due {
                *stage = LoadStage::Ordered(now, now.after_millis(REPEAT_INTERVAL_MILLIS));
                steps.push(WeightStep::Order(engine.key, engine.model.clone(), *version));
            }
        }
        self.close_next(engines, now, &mut steps);
        steps
    }

    /// Engines whose loads may be over: their state is worth asking for.
    pub fn finishing_loads(&self, now: Moment) -> impl Iterator<Item = EndpointKey> {
        let early = (self.load_micros as f64 * ASK_FROM_PART) as u64;
        let ordered = self.loads.iter().filter(move |(_, (_, stage))| match stage {
            LoadStage::Closing(_) => false,
            LoadStage::Ordered(since, _) => now >= since.after_micros(early),
        });
        ordered.map(|(key, _)| *key)
    }

    /// Has the order of `version` repeated from `at` on, because the engine did not take it.
    ///
    /// A newer version may have been named since: its load goes its own way.
    pub fn repeat(&mut self, key: EndpointKey, version: u64, at: Moment) {
        if let Some((ordered, stage)) = self.loads.get_mut(&key)
            && *ordered == version
        {
            *stage = LoadStage::Ordered(at, at);
        }
    }

    /// Takes an engine that was not reached from its place until `until`, so that others have it: idle as it
    /// is, its turn would come first again and again.
    pub fn set_aside(&mut self, key: EndpointKey, version: u64, until: Moment) {
        if self.loads.get(&key).is_some_and(|(ordered, _)| *ordered == version) {
            self.loads.remove(&key);
            self.unreached.insert(key, until);
        }
    }

    /// Notes that an engine answers.
    pub fn record_reached(&mut self, key: EndpointKey) {
        self.unreached.remove(&key);
    }

    /// Engines that get no new work now.
    pub fn closed(&self) -> impl Iterator<Item = EndpointKey> {
        self.loads.keys().copied()
    }

    /// Closes engines whose turn comes next: those with the oldest weights and the least work.
    fn close_next(&mut self, engines: &[EngineState], now: Moment, steps: &mut Vec<WeightStep>) {
        let most = ((engines.len() as f64 * CLOSED_PART) as usize).max(1);
        let mut waiting: Vec<_> = engines
            .iter()
            .filter(|engine| engine.version < engine.target && !self.loads.contains_key(&engine.key))
            .filter(|engine| self.unreached.get(&engine.key).is_none_or(|until| now >= *until))
            .collect();
        let unreached = |engine: &EngineState| self.unreached.contains_key(&engine.key);
        waiting.sort_by_key(|engine| (unreached(engine), engine.version, engine.running, engine.key));
        let free = most.saturating_sub(self.loads.len());
        for engine in waiting.into_iter().take(free) {
            self.loads.insert(engine.key, (engine.target, LoadStage::Closing(now)));
            steps.push(WeightStep::Close(engine.key));
        }
    }

    /// How many of so many engines load at once.
    fn loads_at_once(&self, engines: usize) -> usize {
        let all_micros = engines as f64 * FIRST_LOAD_MICROS as f64;
        let allowed_micros = self.version_millis as f64 * 1_000.0 * LOADING_PART;
        ((all_micros / allowed_micros.max(1.0)) as usize).max(LOADS_LEAST)
    }

    /// Loads that take an engine's time now; one that should be over counts no more, although its
    /// end is told only some time later.
    fn loading_count(&self, now: Moment) -> usize {
        let loading = self.loads.values().filter(|(_, stage)| match stage {
            LoadStage::Closing(_) => false,
            LoadStage::Ordered(since, _) => now < since.after_micros(self.load_micros),
        });
        loading.count()
    }

    /// Forgets loads that are done or not wanted any more; learns how long one took.
    fn forget_done(&mut self, engines: &[EngineState], now: Moment) {
        for engine in engines {
            if let Some((version, LoadStage::Ordered(since, _))) = self.loads.get(&engine.key)
                && engine.version == *version
            {
                let taken = now.micros_since(*since).saturating_sub(TOLD_LATE_MICROS);
                let sample = taken.clamp(LEAST_LOAD_MICROS, MOST_LOAD_MICROS);
                self.load_micros = (self.load_micros * 3 + sample) / 4;
            }
        }
        self.unreached.retain(|key, _| engines.iter().any(|engine| engine.key == *key));
        self.loads.retain(|key, (version, _)| {
            engines
                .iter()
                .any(|engine| engine.key == *key && engine.version < *version && engine.target == *version)
        });
    }
}
