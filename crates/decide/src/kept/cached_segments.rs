//! Estimate of the prompt segments in an engine's cache.
//!
//! Invariant: a segment counts only if every segment before it is estimated to be cached as well, since an
//! engine prefills from the first gap on. The estimate follows what was sent to the engine, in the order of
//! last use, and evicts what exceeds the memory that running requests leave. It may be wrong: that only ever
//! costs time, never an answer.
//!
//! An engine caches some tens of segments, and a VM keeps an estimate for each engine: a short list with
//! linear search takes a fifth of the memory of a map with an order of use, and no more time.

use crate::PromptSegment;
use crate::salted_key;

/// Segments that are estimated to be cached; the least recently used one is evicted first.
#[derive(Debug, Default)]
pub struct CachedSegments {
    tokens: u64,
    /// Salted keys and tokens, in the order of last use.
    rows: Vec<(u64, u32)>,
}

impl CachedSegments {
    /// Returns the number of leading `segments` estimated to be cached under the cache salt with digest `salt`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{CachedSegments, PromptSegment};
    /// let segments = [PromptSegment { key: 1, tokens: 100 }, PromptSegment { key: 2, tokens: 50 }];
    /// let mut cached = CachedSegments::default();
    /// cached.record(&segments[1..], 7, 1_000);
    /// assert_eq!(cached.leading(&segments, 7), 0);
    /// cached.record(&segments, 7, 1_000);
    /// assert_eq!(cached.leading(&segments, 7), 2);
    /// assert_eq!(cached.leading(&segments, 8), 0);
    /// ```
    pub fn leading(&self, segments: &[PromptSegment], salt: u64) -> usize {
        if self.rows.is_empty() {
            return 0;
        }
        let is_cached = |segment: &&PromptSegment| {
            let key = salted_key(segment.key, salt);
            self.rows.iter().any(|(cached_key, _)| *cached_key == key)
        };
        segments.iter().take_while(is_cached).count()
    }

    /// Records a use of `segments`, and evicts what exceeds `capacity_tokens`.
    pub fn record(&mut self, segments: &[PromptSegment], salt: u64, capacity_tokens: u64) {
        // Most other prompts use the first segment too, so it is marked as used last and evicted last.
        for segment in segments.iter().rev() {
            let key = salted_key(segment.key, salt);
            if let Some(index) = self.rows.iter().position(|(cached_key, _)| *cached_key == key) {
                let (_, tokens) = self.rows.remove(index);
                self.tokens -= u64::from(tokens);
            }
            self.rows.push((key, segment.tokens));
            self.tokens += u64::from(segment.tokens);
        }
        let mut evicted = 0;
        while self.tokens > capacity_tokens && evicted < self.rows.len() {
            self.tokens -= u64::from(self.rows[evicted].1);
            evicted += 1;
        }
        self.rows.drain(..evicted);
    }

    /// Discards all segments, as after a restart or a load of weights.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
