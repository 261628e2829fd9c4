//! Bytes that this VM holds for callers and endpoints that take them slowly, or have not sent all.
//!
//! Pattern: many callers send long bodies slowly, or take long answers slowly. Each holds little more than is usual, and all
//! together fill the VM's memory, whose end is the end of every request at this VM.
//!
//! Invariant: the bytes held stay within the bound. Where more would pass it, those that hold most end first; a holder that
//! holds little is not ended for one that holds more.

use std::collections::BTreeMap;

/// One that holds bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReservationId(u64);

/// What one holder has.
#[derive(Clone, Copy, Debug, Default)]
struct HolderRow {
    bytes: u64,
    /// Whether it may be ended: its work has not begun, or nobody waits for it.
    is_evictable: bool,
}

/// All holders.
#[derive(Debug)]
pub struct HeldBytes {
    most: u64,
    total: u64,
    rows: BTreeMap<ReservationId, HolderRow>,
    next: u64,
}

impl HeldBytes {
    /// No bytes, of `most` that may be held.
    pub const fn new(most: u64) -> Self {
        Self { most, total: 0, rows: BTreeMap::new(), next: 0 }
    }

    /// Bytes that are held.
    pub const fn total(&self) -> u64 {
        self.total
    }

    /// A new holder, which may be ended.
    pub fn begin(&mut self) -> ReservationId {
        let id = ReservationId(self.next);
        self.next += 1;
        self.rows.insert(id, HolderRow { bytes: 0, is_evictable: true });
        id
    }

    /// A holder holds `bytes` more; gives those that must end for that, perhaps itself.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::HeldBytes;
    /// let mut held = HeldBytes::new(100);
    /// let (one, other) = (held.begin(), held.begin());
    /// assert!(held.grow(one, 70).is_empty());
    /// assert_eq!(held.grow(other, 40), [one]);
    /// assert_eq!(held.grow(other, 70), [other]);
    /// assert_eq!(held.total(), 0);
    /// ```
    pub fn grow(&mut self, id: ReservationId, bytes: u64) -> Vec<ReservationId> {
        let Some(row) = self.rows.get_mut(&id) else { return Vec::new() };
        row.bytes += bytes;
        self.total += bytes;
        let mut ended = Vec::new();
        while self.total > self.most {
            let largest = self.rows.iter().filter(|(other, row)| row.is_evictable || **other == id);
            let Some(largest) = largest.max_by_key(|(_, row)| row.bytes).map(|(id, _)| *id) else { break };
            self.end(largest);
            ended.push(largest);
        }
        ended
    }

    /// A holder holds `bytes` less.
    pub fn shrink(&mut self, id: ReservationId, bytes: u64) {
        let Some(row) = self.rows.get_mut(&id) else { return };
        let bytes = bytes.min(row.bytes);
        row.bytes -= bytes;
        self.total -= bytes;
    }

    /// A holder is not ended any more, since its work begins.
    pub fn settle(&mut self, id: ReservationId) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.is_evictable = false;
        }
    }

    /// A holder holds nothing any more.
    pub fn end(&mut self, id: ReservationId) {
        if let Some(row) = self.rows.remove(&id) {
            self.total -= row.bytes;
        }
    }
}
