//! Tests that malformed or oversize input gets a clear error, and loses or leaks nothing.

use crate::support::long_prompt;
use spanfold_standin::{Caller, Deployment, DeploymentPlan};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use yare::parameterized;

const COMPLETIONS: &str = "/v1/completions";

fn plan() -> DeploymentPlan {
    let limits = "body_bytes = 65536\nheader_ms = 500\nbody_ms = 500\n".to_owned();
    DeploymentPlan { settings: BTreeMap::from([("limits".to_owned(), limits)]), ..DeploymentPlan::default() }
}

#[parameterized(
    no_key = { "", COMPLETIONS, &[], r#"{"model":"visa-7b","prompt":"x"}"#, 401, "unauthorized" },
    wrong_key = { "key-nobody", COMPLETIONS, &[], r#"{"model":"visa-7b","prompt":"x"}"#, 401, "unauthorized" },
    not_json = { "key-small", COMPLETIONS, &[], "SECRET TEXT", 400, "invalid_request" },
    not_an_object = { "key-small", COMPLETIONS, &[], "[1]", 400, "invalid_request" },
    no_model = { "key-small", COMPLETIONS, &[], r#"{"prompt":"x"}"#, 400, "invalid_request" },
    unknown_model = { "key-small", COMPLETIONS, &[], r#"{"model":"m","prompt":"x"}"#, 404, "model_not_found" },
    empty_prompt = { "key-small", COMPLETIONS, &[], r#"{"model":"visa-7b","prompt":""}"#, 400, "invalid_request" },
    prompt_list = { "key-small", COMPLETIONS, &[], r#"{"model":"visa-7b","prompt":[1]}"#, 400, "invalid_request" },
    bad_tokens = { "key-small", COMPLETIONS, &[], r#"{"model":"visa-7b","prompt":"x","max_tokens":0}"#, 400, "invalid_request" },
    bad_stream = { "key-small", COMPLETIONS, &[], r#"{"model":"visa-7b","prompt":"x","stream":1}"#, 400, "invalid_request" },
    chat_without_role = { "key-small", "/v1/chat/completions", &[], r#"{"model":"visa-7b","messages":[{"content":"x"}]}"#, 400, "invalid_request" },
    bad_deadline = { "key-small", COMPLETIONS, &[("spanfold-deadline-ms", "soon")], r#"{"model":"visa-7b","prompt":"x"}"#, 400, "invalid_header" },
    bad_priority = { "key-small", COMPLETIONS, &[("spanfold-priority", "99")], r#"{"model":"visa-7b","prompt":"x"}"#, 400, "invalid_header" },
    bad_token = { "key-small", COMPLETIONS, &[("last-event-id", "zzz")], "", 403, "resume_forbidden" },
    unknown_path = { "key-small", "/v1/nothing", &[], "", 404, "not_found" },
    unknown_service = { "key-small", "/services/none/x", &[], "", 404, "service_not_found" },
    empty_idempotency_key = { "key-small", "/services/desk/x", &[("idempotency-key", "")], "", 400, "invalid_header" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn is_refused(
    key: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &'static str,
    status: u16,
    code: &str,
) {
    let deployment = Deployment::start(plan()).await.unwrap();
    let answer =
        Caller::new(key).send(deployment.caller_address("vm-a1"), "POST", path, headers, body).await.unwrap();
    assert_eq!(
        (answer.status, answer.code().as_str(), answer.ran()),
        (status, code, "no"),
        "{}",
        answer.text
    );
    assert!(!answer.text.contains("SECRET") && !answer.text.contains("key-"), "{}", answer.text);
    // The VM still serves valid requests.
    let valid = Caller::new("key-small")
        .complete(deployment.caller_address("vm-a1"), "visa-7b", "hello", 2, &[])
        .await;
    assert_eq!(valid.unwrap().status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_idempotency_key_is_refused() {
    let deployment = Deployment::start(plan()).await.unwrap();
    let key = "k".repeat(257);
    let headers = [("idempotency-key", key.as_str())];
    let address = deployment.caller_address("vm-a1");
    let answer =
        Caller::new("key-small").send(address, "POST", "/services/desk/x", &headers, "").await.unwrap();
    assert_eq!((answer.status, answer.code().as_str(), answer.ran()), (400, "invalid_header", "no"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_oversize_prompt_is_refused() {
    let deployment = Deployment::start(plan()).await.unwrap();
    let caller = Caller::new("key-small");
    let prompt = long_prompt(20, "too long");
    let answer =
        caller.complete(deployment.caller_address("vm-a1"), "visa-7b", &prompt, 2, &[]).await.unwrap();
    assert_eq!((answer.status, answer.code().as_str(), answer.ran()), (413, "too_large", "no"));
}

#[parameterized(
    header = { "POST /v1/completions HTTP/1.1\r\nhost: x\r\nx-slow: ", 408 },
    body = { "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-small\r\ncontent-length: 50\r\n\r\n{", 408 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_caller_that_sends_too_slowly_is_disconnected(start: &str, status: u16) {
    let deployment = Deployment::start(plan()).await.unwrap();
    let mut socket = tokio::net::TcpStream::connect(deployment.caller_address("vm-a1")).await.unwrap();
    socket.write_all(start.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(20), socket.read_to_end(&mut answer)).await;
    let text = String::from_utf8_lossy(&answer).into_owned();
    // A connection whose header was never received may be closed without an answer.
    let closed = read.is_ok() && text.is_empty();
    assert!(closed || text.starts_with(&format!("HTTP/1.1 {status}")), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upload_is_streamed_and_not_buffered_whole() {
    let deployment = Deployment::start(plan()).await.unwrap();
    let caller = Caller::new("key-small");
    let upload = vec![b'x'; 3_000_000];
    let address = deployment.caller_address("vm-a1");
    let answer = caller.send(address, "POST", "/services/desk/jobs", &[], upload.clone()).await.unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text);
    let received: u64 =
        deployment.services.values().map(spanfold_standin::ServiceStandin::received_bytes).sum();
    assert_eq!(received, upload.len() as u64);
}
