//! One send of a request whose answer is awaited, at an endpoint or over another VM.
//!
//! Invariant: dropping it cancels it. Its connection is closed unless the answer was whole, and its load is
//! released.

use crate::endpoints::endpoint_pool::{EndpointConnection, ExchangeError};
use crate::endpoints::observed_stream::ConnectionEnd;
use crate::forward::forward_client::PeerSend;
use crate::memory::MemoryLimiter;
use crate::requests::event_reader::{EventError, EventReader};
use crate::requests::flight::SendFlight;
use crate::requests::held_answer::HeldAnswer;
use crate::requests::outgoing_body::BodyProgress;
use crate::requests::own_answer::AnswerBody;
use crate::requests::relay::answer_with;
use crate::{PlacementChoice, VmKey};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response;
use spanfold_entity::Moment;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, ready};

/// The result of an exchange with an endpoint or another VM: the answer's head.
pub(crate) type ExchangeResult = Result<(Response<Incoming>, EndpointConnection), ExchangeError>;
/// An exchange under way.
pub(crate) type ExchangeFuture = Pin<Box<dyn Future<Output = ExchangeResult> + Send>>;

/// Where a send went.
pub(crate) enum SendRoute {
    /// To an endpoint, as it was chosen.
    Endpoint { flight: SendFlight, choice: Arc<PlacementChoice> },
    /// To another VM, which sends it to an endpoint.
    Peer(PeerSend),
}

/// An answer that ended with its connection, without a length or chunks that tell its end from a crash.
pub(crate) enum UnframedEnd {
    /// The end of a stream.
    Events,
    /// A plain answer, or its beginning.
    Body(AnswerStart),
}

/// Whether the endpoint of an unframed answer is still there after its end.
type EndCheck = Pin<Box<dyn Future<Output = bool> + Send>>;

/// How far the answer of a send has arrived.
enum AnswerStage {
    Head(ExchangeFuture),
    Body { head: Box<response::Parts>, body: Incoming, prefix: BytesMut },
    Events { head: Box<response::Parts>, reader: EventReader<Incoming> },
}

/// What a send yields next.
pub(crate) enum SendStep {
    /// The answer's head, or why there is none.
    Head(ExchangeResult),
    /// A plain answer, or its beginning.
    Body(Result<AnswerStart, hyper::Error>),
    /// The next events of a stream; none at its end.
    Events(Result<Option<Bytes>, EventError>),
    /// An unframed answer has ended, and whether its endpoint is still there.
    Checked(UnframedEnd, bool),
}

/// The part of a plain answer that was read.
pub(crate) enum AnswerStart {
    Whole(Bytes),
    /// The beginning of the body, because the body exceeds the buffer limit.
    Long(Bytes),
}

/// A send whose answer is awaited.
pub(crate) struct OpenSend {
    pub route: SendRoute,
    stage: AnswerStage,
    /// Progress of the request's body; none if the connection takes it at once.
    upload: Option<BodyProgress>,
    /// Bytes of the request that were left, and bytes of the answer that were read, at the last check.
    seen: (usize, usize),
    /// Bytes of its answer that are read and not passed on.
    held: HeldAnswer,
    /// Whether it is recorded as silent.
    pub is_silent: bool,
    /// The end of an unframed answer, while its endpoint is probed.
    end_check: Option<(UnframedEnd, EndCheck)>,
    /// Whether it asks for the rest of a stream, and has brought none of it.
    pub is_resuming: bool,
    pub sent_at: Moment,
}

impl OpenSend {
    /// Creates a send whose request is on its way. `upload` is the progress of a long body.
    pub(crate) fn new(
        route: SendRoute,
        exchange: ExchangeFuture,
        upload: Option<BodyProgress>,
        is_resuming: bool,
        sent_at: Moment,
        memory: &MemoryLimiter,
    ) -> Self {
        let seen = (upload.as_ref().map_or(0, BodyProgress::remaining), 0);
        let stage = AnswerStage::Head(exchange);
        let held = HeldAnswer::new(memory);
        Self { route, stage, upload, seen, held, is_silent: false, end_check: None, is_resuming, sent_at }
    }

