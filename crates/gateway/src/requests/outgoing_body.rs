//! A request's body on its way to an endpoint, which tells whether all of it has been handed on.
//!
//! Invariant: an endpoint may answer before it has read a long body. Whatever is sent next on that
//! connection would wait behind the rest of the body, so such a connection is not used again. The body
//! goes out in pieces because the connection takes a single large one into its buffer at once, which
//! would say nothing about how much the endpoint has accepted.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

/// Bytes handed on at once; several fit into a connection's write buffer.
const PIECE_BYTES: usize = 16 << 10;
/// Bytes that a connection buffers before it waits for the endpoint: what may be left unsent when the
/// last piece has been taken.
pub(crate) const WRITE_BUFFER_BYTES: usize = 64 << 10;

/// How much of a body has not been handed on.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyMark(Arc<AtomicUsize>);

impl BodyMark {
    pub(crate) fn is_handed_on(&self) -> bool {
        self.rest() == 0
    }

    /// Bytes that have not been handed on.
    pub(crate) fn rest(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

/// A body that goes out in pieces.
#[derive(Debug)]
pub(crate) struct OutgoingBody {
    rest: Bytes,
    mark: BodyMark,
}

impl OutgoingBody {
    pub(crate) fn new(bytes: Bytes) -> Self {
        let mark = BodyMark(Arc::new(AtomicUsize::new(bytes.len())));
        Self { rest: bytes, mark }
    }

    /// Whether it may have to wait for the endpoint to read.
    pub(crate) fn is_long(&self) -> bool {
        self.rest.len() > WRITE_BUFFER_BYTES
    }

    /// Tells later, when the connection owns the body, how far it went.
    pub(crate) fn mark(&self) -> BodyMark {
        self.mark.clone()
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(PIECE_BYTES);
        let piece = self.rest.split_to(length);
        self.mark.0.store(self.rest.len(), Ordering::Release);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
