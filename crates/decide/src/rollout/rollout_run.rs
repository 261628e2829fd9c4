//! One roll-out as a VM knows it, and what the VM that decides does next.
//!
//! Invariant: the new version gets more than the tested share only after its answers were found no worse, and nothing once
//! they were found worse. A concluded roll-out stays concluded.

use crate::{ExposureTerms, RolloutEvidence, RolloutOrder, RolloutPhase, RolloutRecord, StorePosition};
use spanfold_entity::{MICROS_PER_MILLI, Moment};

/// Part of its time for which a roll-out tests: a fault may begin late.
const TESTING_PART: f64 = 0.65;
/// Part of its time after which all new requests move; what is left is for requests that run at the old version.
const MOVING_PART: f64 = 0.75;
/// It is concluded so long before its time is over at the latest, in milliseconds: VMs learn of an order with a delay, and
/// the conclusion must reach the store.
const CONCLUDE_MILLIS: u64 = 1_200;
/// The same as a part of its time, where that is less.
const CONCLUDE_PART: u64 = 10;
/// All VMs in touch know of a phase after this long, in milliseconds.
const KNOWN_MILLIS: u64 = 1_000;

/// Why a roll-out goes on or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutReason {
    /// The new version answers no worse.
    Good,
    /// The new version answers worse.
    Bad,
    /// Too few of its answers have come in the time that the order gives.
    Unknown,
    /// All endpoints had the version before the order.
    InPlace,
    /// The order was taken back.
    Withdrawn,
    /// The order gives no usable time.
    NoTime,
}

impl RolloutReason {
    /// A phrase for logs.
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

/// The next phase, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutStep {
    /// The phase.
    pub phase: RolloutPhase,
    /// Why.
    pub reason: RolloutReason,
}

/// One roll-out.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutRun {
    /// What was ordered.
    pub order: RolloutOrder,
    /// Where in the store's history the order stands.
    pub position: StorePosition,
    /// When it was given, as far as this VM knows.
    pub since: Moment,
    /// Since when this VM knows of it.
    pub known_at: Moment,
    /// The phase in the store's record; none if that is of another order.
    pub recorded: Option<RolloutPhase>,
    /// How far it has come, as the deciding VM wrote it.
    pub phase: RolloutPhase,
    /// When this VM learned of the phase.
    pub phase_at: Moment,
    /// Answers of both versions.
    pub evidence: RolloutEvidence,
    /// Whether the operator took the order back.
    pub is_withdrawn: bool,
    /// Whether this VM has seen an endpoint of another version since the order.
    pub has_others: bool,
    /// Requests that this VM sent to the new version beyond its share.
    pub slack_sent: u64,
    /// Whether this VM has found the version bad: logged once.
    pub is_suspected: bool,
}

impl RolloutRun {
    /// A roll-out that begins.
    pub fn new(order: RolloutOrder, position: StorePosition, now: Moment) -> Self {
        Self {
            order,
            position,
            since: now,
            known_at: now,
            recorded: None,
            phase: RolloutPhase::Testing,
            phase_at: now,
            evidence: RolloutEvidence::default(),
            is_withdrawn: false,
            has_others: false,
            slack_sent: 0,
            is_suspected: false,
        }
    }

    /// Share of the requests that this VM sends to the new version.
    ///
    /// A VM that finds the version bad stops by itself: it waits for no decision, and needs no way to the store.
    pub fn share(&self, terms: &ExposureTerms) -> f64 {
        match self.phase {
            RolloutPhase::Succeeded => 1.0,
            _ if self.is_withdrawn || self.order.duration_millis.is_none() || self.evidence.is_bad() => 0.0,
            phase => phase.share(terms),
        }
    }

    /// Takes what the deciding VM wrote; whether that changed the phase.
    pub fn apply(&mut self, record: &RolloutRecord, now: Moment) -> bool {
        if record.order != self.position || self.phase.is_concluded() || record.phase == self.phase {
            return false;
        }
        let begun = Moment(now.0.saturating_sub(record.elapsed_millis * MICROS_PER_MILLI));
        self.since = self.since.min(begun);
        (self.phase, self.phase_at) = (record.phase, now);
        true
    }

    /// How long ago it was ordered, in milliseconds.
    pub fn elapsed_millis(&self, now: Moment) -> u64 {
        now.micros_since(self.since) / MICROS_PER_MILLI
    }

    /// What the deciding VM does next; none if it waits. `old_runs` tells whether requests still run at other versions.
    pub fn next_step(&self, old_runs: bool, now: Moment) -> Option<RolloutStep> {
        if self.phase.is_concluded() {
            return None;
        }
        let back = |reason| Some(RolloutStep { phase: RolloutPhase::RolledBack, reason });
        let good = |phase| Some(RolloutStep { phase, reason: RolloutReason::Good });
        let Some(duration) = self.order.duration_millis else { return back(RolloutReason::NoTime) };
        if self.is_withdrawn {
            return back(RolloutReason::Withdrawn);
        }
        if self.evidence.is_bad() {
            return back(RolloutReason::Bad);
        }
        let elapsed = self.elapsed_millis(now);
        let reached = |part: f64| elapsed as f64 >= duration as f64 * part;
        let conclude_at = duration.saturating_sub(CONCLUDE_MILLIS.min(duration / CONCLUDE_PART));
        match self.phase {
            RolloutPhase::Testing if reached(TESTING_PART) && self.evidence.is_enough() => {
                good(RolloutPhase::Widening)
            }
            RolloutPhase::Testing if elapsed >= conclude_at => back(RolloutReason::Unknown),
            RolloutPhase::Widening if reached(MOVING_PART) => good(RolloutPhase::Moving),
            RolloutPhase::Moving => {
                let is_known = now >= self.phase_at.after_millis(KNOWN_MILLIS);
                let has_moved = is_known && !old_runs;
                if has_moved || elapsed >= conclude_at { good(RolloutPhase::Succeeded) } else { None }
            }
            _ => None,
        }
    }
}
