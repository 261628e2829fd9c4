//! Evidence that a suspect crashes the endpoints that run it: a request, or a segment that prompts share.
//!
//! A suspect that was running at an endpoint when it crashed is not suspicious by that alone: about 24
//! requests with their segments were running there, endpoints crash for many reasons, requests that may be
//! repeated are sent again and meet the next crash by chance, and a popular segment runs everywhere.
//!
//! Invariant: a suspect is found fatal only if
//! - at least [`MIN_CRASHES_PER_VERDICT`](crate::MIN_CRASHES_PER_VERDICT) endpoints crashed under it, each
//!   time another start of an endpoint;
//! - no endpoint has answered it since: an answer discards the evidence, so the crashes follow one another
//!   without an answer in between;
//! - at each of these crashes no other suspect was running under which more endpoints crashed, since a crash
//!   has one cause. Of a request and its segments with equally many crashes, the request is the cause;
//! - together the crashes are too unlikely to be unrelated to it. An unrelated suspect that an endpoint has
//!   been running for `age` meets its crash with a probability of `rate * age`, where `rate` is how often
//!   endpoints of the service crash for other reasons at that time and address. Of several crashes at the same
//!   time, an unrelated segment meets each further one with the probability that an endpoint is among those
//!   that crash then. The product of these probabilities must be below one in ten million divided by the
//!   number of the service's endpoints, since the number of requests that may meet crashes by chance grows
//!   with it.
//!
//! Segments that came together in all crashes have the same evidence. They are found fatal together, as
//! [`companions`](CrashHistory::companions): only prompts with all of them are then refused.
//!
//! In a fleet without other crashes, three crashes within a second of a request's start suffice, and four or
//! five under a segment; where endpoints crash by themselves, or a data centre fails at once, many more are
//! needed.

use crate::quarantine::crash_verdict::{CrashVerdict, MIN_CRASHES_PER_VERDICT};
use crate::{CrashReport, EndpointCrash, EndpointKey, SuspectKey, SuspectKind};
use spanfold_entity::{MICROS_PER_MILLI, MICROS_PER_SECOND, Moment};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Minimum number of crashes at which a tie is resolved. Among suspects with equally many crashes the youngest
/// is then taken as the cause: requests that were first sent again together no longer run at the same
/// endpoints by that time.
const MIN_TIED_CRASHES: usize = 4;
/// Time for which evidence counts: a caller may repeat its request after minutes.
const EVIDENCE_RETENTION_MILLIS: u64 = 900_000;
/// Maximum number of stored crashes. A data centre of 1,100 engines that fails at once can then still be
/// distinguished from a single crash long before. With this many crashes and [`MAX_RUNS`] runs the history
/// stays below 0.4 MB.
const MAX_CRASHES: usize = 1_024;
/// Maximum number of stored runs, over all crashes.
const MAX_RUNS: usize = 2_048;
/// Fraction evicted at once, as a divisor: a burst of crashes then doesn't cause a sort for each.
const EVICTION_DIVISOR: usize = 8;
/// Maximum number of companions of a segment.
const MAX_COMPANIONS: usize = 31;
/// Maximum number of stored answered suspects, by which late reports of earlier crashes are ignored.
const MAX_ANSWERED_SUSPECTS: usize = 512;
/// Times before and after a crash in which other crashes are counted: for a rack that loses power, a series
/// of crashes, and a fleet with repeated failures.
const RATE_WINDOWS_MILLIS: [u64; 3] = [500, 2_500, 12_500];
/// Time before and after a crash in which other crashes at its address are counted. An endpoint that crashes
/// repeatedly attracts retries, since each new start looks idle.
const ADDRESS_WINDOW_MILLIS: u64 = 30_000;
/// Expected crashes a second of an endpoint whose address saw another crash shortly before: an endpoint that
/// crashed once often does so again, whatever it runs.
const REPEAT_CRASH_RATE_PER_S: f64 = 0.5;
/// Minimum age of a run: shorter ages are not distinguished. Several times the delay across data centres.
const MIN_AGE_MICROS: u64 = 50_000;
/// Minimum probability of a single crash: the crash rate is estimated from few crashes, so none counts for
/// more.
const MIN_PROBABILITY: f64 = 1e-6;

