//! Running estimates of how long a unit of work takes.
//!
//! Invariant: an estimate is always positive and finite. An exponential average follows a link
//! that slows to a tenth within a few samples and needs no history.

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Microseconds for one unit (a token, a piece).
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct UnitCost {
    /// The present estimate.
    pub micros: f64,
    sampled: bool,
}

impl UnitCost {
    /// An estimate that the first sample replaces.
    pub(crate) const fn guess(micros: f64) -> Self {
        Self { micros, sampled: false }
    }

    /// Takes in that `units` took `micros`.
    pub(crate) fn sample(&mut self, units: f64, micros: u64) {
        if units <= 0.0 || micros == 0 {
            return;
        }
        let seen = micros as f64 / units;
        self.micros = if self.sampled { self.micros + SAMPLE_WEIGHT * (seen - self.micros) } else { seen };
        self.sampled = true;
    }

    /// Microseconds for `units`.
    pub(crate) fn of(&self, units: f64) -> u64 {
        (self.micros * units) as u64
    }
}
