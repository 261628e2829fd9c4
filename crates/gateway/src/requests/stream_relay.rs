//! Forwards an engine's events, and resumes at another engine where the route allows it.
//!
//! Invariant: the caller receives the first engine's head and every event once and whole, in order. The
//! head is sent with the first event, so that until then another engine may still answer. A stream that
//! cannot be resumed is visibly aborted: it never looks complete.

use crate::SendOutcome;
use crate::clock::DeadlinePassed;
use crate::endpoints::answer_handler::AnswerSource;
use crate::forward::passed_answer::resume_stream;
use crate::memory::{ChunkFault, ChunkSender, chunk_channel};
use crate::requests::dispatch::{ReceivedHead, SendResult};
use crate::requests::event_reader::{EventError, EventReader};
use crate::requests::flight::SendFlight;
use crate::requests::own_answer::{AnswerBody, BrokenAnswer};
use crate::requests::relay::{FailedAnswer, answer_with};
use crate::requests::request_run::RequestRun;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response;
use spanfold_entity::{MICROS_PER_MILLI, Moment};

/// A resumable stream is resumed elsewhere after this multiple of its objective for the gap between events.
const STALL_TIMEOUT_FACTOR: u64 = 2;
/// Minimum stall timeout.
const MIN_STALL_TIMEOUT_MILLIS: u64 = 500;

/// Answers with a stream's first event, and forwards the others from a task of its own.
pub(crate) async fn forward_stream(
    mut run: RequestRun,
    head: response::Parts,
    body: Incoming,
    mut flight: SendFlight,
) -> Result<Response<AnswerBody>, FailedAnswer> {
    let mut reader = EventReader::new(body);
    let deadline = first_event_deadline(&run);
    let first = match run.gateway.complete_before(deadline, reader.next()).await {
        Ok(Ok(first)) => first,
        Ok(Err(error)) => {
            flight.record_outcome(SendOutcome::Broken);
            run.record_broken(&flight);
            log::warn!(request = run.context.id_text(), endpoint = flight.endpoint.as_str(), cause:% = error;
                "stream.broke");
            return Err(FailedAnswer { run, cause: "the stream broke" });
        }
        Err(DeadlinePassed) => {
            flight.record_outcome(SendOutcome::Silent);
            return Err(FailedAnswer { run, cause: "no first event" });
        }
    };
    flight.record_answer_start();
    flight.record_outcome(SendOutcome::Answered);
    run.record_first_event();
    run.set_status(head.status.as_u16());
    run.set_outcome("broken off");
    let (chunks, stream) = chunk_channel(run.gateway.memory.reserve());
    let has_ended = first.is_none();
    if let Some(first) = first {
        observe_weights(&run, &flight, &first);
        // The channel is empty and its receiver exists: only lack of memory fails it, and the next send, too.
        let _ = chunks.send(first).await;
    }
    let forwarder = StreamForwarder { run, flight, reader, chunks };
    tokio::spawn(forwarder.forward(has_ended));
    Ok(answer_with(&head, StreamBody::new(stream).boxed_unsync()))
}

/// Applies the version of weights that an event reports.
fn observe_weights(run: &RequestRun, flight: &SendFlight, events: &[u8]) {
    let reported = (run.gateway.dialect.decoders.event_weights)(events);
    if let (Some(model), Some(version)) = (&run.context.model, reported) {
        let source =
            AnswerSource { key: flight.key, request: run.context.id_text(), sent_at: flight.sent_at };
        run.gateway.observe_weights(&source, model, version);
    }
}

fn first_event_deadline(run: &RequestRun) -> Moment {
    let context = &run.context;
    if !context.route.repeatable() || run.sends >= context.route.attempts {
        return context.deadline;
    }
    let expected = run.choice.as_ref().map_or(0, |choice| choice.expected_micros);
    let timeout_millis = (context.route.objective_millis * 2).max(MIN_STALL_TIMEOUT_MILLIS);
    run.gateway.now().after_millis(timeout_millis).after_micros(expected).min(context.deadline)
}

struct StreamForwarder {
    run: RequestRun,
    flight: SendFlight,
    reader: EventReader<Incoming>,
    chunks: ChunkSender,
}

/// What the next step of a stream yielded.
enum StreamStep {
    Events(Bytes),
    End,
    /// The connection broke.
    Broke(String),
    Stalled,
    CallerLeft,
    TimeUp,
}

