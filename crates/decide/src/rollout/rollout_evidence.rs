//! Whether a new version answers worse than the present one.
//!
//! A version may fail or be slow from its start on or later, under load, or on one route alone, and the present version may
//! be faulty too. So each route's answers are compared with those of the other versions on the same route in the same time,
//! by a cumulative sum of log-likelihood ratios (Page's CUSUM): it forgets a good past, which a ratio over all answers
//! would not, and it needs no fixed number of answers.
//!
//! Invariant: counts of several VMs are sums; it doesn't matter in what order they come.

use crate::StorePosition;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A version is bad once its sum passes this: for a good one, a chance below one in ten thousand for each answer.
const BAD_SUM: f64 = 9.5;
/// A bad version fails, or is slow, in at least this part of the answers that would be good.
const BAD_PART: f64 = 0.15;
/// Answers that the ratio of the present version counts for before any has come.
const PRIOR_ANSWERS: f64 = 10.0;
/// The ratio that these have.
const PRIOR_RATIO: f64 = 0.02;
/// The ratio of the present version counts as this at least: one failure alone condemns no version.
const RATIO_LEAST: f64 = 0.01;
/// And as this at most, so that a version that always fails is told from one that often does.
const RATIO_MOST: f64 = 0.7;
/// Runs of answers that a sum goes back to: a version that is bad shows within some tens.
const RUNS_MOST: usize = 128;
/// An answer is slow from this multiple of the usual time of its route on.
const SLOW_FACTOR: f64 = 2.5;
/// Weight of the newest answer in the usual time.
const USUAL_WEIGHT: f64 = 0.1;
/// Answers of the other versions that are told without one of the new version.
const OTHERS_TOLD: u32 = 8;
/// Answers of the new version without which it is not known to be good.
const ANSWERS_LEAST: u32 = 12;

/// One answer of an endpoint, as far as it tells of its version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutAnswer {
    /// Whether the endpoint has the new version.
    pub is_target: bool,
    /// Whether the work failed, broke off or got no answer.
    pub has_failed: bool,
    /// Multiple of the expected time that it took, if that tells of the version.
    pub time_factor: Option<f64>,
}

/// Answers of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// All.
    pub answers: u32,
    /// Those that failed.
    pub failed: u32,
    /// Those that came late.
    pub slow: u32,
}

impl AnswerCounts {
    fn add(&mut self, other: Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.failed = self.failed.saturating_add(other.failed);
        self.slow = self.slow.saturating_add(other.slow);
    }
}

/// Answers on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Of the new version.
    pub target: AnswerCounts,
    /// Of all others.
    pub other: AnswerCounts,
}

impl RouteCounts {
    /// Whether it is time to tell others.
    const fn is_told(&self) -> bool {
        self.target.answers > 0 || self.other.answers >= OTHERS_TOLD
    }

    /// Adds what was counted elsewhere.
    pub fn add(&mut self, other: Self) {
        self.target.add(other.target);
        self.other.add(other.other);
    }
}

/// What a sum is about: the service's digest, the order's place in the store's history, the route's digest.
pub type SumKey = (u64, StorePosition, u64);

/// Counts that wait to be told to other VMs, added up: their size does not grow with the number of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutSums(BTreeMap<SumKey, RouteCounts>);

impl RolloutSums {
    /// Adds counts.
    pub fn add(&mut self, key: SumKey, counts: RouteCounts) {
        self.0.entry(key).or_default().add(counts);
    }

    /// Takes the sums that tell of the new version, or of many answers. Few answers of the other versions alone wait: they
    /// come many times as often, and are only needed beside those of the new one.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{AnswerCounts, RolloutSums, RouteCounts, StorePosition};
    /// let one = AnswerCounts { answers: 1, ..AnswerCounts::default() };
    /// let key = (7, StorePosition::default(), 9);
    /// let mut sums = RolloutSums::default();
    /// sums.add(key, RouteCounts { other: one, ..RouteCounts::default() });
    /// assert!(sums.take().is_empty());
    /// sums.add(key, RouteCounts { target: one, ..RouteCounts::default() });
    /// assert_eq!(sums.take(), [(key, RouteCounts { target: one, other: one })]);
    /// assert!(sums.take().is_empty());
    /// ```
    pub fn take(&mut self) -> Vec<(SumKey, RouteCounts)> {
        let (told, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.0).into_iter().partition(|(_, counts)| counts.is_told());
        self.0.extend(waiting);
        told
    }

    /// Takes the sums if this VM `tells` them; otherwise another one does, and they are dropped.
    pub fn take_if(&mut self, tells: bool) -> Vec<(SumKey, RouteCounts)> {
        if tells {
            return self.take();
        }
        self.clear();
        Vec::new()
    }

