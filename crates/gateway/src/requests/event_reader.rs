//! Whole events out of an engine's stream.
//!
//! Invariant: only whole events come out, in order, each byte once. What an engine had begun when
//! its stream broke is dropped, so that another engine may go on after the last whole one.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

/// Longest event that is read, in bytes; a longer one is a fault of its engine.
const EVENT_MOST: usize = 1 << 20;
/// Names the field that carries an event's id.
const ID_FIELD: &[u8] = b"id:";

/// Why no more events come.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// The stream broke.
    #[error("the stream broke: {0}")]
    Broken(String),
    /// The stream ended within an event.
    #[error("the stream ended within an event")]
    Partial,
    /// An event is too long.
    #[error("an event is longer than {EVENT_MOST} bytes")]
    TooLong,
}

/// Cuts a body into whole events.
#[derive(Debug)]
pub struct EventReader<B> {
    body: B,
    buffer: BytesMut,
    scanned: usize,
    last_id: Option<Bytes>,
}

impl<B> EventReader<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    /// Reads events from `body`.
    pub fn new(body: B) -> Self {
        Self { body, buffer: BytesMut::new(), scanned: 0, last_id: None }
    }

    /// Reads events from a `body` that goes on after the event `last_id`.
    pub fn after(body: B, last_id: Bytes) -> Self {
        Self { last_id: Some(last_id), ..Self::new(body) }
    }

    /// Id of the last whole event that came out.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// All whole events that have arrived, at least one; none at the stream's end.
    ///
    /// # Errors
    /// If the stream broke, ended within an event, or holds too long an event.
    pub async fn next(&mut self) -> Result<Option<Bytes>, EventError> {
        loop {
            if let Some(end) = self.whole_end() {
                let events = self.buffer.split_to(end).freeze();
                self.scanned = 0;
                self.note_id(&events);
                return Ok(Some(events));
            }
            if self.buffer.len() > EVENT_MOST {
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

    /// Where the last whole event in the buffer ends.
    fn whole_end(&mut self) -> Option<usize> {
        // An end may straddle two reads: look again at the last bytes seen.
        let from = self.scanned.saturating_sub(3);
        let bytes = &self.buffer[from..];
        let plain = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| from + at + 2);
        let returns = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| from + at + 4);
        self.scanned = self.buffer.len();
        plain.max(returns)
    }

    fn note_id(&mut self, events: &Bytes) {
        let mut lines = events.split(|byte| *byte == b'\n');
        if let Some(line) = lines.rfind(|line| line.starts_with(ID_FIELD)) {
            self.last_id = Some(Bytes::copy_from_slice(line[ID_FIELD.len()..].trim_ascii()));
        }
    }
}
