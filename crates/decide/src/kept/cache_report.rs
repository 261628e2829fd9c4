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
    /// Tokens that it stores.
    pub used_tokens: u64,
    /// Salted keys of segments, with the tokens of each that are stored from now on.
    pub parts: Vec<(u64, u32)>,
}
