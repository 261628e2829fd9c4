//! The path of one request: read it, wait for its answer, pass the answer on or refuse the request.
//!
//! Invariant: after a send only the endpoint's own refusal makes "not run" true again. While a send is open, the
//! request is not refused before its deadline.

use crate::clock::DeadlinePassed;
use crate::connections::FIELD_BYTES;
use crate::gateway::{CountGuard, Gateway};
use crate::memory::{
    BodyFault, MAX_CROWDED_DISCARDED_BYTES, MAX_DISCARDED_BYTES, MemoryReservation, RequestBody, discard,
    read_limited,
};
use crate::operators::gateway_metrics::KindLabel;
use crate::requests::answer_record::AnswerRecord;
use crate::requests::answer_wait::{AnswerFault, AnswerPart};
use crate::requests::dispatch::Unsent;
use crate::requests::long_answer::forward_long;
use crate::requests::open_send::{AnswerStart, OpenSend, SendRoute};
use crate::requests::open_sends::OpenSends;
use crate::requests::own_answer::{
    AnswerBody, ENDPOINTS_LIMITED, NO_ENDPOINT_REACHED, NO_ENDPOINT_TAKES_WORK, OwnAnswer, ResumeRefusal,
    full_body,
};
use crate::requests::request_context::{RequestContext, header_text, is_hop_by_hop};
use crate::requests::request_run::{CallerResources, RequestRun};
use crate::requests::stopping::{STOPPING, STOPPING_RETRY_MILLIS};
use crate::requests::stream_relay::forward_stream;
use crate::requests::whole_answer::WholeAnswer;
use crate::{SendOutcome, StopSchedule};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, EXPECT, HeaderMap};
use hyper::http::request::Parts;
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use spanfold_entity::Moment;
use std::sync::Arc;
use tokio::sync::Notify;

/// Retry delay if no endpoint takes work; a random delay is added.
const NO_ENDPOINT_RETRY_MILLIS: u64 = 300;
/// Retry delay if no other VM takes a request; a random delay is added.
const NO_PEER_RETRY_MILLIS: u64 = 1_000;
/// Retry delay if memory ran out: bodies that other callers send slowly take some seconds.
const NO_MEMORY_RETRY_MILLIS: u64 = 2_000;
/// Retry delay of a request while another one is on trial; a random delay is added.
const TRIAL_RETRY_MILLIS: u64 = 1_000;
/// Retry delay after an endpoint's refusal; a random delay is added.
const REFUSED_RETRY_MILLIS: u64 = 100;
/// Bytes of a whole answer that are not counted towards the VM's memory: its connection's share covers them.
const MAX_UNCOUNTED_ANSWER_BYTES: usize = 16 << 10;
/// Memory of a request in work: its state, and the buffers of its connection to an endpoint.
pub(crate) const REQUEST_BYTES: usize = 32 << 10;
/// Timeout of reading the body of a refused request.
const DISCARD_TIMEOUT_MILLIS: u64 = 1_000;

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
    let received = match reserve_request(&gateway, &head, &reservation) {
        Ok(()) => read_body(&gateway, &mut body, &context, &reservation, &answer).await,
        Err(answer) => Err(answer),
    };
    let body = match received {
        Ok(body) => body,
        Err(answer) => {
            drop(reservation);
            log_unrouted(&gateway, &head, &answer);
            discard_body(&gateway, &head, &mut body, context.deadline).await;
            return answer.response();
        }
    };
    answer.record_read_whole();
    drop(head);
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

/// Counts a request without its body towards the VM's memory. It does not wait for room, since the head is
/// already there.
fn reserve_request(
    gateway: &Gateway,
    head: &Parts,
    reservation: &MemoryReservation,
) -> Result<(), OwnAnswer> {
    let text_bytes: usize = head.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    let head_bytes = 2 * (text_bytes + head.uri.path().len()) + head.headers.len() * FIELD_BYTES;
    reservation.grow_request(REQUEST_BYTES + head_bytes);
    if !reservation.is_evicted() {
        return Ok(());
    }
    gateway.metrics.memory.ends.get_or_create(&KindLabel::new("head")).inc();
    Err(OwnAnswer::not_run("no memory for its head", NO_MEMORY_RETRY_MILLIS))
}

fn log_unrouted(gateway: &Gateway, head: &Parts, answer: &OwnAnswer) {
    gateway.metrics.answers.get_or_create(&KindLabel::new(answer.reason)).inc();
    if !gateway.refusal_log.may_write() {
        return;
    }
    let id = header_text(&head.headers, &gateway.dialect.headers.request_id).unwrap_or("");
    let config = gateway.routes().map_or(0, |table| table.config().version);
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
    let max_bytes =
        if gateway.caller_limiter.is_crowded() { MAX_CROWDED_DISCARDED_BYTES } else { MAX_DISCARDED_BYTES };
    // What is unread by then is left unread.
    let due_at = |stop: &StopSchedule| deadline.min(stop.answer_deadline());
    let _ = gateway.complete_before_due(due_at, discard(body, max_bytes)).await;
}

