//! Points in time, counted in microseconds from an origin that the caller chooses.
//!
//! Invariant: state in this workspace stores deadlines, never durations, so that restarting a timer
//! cannot extend a promised deadline.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Microseconds in a millisecond.
pub const MICROS_PER_MILLI: u64 = 1_000;
/// Microseconds in a second.
pub const MICROS_PER_SECOND: u64 = 1_000_000;

/// A point in monotonic time, in microseconds since the origin of its process or session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Moment(pub u64);

impl Moment {
    /// A deadline that never passes.
    pub const NEVER: Self = Self(u64::MAX);

    /// Returns the moment `millis` milliseconds later, saturating.
    ///
    /// # Examples
    /// ```
    /// use spanfold_entity::Moment;
    /// assert_eq!(Moment(5).after_millis(2), Moment(2_005));
    /// ```
    pub const fn after_millis(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis.saturating_mul(MICROS_PER_MILLI)))
    }

    /// Returns the moment `micros` microseconds later, saturating.
    ///
    /// # Examples
    /// ```
    /// use spanfold_entity::Moment;
    /// assert_eq!(Moment(5).after_micros(2), Moment(7));
    /// ```
    pub const fn after_micros(self, micros: u64) -> Self {
        Self(self.0.saturating_add(micros))
    }

    /// Returns the microseconds from `earlier` to this moment; zero if `earlier` is later.
    ///
    /// # Examples
    /// ```
    /// use spanfold_entity::Moment;
    /// assert_eq!(Moment(9).micros_since(Moment(4)), 5);
    /// assert_eq!(Moment(4).micros_since(Moment(9)), 0);
    /// ```
    pub const fn micros_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}
