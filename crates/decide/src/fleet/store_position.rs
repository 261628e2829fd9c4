//! Positions in the history of a store that may be restored from a backup.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Low bits of a fencing token for the revision; the era uses the bits above.
///
/// A store with 1,200 writes a second needs 29 years to exhaust them. For 8,000 eras, the token stays within
/// the integers that a JSON number represents exactly.
const REVISION_BITS: u32 = 40;

/// A position in a store's history: era, then revision.
///
/// A store that is restored from a backup issues the revisions after the backup's a second time, and raises
/// its era. So a revision identifies a state of the store only together with the era.
///
/// # Examples
/// ```
/// use spanfold_decide::StorePosition;
/// let before = StorePosition { era: 1, revision: 900 };
/// let restored = StorePosition { era: 2, revision: 870 };
/// assert!(restored > before && restored.fencing() > before.fencing());
/// assert_eq!(restored.to_string(), "2:870");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StorePosition {
    /// Number of times that the store was restored from a backup.
    pub era: u64,
    /// Number of changes to the store.
    pub revision: u64,
}

impl StorePosition {
    /// Returns the position as a fencing token; later positions have larger tokens.
    pub const fn fencing(self) -> u64 {
        (self.era << REVISION_BITS) | self.revision
    }

    /// Returns the position that a fencing token encodes.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::StorePosition;
    /// let at = StorePosition { era: 3, revision: 900 };
    /// assert_eq!(StorePosition::of_fencing(at.fencing()), at);
    /// ```
    pub const fn of_fencing(token: u64) -> Self {
        Self { era: token >> REVISION_BITS, revision: token & ((1 << REVISION_BITS) - 1) }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.era, self.revision)
    }
}
