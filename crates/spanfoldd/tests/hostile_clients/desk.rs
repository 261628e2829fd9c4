//! Endpoints that answer with what they received, and record each run.

use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Requests that an endpoint runs at once.
pub(crate) const SLOTS: usize = 16;
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(10);
/// Bytes of an answer to a path that ends with `/long`.
pub(crate) const LONG_ANSWER_BYTES: usize = 1 << 20;
/// Events of a stream.
const EVENTS: usize = 3;

/// Ids of requests that ran, with the number of runs.
pub(crate) type RunCounts = Arc<Mutex<BTreeMap<String, u32>>>;

/// A running endpoint.
#[derive(Debug)]
pub(crate) struct Desk {
    id: String,
    pub(crate) address: SocketAddr,
    service: &'static str,
}

impl Desk {
    pub(crate) async fn start(id: String, service: &'static str, runs: &RunCounts) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (runs, places) = (Arc::clone(runs), Arc::new(Semaphore::new(SLOTS)));
        let instance = id.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = DeskConnection {
                    stream,
                    instance: instance.clone(),
                    runs: Arc::clone(&runs),
                    places: Arc::clone(&places),
                };
                tokio::spawn(connection.serve());
            }
        });
        Self { id, address, service }
    }

    /// Returns its key in the store.
    pub(crate) fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Returns its entry in the store.
    pub(crate) fn entry(&self) -> Value {
        let models = if self.service == "llm" { json!([{"name": "m0", "version": 1}]) } else { json!([]) };
        json!({"service": self.service, "address": self.address.to_string(), "zone": "dc-a", "version": "v1",
            "slots": SLOTS, "state": "ready", "coldLeftMs": 0, "sequence": 1, "models": models})
    }
}

struct DeskConnection {
    stream: TcpStream,
    instance: String,
    runs: RunCounts,
    places: Arc<Semaphore>,
}

impl DeskConnection {
    async fn serve(mut self) {
        // A failure leaves the connection slower.
        let _ = self.stream.set_nodelay(true);
        let mut bytes = Vec::new();
        while let Some((head, body_bytes)) = read_request(&mut self.stream, &mut bytes).await {
            let header = |name: &str| {
                head.lines().find_map(|line| {
                    let (key, value) = line.split_once(':')?;
                    key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
                })
            };
            let path = head.split(' ').nth(1).unwrap_or("").to_owned();
            let is_other = header("x-expect-instance").is_some_and(|id| id != self.instance);
            let is_sent = match header("x-request-id") {
                _ if is_other => self.write("421 Misdirected Request", "X-Not-Executed: 1\r\n", "").await,
                _ if path == "/health" => {
                    let line = format!("X-Instance-Id: {}\r\n", self.instance);
                    self.write("200 OK", &line, "").await
                }
                _ if path == "/report" => {
                    let report = json!({"stage": "colocated", "models": [{"name": "m0", "version": 1, "adapters": []}],
                        "busy": false, "sequence": 0, "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 400_000,
                        "handles": 0, "clock_ms": 1_000});
                    self.write("200 OK", "", &report.to_string()).await
                }
                Some(id) => self.run(&path, &id, body_bytes).await,
                None => self.write("404 Not Found", "", "").await,
            };
            if !is_sent {
                return;
            }
        }
    }

    async fn run(&mut self, path: &str, id: &str, body_bytes: usize) -> bool {
        let places = Arc::clone(&self.places);
        let _place = places.acquire().await;
        *self.runs.lock().unwrap().entry(id.to_owned()).or_default() += 1;
        tokio::time::sleep(WORK).await;
        let head = format!("X-Request-Id: {id}\r\nX-Response-Seal: seal\r\n");
        if path.starts_with("/chat/") {
            return self.stream(&head).await;
        }
        let text = if path.ends_with("/long") {
            "x".repeat(LONG_ANSWER_BYTES)
        } else {
            format!("{id} {body_bytes}")
        };
        self.write("200 OK", &head, &text).await
    }

    async fn stream(&mut self, head: &str) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{head}X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        let mut is_sent = self.stream.write_all(head.as_bytes()).await.is_ok();
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: piece\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_sent = is_sent && self.stream.write_all(chunk.as_bytes()).await.is_ok();
            tokio::time::sleep(WORK).await;
        }
        is_sent && self.stream.write_all(b"0\r\n\r\n").await.is_ok()
    }

    async fn write(&mut self, status: &str, head: &str, body: &str) -> bool {
        let text = format!("HTTP/1.1 {status}\r\n{head}Content-Length: {}\r\n\r\n{body}", body.len());
        self.stream.write_all(text.as_bytes()).await.is_ok()
    }
}

/// Reads one request; returns its head and the length of its body.
async fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<(String, usize)> {
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break end;
        }
        read_more(stream, bytes).await?;
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    bytes.drain(..end + 4);
    let length = head
        .lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.trim().parse::<usize>().ok())
        .unwrap_or(0);
    let mut left = length;
    loop {
        let taken = left.min(bytes.len());
        bytes.drain(..taken);
        left -= taken;
        if left == 0 {
            return Some((head, length));
        }
        read_more(stream, bytes).await?;
    }
}

async fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut chunk = vec![0; 16 << 10];
    let length = stream.read(&mut chunk).await.ok().filter(|length| *length > 0)?;
    bytes.extend_from_slice(&chunk[..length]);
    Some(())
}
