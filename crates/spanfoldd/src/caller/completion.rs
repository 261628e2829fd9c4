//! Completions, from a caller's request to the complete answer.

use crate::block_key::derive_cache_salt;
use crate::burn::ServedSample;
use crate::caller::admission_gate::{AdmissionGate, spend_retry};
use crate::caller::frame_reader::{DONE, FrameReader};
use crate::caller::request::{CompletionCall, authenticate, check_completion, read_limited};
use crate::caller::run_forwarder::{RunEvent, RunForwarder};
use crate::caller::{BoxError, CallerBody, FinalError, full_body};
use crate::endpoint_client::CallError;
use crate::probe::address_of;
use crate::secret::StreamLocation;
use crate::shared::SharedState;
use bytes::{BufMut, Bytes, BytesMut};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{HeaderMap, Request, Response};
use serde_json::{Value, json};
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use spanfold_gateway::KindLabel;
use spanfold_kernel::{Arrival, FailureKind, Import, Outcome, PromptUsage, RanState};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum number of endpoints tried for each start of a run.
const MAX_ATTEMPTS: usize = 3;
/// Time after which an engine that has not answered a liveness probe counts as failed.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(1);
/// Bound on events queued for a slow caller.
const MAX_QUEUED_EVENTS: usize = 64;

/// A run whose first token was generated.
#[derive(Debug)]
pub(crate) struct StartedRun {
    pub location: StreamLocation,
    pub reader: FrameReader,
    pub usage: PromptUsage,
}

/// Answers a completion request.
pub(crate) async fn answer(
    shared: &Arc<SharedState>,
    request: Request<Incoming>,
    chat: bool,
) -> Result<Response<CallerBody>, FinalError> {
    let arrived = shared.now();
    let (head, body) = request.into_parts();
    let account = authenticate(shared, &head.headers)?;
    if let Some(id) = head.headers.get("last-event-id") {
        let id = id.to_str().unwrap_or_default().to_owned();
        return resume(shared, &account, &id).await;
    }
    let bytes = read_limited(shared, body, shared.settings.body_bytes).await?;
    let call = Arc::new(check_completion(shared, account, &head.headers, &bytes, chat)?);
    let gate = AdmissionGate::new(shared);
    let result = start_run(shared, &call, &gate, &mut Vec::new(), "").await;
    let run = match result {
        Ok(run) => run,
        Err(error) => {
            record_sample(shared, &call.account, ServedSample::default());
            return Err(error);
        }
    };
    let first_token = shared.now().micros_since(arrived);
    shared.metrics.first_token_seconds.observe(first_token as f64 / 1e6);
    record_usage(shared, run.usage);
    let (sender, events) = mpsc::channel(MAX_QUEUED_EVENTS);
    let usage = run.usage;
    let token = shared.keys.stream_token(&call.account, &run.location);
    let forwarder = RunForwarder::new(shared, &call, gate, run, arrived, first_token / MICROS_PER_MILLI);
    tokio::spawn(forwarder.run(sender));
    if call.stream {
        Ok(stream_response(events, token, usage))
    } else {
        collect_answer(&call, events, usage).await
    }
}

pub(crate) fn record_sample(shared: &SharedState, account: &str, sample: ServedSample) {
    shared.burn.record(&shared.catalogue().1, account, sample, shared.now());
}

fn record_usage(shared: &SharedState, usage: PromptUsage) {
    for (kind, tokens) in
        [("cached", usage.cached), ("imported", usage.imported), ("computed", usage.computed)]
    {
        shared.metrics.prompt_tokens.get_or_create(&KindLabel::new(kind)).inc_by(u64::from(tokens));
    }
}

