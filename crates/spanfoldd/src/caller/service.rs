//! Plain services: any method, streamed bodies, and calls that may run at most once.
//!
//! Invariant: a call that may not be repeated is sent to one endpoint at most and, if it has an
//! idempotency key, only after its claim is written. A call is reported as not run only if the
//! connection was not established, or the endpoint reported that it refused before running.

use crate::burn::ServedSample;
use crate::caller::admission_gate::{AdmissionGate, spend_retry};
use crate::caller::completion::{millis_since, record_sample};
use crate::caller::request::{authenticate, read_deadline, read_limited, read_priority};
use crate::caller::{CallerBody, FinalError, full_body};
use crate::endpoint_client::{CallError, EndpointClient, OutgoingBody};
use crate::probe::address_of;
use crate::shared::SharedState;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response};
use serde::{Deserialize, Serialize};
use spanfold_declare::EndpointKind;
use spanfold_entity::Moment;
use spanfold_gateway::KindLabel;
use spanfold_kernel::{
    Arrival, ClaimTicket, ClaimVerdict, Event, FailureKind, Outcome, PromptUsage, RanState,
};
use std::sync::Arc;
use std::time::Duration;

/// Endpoints at which a call is attempted, while it has certainly not run or may be repeated.
const MAX_ATTEMPTS: usize = 3;
/// Time after which a claim that is not yet written is abandoned.
const CLAIM_TIMEOUT_MILLIS: u64 = 3_000;
/// Time for which an answer is delayed until its claim is recorded as settled.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Bound on the length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// Headers of one connection or of this system, which are not forwarded.
const UNFORWARDED_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "te",
    "upgrade",
    "proxy-authorization",
    "authorization",
    "host",
    "content-length",
];

/// The recorded answer of a claimed call.
#[derive(Debug, Serialize, Deserialize)]
struct RecordedAnswer {
    status: u16,
    content_type: String,
    body: Option<String>,
}

/// A validated call.
struct ServiceCall {
    account: String,
    pool: String,
    method: Method,
    path: String,
    headers: HeaderMap,
    repeatable: bool,
    deadline: Moment,
    priority: i8,
}

/// The body of a call: in memory, or streamed once.
enum CallBody {
    Buffered(Bytes),
    Streamed(Box<OutgoingBody>),
    Consumed,
}

/// The claim of the current call on its idempotency key.
struct HeldClaim {
    key: u128,
    nonce: u128,
    deadline: Moment,
}

/// Answers a call to a plain service: `/services/POOL/PATH`.
pub(crate) async fn answer(
    shared: &Arc<SharedState>,
    request: Request<Incoming>,
) -> Result<Response<CallerBody>, FinalError> {
    let arrived = shared.now();
    let (head, body) = request.into_parts();
    let account = authenticate(shared, &head.headers)?;
    let call = check_call(shared, account, &head)?;
    let key = idempotency_key(&call)?;
    let body = read_body(shared, &call, body, key.is_some()).await?;
    let account = call.account.clone();
    let result = match key {
        Some(key) => run_claimed(shared, &call, &key, body).await,
        None => run(shared, &call, body, None)
            .await
            .map(|response| response.map(|body| body.map_err(Into::into).boxed())),
    };
    let millis = millis_since(shared, arrived);
    let answered = result.as_ref().is_ok_and(|response| !response.status().is_server_error());
    let sample = ServedSample {
        first_token_millis: answered.then_some(millis),
        answer_millis: answered.then_some(millis),
        answered,
    };
    record_sample(shared, &account, sample);
    result
}

