//! Forwards an engine's events, and resumes at another engine where the route allows it.
//!
//! Invariant: the caller receives the first engine's head and every event once and whole, in order. The
//! head is sent with the first event, so that until then another engine may still answer. An engine that is
//! silent keeps its stream until another one has accepted it, and is then disconnected at once: a refusal,
//! a limit or silence elsewhere ends nothing. A stream that cannot be resumed is visibly aborted: it never
//! looks complete.

use crate::clock::DeadlinePassed;
use crate::endpoints::answer_handler::AnswerSource;
use crate::endpoints::observed_stream::ConnectionEnd;
use crate::forward::passed_answer::resume_stream;
use crate::memory::{ChunkFault, ChunkSender, chunk_channel};
use crate::requests::answer_record::UnansweredCause;
use crate::requests::dispatch::{ReceivedHead, SendResult};
use crate::requests::event_reader::{EventError, EventReader};
use crate::requests::flight::SendFlight;
use crate::requests::own_answer::{AnswerBody, BrokenAnswer};
use crate::requests::relay::{FailedAnswer, answer_with};
use crate::requests::request_run::{LAST_EVENT_ID, RequestRun};
use crate::{SendOutcome, StreamOrigin};
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response;
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::future::pending;
use std::pin::pin;
use std::sync::Arc;

/// A resumable stream is offered to another engine after this multiple of its objective for the gap between
/// events.
const STALL_TIMEOUT_FACTOR: u64 = 2;
/// Minimum stall timeout.
const MIN_STALL_TIMEOUT_MILLIS: u64 = 500;
/// Bound of the doublings of the delay between offers of one stalled stream.
const MAX_OFFER_DELAY_DOUBLINGS: u32 = 4;

/// Answers with a stream's first event, and forwards the others from a task of its own.
pub(crate) async fn forward_stream(
    run: RequestRun,
    received: ReceivedHead,
) -> Result<Response<AnswerBody>, FailedAnswer> {
    let ReceivedHead { head, body, flight } = received;
    let reader = match run.context.headers.get(LAST_EVENT_ID) {
        Some(id) if run.origin.is_some() => EventReader::after(body, Bytes::copy_from_slice(id.as_bytes())),
        _ => EventReader::new(body),
    };
    let silent = SilentStream { run, head, flight, reader, offers: 0 };
    let (stream, first) = silent.wait_for_first_event().await?;
    let SilentStream { mut run, head, mut flight, reader, .. } = stream;
    flight.record_answer_start();
    flight.record_outcome(SendOutcome::Answered);
    run.software = Some(Arc::clone(&flight.software));
    if first.is_some() {
        let began = first_origin(&run, &flight);
        run.record_stream(began).await;
    }
    let origin = run.origin;
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
    let forwarder = StreamForwarder { run, flight, reader, chunks, failed_offers: 0 };
    tokio::spawn(forwarder.forward(has_ended));
    let mut response = answer_with(&head, StreamBody::new(stream).boxed_unsync());
    // A VM that forwarded the request learns it from the marked answer.
    response.extensions_mut().insert(StreamBeginning(origin));
    Ok(response)
}

/// Returns the origin of a stream whose first event has arrived; none if its endpoint's version has changed
/// since the send.
fn first_origin(run: &RequestRun, flight: &SendFlight) -> Option<StreamOrigin> {
    let origin = StreamOrigin::of(&run.context.service, &flight.software, flight.key);
    run.gateway.table().confirms_origin(&origin).then_some(origin)
}

/// A stream without an event so far: its caller has received nothing.
struct SilentStream {
    run: RequestRun,
    head: response::Parts,
    flight: SendFlight,
    reader: EventReader<Incoming>,
    /// Offers to other engines.
    offers: u32,
}

impl SilentStream {
    /// Returns the first event, none at the stream's end, from the first engine that sends it.
    async fn wait_for_first_event(mut self) -> Result<(Self, Option<Bytes>), FailedAnswer> {
        loop {
            let deadline = self.first_event_deadline();
            let first = self.run.gateway.complete_before(deadline, self.reader.next()).await;
            if first.is_err() {
                self.flight.record_outcome(SendOutcome::Silent);
                if deadline >= self.run.context.deadline {
                    return Err(FailedAnswer { run: self.run, cause: "no first event" });
                }
            }
            let first = match first {
                Ok(first) => Some(first),
                Err(DeadlinePassed) => self.offer().await,
            };
            match first {
                Some(Ok(first)) => return Ok((self, first)),
                Some(Err(error)) => {
                    self.record_broken(&error);
                    return Err(FailedAnswer { run: self.run, cause: "the stream broke" });
                }
                None => {}
            }
        }
    }

