//! State of one rollout at a VM, and the next step of the VM that decides.
//!
//! Invariant: the new version gets more than the canary share only after its answers were found no worse, and
//! nothing once they were found worse. A concluded rollout stays concluded.

use crate::{ExposureTerms, RolloutEvidence, RolloutOrder, RolloutPhase, RolloutRecord, StorePosition};
use spanfold_entity::{MICROS_PER_MILLI, Moment};

/// Fraction of the rollout's duration that is used for testing: a fault may begin late.
const TESTING_FRACTION: f64 = 0.65;
/// Fraction of the rollout's duration after which all new requests go to the new version; the remainder is
/// for requests that still run at the old one.
const MOVING_START_FRACTION: f64 = 0.75;
/// Time between the latest conclusion of a rollout and the end of its duration: VMs receive an order with a
/// delay, and the conclusion must reach the store.
const CONCLUDE_MARGIN_MILLIS: u64 = 1_200;
/// Upper bound of this margin for short rollouts, as a divisor of the duration.
const CONCLUDE_DIVISOR: u64 = 10;
/// Time after which all reachable VMs have received a phase.
const PROPAGATION_DELAY_MILLIS: u64 = 1_000;

/// Reason for the next phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutReason {
    /// The new version answers no worse.
    Good,
    /// The new version answers worse.
    Bad,
    /// Too few of its answers have arrived in the time that the order states.
    Unknown,
    /// All endpoints had the version before the order.
    InPlace,
    /// The operator withdrew the order.
    Withdrawn,
    /// The order states no usable time.
    NoTime,
}

impl RolloutReason {
    /// Returns the text for logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Good => "its answers are no worse",
            Self::Bad => "its answers are worse",
            Self::Unknown => "too few answers in time",
            Self::InPlace => "all endpoints have it",
            Self::Withdrawn => "the order was withdrawn",
            Self::NoTime => "the order gives no time",
        }
    }
}

/// Next phase of a rollout, and the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutStep {
    /// The phase.
    pub phase: RolloutPhase,
    /// The reason.
    pub reason: RolloutReason,
}

/// State of one rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutRun {
    /// The order.
    pub order: RolloutOrder,
    /// Position of the order in the store's history.
    pub position: StorePosition,
    /// When the order was given, as estimated by this VM.
    pub since: Moment,
    /// When this VM received the order.
    pub received_order_at: Moment,
    /// Phase in the store's record; none if that is of another order.
    pub recorded: Option<RolloutPhase>,
    /// Present phase, as written by the VM that decides.
    pub phase: RolloutPhase,
    /// When this VM received the phase.
    pub phase_at: Moment,
    /// Answers of both versions.
    pub evidence: RolloutEvidence,
    /// Whether the operator withdrew the order.
    pub is_withdrawn: bool,
    /// Whether this VM has seen an endpoint of another version since the order.
    pub has_other_versions: bool,
    /// Number of requests that this VM sent to the new version beyond its share.
    pub slack_sent: u64,
    /// Whether this VM has found the version bad, which is logged once.
    pub is_suspected: bool,
}

impl RolloutRun {
    /// Creates the state of a new rollout.
    pub fn new(order: RolloutOrder, position: StorePosition, now: Moment) -> Self {
        Self {
            order,
            position,
            since: now,
            received_order_at: now,
            recorded: None,
            phase: RolloutPhase::Testing,
            phase_at: now,
            evidence: RolloutEvidence::default(),
            is_withdrawn: false,
            has_other_versions: false,
            slack_sent: 0,
            is_suspected: false,
        }
    }

    /// Returns the share of the requests that this VM sends to the new version.
    ///
    /// A VM that finds the version bad stops by itself: it doesn't wait for a decision and needs no
    /// connection to the store.
    pub fn share(&self, terms: &ExposureTerms) -> f64 {
        match self.phase {
            RolloutPhase::Succeeded => 1.0,
            _ if self.is_withdrawn || self.order.duration_millis.is_none() || self.evidence.is_bad() => 0.0,
            phase => phase.share(terms),
        }
    }

    /// Applies a record of the VM that decides; returns whether it changed the phase.
    pub fn apply(&mut self, record: &RolloutRecord, now: Moment) -> bool {
        if record.order != self.position || self.phase.is_concluded() || record.phase == self.phase {
            return false;
        }
        let begun_at = Moment(now.0.saturating_sub(record.elapsed_millis * MICROS_PER_MILLI));
        self.since = self.since.min(begun_at);
        (self.phase, self.phase_at) = (record.phase, now);
        true
    }

    /// Returns the time since the order, in milliseconds.
    pub fn elapsed_millis(&self, now: Moment) -> u64 {
        now.micros_since(self.since) / MICROS_PER_MILLI
    }

    /// Returns the next step of the VM that decides; none if it waits. `has_old_requests` states whether
    /// requests still run at other versions.
    pub fn next_step(&self, has_old_requests: bool, now: Moment) -> Option<RolloutStep> {
        if self.phase.is_concluded() {
            return None;
        }
        let roll_back = |reason| Some(RolloutStep { phase: RolloutPhase::RolledBack, reason });
        let advance = |phase| Some(RolloutStep { phase, reason: RolloutReason::Good });
        let Some(duration) = self.order.duration_millis else { return roll_back(RolloutReason::NoTime) };
        if self.is_withdrawn {
            return roll_back(RolloutReason::Withdrawn);
        }
        if self.evidence.is_bad() {
            return roll_back(RolloutReason::Bad);
        }
        let elapsed = self.elapsed_millis(now);
        let reached = |fraction: f64| elapsed as f64 >= duration as f64 * fraction;
        let conclude_at = duration.saturating_sub(CONCLUDE_MARGIN_MILLIS.min(duration / CONCLUDE_DIVISOR));
        match self.phase {
            RolloutPhase::Testing if reached(TESTING_FRACTION) && self.evidence.is_enough() => {
                advance(RolloutPhase::Widening)
            }
            RolloutPhase::Testing if elapsed >= conclude_at => roll_back(RolloutReason::Unknown),
            RolloutPhase::Widening if reached(MOVING_START_FRACTION) => advance(RolloutPhase::Moving),
            RolloutPhase::Moving => {
                let has_propagated = now >= self.phase_at.after_millis(PROPAGATION_DELAY_MILLIS);
                let has_moved = has_propagated && !has_old_requests;
                if has_moved || elapsed >= conclude_at { advance(RolloutPhase::Succeeded) } else { None }
            }
            _ => None,
        }
    }
}
