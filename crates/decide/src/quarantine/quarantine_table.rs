//! Table of quarantined suspects, with their deadlines and the probation that follows.
//!
//! Invariant: a quarantine ends at its stored deadline; a later report of the same quarantine never extends
//! it. Quarantines of one suspect are numbered: a report of an earlier one does not change a later one, and
//! one that operators released does not return. Segments that always came together are quarantined together;
//! the set of companions of one quarantine only shrinks, so VMs agree on it in whatever order they learn.

use crate::{SuspectKey, SuspectKind};
use spanfold_entity::Moment;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Duration of a quarantine: the longest lease of the platform's store. The row is stored under such a lease,
/// so that VMs that start later read it, and the store deletes it by itself.
pub const QUARANTINE_MILLIS: u64 = 600_000;
/// Duration of the probation after a quarantine, in which one more crash begins the next: a caller that never
/// stops then costs one endpoint every ten minutes, not three.
const PROBATION_MILLIS: u64 = 3_600_000;
/// Duration for which a suspect without a verdict runs once at a time: as long as evidence counts.
const TRIAL_MILLIS: u64 = 900_000;
/// Maximum number of rows; suspects beyond it are not quarantined. At 256 bytes a row, and some more for
/// those on probation, the table takes 0.2 MB; companions add at most 0.3 MB.
const MAX_ROWS: usize = 512;
/// Delay after which this VM stores a quarantine that another VM began, if it is not stored by then: the VM
/// that began it may have stopped.
const WRITE_DELAY_MILLIS: u64 = 2_000;

/// Phase of a quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantinePhase {
    /// Many endpoints crashed under the suspect, too few for a verdict: it runs once at a time.
    Suspected,
    /// The suspect is refused.
    Quarantined,
    /// The suspect runs once at a time; one crash begins the next quarantine.
    Probation,
    /// Operators ended the quarantine, or better evidence against another suspect did.
    Released,
}

impl QuarantinePhase {
    /// Whether the suspect runs once at a time in the whole deployment.
    pub const fn is_trial(self) -> bool {
        matches!(self, Self::Suspected | Self::Probation)
    }
}

/// Request or segment that is or was quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedSuspect {
    /// Whether it is a request or a segment.
    pub kind: SuspectKind,
    /// Number of this quarantine of the suspect, counted from one; zero without a verdict.
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
    /// Segments that were in all its crashes, too: only prompts with all of them are refused.
    pub companions: Arc<[SuspectKey]>,
}

impl QuarantinedSuspect {
    /// Whether this row of a suspect of `kind` applies to a request with `suspects`.
    fn applies_to(&self, kind: SuspectKind, suspects: &[(SuspectKey, SuspectKind)]) -> bool {
        let is_present = |key: &SuspectKey| suspects.contains(&(*key, SuspectKind::Segment));
        self.kind == kind && self.companions.iter().all(is_present)
    }
}

/// A quarantine as another VM or the store reports it.
#[derive(Clone, Debug)]
pub(super) struct ReportedQuarantine {
    pub kind: SuspectKind,
    pub phase: QuarantinePhase,
    pub round: u32,
    pub crashes: u32,
    pub until: Moment,
    pub companions: Arc<[SuspectKey]>,
    pub is_stored: bool,
}

/// All suspects that are or were quarantined.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    rows: BTreeMap<SuspectKey, QuarantinedSuspect>,
}

impl QuarantineTable {
    /// Whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Whether there is a row of a segment.
    pub fn has_segments(&self) -> bool {
        self.rows.values().any(|row| row.kind == SuspectKind::Segment)
    }

    /// Returns all rows.
    pub fn rows(&self) -> impl Iterator<Item = (SuspectKey, &QuarantinedSuspect)> {
        self.rows.iter().map(|(suspect, row)| (*suspect, row))
    }

    /// Returns the row of a suspect.
    pub fn row(&self, suspect: SuspectKey) -> Option<&QuarantinedSuspect> {
        self.rows.get(&suspect)
    }

    /// Returns the quarantine of a suspect, if it is quarantined now.
    pub fn quarantined(&self, suspect: SuspectKey, now: Moment) -> Option<&QuarantinedSuspect> {
        let row = self.rows.get(&suspect)?;
        (row.phase == QuarantinePhase::Quarantined && now < row.until).then_some(row)
    }

    /// Returns which of the `suspects` of a request is quarantined, if the request is to be refused now.
    pub fn refusal_of(&self, suspects: &[(SuspectKey, SuspectKind)], now: Moment) -> Option<SuspectKey> {
        let refuses = |(key, kind): &&(SuspectKey, SuspectKind)| {
            self.quarantined(*key, now).is_some_and(|row| row.applies_to(*kind, suspects))
        };
        suspects.iter().find(refuses).map(|(key, _)| *key)
    }

    /// Returns which of the `suspects` of a request is on trial now.
    pub fn trial_of(&self, suspects: &[(SuspectKey, SuspectKind)], now: Moment) -> Option<SuspectKey> {
        let is_on_trial = |(key, kind): &&(SuspectKey, SuspectKind)| {
            let row = self.rows.get(key).filter(|row| now < row.until);
            row.is_some_and(|row| row.phase.is_trial() && row.applies_to(*kind, suspects))
        };
        suspects.iter().find(is_on_trial).map(|(key, _)| *key)
    }

