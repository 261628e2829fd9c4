//! Pauses between the events of streams, and the cost of a prompt whose prefill causes them.
//!
//! Pattern: engines interleave the prefill of new prompts with the tokens of running streams. Where a chunk of
//! prefill takes as long as several tokens, long prompts that are placed at engines with many streams make
//! pauses between events longer than the routes allow, while engines without streams could have taken them.
//!
//! The delay of running streams is a cost of placing a prompt only while streams of the service pause for too
//! long: elsewhere it would trade cached segments and short queues for nothing.

use crate::{EndpointKey, EndpointRow, FleetTable, LoadCount, PlacementRequest};
use spanfold_entity::{MICROS_PER_MILLI, Moment};

/// Ratio of streams with overlong pauses up to which callers are served well enough: one in a hundred.
const TOLERATED_RATIO: f64 = 0.01;
/// Ratio from which the delay of running streams counts in full.
const FULL_WEIGHT_RATIO: f64 = 0.05;
/// Weight of the newest stream in the ratio: it covers about thirty streams, some seconds at one VM.
const STREAM_WEIGHT: f64 = 0.03;

/// Prompt tokens that an engine prefills in the time in which it generates one token: 160 to 310 by the
/// specifications of several engines.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: f64 = 200.0;
/// Time of a request at an engine, as a multiple of the time until its first event.
const RUNS_PER_PENDING_TIME: f64 = 2.0;
/// Fraction of a stream's delay by prefill that makes one of its pauses longer than allowed: the prefill is
/// spread over several pauses.
const DELAY_FRACTION: f64 = 0.3;

/// Ratio of a service's recent streams that had an overlong pause.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamPauses {
    ratio: f64,
}

impl StreamPauses {
    /// Records a stream that has ended, and whether a pause exceeded its route's bound.
    pub fn record(&mut self, is_overlong: bool) {
        self.ratio += STREAM_WEIGHT * (f64::from(u8::from(is_overlong)) - self.ratio);
    }

    /// Returns the ratio of recent streams with an overlong pause.
    pub const fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Returns the weight of the delay of running streams in the cost of a placement, from 0 to 1.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::StreamPauses;
    /// let mut pauses = StreamPauses::default();
    /// assert_eq!(pauses.delay_weight(), 0.0);
    /// (0..10).for_each(|_| pauses.record(true));
    /// assert_eq!(pauses.delay_weight(), 1.0);
    /// ```
    pub fn delay_weight(&self) -> f64 {
        ((self.ratio - TOLERATED_RATIO) / (FULL_WEIGHT_RATIO - TOLERATED_RATIO)).clamp(0.0, 1.0)
    }
}

/// Pauses of one stream.
#[derive(Clone, Copy, Debug)]
pub struct PauseTracker {
    last_event_at: Moment,
    max_pause_millis: u64,
    is_overlong: bool,
}

impl PauseTracker {
    /// Starts at a stream's first event. `max_pause_millis` is the bound of its route; zero if there is none.
    pub const fn new(first_event_at: Moment, max_pause_millis: u64) -> Self {
        Self { last_event_at: first_event_at, max_pause_millis, is_overlong: false }
    }

    /// Records that an event arrived.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::PauseTracker;
    /// use spanfold_entity::Moment;
    /// let mut tracker = PauseTracker::new(Moment(0), 400);
    /// tracker.record_event(Moment(300_000));
    /// assert!(!tracker.is_overlong());
    /// tracker.record_event(Moment(800_000));
    /// assert!(tracker.is_overlong());
    /// ```
    pub fn record_event(&mut self, now: Moment) {
        let pause_micros = now.micros_since(self.last_event_at);
        self.is_overlong |=
            self.max_pause_millis > 0 && pause_micros > self.max_pause_millis * MICROS_PER_MILLI;
        self.last_event_at = now;
    }

    /// Whether a pause exceeded the route's bound.
    pub const fn is_overlong(&self) -> bool {
        self.is_overlong
    }
}

/// Terms of the cost of delays between a prompt and the streams that run at an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamTerms {
    /// Weight of all such delays; zero while streams of the service are in time.
    weight: f64,
    /// Mean tokens of a prompt that is queued for prefill.
    pending_units: f64,
    /// Prefill by others that is expected at an engine without streams while this request generates, in
    /// microseconds.
    prefill_micros: f64,
    /// Mean time for which one of an engine's requests is pending, in microseconds.
    pending_micros: f64,
    /// Requests that an engine runs concurrently.
    slots: u32,
}

impl StreamTerms {
    pub(crate) fn new(
        table: &FleetTable,
        request: &PlacementRequest<'_>,
        endpoints: &[(EndpointKey, &EndpointRow)],
        now: Moment,
    ) -> Self {
        // Deployments whose views count as current place without this cost.
        let is_applied = !table.view_ages().are_current();
        let weight = if is_applied { table.stream_pauses(request.service).delay_weight() } else { 0.0 };
        let engine = table.service(request.service).and_then(|service| service.engine.as_ref());
        let Some(engine) = engine.filter(|_| weight > 0.0) else { return Self::default() };
        let token_micros = table.costs(request.service).token_micros;
        let pending_tokens: u64 = endpoints.iter().map(|(_, row)| row.load(now).pending_prefill_tokens).sum();
        let mean_micros = pending_tokens as f64 / endpoints.len().max(1) as f64 * token_micros;
        // Part of its time at the engine in which it generates, and others' prefill delays it.
        let output_tokens = f64::from(request.output_tokens) * PROMPT_TOKENS_PER_OUTPUT_TOKEN;
        let generating_fraction = output_tokens / (output_tokens + f64::from(request.prompt_tokens)).max(1.0);
        Self {
            weight,
            pending_units: table.pending_units(request.service).max(1.0),
            prefill_micros: mean_micros * RUNS_PER_PENDING_TIME * generating_fraction,
            pending_micros: table.pending_micros(request.service),
            slots: engine.slots.max(1),
        }
    }

    /// Returns the cost at an engine with `load` for a prompt that takes `prefill_micros` there.
    pub(crate) fn cost_micros(&self, row: &EndpointRow, load: LoadCount, prefill_micros: f64) -> f64 {
        if self.weight <= 0.0 {
            return 0.0;
        }
        // Prompts that are queued for prefill are not delayed by one behind them.
        let queued_prompts = load.pending_prefill_tokens as f64 / self.pending_units;
        let streams = (f64::from(load.running) - queued_prompts).max(0.0);
        // Long prompts avoid engines with streams, so a stream is delayed least beside others.
        let own_delay_micros = self.prefill_micros * row.slowdown() / (1.0 + streams);
        let excess_requests = (load.running + 1).saturating_sub(self.slots);
        let slot_wait_micros =
            f64::from(excess_requests) * self.pending_micros * RUNS_PER_PENDING_TIME / f64::from(self.slots);
        let others_delay_micros = prefill_micros * streams * DELAY_FRACTION;
        self.weight * (others_delay_micros + own_delay_micros + slot_wait_micros)
    }
}
