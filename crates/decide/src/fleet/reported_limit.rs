//! Reported limit of an endpoint: requests a second that it accepts from all VMs together.
//!
//! An overloaded endpoint states a limit in each answer while the limit is in force. Another value replaces
//! it, and an answer without one ends it. Answers reach many VMs over many connections, so reports arrive out
//! of order. An answer was made between the send of its request and its arrival.
//!
//! Invariant: of two reports the later one is retained. Where their intervals overlap, the lower limit is:
//! the next answer corrects one that was retained wrongly, whereas one that was dropped wrongly overloads the
//! endpoint.
//!
//! A limit that no answer repeats expires by doubling, since all VMs would otherwise send at once to an
//! endpoint that may still need it.

use crate::admit::{MIN_REQUESTS_PER_S, RateTerms};
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::cmp::Ordering;

/// Time after which a limit that no answer repeated begins to rise, in milliseconds.
///
/// [`EXPIRY_WINDOWS`] of the limit's windows are added.
const EXPIRY_DELAY_MILLIS: u64 = 30_000;
/// Windows of a limit in which an answer would have repeated it, had the endpoint got as many requests as it
/// takes.
const EXPIRY_WINDOWS: u64 = 2;
/// Time in which an expired limit doubles, in milliseconds.
const DOUBLING_INTERVAL_MILLIS: f64 = 4_000.0;
/// Rate at which an expired limit is removed, in requests a second.
const UNLIMITED_RATE_PER_S: f64 = 1_000.0;
/// Interval between repeated reports of one endpoint to other VMs, in milliseconds.
const REPEAT_INTERVAL_MILLIS: u64 = 1_000;

/// Time for which the end of a limit is retained, in milliseconds, so that late reports do not restore the
/// limit.
const ENDED_RETENTION_MILLIS: u64 = 10_000;

/// Limit stated in one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// Requests a second from all VMs together; none if the answer states no limit.
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

/// Newest report of an endpoint's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedLimit {
    report: Option<LimitReport>,
    /// When the report may be repeated to other VMs.
    next_repeat_at: Moment,
    /// Arrival time of the answer that was last reported to them.
    repeated_received_at: Moment,
}

impl LimitReport {
    /// Whether it is certainly later than `reference`.
    fn is_after(&self, reference: &Self) -> bool {
        self.sent_at >= reference.received_at
    }

    /// Whether it allows less than `reference`.
    fn is_lower(&self, reference: &Self) -> bool {
        match (self.per_s, reference.per_s) {
            (Some(per_s), Some(bound)) => per_s.total_cmp(&bound) == Ordering::Less,
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
    /// use spanfold_decide::{LimitChange, LimitReport, ReportedLimit};
    /// use spanfold_entity::Moment;
    /// let report = |per_s, sent_at, received_at| LimitReport {
    ///     per_s,
    ///     sent_at: Moment(sent_at),
    ///     received_at: Moment(received_at),
    /// };
    /// let mut limit = ReportedLimit::default();
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

    /// Returns the limit that the endpoint stated last, in requests a second.
    pub fn per_s(&self) -> Option<f64> {
        self.report.and_then(|report| report.per_s)
    }

    /// Returns the newest report, of a limit or of its end.
    pub const fn report(&self) -> Option<&LimitReport> {
        self.report.as_ref()
    }

    /// Returns the limit in force at `now`, in requests a second; above the stated one while it expires.
    pub fn rate(&self, now: Moment) -> Option<f64> {
        let report = self.report?;
        let per_s = report.per_s?;
        let window_millis = RateTerms::of_limit(per_s).window_millis;
        let expires_at =
            report.received_at.after_millis(EXPIRY_DELAY_MILLIS + EXPIRY_WINDOWS * window_millis);
        if now < expires_at {
            return Some(per_s);
        }
        let doublings =
            now.micros_since(expires_at) as f64 / (DOUBLING_INTERVAL_MILLIS * MICROS_PER_MILLI as f64);
        let raised_per_s = per_s.max(MIN_REQUESTS_PER_S) * doublings.exp2();
        // A limit above the bound is removed as soon as it expires.
        (raised_per_s < UNLIMITED_RATE_PER_S).then_some(raised_per_s)
    }

    /// Returns the report to send to other VMs now: one that changed the limit, or a due repetition.
    pub(crate) fn take_due(&mut self, change: LimitChange, now: Moment) -> Option<LimitReport> {
        let report = self.report?;
        let is_repeated = now >= self.next_repeat_at && report.received_at > self.repeated_received_at;
        if change == LimitChange::None && !is_repeated {
            return None;
        }
        self.next_repeat_at = now.after_millis(REPEAT_INTERVAL_MILLIS);
        self.repeated_received_at = report.received_at;
        Some(report)
    }

    /// Discards an old end of a limit, or an expired limit; returns whether it was the latter.
    pub(crate) fn sweep(&mut self, now: Moment) -> bool {
        let Some(report) = self.report else { return false };
        let has_expired = report.per_s.is_some() && self.rate(now).is_none();
        let is_old = report.per_s.is_none() && now >= report.received_at.after_millis(ENDED_RETENTION_MILLIS);
        if has_expired || is_old {
            self.report = None;
        }
        has_expired
    }
}
