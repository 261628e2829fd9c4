//! A stand-in for the platform: the key-value service and the VM list.

use crate::FaultSwitch;
use crate::engine::ReceiverStream;
use crate::server::{StandinBody, read_body, reply, reply_json, serve};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use hyper::{Request, Response};
use serde_json::{Value, json};
use spanfold_keyvalue::PlatformVm;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

#[derive(Debug, Default, Clone)]
struct KeyValueTable {
    values: BTreeMap<String, (String, u64)>,
    revision: u64,
}

#[derive(Debug)]
struct PlatformState {
    table: Mutex<KeyValueTable>,
    revision: watch::Sender<u64>,
    vms: Mutex<Vec<PlatformVm>>,
    writes: AtomicU64,
    reads: AtomicU64,
}

/// A running platform stand-in.
#[derive(Debug)]
pub struct PlatformStandin {
    state: Arc<PlatformState>,
    key_value: SocketAddr,
    vm_list: SocketAddr,
    key_value_faults: Arc<FaultSwitch>,
    list_faults: Arc<FaultSwitch>,
    tasks: [tokio::task::JoinHandle<()>; 2],
}

impl PlatformStandin {
    /// Starts the key-value service and the VM list.
    ///
    /// # Errors
    /// If an address cannot be listened on.
    pub async fn start(key_value: SocketAddr, vm_list: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(PlatformState {
            table: Mutex::default(),
            revision: watch::channel(0).0,
            vms: Mutex::default(),
            writes: AtomicU64::new(0),
            reads: AtomicU64::new(0),
        });
        let key_value_faults = Arc::new(FaultSwitch::default());
        let list_faults = Arc::new(FaultSwitch::default());
        let shared = Arc::clone(&state);
        let handler = move |request| handle(Arc::clone(&shared), request);
        let (key_value, key_value_task) = serve(key_value, Arc::clone(&key_value_faults), handler).await?;
        let shared = Arc::clone(&state);
        let handler = move |_| {
            let vms = lock(&shared.vms).clone();
            async move { reply_json(&json!({ "vms": vms })) }
        };
        let (vm_list, list_task) = serve(vm_list, Arc::clone(&list_faults), handler).await?;
        Ok(Self {
            state,
            key_value,
            vm_list,
            key_value_faults,
            list_faults,
            tasks: [key_value_task, list_task],
        })
    }

    /// Returns the address of the key-value service.
    pub const fn key_value(&self) -> SocketAddr {
        self.key_value
    }

    /// Returns the address of the VM list.
    pub const fn vm_list(&self) -> SocketAddr {
        self.vm_list
    }

    /// Returns the switch for faults of the key-value service.
    pub fn faults(&self) -> &FaultSwitch {
        &self.key_value_faults
    }

    /// Returns the switch for faults of the VM list.
    pub fn list_faults(&self) -> &FaultSwitch {
        &self.list_faults
    }

    /// Replaces the VM list.
    pub fn set_vms(&self, vms: Vec<PlatformVm>) {
        *lock(&self.state.vms) = vms;
    }

    /// Applies `change` to the VM list.
    pub fn change_vms(&self, change: impl FnOnce(&mut Vec<PlatformVm>)) {
        change(&mut lock(&self.state.vms));
    }

    /// Returns the numbers of writes and reads that it received.
    pub fn call_counts(&self) -> (u64, u64) {
        (self.state.writes.load(Ordering::SeqCst), self.state.reads.load(Ordering::SeqCst))
    }

    /// Returns the content of the key-value service, for [`Self::roll_back`].
    pub fn snapshot(&self) -> BTreeMap<String, (String, u64)> {
        lock(&self.state.table).values.clone()
    }