/// Starts a run at an endpoint; after a failure, at another one.
///
/// The number of attempts, the retry budget and the deadline bound the retries.
pub(crate) async fn start_run(
    shared: &Arc<SharedState>,
    call: &CompletionCall,
    gate: &AdmissionGate,
    exclude: &mut Vec<String>,
    sent_text: &str,
) -> Result<StartedRun, FinalError> {
    for attempt in 0.. {
        let arrival = Arrival {
            request: gate.number,
            account: call.account.clone(),
            pool: call.pool.clone(),
            keys: call.keys.short.clone(),
            prompt_tokens: call.prompt_tokens,
            max_tokens: call.max_tokens,
            deadline: call.deadline,
            priority: call.priority,
            exclude: exclude.clone(),
        };
        let target = gate.admit(arrival).await?;
        let stream = format!("{}-{:x}-{}", shared.settings.name, gate.number, exclude.len());
        let location = StreamLocation { endpoint: target.endpoint.clone(), stream };
        let failure =
            match try_endpoint(shared, call, &location, target.import.as_ref(), target.priority, sent_text)
                .await
            {
                Ok(run) => {
                    gate.report_progress(Outcome::FirstToken(run.usage));
                    return Ok(run);
                }
                Err(failure) => failure,
            };
        log::info!(endpoint = target.endpoint.as_str(), error:% = failure; "endpoint.failed");
        gate.report_failure(if matches!(failure, CallError::NotSent(_)) {
            FailureKind::Refused
        } else {
            FailureKind::Broken
        });
        exclude.push(target.endpoint);
        if attempt + 1 >= MAX_ATTEMPTS || !spend_retry() || shared.now() >= call.deadline {
            return Err(final_attempt_error(&failure));
        }
    }
    unreachable!("the loop ends by a return")
}

fn final_attempt_error(failure: &CallError) -> FinalError {
    match failure {
        CallError::NotSent(_) => {
            FinalError::not_run("endpoint_refused", "no endpoint took the request", 1_000)
        }
        CallError::Unknown(_) => {
            FinalError::ran(504, "endpoint_failed", "the endpoint gave no answer in time", RanState::Unknown)
        }
    }
}

