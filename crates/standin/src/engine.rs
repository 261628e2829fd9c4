//! A stand-in for a model engine.
//!
//! It batches, caches prompt prefixes in limited memory, honours priorities piece by piece,
//! resumes and cancels streams, exports and imports blocks, publishes cache events late and with
//! gaps, and takes orders. Its answer follows from the blocks that it really holds.

use crate::answer::{PieceState, answer_word, first_state, next_state, render_messages};
use crate::engine_cache::{
    KvImport, Memory, export, find_block, import_blocks, note_event, read_events, store_block,
};
use crate::priority_gate::PriorityGate;
use crate::server::{StandinBody, query_number, read_body, reply, reply_json, serve};
use crate::{FaultSwitch, PIECE_BYTES};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Tokens of a byte of prompt.
const BYTES_PER_TOKEN: usize = 4;
/// Finished streams kept for resumption.
const STREAM_MEMORY: usize = 1_024;
/// Frames sent before a stream is broken on purpose.
const BREAK_AFTER: usize = 3;

/// How fast an engine works, and what fits into it.
#[derive(Clone, Copy, Debug)]
pub struct EngineRates {
    /// Microseconds to compute one prompt token.
    pub prefill_micros: u64,
    /// Microseconds between generated tokens.
    pub decode_micros: u64,
    /// Pieces that fit into accelerator memory.
    pub memory_pieces: usize,
    /// Requests worked on at once.
    pub slots: u32,
    /// Milliseconds until a cache event can be read.
    pub event_lag_millis: u64,
}

impl Default for EngineRates {
    fn default() -> Self {
        Self { prefill_micros: 20, decode_micros: 1_000, memory_pieces: 64, slots: 8, event_lag_millis: 50 }
    }
}

/// Runs by stream id, and the ids in the order in which they began.
type RunMemory = (HashMap<String, Arc<Run>>, VecDeque<String>);

/// One run, whose frames can be read again.
#[derive(Debug)]
struct Run {
    frames: Mutex<Vec<Bytes>>,
    progress: watch::Sender<(usize, bool)>,
    cancelled: watch::Sender<bool>,
}

#[derive(Debug, Default, Clone, Copy)]
struct RunUsage {
    cached: usize,
    imported: usize,
    computed: usize,
    import_micros: u64,
    compute_micros: u64,
}

#[derive(Debug)]
pub(crate) struct EngineState {
    pub rates: EngineRates,
    version: Mutex<String>,
    pub memory: Mutex<Memory>,
    prefill: PriorityGate,
    slots: PriorityGate,
    running: AtomicU64,
    runs: Mutex<RunMemory>,
    started: Mutex<Vec<String>>,
    fencing: Option<Mutex<u64>>,
    orders: Mutex<Vec<Value>>,
    faults: Arc<FaultSwitch>,
    pub client: Client<HttpConnector, Full<Bytes>>,
    computed_tokens: AtomicU64,
    prompt_tokens: AtomicU64,
    load_millis: AtomicU64,
    loading: AtomicU64,
}

