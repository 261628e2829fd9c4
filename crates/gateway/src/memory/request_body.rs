//! The whole body of a request, in the pieces in which it arrived.
//!
//! One buffer would be moved as it grows, which takes up to three times the body's size.

use bytes::{Bytes, BytesMut};
use std::sync::Arc;

/// Size of a piece.
pub(super) const PIECE_BYTES: usize = 64 << 10;

/// A whole body; copies share its pieces.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestBody {
    pieces: Arc<[Bytes]>,
    total_bytes: usize,
}

impl RequestBody {
    pub(crate) const fn len(&self) -> usize {
        self.total_bytes
    }

    pub(crate) fn pieces(&self) -> &Arc<[Bytes]> {
        &self.pieces
    }

    /// Returns the body in one piece, which is a copy if it is long.
    pub(crate) fn joined(&self) -> Bytes {
        match &*self.pieces {
            [] => Bytes::new(),
            [piece] => piece.clone(),
            pieces => pieces.concat().into(),
        }
    }

    /// Returns the hash of the body.
    pub(crate) fn hash(&self) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new();
        for piece in &*self.pieces {
            hasher.update(piece);
        }
        hasher.finalize()
    }
}

/// A body that is arriving.
#[derive(Debug, Default)]
pub(super) struct BodyBuffer {
    pieces: Vec<Bytes>,
    current: BytesMut,
    total_bytes: usize,
}

impl BodyBuffer {
    /// Creates a buffer for a body whose length may be known.
    pub(super) fn new(declared_bytes: Option<usize>) -> Self {
        let first_bytes = declared_bytes.unwrap_or(0).min(PIECE_BYTES);
        Self { current: BytesMut::with_capacity(first_bytes), ..Self::default() }
    }

    pub(super) const fn len(&self) -> usize {
        self.total_bytes
    }

    /// Returns the memory that it takes, with the rest of its last piece.
    pub(super) fn held_bytes(&self) -> usize {
        let rest_bytes =
            if self.pieces.is_empty() { 0 } else { self.current.capacity() - self.current.len() };
        self.total_bytes + rest_bytes
    }

    pub(super) fn push(&mut self, mut chunk: &[u8]) {
        self.total_bytes += chunk.len();
        while !chunk.is_empty() {
            if self.current.len() == PIECE_BYTES {
                let full = std::mem::replace(&mut self.current, BytesMut::with_capacity(PIECE_BYTES));
                self.pieces.push(full.freeze());
            }
            let (part, rest) = chunk.split_at(chunk.len().min(PIECE_BYTES - self.current.len()));
            self.current.extend_from_slice(part);
            chunk = rest;
        }
    }

    pub(super) fn finish(mut self) -> RequestBody {
        if !self.current.is_empty() {
            self.pieces.push(self.current.freeze());
        }
        RequestBody { pieces: self.pieces.into(), total_bytes: self.total_bytes }
    }
}
