//! What one VM tells others of a store's book.

use crate::EndpointKey;
use serde::{Deserialize, Serialize};

/// What is told of one store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheReport {
    /// The store.
    pub store: EndpointKey,
    /// Incarnation that the parts belong to.
    pub incarnation: u64,
    /// Tokens that it holds.
    pub used_tokens: u64,
    /// Parts under their text, and the tokens that are held of them from now on.
    pub parts: Vec<(u64, u32)>,
}
