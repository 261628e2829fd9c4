//! The bound on bytes buffered for callers, and its reservations.
//!
//! A request for much memory waits a short time for it before the largest reservation is evicted, which may be
//! the request's own.

use crate::{HeldBytes, ReservationId};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// Megabytes for the process itself, with its tables and the allocator's own needs; half of a VM that has less
/// than twice as much.
const PROCESS_MEGABYTES: f64 = 32.0;
/// Fraction of the other memory for bytes buffered for callers. Connections have the same, and the remainder is
/// for what the allocator does not return at once.
const CALLER_FRACTION: f64 = 0.3;
/// Fraction of the limit that may be evicted and still in use while more is read.
const MAX_EVICTED_FRACTION: f64 = 0.25;
/// Time that a request waits for memory, in milliseconds: most bodies are sent on within it.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// Bytes in a megabyte.
const BYTES_PER_MEGABYTE: f64 = 1_048_576.0;

/// Signals of one reservation's eviction.
#[derive(Debug)]
struct EvictionSignal {
    evicted: watch::Sender<bool>,
    /// Closes the caller's connection; none if the reservation's owner ends the request.
    disconnect: Option<Arc<Notify>>,
}

/// Reservations, and the signal of each one's eviction.
#[derive(Debug)]
struct LimiterState {
    held_bytes: HeldBytes,
    /// The part of them that requests take beside their bodies and answers.
    request_bytes: u64,
    evictions: HashMap<ReservationId, EvictionSignal>,
}

impl LimiterState {
    /// Tells the owners of evicted reservations.
    fn signal(&mut self, evicted: &[ReservationId]) {
        for id in evicted {
            if let Some(signal) = self.evictions.remove(id) {
                signal.evicted.send_replace(true);
                if let Some(disconnect) = signal.disconnect {
                    disconnect.notify_one();
                }
            }
        }
    }
}

#[derive(Debug)]
struct LimiterShare {
    state: Mutex<LimiterState>,
    /// Held by the request that is the next to get memory.
    turn: tokio::sync::Mutex<()>,
    /// Wakes that request.
    released: Notify,
}

/// Returns the bytes for callers' requests at a VM with `memory_mb` megabytes, and as many for their connections.
pub(crate) fn caller_bytes(memory_mb: f64) -> u64 {
    let process_mb = PROCESS_MEGABYTES.min(memory_mb / 2.0);
    ((memory_mb - process_mb) * CALLER_FRACTION * BYTES_PER_MEGABYTE) as u64
}

/// All bytes buffered for callers.
#[derive(Clone, Debug)]
pub(crate) struct MemoryLimiter(Arc<LimiterShare>);

impl MemoryLimiter {
    /// Creates a limiter for a VM with `memory_mb` megabytes.
    pub(crate) fn new(memory_mb: f64) -> Self {
        let held_bytes = HeldBytes::new(caller_bytes(memory_mb));
        let state = Mutex::new(LimiterState { held_bytes, request_bytes: 0, evictions: HashMap::new() });
        Self(Arc::new(LimiterShare { state, turn: tokio::sync::Mutex::default(), released: Notify::new() }))
    }

    /// Creates a reservation that may be evicted until eviction is disabled.
    pub(crate) fn reserve(&self) -> MemoryReservation {
        self.reserve_with(None)
    }

    /// Creates a reservation whose eviction closes a caller's connection.
    pub(crate) fn reserve_for(&self, disconnect: &Arc<Notify>) -> MemoryReservation {
        self.reserve_with(Some(Arc::clone(disconnect)))
    }

    fn reserve_with(&self, disconnect: Option<Arc<Notify>>) -> MemoryReservation {
        let mut state = self.state();
        let id = state.held_bytes.begin();
        let (sender, evicted) = watch::channel(false);
        state.evictions.insert(id, EvictionSignal { evicted: sender, disconnect });
        drop(state);
        MemoryReservation { limiter: self.clone(), id, evicted, request_bytes: AtomicU64::new(0) }
    }

    /// Returns the bytes that are reserved for bodies and answers.
    pub(crate) fn total(&self) -> u64 {
        let state = self.state();
        state.held_bytes.total().saturating_sub(state.request_bytes)
    }

    /// Returns the fraction of the bound that is reserved.
    pub(crate) fn held_fraction(&self) -> f64 {
        self.state().held_bytes.fraction()
    }

    /// Whether so much is evicted and still in use that nothing more should be read.
    pub(crate) fn is_releasing(&self) -> bool {
        self.state().held_bytes.evicted_fraction() > MAX_EVICTED_FRACTION
    }

    fn state(&self) -> MutexGuard<'_, LimiterState> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes reserved for one caller, until it is dropped.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    limiter: MemoryLimiter,
    id: ReservationId,
    evicted: watch::Receiver<bool>,
    request_bytes: AtomicU64,
}

impl MemoryReservation {
    /// Adds what a request takes beside its body. If the bound is exceeded, the largest reservations are evicted.
    pub(crate) fn grow_request(&self, bytes: usize) {
        self.request_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.limiter.state().request_bytes += bytes as u64;
        self.grow(bytes);
    }

    /// Adds bytes. If the bound is exceeded, the largest reservations are evicted.
    pub(crate) fn grow(&self, bytes: usize) {
        let mut state = self.limiter.state();
        let evicted = state.held_bytes.grow(self.id, bytes as u64);
        state.signal(&evicted);
    }

    /// Adds bytes once there is room for them, or at the cost of the largest reservation; returns whether this
    /// one remains.
    pub(crate) async fn acquire(&self, bytes: usize) -> bool {
        // The time is over, or there is room: both are found below.
        let _ = tokio::time::timeout(MAX_WAIT, self.wait_for_room(bytes)).await;
        if self.is_evicted() {
            return false;
        }
        let mut state = self.limiter.state();
        let Some(evicted) = state.held_bytes.grow_beside(self.id, bytes as u64) else { return false };
        state.signal(&evicted);
        true
    }

    async fn wait_for_room(&self, bytes: usize) {
        let has_room = || self.limiter.state().held_bytes.has_room(bytes as u64);
        if has_room() {
            return;
        }
        let _turn = self.limiter.0.turn.lock().await;
        while !has_room() {
            self.limiter.0.released.notified().await;
        }
    }

    /// Removes bytes.
    pub(crate) fn shrink(&self, bytes: usize) {
        self.limiter.state().held_bytes.shrink(self.id, bytes as u64);
        self.limiter.0.released.notify_one();
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
        state.request_bytes -= self.request_bytes.load(Ordering::Relaxed);
        drop(state);
        self.limiter.0.released.notify_one();
    }
}