    /// Offers the stream to another engine; returns what this one sent meanwhile.
    async fn offer(&mut self) -> Option<Result<Option<Bytes>, EventError>> {
        self.offers += 1;
        // If the caller leaves, the whole request is dropped.
        match offer_stream(&mut self.run, &mut self.reader, None, pending()).await {
            OfferEnd::WentOn(first) => Some(Ok(first)),
            OfferEnd::Decided { accepted: Some(received), broken } => {
                if let Some(error) = broken {
                    self.record_broken(&error);
                }
                let ReceivedHead { head, body, flight } = *received;
                (self.head, self.reader) = (head, EventReader::new(body));
                // The previous engine must not run beside it: its connection is dropped with its flight.
                self.flight = flight;
                None
            }
            OfferEnd::Decided { accepted: None, broken } => broken.map(Err),
            OfferEnd::CallerLeft => None,
        }
    }

    fn record_broken(&mut self, error: &EventError) {
        self.flight.record_outcome(SendOutcome::Broken);
        self.run.record_broken(&self.flight);
        let end = self.flight.connection_end();
        log::warn!(request = self.run.context.id_text(), endpoint = self.flight.endpoint.as_str(),
            cause = broken_text(error, end).as_str(), ended_by = end.map_or("", |end| end.side.name());
            "stream.broke");
    }

