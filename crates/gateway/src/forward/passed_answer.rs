//! Passes another VM's answer on to the caller.
//!
//! Invariant: the caller receives the other VM's status, head and bytes. An answer that breaks off after its
//! beginning was sent is visibly aborted, or resumed over a third VM where the route allows it.

use super::forward_client::{ForwardResult, MAX_PEERS, PeerAnswer};
use super::forward_message::AnswerKind;
use super::forward_state::ForwardPlace;
use crate::clock::DeadlinePassed;
use crate::endpoints::endpoint_pool::EndpointConnection;
use crate::memory::{ChunkFault, ChunkSender, chunk_channel};
use crate::requests::event_reader::{EventError, EventReader};
use crate::requests::own_answer::{AnswerBody, BrokenAnswer};
use crate::requests::relay::{AnswerStart, FailedAnswer, answer_with, read_answer};
use crate::requests::request_run::RequestRun;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use spanfold_entity::MICROS_PER_MILLI;
use std::sync::Arc;

/// Retry delay of a request that another VM did not run, if its first send may have run; a random delay is
/// added.
const REFUSED_RETRY_MILLIS: u64 = 100;

/// Answers the caller with another VM's answer.
pub(super) async fn pass_answer(
    mut run: RequestRun,
    answer: PeerAnswer,
) -> Result<Response<AnswerBody>, FailedAnswer> {
    if answer.kind == AnswerKind::NotRun && run.may_have_run {
        return Ok(run.refuse_unless_run("refused by another VM", REFUSED_RETRY_MILLIS));
    }
    if answer.kind == AnswerKind::Answered && run.context.is_stream() && answer.head.status.is_success() {
        return pass_stream(run, answer).await;
    }
    let PeerAnswer { kind, head, mut body, connection, place, .. } = answer;
    let gateway = Arc::clone(&run.gateway);
    let bytes = match gateway.complete_before(run.context.deadline, read_answer(&mut body)).await {
        Ok(Ok(AnswerStart::Whole(bytes))) => bytes,
        Ok(Ok(AnswerStart::Long(prefix))) => {
            let mut response =
                begin(run, &head, AnswerPieces::Bytes(body), (connection, place), prefix).await;
            if let Some(length) = head.headers.get(CONTENT_LENGTH) {
                response.headers_mut().insert(CONTENT_LENGTH, length.clone());
            }
            return Ok(response);
        }
        Ok(Err(error)) => {
            log::warn!(request = run.context.id_text(), peer = place.peer.name.as_str(), cause:% = error;
                "peer.broke");
            return Err(FailedAnswer { run, cause: "the VM's answer broke off" });
        }
        Err(DeadlinePassed) => return Err(FailedAnswer { run, cause: "the VM's answer did not end" }),
    };
    gateway.forwards.pool.return_connection(place.pool_key(), connection, None);
    run.record_first_event();
    let response = run.forward_answer(&head, bytes);
    run.set_outcome(match kind {
        AnswerKind::Answered => "answered",
        AnswerKind::NotTaken | AnswerKind::NotRun => "refused by another VM",
        AnswerKind::Own => "failed at another VM",
    });
    Ok(response)
}

/// Answers with a stream's first event, and passes the others on from a task of its own.
async fn pass_stream(mut run: RequestRun, answer: PeerAnswer) -> Result<Response<AnswerBody>, FailedAnswer> {
    let PeerAnswer { head, body, connection, place, origin, .. } = answer;
    let mut reader = EventReader::new(body);
    let first = match run.gateway.complete_before(run.context.deadline, reader.next()).await {
        Ok(Ok(first)) => first,
        Ok(Err(error)) => {
            log::warn!(request = run.context.id_text(), peer = place.peer.name.as_str(), cause:% = error;
                "stream.broke");
            return Err(FailedAnswer { run, cause: "the VM's stream broke" });
        }
        Err(DeadlinePassed) => return Err(FailedAnswer { run, cause: "no first event" }),
    };
    if first.is_some() {
        run.record_stream(origin).await;
    }
    // After its end, the reader returns no events again.
    let first = first.unwrap_or_default();
    Ok(begin(run, &head, AnswerPieces::Events(reader), (connection, place), first).await)
}

/// Answers with the beginning of an answer, and starts the task that passes on the rest.
async fn begin(
    mut run: RequestRun,
    head: &hyper::http::response::Parts,
    pieces: AnswerPieces,
    (connection, place): (EndpointConnection, ForwardPlace),
    first: Bytes,
) -> Response<AnswerBody> {
    run.record_sent();
    run.record_first_event();
    run.set_status(head.status.as_u16());
    run.set_outcome("broken off");
    let (chunks, stream) = chunk_channel(run.gateway.memory.reserve());
    if !first.is_empty() {
        // The channel is empty and its receiver exists: only lack of memory fails it, and the next send, too.
        let _ = chunks.send(first).await;
    }
    let forwarder = AnswerForwarder { run, pieces, connection: Some(connection), place, chunks };
    tokio::spawn(forwarder.forward());
    answer_with(head, StreamBody::new(stream).boxed_unsync())
}

/// The rest of another VM's answer.
enum AnswerPieces {
    /// Whole events of a stream.
    Events(EventReader<Incoming>),
    /// Bytes of a long answer.
    Bytes(Incoming),
}

impl AnswerPieces {
    /// Returns the next piece; none at the answer's end.
    async fn next(&mut self) -> Result<Option<Bytes>, String> {
        match self {
            Self::Events(reader) => reader.next().await.map_err(|error: EventError| error.to_string()),
            Self::Bytes(body) => loop {
                match body.frame().await {
                    None => return Ok(None),
                    Some(Err(error)) => return Err(error.to_string()),
                    Some(Ok(frame)) => {
                        if let Ok(bytes) = frame.into_data() {
                            return Ok(Some(bytes));
                        }
                    }
                }
            },
        }
    }
}

