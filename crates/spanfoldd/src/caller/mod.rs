//! The callers' listener.
//!
//! Invariant: a caller receives exactly one final answer, and every error in it states whether the
//! request ran.

mod admission_gate;
mod completion;
mod final_error;
mod frame_reader;
mod request;
mod run_forwarder;
mod service;

pub(crate) use final_error::FinalError;

use crate::shared::{FlightGuard, SharedState};
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use spanfold_gateway::KindLabel;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

pub(crate) type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// The body of an answer to a caller.
pub(crate) type CallerBody = BoxBody<Bytes, BoxError>;

/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

pub(crate) fn full_body(bytes: impl Into<Bytes>) -> CallerBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

pub(crate) fn text_response(status: u16, text: impl Into<Bytes>) -> Response<CallerBody> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Serves callers until the process ends.
pub(crate) async fn serve_callers(shared: Arc<SharedState>, listener: TcpListener) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        tokio::spawn(serve_connection(Arc::clone(&shared), socket, true));
    }
}

/// Serves operators until the process ends.
pub(crate) async fn serve_operators(shared: Arc<SharedState>, listener: TcpListener) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        tokio::spawn(serve_connection(Arc::clone(&shared), socket, false));
    }
}

async fn serve_connection(shared: Arc<SharedState>, socket: TcpStream, for_callers: bool) {
    let _ = socket.set_nodelay(true);
    let header_timeout = Duration::from_millis(shared.settings.header_millis);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        async move {
            let response = if for_callers {
                answer_caller(&shared, request).await
            } else {
                crate::operators::answer(&shared, &request)
            };
            Ok::<_, Infallible>(response)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .serve_connection(TokioIo::new(socket), service);
    if let Err(error) = connection.await {
        log::debug!(error:% = error; "caller.connection_broken");
    }
}

async fn answer_caller(shared: &Arc<SharedState>, request: Request<Incoming>) -> Response<CallerBody> {
    let flight = FlightGuard::new(shared);
    let result = route(shared, request).await;
    let response = result.unwrap_or_else(|error| error.into_response(shared));
    let status = response.status().as_str().to_owned();
    shared.metrics.answers.get_or_create(&KindLabel { kind: status }).inc();
    // The request counts as in flight until the body of its answer is sent, not only the head.
    response.map(|body| {
        body.map_frame(move |frame| {
            let _flight = &flight;
            frame
        })
        .boxed()
    })
}

async fn route(
    shared: &Arc<SharedState>,
    request: Request<Incoming>,
) -> Result<Response<CallerBody>, FinalError> {
    let path = request.uri().path();
    if path == "/v1/completions" || path == "/v1/chat/completions" {
        if request.method() != Method::POST {
            return Err(FinalError::bad_request(405, "method_not_allowed", "use POST"));
        }
        let chat = path == "/v1/chat/completions";
        return completion::answer(shared, request, chat).await;
    }
    if path.starts_with("/services/") {
        return service::answer(shared, request).await;
    }
    Err(FinalError::bad_request(404, "not_found", "no such path"))
}
