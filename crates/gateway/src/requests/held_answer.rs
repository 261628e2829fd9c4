//! Counts the bytes of an answer that are read and not passed on yet.
//!
//! Invariant: bytes beyond [`MIN_COUNTED_BYTES`] are counted towards the VM's bound on buffered bytes. Most answers
//! stay below it, and need no reservation.

use crate::memory::{MemoryLimiter, MemoryReservation};

/// Bytes up to which an answer is not counted.
const MIN_COUNTED_BYTES: usize = 16 << 10;

/// The buffered bytes of one answer.
#[derive(Debug)]
pub(crate) struct HeldAnswer {
    memory: MemoryLimiter,
    reservation: Option<MemoryReservation>,
    counted_bytes: usize,
}

impl HeldAnswer {
    pub(crate) fn new(memory: &MemoryLimiter) -> Self {
        Self { memory: memory.clone(), reservation: None, counted_bytes: 0 }
    }

    /// Records that `bytes` are buffered; returns whether memory ran out and these are among the largest.
    pub(crate) fn is_evicted(&mut self, bytes: usize) -> bool {
        if bytes < MIN_COUNTED_BYTES {
            self.reservation = None;
            self.counted_bytes = 0;
            return false;
        }
        let reservation = self.reservation.get_or_insert_with(|| self.memory.reserve());
        if bytes > self.counted_bytes {
            reservation.grow(bytes - self.counted_bytes);
        } else {
            reservation.shrink(self.counted_bytes - bytes);
        }
        self.counted_bytes = bytes;
        reservation.is_evicted()
    }
}
