//! Forwards an answer that is too long to be buffered here whole.
//!
//! Invariant: its beginning is sent before its end is known, so the request is not repeated. An answer that
//! breaks is visibly aborted: it never looks complete.

use crate::SendOutcome;
use crate::clock::DeadlinePassed;
use crate::endpoints::observed_stream::cause_text;
use crate::memory::{ChunkFault, ChunkSender, chunk_channel};
use crate::requests::answer_record::UnansweredCause;
use crate::requests::dispatch::ReceivedHead;
use crate::requests::flight::SendFlight;
use crate::requests::own_answer::{AnswerBody, BrokenAnswer};
use crate::requests::relay::answer_with;
use crate::requests::request_run::RequestRun;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use std::sync::Arc;

/// Answers with the `prefix` bytes and forwards the others from a task of its own.
pub(crate) async fn forward_long(
    mut run: RequestRun,
    received: ReceivedHead,
    prefix: Bytes,
) -> Response<AnswerBody> {
    let ReceivedHead { head, body, mut flight } = received;
    flight.record_answer_start();
    run.record_first_event();
    run.set_status(head.status.as_u16());
    run.set_outcome("broken off");
    let (chunks, stream) = chunk_channel(run.gateway.memory.reserve());
    // The channel is empty and its receiver exists: only lack of memory fails it, and the next send, too.
    let _ = chunks.send(prefix).await;
    let mut response = answer_with(&head, StreamBody::new(stream).boxed_unsync());
    if let Some(length) = head.headers.get(CONTENT_LENGTH) {
        response.headers_mut().insert(CONTENT_LENGTH, length.clone());
    }
    tokio::spawn(LongForwarder { run, flight, body, chunks }.forward());
    response
}

struct LongForwarder {
    run: RequestRun,
    flight: SendFlight,
    body: Incoming,
    chunks: ChunkSender,
}

impl LongForwarder {
    async fn forward(mut self) {
        let (gateway, deadline) = (Arc::clone(&self.run.gateway), self.run.context.deadline);
        let broken = match gateway.complete_before(deadline, self.forward_body()).await {
            Ok(Ok(outcome)) => return self.run.set_outcome(outcome),
            Ok(Err(broken)) => broken,
            Err(DeadlinePassed) => {
                self.run.set_outcome("answer out of time");
                self.run.resources.answer.record_cause(UnansweredCause::OutOfTime);
                BrokenAnswer("no end in time".to_owned())
            }
        };
        self.flight.abort();
        self.chunks.abort(broken).await;
    }

    /// Forwards the remaining body; returns the request's outcome.
    async fn forward_body(&mut self) -> Result<&'static str, BrokenAnswer> {
        loop {
            let next = tokio::select! {
                biased;
                next = self.body.frame() => next,
                () = self.chunks.closed() => return Ok("caller left"),
            };
            match next {
                None => break,
                Some(Ok(frame)) => {
                    let Ok(chunk) = frame.into_data() else { continue };
                    match self.chunks.send(chunk).await {
                        Ok(()) => {}
                        Err(ChunkFault::CallerLeft) => return Ok("caller left"),
                        Err(ChunkFault::NoMemory) => {
                            self.run.end_for_memory();
                            return Err(BrokenAnswer("no memory for what waits".to_owned()));
                        }
                    }
                }
                Some(Err(error)) => {
                    self.flight.record_outcome(SendOutcome::Broken);
                    self.run.record_broken(&self.flight);
                    let end = self.flight.connection_end();
                    self.run.resources.answer.record_cause(UnansweredCause::of_broken(end));
                    log::warn!(request = self.run.context.id_text(), endpoint = self.flight.endpoint.as_str(),
                        cause = cause_text(&error, end).as_str(),
                        ended_by = end.map_or("", |end| end.side.name()); "answer.broke");
                    return Err(BrokenAnswer(error.to_string()));
                }
            }
        }
        self.chunks.finish();
        self.flight.record_outcome(SendOutcome::Answered);
        self.flight.complete();
        self.run.record_answered();
        Ok("answered")
    }
}
