//! The body of a whole answer that is long, on its way to a caller that may read slowly.
//!
//! Invariant: its bytes are counted until the connection has taken them. The connection gets copies of parts, since
//! a part would keep the whole answer in memory.

use crate::memory::MemoryReservation;
use crate::requests::own_answer::BrokenAnswer;
use bytes::{Buf, Bytes};
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Size of a part.
const PART_BYTES: usize = 16 << 10;

/// A whole answer's body.
#[derive(Debug)]
pub(crate) struct WholeAnswer {
    remaining: Bytes,
    reservation: MemoryReservation,
}

impl WholeAnswer {
    /// Creates the body; its bytes are counted in `reservation`.
    pub(crate) fn new(bytes: Bytes, reservation: MemoryReservation) -> Self {
        reservation.grow(bytes.len());
        Self { remaining: bytes, reservation }
    }
}

impl Body for WholeAnswer {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        if self.remaining.is_empty() {
            return Poll::Ready(None);
        }
        if self.reservation.is_evicted() {
            return Poll::Ready(Some(Err(BrokenAnswer("no memory for what waits".to_owned()))));
        }
        let part = Bytes::copy_from_slice(&self.remaining[..self.remaining.len().min(PART_BYTES)]);
        self.remaining.advance(part.len());
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining.len() as u64)
    }
}