async fn try_endpoint(
    shared: &SharedState,
    call: &CompletionCall,
    location: &StreamLocation,
    import: Option<&Import>,
    priority: i8,
    sent_text: &str,
) -> Result<StartedRun, CallError> {
    let not_sent = |cause: &str| CallError::NotSent(cause.to_owned());
    let address = address_of(shared, &location.endpoint).ok_or_else(|| not_sent("not declared any more"))?;
    let body = engine_body(shared, call, location, import, priority, sent_text);
    let path = if call.chat { "/v1/chat/completions" } else { "/v1/completions" };
    let request = Request::post(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .map_err(|error| CallError::NotSent(error.to_string()))?;
    let Some(answer) = wait_for_answer(shared, call, &address, request).await else {
        cancel(shared, location).await;
        return Err(CallError::Unknown("no first token in time".to_owned()));
    };
    let response = answer?;
    match response.status().as_u16() {
        200 => {}
        // Refused before running: the engine is departing, or has another weight version.
        status @ (409 | 503) => return Err(CallError::NotSent(format!("refused with {status}"))),
        status => return Err(CallError::Unknown(format!("answered {status}"))),
    }
    let usage = read_usage(response.headers());
    Ok(StartedRun { location: location.clone(), reader: FrameReader::new(response.into_body()), usage })
}

/// Waits for the head of the engine's answer until the first token's deadline.
///
/// A healthy engine sends nothing for seconds during the prefill of a long prompt, just as a frozen
/// one does. After each stall timeout without an answer the engine is therefore probed; a failed
/// probe ends the wait.
async fn wait_for_answer(
    shared: &SharedState,
    call: &CompletionCall,
    address: &str,
    request: Request<Full<Bytes>>,
) -> Option<Result<Response<Incoming>, CallError>> {
    let stall_timeout = Duration::from_millis(shared.settings.stall_millis);
    let answer = shared.endpoints.send(request);
    tokio::pin!(answer);
    loop {
        let remaining = shared.time_until(call.deadline);
        if remaining.is_zero() {
            return None;
        }
        if let Ok(answer) = tokio::time::timeout(stall_timeout.min(remaining), &mut answer).await {
            return Some(answer);
        }
        let probe = Request::get(format!("http://{address}/healthz")).body(Full::default()).ok()?;
        shared.endpoints.read(probe, LIVENESS_TIMEOUT).await.ok()?;
    }
}

/// Returns the caller's body with the fields that the engine needs in addition.
fn engine_body(
    shared: &SharedState,
    call: &CompletionCall,
    location: &StreamLocation,
    import: Option<&Import>,
    priority: i8,
    sent_text: &str,
) -> Value {
    let import: Vec<Value> = import
        .and_then(|import| {
            let store = address_of(shared, &import.store)?;
            let keys = call.keys.full.get(import.first as usize..import.end as usize)?;
            let rows = keys.iter().map(
                |key| json!({ "key": key, "url": format!("http://{store}/kv/{}/{}", call.pool, &key[..16]) }),
            );
            Some(rows.collect())
        })
        .unwrap_or_default();
    let mut body = call.body.clone();
    body.insert("stream".to_owned(), json!(true));
    body.insert("max_tokens".to_owned(), json!(call.max_tokens));
    body.insert("cache_salt".to_owned(), json!(derive_cache_salt(&shared.keys, &call.account)));
    body.insert("priority".to_owned(), json!(priority));
    body.insert("version".to_owned(), json!(call.version));
    body.insert("stream_id".to_owned(), json!(location.stream));
    body.insert("kv".to_owned(), json!({ "keys": call.keys.full, "import": import }));
    if !sent_text.is_empty() {
        body.insert("continue_from".to_owned(), json!(sent_text));
    }
    Value::Object(body)
}

/// Cancels a run at its engine when its answer is no longer needed.
pub(crate) async fn cancel(shared: &SharedState, location: &StreamLocation) {
    let Some(address) = address_of(shared, &location.endpoint) else { return };
    let url = format!("http://{address}/v1/streams/{}", location.stream);
    if let Ok(request) = Request::delete(url).body(Full::default()) {
        let timeout = Duration::from_secs(1);
        if let Err(error) = shared.endpoints.read(request, timeout).await {
            log::debug!(error:% = error; "run.uncancelled");
        }
    }
}

fn read_usage(headers: &HeaderMap) -> PromptUsage {
    let mut usage = PromptUsage::default();
    let text = headers.get("kv-usage").and_then(|value| value.to_str().ok()).unwrap_or_default();
    for (name, value) in text.split(',').filter_map(|pair| pair.trim().split_once('=')) {
        let value: u64 = value.parse().unwrap_or(0);
        match name {
            "cached" => usage.cached = value as u32,
            "imported" => usage.imported = value as u32,
            "computed" => usage.computed = value as u32,
            "import_us" => usage.import_micros = value,
            "compute_us" => usage.compute_micros = value,
            _ => {}
        }
    }
    usage
}

/// Resumes a stream that a caller lost, whichever VM the stream started at.
async fn resume(
    shared: &Arc<SharedState>,
    account: &str,
    id: &str,
) -> Result<Response<CallerBody>, FinalError> {
    let forbidden = || FinalError::bad_request(403, "resume_forbidden", "the event id is not this account's");
    let (location, offset) = shared.keys.read_event_id(account, id).ok_or_else(forbidden)?;
    let token = shared.keys.stream_token(account, &location);
    let reader =
        crate::caller::run_forwarder::reopen(shared, &location, offset + 1).await.ok_or_else(|| {
            let message = "the rest of the answer is lost: it is incomplete";
            FinalError::ran(410, "incomplete", message, RanState::Yes)
        })?;
    let (sender, events) = mpsc::channel(MAX_QUEUED_EVENTS);
    let forwarder = RunForwarder::resumed(shared, location, reader, offset + 1);
    tokio::spawn(forwarder.run(sender));
    Ok(stream_response(events, token, PromptUsage::default()))
}

fn usage_header(usage: PromptUsage) -> String {
    format!("cached={},imported={},computed={}", usage.cached, usage.imported, usage.computed)
}

/// Returns an answer of server-sent events, each with an id from which any VM can resume.
fn stream_response(
    events: mpsc::Receiver<RunEvent>,
    token: String,
    usage: PromptUsage,
) -> Response<CallerBody> {
    let stream = EventStream { events, token: Arc::from(token) };
    Response::builder()
        .header("content-type", "text/event-stream")
        .header("cache-control", "no-store")
        .header("spanfold-usage", usage_header(usage))
        .body(StreamBody::new(stream).boxed())
        .unwrap_or_else(|_| Response::new(full_body("")))
}

/// Encodes run events as the bytes that a caller receives.
struct EventStream {
    events: mpsc::Receiver<RunEvent>,
    token: Arc<str>,
}

impl futures_core::Stream for EventStream {
    type Item = Result<Frame<Bytes>, BoxError>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        let Some(event) = std::task::ready!(self.events.poll_recv(context)) else {
            return std::task::Poll::Ready(None);
        };
        let bytes = match event {
            RunEvent::Data { offset, data } => event_bytes(&self.token, offset, &data),
            RunEvent::TokenChanged { token } => {
                self.token = Arc::from(token);
                Bytes::new()
            }
            RunEvent::Done { offset } => event_bytes(&self.token, offset, DONE),
            RunEvent::Incomplete(error) => Bytes::from(format!("event: error\ndata: {}\n\n", error.body())),
        };
        std::task::Poll::Ready(Some(Ok(Frame::data(bytes))))
    }
}

