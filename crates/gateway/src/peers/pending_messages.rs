//! Messages that wait to be sent to other VMs with the next digest.

use std::sync::{Mutex, PoisonError};

/// Pending messages of one kind; further ones are dropped, so that a digest fits into a datagram.
pub(crate) const MAX_MESSAGES: usize = 64;

/// Messages of one kind that wait to be sent.
#[derive(Debug)]
pub(crate) struct PendingMessages<T>(Mutex<Vec<T>>);

impl<T> Default for PendingMessages<T> {
    fn default() -> Self {
        Self(Mutex::default())
    }
}

impl<T> PendingMessages<T> {
    /// Adds a message.
    pub(crate) fn push(&self, message: T) {
        let mut messages = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if messages.len() < MAX_MESSAGES {
            messages.push(message);
        }
    }

    /// Takes all pending messages.
    pub(crate) fn take(&self) -> Vec<T> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