fn check_call(
    shared: &SharedState,
    account: String,
    head: &hyper::http::request::Parts,
) -> Result<ServiceCall, FinalError> {
    let path = head.uri.path().strip_prefix("/services/").unwrap_or_default();
    let (pool, subpath) = path.split_once('/').unwrap_or((path, ""));
    let (_, catalogue) = shared.catalogue();
    let declared = catalogue
        .declarations
        .pools
        .get(pool)
        .filter(|pool| pool.kind == EndpointKind::Service)
        .ok_or_else(|| FinalError::bad_request(404, "service_not_found", "no such service"))?;
    let query = head.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    let never_repeatable = declared.not_repeatable.iter().any(|method| method == head.method.as_str());
    let marked_unrepeatable = head.headers.get("spanfold-repeatable").is_some_and(|value| value == "no");
    Ok(ServiceCall {
        account,
        pool: pool.to_owned(),
        method: head.method.clone(),
        path: format!("/{subpath}{query}"),
        headers: head.headers.clone(),
        repeatable: !never_repeatable && !marked_unrepeatable,
        deadline: read_deadline(shared, &head.headers)?,
        priority: read_priority(&head.headers)?,
    })
}

fn idempotency_key(call: &ServiceCall) -> Result<Option<String>, FinalError> {
    let Some(value) = call.headers.get("idempotency-key") else { return Ok(None) };
    let key = value.to_str().unwrap_or_default();
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message = format!("`Idempotency-Key` must have from 1 to {MAX_KEY_BYTES} characters");
        return Err(FinalError::bad_request(400, "invalid_header", message));
    }
    Ok(Some(key.to_owned()))
}

/// Reads a small body whole, so that the call can be retried elsewhere; streams a large one.
async fn read_body(
    shared: &SharedState,
    call: &ServiceCall,
    body: Incoming,
    has_claim: bool,
) -> Result<CallBody, FinalError> {
    let length =
        call.headers.get("content-length").and_then(|v| v.to_str().ok()).and_then(|v| v.parse::<u64>().ok());
    let chunked = call.headers.contains_key("transfer-encoding");
    if length.is_some_and(|length| length > shared.settings.upload_bytes) {
        let message = format!("the body is longer than {} bytes", shared.settings.upload_bytes);
        return Err(FinalError::bad_request(413, "too_large", message));
    }
    let is_small = length.unwrap_or(0) <= shared.settings.body_bytes as u64 && !chunked;
    if is_small || (has_claim && !call.headers.contains_key("content-digest")) {
        return read_limited(shared, body, shared.settings.body_bytes).await.map(CallBody::Buffered);
    }
    let limit = usize::try_from(shared.settings.upload_bytes).unwrap_or(usize::MAX);
    Ok(CallBody::Streamed(Box::new(Limited::new(body, limit).boxed())))
}

/// Runs a call under a claim: at most once; later attempts get the recorded answer.
async fn run_claimed(
    shared: &Arc<SharedState>,
    call: &ServiceCall,
    key: &str,
    body: CallBody,
) -> Result<Response<CallerBody>, FinalError> {
    let claim = match acquire_claim(shared, call, key, &body).await? {
        Ok(claim) => claim,
        Err(recorded) => return Ok(recorded),
    };
    let result = run(shared, call, body, Some(&claim)).await;
    let response = match result {
        Ok(response) => response,
        Err(error) => {
            // Only a call that certainly did not run releases its key.
            if error.ran == RanState::No {
                settle(shared, &claim, None).await;
            }
            return Err(error);
        }
    };
    let status = response.status().as_u16();
    let headers = response.headers().clone();
    let broken_body =
        |_| FinalError::ran(502, "answer_lost", "the call ran; its answer was lost", RanState::Yes);
    let body = response.into_body().collect().await.map_err(broken_body)?.to_bytes();
    let fits = body.len() <= shared.settings.answer_bytes;
    let recorded = RecordedAnswer {
        status,
        content_type: headers
            .get("content-type")
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_owned(),
        body: fits.then(|| String::from_utf8_lossy(&body).into_owned()),
    };
    let text = serde_json::to_string(&recorded).unwrap_or_default();
    settle(shared, &claim, Some(text)).await;
    let mut response = Response::new(full_body(body));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    *response.headers_mut() = forwarded_headers(&headers);
    Ok(response)
}

