//! What the operator orders of a service's version, and how far its roll-out has come.

use crate::StorePosition;
use serde::{Deserialize, Serialize};

/// Part of the exposure that tests use: the rest is for what arrives until a fault that begins late is noticed.
const TESTED_PART: f64 = 0.3;
/// Share of the requests while the roll-out widens, as a multiple of the exposure.
const WIDENED_FACTOR: f64 = 2.0;
/// Part of the requests allowed beyond the share that goes to the new version at once, so that there are answers to judge
/// where few requests come.
const SLACK_PART: f64 = 0.4;

/// What all VMs together may send to a version that turns out to be bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureTerms {
    /// Share of the service's requests.
    pub share: f64,
    /// Requests beyond that share.
    pub slack: f64,
}

impl ExposureTerms {
    /// Requests beyond the share that all VMs together use for tests.
    pub fn tested_slack(&self) -> u64 {
        (self.slack * SLACK_PART) as u64
    }
}

/// An order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: String,
    /// The version that its endpoints are to have.
    pub target: String,
    /// Time for the move in milliseconds; none if the order names no usable time.
    pub duration_millis: Option<u64>,
}

/// How far a roll-out has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// A small share of the requests tests the new version.
    #[default]
    Testing,
    /// The new version gets a larger share for a short time.
    Widening,
    /// The new version gets all new requests; the old one finishes what it has.
    Moving,
    /// The new version is in use; endpoints of other versions are stopped.
    Succeeded,
    /// The new version gets nothing.
    RolledBack,
}

impl RolloutPhase {
    /// Whether the roll-out has ended.
    pub const fn is_concluded(self) -> bool {
        matches!(self, Self::Succeeded | Self::RolledBack)
    }

    /// Share of the service's requests that go to the new version.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{ExposureTerms, RolloutPhase};
    /// let terms = ExposureTerms { share: 0.1, slack: 50.0 };
    /// assert!(RolloutPhase::Testing.share(&terms) < terms.share);
    /// assert_eq!(RolloutPhase::RolledBack.share(&terms), 0.0);
    /// ```
    pub fn share(self, terms: &ExposureTerms) -> f64 {
        match self {
            Self::Testing => terms.share * TESTED_PART,
            Self::Widening => (terms.share * WIDENED_FACTOR).min(1.0),
            Self::Moving | Self::Succeeded => 1.0,
            Self::RolledBack => 0.0,
        }
    }

    /// A word for logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Testing => "testing",
            Self::Widening => "widening",
            Self::Moving => "moving",
            Self::Succeeded => "succeeded",
            Self::RolledBack => "reverted",
        }
    }
}

/// What the VM that decides keeps in the store of a roll-out, for all others and for its successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The service.
    pub service: String,
    /// The version.
    pub target: String,
    /// Where in the store's history its order stands.
    pub order: StorePosition,
    /// How far it has come.
    pub phase: RolloutPhase,
    /// How long after its order that was decided, in milliseconds.
    pub elapsed_millis: u64,
}
