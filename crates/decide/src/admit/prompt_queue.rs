//! Order of the prompts that wait at a VM for engine memory, and retry times of those that are refused.
//!
//! When demand exceeds capacity, a waiting prompt that polls at the right moment would get the memory that
//! others have waited for longer or need more urgently. All refused callers would return within the same half
//! second, however many there are.
//!
//! Each VM orders its own prompts: the highest priority first, then those that can still be in time, then the
//! client account that has received the fewest tokens recently, then the earliest arrival. A prompt leaves
//! free memory to those before it that fit there as well. Refused callers return one after the other at the
//! rate at which waiting prompts have obtained capacity.
//!
//! Invariant: a prompt is held back only where it would take memory from a waiting prompt that precedes it
//! and that this memory would admit. A waiting prompt that no longer polls holds back none.

use crate::admit::admission::RETURN_DELAY_MILLIS;
use crate::admit::recent_service::RecentService;
use crate::admit::share_queue::{POLL_TIMEOUT_MILLIS, QueueKey};
use crate::{AdmissionView, PlacementChoice, QueueEntry};
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::collections::{BTreeMap, VecDeque};

/// Accounts whose service is counted separately.
const MAX_ACCOUNTS: usize = 1_024;
/// Waiting prompts of a service that are recorded. Those beyond it count as prompts of one account and hold
/// back no others, so that the time of a decision is bounded.
const MAX_WAITING_PROMPTS: usize = 4_096;
/// Addition to the poll timeout for each waiting prompt, in milliseconds: twice what it adds to the interval
/// between two polls of the others.
const POLL_TIMEOUT_PER_PROMPT_MILLIS: u64 = 8;
/// Window over which the rate of claims is measured, in milliseconds.
const CLAIM_WINDOW_MILLIS: u64 = 2_000;
/// Callers retry if the retry time is at most their remaining time divided by this.
const REMAINING_TIME_DIVISOR: u64 = 3;
/// Reduction of the longest retry time, in milliseconds. Callers compare it with the time that remains when
/// the refusal arrives, which may be three times as much later.
const TRANSIT_MARGIN_MILLIS: u64 = 10;

/// A prompt with the endpoint chosen for it at a poll.
#[derive(Clone, Copy, Debug)]
pub struct PromptPlacement<'a> {
    /// Decides its position in the queue.
    pub entry: &'a QueueEntry,
    /// Inputs of its admission.
    pub view: AdmissionView,
    /// The best endpoint, with estimates.
    pub choice: &'a PlacementChoice,
    /// Digest of the regions in which it may be served; zero if anywhere.
    pub regions: u64,
}

impl PromptPlacement<'_> {
    /// Returns the time to the first event at an engine without a queue, in microseconds.
    const fn own_micros(&self) -> u64 {
        self.choice.expected_micros.saturating_sub(self.choice.queue_micros)
    }

    /// Returns the number of such prompts that the engine's free memory admits; at least one.
    fn places(&self, now: Moment) -> u64 {
        (free_tokens(self.choice, &self.view, now) / self.choice.load.memory_tokens.max(1)).max(1)
    }
}

/// Prompts waiting at this VM for engine memory, by service.
#[derive(Debug, Default)]
pub struct PromptQueue {
    services: BTreeMap<String, ServicePrompts>,
}

#[derive(Debug)]
struct ServicePrompts {
    /// Waiting prompts by their numbers.
    waiting: BTreeMap<u64, WaitingPrompt>,
    /// Tokens of prompts sent recently, by account.
    served: RecentService,
    /// Time until which each claim of a waiting prompt counts towards the rate, oldest first.
    claims: VecDeque<Moment>,
    /// Time at which the last of the refused callers may return.
    last_return_at: Moment,
}

/// A waiting prompt.
#[derive(Debug)]
struct WaitingPrompt {
    entry: QueueEntry,
    view: AdmissionView,
    /// Tokens that it needs in an engine's memory.
    needed_tokens: u64,
    /// Lowest expected time to its first event at an engine without a queue, in microseconds.
    own_micros: u64,
    /// Digest of the regions in which it may be served; zero if anywhere.
    regions: u64,
    /// Time until which it counts as waiting unless it polls again.
    poll_deadline: Moment,
}

impl WaitingPrompt {
    /// Whether the endpoint chosen for another prompt would admit this one.
    ///
    /// A prompt that is restricted to other regions may not go there.
    fn fits(&self, placement: &PromptPlacement<'_>, now: Moment) -> bool {
        let choice = placement.choice;
        (self.regions == 0 || self.regions == placement.regions)
            && self.needed_tokens <= free_tokens(choice, &self.view, now)
            && self.view.accepts_delay(
                choice.queue_micros.saturating_add(self.own_micros),
                choice.queue_micros,
                now,
            )
    }
}

/// Returns the tokens of an engine's memory that a prompt may fill now.
fn free_tokens(choice: &PlacementChoice, view: &AdmissionView, now: Moment) -> u64 {
    ((choice.fillable_tokens as f64 * view.memory_fraction(now)) as u64).saturating_sub(choice.used_tokens)
}

