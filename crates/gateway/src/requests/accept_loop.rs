//! The listener for callers.

use crate::RequestLimits;
use crate::gateway::{CountGuard, Gateway};
use crate::requests::answer_record::{
    ConnectionRecord, RecordedBody, UnansweredCause, classify_end, recorded,
};
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

/// Minimum size of the read buffer: the head size that the configuration allows may be less.
const MIN_READ_BUFFER_BYTES: usize = 32 << 10;
/// Bytes that a head's framing may take in addition to those that the configuration counts.
const MAX_FRAMING_BYTES: usize = 1 << 10;
/// Delay after a failed accept, as when descriptors ran out.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The state of the listener for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ListenerState {
    Serving,
    /// Nothing new is accepted, and kept-alive connections close after their current request.
    Draining,
    /// All connections are closed.
    Closed,
}

/// Serves callers until `state` leaves [`ListenerState::Serving`].
pub(crate) async fn serve_callers(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    mut state: watch::Receiver<ListenerState>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = state.wait_for(|state| *state >= ListenerState::Draining) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let guard = CountGuard::new(&gateway, |gateway| &gateway.caller_connections);
                tokio::spawn(serve_caller(Arc::clone(&gateway), stream, state.clone(), guard));
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
    mut state: watch::Receiver<ListenerState>,
    _guard: CountGuard,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(cause:% = error; "connection.lost");
        return;
    }
    let limits = current_limits(&gateway);
    let disconnect = Arc::new(Notify::new());
    // Declared before the connection, so that it is dropped after it.
    let record = ConnectionRecord::new(&gateway);
    let service = service_fn(|request| {
        answer_caller(Arc::clone(&gateway), limits, request, Arc::clone(&disconnect), &record)
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout(limits))
        .max_buf_size(MIN_READ_BUFFER_BYTES.max(limits.header_bytes.saturating_add(MAX_FRAMING_BYTES)))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        ended = connection.as_mut() => {
            record.record_end(classify_end(&ended));
            if let Err(error) = ended {
                log::debug!(cause:% = error; "connection.ended");
            }
            return;
        }
        // Dropping the connection discards the data buffered for the caller, who sees the connection break.
        () = disconnect.notified() => return record.record_end(UnansweredCause::NoMemory),
        _ = state.wait_for(|state| *state >= ListenerState::Draining) => {}
    }
    connection.as_mut().graceful_shutdown();
    // The result is ignored: the process is stopping.
    tokio::select! {
        ended = connection => record.record_end(classify_end(&ended)),
        () = disconnect.notified() => record.record_end(UnansweredCause::NoMemory),
        Ok(_) = state.wait_for(|state| *state == ListenerState::Closed) => {
            record.record_end(UnansweredCause::Stopped);
        }
    }
}

/// Returns the timeout for a complete head. The library counts from the end of the previous answer, so idle
/// time is included: a caller may begin a head when the idle time is nearly over.
const fn head_timeout(limits: RequestLimits) -> Duration {
    Duration::from_millis(limits.idle_millis.saturating_add(limits.header_millis))
}

/// Returns the request limits of the configuration in force.
fn current_limits(gateway: &Gateway) -> RequestLimits {
    gateway.routes().map_or_else(RequestLimits::default, |table| table.config().limits)
}

/// Answers one request on a connection that was opened under `limits`.
async fn answer_caller(
    gateway: Arc<Gateway>,
    limits: RequestLimits,
    request: Request<Incoming>,
    disconnect: Arc<Notify>,
    record: &ConnectionRecord,
) -> Result<Response<RecordedBody>, Infallible> {
    // The parser drops a length that follows a transfer coding. Whether the next bytes are a separate
    // request is then unknown, so nothing more is read from such a connection.
    let has_transfer_coding = request.headers().contains_key(TRANSFER_ENCODING);
    let (answer, method) = (record.begin(&request), request.method().clone());
    let mut response = relay(Arc::clone(&gateway), request, disconnect, Arc::clone(&answer)).await;
    let current = current_limits(&gateway);
    // The head's size and timeout are fixed when a connection opens: after a change the caller has to open
    // another one. Bodies are limited anew with each request.
    let connection_limits = |limits: RequestLimits| (limits.header_bytes, head_timeout(limits));
    let changed = connection_limits(current) != connection_limits(limits);
    if has_transfer_coding || changed || gateway.is_stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(recorded(response, &method, answer))
}
