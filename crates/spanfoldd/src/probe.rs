//! Tasks that call endpoints: probes, cache events, store listings, exports, releases and orders.

use crate::endpoint_client::CallError;
use crate::shared::SharedState;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;
use spanfold_declare::EndpointKind;
use spanfold_entity::Moment;
use spanfold_kernel::{Event, LoadedWeights};
use std::sync::PoisonError;
use std::time::{Duration, Instant};

/// Time after which a probe, or another short call, fails.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which an export is abandoned.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the address of an endpoint in the configuration in force.
pub(crate) fn address_of(shared: &SharedState, endpoint: &str) -> Option<String> {
    let (_, catalogue) = shared.catalogue();
    catalogue.declarations.endpoints.get(endpoint).map(|endpoint| endpoint.address.clone())
}

async fn get(shared: &SharedState, url: String) -> Result<(u16, Bytes), CallError> {
    let request =
        Request::get(url).body(Full::default()).map_err(|error| CallError::NotSent(error.to_string()))?;
    shared.endpoints.read(request, PROBE_TIMEOUT).await
}

/// Probes an endpoint and, if an engine has new cache events, reads them.
pub(crate) async fn probe(shared: &SharedState, endpoint: String) {
    let (_, catalogue) = shared.catalogue();
    let Some(declared) = catalogue.declarations.endpoints.get(&endpoint) else { return };
    let (address, kind) = (declared.address.clone(), declared.kind);
    if kind != EndpointKind::Engine {
        let ready =
            get(shared, format!("http://{address}/healthz")).await.ok().map(|(status, _)| status == 200);
        shared.try_send_event(Event::Probed { endpoint, ready, running: 0, waiting: 0, weights: None });
        return;
    }
    let answer = get(shared, format!("http://{address}/metrics")).await.ok();
    let text = answer.map(|(_, body)| String::from_utf8_lossy(&body).into_owned());
    let read = |name: &str| text.as_deref().and_then(|text| read_gauge(text, name));
    let ready = text.as_ref().map(|_| read("engine_ready") != Some(0));
    let (running, waiting) = (read("engine_running").unwrap_or(0), read("engine_waiting").unwrap_or(0));
    let sequence = read("engine_cache_sequence").unwrap_or(0);
    let version = text.as_deref().and_then(|text| read_metric(text, "engine_version"));
    let loading = read("engine_loading") == Some(1);
    let event = Event::Probed {
        endpoint: endpoint.clone(),
        ready,
        running: running as u32,
        waiting: waiting as u32,
        weights: version.map(|version| LoadedWeights { version, loading }),
    };
    shared.try_send_event(event);
    let after = cursor(shared, &endpoint);
    if ready.is_some() && sequence != after {
        read_cache_events(shared, &endpoint, &address, after).await;
    }
}

async fn read_cache_events(shared: &SharedState, endpoint: &str, address: &str, after: u64) {
    let Ok((200, body)) = get(shared, format!("http://{address}/kv/events?after={after}")).await else {
        return;
    };
    let Ok(answer) = serde_json::from_slice::<Value>(&body) else { return };
    let (mut stored, mut evicted, mut last) = (Vec::new(), Vec::new(), after);
    for event in answer["events"].as_array().map_or(&[][..], Vec::as_slice) {
        last = event["sequence"].as_u64().unwrap_or(last);
        let Some(key) = event["key"].as_str().and_then(read_key) else { continue };
        // A later event on the same key overrides an earlier one.
        let is_stored = event["kind"] == "stored";
        let (matching, opposite) =
            if is_stored { (&mut stored, &mut evicted) } else { (&mut evicted, &mut stored) };
        opposite.retain(|listed| *listed != key);
        matching.push(key);
    }
    set_cursor(shared, endpoint, last);
    let gap = answer["gap"].as_bool().unwrap_or(true);
    shared.try_send_event(Event::CacheRead { endpoint: endpoint.to_owned(), gap, stored, evicted });
}

pub(crate) async fn list_store(shared: &SharedState, store: String, pool: String, whole: bool) {
    let Some(address) = address_of(shared, &store) else { return };
    let source = format!("{store}/{pool}");
    let after = if whole { None } else { Some(cursor(shared, &source)) };
    let query = after.map(|after| format!("?after={after}")).unwrap_or_default();
    let Ok((200, body)) = get(shared, format!("http://{address}/kv/{pool}{query}")).await else { return };
    let Ok(answer) = serde_json::from_slice::<Value>(&body) else { return };
    set_cursor(shared, &source, answer["generation"].as_u64().unwrap_or(0));
    let keys = |name: &str| -> Vec<u64> {
        let rows = answer[name].as_array().map_or(&[][..], Vec::as_slice);
        rows.iter().filter_map(|key| read_key(key.as_str()?)).collect()
    };
    shared.try_send_event(Event::StoreRead {
        store,
        pool,
        whole: answer["whole"].as_bool().unwrap_or(false),
        stored: keys("stored"),
        freed: keys("freed"),
        room: answer["room"].as_u64().unwrap_or(0) as u32,
    });
}

