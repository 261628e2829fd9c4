//! Follows what the stores of kept cache hold, one task a store.
//!
//! In all but small deployments one VM of each data centre asks, its lead, and tells the others: a store
//! holds few calls back at once.
//! Invariant: after a gap, a new incarnation or a silence the whole listing is read before changes
//! are followed again, so the book never claims a part that the store has not told.

use crate::gateway::Gateway;
use crate::peers::kept_digest::{askers, asks_stores};
use crate::store::call_link::{CallLink, CallReply};
use crate::{CacheUpdate, EndpointKey, PollSchedule, StoreSpec, WireCall};
use hyper::StatusCode;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// An answer that has not begun so long after its time is not waited for.
const WAIT_MARGIN: Duration = Duration::from_millis(200);
/// A listing whose answer has not begun by then has failed.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);
/// Pause between looks at the configuration's stores, and at who leads.
const LOOK_PAUSE: Duration = Duration::from_millis(300);
/// The same until the configuration has named stores: what a VM does not know of them is read again. A VM asks at once,
/// also where others will turn out to lead: one listing too many costs less than a second without (0.25 M tokens of
/// the 1.7 M read again on days that end with the death of all VMs were read before the stores were listed).
const START_PAUSE: Duration = Duration::from_millis(40);

/// Keeps one task for each store of the configuration.
pub(crate) async fn follow_stores(gateway: Arc<Gateway>) {
    let mut tasks: HashMap<EndpointKey, (StoreSpec, JoinHandle<()>)> = HashMap::new();
    loop {
        let stores = gateway.table().store_specs();
        tasks.retain(|key, (spec, task)| {
            let stands = stores.iter().any(|(other, now)| other == key && now == spec);
            if !stands {
                task.abort();
            }
            stands
        });
        for (key, spec) in stores {
            let gateway = Arc::clone(&gateway);
            tasks.entry(key).or_insert_with(|| {
                let task = tokio::spawn(follow_store(gateway, key, spec.clone()));
                (spec, task)
            });
        }
        tokio::time::sleep(if tasks.is_empty() { START_PAUSE } else { LOOK_PAUSE }).await;
    }
}

async fn follow_store(gateway: Arc<Gateway>, key: EndpointKey, spec: StoreSpec) {
    let mut link = CallLink::new(spec.address);
    loop {
        if !asks_stores(&gateway, gateway.now()) {
            tokio::time::sleep(LOOK_PAUSE).await;
            continue;
        }
        let Some(mut position) = list(&gateway, key, &spec, &mut link).await else {
            tokio::time::sleep(FAILURE_PAUSE).await;
            continue;
        };
        while asks_stores(&gateway, gateway.now())
            && let Some(next) = follow_once(&gateway, key, &spec, &mut link, position).await
        {
            position = next;
        }
        tokio::time::sleep(FAILURE_PAUSE).await;
    }
}

async fn list(gateway: &Gateway, key: EndpointKey, spec: &StoreSpec, link: &mut CallLink) -> Option<u64> {
    let call = (gateway.dialect.kept.list)();
    let news = ask(gateway, key, link, &call, LIST_TIMEOUT, gateway.dialect.kept.read_list).await.ok()?;
    gateway.set_engine_clock(news.clock_millis);
    let until = gateway.now().after_millis(rhythm(gateway, spec).counts_millis());
    if let Some(row) = gateway.table().store_mut(key) {
        row.replace(&news, until);
    }
    gateway.kept_changed.notify_one();
    log::info!(store = key.0, incarnation = news.incarnation, parts = news.changes.len(); "store.listed");
    Some(news.next)
}

/// Follows changes once; none if the store must be listed anew.
async fn follow_once(
    gateway: &Gateway,
    key: EndpointKey,
    spec: &StoreSpec,
    link: &mut CallLink,
    position: u64,
) -> Option<u64> {
    let rhythm = rhythm(gateway, spec);
    let call = (gateway.dialect.kept.events)(position, rhythm.held_millis);
    let timeout = Duration::from_millis(rhythm.held_millis) + WAIT_MARGIN;
    let read = gateway.dialect.kept.read_events;
    let news = match ask(gateway, key, link, &call, timeout, read).await {
        Ok(news) => news,
        Err(AskFailure::Busy(asked_millis)) => {
            // Nothing was missed: the same question later, apart from those that were refused with it.
            let usual = rhythm.rest_millis + rand::random_range(0..rhythm.rest_millis);
            let rest = usual.max(asked_millis.min(BUSY_MOST_MILLIS));
            tokio::time::sleep(Duration::from_millis(rest)).await;
            return Some(position);
        }
        Err(AskFailure::Lost) => return None,
    };
    gateway.set_engine_clock(news.clock_millis);
    let until = gateway.now().after_millis(rhythm.counts_millis());
    {
        let mut table = gateway.table();
        let row = table.store_mut(key)?;
        if news.gap || news.incarnation != row.incarnation() {
            drop(table);
            log::warn!(store = key.0, gap = news.gap, incarnation = news.incarnation; "store.relist");
            return None;
        }
        row.apply(&news, until);
    }
    if !news.changes.is_empty() {
        gateway.kept_changed.notify_one();
    }
    tokio::time::sleep(Duration::from_millis(rhythm.rest_millis)).await;
    Some(news.next)
}

fn rhythm(gateway: &Gateway, spec: &StoreSpec) -> PollSchedule {
    PollSchedule::new(askers(gateway), spec.max_long_polls)
}

/// Why a store gave no news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AskFailure {
    /// It holds back as many calls as it may, and asks for so many milliseconds of rest.
    Busy(u64),
    /// It did not answer, or not in its form.
    Lost,
}

/// Longest rest of a store that is kept, in milliseconds: what was believed of it has expired by then.
const BUSY_MOST_MILLIS: u64 = 60_000;
/// Status of a store that holds back as many calls as it may.
const BUSY_STATUS: u16 = 429;

async fn ask(
    gateway: &Gateway,
    key: EndpointKey,
    link: &mut CallLink,
    call: &WireCall,
    timeout: Duration,
    read: fn(&[u8]) -> Result<CacheUpdate, String>,
) -> Result<CacheUpdate, AskFailure> {
    let cause = match link.call_large(call, Instant::now() + timeout).await {
        Ok(CallReply { status: 200, body, .. }) => match read(&body) {
            Ok(news) => return Ok(news),
            Err(cause) => cause,
        },
        Ok(CallReply { status: BUSY_STATUS, headers, .. }) => {
            let facts = (gateway.dialect.decode.answer)(StatusCode::TOO_MANY_REQUESTS, &headers);
            return Err(AskFailure::Busy(facts.rest_millis.value().unwrap_or_default()));
        }
        Ok(CallReply { status, .. }) => format!("status {status}"),
        Err(error) => error.to_string(),
    };
    let was_heard = {
        let now = gateway.now();
        let mut table = gateway.table();
        table.store_mut(key).is_some_and(|row| {
            let heard = row.is_heard(now);
            row.lose();
            heard
        })
    };
    if was_heard {
        log::warn!(store = key.0, cause = cause.as_str(); "dependency.lost");
    }
    Err(AskFailure::Lost)
}
