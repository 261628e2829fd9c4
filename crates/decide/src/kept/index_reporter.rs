//! Selects which parts of the stores' cache indexes are propagated to other VMs next.
//!
//! A VM that becomes a leader has listed dozens of stores, and new weights change the indexes of all of them
//! at once. In one message that is more than a datagram holds, and it would be lost as a whole. So each
//! message contains a bounded number of segments, and what remains is sent with the next ones.
//!
//! Invariant: each received change is propagated once, in the order of the stores, and none is dropped
//! because a message is full. Stores without changes are included only when full indexes are due: with 58
//! stores that takes 1.3 kB in each of 25 messages a second.

use crate::{CacheReport, EndpointKey, FleetTable};
use spanfold_entity::Moment;

/// Progress of the propagation of cache indexes.
#[derive(Debug, Default)]
pub struct IndexReporter {
    /// Store whose changes were sent last; the next message continues after it.
    last_store: EndpointKey,
    /// Number of indexes that were sent, completely or in part.
    index_count: usize,
}

/// Contents of the next message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IndexReport {
    /// Stores with their changes; one of them, in rotation, with segments of its full index.
    pub rows: Vec<CacheReport>,
    /// Whether changes remain for another message.
    pub is_partial: bool,
}

impl IndexReporter {
    /// Builds the next message, with at most `max_segments` segments; it includes all stores if a full index
    /// is due.
    pub fn next(
        &mut self,
        table: &mut FleetTable,
        max_segments: usize,
        is_full_index_due: bool,
        now: Moment,
    ) -> IndexReport {
        let mut stores: Vec<_> =
            table.stores().filter(|(_, row)| row.is_reachable(now)).map(|(store, _)| store).collect();
        let offset = stores.iter().position(|store| *store > self.last_store).unwrap_or(0);
        stores.rotate_left(offset);
        let mut report = IndexReport::default();
        let mut remaining = max_segments;
        for store in &stores {
            let Some(row) = table.store_mut(*store) else { continue };
            let changes = row.take_unreported(*store, remaining);
            remaining -= changes.parts.len();
            report.is_partial |= row.has_unreported();
            if !changes.parts.is_empty() {
                self.last_store = *store;
            }
            if is_full_index_due || !changes.parts.is_empty() {
                report.rows.push(changes);
            }
        }
        if is_full_index_due && !report.rows.is_empty() && remaining > 0 {
            self.add_index_segments(table, &mut report, remaining);
        }
        report
    }

    /// Adds segments of the next store's full index to a message that includes all stores.
    fn add_index_segments(&mut self, table: &mut FleetTable, report: &mut IndexReport, max_segments: usize) {
        // Sorted by key, so that the rotation doesn't depend on the order of this message.
        report.rows.sort_by_key(|row| row.store);
        let position = self.index_count % report.rows.len();
        self.index_count += 1;
        let row = &mut report.rows[position];
        if let Some(store_row) = table.store_mut(row.store) {
            // Changes come last: they are newer than any segment of the index.
            let changes = std::mem::take(&mut row.parts);
            row.parts = store_row.next_segments(max_segments);
            row.parts.extend(changes);
        }
    }
}
