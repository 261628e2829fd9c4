//! VMs, endpoints and a store of one run, with ordinary traffic beside a crowd.

use crate::crowd::{ALL_MISUSES, ClientLimits, Crowd, Misuse};
use crate::desk::{Desk, RunCounts};
use crate::ordinary::{CallCounts, OrdinaryCallers};
use crate::store::StoreStandin;
use crate::vm::{Vm, VmLimits};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Timeout of the balancer's readiness checks.
const READINESS_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between readiness checks.
const READINESS_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which ordinary callers are watched before and after a crowd.
const CALM_TIME: Duration = Duration::from_millis(1_500);
/// Endpoints of each service.
const DESKS: usize = 4;
const MEGABYTE: u64 = 1_000_000;
/// Ordinary requests that are served beside a crowd, in a hundred.
const SERVED_PERCENT: usize = 95;
/// Descriptors that may stay open after a crowd, beyond those before it.
const SPARE_DESCRIPTORS: u64 = 64;
/// Bytes of a log for each second of a crowd.
const LOG_BYTES_PER_S: u64 = 512 << 10;

/// Paths that crowds use: routes, none, and the one that says ready.
const PATHS: [&str; 5] = ["/write/", "/chat/", "/nowhere/", "/readiness", "/read/"];

/// Size of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunTerms {
    pub(crate) vms: u8,
    pub(crate) vm: VmLimits,
    pub(crate) clients: ClientLimits,
    /// Timeout of all routes.
    pub(crate) timeout_millis: u64,
    /// Connections of all crowds together.
    pub(crate) connections: usize,
    pub(crate) seconds: u64,
}

impl RunTerms {
    /// Returns the terms of a short run, or those of the environment.
    ///
    /// The sizes are those of the smallest VM of the site files.
    pub(crate) fn from_environment() -> Self {
        let number = |name: &str, default: u64| {
            std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
        };
        Self {
            vms: 1,
            vm: VmLimits {
                memory_mb: number("SPANFOLD_VM_MEMORY", 88),
                descriptors: number("SPANFOLD_VM_DESCRIPTORS", 3_900),
                grace_s: 8,
            },
            clients: ClientLimits { header_bytes: 16_384, body_bytes: 4 << 20 },
            timeout_millis: 4_000,
            connections: number("SPANFOLD_CROWD_CONNECTIONS", 2_000) as usize,
            seconds: number("SPANFOLD_CROWD_SECONDS", 4),
        }
    }
}

/// Whether times are judged, too: in long runs, which are started by hand.
fn are_times_judged() -> bool {
    std::env::var("SPANFOLD_CROWD_SECONDS").is_ok()
}

fn configuration(terms: &RunTerms) -> Value {
    let limits = terms.clients;
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        json!({"name": name, "host": "a.example", "pathPrefix": format!("/{name}/"), "kind": kind,
            "timeoutMs": terms.timeout_millis, "targetLatencyMs": 400, "priority": 1, "service": service,
            "maxAttempts": attempts, "public": false, "resumable": false, "gapTargetMs": 400})
    };
    json!({"version": 1,
        "routes": [route("read", "idempotent", "desk", 2), route("write", "non_idempotent", "desk", 1),
            route("chat", "stream", "llm", 1)],
        "services": [{"name": "desk", "healthPath": "/health", "maxConnections": 400},
            {"name": "llm", "healthPath": "/health", "maxConnections": 400,
                "engine": {"slots": 16, "kvCapacityTokens": 400_000, "kvTokenBytes": 18_432,
                    "models": [{"name": "m0"}]}}],
        "limits": {"maxHeaderBytes": limits.header_bytes, "maxBodyBytes": limits.body_bytes,
            "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
        "tenants": [{"name": "one", "apiKeys": ["key-one"]}, {"name": "two", "apiKeys": ["key-two"]}]})
}

/// Address of a VM that a crowd uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Door {
    Callers,
    Readiness,
    Metrics,
}

/// Processes and servers of one run.
pub(crate) struct Site {
    name: String,
    terms: RunTerms,
    _store: StoreStandin,
    _desks: Vec<Desk>,
    pub(crate) vms: Vec<Vm>,
    pub(crate) runs: RunCounts,
}

