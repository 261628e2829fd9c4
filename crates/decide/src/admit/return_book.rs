//! Requests that were refused a moment ago and may return.
//!
//! Invariant: a request that was told to come back is not refused again because an answer would be
//! late: a late answer serves its caller better than a second refusal. But it goes behind requests that
//! can still be in time, or one burst would make all that follow late, too. It comes back under
//! another id and mostly to another VM; the last part of its prompt tells it, and peers are told.

use spanfold_entity::Moment;
use std::collections::HashMap;

/// A refused request is expected back within this time, in milliseconds: callers wait for a third of
/// their deadline at most.
const RETURN_MILLIS: u64 = 5_000;
/// An answer expected later than this part of the objective counts as late.
const IN_TIME_PART: f64 = 0.9;
/// Shortest time after which a refused caller may come back, in milliseconds.
const BACK_LEAST_MILLIS: u64 = 150;
/// Refusals told in one digest; those beyond it are not told.
const NEWS_MOST: usize = 32;

/// What decides whether a request is refused early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTicketView {
    /// Identity of the prompt's last part, which is the request's own.
    pub last_part: u64,
    /// Latency objective of its route, in milliseconds.
    pub objective_millis: u64,
    /// What its caller will still wait, in milliseconds.
    pub left_millis: u64,
}

/// Refused requests by the last part of their prompt.
#[derive(Debug, Default)]
pub struct ReturnBook {
    refused: HashMap<u64, Moment>,
    news: Vec<u64>,
}

/// What to do with a request, by when its answer is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateVerdict {
    /// It will be in time: serve it.
    InTime,
    /// Refuse it now; its caller may come back after so many milliseconds.
    Back(u64),
    /// It will be late and has been refused before, or has no time to come back: serve it behind
    /// what can still be in time.
    Behind,
}

impl ReturnBook {
    /// Decides whether a request is better refused now than answered late.
    ///
    /// # Examples
    /// ```
    /// use spanfold_entity::Moment;
    /// use spanfold_decide::{LateVerdict, RequestTicketView, ReturnBook};
    /// let view = RequestTicketView { last_part: 7, objective_millis: 500, left_millis: 4_000 };
    /// let mut book = ReturnBook::default();
    /// assert_eq!(book.judge(&view, 100_000, Moment(0)), LateVerdict::InTime);
    /// assert_eq!(book.judge(&view, 900_000, Moment(0)), LateVerdict::Back(400));
    /// // It has returned: better late than never.
    /// assert_eq!(book.judge(&view, 900_000, Moment(600_000)), LateVerdict::Behind);
    /// ```
    pub fn judge(&mut self, view: &RequestTicketView, expected_micros: u64, now: Moment) -> LateVerdict {
        let objective_micros = view.objective_millis as f64 * 1_000.0;
        if expected_micros as f64 <= objective_micros * IN_TIME_PART {
            return LateVerdict::InTime;
        }
        let returned = self.refused.get(&view.last_part).is_some_and(|until| now < *until);
        let late_millis = (expected_micros / 1_000).saturating_sub(view.objective_millis);
        // Callers come back within a third of what they have left; a later time is never used.
        let latest = view.left_millis / 4;
        if returned || latest < BACK_LEAST_MILLIS {
            return LateVerdict::Behind;
        }
        self.refused.insert(view.last_part, now.after_millis(RETURN_MILLIS));
        if self.news.len() < NEWS_MOST {
            self.news.push(view.last_part);
        }
        LateVerdict::Back(late_millis.clamp(BACK_LEAST_MILLIS, latest))
    }

    /// Notes what peers refused.
    pub fn hear(&mut self, refused: &[u64], now: Moment) {
        for part in refused {
            self.refused.insert(*part, now.after_millis(RETURN_MILLIS));
        }
    }

    /// Refusals that peers have not been told yet.
    pub fn take_news(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.news)
    }

    /// Forgets those whose time is over.
    pub fn sweep(&mut self, now: Moment) {
        self.refused.retain(|_, until| now < *until);
    }
}
