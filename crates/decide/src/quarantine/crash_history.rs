//! Evidence that endpoints end because of a request.
//!
//! A request that was at an endpoint when it ended is not yet suspicious: some 24 others were there too, endpoints end
//! for many reasons, and requests that may be repeated are sent on and meet the next end by chance.
//!
//! Invariant: a request is found fatal only if
//! - endpoints ended under it at least [`ENDINGS_LEAST`] times, each time another start of an endpoint;
//! - no endpoint has run it to its end since: one that did clears it;
//! - at each of these ends no other request was there that more endpoints ended under: an end has one cause;
//! - together the ends are too unlikely for one that has nothing to do with them. An innocent request that an endpoint
//!   has been at for `age` sees its end with a chance of `rate * age`, where `rate` is how often endpoints of the service
//!   end for other reasons at that time and place. The product of these chances must be below one in ten million for
//!   each endpoint of the service, since with their number grows that of the requests that may meet trouble by chance.
//!
//! So in a quiet fleet three ends within a second of the request's begin suffice, while in a fleet whose endpoints
//! fall over by themselves, or a data centre at once, many more are needed.

use crate::{CrashReport, EndpointCrash, EndpointKey, RequestKey};
use spanfold_entity::{MICROS_PER_MILLI, MICROS_PER_SECOND, Moment};
use std::collections::BTreeMap;

/// Ends of endpoints under a request before it can be found fatal.
pub const ENDINGS_LEAST: usize = 3;
/// Natural logarithm of ten million; that of the number of endpoints is added. A request that is sent up to four times
/// while endpoints end at `r` a second each is then held back by mistake with a chance of `r^4 * Q(4, t - 4 ln(1/r))`,
/// `Q` being the upper incomplete gamma ratio and `t` this sum. With 5,500 endpoints that all fall over every ten seconds,
/// and 40,000 requests a second, that is one in 30 minutes of such trouble; where one endpoint a minute ends, one in 29
/// years. `tests/crash_ledger.rs` counts them in random histories.
const LOG_ODDS_LEAST: f64 = 16.1;
/// The same for a request that was held back before: one end suffices if its chance is below one in 200.
const TRIAL_LOG_ODDS_LEAST: f64 = 5.3;
/// Among requests under which equally many endpoints ended, the youngest is blamed from so many ends on: those that were
/// sent on together at first are apart by then.
const TIE_ENDINGS: usize = 4;
/// Evidence counts for this long, in milliseconds: a caller may come back after minutes.
const EVIDENCE_MILLIS: u64 = 900_000;
/// Ends of endpoints that are remembered: a data centre of 1,100 engines that ends at once is told apart from a single
/// one long before. With those and [`RUNS_LIMIT`] runs the ledger stays below 0.4 MB.
const ENDINGS_LIMIT: usize = 1_024;
/// Runs that are remembered, at all ends together.
const RUNS_LIMIT: usize = 2_048;
/// One in so many is dropped at once to make room, so that a flood of ends costs no sorting for each.
const DROPPED_PART: usize = 8;
/// Answered requests that are remembered, so that late reports of earlier ends do not count.
const ANSWERED_LIMIT: usize = 512;
/// Times to each side of an end in which others are counted, in milliseconds: a rack that loses power, a series of
/// crashes, a fleet in trouble.
const SPANS_MILLIS: [u64; 3] = [500, 2_500, 12_500];
/// Time to each side of an end in which other ends at its address are counted, in milliseconds: an endpoint that falls
/// over again and again attracts retries, since each new start looks idle.
const PLACE_SPAN_MILLIS: u64 = 30_000;
/// Ends a second that are expected of an endpoint whose address saw another end shortly before: what falls over once
/// often does so again, whoever it serves.
const PLACE_AGAIN_RATE: f64 = 0.5;
/// Ages below this are not told apart, in microseconds: several times across data centres.
const AGE_LEAST_MICROS: u64 = 50_000;
/// No single end says more than this: what is known of the rate rests on few ends.
const CHANCE_LEAST: f64 = 1e-6;

/// A request that an endpoint had when it ended.
#[derive(Clone, Copy, Debug)]
struct LastRun {
    request: RequestKey,
    age_micros: u64,
}

#[derive(Debug)]
struct EndingRow {
    ending: EndpointCrash,
    runs: Vec<LastRun>,
    /// A request that is held back was its cause: it says nothing of how often endpoints end otherwise.
    is_explained: bool,
}

