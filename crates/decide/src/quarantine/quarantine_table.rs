//! Requests that are held back, until when, and what follows.
//!
//! Invariant: a hold ends at its stored deadline; a later report of the same hold never extends it. Holds of one request
//! are numbered: a report of an earlier hold does not change a later one, and a hold that operators lifted does not return.

use crate::RequestKey;
use spanfold_entity::Moment;
use std::collections::BTreeMap;

/// A hold lasts this long, in milliseconds: the longest lease of the platform's store, under which it is written down,
/// so that VMs that start later know it, and the store forgets it by itself.
pub const HOLD_MILLIS: u64 = 600_000;
/// After a hold, one more end is enough for the next one for this long, in milliseconds: a caller that never stops
/// costs an endpoint each ten minutes, not three.
const TRIAL_MILLIS: u64 = 3_600_000;
/// Requests that are held back at once; those beyond it go on. With 256 bytes a row and some more for those on trial,
/// 0.2 MB.
const HELD_LIMIT: usize = 512;
/// A hold that another VM began is written down by this one if it does not stand in the store by then, in milliseconds:
/// the VM that began it may have ended.
const WRITE_AFTER_MILLIS: u64 = 2_000;

/// How far a hold is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantinePhase {
    /// The request is turned away.
    Held,
    /// It may run again; one end begins the next hold.
    Trial,
    /// Operators, or better evidence against another request, ended the hold.
    Lifted,
}

/// One request that is or was held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantinedRequest {
    /// Which hold of this request it is, counted from one.
    pub round: u32,
    /// Endpoints that had ended under it.
    pub endings: u32,
    /// How far it is.
    pub phase: QuarantinePhase,
    /// When the present phase ends.
    pub until: Moment,
    /// When this VM writes it into the store, or removes it there if it was lifted; never once that is done.
    pub write_at: Moment,
    /// Requests that this VM turned away.
    pub turned_away: u64,
}

/// All requests that are or were held back.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    rows: BTreeMap<RequestKey, QuarantinedRequest>,
}

impl QuarantineTable {
    /// Whether it holds no row at all.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// All rows.
    pub fn rows(&self) -> impl Iterator<Item = (RequestKey, &QuarantinedRequest)> {
        self.rows.iter().map(|(request, row)| (*request, row))
    }

    /// The hold of a request, if it is turned away now.
    pub fn held(&self, request: RequestKey, now: Moment) -> Option<QuarantinedRequest> {
        let row = self.rows.get(&request)?;
        (row.phase == QuarantinePhase::Held && now < row.until).then_some(*row)
    }

    /// Whether anything is known of a request.
    pub fn knows(&self, request: RequestKey) -> bool {
        self.rows.contains_key(&request)
    }

    /// Whether one end is enough to hold a request back.
    pub fn is_on_trial(&self, request: RequestKey) -> bool {
        self.rows.get(&request).is_some_and(|row| row.phase == QuarantinePhase::Trial)
    }

    /// Begins a hold; gives its number, or none if the request is held already or there is no room.
    pub fn hold(&mut self, request: RequestKey, endings: u32, now: Moment) -> Option<u32> {
        if self.held(request, now).is_some() || !self.has_capacity(request) {
            return None;
        }
        let round = self.rows.get(&request).map_or(0, |row| row.round) + 1;
        let until = now.after_millis(HOLD_MILLIS);
        let phase = QuarantinePhase::Held;
        self.rows.insert(
            request,
            QuarantinedRequest { round, endings, phase, until, write_at: now, turned_away: 0 },
        );
        Some(round)
    }

    /// Takes a hold that another VM, or the store, tells of; whether it begins here with that.
    pub fn adopt(
        &mut self,
        request: RequestKey,
        (round, endings): (u32, u32),
        until: Moment,
        is_stored: bool,
        now: Moment,
    ) -> bool {
        let until = until.min(now.after_millis(HOLD_MILLIS));
        if let Some(row) = self.rows.get_mut(&request).filter(|row| row.round >= round) {
            if row.round == round {
                if row.phase == QuarantinePhase::Held {
                    row.until = row.until.min(until);
                }
                if is_stored && row.phase == QuarantinePhase::Held {
                    row.write_at = Moment::NEVER;
                }
            }
            return false;
        }
        if now >= until || !self.has_capacity(request) {
            return false;
        }
        let write_at = if is_stored { Moment::NEVER } else { now.after_millis(WRITE_AFTER_MILLIS) };
        let phase = QuarantinePhase::Held;
        self.rows
            .insert(request, QuarantinedRequest { round, endings, phase, until, write_at, turned_away: 0 });
        true
    }

