//! This VM's share of the deployment's retry budget.
//!
//! Invariant: within any window, the retries of all VMs together stay below `ratio` of the requests plus the
//! slack. VMs do not coordinate: each spends `ratio` of its own requests and an equal share of the slack, and
//! both keep a reserve for VMs that this one has not recorded.

use spanfold_entity::Moment;
use std::collections::{HashMap, VecDeque};

/// Fraction of the allowance that is used; the remainder covers windows that begin at other moments.
const USABLE_FRACTION: f64 = 0.8;

/// Retry budget that the operator allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetTerms {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries of all VMs in a window beyond the ratio.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_millis: u64,
}

/// Counts the requests and retries of each service in a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    terms: BudgetTerms,
    windows: HashMap<String, ServiceWindow>,
}

#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl RetryBudget {
    /// Creates an unspent budget.
    pub fn new(terms: BudgetTerms) -> Self {
        Self { terms, windows: HashMap::new() }
    }

    /// Counts a request for `service`.
    pub fn count_request(&mut self, service: &str, now: Moment) {
        let window = self.window(service, now);
        window.requests.push_back(now);
    }

    /// Spends one retry for `service`, if this VM's share among `vms` VMs has one left.
    ///
    /// # Examples
    /// ```
    /// use spanfold_entity::Moment;
    /// use spanfold_decide::{BudgetTerms, RetryBudget};
    /// let mut budget = RetryBudget::new(BudgetTerms { ratio: 0.2, slack: 5.0, window_millis: 10_000 });
    /// assert!(budget.try_spend("s", 2, Moment(0)));
    /// assert!(budget.try_spend("s", 2, Moment(0)));
    /// assert!(!budget.try_spend("s", 2, Moment(0)));
    /// ```
    pub fn try_spend(&mut self, service: &str, vms: usize, now: Moment) -> bool {
        let terms = self.terms;
        let window = self.window(service, now);
        let own_allowance = terms.ratio * window.requests.len() as f64;
        let allowed = USABLE_FRACTION * (own_allowance + terms.slack / vms.max(1) as f64);
        let is_allowed = (window.retries.len() + 1) as f64 <= allowed;
        if is_allowed {
            window.retries.push_back(now);
        }
        is_allowed
    }

    /// Returns the retry for `service` that was spent last, because nothing was sent.
    ///
    /// # Examples
    /// ```
    /// use spanfold_entity::Moment;
    /// use spanfold_decide::{BudgetTerms, RetryBudget};
    /// let mut budget = RetryBudget::new(BudgetTerms { ratio: 0.0, slack: 1.5, window_millis: 10_000 });
    /// assert!(budget.try_spend("s", 1, Moment(0)) && !budget.try_spend("s", 1, Moment(0)));
    /// budget.restore("s");
    /// assert!(budget.try_spend("s", 1, Moment(0)));
    /// ```
    pub fn restore(&mut self, service: &str) {
        if let Some(window) = self.windows.get_mut(service) {
            window.retries.pop_back();
        }
    }

    fn window(&mut self, service: &str, now: Moment) -> &mut ServiceWindow {
        let window_millis = self.terms.window_millis;
        let window = self.windows.entry(service.to_owned()).or_default();
        for times in [&mut window.requests, &mut window.retries] {
            while times.front().is_some_and(|oldest| oldest.after_millis(window_millis) <= now) {
                times.pop_front();
            }
        }
        window
    }
}
