//! The path of one request: place, send, classify the answer, send again where that is allowed.
//!
//! Invariant: a request that may not be repeated is sent at most once, and after a send only the endpoint's
//! own refusal makes "not run" true again. Second sends consume the retry budget.

use crate::SendOutcome;
use crate::clock::DeadlinePassed;
use crate::forward::forward_client::forward_request;
use crate::gateway::{CountGuard, Gateway};
use crate::memory::{BodyFault, MemoryReservation, discard, read_limited};
use crate::operators::gateway_metrics::KindLabel;
use crate::requests::answer_record::AnswerRecord;
use crate::requests::dispatch::{ReceivedHead, SendResult};
use crate::requests::long_answer::forward_long;
use crate::requests::own_answer::{
    AnswerBody, NO_ENDPOINT_REACHED, NO_ENDPOINT_TAKES_WORK, OwnAnswer, ResumeRefusal,
};
use crate::requests::request_context::{RequestContext, header_text, is_hop_by_hop};
use crate::requests::request_run::{CallerResources, RequestRun};
use crate::requests::stream_relay;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, EXPECT, HeaderMap};
use hyper::http::request::Parts;
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use spanfold_entity::Moment;
use std::sync::Arc;
use tokio::sync::Notify;

/// Failed connections to endpoints after which a request is refused as not run.
const MAX_CONNECT_FAILURES: usize = 4;
/// Retry delay if no endpoint takes work; a random delay is added.
const NO_ENDPOINT_RETRY_MILLIS: u64 = 300;
/// Retry delay if memory ran out: bodies that other callers send slowly take some seconds.
const NO_MEMORY_RETRY_MILLIS: u64 = 2_000;
/// Retry delay after an endpoint's refusal; a random delay is added.
const REFUSED_RETRY_MILLIS: u64 = 100;
/// Timeout of reading the body of a refused request.
const DISCARD_TIMEOUT_MILLIS: u64 = 1_000;
/// Answers up to this size are read whole before they are forwarded, so that a broken one can be reported
/// or its request repeated. Longer ones are forwarded as they arrive.
const MAX_BUFFERED_ANSWER_BYTES: usize = 1 << 20;

/// Serves one request of a caller.
///
/// `disconnect` closes the caller's connection; `answer` records what becomes of the answer.
pub(crate) async fn relay(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    disconnect: Arc<Notify>,
    answer: Arc<AnswerRecord>,
) -> Response<AnswerBody> {
    gateway.wait_until_current().await;
    let received_at = gateway.now();
    let (head, mut body) = request.into_parts();
    let context = match RequestContext::parse(&gateway, &head, received_at) {
        Ok(context) => context,
        Err(answer) => {
            log_unrouted(&gateway, &head, &answer);
            discard_body(&gateway, &head, &mut body, Moment::NEVER).await;
            return answer.response();
        }
    };
    let open_guard = CountGuard::new(&gateway, |gateway| &gateway.open_requests);
    let reservation = gateway.memory.reserve();
    let body = match read_body(&gateway, &mut body, context.deadline, &reservation).await {
        Ok(body) => body,
        Err(answer) => {
            log_unrouted(&gateway, &head, &answer);
            discard_body(&gateway, &head, &mut body, context.deadline).await;
            return answer.response();
        }
    };
    answer.record_read_whole();
    let mut run = RequestRun::new(
        gateway,
        context,
        body,
        CallerResources { _open: open_guard, _taken: None, _reservation: reservation, disconnect, answer },
    );
    if let Some(refusal) = run.bind_resumption().await {
        return refusal;
    }
    serve(run).await
}

fn log_unrouted(gateway: &Gateway, head: &Parts, answer: &OwnAnswer) {
    let id = header_text(&head.headers, &gateway.dialect.headers.request_id).unwrap_or("");
    let config = gateway.routes().map_or(0, |table| table.config().version);
    gateway.metrics.answers.get_or_create(&KindLabel::new(answer.reason)).inc();
    log::info!(request = id, path = head.uri.path(), config, status = answer.status.as_u16(),
        outcome = answer.reason; "request.refused");
}

/// Reads the body of a refused request, for a short time and until `deadline` at most: a connection that is
/// closed with unread bytes is reset, and its caller may lose the refusal. A caller that waits for permission
/// to send has sent nothing.
async fn discard_body(gateway: &Gateway, head: &Parts, body: &mut Incoming, deadline: Moment) {
    if head.headers.contains_key(EXPECT) {
        return;
    }
    let deadline = gateway.now().after_millis(DISCARD_TIMEOUT_MILLIS).min(deadline);
    // What is unread by then is left unread.
    let _ = gateway.complete_before(deadline, discard(body)).await;
}

