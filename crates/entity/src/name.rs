//! Interned names.
//!
//! Invariant: a name keeps its index for the life of the table, so an index held across a change
//! of configuration still means the same thing. Names on the wire are text; rows are indices.

use crate::EntityIndex;
use std::collections::HashMap;
use std::sync::Arc;

/// Names of one entity kind, each with a typed index that is never reused.
#[derive(Clone, Debug)]
pub struct NameTable<K> {
    by_name: HashMap<Arc<str>, K>,
    names: Vec<Arc<str>>,
}

impl<K> Default for NameTable<K> {
    fn default() -> Self {
        Self { by_name: HashMap::new(), names: Vec::new() }
    }
}

impl<K: EntityIndex> NameTable<K> {
    /// The index of `name`, made if the name is new.
    ///
    /// # Examples
    /// ```
    /// use spanfold_entity::{EntityIndex, NameTable};
    /// #[derive(Clone, Copy, PartialEq, Eq, Debug)]
    /// struct RowIndex(u32);
    /// impl EntityIndex for RowIndex {
    ///     fn from_row(row: usize) -> Self { RowIndex(row as u32) }
    ///     fn row(self) -> usize { self.0 as usize }
    /// }
    /// let mut names = NameTable::<RowIndex>::default();
    /// let index = names.intern("a");
    /// assert_eq!(names.intern("a"), index);
    /// assert_eq!(names.name(index), "a");
    /// ```
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(&index) = self.by_name.get(name) {
            return index;
        }
        let index = K::from_row(self.names.len());
        let shared: Arc<str> = Arc::from(name);
        self.names.push(Arc::clone(&shared));
        self.by_name.insert(shared, index);
        index
    }

    /// The index of `name`, if it has one.
    pub fn find(&self, name: &str) -> Option<K> {
        self.by_name.get(name).copied()
    }

    /// The name at `index`.
    ///
    /// # Panics
    /// If the index is of another table: that is a bug.
    pub fn name(&self, index: K) -> &str {
        &self.names[index.row()]
    }

    /// The number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there is no name.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
