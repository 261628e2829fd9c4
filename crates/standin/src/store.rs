//! A stand-in for a cache store: conditional requests, a link of limited speed, limited space.

use crate::FaultSwitch;
use crate::server::{StandinBody, query_number, read_body, reply, reply_json, serve};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Changes retained for incremental listings; an older start gets a full list.
const MAX_RETAINED_CHANGES: usize = 65_536;

#[derive(Debug, Clone)]
struct StoredBlock {
    body: Bytes,
    digest: String,
    generation: u64,
}

#[derive(Debug, Default)]
struct BlockTable {
    blocks: BTreeMap<String, StoredBlock>,
    changes: VecDeque<(u64, String, bool)>,
    generation: u64,
}

#[derive(Debug)]
struct StoreState {
    capacity_blocks: usize,
    transfer_micros: AtomicU64,
    table: Mutex<BlockTable>,
    link_free_at: Mutex<Option<Instant>>,
    link_used_micros: AtomicU64,
    transfers: AtomicU64,
    faults: Arc<FaultSwitch>,
}

/// A running store stand-in.
#[derive(Debug)]
pub struct StoreStandin {
    state: Arc<StoreState>,
    address: SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl StoreStandin {
    /// Starts a store for `capacity_blocks` blocks, whose link takes `transfer_micros` for each.
    ///
    /// # Errors
    /// If the address cannot be listened on.
    pub async fn start(
        address: SocketAddr,
        capacity_blocks: usize,
        transfer_micros: u64,
    ) -> std::io::Result<Self> {
        let faults = Arc::new(FaultSwitch::default());
        let state = Arc::new(StoreState {
            capacity_blocks,
            transfer_micros: AtomicU64::new(transfer_micros),
            table: Mutex::default(),
            link_free_at: Mutex::default(),
            link_used_micros: AtomicU64::new(0),
            transfers: AtomicU64::new(0),
            faults: Arc::clone(&faults),
        });
        let shared = Arc::clone(&state);
        let (address, task) =
            serve(address, faults, move |request| handle(Arc::clone(&shared), request)).await?;
        Ok(Self { state, address, task })
    }

    /// Returns the address at which it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the switch for its faults.
    pub fn faults(&self) -> &FaultSwitch {
        &self.state.faults
    }

    /// Returns the number of stored blocks.
    pub fn block_count(&self) -> usize {
        lock(&self.state.table).blocks.len()
    }

    /// Returns the number of transfers, and the microseconds that the link was in use.
    pub fn link_use(&self) -> (u64, u64) {
        (self.state.transfers.load(Ordering::SeqCst), self.state.link_used_micros.load(Ordering::SeqCst))
    }

    /// Sets the time that each further transfer takes.
    pub fn set_transfer_micros(&self, micros: u64) {
        self.state.transfer_micros.store(micros, Ordering::SeqCst);
    }

    /// Releases all blocks; only listings show it.
    pub fn release_all(&self) {
        let mut table = lock(&self.state.table);
        let keys: Vec<String> = table.blocks.keys().cloned().collect();
        for key in keys {
            release_block(&mut table, &key);
        }
    }

    /// Stops it at once, as a kill would.
    pub fn kill(&self) {
        self.state.faults.cut(true);
        self.task.abort();
    }
}

impl Drop for StoreStandin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(state: Arc<StoreState>, request: Request<Incoming>) -> Response<StandinBody> {
    let path = request.uri().path().to_owned();
    if path == "/healthz" {
        return reply(if state.faults.is_departing() { 503 } else { 200 }, "");
    }
    let Some(pool_or_key) = path.strip_prefix("/kv/") else { return reply(404, "not found\n") };
    match (request.method().clone(), pool_or_key.contains('/')) {
        (Method::GET, false) => list(&state, pool_or_key, query_number(&request, "after")),
        (Method::GET, true) => get(&state, pool_or_key).await,
        (Method::PUT, true) => put(&state, pool_or_key, request).await,
        (Method::DELETE, true) => {
            release_block(&mut lock(&state.table), pool_or_key);
            reply(204, "")
        }
        _ => reply(405, "no such method\n"),
    }
}

/// Waits for the link and occupies it for one transfer.
async fn transfer(state: &StoreState) {
    let micros = state.transfer_micros.load(Ordering::SeqCst);
    let finishes_at = {
        let mut link_free_at = lock(&state.link_free_at);
        let now = Instant::now();
        let finishes_at = link_free_at.unwrap_or(now).max(now) + Duration::from_micros(micros);
        *link_free_at = Some(finishes_at);
        finishes_at
    };
    state.link_used_micros.fetch_add(micros, Ordering::SeqCst);
    state.transfers.fetch_add(1, Ordering::SeqCst);
    tokio::time::sleep_until(finishes_at).await;
}

async fn get(state: &StoreState, key: &str) -> Response<StandinBody> {
    let Some(block) = lock(&state.table).blocks.get(key).cloned() else {
        return reply(404, "no such block\n");
    };
    transfer(state).await;
    Response::builder()
        .header("etag", format!("\"{}\"", block.generation))
        .header("content-digest", block.digest)
        .body(http_body_util::BodyExt::boxed(http_body_util::Full::new(block.body)))
        .unwrap_or_else(|_| reply(500, ""))
}

async fn put(state: &StoreState, key: &str, request: Request<Incoming>) -> Response<StandinBody> {
    let header = |name: &str| {
        request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
    };
    let (condition, digest) = (header("if-none-match"), header("content-digest"));
    let refusal = |table: &BlockTable| {
        if condition == "*" && table.blocks.contains_key(key) {
            return Some((412, "it is there already\n"));
        }
        if table.blocks.len() >= state.capacity_blocks {
            return Some((507, "full\n"));
        }
        None
    };
    if let Some((status, text)) = refusal(&lock(&state.table)) {
        return reply(status, text);
    }
    let Some(mut body) = read_body(request).await else { return reply(400, "broken body\n") };
    transfer(state).await;
    if state.faults.consume_truncation() {
        body.truncate(body.len() / 2);
    } else if digest != format!("blake3=:{}:", STANDARD.encode(blake3::hash(&body).as_bytes())) {
        return reply(400, "the digest does not fit\n");
    }
    let mut table = lock(&state.table);
    if let Some((status, text)) = refusal(&table) {
        return reply(status, text);
    }
    table.generation += 1;
    let generation = table.generation;
    table.blocks.insert(key.to_owned(), StoredBlock { body, digest, generation });
    record_change(&mut table, key, true);
    reply(201, "")
}

fn release_block(table: &mut BlockTable, key: &str) {
    if table.blocks.remove(key).is_some() {
        table.generation += 1;
        record_change(table, key, false);
    }
}

fn record_change(table: &mut BlockTable, key: &str, stored: bool) {
    let generation = table.generation;
    table.changes.push_back((generation, key.to_owned(), stored));
    if table.changes.len() > MAX_RETAINED_CHANGES {
        table.changes.pop_front();
    }
}

fn list(state: &StoreState, pool: &str, after: Option<u64>) -> Response<StandinBody> {
    let table = lock(&state.table);
    let free_blocks = state.capacity_blocks.saturating_sub(table.blocks.len());
    let prefix = format!("{pool}/");
    let oldest = table.changes.front().map_or(table.generation + 1, |(generation, ..)| *generation);
    let (mut stored, mut freed) = (Vec::new(), Vec::new());
    let is_full_list = after.is_none_or(|after| after + 1 < oldest || after > table.generation);
    if is_full_list {
        stored.extend(table.blocks.keys().filter_map(|key| key.strip_prefix(&prefix)));
    } else {
        let changes = table.changes.iter().filter(|(generation, ..)| Some(*generation) > after);
        for (_, key, is_stored) in changes {
            let Some(key) = key.strip_prefix(&prefix) else { continue };
            if *is_stored { stored.push(key) } else { freed.push(key) }
        }
    }
    reply_json(&json!({
        "generation": table.generation, "room": free_blocks, "whole": is_full_list, "stored": stored, "freed": freed
    }))
}
