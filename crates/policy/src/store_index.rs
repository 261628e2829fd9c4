//! Indexes which prompt blocks each cache store contains.
//!
//! Invariant: the index is only a hint. It is rebuilt from the stores' listings, and a block that is
//! indexed but no longer stored costs a recomputation, never a wrong answer, because the engine
//! verifies what it imports. Eviction prefers blocks with little reuse for their age, and the deepest
//! blocks of a prompt first, because a block is useless without its predecessors.

use spanfold_entity::{MICROS_PER_SECOND, Moment};
use std::collections::HashMap;

/// Age at which a never reused block has half its initial value.
const HALF_VALUE_AGE_SECONDS: f64 = 60.0;

/// One block of a prompt in a store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoredBlock {
    /// When a prompt last requested it.
    pub last_requested_at: Moment,
    /// How often it was requested since it was stored.
    pub reuses: u32,
    /// Its index in its prompt.
    pub depth: u32,
}

/// Stored blocks of one pool, by store.
#[derive(Clone, Debug, Default)]
pub struct StoreIndex {
    stores: HashMap<String, HashMap<u64, StoredBlock>>,
}

impl StoreIndex {
    /// Records that `store` contains `key`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_entity::Moment;
    /// use spanfold_policy::StoreIndex;
    /// let mut index = StoreIndex::default();
    /// index.insert("s", 1, 0, Moment(0));
    /// index.insert("s", 2, 1, Moment(0));
    /// assert_eq!(index.longest_run(&[1, 2, 3], |_| true), Some(("s".to_owned(), 2)));
    /// assert_eq!(index.eviction_victims("s", 1, Moment(0)), [2]);
    /// ```
    pub fn insert(&mut self, store: &str, key: u64, depth: u32, now: Moment) {
        let blocks = self.stores.entry(store.to_owned()).or_default();
        blocks.entry(key).or_insert(StoredBlock { last_requested_at: now, reuses: 0, depth });
    }

    /// Records that `store` no longer contains `key`.
    pub fn remove(&mut self, store: &str, key: u64) {
        if let Some(blocks) = self.stores.get_mut(store) {
            blocks.remove(&key);
        }
    }

    /// Discards all entries of `store`.
    pub fn clear(&mut self, store: &str) {
        self.stores.remove(store);
    }

    /// Whether any store contains `key`.
    pub fn contains(&self, key: u64) -> bool {
        self.stores.values().any(|blocks| blocks.contains_key(&key))
    }

    /// Returns the usable store with the longest run from the start of `keys`.
    ///
    /// The number is the run's length.
    pub fn longest_run(&self, keys: &[u64], usable: impl Fn(&str) -> bool) -> Option<(String, u32)> {
        self.stores
            .iter()
            .filter(|(store, _)| usable(store))
            .map(|(store, blocks)| (keys.iter().take_while(|key| blocks.contains_key(key)).count(), store))
            .filter(|(run, _)| *run > 0)
            .max()
            .map(|(run, store)| (store.clone(), run as u32))
    }

    /// Records that a prompt with `keys` was requested.
    pub fn touch(&mut self, keys: &[u64], now: Moment) {
        for blocks in self.stores.values_mut() {
            for (depth, key) in keys.iter().enumerate() {
                if let Some(block) = blocks.get_mut(key) {
                    block.last_requested_at = now;
                    block.reuses = block.reuses.saturating_add(1);
                    block.depth = depth as u32;
                }
            }
        }
    }

    /// Returns the `count` blocks of `store` with the lowest retention value.
    pub fn eviction_victims(&self, store: &str, count: usize, now: Moment) -> Vec<u64> {
        let Some(blocks) = self.stores.get(store) else { return Vec::new() };
        let mut by_value: Vec<_> =
            blocks.iter().map(|(key, block)| (retention_value(block, now), *key)).collect();
        by_value.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
        by_value.into_iter().take(count).map(|(_, key)| key).collect()
    }

    /// Returns the number of stored blocks.
    pub fn len(&self) -> usize {
        self.stores.values().map(HashMap::len).sum()
    }

    /// Whether no block is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn retention_value(block: &StoredBlock, now: Moment) -> f64 {
    let age = now.micros_since(block.last_requested_at) as f64 / MICROS_PER_SECOND as f64;
    let reuse = f64::from(block.reuses) + 1.0;
    let depth_discount = 1.0 / (1.0 + f64::from(block.depth) * 0.01);
    reuse * depth_discount * HALF_VALUE_AGE_SECONDS / (HALF_VALUE_AGE_SECONDS + age)
}
