//! Passes an engine's events on, and goes on at another engine where the route allows it.
//!
//! Invariant: the caller sees the head of the first engine and every event once and whole, in
//! order. The head goes out with the first event, so that until then another engine may still
//! answer. A stream that cannot go on is broken off visibly: it never looks complete.

use crate::SendOutcome;
use crate::clock::TimeIsUp;
use crate::endpoints::answer_handler::AnswerSource;
use crate::memory::{PieceFault, PieceSender, piece_channel};
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

/// A resumable stream goes on elsewhere after this multiple of the longest pause in time.
const STALL_FACTOR: u64 = 2;
/// The shortest such pause, in milliseconds.
const STALL_LEAST_MILLIS: u64 = 500;

/// Takes a stream's first event, answers with it, and passes the rest on from a task of its own.
pub(crate) async fn take_stream(
    mut run: RequestRun,
    head: response::Parts,
    body: Incoming,
    mut flight: SendFlight,
) -> Result<Response<AnswerBody>, FailedAnswer> {
    let mut reader = EventReader::new(body);
    let patience = first_event_patience(&run);
    let first = match run.gateway.within(patience, reader.next()).await {
        Ok(Ok(first)) => first,
        Ok(Err(error)) => {
            flight.learn(SendOutcome::Broken);
            run.note_broken(&flight);
            log::warn!(request = run.ticket.id_text(), endpoint = flight.endpoint.as_str(), cause:% = error;
                "stream.broke");
            return Err(FailedAnswer { run, cause: "the stream broke" });
        }
        Err(TimeIsUp) => {
            flight.learn(SendOutcome::Silent);
            return Err(FailedAnswer { run, cause: "no first event" });
        }
    };
    flight.begin();
    flight.learn(SendOutcome::Answered);
    run.note_first();
    run.set_status(head.status.as_u16());
    run.end("broken off");
    let (chunks, received) = piece_channel(run.gateway.memory.begin());
    let ended = first.is_none();
    if let Some(first) = first {
        observe_weights(&run, &flight, &first);
        // The channel is empty and its receiver stands: this fails only for want of memory, as the next one will.
        let _ = chunks.send(first).await;
    }
    let pump = StreamPump { run, flight, reader, chunks };
    tokio::spawn(pump.pass_on(ended));
    Ok(answer_with(&head, StreamBody::new(received).boxed_unsync()))
}

/// Applies a change of weights that an event tells.
fn observe_weights(run: &RequestRun, flight: &SendFlight, events: &[u8]) {
    let told = (run.gateway.dialect.decode.event_weights)(events);
    if let (Some(model), Some(version)) = (&run.ticket.model, told) {
        let source = AnswerSource { key: flight.key, request: run.ticket.id_text(), sent_at: flight.sent_at };
        run.gateway.observe_weights(&source, model, version);
    }
}

fn first_event_patience(run: &RequestRun) -> Moment {
    let ticket = &run.ticket;
    if !ticket.route.repeatable() || run.sends >= ticket.route.attempts {
        return ticket.limit;
    }
    let expected = run.choice.as_ref().map_or(0, |choice| choice.expected_micros);
    let wait = (ticket.route.objective_millis * 2).max(STALL_LEAST_MILLIS);
    run.gateway.now().after_millis(wait).after_micros(expected).min(ticket.limit)
}

struct StreamPump {
    run: RequestRun,
    flight: SendFlight,
    reader: EventReader<Incoming>,
    chunks: PieceSender,
}

/// What the next step of a stream brought.
enum PumpStep {
    Events(Bytes),
    End,
    /// The connection broke.
    Broke(String),
    Stalled,
    CallerLeft,
    TimeUp,
}