async fn read_body(
    gateway: &Gateway,
    body: &mut Incoming,
    context: &RequestContext,
    reservation: &MemoryReservation,
    answer: &AnswerRecord,
) -> Result<RequestBody, OwnAnswer> {
    let max_bytes = gateway.routes().map_or(0, |table| table.config().limits.body_bytes);
    let reading = read_limited(body, max_bytes, reservation, |length| answer.widen_receive_buffer(length));
    let deadline = |stop: &StopSchedule| gateway.send_deadline_in(stop, context);
    match gateway.complete_before_due(deadline, reading).await {
        Ok(Ok(content)) => Ok(content),
        Ok(Err(BodyFault::TooLong)) => {
            Err(OwnAnswer::plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"))
        }
        Ok(Err(BodyFault::Broken)) => Err(OwnAnswer::plain(StatusCode::BAD_REQUEST, "the body broke off")),
        Ok(Err(BodyFault::NoMemory)) => {
            gateway.metrics.memory.ends.get_or_create(&KindLabel::new("body")).inc();
            Err(OwnAnswer::not_run("no memory for its body", NO_MEMORY_RETRY_MILLIS))
        }
        Err(DeadlinePassed) => Err(gateway.late_body_answer(context)),
    }
}

/// Serves a request whose head was checked and whose body was read.
pub(crate) async fn serve(mut run: RequestRun) -> Response<AnswerBody> {
    let mut open = OpenSends::new();
    let part = match run.next_part(&mut open).await {
        Ok(part) => part,
        Err(fault) => return refuse(&mut run, &open, &fault),
    };
    // No answer begins without the send that brought it.
    let Some(send) = open.take_last() else { return run.time_out() };
    match part {
        AnswerPart::Plain(AnswerStart::Whole(bytes)) => pass_whole(&mut run, send, bytes),
        AnswerPart::Plain(AnswerStart::Long(prefix)) => Box::pin(forward_long(run, send, prefix)).await,
        // Its state would enlarge the futures of all requests.
        AnswerPart::Events(first) => Box::pin(forward_stream(run, open, send, first)).await,
    }
}

/// Answers a request that no endpoint has answered.
fn refuse(run: &mut RequestRun, open: &OpenSends, fault: &AnswerFault) -> Response<AnswerBody> {
    match *fault {
        AnswerFault::OutOfTime if run.is_stopped_unsent() => run.refuse(STOPPING, STOPPING_RETRY_MILLIS),
        AnswerFault::OutOfTime | AnswerFault::Unsent(Unsent::OutOfTime) => run.time_out(),
        AnswerFault::Failed if run.may_have_run && run.gateway.now() >= run.deadline() => run.time_out(),
        AnswerFault::Failed if open.is_peer_at_fault => {
            run.refuse_unless_run("lost at another VM", NO_PEER_RETRY_MILLIS)
        }
        AnswerFault::Failed => run.give_up("refused by the endpoint", REFUSED_RETRY_MILLIS),
        AnswerFault::Unsent(Unsent::NoEndpoint) if run.has_no_engine() && !run.may_have_run => {
            run.refuse_resumption(ResumeRefusal::NoEngine)
        }
        // A request waits while there is no room.
        AnswerFault::Unsent(Unsent::NoEndpoint | Unsent::NoRoom | Unsent::NoShare(_)) => {
            run.give_up(NO_ENDPOINT_TAKES_WORK, NO_ENDPOINT_RETRY_MILLIS)
        }
        AnswerFault::Unsent(Unsent::Unreached) => run.give_up(NO_ENDPOINT_REACHED, NO_ENDPOINT_RETRY_MILLIS),
        AnswerFault::Unsent(Unsent::NoPeer) => {
            run.refuse_unless_run("no other VM takes it", NO_PEER_RETRY_MILLIS)
        }
        AnswerFault::Unsent(Unsent::Late(delay)) => run.refuse_late(delay),
        AnswerFault::Unsent(Unsent::Limited(return_delay_millis)) => {
            run.refuse_unless_run(ENDPOINTS_LIMITED, return_delay_millis)
        }
        AnswerFault::Unsent(Unsent::Stopping) => run.refuse_unless_run(STOPPING, STOPPING_RETRY_MILLIS),
        AnswerFault::Unsent(Unsent::Quarantined) => run.refuse_quarantined(),
        AnswerFault::Unsent(Unsent::OnTrial) => {
            run.refuse_unless_run("another request tries whether endpoints end under it", TRIAL_RETRY_MILLIS)
        }
    }
}

/// Answers with a whole plain answer.
fn pass_whole(run: &mut RequestRun, mut send: OpenSend, bytes: Bytes) -> Response<AnswerBody> {
    run.record_first_event();
    send.complete();
    run.record_answer_time();
    let outcome = match &send.route {
        SendRoute::Endpoint { flight, .. } => {
            if send.head().is_some_and(|head| head.status.is_success()) {
                run.record_answered();
            }
            flight.record_outcome(SendOutcome::Answered);
            "answered"
        }
        SendRoute::Peer(peer) => peer.outcome(),
    };
    let body = if bytes.len() > MAX_UNCOUNTED_ANSWER_BYTES {
        let reservation = run.gateway.memory.reserve_for(&run.resources.disconnect);
        WholeAnswer::new(bytes, reservation).boxed_unsync()
    } else {
        full_body(bytes)
    };
    let response = send.response(body);
    run.set_status(response.status().as_u16());
    run.set_outcome(outcome);
    response
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
