//! A small HTTP caller for tests, the quick start and measurements.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Why a call returned no complete answer.
#[derive(Debug)]
pub enum CallerError {
    /// The connection failed or broke.
    Broken(String),
    /// The stream ended without its last event; contains what was received.
    Incomplete(Box<Answer>),
}

/// An answer as the caller received it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: BTreeMap<String, String>,
    /// The body, or the concatenated text of all events.
    pub text: String,
    /// The id of the last event.
    pub last_event_id: String,
    /// Number of events with text.
    pub events: u32,
    /// Time to the first event of a stream, else to the head.
    pub first_event_after: Duration,
    /// Time to the end of the answer.
    pub finished_after: Duration,
    /// Longest time between two frames of a stream.
    pub longest_gap: Duration,
}

impl Answer {
    /// Returns `spanfold-ran`, whether the request ran: `no`, `yes` or `unknown`; empty without that header.
    pub fn ran(&self) -> &str {
        self.headers.get("spanfold-ran").map_or("", String::as_str)
    }

    /// Returns a field of `spanfold-usage`, in tokens; zero if it is missing.
    pub fn usage(&self, field: &str) -> u64 {
        let text = self.headers.get("spanfold-usage").map_or("", String::as_str);
        let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        pairs.find(|(name, _)| *name == field).and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
    }

    /// Returns the error's code if the body is an error, else an empty text.
    pub fn code(&self) -> String {
        let value: Value = serde_json::from_str(&self.text).unwrap_or_default();
        value["error"]["code"].as_str().unwrap_or_default().to_owned()
    }
}

/// An HTTP client with a bearer key.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    key: String,
}

impl Caller {
    /// Creates a caller with a bearer key; an empty `key` is not sent.
    ///
    /// # Examples
    /// ```
    /// let _caller = spanfold_standin::Caller::new("key-of-someone");
    /// ```
    pub fn new(key: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self { client: Client::builder(TokioExecutor::new()).build(connector), key: key.to_owned() }
    }

    /// Sends a request with `headers` and the bearer key, and reads the whole answer.
    ///
    /// # Errors
    /// If the connection failed or broke.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer, CallerError> {
        let started_at = Instant::now();
        let response = self.request(address, method, path, headers, body.into()).await?;
        let mut answer = read_head(&response);
        answer.first_event_after = started_at.elapsed();
        let body =
            response.into_body().collect().await.map_err(|error| CallerError::Broken(error.to_string()))?;
        answer.text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        answer.finished_after = started_at.elapsed();
        Ok(answer)
    }

    /// Sends a completion and reads its stream to the end.
    ///
    /// # Errors
    /// If the connection broke, or the stream ended before its last event.
    pub async fn complete(
        &self,
        address: SocketAddr,
        model: &str,
        prompt: &str,
        tokens: u32,
        headers: &[(&str, &str)],
    ) -> Result<Answer, CallerError> {
        let body = json!({ "model": model, "prompt": prompt, "max_tokens": tokens, "stream": true });
        self.stream(address, headers, body.to_string(), None).await
    }

    /// Sends a completion body and reads its stream, to the end or up to `max_events` events.
    ///
    /// # Errors
    /// If the connection broke, or the stream ended before its last event.
    pub async fn stream(
        &self,
        address: SocketAddr,
        headers: &[(&str, &str)],
        body: String,
        max_events: Option<u32>,
    ) -> Result<Answer, CallerError> {
        let started_at = Instant::now();
        let response = self.request(address, "POST", "/v1/completions", headers, body.into()).await?;
        let mut answer = read_head(&response);
        let mut stream = response.into_body();
        let (mut buffer, mut done) = (Vec::new(), false);
        let mut previous_event_at = Instant::now();
        while let Some(frame) = stream.frame().await {
            let Ok(frame) = frame else { break };
            if answer.events == 0 {
                answer.first_event_after = started_at.elapsed();
            } else {
                answer.longest_gap = answer.longest_gap.max(previous_event_at.elapsed());
            }
            previous_event_at = Instant::now();
            buffer.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
            if answer.status != 200 {
                continue;
            }
            while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
                let event: Vec<u8> = buffer.drain(..end + 2).collect();
                done |= apply_event(&mut answer, &String::from_utf8_lossy(&event));
                if max_events.is_some_and(|max_events| answer.events >= max_events) {
                    answer.finished_after = started_at.elapsed();
                    return Ok(answer);
                }
            }
        }
        answer.finished_after = started_at.elapsed();
        if answer.status != 200 {
            answer.text = String::from_utf8_lossy(&buffer).into_owned();
            return Ok(answer);
        }
        if done { Ok(answer) } else { Err(CallerError::Incomplete(Box::new(answer))) }
    }

    async fn request(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response<Incoming>, CallerError> {
        let to_broken = |error: &dyn std::fmt::Display| CallerError::Broken(error.to_string());
        let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        if !self.key.is_empty() {
            request = request.header("authorization", format!("Bearer {}", self.key));
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).map_err(|error| to_broken(&error))?;
        self.client.request(request).await.map_err(|error| to_broken(&error))
    }
}

fn read_head(response: &Response<Incoming>) -> Answer {
    let headers = response.headers().iter();
    let headers = headers
        .map(|(name, value)| (name.as_str().to_owned(), value.to_str().unwrap_or_default().to_owned()));
    Answer { status: response.status().as_u16(), headers: headers.collect(), ..Answer::default() }
}

/// Adds one event to `answer`; returns whether it is the last of a complete answer.
fn apply_event(answer: &mut Answer, event: &str) -> bool {
    let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
    let data = field("data: ").unwrap_or_default();
    if event.starts_with("event: error") {
        data.clone_into(&mut answer.text);
        return false;
    }
    if data.is_empty() {
        return false;
    }
    field("id: ").unwrap_or_default().clone_into(&mut answer.last_event_id);
    if data == "[DONE]" {
        return true;
    }
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    let choice = &value["choices"][0];
    let text = choice["text"].as_str().or_else(|| choice["delta"]["content"].as_str());
    answer.text.push_str(text.unwrap_or_default());
    answer.events += 1;
    false
}
