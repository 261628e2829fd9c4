//! Reads server-sent events off an engine's answer with the least parsing that promises allow.
//!
//! Invariant: a frame is passed on as it came; only its id is read. Decoding and encoding each
//! event again would cost more than the rest of the path together.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;

/// A longer frame is taken as a broken stream.
const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// The data of the last frame.
pub(crate) const DONE: &[u8] = b"[DONE]";

/// One event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EngineFrame {
    /// Its number in the stream, from zero.
    pub id: u64,
    /// Its data.
    pub data: Bytes,
}

/// What came next.
#[derive(Debug)]
pub(crate) enum NextFrame {
    Frame(EngineFrame),
    /// The stream ended, broke, stalled or is malformed.
    Broken(&'static str),
}

/// Cuts a body into frames.
#[derive(Debug)]
pub(crate) struct FrameReader {
    body: Incoming,
    buffer: BytesMut,
}

impl FrameReader {
    pub(crate) fn new(body: Incoming) -> Self {
        Self { body, buffer: BytesMut::new() }
    }

    /// The next frame, if it comes within `stall`.
    pub(crate) async fn next(&mut self, stall: Duration) -> NextFrame {
        let mut searched = 0;
        loop {
            if let Some(end) = find_end(&self.buffer, searched) {
                let frame = self.buffer.split_to(end + 2).freeze();
                return parse(&frame).map_or(NextFrame::Broken("malformed"), NextFrame::Frame);
            }
            searched = self.buffer.len().saturating_sub(1);
            if self.buffer.len() > MAX_FRAME_BYTES {
                return NextFrame::Broken("too long");
            }
            match tokio::time::timeout(stall, self.body.frame()).await {
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

fn find_end(buffer: &[u8], from: usize) -> Option<usize> {
    buffer.get(from..)?.windows(2).position(|pair| pair == b"\n\n").map(|place| place + from)
}

/// Reads `id: N` and `data: TEXT` lines; others are passed over.
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