/// Returns the probability with which a VM's first waiting prompt claims free capacity at a poll.
///
/// The VM takes its share of the `places` that are free for such prompts. `own_waiting` prompts wait at this
/// VM and `other_waiting` at all others.
///
/// # Examples
/// ```
/// use spanfold_decide::claim_share;
/// assert_eq!(claim_share(10, 30, 1), 0.25);
/// assert_eq!(claim_share(10, 30, 8), 1.0);
/// ```
pub fn claim_share(own_waiting: u64, other_waiting: u64, places: u64) -> f64 {
    let own_waiting = own_waiting.max(1) as f64;
    (places.max(1) as f64 * own_waiting / (own_waiting + other_waiting as f64)).min(1.0)
}

impl Default for ServicePrompts {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            served: RecentService::with_max_accounts(MAX_ACCOUNTS),
            claims: VecDeque::new(),
            last_return_at: Moment(0),
        }
    }
}

impl ServicePrompts {
    /// Returns the sort key of a prompt. The lowest key goes first.
    fn sort_key(&self, entry: &QueueEntry, view: &AdmissionView, own_micros: u64, now: Moment) -> QueueKey {
        let is_late = now.after_micros(own_micros) > view.in_time_deadline();
        let is_recorded =
            self.waiting.len() < MAX_WAITING_PROMPTS || self.waiting.contains_key(&entry.number);
        let served_tokens =
            if is_recorded { self.served.units(&entry.account) } else { self.served.shared_units() };
        entry.sort_key(is_late, served_tokens)
    }

    /// Returns the number of the first prompt that would be delayed if `placement` were carried out.
    fn find_delayed(&self, placement: &PromptPlacement<'_>, now: Moment) -> Option<u64> {
        let PromptPlacement { entry, view, choice, .. } = placement;
        let own_micros = self
            .waiting
            .get(&entry.number)
            .map_or(placement.own_micros(), |row| row.own_micros.min(placement.own_micros()));
        let own_key = self.sort_key(entry, view, own_micros, now);
        let others = self.waiting.values().filter(|row| {
            row.entry.number != entry.number
                && row.entry.priority <= entry.priority
                && now < row.poll_deadline
                && row.fits(placement, now)
        });
        let others = others.map(|row| (self.sort_key(&row.entry, &row.view, row.own_micros, now), row));
        let (mut first, mut needed_tokens) = (None, choice.load.memory_tokens);
        for (key, row) in others.filter(|(key, _)| *key < own_key) {
            needed_tokens = needed_tokens.saturating_add(row.needed_tokens);
            first = Some(first.map_or(key, |lowest: QueueKey| lowest.min(key)));
        }
        // All that precede it and the prompt itself fit: it delays none of them.
        let is_scarce = needed_tokens > free_tokens(choice, view, now);
        first.filter(|_| is_scarce).map(|(.., number)| number)
    }

    fn discard_expired(&mut self, now: Moment) {
        self.served.discard_expired(now);
        while self.claims.front().is_some_and(|counts_until| now >= *counts_until) {
            self.claims.pop_front();
        }
    }
}

impl PromptQueue {
    /// Returns the number of the first waiting prompt that would be delayed if a prompt took the capacity
    /// chosen for it.
    ///
    /// None if the prompt may go: no prompt that precedes it fits there, or all of them fit beside it.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{AdmissionView, LoadCount, PlacementChoice, PromptPlacement, PromptQueue, QueueEntry};
    /// use spanfold_entity::Moment;
    /// let view = AdmissionView {
    ///     received_at: Moment(0), answer_deadline: Moment(3_000_000), objective_millis: 500,
    ///     silence_timeout_millis: 2_000, priority: 0,
    /// };
    /// let entry = |number| QueueEntry {
    ///     number, priority: 0, account: String::new(), received_at: Moment(0), objective_millis: 500,
    /// };
    /// let load = LoadCount { running: 1, pending_prefill_tokens: 900, memory_tokens: 900 };
    /// let choice = PlacementChoice { load, fillable_tokens: 1_000, ..PlacementChoice::default() };
    /// let (first, second) = (entry(1), entry(2));
    /// let first = PromptPlacement { entry: &first, view, choice: &choice, regions: 0 };
    /// let second = PromptPlacement { entry: &second, ..first };
    /// let mut queue = PromptQueue::default();
    /// queue.wait("llm", &first, Moment(0));
    /// assert_eq!(queue.find_delayed("llm", &first, Moment(0)), None);
    /// assert_eq!(queue.find_delayed("llm", &second, Moment(0)), Some(1));
    /// ```
    pub fn find_delayed(&self, service: &str, placement: &PromptPlacement<'_>, now: Moment) -> Option<u64> {
        self.services.get(service)?.find_delayed(placement, now)
    }

    /// Returns the probability with which a prompt that no other one precedes claims its capacity.
    ///
    /// VMs do not report their waiting prompts to one another, so as many are assumed at each of the `vms`
    /// VMs.
    pub fn claim_probability(
        &self,
        service: &str,
        placement: &PromptPlacement<'_>,
        vms: usize,
        now: Moment,
    ) -> f64 {
        let waiting = self.services.get(service).map_or(1, |queue| queue.waiting.len().max(1)) as u64;
        let other_waiting = waiting.saturating_mul(vms.saturating_sub(1) as u64);
        claim_share(waiting, other_waiting, placement.places(now))
    }

