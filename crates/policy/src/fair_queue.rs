//! Start-time fair queueing over client accounts.
//!
//! Invariant: among accounts that always have waiting items, work is taken in proportion to their
//! weights. An account that was idle gains no credit from the idle time, and keeps the charge of its
//! last work until virtual time has passed it. Deficit round robin does not fit because a request's
//! cost is known only when it is placed; token buckets do not fit because unused share must be lent.
//! The queue is work-conserving, and lent share is returned at the next choice.

use spanfold_entity::Moment;
use spanfold_kernel::AccountIndex;
use std::collections::{BTreeMap, HashMap};

/// Order within one account: higher priority first, then the earlier deadline, then arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey(std::cmp::Reverse<i8>, Moment, u64);

#[derive(Clone, Debug)]
struct AccountQueue<T> {
    weight: f64,
    finish_time: f64,
    items: BTreeMap<QueueKey, T>,
}

/// Waiting items of all accounts.
///
/// Accounts with nothing waiting are stored separately: with 24,000 accounts, iterating over them on
/// each choice would cost a hundred times the choice itself.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    queues: BTreeMap<AccountIndex, AccountQueue<T>>,
    /// Virtual finish time of each idle account's last work.
    idle: HashMap<AccountIndex, f64>,
    /// Number of idle accounts at which those whose finish time has passed are discarded.
    prune_threshold: usize,
    virtual_time: f64,
    arrivals: u64,
}

/// Lower bound of the prune threshold: fewer idle accounts are not worth a pass.
const MIN_PRUNE_THRESHOLD: usize = 64;

/// Smallest weight: with a lower one, a single item would block its account permanently.
const MIN_WEIGHT: f64 = 1e-6;

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            queues: BTreeMap::new(),
            idle: HashMap::new(),
            prune_threshold: MIN_PRUNE_THRESHOLD,
            virtual_time: 0.0,
            arrivals: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Adds an item of `account`, whose share of the whole is `weight`.
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
    /// assert_eq!(queue.fair_order()[0], small);
    /// ```
    pub fn push(&mut self, account: AccountIndex, weight: f64, priority: i8, deadline: Moment, item: T) {
        self.arrivals += 1;
        let key = QueueKey(std::cmp::Reverse(priority), deadline, self.arrivals);
        let idle = &mut self.idle;
        let queue = self.queues.entry(account).or_insert_with(|| AccountQueue {
            weight,
            finish_time: idle.remove(&account).unwrap_or(0.0),
            items: BTreeMap::new(),
        });
        queue.weight = weight.max(MIN_WEIGHT);
        queue.items.insert(key, item);
    }

    /// Returns the accounts with waiting items, the next one to be served first.
    pub fn fair_order(&self) -> Vec<AccountIndex> {
        let mut finish_times: Vec<_> = self
            .queues
            .iter()
            .map(|(account, queue)| (queue.finish_time.max(self.virtual_time), *account))
            .collect();
        finish_times.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
        finish_times.into_iter().map(|(_, account)| account).collect()
    }

    /// Returns the items of `account`, in that account's order.
    pub fn items(&self, account: AccountIndex) -> impl Iterator<Item = &T> {
        self.queues.get(&account).into_iter().flat_map(|queue| queue.items.values())
    }

    /// Returns all items.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.queues.values().flat_map(|queue| queue.items.values())
    }

    /// Takes the item at `position` in the queue of `account` and charges its `cost`.
    pub fn take(&mut self, account: AccountIndex, position: usize, cost: f64) -> Option<T> {
        let queue = self.queues.get_mut(&account)?;
        let key = *queue.items.keys().nth(position)?;
        let item = queue.items.remove(&key);
        let start = queue.finish_time.max(self.virtual_time);
        queue.finish_time = start + cost / queue.weight;
        self.virtual_time = start;
        self.prune_idle();
        item
    }

    /// Removes all items for which `is_obsolete` holds, without a charge, and returns them.
    pub fn remove_if(&mut self, is_obsolete: impl Fn(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for queue in self.queues.values_mut() {
            let keys: Vec<_> =
                queue.items.iter().filter(|(_, item)| is_obsolete(item)).map(|(key, _)| *key).collect();
            removed.extend(keys.iter().filter_map(|key| queue.items.remove(key)));
        }
        self.prune_idle();
        removed
    }

    /// Returns the sum of the weights of `account` and of all others with waiting items.
    pub fn active_weight(&self, account: AccountIndex, weight: f64) -> f64 {
        let others = self.queues.iter().filter(|(other, _)| **other != account);
        others.map(|(_, queue)| queue.weight).sum::<f64>() + weight
    }

    /// Returns the number of waiting items.
    pub fn len(&self) -> usize {
        self.queues.values().map(|queue| queue.items.len()).sum()
    }

    /// Whether no item is waiting.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }

    /// Moves accounts with nothing waiting to `idle`, and discards those whose finish time has passed.
    fn prune_idle(&mut self) {
        let idle = &mut self.idle;
        self.queues.retain(|account, queue| {
            if queue.items.is_empty() {
                idle.insert(*account, queue.finish_time);
            }
            !queue.items.is_empty()
        });
        // A pass only when the number has doubled keeps the cost per idle account constant.
        if idle.len() >= self.prune_threshold {
            let now = self.virtual_time;
            idle.retain(|_, finish_time| *finish_time > now);
            self.prune_threshold = (idle.len() * 2).max(MIN_PRUNE_THRESHOLD);
        }
    }
}
