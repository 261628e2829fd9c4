//! The bound on what is held, and those that hold it.

use crate::{HeldBytes, ReservationId};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// Part of the VM's memory that bytes held for callers may take: the rest is for the process itself and for what the
/// system holds of connections.
const HELD_PART: f64 = 0.25;
/// Bytes in a megabyte.
const MEGABYTE: f64 = 1_048_576.0;

/// Holders, and how each learns of its end.
#[derive(Debug)]
struct DeskState {
    held: HeldBytes,
    ends: HashMap<ReservationId, watch::Sender<bool>>,
}

/// All bytes held.
#[derive(Clone, Debug)]
pub(crate) struct MemoryDesk(Arc<Mutex<DeskState>>);

impl MemoryDesk {
    /// No bytes, at a VM of so many megabytes.
    pub(crate) fn new(memory_mb: f64) -> Self {
        let held = HeldBytes::new((memory_mb * MEGABYTE * HELD_PART) as u64);
        Self(Arc::new(Mutex::new(DeskState { held, ends: HashMap::new() })))
    }

    /// A new holder, which may be ended until it is settled.
    pub(crate) fn begin(&self) -> HeldGuard {
        let mut state = self.state();
        let id = state.held.begin();
        let (sender, ended) = watch::channel(false);
        state.ends.insert(id, sender);
        drop(state);
        HeldGuard { desk: self.clone(), id, ended }
    }

    /// Bytes that are held.
    pub(crate) fn total(&self) -> u64 {
        self.state().held.total()
    }

    fn state(&self) -> MutexGuard<'_, DeskState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes held for one caller, until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldGuard {
    desk: MemoryDesk,
    id: ReservationId,
    ended: watch::Receiver<bool>,
}

impl HeldGuard {
    /// Holds so many bytes more. Those that hold most are ended if that is too much.
    pub(crate) fn grow(&self, bytes: usize) {
        let mut state = self.desk.state();
        for ended in state.held.grow(self.id, bytes as u64) {
            if let Some(sender) = state.ends.remove(&ended) {
                sender.send_replace(true);
            }
        }
    }

    /// Holds so many bytes less.
    pub(crate) fn shrink(&self, bytes: usize) {
        self.desk.state().held.shrink(self.id, bytes as u64);
    }

    /// Is not ended any more.
    pub(crate) fn settle(&self) {
        self.desk.state().held.settle(self.id);
    }

    /// Whether it was ended, because it held most.
    pub(crate) fn is_ended(&self) -> bool {
        *self.ended.borrow()
    }

    /// Returns once it was ended.
    pub(crate) async fn until_ended(&self) {
        let mut ended = self.ended.clone();
        // Without a sender it was ended or nobody can end it any more: what is awaited beside this goes on.
        if ended.wait_for(|ended| *ended).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for HeldGuard {
    fn drop(&mut self) {
        let mut state = self.desk.state();
        state.held.end(self.id);
        state.ends.remove(&self.id);
    }
}
