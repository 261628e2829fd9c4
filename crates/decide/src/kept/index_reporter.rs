//! Which parts of the stores' books are told to other VMs next.
//!
//! Pattern: a VM that begins to lead has listed dozens of stores, and new weights change the books of all of them at
//! once; told in one message, that is more than a datagram holds, and it would be lost as a whole. So each message
//! tells a bounded number of parts, and what is left goes with the next ones.
//!
//! Invariant: a change that was heard is told once, in the order of the stores, and none is dropped for want of
//! room in a message. Stores without changes are named only when books are due: with 58 stores that takes 1.3 kB
//! from each of 25 messages a second.

use crate::{CacheReport, EndpointKey, FleetTable};
use spanfold_entity::Moment;

/// Where the telling of books stands.
#[derive(Debug, Default)]
pub struct IndexReporter {
    /// The store whose changes were told last; the next message goes on behind it.
    last: EndpointKey,
    /// Books that were told, whole or in part.
    books: usize,
}

/// What the next message tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ToldBooks {
    /// Stores with their changes, and in turn one with parts of its whole book.
    pub rows: Vec<CacheReport>,
    /// Whether changes are left for another message.
    pub is_partial: bool,
}

impl IndexReporter {
    /// Takes at most `parts_most` parts from what is to be told; all stores are named if a book is due.
    pub fn next(
        &mut self,
        table: &mut FleetTable,
        max_segments: usize,
        is_full_index_due: bool,
        now: Moment,
    ) -> ToldBooks {
        let mut stores: Vec<_> =
            table.stores().filter(|(_, row)| row.is_heard(now)).map(|(store, _)| store).collect();
        let turn = stores.iter().position(|store| *store > self.last).unwrap_or(0);
        stores.rotate_left(turn);
        let mut told = ToldBooks::default();
        let mut left = max_segments;
        for store in &stores {
            let Some(row) = table.store_mut(*store) else { continue };
            let changes = row.take_untold(*store, left);
            left -= changes.parts.len();
            told.is_partial |= row.has_untold();
            if !changes.parts.is_empty() {
                self.last = *store;
            }
            if is_full_index_due || !changes.parts.is_empty() {
                told.rows.push(changes);
            }
        }
        if is_full_index_due && !told.rows.is_empty() && left > 0 {
            self.tell_book(table, &mut told, left);
        }
        told
    }

    /// Adds parts of the book whose turn it is to a message that names all stores.
    fn tell_book(&mut self, table: &mut FleetTable, told: &mut ToldBooks, max_segments: usize) {
        // In the order of names, whatever the order of this message.
        told.rows.sort_by_key(|row| row.store);
        let chosen = self.books % told.rows.len();
        self.books += 1;
        let row = &mut told.rows[chosen];
        if let Some(book) = table.store_mut(row.store) {
            // Changes come last: they are newer than any part of the book.
            let changes = std::mem::take(&mut row.parts);
            row.parts = book.next_segments(max_segments);
            row.parts.extend(changes);
        }
    }
}
