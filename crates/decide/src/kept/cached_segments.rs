//! Which prompt parts an engine is believed to keep.
//!
//! Invariant: a part counts only if every part before it is believed kept as well, since an engine
//! reads on from the first gap. The belief follows what was sent there, in the order of last use,
//! and forgets beyond the room that running requests leave. It may be wrong: it only ever costs
//! time, never an answer.
//!
//! An engine keeps some tens of parts and a VM believes something of each engine: a short list that is searched through
//! takes a fifth of the memory of a map and its order, and no more time.

use crate::PromptSegment;
use crate::salted_key;

/// Parts believed kept, with the least recently used one first to go.
#[derive(Debug, Default)]
pub struct KeptParts {
    tokens: u64,
    /// Salted keys and tokens; the part used last comes last.
    rows: Vec<(u64, u32)>,
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
    pub fn leading(&self, parts: &[PromptSegment], salt: u64) -> usize {
        if self.rows.is_empty() {
            return 0;
        }
        let is_kept = |part: &&PromptSegment| {
            let key = salted_key(part.key, salt);
            self.rows.iter().any(|(other, _)| *other == key)
        };
        parts.iter().take_while(is_kept).count()
    }

    /// Notes that `parts` were just used, and forgets what exceeds `room` tokens.
    pub fn note(&mut self, parts: &[PromptSegment], salt: u64, room: u64) {
        // The first part is used by most others: it is marked last, so that it goes last.
        for part in parts.iter().rev() {
            let key = salted_key(part.key, salt);
            if let Some(place) = self.rows.iter().position(|(other, _)| *other == key) {
                let (_, tokens) = self.rows.remove(place);
                self.tokens -= u64::from(tokens);
            }
            self.rows.push((key, part.tokens));
            self.tokens += u64::from(part.tokens);
        }
        let mut gone = 0;
        while self.tokens > room && gone < self.rows.len() {
            self.tokens -= u64::from(self.rows[gone].1);
            gone += 1;
        }
        self.rows.drain(..gone);
    }

    /// Forgets everything, as after a restart or a load of weights.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