/// Time to which the crashes of one event are related, in seconds: the shortest window around a crash.
const EVENT_SECONDS: f64 = (2 * RATE_WINDOWS_MILLIS[0]) as f64 / 1_000.0;
/// Time for which an endpoint that crashed is down, although it counts as one of its service.
const RESTART_MILLIS: u64 = 3_000;
/// Time by which the start of a run and a crash may appear to overlap although one followed the other.
const OVERLAP_MARGIN_MICROS: u64 = 20_000;

/// Suspect that was running at an endpoint when it crashed.
#[derive(Clone, Copy, Debug)]
struct AffectedRun {
    suspect: SuspectKey,
    kind: SuspectKind,
    age_micros: u64,
}

#[derive(Debug)]
struct CrashRow {
    crash: EndpointCrash,
    runs: Vec<AffectedRun>,
    /// Whether a quarantined suspect caused the crash; it then doesn't count towards the crash rate of
    /// endpoints.
    is_explained: bool,
}

/// Crashes of endpoints, and the suspects that were running there.
#[derive(Debug, Default)]
pub struct CrashHistory {
    crashes: BTreeMap<EndpointKey, CrashRow>,
    suspects: BTreeMap<SuspectKey, SuspectRow>,
    answered: BTreeMap<SuspectKey, Moment>,
    runs: usize,
    /// Number of suspects that are segments.
    segments: usize,
}

#[derive(Debug)]
struct SuspectRow {
    kind: SuspectKind,
    /// The starts of endpoints that crashed under it.
    starts: Vec<EndpointKey>,
}

impl CrashHistory {
    /// Whether no suspect is recorded with a recent crash.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether a segment is recorded with a recent crash.
    pub const fn has_segments(&self) -> bool {
        self.segments > 0
    }

    /// Returns the number of endpoints that crashed under a suspect.
    pub fn crashes_of(&self, suspect: SuspectKey) -> usize {
        self.starts_of(suspect).len()
    }

    /// Returns the kind of a suspect that is recorded with a recent crash.
    pub fn kind_of(&self, suspect: SuspectKey) -> Option<SuspectKind> {
        self.suspects.get(&suspect).map(|row| row.kind)
    }

    /// Whether an endpoint answered a suspect since it was last recorded with a crash.
    pub fn is_answered(&self, suspect: SuspectKey) -> bool {
        self.answered.contains_key(&suspect) && !self.suspects.contains_key(&suspect)
    }

    fn starts_of(&self, suspect: SuspectKey) -> &[EndpointKey] {
        self.suspects.get(&suspect).map_or(&[], |row| &row.starts)
    }

    /// Records the crash of an endpoint, whatever it was running.
    pub fn record_crash(&mut self, crash: EndpointCrash) {
        if self.crashes.len() >= MAX_CRASHES && !self.crashes.contains_key(&crash.start) {
            self.evict_crashes();
        }
        let row = CrashRow { crash, runs: Vec::new(), is_explained: false };
        self.crashes.entry(crash.start).or_insert(row);
    }

    /// Adds a report; returns false if it is recorded already, or older than an answer to the suspect.
    ///
    /// Of several runs of a suspect at one endpoint, the oldest counts.
    pub fn add_report(&mut self, report: &CrashReport) -> bool {
        let CrashReport { suspect, kind, crash, age_micros } = *report;
        if self.answered.get(&suspect).is_some_and(|at| crash.at <= *at) {
            return false;
        }
        if self.starts_of(suspect).contains(&crash.start) {
            let row = self.crashes.get_mut(&crash.start);
            let run = row.and_then(|row| row.runs.iter_mut().find(|run| run.suspect == suspect));
            return run.is_some_and(|run| {
                let is_older = age_micros > run.age_micros;
                run.age_micros = run.age_micros.max(age_micros);
                is_older
            });
        }
        if self.runs >= MAX_RUNS {
            self.evict_runs();
        }
        self.record_crash(crash);
        let Some(row) = self.crashes.get_mut(&crash.start) else { return false };
        row.runs.push(AffectedRun { suspect, kind, age_micros });
        if !self.suspects.contains_key(&suspect) {
            self.segments += usize::from(kind == SuspectKind::Segment);
        }
        let row = self.suspects.entry(suspect).or_insert_with(|| SuspectRow { kind, starts: Vec::new() });
        row.starts.push(crash.start);
        self.runs += 1;
        true
    }

