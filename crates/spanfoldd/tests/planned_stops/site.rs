//! A process of the daemon with endpoints that take long, and callers whose requests arrive during its stop.

use crate::caller::{Answer, CallerConnection};
use crate::engine::{EngineStandin, Received, Step, chunk, complete_answer, stream_end, stream_head};
use crate::store::StoreStandin;
use crate::vm::{Vm, VmLimits};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Routes of the runs: repeatable, not repeatable, a stream that can be resumed, and one that cannot.
const PATHS: [&str; 4] = ["/read/", "/write/", "/resume/", "/stream/"];
/// Events of a stream.
const EVENTS: u64 = 6;
/// Bytes of a request's body.
const BODY_BYTES: usize = 100;
/// Time after the signal until which idle connections stay open, in milliseconds.
const BALANCER_DRAIN_MILLIS: u64 = 2_500;
/// Timeout of all routes, in milliseconds.
const TIMEOUT_MILLIS: u64 = 15_000;

/// What of a request arrives last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// The last byte of its body.
    Body,
    /// The second half of its head.
    Head,
    /// All of it, on an idle connection.
    Idle,
}

/// What differs between runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopTerms {
    pub(crate) grace_s: u64,
    pub(crate) deadline_millis: u64,
    /// Time that an endpoint takes for an answer.
    pub(crate) answer_millis: u64,
    /// Requests that an engine runs at once.
    pub(crate) slots: u64,
    /// Whether each route has answered a request before the stop.
    pub(crate) is_warm: bool,
}

impl Default for StopTerms {
    fn default() -> Self {
        Self { grace_s: 8, deadline_millis: TIMEOUT_MILLIS, answer_millis: 3_000, slots: 64, is_warm: true }
    }
}

fn configuration(terms: &StopTerms) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        json!({"name": name, "host": "a.example", "pathPrefix": format!("/{name}/"), "kind": kind,
            "timeoutMs": TIMEOUT_MILLIS, "targetLatencyMs": 6_000, "priority": 1, "service": service,
            "maxAttempts": attempts, "public": false, "resumable": name == "resume", "gapTargetMs": 3_000})
    };
    json!({"version": 1,
        "routes": [route("read", "idempotent", "desk", 2), route("write", "non_idempotent", "desk", 1),
            route("stream", "stream", "llm", 1), route("resume", "stream", "llm", 2)],
        "services": [{"name": "desk", "healthPath": "/health", "maxConnections": 400},
            {"name": "llm", "healthPath": "/health", "maxConnections": 400,
             "engine": {"slots": terms.slots, "kvCapacityTokens": 40_000, "kvTokenBytes": 18_432, "models": [{"name": "m"}]}}],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 100_000, "headerTimeoutMs": 60_000, "idleTimeoutMs": 60_000},
        "tenants": [{"name": "one", "apiKeys": ["key-one"]}]})
}

/// Answers after the given time, a stream in equal parts.
fn slow_answer(request: &Received, millis: u64) -> Vec<Step> {
    if !["/resume/", "/stream/"].contains(&request.path()) {
        return [vec![Step::Pause(millis)], complete_answer(request, "done")].concat();
    }
    let mut steps = vec![stream_head(request)];
    for event in 1..=EVENTS {
        steps.push(Step::Pause(millis / EVENTS));
        steps.push(chunk(&format!("id: {event}\ndata: {event}\n\n")));
    }
    steps.push(stream_end());
    steps
}

/// What a caller has seen of its request.
#[derive(Debug)]
struct CallResult {
    id: String,
    path: &'static str,
    /// When its last byte was sent, after the signal.
    millis: u64,
    /// None if the connection ended before an answer.
    answer: Option<Answer>,
}

impl CallResult {
    /// Whether its connection may be closed before the process reads the request: an idle one, once the balancer
    /// sends no more callers.
    fn may_be_unread(&self, arrival: Arrival) -> bool {
        arrival == Arrival::Idle && self.millis >= BALANCER_DRAIN_MILLIS
    }
}

/// A process, its endpoints and its store.
pub(crate) struct Site {
    terms: StopTerms,
    _store: StoreStandin,
    endpoints: [EngineStandin; 2],
    vm: Vm,
}

