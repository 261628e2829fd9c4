//! Items of the platform's store and their changes, as values.

use crate::StorePosition;
use serde::{Deserialize, Serialize};

/// One item of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreItem {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// When it changed last.
    pub position: StorePosition,
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
        /// When it was removed.
        position: StorePosition,
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

    /// When it changed.
    pub const fn position(&self) -> StorePosition {
        match self {
            Self::Written(item) => item.position,
            Self::Removed { position, .. } => *position,
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
