//! Reads server-sent events from an engine's answer, with the least parsing that the
//! guarantees to callers allow.
//!
//! Invariant: an event's data is forwarded unchanged; only its id is parsed. Decoding and encoding
//! each event again would cost more than all other steps of the path together.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;

/// Bound on a frame; a longer one counts as a broken stream.
const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// Data of the last frame.
pub(crate) const DONE: &[u8] = b"[DONE]";

/// One event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EngineFrame {
    /// The number of the event in the stream, from zero.
    pub id: u64,
    /// The data of the event.
    pub data: Bytes,
}

/// The result of a read.
#[derive(Debug)]
pub(crate) enum NextFrame {
    Frame(EngineFrame),
    /// The stream ended, failed, stalled, has a frame that is too long, or is malformed.
    Broken(&'static str),
}

/// Splits a body into frames.
#[derive(Debug)]
pub(crate) struct FrameReader {
    body: Incoming,
    buffer: BytesMut,
}

impl FrameReader {
    pub(crate) fn new(body: Incoming) -> Self {
        Self { body, buffer: BytesMut::new() }
    }

    /// Returns the next frame, or `Broken` if no data is received within `stall_timeout`.
    pub(crate) async fn next(&mut self, stall_timeout: Duration) -> NextFrame {
        let mut searched = 0;
        loop {
            if let Some(end) = find_frame_end(&self.buffer, searched) {
                let frame = self.buffer.split_to(end + 2).freeze();
                return parse(&frame).map_or(NextFrame::Broken("malformed"), NextFrame::Frame);
            }
            searched = self.buffer.len().saturating_sub(1);
            if self.buffer.len() > MAX_FRAME_BYTES {
                return NextFrame::Broken("too long");
            }
            match tokio::time::timeout(stall_timeout, self.body.frame()).await {
                Err(_) => return NextFrame::Broken("stalled"),
                Ok(None) => return NextFrame::Broken("ended"),
                Ok(Some(Err(_))) => return NextFrame::Broken("broke"),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}

fn find_frame_end(buffer: &[u8], from: usize) -> Option<usize> {
    buffer.get(from..)?.windows(2).position(|pair| pair == b"\n\n").map(|index| index + from)
}

/// Parses `id: N` and `data: TEXT` lines; other lines are skipped.
fn parse(frame: &Bytes) -> Option<EngineFrame> {
    let (mut id, mut data, mut start) = (None, None, 0);
    for line in frame.split(|byte| *byte == b'\n') {
        let end = start + line.len();
        if let Some(text) = line.strip_prefix(b"id: ") {
            id = std::str::from_utf8(text).ok()?.parse().ok();
        } else if line.starts_with(b"data: ") {
            data = Some(frame.slice(start + 6..end));
        }
        start = end + 1;
    }
    Some(EngineFrame { id: id?, data: data? })
}