/// Claims a call's key; the inner error is the recorded answer of an earlier attempt.
async fn acquire_claim(
    shared: &Arc<SharedState>,
    call: &ServiceCall,
    key: &str,
    body: &CallBody,
) -> Result<Result<HeldClaim, Response<CallerBody>>, FinalError> {
    let digest = match body {
        CallBody::Buffered(bytes) => shared.keys.call_digest(call.method.as_str(), &call.path, bytes),
        // The caller is responsible for the digest of a streamed body.
        CallBody::Streamed(_) | CallBody::Consumed => {
            let caller_digest = call.headers.get("content-digest").map_or(&[][..], HeaderValue::as_bytes);
            shared.keys.call_digest(call.method.as_str(), &call.path, caller_digest)
        }
    };
    let deadline = call.deadline.min(shared.now().after_millis(CLAIM_TIMEOUT_MILLIS));
    let ticket = ClaimTicket {
        request: shared.next_request_number(),
        key: shared.keys.claim_key(&call.account, key),
        body: digest,
        nonce: rand::random(),
        deadline,
    };
    let claim = HeldClaim { key: ticket.key, nonce: ticket.nonce, deadline };
    let verdict = shared.pending.claims.register(ticket.request);
    shared.try_send_event(Event::Claim(ticket));
    let unavailable = FinalError::not_run("claims_unavailable", "the call cannot be recorded now", 2_000);
    // The kernel answers by the deadline; the extra second allows for its tick.
    let timeout = shared.time_until(deadline) + Duration::from_secs(1);
    let verdict = tokio::time::timeout(timeout, verdict).await.ok().and_then(Result::ok);
    let name = verdict.as_ref().map_or("unanswered", verdict_name);
    shared.metrics.claims.get_or_create(&KindLabel::new(name)).inc();
    match verdict {
        Some(ClaimVerdict::Claimed) => Ok(Ok(claim)),
        Some(ClaimVerdict::Finished(answer)) => Ok(Err(recorded_response(&answer)?)),
        Some(ClaimVerdict::Pending) => {
            let message = "an earlier attempt may be running or may have run";
            Err(FinalError::ran(409, "claim_pending", message, RanState::Unknown))
        }
        Some(ClaimVerdict::Mismatch) => {
            let message = "the key was used with another call";
            Err(FinalError::bad_request(422, "key_reused", message))
        }
        Some(ClaimVerdict::Unavailable) | None => Err(unavailable),
    }
}

const fn verdict_name(verdict: &ClaimVerdict) -> &'static str {
    match verdict {
        ClaimVerdict::Claimed => "claimed",
        ClaimVerdict::Finished(_) => "finished",
        ClaimVerdict::Pending => "pending",
        ClaimVerdict::Mismatch => "mismatch",
        ClaimVerdict::Unavailable => "unavailable",
    }
}

fn recorded_response(text: &str) -> Result<Response<CallerBody>, FinalError> {
    let lost_answer =
        || FinalError::ran(409, "answer_not_kept", "the call ran; its answer was not kept", RanState::Yes);
    let recorded: RecordedAnswer = serde_json::from_str(text).map_err(|_error| lost_answer())?;
    let body = recorded.body.ok_or_else(lost_answer)?;
    let response = Response::builder()
        .status(recorded.status)
        .header("content-type", recorded.content_type)
        .header("spanfold-replayed", "yes")
        .body(full_body(body));
    response.map_err(|_error| lost_answer())
}

/// Records that a claimed call finished, and waits briefly until the record is stored.
async fn settle(shared: &Arc<SharedState>, claim: &HeldClaim, answer: Option<String>) {
    let settled = shared.pending.settlements.register(claim.nonce);
    shared.try_send_event(Event::Settle { key: claim.key, nonce: claim.nonce, answer });
    // If it takes longer, the kernel keeps trying; a retry meanwhile is answered "may have run".
    let _ = tokio::time::timeout(SETTLE_TIMEOUT, settled).await;
}

