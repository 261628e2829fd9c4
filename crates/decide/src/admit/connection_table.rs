//! Connections from outside, and which of them is closed to make room for a new one.
//!
//! Any client may open connections and leave them without a request, in the middle of one, or with an answer that
//! it does not read. A caller that sends and reads without delay needs its connection for a short time only.
//!
//! Invariant: no more connections are open than the limit. A connection whose request is in work is not closed for
//! another one, unless its caller does not read.

use spanfold_entity::Moment;
use std::collections::{BTreeMap, BTreeSet};

/// Identifier of an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// What a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No request.
    Idle,
    /// A head that has begun to arrive.
    Head,
    /// A request whose body is not whole yet.
    Body,
    /// A whole request.
    Working,
}

/// Timeouts of connections, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// From the first byte of a head to its last.
    pub head_millis: u64,
    /// Without a request, and while a caller reads nothing of its answer.
    pub idle_millis: u64,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// It makes room for another connection.
    Displaced,
    /// Its head did not arrive in time.
    SlowHead,
    /// It carried no request for too long.
    Idle,
    /// Its caller read nothing for too long.
    Unread,
}

impl CloseCause {
    /// Its label in metrics.
    ///
    /// # Examples
    /// ```
    /// assert_eq!(spanfold_decide::CloseCause::SlowHead.label(), "slow head");
    /// ```
    pub const fn label(self) -> &'static str {
        match self {
            Self::Displaced => "displaced",
            Self::SlowHead => "slow head",
            Self::Idle => "idle",
            Self::Unread => "unread",
        }
    }
}

/// Why there is no room for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenRefusal {
    /// The requests of all connections are in work.
    Full,
    /// Until then, no connection is old enough to be closed.
    Until(Moment),
}

/// Order in which connections are closed for others: the lowest first.
type CloseOrder = (CloseClass, Moment, ConnectionId);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CloseClass {
    /// No request in work, and none of its requests was served.
    Unserved,
    /// Its caller does not read.
    Blocked,
    /// No request in work.
    Served,
}

#[derive(Clone, Copy, Debug)]
struct ConnectionRow {
    phase: ConnectionPhase,
    phase_since: Moment,
    opened_at: Moment,
    /// Since when an answer waits for its caller to read.
    blocked_since: Option<Moment>,
    /// When its caller last read something of that answer.
    read_at: Moment,
    is_served: bool,
}

impl ConnectionRow {
    fn close_order(&self, id: ConnectionId) -> Option<CloseOrder> {
        if let Some(since) = self.blocked_since {
            return Some((CloseClass::Blocked, since, id));
        }
        match self.phase {
            ConnectionPhase::Working => None,
            _ if self.is_served => Some((CloseClass::Served, self.phase_since, id)),
            _ => Some((CloseClass::Unserved, self.opened_at, id)),
        }
    }

    fn close_cause(&self, now: Moment, timeouts: &ConnectionTimeouts) -> Option<CloseCause> {
        let (head, idle) = (timeouts.head_millis, timeouts.idle_millis);
        if self.blocked_since.is_some() {
            return (now >= self.read_at.after_millis(idle)).then_some(CloseCause::Unread);
        }
        match self.phase {
            ConnectionPhase::Idle => {
                // A head may begin when the idle time is nearly over.
                (now >= self.phase_since.after_millis(idle)).then_some(CloseCause::Idle)
            }
            ConnectionPhase::Head => {
                (now >= self.phase_since.after_millis(head)).then_some(CloseCause::SlowHead)
            }
            // A request has a deadline of its own.
            ConnectionPhase::Body | ConnectionPhase::Working => None,
        }
    }
}

/// Open connections of one listener.
#[derive(Debug)]
pub struct ConnectionTable {
    max_connections: usize,
    rows: BTreeMap<ConnectionId, ConnectionRow>,
    close_orders: BTreeSet<CloseOrder>,
    next_id: u64,
}