    /// Drops all.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Drops what is about other orders.
    pub fn retain_orders(&mut self, stands: impl Fn(StorePosition) -> bool) {
        self.0.retain(|(_, order, _), _| stands(*order));
    }
}

/// A cumulative sum over yes-or-no answers.
///
/// The ratio of the other versions is known better with each of their answers, so the sum is made anew over the latest ones: by
/// the ratio of a moment ago, the first answers of a good version would count against it for good.
#[derive(Clone, Debug, Default, PartialEq)]
struct BadSum {
    /// Bad answers and all answers, in the order in which they came, as far as they are kept.
    runs: VecDeque<(u32, u32)>,
    sum: f64,
}

impl BadSum {
    /// Counts `bad` of `answers`, where the other versions have `other_bad` of `other_answers`.
    fn count(&mut self, (bad, answers): (u32, u32), (other_bad, other_answers): (u32, u32)) {
        if answers > 0 {
            match self.runs.back_mut() {
                // Answers of one kind after the other are one step of the sum.
                Some((0, last)) if bad == 0 => *last += answers,
                _ => self.runs.push_back((bad, answers)),
            }
            if self.runs.len() > RUNS_MOST {
                self.runs.pop_front();
            }
        }
        let count = f64::from(other_answers) + PRIOR_ANSWERS;
        let mean = (f64::from(other_bad) + PRIOR_RATIO * PRIOR_ANSWERS) / count;
        // Few answers may have been better than the version is: its ratio is taken one standard error higher.
        let usual = (mean + (mean * (1.0 - mean) / count).sqrt()).clamp(RATIO_LEAST, RATIO_MOST);
        let worse = usual + BAD_PART * (1.0 - usual);
        let (bad_step, good_step) = ((worse / usual).ln(), ((1.0 - worse) / (1.0 - usual)).ln());
        self.sum = self.runs.iter().fold(0.0, |sum: f64, (bad, answers)| {
            let good = answers.saturating_sub(*bad);
            (sum + f64::from(*bad) * bad_step + f64::from(good) * good_step).max(0.0)
        });
    }

    fn is_bad(&self) -> bool {
        self.sum >= BAD_SUM
    }
}

/// Answers on one route, and what they indicate.
#[derive(Clone, Debug, Default, PartialEq)]
struct RouteEvidence {
    counts: RouteCounts,
    failed: BadSum,
    slow: BadSum,
    /// Logarithm of the usual multiple of the expected time of the other versions, as this VM saw it.
    usual_time: Option<f64>,
}

impl RouteEvidence {
    fn add(&mut self, counts: RouteCounts) {
        self.counts.add(counts);
        let (target, other) = (counts.target, self.counts.other);
        self.failed.count((target.failed, target.answers), (other.failed, other.answers));
        self.slow.count((target.slow, target.answers), (other.slow, other.answers));
    }

    /// Whether a time is slow for this route; a version's own times move what is usual only if it is not the new one.
    fn is_slow(&mut self, answer: &RolloutAnswer) -> bool {
        let Some(factor) = answer.time_factor.filter(|factor| factor.is_finite() && *factor > 0.0) else {
            return false;
        };
        let usual = self.usual_time.unwrap_or(0.0);
        if !answer.is_target {
            let before = self.usual_time.unwrap_or(factor.ln());
            self.usual_time = Some(before + USUAL_WEIGHT * (factor.ln() - before));
        }
        factor > SLOW_FACTOR * usual.exp()
    }
}

/// All that is known of a roll-out's answers at one VM.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutEvidence {
    routes: BTreeMap<u64, RouteEvidence>,
}

impl RolloutEvidence {
    /// Counts one answer on a route; gives the counts to tell other VMs.
    pub fn observe(&mut self, route: u64, answer: &RolloutAnswer) -> RouteCounts {
        let row = self.routes.entry(route).or_default();
        let slow = u32::from(!answer.has_failed && row.is_slow(answer));
        let one = AnswerCounts { answers: 1, failed: u32::from(answer.has_failed), slow };
        let counts = if answer.is_target {
            RouteCounts { target: one, ..RouteCounts::default() }
        } else {
            RouteCounts { other: one, ..RouteCounts::default() }
        };
        row.add(counts);
        counts
    }

    /// Adds what other VMs counted on a route.
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

    /// Whether there are enough answers of the new version to call it good.
    pub fn is_enough(&self) -> bool {
        self.totals().target.answers >= ANSWERS_LEAST
    }

    /// The counts of all routes together.
    pub fn totals(&self) -> RouteCounts {
        let mut totals = RouteCounts::default();
        self.routes.values().for_each(|row| totals.add(row.counts));
        totals
    }
}
