//! Forwards an answer that is too long to be buffered here whole.
//!
//! Invariant: its beginning is sent before its end is known, so the request is not repeated. An answer that
//! breaks is visibly aborted: it never looks complete.

use crate::clock::DeadlinePassed;
use crate::endpoints::observed_stream::cause_text;
use crate::memory::{ChunkFault, ChunkSender, chunk_channel};
use crate::requests::answer_record::UnansweredCause;
use crate::requests::open_send::{OpenSend, SendRoute};
use crate::requests::own_answer::{AnswerBody, BrokenAnswer};
use crate::requests::request_run::RequestRun;
use crate::{SendOutcome, StopSchedule};
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use std::sync::Arc;

/// Memory of the connection to an endpoint while a long answer waits for its caller: the read buffer, and what has
/// arrived unread.
const ENDPOINT_BUFFER_BYTES: usize = 96 << 10;

/// Answers with the `prefix` bytes and forwards the others from a task of its own.
pub(crate) async fn forward_long(mut run: RequestRun, send: OpenSend, prefix: Bytes) -> Response<AnswerBody> {
    run.record_first_event();
    let reservation = run.gateway.memory.reserve_for(&run.resources.disconnect);
    reservation.grow_request(ENDPOINT_BUFFER_BYTES);
    let (chunks, stream) = chunk_channel(reservation);
    // The channel is empty and its receiver exists: only lack of memory fails it, and the next send, too.
    if !prefix.is_empty() {
        let _ = chunks.send(prefix).await;
    }
    let mut response = send.response(StreamBody::new(stream).boxed_unsync());
    if let Some(length) = send.head().and_then(|head| head.headers.get(CONTENT_LENGTH)) {
        response.headers_mut().insert(CONTENT_LENGTH, length.clone());
    }
    run.set_status(response.status().as_u16());
    run.set_outcome("broken off");
    tokio::spawn(LongForwarder { run, send, chunks }.forward());
    response
}

struct LongForwarder {
    run: RequestRun,
    send: OpenSend,
    chunks: ChunkSender,
}

impl LongForwarder {
    async fn forward(mut self) {
        let (gateway, deadline) = (Arc::clone(&self.run.gateway), self.run.context.deadline);
        let due_at = |stop: &StopSchedule| deadline.min(stop.answer_deadline());
        let broken = match gateway.complete_before_due(due_at, self.forward_body()).await {
            Ok(Ok(outcome)) => return self.run.set_outcome(outcome),
            Ok(Err(broken)) => broken,
            Err(DeadlinePassed) => {
                self.run.set_outcome("answer out of time");
                self.run.record_out_of_time();
                BrokenAnswer("no end in time".to_owned())
            }
        };
        let Self { run, send, chunks } = self;
        // The endpoint stops working while the caller still reads.
        drop(send);
        chunks.abort(broken).await;
        drop(run);
    }

    /// Forwards the remaining body; returns the request's outcome.
    async fn forward_body(&mut self) -> Result<&'static str, BrokenAnswer> {
        while let Some(body) = self.send.body_mut() {
            let next = tokio::select! {
                biased;
                next = body.frame() => next,
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
                    self.record_broken(&error);
                    return Err(BrokenAnswer(error.to_string()));
                }
            }
        }
        if self.send.is_unframed()
            && let SendRoute::Endpoint { flight, .. } = &self.send.route
            && !Arc::clone(&self.run.gateway).has_outlived_answer(flight.key).await
        {
            flight.record_outcome(SendOutcome::Broken);
            self.run.record_broken(flight);
            return Err(BrokenAnswer("its endpoint crashed".to_owned()));
        }
        self.chunks.finish();
        self.send.complete();
        self.run.record_answer_time();
        if let SendRoute::Endpoint { flight, .. } = &self.send.route {
            flight.record_outcome(SendOutcome::Answered);
            self.run.record_answered();
        }
        Ok("answered")
    }

    fn record_broken(&mut self, error: &hyper::Error) {
        let end = self.send.connection_end();
        let (cause, ended_by) = (cause_text(error, end), end.map_or("", |end| end.side.name()));
        self.run.resources.answer.record_cause(UnansweredCause::of_broken(end));
        match &self.send.route {
            SendRoute::Endpoint { flight, .. } => {
                flight.record_outcome(SendOutcome::Broken);
                self.run.record_broken(flight);
                log::warn!(request = self.run.context.id_text(), endpoint = flight.endpoint.as_str(),
                    cause = cause.as_str(), ended_by; "answer.broke");
            }
            SendRoute::Peer(peer) => {
                log::warn!(request = self.run.context.id_text(), peer = peer.place.peer.name.as_str(),
                    cause = cause.as_str(); "peer.broke");
                self.run.gateway.metrics.forwards.count("lost");
            }
        }
    }
}
