//! Time that the engines of a service take to a first event: an offset, and a time for each prompt token.
//!
//! Each VM estimates both for each service from the answers to its own sends. The estimate is a quantile
//! regression and not a mean: some engines are slow for a moment, and some have queues that the VM does not
//! know of, so that errors of the expected time are mostly on one side. Invariant: estimates stay within fixed
//! bounds whatever the samples are.

use crate::EngineSpec;
use std::collections::VecDeque;
use std::ops::RangeInclusive;

/// Time from the request to the first event without prefill, in microseconds, unless it is learned.
const FIRST_EVENT_MICROS: f64 = 20_000.0;
/// Time in which an engine prefills one prompt token, in microseconds, steps included, unless it is learned.
const PREFILL_MICROS_PER_TOKEN: f64 = 21.0;
/// Bounds of a learned offset, in microseconds.
const OFFSET_BOUNDS: RangeInclusive<f64> = 1_000.0..=500_000.0;
/// Bounds of a learned time for each token, in microseconds.
const TOKEN_BOUNDS: RangeInclusive<f64> = 2.0..=200.0;
/// Prompt size that decides whether slots or memory limit an engine, in tokens.
const SLOT_PROMPT_TOKENS: u64 = 2_048;
/// Quantile of the time to a first event that is estimated.
///
/// With 15 % of the answers from slow engines and a quarter behind unknown queues it is the median of the
/// others; without any such answers it is half a standard deviation below the median.
const QUANTILE: f64 = 0.3;
/// Largest factor between a sample and the estimate: samples beyond it are clipped.
const MAX_SAMPLE_RATIO: f64 = 3.0;
/// Weight of a sample relative to that of the following one: the estimate rests on about the last 100 samples.
const SAMPLE_DECAY: f64 = 0.99;
/// Samples that are retained; older ones weigh less than a twelfth of the newest.
const MAX_SAMPLES: usize = 256;
/// Samples after which the estimate is updated, since each update reads all of them.
const SAMPLES_PER_UPDATE: u64 = 8;
/// Iterations of one update; the next one continues from its result.
const MAX_ITERATIONS: usize = 8;
/// Relative change below which an update ends.
const MIN_CHANGE: f64 = 1e-4;
/// Relative residual below which samples have equal weights, so that weights remain finite.
const MIN_RESIDUAL: f64 = 0.02;
/// Greatest pull of the prior on the offset, and on the time for each token: that of about one sample.
///
/// A pull of 4 kept an offset of 110 ms estimated 60 % too low.
const PRIOR_WEIGHT: f64 = 0.5;

/// Expected times of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceCosts {
    /// Time from the request to the first event without prefill, in microseconds.
    pub offset_micros: f64,
    /// Time in which an engine prefills one prompt token, in microseconds, steps included.
    pub token_micros: f64,
    /// Whether they are learned.
    pub is_learned: bool,
}

impl ServiceCosts {
    /// Costs of services whose costs are not learned.
    pub const CONSTANT: Self =
        Self { offset_micros: FIRST_EVENT_MICROS, token_micros: PREFILL_MICROS_PER_TOKEN, is_learned: false };

    /// Returns the offset at an engine with a slowdown, in microseconds.
    ///
    /// A learned offset is a part of the time that the slowdown was measured against. The constant one
    /// is not multiplied.
    pub(crate) fn slowed_offset(&self, slowdown: f64) -> f64 {
        if self.is_learned { self.offset_micros * slowdown } else { self.offset_micros }
    }

    /// Returns the time to the first event behind `tokens` prompt tokens, in microseconds.
    fn first_event_micros(&self, tokens: f64) -> f64 {
        self.offset_micros + self.token_micros * tokens
    }
}

/// One measured time to a first event.
#[derive(Clone, Copy, Debug)]
struct CostSample {
    tokens: f64,
    taken_micros: f64,
}

/// Sums of the weighted normal equations of a line.
#[derive(Clone, Copy, Debug, Default)]
struct LineSums {
    weight: f64,
    tokens: f64,
    tokens_squared: f64,
    micros: f64,
    tokens_micros: f64,
}

impl LineSums {
    fn add(&mut self, sample: CostSample, weight: f64) {
        self.weight += weight;
        self.tokens += weight * sample.tokens;
        self.tokens_squared += weight * sample.tokens * sample.tokens;
        self.micros += weight * sample.taken_micros;
        self.tokens_micros += weight * sample.tokens * sample.taken_micros;
    }

    fn offset(&self, token_micros: f64) -> f64 {
        clamp((self.micros - self.tokens * token_micros) / self.weight, OFFSET_BOUNDS)
    }

    fn token_micros(&self, offset_micros: f64) -> f64 {
        clamp((self.tokens_micros - self.tokens * offset_micros) / self.tokens_squared, TOKEN_BOUNDS)
    }

