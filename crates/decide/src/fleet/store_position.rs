//! Points in the history of a store that may be restored from a copy.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Bits that a revision has in a fencing token; eras stand above them. A store that writes 1,200 times a second needs 29
/// years to use them up, and the token stays below what a JSON number holds exactly for 8,000 eras.
const REVISION_BITS: u32 = 40;

/// A point in a store's history, in the order of time.
///
/// A store that is restored from a copy gives out its revisions anew, from the copy's on, and says so by a higher era: a
/// revision alone does not tell what it is a revision of.
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
    /// How often the store has been restored.
    pub era: u64,
    /// Its count of changes.
    pub revision: u64,
}

impl StorePosition {
    /// A number that rises with positions, for those who compare fencing tokens.
    pub const fn fencing(self) -> u64 {
        (self.era << REVISION_BITS) | self.revision
    }

    /// The position that a fencing token was made of.
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
