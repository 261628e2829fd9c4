//! A stand-in for a model engine.
//!
//! It runs several requests at once, caches prompt prefixes in limited memory, schedules prefill by
//! priority block by block, resumes and cancels streams, exports and imports blocks, publishes cache
//! events with a delay and with gaps, and executes orders. Its answer depends on the blocks that it used.

use crate::answer::{PrefixState, answer_token, first_state, next_state, render_messages};
use crate::engine_cache::{
    BlockMemory, KvImport, export, find_block, import_blocks, read_events, record_event, store_block,
};
use crate::priority_gate::PriorityGate;
use crate::server::{StandinBody, query_number, read_body, reply, reply_json, serve};
use crate::{BLOCK_BYTES, FaultSwitch};
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

/// Bytes of prompt per token.
const BYTES_PER_TOKEN: usize = 4;
/// Runs retained for resumption of their streams.
const MAX_RETAINED_RUNS: usize = 1_024;
/// Frames sent before a stream fault takes effect.
const FRAMES_BEFORE_FAULT: usize = 3;

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineRates {
    /// Microseconds to compute one prompt token.
    pub prefill_micros: u64,
    /// Microseconds between generated tokens.
    pub decode_micros: u64,
    /// Number of blocks that fit into accelerator memory.
    pub memory_blocks: usize,
    /// Number of requests that run at once.
    pub slots: u32,
    /// Milliseconds until a cache event becomes readable.
    pub event_lag_millis: u64,
}

impl Default for EngineRates {
    fn default() -> Self {
        Self { prefill_micros: 20, decode_micros: 1_000, memory_blocks: 64, slots: 8, event_lag_millis: 50 }
    }
}

/// Runs by stream id, and the ids in the order of their start.
type RunHistory = (HashMap<String, Arc<EngineRun>>, VecDeque<String>);

/// One run of a request, with its frames retained for resumption.
#[derive(Debug)]
struct EngineRun {
    frames: Mutex<Vec<Bytes>>,
    progress: watch::Sender<(usize, bool)>,
    cancelled: watch::Sender<bool>,
}

#[derive(Debug, Default, Clone, Copy)]
struct RunUsage {
    cached_bytes: usize,
    imported_bytes: usize,
    computed_bytes: usize,
    import_micros: u64,
    compute_micros: u64,
}

#[derive(Debug)]
pub(crate) struct EngineState {
    pub rates: EngineRates,
    version: Mutex<String>,
    pub memory: Mutex<BlockMemory>,
    prefill: PriorityGate,
    slots: PriorityGate,
    running: AtomicU64,
    runs: Mutex<RunHistory>,
    started_stream_ids: Mutex<Vec<String>>,
    fencing: Option<Mutex<u64>>,
    orders: Mutex<Vec<Value>>,
    faults: Arc<FaultSwitch>,
    pub client: Client<HttpConnector, Full<Bytes>>,
    computed_tokens: AtomicU64,
    prompt_tokens: AtomicU64,
    load_millis: AtomicU64,
    loads_in_progress: AtomicU64,
}

/// A running engine stand-in.
#[derive(Debug)]
pub struct EngineStandin {
    state: Arc<EngineState>,
    address: SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

#[derive(Deserialize)]
struct KvRequest {
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
    kv: Option<KvRequest>,
}

const fn default_tokens() -> u32 {
    16
}

impl EngineStandin {
    /// Starts an engine with weight `version`; a `fenced` one refuses outdated fencing numbers.
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
            started_stream_ids: Mutex::default(),
            fencing: fenced.then(|| Mutex::new(0)),
            orders: Mutex::default(),
            faults: Arc::clone(&faults),
            client: Client::builder(TokioExecutor::new()).build_http(),
            computed_tokens: AtomicU64::new(0),
            prompt_tokens: AtomicU64::new(0),
            load_millis: AtomicU64::new(0),
            loads_in_progress: AtomicU64::new(0),
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

