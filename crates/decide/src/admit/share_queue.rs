//! Queue for services whose endpoints all accept few requests. It decides who is served, who is refused and
//! when those may return.
//!
//! All endpoints of a service may report limits that are together far below its traffic, or may be backing
//! off. Without an order, whichever request polls at the right moment is served, and all others wait until
//! their time is over, or return together.
//!
//! Each VM serves at the rate of its own shares, and all VMs use the same order: the highest priority first,
//! then the client account that this VM has served least recently, then the earliest arrival. A request waits
//! only while it can still be in time, and is refused as soon as the requests before it leave no capacity for
//! it. Refused requests return one after the other, over all VMs together at the rate at which the endpoints
//! accept requests.
//!
//! Invariant: a request that could go now is not overtaken, and a request that cannot go now, or has gone
//! elsewhere, delays no request that can.

use crate::EndpointRow;
use crate::admit::recent_service::RecentService;
use spanfold_entity::{MICROS_PER_MILLI, MICROS_PER_SECOND, Moment};
use std::collections::BTreeMap;

/// Fraction of the objective that a request may wait. The remainder is for its answer.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Time without a poll after which a request no longer counts as waiting, in milliseconds: it has found
/// another endpoint. Waiting requests poll the endpoints some ten times as often.
pub(crate) const POLL_TIMEOUT_MILLIS: u64 = 250;
/// Longest delay after which refused requests may return, in milliseconds: what endpoints accept
/// later than that is unknown.
const MAX_RETURN_DELAY_MILLIS: u64 = 60_000;
/// Shortest delay after which refused requests may return, in milliseconds.
const MIN_RETURN_DELAY_MILLIS: u64 = 100;

/// Properties of a request that decide its position in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueEntry {
    /// Number of the request at this VM, in the order of arrival.
    pub number: u64,
    /// Priority of the request; zero is the most urgent.
    pub priority: u8,
    /// Client account of the request; empty if it has none.
    pub account: String,
    /// Time at which the request arrived.
    pub received_at: Moment,
    /// Latency objective of the route, in milliseconds.
    pub objective_millis: u64,
}

/// Capacity of the endpoints that may serve a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareCapacity {
    /// Time at which this VM may send one of them a request; none if it has no share of any.
    pub next_at: Option<Moment>,
    /// Requests per second that this VM may send them.
    pub own_per_s: f64,
    /// Requests per second that they accept from all VMs together.
    pub all_per_s: f64,
    /// Number of VMs.
    pub vms: usize,
    /// Time at which the first of them ends its backoff, if all are backing off. No refused request may return
    /// before it.
    pub backoff_until: Option<Moment>,
}

impl ShareCapacity {
    /// Adds an endpoint that is backing off or returning from a backoff. Afterwards it is expected to accept
    /// one request per second for each of its slots.
    pub(crate) fn add_backed_off(&mut self, row: &EndpointRow) {
        let per_s = f64::from(row.entry.slots.max(1));
        self.all_per_s += per_s;
        self.own_per_s += per_s / self.vms.max(1) as f64;
    }
}

/// Decision on a request that no endpoint accepts now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareVerdict {
    /// The request waits, and polls again at this moment at the latest.
    Wait(Moment),
    /// The request is refused; it may return after this many milliseconds.
    Refuse(u64),
}

/// Requests waiting at this VM for endpoints that accept few, by service.
#[derive(Debug, Default)]
pub struct ShareQueue {
    services: BTreeMap<String, ServiceQueue>,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    waiting: Vec<WaitingRequest>,
    /// Requests served recently, by account.
    served: RecentService,
    /// Time at which the last of the refused requests may return.
    last_return_at: Moment,
}

/// A waiting request.
#[derive(Debug)]
struct WaitingRequest {
    entry: QueueEntry,
    /// Time at which an endpoint accepts it, by its latest poll.
    next_at: Moment,
    /// Time of its latest poll.
    polled_at: Moment,
}

/// Sort key of a request: priority, whether it will be late, recent service of its account, arrival, number.
/// The lowest key goes first.
pub(crate) type QueueKey = (u8, bool, u64, Moment, u64);

impl QueueEntry {
    /// Returns the sort key of the request, whose account received `served_units` recently.
    pub(crate) fn sort_key(&self, is_late: bool, served_units: u64) -> QueueKey {
        (self.priority, is_late, served_units, self.received_at, self.number)
    }
}

impl ServiceQueue {
    fn sort_key(&self, entry: &QueueEntry) -> QueueKey {
        // A request that will be late does not wait in this queue.
        entry.sort_key(false, self.served.units(&entry.account))
    }

