//! Running estimates of how long a unit of work takes.
//!
//! Invariant: an estimate is always positive and finite. An exponential average follows a link
//! that slows to a tenth within a few samples and needs no history.

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Part of the way back to the guess that one relaxation goes.
const RELAX_WEIGHT: f64 = 0.05;

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

    /// Goes a little back towards `guess`, so that what once was slow is tried again.
    pub(crate) fn relax(&mut self, guess: f64) {
        self.micros += RELAX_WEIGHT * (guess - self.micros);
    }

    /// Microseconds for `units`.
    pub(crate) fn of(&self, units: f64) -> u64 {
        (self.micros * units) as u64
    }
}
