//! Evidence that a request crashes the endpoints that run it.
//!
//! A request that was running at an endpoint when it crashed is not suspicious by that alone: about 24 others
//! were running there too, endpoints crash for many reasons, and requests that may be repeated are sent again
//! and meet the next crash by chance.
//!
//! Invariant: a request is found fatal only if
//! - at least [`MIN_CRASHES_PER_VERDICT`] endpoints crashed under it, each time another start of an endpoint;
//! - no endpoint has completed it since: a completion discards the evidence;
//! - at each of these crashes no other request was running under which more endpoints crashed, since a crash
//!   has one cause;
//! - together the crashes are too unlikely to be unrelated to it. An unrelated request that an endpoint has
//!   been running for `age` meets its crash with a probability of `rate * age`, where `rate` is how often
//!   endpoints of the service crash for other reasons at that time and address. The product of these
//!   probabilities must be below one in ten million divided by the number of the service's endpoints, since
//!   the number of requests that may meet crashes by chance grows with it.
//!
//! In a fleet without other crashes, three crashes within a second of the request's start suffice; where
//! endpoints crash by themselves, or a data centre fails at once, many more are needed.

use crate::{CrashReport, EndpointCrash, EndpointKey, RequestKey};
use spanfold_entity::{MICROS_PER_MILLI, MICROS_PER_SECOND, Moment};
use std::collections::BTreeMap;

/// Minimum number of crashes under a request before it can be found fatal.
pub const MIN_CRASHES_PER_VERDICT: usize = 3;
/// Minimum log odds against a request: the natural logarithm of ten million, to which that of the number of
/// endpoints is added.
///
/// A request that is sent up to four times while endpoints crash at `r` a second each is then quarantined by
/// mistake with a probability of `r^4 * Q(4, t - 4 ln(1/r))`, `Q` being the upper incomplete gamma ratio and
/// `t` this sum. With 5,500 endpoints that each crash every ten seconds, and 40,000 requests a second, that
/// is one in 30 minutes of such failures; where one endpoint a minute crashes, one in 29 years.
/// `tests/crash_history.rs` counts mistakes in random histories.
const MIN_LOG_ODDS: f64 = 16.1;
/// Minimum log odds against a request on probation: one crash suffices if its probability is below one in
/// 200.
const MIN_PROBATION_LOG_ODDS: f64 = 5.3;
/// Minimum number of crashes at which a tie is resolved. Among requests with equally many crashes the youngest
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
/// Maximum number of stored answered requests, by which late reports of earlier crashes are ignored.
const MAX_ANSWERED_REQUESTS: usize = 512;
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

/// Request that was running at an endpoint when it crashed.
#[derive(Clone, Copy, Debug)]
struct AffectedRun {
    request: RequestKey,
    age_micros: u64,
}

#[derive(Debug)]
struct CrashRow {
    crash: EndpointCrash,
    runs: Vec<AffectedRun>,
    /// Whether a quarantined request caused the crash; it then doesn't count towards the crash rate of
    /// endpoints.
    is_explained: bool,
}

/// Evaluation of the evidence against a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CrashVerdict {
    /// Number of endpoints that crashed under it.
    pub crashes: usize,
    /// Number of these crashes that are not attributed to another request.
    pub counted: usize,
    /// Natural logarithm of one over the probability that it is unrelated to them.
    pub log_odds: f64,
    /// Number of endpoints of the service.
    pub service_size: u32,
}

impl CrashVerdict {
    /// Whether the request crashes endpoints.
    pub fn is_fatal(&self) -> bool {
        self.counted >= MIN_CRASHES_PER_VERDICT && self.log_odds >= self.needed_log_odds()
    }

    /// Returns the log odds that a verdict of a request's guilt needs.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::CrashVerdict;
    /// let verdict = |service_size| CrashVerdict { service_size, ..CrashVerdict::default() };
    /// assert!(verdict(6).needed_log_odds() < verdict(5_500).needed_log_odds());
    /// ```
    pub fn needed_log_odds(&self) -> f64 {
        MIN_LOG_ODDS + f64::from(self.service_size.max(1)).ln()
    }

    /// Whether a request on probation crashes endpoints again.
    pub fn is_fatal_again(&self) -> bool {
        self.counted > 0 && self.log_odds >= MIN_PROBATION_LOG_ODDS
    }
}

/// Crashes of endpoints, and the requests that were running there.
#[derive(Debug, Default)]
pub struct CrashHistory {
    crashes: BTreeMap<EndpointKey, CrashRow>,
    requests: BTreeMap<RequestKey, Vec<EndpointKey>>,
    answered: BTreeMap<RequestKey, Moment>,
    runs: usize,
}

impl CrashHistory {
    /// Whether no request is recorded with a recent crash.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of endpoints that crashed under a request.
    pub fn crashes_of(&self, request: RequestKey) -> usize {
        self.requests.get(&request).map_or(0, Vec::len)
    }

    /// Records the crash of an endpoint, whatever it was running.
    pub fn record_crash(&mut self, crash: EndpointCrash) {
        if self.crashes.len() >= MAX_CRASHES && !self.crashes.contains_key(&crash.start) {
            self.evict_crashes();
        }
        let row = CrashRow { crash, runs: Vec::new(), is_explained: false };
        self.crashes.entry(crash.start).or_insert(row);
    }

