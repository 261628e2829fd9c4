//! Who is served of a service whose endpoints all take few requests, who is refused, and when those may return.
//!
//! Pattern: all endpoints of a service name limits, together far below its traffic, or rest. Without an order whoever asks at the
//! right moment is served, and all others wait until their time is over, or come back together.
//!
//! Each VM serves at the rate of its own parts, and all VMs by the same order: the highest rank first, within it the client
//! account that this VM served least lately, within that the first to come. A request waits only while it can still be in
//! time, and is refused as soon as those before it leave it no room. The refused may return one after the other, at all VMs
//! together at the rate at which the endpoints take requests.
//!
//! Invariant: nobody who could go now is overtaken, and a request that cannot go now, or has gone elsewhere, keeps back
//! nobody who can.

use crate::EndpointRow;
use spanfold_entity::{MICROS_PER_MILLI, MICROS_PER_SECOND, Moment};
use std::collections::{BTreeMap, VecDeque};

/// Part of the objective that a request may wait: what is left is for its answer.
const WAIT_PART: f64 = 0.5;
/// What an account was served counts for this long, in milliseconds: several of its requests, at small rates too.
const SERVED_MILLIS: u64 = 10_000;
/// A request that has not looked at the endpoints for this long, in milliseconds, does not wait any more: it has found
/// another one. Those that wait look some ten times as often.
const LOOKED_MILLIS: u64 = 250;
/// The refused are told to return after this long at most, in milliseconds: nobody knows what endpoints take then.
const BACK_MOST_MILLIS: u64 = 60_000;
/// The shortest time after which the refused may return, in milliseconds.
const BACK_LEAST_MILLIS: u64 = 100;

/// What decides when a request has its turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueOrder {
    /// Its number at this VM, in the order of arrival.
    pub number: u64,
    /// Its rank; zero is the most urgent.
    pub rank: u8,
    /// Its client account; empty if it has none.
    pub account: String,
    /// When it arrived.
    pub received: Moment,
    /// Latency objective of its route, in milliseconds.
    pub objective_millis: u64,
}

/// What the endpoints of a service take that may serve a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareCapacity {
    /// When this VM may send one of them a request; none if it has no part of any.
    pub next_at: Option<Moment>,
    /// Requests a second that this VM may send them.
    pub own_per_s: f64,
    /// Requests a second that they take from all VMs together.
    pub all_per_s: f64,
    /// All VMs.
    pub vms: usize,
    /// When the first of them returns, if all of them rest: nobody is asked back before.
    pub backoff_until: Option<Moment>,
}

impl ShareCapacity {
    /// Adds an endpoint that rests, or returns from a rest: after it, it is expected to take a request a second for each of
    /// its slots.
    pub(crate) fn add_backed_off(&mut self, row: &EndpointRow) {
        let per_s = f64::from(row.entry.slots.max(1));
        self.all_per_s += per_s;
        self.own_per_s += per_s / self.vms.max(1) as f64;
    }
}

/// What becomes of a request that no endpoint takes now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareVerdict {
    /// It waits, and looks again at this moment at the latest.
    Wait(Moment),
    /// It is refused; it may come back after so many milliseconds.
    Refuse(u64),
}

/// Requests that wait at this VM for endpoints that take few, by service.
#[derive(Debug, Default)]
pub struct ShareQueue {
    services: BTreeMap<String, ServiceQueue>,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    rows: Vec<WaitingRow>,
    /// What accounts were served lately, oldest first.
    served: VecDeque<(Moment, String)>,
    /// How often each account stands there.
    counts: BTreeMap<String, usize>,
    /// When the last one of those that were refused may return.
    returns_until: Moment,
}

/// A request that waits.
#[derive(Debug)]
struct WaitingRow {
    order: QueueOrder,
    /// When an endpoint takes it, as far as it saw.
    next_at: Moment,
    /// When it looked last.
    looked_at: Moment,
}

/// What requests are compared by: the lower goes first.
type TurnKey = (u8, usize, Moment, u64);

impl ServiceQueue {
    fn key(&self, order: &QueueOrder) -> TurnKey {
        let served = self.counts.get(&order.account).copied().unwrap_or_default();
        (order.rank, served, order.received, order.number)
    }

    /// Others that wait at `now`, go before `order`, and may go at `at`.
    fn ahead(&self, order: &QueueOrder, at: Moment, now: Moment) -> usize {
        let own = self.key(order);
        let others = self.rows.iter().filter(|row| row.order.number != order.number);
        let others =
            others.filter(|row| row.next_at <= at && now < row.looked_at.after_millis(LOOKED_MILLIS));
        others.filter(|row| self.key(&row.order) < own).count()
    }

