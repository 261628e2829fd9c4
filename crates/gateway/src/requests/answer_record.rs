//! What becomes of a request's answer, up to its last byte, for requests that end without one.
//!
//! Invariant: a request that was read whole and whose caller gets no whole answer is counted once, under
//! the first cause recorded for it. It has a log line, unless its caller left first.

use crate::connections::ConnectionMonitor;
use crate::endpoints::observed_stream::{ConnectionEnd, EndSide};
use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use crate::requests::own_answer::{AnswerBody, BrokenAnswer};
use crate::requests::request_context::header_text;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::{Method, Request, Response};
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// Why a request that was read whole has no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnansweredCause {
    /// The caller closed its connection.
    CallerLeft,
    /// The deadline passed while the answer was forwarded.
    OutOfTime,
    /// The endpoint ended its connection before its answer was whole.
    EndpointBroke,
    /// This VM ended the connection to the endpoint, which acknowledged nothing for too long.
    EndpointTimedOut,
    /// The request had most bytes buffered when memory ran out.
    NoMemory,
    /// The caller did not read, and its connection was closed.
    Unread,
    /// The process stopped before the answer was written.
    Stopped,
    /// This VM closed the caller's connection for no cause recorded elsewhere.
    Closed,
}

impl UnansweredCause {
    /// Returns why an answer is not whole whose connection broke with `end`.
    pub(crate) fn of_broken(end: Option<ConnectionEnd>) -> Self {
        match end {
            Some(end) if end.side == EndSide::ThisVm => Self::EndpointTimedOut,
            _ => Self::EndpointBroke,
        }
    }

    const fn name(self) -> &'static str {
        match self {
            Self::CallerLeft => "caller left",
            Self::OutOfTime => "out of time",
            Self::EndpointBroke => "endpoint broke off",
            Self::EndpointTimedOut => "connection to the endpoint timed out",
            Self::NoMemory => "no memory",
            Self::Unread => "not read",
            Self::Stopped => "stopped",
            Self::Closed => "closed here",
        }
    }
}

#[derive(Debug, Default)]
struct AnswerProgress {
    endpoint: String,
    sends: u32,
    is_read_whole: bool,
    has_begun: bool,
    /// Whether the answer's last byte was handed to hyper.
    is_handed_over: bool,
    cause: Option<UnansweredCause>,
}

/// The progress of one request and its answer.
#[derive(Debug)]
pub(crate) struct AnswerRecord {
    request_id: Option<HeaderValue>,
    config_version: u64,
    received_at: Moment,
    progress: Mutex<AnswerProgress>,
    /// The caller's connection; none if another VM forwarded the request.
    monitor: Option<Arc<ConnectionMonitor>>,
    /// Whether it arrived together with the request before.
    is_ahead: bool,
}

impl AnswerRecord {
    pub(crate) fn new(
        gateway: &Gateway,
        request: &Request<Incoming>,
        monitor: &Arc<ConnectionMonitor>,
    ) -> Arc<Self> {
        let is_read_whole = request.body().is_end_stream();
        let progress = AnswerProgress { is_read_whole, ..Default::default() };
        Arc::new(Self {
            monitor: Some(Arc::clone(monitor)),
            is_ahead: monitor.record_request(!is_read_whole),
            request_id: request.headers().get(&gateway.dialect.headers.request_id).cloned(),
            config_version: config_version(gateway),
            received_at: gateway.now(),
            progress: Mutex::new(progress),
        })
    }

    /// Creates the record of a request that another VM forwarded. It is settled at that VM.
    pub(crate) fn of_forwarded(gateway: &Gateway, request_id: HeaderValue) -> Arc<Self> {
        Arc::new(Self {
            request_id: Some(request_id),
            config_version: config_version(gateway),
            received_at: gateway.now(),
            progress: Mutex::default(),
            monitor: None,
            is_ahead: false,
        })
    }

    /// Returns how long the request waits if it arrived together with the one before on its connection.
    pub(crate) fn ahead_pause(&self) -> Option<Duration> {
        let monitor = self.monitor.as_ref().filter(|_| self.is_ahead)?;
        Some(monitor.ahead_pause())
    }

    /// Whether its connection ends after it: requests that are sent ahead keep a connection in work for ever, and a
    /// crowd of those would leave none for others.
    pub(crate) fn ends_connection(&self) -> bool {
        self.is_ahead && self.monitor.as_ref().is_some_and(|monitor| monitor.is_crowded())
    }

    /// Records that a request without a body, which was sent ahead, is in work.
    pub(crate) fn record_work(&self) {
        if let Some(monitor) = self.monitor.as_ref().filter(|_| self.progress().is_read_whole) {
            monitor.record_body();
        }
    }

    /// Lets a body that is not short arrive fast; `length` is the declared one.
    pub(crate) fn widen_receive_buffer(&self, length: Option<usize>) {
        if let Some(monitor) = &self.monitor {
            monitor.widen_receive_buffer(length);
        }
    }

    /// Records that an endpoint answered.
    pub(crate) fn record_served(&self) {
        if let Some(monitor) = &self.monitor {
            monitor.record_served();
        }
    }

    /// Records that the request's last byte was read.
    pub(crate) fn record_read_whole(&self) {
        self.progress().is_read_whole = true;
        if let Some(monitor) = &self.monitor {
            monitor.record_body();
        }
    }

    /// Records the endpoint of the last send, and the sends that reached one.
    pub(crate) fn record_send(&self, endpoint: &str, sends: u32) {
        let mut progress = self.progress();
        if progress.endpoint != endpoint {
            endpoint.clone_into(&mut progress.endpoint);
        }
        progress.sends = sends;
    }