    /// Returns the line with the least sum of squares within the bounds.
    fn solve(&self) -> ServiceCosts {
        let determinant = self.weight * self.tokens_squared - self.tokens * self.tokens;
        let offset = (self.micros * self.tokens_squared - self.tokens * self.tokens_micros) / determinant;
        let token_micros = self.token_micros(clamp(offset, OFFSET_BOUNDS));
        // Where one value is at a bound, the best other one differs from that of the unbounded line.
        let offset_micros = self.offset(token_micros);
        ServiceCosts { offset_micros, token_micros: self.token_micros(offset_micros), is_learned: true }
    }
}

fn clamp(value: f64, bounds: RangeInclusive<f64>) -> f64 {
    value.clamp(*bounds.start(), *bounds.end())
}

/// Estimate of the times of one service's engines.
///
/// # Examples
/// ```
/// use spanfold_decide::CostModel;
/// let mut model = CostModel::default();
/// for answer in 0..200 {
///     let tokens = 500 + 40 * answer;
///     model.record(tokens, 110_000.0 + 14.3 * tokens as f64);
/// }
/// let costs = model.costs();
/// assert!((costs.offset_micros - 110_000.0).abs() < 11_000.0);
/// assert!((costs.token_micros - 14.3).abs() < 1.43);
/// ```
#[derive(Clone, Debug)]
pub struct CostModel {
    samples: VecDeque<CostSample>,
    answers: u64,
    costs: ServiceCosts,
}

impl Default for CostModel {
    fn default() -> Self {
        let costs = ServiceCosts { is_learned: true, ..ServiceCosts::CONSTANT };
        Self { samples: VecDeque::new(), answers: 0, costs }
    }
}

impl CostModel {
    /// Whether the costs of a service are learned: slots rather than memory limit its engines.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{CostModel, EngineSpec};
    /// let spec = EngineSpec { slots: 16, memory_tokens: 43_416, ..EngineSpec::default() };
    /// assert!(CostModel::applies_to(&spec));
    /// assert!(!CostModel::applies_to(&EngineSpec { slots: 64, ..spec }));
    /// ```
    pub fn applies_to(spec: &EngineSpec) -> bool {
        spec.slots > 0 && u64::from(spec.slots) * SLOT_PROMPT_TOKENS < spec.memory_tokens
    }

    /// Returns the current estimate.
    pub const fn costs(&self) -> ServiceCosts {
        self.costs
    }

    /// Returns the number of samples that were recorded.
    pub const fn answers(&self) -> u64 {
        self.answers
    }

    /// Records the time to a first event, in microseconds, behind `tokens` prompt tokens to be prefilled.
    ///
    /// The tokens are those of the prompt and of the prompts that were expected to be queued before it. Times
    /// that are negative or not finite are discarded.
    pub fn record(&mut self, tokens: u64, taken_micros: f64) {
        if !taken_micros.is_finite() || taken_micros < 0.0 {
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(CostSample { tokens: tokens as f64, taken_micros });
        self.answers += 1;
        if self.answers.is_multiple_of(SAMPLES_PER_UPDATE) {
            self.update();
        }
    }

    /// Updates the estimate by iteratively reweighted least squares.
    fn update(&mut self) {
        for _ in 0..MAX_ITERATIONS {
            let next = self.reweighted();
            let change = (next.offset_micros / self.costs.offset_micros - 1.0).abs()
                + (next.token_micros / self.costs.token_micros - 1.0).abs();
            self.costs = next;
            if change < MIN_CHANGE {
                return;
            }
        }
    }

    /// Returns the line of least squares with weights from the residuals of the current one.
    fn reweighted(&self) -> ServiceCosts {
        let mut sums = self.prior_sums();
        let mut age_weight = 1.0;
        for sample in self.samples.iter().rev() {
            let expected = self.costs.first_event_micros(sample.tokens);
            let ratio = (sample.taken_micros / expected).clamp(1.0 / MAX_SAMPLE_RATIO, MAX_SAMPLE_RATIO);
            let residual = ratio - 1.0;
            let side_weight = if residual > 0.0 { QUANTILE } else { 1.0 - QUANTILE };
            // Errors grow with the time, so that residuals are relative to it.
            let weight = age_weight * side_weight / (residual.abs().max(MIN_RESIDUAL) * expected * expected);
            sums.add(CostSample { taken_micros: ratio * expected, ..*sample }, weight);
            age_weight *= SAMPLE_DECAY;
        }
        sums.solve()
    }

    /// Returns the terms that pull both values to the constants.
    ///
    /// The pull is proportional to the relative distance up to 1, and constant beyond.
    fn prior_sums(&self) -> LineSums {
        let prior = ServiceCosts::CONSTANT;
        let weight =
            |value: f64, prior: f64| PRIOR_WEIGHT / (prior * prior * (value / prior - 1.0).abs().max(1.0));
        let offset_weight = weight(self.costs.offset_micros, prior.offset_micros);
        let token_weight = weight(self.costs.token_micros, prior.token_micros);
        LineSums {
            weight: offset_weight,
            tokens_squared: token_weight,
            micros: offset_weight * prior.offset_micros,
            tokens_micros: token_weight * prior.token_micros,
            ..LineSums::default()
        }
    }
}