    /// Returns the numbers of prompt tokens that it computed and that it received.
    pub fn tokens(&self) -> (u64, u64) {
        (self.state.computed_tokens.load(Ordering::SeqCst), self.state.prompt_tokens.load(Ordering::SeqCst))
    }

    /// Returns the stream ids of all runs, in the order of their start.
    pub fn started_stream_ids(&self) -> Vec<String> {
        lock(&self.state.started_stream_ids).clone()
    }

    /// Returns the orders that it executed.
    pub fn orders(&self) -> Vec<Value> {
        lock(&self.state.orders).clone()
    }

    /// Evicts all blocks, as prolonged other work would; publishes no cache events if `without_events`.
    pub fn evict_all(&self, without_events: bool) {
        let mut memory = lock(&self.state.memory);
        let keys: Vec<String> = memory.blocks.drain().map(|(key, _)| key).collect();
        if !without_events {
            for key in keys {
                record_event(&mut memory, "evicted", &key);
            }
        }
    }

    /// Sets the time that each ordered load of weights takes.
    pub fn set_load_millis(&self, millis: u64) {
        self.state.load_millis.store(millis, Ordering::SeqCst);
    }

    /// Returns whether it is loading weights.
    pub fn is_loading(&self) -> bool {
        self.state.loads_in_progress.load(Ordering::SeqCst) > 0
    }

    /// Returns the loaded weight version.
    pub fn version(&self) -> String {
        lock(&self.state.version).clone()
    }

    /// Replaces the loaded weight version at once.
    pub fn set_version(&self, version: &str) {
        version.clone_into(&mut lock(&self.state.version));
    }

    /// Stops it at once, as a kill would; its connections are cut.
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
            let is_departing = state.refuses_work();
            reply(if is_departing { 503 } else { 200 }, if is_departing { "leaving\n" } else { "ok\n" })
        }
        (&Method::GET, "/metrics") => reply(200, metrics_text(&state)),
        (&Method::GET, "/kv/events") => {
            let after = query_number(&request, "after").unwrap_or(0);
            reply_json(&read_events(&state, after))
        }
        (&Method::POST, "/kv/export") => export(state, request).await,
        (&Method::POST, "/orders") => execute_order(&state, request).await,
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

/// Returns readiness, load and the number of the last readable cache event as metrics.
fn metrics_text(state: &EngineState) -> String {
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
        u8::from(!state.refuses_work()),
        state.running.load(Ordering::SeqCst),
        state.slots.waiting() + state.prefill.waiting(),
        lock(&state.version),
        u8::from(state.loads_in_progress.load(Ordering::SeqCst) > 0),
    )
}

impl EngineState {
    /// Returns whether it takes no new work, since it is departing or loading weights.
    fn refuses_work(&self) -> bool {
        self.faults.is_departing() || self.loads_in_progress.load(Ordering::SeqCst) > 0
    }
}

async fn complete(state: Arc<EngineState>, request: Request<Incoming>, chat: bool) -> Response<StandinBody> {
    if state.refuses_work() {
        return reply(503, "leaving\n");
    }
    let Some(body) = read_body(request).await else { return reply(400, "broken body\n") };
    let mut run_request: RunRequest = match serde_json::from_slice(&body) {
        Ok(run_request) => run_request,
        Err(error) => return reply(400, error.to_string()),
    };
    if chat {
        run_request.prompt = render_messages(&run_request.messages);
    }
    let version = lock(&state.version).clone();
    if !run_request.version.is_empty() && run_request.version != version {
        return reply(409, format!("weight version {version} is loaded\n"));
    }
    let id = if run_request.stream_id.is_empty() {
        format!("run-{}", lock(&state.started_stream_ids).len())
    } else {
        run_request.stream_id.clone()
    };
    lock(&state.started_stream_ids).push(id.clone());
    let (progress, _) = watch::channel((0, false));
    let (cancelled, _) = watch::channel(false);
    let run = Arc::new(EngineRun { frames: Mutex::default(), progress, cancelled });
    retain_run(&state, id, &run);
    let (usage_sender, usage) = tokio::sync::oneshot::channel();
    tokio::spawn(execute_run(Arc::clone(&state), Arc::clone(&run), run_request, version, chat, usage_sender));
    match usage.await {
        Ok(usage) => stream_response(run, 0, usage, &state.faults),
        Err(_) => reply(500, "cancelled\n"),
    }
}