async fn read_body(
    gateway: &Gateway,
    body: &mut Incoming,
    deadline: Moment,
    reservation: &MemoryReservation,
) -> Result<Bytes, OwnAnswer> {
    let max_bytes = gateway.routes().map_or(0, |table| table.config().limits.body_bytes);
    match gateway.complete_before(deadline, read_limited(body, max_bytes, reservation)).await {
        Ok(Ok(content)) => Ok(content),
        Ok(Err(BodyFault::TooLong)) => {
            Err(OwnAnswer::plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"))
        }
        Ok(Err(BodyFault::Broken)) => Err(OwnAnswer::plain(StatusCode::BAD_REQUEST, "the body broke off")),
        Ok(Err(BodyFault::NoMemory)) => {
            gateway.metrics.memory.ends.get_or_create(&KindLabel::new("body")).inc();
            Err(OwnAnswer::not_run("no memory for its body", NO_MEMORY_RETRY_MILLIS))
        }
        Err(DeadlinePassed) => Err(OwnAnswer::plain(StatusCode::REQUEST_TIMEOUT, "the body came too slowly")),
    }
}

/// Serves a request whose head was checked and whose body was read.
pub(crate) async fn serve(mut run: RequestRun) -> Response<AnswerBody> {
    loop {
        if run.gateway.now() >= run.context.deadline {
            return run.time_out();
        }
        if run.goes_to_peer() {
            // Its state would enlarge each request's, although few are forwarded.
            match Box::pin(forward_request(run)).await {
                Ok(response) => return response,
                Err(returned) => run = *returned,
            }
            continue;
        }
        run.count_once();
        let Some(result) = run.send_once(None).await else {
            if run.needs_peer() {
                continue;
            }
            if run.has_no_engine() && !run.may_have_run {
                return run.refuse_resumption(ResumeRefusal::NoEngine);
            }
            return run.give_up(NO_ENDPOINT_TAKES_WORK, NO_ENDPOINT_RETRY_MILLIS);
        };
        let failed: &'static str = match result {
            SendResult::NotSent => {
                if !run.needs_peer() && (run.tried.len() >= MAX_CONNECT_FAILURES || run.has_lost_path()) {
                    return run.give_up(NO_ENDPOINT_REACHED, NO_ENDPOINT_RETRY_MILLIS);
                }
                continue;
            }
            SendResult::Late(return_delay_millis) => {
                return run.refuse("no engine has room in time", return_delay_millis);
            }
            SendResult::Limited(return_delay_millis) => {
                return run.refuse_unless_run("its endpoints take no more in time", return_delay_millis);
            }
            SendResult::OutOfTime => return run.time_out(),
            SendResult::Quarantined => return run.refuse_quarantined(),
            SendResult::Refused => "refused by the endpoint",
            SendResult::Replaced => "another endpoint has its address",
            SendResult::Lost(cause) => cause,
            SendResult::Answer(received) => match handle_answer(run, *received).await {
                Ok(response) => return response,
                Err(failed) => {
                    run = failed.run;
                    failed.cause
                }
            },
        };
        if run.may_send_again() {
            log::info!(request = run.context.id_text(), endpoint = run.endpoint.as_str(), cause = failed;
                "request.sent_again");
            continue;
        }
        if run.may_have_run && run.gateway.now() >= run.context.deadline {
            return run.time_out();
        }
        return run.give_up("refused by the endpoint", REFUSED_RETRY_MILLIS);
    }
}

/// A request whose answer cannot be forwarded.
pub(crate) struct FailedAnswer {
    pub run: RequestRun,
    pub cause: &'static str,
}

async fn handle_answer(
    mut run: RequestRun,
    received: ReceivedHead,
) -> Result<Response<AnswerBody>, FailedAnswer> {
    let mut received = received;
    if run.context.is_stream() && received.head.status.is_success() {
        // Its state would enlarge the futures of all requests.
        return Box::pin(stream_relay::forward_stream(run, received)).await;
    }
    let bytes = match run.gateway.complete_before(run.context.deadline, read_answer(&mut received.body)).await
    {
        Ok(Ok(AnswerStart::Whole(bytes))) => bytes,
        Ok(Ok(AnswerStart::Long(prefix))) => return Ok(forward_long(run, received, prefix).await),
        Ok(Err(_)) => {
            received.flight.record_outcome(SendOutcome::Broken);
            run.record_broken(&received.flight);
            return Err(FailedAnswer { run, cause: "the answer broke off" });
        }
        Err(DeadlinePassed) => {
            received.flight.record_outcome(SendOutcome::Silent);
            return Err(FailedAnswer { run, cause: "the answer did not end" });
        }
    };
    let ReceivedHead { head, mut flight, .. } = received;
    run.record_first_event();
    run.record_answered();
    flight.record_answer_start();
    flight.complete();
    if head.status.is_server_error() {
        flight.record_outcome(SendOutcome::Failed);
        run.failure = Some((Box::new(head), bytes));
        return Err(FailedAnswer { run, cause: "the endpoint failed" });
    }
    flight.record_outcome(SendOutcome::Answered);
    Ok(run.forward_answer(&head, bytes))
}

/// The part of an answer's body that was read.
pub(crate) enum AnswerStart {
    Whole(Bytes),
    /// The beginning of the body, because the body exceeds the buffer limit.
    Long(Bytes),
}

/// Reads an answer's body, or the beginning of a long one.
pub(crate) async fn read_answer(body: &mut Incoming) -> Result<AnswerStart, hyper::Error> {
    let mut prefix = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(chunk) = frame?.into_data() {
            prefix.extend_from_slice(&chunk);
        }
        if prefix.len() > MAX_BUFFERED_ANSWER_BYTES {
            return Ok(AnswerStart::Long(prefix.freeze()));
        }
    }
    Ok(AnswerStart::Whole(prefix.freeze()))
}

/// Builds the caller's response from an endpoint's, without its hop-by-hop headers and its content length.
pub(crate) fn answer_with(head: &response::Parts, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    copy_headers(&head.headers, response.headers_mut());
    response
}

fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from {
        if !is_hop_by_hop(name) && name != CONTENT_LENGTH {
            to.append(name.clone(), value.clone());
        }
    }
}
