//! Items of the platform's store and their changes, as values.

use serde::{Deserialize, Serialize};
use std::collections::HashSet;

/// A value is large from this size on, in bytes: several of them together take a narrow link too long.
const LARGE_BYTES: usize = 4 << 10;

/// One item of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreItem {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: u64,
}

/// One change in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreEvent {
    /// An item was written.
    Written(StoreItem),
    /// A key was removed.
    Removed {
        /// The key.
        key: String,
        /// Revision of the removal.
        revision: u64,
    },
}

impl StoreEvent {
    /// The key that changed.
    pub fn key(&self) -> &str {
        match self {
            Self::Written(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }

    fn is_large(&self) -> bool {
        matches!(self, Self::Written(item) if item.value.len() >= LARGE_BYTES)
    }
}

/// Changes in order without the large values that later ones replace.
///
/// Small ones stay: of some keys each change counts, and not only the last.
///
/// # Examples
/// ```
/// use spanfold_decide::{StoreEvent, StoreItem, without_replaced};
/// let written = |revision, bytes| {
///     StoreEvent::Written(StoreItem { key: "a".into(), value: vec![0; bytes], revision })
/// };
/// let events = vec![written(1, 9_000), written(2, 5), written(3, 9_000)];
/// assert_eq!(without_replaced(events), [written(2, 5), written(3, 9_000)]);
/// ```
pub fn without_replaced(mut events: Vec<StoreEvent>) -> Vec<StoreEvent> {
    let mut later = HashSet::new();
    let mut stays: Vec<bool> =
        events.iter().rev().map(|event| later.insert(event.key()) || !event.is_large()).collect();
    events.retain(|_| stays.pop().unwrap_or(true));
    events
}