impl Site {
    /// Starts everything and returns once the process serves all routes.
    pub(crate) async fn start(name: &str, terms: StopTerms) -> Self {
        let folder = std::env::temp_dir().join(format!("spanfold-stop-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let store = StoreStandin::start().await;
        store.put("op/config", &configuration(&terms));
        let mut endpoints = Vec::new();
        for (id, service) in [("i-1", "desk"), ("i-2", "llm")] {
            let script = move |request: &Received| slow_answer(request, terms.answer_millis);
            let endpoint = EngineStandin::start(id, script).await;
            let mut entry = endpoint.entry(service, "ready");
            entry["slots"] = terms.slots.into();
            store.put(&format!("servers/{id}"), &entry);
            endpoints.push(endpoint);
        }
        let limits = VmLimits { memory_mb: 88, descriptors: 3_900, grace_s: terms.grace_s };
        let vm = Vm::start(&folder, 1, store.address(), &[], limits);
        let site = Self { terms, _store: store, endpoints: endpoints.try_into().ok().unwrap(), vm };
        site.until_ready().await;
        if terms.is_warm {
            let mut calls = JoinSet::new();
            for path in PATHS {
                let (address, request) = (site.vm.callers, request(path, "warm", TIMEOUT_MILLIS));
                calls.spawn(async move { crate::caller::exchange(address, &request).await.unwrap() });
            }
            assert!(calls.join_all().await.iter().all(|answer| answer.status == 200 && answer.is_complete));
        }
        site
    }

    async fn until_ready(&self) {
        for _ in 0..1_500 {
            let answer = match tokio::net::TcpStream::connect(self.vm.readiness).await {
                Ok(_) => crate::caller::get(self.vm.readiness, "/readiness").await,
                Err(_) => None,
            };
            if answer.is_some_and(|answer| answer.status == 200) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("not within 30 s: readiness");
    }

    /// Stops the process while requests arrive at the given milliseconds after the signal, on each route, and checks
    /// that each of them is answered whole, or refused and not run; returns the number of whole answers.
    pub(crate) async fn stop(
        mut self,
        arrival: Arrival,
        moments: &[u64],
        further: &[(u64, Signal)],
    ) -> usize {
        let mut calls = JoinSet::new();
        let mut connections = Vec::new();
        for millis in moments {
            for path in PATHS {
                connections.push((*millis, path, CallerConnection::open(self.vm.callers).await));
            }
        }
        // An idle connection has carried a request before.
        for (millis, path, connection) in &mut connections {
            if arrival == Arrival::Idle {
                connection
                    .write(&format!(
                        "GET /none/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {millis}\r\n\r\n"
                    ))
                    .await;
                assert_eq!(connection.answer().await.unwrap().status, 404, "{path}");
            }
        }
        let deadline_millis = self.terms.deadline_millis;
        let signalled_at = Instant::now() + Duration::from_millis(300);
        for (millis, path, mut connection) in connections {
            let id = format!("{path}{millis}");
            calls.spawn(async move {
                let request = request(path, &id, deadline_millis);
                let split = match arrival {
                    Arrival::Body => request.len() - 1,
                    Arrival::Head => request.find("X-Request-Id").unwrap(),
                    Arrival::Idle => 0,
                };
                let sent_at = signalled_at + Duration::from_millis(millis);
                // A body begins no longer before than the request's deadline allows.
                let longest = if arrival == Arrival::Body { deadline_millis / 2 } else { millis };
                let begun_at = sent_at - Duration::from_millis(millis.min(longest) + 100);
                tokio::time::sleep_until(begun_at).await;
                connection.try_write(&request[..split]).await;
                tokio::time::sleep_until(sent_at).await;
                connection.try_write(&request[split..]).await;
                CallResult { id, path, millis, answer: connection.answer().await }
            });
        }
        tokio::time::sleep_until(signalled_at).await;
        self.vm.signal(Signal::SIGTERM);
        for (millis, signal) in further {
            tokio::time::sleep_until(signalled_at + Duration::from_millis(*millis)).await;
            self.vm.signal(*signal);
        }
        let results = calls.join_all().await;
        let grace_end = signalled_at + Duration::from_secs(self.terms.grace_s);
        let status = self.vm.until_ended(grace_end.saturating_duration_since(Instant::now())).await;
        assert!(status.is_some_and(|status| status.success()), "the process runs on: {status:?}");
        let faults: Vec<_> = results.iter().filter_map(|result| self.fault_of(result, arrival)).collect();
        assert!(faults.is_empty(), "{} of {}:\n{}", faults.len(), results.len(), faults.join("\n"));
        let served =
            results.iter().filter(|result| result.answer.as_ref().is_some_and(|answer| answer.status == 200));
        served.count()
    }

    /// Returns what is wrong with an answer.
    fn fault_of(&self, result: &CallResult, arrival: Arrival) -> Option<String> {
        let runs = self.endpoints.iter().flat_map(EngineStandin::received);
        let runs = runs.filter(|request| request.id() == result.id).count();
        let fault = match &result.answer {
            None if runs == 0 && result.may_be_unread(arrival) => return None,
            None => "no answer".to_owned(),
            Some(answer) if answer.status == 200 => {
                let events = answer.body.matches("data: ").count() as u64;
                let is_whole = if answer.body == "done" { true } else { events == EVENTS };
                if answer.is_complete && is_whole {
                    return None;
                }
                format!("cut after {events} events")
            }
            Some(answer) if answer.status == 503 && runs > 0 => "refused as not run, and run".to_owned(),
            Some(answer) if answer.status == 503 => {
                let retry_after = answer.header("retry-after").and_then(|text| text.parse::<f64>().ok());
                let closes = answer.header("connection").is_some_and(|value| value == "close");
                if retry_after.is_some_and(|seconds| seconds > 0.0) && closes && answer.is_complete {
                    return None;
                }
                format!("a refusal without Retry-After or Connection: {}", answer.head)
            }
            Some(answer) => format!("status {}", answer.status),
        };
        Some(format!("{} at {}: {fault}, {runs} runs", result.path, result.id))
    }
}

/// Returns a request with a body.
fn request(path: &str, id: &str, deadline_millis: u64) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-one\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_millis}\r\nX-Model: m\r\nX-Token-Usage: 10,10\r\nX-Prefix-Hash: a1:5,b{}:5\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n{}",
        id.len(),
        "x".repeat(BODY_BYTES)
    )
}
