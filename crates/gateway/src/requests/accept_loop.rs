//! The listener for callers.
//!
//! Invariant: a connection that carries no request has no buffers. Where there is no room for a new connection,
//! one without a request in work is closed, or the new one.

use crate::connections::{ConnectionMonitor, GuardedStream, OpenConnection};
use crate::gateway::{CountGuard, Gateway};
use crate::requests::answer_record::{
    ConnectionRecord, RecordedBody, UnansweredCause, classify_end, recorded,
};
use crate::requests::own_answer::OwnAnswer;
use crate::requests::relay::relay;
use crate::{CloseCause, ConnectionTimeouts, RequestLimits};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::poll_fn;
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::ReadBuf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

/// Minimum size of the buffers for reading and writing: the head size that the configuration allows may be less.
const MIN_BUFFER_BYTES: usize = 16 << 10;
/// Bytes of the shortest header field: a name of one character, a colon, and the end of the line.
const MIN_FIELD_BYTES: usize = 3;
/// Largest number of header fields; the library's map of them panics at 24,577.
const MAX_FIELDS: usize = 16_384;
/// Bytes that a head's framing may take in addition to those that the configuration counts.
const MAX_FRAMING_BYTES: usize = 1 << 10;
/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Bytes of a head that are looked at before it is read: about as many as arrive unread.
const PEEKED_BYTES: usize = 4 << 10;
/// Interval between looks at a head that is not whole.
const PEEK_INTERVAL: Duration = Duration::from_millis(100);
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
                let Some((open, displaced)) = gateway.caller_limiter.open(&gateway.memory).await else {
                    gateway.metrics.connections.count_closed("refused");
                    continue;
                };
                if let Some(cause) = displaced {
                    gateway.metrics.connections.count_closed(cause.label());
                }
                let guard = CountGuard::new(&gateway, |gateway| &gateway.caller_connections);
                tokio::spawn(serve_caller(Arc::clone(&gateway), stream, open, state.clone(), guard));
                gateway.pool.traffic.set_crowded(gateway.caller_limiter.is_crowded());
                gateway.caller_limiter.wait_for_room().await;
            }
            Err(error) => {
                gateway.metrics.connections.count_closed("accept failed");
                log::warn!(cause:% = error; "accept.failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Adjusts how callers' connections are paced, until the process ends.
pub(crate) async fn adjust_pauses(gateway: Arc<Gateway>) {
    gateway.caller_limiter.adjust_pauses().await;
}

async fn serve_caller(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    open: OpenConnection,
    mut state: watch::Receiver<ListenerState>,
    _guard: CountGuard,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(cause:% = error; "connection.lost");
        return;
    }
    let monitor = open.monitor();
    tokio::select! {
        biased;
        is_open = until_head(&stream, &monitor) => {
            if !is_open {
                return;
            }
            monitor.record_beginning();
        }
        _ = monitor.closed() => return,
        _ = state.wait_for(|state| *state >= ListenerState::Draining) => {
            if !monitor.is_head_arriving() {
                return;
            }
        }
    }
    Box::pin(serve_requests(gateway, stream, monitor, state)).await;
}

/// What has arrived on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ArrivedHead {
    Ended,
    Part,
    Whole,
}

/// Waits for a request's head; whether there is one.
///
/// While many connections are open, a head is read only when it is whole. Until then it takes no buffer here.
async fn until_head(stream: &TcpStream, monitor: &ConnectionMonitor) -> bool {
    loop {
        match poll_fn(|context| poll_head(stream, context)).await {
            ArrivedHead::Ended => return false,
            ArrivedHead::Whole => return true,
            ArrivedHead::Part if !monitor.is_crowded() => return true,
            ArrivedHead::Part => {
                monitor.record_beginning();
                tokio::time::sleep(PEEK_INTERVAL).await;
            }
        }
    }
}

fn poll_head(stream: &TcpStream, context: &mut Context<'_>) -> Poll<ArrivedHead> {
    let mut bytes = [MaybeUninit::uninit(); PEEKED_BYTES];
    let mut buffer = ReadBuf::uninit(&mut bytes);
    let peeked = ready!(stream.poll_peek(context, &mut buffer));
    let arrived = buffer.filled();
    Poll::Ready(if peeked.is_err() || arrived.is_empty() {
        ArrivedHead::Ended
    } else if arrived.windows(HEAD_END.len()).any(|window| window == HEAD_END) {
        ArrivedHead::Whole
    } else {
        ArrivedHead::Part
    })
}

