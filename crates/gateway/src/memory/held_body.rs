//! Reads a caller's body within the bound on what is held.

use super::HeldGuard;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Why a body was not read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFault {
    /// It is longer than the configuration allows.
    TooLong,
    /// Its connection broke.
    Broken,
    /// It held more than any other when memory ran out.
    NoMemory,
}

/// Reads a whole body of `most` bytes at most, and counts it as held by `guard`.
pub(crate) async fn read_held(
    mut body: Incoming,
    most: usize,
    guard: &HeldGuard,
) -> Result<Bytes, BodyFault> {
    if body.size_hint().lower() > most as u64 {
        return Err(BodyFault::TooLong);
    }
    let mut content = BytesMut::new();
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = guard.until_ended() => return Err(BodyFault::NoMemory),
        };
        let Some(frame) = frame else { break };
        let Ok(piece) = frame.map_err(|_error| BodyFault::Broken)?.into_data() else { continue };
        if content.len() + piece.len() > most {
            return Err(BodyFault::TooLong);
        }
        guard.grow(piece.len());
        if guard.is_ended() {
            return Err(BodyFault::NoMemory);
        }
        content.extend_from_slice(&piece);
    }
    guard.settle();
    Ok(content.freeze())
}
