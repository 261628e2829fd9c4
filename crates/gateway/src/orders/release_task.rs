//! Releases cached segments of outdated weights.
//!
//! The VM that holds the right to order engines does this, for weights that no engine has any more.
//!
//! Invariant: segments are released only when every engine of the model is recorded with newer weights.
//! Engines whose entries vanished a short while ago count too, since an entry may expire while its engine
//! serves. A request states the weights that it expects, so none can start on the old ones then, and requests
//! that ran on them finished before their engine changed. So no transfer can be in progress from a segment
//! that is released. [`outdated_segments`] decides which segments those are.

use crate::gateway::Gateway;
use crate::outdated_segments;
use crate::store::call_link::{CallLink, CallReply};
use crate::store::lease_keeper::OrderRight;
use crate::{EndpointKey, StoreSpec};
use spanfold_entity::Moment;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Interval between checks of the engines' weights.
const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Delay from the last report of old weights to the release, in milliseconds: reports of engines lag.
const RELEASE_DELAY_MILLIS: u64 = 1_200;
/// Time within which the answer to a call must begin.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before a store is called again after a failed call, in milliseconds: a listing delays the store's
/// own work.
const RETRY_DELAY_MILLIS: u64 = 2_000;
/// Maximum number of segments released by one call.
const MAX_SEGMENTS_PER_CALL: usize = 256;

/// Progress of releasing a model's outdated segments at one store.
#[derive(Clone, Copy, Debug, Default)]
struct ReleaseState {
    /// Segments of weights below this version are released.
    released_below: u64,
    /// After a failed call: the store is not called before this moment.
    backoff_until: Moment,
}

/// Releases outdated segments in all stores, until the process ends.
pub(crate) async fn release_outdated_segments(gateway: Arc<Gateway>, right: watch::Receiver<OrderRight>) {
    let mut oldest_versions: BTreeMap<String, (u64, Moment)> = BTreeMap::new();
    let mut release_states: BTreeMap<(String, EndpointKey), ReleaseState> = BTreeMap::new();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let (order_right, now) = (*right.borrow(), gateway.now());
        if order_right.fencing == 0
            || now < order_right.from
            || now >= order_right.until
            || gateway.is_stopping()
        {
            oldest_versions.clear();
            release_states.clear();
            continue;
        }
        let weights = gateway.table().oldest_weights(now);
        for (model, version) in weights {
            let first_seen = oldest_versions.entry(model.clone()).or_insert((version, now));
            if first_seen.0 != version {
                *first_seen = (version, now);
            }
            // No weights precede version 1.
            if version > 1 && now >= first_seen.1.after_millis(RELEASE_DELAY_MILLIS) {
                release_in_all_stores(&gateway, &model, version, &mut release_states).await;
            }
        }
    }
}

/// Releases outdated segments of `model` in all stores that still have some.
///
/// These are the segments computed with weights older than `version`.
async fn release_in_all_stores(
    gateway: &Gateway,
    model: &str,
    version: u64,
    release_states: &mut BTreeMap<(String, EndpointKey), ReleaseState>,
) {
    let specs = gateway.table().store_specs();
    for (key, spec) in specs {
        let state = release_states.entry((model.to_owned(), key)).or_default();
        if state.released_below >= version || gateway.now() < state.backoff_until {
            continue;
        }
        if release_in_store(gateway, key, &spec, model, version).await {
            state.released_below = version;
        } else {
            state.backoff_until = gateway.now().after_millis(RETRY_DELAY_MILLIS);
        }
    }
}

/// Releases outdated segments of `model` in one store; false if some may be left.
async fn release_in_store(
    gateway: &Gateway,
    key: EndpointKey,
    spec: &StoreSpec,
    model: &str,
    version: u64,
) -> bool {
    let mut link = CallLink::new(spec.address);
    let dialect = gateway.dialect.cache;
    let deadline = Instant::now() + CALL_TIMEOUT;
    let update = match link.call_large(&(dialect.list)(), deadline).await {
        Ok(CallReply { status: 200, body, .. }) => match (dialect.decode_list)(&body) {
            Ok(update) => update,
            Err(cause) => {
                log::warn!(store = key.0, cause = cause.as_str(); "store.unreadable");
                return false;
            }
        },
        Ok(CallReply { status, .. }) => {
            log::warn!(store = key.0, status; "store.unfreed");
            return false;
        }
        Err(cause) => {
            log::warn!(store = key.0, cause:% = cause; "store.unfreed");
            return false;
        }
    };
    let segments = outdated_segments(&update, model, version);
    let mut is_released = true;
    for batch in segments.chunks(MAX_SEGMENTS_PER_CALL) {
        let call = (dialect.release)(batch, update.incarnation);
        let answer = link.call(&call, Instant::now() + CALL_TIMEOUT).await;
        is_released &= matches!(answer, Ok(CallReply { status: 200, .. }));
        let outcome = answer.map_or_else(|cause| cause.to_string(), |reply| reply.status.to_string());
        log::info!(store = key.0, model, below = version, parts = batch.len(), outcome = outcome.as_str();
            "store.freed");
    }
    is_released
}