    /// Restores an earlier content; revisions continue to grow.
    pub fn roll_back(&self, snapshot: BTreeMap<String, (String, u64)>) {
        let mut table = lock(&self.state.table);
        table.revision += 1;
        table.values = snapshot;
        let revision = table.revision;
        for value in table.values.values_mut() {
            value.1 = revision;
        }
        self.state.revision.send_replace(revision);
    }
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(state: Arc<PlatformState>, request: Request<Incoming>) -> Response<StandinBody> {
    let path = request.uri().path().to_owned();
    let Some(body) = read_body(request).await else { return reply(400, "broken body\n") };
    let Ok(body) = serde_json::from_slice::<Value>(&body) else { return reply(400, "not JSON\n") };
    match path.as_str() {
        "/v3/kv/range" => {
            state.reads.fetch_add(1, Ordering::SeqCst);
            reply_json(&range(&lock(&state.table), &body))
        }
        "/v3/kv/put" => {
            state.writes.fetch_add(1, Ordering::SeqCst);
            put(&state, &mut lock(&state.table), &body);
            reply_json(&json!({}))
        }
        "/v3/kv/txn" => {
            state.writes.fetch_add(1, Ordering::SeqCst);
            reply_json(&transact(&state, &body))
        }
        "/v3/watch" => watch_key(&state, &body),
        _ => reply(404, "not found\n"),
    }
}

fn decode(value: &Value) -> String {
    let bytes = value.as_str().and_then(|text| STANDARD.decode(text).ok()).unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

fn number(value: &Value) -> u64 {
    value.as_str().and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn range(table: &KeyValueTable, body: &Value) -> Value {
    let start = decode(&body["key"]);
    let end = if body["range_end"].is_null() { format!("{start}\0") } else { decode(&body["range_end"]) };
    let limit = match number(&body["limit"]) {
        0 => usize::MAX,
        limit => limit as usize,
    };
    let rows: Vec<Value> = table
        .values
        .range(start..end)
        .take(limit)
        .map(|(key, (value, revision))| {
            json!({ "key": STANDARD.encode(key), "value": STANDARD.encode(value),
                    "mod_revision": revision.to_string() })
        })
        .collect();
    json!({ "kvs": rows })
}

fn put(state: &PlatformState, table: &mut KeyValueTable, body: &Value) {
    table.revision += 1;
    let revision = table.revision;
    table.values.insert(decode(&body["key"]), (decode(&body["value"]), revision));
    state.revision.send_replace(revision);
}

fn transact(state: &PlatformState, body: &Value) -> Value {
    let mut table = lock(&state.table);
    let comparisons_hold = body["compare"].as_array().map_or(&[][..], Vec::as_slice).iter().all(|compare| {
        let current_revision =
            table.values.get(&decode(&compare["key"])).map_or(0, |(_, revision)| *revision);
        current_revision == number(&compare["mod_revision"])
    });
    if comparisons_hold {
        for operation in body["success"].as_array().map_or(&[][..], Vec::as_slice) {
            put(state, &mut table, &operation["request_put"]);
        }
        return json!({ "succeeded": true, "responses": [{}] });
    }
    json!({ "succeeded": false,
            "responses": [{ "response_range": range(&table, &body["failure"][0]["request_range"]) }] })
}

fn watch_key(state: &Arc<PlatformState>, body: &Value) -> Response<StandinBody> {
    let create = &body["create_request"];
    let (key, from_revision) = (decode(&create["key"]), number(&create["start_revision"]));
    let (sender, receiver) = tokio::sync::mpsc::channel(8);
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let mut revision = state.revision.subscribe();
        let _ = sender.send(Bytes::from("{\"result\":{\"created\":true}}\n")).await;
        loop {
            let changed = lock(&state.table)
                .values
                .get(&key)
                .is_some_and(|(_, modified_revision)| *modified_revision >= from_revision);
            if changed {
                let _ = sender.send(Bytes::from("{\"result\":{\"events\":[{\"type\":\"PUT\"}]}}\n")).await;
                return;
            }
            tokio::select! {
                () = sender.closed() => return,
                changed = revision.changed() => if changed.is_err() { return },
            }
        }
    });
    Response::new(StreamBody::new(ReceiverStream(receiver)).boxed())
}
