//! A request's body on its way to an endpoint, with its progress.
//!
//! Invariant: an endpoint may answer before it has read a long body. The next request on that connection
//! would wait behind the rest of the body, so such a connection is not reused. The body is sent in chunks
//! because the connection buffers a single large one at once, which would not show how much the endpoint
//! has accepted.

use crate::memory::RequestBody;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

/// Largest chunk; several fit into a connection's write buffer.
const CHUNK_BYTES: usize = 16 << 10;
/// Size of a connection's write buffer: bytes that may be unsent when the last chunk has been taken.
pub(crate) const WRITE_BUFFER_BYTES: usize = 64 << 10;

/// Bytes of a body that the connection has not taken.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyProgress(Arc<AtomicUsize>);

impl BodyProgress {
    pub(crate) fn is_consumed(&self) -> bool {
        self.remaining() == 0
    }

    /// Bytes that the connection has not taken.
    pub(crate) fn remaining(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

/// A body that is sent in chunks.
#[derive(Debug)]
pub(crate) struct OutgoingBody {
    body: RequestBody,
    /// Index of the next piece.
    next_piece: usize,
    /// What is left of the current piece.
    piece: Bytes,
    remaining_bytes: usize,
    progress: BodyProgress,
}

impl OutgoingBody {
    pub(crate) fn new(body: RequestBody) -> Self {
        let remaining_bytes = body.len();
        let progress = BodyProgress(Arc::new(AtomicUsize::new(remaining_bytes)));
        Self { body, next_piece: 0, piece: Bytes::new(), remaining_bytes, progress }
    }

    /// Whether sending it may have to wait for the endpoint to read.
    pub(crate) fn is_long(&self) -> bool {
        self.remaining_bytes > WRITE_BUFFER_BYTES
    }

    /// Returns the progress, which can be read while the connection owns the body.
    pub(crate) fn progress(&self) -> BodyProgress {
        self.progress.clone()
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.piece.is_empty() {
            let Some(piece) = self.body.pieces().get(self.next_piece).cloned() else {
                return Poll::Ready(None);
            };
            self.piece = piece;
            self.next_piece += 1;
        }
        let length = self.piece.len().min(CHUNK_BYTES);
        let chunk = self.piece.split_to(length);
        self.remaining_bytes -= length;
        self.progress.0.store(self.remaining_bytes, Ordering::Release);
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining_bytes as u64)
    }
}
