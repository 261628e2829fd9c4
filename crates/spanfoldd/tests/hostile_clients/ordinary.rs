//! Ordinary callers: they send small requests inside the limits, read their answers, and retry as the pages say.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time between two requests of all ordinary callers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Deadline of a request, in milliseconds.
const DEADLINE_MILLIS: u64 = 4_000;
/// Time that a connection gets to be opened.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Attempts of one request.
const MAX_ATTEMPTS: u32 = 2;
/// Connections on which callers send one request after the other.
const KEPT_CONNECTIONS: usize = 4;

/// Result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallResult {
    Served,
    /// Its last answer promises that it has not run.
    Refused,
    Failed,
}

/// What became of the ordinary requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallCounts {
    pub(crate) served: usize,
    pub(crate) refused: usize,
    pub(crate) failed: usize,
    latencies: Vec<Duration>,
    /// Ids of attempts with a refusal that promises "not run".
    pub(crate) refused_ids: Vec<String>,
}

impl CallCounts {
    pub(crate) const fn total(&self) -> usize {
        self.served + self.refused + self.failed
    }

    /// Returns the latency that a fraction of the served requests kept below.
    pub(crate) fn quantile(&self, fraction: f64) -> Duration {
        let mut latencies = self.latencies.clone();
        latencies.sort_unstable();
        let index = (latencies.len() as f64 * fraction) as usize;
        latencies.get(index.min(latencies.len().saturating_sub(1))).copied().unwrap_or_default()
    }
}

/// Ordinary callers of one or more VMs, until they are stopped.
#[derive(Debug)]
pub(crate) struct OrdinaryCallers {
    counts: Arc<Mutex<CallCounts>>,
    is_over: Arc<AtomicBool>,
    open: Arc<AtomicU64>,
}

