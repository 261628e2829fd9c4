//! Client of the key-value service, through etcd v3's JSON gateway.
//!
//! Keys and values are base64 in JSON; 64-bit numbers are JSON strings (the protobuf mapping).
//! Invariant: every call is counted by kind, an open watch as one call, because the platform's
//! rate limits grow more slowly than the fleet.

use crate::PlatformError;
use crate::http::{JsonClient, call, json_client, json_request};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http_body_util::BodyExt;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Timeout after which a call counts as unanswered.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Numbers of calls by kind.
#[derive(Debug, Default)]
pub struct CallCounts {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

impl CallCounts {
    /// Returns the label and the count of each kind.
    pub fn by_kind(&self) -> [(&'static str, u64); 3] {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        [("read", load(&self.reads)), ("write", load(&self.writes)), ("watch", load(&self.watches))]
    }
}

/// A key and its value, with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// The key.
    pub key: String,
    /// The value, as text.
    pub text: String,
    /// The revision of its last change.
    pub revision: u64,
}

/// Result of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was written.
    Written,
    /// The revision did not match: the current value, or none if the key does not exist.
    Conflict(Option<StoredValue>),
}

/// A client of the key-value service.
#[derive(Clone, Debug)]
pub struct KeyValueClient {
    client: JsonClient,
    address: SocketAddr,
    counts: Arc<CallCounts>,
}

impl KeyValueClient {
    /// Creates a client of the service at `address`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_keyvalue::KeyValueClient;
    /// let client = KeyValueClient::new("127.0.0.1:2379".parse().unwrap());
    /// assert_eq!(client.counts().by_kind()[0], ("read", 0));
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        Self { client: json_client(), address, counts: Arc::default() }
    }

    /// Returns the numbers of calls since the client was created.
    pub fn counts(&self) -> &CallCounts {
        &self.counts
    }

    /// Reads one key.
    ///
    /// # Errors
    /// If the platform did not answer or reported an error.
    pub async fn get(&self, key: &str) -> Result<Option<StoredValue>, PlatformError> {
        Ok(self.range(&json!({ "key": encode_base64(key) })).await?.pop())
    }

    /// Reads at most `limit` keys from `start` up to but not including `end`, in order.
    ///
    /// # Errors
    /// If the platform did not answer or reported an error.
    pub async fn get_range(
        &self,
        start: &str,
        end: &str,
        limit: u32,
    ) -> Result<Vec<StoredValue>, PlatformError> {
        let body = json!({
            "key": encode_base64(start), "range_end": encode_base64(end), "limit": limit.to_string(),
        });
        self.range(&body).await
    }

    async fn range(&self, body: &Value) -> Result<Vec<StoredValue>, PlatformError> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let answer = call(&self.client, self.address, "/v3/kv/range", Some(body), CALL_TIMEOUT).await?;
        Ok(read_values(&answer))
    }

    /// Writes one key, regardless of its current value.
    ///
    /// # Errors
    /// If the platform did not answer or reported an error; the write may have taken effect.
    pub async fn put(&self, key: &str, text: &str) -> Result<(), PlatformError> {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let body = json!({ "key": encode_base64(key), "value": encode_base64(text) });
        call(&self.client, self.address, "/v3/kv/put", Some(&body), CALL_TIMEOUT).await.map(drop)
    }

    /// Writes `key` if its last change was at `revision`; zero requires that the key does not exist.
    ///
    /// # Errors
    /// If the platform did not answer or reported an error; the write may have taken effect.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        revision: u64,
        text: &str,
    ) -> Result<SwapOutcome, PlatformError> {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let body = json!({
            "compare": [{ "key": encode_base64(key), "target": "MOD", "result": "EQUAL",
                          "mod_revision": revision.to_string() }],
            "success": [{ "request_put": { "key": encode_base64(key), "value": encode_base64(text) } }],
            "failure": [{ "request_range": { "key": encode_base64(key) } }],
        });
        let answer = call(&self.client, self.address, "/v3/kv/txn", Some(&body), CALL_TIMEOUT).await?;
        if answer["succeeded"].as_bool() == Some(true) {
            return Ok(SwapOutcome::Written);
        }
        let current_value = read_values(&answer["responses"][0]["response_range"]).pop();
        Ok(SwapOutcome::Conflict(current_value))
    }

    /// Waits until `key` changes after `revision`.
    ///
    /// # Errors
    /// If the watch could not be opened or broke.
    pub async fn wait_for_change(&self, key: &str, revision: u64) -> Result<(), PlatformError> {
        self.counts.watches.fetch_add(1, Ordering::Relaxed);
        let body = json!({
            "create_request": { "key": encode_base64(key), "start_revision": (revision + 1).to_string() },
        });
        let request = json_request(self.address, "/v3/watch", Some(&body))?;
        let response =
            self.client.request(request).await.map_err(|error| PlatformError::NotSent(error.to_string()))?;
        let mut stream = response.into_body();
        let mut text = Vec::new();
        while let Some(frame) = stream.frame().await {
            let frame = frame.map_err(|error| PlatformError::Unknown(error.to_string()))?;
            text.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
            while let Some(end) = text.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = text.drain(..=end).collect();
                let value: Value = serde_json::from_slice(&line).unwrap_or_default();
                if value["result"]["events"].as_array().is_some_and(|events| !events.is_empty()) {
                    return Ok(());
                }
            }
        }
        Err(PlatformError::Unknown("the watch ended".to_owned()))
    }
}

fn encode_base64(text: &str) -> String {
    STANDARD.encode(text)
}

fn decode_base64(value: &Value) -> String {
    let bytes = value.as_str().and_then(|text| STANDARD.decode(text).ok()).unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Parses a 64-bit number, which is a string in JSON.
fn parse_u64(value: &Value) -> u64 {
    value.as_str().and_then(|text| text.parse().ok()).or_else(|| value.as_u64()).unwrap_or(0)
}

fn read_values(answer: &Value) -> Vec<StoredValue> {
    let rows = answer["kvs"].as_array().map_or(&[][..], Vec::as_slice);
    rows.iter()
        .map(|row| StoredValue {
            key: decode_base64(&row["key"]),
            text: decode_base64(&row["value"]),
            revision: parse_u64(&row["mod_revision"]),
        })
        .collect()
}
