//! The path of one request: place, send, judge the answer, send again where that is allowed.
//!
//! Invariant: a request that may not be repeated is sent at most once, and once it was sent only an
//! endpoint's own refusal makes "not run" true again. Second sends draw on the retry budget.

use crate::SendOutcome;
use crate::clock::TimeIsUp;
use crate::gateway::{CountGuard, Gateway};
use crate::memory::{BodyFault, HeldGuard, read_held};
use crate::operators::gateway_metrics::KindLabel;
use crate::requests::dispatch::{ReceivedHead, SendResult};
use crate::requests::long_answer::pass_on_long;
use crate::requests::own_answer::{AnswerBody, OwnAnswer};
use crate::requests::request_run::{CallerHold, RequestRun};
use crate::requests::request_ticket::{RequestTicket, is_hop_header, text};
use crate::requests::stream_relay;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use hyper::http::request::Parts;
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use spanfold_entity::Moment;
use std::sync::Arc;
use tokio::sync::Notify;

/// Endpoints that could not be connected to before a request is given up as not run.
const CONNECT_FAILURES_MOST: usize = 4;
/// When to come back if no endpoint takes work, in milliseconds; a random part is added.
const NO_ENDPOINT_RETRY_MILLIS: u64 = 300;
/// When to come back if memory ran out, in milliseconds: bodies that others send slowly take some seconds.
const NO_MEMORY_RETRY_MILLIS: u64 = 2_000;
/// When to come back after an endpoint's refusal, in milliseconds; a random part is added.
const REFUSED_RETRY_MILLIS: u64 = 100;
/// Answers up to this size are read whole before they are passed on, so that a broken one can be
/// told or asked for again; longer ones are passed on as they come.
const WHOLE_ANSWER_BYTES: usize = 1 << 20;

/// Serves one request of a caller.
///
/// `cut` ends the caller's connection.
pub(crate) async fn relay(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    cut: Arc<Notify>,
) -> Response<AnswerBody> {
    gateway.until_fresh().await;
    let received = gateway.now();
    let (head, body) = request.into_parts();
    let ticket = match RequestTicket::read(&gateway, &head, received) {
        Ok(ticket) => ticket,
        Err(answer) => {
            log_unrouted(&gateway, &head, &answer);
            return answer.response();
        }
    };
    let open = CountGuard::new(&gateway, |gateway| &gateway.open_requests);
    let held = gateway.memory.begin();
    let body = match read_body(&gateway, body, ticket.limit, &held).await {
        Ok(body) => body,
        Err(answer) => {
            log_unrouted(&gateway, &head, &answer);
            return answer.response();
        }
    };
    gateway.count_request(&ticket.service);
    gateway.metrics.prompt_tokens.inc_by(u64::from(ticket.prompt_tokens));
    let run = RequestRun::new(gateway, ticket, body, CallerHold { _open: open, _held: held, cut });
    serve(run).await
}

fn log_unrouted(gateway: &Gateway, head: &Parts, answer: &OwnAnswer) {
    let id = text(&head.headers, &gateway.dialect.headers.request_id).unwrap_or("");
    let config = gateway.routes().map_or(0, |table| table.config().version);
    gateway.metrics.answers.get_or_create(&KindLabel::new(answer.reason)).inc();
    log::info!(request = id, path = head.uri.path(), config, status = answer.status.as_u16(),
        outcome = answer.reason; "request.refused");
}