    /// Forgets what was served too long ago.
    fn forget_served(&mut self, now: Moment) {
        while self.served.front().is_some_and(|(at, _)| now >= at.after_millis(SERVED_MILLIS)) {
            let Some((_, account)) = self.served.pop_front() else { return };
            match self.counts.get_mut(&account) {
                Some(count) if *count > 1 => *count -= 1,
                _ => drop(self.counts.remove(&account)),
            }
        }
    }

    fn leave(&mut self, number: u64) {
        self.rows.retain(|row| row.order.number != number);
    }

    /// When one more of the refused may return, in milliseconds from now.
    fn return_delay_millis(&mut self, outlook: &ShareCapacity, now: Moment) -> u64 {
        // The refused return to any VM: each tells its part of the times that there are for all.
        let per_s = outlook.all_per_s / outlook.vms.max(1) as f64;
        let pause_micros = (MICROS_PER_SECOND as f64 / per_s.max(f64::MIN_POSITIVE)) as u64;
        let from = outlook.backoff_until.unwrap_or(now).max(now);
        let most = from.after_millis(BACK_MOST_MILLIS);
        let back_at = self.returns_until.max(from).after_micros(pause_micros).min(most);
        self.returns_until = back_at;
        (back_at.micros_since(now) / MICROS_PER_MILLI).max(BACK_LEAST_MILLIS)
    }
}

impl ShareQueue {
    /// Whether a request that an endpoint takes now may go, or others that wait go before it.
    pub fn is_next_in_queue(&self, service: &str, order: &QueueOrder, now: Moment) -> bool {
        self.services.get(service).is_none_or(|queue| queue.ahead(order, now, now) == 0)
    }

    /// Decides on a request that no endpoint takes now, or that others go before.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{QueueOrder, ShareOutlook, ShareQueue, ShareVerdict};
    /// use spanfold_entity::Moment;
    /// let order = QueueOrder {
    ///     number: 1, rank: 0, account: String::new(), received: Moment(0), objective_millis: 300,
    /// };
    /// let outlook = ShareOutlook {
    ///     next_at: Some(Moment(90_000)), own_per_s: 2.0, all_per_s: 4.0, vms: 2, rest_until: None,
    /// };
    /// let mut queue = ShareQueue::default();
    /// assert_eq!(queue.admit("s", &order, &outlook, Moment(0)), ShareVerdict::Wait(Moment(90_000)));
    /// let late = ShareOutlook { next_at: Some(Moment(900_000)), ..outlook };
    /// assert_eq!(queue.admit("s", &order, &late, Moment(0)), ShareVerdict::Refuse(500));
    /// ```
    pub fn admit(
        &mut self,
        service: &str,
        order: &QueueOrder,
        outlook: &ShareCapacity,
        now: Moment,
    ) -> ShareVerdict {
        let queue = self.services.entry(service.to_owned()).or_default();
        let wait_until =
            order.received.after_micros((order.objective_millis as f64 * 1_000.0 * WAIT_PART) as u64);
        let turn_at = outlook.next_at.map(|next_at| {
            let ahead = queue.ahead(order, next_at.max(now), now);
            next_at
                .max(now)
                .after_micros((ahead as f64 / outlook.own_per_s * MICROS_PER_SECOND as f64) as u64)
        });
        queue.leave(order.number);
        match (turn_at, outlook.next_at) {
            (Some(turn_at), Some(next_at)) if turn_at <= wait_until => {
                queue.rows.push(WaitingRow { order: order.clone(), next_at, looked_at: now });
                ShareVerdict::Wait(turn_at.max(now))
            }
            _ => ShareVerdict::Refuse(queue.return_delay_millis(outlook, now)),
        }
    }

    /// When a request that is refused because all endpoints rest may return, in milliseconds from now.
    pub fn refuse(&mut self, service: &str, outlook: &ShareCapacity, now: Moment) -> u64 {
        self.services.entry(service.to_owned()).or_default().return_delay_millis(outlook, now)
    }

    /// Notes that a request goes to an endpoint that takes few.
    pub fn record_served(&mut self, service: &str, order: &QueueOrder, now: Moment) {
        let queue = self.services.entry(service.to_owned()).or_default();
        queue.leave(order.number);
        queue.forget_served(now);
        *queue.counts.entry(order.account.clone()).or_default() += 1;
        queue.served.push_back((now, order.account.clone()));
    }

    /// Notes that a request does not wait any more.
    pub fn leave(&mut self, service: &str, number: u64) {
        if let Some(queue) = self.services.get_mut(service) {
            queue.leave(number);
        }
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.services.values().map(|queue| queue.rows.len()).sum()
    }

    /// Forgets services where nobody waits and nothing was served or refused lately.
    pub fn sweep(&mut self, now: Moment) {
        self.services.retain(|_, queue| {
            queue.forget_served(now);
            !queue.rows.is_empty() || !queue.served.is_empty() || now < queue.returns_until
        });
    }
}
