//! Limit on the bytes that this VM buffers. They belong to slow callers and endpoints, and to bodies that are
//! not complete yet.
//!
//! Many callers send long bodies slowly, or read long answers slowly. Each buffers little more than usual,
//! but together they can fill the VM's memory, and running out of memory ends every request at this VM.
//!
//! Invariant: the buffered bytes stay within the limit. When a request for more would exceed it, the largest
//! reservations are evicted first; a small reservation is never evicted in favour of a larger one.

use std::collections::{BTreeMap, BTreeSet};

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
    /// Reservations that may be evicted, by their bytes.
    evictable: BTreeSet<(u64, ReservationId)>,
    /// Bytes of evicted reservations until they are released.
    evicted: BTreeMap<ReservationId, u64>,
    evicted_bytes: u64,
    next_id: u64,
}

impl HeldBytes {
    /// Creates an empty table that allows `limit` bytes.
    pub const fn new(limit: u64) -> Self {
        Self {
            limit_bytes: limit,
            total_bytes: 0,
            rows: BTreeMap::new(),
            evictable: BTreeSet::new(),
            evicted: BTreeMap::new(),
            evicted_bytes: 0,
            next_id: 0,
        }
    }

    /// Whether `bytes` more would stay within the limit, with those that are evicted and not released yet.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::HeldBytes;
    /// let mut held = HeldBytes::new(100);
    /// let reservation = held.begin();
    /// held.grow(reservation, 40);
    /// assert!(held.has_room(60) && !held.has_room(61));
    /// ```
    pub const fn has_room(&self, bytes: u64) -> bool {
        self.total_bytes.saturating_add(self.evicted_bytes).saturating_add(bytes) <= self.limit_bytes
    }

    /// Returns the fraction of the limit that is evicted and not released yet.
    pub fn evicted_fraction(&self) -> f64 {
        self.evicted_bytes as f64 / self.limit_bytes.max(1) as f64
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
        self.evictable.insert((0, id));
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
        let mut evicted = Vec::new();
        if !self.change(id, |row| row.bytes += bytes) {
            return evicted;
        }
        while self.total_bytes > self.limit_bytes {
            let own = self.rows.get(&id).map(|row| (row.bytes, id));
            let Some((_, largest)) = self.evictable.last().copied().max(own) else { break };
            self.evict(largest);
            evicted.push(largest);
        }
        evicted
    }

    /// Adds `bytes` to a reservation if evicting others that are more than twice as large makes room; returns
    /// those.
    ///
    /// Reservations of one size do not evict each other: none of them would ever be whole.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::HeldBytes;
    /// let mut held = HeldBytes::new(100);
    /// let (first, second) = (held.begin(), held.begin());
    /// held.grow(first, 90);
    /// assert_eq!(held.grow_beside(second, 50), None);
    /// assert_eq!(held.grow_beside(second, 40), Some(vec![first]));
    /// ```
    pub fn grow_beside(&mut self, id: ReservationId, bytes: u64) -> Option<Vec<ReservationId>> {
        let grown_bytes = self.rows.get(&id)?.bytes + bytes;
        let mut excess_bytes = (self.total_bytes + bytes).saturating_sub(self.limit_bytes);
        let mut evicted = Vec::new();
        for (largest_bytes, largest) in self.evictable.iter().rev() {
            if excess_bytes == 0 || *largest_bytes <= 2 * grown_bytes {
                break;
            }
            excess_bytes = excess_bytes.saturating_sub(*largest_bytes);
            evicted.push(*largest);
        }
        if excess_bytes > 0 {
            return None;
        }
        for largest in &evicted {
            self.evict(*largest);
        }
        self.change(id, |row| row.bytes = grown_bytes);
        Some(evicted)
    }

    /// Subtracts `bytes` from a reservation.
    pub fn shrink(&mut self, id: ReservationId, bytes: u64) {
        self.change(id, |row| row.bytes = row.bytes.saturating_sub(bytes));
    }

    /// Protects a reservation from eviction, since its work begins.
    pub fn pin(&mut self, id: ReservationId) {
        self.change(id, |row| row.is_evictable = false);
    }

    /// Removes a reservation, whose memory is free now.
    pub fn release(&mut self, id: ReservationId) {
        self.remove(id);
        self.evicted_bytes -= self.evicted.remove(&id).unwrap_or(0);
    }

    /// Evicts a reservation, whose memory is in use until it is released.
    fn evict(&mut self, id: ReservationId) {
        let bytes = self.remove(id);
        self.evicted.insert(id, bytes);
        self.evicted_bytes += bytes;
    }

    /// Removes a reservation's row; returns its bytes.
    fn remove(&mut self, id: ReservationId) -> u64 {
        let Some(row) = self.rows.remove(&id) else { return 0 };
        self.evictable.remove(&(row.bytes, id));
        self.total_bytes -= row.bytes;
        row.bytes
    }

    /// Changes a reservation; returns whether there is one.
    fn change(&mut self, id: ReservationId, change: impl FnOnce(&mut Reservation)) -> bool {
        let Some(row) = self.rows.get_mut(&id) else { return false };
        self.evictable.remove(&(row.bytes, id));
        self.total_bytes -= row.bytes;
        change(row);
        self.total_bytes += row.bytes;
        if row.is_evictable {
            self.evictable.insert((row.bytes, id));
        }
        true
    }
}
