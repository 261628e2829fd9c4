//! Which pieces of which prompts lie in which store.
//!
//! Invariant: the index is soft. It is rebuilt from the stores' listings, and a piece that is
//! indexed but gone costs a recomputation, never a wrong answer: the engine checks what it
//! imports. What to free is decided by reuse for age, the deepest pieces of a prompt first,
//! because a piece without its predecessors is worth nothing.

use spanfold_entity::{MICROS_PER_SECOND, Moment};
use std::collections::HashMap;

/// Age at which a piece that was never reused is worth half of a fresh one, in seconds.
const HALF_WORTH_SECONDS: f64 = 60.0;

/// One kept piece.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeptPiece {
    /// When it was last wanted.
    pub wanted_at: Moment,
    /// How often it was wanted since it was kept.
    pub hits: u32,
    /// Its number in its prompt.
    pub depth: u32,
}

/// Kept pieces of one pool, by store.
#[derive(Clone, Debug, Default)]
pub struct KeptIndex {
    stores: HashMap<String, HashMap<u64, KeptPiece>>,
}

impl KeptIndex {
    /// Notes that `store` holds `key`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_entity::Moment;
    /// use spanfold_policy::KeptIndex;
    /// let mut index = KeptIndex::default();
    /// index.insert("s", 1, 0, Moment(0));
    /// index.insert("s", 2, 1, Moment(0));
    /// assert_eq!(index.longest(&[1, 2, 3], |_| true), Some(("s".to_owned(), 2)));
    /// assert_eq!(index.victims("s", 1, Moment(0)), [2]);
    /// ```
    pub fn insert(&mut self, store: &str, key: u64, depth: u32, now: Moment) {
        let pieces = self.stores.entry(store.to_owned()).or_default();
        pieces.entry(key).or_insert(KeptPiece { wanted_at: now, hits: 0, depth });
    }

    /// Notes that `store` no longer holds `key`.
    pub fn remove(&mut self, store: &str, key: u64) {
        if let Some(pieces) = self.stores.get_mut(store) {
            pieces.remove(&key);
        }
    }

    /// Forgets all that `store` holds.
    pub fn clear(&mut self, store: &str) {
        self.stores.remove(store);
    }

    /// Whether any usable store holds `key`.
    pub fn holds(&self, key: u64) -> bool {
        self.stores.values().any(|pieces| pieces.contains_key(&key))
    }

    /// The usable store that holds the longest run from the start of `keys`, and the run's length.
    pub fn longest(&self, keys: &[u64], usable: impl Fn(&str) -> bool) -> Option<(String, u32)> {
        self.stores
            .iter()
            .filter(|(store, _)| usable(store))
            .map(|(store, pieces)| (keys.iter().take_while(|key| pieces.contains_key(key)).count(), store))
            .filter(|(run, _)| *run > 0)
            .max()
            .map(|(run, store)| (store.clone(), run as u32))
    }

    /// Notes that a prompt with `keys` was wanted.
    pub fn touch(&mut self, keys: &[u64], now: Moment) {
        for pieces in self.stores.values_mut() {
            for (depth, key) in keys.iter().enumerate() {
                if let Some(piece) = pieces.get_mut(key) {
                    piece.wanted_at = now;
                    piece.hits = piece.hits.saturating_add(1);
                    piece.depth = depth as u32;
                }
            }
        }
    }

    /// The `count` pieces of `store` that are worth least.
    pub fn victims(&self, store: &str, count: usize, now: Moment) -> Vec<u64> {
        let Some(pieces) = self.stores.get(store) else { return Vec::new() };
        let mut order: Vec<_> = pieces.iter().map(|(key, piece)| (worth(piece, now), *key)).collect();
        order.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
        order.into_iter().take(count).map(|(_, key)| key).collect()
    }

    /// The number of kept pieces.
    pub fn len(&self) -> usize {
        self.stores.values().map(HashMap::len).sum()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn worth(piece: &KeptPiece, now: Moment) -> f64 {
    let age = now.micros_since(piece.wanted_at) as f64 / MICROS_PER_SECOND as f64;
    let reuse = f64::from(piece.hits) + 1.0;
    let depth_discount = 1.0 / (1.0 + f64::from(piece.depth) * 0.01);
    reuse * depth_discount * HALF_WORTH_SECONDS / (HALF_WORTH_SECONDS + age)
}
