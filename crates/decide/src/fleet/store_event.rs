//! Items of the platform's store and their changes, as values.

use serde::{Deserialize, Serialize};

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

    /// The revision of the change.
    pub const fn revision(&self) -> u64 {
        match self {
            Self::Written(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }

    /// About how many bytes the change takes.
    pub fn size(&self) -> usize {
        match self {
            Self::Written(item) => item.key.len() + item.value.len(),
            Self::Removed { key, .. } => key.len(),
        }
    }
}