    /// Whether there is a row of a suspect.
    pub fn contains(&self, suspect: SuspectKey) -> bool {
        self.rows.contains_key(&suspect)
    }

    /// Whether one crash is enough to quarantine a suspect.
    pub fn is_on_probation(&self, suspect: SuspectKey) -> bool {
        self.rows.get(&suspect).is_some_and(|row| row.phase == QuarantinePhase::Probation)
    }

    /// Begins a quarantine; returns its number, or none if the suspect is quarantined already or the table is
    /// full.
    pub fn begin(
        &mut self,
        suspect: SuspectKey,
        kind: SuspectKind,
        crashes: u32,
        companions: Arc<[SuspectKey]>,
        now: Moment,
    ) -> Option<u32> {
        if self.quarantined(suspect, now).is_some() || !self.has_capacity(suspect) {
            return None;
        }
        let round = self.rows.get(&suspect).map_or(0, |row| row.round) + 1;
        let (phase, until) = (QuarantinePhase::Quarantined, now.after_millis(QUARANTINE_MILLIS));
        let row = QuarantinedSuspect {
            kind,
            round,
            crashes,
            phase,
            until,
            write_at: now,
            turned_away: 0,
            companions,
        };
        self.rows.insert(suspect, row);
        Some(round)
    }

    /// Lets a suspect run once at a time; returns whether that begins now.
    pub fn begin_trial(
        &mut self,
        suspect: SuspectKey,
        kind: SuspectKind,
        crashes: u32,
        companions: Arc<[SuspectKey]>,
        now: Moment,
    ) -> bool {
        let is_restricted = self.rows.get(&suspect).is_some_and(|row| row.phase != QuarantinePhase::Released);
        if is_restricted || !self.has_capacity(suspect) {
            return false;
        }
        let row = QuarantinedSuspect {
            kind,
            round: self.rows.get(&suspect).map_or(0, |row| row.round),
            crashes,
            phase: QuarantinePhase::Suspected,
            until: now.after_millis(TRIAL_MILLIS),
            write_at: Moment::NEVER,
            turned_away: 0,
            companions,
        };
        self.rows.insert(suspect, row);
        true
    }

    /// Reduces the companions of a row to those in `remaining`; returns whether it had others.
    pub fn narrow(&mut self, suspect: SuspectKey, remaining: &[SuspectKey], now: Moment) -> bool {
        let Some(row) = self.rows.get_mut(&suspect) else { return false };
        if row.companions.iter().all(|companion| remaining.contains(companion)) {
            return false;
        }
        row.companions = row.companions.iter().copied().filter(|key| remaining.contains(key)).collect();
        if row.phase == QuarantinePhase::Quarantined {
            row.write_at = now;
        }
        true
    }

    /// Applies a quarantine that another VM or the store reported; returns whether it begins here with that.
    pub(super) fn adopt(&mut self, suspect: SuspectKey, reported: &ReportedQuarantine, now: Moment) -> bool {
        let longest_millis = match reported.phase {
            QuarantinePhase::Quarantined | QuarantinePhase::Released => QUARANTINE_MILLIS,
            QuarantinePhase::Suspected => TRIAL_MILLIS,
            QuarantinePhase::Probation => PROBATION_MILLIS,
        };
        let until = reported.until.min(now.after_millis(longest_millis));
        // VMs of the former form take the stored quarantine of a segment for that of a request.
        let is_mistaken =
            |row: &QuarantinedSuspect| row.kind == SuspectKind::Request && row.kind != reported.kind;
        if let Some(row) = self.rows.get_mut(&suspect)
            && !is_mistaken(row)
            && (row.round >= reported.round || row.kind != reported.kind)
        {
            if row.kind == reported.kind && row.round == reported.round && row.phase == reported.phase {
                row.until = row.until.min(until);
                if reported.is_stored && row.phase == QuarantinePhase::Quarantined {
                    row.write_at = Moment::NEVER;
                }
                self.narrow(suspect, &reported.companions, now);
            }
            return false;
        }
        if now >= until || !self.has_capacity(suspect) {
            return false;
        }
        let is_written = reported.is_stored || reported.phase != QuarantinePhase::Quarantined;
        let row = QuarantinedSuspect {
            kind: reported.kind,
            round: reported.round,
            crashes: reported.crashes,
            phase: reported.phase,
            until,
            write_at: if is_written { Moment::NEVER } else { now.after_millis(WRITE_DELAY_MILLIS) },
            turned_away: 0,
            companions: Arc::clone(&reported.companions),
        };
        self.rows.insert(suspect, row);
        true
    }

    /// Releases a suspect, here and in the store; returns the number of its quarantine.
    pub fn release(&mut self, suspect: SuspectKey, now: Moment) -> Option<u32> {
        let round = self.release_locally(suspect, now)?;
        self.rows.entry(suspect).and_modify(|row| row.write_at = now);
        Some(round)
    }