fn retain_run(state: &EngineState, id: String, run: &Arc<EngineRun>) {
    let mut runs = lock(&state.runs);
    runs.0.insert(id.clone(), Arc::clone(run));
    runs.1.push_back(id);
    if runs.1.len() > MAX_RETAINED_RUNS
        && let Some(oldest_id) = runs.1.pop_front()
    {
        runs.0.remove(&oldest_id);
    }
}

/// Runs prefill, then decode; retains the frames so that the stream can be resumed.
async fn execute_run(
    state: Arc<EngineState>,
    run: Arc<EngineRun>,
    run_request: RunRequest,
    version: String,
    chat: bool,
    usage_sender: tokio::sync::oneshot::Sender<RunUsage>,
) {
    let _slot = state.slots.enter(run_request.priority).await;
    state.running.fetch_add(1, Ordering::SeqCst);
    let (prompt_state, usage) = prefill(&state, &run_request, &version).await;
    state.prompt_tokens.fetch_add((run_request.prompt.len() / BYTES_PER_TOKEN) as u64, Ordering::SeqCst);
    state.computed_tokens.fetch_add((usage.computed_bytes / BYTES_PER_TOKEN) as u64, Ordering::SeqCst);
    let _ = usage_sender.send(usage);
    let answered_tokens = run_request.continue_from.split_whitespace().count() as u32;
    let decode_interval = Duration::from_micros(state.rates.decode_micros);
    let mut next_token_at = tokio::time::Instant::now();
    for index in answered_tokens..run_request.max_tokens {
        if *run.cancelled.borrow() {
            break;
        }
        let is_last = index + 1 == run_request.max_tokens;
        push_frame(&run, &token_frame(answer_token(&prompt_state, index), is_last, chat));
        next_token_at += decode_interval;
        tokio::time::sleep_until(next_token_at).await;
    }
    push_frame(&run, "[DONE]");
    run.progress.send_modify(|(_, done)| *done = true);
    state.running.fetch_sub(1, Ordering::SeqCst);
}

fn token_frame(token: &str, is_last: bool, chat: bool) -> String {
    let reason = if is_last { json!("length") } else { Value::Null };
    let choice = if chat {
        json!({ "index": 0, "delta": { "content": format!("{token} ") }, "finish_reason": reason })
    } else {
        json!({ "index": 0, "text": format!("{token} "), "finish_reason": reason })
    };
    json!({ "choices": [choice] }).to_string()
}

fn push_frame(run: &EngineRun, data: &str) {
    let count = {
        let mut frames = lock(&run.frames);
        let id = frames.len();
        frames.push(Bytes::from(format!("id: {id}\ndata: {data}\n\n")));
        frames.len()
    };
    run.progress.send_modify(|(ready, _)| *ready = count);
}

