//! Admission of prompts: dispatch to an engine, queueing at this VM, or refusal.
//!
//! Overload arises when a burst doubles the traffic or a third of the engines fail. An engine accepts every
//! prompt it is sent. When its memory runs out, it preempts the newest run, which is then prefilled again
//! from its start. Each recomputed run makes the next preemption more likely, so an overload outlasts its
//! cause. Prompts for which no engine has free memory therefore wait at this VM, where they use no engine
//! memory and can still go to whichever engine gets free capacity first.
//!
//! Invariants: prompts that can still be answered in time take priority over late ones, because they may fill
//! a larger fraction of an engine's memory. The first prompt refused is the one whose caller would disconnect
//! before its first event. The refusal is sent as soon as this is known, not when the caller's timeout has
//! passed.

use crate::PlacementChoice;
use spanfold_entity::Moment;

/// Fraction of an engine's memory that in-time prompts of the highest priority may fill. It exceeds one
/// because shared segments are counted for each prompt but stored once.
const MAX_MEMORY_FRACTION: f64 = 1.15;
/// Reduction of [`MAX_MEMORY_FRACTION`] per priority level. It leaves the last free memory to more urgent
/// prompts.
const PRIORITY_MEMORY_FRACTION: f64 = 0.05;
/// Memory fraction that any in-time prompt may fill, whatever its priority.
const MIN_MEMORY_FRACTION: f64 = 1.0;
/// Memory fraction for prompts that will be late anyway: they must not make others late.
const LATE_MEMORY_FRACTION: f64 = 0.85;
/// An answer expected within this fraction of the objective counts as in time. The remainder covers the
/// spread of the estimates.
const IN_TIME_FRACTION: f64 = 0.95;
/// Queue at an engine that delays no other request, as a fraction of the objective.
const SHORT_QUEUE_FRACTION: f64 = 0.25;
/// Time by which the first event of a waiting prompt must be expected, as a fraction of the time after which
/// callers disconnect. A later one is not worth waiting for: some callers disconnect earlier, and the estimate
/// may be exceeded.
const MAX_WAIT_FRACTION: f64 = 0.7;
/// Delay after which a refused caller may retry, in milliseconds: about the time in which an engine finishes
/// a few runs.
pub(crate) const RETURN_DELAY_MILLIS: u64 = 300;

/// Number of VMs at which a waiting prompt claims free capacity with a probability of one half at each poll.
const HALF_PROBABILITY_VMS: f64 = 5.0;

/// Returns the probability with which a waiting prompt claims free capacity at a poll.
///
/// Many VMs with waiting prompts receive the report of an engine's free memory at the same time, and all would
/// send it their prompts. Each of the `vms` VMs makes a random draw with this probability instead.
///
/// # Examples
/// ```
/// use spanfold_decide::claim_probability;
/// assert!(claim_probability(9) > 0.3 && claim_probability(82) < 0.1);
/// ```
pub fn claim_probability(vms: usize) -> f64 {
    1.0 / (1.0 + vms as f64 / HALF_PROBABILITY_VMS)
}

/// Properties of a prompt that decide its admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionView {
    /// Time at which the prompt arrived.
    pub received_at: Moment,
    /// Deadline for the answer.
    pub answer_deadline: Moment,
    /// Latency objective of the route, in milliseconds.
    pub objective_millis: u64,
    /// Time without an event after which the caller disconnects, in milliseconds.
    pub silence_timeout_millis: u64,
    /// Priority of the prompt; zero is the most urgent.
    pub priority: u8,
}

/// Admission decision for a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// The prompt is sent to the chosen engine.
    Go,
    /// The prompt waits at this VM: an engine may have free capacity later.
    Wait,
    /// The caller would disconnect before the first event; it may retry after this many milliseconds.
    Refuse(u64),
}

