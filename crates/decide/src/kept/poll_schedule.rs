//! Schedule by which the leader of a data centre polls a cache store for updates.
//!
//! Invariant: the long polls of all leaders that wait at one store stay below the number that it allows at
//! once; it refuses more, and refusals are charged. So the delay between a leader's calls grows with the
//! number of data centres.

/// Shortest long poll. Shorter calls are charged: 200 ms is the documented bound, but calls of 200 ms were
/// charged, too (6,774 of them in a small replica of a grown day).
const MIN_LONG_POLL_MILLIS: u64 = 250;
/// Duration of a long poll where few leaders poll.
const MAX_LONG_POLL_MILLIS: u64 = 400;
/// Fraction of a store's allowed long polls that is used, since the leaders' calls are not evenly
/// distributed.
const USABLE_FRACTION: f64 = 0.6;
/// Minimum delay after a call, so that one call returns several changes.
const MIN_DELAY_MILLIS: u64 = 100;
/// Number of poll rounds for which a store's report is valid, in case one of them fails.
const LIFETIME_ROUNDS: u64 = 2;
/// Additional time for which a store's report is valid.
const LIFETIME_MARGIN_MILLIS: u64 = 800;

/// Times for one leader's polls of one store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollSchedule {
    /// Duration of a long poll, in milliseconds.
    pub long_poll_millis: u64,
    /// Delay after a call, in milliseconds.
    pub delay_millis: u64,
}

impl PollSchedule {
    /// Returns the schedule for `leaders` leaders at a store that allows `max_calls` long polls at once.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::PollSchedule;
    /// assert_eq!(PollSchedule::new(9, 12), PollSchedule { long_poll_millis: 400, delay_millis: 101 });
    /// assert_eq!(PollSchedule::new(91, 12), PollSchedule { long_poll_millis: 250, delay_millis: 2_910 });
    /// ```
    pub fn new(leaders: usize, max_calls: u32) -> Self {
        let used_calls = (f64::from(max_calls) * USABLE_FRACTION).max(1.0);
        let is_crowded = leaders as f64 > 2.0 * used_calls;
        let long_poll_millis = if is_crowded { MIN_LONG_POLL_MILLIS } else { MAX_LONG_POLL_MILLIS };
        let round_millis = leaders as f64 * long_poll_millis as f64 / used_calls;
        let delay_millis =
            (round_millis.ceil() as u64).saturating_sub(long_poll_millis).max(MIN_DELAY_MILLIS);
        Self { long_poll_millis, delay_millis }
    }

    /// Returns how long a report of the store is valid, in milliseconds.
    pub const fn report_lifetime_millis(self) -> u64 {
        (self.long_poll_millis + self.delay_millis) * LIFETIME_ROUNDS + LIFETIME_MARGIN_MILLIS
    }
}
