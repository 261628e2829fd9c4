//! The current limit of an endpoint: requests a second that it takes from all VMs together.
//!
//! An overloaded endpoint names a limit in each answer while the limit holds. Another value replaces it, and an answer
//! without one ends it. Answers reach many VMs over many connections, so reports arrive out of order. An answer was made
//! between the send of its request and its arrival.
//!
//! Invariant: of two reports the later one is kept. Where their intervals overlap, the lower limit is kept: the next answer
//! corrects one that was kept wrongly, whereas one that was dropped wrongly overloads the endpoint.
//!
//! A limit that no answer repeats expires by doubling, since all VMs would otherwise send at once to an endpoint that may
//! still need it.

use crate::admit::{MIN_REQUESTS_PER_S, RateTerms};
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::cmp::Ordering;

/// A limit that no answer has repeated for this long, in milliseconds, and for [`LAPSE_WINDOWS`] of its windows, begins to rise.
const LAPSE_MILLIS: u64 = 30_000;
/// Windows of a limit in which an answer would have repeated it, had the endpoint got what it takes.
const LAPSE_WINDOWS: u64 = 2;
/// Time in which a limit that has lapsed doubles, in milliseconds.
const DOUBLE_MILLIS: f64 = 4_000.0;
/// A limit that has risen to so many requests a second is over.
const RISEN_PER_S: f64 = 1_000.0;
/// Interval between repeated reports of one endpoint to other VMs, in milliseconds.
const REPEAT_INTERVAL_MILLIS: u64 = 1_000;

/// Time for which the end of a limit is kept, in milliseconds, so that late reports do not restore the limit.
const ENDED_MILLIS: u64 = 10_000;

/// The limit in one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// Requests a second from all VMs together; none if the answer names no limit.
    pub per_s: Option<f64>,
    /// When its request was sent; the answer is not older.
    pub sent_at: Moment,
    /// When the answer arrived; the answer is not newer.
    pub received_at: Moment,
}

/// Effect of a report on the current limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// None: it repeats the current limit, or is older.
    None,
    /// The endpoint had no limit before.
    Begun,
    /// It replaced this limit, in requests a second.
    Changed(f64),
    /// It ended this limit, in requests a second.
    Ended(f64),
}

/// The newest report of an endpoint's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedLimit {
    report: Option<LimitReport>,
    /// When the report is next repeated to other VMs.
    repeat_at: Moment,
    /// Arrival of the answer that was last reported to them.
    repeated_received_at: Moment,
}

impl LimitReport {
    /// Whether it is surely later than `other`.
    fn is_after(&self, other: &Self) -> bool {
        self.sent_at >= other.received_at
    }

    /// Whether it allows less than `other`.
    fn is_lower(&self, other: &Self) -> bool {
        match (self.per_s, other.per_s) {
            (Some(own), Some(other)) => own.total_cmp(&other) == Ordering::Less,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }
}

impl ReportedLimit {
    /// Applies a report, from an answer to this VM or from another VM.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{LimitChange, LimitReport, NamedLimit};
    /// use spanfold_entity::Moment;
    /// let report = |per_s, sent, heard| LimitReport { per_s, sent_at: Moment(sent), received_at: Moment(heard) };
    /// let mut limit = NamedLimit::default();
    /// assert_eq!(limit.observe(report(Some(1.4), 10, 20)), LimitChange::Begun);
    /// assert_eq!(limit.observe(report(None, 5, 9)), LimitChange::None);
    /// assert_eq!(limit.observe(report(None, 20, 30)), LimitChange::Ended(1.4));
    /// ```
    pub fn observe(&mut self, report: LimitReport) -> LimitChange {
        let Some(current) = self.report else {
            if report.per_s.is_none() {
                return LimitChange::None;
            }
            self.report = Some(report);
            return LimitChange::Begun;
        };
        if current.is_after(&report) {
            return LimitChange::None;
        }
        if report.per_s == current.per_s {
            self.report = Some(LimitReport {
                sent_at: current.sent_at.max(report.sent_at),
                received_at: current.received_at.max(report.received_at),
                ..report
            });
            return LimitChange::None;
        }
        if !report.is_after(&current) && !report.is_lower(&current) {
            return LimitChange::None;
        }
        self.report = Some(report);
        match (current.per_s, report.per_s) {
            (None, _) => LimitChange::Begun,
            (Some(before), Some(_)) => LimitChange::Changed(before),
            (Some(before), None) => LimitChange::Ended(before),
        }
    }

    /// The limit that the endpoint named last, in requests a second.
    pub fn per_s(&self) -> Option<f64> {
        self.report.and_then(|report| report.per_s)
    }

    /// The newest report, of a limit or of its end.
    pub const fn report(&self) -> Option<&LimitReport> {
        self.report.as_ref()
    }

    /// The limit in force at `now`, in requests a second; above the named one while it expires.
    pub fn rate(&self, now: Moment) -> Option<f64> {
        let report = self.report?;
        let per_s = report.per_s?;
        let window_millis = RateTerms::of_limit(per_s).window_millis;
        let lapse_at = report.received_at.after_millis(LAPSE_MILLIS + LAPSE_WINDOWS * window_millis);
        if now < lapse_at {
            return Some(per_s);
        }
        let doublings = now.micros_since(lapse_at) as f64 / (DOUBLE_MILLIS * MICROS_PER_MILLI as f64);
        let risen = per_s.max(MIN_REQUESTS_PER_S) * doublings.exp2();
        // One that was higher from the beginning is over as soon as it lapses.
        (risen < RISEN_PER_S).then_some(risen)
    }

    /// The report to send to other VMs now: one that changed something, or a repetition that is due.
    pub(crate) fn take_due(&mut self, change: LimitChange, now: Moment) -> Option<LimitReport> {
        let report = self.report?;
        let is_repeated = now >= self.repeat_at && report.received_at > self.repeated_received_at;
        if change == LimitChange::None && !is_repeated {
            return None;
        }
        self.repeat_at = now.after_millis(REPEAT_INTERVAL_MILLIS);
        self.repeated_received_at = report.received_at;
        Some(report)
    }

    /// Drops an old end of a limit, and a limit that has expired; whether it was the latter.
    pub(crate) fn sweep(&mut self, now: Moment) -> bool {
        let Some(report) = self.report else { return false };
        let has_risen = report.per_s.is_some() && self.rate(now).is_none();
        let is_old = report.per_s.is_none() && now >= report.received_at.after_millis(ENDED_MILLIS);
        if has_risen || is_old {
            self.report = None;
        }
        has_risen
    }
}
