//! Deadlines of a planned stop, and how long each route's answers take.
//!
//! Invariant: from the signal on, no request has a later deadline than the last moment at which its answer can
//! still be written. A request that may not be repeated is sent only if its own deadline is not later than that,
//! and another one only if answers on its route usually fit. Everything else is refused before it runs.

use spanfold_entity::Moment;
use std::collections::HashMap;

/// Unused end of the grace period, so that the process exits by itself, in milliseconds.
const EXIT_MARGIN_MILLIS: u64 = 600;
/// Time in which the last bytes of the last answers are written, in milliseconds.
const WRITE_MARGIN_MILLIS: u64 = 300;
/// Time in which the balancer notices that a VM is not ready, in milliseconds: it checks once a second, and reacts
/// to the second failed check.
const BALANCER_DRAIN_MILLIS: u64 = 2_600;
/// Part of a usual answer's time that is kept in reserve.
const RESERVE_DIVISOR: u64 = 4;
/// Time after which an observed answer time may be discarded, in milliseconds.
const WINDOW_MILLIS: u64 = 30_000;

/// Deadlines of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    closes_at: Moment,
    answer_deadline: Moment,
    ends_at: Moment,
}

impl StopSchedule {
    /// No stop is under way.
    pub const NONE: Self =
        Self { closes_at: Moment::NEVER, answer_deadline: Moment::NEVER, ends_at: Moment::NEVER };

    /// Begins a stop whose process is killed `grace_millis` after `now`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::StopSchedule;
    /// use spanfold_entity::Moment;
    /// let stop = StopSchedule::begin(Moment(0), 8_000);
    /// assert_eq!(stop.ends_at(), Moment(0).after_millis(7_400));
    /// assert_eq!(stop.answer_deadline(), Moment(0).after_millis(7_100));
    /// assert!(StopSchedule::begin(Moment(0), 2_000).closes_at() < Moment(0).after_millis(2_000));
    /// ```
    pub const fn begin(now: Moment, grace_millis: u64) -> Self {
        // A very short grace period is halved instead.
        let usable_millis = max(grace_millis.saturating_sub(EXIT_MARGIN_MILLIS), grace_millis / 2);
        let answer_millis = max(usable_millis.saturating_sub(WRITE_MARGIN_MILLIS), usable_millis / 2);
        let open_millis = min(BALANCER_DRAIN_MILLIS, answer_millis / 2);
        Self {
            closes_at: now.after_millis(open_millis),
            answer_deadline: now.after_millis(answer_millis),
            ends_at: now.after_millis(usable_millis),
        }
    }

    /// Whether a stop is under way.
    pub const fn has_begun(&self) -> bool {
        self.ends_at.0 != Moment::NEVER.0
    }

    /// Returns when new connections are no longer accepted, and idle ones are closed.
    pub const fn closes_at(&self) -> Moment {
        self.closes_at
    }

    /// Returns by when each request is answered or refused.
    pub const fn answer_deadline(&self) -> Moment {
        self.answer_deadline
    }

    /// Returns when the remaining connections are closed.
    pub const fn ends_at(&self) -> Moment {
        self.ends_at
    }

    /// Returns until when a request with its own `deadline` may be sent; zero if it may no longer be.
    ///
    /// `usual_micros` is the time that answers on its route take, if that is known.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::StopSchedule;
    /// use spanfold_entity::Moment;
    /// let at = |millis| Moment(0).after_millis(millis);
    /// let stop = StopSchedule::begin(Moment(0), 8_000);
    /// assert_eq!(stop.send_deadline(at(5_000), false, None), at(5_000));
    /// assert_eq!(stop.send_deadline(at(9_000), false, Some(1_000_000)), Moment(0));
    /// assert_eq!(stop.send_deadline(at(9_000), true, Some(1_000_000)), at(7_100 - 1_250));
    /// assert_eq!(StopSchedule::NONE.send_deadline(at(9_000), false, None), at(9_000));
    /// ```
    pub fn send_deadline(&self, deadline: Moment, is_repeatable: bool, usual_micros: Option<u64>) -> Moment {
        if deadline <= self.answer_deadline {
            return deadline;
        }
        match usual_micros.filter(|_| is_repeatable) {
            Some(micros) => {
                let needed_micros = micros.saturating_add(micros / RESERVE_DIVISOR);
                Moment(self.answer_deadline.0.saturating_sub(needed_micros))
            }
            None => Moment(0),
        }
    }
}

const fn max(one: u64, other: u64) -> u64 {
    if one > other { one } else { other }
}

const fn min(one: u64, other: u64) -> u64 {
    if one < other { one } else { other }
}

/// Longest answer times of a route in two windows.
#[derive(Clone, Copy, Debug)]
struct RouteTimes {
    current_micros: u64,
    previous_micros: Option<u64>,
    window_ends_at: Moment,
}

/// The time that whole answers take, by the route's name.
///
/// # Examples
/// ```
/// use spanfold_decide::AnswerTimes;
/// use spanfold_entity::Moment;
/// let mut times = AnswerTimes::default();
/// times.record("chat", 5_000, Moment(0));
/// times.record("chat", 2_000, Moment(0));
/// assert_eq!(times.usual_micros("chat"), Some(5_000));
/// assert_eq!(times.usual_micros("other"), None);
/// ```
#[derive(Debug, Default)]
pub struct AnswerTimes(HashMap<String, RouteTimes>);

impl AnswerTimes {
    /// Records that a whole answer took `micros` until `now`.
    pub fn record(&mut self, route: &str, micros: u64, now: Moment) {
        let Some(times) = self.0.get_mut(route) else {
            let window_ends_at = now.after_millis(WINDOW_MILLIS);
            let times = RouteTimes { current_micros: micros, previous_micros: None, window_ends_at };
            self.0.insert(route.to_owned(), times);
            return;
        };
        if now >= times.window_ends_at {
            times.previous_micros = Some(times.current_micros);
            times.current_micros = 0;
            times.window_ends_at = now.after_millis(WINDOW_MILLIS);
        }
        times.current_micros = times.current_micros.max(micros);
    }

    /// Returns the longest recent answer time of a route, in microseconds; none if it had no answer.
    pub fn usual_micros(&self, route: &str) -> Option<u64> {
        self.0.get(route).map(|times| times.current_micros.max(times.previous_micros.unwrap_or(0)))
    }

    /// Removes the times of routes that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.0.retain(|route, _| is_configured(route));
    }
}