    /// Records why the answer will not be whole; the first cause counts.
    pub(crate) fn record_cause(&self, cause: UnansweredCause) {
        self.progress().cause.get_or_insert(cause);
    }

    /// Counts and logs the request if it has no whole answer now that its caller's connection `end`ed.
    fn settle(&self, gateway: &Gateway, end: Option<UnansweredCause>) {
        let progress = self.progress();
        // A connection that a planned stop cuts has an answer that is not written yet: idle ones are closed
        // before.
        let is_unwritten = end == Some(UnansweredCause::Stopped);
        let end = end.unwrap_or(UnansweredCause::Stopped);
        if !progress.is_read_whole || (progress.is_handed_over && !is_unwritten) {
            return;
        }
        let cause = progress.cause.unwrap_or(end);
        gateway.metrics.configuration.unanswered.get_or_create(&KindLabel::new(cause.name())).inc();
        if cause == UnansweredCause::CallerLeft {
            return;
        }
        let id = self.request_id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
        log::warn!(request = id, endpoint = progress.endpoint.as_str(), sends = progress.sends,
            begun = progress.has_begun, handed_over = progress.is_handed_over, cause = cause.name(),
            config = self.config_version, config_now = config_version(gateway),
            changed_ms = gateway.configuration_age_micros().map_or(-1, |age| (age / MICROS_PER_MILLI) as i64),
            age_ms = gateway.now().micros_since(self.received_at) / MICROS_PER_MILLI;
            "request.unanswered");
    }

    fn progress(&self) -> MutexGuard<'_, AnswerProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn config_version(gateway: &Gateway) -> u64 {
    gateway.routes().map_or(0, |table| table.config().version)
}

/// The request in hand on one caller's connection. It must be dropped after the connection.
#[derive(Debug)]
pub(crate) struct ConnectionRecord {
    gateway: Arc<Gateway>,
    monitor: Arc<ConnectionMonitor>,
    /// The connection's last request. An earlier one was answered whole, or the connection would have ended.
    request: Mutex<Option<Arc<AnswerRecord>>>,
    end: Mutex<Option<UnansweredCause>>,
}

impl ConnectionRecord {
    /// Without a recorded end, its task ended with the process.
    pub(crate) fn new(gateway: &Arc<Gateway>, monitor: &Arc<ConnectionMonitor>) -> Self {
        let (gateway, monitor) = (Arc::clone(gateway), Arc::clone(monitor));
        Self { gateway, monitor, request: Mutex::default(), end: Mutex::default() }
    }

    /// Begins the record of a request on this connection.
    pub(crate) fn begin(&self, request: &Request<Incoming>) -> Arc<AnswerRecord> {
        let record = AnswerRecord::new(&self.gateway, request, &self.monitor);
        *self.request.lock().unwrap_or_else(PoisonError::into_inner) = Some(Arc::clone(&record));
        record
    }

    /// Records how the connection ended, for a request without a cause of its own.
    pub(crate) fn record_end(&self, end: UnansweredCause) {
        *self.end.lock().unwrap_or_else(PoisonError::into_inner) = Some(end);
    }
}

impl Drop for ConnectionRecord {
    fn drop(&mut self) {
        let end = *self.end.lock().unwrap_or_else(PoisonError::into_inner);
        let request = self.request.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(record) = request {
            record.settle(&self.gateway, end);
        }
    }
}

/// Returns who ended a caller's connection that hyper served.
pub(crate) fn classify_end(result: &Result<(), hyper::Error>) -> UnansweredCause {
    let Err(error) = result else { return UnansweredCause::Closed };
    let source = std::error::Error::source(error);
    let is_system_error = source.is_some_and(<dyn std::error::Error>::is::<std::io::Error>);
    if error.is_incomplete_message() || is_system_error {
        UnansweredCause::CallerLeft
    } else {
        UnansweredCause::Closed
    }
}

/// An answer's body that records when its last byte is handed to hyper.
pub(crate) struct RecordedBody {
    body: AnswerBody,
    record: Arc<AnswerRecord>,
    /// Bytes that the answer's declared length leaves; hyper asks for nothing beyond them.
    declared: Option<u64>,
}

/// Wraps the body of the answer to a request with `method`.
pub(crate) fn recorded(
    response: Response<AnswerBody>,
    method: &Method,
    record: Arc<AnswerRecord>,
) -> Response<RecordedBody> {
    let declared = header_text(response.headers(), &CONTENT_LENGTH).and_then(|text| text.parse().ok());
    let has_no_body = method == Method::HEAD || response.body().is_end_stream() || declared == Some(0);
    record.progress().is_handed_over = has_no_body;
    response.map(|body| RecordedBody { body, record, declared })
}

impl Drop for RecordedBody {
    /// The connection waits for its next request.
    fn drop(&mut self) {
        if let Some(monitor) = &self.record.monitor {
            monitor.record_idle();
        }
    }
}

impl RecordedBody {
    fn record_frame(&mut self, frame: Option<&Frame<Bytes>>) {
        if let Some(data) = frame.and_then(Frame::data_ref)
            && let Some(declared) = &mut self.declared
        {
            *declared = declared.saturating_sub(data.len() as u64);
        }
        let is_last = match self.declared {
            Some(declared) => declared == 0,
            None => frame.is_none() || self.body.is_end_stream(),
        };
        let mut progress = self.record.progress();
        progress.has_begun = true;
        progress.is_handed_over |= is_last;
    }
}

impl Body for RecordedBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        let next = ready!(Pin::new(&mut self.body).poll_frame(context));
        match &next {
            Some(Ok(frame)) => self.record_frame(Some(frame)),
            None => self.record_frame(None),
            Some(Err(_)) => {}
        }
        Poll::Ready(next)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
