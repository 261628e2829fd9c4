//! Hands copies of all endpoints to VMs that start.
//!
//! Invariant: only a VM that knows the deployment's peer key gets one, and it can tell that the answer is to its own question.

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

/// Path of a copy.
pub(crate) const COPY_PATH: &str = "/endpoints";
/// Names the question, so that no answer to an earlier one passes for this one's.
pub(crate) const NONCE_HEADER: &str = "x-copy-nonce";
/// Proves that the one who asks knows the peer key.
pub(crate) const CODE_HEADER: &str = "x-copy-code";
/// Bytes of the code behind a copy.
pub(crate) const CODE_BYTES: usize = 32;

/// A copy that was packed serves all that ask within this time, in milliseconds: what has changed since is told as news.
const FRESH_MILLIS: u64 = 2_000;
/// Part of this VM's link that copies may take.
const LINK_SHARE: f64 = 0.5;
/// One who asks waits for copies to others for so long at most, in milliseconds; beyond that another VM is asked.
const WAIT_MILLIS: u64 = 1_000;

/// What a code is made of, beside the nonce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CodeUse {
    /// A question.
    Question,
    /// An answer.
    Answer,
}

/// The code of some content under the peer key.
pub(crate) fn copy_code(key: &PeerKey, used: CodeUse, nonce: &str, content: &[u8]) -> [u8; CODE_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    let purpose: &[u8] = if used == CodeUse::Question { b"question of copy " } else { b"answer of copy " };
    hasher
        .update(purpose)
        .update(&(nonce.len() as u64).to_le_bytes())
        .update(nonce.as_bytes())
        .update(content);
    *hasher.finalize().as_bytes()
}

#[derive(Debug, Default)]
struct DeskState {
    /// The last copy, and until when it is handed out.
    packed: Option<(Bytes, Moment)>,
    /// The link is taken by copies until then.
    busy_until: Moment,
}

/// Copies handed out by this VM.
#[derive(Debug, Default)]
pub(crate) struct CopyDesk(Mutex<DeskState>);

impl CopyDesk {
    fn state(&self) -> MutexGuard<'_, DeskState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers one who asks for a copy.
pub(crate) fn answer_copy(gateway: &Gateway, request: &Request<Incoming>) -> Response<AnswerBody> {
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
    if request.uri().path() != COPY_PATH {
        return Err(StatusCode::NOT_FOUND);
    }
    let text = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
    let (Some(nonce), Some(code)) = (text(NONCE_HEADER), text(CODE_HEADER)) else {
        return Err(StatusCode::UNAUTHORIZED);
    };
    let key = gateway.peer_key().ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let expected = blake3::Hash::from_bytes(copy_code(&key, CodeUse::Question, nonce, &[]));
    // Hashes compare in constant time.
    if blake3::Hash::from_hex(code).ok() != Some(expected) {
        return Err(StatusCode::UNAUTHORIZED);
    }
    let packed = packed_copy(gateway).ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let code = copy_code(&key, CodeUse::Answer, nonce, &packed);
    Ok([packed.as_ref(), &code].concat().into())
}

/// The packed copy; none while this VM has not listed all, or hands out too many.
fn packed_copy(gateway: &Gateway) -> Option<Bytes> {
    let position = gateway.applied_position();
    if position == StorePosition::default() || gateway.is_stopping() {
        return None;
    }
    let now = gateway.now();
    let mut state = gateway.copies.state();
    if state.busy_until > now.after_millis(WAIT_MILLIS) {
        return None;
    }
    let fresh = state.packed.as_ref().filter(|(_, until)| now < *until);
    let packed = if let Some((packed, _)) = fresh {
        packed.clone()
    } else {
        let packed = Bytes::from(pack(&EndpointSnapshot::of(&gateway.table(), position, now))?);
        state.packed = Some((packed.clone(), now.after_millis(FRESH_MILLIS)));
        packed
    };
    let micros = packed.len() as f64 * 8.0 / (gateway.settings.link_mbps.max(1.0) * LINK_SHARE);
    state.busy_until = state.busy_until.max(now).after_micros(micros as u64);
    Some(packed)
}

/// Drops a copy that is not handed out any more: few are asked for once all VMs have started.
pub(crate) fn sweep_copies(gateway: &Gateway) {
    let now = gateway.now();
    let mut state = gateway.copies.state();
    if state.packed.as_ref().is_some_and(|(_, until)| now >= *until) {
        state.packed = None;
    }
}
