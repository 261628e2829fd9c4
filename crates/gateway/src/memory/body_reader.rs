//! Reads a caller's body within the bound on buffered bytes.

use super::MemoryReservation;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Maximum number of bytes of a refused request's body that are read.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

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

/// Reads and discards what remains of a body, up to [`MAX_DISCARDED_BYTES`].
pub(crate) async fn discard(body: &mut Incoming) {
    let mut discarded_bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
        if discarded_bytes > MAX_DISCARDED_BYTES {
            return;
        }
    }
}

/// Reads a whole body of at most `max_bytes`, and counts it in `reservation`.
pub(crate) async fn read_limited(
    body: &mut Incoming,
    max_bytes: usize,
    reservation: &MemoryReservation,
) -> Result<Bytes, BodyFault> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyFault::TooLong);
    }
    let mut content = BytesMut::new();
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = reservation.wait_until_evicted() => return Err(BodyFault::NoMemory),
        };
        let Some(frame) = frame else { break };
        let Ok(chunk) = frame.map_err(|_error| BodyFault::Broken)?.into_data() else { continue };
        if content.len() + chunk.len() > max_bytes {
            return Err(BodyFault::TooLong);
        }
        reservation.grow(chunk.len());
        if reservation.is_evicted() {
            return Err(BodyFault::NoMemory);
        }
        content.extend_from_slice(&chunk);
    }
    reservation.disable_eviction();
    Ok(content.freeze())
}
