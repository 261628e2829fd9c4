//! An engine stand-in's "KV cache": blocks in limited memory, cache events, import and export.
//!
//! Invariant: a block is imported only if its digest and its full key match. Its state is not checked
//! further, so a block of another account or version yields a wrong answer.

use crate::answer::PrefixState;
use crate::engine::{EngineState, lock};
use crate::server::{StandinBody, read_body, reply, reply_json};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Padding of an exported block after its header.
const BLOCK_PADDING_BYTES: usize = 2_048;
/// Cache events retained for readers; a reader that needs older ones sees a gap.
const MAX_RETAINED_EVENTS: usize = 4_096;

/// A block that a request may import.
#[derive(Debug, Deserialize, Clone)]
pub(crate) struct KvImport {
    pub key: String,
    pub url: String,
}

#[derive(Clone, Debug)]
pub(crate) struct CachedBlock {
    state: PrefixState,
    last_used: u64,
}

#[derive(Debug, Default)]
pub(crate) struct BlockMemory {
    pub blocks: HashMap<String, CachedBlock>,
    use_counter: u64,
    pub events: VecDeque<(u64, Instant, &'static str, String)>,
    sequence: u64,
}

pub(crate) fn find_block(state: &EngineState, key: &str) -> Option<PrefixState> {
    let mut memory = lock(&state.memory);
    memory.use_counter += 1;
    let use_counter = memory.use_counter;
    let block = memory.blocks.get_mut(key)?;
    block.last_used = use_counter;
    Some(block.state)
}

pub(crate) fn store_block(state: &EngineState, key: &str, prefix_state: PrefixState) {
    let mut memory = lock(&state.memory);
    memory.use_counter += 1;
    let last_used = memory.use_counter;
    if memory.blocks.insert(key.to_owned(), CachedBlock { state: prefix_state, last_used }).is_none() {
        record_event(&mut memory, "stored", key);
    }
    while memory.blocks.len() > state.rates.memory_blocks {
        let Some(oldest) =
            memory.blocks.iter().min_by_key(|(_, block)| block.last_used).map(|(key, _)| key.clone())
        else {
            return;
        };
        memory.blocks.remove(&oldest);
        record_event(&mut memory, "evicted", &oldest);
    }
}

pub(crate) fn record_event(memory: &mut BlockMemory, kind: &'static str, key: &str) {
    memory.sequence += 1;
    let event = (memory.sequence, Instant::now(), kind, key_prefix(key).to_owned());
    memory.events.push_back(event);
    if memory.events.len() > MAX_RETAINED_EVENTS {
        memory.events.pop_front();
    }
}

fn key_prefix(key: &str) -> &str {
    key.get(..16).unwrap_or(key)
}

pub(crate) fn read_events(state: &EngineState, after: u64) -> Value {
    let lag = Duration::from_millis(state.rates.event_lag_millis);
    let memory = lock(&state.memory);
    let visible: Vec<_> = memory.events.iter().take_while(|(_, at, _, _)| at.elapsed() >= lag).collect();
    let first = visible.first().map_or(after + 1, |(sequence, ..)| *sequence);
    let events: Vec<Value> = visible
        .iter()
        .filter(|(sequence, ..)| *sequence > after)
        .map(|(sequence, _, kind, key)| json!({ "sequence": sequence, "kind": kind, "key": key }))
        .collect();
    json!({ "gap": first > after + 1, "events": events })
}

/// Fetches blocks that are not cached; omits those that are missing, corrupt or have another key.
pub(crate) async fn import_blocks(state: &EngineState, imports: &[KvImport]) -> HashMap<String, PrefixState> {
    let mut fetches = tokio::task::JoinSet::new();
    let is_cached = |key: &str| lock(&state.memory).blocks.contains_key(key);
    for import in imports.iter().filter(|import| !is_cached(&import.key)) {
        let (client, import) = (state.client.clone(), import.clone());
        fetches.spawn(async move {
            let prefix_state = fetch_block(&client, &import).await;
            (import.key, prefix_state)
        });
    }
    let mut fetched_states = HashMap::new();
    while let Some(Ok((key, prefix_state))) = fetches.join_next().await {
        if let Some(prefix_state) = prefix_state {
            fetched_states.insert(key, prefix_state);
        }
    }
    fetched_states
}

async fn fetch_block(client: &Client<HttpConnector, Full<Bytes>>, import: &KvImport) -> Option<PrefixState> {
    let request = Request::get(&import.url).body(Full::default()).ok()?;
    let response = client.request(request).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let digest = response.headers().get("content-digest")?.to_str().ok()?.to_owned();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    if content_digest(&body) != digest {
        return None;
    }
    let end = body.iter().position(|byte| *byte == b'\n')?;
    let header: Value = serde_json::from_slice(&body[..end]).ok()?;
    if header["key"].as_str() != Some(&import.key) {
        return None;
    }
    let state_bytes = STANDARD.decode(header["state"].as_str()?).ok()?;
    state_bytes.try_into().ok()
}

/// Returns the `Content-Digest` of a body, in the form of RFC 9530 with BLAKE3.
fn content_digest(body: &[u8]) -> String {
    format!("blake3=:{}:", STANDARD.encode(blake3::hash(body).as_bytes()))
}

pub(crate) async fn export(state: Arc<EngineState>, request: Request<Incoming>) -> Response<StandinBody> {
    let Some(body) = read_body(request).await else { return reply(400, "broken body\n") };
    let order: Value = serde_json::from_slice(&body).unwrap_or_default();
    let target = order["url"].as_str().unwrap_or_default().to_owned();
    let requested_keys: HashSet<&str> =
        order["keys"].as_array().map_or(&[][..], Vec::as_slice).iter().filter_map(Value::as_str).collect();
    let blocks: Vec<(String, PrefixState)> = {
        let memory = lock(&state.memory);
        let requested = memory.blocks.iter().filter(|(key, _)| requested_keys.contains(key_prefix(key)));
        requested.map(|(key, block)| (key.clone(), block.state)).collect()
    };
    let mut exported = Vec::new();
    for (key, prefix_state) in blocks {
        if put_block(&state, &target, &key, prefix_state).await {
            exported.push(key_prefix(&key).to_owned());
        }
    }
    reply_json(&json!({ "exported": exported }))
}

async fn put_block(state: &EngineState, target: &str, key: &str, prefix_state: PrefixState) -> bool {
    let header = json!({ "key": key, "state": STANDARD.encode(prefix_state) });
    let mut body = format!("{header}\n").into_bytes();
    body.resize(body.len() + BLOCK_PADDING_BYTES, 0);
    let request = Request::put(format!("{target}/{}", key_prefix(key)))
        .header("if-none-match", "*")
        .header("content-digest", content_digest(&body))
        .body(Full::new(Bytes::from(body)));
    let Ok(request) = request else { return false };
    let Ok(response) = state.client.request(request).await else { return false };
    // 412: the store contains the block already.
    response.status().is_success() || response.status() == 412
}
