//! A TCP stream that keeps the operating system's reason for its end, and counts its reads.
//!
//! Invariant: the reason is stored before the library that reads the stream sees it. The library reports
//! most of them as "connection error".

use crate::connections::{CROWDED_READ_BYTES, poll_read_part};
use crate::endpoints::head_limit::HeadBudget;
use crate::endpoints::path_probe::TrafficCounters;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Who ended a connection to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndSide {
    /// The endpoint, or its host.
    Endpoint,
    /// This VM: nothing was acknowledged in time, or it closed the connection itself.
    ThisVm,
    /// The network between them.
    Path,
}

impl EndSide {
    /// The side's name in logs.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Endpoint => "endpoint",
            Self::ThisVm => "this VM",
            Self::Path => "path",
        }
    }
}

/// The end of a connection, as the operating system reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionEnd {
    /// The reason, for logs.
    pub cause: &'static str,
    /// Who ended the connection.
    pub side: EndSide,
}

impl ConnectionEnd {
    const END_OF_FILE: Self = Self { cause: "end of file", side: EndSide::Endpoint };

    fn of(error: &io::Error) -> Option<Self> {
        let (cause, side) = match error.kind() {
            io::ErrorKind::ConnectionReset => ("connection reset", EndSide::Endpoint),
            io::ErrorKind::ConnectionRefused => ("connection refused", EndSide::Endpoint),
            io::ErrorKind::BrokenPipe => ("broken pipe", EndSide::Endpoint),
            io::ErrorKind::TimedOut => ("timed out", EndSide::ThisVm),
            io::ErrorKind::HostUnreachable => ("host unreachable", EndSide::Path),
            io::ErrorKind::NetworkUnreachable => ("network unreachable", EndSide::Path),
            io::ErrorKind::ConnectionAborted => ("connection aborted", EndSide::Path),
            _ => return None,
        };
        Some(Self { cause, side })
    }
}

/// The end of one connection, once it is known, and what it may read before the head of an answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndRecord(Arc<EndState>);

#[derive(Debug, Default)]
struct EndState {
    end: OnceLock<ConnectionEnd>,
    budget: HeadBudget,
}

impl EndRecord {
    /// Returns the end; none while the connection is open, or if this VM closes it.
    pub(crate) fn end(&self) -> Option<ConnectionEnd> {
        self.0.end.get().copied()
    }

    pub(crate) fn budget(&self) -> &HeadBudget {
        &self.0.budget
    }

    fn record_error(&self, error: &io::Error) {
        if let Some(end) = ConnectionEnd::of(error) {
            // The first end counts: later errors follow from it.
            let _ = self.0.end.set(end);
        }
    }
}

/// Returns the cause of an error for logs: the operating system's if it is known, else the library's.
pub(crate) fn cause_text(error: &(dyn std::error::Error + 'static), end: Option<ConnectionEnd>) -> String {
    let mut source = Some(error);
    let mut text = error.to_string();
    while let Some(error) = source {
        if let Some(io_error) = error.downcast_ref::<io::Error>()
            && let Some(end) = ConnectionEnd::of(io_error)
        {
            return end.cause.to_owned();
        }
        text = error.to_string();
        source = error.source();
    }
    end.map_or(text, |end| end.cause.to_owned())
}

/// A stream whose end is stored in its record, and whose reads are counted.
#[derive(Debug)]
pub(crate) struct ObservedStream {
    stream: TcpStream,
    record: EndRecord,
    counters: Arc<TrafficCounters>,
}

impl ObservedStream {
    pub(crate) fn new(stream: TcpStream, counters: &Arc<TrafficCounters>) -> Self {
        Self { stream, record: EndRecord::default(), counters: Arc::clone(counters) }
    }

    /// Returns the record that the stream's end is stored in.
    pub(crate) fn record(&self) -> EndRecord {
        self.record.clone()
    }

    fn observe<T>(&self, result: io::Result<T>) -> io::Result<T> {
        result.inspect_err(|error| self.record.record_error(error))
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (before, has_room) = (buffer.filled().len(), buffer.remaining() > 0);
        let max_bytes = if self.counters.is_crowded() { CROWDED_READ_BYTES } else { usize::MAX };
        let result = ready!(poll_read_part(&mut self.stream, context, buffer, max_bytes));
        if buffer.filled().len() > before {
            self.counters.count_read();
        } else if result.is_ok() && has_room {
            let _ = self.record.0.end.set(ConnectionEnd::END_OF_FILE);
        }
        Poll::Ready(self.observe(result))
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = ready!(Pin::new(&mut self.stream).poll_write(context, bytes));
        Poll::Ready(self.observe(result))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = ready!(Pin::new(&mut self.stream).poll_flush(context));
        Poll::Ready(self.observe(result))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices));
        Poll::Ready(self.observe(result))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
