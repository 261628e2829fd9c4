//! What one connection buffers beyond its share, as a part of the VM's memory for callers.
//!
//! Invariant: a long head is counted until it is whole, and a written answer until its caller has read it.

use crate::memory::{MemoryLimiter, MemoryReservation};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Memory of a head that a connection's share covers.
const MAX_UNCOUNTED_HEAD_BYTES: usize = 32 << 10;
/// Memory of a head that arrives, for each of its bytes: the buffer grows by doubling.
const BUFFER_FACTOR: usize = 2;
/// Bytes of a head from which on it is paced among many connections.
const MAX_UNPACED_HEAD_BYTES: usize = 4 << 10;
/// Memory of a header field beside its text: its entries in the maps of the request, of what is forwarded, and of
/// what is being sent.
pub(crate) const FIELD_BYTES: usize = 416;

/// A head that is arriving.
#[derive(Debug, Default)]
struct HeadBuffer {
    is_arriving: bool,
    text_bytes: usize,
    /// Memory that it takes, or will take when it is parsed.
    bytes: usize,
    reservation: Option<MemoryReservation>,
}

/// Buffers of one connection.
#[derive(Debug)]
pub(crate) struct ConnectionBuffers {
    memory: MemoryLimiter,
    /// Closes the connection when memory has run out and it is among the largest.
    disconnect: Arc<Notify>,
    head: Mutex<HeadBuffer>,
    write_bytes: AtomicUsize,
    write: Mutex<Option<MemoryReservation>>,
}

impl ConnectionBuffers {
    pub(crate) fn new(memory: &MemoryLimiter) -> Self {
        Self {
            memory: memory.clone(),
            disconnect: Arc::default(),
            head: Mutex::default(),
            write_bytes: AtomicUsize::new(0),
            write: Mutex::default(),
        }
    }

    pub(crate) const fn disconnect(&self) -> &Arc<Notify> {
        &self.disconnect
    }

    pub(crate) fn set_write_bytes(&self, bytes: usize) {
        self.write_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Whether nothing more should be read before others have given memory up.
    pub(crate) fn must_wait(&self) -> bool {
        self.memory.is_releasing()
    }

    /// Whether a long head is arriving.
    pub(crate) fn is_long_head(&self) -> bool {
        self.head().text_bytes >= MAX_UNPACED_HEAD_BYTES
    }

    pub(crate) fn begin_head(&self) {
        *self.head() = HeadBuffer { is_arriving: true, ..HeadBuffer::default() };
    }

    pub(crate) fn end_head(&self) {
        *self.head() = HeadBuffer::default();
    }

    /// Counts bytes that have arrived, if they belong to a head.
    pub(crate) fn record_read(&self, bytes: &[u8]) {
        let mut head = self.head();
        if !head.is_arriving {
            return;
        }
        let counted_bytes = head.bytes.max(MAX_UNCOUNTED_HEAD_BYTES);
        let fields = bytes.split(|byte| *byte == b'\n').count() - 1;
        head.text_bytes += bytes.len();
        head.bytes += bytes.len() * BUFFER_FACTOR + fields * FIELD_BYTES;
        if head.bytes > counted_bytes {
            let grown_bytes = head.bytes - counted_bytes;
            head.reservation
                .get_or_insert_with(|| self.memory.reserve_for(&self.disconnect))
                .grow(grown_bytes);
        }
    }

    /// Counts the buffer for what is written, while the caller does not read.
    pub(crate) fn hold_write(&self) {
        self.write().get_or_insert_with(|| {
            let reservation = self.memory.reserve_for(&self.disconnect);
            reservation.grow(self.write_bytes.load(Ordering::Relaxed));
            reservation
        });
    }

    pub(crate) fn release_write(&self) {
        *self.write() = None;
    }

    fn head(&self) -> MutexGuard<'_, HeadBuffer> {
        self.head.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> MutexGuard<'_, Option<MemoryReservation>> {
        self.write.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
