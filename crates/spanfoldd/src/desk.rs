//! Where traffic tasks wait for what the control thread decides.
//!
//! Invariant: each waiting task hears exactly one answer or that there will be none; a task that
//! has gone away leaves nothing behind but an entry that the answer removes.

use spanfold_kernel::{ClaimVerdict, Import, RefusalKind};
use std::collections::HashMap;
use std::hash::Hash;
use std::sync::{Mutex, PoisonError};
use tokio::sync::oneshot;

/// What the kernel decided for a request.
#[derive(Clone, Debug)]
pub(crate) enum Decision {
    Dispatch { endpoint: String, import: Option<Import>, priority: i8 },
    Refuse { reason: RefusalKind, retry_after_millis: u64 },
}

/// Tasks that wait for an answer, by key.
#[derive(Debug)]
pub(crate) struct WaitingTable<K, V>(Mutex<HashMap<K, oneshot::Sender<V>>>);

impl<K, V> Default for WaitingTable<K, V> {
    fn default() -> Self {
        Self(Mutex::default())
    }
}

impl<K: Eq + Hash, V> WaitingTable<K, V> {
    /// Begins to wait for `key`.
    pub(crate) fn wait(&self, key: K) -> oneshot::Receiver<V> {
        let (sender, receiver) = oneshot::channel();
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(key, sender);
        receiver
    }

    /// Answers the task that waits for `key`; false if there is none.
    pub(crate) fn answer(&self, key: &K, value: V) -> bool {
        let sender = self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(key);
        sender.is_some_and(|sender| sender.send(value).is_ok())
    }
}

/// All that tasks wait for.
#[derive(Debug, Default)]
pub(crate) struct RequestDesk {
    pub decisions: WaitingTable<u64, Decision>,
    pub claims: WaitingTable<u64, ClaimVerdict>,
    pub settlements: WaitingTable<u128, ()>,
}