/// Sends a call to an endpoint, and to another one while the call may safely be sent again.
async fn run(
    shared: &Arc<SharedState>,
    call: &ServiceCall,
    mut body: CallBody,
    claim: Option<&HeldClaim>,
) -> Result<Response<Incoming>, FinalError> {
    let gate = AdmissionGate::new(shared);
    let mut exclude = Vec::new();
    for attempt in 1.. {
        let arrival = Arrival {
            request: gate.number,
            account: call.account.clone(),
            pool: call.pool.clone(),
            keys: Vec::new(),
            prompt_tokens: 1,
            max_tokens: 0,
            deadline: call.deadline,
            priority: call.priority,
            exclude: exclude.clone(),
        };
        let target = gate.admit(arrival).await?;
        if claim.is_some_and(|claim| shared.now() >= claim.deadline) {
            return Err(FinalError::not_run("claim_late", "the claim was written too late to use", 1_000));
        }
        let failure = match try_endpoint(shared, call, &target.endpoint, &mut body, &gate).await {
            Ok(response) if refused_before_running(&response) => {
                CallError::NotSent("refused before running".to_owned())
            }
            Ok(response) => {
                gate.complete(0);
                return Ok(response);
            }
            Err(failure) => failure,
        };
        log::info!(endpoint = target.endpoint.as_str(), error:% = failure; "endpoint.failed");
        let ran = matches!(failure, CallError::Unknown(_));
        gate.report_failure(if ran { FailureKind::Broken } else { FailureKind::Refused });
        exclude.push(target.endpoint);
        let may_retry = (!ran || call.repeatable && claim.is_none()) && !matches!(body, CallBody::Consumed);
        if !may_retry || attempt >= MAX_ATTEMPTS || !spend_retry() || shared.now() >= call.deadline {
            return Err(if ran {
                FinalError::ran(502, "endpoint_failed", "the call may have run", RanState::Unknown)
            } else {
                FinalError::not_run("endpoint_refused", "no endpoint took the call", 1_000)
            });
        }
    }
    unreachable!("the loop ends by a return")
}

/// Whether an endpoint states, by its own header, that it refused a call before running it.
fn refused_before_running(response: &Response<Incoming>) -> bool {
    response.status() == 503 && response.headers().get("spanfold-ran").is_some_and(|value| value == "no")
}

async fn try_endpoint(
    shared: &SharedState,
    call: &ServiceCall,
    endpoint: &str,
    body: &mut CallBody,
    gate: &AdmissionGate,
) -> Result<Response<Incoming>, CallError> {
    let address = address_of(shared, endpoint).and_then(|address| address.parse().ok());
    let address = address.ok_or_else(|| CallError::NotSent("not declared any more".to_owned()))?;
    let mut sender = EndpointClient::open(address).await?;
    // Reported once the connection is open, so that a slow answer does not block the endpoint for
    // other requests.
    gate.report_progress(Outcome::FirstToken(PromptUsage::default()));
    let outgoing = match std::mem::replace(body, CallBody::Consumed) {
        CallBody::Buffered(bytes) => {
            *body = CallBody::Buffered(bytes.clone());
            Full::new(bytes).map_err(|never| match never {}).boxed()
        }
        CallBody::Streamed(streamed) => *streamed,
        CallBody::Consumed => return Err(CallError::Unknown("the body was sent already".to_owned())),
    };
    let mut request = Request::new(outgoing);
    *request.method_mut() = call.method.clone();
    *request.uri_mut() =
        call.path.parse().map_err(|_error| CallError::NotSent("malformed path".to_owned()))?;
    *request.headers_mut() = forwarded_headers(&call.headers);
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert("host", host);
    }
    if let Ok(account) = HeaderValue::from_str(&call.account) {
        request.headers_mut().insert("spanfold-account", account);
    }
    let answer = tokio::time::timeout(shared.time_until(call.deadline), sender.send_request(request)).await;
    let Ok(answer) = answer else { return Err(CallError::Unknown("no answer by the deadline".to_owned())) };
    answer.map_err(|error| CallError::Unknown(error.to_string()))
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let is_unforwarded = |name: &HeaderName| UNFORWARDED_HEADERS.contains(&name.as_str());
    headers
        .iter()
        .filter(|(name, _)| !is_unforwarded(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