/// A running engine stand-in.
#[derive(Debug)]
pub struct EngineStandin {
    state: Arc<EngineState>,
    address: SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

#[derive(Deserialize)]
struct KvPart {
    #[serde(default)]
    keys: Vec<String>,
    #[serde(default)]
    import: Vec<KvImport>,
}

#[derive(Deserialize)]
struct RunRequest {
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Value,
    #[serde(default = "default_tokens")]
    max_tokens: u32,
    #[serde(default)]
    cache_salt: String,
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    version: String,
    #[serde(default)]
    stream_id: String,
    #[serde(default)]
    continue_from: String,
    kv: Option<KvPart>,
}

const fn default_tokens() -> u32 {
    16
}

impl EngineStandin {
    /// Starts an engine on `address` with weight `version`; a fenced one refuses old fencing numbers.
    ///
    /// # Errors
    /// If the address cannot be listened on.
    pub async fn start(
        address: SocketAddr,
        version: &str,
        rates: EngineRates,
        fenced: bool,
    ) -> std::io::Result<Self> {
        let faults = Arc::new(FaultSwitch::default());
        let state = Arc::new(EngineState {
            rates,
            version: Mutex::new(version.to_owned()),
            memory: Mutex::default(),
            prefill: PriorityGate::new(1),
            slots: PriorityGate::new(rates.slots),
            running: AtomicU64::new(0),
            runs: Mutex::default(),
            started: Mutex::default(),
            fencing: fenced.then(|| Mutex::new(0)),
            orders: Mutex::default(),
            faults: Arc::clone(&faults),
            client: Client::builder(TokioExecutor::new()).build_http(),
            computed_tokens: AtomicU64::new(0),
            prompt_tokens: AtomicU64::new(0),
            load_millis: AtomicU64::new(0),
            loading: AtomicU64::new(0),
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

    /// Prompt tokens that it computed, and prompt tokens that it was sent.
    pub fn tokens(&self) -> (u64, u64) {
        (self.state.computed_tokens.load(Ordering::SeqCst), self.state.prompt_tokens.load(Ordering::SeqCst))
    }

    /// Stream ids of all runs, in the order in which they began.
    pub fn started(&self) -> Vec<String> {
        lock(&self.state.started).clone()
    }

    /// Orders that it obeyed.
    pub fn orders(&self) -> Vec<Value> {
        lock(&self.state.orders).clone()
    }

    /// Forgets all blocks, as a long time of other work would; publishes no event if `silent`.
    pub fn forget(&self, silent: bool) {
        let mut memory = lock(&self.state.memory);
        let keys: Vec<String> = memory.blocks.drain().map(|(key, _)| key).collect();
        if !silent {
            for key in keys {
                note_event(&mut memory, "evicted", &key);
            }
        }
    }

    /// Makes each ordered load take `millis`.
    pub fn load_for(&self, millis: u64) {
        self.state.load_millis.store(millis, Ordering::SeqCst);
    }

    /// Whether it loads weights now.
    pub fn is_loading(&self) -> bool {
        self.state.loading.load(Ordering::SeqCst) > 0
    }

    /// The weight version that is loaded.
    pub fn version(&self) -> String {
        lock(&self.state.version).clone()
    }

    /// Loads another weight version.
    pub fn load_version(&self, version: &str) {
        version.clone_into(&mut lock(&self.state.version));
    }

    /// Stops it at once, as a kill would: connections are cut.
    pub fn kill(&self) {
        self.state.faults.cut(true);
        self.task.abort();
    }
}

impl Drop for EngineStandin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(state: Arc<EngineState>, request: Request<Incoming>) -> Response<StandinBody> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/completions") => complete(state, request, false).await,
        (&Method::POST, "/v1/chat/completions") => complete(state, request, true).await,
        (&Method::GET, "/healthz") => {
            let leaving = state.is_away();
            reply(if leaving { 503 } else { 200 }, if leaving { "leaving\n" } else { "ok\n" })
        }
        (&Method::GET, "/metrics") => reply(200, load_text(&state)),
        (&Method::GET, "/kv/events") => {
            let after = query_number(&request, "after").unwrap_or(0);
            reply_json(&read_events(&state, after))
        }
        (&Method::POST, "/kv/export") => export(state, request).await,
        (&Method::POST, "/orders") => order(&state, request).await,
        (method, path) => match (method, path.strip_prefix("/v1/streams/")) {
            (&Method::GET, Some(id)) => {
                let from = query_number(&request, "from").unwrap_or(0) as usize;
                lock(&state.runs).0.get(id).map_or_else(
                    || reply(404, "no such stream\n"),
                    |run| stream_response(Arc::clone(run), from, RunUsage::default(), &state.faults),
                )
            }
            (&Method::DELETE, Some(id)) => {
                if let Some(run) = lock(&state.runs).0.get(id) {
                    run.cancelled.send_replace(true);
                }
                reply(204, "")
            }
            _ => reply(404, "not found\n"),
        },
    }
}

/// Readiness, load, and the number of the last readable cache event.
fn load_text(state: &EngineState) -> String {
    let lag = Duration::from_millis(state.rates.event_lag_millis);
    let sequence = {
        let memory = lock(&state.memory);
        memory
            .events
            .iter()
            .rev()
            .find(|(_, at, ..)| at.elapsed() >= lag)
            .map_or(0, |(sequence, ..)| *sequence)
    };
    format!(
        "engine_ready {}\nengine_running {}\nengine_waiting {}\nengine_cache_sequence {sequence}\n\
         engine_version {}\nengine_loading {}\n",
        u8::from(!state.is_away()),
        state.running.load(Ordering::SeqCst),
        state.slots.waiting() + state.prefill.waiting(),
        lock(&state.version),
        u8::from(state.loading.load(Ordering::SeqCst) > 0),
    )
}

impl EngineState {
    /// Whether it takes no new work: it leaves, or it loads weights.
    fn is_away(&self) -> bool {
        self.faults.is_departing() || self.loading.load(Ordering::SeqCst) > 0
    }
}

async fn complete(state: Arc<EngineState>, request: Request<Incoming>, chat: bool) -> Response<StandinBody> {
    if state.is_away() {
        return reply(503, "leaving\n");
    }
    let Some(body) = read_body(request).await else { return reply(400, "broken body\n") };
    let mut asked: RunRequest = match serde_json::from_slice(&body) {
        Ok(asked) => asked,
        Err(error) => return reply(400, error.to_string()),
    };
    if chat {
        asked.prompt = render_messages(&asked.messages);
    }
    let version = lock(&state.version).clone();
    if !asked.version.is_empty() && asked.version != version {
        return reply(409, format!("weight version {version} is loaded\n"));
    }
    let id = if asked.stream_id.is_empty() {
        format!("run-{}", lock(&state.started).len())
    } else {
        asked.stream_id.clone()
    };
    lock(&state.started).push(id.clone());
    let (progress, _) = watch::channel((0, false));
    let (cancelled, _) = watch::channel(false);
    let run = Arc::new(Run { frames: Mutex::default(), progress, cancelled });
    remember_run(&state, id, &run);
    let (usage_sender, usage) = tokio::sync::oneshot::channel();
    tokio::spawn(work(Arc::clone(&state), Arc::clone(&run), asked, version, chat, usage_sender));
    match usage.await {
        Ok(usage) => stream_response(run, 0, usage, &state.faults),
        Err(_) => reply(500, "cancelled\n"),
    }
}

fn remember_run(state: &EngineState, id: String, run: &Arc<Run>) {
    let mut runs = lock(&state.runs);
    runs.0.insert(id.clone(), Arc::clone(run));
    runs.1.push_back(id);
    if runs.1.len() > STREAM_MEMORY
        && let Some(old) = runs.1.pop_front()
    {
        runs.0.remove(&old);
    }
}

/// Prefill, then decode; frames are kept so that the stream can be resumed.
async fn work(
    state: Arc<EngineState>,
    run: Arc<Run>,
    asked: RunRequest,
    version: String,
    chat: bool,
    usage: tokio::sync::oneshot::Sender<RunUsage>,
) {
    let _slot = state.slots.enter(asked.priority).await;
    state.running.fetch_add(1, Ordering::SeqCst);
    let (prompt_state, used) = prefill(&state, &asked, &version).await;
    state.prompt_tokens.fetch_add((asked.prompt.len() / BYTES_PER_TOKEN) as u64, Ordering::SeqCst);
    state.computed_tokens.fetch_add((used.computed / BYTES_PER_TOKEN) as u64, Ordering::SeqCst);
    let _ = usage.send(used);
    let said = asked.continue_from.split_whitespace().count() as u32;
    let decode = Duration::from_micros(state.rates.decode_micros);
    let mut next = tokio::time::Instant::now();
    for place in said..asked.max_tokens {
        if *run.cancelled.borrow() {
            break;
        }
        let last = place + 1 == asked.max_tokens;
        push_frame(&run, &token_frame(answer_word(&prompt_state, place), last, chat));
        next += decode;
        tokio::time::sleep_until(next).await;
    }
    push_frame(&run, "[DONE]");
    run.progress.send_modify(|(_, done)| *done = true);
    state.running.fetch_sub(1, Ordering::SeqCst);
}

fn token_frame(word: &str, last: bool, chat: bool) -> String {
    let reason = if last { json!("length") } else { Value::Null };
    let choice = if chat {
        json!({ "index": 0, "delta": { "content": format!("{word} ") }, "finish_reason": reason })
    } else {
        json!({ "index": 0, "text": format!("{word} "), "finish_reason": reason })
    };
    json!({ "choices": [choice] }).to_string()
}

fn push_frame(run: &Run, data: &str) {
    let count = {
        let mut frames = lock(&run.frames);
        let id = frames.len();
        frames.push(Bytes::from(format!("id: {id}\ndata: {data}\n\n")));
        frames.len()
    };
    run.progress.send_modify(|(ready, _)| *ready = count);
}

async fn prefill(state: &EngineState, asked: &RunRequest, version: &str) -> (PieceState, RunUsage) {
    let mut usage = RunUsage::default();
    let mut now = first_state(&asked.cache_salt, version);
    let keys = asked.kv.as_ref().map_or(&[][..], |kv| kv.keys.as_slice());
    let import = asked.kv.as_ref().map_or(&[][..], |kv| kv.import.as_slice());
    let begun = Instant::now();
    let imported = import_blocks(state, import).await;
    if !imported.is_empty() {
        usage.import_micros = begun.elapsed().as_micros() as u64;
    }
    let (mut whole, mut prefix_known) = (true, true);
    for (place, piece) in asked.prompt.as_bytes().chunks(PIECE_BYTES).enumerate() {
        let key = keys.get(place).filter(|_| piece.len() == PIECE_BYTES);
        let known = key.filter(|_| whole).and_then(|key| find_block(state, key));
        let fetched = key.filter(|_| whole).and_then(|key| imported.get(key).copied());
        if let Some(known) = known {
            usage.cached += piece.len();
            now = known;
        } else if let Some(fetched) = fetched {
            usage.imported += piece.len();
            now = fetched;
        } else {
            whole = false;
            let _turn = state.prefill.enter(asked.priority).await;
            // Another run may have computed it while this one waited its turn.
            if let Some(known) = key.filter(|_| prefix_known).and_then(|key| find_block(state, key)) {
                usage.cached += piece.len();
                now = known;
                continue;
            }
            prefix_known = false;
            let micros = (piece.len() / BYTES_PER_TOKEN) as u64 * state.rates.prefill_micros;
            tokio::time::sleep(Duration::from_micros(micros)).await;
            usage.computed += piece.len();
            usage.compute_micros += micros;
            now = next_state(&now, piece);
        }
        if let Some(key) = key {
            store_block(state, key, now);
        }
    }
    (now, usage)
}

async fn order(state: &Arc<EngineState>, request: Request<Incoming>) -> Response<StandinBody> {
    let Some(body) = read_body(request).await else { return reply(400, "broken body\n") };
    let order: Value = serde_json::from_slice(&body).unwrap_or_default();
    if let Some(fencing) = &state.fencing {
        let number = order["fencing"].as_u64().unwrap_or(0);
        let mut highest = lock(fencing);
        if number < *highest {
            return reply(412, format!("fencing number {highest} was seen\n"));
        }
        *highest = number;
    }
    let target = order["target"].as_str().unwrap_or_default().to_owned();
    if order["kind"] == "load-version" && *lock(&state.version) != target {
        state.loading.fetch_add(1, Ordering::SeqCst);
        let state = Arc::clone(state);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(state.load_millis.load(Ordering::SeqCst))).await;
            *lock(&state.version) = target;
            state.loading.fetch_sub(1, Ordering::SeqCst);
        });
    }
    lock(&state.orders).push(order);
    reply(200, "done\n")
}