impl AdmissionView {
    /// Returns the fraction of an engine's memory that the prompt may fill at `now`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::AdmissionView;
    /// use spanfold_entity::Moment;
    /// let view = AdmissionView {
    ///     received_at: Moment(0), answer_deadline: Moment(3_000_000), objective_millis: 500,
    ///     silence_timeout_millis: 2_000, priority: 1,
    /// };
    /// assert!(view.memory_fraction(Moment(0)) > view.memory_fraction(Moment(600_000)));
    /// ```
    pub fn memory_fraction(&self, now: Moment) -> f64 {
        if now >= self.in_time_deadline() {
            return LATE_MEMORY_FRACTION;
        }
        (MAX_MEMORY_FRACTION - PRIORITY_MEMORY_FRACTION * f64::from(self.priority)).max(MIN_MEMORY_FRACTION)
    }

    /// Decides on a prompt for which `choice` is the best endpoint.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{AdmissionVerdict, AdmissionView, PlacementChoice};
    /// use spanfold_entity::Moment;
    /// let view = AdmissionView {
    ///     received_at: Moment(0), answer_deadline: Moment(3_000_000), objective_millis: 500,
    ///     silence_timeout_millis: 2_000, priority: 0,
    /// };
    /// let free = PlacementChoice { expected_micros: 200_000, ..PlacementChoice::default() };
    /// let full = PlacementChoice { excess_tokens: 900, ..free.clone() };
    /// assert_eq!(view.admit(&free, Moment(0)), AdmissionVerdict::Go);
    /// assert_eq!(view.admit(&full, Moment(0)), AdmissionVerdict::Wait);
    /// assert!(matches!(view.admit(&full, Moment(1_900_000)), AdmissionVerdict::Refuse(_)));
    /// ```
    pub fn admit(&self, choice: &PlacementChoice, now: Moment) -> AdmissionVerdict {
        if choice.excess_tokens == 0 && self.accepts_delay(choice.expected_micros, choice.queue_micros, now) {
            return AdmissionVerdict::Go;
        }
        self.admit_behind(choice, now)
    }

    /// Decides on a prompt that must leave the capacity of its best endpoint `choice` to others.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{AdmissionVerdict, AdmissionView, PlacementChoice};
    /// use spanfold_entity::Moment;
    /// let view = AdmissionView {
    ///     received_at: Moment(0), answer_deadline: Moment(3_000_000), objective_millis: 500,
    ///     silence_timeout_millis: 2_000, priority: 0,
    /// };
    /// let free = PlacementChoice { expected_micros: 200_000, ..PlacementChoice::default() };
    /// assert_eq!(view.admit_behind(&free, Moment(0)), AdmissionVerdict::Wait);
    /// assert!(matches!(view.admit_behind(&free, Moment(1_900_000)), AdmissionVerdict::Refuse(_)));
    /// ```
    pub fn admit_behind(&self, choice: &PlacementChoice, now: Moment) -> AdmissionVerdict {
        let first_event_at = now.after_micros(choice.expected_micros);
        let max_wait_millis = (self.silence_timeout_millis as f64 * MAX_WAIT_FRACTION) as u64;
        if first_event_at < self.received_at.after_millis(max_wait_millis).min(self.answer_deadline) {
            AdmissionVerdict::Wait
        } else {
            AdmissionVerdict::Refuse(RETURN_DELAY_MILLIS)
        }
    }

    /// Whether the prompt goes to an engine with free memory at which its first event is expected in
    /// `expected_micros`, `queue_micros` of them for the prompts queued there.
    pub(crate) fn accepts_delay(&self, expected_micros: u64, queue_micros: u64, now: Moment) -> bool {
        let is_in_time = now.after_micros(expected_micros) <= self.in_time_deadline();
        let is_queue_short =
            queue_micros as f64 <= self.objective_millis as f64 * 1_000.0 * SHORT_QUEUE_FRACTION;
        is_in_time || is_queue_short
    }

    /// Returns the time by which the first event must be expected for the prompt to count as in time.
    pub(crate) fn in_time_deadline(&self) -> Moment {
        self.received_at.after_micros((self.objective_millis as f64 * 1_000.0 * IN_TIME_FRACTION) as u64)
    }
}
