//! Reads a caller's body within the bound on buffered bytes.

use super::MemoryReservation;
use super::request_body::{BodyBuffer, RequestBody};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::pin::pin;

/// Bytes of a refused request's body that are read, and those that are while there are many connections.
pub(crate) const MAX_DISCARDED_BYTES: usize = 1 << 20;
pub(crate) const MAX_CROWDED_DISCARDED_BYTES: usize = 16 << 10;

/// Size up to which a body arrives in a few round trips whatever its connection's buffer.
const MAX_SHORT_BYTES: usize = 16 << 10;
/// Bytes up to which a body is counted as it arrives.
const MAX_UNRESERVED_BYTES: usize = 64 << 10;
/// Why a body was not read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFault {
    /// It is longer than the configuration allows.
    TooLong,
    /// Its connection broke.
    Broken,
    /// Its reservation was the largest when memory ran out.
    NoMemory,
}

/// Reads and discards what remains of a body, up to `max_bytes`.
pub(crate) async fn discard(body: &mut Incoming, max_bytes: usize) {
    let mut discarded_bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
        if discarded_bytes > max_bytes {
            return;
        }
    }
}

/// Reads a whole body of at most `max_bytes`, and counts it in `reservation`.
///
/// Calls `on_reserved` with the declared length when a body that is not short may arrive.
pub(crate) async fn read_limited(
    body: &mut Incoming,
    max_bytes: usize,
    reservation: &MemoryReservation,
    on_reserved: impl FnOnce(Option<usize>),
) -> Result<RequestBody, BodyFault> {
    let declared_bytes = body.size_hint().exact().map(|bytes| bytes as usize);
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyFault::TooLong);
    }
    // The memory for a long body is there before the first byte is read.
    let mut reserved_bytes = declared_bytes.filter(|bytes| *bytes > MAX_UNRESERVED_BYTES).unwrap_or(0);
    if reserved_bytes > 0 && !reservation.acquire(reserved_bytes).await {
        return Err(BodyFault::NoMemory);
    }
    if declared_bytes.is_none_or(|bytes| bytes > MAX_SHORT_BYTES) {
        on_reserved(declared_bytes);
    }
    let mut content = BodyBuffer::new(declared_bytes);
    let mut evicted = pin!(reservation.wait_until_evicted());
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = evicted.as_mut() => return Err(BodyFault::NoMemory),
        };
        let Some(frame) = frame else { break };
        let Ok(chunk) = frame.map_err(|_error| BodyFault::Broken)?.into_data() else { continue };
        if content.len() + chunk.len() > max_bytes {
            return Err(BodyFault::TooLong);
        }
        content.push(&chunk);
        if content.held_bytes() > reserved_bytes {
            reservation.grow(content.held_bytes() - reserved_bytes);
            reserved_bytes = content.held_bytes();
            if reservation.is_evicted() {
                return Err(BodyFault::NoMemory);
            }
        }
    }
    reservation.disable_eviction();
    Ok(content.finish())
}
