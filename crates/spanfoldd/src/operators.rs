//! Answers on the operators' listener: `/healthz`, `/readyz`, `/metrics`, `/status`, `/burn`.

use crate::caller::{CallerBody, text_response};
use crate::shared::SharedState;
use hyper::Response;
use hyper::body::Incoming;
use spanfold_gateway::KindLabel;
use std::sync::{Arc, PoisonError};

/// Answers one request of an operator or of the balancer.
pub(crate) fn answer(shared: &Arc<SharedState>, request: &hyper::Request<Incoming>) -> Response<CallerBody> {
    match request.uri().path() {
        "/healthz" => text_response(200, "ok\n"),
        "/readyz" => {
            // Without a configuration nothing can be served, so the balancer must choose another VM.
            if shared.is_stopping() {
                text_response(503, "stopping\n")
            } else if shared.catalogue().0 == 0 {
                text_response(503, "no configuration yet\n")
            } else {
                text_response(200, "ready\n")
            }
        }
        "/metrics" => {
            refresh_gauges(shared);
            text_response(200, shared.metrics.encode())
        }
        "/status" => {
            let report = shared.report.read().unwrap_or_else(PoisonError::into_inner).clone();
            text_response(200, report.to_string())
        }
        "/burn" => {
            let rows = shared.burn.rows(&shared.catalogue().1, shared.now());
            text_response(200, serde_json::to_string(&rows).unwrap_or_default())
        }
        _ => text_response(404, "not found\n"),
    }
}

fn refresh_gauges(shared: &SharedState) {
    for (kind, count) in shared.key_value.counts().by_kind() {
        shared.metrics.platform_calls.get_or_create(&KindLabel::new(kind)).set(count as i64);
    }
    let (bytes, messages, _) = shared.peers.traffic();
    shared.metrics.peer_bytes.set(bytes as i64);
    shared.metrics.peer_messages.set(messages as i64);
    let open = shared.open_requests.load(std::sync::atomic::Ordering::Relaxed);
    shared.metrics.open_requests.set(open as i64);
    shared.metrics.generation.set(shared.catalogue().0 as i64);
}