async fn prefill(state: &EngineState, run_request: &RunRequest, version: &str) -> (PrefixState, RunUsage) {
    let mut usage = RunUsage::default();
    let mut prefix_state = first_state(&run_request.cache_salt, version);
    let keys = run_request.kv.as_ref().map_or(&[][..], |kv| kv.keys.as_slice());
    let import = run_request.kv.as_ref().map_or(&[][..], |kv| kv.import.as_slice());
    let started_at = Instant::now();
    let imported = import_blocks(state, import).await;
    if !imported.is_empty() {
        usage.import_micros = started_at.elapsed().as_micros() as u64;
    }
    let (mut none_missing, mut none_computed) = (true, true);
    for (index, block) in run_request.prompt.as_bytes().chunks(BLOCK_BYTES).enumerate() {
        let key = keys.get(index).filter(|_| block.len() == BLOCK_BYTES);
        let cached = key.filter(|_| none_missing).and_then(|key| find_block(state, key));
        let fetched = key.filter(|_| none_missing).and_then(|key| imported.get(key).copied());
        if let Some(cached) = cached {
            usage.cached_bytes += block.len();
            prefix_state = cached;
        } else if let Some(fetched) = fetched {
            usage.imported_bytes += block.len();
            prefix_state = fetched;
        } else {
            none_missing = false;
            let _permit = state.prefill.enter(run_request.priority).await;
            // Another run may have computed the block while this one waited.
            if let Some(cached) = key.filter(|_| none_computed).and_then(|key| find_block(state, key)) {
                usage.cached_bytes += block.len();
                prefix_state = cached;
                continue;
            }
            none_computed = false;
            let micros = (block.len() / BYTES_PER_TOKEN) as u64 * state.rates.prefill_micros;
            tokio::time::sleep(Duration::from_micros(micros)).await;
            usage.computed_bytes += block.len();
            usage.compute_micros += micros;
            prefix_state = next_state(&prefix_state, block);
        }
        if let Some(key) = key {
            store_block(state, key, prefix_state);
        }
    }
    (prefix_state, usage)
}

async fn execute_order(state: &Arc<EngineState>, request: Request<Incoming>) -> Response<StandinBody> {
    let Some(body) = read_body(request).await else { return reply(400, "broken body\n") };
    let order: Value = serde_json::from_slice(&body).unwrap_or_default();
    if let Some(fencing) = &state.fencing {
        let fencing_number = order["fencing"].as_u64().unwrap_or(0);
        let mut highest = lock(fencing);
        if fencing_number < *highest {
            return reply(412, format!("fencing number {highest} was seen\n"));
        }
        *highest = fencing_number;
    }
    let target = order["target"].as_str().unwrap_or_default().to_owned();
    if order["kind"] == "load-version" && *lock(&state.version) != target {
        state.loads_in_progress.fetch_add(1, Ordering::SeqCst);
        let state = Arc::clone(state);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(state.load_millis.load(Ordering::SeqCst))).await;
            *lock(&state.version) = target;
            state.loads_in_progress.fetch_sub(1, Ordering::SeqCst);
        });
    }
    lock(&state.orders).push(order);
    reply(200, "done\n")
}

/// Returns a stream of the frames of `run` from number `from`.
fn stream_response(
    run: Arc<EngineRun>,
    from: usize,
    usage: RunUsage,
    faults: &FaultSwitch,
) -> Response<StandinBody> {
    let (broken, scrambled, stalled) =
        (faults.consume_stream_break(), faults.consume_scramble(), faults.consume_stall());
    let progress = run.progress.subscribe();
    let (sender, receiver) = tokio::sync::mpsc::channel::<Bytes>(64);
    tokio::spawn(async move {
        let mut progress = progress;
        let mut sent = from;
        loop {
            let (ready, done) = *progress.borrow_and_update();
            while sent < ready {
                if broken && sent >= from + FRAMES_BEFORE_FAULT {
                    return;
                }
                if stalled && sent >= from + FRAMES_BEFORE_FAULT {
                    sender.closed().await;
                    return;
                }
                let frame = lock(&run.frames)[sent].clone();
                if scrambled && sent == from + FRAMES_BEFORE_FAULT {
                    // Repeats the previous event and omits this one.
                    let previous = lock(&run.frames)[sent - 1].clone();
                    let _ = sender.send(previous).await;
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
        tokens(usage.cached_bytes),
        tokens(usage.imported_bytes),
        tokens(usage.computed_bytes),
        usage.import_micros,
        usage.compute_micros
    );
    Response::builder()
        .header("content-type", "text/event-stream")
        .header("kv-usage", header)
        .body(StreamBody::new(stream).boxed())
        .unwrap_or_else(|_| reply(500, ""))
}

/// Body frames received from a channel.
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
