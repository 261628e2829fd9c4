//! The newest era of the store that this VM knows: a store that is restored from a copy begins a new one.
//!
//! Invariant: what is known never falls.

use std::sync::{Mutex, PoisonError};

/// The newest era that was told; none before the first answer.
#[derive(Debug, Default)]
pub(crate) struct StoreEra(Mutex<Option<u64>>);

impl StoreEra {
    /// The newest era that was told.
    pub(crate) fn known(&self) -> Option<u64> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an era; whether it follows one that was known before.
    pub(crate) fn raise(&self, era: u64) -> bool {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let has_risen = known.is_some_and(|known| known < era);
        *known = Some(known.map_or(era, |known| known.max(era)));
        has_risen
    }
}
