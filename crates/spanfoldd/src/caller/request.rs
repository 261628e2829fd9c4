//! Reads and validates the requests of callers.
//!
//! Invariant: a malformed request is refused before it reaches the kernel, so nothing is lost.

use crate::block_key::{BlockKeys, estimate_tokens};
use crate::caller::FinalError;
use crate::shared::SharedState;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::HeaderMap;
use hyper::body::Incoming;
use serde_json::{Map, Value};
use spanfold_declare::{Pool, key_digest};
use spanfold_entity::Moment;
use std::time::Duration;

/// Tokens generated at most if the caller sets no bound.
const DEFAULT_TOKENS: u32 = 256;
/// Largest number of tokens that a caller may request.
const MAX_TOKENS: u64 = 131_072;
/// Longest deadline that a caller may set.
const MAX_DEADLINE_MILLIS: u64 = 600_000;

/// A validated completion request.
#[derive(Clone, Debug)]
pub(crate) struct CompletionCall {
    pub account: String,
    pub pool: String,
    pub model: String,
    /// The weight version, fixed for the whole run.
    pub version: String,
    pub chat: bool,
    pub stream: bool,
    pub body: Map<String, Value>,
    pub keys: BlockKeys,
    pub prompt_tokens: u32,
    pub max_tokens: u32,
    pub deadline: Moment,
    pub priority: i8,
}

/// Returns the client account of a request's bearer key.
pub(crate) fn authenticate(shared: &SharedState, headers: &HeaderMap) -> Result<String, FinalError> {
    let (generation, catalogue) = shared.catalogue();
    if generation == 0 {
        return Err(FinalError::not_run("no_configuration", "this VM has no configuration yet", 1_000));
    }
    let unauthorized = |message| FinalError::bad_request(401, "unauthorized", message);
    let header = headers.get("authorization").ok_or_else(|| unauthorized("a bearer key is required"))?;
    let key = header
        .to_str()
        .ok()
        .and_then(|text| text.strip_prefix("Bearer "))
        .ok_or_else(|| unauthorized("expected `Authorization: Bearer KEY`"))?;
    let account = catalogue.account_by_digest.get(&key_digest(key.trim()));
    account.cloned().ok_or_else(|| unauthorized("the bearer key is not known"))
}

/// Reads a body of at most `limit` bytes within the time of the settings.
pub(crate) async fn read_limited(
    shared: &SharedState,
    body: Incoming,
    limit: usize,
) -> Result<Bytes, FinalError> {
    let timeout = Duration::from_millis(shared.settings.body_millis);
    let read = tokio::time::timeout(timeout, Limited::new(body, limit).collect()).await;
    match read {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(FinalError::bad_request(413, "too_large", format!("the body is longer than {limit} bytes")))
        }
        Ok(Err(_)) => Err(FinalError::bad_request(400, "broken_body", "the body broke off")),
        Err(_) => Err(FinalError::bad_request(408, "slow_body", "the body took too long")),
    }
}

/// Validates a completion request.
pub(crate) fn check_completion(
    shared: &SharedState,
    account: String,
    headers: &HeaderMap,
    bytes: &[u8],
    chat: bool,
) -> Result<CompletionCall, FinalError> {
    let invalid_request = |message: &str| FinalError::bad_request(400, "invalid_request", message);
    let value: Value = serde_json::from_slice(bytes).map_err(|error| {
        // The parser's own message may quote the body.
        invalid_request(&format!("the body is not JSON: line {} column {}", error.line(), error.column()))
    })?;
    let Value::Object(body) = value else { return Err(invalid_request("the body is not a JSON object")) };
    let model = body
        .get("model")
        .and_then(Value::as_str)
        .ok_or_else(|| invalid_request("`model` must be a string"))?;
    let prompt = if chat { render_chat(&body)? } else { read_prompt(&body)? };
    let max_tokens = read_tokens(&body)?;
    let stream = match body.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(invalid_request("`stream` must be true or false")),
    };
    let (_, catalogue) = shared.catalogue();
    let pool: &Pool = catalogue
        .pool_by_model
        .get(model)
        .and_then(|pool| catalogue.declarations.pools.get(pool))
        .ok_or_else(|| FinalError::bad_request(404, "model_not_found", "no such model"))?;
    let keys = BlockKeys::new(&shared.keys, &account, model, &pool.version, prompt.as_bytes());
    Ok(CompletionCall {
        account,
        pool: pool.name.clone(),
        model: model.to_owned(),
        version: pool.version.clone(),
        chat,
        stream,
        keys,
        prompt_tokens: estimate_tokens(prompt.len()),
        max_tokens,
        deadline: read_deadline(shared, headers)?,
        priority: read_priority(headers)?,
        body,
    })
}

fn read_tokens(body: &Map<String, Value>) -> Result<u32, FinalError> {
    let Some(value) = body.get("max_tokens").or_else(|| body.get("max_completion_tokens")) else {
        return Ok(DEFAULT_TOKENS);
    };
    value.as_u64().filter(|tokens| (1..=MAX_TOKENS).contains(tokens)).map(|tokens| tokens as u32).ok_or_else(
        || {
            let message = format!("`max_tokens` must be from 1 to {MAX_TOKENS}");
            FinalError::bad_request(400, "invalid_request", message)
        },
    )
}

fn read_prompt(body: &Map<String, Value>) -> Result<String, FinalError> {
    match body.get("prompt") {
        Some(Value::String(prompt)) if !prompt.is_empty() => Ok(prompt.clone()),
        _ => Err(FinalError::bad_request(400, "invalid_request", "`prompt` must be a non-empty string")),
    }
}

/// Renders chat messages as a prompt, as `docs/INTERFACES.md` specifies.
fn render_chat(body: &Map<String, Value>) -> Result<String, FinalError> {
    let invalid_request = |message| FinalError::bad_request(400, "invalid_request", message);
    let messages = body.get("messages").and_then(Value::as_array).filter(|messages| !messages.is_empty());
    let messages = messages.ok_or_else(|| invalid_request("`messages` must be a non-empty list"))?;
    let mut text = String::new();
    for message in messages {
        let field = |key: &str| message.get(key).and_then(Value::as_str);
        let (Some(role), Some(content)) = (field("role"), field("content")) else {
            return Err(invalid_request("each message needs `role` and `content` as strings"));
        };
        for token in ["<|", role, "|>", content, "\n"] {
            text.push_str(token);
        }
    }
    Ok(text)
}

/// Returns the deadline of the first token, or of a service's answer.
pub(crate) fn read_deadline(shared: &SharedState, headers: &HeaderMap) -> Result<Moment, FinalError> {
    let millis = match headers.get("spanfold-deadline-ms") {
        None => shared.settings.deadline_millis,
        Some(value) => value
            .to_str()
            .ok()
            .and_then(|text| text.parse().ok())
            .filter(|millis| (1..=MAX_DEADLINE_MILLIS).contains(millis))
            .ok_or_else(|| {
                let message = format!("`Spanfold-Deadline-Ms` must be from 1 to {MAX_DEADLINE_MILLIS}");
                FinalError::bad_request(400, "invalid_header", message)
            })?,
    };
    Ok(shared.now().after_millis(millis))
}

pub(crate) fn read_priority(headers: &HeaderMap) -> Result<i8, FinalError> {
    let Some(value) = headers.get("spanfold-priority") else { return Ok(0) };
    value.to_str().ok().and_then(|text| text.parse().ok()).filter(|p| (-10..=10).contains(p)).ok_or_else(
        || FinalError::bad_request(400, "invalid_header", "`Spanfold-Priority` must be from -10 to 10"),
    )
}
