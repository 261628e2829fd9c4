//! Serves snapshots of all endpoints to VMs that start.
//!
//! Invariant: only a VM that has the deployment's peer key gets a snapshot, and it can verify that the answer
//! belongs to its own request.

use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use crate::peers::peer_message::PeerKey;
use crate::requests::own_answer::{AnswerBody, full_body};
use crate::{EndpointSnapshot, StorePosition, pack};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use spanfold_entity::Moment;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Path of a snapshot.
pub(crate) const SNAPSHOT_PATH: &str = "/endpoints";
/// Header with the request's nonce, so that an answer to an earlier request isn't accepted.
pub(crate) const NONCE_HEADER: &str = "x-copy-nonce";
/// Header that proves that the requester has the peer key.
pub(crate) const CODE_HEADER: &str = "x-copy-code";
/// Bytes of the authentication code that follows a snapshot.
pub(crate) const CODE_BYTES: usize = 32;

/// A packed snapshot answers all requests within this time, in milliseconds. Later changes reach the
/// requester as store updates.
const SNAPSHOT_FRESHNESS_MILLIS: u64 = 2_000;
/// Fraction of this VM's link that snapshots may use.
const LINK_FRACTION: f64 = 0.5;
/// Longest time that a request may wait for snapshots to others, in milliseconds. Beyond it the request is
/// refused, and the requester asks another VM.
const MAX_SEND_DELAY_MILLIS: u64 = 1_000;

/// What an authentication code covers, besides the nonce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CodePurpose {
    /// A request.
    Request,
    /// An answer.
    Answer,
}

/// Returns the authentication code of `content` under the peer key.
pub(crate) fn authentication_code(
    key: &PeerKey,
    purpose: CodePurpose,
    nonce: &str,
    content: &[u8],
) -> [u8; CODE_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    let prefix: &[u8] =
        if purpose == CodePurpose::Request { b"question of copy " } else { b"answer of copy " };
    hasher
        .update(prefix)
        .update(&(nonce.len() as u64).to_le_bytes())
        .update(nonce.as_bytes())
        .update(content);
    *hasher.finalize().as_bytes()
}

#[derive(Debug, Default)]
struct SnapshotState {
    /// The last packed snapshot, and when it expires.
    packed: Option<(Bytes, Moment)>,
    /// Snapshots occupy their fraction of the link until then.
    busy_until: Moment,
}

/// The snapshot that this VM serves.
#[derive(Debug, Default)]
pub(crate) struct SnapshotCache(Mutex<SnapshotState>);

impl SnapshotCache {
    fn state(&self) -> MutexGuard<'_, SnapshotState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers a request for a snapshot.
pub(crate) fn answer_snapshot_request(
    gateway: &Gateway,
    request: &Request<Incoming>,
) -> Response<AnswerBody> {
    let (kind, response) = match try_answer(gateway, request) {
        Ok(content) => ("given", Response::new(full_body(content))),
        Err(status) => {
            let mut response = Response::new(full_body(Bytes::new()));
            *response.status_mut() = status;
            (if status == StatusCode::SERVICE_UNAVAILABLE { "busy" } else { "rejected" }, response)
        }
    };
    gateway.metrics.endpoint_copies.get_or_create(&KindLabel::new(kind)).inc();
    response
}

fn try_answer(gateway: &Gateway, request: &Request<Incoming>) -> Result<Bytes, StatusCode> {
    if request.uri().path() != SNAPSHOT_PATH {
        return Err(StatusCode::NOT_FOUND);
    }
    let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
    let (Some(nonce), Some(code)) = (header(NONCE_HEADER), header(CODE_HEADER)) else {
        return Err(StatusCode::UNAUTHORIZED);
    };
    let key = gateway.peer_key().ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let expected = blake3::Hash::from_bytes(authentication_code(&key, CodePurpose::Request, nonce, &[]));
    // Hashes compare in constant time.
    if blake3::Hash::from_hex(code).ok() != Some(expected) {
        return Err(StatusCode::UNAUTHORIZED);
    }
    let packed = packed_snapshot(gateway).ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let code = authentication_code(&key, CodePurpose::Answer, nonce, &packed);
    Ok([packed.as_ref(), &code].concat().into())
}

/// Returns the packed snapshot; none before this VM has listed the whole store, while it stops, or while too
/// many snapshots are being sent.
fn packed_snapshot(gateway: &Gateway) -> Option<Bytes> {
    let position = gateway.applied_position();
    if position == StorePosition::default() || gateway.is_stopping() {
        return None;
    }
    let now = gateway.now();
    let mut state = gateway.snapshot_cache.state();
    if state.busy_until > now.after_millis(MAX_SEND_DELAY_MILLIS) {
        return None;
    }
    let current = state.packed.as_ref().filter(|(_, valid_until)| now < *valid_until);
    let packed = if let Some((packed, _)) = current {
        packed.clone()
    } else {
        let packed = Bytes::from(pack(&EndpointSnapshot::of(&gateway.table(), position, now))?);
        state.packed = Some((packed.clone(), now.after_millis(SNAPSHOT_FRESHNESS_MILLIS)));
        packed
    };
    let micros = packed.len() as f64 * 8.0 / (gateway.settings.link_mbps.max(1.0) * LINK_FRACTION);
    state.busy_until = state.busy_until.max(now).after_micros(micros as u64);
    Some(packed)
}

/// Discards an expired snapshot: few are requested once all VMs have started.
pub(crate) fn evict_expired_snapshot(gateway: &Gateway) {
    let now = gateway.now();
    let mut state = gateway.snapshot_cache.state();
    if state.packed.as_ref().is_some_and(|(_, valid_until)| now >= *valid_until) {
        state.packed = None;
    }
}