    /// Ends a hold before its time, here and in the store; gives its number.
    pub fn lift(&mut self, request: RequestKey, now: Moment) -> Option<u32> {
        let round = self.lift_here(request, now)?;
        self.rows.entry(request).and_modify(|row| row.write_at = now);
        Some(round)
    }

    fn lift_here(&mut self, request: RequestKey, now: Moment) -> Option<u32> {
        let row = self.rows.get_mut(&request).filter(|row| row.phase != QuarantinePhase::Lifted)?;
        row.phase = QuarantinePhase::Lifted;
        row.until = now.after_millis(HOLD_MILLIS);
        row.write_at = Moment::NEVER;
        Some(row.round)
    }

    /// Takes that another VM lifted a hold; whether it was in force here.
    pub fn lift_as_told(&mut self, request: RequestKey, round: u32, now: Moment) -> bool {
        match self.rows.get(&request) {
            Some(row) if row.round <= round => self.lift_here(request, now).is_some(),
            Some(_) => false,
            None => {
                // What the store still says of this hold must not begin it here.
                let (phase, until) = (QuarantinePhase::Lifted, now.after_millis(HOLD_MILLIS));
                if self.has_capacity(request) {
                    let row = QuarantinedRequest {
                        round,
                        endings: 0,
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

    /// Ends the trial of a request that an endpoint ran to its end.
    pub fn clear(&mut self, request: RequestKey) {
        if self.is_on_trial(request) {
            self.rows.remove(&request);
        }
    }

    /// Counts a request that was turned away.
    pub fn count_turned_away(&mut self, request: RequestKey) {
        if let Some(row) = self.rows.get_mut(&request) {
            row.turned_away += 1;
        }
    }

    /// Moves rows whose time is over to what follows; gives the holds that ended.
    pub fn sweep(&mut self, now: Moment) -> Vec<(RequestKey, QuarantinedRequest)> {
        let mut ended = Vec::new();
        for (request, row) in &mut self.rows {
            if row.phase == QuarantinePhase::Held && now >= row.until {
                ended.push((*request, *row));
                row.phase = QuarantinePhase::Trial;
                row.until = row.until.after_millis(TRIAL_MILLIS);
                row.write_at = Moment::NEVER;
            }
        }
        self.rows.retain(|_, row| now < row.until);
        ended
    }

    /// A row that is to be written into the store now, or removed there if its hold was lifted.
    pub fn due_write(&self, now: Moment) -> Option<(RequestKey, QuarantinedRequest)> {
        let mut due = self.rows.iter().filter(|(_, row)| now >= row.write_at);
        due.next().map(|(request, row)| (*request, *row))
    }

    /// Has all holds written anew: the store may have lost them.
    pub fn write_all_again(&mut self) {
        for row in self.rows.values_mut().filter(|row| row.phase == QuarantinePhase::Held) {
            row.write_at = Moment(0);
        }
    }

    /// Notes what came of writing `written` into the store, or of removing it: it is done again after `write_at`. What
    /// became of the row meanwhile is written anew.
    pub fn record_written(&mut self, request: RequestKey, written: &QuarantinedRequest, write_at: Moment) {
        let row = self.rows.get_mut(&request);
        if let Some(row) = row.filter(|row| (row.round, row.phase) == (written.round, written.phase)) {
            row.write_at = write_at;
        }
    }

    /// The row to tell other VMs again after that of `told`, each in turn.
    pub fn next_to_tell(&self, told: Option<RequestKey>) -> Option<(RequestKey, QuarantinedRequest)> {
        let is_told = |row: &QuarantinedRequest| row.phase != QuarantinePhase::Trial;
        let after = self.rows.iter().filter(|(request, row)| is_told(row) && Some(**request) > told);
        let next = after.min_by_key(|(request, _)| **request);
        let next = next.or_else(|| self.rows.iter().find(|(_, row)| is_told(row)));
        next.map(|(request, row)| (*request, *row))
    }

    /// Whether a row of `request` may be added; one that is not held makes room.
    fn has_capacity(&mut self, request: RequestKey) -> bool {
        if self.rows.len() < HELD_LIMIT || self.rows.contains_key(&request) {
            return true;
        }
        let idle = self.rows.iter().filter(|(_, row)| row.phase != QuarantinePhase::Held);
        let idle = idle.min_by_key(|(_, row)| row.until).map(|(request, _)| *request);
        idle.is_some_and(|idle| self.rows.remove(&idle).is_some())
    }
}