/// What the evidence against a request comes to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CrashVerdict {
    /// Endpoints that ended under it.
    pub endings: usize,
    /// Of these, ends that are not blamed on another request.
    pub counted: usize,
    /// Natural logarithm of one over the chance that it has nothing to do with them.
    pub log_odds: f64,
    /// Endpoints of the service.
    pub among: u32,
}

impl CrashVerdict {
    /// Whether endpoints end because of the request.
    pub fn is_fatal(&self) -> bool {
        let needed = LOG_ODDS_LEAST + f64::from(self.among.max(1)).ln();
        self.counted >= ENDINGS_LEAST && self.log_odds >= needed
    }

    /// The same for a request that was found fatal before.
    pub fn is_fatal_again(&self) -> bool {
        self.counted > 0 && self.log_odds >= TRIAL_LOG_ODDS_LEAST
    }
}

/// Ends of endpoints, and what ran there.
#[derive(Debug, Default)]
pub struct CrashHistory {
    endings: BTreeMap<EndpointKey, EndingRow>,
    requests: BTreeMap<RequestKey, Vec<EndpointKey>>,
    answered: BTreeMap<RequestKey, Moment>,
    runs: usize,
}

impl CrashHistory {
    /// Whether no request was at an endpoint's end lately.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Endpoints that ended under a request.
    pub fn crashes_of(&self, request: RequestKey) -> usize {
        self.requests.get(&request).map_or(0, Vec::len)
    }

    /// Notes that an endpoint ended, whatever ran there.
    pub fn record_crash(&mut self, ending: EndpointCrash) {
        if self.endings.len() >= ENDINGS_LIMIT && !self.endings.contains_key(&ending.start) {
            self.drop_endings();
        }
        let row = EndingRow { ending, runs: Vec::new(), is_explained: false };
        self.endings.entry(ending.start).or_insert(row);
    }

    /// Takes a report; false if it is known, or older than an answer to the request.
    pub fn take(&mut self, report: &CrashReport) -> bool {
        let CrashReport { request, ending, age_micros } = *report;
        if self.answered.get(&request).is_some_and(|at| ending.at <= *at) {
            return false;
        }
        let known = self.requests.get(&request);
        if known.is_some_and(|starts| starts.contains(&ending.start)) {
            return false;
        }
        if self.runs >= RUNS_LIMIT {
            self.drop_runs();
        }
        self.record_crash(ending);
        let Some(row) = self.endings.get_mut(&ending.start) else { return false };
        row.runs.push(LastRun { request, age_micros });
        self.requests.entry(request).or_default().push(ending.start);
        self.runs += 1;
        true
    }

    /// Notes that an endpoint ran a request to its end; whether endpoints had ended under it before.
    pub fn clear(&mut self, request: RequestKey, at: Moment) -> bool {
        if !self.forget(request) {
            return false;
        }
        if self.answered.len() < ANSWERED_LIMIT {
            self.answered.insert(request, at);
        }
        true
    }

    /// Drops what is known of a request; whether anything was.
    pub fn forget(&mut self, request: RequestKey) -> bool {
        let Some(starts) = self.requests.remove(&request) else { return false };
        for start in starts {
            if let Some(row) = self.endings.get_mut(&start) {
                let before = row.runs.len();
                row.runs.retain(|run| run.request != request);
                self.runs -= before - row.runs.len();
            }
        }
        true
    }

    /// Notes that a request that is held back is the cause of the ends under it.
    pub fn explain(&mut self, request: RequestKey) {
        for start in self.requests.get(&request).into_iter().flatten() {
            if let Some(row) = self.endings.get_mut(start) {
                row.is_explained = true;
            }
        }
    }

    /// What the evidence against a request comes to.
    pub fn verdict(&self, request: RequestKey) -> CrashVerdict {
        let starts = self.requests.get(&request).map_or(&[][..], Vec::as_slice);
        let mut verdict = CrashVerdict { endings: starts.len(), ..CrashVerdict::default() };
        for row in starts.iter().filter_map(|start| self.endings.get(start)) {
            let Some(run) = row.runs.iter().find(|run| run.request == request) else { continue };
            if self.is_blamed(run, row) {
                verdict.counted += 1;
                verdict.among = verdict.among.max(row.ending.among);
                verdict.log_odds -= self.chance(run, &row.ending).ln();
            }
        }
        verdict
    }

    /// All reports, the latest ends last.
    pub fn reports(&self) -> Vec<CrashReport> {
        let rows = self.endings.values().flat_map(|row| {
            let reports = row.runs.iter();
            reports.map(|run| CrashReport {
                request: run.request,
                ending: row.ending,
                age_micros: run.age_micros,
            })
        });
        let mut reports: Vec<_> = rows.collect();
        reports.sort_by_key(|report| report.ending.at);
        reports
    }

