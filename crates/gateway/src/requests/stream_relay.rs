//! Forwards an engine's events, and goes on at another engine where the route allows it.
//!
//! Invariant: the caller receives the head of the engine that sent the first event, and every event once and
//! whole, in order. A stream that cannot go on is visibly aborted: it never looks complete.

use crate::endpoints::answer_handler::AnswerSource;
use crate::memory::{ChunkFault, ChunkSender, chunk_channel};
use crate::requests::answer_record::UnansweredCause;
use crate::requests::answer_wait::{AnswerFault, AnswerPart};
use crate::requests::flight::SendFlight;
use crate::requests::open_send::{OpenSend, SendRoute};
use crate::requests::open_sends::OpenSends;
use crate::requests::own_answer::{AnswerBody, BrokenAnswer};
use crate::requests::request_run::RequestRun;
use crate::{PauseTracker, SendOutcome, StreamOrigin};
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use spanfold_entity::Moment;
use std::sync::Arc;

/// Time after a stream's first event after which no crash of its endpoint is blamed on segments of its prompt.
const SURVIVAL_MILLIS: u64 = 1_000;

/// The software that began a stream, on the answer that carries its first event.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamBeginning(pub Option<StreamOrigin>);

/// Answers with a stream's first event, and forwards the others from a task of its own.
pub(crate) async fn forward_stream(
    mut run: RequestRun,
    mut open: OpenSends,
    send: OpenSend,
    first: Option<Bytes>,
) -> Response<AnswerBody> {
    let began = match &send.route {
        SendRoute::Endpoint { flight, .. } => {
            flight.record_outcome(SendOutcome::Answered);
            run.software = Some(Arc::clone(&flight.software));
            first_origin(&run, flight)
        }
        SendRoute::Peer(peer) => peer.origin,
    };
    if first.is_some() {
        run.record_stream(began).await;
    }
    let origin = run.origin;
    run.record_first_event();
    let (chunks, stream) = chunk_channel(run.gateway.memory.reserve());
    let mut response = send.response(StreamBody::new(stream).boxed_unsync());
    run.set_status(response.status().as_u16());
    run.set_outcome("broken off");
    open.push(send);
    open.record_passed();
    let has_ended = first.is_none();
    if let Some(first) = first {
        observe_weights(&run, &open, &first);
        // The channel is empty and its receiver exists: only lack of memory fails it, and the next send, too.
        let _ = chunks.send(first).await;
    }
    let survived_at = run.gateway.now().after_millis(SURVIVAL_MILLIS);
    let pauses = PauseTracker::new(run.gateway.now(), run.context.route.gap_millis);
    tokio::spawn(StreamForwarder { run, open, chunks, survived_at, pauses }.forward(has_ended));
    // A VM that forwarded the request learns it from the marked answer.
    response.extensions_mut().insert(StreamBeginning(origin));
    response
}

/// Returns the origin of a stream whose first event has arrived; none if its endpoint's version has changed
/// since the send.
fn first_origin(run: &RequestRun, flight: &SendFlight) -> Option<StreamOrigin> {
    let origin = StreamOrigin::of(&run.context.service, &flight.software, flight.key);
    run.gateway.table().confirms_origin(&origin).then_some(origin)
}

/// Applies the version of weights that an engine's event reports.
fn observe_weights(run: &RequestRun, open: &OpenSends, events: &[u8]) {
    let Some(OpenSend { route: SendRoute::Endpoint { flight, .. }, .. }) = open.newest() else { return };
    let reported = (run.gateway.dialect.decoders.event_weights)(events);
    if let (Some(model), Some(version)) = (&run.context.model, reported) {
        let source =
            AnswerSource { key: flight.key, request: run.context.id_text(), sent_at: flight.sent_at };
        run.gateway.observe_weights(&source, model, version);
    }
}

/// Forwards a stream whose caller has received the first event.
struct StreamForwarder {
    run: RequestRun,
    open: OpenSends,
    chunks: ChunkSender,
    /// When the endpoint will have gone on for long enough to be no victim of the stream.
    survived_at: Moment,
    pauses: PauseTracker,
}

impl Drop for StreamForwarder {
    fn drop(&mut self) {
        let service = &self.run.context.service;
        self.run.gateway.table().record_pauses(service, self.pauses.is_overlong());
    }
}

impl StreamForwarder {
    async fn forward(mut self, has_ended: bool) {
        let mut has_ended = has_ended;
        while !has_ended {
            let next = tokio::select! {
                biased;
                next = self.run.next_part(&mut self.open) => next,
                () = self.chunks.closed() => return self.run.set_outcome("caller left"),
            };
            match next {
                Ok(AnswerPart::Events(Some(events))) => {
                    self.open.record_passed();
                    self.pauses.record_event(self.run.gateway.now());
                    self.record_progress();
                    observe_weights(&self.run, &self.open, &events);
                    match self.chunks.send(events).await {
                        Ok(()) => {}
                        Err(ChunkFault::CallerLeft) => return self.run.set_outcome("caller left"),
                        Err(ChunkFault::NoMemory) => {
                            self.run.end_for_memory();
                            return self.abort("no memory for what waits").await;
                        }
                    }
                }
                Ok(AnswerPart::Events(None)) => has_ended = true,
                Err(AnswerFault::OutOfTime) => {
                    self.run.set_outcome("stream out of time");
                    self.run.record_out_of_time();
                    return self.abort("no end in time").await;
                }
                // A stream that has begun goes on with events only.
                Err(AnswerFault::Failed | AnswerFault::Unsent(_)) | Ok(AnswerPart::Plain(_)) => {
                    self.run.resources.answer.record_cause(UnansweredCause::of_broken(self.open.end));
                    let cause = self.open.cause.clone();
                    return self.abort(&cause).await;
                }
            }
        }
        self.chunks.finish();
        if let Some(mut send) = self.open.take_last() {
            send.complete();
            self.run.record_answer_time();
            if send.peer().is_none() {
                self.run.record_answered();
            }
        }
        self.run.set_outcome("answered");
    }

    /// Records from time to time that the endpoint goes on with the stream.
    fn record_progress(&mut self) {
        let now = self.run.gateway.now();
        if now >= self.survived_at && self.open.newest().is_some_and(|send| send.peer().is_none()) {
            self.survived_at = now.after_millis(SURVIVAL_MILLIS);
            self.run.record_survived();
        }
    }

    async fn abort(&mut self, cause: &str) {
        // No engine works on while the caller still reads.
        drop(self.open.take_last());
        self.chunks.abort(BrokenAnswer(cause.to_owned())).await;
    }
}