impl OrdinaryCallers {
    pub(crate) fn start(name: &str, vms: &[SocketAddr]) -> Self {
        let callers = Self { counts: Arc::default(), is_over: Arc::default(), open: Arc::default() };
        let (counts, is_over, open) =
            (Arc::clone(&callers.counts), Arc::clone(&callers.is_over), Arc::clone(&callers.open));
        let (name, vms) = (name.to_owned(), vms.to_vec());
        let kept: Arc<[tokio::sync::Mutex<Option<TcpStream>>; KEPT_CONNECTIONS]> = Arc::default();
        tokio::spawn(async move {
            for number in 0_usize.. {
                tokio::time::sleep(REQUEST_INTERVAL).await;
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let (counts, open, kept) = (Arc::clone(&counts), Arc::clone(&open), Arc::clone(&kept));
                let call = Call { id: format!("{name}-{number}"), number, vms: vms.clone() };
                open.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(async move {
                    let begun = Instant::now();
                    let mut refused_ids = Vec::new();
                    // One caller in two keeps its connection.
                    let result = if number % 2 == 0 {
                        let mut connection = kept[number / 2 % KEPT_CONNECTIONS].lock().await;
                        call.run(&mut connection, &mut refused_ids).await
                    } else {
                        call.run(&mut None, &mut refused_ids).await
                    };
                    let mut counts = counts.lock().unwrap();
                    match result {
                        CallResult::Served => {
                            counts.served += 1;
                            counts.latencies.push(begun.elapsed());
                        }
                        CallResult::Refused => counts.refused += 1,
                        CallResult::Failed => counts.failed += 1,
                    }
                    counts.refused_ids.append(&mut refused_ids);
                    drop(counts);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        callers
    }

    /// Returns what became of the requests since the last call.
    pub(crate) fn take_counts(&self) -> CallCounts {
        std::mem::take(&mut *self.counts.lock().unwrap())
    }

    /// Sends no more, and returns once all requests have ended.
    pub(crate) async fn stop(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        while self.open.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

struct Call {
    id: String,
    number: usize,
    vms: Vec<SocketAddr>,
}

/// One whole answer.
struct CallAnswer {
    status: u16,
    retry_after: Option<Duration>,
    keeps_connection: bool,
}

/// Result of one attempt.
enum Exchange {
    Answered(CallAnswer),
    /// No connection was opened.
    Unsent,
    /// The connection ended before the answer was whole.
    Lost,
}

impl Call {
    /// Calls until it is answered, refused for the last time, or out of time.
    async fn run(&self, kept: &mut Option<TcpStream>, refused_ids: &mut Vec<String>) -> CallResult {
        let deadline = Instant::now() + Duration::from_millis(DEADLINE_MILLIS);
        let mut result = CallResult::Failed;
        for attempt in 0..MAX_ATTEMPTS {
            let id = format!("{}-{attempt}", self.id);
            let left = deadline.saturating_duration_since(Instant::now());
            let vm = self.vms[(self.number + attempt as usize) % self.vms.len()];
            let exchanged = tokio::time::timeout(left, self.exchange(vm, &id, kept)).await;
            match exchanged.unwrap_or(Exchange::Lost) {
                Exchange::Answered(answer) if answer.status == 200 => return CallResult::Served,
                Exchange::Answered(answer) if [408, 421, 429, 503].contains(&answer.status) => {
                    refused_ids.push(id);
                    result = CallResult::Refused;
                    let left = deadline.saturating_duration_since(Instant::now());
                    tokio::time::sleep(answer.retry_after.unwrap_or_default().min(left / 3)).await;
                }
                // A request that may run once only is not repeated after its connection broke.
                Exchange::Answered(_) | Exchange::Lost if self.number % 4 == 1 => return CallResult::Failed,
                Exchange::Answered(_) | Exchange::Lost | Exchange::Unsent => result = CallResult::Failed,
            }
        }
        result
    }

    fn request(&self, id: &str) -> Vec<u8> {
        let common = format!(
            "Host: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {DEADLINE_MILLIS}\r\n\
             Authorization: Bearer key-one\r\n"
        );
        let (line, more, body_bytes) = match self.number % 4 {
            0 => ("GET /read/1", String::new(), 0),
            1 => ("POST /write/1", String::new(), 600),
            number => (
                "POST /chat/1",
                format!(
                    "X-Model: m0\r\nX-Token-Usage: 1460,20\r\nX-Prefix-Hash: 5c1e07a2:1200,{:x}:260\r\n",
                    self.number
                ),
                if number == 2 { 1_700 } else { 18_000 },
            ),
        };
        let head = format!("{line} HTTP/1.1\r\n{common}{more}Content-Length: {body_bytes}\r\n\r\n");
        [head.into_bytes(), vec![b'b'; body_bytes]].concat()
    }

    async fn exchange(&self, vm: SocketAddr, id: &str, kept: &mut Option<TcpStream>) -> Exchange {
        let mut stream = match kept.take() {
            Some(stream) => stream,
            None => match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(vm)).await {
                Ok(Ok(stream)) => stream,
                _ => return Exchange::Unsent,
            },
        };
        if stream.write_all(&self.request(id)).await.is_err() {
            return Exchange::Lost;
        }
        let Some(answer) = read_answer(&mut stream).await else { return Exchange::Lost };
        if answer.keeps_connection {
            *kept = Some(stream);
        }
        Exchange::Answered(answer)
    }
}

async fn read_answer(stream: &mut TcpStream) -> Option<CallAnswer> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4_096];
    loop {
        let length = stream.read(&mut chunk).await.ok().filter(|length| *length > 0)?;
        bytes.extend_from_slice(&chunk[..length]);
        let text = String::from_utf8_lossy(&bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let header = |name: &str| {
            head.lines().find_map(|line| {
                let (key, value) = line.split_once(':')?;
                key.eq_ignore_ascii_case(name).then(|| value.trim())
            })
        };
        let is_whole = match header("content-length") {
            Some(length) => body.len() >= length.parse().ok()?,
            None => body.ends_with("0\r\n\r\n"),
        };
        if is_whole {
            let retry_after = header("retry-after").and_then(|text| text.parse().ok());
            return Some(CallAnswer {
                status: head.split(' ').nth(1)?.parse().ok()?,
                retry_after: retry_after.map(Duration::from_secs_f64),
                keeps_connection: header("connection") != Some("close"),
            });
        }
    }
}
