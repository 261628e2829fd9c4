//! Counts the bytes of an answer that are read and not passed on yet.
//!
//! Invariant: bytes beyond [`MIN_COUNTED_BYTES`] are counted towards the VM's bound on buffered bytes. Most answers
//! stay below it, and need no reservation.

use crate::memory::{MemoryLimiter, MemoryReservation};

/// Bytes up to which an answer is not counted.
const MIN_COUNTED_BYTES: usize = 16 << 10;

/// Answers up to this size are read whole before they are forwarded, so that a broken one can be reported
/// or its request repeated. Longer ones are forwarded as they arrive.
const MAX_BUFFERED_ANSWER_BYTES: usize = 1 << 20;
/// The same while much of the VM's memory is in use.
const MAX_SHORT_ANSWER_BYTES: usize = 64 << 10;
/// Fraction of the memory for callers from which on much is in use.
const MAX_HELD_FRACTION: f64 = 0.25;

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

    /// Returns the size up to which an answer is read whole before it is passed on.
    pub(crate) fn max_whole_bytes(&self) -> usize {
        if self.memory.held_fraction() > MAX_HELD_FRACTION {
            MAX_SHORT_ANSWER_BYTES
        } else {
            MAX_BUFFERED_ANSWER_BYTES
        }
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
