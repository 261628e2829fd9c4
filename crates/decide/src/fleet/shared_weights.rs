//! Weights of endpoints, each set of them kept once.
//!
//! Pattern: thousands of engines have the same few sets of weights. A map for each of them takes more memory than all else
//! that is known of an engine.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Sets that are kept to be shared: a version and the next one, of some models.
const SETS_MOST: usize = 8;

/// The sets of weights that endpoints had last.
#[derive(Debug, Default)]
pub(crate) struct SharedWeights(Vec<Arc<BTreeMap<String, u64>>>);

impl SharedWeights {
    /// The same weights, in the copy that others have.
    pub(crate) fn share(&mut self, weights: Arc<BTreeMap<String, u64>>) -> Arc<BTreeMap<String, u64>> {
        if let Some(known) = self.0.iter().find(|known| **known == weights) {
            return Arc::clone(known);
        }
        if self.0.len() >= SETS_MOST {
            self.0.remove(0);
        }
        self.0.push(Arc::clone(&weights));
        weights
    }
}