async fn serve_requests(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    monitor: Arc<ConnectionMonitor>,
    state: watch::Receiver<ListenerState>,
) {
    let limits = current_limits(&gateway);
    let buffer_bytes = MIN_BUFFER_BYTES.max(limits.header_bytes.saturating_add(MAX_FRAMING_BYTES));
    monitor.set_buffer_bytes(buffer_bytes);
    let disconnect = monitor.disconnect();
    // Declared before the connection, so that it is dropped after it.
    let record = ConnectionRecord::new(&gateway, &monitor);
    let service = service_fn(|request| {
        // The future of a request is large: a connection without one does not keep the memory for it.
        Box::pin(answer_caller(Arc::clone(&gateway), limits, request, Arc::clone(disconnect), &record))
    });
    let stream = GuardedStream::new(stream, Arc::clone(&monitor));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout(limits))
        .max_buf_size(buffer_bytes)
        .max_headers((limits.header_bytes / MIN_FIELD_BYTES).clamp(1, MAX_FIELDS))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let (mut draining, mut closed) = (state.clone(), state);
    let until_draining = draining.wait_for(|state| *state >= ListenerState::Draining);
    let until_closed = closed.wait_for(|state| *state == ListenerState::Closed);
    let mut until_closed = pin!(until_closed);
    if !serve_until(connection.as_mut(), &monitor, &record, until_draining).await {
        return;
    }
    // The library would close the connection within a head.
    let until_whole = async {
        while monitor.is_head_arriving() {
            tokio::time::sleep(PEEK_INTERVAL).await;
        }
    };
    let is_open = tokio::select! {
        is_open = serve_until(connection.as_mut(), &monitor, &record, until_whole) => is_open,
        _ = until_closed.as_mut() => return record.record_end(UnansweredCause::Stopped),
    };
    if !is_open {
        return;
    }
    connection.as_mut().graceful_shutdown();
    if serve_until(connection, &monitor, &record, until_closed).await {
        record.record_end(UnansweredCause::Stopped);
    }
}

/// Serves a connection until it ends or `until` is ready; whether it is still open.
async fn serve_until(
    connection: Pin<&mut impl Future<Output = hyper::Result<()>>>,
    monitor: &ConnectionMonitor,
    record: &ConnectionRecord,
    until: impl Future,
) -> bool {
    tokio::select! {
        ended = connection => {
            record.record_end(classify_end(&ended));
            if let Err(error) = ended {
                log::debug!(cause:% = error; "connection.ended");
            }
        }
        // Dropping the connection discards the data buffered for the caller, who sees the connection break.
        () = monitor.disconnect().notified() => record.record_end(UnansweredCause::NoMemory),
        cause = monitor.closed() => record.record_end(unanswered_cause(cause)),
        _ = until => return true,
    }
    false
}

/// Closes the connections of callers that take too long, and records the number of open ones.
///
/// Nothing is closed if the last call is longer than `max_interval` ago.
pub(crate) fn close_overdue(gateway: &Gateway, max_interval: Duration) {
    let limits = current_limits(gateway);
    let timeouts = ConnectionTimeouts { head_millis: limits.header_millis, idle_millis: limits.idle_millis };
    let metrics = &gateway.metrics.connections;
    for cause in gateway.caller_limiter.close_overdue(&timeouts, max_interval.as_millis() as u64) {
        metrics.count_closed(cause.label());
    }
    gateway.pool.traffic.set_crowded(gateway.caller_limiter.is_crowded());
    let (open, limit) = gateway.caller_limiter.counts();
    metrics.open.set(open as i64);
    metrics.limit.set(limit as i64);
}

/// Returns why a request has no whole answer whose connection was closed for `cause`.
const fn unanswered_cause(cause: CloseCause) -> UnansweredCause {
    match cause {
        CloseCause::Displaced | CloseCause::Unread => UnansweredCause::Unread,
        CloseCause::SlowHead | CloseCause::Idle => UnansweredCause::Closed,
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
    if let Some(pause) = answer.ahead_pause() {
        // One connection does not hold the thread as long as it has requests.
        if pause.is_zero() {
            tokio::task::yield_now().await;
        } else {
            tokio::time::sleep(pause).await;
        }
        answer.record_work();
    }
    let mut response = relay(Arc::clone(&gateway), request, disconnect, Arc::clone(&answer)).await;
    let current = current_limits(&gateway);
    // The head's size and timeout are fixed when a connection opens: after a change the caller has to open
    // another one. Bodies are limited anew with each request.
    let connection_limits = |limits: RequestLimits| (limits.header_bytes, head_timeout(limits));
    let changed = connection_limits(current) != connection_limits(limits);
    let is_last = has_transfer_coding || changed || answer.ends_connection();
    if is_last || gateway.is_stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if response.extensions().get::<OwnAnswer>().is_none() {
        answer.record_served();
    }
    Ok(recorded(response, &method, answer))
}