    /// Records that an endpoint answered a suspect; returns whether endpoints had crashed under it before.
    pub fn record_answered(&mut self, suspect: SuspectKey, at: Moment) -> bool {
        if !self.discard(suspect) {
            return false;
        }
        if self.answered.len() < MAX_ANSWERED_SUSPECTS {
            self.answered.insert(suspect, at);
        }
        true
    }

    /// Discards the evidence against a suspect; returns whether there was any.
    pub fn discard(&mut self, suspect: SuspectKey) -> bool {
        let Some(SuspectRow { kind, starts }) = self.suspects.remove(&suspect) else { return false };
        self.segments -= usize::from(kind == SuspectKind::Segment);
        for start in starts {
            if let Some(row) = self.crashes.get_mut(&start) {
                let before = row.runs.len();
                row.runs.retain(|run| run.suspect != suspect);
                self.runs -= before - row.runs.len();
            }
        }
        true
    }

    /// Returns the suspects that may be found fatal once the evidence against `suspect` is discarded: those
    /// at its crashes with enough crashes of their own.
    pub fn rivals_of(&self, suspect: SuspectKey) -> Vec<SuspectKey> {
        let rows = self.starts_of(suspect).iter().filter_map(|start| self.crashes.get(start));
        let others = rows.flat_map(|row| &row.runs).map(|run| run.suspect);
        let mut rivals: Vec<_> = others
            .filter(|other| *other != suspect && self.crashes_of(*other) >= MIN_CRASHES_PER_VERDICT)
            .collect();
        rivals.sort_unstable();
        rivals.dedup();
        rivals
    }

    /// Marks the crashes under a quarantined suspect as caused by it.
    pub fn mark_explained(&mut self, suspect: SuspectKey) {
        for start in self.suspects.get(&suspect).into_iter().flat_map(|row| &row.starts) {
            if let Some(row) = self.crashes.get_mut(start) {
                row.is_explained = true;
            }
        }
    }

    /// Returns the segments that were in all crashes of a segment, each time in the same prompt.
    pub fn companions(&self, suspect: SuspectKey) -> Arc<[SuspectKey]> {
        let Some(SuspectRow { kind: SuspectKind::Segment, starts }) = self.suspects.get(&suspect) else {
            return Arc::default();
        };
        let mut rows = starts.iter().filter_map(|start| self.crashes.get(start));
        let Some(first) = rows.next() else { return Arc::default() };
        let companions_in = |row: &CrashRow| {
            let own = row.runs.iter().find(|run| run.suspect == suspect).map(|run| run.age_micros);
            let others = row.runs.iter().filter(move |run| run.suspect != suspect);
            let same_prompt =
                others.filter(move |run| run.kind == SuspectKind::Segment && Some(run.age_micros) == own);
            same_prompt.map(|run| run.suspect).collect::<Vec<_>>()
        };
        let mut companions = companions_in(first);
        companions.retain(|companion| self.crashes_of(*companion) == starts.len());
        for row in rows {
            let present = companions_in(row);
            companions.retain(|companion| present.contains(companion));
        }
        companions.sort_unstable();
        companions.truncate(MAX_COMPANIONS);
        companions.into()
    }

    /// Evaluates the evidence against a suspect.
    pub fn verdict(&self, suspect: SuspectKey) -> CrashVerdict {
        let starts = self.starts_of(suspect);
        let mut verdict = CrashVerdict { crashes: starts.len(), ..CrashVerdict::default() };
        let companions = self.companions(suspect);
        let mut counted: Vec<_> = starts
            .iter()
            .filter_map(|start| self.crashes.get(start))
            .filter_map(|row| Some((row, row.runs.iter().find(|run| run.suspect == suspect)?)))
            .filter(|(row, run)| self.is_attributed(run, row, &companions))
            .collect();
        counted.sort_unstable_by_key(|(row, _)| (row.crash.at, row.crash.start));
        // Whether each crash may be one event with the next one.
        let mut precedes: Vec<_> =
            counted.windows(2).map(|pair| is_joint(pair[0].0, pair[1].0, pair[1].1)).collect();
        precedes.push(false);
        let follows = |index: usize| index > 0 && precedes[index - 1];
        for (index, (row, run)) in counted.iter().enumerate() {
            let event = (follows(index), precedes[index]);
            verdict.service_size = verdict.service_size.max(row.crash.service_size);
            verdict.log_odds -= self.probability(run, &row.crash, event).ln();
        }
        verdict.counted = counted.len();
        verdict
    }