impl StreamForwarder {
    async fn forward(mut self, has_ended: bool) {
        let mut has_ended = has_ended;
        while !has_ended {
            match self.step().await {
                StreamStep::Events(events) => {
                    observe_weights(&self.run, &self.flight, &events);
                    match self.chunks.send(events).await {
                        Ok(()) => {}
                        Err(ChunkFault::CallerLeft) => {
                            self.run.set_outcome("caller left");
                            return;
                        }
                        Err(ChunkFault::NoMemory) => {
                            self.run.end_for_memory();
                            self.abort("no memory for what waits").await;
                            return;
                        }
                    }
                }
                StreamStep::End => has_ended = true,
                StreamStep::CallerLeft => {
                    self.run.set_outcome("caller left");
                    return;
                }
                StreamStep::TimeUp => {
                    self.run.set_outcome("stream out of time");
                    self.abort("no end in time").await;
                    return;
                }
                StreamStep::Broke(cause) => {
                    self.run.record_broken(&self.flight);
                    if self.run.goes_to_peer() {
                        return self.resume_over_peer(&cause).await;
                    }
                    if !self.resume_or_abort(&cause).await {
                        return;
                    }
                }
                StreamStep::Stalled => {
                    if self.run.goes_to_peer() {
                        return self.resume_over_peer("it stalled").await;
                    }
                    if !self.resume_or_abort("it stalled").await {
                        return;
                    }
                }
            }
        }
        self.chunks.finish();
        self.flight.complete();
        self.run.record_answered();
        self.run.set_outcome("answered");
    }

    /// Resumes over another VM, because this one reaches no engine, or aborts the answer.
    async fn resume_over_peer(self, cause: &str) {
        log::warn!(request = self.run.context.id_text(), endpoint = self.flight.endpoint.as_str(), cause;
            "stream.broke");
        let Self { run, flight, reader, chunks } = self;
        // The first engine must not run beside the second.
        drop(flight);
        resume_stream(run, reader.last_id().cloned(), chunks, cause).await;
    }

    /// Resumes elsewhere after a failure, or aborts the answer; returns whether it resumed.
    async fn resume_or_abort(&mut self, cause: &str) -> bool {
        self.flight.record_outcome(SendOutcome::Broken);
        log::warn!(request = self.run.context.id_text(), endpoint = self.flight.endpoint.as_str(), cause;
            "stream.broke");
        let is_resumed = self.resume().await;
        if !is_resumed {
            self.abort(cause).await;
        }
        is_resumed
    }

    async fn step(&mut self) -> StreamStep {
        let deadline = self.run.context.deadline;
        let stall_deadline = self.stall_deadline();
        tokio::select! {
            biased;
            next = self.reader.next() => match next {
                Ok(Some(events)) => StreamStep::Events(events),
                Ok(None) => StreamStep::End,
                Err(EventError::Partial) => StreamStep::Broke("it ended within an event".to_owned()),
                Err(error) => StreamStep::Broke(error.to_string()),
            },
            () = self.chunks.closed() => StreamStep::CallerLeft,
            () = self.run.gateway.wait_until(stall_deadline.min(deadline)) => {
                if stall_deadline < deadline { StreamStep::Stalled } else { StreamStep::TimeUp }
            }
        }
    }

    /// Returns when a stream counts as stalled; never if no other engine may resume it.
    fn stall_deadline(&self) -> Moment {
        let route = &self.run.context.route;
        if !route.resumable || self.run.sends >= route.attempts {
            return Moment::NEVER;
        }
        let timeout_millis = (route.gap_millis * STALL_TIMEOUT_FACTOR).max(MIN_STALL_TIMEOUT_MILLIS);
        self.run.gateway.now().after_millis(timeout_millis)
    }

    /// Resumes at another engine after the last whole event.
    async fn resume(&mut self) -> bool {
        let Some(last_id) = self.reader.last_id().cloned() else { return false };
        if !self.run.context.route.resumable || !self.run.may_send_again() {
            return false;
        }
        // The first engine must not run beside the second.
        self.flight.abort();
        let started_at = self.run.gateway.now();
        let result = tokio::select! {
            result = self.run.send_once(Some(&last_id)) => result,
            () = self.chunks.closed() => None,
        };
        let is_resumed = match result {
            Some(SendResult::Answer(received)) if received.head.status.is_success() => {
                let ReceivedHead { body, mut flight, .. } = *received;
                flight.record_answer_start();
                self.flight = flight;
                self.reader = EventReader::after(body, last_id);
                true
            }
            Some(SendResult::Answer(received)) => {
                log::warn!(request = self.run.context.id_text(), endpoint = self.run.endpoint.as_str(),
                    status = received.head.status.as_u16(); "resume.refused");
                false
            }
            Some(
                SendResult::NotSent
                | SendResult::Replaced
                | SendResult::Refused
                | SendResult::Lost(_)
                | SendResult::Late(_)
                | SendResult::Limited(_)
                | SendResult::Quarantined
                | SendResult::OutOfTime,
            )
            | None => false,
        };
        let elapsed_micros = self.run.gateway.now().micros_since(started_at);
        log::info!(request = self.run.context.id_text(), endpoint = self.run.endpoint.as_str(),
            went_on = is_resumed, took_ms = elapsed_micros / MICROS_PER_MILLI; "stream.resumed");
        is_resumed
    }

    async fn abort(&mut self, cause: &str) {
        self.chunks.abort(BrokenAnswer(cause.to_owned())).await;
    }
}
