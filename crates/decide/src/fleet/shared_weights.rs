//! Interned weight sets of endpoints.
//!
//! Thousands of engines have the same few weight sets. A map of its own for each engine takes more memory
//! than all its other state.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Weight sets retained for sharing: a version and the next one, of some models.
const MAX_SHARED_SETS: usize = 8;

/// The weight sets that endpoints had last.
#[derive(Debug, Default)]
pub(crate) struct SharedWeights(Vec<Arc<BTreeMap<String, u64>>>);

impl SharedWeights {
    /// Returns the retained set that equals `weights`, or retains `weights` itself.
    pub(crate) fn intern(&mut self, weights: Arc<BTreeMap<String, u64>>) -> Arc<BTreeMap<String, u64>> {
        if let Some(retained) = self.0.iter().find(|retained| **retained == weights) {
            return Arc::clone(retained);
        }
        if self.0.len() >= MAX_SHARED_SETS {
            self.0.remove(0);
        }
        self.0.push(Arc::clone(&weights));
        weights
    }
}