    /// Returns all reports, those of the latest crashes last.
    pub fn reports(&self) -> Vec<CrashReport> {
        let rows = self.crashes.values().flat_map(|row| {
            let reports = row.runs.iter();
            reports.map(|run| CrashReport {
                suspect: run.suspect,
                kind: run.kind,
                crash: row.crash,
                age_micros: run.age_micros,
            })
        });
        let mut reports: Vec<_> = rows.collect();
        reports.sort_by_key(|report| report.crash.at);
        reports
    }

    /// Discards expired evidence.
    pub fn sweep(&mut self, now: Moment) {
        let is_expired = |at: Moment| now >= at.after_millis(EVIDENCE_RETENTION_MILLIS);
        let expired: Vec<_> = self
            .crashes
            .iter()
            .filter(|(_, row)| is_expired(row.crash.at))
            .map(|(start, _)| *start)
            .collect();
        for start in expired {
            self.remove(start);
        }
        self.answered.retain(|_, at| !is_expired(*at));
    }

    /// Whether a crash is attributed to `run`: each other suspect there has fewer crashes, or as many, at least
    /// [`MIN_TIED_CRASHES`], and is older. A request precedes segments with as many crashes, and companions
    /// are no rivals.
    fn is_attributed(&self, run: &AffectedRun, row: &CrashRow, companions: &[SuspectKey]) -> bool {
        let own = self.crashes_of(run.suspect);
        row.runs.iter().filter(|other| other.suspect != run.suspect).all(|other| {
            let others = self.crashes_of(other.suspect);
            let is_younger = (run.age_micros, run.suspect) < (other.age_micros, other.suspect);
            others < own
                || others == own
                    && match (run.kind, other.kind) {
                        (SuspectKind::Request, SuspectKind::Segment) => true,
                        (SuspectKind::Segment, SuspectKind::Request) => false,
                        _ => companions.contains(&other.suspect) || (own >= MIN_TIED_CRASHES && is_younger),
                    }
        })
    }

    /// Returns the probability that an endpoint crashes within the age of a run for an unrelated reason.
    ///
    /// `event` tells whether the crash may be one event with the previous, and with the next crash under the
    /// same segment. The first crash of such an event stands for its time, the others for its extent.
    fn probability(&self, run: &AffectedRun, crash: &EndpointCrash, event: (bool, bool)) -> f64 {
        let age = run.age_micros.max(MIN_AGE_MICROS) as f64 / MICROS_PER_SECOND as f64;
        let probability = self.crash_rate(run, crash) * age;
        let event = match event {
            (true, _) => self.crashing_fraction(crash),
            (false, true) => self.crashing_fraction(crash) * age / EVENT_SECONDS,
            (false, false) => 0.0,
        };
        probability.max(event).clamp(MIN_PROBABILITY, 1.0)
    }

    /// Returns the fraction of a service's endpoints that crash at the time of `crash`.
    fn crashing_fraction(&self, crash: &EndpointCrash) -> f64 {
        let is_near = |row: &&CrashRow| {
            let distance_micros =
                row.crash.at.micros_since(crash.at).max(crash.at.micros_since(row.crash.at));
            row.crash.service == crash.service
                && !row.is_explained
                && distance_micros <= RATE_WINDOWS_MILLIS[0] * MICROS_PER_MILLI
        };
        // Those that crash now were up before.
        let crashing = self.crashes.values().filter(is_near).count() as f64;
        crashing / self.live_endpoints(crash).max(crashing)
    }

    /// Returns the number of a service's endpoints that were up before `crash`.
    fn live_endpoints(&self, crash: &EndpointCrash) -> f64 {
        let is_down = |row: &&CrashRow| {
            row.crash.service == crash.service
                && row.crash.at < crash.at
                && crash.at < row.crash.at.after_millis(RESTART_MILLIS)
        };
        let down = self.crashes.values().filter(is_down).count() as u32;
        f64::from(crash.service_size.saturating_sub(down).max(1))
    }

