//! An engine stand-in's "KV cache": blocks in limited memory, cache events, import and export.
//!
//! Invariant: a block is adopted only if its digest and its full key are right; what it then holds
//! is believed, so a block of another account or version shows in the answer.

use crate::answer::PieceState;
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

/// Bytes of an exported block beyond its header.
const BLOCK_FILL: usize = 2_048;
/// Cache events kept for reading; older ones are a gap.
const EVENT_MEMORY: usize = 4_096;

/// A block that a request may import.
#[derive(Debug, Deserialize, Clone)]
pub(crate) struct KvImport {
    pub key: String,
    pub url: String,
}

#[derive(Clone, Debug)]
pub(crate) struct Block {
    state: PieceState,
    used: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Memory {
    pub blocks: HashMap<String, Block>,
    clock: u64,
    pub events: VecDeque<(u64, Instant, &'static str, String)>,
    sequence: u64,
}

pub(crate) fn find_block(state: &EngineState, key: &str) -> Option<PieceState> {
    let mut memory = lock(&state.memory);
    memory.clock += 1;
    let clock = memory.clock;
    let block = memory.blocks.get_mut(key)?;
    block.used = clock;
    Some(block.state)
}

pub(crate) fn store_block(state: &EngineState, key: &str, content: PieceState) {
    let mut memory = lock(&state.memory);
    memory.clock += 1;
    let used = memory.clock;
    if memory.blocks.insert(key.to_owned(), Block { state: content, used }).is_none() {
        note_event(&mut memory, "stored", key);
    }
    while memory.blocks.len() > state.rates.memory_pieces {
        let Some(oldest) =
            memory.blocks.iter().min_by_key(|(_, block)| block.used).map(|(key, _)| key.clone())
        else {
            return;
        };
        memory.blocks.remove(&oldest);
        note_event(&mut memory, "evicted", &oldest);
    }
}

pub(crate) fn note_event(memory: &mut Memory, kind: &'static str, key: &str) {
    memory.sequence += 1;
    let event = (memory.sequence, Instant::now(), kind, short(key).to_owned());
    memory.events.push_back(event);
    if memory.events.len() > EVENT_MEMORY {
        memory.events.pop_front();
    }
}

fn short(key: &str) -> &str {
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

/// Fetches blocks; one that is missing, broken or not what was asked for is left out.
pub(crate) async fn import_blocks(state: &EngineState, import: &[KvImport]) -> HashMap<String, PieceState> {
    let mut fetches = tokio::task::JoinSet::new();
    let held = |key: &str| lock(&state.memory).blocks.contains_key(key);
    for wanted in import.iter().filter(|wanted| !held(&wanted.key)) {
        let (client, wanted) = (state.client.clone(), wanted.clone());
        fetches.spawn(async move {
            let content = fetch_block(&client, &wanted).await;
            (wanted.key, content)
        });
    }
    let mut found = HashMap::new();
    while let Some(Ok((key, content))) = fetches.join_next().await {
        if let Some(content) = content {
            found.insert(key, content);
        }
    }
    found
}

async fn fetch_block(client: &Client<HttpConnector, Full<Bytes>>, wanted: &KvImport) -> Option<PieceState> {
    let request = Request::get(&wanted.url).body(Full::default()).ok()?;
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
    if header["key"].as_str() != Some(&wanted.key) {
        return None;
    }
    let content = STANDARD.decode(header["state"].as_str()?).ok()?;
    content.try_into().ok()
}

/// The `Content-Digest` of a body, in the form of RFC 9530 with BLAKE3.
fn content_digest(body: &[u8]) -> String {
    format!("blake3=:{}:", STANDARD.encode(blake3::hash(body).as_bytes()))
}

pub(crate) async fn export(state: Arc<EngineState>, request: Request<Incoming>) -> Response<StandinBody> {
    let Some(body) = read_body(request).await else { return reply(400, "broken body\n") };
    let order: Value = serde_json::from_slice(&body).unwrap_or_default();
    let target = order["url"].as_str().unwrap_or_default().to_owned();
    let wanted: HashSet<&str> =
        order["keys"].as_array().map_or(&[][..], Vec::as_slice).iter().filter_map(Value::as_str).collect();
    let blocks: Vec<(String, PieceState)> = {
        let memory = lock(&state.memory);
        let wanted = memory.blocks.iter().filter(|(key, _)| wanted.contains(short(key)));
        wanted.map(|(key, block)| (key.clone(), block.state)).collect()
    };
    let mut exported = Vec::new();
    for (key, content) in blocks {
        if put_block(&state, &target, &key, content).await {
            exported.push(short(&key).to_owned());
        }
    }
    reply_json(&json!({ "exported": exported }))
}

async fn put_block(state: &EngineState, target: &str, key: &str, content: PieceState) -> bool {
    let header = json!({ "key": key, "state": STANDARD.encode(content) });
    let mut body = format!("{header}\n").into_bytes();
    body.resize(body.len() + BLOCK_FILL, 0);
    let request = Request::put(format!("{target}/{}", short(key)))
        .header("if-none-match", "*")
        .header("content-digest", content_digest(&body))
        .body(Full::new(Bytes::from(body)));
    let Ok(request) = request else { return false };
    let Ok(response) = state.client.request(request).await else { return false };
    // 412: it is there already, whole.
    response.status().is_success() || response.status() == 412
}
