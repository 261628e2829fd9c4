//! The prompts that wait at this VM in order, and how they wake one another.

use crate::PromptQueue;
use crate::gateway::Gateway;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Waiting prompts, and those that sleep between two polls.
#[derive(Debug, Default)]
pub(crate) struct PromptWaits {
    queue: Mutex<PromptQueue>,
    sleeping: Mutex<BTreeMap<u64, Arc<Notify>>>,
}

impl PromptWaits {
    /// Locks the waiting prompts; the lock is not held across an await.
    pub(crate) fn queue(&self) -> MutexGuard<'_, PromptQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes a sleeping prompt poll now.
    ///
    /// Polls are rarer the more prompts wait. The first prompt therefore does not depend on its own polls
    /// alone: each prompt that finds capacity for it wakes it.
    pub(crate) fn wake(&self, number: u64) {
        if let Some(notify) = self.sleeping().get(&number) {
            notify.notify_one();
        }
    }

    fn sleeping(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Notify>>> {
        self.sleeping.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A prompt that sleeps between two polls, until it is dropped.
#[derive(Debug)]
pub(crate) struct SleepingPrompt {
    gateway: Arc<Gateway>,
    number: u64,
    notify: Arc<Notify>,
}

impl SleepingPrompt {
    pub(crate) fn new(gateway: &Arc<Gateway>, number: u64) -> Self {
        let notify = Arc::new(Notify::new());
        gateway.prompt_waits.sleeping().insert(number, Arc::clone(&notify));
        Self { gateway: Arc::clone(gateway), number, notify }
    }

    /// Waits until another prompt wakes this one.
    pub(crate) async fn woken(&self) {
        self.notify.notified().await;
    }
}

impl Drop for SleepingPrompt {
    fn drop(&mut self) {
        self.gateway.prompt_waits.sleeping().remove(&self.number);
    }
}