/// Streams the frames of `run` from number `from` on.
fn stream_response(
    run: Arc<Run>,
    from: usize,
    usage: RunUsage,
    faults: &FaultSwitch,
) -> Response<StandinBody> {
    let (broken, scrambled, stalled) =
        (faults.takes_stream_break(), faults.takes_scramble(), faults.takes_stall());
    let progress = run.progress.subscribe();
    let (sender, receiver) = tokio::sync::mpsc::channel::<Bytes>(64);
    tokio::spawn(async move {
        let mut progress = progress;
        let mut sent = from;
        loop {
            let (ready, done) = *progress.borrow_and_update();
            while sent < ready {
                if broken && sent >= from + BREAK_AFTER {
                    return;
                }
                if stalled && sent >= from + BREAK_AFTER {
                    sender.closed().await;
                    return;
                }
                let frame = lock(&run.frames)[sent].clone();
                if scrambled && sent == from + BREAK_AFTER {
                    // The event before comes again, and this one not at all.
                    let again = lock(&run.frames)[sent - 1].clone();
                    let _ = sender.send(again).await;
                    sent += 1;
                    continue;
                }
                if sender.send(frame).await.is_err() {
                    return;
                }
                sent += 1;
            }
            if done || progress.changed().await.is_err() {
                return;
            }
        }
    });
    let stream = ReceiverStream(receiver);
    let tokens = |bytes: usize| bytes / BYTES_PER_TOKEN;
    let header = format!(
        "cached={},imported={},computed={},import_us={},compute_us={}",
        tokens(usage.cached),
        tokens(usage.imported),
        tokens(usage.computed),
        usage.import_micros,
        usage.compute_micros
    );
    Response::builder()
        .header("content-type", "text/event-stream")
        .header("kv-usage", header)
        .body(StreamBody::new(stream).boxed())
        .unwrap_or_else(|_| reply(500, ""))
}

/// Frames as they come out of a channel.
pub(crate) struct ReceiverStream(pub(crate) tokio::sync::mpsc::Receiver<Bytes>);

impl futures_core::Stream for ReceiverStream {
    type Item = Result<Frame<Bytes>, Infallible>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.poll_recv(context).map(|next| next.map(|bytes| Ok(Frame::data(bytes))))
    }
}