async fn read_body(
    gateway: &Gateway,
    body: Incoming,
    limit: Moment,
    held: &HeldGuard,
) -> Result<Bytes, OwnAnswer> {
    let most = gateway.routes().map_or(0, |table| table.config().limits.body_bytes);
    match gateway.within(limit, read_held(body, most, held)).await {
        Ok(Ok(content)) => Ok(content),
        Ok(Err(BodyFault::TooLong)) => {
            Err(OwnAnswer::plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"))
        }
        Ok(Err(BodyFault::Broken)) => Err(OwnAnswer::plain(StatusCode::BAD_REQUEST, "the body broke off")),
        Ok(Err(BodyFault::NoMemory)) => {
            gateway.metrics.memory.ends.get_or_create(&KindLabel::new("body")).inc();
            Err(OwnAnswer::not_run("no memory for its body", NO_MEMORY_RETRY_MILLIS))
        }
        Err(TimeIsUp) => Err(OwnAnswer::plain(StatusCode::REQUEST_TIMEOUT, "the body came too slowly")),
    }
}

async fn serve(mut run: RequestRun) -> Response<AnswerBody> {
    loop {
        if run.gateway.now() >= run.ticket.limit {
            return run.time_up();
        }
        let Some(result) = run.send_once(None).await else {
            return run.give_up("no endpoint takes work", NO_ENDPOINT_RETRY_MILLIS);
        };
        let failed: &'static str = match result {
            SendResult::NotSent => {
                if run.tried.len() >= CONNECT_FAILURES_MOST {
                    return run.give_up("no endpoint is reached", NO_ENDPOINT_RETRY_MILLIS);
                }
                continue;
            }
            SendResult::Late(return_delay_millis) => {
                return run.refuse("no engine has room in time", return_delay_millis);
            }
            SendResult::Limited(return_delay_millis) => {
                return run.refuse_unless_run("its endpoints take no more in time", return_delay_millis);
            }
            SendResult::OutOfTime => return run.time_up(),
            SendResult::HeldBack => return run.hold_back(),
            SendResult::Refused => "refused by the endpoint",
            SendResult::Ended => "another endpoint has its address",
            SendResult::Lost(cause) => cause,
            SendResult::Answer(received) => match take_answer(run, *received).await {
                Ok(response) => return response,
                Err(failed) => {
                    run = failed.run;
                    failed.cause
                }
            },
        };
        if run.may_send_again() {
            log::info!(request = run.ticket.id_text(), endpoint = run.endpoint.as_str(), cause = failed;
                "request.sent_again");
            continue;
        }
        if run.may_have_run && run.gateway.now() >= run.ticket.limit {
            return run.time_up();
        }
        return run.give_up("refused by the endpoint", REFUSED_RETRY_MILLIS);
    }
}

/// A request whose answer did not become one.
pub(crate) struct FailedAnswer {
    pub run: RequestRun,
    pub cause: &'static str,
}

async fn take_answer(
    mut run: RequestRun,
    received: ReceivedHead,
) -> Result<Response<AnswerBody>, FailedAnswer> {
    let mut received = received;
    if run.ticket.is_stream() && received.head.status.is_success() {
        let ReceivedHead { head, body, flight } = received;
        return stream_relay::take_stream(run, head, body, flight).await;
    }
    let bytes = match run.gateway.within(run.ticket.limit, read_answer(&mut received.body)).await {
        Ok(Ok(AnswerStart::Whole(bytes))) => bytes,
        Ok(Ok(AnswerStart::Long(begun))) => return Ok(pass_on_long(run, received, begun).await),
        Ok(Err(_)) => {
            received.flight.learn(SendOutcome::Broken);
            run.note_broken(&received.flight);
            return Err(FailedAnswer { run, cause: "the answer broke off" });
        }
        Err(TimeIsUp) => {
            received.flight.learn(SendOutcome::Silent);
            return Err(FailedAnswer { run, cause: "the answer did not end" });
        }
    };
    let ReceivedHead { head, mut flight, .. } = received;
    run.note_first();
    run.record_answered();
    flight.begin();
    flight.complete();
    if head.status.is_server_error() {
        flight.learn(SendOutcome::Failed);
        run.failure = Some((Box::new(head), bytes));
        return Err(FailedAnswer { run, cause: "the endpoint failed" });
    }
    flight.learn(SendOutcome::Answered);
    Ok(run.pass_on(&head, bytes))
}

/// What was read of an answer's body.
enum AnswerStart {
    Whole(Bytes),
    /// Its beginning, because there is more than is kept here.
    Long(Bytes),
}

async fn read_answer(body: &mut Incoming) -> Result<AnswerStart, hyper::Error> {
    let mut begun = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(piece) = frame?.into_data() {
            begun.extend_from_slice(&piece);
        }
        if begun.len() > WHOLE_ANSWER_BYTES {
            return Ok(AnswerStart::Long(begun.freeze()));
        }
    }
    Ok(AnswerStart::Whole(begun.freeze()))
}

/// An endpoint's answer as it goes to the caller: unchanged but for what belongs to one connection.
pub(crate) fn answer_with(head: &response::Parts, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    copy_headers(&head.headers, response.headers_mut());
    response
}

fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from {
        if !is_hop_header(name) && name != CONTENT_LENGTH {
            to.append(name.clone(), value.clone());
        }
    }
}
