//! Extracts whole events from an engine's stream.
//!
//! Invariant: only whole events are returned, in order, each byte once. An event that was incomplete when
//! its stream broke is dropped, so that another engine can resume after the last whole one.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

/// Longest event that is read; a longer one is a fault of its engine.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Prefix of the line that contains an event's id.
const ID_FIELD: &[u8] = b"id:";

/// Why no more events can be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// The stream broke.
    #[error("the stream broke: {0}")]
    Broken(String),
    /// The stream ended within an event.
    #[error("the stream ended within an event")]
    Partial,
    /// An event is too long.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// Memory ran out while the event was read.
    #[error("no memory for a long event")]
    NoMemory,
}

/// Splits a body into whole events.
#[derive(Debug)]
pub struct EventReader<B> {
    body: B,
    buffer: BytesMut,
    scanned: usize,
    last_id: Option<Bytes>,
    has_returned_events: bool,
}

impl<B> EventReader<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    /// Reads events from `body`.
    pub fn new(body: B) -> Self {
        Self { body, buffer: BytesMut::new(), scanned: 0, last_id: None, has_returned_events: false }
    }

    /// Reads events from a `body` that resumes after the event `last_id`.
    pub fn after(body: B, last_id: Bytes) -> Self {
        Self { last_id: Some(last_id), ..Self::new(body) }
    }

    /// Id of the last whole event that was returned.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// Bytes of an event that is not whole yet.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether it has returned events.
    pub(crate) const fn has_returned_events(&self) -> bool {
        self.has_returned_events
    }

    /// Returns all whole events that have arrived, at least one; none at the stream's end.
    ///
    /// # Errors
    /// If the stream broke, ended within an event, or contains too long an event.
    pub async fn next(&mut self) -> Result<Option<Bytes>, EventError> {
        loop {
            if let Some(end) = self.last_event_end() {
                let events = self.buffer.split_to(end).freeze();
                self.scanned = 0;
                self.record_id(&events);
                self.has_returned_events = true;
                return Ok(Some(events));
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(EventError::TooLong);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => return Err(EventError::Broken(error.to_string())),
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(EventError::Partial),
            }
        }
    }

    /// Returns the offset after the last whole event in the buffer.
    fn last_event_end(&mut self) -> Option<usize> {
        // An event's end may be split over two frames, so the last three bytes are scanned again.
        let from = self.scanned.saturating_sub(3);
        let bytes = &self.buffer[from..];
        let line_feed = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| from + at + 2);
        let carriage_return = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| from + at + 4);
        self.scanned = self.buffer.len();
        line_feed.max(carriage_return)
    }

    fn record_id(&mut self, events: &Bytes) {
        let mut lines = events.split(|byte| *byte == b'\n');
        if let Some(line) = lines.rfind(|line| line.starts_with(ID_FIELD)) {
            self.last_id = Some(Bytes::copy_from_slice(line[ID_FIELD.len()..].trim_ascii()));
        }
    }
}
