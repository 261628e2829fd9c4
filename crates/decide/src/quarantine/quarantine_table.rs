//! Table of quarantined requests, with their deadlines and the probation that follows.
//!
//! Invariant: a quarantine ends at its stored deadline; a later report of the same quarantine never extends
//! it. Quarantines of one request are numbered: a report of an earlier one does not change a later one, and
//! one that operators released does not return.

use crate::RequestKey;
use spanfold_entity::Moment;
use std::collections::BTreeMap;

/// Duration of a quarantine: the longest lease of the platform's store. The row is stored under such a lease,
/// so that VMs that start later read it, and the store deletes it by itself.
pub const QUARANTINE_MILLIS: u64 = 600_000;
/// Duration of the probation after a quarantine, in which one more crash begins the next: a caller that never
/// stops then costs one endpoint every ten minutes, not three.
const PROBATION_MILLIS: u64 = 3_600_000;
/// Maximum number of rows; requests beyond it are not quarantined. At 256 bytes a row, and some more for
/// those on probation, the table takes 0.2 MB.
const MAX_ROWS: usize = 512;
/// Delay after which this VM stores a quarantine that another VM began, if it is not stored by then: the VM
/// that began it may have stopped.
const WRITE_DELAY_MILLIS: u64 = 2_000;

/// Phase of a quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantinePhase {
    /// The request is refused.
    Quarantined,
    /// The request may run again; one crash begins the next quarantine.
    Probation,
    /// Operators ended the quarantine, or better evidence against another request did.
    Released,
}

/// Request that is or was quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantinedRequest {
    /// Number of this quarantine of the request, counted from one.
    pub round: u32,
    /// Number of endpoints that had crashed under it.
    pub crashes: u32,
    /// The present phase.
    pub phase: QuarantinePhase,
    /// When the present phase ends.
    pub until: Moment,
    /// When this VM stores the row, or deletes it from the store after a release; never once that is done.
    pub write_at: Moment,
    /// Number of requests that this VM refused.
    pub turned_away: u64,
}

/// All requests that are or were quarantined.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    rows: BTreeMap<RequestKey, QuarantinedRequest>,
}

impl QuarantineTable {
    /// Whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns all rows.
    pub fn rows(&self) -> impl Iterator<Item = (RequestKey, &QuarantinedRequest)> {
        self.rows.iter().map(|(request, row)| (*request, row))
    }

    /// Returns the quarantine of a request, if the request is to be refused now.
    pub fn quarantined(&self, request: RequestKey, now: Moment) -> Option<QuarantinedRequest> {
        let row = self.rows.get(&request)?;
        (row.phase == QuarantinePhase::Quarantined && now < row.until).then_some(*row)
    }

    /// Whether there is a row of a request.
    pub fn contains(&self, request: RequestKey) -> bool {
        self.rows.contains_key(&request)
    }

    /// Whether one crash is enough to quarantine a request.
    pub fn is_on_probation(&self, request: RequestKey) -> bool {
        self.rows.get(&request).is_some_and(|row| row.phase == QuarantinePhase::Probation)
    }

    /// Begins a quarantine; returns its number, or none if the request is quarantined already or the table is
    /// full.
    pub fn begin(&mut self, request: RequestKey, crashes: u32, now: Moment) -> Option<u32> {
        if self.quarantined(request, now).is_some() || !self.has_capacity(request) {
            return None;
        }
        let round = self.rows.get(&request).map_or(0, |row| row.round) + 1;
        let until = now.after_millis(QUARANTINE_MILLIS);
        let phase = QuarantinePhase::Quarantined;
        self.rows.insert(
            request,
            QuarantinedRequest { round, crashes, phase, until, write_at: now, turned_away: 0 },
        );
        Some(round)
    }

    /// Applies a quarantine that another VM or the store reported; returns whether it begins here with that.
    pub fn adopt(
        &mut self,
        request: RequestKey,
        (round, crashes): (u32, u32),
        until: Moment,
        is_stored: bool,
        now: Moment,
    ) -> bool {
        let until = until.min(now.after_millis(QUARANTINE_MILLIS));
        if let Some(row) = self.rows.get_mut(&request).filter(|row| row.round >= round) {
            if row.round == round {
                if row.phase == QuarantinePhase::Quarantined {
                    row.until = row.until.min(until);
                }
                if is_stored && row.phase == QuarantinePhase::Quarantined {
                    row.write_at = Moment::NEVER;
                }
            }
            return false;
        }
        if now >= until || !self.has_capacity(request) {
            return false;
        }
        let write_at = if is_stored { Moment::NEVER } else { now.after_millis(WRITE_DELAY_MILLIS) };
        let phase = QuarantinePhase::Quarantined;
        self.rows
            .insert(request, QuarantinedRequest { round, crashes, phase, until, write_at, turned_away: 0 });
        true
    }

