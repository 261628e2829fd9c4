//! Pieces of an answer on their way to a caller.
//!
//! Invariant: what waits for a caller that reads slowly stays within [`BYTES_WAITING`], but for one piece that is larger;
//! beyond it the endpoint is held up, and only this one, since each answer has a connection of its own.

use super::HeldGuard;
use crate::requests::own_answer::BrokenAnswer;
use bytes::Bytes;
use futures_core::Stream;
use hyper::body::Frame;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

/// Pieces that wait for a caller.
const PIECES_WAITING: usize = 32;
/// Bytes that wait for a caller.
const BYTES_WAITING: usize = 64 << 10;

/// A piece of an answer, or why it broke off.
type Piece = Result<Frame<Bytes>, BrokenAnswer>;

/// A piece that waits, and the room that it takes.
struct WaitingPiece {
    piece: Piece,
    bytes: usize,
    _room: Option<OwnedSemaphorePermit>,
}

/// Why a piece was not handed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PieceFault {
    /// The caller is gone.
    CallerLeft,
    /// The caller had most waiting when memory ran out.
    NoMemory,
}

/// Hands pieces on.
pub(crate) struct PieceSender {
    pieces: mpsc::Sender<WaitingPiece>,
    room: Arc<Semaphore>,
    held: Arc<HeldGuard>,
}

/// The pieces of one answer, as a stream that hyper reads.
pub(crate) struct PieceStream {
    pieces: mpsc::Receiver<WaitingPiece>,
    held: Arc<HeldGuard>,
}

/// A way to one caller, whose waiting bytes `held` counts.
pub(crate) fn piece_channel(held: HeldGuard) -> (PieceSender, PieceStream) {
    let (sender, pieces) = mpsc::channel(PIECES_WAITING);
    let held = Arc::new(held);
    let room = Arc::new(Semaphore::new(BYTES_WAITING));
    (PieceSender { pieces: sender, room, held: Arc::clone(&held) }, PieceStream { pieces, held })
}

impl PieceSender {
    /// Hands a piece on, once there is room for it.
    pub(crate) async fn send(&self, content: Bytes) -> Result<(), PieceFault> {
        let bytes = content.len();
        let wanted = bytes.min(BYTES_WAITING) as u32;
        let room = tokio::select! {
            biased;
            room = Arc::clone(&self.room).acquire_many_owned(wanted) => room.ok(),
            () = self.pieces.closed() => return Err(PieceFault::CallerLeft),
            () = self.held.until_ended() => return Err(PieceFault::NoMemory),
        };
        self.held.grow(bytes);
        let waiting = WaitingPiece { piece: Ok(Frame::data(content)), bytes, _room: room };
        tokio::select! {
            biased;
            sent = self.pieces.send(waiting) => sent.map_err(|_gone| PieceFault::CallerLeft),
            () = self.held.until_ended() => Err(PieceFault::NoMemory),
        }
    }

    /// Breaks the answer off. If the caller is gone, there is nobody to tell.
    pub(crate) async fn break_off(&self, broken: BrokenAnswer) {
        let waiting = WaitingPiece { piece: Err(broken), bytes: 0, _room: None };
        let _ = self.pieces.send(waiting).await;
    }

    /// Returns once the caller is gone.
    pub(crate) async fn closed(&self) {
        self.pieces.closed().await;
    }
}

impl Stream for PieceStream {
    type Item = Piece;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Piece>> {
        let next = self.pieces.poll_recv(context);
        next.map(|waiting| {
            waiting.map(|waiting| {
                self.held.shrink(waiting.bytes);
                waiting.piece
            })
        })
    }
}