impl ConnectionTable {
    /// Creates an empty table for at most `max_connections`, and at least one.
    pub fn new(max_connections: usize) -> Self {
        Self {
            max_connections: max_connections.max(1),
            rows: BTreeMap::new(),
            close_orders: BTreeSet::new(),
            next_id: 0,
        }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the largest number of connections.
    pub const fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// Opens a connection, and closes another one if there is no room.
    ///
    /// A connection without a served request is not closed in its first `min_lifetime_millis`.
    ///
    /// # Errors
    /// If there is none to close now.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{ConnectionPhase, ConnectionTable, OpenRefusal};
    /// use spanfold_entity::Moment;
    /// let mut table = ConnectionTable::new(2);
    /// let at = |millis| Moment(0).after_millis(millis);
    /// let (first, _) = table.open(at(0), 100).unwrap();
    /// let (second, _) = table.open(at(1), 100).unwrap();
    /// table.set_phase(first, ConnectionPhase::Working, at(2));
    /// assert_eq!(table.open(at(3), 100).unwrap_err(), OpenRefusal::Until(at(101)));
    /// let (third, closed) = table.open(at(101), 100).unwrap();
    /// assert_eq!(closed, Some(second));
    /// table.set_phase(third, ConnectionPhase::Working, at(102));
    /// assert_eq!(table.open(at(500), 100).unwrap_err(), OpenRefusal::Full);
    /// ```
    pub fn open(
        &mut self,
        now: Moment,
        min_lifetime_millis: u64,
    ) -> Result<(ConnectionId, Option<ConnectionId>), OpenRefusal> {
        let mut displaced = None;
        if self.rows.len() >= self.max_connections {
            let (class, since, id) = *self.close_orders.first().ok_or(OpenRefusal::Full)?;
            let closable_at = since.after_millis(min_lifetime_millis);
            if class == CloseClass::Unserved && now < closable_at {
                return Err(OpenRefusal::Until(closable_at));
            }
            self.close(id);
            displaced = Some(id);
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let row = ConnectionRow {
            phase: ConnectionPhase::Idle,
            phase_since: now,
            opened_at: now,
            blocked_since: None,
            read_at: now,
            is_served: false,
        };
        self.rows.insert(id, row);
        self.close_orders.extend(row.close_order(id));
        Ok((id, displaced))
    }

    /// Records that a connection carries something else.
    pub fn set_phase(&mut self, id: ConnectionId, phase: ConnectionPhase, now: Moment) {
        self.change(id, |row| {
            row.phase = phase;
            row.phase_since = now;
        });
    }

    /// Records that an answer waits for its caller to read, or that all of it was taken.
    pub fn set_blocked(&mut self, id: ConnectionId, is_blocked: bool, now: Moment) {
        self.change(id, |row| {
            row.blocked_since = is_blocked.then(|| row.blocked_since.unwrap_or(now));
            row.read_at = now;
            // Idle time begins when the answer has been taken.
            row.phase_since = row.phase_since.max(now);
        });
    }

    /// Records that an endpoint answered one of its requests.
    pub fn record_served(&mut self, id: ConnectionId) {
        self.change(id, |row| row.is_served = true);
    }

    /// Removes a connection that was closed.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(order) = self.rows.remove(&id).and_then(|row| row.close_order(id)) {
            self.close_orders.remove(&order);
        }
    }

    /// Removes and returns the connections that are overdue.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{CloseCause, ConnectionPhase, ConnectionTable, ConnectionTimeouts};
    /// use spanfold_entity::Moment;
    /// let timeouts = ConnectionTimeouts { head_millis: 3_000, idle_millis: 15_000 };
    /// let mut table = ConnectionTable::new(2);
    /// let (id, _) = table.open(Moment(0), 100).unwrap();
    /// table.set_phase(id, ConnectionPhase::Head, Moment(0));
    /// assert!(table.take_overdue(Moment(0).after_millis(2_999), &timeouts).is_empty());
    /// let overdue = table.take_overdue(Moment(0).after_millis(3_000), &timeouts);
    /// assert_eq!(overdue, [(id, CloseCause::SlowHead)]);
    /// ```
    pub fn take_overdue(
        &mut self,
        now: Moment,
        timeouts: &ConnectionTimeouts,
    ) -> Vec<(ConnectionId, CloseCause)> {
        let cause_of =
            |(id, row): (&ConnectionId, &ConnectionRow)| Some((*id, row.close_cause(now, timeouts)?));
        let overdue: Vec<_> = self.rows.iter().filter_map(cause_of).collect();
        for (id, _) in &overdue {
            self.close(*id);
        }
        overdue
    }

    fn change(&mut self, id: ConnectionId, change: impl FnOnce(&mut ConnectionRow)) {
        let Some(row) = self.rows.get_mut(&id) else { return };
        let before = row.close_order(id);
        change(row);
        let after = row.close_order(id);
        if before != after {
            if let Some(order) = before {
                self.close_orders.remove(&order);
            }
            self.close_orders.extend(after);
        }
    }
}
