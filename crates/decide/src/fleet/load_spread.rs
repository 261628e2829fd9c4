//! Imbalance of load between the endpoints of a service, as one VM knows it.
//!
//! [`FleetTable::sample_spread`] measures one moment, and [`LoadSpread`] adds up samples and limits the rate of
//! reports. Both are for operators only: no placement depends on them.
//!
//! Invariant: the time that reports state sums to the time that samples found uneven, whichever services share
//! the rate of reports, except for time that is not reported yet.

use crate::{EndpointKey, EndpointRow, EngineSpec, FleetTable, LoadCount};
use spanfold_entity::Moment;
use std::collections::BTreeMap;

/// Shortest time between two reports of one VM, in milliseconds.
const REPORT_INTERVAL_MILLIS: u64 = 1_000;
/// Longest time that one sample stands for, in milliseconds.
///
/// Samples are 250 ms apart. A VM that was suspended does not know what happened in the meantime.
const MAX_SAMPLE_MILLIS: u64 = 1_000;
/// Fraction of its places below which an endpoint counts as underused.
const UNDERUSED_FRACTION: f64 = 0.5;

/// Load of one service's available endpoints at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SpreadSample {
    /// Name of the service.
    pub service: String,
    /// Coefficient of variation of requests in flight divided by places; 0 without any load.
    pub variation: f64,
    /// Endpoints with more requests than places, in data centres that also have underused ones.
    pub overrun: u32,
    /// Endpoints with less than half of their places taken, in data centres that also have overrun ones.
    pub underused: u32,
}

impl SpreadSample {
    /// Whether an endpoint is overrun while another one of its data centre is underused.
    pub const fn is_uneven(&self) -> bool {
        self.overrun > 0
    }
}

/// Report of a service that was uneven since its last report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UnevenReport {
    /// The last uneven sample.
    pub sample: SpreadSample,
    /// Time that samples found uneven, in microseconds.
    pub uneven_micros: u64,
    /// Requests that were delayed in that time.
    pub delayed: u64,
}

/// Result of recording the samples of one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SpreadUpdate {
    /// Time that each uneven sample stands for, in microseconds.
    pub sample_micros: u64,
    /// Services that had a sample before and have none now.
    pub removed: Vec<String>,
    /// Report that is due.
    pub report: Option<UnevenReport>,
}

/// Uneven time of all services that is not reported yet.
#[derive(Debug, Default)]
pub struct LoadSpread {
    services: BTreeMap<String, ServiceSpread>,
    sampled_at: Option<Moment>,
    reported_at: Option<Moment>,
}

/// State of one service.
#[derive(Debug, Default)]
struct ServiceSpread {
    /// Whether the last round had a sample of it.
    is_sampled: bool,
    /// Whether the last sample was uneven.
    is_uneven: bool,
    /// What the next report states.
    pending: UnevenReport,
}

impl LoadSpread {
    /// Records the samples of all services at `now`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{LoadSpread, SpreadSample};
    /// use spanfold_entity::Moment;
    /// let mut spread = LoadSpread::default();
    /// let uneven = SpreadSample { service: "chat".to_owned(), overrun: 1, underused: 2, ..SpreadSample::default() };
    /// spread.record(vec![uneven.clone()], Moment(0));
    /// let update = spread.record(vec![uneven], Moment(250_000));
    /// assert_eq!(update.report.unwrap().uneven_micros, 250_000);
    /// ```
    pub fn record(&mut self, samples: Vec<SpreadSample>, now: Moment) -> SpreadUpdate {
        let elapsed_micros = self.sampled_at.map_or(0, |sampled_at| now.micros_since(sampled_at));
        let sample_micros = elapsed_micros.min(Moment(0).after_millis(MAX_SAMPLE_MILLIS).0);
        self.sampled_at = Some(now);
        let mut previous = std::mem::take(&mut self.services);
        for sample in samples {
            let mut service = previous.remove(&sample.service).unwrap_or_default();
            service.is_sampled = true;
            service.is_uneven = sample.is_uneven();
            let name = sample.service.clone();
            if service.is_uneven {
                service.pending.uneven_micros += sample_micros;
                service.pending.sample = sample;
            }
            self.services.insert(name, service);
        }
        let removed = previous.iter().filter(|(_, service)| service.is_sampled);
        let removed = removed.map(|(name, _)| name.clone()).collect();
        // A service without endpoints is retained until its time is reported.
        previous.retain(|_, service| service.pending.uneven_micros > 0);
        for service in previous.values_mut() {
            service.is_sampled = false;
            service.is_uneven = false;
        }
        self.services.append(&mut previous);
        SpreadUpdate { sample_micros, removed, report: self.take_report(now) }
    }

    /// Counts a request of `service` that waits, or that is expected to be late at a full endpoint.
    ///
    /// Returns whether it was counted: only if the last sample of the service was uneven.
    pub fn record_delayed(&mut self, service: &str) -> bool {
        let Some(service) = self.services.get_mut(service).filter(|service| service.is_uneven) else {
            return false;
        };
        service.pending.delayed += 1;
        true
    }