    /// Counts the other requests waiting at `now` that precede `entry` and may go at `start_at`.
    fn count_ahead(&self, entry: &QueueEntry, start_at: Moment, now: Moment) -> usize {
        let own_key = self.sort_key(entry);
        let others = self.waiting.iter().filter(|row| row.entry.number != entry.number);
        let others = others
            .filter(|row| row.next_at <= start_at && now < row.polled_at.after_millis(POLL_TIMEOUT_MILLIS));
        others.filter(|row| self.sort_key(&row.entry) < own_key).count()
    }

    fn remove(&mut self, number: u64) {
        self.waiting.retain(|row| row.entry.number != number);
    }

    /// Returns the delay after which one more refused request may return, in milliseconds.
    fn return_delay_millis(&mut self, capacity: &ShareCapacity, now: Moment) -> u64 {
        // Refused requests may return to any VM, so each VM hands out its share of the return times.
        let per_s = capacity.all_per_s / capacity.vms.max(1) as f64;
        let interval_micros = (MICROS_PER_SECOND as f64 / per_s.max(f64::MIN_POSITIVE)) as u64;
        let earliest_at = capacity.backoff_until.unwrap_or(now).max(now);
        let max_return_at = earliest_at.after_millis(MAX_RETURN_DELAY_MILLIS);
        let return_at = self.last_return_at.max(earliest_at).after_micros(interval_micros).min(max_return_at);
        self.last_return_at = return_at;
        (return_at.micros_since(now) / MICROS_PER_MILLI).max(MIN_RETURN_DELAY_MILLIS)
    }
}

impl ShareQueue {
    /// Whether no waiting request precedes this one, which an endpoint accepts now.
    pub fn is_next_in_queue(&self, service: &str, entry: &QueueEntry, now: Moment) -> bool {
        self.services.get(service).is_none_or(|queue| queue.count_ahead(entry, now, now) == 0)
    }

    /// Decides on a request that no endpoint accepts now, or that other requests precede.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{QueueEntry, ShareCapacity, ShareQueue, ShareVerdict};
    /// use spanfold_entity::Moment;
    /// let entry = QueueEntry {
    ///     number: 1, priority: 0, account: String::new(), received_at: Moment(0), objective_millis: 300,
    /// };
    /// let capacity = ShareCapacity {
    ///     next_at: Some(Moment(90_000)), own_per_s: 2.0, all_per_s: 4.0, vms: 2, backoff_until: None,
    /// };
    /// let mut queue = ShareQueue::default();
    /// assert_eq!(queue.admit("s", &entry, &capacity, Moment(0)), ShareVerdict::Wait(Moment(90_000)));
    /// let late = ShareCapacity { next_at: Some(Moment(900_000)), ..capacity };
    /// assert_eq!(queue.admit("s", &entry, &late, Moment(0)), ShareVerdict::Refuse(500));
    /// ```
    pub fn admit(
        &mut self,
        service: &str,
        entry: &QueueEntry,
        capacity: &ShareCapacity,
        now: Moment,
    ) -> ShareVerdict {
        let queue = self.services.entry(service.to_owned()).or_default();
        let wait_deadline = entry
            .received_at
            .after_micros((entry.objective_millis as f64 * 1_000.0 * MAX_WAIT_FRACTION) as u64);
        let expected_at = capacity.next_at.map(|next_at| {
            let requests_ahead = queue.count_ahead(entry, next_at.max(now), now);
            next_at
                .max(now)
                .after_micros((requests_ahead as f64 / capacity.own_per_s * MICROS_PER_SECOND as f64) as u64)
        });
        queue.remove(entry.number);
        match (expected_at, capacity.next_at) {
            (Some(expected_at), Some(next_at)) if expected_at <= wait_deadline => {
                queue.waiting.push(WaitingRequest { entry: entry.clone(), next_at, polled_at: now });
                ShareVerdict::Wait(expected_at.max(now))
            }
            _ => ShareVerdict::Refuse(queue.return_delay_millis(capacity, now)),
        }
    }

    /// Returns the return delay of a refused request, in milliseconds, while all endpoints are backing off.
    pub fn refuse(&mut self, service: &str, capacity: &ShareCapacity, now: Moment) -> u64 {
        self.services.entry(service.to_owned()).or_default().return_delay_millis(capacity, now)
    }

    /// Records that a request goes to an endpoint that accepts few.
    pub fn record_served(&mut self, service: &str, entry: &QueueEntry, now: Moment) {
        let queue = self.services.entry(service.to_owned()).or_default();
        queue.remove(entry.number);
        queue.served.record(&entry.account, 1, now);
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, service: &str, number: u64) {
        if let Some(queue) = self.services.get_mut(service) {
            queue.remove(number);
        }
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.services.values().map(|queue| queue.waiting.len()).sum()
    }

    /// Discards services without waiting requests, recently served requests or pending returns.
    pub fn sweep(&mut self, now: Moment) {
        self.services.retain(|_, queue| {
            queue.served.discard_expired(now);
            !queue.waiting.is_empty() || !queue.served.is_empty() || now < queue.last_return_at
        });
    }
}
