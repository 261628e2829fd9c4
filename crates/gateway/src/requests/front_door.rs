//! The listener for callers.

use crate::RequestLimits;
use crate::gateway::{CountGuard, Gateway};
use crate::requests::own_answer::AnswerBody;
use crate::requests::relay::relay;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

/// Bytes read at once in any case: what the configuration allows for a head may be less.
const READ_BYTES: usize = 32 << 10;
/// Bytes that a head's framing may take beside what the configuration counts.
const FRAMING_BYTES: usize = 1 << 10;
/// Pause after an accept that failed, as when descriptors ran out.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves callers until `closing`; then nothing new is accepted and kept connections end after
/// their present request.
pub(crate) async fn serve_callers(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    mut closing: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let guard = CountGuard::new(&gateway, |gateway| &gateway.caller_connections);
                tokio::spawn(serve_caller(Arc::clone(&gateway), stream, closing.clone(), guard));
            }
            Err(error) => {
                log::warn!(cause:% = error; "accept.failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_caller(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
    _guard: CountGuard,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(cause:% = error; "connection.lost");
        return;
    }
    let limits = present_limits(&gateway);
    let cut = Arc::new(Notify::new());
    let service =
        service_fn(|request| answer_caller(Arc::clone(&gateway), limits, request, Arc::clone(&cut)));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout(limits))
        .max_buf_size(READ_BYTES.max(limits.header_bytes.saturating_add(FRAMING_BYTES)))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        ended = connection.as_mut() => {
            if let Err(error) = ended {
                log::debug!(cause:% = error; "connection.ended");
            }
            return;
        }
        // What waits for the caller goes with its connection, which it sees break.
        () = cut.notified() => return,
        _ = closing.wait_for(|closing| *closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    // How it ends is of no interest any more: the process is stopping.
    tokio::select! {
        _ = connection => {}
        () = cut.notified() => {}
    }
}

/// Longest wait for the end of a head. The library counts from the end of the answer before, so that the idle time is part of
/// it: a caller may begin a head when that is nearly over.
const fn head_timeout(limits: RequestLimits) -> Duration {
    Duration::from_millis(limits.idle_millis.saturating_add(limits.header_millis))
}

/// What the configuration in force lets a caller send.
fn present_limits(gateway: &Gateway) -> RequestLimits {
    gateway.routes().map_or_else(RequestLimits::default, |table| table.config().limits)
}

/// Answers one request on a connection that was opened under `limits`.
async fn answer_caller(
    gateway: Arc<Gateway>,
    limits: RequestLimits,
    request: Request<Incoming>,
    cut: Arc<Notify>,
) -> Result<Response<AnswerBody>, Infallible> {
    // The parser drops a length that follows a transfer coding: whether what comes next is a
    // request of its own cannot be known, so nothing more is read from such a connection.
    let coded = request.headers().contains_key(TRANSFER_ENCODING);
    let mut response = relay(Arc::clone(&gateway), request, cut).await;
    let present = present_limits(&gateway);
    // How much is read of a head and waited for stands from a connection's start on: after a change the
    // caller opens another one. Bodies are measured anew with each request.
    let of_connection = |limits: RequestLimits| (limits.header_bytes, head_timeout(limits));
    let changed = of_connection(present) != of_connection(limits);
    if coded || changed || gateway.is_stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
