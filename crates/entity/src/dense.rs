//! Dense maps from a small typed index to a row.
//!
//! Invariant: an index is valid only for the entity kind of its type, and rows never move. A vector
//! is better than a hash map here: every decision iterates over the rows, and replayed sessions
//! rely on their deterministic order.

use std::marker::PhantomData;
use std::ops::{Index, IndexMut};

/// A small typed index: a newtype on `u32`.
pub trait EntityIndex: Copy + Eq {
    /// Returns the index of row `row`.
    fn from_row(row: usize) -> Self;
    /// Returns the row number of this index.
    fn row(self) -> usize;
}

/// Rows of one entity kind, in index order.
#[derive(Clone, Debug)]
pub struct DenseMap<K, V> {
    rows: Vec<V>,
    kind: PhantomData<K>,
}

impl<K, V> Default for DenseMap<K, V> {
    fn default() -> Self {
        Self { rows: Vec::new(), kind: PhantomData }
    }
}

impl<K: EntityIndex, V> DenseMap<K, V> {
    /// Adds a row and returns its index.
    ///
    /// # Examples
    /// ```
    /// use spanfold_entity::{DenseMap, EntityIndex};
    /// #[derive(Clone, Copy, PartialEq, Eq)]
    /// struct RowIndex(u32);
    /// impl EntityIndex for RowIndex {
    ///     fn from_row(row: usize) -> Self { RowIndex(row as u32) }
    ///     fn row(self) -> usize { self.0 as usize }
    /// }
    /// let mut rows = DenseMap::<RowIndex, &str>::default();
    /// let first = rows.push("a");
    /// assert_eq!(rows[first], "a");
    /// assert_eq!(rows.iter().count(), 1);
    /// ```
    pub fn push(&mut self, value: V) -> K {
        self.rows.push(value);
        K::from_row(self.rows.len() - 1)
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Iterates over the rows with their indices, in order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (K, &V)> {
        self.rows.iter().enumerate().map(|(row, value)| (K::from_row(row), value))
    }

    /// Iterates over mutable rows with their indices, in order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.rows.iter_mut().enumerate().map(|(row, value)| (K::from_row(row), value))
    }

    /// Returns the row at `index`, if there is one.
    pub fn get(&self, index: K) -> Option<&V> {
        self.rows.get(index.row())
    }

    /// Returns the row at `index`, adding default rows up to it if it does not exist.
    pub fn get_or_insert_default(&mut self, index: K) -> &mut V
    where
        V: Default,
    {
        if self.rows.len() <= index.row() {
            self.rows.resize_with(index.row() + 1, V::default);
        }
        &mut self.rows[index.row()]
    }
}

impl<K: EntityIndex, V> Index<K> for DenseMap<K, V> {
    type Output = V;

    fn index(&self, index: K) -> &V {
        &self.rows[index.row()]
    }
}

impl<K: EntityIndex, V> IndexMut<K> for DenseMap<K, V> {
    fn index_mut(&mut self, index: K) -> &mut V {
        &mut self.rows[index.row()]
    }
}
