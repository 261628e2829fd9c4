//! Frames: a length of four bytes, big-endian, and a postcard body.
//!
//! Invariant: a frame longer than the limit closes the connection before its body is read, so a
//! malformed peer cannot make this VM reserve memory.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest frame; the chunks of a whole configuration fit.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
const LENGTH_BYTES: usize = 4;

/// The frame of `value`.
pub(crate) fn encode<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    let mut frame = vec![0; LENGTH_BYTES];
    frame = postcard::to_extend(value, frame).ok()?;
    let length = u32::try_from(frame.len() - LENGTH_BYTES).ok()?;
    frame[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Some(frame)
}

/// Reads the next frame; none at the end of the stream or if the frame is malformed.
pub(crate) async fn read<T: DeserializeOwned>(stream: &mut quinn::RecvStream) -> Option<T> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).await.ok()?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return None;
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    postcard::from_bytes(&body).ok()
}
