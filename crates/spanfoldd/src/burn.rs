//! Burn rates of service-level objectives: how fast each account spends its error budget.
//!
//! Invariant: counts are retained in minute buckets for the longest window only, so the number of
//! accounts with traffic bounds the memory. A burn rate of 1 spends exactly the budget.

use serde::{Deserialize, Serialize};
use spanfold_declare::{Catalogue, ObjectiveKind};
use spanfold_entity::{MICROS_PER_SECOND, Moment};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, PoisonError};

/// Windows of the report, in minutes.
const WINDOWS_MINUTES: [u64; 4] = [5, 60, 360, 1_440];

/// The outcome of one request, as objectives measure it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServedSample {
    pub first_token_millis: Option<u64>,
    pub answer_millis: Option<u64>,
    pub answered: bool,
}

#[derive(Debug, Default)]
struct MinuteBucket {
    minute: u64,
    good: u64,
    total: u64,
}

/// Numbers of good and of all requests in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct WindowCount {
    pub minutes: u64,
    pub good: u64,
    pub total: u64,
}

/// The counts of one account under one objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct BurnRow {
    pub account: String,
    pub objective: String,
    pub target: f64,
    pub windows: Vec<WindowCount>,
}

type BurnKey = (String, String);

/// The counts of this VM, by account and objective.
#[derive(Debug, Default)]
pub(crate) struct BurnTable(Mutex<BTreeMap<BurnKey, VecDeque<MinuteBucket>>>);

impl BurnTable {
    /// Records one request of `account` under all objectives that select the account.
    pub(crate) fn record(&self, catalogue: &Catalogue, account: &str, sample: ServedSample, now: Moment) {
        let Some(declared) = catalogue.declarations.accounts.get(account) else { return };
        let minute = now.0 / (60 * MICROS_PER_SECOND);
        let mut table = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for objective in catalogue.declarations.objectives.values() {
            if !objective.accounts.matches(&declared.labels) {
                continue;
            }
            let within =
                |millis: Option<u64>| millis.is_some_and(|millis| millis <= objective.threshold_millis);
            let good = match objective.kind {
                ObjectiveKind::FirstToken => within(sample.first_token_millis),
                ObjectiveKind::Answer => within(sample.answer_millis),
                ObjectiveKind::Availability => sample.answered,
            };
            let buckets = table.entry((account.to_owned(), objective.name.clone())).or_default();
            if buckets.back().is_none_or(|bucket| bucket.minute != minute) {
                buckets.push_back(MinuteBucket { minute, good: 0, total: 0 });
            }
            while buckets.front().is_some_and(|bucket| bucket.minute + WINDOWS_MINUTES[3] <= minute) {
                buckets.pop_front();
            }
            if let Some(bucket) = buckets.back_mut() {
                bucket.good += u64::from(good);
                bucket.total += 1;
            }
        }
    }

    /// Returns the counts of all windows that end at `now`.
    pub(crate) fn rows(&self, catalogue: &Catalogue, now: Moment) -> Vec<BurnRow> {
        let minute = now.0 / (60 * MICROS_PER_SECOND);
        let table = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        table
            .iter()
            .map(|((account, objective), buckets)| BurnRow {
                account: account.clone(),
                objective: objective.clone(),
                target: catalogue.declarations.objectives.get(objective).map_or(0.0, |o| o.target),
                windows: WINDOWS_MINUTES
                    .iter()
                    .map(|minutes| count_window(buckets, minute, *minutes))
                    .collect(),
            })
            .collect()
    }
}

fn count_window(buckets: &VecDeque<MinuteBucket>, now: u64, minutes: u64) -> WindowCount {
    let within = buckets.iter().filter(|bucket| bucket.minute + minutes > now);
    within.fold(WindowCount { minutes, good: 0, total: 0 }, |sum, bucket| WindowCount {
        minutes,
        good: sum.good + bucket.good,
        total: sum.total + bucket.total,
    })
}