    /// Returns when the stream is offered to another engine, or its deadline if none may get it.
    fn first_event_deadline(&self) -> Moment {
        let context = &self.run.context;
        if !context.route.repeatable() || self.run.sends >= context.route.attempts {
            return context.deadline;
        }
        let expected = self.run.choice.as_ref().map_or(0, |choice| choice.expected_micros);
        let timeout_millis = (context.route.objective_millis * 2).max(MIN_STALL_TIMEOUT_MILLIS);
        let delay_millis = offer_delay_millis(timeout_millis, self.offers);
        self.run.gateway.now().after_millis(delay_millis).after_micros(expected).min(context.deadline)
    }
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

/// Returns why a stream broke: as the operating system reported it, if it did.
fn broken_text(error: &EventError, end: Option<ConnectionEnd>) -> String {
    match (error, end) {
        (EventError::Broken(_), Some(end)) => end.cause.to_owned(),
        _ => error.to_string(),
    }
}

/// The software that began a stream, on the answer that carries its first event.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamBeginning(pub Option<StreamOrigin>);

struct StreamForwarder {
    run: RequestRun,
    flight: SendFlight,
    reader: EventReader<Incoming>,
    chunks: ChunkSender,
    /// Times that no other engine accepted the stream since its last event.
    failed_offers: u32,
}

/// The response of another engine to a stream.
enum OfferResponse {
    Accepted(Box<ReceivedHead>),
    /// This engine does not continue it.
    Declined,
    /// No engine takes it.
    NoEngine,
}

/// How an offer of a silent engine's stream to another engine ended.
enum OfferEnd {
    /// The silent engine went on, or ended the stream. The offer is withdrawn.
    WentOn(Option<Bytes>),
    /// Another engine accepted it, or none did; meanwhile the silent one may have broken off.
    Decided { accepted: Option<Box<ReceivedHead>>, broken: Option<EventError> },
    /// The caller left.
    CallerLeft,
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
            let step = match self.step().await {
                StreamStep::Stalled => self.offer().await,
                step => step,
            };
            match step {
                StreamStep::Events(events) => {
                    observe_weights(&self.run, &self.flight, &events);
                    if self.failed_offers > 0 {
                        self.failed_offers = 0;
                        self.flight.record_outcome(SendOutcome::Answered);
                    }
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
                    self.run.resources.answer.record_cause(UnansweredCause::OutOfTime);
                    self.abort("no end in time").await;
                    return;
                }
                StreamStep::Broke(cause) => {
                    self.record_broken(&cause);
                    if self.run.goes_to_peer() {
                        return self.resume_over_peer(&cause).await;
                    }
                    let unanswered = UnansweredCause::of_broken(self.flight.connection_end());
                    if !self.resume().await {
                        self.run.resources.answer.record_cause(unanswered);
                        self.abort(&cause).await;
                        return;
                    }
                }
                StreamStep::Stalled if self.run.goes_to_peer() => {
                    return self.resume_over_peer("it stalled").await;
                }
                // It goes on at whichever engine has it now.
                StreamStep::Stalled => {}
            }
        }
        self.chunks.finish();
        self.flight.complete();
        self.run.record_answered();
        self.run.set_outcome("answered");
    }

    /// Resumes over another VM, because this one reaches no engine, or aborts the answer.
    async fn resume_over_peer(self, cause: &str) {
        let Self { run, flight, reader, chunks, .. } = self;
        run.resources.answer.record_cause(UnansweredCause::of_broken(flight.connection_end()));
        // The first engine must not run beside the second.
        drop(flight);
        resume_stream(run, reader.last_id().cloned(), chunks, cause).await;
    }

    fn record_broken(&mut self, cause: &str) {
        self.run.record_broken(&self.flight);
        self.flight.record_outcome(SendOutcome::Broken);
        let ended_by = self.flight.connection_end().map_or("", |end| end.side.name());
        log::warn!(request = self.run.context.id_text(), endpoint = self.flight.endpoint.as_str(), cause,
            ended_by; "stream.broke");
    }

    async fn step(&mut self) -> StreamStep {
        let deadline = self.run.context.deadline;
        let stall_deadline = self.stall_deadline();
        tokio::select! {
            biased;
            next = self.reader.next() => match next {
                Ok(Some(events)) => StreamStep::Events(events),
                Ok(None) => StreamStep::End,
                Err(error) => StreamStep::Broke(broken_text(&error, self.flight.connection_end())),
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
        if !route.resumable || self.reader.last_id().is_none() || self.run.sends >= route.attempts {
            return Moment::NEVER;
        }
        let timeout_millis = (route.gap_millis * STALL_TIMEOUT_FACTOR).max(MIN_STALL_TIMEOUT_MILLIS);
        self.run.gateway.now().after_millis(offer_delay_millis(timeout_millis, self.failed_offers))
    }

    /// Offers a stalled stream to another engine.
    async fn offer(&mut self) -> StreamStep {
        self.failed_offers += 1;
        self.flight.record_outcome(SendOutcome::Silent);
        log::warn!(request = self.run.context.id_text(), endpoint = self.flight.endpoint.as_str(),
            offers = self.failed_offers; "stream.stalled");
        let last_id = self.reader.last_id().cloned();
        let caller_left = self.chunks.closed();
        match offer_stream(&mut self.run, &mut self.reader, last_id.as_ref(), caller_left).await {
            OfferEnd::WentOn(Some(events)) => StreamStep::Events(events),
            OfferEnd::WentOn(None) => StreamStep::End,
            OfferEnd::CallerLeft => StreamStep::CallerLeft,
            OfferEnd::Decided { accepted: Some(received), broken } => {
                if let Some(error) = broken {
                    self.record_broken(&broken_text(&error, self.flight.connection_end()));
                }
                self.go_on_at(*received);
                StreamStep::Stalled
            }
            OfferEnd::Decided { accepted: None, broken: Some(error) } => {
                StreamStep::Broke(broken_text(&error, self.flight.connection_end()))
            }
            OfferEnd::Decided { accepted: None, broken: None } => StreamStep::Stalled,
        }
    }

    /// Resumes a broken stream after the last whole event; returns whether another engine accepted it.
    async fn resume(&mut self) -> bool {
        self.flight.abort();
        let last_id = self.reader.last_id().cloned();
        if last_id.is_none() || !self.run.context.route.resumable {
            return false;
        }
        let accepted = tokio::select! {
            accepted = send_to_others(&mut self.run, last_id.as_ref()) => accepted,
            () = self.chunks.closed() => None,
        };
        let Some(received) = accepted else { return false };
        self.go_on_at(*received);
        true
    }

    /// Continues the stream at the engine that accepted it.
    fn go_on_at(&mut self, received: ReceivedHead) {
        let ReceivedHead { body, mut flight, .. } = received;
        // The previous engine must not run beside it.
        self.flight.abort();
        flight.record_answer_start();
        self.flight = flight;
        self.failed_offers = 0;
        self.reader = match self.reader.last_id().cloned() {
            Some(last_id) => EventReader::after(body, last_id),
            None => EventReader::new(body),
        };
    }

    async fn abort(&mut self, cause: &str) {
        self.chunks.abort(BrokenAnswer(cause.to_owned())).await;
    }
}

/// Returns the delay before the next offer, which doubles with each one that failed.
fn offer_delay_millis(timeout_millis: u64, failed_offers: u32) -> u64 {
    timeout_millis << failed_offers.min(MAX_OFFER_DELAY_DOUBLINGS)
}

/// Offers the stream of a silent engine to another one, from the event after `last_id`.
///
/// The offer is withdrawn if the silent engine goes on before the other one has accepted it.
async fn offer_stream(
    run: &mut RequestRun,
    reader: &mut EventReader<Incoming>,
    last_id: Option<&Bytes>,
    caller_left: impl Future<Output = ()>,
) -> OfferEnd {
    let (endpoint, choice, tried) = (run.endpoint.clone(), run.choice.clone(), run.tried.len());
    let mut broken = None;
    let end = {
        let mut offer = pin!(send_to_others(run, last_id));
        let mut caller_left = pin!(caller_left);
        loop {
            tokio::select! {
                biased;
                next = reader.next(), if broken.is_none() => match next {
                    Ok(events) => break OfferEnd::WentOn(events),
                    Err(error) => broken = Some(error),
                },
                () = caller_left.as_mut() => break OfferEnd::CallerLeft,
                accepted = offer.as_mut() => break OfferEnd::Decided { accepted, broken },
            }
        }
    };
    if matches!(end, OfferEnd::WentOn(_)) && run.tried.len() > tried {
        run.record_sent();
    }
    if !matches!(end, OfferEnd::Decided { accepted: Some(_), .. }) {
        (run.endpoint, run.choice) = (endpoint, choice);
    }
    end
}

/// Sends a stream to other engines, one after the other, until one accepts it.
///
/// Bounded by the route's attempts, the budget of second sends, the deadline and the number of engines.
async fn send_to_others(run: &mut RequestRun, last_id: Option<&Bytes>) -> Option<Box<ReceivedHead>> {
    if last_id.is_some() && !run.may_resume() {
        log::warn!(request = run.context.id_text(), endpoint = run.endpoint.as_str(); "resume.unbound");
        return None;
    }
    while run.may_send_again() {
        match send_to_another(run, last_id).await {
            OfferResponse::Accepted(received) => return Some(received),
            OfferResponse::Declined => {}
            OfferResponse::NoEngine => {
                run.gateway.restore_second_send(&run.context.service);
                return None;
            }
        }
    }
    None
}

/// Returns the software version of the engine that accepted a stream, for the log.
fn next_software(response: &OfferResponse) -> &str {
    match response {
        OfferResponse::Accepted(received) => &received.flight.software,
        OfferResponse::Declined | OfferResponse::NoEngine => "",
    }
}

/// Sends a stream to another engine, from the event after `last_id`.
async fn send_to_another(run: &mut RequestRun, last_id: Option<&Bytes>) -> OfferResponse {
    let started_at = run.gateway.now();
    let response = match run.send_once(last_id).await {
        Some(SendResult::Answer(received)) if received.head.status.is_success() => {
            OfferResponse::Accepted(received)
        }
        Some(SendResult::Answer(received)) => {
            log::warn!(request = run.context.id_text(), endpoint = run.endpoint.as_str(),
                status = received.head.status.as_u16(); "resume.refused");
            OfferResponse::Declined
        }
        Some(SendResult::NotSent | SendResult::Replaced | SendResult::Refused | SendResult::Lost(_)) => {
            OfferResponse::Declined
        }
        Some(
            SendResult::Late(_) | SendResult::Limited(_) | SendResult::Quarantined | SendResult::OutOfTime,
        )
        | None => OfferResponse::NoEngine,
    };
    let elapsed_micros = run.gateway.now().micros_since(started_at);
    log::info!(request = run.context.id_text(), endpoint = run.endpoint.as_str(),
        went_on = matches!(response, OfferResponse::Accepted(_)),
        software = run.software.as_deref().unwrap_or(""), next_software = next_software(&response),
        took_ms = elapsed_micros / MICROS_PER_MILLI; "stream.resumed");
    response
}
