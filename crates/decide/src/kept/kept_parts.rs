//! Which prompt parts an engine is believed to keep.
//!
//! Invariant: a part counts only if every part before it is believed kept as well, since an engine
//! reads on from the first gap. The belief follows what was sent there, in the order of last use,
//! and forgets beyond the room that running requests leave. It may be wrong: it only ever costs
//! time, never an answer.

use crate::PromptPart;
use crate::salted_key;
use std::collections::{BTreeMap, HashMap};

/// Parts believed kept, with the least recently used one first to go.
#[derive(Debug, Default)]
pub struct KeptParts {
    tokens: u64,
    last_use: u64,
    rows: HashMap<u64, (u64, u32)>,
    by_use: BTreeMap<u64, u64>,
}

impl KeptParts {
    /// Leading `parts` that are believed kept under the text with the digest `salt`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{KeptParts, PromptPart};
    /// let parts = [PromptPart { key: 1, tokens: 100 }, PromptPart { key: 2, tokens: 50 }];
    /// let mut kept = KeptParts::default();
    /// kept.note(&parts[1..], 7, 1_000);
    /// assert_eq!(kept.leading(&parts, 7), 0);
    /// kept.note(&parts, 7, 1_000);
    /// assert_eq!(kept.leading(&parts, 7), 2);
    /// assert_eq!(kept.leading(&parts, 8), 0);
    /// ```
    pub fn leading(&self, parts: &[PromptPart], salt: u64) -> usize {
        parts.iter().take_while(|part| self.rows.contains_key(&salted_key(part.key, salt))).count()
    }

    /// Notes that `parts` were just used, and forgets what exceeds `room` tokens.
    pub fn note(&mut self, parts: &[PromptPart], salt: u64, room: u64) {
        // The first part is used by most others: it is marked last, so that it goes last.
        for part in parts.iter().rev() {
            let key = salted_key(part.key, salt);
            self.last_use += 1;
            if let Some((used, tokens)) = self.rows.insert(key, (self.last_use, part.tokens)) {
                self.by_use.remove(&used);
                self.tokens -= u64::from(tokens);
            }
            self.by_use.insert(self.last_use, key);
            self.tokens += u64::from(part.tokens);
        }
        while self.tokens > room {
            let Some((_, key)) = self.by_use.pop_first() else { break };
            if let Some((_, tokens)) = self.rows.remove(&key) {
                self.tokens -= u64::from(tokens);
            }
        }
    }

    /// Forgets everything, as after a restart or a load of weights.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