    /// Takes the report of the service with the most unreported time, if a report is due.
    fn take_report(&mut self, now: Moment) -> Option<UnevenReport> {
        if self.reported_at.is_some_and(|at| now < at.after_millis(REPORT_INTERVAL_MILLIS)) {
            return None;
        }
        let service = self.services.values_mut().max_by_key(|service| service.pending.uneven_micros)?;
        if service.pending.uneven_micros == 0 {
            return None;
        }
        self.reported_at = Some(now);
        Some(std::mem::take(&mut service.pending))
    }
}

/// Sums over the available endpoints of one service.
#[derive(Debug, Default)]
struct SpreadSums<'a> {
    engine: Option<&'a EngineSpec>,
    endpoints: u32,
    fill: f64,
    squared_fill: f64,
    /// Overrun and underused endpoints by data centre.
    data_centres: BTreeMap<&'a str, (u32, u32)>,
}

impl<'a> SpreadSums<'a> {
    fn add(&mut self, row: &'a EndpointRow, load: LoadCount) {
        let places = endpoint_places(row, self.engine, load);
        let running = f64::from(load.running);
        let fill = running / places;
        self.endpoints += 1;
        self.fill += fill;
        self.squared_fill += fill * fill;
        let (overrun, underused) = self.data_centres.entry(&row.entry.data_centre).or_default();
        *overrun += u32::from(running > places);
        *underused += u32::from(running < places * UNDERUSED_FRACTION);
    }

    fn sample(&self, service: &str) -> SpreadSample {
        let mean = self.fill / f64::from(self.endpoints.max(1));
        let mean_square = self.squared_fill / f64::from(self.endpoints.max(1));
        // Rounding can make the variance of equal fills negative.
        let deviation = (mean_square - mean * mean).max(0.0).sqrt();
        let variation = if mean > 0.0 { deviation / mean } else { 0.0 };
        let mut sample = SpreadSample { service: service.to_owned(), variation, ..SpreadSample::default() };
        for (overrun, underused) in self.data_centres.values().filter(|counts| counts.0 > 0 && counts.1 > 0) {
            sample.overrun += overrun;
            sample.underused += underused;
        }
        sample
    }
}

impl FleetTable {
    /// Measures the load of each service's endpoints, in one pass over all endpoints.
    ///
    /// Endpoints that get no work or little of it by intention are left out: those that are departing,
    /// evacuated, ejected, cordoned, cold, backing off (until they have served a request again), or limited by
    /// their own report. A service without any other
    /// endpoint has no sample.
    pub fn sample_spread(&self, now: Moment) -> Vec<SpreadSample> {
        let mut sums: BTreeMap<&str, SpreadSums<'_>> = BTreeMap::new();
        for row in self.rows.values().filter(|row| self.is_available(row, now)) {
            let service = row.entry.service.as_str();
            let service_sums = sums.entry(service).or_insert_with(|| SpreadSums {
                engine: self.services.get(service).and_then(|service| service.engine.as_ref()),
                ..SpreadSums::default()
            });
            service_sums.add(row, row.load(now));
        }
        sums.iter().map(|(service, sums)| sums.sample(service)).collect()
    }

    /// Whether all places of an endpoint are taken, as far as this VM knows.
    pub fn is_full(&self, key: EndpointKey, now: Moment) -> bool {
        let Some(row) = self.row(key) else { return false };
        let engine = self.services.get(&row.entry.service).and_then(|service| service.engine.as_ref());
        let load = row.load(now);
        f64::from(load.running) >= endpoint_places(row, engine, load)
    }

    fn is_available(&self, row: &EndpointRow, now: Moment) -> bool {
        row.takes_work(now)
            && !row.is_ejected(now)
            && !row.is_cordoned(now)
            && row.backoff.is_recovered(now)
            && row.limit.rate(now).is_none()
            && self.cold_spec(row, now).is_none()
    }
}

/// Returns how many requests an endpoint can run concurrently; at least one.
///
/// For an engine this is the smaller of its slots and what its memory holds at the mean size of its running
/// requests. The sizes are those by which placement fills memory: a segment that several requests share counts
/// for each of them.
fn endpoint_places(row: &EndpointRow, engine: Option<&EngineSpec>, load: LoadCount) -> f64 {
    let Some(engine) = engine else { return f64::from(row.entry.slots.max(1)) };
    let slots = f64::from(if engine.slots > 0 { engine.slots } else { row.entry.slots });
    let is_memory_known = engine.memory_tokens > 0 && load.memory_tokens > 0;
    let places = if is_memory_known {
        let mean_tokens = load.memory_tokens as f64 / f64::from(load.running.max(1));
        slots.min(engine.memory_tokens as f64 / mean_tokens)
    } else {
        slots
    };
    places.max(1.0)
}