impl Site {
    /// Starts everything and returns once all VMs are ready.
    pub(crate) async fn start(name: &str, terms: RunTerms) -> Self {
        let folder = std::env::temp_dir().join(format!("spanfold-crowd-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let store = StoreStandin::start().await;
        store.put("op/config", &configuration(&terms));
        store.put("op/version/m0", &json!({"model": "m0", "version": 1}));
        let runs = RunCounts::default();
        let mut desks = Vec::new();
        for number in 0..DESKS {
            for service in ["desk", "llm"] {
                let desk = Desk::start(format!("{service}-{number}"), service, &runs).await;
                store.put(&desk.key(), &desk.entry());
                desks.push(desk);
            }
        }
        let mut servers: Vec<_> = desks.iter().map(|desk| desk.address.port()).collect();
        servers.push(store.address().port());
        let start_vm = |number| Vm::start(&folder, number, store.address(), &servers, terms.vm);
        let vms: Vec<_> = (0..terms.vms).map(start_vm).collect();
        for vm in &vms {
            until_ready(vm.readiness).await;
        }
        Self { name: name.to_owned(), terms, _store: store, _desks: desks, vms, runs }
    }

    fn crowd(&self, misuse: Misuse, door: Door, vm: &Vm, connections: usize) -> Crowd {
        let address = match door {
            Door::Callers => vm.callers,
            Door::Readiness => vm.readiness,
            Door::Metrics => vm.metrics,
        };
        Crowd::start(misuse, address, connections, &PATHS, self.terms.clients)
    }

    /// Plays crowds at the first `crowded_vms` VMs, each kind at each door, beside ordinary traffic at all VMs.
    ///
    /// `disturb` runs beside the crowds.
    pub(crate) async fn play(
        mut self,
        kinds: &[(Misuse, Door)],
        crowded_vms: usize,
        disturb: impl AsyncFnOnce(&mut Vec<Vm>),
    ) {
        let addresses: Vec<_> = self.vms.iter().map(|vm| vm.callers).collect();
        let callers = OrdinaryCallers::start("before", &addresses);
        tokio::time::sleep(CALM_TIME).await;
        callers.stop().await;
        let before = callers.take_counts();
        let calm: Vec<_> = self.vms.iter().map(|vm| (vm.memory_bytes(), vm.peak().descriptors)).collect();
        let log_bytes: u64 = self.vms.iter().map(Vm::log_bytes).sum();

        let checks: Vec<_> = self.vms.iter().map(|vm| DoorWatch::start(vm.readiness, vm.metrics)).collect();
        let callers = OrdinaryCallers::start("during", &addresses);
        let connections = self.terms.connections / kinds.len() / crowded_vms;
        let crowds: Vec<_> = self.vms[..crowded_vms]
            .iter()
            .flat_map(|vm| kinds.iter().map(move |kind| (vm, *kind)))
            .map(|(vm, (misuse, door))| self.crowd(misuse, door, vm, connections))
            .collect();
        disturb(&mut self.vms).await;
        tokio::time::sleep(Duration::from_secs(self.terms.seconds)).await;
        callers.stop().await;
        let during = callers.take_counts();
        let readiness: Vec<_> = checks.iter().map(DoorWatch::stop).collect();
        let log_bytes = self.vms.iter().map(Vm::log_bytes).sum::<u64>() - log_bytes;
        let [opened, answered, refused, ended] = ["opened", "answered", "refused", "ended"].map(|count| {
            let value = |crowd: &Crowd| match count {
                "opened" => crowd.counts.opened.load(Ordering::SeqCst),
                "answered" => crowd.counts.answered.load(Ordering::SeqCst),
                "refused" => crowd.counts.refused.load(Ordering::SeqCst),
                _ => crowd.counts.ended.load(Ordering::SeqCst),
            };
            crowds.iter().map(value).sum::<u64>()
        });
        let ends: Vec<_> = self.vms.iter_mut().filter_map(Vm::end_cause).collect();
        for (vm, (misses, in_a_row, metrics)) in self.vms.iter().zip(&readiness) {
            let peak = vm.peak();
            println!(
                "{}: peak {:.1} MB of {} ({:.1} unread), {} descriptors; readiness missed {misses} times, {in_a_row} in a row; metrics answered {metrics} times",
                self.name,
                peak.memory_bytes as f64 / MEGABYTE as f64,
                vm.limits.memory_mb,
                peak.unread_bytes as f64 / MEGABYTE as f64,
                peak.descriptors,
            );
        }
        println!(
            "{}: crowd: {opened} connections, {answered} answered, {refused} refused, {ended} ended; {log_bytes} log bytes",
            self.name
        );
        report(&self.name, "before", &before);
        report(&self.name, "during", &during);
        drop(crowds);
        assert_eq!(ends, Vec::<String>::new());

        // A crowd's connections and memory are given up once it has left.
        for (vm, (memory_bytes, descriptors)) in self.vms.iter().zip(&calm) {
            vm.until_calm(memory_bytes + vm.limits.memory_mb * MEGABYTE / 4, descriptors + SPARE_DESCRIPTORS)
                .await;
        }
        let callers = OrdinaryCallers::start("after", &addresses);
        tokio::time::sleep(CALM_TIME).await;
        callers.stop().await;
        let after = callers.take_counts();
        report(&self.name, "after", &after);

        assert_eq!(self.vms.iter_mut().filter_map(Vm::end_cause).collect::<Vec<_>>(), Vec::<String>::new());
        self.assert_not_run(&during);
        assert!(during.total() > 0 && after.total() > 0);
        assert!(
            during.served * 100 >= during.total() * SERVED_PERCENT,
            "{}: {} of {} ordinary requests were served beside the crowd",
            self.name,
            during.served,
            during.total()
        );
        assert_eq!(after.served, after.total(), "{}: after the crowd", self.name);
        let log_limit = LOG_BYTES_PER_S * self.terms.seconds * u64::from(self.terms.vms);
        assert!(log_bytes <= log_limit, "{}: {log_bytes} log bytes, limit {log_limit}", self.name);
        assert!(readiness.iter().all(|(_, _, metrics)| *metrics > 0), "{}: no metrics", self.name);
        if are_times_judged() {
            assert!(
                readiness.iter().all(|(_, in_a_row, _)| *in_a_row < 2),
                "{}: readiness was lost",
                self.name
            );
        }
    }

    /// Checks that no attempt ran whose answer promised that it has not.
    fn assert_not_run(&self, counts: &CallCounts) {
        let runs = self.runs.lock().unwrap();
        let broken: Vec<_> = counts.refused_ids.iter().filter(|id| runs.contains_key(*id)).collect();
        assert!(broken.is_empty(), "{}: refused and run: {broken:?}", self.name);
    }
}

/// Returns each kind of misuse at one door.
pub(crate) fn all_kinds(door: Door) -> Vec<(Misuse, Door)> {
    ALL_MISUSES.map(|misuse| (misuse, door)).to_vec()
}

fn report(name: &str, phase: &str, counts: &CallCounts) {
    println!(
        "{name}: ordinary requests {phase}: {} served, {} refused, {} failed, p50 {:.1?}, p95 {:.1?}",
        counts.served,
        counts.refused,
        counts.failed,
        counts.quantile(0.5),
        counts.quantile(0.95)
    );
}

/// Checks of a VM's readiness, as the balancer makes them, and of its metrics.
struct DoorWatch {
    misses: Arc<AtomicU64>,
    /// Largest number of misses in a row.
    in_a_row: Arc<AtomicU64>,
    metrics: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl DoorWatch {
    fn start(readiness: SocketAddr, metrics: SocketAddr) -> Self {
        let [misses, in_a_row, answered] = [(); 3].map(|()| Arc::<AtomicU64>::default());
        let (missed, row, metrics_answered) =
            (Arc::clone(&misses), Arc::clone(&in_a_row), Arc::clone(&answered));
        let task = tokio::spawn(async move {
            let mut current_row = 0;
            loop {
                tokio::time::sleep(READINESS_INTERVAL).await;
                let check = tokio::time::timeout(READINESS_TIMEOUT, get(readiness, "/readiness"));
                if check.await.ok().flatten().is_some_and(|answer| answer.starts_with("HTTP/1.1 200")) {
                    current_row = 0;
                } else {
                    missed.fetch_add(1, Ordering::SeqCst);
                    current_row += 1;
                    row.fetch_max(current_row, Ordering::SeqCst);
                }
                let figures = tokio::time::timeout(READINESS_TIMEOUT * 5, get(metrics, "/metrics")).await;
                if figures.ok().flatten().is_some_and(|answer| answer.contains("held_bytes")) {
                    metrics_answered.fetch_add(1, Ordering::SeqCst);
                }
            }
        });
        Self { misses, in_a_row, metrics: answered, task }
    }

    /// Returns the misses, the most of them in a row, and the answers with metrics.
    fn stop(&self) -> (u64, u64, u64) {
        self.task.abort();
        let [misses, in_a_row, metrics] =
            [&self.misses, &self.in_a_row, &self.metrics].map(|count| count.load(Ordering::SeqCst));
        (misses, in_a_row, metrics)
    }
}

/// Requests a path on a connection of its own and returns the answer.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok()?;
    Some(answer)
}

pub(crate) async fn until_ready(address: SocketAddr) {
    for _ in 0..1_500 {
        let answer = tokio::time::timeout(READINESS_TIMEOUT, get(address, "/readiness")).await;
        if answer.ok().flatten().is_some_and(|answer| answer.starts_with("HTTP/1.1 200")) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("not within 30 s: readiness");
}
