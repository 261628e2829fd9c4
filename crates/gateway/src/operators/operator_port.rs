//! HTTP handlers for readiness checks of the balancer, metrics, status, and quarantined requests.
//!
//! Invariant: requests that change state are answered at the metrics address only, since the readiness
//! address is the balancer's. Connections to one of the addresses take no room from another one.

use crate::connections::{ConnectionLimiter, GuardedStream, OpenConnection};
use crate::gateway::Gateway;
use crate::operators::gateway_status::GatewayStatus;
use crate::requests::accept_loop::ACCEPT_RETRY_DELAY;
use crate::requests::own_answer::{AnswerBody, full_body};
use crate::{ConnectionTimeouts, SuspectKey};
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
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Path of the list of quarantined requests.
const QUARANTINE_PATH: &str = "/held";
/// Path of this VM's status.
const STATUS_PATH: &str = "/status";
/// Last segment of the path that releases a suspect from quarantine, after its digest.
const RELEASE_SEGMENT: &str = "lift";

/// Connections to one of the addresses.
const MAX_CONNECTIONS: usize = 128;
/// Time that a new connection has for its request in a crowd, in milliseconds: the balancer waits one second in all.
const LIFETIME_MILLIS: u64 = 20;
/// Size of the buffers of a connection: the smallest that the library allows.
const BUFFER_BYTES: usize = 8 << 10;
/// Timeouts of connections: operators and balancers send short requests, and repeat them within a minute.
const TIMEOUTS: ConnectionTimeouts = ConnectionTimeouts { head_millis: 3_000, idle_millis: 60_000 };

/// Handler of the requests at one address for operators or the balancer.
type OperatorHandler = fn(&Gateway, &Request<Incoming>) -> Response<AnswerBody>;

/// Limits on the connections to each address.
#[derive(Debug)]
pub(crate) struct OperatorLimiters {
    readiness: ConnectionLimiter,
    management: ConnectionLimiter,
}

impl Default for OperatorLimiters {
    fn default() -> Self {
        let limiter = || ConnectionLimiter::new(MAX_CONNECTIONS, LIFETIME_MILLIS);
        Self { readiness: limiter(), management: limiter() }
    }
}

/// What is answered at one address, and its limit on connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OperatorPort {
    answer: OperatorHandler,
    limiter: fn(&OperatorLimiters) -> &ConnectionLimiter,
}

impl OperatorPort {
    pub(crate) const READINESS: Self =
        Self { answer: answer_readiness, limiter: |limiters| &limiters.readiness };
    pub(crate) const MANAGEMENT: Self =
        Self { answer: answer_management, limiter: |limiters| &limiters.management };
}

/// Serves operators at one listener, until the process ends.
pub(crate) async fn serve_operators(gateway: Arc<Gateway>, listener: TcpListener, port: OperatorPort) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        match (port.limiter)(&gateway.operator_limiters).open(&gateway.memory).await {
            Some((open, displaced)) => {
                if displaced.is_some() {
                    gateway.metrics.connections.count_closed("operator displaced");
                }
                tokio::spawn(serve_operator(Arc::clone(&gateway), stream, open, port.answer));
            }
            None => gateway.metrics.connections.count_closed("operator refused"),
        }
    }
}

async fn serve_operator(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    open: OpenConnection,
    answer: OperatorHandler,
) {
    let monitor = open.monitor();
    let service = service_fn(|request| {
        let (gateway, monitor) = (&gateway, &monitor);
        async move {
            if monitor.record_request(false) {
                tokio::task::yield_now().await;
            }
            let response = answer(gateway, &request);
            monitor.record_idle();
            Ok::<_, Infallible>(response)
        }
    });
    let stream = GuardedStream::new(stream, Arc::clone(&monitor));
    let connection =
        http1::Builder::new().max_buf_size(BUFFER_BYTES).serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // The balancer repeats its checks, so a broken connection from it is not an error.
        _ = connection => {}
        _ = monitor.closed() => {}
    }
}

/// Closes the connections that take too long, unless the last call is longer than `max_interval` ago.
pub(crate) fn close_overdue(gateway: &Gateway, max_interval: Duration) {
    let limiters = &gateway.operator_limiters;
    for limiter in [&limiters.readiness, &limiters.management] {
        for _ in limiter.close_overdue(&TIMEOUTS, max_interval.as_millis() as u64) {
            gateway.metrics.connections.count_closed("operator overdue");
        }
    }
}

/// Answers readiness checks and requests for metrics.
fn answer_readiness(gateway: &Gateway, request: &Request<Incoming>) -> Response<AnswerBody> {
    let path = request.uri().path();
    if path == "/metrics" {
        let open = gateway.open_requests.load(Ordering::Relaxed);
        gateway.metrics.open_requests.set(open as i64);
        let waiting = gateway.prompt_waits.queue().waiting_by_priority();
        gateway.metrics.prompts.set_waiting(&waiting);
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

/// Answers requests for status, and to list and release quarantined requests.
///
/// All others go to [`answer_readiness`].
fn answer_management(gateway: &Gateway, request: &Request<Incoming>) -> Response<AnswerBody> {
    if request.uri().path() == STATUS_PATH {
        return json_of(&GatewayStatus::of(gateway));
    }
    match (request.method(), request.uri().path().strip_prefix(QUARANTINE_PATH)) {
        (&Method::GET, Some("")) => list_quarantined(gateway),
        (&Method::POST, Some(path)) => release_quarantined(gateway, path),
        _ => answer_readiness(gateway, request),
    }
}

fn list_quarantined(gateway: &Gateway) -> Response<AnswerBody> {
    json_of(&gateway.quarantine_rows())
}

/// Releases the suspect that `path` names, `/DIGEST/lift`.
fn release_quarantined(gateway: &Gateway, path: &str) -> Response<AnswerBody> {
    let Some((digest, RELEASE_SEGMENT)) = path.trim_start_matches('/').split_once('/') else {
        return text(StatusCode::NOT_FOUND, "not found\n");
    };
    match digest.parse::<SuspectKey>() {
        Err(error) => text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        Ok(suspect) if gateway.release_suspect(suspect) => json("{\"lifted\":true}"),
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

fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(body.into()));
    *response.status_mut() = status;
    response
}
