//! A sound stand-in of the platform's store: items with revisions, watches, transactions and leases.

use crate::http::{read_request, write_answer};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Items that one page holds at most.
const PAGE_ITEMS: usize = 500;
/// Time of the store's own work on a call.
const ANSWER_DELAY: Duration = Duration::from_millis(4);

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Value>,
    /// End and lifetime of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
}

/// A running store.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address for the store");
        let address = listener.local_addr().expect("its address");
        let store = Self { address, shared: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item as the operator or an engine does.
    pub fn put(&self, key: &str, value: &Value) {
        let mut state = self.shared.0.lock().expect("the store's state");
        write(&mut state, key, STANDARD.encode(value.to_string()), 0);
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        remove(&mut self.shared.0.lock().expect("the store's state"), key);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            thread::sleep(ANSWER_DELAY);
            let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
            let query: BTreeMap<&str, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(key, value)| (key, value.replace("%2F", "/")))
                .collect();
            let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
            let (status, answer) = match path {
                "/kv-watch" => self.watch(&query),
                _ => self.execute(request.method(), path, &query, &body),
            };
            let content_type = [("Content-Type", "application/json")];
            if write_answer(&mut writer, status, &content_type, answer.to_string().as_bytes()).is_err() {
                return;
            }
        }
    }

    fn watch(&self, query: &BTreeMap<&str, String>) -> (u16, Value) {
        let number = |key: &str| query.get(key).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (after, deadline) = (number("after"), Instant::now() + Duration::from_millis(number("waitMs")));
        let prefix = query.get("pathPrefix").cloned().unwrap_or_default();
        let mut state = self.shared.0.lock().expect("the store's state");
        loop {
            expire(&mut state);
            let events: Vec<_> = state
                .history
                .iter()
                .filter(|event| event["revision"].as_u64() > Some(after))
                .filter(|event| event["tlsKey"].as_str().is_some_and(|key| key.starts_with(&prefix)))
                .cloned()
                .collect();
            if !events.is_empty() || Instant::now() >= deadline {
                return (200, json!({"events": events, "currentRev": state.revision}));
            }
            let left = deadline.saturating_duration_since(Instant::now()).min(Duration::from_millis(50));
            state = self.shared.1.wait_timeout(state, left).expect("the store's state").0;
        }
    }

    fn execute(
        &self,
        method: &str,
        path: &str,
        query: &BTreeMap<&str, String>,
        body: &Value,
    ) -> (u16, Value) {
        let mut state = self.shared.0.lock().expect("the store's state");
        expire(&mut state);
        let answer = execute(&mut state, method, path, query, body);
        drop(state);
        self.shared.1.notify_all();
        answer
    }
}

fn execute(
    state: &mut State,
    method: &str,
    path: &str,
    query: &BTreeMap<&str, String>,
    body: &Value,
) -> (u16, Value) {
    let lease_of = |prefix: &str| path.strip_prefix(prefix).and_then(|text| text.parse::<u64>().ok());
    if let Some(lease) = lease_of("/kv-keep/") {
        let Some((end, lifetime)) = state.leases.get_mut(&lease) else { return (404, json!({})) };
        *end = Instant::now() + *lifetime;
        return (200, json!({"ttlMs": lifetime.as_millis() as u64}));
    }
    if let Some(lease) = lease_of("/kv-lease-end/") {
        if let Some((end, _)) = state.leases.get_mut(&lease) {
            *end = Instant::now();
        }
        expire(state);
        return (200, json!({}));
    }
    match (method, path) {
        ("GET", "/kv-key") => {
            let key = query.get("tlsKey").cloned().unwrap_or_default();
            let Some(item) = state.items.get(&key) else {
                return (404, json!({"currentRev": state.revision}));
            };
            let mut answer = item_json(&key, item);
            answer["currentRev"] = state.revision.into();
            (200, answer)
        }
        ("GET", "/kv-range") => {
            let prefix = query.get("pathPrefix").cloned().unwrap_or_default();
            let after = query.get("after").cloned().unwrap_or_default();
            let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
            let mut items: Vec<_> = found.map(|(key, item)| item_json(key, item)).collect();
            let has_more = items.len() > PAGE_ITEMS;
            items.truncate(PAGE_ITEMS);
            (200, json!({"items": items, "hasMore": has_more, "currentRev": state.revision}))
        }
        ("POST", "/kv-txn") => transact(state, body),
        ("POST", "/kv-lease") => {
            state.revision += 1;
            let lifetime = body["ttlMs"].as_u64().unwrap_or(1_000).clamp(1_000, 600_000);
            let (lease, lifetime) = (77_000 + state.revision, Duration::from_millis(lifetime));
            state.leases.insert(lease, (Instant::now() + lifetime, lifetime));
            (200, json!({"lease": lease, "ttlMs": lifetime.as_millis() as u64}))
        }
        _ => (404, json!({})),
    }
}

fn transact(state: &mut State, body: &Value) -> (u16, Value) {
    let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let text = |row: &Value| row["tlsKey"].as_str().unwrap_or("").to_owned();
    let conditions = rows("expectedRev");
    let revision_of = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
    if conditions.iter().any(|row| revision_of(&text(row)) != row["revision"].as_u64().unwrap_or(0)) {
        let current = conditions.iter().filter_map(|row| {
            let key = text(row);
            state.items.get(&key).map(|item| item_json(&key, item))
        });
        return (412, json!({"items": current.collect::<Vec<_>>()}));
    }
    let leases: Vec<_> = rows("puts").iter().map(|row| row["lease"].as_u64().unwrap_or(0)).collect();
    if leases.iter().any(|lease| *lease != 0 && !state.leases.contains_key(lease)) {
        return (404, json!({}));
    }
    for (row, lease) in rows("puts").iter().zip(leases) {
        write(state, &text(row), row["value"].as_str().unwrap_or("").to_owned(), lease);
    }
    for key in rows("remove") {
        remove(state, key.as_str().unwrap_or(""));
    }
    (200, json!({"revision": state.revision}))
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({"tlsKey": key, "value": item.value, "revision": item.revision, "createRev": item.created,
        "lease": item.lease})
}

fn write(state: &mut State, key: &str, value: String, lease: u64) {
    state.revision += 1;
    let created = state.items.get(key).map_or(state.revision, |item| item.created);
    let item = Item { value, revision: state.revision, created, lease };
    state.history.push(item_json(key, &item));
    state.items.insert(key.to_owned(), item);
}

fn remove(state: &mut State, key: &str) {
    if state.items.remove(key).is_some() {
        state.revision += 1;
        state.history.push(json!({"tlsKey": key, "revision": state.revision, "deleted": true}));
    }
}

fn expire(state: &mut State) {
    let now = Instant::now();
    let expired: Vec<u64> =
        state.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(lease, _)| *lease).collect();
    for lease in expired {
        state.leases.remove(&lease);
        let keys: Vec<_> =
            state.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        for key in keys {
            remove(state, &key);
        }
    }
}
