//! Frames: a big-endian length of four bytes, followed by a postcard body.
//!
//! Invariant: a frame over the length limit ends the connection before its body is read, so that a
//! faulty peer cannot make this VM allocate memory.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum length of a frame's body, large enough for the chunks of a whole configuration.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
const LENGTH_PREFIX_BYTES: usize = 4;

/// Encodes `value` as a frame.
pub(crate) fn encode<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    let mut frame = vec![0; LENGTH_PREFIX_BYTES];
    frame = postcard::to_extend(value, frame).ok()?;
    let length = u32::try_from(frame.len() - LENGTH_PREFIX_BYTES).ok()?;
    frame[..LENGTH_PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
    Some(frame)
}

/// Reads the next frame; none if the stream has ended or the frame is malformed.
pub(crate) async fn read<T: DeserializeOwned>(stream: &mut quinn::RecvStream) -> Option<T> {
    let mut length = [0; LENGTH_PREFIX_BYTES];
    stream.read_exact(&mut length).await.ok()?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return None;
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    postcard::from_bytes(&body).ok()
}
