//! Start-time fair queueing over client accounts.
//!
//! Invariant: among accounts that always wait, work is taken in proportion to their weights, and
//! an account that was idle neither saves up nor owes. Chosen over deficit round robin because a
//! request's cost is known only when it is placed, and over token buckets because idle share
//! must be lent: the queue is work-conserving, and lent share is back at the next choice.

use spanfold_entity::Moment;
use spanfold_kernel::AccountIndex;
use std::collections::{BTreeMap, HashMap};

/// The order within one account: higher priority first, then the earlier deadline, then arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingOrder(std::cmp::Reverse<i8>, Moment, u64);

#[derive(Clone, Debug)]
struct AccountLine<T> {
    weight: f64,
    finish: f64,
    items: BTreeMap<WaitingOrder, T>,
}

/// Waiting items of all accounts.
///
/// Accounts with nothing waiting are kept apart: with 24,000 accounts, walking them on each choice
/// would cost a hundred times the choice itself.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    lines: BTreeMap<AccountIndex, AccountLine<T>>,
    /// When the last work of each idle account ends, in virtual time.
    idle: HashMap<AccountIndex, f64>,
    /// The number of idle accounts at which those that owe nothing are forgotten.
    forget_at: usize,
    virtual_time: f64,
    arrivals: u64,
}

/// Fewer idle accounts than this are not worth looking through.
const FORGET_LEAST: usize = 64;

/// A weight below this would let one item block its account for good.
const LEAST_WEIGHT: f64 = 1e-6;

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            lines: BTreeMap::new(),
            idle: HashMap::new(),
            forget_at: FORGET_LEAST,
            virtual_time: 0.0,
            arrivals: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Adds an item of `account`, whose part of the whole is `weight`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_entity::Moment;
    /// use spanfold_kernel::AccountIndex;
    /// use spanfold_policy::FairQueue;
    /// let (large, small) = (AccountIndex(0), AccountIndex(1));
    /// let mut queue = FairQueue::default();
    /// for item in 0..3 {
    ///     queue.push(large, 0.5, 0, Moment(item), item);
    /// }
    /// queue.push(small, 0.5, 0, Moment(9), 9);
    /// assert_eq!(queue.take(large, 0, 100.0), Some(0));
    /// assert_eq!(queue.order()[0], small);
    /// ```
    pub fn push(&mut self, account: AccountIndex, weight: f64, priority: i8, deadline: Moment, item: T) {
        self.arrivals += 1;
        let order = WaitingOrder(std::cmp::Reverse(priority), deadline, self.arrivals);
        let idle = &mut self.idle;
        let line = self.lines.entry(account).or_insert_with(|| AccountLine {
            weight,
            finish: idle.remove(&account).unwrap_or(0.0),
            items: BTreeMap::new(),
        });
        line.weight = weight.max(LEAST_WEIGHT);
        line.items.insert(order, item);
    }

    /// Accounts with waiting items, the one that is due first in front.
    pub fn order(&self) -> Vec<AccountIndex> {
        let mut order: Vec<_> =
            self.lines.iter().map(|(account, line)| (line.finish.max(self.virtual_time), *account)).collect();
        order.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
        order.into_iter().map(|(_, account)| account).collect()
    }

    /// The items of `account`, in its own order.
    pub fn items(&self, account: AccountIndex) -> impl Iterator<Item = &T> {
        self.lines.get(&account).into_iter().flat_map(|line| line.items.values())
    }

    /// All items.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.lines.values().flat_map(|line| line.items.values())
    }

    /// Takes the item at `place` in the line of `account` and charges its `cost`.
    pub fn take(&mut self, account: AccountIndex, place: usize, cost: f64) -> Option<T> {
        let line = self.lines.get_mut(&account)?;
        let order = *line.items.keys().nth(place)?;
        let item = line.items.remove(&order);
        let start = line.finish.max(self.virtual_time);
        line.finish = start + cost / line.weight;
        self.virtual_time = start;
        self.forget_idle();
        item
    }

    /// Takes out all items that `gone` says are no longer wanted, uncharged.
    pub fn remove_if(&mut self, gone: impl Fn(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for line in self.lines.values_mut() {
            let orders: Vec<_> = line.items.iter().filter(|(_, item)| gone(item)).map(|(o, _)| *o).collect();
            removed.extend(orders.iter().filter_map(|order| line.items.remove(order)));
        }
        self.forget_idle();
        removed
    }

    /// Sum of the weights of accounts with waiting items, with `account` counted in.
    pub fn active_weight(&self, account: AccountIndex, weight: f64) -> f64 {
        let others = self.lines.iter().filter(|(other, _)| **other != account);
        others.map(|(_, line)| line.weight).sum::<f64>() + weight
    }

    /// The number of waiting items.
    pub fn len(&self) -> usize {
        self.lines.values().map(|line| line.items.len()).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Sets accounts with nothing waiting apart, and forgets those that owe nothing.
    fn forget_idle(&mut self) {
        let idle = &mut self.idle;
        self.lines.retain(|account, line| {
            if line.items.is_empty() {
                idle.insert(*account, line.finish);
            }
            !line.items.is_empty()
        });
        // Looked through only when they have doubled: a constant cost for each that came.
        if idle.len() >= self.forget_at {
            let now = self.virtual_time;
            idle.retain(|_, finish| *finish > now);
            self.forget_at = (idle.len() * 2).max(FORGET_LEAST);
        }
    }
}