    /// Polls for the next step. Nothing is lost if it is not polled to its end.
    pub(crate) fn poll_step(&mut self, context: &mut Context<'_>) -> Poll<SendStep> {
        if let Some((_, check)) = &mut self.end_check {
            let is_alive = ready!(check.as_mut().poll(context));
            if let Some((end, _)) = self.end_check.take() {
                return Poll::Ready(SendStep::Checked(end, is_alive));
            }
        }
        match &mut self.stage {
            AnswerStage::Head(exchange) => exchange.as_mut().poll(context).map(SendStep::Head),
            AnswerStage::Body { head, body, prefix } => {
                let max_bytes = self.held.max_whole_bytes();
                // What will be read is counted before it is read.
                let expected_bytes = content_length(head).unwrap_or(0).min(max_bytes);
                if self.held.is_evicted(expected_bytes.max(prefix.capacity())) {
                    let start = AnswerStart::Long(std::mem::take(prefix).freeze());
                    return Poll::Ready(SendStep::Body(Ok(start)));
                }
                let step = pin!(read_answer(body, prefix, max_bytes)).poll(context);
                // The buffer grows by doubling.
                if step.is_pending() && self.held.is_evicted(expected_bytes.max(prefix.capacity())) {
                    // Memory is short: what has arrived is passed on, within the bound of its caller.
                    let start = AnswerStart::Long(std::mem::take(prefix).freeze());
                    return Poll::Ready(SendStep::Body(Ok(start)));
                }
                step.map(SendStep::Body)
            }
            AnswerStage::Events { reader, .. } => {
                let step = pin!(reader.next()).poll(context);
                if self.held.is_evicted(reader.buffered_bytes()) && step.is_pending() {
                    return Poll::Ready(SendStep::Events(Err(EventError::NoMemory)));
                }
                step.map(SendStep::Events)
            }
        }
    }

