//! What waits to be told to other VMs with the next digest.

use std::sync::{Mutex, PoisonError};

/// Notes of one kind that wait at most: those beyond it are not told, so that a digest fits into a datagram.
pub(crate) const NOTES_MOST: usize = 64;

/// Notes that wait to be told.
#[derive(Debug)]
pub(crate) struct WaitingNotes<T>(Mutex<Vec<T>>);

impl<T> Default for WaitingNotes<T> {
    fn default() -> Self {
        Self(Mutex::default())
    }
}

impl<T> WaitingNotes<T> {
    /// Adds a note.
    pub(crate) fn push(&self, note: T) {
        let mut notes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if notes.len() < NOTES_MOST {
            notes.push(note);
        }
    }

    /// Takes all that wait.
    pub(crate) fn take(&self) -> Vec<T> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
