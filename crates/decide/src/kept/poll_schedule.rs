//! How often the lead of a data centre asks a store of kept cache for news.
//!
//! Invariant: the calls that all leads have waiting at one store stay below the number that it holds
//! back at once; it refuses more, and refusals are priced. Each lead therefore rests between its
//! calls for longer the more data centres there are.

/// A call that is held back for less is priced, in milliseconds: 200 by the users' pages, and calls of
/// 200 were priced, too (small twin of a grown day: 6,774 of them).
const HELD_LEAST_MILLIS: u64 = 250;
/// How long a call is held back where few ask, in milliseconds.
const HELD_MOST_MILLIS: u64 = 400;
/// Part of the calls that a store holds back which is used: leads do not ask evenly.
const USABLE_FRACTION: f64 = 0.6;
/// Shortest rest after a call, in milliseconds, so that one call brings several changes.
const REST_LEAST_MILLIS: u64 = 100;
/// What a store told counts for so many rounds, in case one fails.
const ROUNDS: u64 = 2;
/// And this much longer, in milliseconds.
const COUNTS_EXTRA_MILLIS: u64 = 800;

/// How a lead asks one store for news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollSchedule {
    /// How long a call may be held back, in milliseconds.
    pub held_millis: u64,
    /// Rest after a call, in milliseconds.
    pub rest_millis: u64,
}

impl PollSchedule {
    /// The rhythm for `askers` leads at a store that holds `calls` back at once.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::NewsRhythm;
    /// assert_eq!(NewsRhythm::new(9, 12), NewsRhythm { held_millis: 400, rest_millis: 101 });
    /// assert_eq!(NewsRhythm::new(91, 12), NewsRhythm { held_millis: 250, rest_millis: 2_910 });
    /// ```
    pub fn new(askers: usize, calls: u32) -> Self {
        let used = (f64::from(calls) * USABLE_FRACTION).max(1.0);
        let crowded = askers as f64 > 2.0 * used;
        let held_millis = if crowded { HELD_LEAST_MILLIS } else { HELD_MOST_MILLIS };
        let round = askers as f64 * held_millis as f64 / used;
        let rest_millis = (round.ceil() as u64).saturating_sub(held_millis).max(REST_LEAST_MILLIS);
        Self { held_millis, rest_millis }
    }

    /// How long what a store told counts, in milliseconds.
    pub const fn counts_millis(self) -> u64 {
        (self.held_millis + self.rest_millis) * ROUNDS + COUNTS_EXTRA_MILLIS
    }
}
