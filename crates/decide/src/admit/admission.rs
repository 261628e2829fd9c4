//! Whether a prompt goes to its engine now, waits at this VM, or is refused.
//!
//! Pattern: more prompts than engines have memory for, by a burst of twice the traffic or while a third of the
//! engines are gone. An engine takes in what it is sent, and when its memory runs out it throws away the newest run,
//! which is then read again from its start: each such run makes the next one more likely, and an overload outlasts
//! its cause. So a prompt that no engine has room for waits here, where it costs nothing and can still go to
//! whichever engine gets room first.
//!
//! Invariants: a prompt that can be in time goes before one that cannot, because it may fill more of an engine's
//! memory; the first to be refused is the one whose caller would leave before its first event. That answer goes out as
//! soon as it is known, not when the caller's time is over.

use crate::PlacementChoice;
use spanfold_entity::Moment;

/// Part of an engine's memory that prompts of the highest rank may take while they can be in time. It is above one,
/// because shared parts are counted for each prompt but kept once.
const MEMORY_PART: f64 = 1.15;
/// Each lower rank may take so much less, so that the last room is left to more urgent prompts.
const RANK_PART: f64 = 0.05;
/// Part that any prompt in time may take, whatever its rank.
const MEMORY_PART_LEAST: f64 = 1.0;
/// Part for prompts that will be late anyway: they must not make others late.
const LATE_MEMORY_PART: f64 = 0.85;
/// An answer expected within this part of the objective counts as in time: what is beyond covers the spread of what
/// is expected.
const IN_TIME_PART: f64 = 0.95;
/// Work that waits at an engine delays nobody else as long as it takes less than this part of the objective.
const QUIET_PART: f64 = 0.25;
/// A first event is only worth sending a prompt for if it comes within this part of the time after which callers leave:
/// some leave sooner, and what is expected may be exceeded.
const PATIENCE_PART: f64 = 0.7;
/// When a refused caller may come back, in milliseconds: about the time in which an engine ends a few runs.
const BACK_MILLIS: u64 = 300;

/// In a deployment of this many VMs, a waiting prompt takes every second chance.
const LOOKING_VMS: f64 = 5.0;

/// Part of the looks at which a waiting prompt takes room that it sees, in a deployment of `vms` VMs.
///
/// Many VMs with waiting prompts learn of one engine's free memory at the same time, and all would send there. Each
/// draws a random number instead.
///
/// # Examples
/// ```
/// use spanfold_decide::take_part;
/// assert!(take_part(9) > 0.3 && take_part(82) < 0.1);
/// ```
pub fn claim_probability(vms: usize) -> f64 {
    1.0 / (1.0 + vms as f64 / LOOKING_VMS)
}

/// What decides whether a prompt goes, waits or is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionView {
    /// When it arrived.
    pub received: Moment,
    /// When its answer must be out.
    pub limit: Moment,
    /// Latency objective of its route, in milliseconds.
    pub objective_millis: u64,
    /// Time without an event after which its caller leaves, in milliseconds.
    pub silence_millis: u64,
    /// Its rank; zero is the most urgent.
    pub rank: u8,
}

/// What becomes of a prompt now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// It goes to the engine that was chosen.
    Go,
    /// It waits here: an engine may have room later.
    Wait,
    /// Its caller would leave before the first event; it may come back after so many milliseconds.
    Refuse(u64),
}

impl AdmissionView {
    /// Part of an engine's memory that the prompt may fill up now.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::AdmissionView;
    /// use spanfold_entity::Moment;
    /// let view = AdmissionView {
    ///     received: Moment(0), limit: Moment(3_000_000), objective_millis: 500, silence_millis: 2_000, rank: 1,
    /// };
    /// assert!(view.memory_part(Moment(0)) > view.memory_part(Moment(600_000)));
    /// ```
    pub fn memory_fraction(&self, now: Moment) -> f64 {
        if now >= self.in_time_until() {
            return LATE_MEMORY_PART;
        }
        (MEMORY_PART - RANK_PART * f64::from(self.rank)).max(MEMORY_PART_LEAST)
    }

    /// Decides on a prompt whose best place is `choice`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{AdmissionVerdict, AdmissionView, PlacementChoice};
    /// use spanfold_entity::Moment;
    /// let view = AdmissionView {
    ///     received: Moment(0), limit: Moment(3_000_000), objective_millis: 500, silence_millis: 2_000, rank: 0,
    /// };
    /// let free = PlacementChoice { expected_micros: 200_000, ..PlacementChoice::default() };
    /// let full = PlacementChoice { over_tokens: 900, ..free.clone() };
    /// assert_eq!(view.admit(&free, Moment(0)), AdmissionVerdict::Go);
    /// assert_eq!(view.admit(&full, Moment(0)), AdmissionVerdict::Wait);
    /// assert!(matches!(view.admit(&full, Moment(1_900_000)), AdmissionVerdict::Refuse(_)));
    /// ```
    pub fn admit(&self, choice: &PlacementChoice, now: Moment) -> AdmissionVerdict {
        let first_at = now.after_micros(choice.expected_micros);
        let in_time = first_at <= self.in_time_until();
        let quiet = choice.queue_micros as f64 <= self.objective_millis as f64 * 1_000.0 * QUIET_PART;
        if choice.excess_tokens == 0 && (in_time || quiet) {
            return AdmissionVerdict::Go;
        }
        let patience = (self.silence_millis as f64 * PATIENCE_PART) as u64;
        if first_at < self.received.after_millis(patience).min(self.limit) {
            AdmissionVerdict::Wait
        } else {
            AdmissionVerdict::Refuse(BACK_MILLIS)
        }
    }

    fn in_time_until(&self) -> Moment {
        self.received.after_micros((self.objective_millis as f64 * 1_000.0 * IN_TIME_PART) as u64)
    }
}
