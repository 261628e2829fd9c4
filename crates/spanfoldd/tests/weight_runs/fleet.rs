//! Processes of the daemon before engines and a store of this process, under load.

use crate::engine::{Engine, EngineTerms, Shared, Start};
use crate::store::{Fault, StoreStandin};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time after which no request may begin on older weights, in milliseconds.
pub(crate) const VERSION_MILLIS: u64 = 10_000;
/// Interval between an engine's writes of its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Data centres of VMs and engines.
const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

/// Size and behaviour of a run.
#[derive(Clone, Debug)]
pub(crate) struct RunTerms {
    pub(crate) vms: usize,
    pub(crate) engines: usize,
    pub(crate) models: usize,
    /// Requests a second at all VMs together.
    pub(crate) requests_per_s: u64,
    pub(crate) engine: EngineTerms,
    /// Largest difference between the clocks of two engines, in milliseconds.
    pub(crate) clock_spread_millis: u64,
}

/// A process of the daemon.
#[derive(Debug)]
struct Vm {
    callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Vm {
    fn start(&mut self) {
        let output = File::options().create(true).append(true).open(&self.log).unwrap();
        let errors = output.try_clone().unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_spanfoldd"))
            .arg("gateway")
            .env("SPANFOLD_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn();
        self.process = Some(process.unwrap());
    }

    fn signal(&self, signal: Signal) {
        if let Some(process) = &self.process {
            // It may have ended.
            let _ = kill(Pid::from_raw(process.id() as i32), signal);
        }
    }

    fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A publication: its model, version and confirmation.
#[derive(Clone, Debug)]
struct Naming {
    model: String,
    version: u64,
    at: Instant,
    /// When the last engine had it.
    loaded_at: Option<Instant>,
}

/// Answers of one run, by kind.
#[derive(Debug, Default)]
struct Counts {
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
}

/// What a run showed of one publication.
#[derive(Clone, Debug)]
pub(crate) struct NamingResult {
    /// When the last request began on older weights, after the confirmation.
    pub(crate) last_old_start: Option<Duration>,
    /// When the last engine had the version; none if one has not.
    pub(crate) loaded: Option<Duration>,
    /// Requests that began on older weights later than allowed.
    pub(crate) late: Vec<Start>,
}

/// Processes, engines and callers of one run.
pub(crate) struct Fleet {
    terms: RunTerms,
    stores: [StoreStandin; 2],
    engines: Vec<Arc<Engine>>,
    vms: Vec<Vm>,
    pub(crate) shared: Arc<Shared>,
    namings: Arc<Mutex<Vec<Naming>>>,
    counts: Arc<Counts>,
    is_over: Arc<AtomicBool>,
    folder: PathBuf,
    /// Address of the VMs.
    address: Ipv4Addr,
}

/// First port of the VMs, below those that the system gives to connections.
const FIRST_PORT: u16 = 10_000;
/// Ports of a VM.
const PORTS: usize = 4;

/// Number of the next run of this process.
static NEXT_RUN: AtomicU64 = AtomicU64::new(0);

/// Returns a loopback address for the VMs of one run, so that no other test takes their ports.
fn run_address() -> Ipv4Addr {
    // A last byte of zero would become that of the next run.
    let run = 1 + NEXT_RUN.fetch_add(1, Ordering::SeqCst) as u32 + std::process::id() * 64;
    let [_, high, middle, low] = run.to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 254, middle, low.clamp(1, 254))
}

fn model_names(terms: &RunTerms) -> Vec<String> {
    (0..terms.models).map(|model| format!("m{model}")).collect()
}

fn configuration(terms: &RunTerms) -> Value {
    let models: Vec<_> = (0..terms.models).map(|model| json!({"name": format!("m{model}")})).collect();
    json!({"version": 1,
        "routes": [{"name": "chat", "host": "a.example", "pathPrefix": "/chat/", "kind": "stream",
            "timeoutMs": 15_000, "targetLatencyMs": 400, "priority": 1, "service": "llm", "maxAttempts": 2,
            "public": false, "resumable": true, "gapTargetMs": 400}],
        "services": [{"name": "llm", "healthPath": "/health", "maxConnections": 510,
            "engine": {"slots": terms.engine.slots, "kvCapacityTokens": 43_416, "kvTokenBytes": 131_072,
                "models": models}}],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 100_000, "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 5_000},
        "tenants": [{"name": "one", "apiKeys": ["key-one"]}]})
}

impl Fleet {
    /// Starts everything and returns once all VMs are ready.
    pub(crate) async fn start(name: &str, terms: RunTerms) -> Self {
        let folder = std::env::temp_dir().join(format!("spanfold-weights-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let store = StoreStandin::start().await;
        let second = store.second_address().await;
        store.put("op/config", &configuration(&terms));
        let shared = Arc::<Shared>::default();
        let models = model_names(&terms);
        let mut engines = Vec::new();
        for number in 0..terms.engines {
            let offset = if number % 2 == 0 { 0 } else { -(terms.clock_spread_millis as i64) };
            let id = format!("i-{number}");
            engines.push(Engine::start(id, &models, terms.engine, offset, Arc::clone(&shared)).await);
        }
        let mut fleet = Self {
            terms,
            stores: [store, second],
            engines,
            vms: Vec::new(),
            shared,
            namings: Arc::default(),
            counts: Arc::default(),
            is_over: Arc::default(),
            folder,
            address: run_address(),
        };
        fleet.beat(&fleet.engines);
        fleet.watch_loads();
        for number in 0..fleet.terms.vms {
            fleet.add_vm(number);
        }
        for vm in &fleet.vms {
            until_ready(vm.readiness).await;
        }
        fleet.call();
        fleet
    }

    fn add_vm(&mut self, number: usize) {
        let [callers, readiness, metrics, peers] = std::array::from_fn(|port| {
            SocketAddr::from((self.address, FIRST_PORT + (PORTS * number + port) as u16))
        });
        let (name, data_centre) = (format!("vm-{number:02}"), DATA_CENTRES[number % DATA_CENTRES.len()]);
        // Every third VM reaches the store by an address of its own.
        let store = self.stores[usize::from(number % 3 == 1)].address();
        let text = format!(
            "[vm]\nname = {name}\ndata_centre = {data_centre}\nregions = dc-a:r,dc-b:r,dc-c:r\n\
             link_mbps = 200\nmemory_mb = 380\n[listen]\ncallers = {callers}\nreadiness = {readiness}\n\
             metrics = {metrics}\npeers = {peers}\n[store]\naddress = {store}\n[bounds]\ngrace_s = 8\n\
             lease_ms = 3000\nversion_ms = {VERSION_MILLIS}\nretry_ratio = 0.2\nretry_window_s = 10\n\
             retry_slack = 168\n"
        );
        let (settings, log) =
            (self.folder.join(format!("{name}.ini")), self.folder.join(format!("{name}.log")));
        fs::write(&settings, text).unwrap();
        let mut vm = Vm { callers, readiness, settings, log, process: None };
        vm.start();
        self.vms.push(vm);
    }

    /// Starts as many engines again, of another software version; returns them.
    pub(crate) async fn add_software(&mut self, software: &'static str) -> Vec<Arc<Engine>> {
        let models = model_names(&self.terms);
        let terms = EngineTerms { software, ..self.terms.engine };
        let mut engines = Vec::new();
        for number in 0..self.terms.engines {
            let id = format!("{software}-{number}");
            engines.push(Engine::start(id, &models, terms, 0, Arc::clone(&self.shared)).await);
        }
        self.beat(&engines);
        engines
    }

    /// Ends the engines that were started first: their entries are removed, and they are not reached.
    pub(crate) fn retire_first(&mut self) {
        for engine in self.engines.drain(..) {
            engine.retire();
            self.stores[0].remove(&format!("servers/{}", engine.id));
        }
    }

    /// Returns the callers' address of a VM.
    pub(crate) fn callers(&self, vm: usize) -> SocketAddr {
        self.vms[vm % self.vms.len()].callers
    }

    /// Waits until all VMs are ready.
    pub(crate) async fn until_ready(&self) {
        for vm in &self.vms {
            until_ready(vm.readiness).await;
        }
    }

    /// Waits until the store records so many software versions.
    pub(crate) async fn until_recorded(&self, versions: usize) {
        let keys = || self.stores[0].keys("spanfold/software/");
        while keys().iter().filter(|key| !key.ends_with("complete")).count() != versions {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Writes the engines' entries as long as the run lasts.
    fn beat(&self, engines: &[Arc<Engine>]) {
        let (store, engines) = (self.stores[0].clone(), engines.to_vec());
        let is_over = Arc::clone(&self.is_over);
        for (number, engine) in engines.iter().enumerate() {
            let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
            store.put(&format!("servers/{}", engine.id), &engine.entry(data_centre, 0));
        }
        tokio::spawn(async move {
            for beat in 1.. {
                for (number, engine) in engines.iter().enumerate() {
                    tokio::time::sleep(HEARTBEAT / engines.len() as u32).await;
                    let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
                    if !engine.is_retired() {
                        store.put(&format!("servers/{}", engine.id), &engine.entry(data_centre, beat));
                    }
                }
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
            }
        });
    }

    /// Records when the last engine has each published version.
    fn watch_loads(&self) {
        let (engines, namings, is_over) =
            (self.engines.clone(), Arc::clone(&self.namings), Arc::clone(&self.is_over));
        tokio::spawn(async move {
            while !is_over.load(Ordering::SeqCst) {
                tokio::time::sleep(Duration::from_millis(10)).await;
                for naming in namings.lock().unwrap().iter_mut().filter(|naming| naming.loaded_at.is_none()) {
                    if engines.iter().all(|engine| engine.version(&naming.model) >= naming.version) {
                        naming.loaded_at = Some(Instant::now());
                    }
                }
            }
        });
    }

    /// Sends requests to all VMs as long as the run lasts.
    fn call(&self) {
        for (number, vm) in self.vms.iter().enumerate() {
            let interval = Duration::from_secs(1) * self.terms.vms as u32 / self.terms.requests_per_s as u32;
            let (address, models) = (vm.callers, self.terms.models as u64);
            let (counts, is_over) = (Arc::clone(&self.counts), Arc::clone(&self.is_over));
            tokio::spawn(async move {
                for request in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    tokio::time::sleep(interval).await;
                    let counts = Arc::clone(&counts);
                    tokio::spawn(async move {
                        let id = format!("vm-{number:02}-{request}");
                        let kind = match exchange(address, &id, request % models).await {
                            Some(200) => &counts.served,
                            Some(503 | 429) => &counts.refused,
                            _ => &counts.failed,
                        };
                        kind.fetch_add(1, Ordering::SeqCst);
                    });
                }
            });
        }
    }

    /// Publishes the next version of a model.
    pub(crate) fn publish(&self, model: usize) {
        let model = format!("m{model}");
        let mut namings = self.namings.lock().unwrap();
        let before = namings.iter().filter(|naming| naming.model == model).count() as u64;
        let version = before + 2;
        self.stores[0].put(&format!("op/version/{model}"), &json!({"model": model, "version": version}));
        namings.push(Naming { model, version, at: Instant::now(), loaded_at: None });
    }

    pub(crate) fn set_late_orders(&self, percent: u64) {
        self.shared.late_percent.store(percent, Ordering::SeqCst);
    }

    pub(crate) fn jump_engine_clocks(&self, millis: i64) {
        self.shared.clock_jump_millis.fetch_add(millis, Ordering::SeqCst);
    }

    /// Sets the fault of the store that a third of the VMs sees.
    pub(crate) fn set_store_fault(&self, fault: Fault) {
        self.stores[1].set_fault(fault);
    }

    pub(crate) fn kill_all(&mut self) {
        self.vms.iter_mut().for_each(Vm::kill);
    }

    pub(crate) fn start_all(&mut self) {
        self.vms.iter_mut().filter(|vm| vm.process.is_none()).for_each(Vm::start);
    }

    pub(crate) fn kill_one(&mut self, vm: usize) {
        self.vms[vm].kill();
    }

    pub(crate) fn freeze(&self, vms: std::ops::Range<usize>) {
        self.vms[vms].iter().for_each(|vm| vm.signal(Signal::SIGSTOP));
    }

    pub(crate) fn thaw(&self, vms: std::ops::Range<usize>) {
        self.vms[vms].iter().for_each(|vm| vm.signal(Signal::SIGCONT));
    }

    pub(crate) const fn vm_count(&self) -> usize {
        self.vms.len()
    }

    /// Ends the run and returns what each publication showed.
    pub(crate) fn finish(mut self, name: &str) -> Vec<NamingResult> {
        self.is_over.store(true, Ordering::SeqCst);
        self.kill_all();
        let starts = self.shared.starts.lock().unwrap().clone();
        let (counts, total) = (&self.counts, starts.len());
        let [served, refused, failed] =
            [&counts.served, &counts.refused, &counts.failed].map(|count| count.load(Ordering::SeqCst));
        println!("{name}: {total} starts; callers: {served} served, {refused} refused, {failed} failed");
        let unknown = starts.iter().filter(|start| start.expected.is_none()).count();
        println!("{name}: {unknown} starts without an expected version; logs in {}", self.folder.display());
        let namings = self.namings.lock().unwrap().clone();
        let results = namings.iter().map(|naming| {
            let older = |start: &&Start| {
                start.model == naming.model && start.version < naming.version && start.at > naming.at
            };
            let since = |at: Instant| at.duration_since(naming.at);
            let old: Vec<_> = starts.iter().filter(older).collect();
            let is_late = |start: &&&Start| since(start.at) > Duration::from_millis(VERSION_MILLIS);
            let result = NamingResult {
                last_old_start: old.iter().map(|start| since(start.at)).max(),
                loaded: naming.loaded_at.map(since),
                late: old.iter().filter(is_late).map(|start| (*start).clone()).collect(),
            };
            let vms: BTreeMap<&str, Duration> = old
                .iter()
                .map(|start| (&start.id[..5], since(start.at)))
                .fold(BTreeMap::new(), |mut last, (vm, at)| {
                    let latest = last.entry(vm).or_insert(at);
                    *latest = at.max(*latest);
                    last
                });
            let last_vm = vms.iter().max_by_key(|(_, at)| **at).map_or("none", |(vm, _)| vm);
            println!(
                "{name}: {} version {}: last old start {:.3?} ({last_vm}), last engine {:.3?}, {} late",
                naming.model,
                naming.version,
                result.last_old_start,
                result.loaded,
                result.late.len()
            );
            result
        });
        results.collect()
    }
}

/// Sends a request and reads its answer; returns its status, none if it is not whole.
async fn exchange(address: SocketAddr, id: &str, model: u64) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request(id, model, "").as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok()?;
    let text = String::from_utf8_lossy(&answer);
    let status: u16 = text.get(9..12)?.parse().ok()?;
    let is_whole = status != 200 || text.ends_with("0\r\n\r\n") || text.contains("content-length");
    is_whole.then_some(status)
}

/// A stream whose caller has received its first event.
pub(crate) struct BegunStream {
    pub(crate) id: String,
    pub(crate) software: String,
    /// The connection, until the VM ends.
    _connection: TcpStream,
}

/// What became of a stream that its caller took up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TakeUpResult {
    /// It holds events of another software version than the one that began it.
    Joined,
    Refused,
    WentOn,
    Failed,
}

fn request(id: &str, model: u64, extra: &str) -> String {
    let segment: String = id.bytes().map(|byte| format!("{byte:02x}")).collect();
    format!(
        "POST /chat/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 15000\r\n\
         Authorization: Bearer key-one\r\nX-Model: m{model}\r\nX-Token-Usage: 827,42\r\n\
         X-Prefix-Hash: {segment}:827\r\nContent-Length: 0\r\nConnection: close\r\n{extra}\r\n"
    )
}

fn software_in(text: &str) -> impl Iterator<Item = &str> {
    text.lines().filter_map(|line| line.strip_prefix("data: "))
}

/// Begins a stream and returns with its first event.
pub(crate) async fn begin_stream(address: SocketAddr, id: &str) -> Option<BegunStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request(id, 0, "").as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    loop {
        let mut chunk = [0; 1_024];
        let length = stream.read(&mut chunk).await.ok().filter(|length| *length > 0)?;
        answer.extend_from_slice(&chunk[..length]);
        let text = String::from_utf8_lossy(&answer);
        if let Some(software) = software_in(&text).next() {
            let software = software.to_owned();
            return Some(BegunStream { id: id.to_owned(), software, _connection: stream });
        }
    }
}

/// Takes a stream up after its first event, with the header lines that name it.
pub(crate) async fn take_up(
    address: SocketAddr,
    stream: &BegunStream,
    id: &str,
    lines: &str,
) -> TakeUpResult {
    let extra = format!("Last-Event-Id: 1\r\n{lines}");
    let Ok(mut connection) = TcpStream::connect(address).await else { return TakeUpResult::Failed };
    let mut answer = String::new();
    let is_sent = connection.write_all(request(id, 0, &extra).as_bytes()).await.is_ok();
    if !is_sent || connection.read_to_string(&mut answer).await.is_err() {
        return TakeUpResult::Failed;
    }
    match answer.get(9..12) {
        Some("200") if software_in(&answer).any(|software| software != stream.software) => {
            TakeUpResult::Joined
        }
        Some("200") if answer.ends_with("0\r\n\r\n") => TakeUpResult::WentOn,
        Some("503") => TakeUpResult::Refused,
        _ => TakeUpResult::Failed,
    }
}

async fn until_ready(address: SocketAddr) {
    for _ in 0..1_500 {
        if let Ok(mut stream) = TcpStream::connect(address).await {
            let request = b"GET /readiness HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n";
            let mut answer = String::new();
            if stream.write_all(request).await.is_ok()
                && stream.read_to_string(&mut answer).await.is_ok()
                && answer.starts_with("HTTP/1.1 200")
            {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("not within 30 s: readiness");
}
