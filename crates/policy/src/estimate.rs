//! Running estimates of how long a unit of work takes.
//!
//! Invariant: an estimate is always positive and finite. The exponential average follows a link that
//! slows to a tenth of its speed within a few samples and needs no history.

/// Weight of a new sample in the average.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Fraction of the distance to the initial estimate that one relaxation covers.
const RELAX_FRACTION: f64 = 0.05;

/// Estimated microseconds for one unit (a token, a block).
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct UnitCost {
    /// The current estimate.
    pub micros: f64,
    sampled: bool,
}

impl UnitCost {
    /// Returns an estimate that the first sample replaces.
    pub(crate) const fn initial(micros: f64) -> Self {
        Self { micros, sampled: false }
    }

    /// Records that `units` took `micros`.
    pub(crate) fn record_sample(&mut self, units: f64, micros: u64) {
        if units <= 0.0 || micros == 0 {
            return;
        }
        let observed = micros as f64 / units;
        self.micros =
            if self.sampled { self.micros + SAMPLE_WEIGHT * (observed - self.micros) } else { observed };
        self.sampled = true;
    }

    /// Moves the estimate a little towards `initial_micros`, so that a slow link is tried again.
    pub(crate) fn relax(&mut self, initial_micros: f64) {
        self.micros += RELAX_FRACTION * (initial_micros - self.micros);
    }

    /// Returns the estimated microseconds for `units`.
    pub(crate) fn micros_for(&self, units: f64) -> u64 {
        (self.micros * units) as u64
    }
}