    /// Records that a prompt waits, or still waits, after a poll.
    pub fn wait(&mut self, service: &str, placement: &PromptPlacement<'_>, now: Moment) {
        let total = self.waiting() as u64;
        let queue = self.services.entry(service.to_owned()).or_default();
        let own_micros = placement.own_micros();
        let poll_deadline = now.after_millis(POLL_TIMEOUT_MILLIS + total * POLL_TIMEOUT_PER_PROMPT_MILLIS);
        let needed_tokens = placement.choice.load.memory_tokens;
        if let Some(row) = queue.waiting.get_mut(&placement.entry.number) {
            row.own_micros = row.own_micros.min(own_micros);
            row.needed_tokens = needed_tokens;
            row.poll_deadline = poll_deadline;
        } else if queue.waiting.len() < MAX_WAITING_PROMPTS {
            let PromptPlacement { entry, view, regions, .. } = *placement;
            let row = WaitingPrompt {
                entry: entry.clone(),
                view,
                needed_tokens,
                own_micros,
                regions,
                poll_deadline,
            };
            queue.waiting.insert(entry.number, row);
        }
    }

    /// Records that a prompt of `tokens` tokens goes to an engine.
    pub fn record_served(&mut self, service: &str, entry: &QueueEntry, tokens: u64, now: Moment) {
        let queue = self.services.entry(service.to_owned()).or_default();
        queue.discard_expired(now);
        if queue.waiting.remove(&entry.number).is_some() {
            queue.claims.push_back(now.after_millis(CLAIM_WINDOW_MILLIS));
        }
        queue.served.record(&entry.account, tokens, now);
    }

    /// Returns the retry time of a refused caller, in milliseconds.
    ///
    /// The caller's answer is due at `answer_deadline`. `draw` is a random number in `0.0..1.0`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::PromptQueue;
    /// use spanfold_entity::Moment;
    /// let mut queue = PromptQueue::default();
    /// let deadline = Moment(0).after_millis(15_000);
    /// assert_eq!(queue.retry_millis("llm", deadline, 0.0, Moment(0)), 2_000);
    /// // The next return time is later than this caller would wait.
    /// assert!(queue.retry_millis("llm", Moment(0).after_millis(6_000), 0.0, Moment(0)) < 2_000);
    /// ```
    pub fn retry_millis(&mut self, service: &str, answer_deadline: Moment, draw: f64, now: Moment) -> u64 {
        let queue = self.services.entry(service.to_owned()).or_default();
        queue.discard_expired(now);
        // At least one claim per window is assumed: a rate of zero would leave no return time.
        let interval_micros = CLAIM_WINDOW_MILLIS * MICROS_PER_MILLI / queue.claims.len().max(1) as u64;
        let jitter_micros = (interval_micros as f64 * draw.clamp(0.0, 1.0)) as u64;
        let longest_micros = (answer_deadline.micros_since(now) / REMAINING_TIME_DIVISOR)
            .saturating_sub(TRANSIT_MARGIN_MILLIS * MICROS_PER_MILLI);
        let shortest_micros = RETURN_DELAY_MILLIS * MICROS_PER_MILLI;
        let return_at = queue
            .last_return_at
            .max(now)
            .after_micros(interval_micros)
            .max(now.after_micros(shortest_micros));
        let delay_micros = return_at.micros_since(now);
        let delay_micros = if delay_micros <= longest_micros {
            queue.last_return_at = return_at;
            delay_micros.saturating_add(jitter_micros).min(longest_micros)
        } else {
            // It takes no return time from others. Callers refused together still return apart.
            longest_micros.saturating_sub(jitter_micros).max(shortest_micros.min(longest_micros))
        };
        delay_micros / MICROS_PER_MILLI
    }

    /// Removes a prompt that no longer waits.
    pub fn remove(&mut self, service: &str, number: u64) {
        if let Some(queue) = self.services.get_mut(service) {
            queue.waiting.remove(&number);
        }
    }

    /// Returns the number of waiting prompts.
    pub fn waiting(&self) -> usize {
        self.services.values().map(|queue| queue.waiting.len()).sum()
    }

    /// Returns the number of waiting prompts by priority, without priorities of which none waits.
    pub fn waiting_by_priority(&self) -> BTreeMap<u8, usize> {
        let mut counts = BTreeMap::new();
        for row in self.services.values().flat_map(|queue| queue.waiting.values()) {
            *counts.entry(row.entry.priority).or_default() += 1;
        }
        counts
    }

    /// Discards services without waiting prompts, recent service, recent claims or pending returns.
    pub fn sweep(&mut self, now: Moment) {
        self.services.retain(|_, queue| {
            queue.discard_expired(now);
            !queue.waiting.is_empty()
                || !queue.served.is_empty()
                || !queue.claims.is_empty()
                || now < queue.last_return_at
        });
    }
}
