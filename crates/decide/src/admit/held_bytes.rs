//! Limit on the bytes that this VM buffers. They belong to slow callers and endpoints, and to bodies that are
//! not complete yet.
//!
//! Many callers send long bodies slowly, or read long answers slowly. Each buffers little more than usual,
//! but together they can fill the VM's memory, and running out of memory ends every request at this VM.
//!
//! Invariant: the buffered bytes stay within the limit. When a request for more would exceed it, the largest
//! reservations are evicted first; a small reservation is never evicted in favour of a larger one.

use std::collections::BTreeMap;

/// Identifier of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReservationId(u64);

/// One reservation.
#[derive(Clone, Copy, Debug, Default)]
struct Reservation {
    bytes: u64,
    /// Whether it may be evicted: its work has not begun, or nobody waits for it.
    is_evictable: bool,
}

/// Reservations of buffered bytes, with their total and limit.
#[derive(Debug)]
pub struct HeldBytes {
    limit_bytes: u64,
    total_bytes: u64,
    rows: BTreeMap<ReservationId, Reservation>,
    next_id: u64,
}

impl HeldBytes {
    /// Creates an empty table that allows `limit` bytes.
    pub const fn new(limit: u64) -> Self {
        Self { limit_bytes: limit, total_bytes: 0, rows: BTreeMap::new(), next_id: 0 }
    }

    /// Returns the total of the buffered bytes.
    pub const fn total(&self) -> u64 {
        self.total_bytes
    }

    /// Returns the fraction of the limit that is buffered.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::HeldBytes;
    /// let mut held = HeldBytes::new(100);
    /// let reservation = held.begin();
    /// held.grow(reservation, 40);
    /// assert_eq!(held.fraction(), 0.4);
    /// ```
    pub fn fraction(&self) -> f64 {
        self.total_bytes as f64 / self.limit_bytes.max(1) as f64
    }

    /// Creates an empty reservation that may be evicted.
    pub fn begin(&mut self) -> ReservationId {
        let id = ReservationId(self.next_id);
        self.next_id += 1;
        self.rows.insert(id, Reservation { bytes: 0, is_evictable: true });
        id
    }

    /// Adds `bytes` to a reservation and returns the reservations evicted for it, possibly itself.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::HeldBytes;
    /// let mut held = HeldBytes::new(100);
    /// let (first, second) = (held.begin(), held.begin());
    /// assert!(held.grow(first, 70).is_empty());
    /// assert_eq!(held.grow(second, 40), [first]);
    /// assert_eq!(held.grow(second, 70), [second]);
    /// assert_eq!(held.total(), 0);
    /// ```
    pub fn grow(&mut self, id: ReservationId, bytes: u64) -> Vec<ReservationId> {
        let Some(row) = self.rows.get_mut(&id) else { return Vec::new() };
        row.bytes += bytes;
        self.total_bytes += bytes;
        let mut evicted = Vec::new();
        while self.total_bytes > self.limit_bytes {
            let evictable = self.rows.iter().filter(|(candidate, row)| row.is_evictable || **candidate == id);
            let Some(largest) = evictable.max_by_key(|(_, row)| row.bytes).map(|(id, _)| *id) else { break };
            self.release(largest);
            evicted.push(largest);
        }
        evicted
    }

    /// Subtracts `bytes` from a reservation.
    pub fn shrink(&mut self, id: ReservationId, bytes: u64) {
        let Some(row) = self.rows.get_mut(&id) else { return };
        let bytes = bytes.min(row.bytes);
        row.bytes -= bytes;
        self.total_bytes -= bytes;
    }

    /// Protects a reservation from eviction, since its work begins.
    pub fn pin(&mut self, id: ReservationId) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.is_evictable = false;
        }
    }

    /// Removes a reservation.
    pub fn release(&mut self, id: ReservationId) {
        if let Some(row) = self.rows.remove(&id) {
            self.total_bytes -= row.bytes;
        }
    }
}