    fn release_locally(&mut self, suspect: SuspectKey, now: Moment) -> Option<u32> {
        let row = self.rows.get_mut(&suspect).filter(|row| row.phase != QuarantinePhase::Released)?;
        row.phase = QuarantinePhase::Released;
        row.until = now.after_millis(QUARANTINE_MILLIS);
        row.write_at = Moment::NEVER;
        Some(row.round)
    }

    /// Applies another VM's release of a suspect; returns whether it was quarantined here.
    pub fn apply_release(&mut self, suspect: SuspectKey, kind: SuspectKind, round: u32, now: Moment) -> bool {
        match self.rows.get(&suspect) {
            Some(row) if row.round <= round => self.release_locally(suspect, now).is_some(),
            Some(_) => false,
            None => {
                // The store may still contain this quarantine; the row prevents it from beginning here.
                let (phase, until) = (QuarantinePhase::Released, now.after_millis(QUARANTINE_MILLIS));
                if self.has_capacity(suspect) {
                    let row = QuarantinedSuspect {
                        kind,
                        round,
                        crashes: 0,
                        phase,
                        until,
                        write_at: Moment::NEVER,
                        turned_away: 0,
                        companions: Arc::default(),
                    };
                    self.rows.insert(suspect, row);
                }
                false
            }
        }
    }

    /// Ends the trial of a suspect that an endpoint answered; returns whether it was on trial.
    pub fn end_trial(&mut self, suspect: SuspectKey) -> bool {
        let is_trial = self.rows.get(&suspect).is_some_and(|row| row.phase.is_trial());
        is_trial && self.rows.remove(&suspect).is_some()
    }

    /// Returns the suspects of which `companion` is a companion.
    pub fn accompanied_by(&self, companion: SuspectKey) -> Vec<SuspectKey> {
        let rows = self.rows.iter().filter(|(_, row)| row.companions.contains(&companion));
        rows.map(|(suspect, _)| *suspect).collect()
    }

    /// Counts a refused request.
    pub fn count_turned_away(&mut self, suspect: SuspectKey) {
        if let Some(row) = self.rows.get_mut(&suspect) {
            row.turned_away += 1;
        }
    }

    /// Moves rows whose time is over to their next phase; returns the quarantines that ended.
    pub fn sweep(&mut self, now: Moment) -> Vec<(SuspectKey, QuarantinedSuspect)> {
        let mut ended = Vec::new();
        for (suspect, row) in &mut self.rows {
            if row.phase == QuarantinePhase::Quarantined && now >= row.until {
                ended.push((*suspect, row.clone()));
                row.phase = QuarantinePhase::Probation;
                row.until = row.until.after_millis(PROBATION_MILLIS);
                row.write_at = Moment::NEVER;
            }
        }
        self.rows.retain(|_, row| now < row.until);
        ended
    }

    /// Returns a row to write to the store now, or to delete there after a release.
    pub fn due_write(&self, now: Moment) -> Option<(SuspectKey, QuarantinedSuspect)> {
        let mut due = self.rows.iter().filter(|(_, row)| now >= row.write_at);
        due.next().map(|(suspect, row)| (*suspect, row.clone()))
    }

    /// Schedules a write of all quarantines, since the store may have lost them.
    pub fn rewrite_all(&mut self) {
        for row in self.rows.values_mut().filter(|row| row.phase == QuarantinePhase::Quarantined) {
            row.write_at = Moment(0);
        }
    }

    /// Records the outcome of writing `written` to the store, or of deleting it: the next attempt is at
    /// `write_at`. A row that has changed meanwhile keeps its own time.
    pub fn record_written(&mut self, suspect: SuspectKey, written: &QuarantinedSuspect, write_at: Moment) {
        let is_same = |row: &QuarantinedSuspect| {
            (row.round, row.phase, &row.companions) == (written.round, written.phase, &written.companions)
        };
        if let Some(row) = self.rows.get_mut(&suspect).filter(|row| is_same(row)) {
            row.write_at = write_at;
        }
    }

    /// Returns the row to propagate again after that of `last`, in rotation.
    pub fn next_to_propagate(&self, last: Option<SuspectKey>) -> Option<(SuspectKey, &QuarantinedSuspect)> {
        let following = self.rows.iter().find(|(suspect, _)| Some(**suspect) > last);
        let next = following.or_else(|| self.rows.iter().next());
        next.map(|(suspect, row)| (*suspect, row))
    }

    /// Whether a row of `suspect` can be added; evicts a row that is not in quarantine if the table is full.
    fn has_capacity(&mut self, suspect: SuspectKey) -> bool {
        if self.rows.len() < MAX_ROWS || self.rows.contains_key(&suspect) {
            return true;
        }
        let evictable = self.rows.iter().filter(|(_, row)| row.phase != QuarantinePhase::Quarantined);
        let evictable = evictable.min_by_key(|(_, row)| row.until).map(|(suspect, _)| *suspect);
        evictable.is_some_and(|evictable| self.rows.remove(&evictable).is_some())
    }
}
