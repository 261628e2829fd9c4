//! Statistical test of whether a new version answers worse than the present one.
//!
//! A version may fail or be slow from its start on or later, under load, or on one route alone, and the
//! present version may be faulty too. So each route's answers are compared with those of the other versions
//! on the same route in the same time, by a cumulative sum of log-likelihood ratios (Page's CUSUM): it
//! discards a good past, which a ratio over all answers would not, and it needs no fixed number of answers.
//!
//! Invariant: counts of several VMs are added, so the order in which they arrive doesn't matter.

use crate::StorePosition;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Minimum value of the sum at which a version is bad: a good one reaches it with a probability below one in
/// ten thousand for each answer.
const BAD_SUM_THRESHOLD: f64 = 9.5;
/// Minimum fraction of the otherwise good answers in which a bad version fails, or is slow.
const MIN_BAD_FRACTION: f64 = 0.15;
/// Weight of the prior ratio of the present version, in answers.
const PRIOR_ANSWERS: f64 = 10.0;
/// Prior ratio of bad answers of the present version.
const PRIOR_RATIO: f64 = 0.02;
/// Minimum ratio of bad answers assumed of the present version: a single failure must not condemn the new
/// one.
const MIN_BASELINE_RATIO: f64 = 0.01;
/// Maximum ratio of bad answers assumed of the present version, so that a version that always fails can be
/// distinguished from one that often does.
const MAX_BASELINE_RATIO: f64 = 0.7;
/// Maximum number of runs of answers in a sum: a bad version shows within some tens.
const MAX_ANSWER_RUNS: usize = 128;
/// Multiple of the route's usual time above which an answer is slow.
const SLOW_FACTOR: f64 = 2.5;
/// Weight of the newest answer in the usual time.
const BASELINE_TIME_WEIGHT: f64 = 0.1;
/// Minimum number of answers of the other versions that are propagated without one of the new version.
const MIN_OTHER_ANSWERS_PER_REPORT: u32 = 8;
/// Minimum number of answers of the new version before it can be found good.
const MIN_TARGET_ANSWERS: u32 = 12;

/// Answer of an endpoint, as evidence about its version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutAnswer {
    /// Whether the endpoint has the new version.
    pub is_target: bool,
    /// Whether the request failed, broke off or got no answer.
    pub has_failed: bool,
    /// Multiple of the expected time that it took, if that is evidence about the version.
    pub time_factor: Option<f64>,
}

/// Counts of one version's answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// All answers.
    pub answers: u32,
    /// Failed answers.
    pub failed: u32,
    /// Slow answers.
    pub slow: u32,
}

impl AnswerCounts {
    fn add(&mut self, other: Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.failed = self.failed.saturating_add(other.failed);
        self.slow = self.slow.saturating_add(other.slow);
    }
}

/// Counts of the answers on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Answers of the new version.
    pub target: AnswerCounts,
    /// Answers of all other versions.
    pub other: AnswerCounts,
}

impl RouteCounts {
    /// Whether the counts are due for propagation.
    const fn is_due(&self) -> bool {
        self.target.answers > 0 || self.other.answers >= MIN_OTHER_ANSWERS_PER_REPORT
    }

    /// Adds the counts of other answers.
    pub fn add(&mut self, other: Self) {
        self.target.add(other.target);
        self.other.add(other.other);
    }
}

/// Key of a sum: the digest of the service, the position of the order in the store's history, the digest of
/// the route.
pub type SumKey = (u64, StorePosition, u64);

/// Counts to propagate to other VMs, added up: their size does not grow with the number of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutSums(BTreeMap<SumKey, RouteCounts>);

impl RolloutSums {
    /// Adds counts.
    pub fn add(&mut self, key: SumKey, counts: RouteCounts) {
        self.0.entry(key).or_default().add(counts);
    }

    /// Takes the sums with answers of the new version, or with many answers. Few answers of the other
    /// versions alone are retained: they are many times as frequent, and are only needed beside those of the
    /// new one.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{AnswerCounts, RolloutSums, RouteCounts, StorePosition};
    /// let single = AnswerCounts { answers: 1, ..AnswerCounts::default() };
    /// let key = (7, StorePosition::default(), 9);
    /// let mut sums = RolloutSums::default();
    /// sums.add(key, RouteCounts { other: single, ..RouteCounts::default() });
    /// assert!(sums.take().is_empty());
    /// sums.add(key, RouteCounts { target: single, ..RouteCounts::default() });
    /// assert_eq!(sums.take(), [(key, RouteCounts { target: single, other: single })]);
    /// assert!(sums.take().is_empty());
    /// ```
    pub fn take(&mut self) -> Vec<(SumKey, RouteCounts)> {
        let (due, pending): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.0).into_iter().partition(|(_, counts)| counts.is_due());
        self.0.extend(pending);
        due
    }

    /// Takes the sums if this VM is the reporter; otherwise another one is, and they are discarded.
    pub fn take_if(&mut self, is_reporter: bool) -> Vec<(SumKey, RouteCounts)> {
        if is_reporter {
            return self.take();
        }
        self.clear();
        Vec::new()
    }

    /// Discards all sums.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Discards sums of orders that are not current.
    pub fn retain_orders(&mut self, is_current: impl Fn(StorePosition) -> bool) {
        self.0.retain(|(_, order, _), _| is_current(*order));
    }
}