    /// Releases a request, here and in the store; returns the number of its quarantine.
    pub fn release(&mut self, request: RequestKey, now: Moment) -> Option<u32> {
        let round = self.release_locally(request, now)?;
        self.rows.entry(request).and_modify(|row| row.write_at = now);
        Some(round)
    }

    fn release_locally(&mut self, request: RequestKey, now: Moment) -> Option<u32> {
        let row = self.rows.get_mut(&request).filter(|row| row.phase != QuarantinePhase::Released)?;
        row.phase = QuarantinePhase::Released;
        row.until = now.after_millis(QUARANTINE_MILLIS);
        row.write_at = Moment::NEVER;
        Some(row.round)
    }

    /// Applies another VM's release of a request; returns whether it was quarantined here.
    pub fn apply_release(&mut self, request: RequestKey, round: u32, now: Moment) -> bool {
        match self.rows.get(&request) {
            Some(row) if row.round <= round => self.release_locally(request, now).is_some(),
            Some(_) => false,
            None => {
                // The store may still contain this quarantine; the row prevents it from beginning here.
                let (phase, until) = (QuarantinePhase::Released, now.after_millis(QUARANTINE_MILLIS));
                if self.has_capacity(request) {
                    let row = QuarantinedRequest {
                        round,
                        crashes: 0,
                        phase,
                        until,
                        write_at: Moment::NEVER,
                        turned_away: 0,
                    };
                    self.rows.insert(request, row);
                }
                false
            }
        }
    }

    /// Ends the probation of a request that an endpoint completed.
    pub fn end_probation(&mut self, request: RequestKey) {
        if self.is_on_probation(request) {
            self.rows.remove(&request);
        }
    }

    /// Counts a refused request.
    pub fn count_turned_away(&mut self, request: RequestKey) {
        if let Some(row) = self.rows.get_mut(&request) {
            row.turned_away += 1;
        }
    }

    /// Moves rows whose time is over to their next phase; returns the quarantines that ended.
    pub fn sweep(&mut self, now: Moment) -> Vec<(RequestKey, QuarantinedRequest)> {
        let mut ended = Vec::new();
        for (request, row) in &mut self.rows {
            if row.phase == QuarantinePhase::Quarantined && now >= row.until {
                ended.push((*request, *row));
                row.phase = QuarantinePhase::Probation;
                row.until = row.until.after_millis(PROBATION_MILLIS);
                row.write_at = Moment::NEVER;
            }
        }
        self.rows.retain(|_, row| now < row.until);
        ended
    }

    /// Returns a row to write to the store now, or to delete there after a release.
    pub fn due_write(&self, now: Moment) -> Option<(RequestKey, QuarantinedRequest)> {
        let mut due = self.rows.iter().filter(|(_, row)| now >= row.write_at);
        due.next().map(|(request, row)| (*request, *row))
    }

    /// Schedules a write of all quarantines, since the store may have lost them.
    pub fn rewrite_all(&mut self) {
        for row in self.rows.values_mut().filter(|row| row.phase == QuarantinePhase::Quarantined) {
            row.write_at = Moment(0);
        }
    }

    /// Records the outcome of writing `written` to the store, or of deleting it: the next attempt is at
    /// `write_at`. A row that has changed meanwhile keeps its own time.
    pub fn record_written(&mut self, request: RequestKey, written: &QuarantinedRequest, write_at: Moment) {
        let row = self.rows.get_mut(&request);
        if let Some(row) = row.filter(|row| (row.round, row.phase) == (written.round, written.phase)) {
            row.write_at = write_at;
        }
    }

    /// Returns the row to propagate again after that of `last`, in rotation.
    pub fn next_to_propagate(&self, last: Option<RequestKey>) -> Option<(RequestKey, QuarantinedRequest)> {
        let is_propagated = |row: &QuarantinedRequest| row.phase != QuarantinePhase::Probation;
        let following =
            self.rows.iter().filter(|(request, row)| is_propagated(row) && Some(**request) > last);
        let next = following.min_by_key(|(request, _)| **request);
        let next = next.or_else(|| self.rows.iter().find(|(_, row)| is_propagated(row)));
        next.map(|(request, row)| (*request, *row))
    }

    /// Whether a row of `request` can be added; evicts a row that is not in quarantine if the table is full.
    fn has_capacity(&mut self, request: RequestKey) -> bool {
        if self.rows.len() < MAX_ROWS || self.rows.contains_key(&request) {
            return true;
        }
        let evictable = self.rows.iter().filter(|(_, row)| row.phase != QuarantinePhase::Quarantined);
        let evictable = evictable.min_by_key(|(_, row)| row.until).map(|(request, _)| *request);
        evictable.is_some_and(|evictable| self.rows.remove(&evictable).is_some())
    }
}
