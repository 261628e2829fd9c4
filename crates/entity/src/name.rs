//! Interned names.
//!
//! Invariant: a name keeps its index for the lifetime of the table, so an index that is retained
//! across a change of configuration still refers to the same entity. Messages between VMs contain names;
//! rows are addressed by index.

use crate::EntityIndex;
use std::collections::HashMap;
use std::sync::Arc;

/// Table of names of one entity kind, each with a typed index that is never reused.
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
    /// Returns the index of `name`, adding the name if it is new.
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
        let shared_name: Arc<str> = Arc::from(name);
        self.names.push(Arc::clone(&shared_name));
        self.by_name.insert(shared_name, index);
        index
    }

    /// Returns the index of `name`, if it has one.
    pub fn find(&self, name: &str) -> Option<K> {
        self.by_name.get(name).copied()
    }

    /// Returns the name at `index`.
    ///
    /// # Panics
    /// If the index is out of range, which means that it belongs to another table: a bug.
    pub fn name(&self, index: K) -> &str {
        &self.names[index.row()]
    }

    /// Returns the number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