/// Requests an engine to write blocks to a store; only blocks that it reports as exported count as stored.
pub(crate) async fn export(
    shared: &SharedState,
    endpoint: String,
    store: String,
    pool: String,
    keys: &[u64],
) {
    let started = Instant::now();
    let exported = request_export(shared, &endpoint, &store, &pool, keys).await.unwrap_or_default();
    shared.metrics.exported_blocks.inc_by(exported.len() as u64);
    let micros = started.elapsed().as_micros() as u64;
    shared.send_event(Event::Exported { store, endpoint, pool, keys: exported, micros }).await;
}

async fn request_export(
    shared: &SharedState,
    endpoint: &str,
    store: &str,
    pool: &str,
    keys: &[u64],
) -> Option<Vec<u64>> {
    let engine = address_of(shared, endpoint)?;
    let target = address_of(shared, store)?;
    let hex_keys: Vec<String> = keys.iter().map(|key| format!("{key:016x}")).collect();
    let body = serde_json::json!({ "url": format!("http://{target}/kv/{pool}"), "keys": hex_keys });
    let request = Request::post(format!("http://{engine}/kv/export"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .ok()?;
    let (status, body) = shared.endpoints.read(request, EXPORT_TIMEOUT).await.ok()?;
    if status != 200 {
        return None;
    }
    let answer: Value = serde_json::from_slice(&body).ok()?;
    let exported: Vec<u64> =
        answer["exported"].as_array()?.iter().filter_map(|key| read_key(key.as_str()?)).collect();
    // In the order of the prompt, so that a run of blocks has no gaps at its start.
    Some(keys.iter().copied().filter(|key| exported.contains(key)).collect())
}

pub(crate) async fn free(shared: &SharedState, store: &str, pool: &str, keys: &[u64]) {
    let Some(address) = address_of(shared, store) else { return };
    for key in keys {
        let url = format!("http://{address}/kv/{pool}/{key:016x}");
        let Ok(request) = Request::delete(url).body(Full::default()) else { continue };
        if let Err(error) = shared.endpoints.read(request, PROBE_TIMEOUT).await {
            log::debug!(store, error:% = error; "store.unfreed");
        }
    }
}

/// Orders an engine to load a weight version, unless the order has expired.
pub(crate) async fn order(
    shared: &SharedState,
    endpoint: &str,
    target: &str,
    fencing: u64,
    valid_until: Moment,
) {
    let Some(address) = address_of(shared, endpoint) else { return };
    let body = serde_json::json!({ "kind": "load-version", "target": target, "fencing": fencing });
    let request = Request::post(format!("http://{address}/orders"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())));
    let Ok(request) = request else { return };
    if shared.now() >= valid_until {
        log::warn!(endpoint, fencing; "order.too_old");
        return;
    }
    match shared.endpoints.read(request, shared.time_until(valid_until)).await {
        Ok((200, _)) => log::info!(endpoint, target, fencing; "order.taken"),
        Ok((status, _)) => log::warn!(endpoint, status, fencing; "order.refused"),
        Err(error) => log::warn!(endpoint, error:% = error; "order.unanswered"),
    }
}

fn read_key(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}

fn read_gauge(text: &str, name: &str) -> Option<u64> {
    read_metric(text, name)?.parse::<f64>().ok().map(|value| value as u64)
}

/// Returns the value, as text, of the metric `name`.
fn read_metric(text: &str, name: &str) -> Option<String> {
    let line = text.lines().find(|line| line.split_whitespace().next() == Some(name))?;
    line.split_whitespace().nth(1).map(str::to_owned)
}

fn cursor(shared: &SharedState, source: &str) -> u64 {
    shared.cursors.lock().unwrap_or_else(PoisonError::into_inner).get(source).copied().unwrap_or(0)
}

fn set_cursor(shared: &SharedState, source: &str, value: u64) {
    shared.cursors.lock().unwrap_or_else(PoisonError::into_inner).insert(source.to_owned(), value);
}