    /// Whether the end of its answer may be its endpoint's crash: the answer has neither a length nor chunks.
    pub(crate) fn is_unframed(&self) -> bool {
        let is_framed = |head: &response::Parts| {
            head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING)
        };
        self.peer().is_none() && self.head().is_some_and(|head| !is_framed(head))
    }

    /// Waits for `check` before the answer's `end` is passed on.
    pub(crate) fn check_end(&mut self, end: UnframedEnd, check: EndCheck) {
        self.end_check = Some((end, check));
    }

    /// Goes on to read a plain answer.
    pub(crate) fn read_body(&mut self, head: response::Parts, body: Incoming) {
        self.stage = AnswerStage::Body { head: Box::new(head), body, prefix: BytesMut::new() };
    }

    /// Goes on to read a stream, from the event after `last_id`.
    pub(crate) fn read_events(&mut self, head: response::Parts, body: Incoming, last_id: Option<Bytes>) {
        let reader = match last_id {
            Some(last_id) => EventReader::after(body, last_id),
            None => EventReader::new(body),
        };
        self.stage = AnswerStage::Events { head: Box::new(head), reader };
    }

    /// Whether it waits for the answer's head.
    pub(crate) const fn awaits_head(&self) -> bool {
        matches!(self.stage, AnswerStage::Head(_))
    }

    /// Returns the answer's head, once that was received.
    pub(crate) fn head(&self) -> Option<&response::Parts> {
        match &self.stage {
            AnswerStage::Head(_) => None,
            AnswerStage::Body { head, .. } | AnswerStage::Events { head, .. } => Some(head),
        }
    }

    /// Returns the id of the last whole event.
    pub(crate) fn last_id(&self) -> Option<&Bytes> {
        match &self.stage {
            AnswerStage::Events { reader, .. } => reader.last_id(),
            AnswerStage::Head(_) | AnswerStage::Body { .. } => None,
        }
    }

    /// Whether it has brought events of a stream.
    pub(crate) const fn has_brought_events(&self) -> bool {
        match &self.stage {
            AnswerStage::Events { reader, .. } => reader.has_returned_events(),
            AnswerStage::Head(_) | AnswerStage::Body { .. } => false,
        }
    }

    /// Whether the events that it brought last include a new one.
    pub(crate) const fn has_brought_progress(&self) -> bool {
        match &self.stage {
            AnswerStage::Events { reader, .. } => reader.has_progressed(),
            AnswerStage::Head(_) | AnswerStage::Body { .. } => false,
        }
    }

    /// Whether an endpoint answers it, rather than another VM itself.
    pub(crate) fn is_answered(&self) -> bool {
        match &self.route {
            SendRoute::Endpoint { .. } => true,
            SendRoute::Peer(send) => send.is_answered(),
        }
    }

    /// Returns the VM that it went to, if it went to one.
    pub(crate) const fn peer(&self) -> Option<VmKey> {
        match &self.route {
            SendRoute::Endpoint { .. } => None,
            SendRoute::Peer(send) => Some(send.place.peer.vm),
        }
    }

    /// Returns the endpoint's id, or the VM's name.
    pub(crate) fn target(&self) -> &str {
        match &self.route {
            SendRoute::Endpoint { flight, .. } => &flight.endpoint,
            SendRoute::Peer(send) => &send.place.peer.name,
        }
    }

    /// Returns the software version of its endpoint; empty if another VM chose that.
    pub(crate) fn software(&self) -> &str {
        match &self.route {
            SendRoute::Endpoint { flight, .. } => &flight.software,
            SendRoute::Peer(_) => "",
        }
    }

    /// Whether more of a long request was accepted, or more of the answer has arrived, since the last call.
    pub(crate) fn has_progressed(&mut self) -> bool {
        let remaining = self.upload.as_ref().map_or(0, BodyProgress::remaining);
        let received = match &self.stage {
            AnswerStage::Body { prefix, .. } => prefix.len(),
            AnswerStage::Head(_) | AnswerStage::Events { .. } => 0,
        };
        std::mem::replace(&mut self.seen, (remaining, received)) != (remaining, received)
    }

    /// Returns how the connection ended, as the operating system reported it.
    pub(crate) fn connection_end(&self) -> Option<ConnectionEnd> {
        match &self.route {
            SendRoute::Endpoint { flight, .. } => flight.connection_end(),
            SendRoute::Peer(send) => send.connection.as_ref().and_then(EndpointConnection::end),
        }
    }

    /// Returns the connection to its pool: the answer was whole.
    pub(crate) fn complete(&mut self) {
        match &mut self.route {
            SendRoute::Endpoint { flight, .. } => flight.complete(),
            SendRoute::Peer(send) => send.complete(),
        }
    }

    /// Builds the caller's response with `body`, from the head of the answer, which was received.
    pub(crate) fn response(&self, body: AnswerBody) -> Response<AnswerBody> {
        match self.head() {
            Some(head) => answer_with(head, body),
            None => Response::new(body),
        }
    }

    /// Returns the rest of a plain answer's body.
    pub(crate) const fn body_mut(&mut self) -> Option<&mut Incoming> {
        match &mut self.stage {
            AnswerStage::Body { body, .. } => Some(body),
            AnswerStage::Head(_) | AnswerStage::Events { .. } => None,
        }
    }

    /// Returns the head of its answer; none if it was not received.
    pub(crate) fn into_head(self) -> Option<Box<response::Parts>> {
        match self.stage {
            AnswerStage::Head(_) => None,
            AnswerStage::Body { head, .. } | AnswerStage::Events { head, .. } => Some(head),
        }
    }
}

/// Reads an answer's body after `prefix`, or the beginning of a long one.
fn content_length(head: &response::Parts) -> Option<usize> {
    head.headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

async fn read_answer(
    body: &mut Incoming,
    prefix: &mut BytesMut,
    max_bytes: usize,
) -> Result<AnswerStart, hyper::Error> {
    while let Some(frame) = body.frame().await {
        if let Ok(chunk) = frame?.into_data() {
            prefix.extend_from_slice(&chunk);
        }
        if prefix.len() > max_bytes {
            return Ok(AnswerStart::Long(std::mem::take(prefix).freeze()));
        }
    }
    Ok(AnswerStart::Whole(std::mem::take(prefix).freeze()))
}