/// Cumulative sum over answers that are either good or bad.
///
/// The ratio of the other versions becomes more exact with each of their answers, so the sum is computed anew
/// over the latest answers: with an outdated ratio, the first answers of a good version would count against
/// it permanently.
#[derive(Clone, Debug, Default, PartialEq)]
struct AnswerCusum {
    /// Bad answers and all answers of each run, in the order of their arrival; old runs are discarded.
    runs: VecDeque<(u32, u32)>,
    sum: f64,
}

impl AnswerCusum {
    /// Counts `bad` of `answers`, where the other versions have `other_bad` of `other_answers`.
    fn count(&mut self, (bad, answers): (u32, u32), (other_bad, other_answers): (u32, u32)) {
        if answers > 0 {
            match self.runs.back_mut() {
                // Consecutive good answers are one step of the sum.
                Some((0, last)) if bad == 0 => *last += answers,
                _ => self.runs.push_back((bad, answers)),
            }
            if self.runs.len() > MAX_ANSWER_RUNS {
                self.runs.pop_front();
            }
        }
        let count = f64::from(other_answers) + PRIOR_ANSWERS;
        let mean = (f64::from(other_bad) + PRIOR_RATIO * PRIOR_ANSWERS) / count;
        // A small sample may be better than the version is, so one standard error is added to the ratio.
        let baseline =
            (mean + (mean * (1.0 - mean) / count).sqrt()).clamp(MIN_BASELINE_RATIO, MAX_BASELINE_RATIO);
        let bad_ratio = baseline + MIN_BAD_FRACTION * (1.0 - baseline);
        let (bad_step, good_step) =
            ((bad_ratio / baseline).ln(), ((1.0 - bad_ratio) / (1.0 - baseline)).ln());
        self.sum = self.runs.iter().fold(0.0, |sum: f64, (bad, answers)| {
            let good = answers.saturating_sub(*bad);
            (sum + f64::from(*bad) * bad_step + f64::from(good) * good_step).max(0.0)
        });
    }

    fn is_bad(&self) -> bool {
        self.sum >= BAD_SUM_THRESHOLD
    }
}

/// Answers on one route, and their cumulative sums.
#[derive(Clone, Debug, Default, PartialEq)]
struct RouteEvidence {
    counts: RouteCounts,
    failed: AnswerCusum,
    slow: AnswerCusum,
    /// Logarithm of the usual multiple of the expected time at the other versions, as measured by this VM.
    baseline_time_log: Option<f64>,
}

impl RouteEvidence {
    fn add(&mut self, counts: RouteCounts) {
        self.counts.add(counts);
        let (target, other) = (counts.target, self.counts.other);
        self.failed.count((target.failed, target.answers), (other.failed, other.answers));
        self.slow.count((target.slow, target.answers), (other.slow, other.answers));
    }

    /// Whether an answer is slow for this route; answers of the new version don't affect the usual time.
    fn is_slow(&mut self, answer: &RolloutAnswer) -> bool {
        let Some(factor) = answer.time_factor.filter(|factor| factor.is_finite() && *factor > 0.0) else {
            return false;
        };
        let baseline = self.baseline_time_log.unwrap_or(0.0);
        if !answer.is_target {
            let previous = self.baseline_time_log.unwrap_or(factor.ln());
            self.baseline_time_log = Some(previous + BASELINE_TIME_WEIGHT * (factor.ln() - previous));
        }
        factor > SLOW_FACTOR * baseline.exp()
    }
}

/// Evidence about the new version of a rollout at one VM.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutEvidence {
    routes: BTreeMap<u64, RouteEvidence>,
}

impl RolloutEvidence {
    /// Counts one answer on a route; returns the counts to propagate to other VMs.
    pub fn observe(&mut self, route: u64, answer: &RolloutAnswer) -> RouteCounts {
        let row = self.routes.entry(route).or_default();
        let slow = u32::from(!answer.has_failed && row.is_slow(answer));
        let single = AnswerCounts { answers: 1, failed: u32::from(answer.has_failed), slow };
        let counts = if answer.is_target {
            RouteCounts { target: single, ..RouteCounts::default() }
        } else {
            RouteCounts { other: single, ..RouteCounts::default() }
        };
        row.add(counts);
        counts
    }

    /// Adds the counts of other VMs on a route.
    pub fn add(&mut self, route: u64, counts: RouteCounts) {
        self.routes.entry(route).or_default().add(counts);
    }

    /// Whether the new version answers worse on any route.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{AnswerCounts, RolloutEvidence, RouteCounts};
    /// let counts = |answers, failed| AnswerCounts { answers, failed, slow: 0 };
    /// let mut evidence = RolloutEvidence::default();
    /// evidence.add(1, RouteCounts { target: counts(40, 1), other: counts(500, 5) });
    /// assert!(!evidence.is_bad());
    /// evidence.add(2, RouteCounts { target: counts(8, 5), other: counts(100, 1) });
    /// assert!(evidence.is_bad());
    /// ```
    pub fn is_bad(&self) -> bool {
        self.routes.values().any(|row| row.failed.is_bad() || row.slow.is_bad())
    }

    /// Whether there are enough answers of the new version to find it good.
    pub fn is_enough(&self) -> bool {
        self.totals().target.answers >= MIN_TARGET_ANSWERS
    }

    /// Returns the counts of all routes together.
    pub fn totals(&self) -> RouteCounts {
        let mut totals = RouteCounts::default();
        self.routes.values().for_each(|row| totals.add(row.counts));
        totals
    }
}