struct AnswerForwarder {
    run: RequestRun,
    pieces: AnswerPieces,
    connection: Option<EndpointConnection>,
    place: ForwardPlace,
    chunks: ChunkSender,
}

/// Why an answer ended early.
enum AnswerFault {
    CallerLeft,
    NoMemory,
    OutOfTime,
    Broke(String),
}

impl AnswerForwarder {
    async fn forward(mut self) {
        loop {
            match self.step().await {
                Ok(true) => {}
                Ok(false) => break,
                Err(AnswerFault::Broke(cause)) => {
                    log::warn!(request = self.run.context.id_text(), peer = self.place.peer.name.as_str(),
                        cause = cause.as_str(); "peer.broke");
                    self.run.gateway.metrics.forwards.count("lost");
                    if !self.resume().await {
                        return self.chunks.abort(BrokenAnswer(cause)).await;
                    }
                }
                Err(AnswerFault::CallerLeft) => return self.run.set_outcome("caller left"),
                Err(AnswerFault::NoMemory) => {
                    self.run.end_for_memory();
                    return self.chunks.abort(BrokenAnswer("no memory for what waits".to_owned())).await;
                }
                Err(AnswerFault::OutOfTime) => {
                    self.run.set_outcome("answer out of time");
                    self.connection = None;
                    return self.chunks.abort(BrokenAnswer("no end in time".to_owned())).await;
                }
            }
        }
        self.chunks.finish();
        if let Some(connection) = self.connection.take() {
            self.run.gateway.forwards.pool.return_connection(self.place.pool_key(), connection, None);
        }
        self.run.set_outcome("answered");
    }

    /// Passes the next piece on; false at the answer's end.
    async fn step(&mut self) -> Result<bool, AnswerFault> {
        let deadline = self.run.context.deadline;
        let (gateway, vm) = (&self.run.gateway, self.place.peer.vm);
        let next = tokio::select! {
            biased;
            next = self.pieces.next() => next.map_err(AnswerFault::Broke)?,
            () = self.chunks.closed() => return Err(AnswerFault::CallerLeft),
            () = gateway.wait_until_silent(vm), if self.run.context.route.resumable => {
                return Err(AnswerFault::Broke("it sends no digests".to_owned()));
            }
            () = gateway.wait_until(deadline) => return Err(AnswerFault::OutOfTime),
        };
        let Some(piece) = next else { return Ok(false) };
        tokio::select! {
            biased;
            sent = self.chunks.send(piece) => sent.map(|()| true).map_err(|fault| match fault {
                ChunkFault::CallerLeft => AnswerFault::CallerLeft,
                ChunkFault::NoMemory => AnswerFault::NoMemory,
            }),
            () = self.run.gateway.wait_until(deadline) => Err(AnswerFault::OutOfTime),
        }
    }

    /// Resumes a stream over another VM after its last whole event.
    async fn resume(&mut self) -> bool {
        let AnswerPieces::Events(reader) = &self.pieces else { return false };
        let last_id = reader.last_id().cloned();
        // The first engine must not run beside the second.
        self.connection = None;
        let Some((answer, pieces)) = resume_over_peer(&mut self.run, last_id, &self.chunks).await else {
            return false;
        };
        self.pieces = pieces;
        (self.connection, self.place) = (Some(answer.0), answer.1);
        true
    }
}

/// Passes on the rest of a stream whose engine this VM no longer reaches, or aborts it because of `cause`.
pub(crate) async fn resume_stream(
    mut run: RequestRun,
    last_id: Option<Bytes>,
    chunks: ChunkSender,
    cause: &str,
) {
    match resume_over_peer(&mut run, last_id, &chunks).await {
        Some(((connection, place), pieces)) => {
            AnswerForwarder { run, pieces, connection: Some(connection), place, chunks }.forward().await;
        }
        None => chunks.abort(BrokenAnswer(cause.to_owned())).await,
    }
}

/// Requests the rest of a stream over another VM; none if it cannot be resumed.
async fn resume_over_peer(
    run: &mut RequestRun,
    last_id: Option<Bytes>,
    chunks: &ChunkSender,
) -> Option<((EndpointConnection, ForwardPlace), AnswerPieces)> {
    let last_id = last_id?;
    if !run.context.route.resumable || !run.may_resume() || !run.may_send_again() {
        return None;
    }
    let gateway = Arc::clone(&run.gateway);
    let started_at = gateway.now();
    let mut resumed = None;
    while run.plan.tried.len() < MAX_PEERS {
        let Some(place) = gateway.choose_peer(&run.plan.tried) else { break };
        let result = tokio::select! {
            result = run.send_to_peer(place, Some(&last_id)) => result,
            () = chunks.closed() => break,
        };
        match result {
            ForwardResult::NotTaken => {}
            ForwardResult::Answer(answer)
                if answer.kind == AnswerKind::Answered && answer.head.status.is_success() =>
            {
                let PeerAnswer { body, connection, place, .. } = *answer;
                run.record_sent();
                let pieces = AnswerPieces::Events(EventReader::after(body, last_id));
                resumed = Some(((connection, place), pieces));
                break;
            }
            ForwardResult::Answer(_) | ForwardResult::Lost(_) | ForwardResult::OutOfTime => break,
        }
    }
    log::info!(request = run.context.id_text(), peer = run.plan.given_to.as_str(),
        went_on = resumed.is_some(),
        took_ms = gateway.now().micros_since(started_at) / MICROS_PER_MILLI;
        "stream.resumed");
    resumed
}