    /// Adds a report; returns false if it is recorded already, or older than an answer to the request.
    pub fn add_report(&mut self, report: &CrashReport) -> bool {
        let CrashReport { request, crash, age_micros } = *report;
        if self.answered.get(&request).is_some_and(|at| crash.at <= *at) {
            return false;
        }
        let starts = self.requests.get(&request);
        if starts.is_some_and(|starts| starts.contains(&crash.start)) {
            return false;
        }
        if self.runs >= MAX_RUNS {
            self.evict_runs();
        }
        self.record_crash(crash);
        let Some(row) = self.crashes.get_mut(&crash.start) else { return false };
        row.runs.push(AffectedRun { request, age_micros });
        self.requests.entry(request).or_default().push(crash.start);
        self.runs += 1;
        true
    }

    /// Records that an endpoint completed a request; returns whether endpoints had crashed under it before.
    pub fn record_answered(&mut self, request: RequestKey, at: Moment) -> bool {
        if !self.discard(request) {
            return false;
        }
        if self.answered.len() < MAX_ANSWERED_REQUESTS {
            self.answered.insert(request, at);
        }
        true
    }

    /// Discards the evidence against a request; returns whether there was any.
    pub fn discard(&mut self, request: RequestKey) -> bool {
        let Some(starts) = self.requests.remove(&request) else { return false };
        for start in starts {
            if let Some(row) = self.crashes.get_mut(&start) {
                let before = row.runs.len();
                row.runs.retain(|run| run.request != request);
                self.runs -= before - row.runs.len();
            }
        }
        true
    }

    /// Marks the crashes under a quarantined request as caused by it.
    pub fn mark_explained(&mut self, request: RequestKey) {
        for start in self.requests.get(&request).into_iter().flatten() {
            if let Some(row) = self.crashes.get_mut(start) {
                row.is_explained = true;
            }
        }
    }

    /// Evaluates the evidence against a request.
    pub fn verdict(&self, request: RequestKey) -> CrashVerdict {
        let starts = self.requests.get(&request).map_or(&[][..], Vec::as_slice);
        let mut verdict = CrashVerdict { crashes: starts.len(), ..CrashVerdict::default() };
        for row in starts.iter().filter_map(|start| self.crashes.get(start)) {
            let Some(run) = row.runs.iter().find(|run| run.request == request) else { continue };
            if self.is_attributed(run, row) {
                verdict.counted += 1;
                verdict.service_size = verdict.service_size.max(row.crash.service_size);
                verdict.log_odds -= self.probability(run, &row.crash).ln();
            }
        }
        verdict
    }

    /// Returns all reports, those of the latest crashes last.
    pub fn reports(&self) -> Vec<CrashReport> {
        let rows = self.crashes.values().flat_map(|row| {
            let reports = row.runs.iter();
            reports.map(|run| CrashReport {
                request: run.request,
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

    /// Whether a crash is attributed to `run`: each other request there has fewer crashes, or as many, at least
    /// [`MIN_TIED_CRASHES`], and is older.
    fn is_attributed(&self, run: &AffectedRun, row: &CrashRow) -> bool {
        let own = self.crashes_of(run.request);
        row.runs.iter().filter(|other| other.request != run.request).all(|other| {
            let others = self.crashes_of(other.request);
            let is_younger = (run.age_micros, run.request) < (other.age_micros, other.request);
            others < own || (others == own && own >= MIN_TIED_CRASHES && is_younger)
        })
    }

    /// Returns the probability that an endpoint crashes within the age of a run for an unrelated reason.
    fn probability(&self, run: &AffectedRun, crash: &EndpointCrash) -> f64 {
        let age = run.age_micros.max(MIN_AGE_MICROS) as f64 / MICROS_PER_SECOND as f64;
        (self.crash_rate(run.request, crash) * age).clamp(MIN_PROBABILITY, 1.0)
    }

    /// Returns an endpoint's crashes a second around `crash` for reasons unrelated to `request`.
    fn crash_rate(&self, request: RequestKey, crash: &EndpointCrash) -> f64 {
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
            if row.runs.iter().any(|run| run.request == request) {
                continue;
            }
            at_address += u32::from(is_at_address);
            for (count, window) in nearby.iter_mut().zip(RATE_WINDOWS_MILLIS) {
                *count += u32::from(row.crash.service == crash.service && is_within(window));
            }
        }
        let seconds = |millis: u64| (2 * millis) as f64 / 1_000.0;
        let service_size = f64::from(crash.service_size.max(1));
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

    /// Evicts the runs of the requests with the least evidence: those with the fewest crashes, and of these
    /// the oldest.
    fn evict_runs(&mut self) {
        let mut candidates: Vec<_> = self
            .requests
            .iter()
            .map(|(request, starts)| {
                let oldest =
                    starts.iter().filter_map(|start| self.crashes.get(start)).map(|row| row.crash.at);
                (starts.len(), oldest.min(), *request)
            })
            .collect();
        candidates.sort_unstable();
        for (_, _, request) in candidates.into_iter().take(MAX_RUNS / EVICTION_DIVISOR) {
            self.discard(request);
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
            if let Some(starts) = self.requests.get_mut(&run.request) {
                starts.retain(|other| *other != start);
                if starts.is_empty() {
                    self.requests.remove(&run.request);
                }
            }
        }
    }
}
