//! How a request waits for free capacity, and when its caller may return if it is refused.
//!
//! Invariant: a request counts as waiting only between two polls, so that it holds back no other one once it is
//! sent, refused or cancelled.

use crate::gateway::CountGuard;
use crate::requests::dispatch::RetryDelay;
use crate::requests::prompt_waits::SleepingPrompt;
use crate::requests::request_run::RequestRun;
use crate::{AdmissionVerdict, PlacementChoice, PromptPlacement, claim_probability};
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Interval at which a waiting prompt polls for free capacity: a fraction of the time for which an engine
/// runs one.
const POLL_INTERVAL_MILLIS: u64 = 20;
/// Delay for each other waiting prompt, so that a VM polls at most some 250 times a second.
const POLL_DELAY_PER_PROMPT_MILLIS: u64 = 4;
/// Interval at which a request polls that waits for a rate-limited endpoint.
const SHARE_POLL_INTERVAL_MILLIS: u64 = 20;

impl RequestRun {
    /// Counts the request once among those delayed while its service's load is uneven.
    pub(super) fn count_delayed(&self) {
        if !self.is_counted_delayed.load(Ordering::Relaxed) {
            let is_counted = self.gateway.load_spread().record_delayed(&self.context.service);
            self.is_counted_delayed.store(is_counted, Ordering::Relaxed);
        }
    }

    /// Counts the request as delayed if it is expected to miss its objective at a full endpoint.
    pub(super) fn count_if_late_at_full(&self, choice: &PlacementChoice) {
        let objective_micros = self.context.route.objective_millis * MICROS_PER_MILLI;
        if choice.expected_micros > objective_micros
            && self.gateway.table().is_full(choice.key, self.gateway.now())
        {
            self.count_delayed();
        }
    }

    /// Waits for the interval between polls for free capacity.
    pub(super) async fn wait_for_capacity(&mut self) {
        let started_at = self.gateway.now();
        let waiting = CountGuard::new(&self.gateway, |gateway| &gateway.waiting_prompts);
        let sleeping = SleepingPrompt::new(&self.gateway, self.queue_entry.number);
        let other_prompts = self.gateway.waiting_prompts.load(Ordering::Relaxed).saturating_sub(1);
        let delay_millis = POLL_INTERVAL_MILLIS.max(other_prompts * POLL_DELAY_PER_PROMPT_MILLIS);
        let poll_interval = Duration::from_millis(delay_millis);
        // Ends early if another prompt finds capacity for this one.
        let _ = tokio::time::timeout(poll_interval, sleeping.woken()).await;
        drop((waiting, sleeping));
        self.waited_micros += self.gateway.now().micros_since(started_at);
    }

    /// Waits until this VM may send, but polls meanwhile: other endpoints' limits may end earlier.
    pub(super) async fn wait_for_share(&mut self, next_at: Moment) {
        let started_at = self.gateway.now();
        let poll_at =
            started_at.after_millis(SHARE_POLL_INTERVAL_MILLIS).min(next_at).max(started_at.after_millis(1));
        self.gateway.wait_until(poll_at).await;
        self.waited_micros += self.gateway.now().micros_since(started_at);
    }

    /// Leaves the queues of this VM, so that requests behind this one go on.
    pub(crate) fn leave_queue(&self) {
        let (service, number) = (&self.context.service, self.queue_entry.number);
        self.gateway.quota_queue.queue().remove(service, number);
        self.gateway.prompt_waits.queue().remove(service, number);
    }

    /// Decides at random whether a waiting prompt claims free capacity or leaves it to another VM's.
    ///
    /// `ordered` is the placement of a prompt whose service serves waiting prompts in order.
    pub(super) fn claims_capacity(&self, ordered: Option<&PromptPlacement<'_>>) -> bool {
        let gateway = &self.gateway;
        let vms = gateway.peers().listed_count();
        let probability = match ordered {
            None => claim_probability(vms),
            Some(placement) => {
                let queue = gateway.prompt_waits.queue();
                // Placement on aged views spreads claims over engines, so that a lower probability than
                // without the order would only leave capacity unused.
                let share = queue.claim_probability(&self.context.service, placement, vms, gateway.now());
                share.max(claim_probability(vms))
            }
        };
        rand::random::<f64>() < probability
    }

    /// Decides on a prompt that an endpoint would admit now: it leaves the capacity to a prompt that precedes
    /// it, which polls at once.
    pub(super) fn admit_in_order(&self, placement: &PromptPlacement<'_>) -> AdmissionVerdict {
        let (waits, now) = (&self.gateway.prompt_waits, self.gateway.now());
        let delayed = waits.queue().find_delayed(&self.context.service, placement, now);
        let Some(number) = delayed else { return AdmissionVerdict::Go };
        waits.wake(number);
        placement.view.admit_behind(placement.choice, now)
    }

    /// Returns the retry time of a refused prompt. Those of a service that serves prompts in order return in
    /// order.
    pub(super) fn retry_delay(&self, is_ordered: bool, base_millis: u64) -> RetryDelay {
        if !is_ordered {
            return RetryDelay::Base(base_millis);
        }
        let (gateway, context) = (&self.gateway, &self.context);
        let mut queue = gateway.prompt_waits.queue();
        RetryDelay::Assigned(queue.retry_millis(
            &context.service,
            context.deadline,
            rand::random(),
            gateway.now(),
        ))
    }
}
