//! Case: new weights are named for one model of engines that serve two, and then for the other one.

use crate::deployment::{Record, Vm, call, configuration, entry, request, until};
use crate::http::{Message, read_request, write_answer};
use crate::store::Store;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// `versionMs` of the deployment.
const VERSION_TIME: Duration = Duration::from_millis(10_000);
/// 1.5 times that: then no more than a tenth of the engines, and no more than one, may hold older weights.
const END_TIME: Duration = Duration::from_millis(15_000);
/// Time that new weights take an engine.
const LOAD_TIME: Duration = Duration::from_millis(760);
const BEAT: Duration = Duration::from_millis(1_200);
const ENGINES: usize = 6;
const MODELS: [&str; 2] = ["m0", "m1"];
/// Time between two requests for one model.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct EngineState {
    versions: BTreeMap<String, u64>,
    sequence: u64,
    /// The load under way: its end, the model and the version.
    load: Option<(Instant, String, u64)>,
}

/// A request that an engine ran.
#[derive(Clone, Debug)]
struct Run {
    at: Instant,
    engine: usize,
    id: String,
    model: String,
    version: u64,
    expected: String,
}

#[derive(Debug)]
struct Fleet {
    engines: Vec<Mutex<EngineState>>,
    runs: Mutex<Vec<Run>>,
    named: Mutex<BTreeMap<String, u64>>,
    record: Record,
}

