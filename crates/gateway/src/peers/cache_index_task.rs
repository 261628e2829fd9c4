//! Follows the indexes of the cache stores, with one task for each store.
//!
//! In all but small deployments only the leader of each data centre polls the stores, and propagates the
//! changes to the others, since a store allows only a few long polls at once.
//!
//! Invariant: after a gap, a new incarnation or a failed call the whole listing is read before changes are
//! followed again, so the index never contains a segment that the store has not reported.

use crate::gateway::Gateway;
use crate::peers::cache_digest::{poller_count, polls_stores};
use crate::store::call_link::{CallLink, CallReply};
use crate::{CacheUpdate, EndpointKey, PollSchedule, StoreSpec, WireCall};
use hyper::StatusCode;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Timeout for the head of an answer, counted from the end of its long poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout for the head of a listing's answer.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Interval between checks of the configuration's stores, and of who leads.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// The same until the configuration has named stores, since segments that a VM has no record of are
/// recomputed. A VM polls at once, even where others will turn out to lead: one listing too many costs less
/// than a second without (of 1.7 M tokens recomputed on days that end with the crash of all VMs, 0.25 M fell
/// before the stores were listed).
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Runs one task for each store of the configuration.
pub(crate) async fn follow_stores(gateway: Arc<Gateway>) {
    let mut tasks: HashMap<EndpointKey, (StoreSpec, JoinHandle<()>)> = HashMap::new();
    loop {
        let stores = gateway.table().store_specs();
        tasks.retain(|key, (spec, task)| {
            let is_current =
                stores.iter().any(|(current_key, current_spec)| current_key == key && current_spec == spec);
            if !is_current {
                task.abort();
            }
            is_current
        });
        for (key, spec) in stores {
            let gateway = Arc::clone(&gateway);
            tasks.entry(key).or_insert_with(|| {
                let task = tokio::spawn(follow_store(gateway, key, spec.clone()));
                (spec, task)
            });
        }
        tokio::time::sleep(if tasks.is_empty() { STARTUP_POLL_INTERVAL } else { CONFIG_POLL_INTERVAL }).await;
    }
}

async fn follow_store(gateway: Arc<Gateway>, key: EndpointKey, spec: StoreSpec) {
    let mut link = CallLink::new(spec.address);
    loop {
        if !polls_stores(&gateway, gateway.now()) {
            tokio::time::sleep(CONFIG_POLL_INTERVAL).await;
            continue;
        }
        let Some(mut position) = list_store(&gateway, key, &spec, &mut link).await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        while polls_stores(&gateway, gateway.now())
            && let Some(next) = follow_once(&gateway, key, &spec, &mut link, position).await
        {
            position = next;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn list_store(
    gateway: &Gateway,
    key: EndpointKey,
    spec: &StoreSpec,
    link: &mut CallLink,
) -> Option<u64> {
    let call = (gateway.dialect.cache.list)();
    let update =
        poll(gateway, key, link, &call, LIST_TIMEOUT, gateway.dialect.cache.decode_list).await.ok()?;
    gateway.set_engine_clock(update.clock_millis);
    let report_deadline = gateway.now().after_millis(poll_schedule(gateway, spec).report_lifetime_millis());
    if let Some(row) = gateway.table().store_mut(key) {
        row.replace(&update, report_deadline);
    }
    gateway.cache_index_changed.notify_one();
    log::info!(store = key.0, incarnation = update.incarnation, parts = update.changes.len(); "store.listed");
    Some(update.next)
}

/// Follows changes once; none if the store must be listed again.
async fn follow_once(
    gateway: &Gateway,
    key: EndpointKey,
    spec: &StoreSpec,
    link: &mut CallLink,
    position: u64,
) -> Option<u64> {
    let schedule = poll_schedule(gateway, spec);
    let call = (gateway.dialect.cache.events)(position, schedule.long_poll_millis);
    let timeout = Duration::from_millis(schedule.long_poll_millis) + RESPONSE_TIMEOUT;
    let decoder = gateway.dialect.cache.decode_events;
    let update = match poll(gateway, key, link, &call, timeout, decoder).await {
        Ok(update) => update,
        Err(PollFailure::Busy(requested_millis)) => {
            // Nothing was missed. The same request is repeated later, at a random distance from those that
            // were refused with it.
            let regular_millis = schedule.delay_millis + rand::random_range(0..schedule.delay_millis);
            let backoff_millis = regular_millis.max(requested_millis.min(MAX_BUSY_BACKOFF_MILLIS));
            tokio::time::sleep(Duration::from_millis(backoff_millis)).await;
            return Some(position);
        }
        Err(PollFailure::Lost) => return None,
    };
    gateway.set_engine_clock(update.clock_millis);
    let report_deadline = gateway.now().after_millis(schedule.report_lifetime_millis());
    {
        let mut table = gateway.table();
        let row = table.store_mut(key)?;
        if update.gap || update.incarnation != row.incarnation() {
            drop(table);
            log::warn!(store = key.0, gap = update.gap, incarnation = update.incarnation; "store.relist");
            return None;
        }
        row.apply(&update, report_deadline);
    }
    if !update.changes.is_empty() {
        gateway.cache_index_changed.notify_one();
    }
    tokio::time::sleep(Duration::from_millis(schedule.delay_millis)).await;
    Some(update.next)
}

fn poll_schedule(gateway: &Gateway, spec: &StoreSpec) -> PollSchedule {
    PollSchedule::new(poller_count(gateway), spec.max_long_polls)
}

/// Why a store sent no update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollFailure {
    /// It has as many long polls as it allows, and requests a backoff of this many milliseconds.
    Busy(u64),
    /// It did not answer, or not in its format.
    Lost,
}

/// Longest backoff of a store that is respected, in milliseconds: the index has expired by then.
const MAX_BUSY_BACKOFF_MILLIS: u64 = 60_000;
/// Status of a store that has as many long polls as it allows.
const BUSY_STATUS: u16 = 429;

async fn poll(
    gateway: &Gateway,
    key: EndpointKey,
    link: &mut CallLink,
    call: &WireCall,
    timeout: Duration,
    decoder: fn(&[u8]) -> Result<CacheUpdate, String>,
) -> Result<CacheUpdate, PollFailure> {
    let cause = match link.call_large(call, Instant::now() + timeout).await {
        Ok(CallReply { status: 200, body, .. }) => match decoder(&body) {
            Ok(update) => return Ok(update),
            Err(cause) => cause,
        },
        Ok(CallReply { status: BUSY_STATUS, headers, .. }) => {
            let answer = (gateway.dialect.decoders.answer)(StatusCode::TOO_MANY_REQUESTS, &headers);
            return Err(PollFailure::Busy(answer.rest_millis.value().unwrap_or_default()));
        }
        Ok(CallReply { status, .. }) => format!("status {status}"),
        Err(error) => error.to_string(),
    };
    let was_reachable = {
        let now = gateway.now();
        let mut table = gateway.table();
        table.store_mut(key).is_some_and(|row| {
            let is_reachable = row.is_reachable(now);
            row.mark_unreachable();
            is_reachable
        })
    };
    if was_reachable {
        log::warn!(store = key.0, cause = cause.as_str(); "dependency.lost");
    }
    Err(PollFailure::Lost)
}