impl StreamPump {
    async fn pass_on(mut self, ended: bool) {
        let mut ended = ended;
        while !ended {
            match self.step().await {
                PumpStep::Events(events) => {
                    observe_weights(&self.run, &self.flight, &events);
                    match self.chunks.send(events).await {
                        Ok(()) => {}
                        Err(PieceFault::CallerLeft) => {
                            self.run.end("caller left");
                            return;
                        }
                        Err(PieceFault::NoMemory) => {
                            self.run.end_for_memory();
                            self.break_off("no memory for what waits").await;
                            return;
                        }
                    }
                }
                PumpStep::End => ended = true,
                PumpStep::CallerLeft => {
                    self.run.end("caller left");
                    return;
                }
                PumpStep::TimeUp => {
                    self.run.end("stream out of time");
                    self.break_off("no end in time").await;
                    return;
                }
                PumpStep::Broke(cause) => {
                    self.run.note_broken(&self.flight);
                    if !self.survives(&cause).await {
                        return;
                    }
                }
                PumpStep::Stalled => {
                    if !self.survives("it stalled").await {
                        return;
                    }
                }
            }
        }
        self.flight.complete();
        self.run.record_answered();
        self.run.end("answered");
    }

    /// Goes on elsewhere after a failure, or breaks the answer off; whether it goes on.
    async fn survives(&mut self, cause: &str) -> bool {
        self.flight.learn(SendOutcome::Broken);
        log::warn!(request = self.run.ticket.id_text(), endpoint = self.flight.endpoint.as_str(), cause;
            "stream.broke");
        let goes_on = self.go_on_elsewhere().await;
        if !goes_on {
            self.break_off(cause).await;
        }
        goes_on
    }

    async fn step(&mut self) -> PumpStep {
        let limit = self.run.ticket.limit;
        let stall = self.stall_at();
        tokio::select! {
            biased;
            next = self.reader.next() => match next {
                Ok(Some(events)) => PumpStep::Events(events),
                Ok(None) => PumpStep::End,
                Err(EventError::Partial) => PumpStep::Broke("it ended within an event".to_owned()),
                Err(error) => PumpStep::Broke(error.to_string()),
            },
            () = self.chunks.closed() => PumpStep::CallerLeft,
            () = self.run.gateway.until(stall.min(limit)) => {
                if stall < limit { PumpStep::Stalled } else { PumpStep::TimeUp }
            }
        }
    }

    /// When a silent stream is given up on; never if no other engine may go on.
    fn stall_at(&self) -> Moment {
        let route = &self.run.ticket.route;
        if !route.resumable || self.run.sends >= route.attempts {
            return Moment::NEVER;
        }
        let pause = (route.gap_millis * STALL_FACTOR).max(STALL_LEAST_MILLIS);
        self.run.gateway.now().after_millis(pause)
    }

    /// Has another engine go on after the last whole event.
    async fn go_on_elsewhere(&mut self) -> bool {
        let Some(last_id) = self.reader.last_id().cloned() else { return false };
        if !self.run.ticket.route.resumable || !self.run.may_send_again() {
            return false;
        }
        // The first engine must not work on beside the second.
        self.flight.cut();
        let begun = self.run.gateway.now();
        let sent = tokio::select! {
            sent = self.run.send_once(Some(&last_id)) => sent,
            () = self.chunks.closed() => None,
        };
        let went_on = match sent {
            Some(SendResult::Answer(received)) if received.head.status.is_success() => {
                let ReceivedHead { body, mut flight, .. } = *received;
                flight.begin();
                self.flight = flight;
                self.reader = EventReader::after(body, last_id);
                true
            }
            Some(SendResult::Answer(received)) => {
                log::warn!(request = self.run.ticket.id_text(), endpoint = self.run.endpoint.as_str(),
                    status = received.head.status.as_u16(); "resume.refused");
                false
            }
            Some(
                SendResult::NotSent
                | SendResult::Ended
                | SendResult::Refused
                | SendResult::Lost(_)
                | SendResult::Late(_)
                | SendResult::Limited(_)
                | SendResult::HeldBack
                | SendResult::OutOfTime,
            )
            | None => false,
        };
        let micros = self.run.gateway.now().micros_since(begun);
        log::info!(request = self.run.ticket.id_text(), endpoint = self.run.endpoint.as_str(), went_on,
            took_ms = micros / MICROS_PER_MILLI; "stream.resumed");
        went_on
    }

    async fn break_off(&mut self, cause: &str) {
        self.chunks.break_off(BrokenAnswer(cause.to_owned())).await;
    }
}
