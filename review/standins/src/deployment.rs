//! Processes of the system, the callers' side, and the record of a run.

use crate::http::{Message, read_chunk, read_head};
use serde_json::{Value, json};
use std::fs::{self, File};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What was sent, answered and run, with times since the start.
#[derive(Clone, Debug)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record");
        Self { started_at: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.seconds());
        println!("{line}");
        let _ = writeln!(self.file.lock().expect("the record"), "{line}");
    }
}

/// A process of the system; it ends when this is dropped.
#[derive(Debug)]
pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    process: Child,
}

/// Returns a loopback address with a port that is free now, over TCP and UDP.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

impl Vm {
    /// Starts a process with the settings of a small deployment.
    pub fn start(folder: &Path, name: &str, data_centre: &str, store: SocketAddr) -> Self {
        let (callers, readiness, metrics, peers) =
            (free_address(), free_address(), free_address(), free_address());
        let text = format!(
            "[vm]\nname = {name}\ndata_centre = {data_centre}\nregions = {data_centre}:region\n\
             link_mbps = 1000.0\nmemory_mb = 110\n\n[listen]\ncallers = {callers}\n\
             readiness = {readiness}\nmetrics = {metrics}\npeers = {peers}\n\n[store]\naddress = {store}\n\n\
             [bounds]\ngrace_s = 8\nlease_ms = 3000\nversion_ms = 10000\nretry_ratio = 0.2\n\
             retry_window_s = 10\nretry_slack = 58\n"
        );
        let (settings, log) = (folder.join(format!("{name}.ini")), folder.join(format!("{name}.log")));
        fs::write(&settings, text).expect("the settings");
        let process = spawn(&settings, &log);
        Self { name: name.to_owned(), callers, readiness, process }
    }

    pub fn freeze(&self) {
        signal("STOP", self.process.id());
    }

    pub fn thaw(&self) {
        signal("CONT", self.process.id());
    }

    /// Waits until the process says that it is ready.
    pub fn until_ready(&self) -> bool {
        until(Duration::from_secs(20), || ready_status(self.readiness) == Some(200))
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    // The deploy file's command, from the root of the repository.
    let output = File::options().create(true).append(true).open(log).expect("the log");
    let errors = output.try_clone().expect("the log");
    Command::new("target/release/spanfoldd")
        .arg("gateway")
        .env("SPANFOLD_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors)
        .spawn()
        .expect("the system's process")
}

/// Sends a signal to a process that this one started.
pub fn signal(name: &str, process: u32) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(process.to_string()).status();
}

/// Polls a condition until it holds; returns whether it did in time.
pub fn until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

fn ready_status(address: SocketAddr) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n").ok()?;
    Some(read_head(&mut BufReader::new(stream)).ok()??.status())
}

/// How an answer reached its caller.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub head: Message,
    pub body: Vec<u8>,
    /// Whether the protocol says that the answer is whole.
    pub is_complete: bool,
}

impl Answer {
    pub fn events(&self) -> usize {
        self.body.windows(2).filter(|pair| pair == b"\n\n").count()
    }

    pub fn describe(&self) -> String {
        let framing = match (self.head.header("content-length"), self.head.header("transfer-encoding")) {
            (Some(length), _) => format!("Content-Length {length}"),
            (None, Some(coding)) => format!("Transfer-Encoding {coding}"),
            (None, None) => "no framing".to_owned(),
        };
        let seal = self.head.header("x-response-seal").unwrap_or("none");
        format!(
            "status {}, seal {seal}, {framing}, {} bytes, {}",
            self.head.status(),
            self.body.len(),
            if self.is_complete { "complete" } else { "visibly broken off" }
        )
    }
}

/// Sends a request on a new channel and reads its answer; none if there is no head.
pub fn call(address: SocketAddr, request: &str, limit: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).ok()??;
    let mut answer = Answer { head, ..Answer::default() };
    if answer.head.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        loop {
            match read_chunk(&mut reader) {
                Ok(Some(chunk)) => answer.body.extend(chunk),
                Ok(None) => answer.is_complete = true,
                Err(_) => break,
            }
            if answer.is_complete {
                break;
            }
        }
    } else if let Some(length) = answer.head.header("content-length").and_then(|text| text.parse().ok()) {
        let mut body = vec![0; length];
        answer.is_complete = reader.read_exact(&mut body).is_ok();
        if answer.is_complete {
            answer.body = body;
        }
    } else {
        answer.is_complete = reader.read_to_end(&mut answer.body).is_ok();
    }
    Some(answer)
}

/// Returns the head of a request with a key, a deadline and `extra` lines.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, extra: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         Authorization: Bearer key-one\r\nContent-Length: 0\r\n{extra}\r\n"
    )
}

/// Returns a configuration like that of a small deployment, with one route of each kind.
pub fn configuration() -> Value {
    let route = |name: &str, kind: &str, service: &str, timeout: u64, attempts: u32, resumable: bool| {
        json!({"name": name, "host": "desk.example", "pathPrefix": format!("/{name}/"), "kind": kind,
            "timeoutMs": timeout, "targetLatencyMs": 300, "priority": 1, "service": service,
            "maxAttempts": attempts, "public": false, "sticky": kind == "stream", "resumable": resumable,
            "gapTargetMs": 300})
    };
    json!({"version": 7,
        "routes": [
            route("job-vet", "stream", "manual-llm", 4_000, 1, false),
            route("reply-draft", "stream", "manual-llm", 12_000, 2, true),
            route("upload", "non_idempotent", "job-desk", 12_000, 3, false),
            route("slice-status", "idempotent", "job-desk", 12_000, 3, false)],
        "services": [
            {"name": "manual-llm", "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false,
             "engine": {"slots": 64, "kvCapacityTokens": 41564, "kvTokenBytes": 18432, "linkMbps": 130000.0,
                "managed": true, "maxConcurrent": 12, "models": [{"name": "m0"}]}},
            {"name": "job-desk", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000},
        "tenants": [{"name": "one", "apiKeys": ["key-one"], "priority": 1}]})
}

/// Returns an engine's entry in the store.
pub fn entry(service: &str, address: SocketAddr, state: &str, weights: u64, sequence: u64) -> Value {
    let models = if service == "manual-llm" {
        json!([{"name": "m0", "version": weights, "adapters": []}])
    } else {
        json!([])
    };
    json!({"service": service, "address": address.to_string(), "zone": "depot-a", "version": "v1",
        "slots": 64, "state": state, "coldLeftMs": 0, "stage": "colocated", "models": models,
        "sequence": sequence})
}
