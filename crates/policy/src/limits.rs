//! Each account's rate and concurrency.
//!
//! Invariant: a request over a limit is refused before it takes any other resource. The rate is
//! declared for the fleet and divided by the live entry VMs: the balancer spreads callers, and an
//! exact fleet-wide count would need a message a request.

use spanfold_entity::{MICROS_PER_SECOND, Moment};
use spanfold_kernel::{
    AccountIndex, Arrival, Context, Effect, Event, Outcome, RefusalKind, World, register_plugin, spread,
};
use std::collections::HashMap;

/// A bucket holds this many seconds' worth of requests.
const BURST_SECONDS: f64 = 2.0;
/// Smallest wait that a refused caller is told, in milliseconds.
const RETRY_LEAST_MILLIS: u64 = 500;

/// Requests that an account may still send now.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    filled_at: Moment,
}

/// State of the limits plug-in.
#[derive(Debug)]
pub struct LimitDesk {
    buckets: HashMap<AccountIndex, TokenBucket>,
    in_flight: HashMap<AccountIndex, u32>,
    owners: HashMap<u64, AccountIndex>,
}

impl LimitDesk {
    fn start(_world: &World) -> Self {
        Self { buckets: HashMap::new(), in_flight: HashMap::new(), owners: HashMap::new() }
    }

    fn handle(&mut self, context: &mut Context<'_>, event: &Event) {
        match event {
            Event::Arrive(arrival) => self.arrive(context, arrival),
            Event::Progress { request, outcome: Outcome::Complete(_) | Outcome::Abandoned } => {
                self.leave(*request);
            }
            _ => {}
        }
    }

    fn arrive(&mut self, context: &mut Context<'_>, arrival: &Arrival) {
        if context.world.stopping {
            refuse(context, arrival.request, RefusalKind::Stopping, RETRY_LEAST_MILLIS);
            return;
        }
        // A request that comes back after a failed endpoint has passed already.
        if self.owners.contains_key(&arrival.request) {
            context.raise(Event::Admitted(arrival.clone()));
            return;
        }
        let catalogue = std::sync::Arc::clone(&context.world.catalogue);
        let weight = catalogue.weights.get(&arrival.pool).and_then(|weights| weights.get(&arrival.account));
        let Some(account) =
            catalogue.declarations.accounts.get(&arrival.account).filter(|_| weight.is_some())
        else {
            refuse(context, arrival.request, RefusalKind::NoShare, RETRY_LEAST_MILLIS);
            return;
        };
        let index = context.world.account_names.intern(&arrival.account);
        let running = self.in_flight.get(&index).copied().unwrap_or(0);
        if account.concurrency > 0 && running >= account.concurrency {
            refuse(context, arrival.request, RefusalKind::Concurrency, RETRY_LEAST_MILLIS);
            return;
        }
        let vms =
            context.world.vms.iter().filter(|(i, _)| context.world.is_live(*i, context.now)).count().max(1);
        if let Some(wait) = self.take_token(index, account.rate / vms as f64, context.now) {
            refuse(context, arrival.request, RefusalKind::Rate, wait.max(RETRY_LEAST_MILLIS));
            return;
        }
        *self.in_flight.entry(index).or_insert(0) += 1;
        self.owners.insert(arrival.request, index);
        context.raise(Event::Admitted(arrival.clone()));
    }

    /// Takes one token; none if that went well, else the milliseconds until there is one.
    fn take_token(&mut self, account: AccountIndex, rate: f64, now: Moment) -> Option<u64> {
        if rate <= 0.0 {
            return None;
        }
        let most = (rate * BURST_SECONDS).max(1.0);
        let bucket = self.buckets.entry(account).or_insert(TokenBucket { tokens: most, filled_at: now });
        let seconds = now.micros_since(bucket.filled_at) as f64 / MICROS_PER_SECOND as f64;
        bucket.tokens = (bucket.tokens + seconds * rate).min(most);
        bucket.filled_at = now;
        if bucket.tokens < 1.0 {
            return Some(((1.0 - bucket.tokens) / rate * 1_000.0) as u64 + 1);
        }
        bucket.tokens -= 1.0;
        None
    }

    fn leave(&mut self, request: u64) {
        if let Some(index) = self.owners.remove(&request)
            && let Some(count) = self.in_flight.get_mut(&index)
        {
            *count = count.saturating_sub(1);
        }
    }
}

/// Refuses `request`, with a wait that is spread so that a crowd does not return together.
pub(crate) fn refuse(context: &mut Context<'_>, request: u64, reason: RefusalKind, least_millis: u64) {
    let retry_after_millis = spread_wait(&context.world.me, request, least_millis);
    context.emit(Effect::Refuse { request, reason, retry_after_millis });
}

/// A wait between one and two times `least_millis`, the same for the same request.
pub(crate) fn spread_wait(vm: &str, request: u64, least_millis: u64) -> u64 {
    least_millis + spread(vm, &request.to_string()) % least_millis.max(1)
}

register_plugin!("limits", 35, LimitDesk);