fn event_bytes(token: &str, offset: u64, data: &[u8]) -> Bytes {
    let mut bytes = BytesMut::with_capacity(token.len() + data.len() + 40);
    bytes.put_slice(b"id: ");
    bytes.put_slice(token.as_bytes());
    bytes.put_u8(b'.');
    bytes.put_slice(offset.to_string().as_bytes());
    bytes.put_slice(b"\ndata: ");
    bytes.put_slice(data);
    bytes.put_slice(b"\n\n");
    bytes.freeze()
}

/// Returns the text that one event adds to the answer.
pub(crate) fn event_text(data: &[u8]) -> String {
    let value: Value = serde_json::from_slice(data).unwrap_or_default();
    let choice = &value["choices"][0];
    choice["text"].as_str().or_else(|| choice["delta"]["content"].as_str()).unwrap_or_default().to_owned()
}

/// Collects the whole answer into one JSON object.
async fn collect_answer(
    call: &CompletionCall,
    mut events: mpsc::Receiver<RunEvent>,
    usage: PromptUsage,
) -> Result<Response<CallerBody>, FinalError> {
    let (mut text, mut tokens, mut done) = (String::new(), 0_u32, false);
    while let Some(event) = events.recv().await {
        match event {
            RunEvent::Data { data, .. } => {
                text.push_str(&event_text(&data));
                tokens += 1;
            }
            RunEvent::Done { .. } => done = true,
            RunEvent::TokenChanged { .. } => {}
            RunEvent::Incomplete(error) => return Err(error),
        }
    }
    if !done {
        return Err(FinalError::ran(502, "incomplete", "the answer is incomplete", RanState::Yes));
    }
    let choice = if call.chat {
        json!({ "index": 0, "message": { "role": "assistant", "content": text }, "finish_reason": "stop" })
    } else {
        json!({ "index": 0, "text": text, "finish_reason": "stop" })
    };
    let body = json!({
        "object": if call.chat { "chat.completion" } else { "text_completion" },
        "model": call.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": call.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": call.prompt_tokens + tokens,
            "prompt_tokens_details": { "cached_tokens": usage.cached + usage.imported },
        },
    });
    let response = Response::builder()
        .header("content-type", "application/json")
        .header("spanfold-usage", usage_header(usage))
        .body(full_body(body.to_string()));
    Ok(response.unwrap_or_else(|_| Response::new(full_body(""))))
}

/// Returns the milliseconds since `arrived`.
pub(crate) fn millis_since(shared: &SharedState, arrived: Moment) -> u64 {
    shared.now().micros_since(arrived) / MICROS_PER_MILLI
}
