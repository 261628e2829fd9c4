//! Items of the platform's store, and events that change them.

use crate::StorePosition;
use serde::{Deserialize, Serialize};

/// One item of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreItem {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Position of its last change.
    pub position: StorePosition,
}

/// One change of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreEvent {
    /// An item was written.
    Written(StoreItem),
    /// A key was removed.
    Removed {
        /// The key.
        key: String,
        /// Position of the removal.
        position: StorePosition,
    },
}

impl StoreEvent {
    /// Returns the key that changed.
    pub fn key(&self) -> &str {
        match self {
            Self::Written(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }

    /// Returns the position of the change.
    pub const fn position(&self) -> StorePosition {
        match self {
            Self::Written(item) => item.position,
            Self::Removed { position, .. } => *position,
        }
    }

    /// Returns the approximate size of the event in bytes.
    pub fn size(&self) -> usize {
        match self {
            Self::Written(item) => item.key.len() + item.value.len(),
            Self::Removed { key, .. } => key.len(),
        }
    }
}