impl Fleet {
    /// Returns an engine's state with what is due applied.
    fn state(&self, engine: usize) -> MutexGuard<'_, EngineState> {
        let mut state = self.engines[engine].lock().expect("the engine");
        if state.load.as_ref().is_some_and(|(end, ..)| *end <= Instant::now())
            && let Some((_, model, version)) = state.load.take()
        {
            self.record.line(&format!("engine i-{engine}: holds version {version} of {model}"));
            state.versions.insert(model, version);
        }
        state
    }

    fn models(&self, engine: usize) -> Value {
        let state = self.state(engine);
        state
            .versions
            .iter()
            .map(|(name, version)| json!({"name": name, "version": version, "adapters": []}))
            .collect()
    }

    fn serve(&self, engine: usize, stream: TcpStream) {
        let id = format!("i-{engine}");
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(message)) = read_request(&mut reader) {
            let is_other = message.header("x-expect-instance").is_some_and(|expected| expected != id);
            let request_id = message.header("x-request-id").unwrap_or("").to_owned();
            let own = [("X-Instance-Id", id.as_str()), ("Content-Type", "application/json")];
            let answered = match message.path() {
                "/health" => write_answer(&mut writer, 200, &own, b""),
                _ if is_other => write_answer(&mut writer, 421, &own, b""),
                "/report" => {
                    let report = self.report(engine).to_string();
                    write_answer(&mut writer, 200, &own, report.as_bytes())
                }
                "/order" => {
                    let status = self.order(engine, &message.body);
                    write_answer(&mut writer, status, &own, b"")
                }
                _ => match self.run(engine, &message) {
                    Ok(version) => write_answer(
                        &mut writer,
                        200,
                        &[
                            ("X-Request-Id", request_id.as_str()),
                            ("X-Response-Seal", "seal"),
                            ("X-Weight-Versions", version.to_string().as_str()),
                            ("Content-Type", "text/event-stream"),
                        ],
                        b"id: 1\ndata: a\n\n",
                    ),
                    Err(status) => write_answer(
                        &mut writer,
                        status,
                        &[("X-Request-Id", request_id.as_str()), ("X-Not-Executed", "1")],
                        b"",
                    ),
                },
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn report(&self, engine: usize) -> Value {
        let models = self.models(engine);
        let state = self.state(engine);
        json!({"stage": "colocated", "models": models, "busy": state.load.is_some(),
            "sequence": state.sequence, "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 41564, "handles": 0,
            "clock_ms": self.record.seconds() * 1_000.0})
    }

    /// Takes an order; returns the answer's status.
    fn order(&self, engine: usize, body: &[u8]) -> u16 {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let (holder, model) = (order["holder"].as_str().unwrap_or(""), order["model"].as_str().unwrap_or(""));
        let version = order["version"].as_u64().unwrap_or(0);
        let is_named =
            self.named.lock().expect("the versions").get(model).is_some_and(|named| *named >= version);
        let mut state = self.state(engine);
        let expected = order["expectedRev"].as_u64().unwrap_or(state.sequence);
        let status = if !is_named {
            400
        } else if state.load.is_some() || expected != state.sequence {
            409
        } else if state.versions.get(model).is_some_and(|held| *held == version) {
            200
        } else {
            state.sequence += 1;
            state.load = Some((Instant::now() + LOAD_TIME, model.to_owned(), version));
            202
        };
        drop(state);
        self.record
            .line(&format!("engine i-{engine}: order of {holder}, {model} version {version}: {status}"));
        status
    }

    /// Runs a request; returns the version that it ran on, or the status of a refusal.
    fn run(&self, engine: usize, message: &Message) -> Result<u64, u16> {
        let model = message.header("x-model").unwrap_or("").to_owned();
        let state = self.state(engine);
        let version = state.versions.get(&model).copied().ok_or(400_u16)?;
        if state.load.as_ref().is_some_and(|(_, loading, _)| *loading == model) {
            return Err(503);
        }
        let expected = message.header("x-expect-version").unwrap_or("none").to_owned();
        if expected != "none" && expected != version.to_string() {
            return Err(421);
        }
        drop(state);
        let id = message.header("x-request-id").unwrap_or("").to_owned();
        let run = Run { at: Instant::now(), engine, id, model, version, expected };
        self.runs.lock().expect("the runs").push(run);
        Ok(version)
    }

    /// Returns the number of engines that hold less than `version` of a model.
    fn older(&self, model: &str, version: u64) -> usize {
        (0..ENGINES).filter(|engine| self.state(*engine).versions.get(model) < Some(&version)).count()
    }

    fn name(&self, store: &Store, model: &str, version: u64) -> Instant {
        self.named.lock().expect("the versions").insert(model.to_owned(), version);
        store.put(&format!("op/version/{model}"), &json!({"model": model, "version": version}));
        self.record.line(&format!("operator: version {version} of {model} is named"));
        Instant::now()
    }
}

/// Runs the case; returns whether the rule held, or none if the case couldn't run.
pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Option<bool> {
    let store = Store::start();
    let mut config = configuration();
    for service in config["services"].as_array_mut()?.iter_mut().filter(|row| row["engine"].is_object()) {
        service["engine"]["models"] = MODELS.iter().map(|name| json!({"name": name})).collect();
    }
    store.put("op/config", &config);
    let versions: BTreeMap<String, u64> = MODELS.iter().map(|name| ((*name).to_owned(), 1)).collect();
    let engine = || Mutex::new(EngineState { versions: versions.clone(), sequence: 0, load: None });
    let fleet = Arc::new(Fleet {
        engines: (0..ENGINES).map(|_| engine()).collect(),
        runs: Mutex::default(),
        named: Mutex::new(versions.clone()),
        record: record.clone(),
    });
    let addresses: Vec<SocketAddr> = (0..ENGINES)
        .map(|engine| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("an address for the engine");
            let address = listener.local_addr().expect("its address");
            let fleet = Arc::clone(&fleet);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let fleet = Arc::clone(&fleet);
                    thread::spawn(move || fleet.serve(engine, stream));
                }
            });
            address
        })
        .collect();
    let (beats, listed) = (store.clone(), Arc::clone(&fleet));
    thread::spawn(move || {
        for sequence in 1.. {
            for (engine, address) in addresses.iter().enumerate() {
                let mut row = entry("manual-llm", *address, "ready", 1, sequence);
                row["models"] = listed.models(engine);
                beats.put(&format!("servers/i-{engine}"), &row);
            }
            thread::sleep(BEAT);
        }
    });
    let vms: Vec<Vm> = ["vm-1", "vm-2", "vm-3"]
        .iter()
        .map(|name| Vm::start(folder, name, "depot-a", store.address))
        .collect();
    if !vms.iter().all(Vm::until_ready) {
        record.line("the processes of the system did not become ready");
        return None;
    }
    thread::sleep(Duration::from_secs(6));
    if has_trouble {
        fleet.name(&store, MODELS[0], 2);
        if !until(Duration::from_secs(10), || fleet.older(MODELS[0], 2) == 0) {
            record.line("the first model's new weights did not reach the engines");
            return None;
        }
        thread::sleep(Duration::from_secs(3));
    }
    let named_at = fleet.name(&store, MODELS[1], 2);
    let (is_over, refused, served) =
        (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let callers: Vec<_> = vms
        .iter()
        .map(|vm| {
            let (address, name) = (vm.callers, vm.name.clone());
            let (is_over, refused, served) =
                (Arc::clone(&is_over), Arc::clone(&refused), Arc::clone(&served));
            thread::spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let extra =
                        "X-Model: m1\r\nX-Token-Usage: 300,20\r\nX-Prefix-Hash: a1:100,b2:150,c3:50\r\n";
                    let text = request("POST", "/reply-draft/1", &format!("{name}-{number}"), 12_000, extra);
                    let answer = call(address, &text, Duration::from_secs(13));
                    let is_served =
                        answer.is_some_and(|answer| answer.head.status() == 200 && answer.is_complete);
                    if is_served { &served } else { &refused }.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(REQUEST_INTERVAL);
                }
            })
        })
        .collect();
    let mut has_held = true;
    for second in 1..=20 {
        thread::sleep((named_at + Duration::from_secs(second)).saturating_duration_since(Instant::now()));
        record.line(&format!(
            "{second} s after version 2 of m1 was named: {} of {ENGINES} engines hold version 1; callers of m1: \
             {} served, {} not served in this second",
            fleet.older("m1", 2),
            served.swap(0, Ordering::SeqCst),
            refused.swap(0, Ordering::SeqCst)
        ));
    }
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let older = fleet.older("m1", 2);
    if older > 1 && older * 10 > ENGINES && named_at.elapsed() >= END_TIME {
        has_held = false;
        record.line(&format!("BROKEN: {older} of {ENGINES} engines hold older weights at the end"));
    }
    let runs = fleet.runs.lock().expect("the runs").clone();
    let late: Vec<_> = runs
        .iter()
        .filter(|run| run.model == "m1" && run.version < 2 && run.at > named_at + VERSION_TIME)
        .collect();
    if let Some(first) = late.first() {
        has_held = false;
        record.line(&format!(
            "BROKEN: {} requests started on version 1 of m1 later than 10 s after version 2 was named; the first, \
             {}, {:.3} s after it at engine i-{}, expected version: {}",
            late.len(), first.id, (first.at - named_at).as_secs_f64(), first.engine, first.expected
        ));
    }
    Some(has_held)
}
