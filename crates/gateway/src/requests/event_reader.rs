//! Extracts whole events from an engine's stream.
//!
//! Invariant: only whole events are returned, in order, each once: ids rise, and an event whose id does not is
//! dropped. An event that was incomplete when its stream broke is dropped, too, so that another engine can resume
//! after the last whole one. Between two new events, at most [`MAX_STALE_BYTES`] of others are read.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

/// Longest event that is read; a longer one is a fault of its engine.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Bytes of comments and repeated events between two new events; more of them are a fault of the engine.
const MAX_STALE_BYTES: usize = 64 << 10;
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
    /// It goes on without new events.
    #[error("no new event within {MAX_STALE_BYTES} bytes")]
    NoProgress,
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
    /// Whether the events that were returned last include a new one.
    has_progressed: bool,
    /// Bytes since the last new event.
    stale_bytes: usize,
}

impl<B> EventReader<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    /// Reads events from `body`.
    pub fn new(body: B) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            scanned: 0,
            last_id: None,
            has_returned_events: false,
            has_progressed: false,
            stale_bytes: 0,
        }
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

    /// Whether the events that were returned last include a new one, rather than comments only.
    pub const fn has_progressed(&self) -> bool {
        self.has_progressed
    }

    /// Returns all whole events that have arrived, at least one; none at the stream's end.
    ///
    /// # Errors
    /// If the stream broke, ended within an event, contains too long an event, or goes on without new ones.
    pub async fn next(&mut self) -> Result<Option<Bytes>, EventError> {
        loop {
            if let Some(end) = self.last_event_end() {
                let events = self.buffer.split_to(end).freeze();
                self.scanned = 0;
                let events = self.retain_rising(events);
                if self.stale_bytes > MAX_STALE_BYTES {
                    return Err(EventError::NoProgress);
                }
                if !events.is_empty() {
                    self.has_returned_events = true;
                    return Ok(Some(events));
                }
                continue;
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

    /// Returns whole events without those whose ids do not rise, and records the last id.
    fn retain_rising(&mut self, events: Bytes) -> Bytes {
        self.has_progressed = false;
        let mut retained = BytesMut::new();
        let (mut rest, mut has_dropped) = (events.clone(), false);
        while !rest.is_empty() {
            let event = rest.split_to(event_length(&rest));
            let id = event_id(&event);
            let is_repeated =
                id.zip(self.last_id.as_deref()).is_some_and(|(id, last_id)| !is_risen(id, last_id));
            if is_repeated {
                if !has_dropped {
                    retained.extend_from_slice(&events[..events.len() - rest.len() - event.len()]);
                }
                has_dropped = true;
            } else if has_dropped {
                retained.extend_from_slice(&event);
            }
            if is_repeated || !has_field(&event) {
                self.stale_bytes += event.len();
                continue;
            }
            self.has_progressed = true;
            self.stale_bytes = 0;
            if let Some(id) = id {
                self.last_id = Some(Bytes::copy_from_slice(id));
            }
        }
        if has_dropped { retained.freeze() } else { events }
    }
}

/// Returns the length of the first event of `events`, which are whole.
fn event_length(events: &[u8]) -> usize {
    let line_feed = events.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let carriage_return = events.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    line_feed.into_iter().chain(carriage_return).min().unwrap_or(events.len())
}

/// Returns the id of an event, if it has one.
fn event_id(event: &[u8]) -> Option<&[u8]> {
    let line = event.split(|byte| *byte == b'\n').rfind(|line| line.starts_with(ID_FIELD))?;
    Some(line[ID_FIELD.len()..].trim_ascii())
}

/// Whether an event has a field, rather than comments only.
fn has_field(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii_end);
    lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
}

/// Whether the event with `id` may follow the one with `last_id`.
fn is_risen(id: &[u8], last_id: &[u8]) -> bool {
    let number = |id: &[u8]| std::str::from_utf8(id).ok()?.parse::<u64>().ok();
    match (number(id), number(last_id)) {
        (Some(id), Some(last_id)) => id > last_id,
        _ => id != last_id,
    }
}
