//! Frees parts of weights that no engine has any more, while this VM holds the right to order engines.
//!
//! Invariant: parts are freed only when every engine of the model is known to have newer weights,
//! also engines whose entries went a short while ago: an entry may lapse while its engine serves. A
//! request names the weights that it expects, so none can start on the old ones then, and those
//! that ran ended before their engine changed: no move can be under way from a part that is freed.
//! Which parts those are is decided by [`outdated_segments`].

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

/// Pause between looks.
const LOOK_PAUSE: Duration = Duration::from_millis(400);
/// Old weights must be gone for this long before their parts are freed, in milliseconds: reports of
/// engines lag.
const GONE_MILLIS: u64 = 1_200;
/// A call whose answer has not begun by then has failed.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A store of which a call failed is tried again after this long, in milliseconds: a listing holds up the
/// store's own work.
const RETRY_MILLIS: u64 = 2_000;
/// Parts freed by one call.
const PARTS_MOST: usize = 256;

/// How far a store is rid of a model's old parts.
#[derive(Clone, Copy, Debug, Default)]
struct FreedState {
    /// Parts of weights below this version are freed.
    below: u64,
    /// After a failed call: not tried again before then.
    backoff_until: Moment,
}

/// Frees what old weights left in the stores, until the process ends.
pub(crate) async fn free_old_parts(gateway: Arc<Gateway>, right: watch::Receiver<OrderRight>) {
    let mut oldest: BTreeMap<String, (u64, Moment)> = BTreeMap::new();
    let mut freed: BTreeMap<(String, EndpointKey), FreedState> = BTreeMap::new();
    loop {
        tokio::time::sleep(LOOK_PAUSE).await;
        let (held, now) = (*right.borrow(), gateway.now());
        if held.fencing == 0 || now < held.from || now >= held.until || gateway.is_stopping() {
            oldest.clear();
            freed.clear();
            continue;
        }
        let weights = gateway.table().oldest_weights(now);
        for (model, version) in weights {
            let since = oldest.entry(model.clone()).or_insert((version, now));
            if since.0 != version {
                *since = (version, now);
            }
            // The first weights have none before them.
            if version > 1 && now >= since.1.after_millis(GONE_MILLIS) {
                free_everywhere(&gateway, &model, version, &mut freed).await;
            }
        }
    }
}

/// Frees the parts of `model` that weights older than `version` made, in the stores where that is not done.
async fn free_everywhere(
    gateway: &Gateway,
    model: &str,
    version: u64,
    freed: &mut BTreeMap<(String, EndpointKey), FreedState>,
) {
    let specs = gateway.table().store_specs();
    for (key, spec) in specs {
        let state = freed.entry((model.to_owned(), key)).or_default();
        if state.below >= version || gateway.now() < state.backoff_until {
            continue;
        }
        if free_older(gateway, key, &spec, model, version).await {
            state.below = version;
        } else {
            state.backoff_until = gateway.now().after_millis(RETRY_MILLIS);
        }
    }
}

/// Frees the parts of `model` that weights older than `version` made; false if some may be left.
async fn free_older(
    gateway: &Gateway,
    key: EndpointKey,
    spec: &StoreSpec,
    model: &str,
    version: u64,
) -> bool {
    let mut link = CallLink::new(spec.address);
    let kept = gateway.dialect.kept;
    let deadline = Instant::now() + CALL_TIMEOUT;
    let news = match link.call_large(&(kept.list)(), deadline).await {
        Ok(CallReply { status: 200, body, .. }) => match (kept.read_list)(&body) {
            Ok(news) => news,
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
    let parts = outdated_segments(&news, model, version);
    let mut is_done = true;
    for some in parts.chunks(PARTS_MOST) {
        let call = (kept.free)(some, news.incarnation);
        let answer = link.call(&call, Instant::now() + CALL_TIMEOUT).await;
        is_done &= matches!(answer, Ok(CallReply { status: 200, .. }));
        let outcome = answer.map_or_else(|cause| cause.to_string(), |reply| reply.status.to_string());
        log::info!(store = key.0, model, below = version, parts = some.len(), outcome = outcome.as_str();
            "store.freed");
    }
    is_done
}
