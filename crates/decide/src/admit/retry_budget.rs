//! This VM's part of the deployment's budget of second sends.
//!
//! Invariant: within any window, the second sends of all VMs together stay below `ratio` of the
//! requests plus the slack. No VM asks another: each spends `ratio` of its own requests and an
//! equal part of the slack, and both keep a reserve for VMs that this one does not know of.

use spanfold_entity::Moment;
use std::collections::{HashMap, VecDeque};

/// Part of the allowance that is used; the rest covers windows that begin at other moments.
const USABLE_FRACTION: f64 = 0.8;

/// What the operator allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetTerms {
    /// Second sends for each request.
    pub ratio: f64,
    /// Second sends of all VMs in a window beyond the ratio.
    pub slack: f64,
    /// The window, in milliseconds.
    pub window_millis: u64,
}

/// Counts requests and second sends of each service in a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    terms: BudgetTerms,
    services: HashMap<String, ServiceWindow>,
}

#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

impl RetryBudget {
    /// An unspent budget.
    pub fn new(terms: BudgetTerms) -> Self {
        Self { terms, services: HashMap::new() }
    }

    /// Counts a request for `service`.
    pub fn count_request(&mut self, service: &str, now: Moment) {
        let window = self.window(service, now);
        window.requests.push_back(now);
    }

    /// Spends one second send for `service`, if the budget holds one, among `vms` VMs.
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
        let own = terms.ratio * window.requests.len() as f64;
        let allowed = USABLE_FRACTION * (own + terms.slack / vms.max(1) as f64);
        let spends = (window.repeats.len() + 1) as f64 <= allowed;
        if spends {
            window.repeats.push_back(now);
        }
        spends
    }

    fn window(&mut self, service: &str, now: Moment) -> &mut ServiceWindow {
        let length = self.terms.window_millis;
        let window = self.services.entry(service.to_owned()).or_default();
        for times in [&mut window.requests, &mut window.repeats] {
            while times.front().is_some_and(|first| first.after_millis(length) <= now) {
                times.pop_front();
            }
        }
        window
    }
}
