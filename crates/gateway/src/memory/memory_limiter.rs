//! The bound on bytes buffered for slow callers, and its reservations.

use crate::{HeldBytes, ReservationId};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// Fraction of the VM's memory for bytes buffered for callers: the process itself and the system's
/// connection buffers need the remainder.
const HELD_FRACTION: f64 = 0.25;
/// Bytes in a megabyte.
const BYTES_PER_MEGABYTE: f64 = 1_048_576.0;

/// Reservations, and the signal of each one's eviction.
#[derive(Debug)]
struct LimiterState {
    held_bytes: HeldBytes,
    evictions: HashMap<ReservationId, watch::Sender<bool>>,
}

/// All bytes buffered for callers.
#[derive(Clone, Debug)]
pub(crate) struct MemoryLimiter(Arc<Mutex<LimiterState>>);

impl MemoryLimiter {
    /// Creates a limiter for a VM with `memory_mb` megabytes.
    pub(crate) fn new(memory_mb: f64) -> Self {
        let held_bytes = HeldBytes::new((memory_mb * BYTES_PER_MEGABYTE * HELD_FRACTION) as u64);
        Self(Arc::new(Mutex::new(LimiterState { held_bytes, evictions: HashMap::new() })))
    }

    /// Creates a reservation that may be evicted until eviction is disabled.
    pub(crate) fn reserve(&self) -> MemoryReservation {
        let mut state = self.state();
        let id = state.held_bytes.begin();
        let (sender, evicted) = watch::channel(false);
        state.evictions.insert(id, sender);
        drop(state);
        MemoryReservation { limiter: self.clone(), id, evicted }
    }

    /// Returns the bytes that are reserved.
    pub(crate) fn total(&self) -> u64 {
        self.state().held_bytes.total()
    }

    /// Returns the fraction of the bound that is reserved.
    pub(crate) fn held_fraction(&self) -> f64 {
        self.state().held_bytes.fraction()
    }

    fn state(&self) -> MutexGuard<'_, LimiterState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes reserved for one caller, until it is dropped.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    limiter: MemoryLimiter,
    id: ReservationId,
    evicted: watch::Receiver<bool>,
}

impl MemoryReservation {
    /// Adds bytes. If the bound is exceeded, the largest reservations are evicted.
    pub(crate) fn grow(&self, bytes: usize) {
        let mut state = self.limiter.state();
        for evicted in state.held_bytes.grow(self.id, bytes as u64) {
            if let Some(sender) = state.evictions.remove(&evicted) {
                sender.send_replace(true);
            }
        }
    }

    /// Removes bytes.
    pub(crate) fn shrink(&self, bytes: usize) {
        self.limiter.state().held_bytes.shrink(self.id, bytes as u64);
    }

    /// Protects the reservation from eviction.
    pub(crate) fn disable_eviction(&self) {
        self.limiter.state().held_bytes.pin(self.id);
    }

    /// Whether the reservation was evicted, because it was the largest.
    pub(crate) fn is_evicted(&self) -> bool {
        *self.evicted.borrow()
    }

    /// Returns once the reservation was evicted.
    pub(crate) async fn wait_until_evicted(&self) {
        let mut evicted = self.evicted.clone();
        // The sender was dropped without a signal: the reservation can no longer be evicted, so this future
        // never completes, and futures that are awaited beside it continue.
        if evicted.wait_for(|is_evicted| *is_evicted).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        let mut state = self.limiter.state();
        state.held_bytes.release(self.id);
        state.evictions.remove(&self.id);
    }
}
