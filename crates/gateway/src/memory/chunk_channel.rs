//! Chunks of an answer on their way to a caller.
//!
//! Invariant: bytes buffered for a slow caller stay within [`MAX_WAITING_BYTES`], except for one chunk that
//! is larger. Beyond that the endpoint is blocked, and only this one, since each answer has a connection of
//! its own.
//!
//! An answer looks complete to its caller only if its sender finished it.

use super::MemoryReservation;
use crate::requests::own_answer::BrokenAnswer;
use bytes::Bytes;
use futures_core::Stream;
use hyper::body::Frame;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

/// Maximum number of chunks buffered for a caller.
const MAX_WAITING_CHUNKS: usize = 32;
/// Maximum number of bytes buffered for a caller, except for one larger chunk.
const MAX_WAITING_BYTES: usize = 64 << 10;

/// A chunk of an answer, or why it was aborted.
type Chunk = Result<Frame<Bytes>, BrokenAnswer>;

/// A buffered chunk, and its permit for the bytes that it takes.
struct WaitingChunk {
    chunk: Chunk,
    bytes: usize,
    _permit: Option<OwnedSemaphorePermit>,
}

/// Why a chunk was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChunkFault {
    /// The caller is gone.
    CallerLeft,
    /// The caller's reservation was the largest when memory ran out.
    NoMemory,
}

/// The sending half of a chunk channel.
pub(crate) struct ChunkSender {
    chunks: mpsc::Sender<WaitingChunk>,
    free_bytes: Arc<Semaphore>,
    reservation: Arc<MemoryReservation>,
    is_finished: Arc<AtomicBool>,
}

/// The chunks of one answer, as a stream that hyper reads.
pub(crate) struct ChunkStream {
    chunks: mpsc::Receiver<WaitingChunk>,
    reservation: Arc<MemoryReservation>,
    /// Whether the answer is whole; set before the sender is dropped.
    is_finished: Arc<AtomicBool>,
}

/// Creates a channel to one caller, whose buffered bytes are counted in `reservation`.
pub(crate) fn chunk_channel(reservation: MemoryReservation) -> (ChunkSender, ChunkStream) {
    let (sender, chunks) = mpsc::channel(MAX_WAITING_CHUNKS);
    let reservation = Arc::new(reservation);
    let free_bytes = Arc::new(Semaphore::new(MAX_WAITING_BYTES));
    let is_finished = Arc::new(AtomicBool::new(false));
    (
        ChunkSender {
            chunks: sender,
            free_bytes,
            reservation: Arc::clone(&reservation),
            is_finished: Arc::clone(&is_finished),
        },
        ChunkStream { chunks, reservation, is_finished },
    )
}

impl ChunkSender {
    /// Sends a chunk, once there is free space for it.
    pub(crate) async fn send(&self, content: Bytes) -> Result<(), ChunkFault> {
        let bytes = content.len();
        let permit_count = bytes.min(MAX_WAITING_BYTES) as u32;
        let permit = tokio::select! {
            biased;
            permit = Arc::clone(&self.free_bytes).acquire_many_owned(permit_count) => permit.ok(),
            () = self.chunks.closed() => return Err(ChunkFault::CallerLeft),
            () = self.reservation.wait_until_evicted() => return Err(ChunkFault::NoMemory),
        };
        self.reservation.grow(bytes);
        let waiting = WaitingChunk { chunk: Ok(Frame::data(content)), bytes, _permit: permit };
        tokio::select! {
            biased;
            sent = self.chunks.send(waiting) => sent.map_err(|_gone| ChunkFault::CallerLeft),
            () = self.reservation.wait_until_evicted() => Err(ChunkFault::NoMemory),
        }
    }

    /// Ends a whole answer. One that is not finished is aborted when its sender is dropped.
    pub(crate) fn finish(&self) {
        self.is_finished.store(true, Ordering::Release);
    }

    /// Aborts the answer. If the caller is gone, no one receives the error.
    pub(crate) async fn abort(&self, broken: BrokenAnswer) {
        let waiting = WaitingChunk { chunk: Err(broken), bytes: 0, _permit: None };
        let _ = self.chunks.send(waiting).await;
    }

    /// Returns once the caller is gone.
    pub(crate) async fn closed(&self) {
        self.chunks.closed().await;
    }
}

impl Stream for ChunkStream {
    type Item = Chunk;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Chunk>> {
        let next = ready!(self.chunks.poll_recv(context));
        Poll::Ready(match next {
            Some(waiting) => {
                self.reservation.shrink(waiting.bytes);
                Some(waiting.chunk)
            }
            None if self.is_finished.load(Ordering::Acquire) => None,
            // The task that forwards it ended early, as when the process stops.
            None => Some(Err(BrokenAnswer("its sender ended".to_owned()))),
        })
    }
}