    /// Drops evidence that does not count any more.
    pub fn sweep(&mut self, now: Moment) {
        let is_over = |at: Moment| now >= at.after_millis(EVIDENCE_MILLIS);
        let over: Vec<_> =
            self.endings.iter().filter(|(_, row)| is_over(row.ending.at)).map(|(start, _)| *start).collect();
        for start in over {
            self.remove(start);
        }
        self.answered.retain(|_, at| !is_over(*at));
    }

    /// Whether an end is put down to `run`: no other request there has more ends, or as many and is younger.
    fn is_blamed(&self, run: &LastRun, row: &EndingRow) -> bool {
        let own = self.crashes_of(run.request);
        row.runs.iter().filter(|other| other.request != run.request).all(|other| {
            let others = self.crashes_of(other.request);
            let is_younger = (run.age_micros, run.request) < (other.age_micros, other.request);
            others < own || (others == own && own >= TIE_ENDINGS && is_younger)
        })
    }

    /// The chance that an endpoint ends within the age of a run for a reason that has nothing to do with it.
    fn chance(&self, run: &LastRun, ending: &EndpointCrash) -> f64 {
        let age = run.age_micros.max(AGE_LEAST_MICROS) as f64 / MICROS_PER_SECOND as f64;
        (self.rate(run.request, ending) * age).clamp(CHANCE_LEAST, 1.0)
    }

    /// Ends of an endpoint a second around `ending` for reasons that have nothing to do with `request`.
    fn rate(&self, request: RequestKey, ending: &EndpointCrash) -> f64 {
        let (mut near, mut at_place) = ([0_u32; SPANS_MILLIS.len()], 0_u32);
        let mut has_ended_before = false;
        let others =
            self.endings.values().filter(|row| row.ending.start != ending.start && !row.is_explained);
        for row in others {
            let apart = row.ending.at.micros_since(ending.at).max(ending.at.micros_since(row.ending.at));
            let is_within = |millis: u64| apart <= millis * MICROS_PER_MILLI;
            let is_at_place = row.ending.place == ending.place && is_within(PLACE_SPAN_MILLIS);
            has_ended_before |= is_at_place && row.ending.at <= ending.at;
            if row.runs.iter().any(|run| run.request == request) {
                continue;
            }
            at_place += u32::from(is_at_place);
            for (count, span) in near.iter_mut().zip(SPANS_MILLIS) {
                *count += u32::from(row.ending.service == ending.service && is_within(span));
            }
        }
        let seconds = |millis: u64| (2 * millis) as f64 / 1_000.0;
        let among = f64::from(ending.among.max(1));
        let fleet =
            near.iter().zip(SPANS_MILLIS).map(|(count, span)| f64::from(*count) / (among * seconds(span)));
        // One more than were seen: nothing is known of a fleet in which no endpoint ended.
        let least = f64::from(near[SPANS_MILLIS.len() - 1] + 1)
            / (among * seconds(SPANS_MILLIS[SPANS_MILLIS.len() - 1]));
        let place = f64::from(at_place) / seconds(PLACE_SPAN_MILLIS);
        let again = if has_ended_before { PLACE_AGAIN_RATE } else { 0.0 };
        fleet.fold(least.max(place).max(again), f64::max)
    }

    /// Makes room for runs: drops the requests that say least, those with the fewest ends and of these the oldest.
    fn drop_runs(&mut self) {
        let mut weights: Vec<_> = self
            .requests
            .iter()
            .map(|(request, starts)| {
                let oldest =
                    starts.iter().filter_map(|start| self.endings.get(start)).map(|row| row.ending.at);
                (starts.len(), oldest.min(), *request)
            })
            .collect();
        weights.sort_unstable();
        for (_, _, request) in weights.into_iter().take(RUNS_LIMIT / DROPPED_PART) {
            self.forget(request);
        }
    }

    /// Makes room for ends: drops those that say least, with the fewest runs and of these the oldest.
    fn drop_endings(&mut self) {
        let mut weights: Vec<_> =
            self.endings.iter().map(|(start, row)| (row.runs.len(), row.ending.at, *start)).collect();
        weights.sort_unstable();
        for (_, _, start) in weights.into_iter().take(ENDINGS_LIMIT / DROPPED_PART) {
            self.remove(start);
        }
    }

    fn remove(&mut self, start: EndpointKey) {
        let Some(row) = self.endings.remove(&start) else { return };
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
