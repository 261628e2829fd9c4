//! A stand-in for a plain service, such as bookings or a job queue: it counts the calls that ran.

use crate::FaultSwitch;
use crate::server::{StandinBody, read_body, reply, serve};
use hyper::Response;
use hyper::body::Incoming;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

#[derive(Debug, Default)]
struct ServiceState {
    runs: Mutex<BTreeMap<String, u32>>,
    received_bytes: AtomicU64,
    work_millis: AtomicU64,
    faults: Arc<FaultSwitch>,
}

/// A running service stand-in.
#[derive(Debug)]
pub struct ServiceStandin {
    state: Arc<ServiceState>,
    address: SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl ServiceStandin {
    /// Starts a service.
    ///
    /// # Errors
    /// If the address cannot be listened on.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(ServiceState::default());
        let shared = Arc::clone(&state);
        let faults = Arc::clone(&state.faults);
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

    /// Returns how often a call with this body ran.
    pub fn run_count(&self, body: &str) -> u32 {
        let runs = self.state.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(body).copied().unwrap_or(0)
    }

    /// Returns the bytes of all bodies that it received.
    pub fn received_bytes(&self) -> u64 {
        self.state.received_bytes.load(Ordering::SeqCst)
    }

    /// Sets the delay of each answer after its call has run.
    pub fn set_work_millis(&self, millis: u64) {
        self.state.work_millis.store(millis, Ordering::SeqCst);
    }
}

impl Drop for ServiceStandin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn handle(state: Arc<ServiceState>, request: hyper::Request<Incoming>) -> Response<StandinBody> {
    if request.uri().path() == "/healthz" {
        return reply(if state.faults.is_departing() { 503 } else { 200 }, "");
    }
    if state.faults.is_departing() {
        let mut refusal = reply(503, "leaving\n");
        refusal.headers_mut().insert("spanfold-ran", hyper::header::HeaderValue::from_static("no"));
        return refusal;
    }
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    let Some(body) = read_body(request).await else { return reply(400, "broken body\n") };
    state.received_bytes.fetch_add(body.len() as u64, Ordering::SeqCst);
    let text = String::from_utf8_lossy(&body[..body.len().min(256)]).into_owned();
    let count = {
        let mut runs = state.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let count = runs.entry(text).or_insert(0);
        *count += 1;
        *count
    };
    tokio::time::sleep(Duration::from_millis(state.work_millis.load(Ordering::SeqCst))).await;
    reply(200, format!("{{\"method\":\"{method}\",\"path\":\"{path}\",\"run\":{count}}}"))
}
