//! The listeners for the balancer's readiness question, for metrics, and for what operators ask of held requests.
//!
//! Invariant: what changes anything is answered at the metrics address only; the readiness address is the balancer's.

use crate::RequestKey;
use crate::gateway::Gateway;
use crate::operators::gateway_status::GatewayStatus;
use crate::requests::front_door::ACCEPT_RETRY_DELAY;
use crate::requests::own_answer::{AnswerBody, full_body};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::net::TcpListener;

/// Path of the list of held requests.
const HELD_PATH: &str = "/held";
/// Path of what this VM tells of itself.
const STATUS_PATH: &str = "/status";
/// What follows the path and a request's digest in a call that lifts its hold.
const LIFT_WORD: &str = "lift";

/// What is answered at one of the operators' addresses.
pub(crate) type OperatorAnswer = fn(&Gateway, &Request<Incoming>) -> Response<AnswerBody>;

/// Answers operators until the process ends.
pub(crate) async fn serve_operators(gateway: Arc<Gateway>, listener: TcpListener, answer: OperatorAnswer) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let gateway = Arc::clone(&gateway);
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let response = answer(&gateway, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // The balancer asks again; a connection of it that broke says nothing.
            let _ = connection.await;
        });
    }
}

/// Answers whether this VM takes new connections, and shows its metrics.
pub(crate) fn answer_readiness(gateway: &Gateway, request: &Request<Incoming>) -> Response<AnswerBody> {
    let path = request.uri().path();
    if path == "/metrics" {
        let open = gateway.open_requests.load(Ordering::Relaxed);
        gateway.metrics.open_requests.set(open as i64);
        return text(StatusCode::OK, gateway.metrics.encode());
    }
    if path != gateway.dialect.readiness_path {
        text(StatusCode::NOT_FOUND, "not found\n")
    } else if gateway.is_ready() {
        text(StatusCode::OK, "ready\n")
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

/// The same, tells of this VM, and lists and lifts holds.
pub(crate) fn answer_management(gateway: &Gateway, request: &Request<Incoming>) -> Response<AnswerBody> {
    if request.uri().path() == STATUS_PATH {
        return json_of(&GatewayStatus::of(gateway));
    }
    match (request.method(), request.uri().path().strip_prefix(HELD_PATH)) {
        (&Method::GET, Some("")) => list_held(gateway),
        (&Method::POST, Some(rest)) => lift_held(gateway, rest),
        _ => answer_readiness(gateway, request),
    }
}

fn list_held(gateway: &Gateway) -> Response<AnswerBody> {
    json_of(&gateway.quarantine_rows())
}

/// Lifts the hold that `rest` of a path names, `/DIGEST/lift`.
fn lift_held(gateway: &Gateway, rest: &str) -> Response<AnswerBody> {
    let Some((digest, LIFT_WORD)) = rest.trim_start_matches('/').split_once('/') else {
        return text(StatusCode::NOT_FOUND, "not found\n");
    };
    match digest.parse::<RequestKey>() {
        Err(error) => text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        Ok(request) if gateway.lift_hold(request) => json("{\"lifted\":true}"),
        Ok(_) => text(StatusCode::NOT_FOUND, "no such hold\n"),
    }
}

fn json_of(value: &impl Serialize) -> Response<AnswerBody> {
    // Plain structs of numbers and texts always have a JSON form.
    json(serde_json::to_string(value).unwrap_or_default())
}

fn json(value: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut response = text(StatusCode::OK, value);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(text.into()));
    *response.status_mut() = status;
    response
}
