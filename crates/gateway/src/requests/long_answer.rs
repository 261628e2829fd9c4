//! Passes on an answer that is too long to be kept here whole.
//!
//! Invariant: its beginning is out before its end is known, so it is not asked for again. One that
//! breaks is broken off visibly: it never looks complete.

use crate::SendOutcome;
use crate::clock::TimeIsUp;
use crate::memory::{PieceFault, PieceSender, piece_channel};
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

/// Answers with what has `begun`, and passes the rest on from a task of its own.
pub(crate) async fn pass_on_long(
    mut run: RequestRun,
    received: ReceivedHead,
    begun: Bytes,
) -> Response<AnswerBody> {
    let ReceivedHead { head, body, mut flight } = received;
    flight.begin();
    run.note_first();
    run.set_status(head.status.as_u16());
    run.end("broken off");
    let (pieces, waiting) = piece_channel(run.gateway.memory.begin());
    // The channel is empty and its receiver stands: this fails only for want of memory, as the next one will.
    let _ = pieces.send(begun).await;
    let mut response = answer_with(&head, StreamBody::new(waiting).boxed_unsync());
    if let Some(length) = head.headers.get(CONTENT_LENGTH) {
        response.headers_mut().insert(CONTENT_LENGTH, length.clone());
    }
    tokio::spawn(LongPump { run, flight, body, pieces }.pass_on());
    response
}

struct LongPump {
    run: RequestRun,
    flight: SendFlight,
    body: Incoming,
    pieces: PieceSender,
}

impl LongPump {
    async fn pass_on(mut self) {
        let (gateway, limit) = (Arc::clone(&self.run.gateway), self.run.ticket.limit);
        let broken = match gateway.within(limit, self.pass_rest()).await {
            Ok(Ok(outcome)) => return self.run.end(outcome),
            Ok(Err(broken)) => broken,
            Err(TimeIsUp) => {
                self.run.end("answer out of time");
                BrokenAnswer("no end in time".to_owned())
            }
        };
        self.flight.cut();
        self.pieces.break_off(broken).await;
    }

    /// Passes on what follows; tells how the request ended.
    async fn pass_rest(&mut self) -> Result<&'static str, BrokenAnswer> {
        loop {
            let next = tokio::select! {
                biased;
                next = self.body.frame() => next,
                () = self.pieces.closed() => return Ok("caller left"),
            };
            match next {
                None => break,
                Some(Ok(frame)) => {
                    let Ok(piece) = frame.into_data() else { continue };
                    match self.pieces.send(piece).await {
                        Ok(()) => {}
                        Err(PieceFault::CallerLeft) => return Ok("caller left"),
                        Err(PieceFault::NoMemory) => {
                            self.run.end_for_memory();
                            return Err(BrokenAnswer("no memory for what waits".to_owned()));
                        }
                    }
                }
                Some(Err(error)) => {
                    self.flight.learn(SendOutcome::Broken);
                    self.run.note_broken(&self.flight);
                    log::warn!(request = self.run.ticket.id_text(), endpoint = self.flight.endpoint.as_str(),
                        cause:% = error; "answer.broke");
                    return Err(BrokenAnswer(error.to_string()));
                }
            }
        }
        self.flight.learn(SendOutcome::Answered);
        self.flight.complete();
        self.run.record_answered();
        Ok("answered")
    }
}
