//! Bounds the bytes that arrive before the head of an answer is whole.
//!
//! The library bounds one head; a peer may also send interim heads without end, each of which is read and
//! discarded.
//!
//! Invariant: between the beginning of an exchange and its answer's head, at most [`MAX_HEAD_BYTES`] are read.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes up to the end of an answer's head, with interim heads and the part of the body in the same read buffer.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// Bytes that a connection may still read before the head of an answer.
#[derive(Clone, Debug)]
pub(crate) struct HeadBudget(Arc<AtomicUsize>);

impl Default for HeadBudget {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)))
    }
}

impl HeadBudget {
    /// Begins an exchange: its answer's head is awaited.
    pub(crate) fn begin(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Records that the answer's head has arrived: its body has bounds of its own.
    pub(crate) fn end(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Subtracts bytes that were read; an error if there are too many of them.
    fn take(&self, bytes: usize) -> io::Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return Ok(());
        }
        let Some(left) = left.checked_sub(bytes) else {
            let text = format!("no whole head within {MAX_HEAD_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        };
        // If the head arrived meanwhile, the exchange keeps its end.
        let _ = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |current| {
            (current != usize::MAX).then_some(left)
        });
        Ok(())
    }
}

/// A stream that fails when it reads more than its budget.
#[derive(Debug)]
pub(crate) struct HeadLimitedStream<S> {
    stream: S,
    budget: HeadBudget,
}

impl<S> HeadLimitedStream<S> {
    pub(crate) const fn new(stream: S, budget: HeadBudget) -> Self {
        Self { stream, budget }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.budget.take(buffer.filled().len() - before))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
