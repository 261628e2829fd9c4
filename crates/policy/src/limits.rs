//! Enforces each account's rate and concurrency limits.
//!
//! Invariant: a request over a limit is refused before it takes any other resource. The rate is
//! declared for the whole fleet and divided by the number of live entry VMs, since the balancer spreads
//! callers over them; an exact fleet-wide count would need one message per request.

use spanfold_entity::{MICROS_PER_SECOND, Moment};
use spanfold_kernel::{
    AccountIndex, Arrival, Context, Effect, Event, Outcome, RefusalKind, World, hash_pair, register_plugin,
};
use std::collections::HashMap;

/// Capacity of a token bucket, in seconds' worth of requests.
const BURST_SECONDS: f64 = 2.0;
/// Shortest retry delay that a refused caller is given.
const MIN_RETRY_DELAY_MILLIS: u64 = 500;

/// Token bucket: requests that an account may still send now.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    filled_at: Moment,
}

/// State of the limits plug-in.
#[derive(Debug)]
pub struct QuotaLimiter {
    buckets: HashMap<AccountIndex, TokenBucket>,
    in_flight: HashMap<AccountIndex, u32>,
    accounts_by_request: HashMap<u64, AccountIndex>,
}

impl QuotaLimiter {
    fn start(_world: &World) -> Self {
        Self { buckets: HashMap::new(), in_flight: HashMap::new(), accounts_by_request: HashMap::new() }
    }

    fn handle(&mut self, context: &mut Context<'_>, event: &Event) {
        match event {
            Event::Arrive(arrival) => self.arrive(context, arrival),
            Event::Progress { request, outcome: Outcome::Complete(_) | Outcome::Abandoned } => {
                self.record_finished(*request);
            }
            _ => {}
        }
    }

    fn arrive(&mut self, context: &mut Context<'_>, arrival: &Arrival) {
        if context.world.stopping {
            refuse(context, arrival.request, RefusalKind::Stopping, MIN_RETRY_DELAY_MILLIS);
            return;
        }
        // A request that is placed again after its endpoint failed was admitted already.
        if self.accounts_by_request.contains_key(&arrival.request) {
            context.raise(Event::Admitted(arrival.clone()));
            return;
        }
        let catalogue = std::sync::Arc::clone(&context.world.catalogue);
        let share =
            catalogue.account_shares.get(&arrival.pool).and_then(|shares| shares.get(&arrival.account));
        let Some(account) = catalogue.declarations.accounts.get(&arrival.account).filter(|_| share.is_some())
        else {
            refuse(context, arrival.request, RefusalKind::NoShare, MIN_RETRY_DELAY_MILLIS);
            return;
        };
        let index = context.world.account_names.intern(&arrival.account);
        let running = self.in_flight.get(&index).copied().unwrap_or(0);
        if account.concurrency > 0 && running >= account.concurrency {
            refuse(context, arrival.request, RefusalKind::Concurrency, MIN_RETRY_DELAY_MILLIS);
            return;
        }
        let live_vm_count =
            context.world.vms.iter().filter(|(i, _)| context.world.is_live(*i, context.now)).count().max(1);
        if let Some(retry_millis) = self.take_token(index, account.rate / live_vm_count as f64, context.now) {
            refuse(context, arrival.request, RefusalKind::Rate, retry_millis.max(MIN_RETRY_DELAY_MILLIS));
            return;
        }
        *self.in_flight.entry(index).or_insert(0) += 1;
        self.accounts_by_request.insert(arrival.request, index);
        context.raise(Event::Admitted(arrival.clone()));
    }

    /// Takes one token. Returns the milliseconds until one is available if there is none.
    fn take_token(&mut self, account: AccountIndex, rate: f64, now: Moment) -> Option<u64> {
        if rate <= 0.0 {
            return None;
        }
        let burst = (rate * BURST_SECONDS).max(1.0);
        let bucket = self.buckets.entry(account).or_insert(TokenBucket { tokens: burst, filled_at: now });
        let seconds = now.micros_since(bucket.filled_at) as f64 / MICROS_PER_SECOND as f64;
        bucket.tokens = (bucket.tokens + seconds * rate).min(burst);
        bucket.filled_at = now;
        if bucket.tokens < 1.0 {
            return Some(((1.0 - bucket.tokens) / rate * 1_000.0) as u64 + 1);
        }
        bucket.tokens -= 1.0;
        None
    }

    fn record_finished(&mut self, request: u64) {
        if let Some(index) = self.accounts_by_request.remove(&request)
            && let Some(count) = self.in_flight.get_mut(&index)
        {
            *count = count.saturating_sub(1);
        }
    }
}

/// Refuses `request` with a retry delay, jittered so that callers do not return all at once.
pub(crate) fn refuse(context: &mut Context<'_>, request: u64, reason: RefusalKind, min_millis: u64) {
    let retry_after_millis = jittered_retry_delay(&context.world.own_name, request, min_millis);
    context.emit(Effect::Refuse { request, reason, retry_after_millis });
}

/// Returns a delay between one and two times `min_millis`, the same for the same request.
pub(crate) fn jittered_retry_delay(vm: &str, request: u64, min_millis: u64) -> u64 {
    min_millis + hash_pair(vm, &request.to_string()) % min_millis.max(1)
}

register_plugin!("limits", 35, QuotaLimiter);
