//! Tables of the traffic tasks that wait for decisions of the control thread.
//!
//! Invariant: each waiting task receives exactly one answer, or an error if none will come. A task
//! that was dropped leaves only an entry, which the answer removes.

use spanfold_kernel::{ClaimVerdict, Import, RefusalKind};
use std::collections::HashMap;
use std::hash::Hash;
use std::sync::{Mutex, PoisonError};
use tokio::sync::oneshot;

/// The kernel's decision on a request.
#[derive(Clone, Debug)]
pub(crate) enum Decision {
    Dispatch { endpoint: String, import: Option<Import>, priority: i8 },
    Refuse { reason: RefusalKind, retry_after_millis: u64 },
}

/// The tasks that wait for an answer, by key.
#[derive(Debug)]
pub(crate) struct WaiterTable<K, V>(Mutex<HashMap<K, oneshot::Sender<V>>>);

impl<K, V> Default for WaiterTable<K, V> {
    fn default() -> Self {
        Self(Mutex::default())
    }
}

impl<K: Eq + Hash, V> WaiterTable<K, V> {
    /// Registers a task that waits for `key`.
    pub(crate) fn register(&self, key: K) -> oneshot::Receiver<V> {
        let (sender, receiver) = oneshot::channel();
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(key, sender);
        receiver
    }

    /// Answers the task that waits for `key`; returns false if there is none.
    pub(crate) fn answer(&self, key: &K, value: V) -> bool {
        let sender = self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(key);
        sender.is_some_and(|sender| sender.send(value).is_ok())
    }
}

/// The answers that tasks wait for, by kind.
#[derive(Debug, Default)]
pub(crate) struct PendingAnswers {
    pub decisions: WaiterTable<u64, Decision>,
    pub claims: WaiterTable<u64, ClaimVerdict>,
    pub settlements: WaiterTable<u128, ()>,
}
