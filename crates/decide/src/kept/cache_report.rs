//! Report of one VM to others on the cache index of a store.

use crate::EndpointKey;
use serde::{Deserialize, Serialize};

/// Report on one store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheReport {
    /// The store.
    pub store: EndpointKey,
    /// Incarnation that the segments belong to.
    pub incarnation: u64,
    /// Number of tokens that the store contains.
    pub used_tokens: u64,
    /// Salted keys of segments, each with its number of stored tokens; zero if the segment was removed.
    pub parts: Vec<(u64, u32)>,
}
