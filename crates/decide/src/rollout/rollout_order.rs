//! Order of an operator to change a service's version, and the phases of its rollout.

use crate::StorePosition;
use serde::{Deserialize, Serialize};

/// Fraction of the exposure for canary requests: the remainder is for requests that arrive until a late
/// fault is detected.
const CANARY_FRACTION: f64 = 0.3;
/// Share of the requests while the rollout widens, as a multiple of the exposure.
const WIDENING_FACTOR: f64 = 2.0;
/// Fraction of the requests allowed beyond the share that the new version gets immediately, so that there are
/// answers to evaluate where few requests arrive.
const CANARY_SLACK_FRACTION: f64 = 0.4;

/// Limits for what all VMs together may send to a version that turns out to be bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureTerms {
    /// Share of the service's requests.
    pub share: f64,
    /// Number of requests beyond that share.
    pub slack: f64,
}

impl ExposureTerms {
    /// Number of canary requests beyond the share, over all VMs.
    pub fn canary_slack(&self) -> u64 {
        (self.slack * CANARY_SLACK_FRACTION) as u64
    }
}

/// Order to change a service's version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: String,
    /// Target version of its endpoints.
    pub target: String,
    /// Duration of the rollout in milliseconds; none if the order states no usable one.
    pub duration_millis: Option<u64>,
}

/// Phase of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// A small share of the requests goes to the new version as canaries.
    #[default]
    Testing,
    /// The new version gets a larger share for a short time.
    Widening,
    /// The new version gets all new requests; the old one finishes its open requests.
    Moving,
    /// The new version is in use; endpoints of other versions are stopped.
    Succeeded,
    /// The new version gets no requests.
    RolledBack,
}

impl RolloutPhase {
    /// Whether the rollout has ended.
    pub const fn is_concluded(self) -> bool {
        matches!(self, Self::Succeeded | Self::RolledBack)
    }

    /// Returns the share of the service's requests that go to the new version.
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
            Self::Testing => terms.share * CANARY_FRACTION,
            Self::Widening => (terms.share * WIDENING_FACTOR).min(1.0),
            Self::Moving | Self::Succeeded => 1.0,
            Self::RolledBack => 0.0,
        }
    }

    /// Returns the label for logs and metrics.
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

/// Record of a rollout in the store. The VM that decides writes it for all others and for its successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The service.
    pub service: String,
    /// The target version.
    pub target: String,
    /// Position of the order in the store's history.
    pub order: StorePosition,
    /// The phase.
    pub phase: RolloutPhase,
    /// Time from the order to this decision, in milliseconds.
    pub elapsed_millis: u64,
}
