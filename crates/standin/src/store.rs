//! A stand-in for a store of kept cache: conditional requests, a limited link, limited room.

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

/// Changes that a listing can be asked to start from.
const CHANGE_MEMORY: usize = 65_536;

#[derive(Debug, Clone)]
struct StoredBlock {
    body: Bytes,
    digest: String,
    generation: u64,
}

#[derive(Debug, Default)]
struct Shelf {
    blocks: BTreeMap<String, StoredBlock>,
    changes: VecDeque<(u64, String, bool)>,
    generation: u64,
}

#[derive(Debug)]
struct StoreState {
    room: usize,
    transfer_micros: AtomicU64,
    shelf: Mutex<Shelf>,
    link_free: Mutex<Option<Instant>>,
    link_used: AtomicU64,
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
    /// Starts a store with room for `room` blocks, whose link takes `transfer_micros` for each.
    ///
    /// # Errors
    /// If the address cannot be listened on.
    pub async fn start(address: SocketAddr, room: usize, transfer_micros: u64) -> std::io::Result<Self> {
        let faults = Arc::new(FaultSwitch::default());
        let state = Arc::new(StoreState {
            room,
            transfer_micros: AtomicU64::new(transfer_micros),
            shelf: Mutex::default(),
            link_free: Mutex::default(),
            link_used: AtomicU64::new(0),
            transfers: AtomicU64::new(0),
            faults: Arc::clone(&faults),
        });
        let shared = Arc::clone(&state);
        let (address, task) =
            serve(address, faults, move |request| handle(Arc::clone(&shared), request)).await?;
        Ok(Self { state, address, task })
    }

    /// Its address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its faults.
    pub fn faults(&self) -> &FaultSwitch {
        &self.state.faults
    }

    /// The number of blocks that it holds.
    pub fn block_count(&self) -> usize {
        lock(&self.state.shelf).blocks.len()
    }

    /// Transfers made, and microseconds that the link was in use.
    pub fn link_use(&self) -> (u64, u64) {
        (self.state.transfers.load(Ordering::SeqCst), self.state.link_used.load(Ordering::SeqCst))
    }

    /// Makes each transfer take `micros` from now on.
    pub fn set_transfer_micros(&self, micros: u64) {
        self.state.transfer_micros.store(micros, Ordering::SeqCst);
    }

    /// Frees all blocks without telling anybody but those who list.
    pub fn free_all(&self) {
        let mut shelf = lock(&self.state.shelf);
        let keys: Vec<String> = shelf.blocks.keys().cloned().collect();
        for key in keys {
            free(&mut shelf, &key);
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
    let Some(rest) = path.strip_prefix("/kv/") else { return reply(404, "not found\n") };
    match (request.method().clone(), rest.contains('/')) {
        (Method::GET, false) => list(&state, rest, query_number(&request, "after")),
        (Method::GET, true) => get(&state, rest).await,
        (Method::PUT, true) => put(&state, rest, request).await,
        (Method::DELETE, true) => {
            free(&mut lock(&state.shelf), rest);
            reply(204, "")
        }
        _ => reply(405, "no such method\n"),
    }
}

/// Holds the link for the length of one transfer.
async fn transfer(state: &StoreState) {
    let micros = state.transfer_micros.load(Ordering::SeqCst);
    let end = {
        let mut free = lock(&state.link_free);
        let now = Instant::now();
        let end = free.unwrap_or(now).max(now) + Duration::from_micros(micros);
        *free = Some(end);
        end
    };
    state.link_used.fetch_add(micros, Ordering::SeqCst);
    state.transfers.fetch_add(1, Ordering::SeqCst);
    tokio::time::sleep_until(end).await;
}

async fn get(state: &StoreState, key: &str) -> Response<StandinBody> {
    let Some(block) = lock(&state.shelf).blocks.get(key).cloned() else {
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
    let refusal = |shelf: &Shelf| {
        if condition == "*" && shelf.blocks.contains_key(key) {
            return Some((412, "it is there already\n"));
        }
        if shelf.blocks.len() >= state.room {
            return Some((507, "full\n"));
        }
        None
    };
    if let Some((status, text)) = refusal(&lock(&state.shelf)) {
        return reply(status, text);
    }
    let Some(mut body) = read_body(request).await else { return reply(400, "broken body\n") };
    transfer(state).await;
    if state.faults.takes_truncation() {
        body.truncate(body.len() / 2);
    } else if digest != format!("blake3=:{}:", STANDARD.encode(blake3::hash(&body).as_bytes())) {
        return reply(400, "the digest does not fit\n");
    }
    let mut shelf = lock(&state.shelf);
    if let Some((status, text)) = refusal(&shelf) {
        return reply(status, text);
    }
    shelf.generation += 1;
    let generation = shelf.generation;
    shelf.blocks.insert(key.to_owned(), StoredBlock { body, digest, generation });
    record_change(&mut shelf, key, true);
    reply(201, "")
}

fn free(shelf: &mut Shelf, key: &str) {
    if shelf.blocks.remove(key).is_some() {
        shelf.generation += 1;
        record_change(shelf, key, false);
    }
}

fn record_change(shelf: &mut Shelf, key: &str, stored: bool) {
    let generation = shelf.generation;
    shelf.changes.push_back((generation, key.to_owned(), stored));
    if shelf.changes.len() > CHANGE_MEMORY {
        shelf.changes.pop_front();
    }
}

fn list(state: &StoreState, pool: &str, after: Option<u64>) -> Response<StandinBody> {
    let shelf = lock(&state.shelf);
    let room = state.room.saturating_sub(shelf.blocks.len());
    let prefix = format!("{pool}/");
    let oldest = shelf.changes.front().map_or(shelf.generation + 1, |(generation, ..)| *generation);
    let (mut stored, mut freed) = (Vec::new(), Vec::new());
    let whole = after.is_none_or(|after| after + 1 < oldest || after > shelf.generation);
    if whole {
        stored.extend(shelf.blocks.keys().filter_map(|key| key.strip_prefix(&prefix)));
    } else {
        let changes = shelf.changes.iter().filter(|(generation, ..)| Some(*generation) > after);
        for (_, key, is_stored) in changes {
            let Some(key) = key.strip_prefix(&prefix) else { continue };
            if *is_stored { stored.push(key) } else { freed.push(key) }
        }
    }
    reply_json(&json!({
        "generation": shelf.generation, "room": room, "whole": whole, "stored": stored, "freed": freed
    }))
}
