//! The newest era of the store: a store that is restored from a backup begins a new one.
//!
//! Invariant: the recorded era never decreases.

use std::sync::{Mutex, PoisonError};

/// The newest era that was reported; none before the first answer.
#[derive(Debug, Default)]
pub(crate) struct StoreEra(Mutex<Option<u64>>);

impl StoreEra {
    /// Returns the newest era that was reported.
    pub(crate) fn known(&self) -> Option<u64> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an era; returns whether it follows an earlier one.
    pub(crate) fn record(&self, era: u64) -> bool {
        let mut newest = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_newer = newest.is_some_and(|newest| newest < era);
        *newest = Some(newest.map_or(era, |newest| newest.max(era)));
        is_newer
    }
}