    /// Returns an endpoint's crashes a second around `crash` for reasons unrelated to the suspect of `run`.
    ///
    /// A request meets few of the crashes that have other reasons, so those under it don't count. A popular
    /// segment meets nearly all of them.
    fn crash_rate(&self, run: &AffectedRun, crash: &EndpointCrash) -> f64 {
        let (mut nearby, mut at_address) = ([0_u32; RATE_WINDOWS_MILLIS.len()], 0_u32);
        let mut has_crashed_before = false;
        let other_crashes =
            self.crashes.values().filter(|row| row.crash.start != crash.start && !row.is_explained);
        for row in other_crashes {
            let distance_micros =
                row.crash.at.micros_since(crash.at).max(crash.at.micros_since(row.crash.at));
            let is_within = |millis: u64| distance_micros <= millis * MICROS_PER_MILLI;
            let is_at_address =
                row.crash.address_digest == crash.address_digest && is_within(ADDRESS_WINDOW_MILLIS);
            has_crashed_before |= is_at_address && row.crash.at <= crash.at;
            let is_own = || row.runs.iter().any(|other| other.suspect == run.suspect);
            if run.kind == SuspectKind::Request && is_own() {
                continue;
            }
            at_address += u32::from(is_at_address);
            for (count, window) in nearby.iter_mut().zip(RATE_WINDOWS_MILLIS) {
                *count += u32::from(row.crash.service == crash.service && is_within(window));
            }
        }
        let seconds = |millis: u64| (2 * millis) as f64 / 1_000.0;
        let service_size = self.live_endpoints(crash);
        let window_rates = nearby
            .iter()
            .zip(RATE_WINDOWS_MILLIS)
            .map(|(count, window)| f64::from(*count) / (service_size * seconds(window)));
        // Counts one more than were seen, since a rate of zero can't be inferred from no crashes.
        let floor = f64::from(nearby[RATE_WINDOWS_MILLIS.len() - 1] + 1)
            / (service_size * seconds(RATE_WINDOWS_MILLIS[RATE_WINDOWS_MILLIS.len() - 1]));
        let address = f64::from(at_address) / seconds(ADDRESS_WINDOW_MILLIS);
        let repeat = if has_crashed_before { REPEAT_CRASH_RATE_PER_S } else { 0.0 };
        window_rates.fold(floor.max(address).max(repeat), f64::max)
    }

    /// Evicts the runs of the suspects with the least evidence: those with the fewest crashes, and of these
    /// the oldest.
    fn evict_runs(&mut self) {
        let mut candidates: Vec<_> = self
            .suspects
            .iter()
            .map(|(suspect, SuspectRow { starts, .. })| {
                let oldest =
                    starts.iter().filter_map(|start| self.crashes.get(start)).map(|row| row.crash.at);
                (starts.len(), oldest.min(), *suspect)
            })
            .collect();
        candidates.sort_unstable();
        for (_, _, suspect) in candidates.into_iter().take(MAX_RUNS / EVICTION_DIVISOR) {
            self.discard(suspect);
        }
    }

    /// Evicts the crashes with the least evidence: those with the fewest runs, and of these the oldest.
    fn evict_crashes(&mut self) {
        let mut candidates: Vec<_> =
            self.crashes.iter().map(|(start, row)| (row.runs.len(), row.crash.at, *start)).collect();
        candidates.sort_unstable();
        for (_, _, start) in candidates.into_iter().take(MAX_CRASHES / EVICTION_DIVISOR) {
            self.remove(start);
        }
    }

    fn remove(&mut self, start: EndpointKey) {
        let Some(row) = self.crashes.remove(&start) else { return };
        self.runs -= row.runs.len();
        for run in row.runs {
            if let Some(row) = self.suspects.get_mut(&run.suspect) {
                row.starts.retain(|other| *other != start);
                if row.starts.is_empty() {
                    self.segments -= usize::from(row.kind == SuspectKind::Segment);
                    self.suspects.remove(&run.suspect);
                }
            }
        }
    }
}

/// Whether a crash may be one event with the `previous` one under the same segment, which `run` was running when
/// that happened.
///
/// A request runs at one endpoint after the other; a segment runs at many, and meets the crash of a data centre at
/// all of them.
fn is_joint(previous: &CrashRow, row: &CrashRow, run: &AffectedRun) -> bool {
    let begun_at = row.crash.at.0.saturating_sub(run.age_micros) + OVERLAP_MARGIN_MICROS;
    run.kind == SuspectKind::Segment && begun_at < previous.crash.at.0
}
