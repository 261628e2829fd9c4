//! Placement of requests on endpoints.
//!
//! A request goes to the endpoint with the lowest expected cost, in microseconds. The cost is the expected
//! time to the first event: prefill of the prompts queued there, transfer of cached segments, prefill of the
//! remaining tokens, and the wait for memory to be released. Surcharges are added for crossing data centres,
//! failing answers and old weights. Invariant: an endpoint is never chosen if it is departing, has asked this
//! VM to back off, has failed this request, is in a data centre that is evacuated or outside the request's
//! homes, or has overdue weights. An ejected endpoint is chosen only if all are ejected. Each VM decides by
//! itself on loads that its peers reported some milliseconds ago: querying a VM responsible for the endpoint
//! would cost more time than its exact data saves.

use crate::admit::admission::claim_probability;
use crate::admit::endpoint_sample::sample_endpoints;
use crate::admit::stream_pauses::StreamTerms;
use crate::admit::unseen_load::{CostedEndpoint, choose_endpoint};
use crate::kept::{
    RECOMPUTE_MICROS_PER_TOKEN, SaveTarget, SegmentHolders, SegmentTransfers, TransferPlan, TransferTerms,
    plan_fetches, plan_saves, plan_transfers,
};
use crate::{
    ColdTerms, EndpointKey, EndpointRow, FleetTable, HomeRegions, LoadCount, PromptSegment, RateTerms,
    RequiredWeights, ServiceCosts, ShareRight, VersionSplit, short_digest,
};
use spanfold_entity::{MICROS_PER_MILLI, Moment};

/// Time of one answer of an unloaded plain service, in microseconds.
const PLAIN_ANSWER_MICROS: f64 = 30_000.0;
/// Addition to the time of a plain answer when all slots are taken, as a fraction of it.
const PLAIN_FILL_FACTOR: f64 = 0.3;
/// Expected wait for missing memory, as a multiple of its tokens' prefill time.
const MEMORY_WAIT_FACTOR: f64 = 1.5;
/// Cost of a token beyond the memory that the request may fill, in microseconds. It is about the prefill time
/// of a token, so that an engine with free capacity precedes one with a shorter queue, but not one that has
/// cached the prompt.
const EXCESS_TOKEN_MICROS: f64 = 20.0;
/// Cost of a request byte that crosses data centres, in microseconds: such bytes are priced.
const CROSSING_BYTE_MICROS: f64 = 3.0;
/// Cost of any crossing between data centres, in microseconds: the round trip.
const CROSSING_MICROS: f64 = 3_000.0;
/// Cost of a data centre that appears unreachable, in microseconds: about the time to detect it.
const UNREACHABLE_MICROS: f64 = 600_000.0;
/// Cost of an endpoint whose answers all fail, in microseconds.
const FAILURE_MICROS: f64 = 600_000.0;
/// Cost of old weights once a newer version is published, in microseconds: a fraction of the answer's value.
const OLD_WEIGHTS_MICROS: f64 = 200_000.0;
/// Latest assumed start of a request, as a multiple of the expected time.
const LATEST_START_FACTOR: u64 = 2;
/// Margin added to that start, in milliseconds. The sum must precede the moment at which the weights that it
/// starts on are overdue.
const LATEST_START_MARGIN_MILLIS: u64 = 700;
/// Version that stands for unknown weights: older than all published ones.
pub const UNKNOWN_VERSION: u64 = 0;
/// Interval between the polls of a prompt that waits for capacity, in microseconds.
const CAPACITY_POLL_MICROS: f64 = 20_000.0;
/// Upper bound of a random addition to the cost, in microseconds. It prevents VMs with the same view from all
/// choosing the same endpoint.
const MAX_RANDOM_MICROS: f64 = 3_000.0;
/// Expected maximum of generated tokens for a request that states none.
const DEFAULT_OUTPUT_TOKENS: u32 = 64;

/// A request to be placed.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Data centre of this VM.
    pub data_centre: &'a str,
    /// Data centres that appear unreachable.
    pub unreachable_data_centres: &'a [&'a str],
    /// Segments of the prompt; empty for plain services.
    pub segments: &'a [PromptSegment],
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of generated tokens; zero if the request states none.
    pub output_tokens: u32,
    /// Latency objective of the route, in milliseconds.
    pub objective_millis: u64,
    /// Size of the request in bytes.
    pub bytes: usize,
    /// Model that the request names, if any.
    pub model: Option<&'a str>,
    /// Required versions of the model's weights, if any was published.
    pub required_weights: Option<&'a RequiredWeights>,
    /// Fraction of an engine's memory that the request may fill.
    pub memory_fraction: f64,
    /// Regions in which the request may be served.
    pub homes: HomeRegions<'a>,
    /// Isolation scope of cached segments: all accounts, or one account.
    pub isolation_scope: &'a str,
    /// Endpoints to which this request was already sent.
    pub exclude: &'a [EndpointKey],
    /// Endpoint versions that the request may use.
    pub versions: &'a VersionSplit,
    /// This VM's shares of endpoints that accept few requests.
    pub shares: ShareView<'a>,
    /// Draws a random number in `0.0..1.0`, once per candidate.
    pub draw: fn() -> f64,
}

impl PlacementRequest<'_> {
    /// Whether the request may go to an endpoint, now or when it accepts requests again.
    pub(crate) fn allows(
        &self,
        table: &FleetTable,
        key: EndpointKey,
        row: &EndpointRow,
        now: Moment,
    ) -> bool {
        row.takes_work(now)
            && !self.exclude.contains(&key)
            && self.versions.allows(key, row)
            && table.is_home(self.homes, &row.entry.data_centre)
    }
}

/// A VM's shares of endpoints that accept few requests from all VMs together.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShareView<'a> {
    /// Right of this VM to send; none while it may send nothing.
    pub right: Option<&'a ShareRight>,
    /// Rate that the operator allows all VMs together to send to a cold endpoint.
    pub cold: ColdTerms,
    /// Number of VMs.
    pub vms: usize,
}

impl ShareView<'_> {
    /// Returns the requests per window that this VM may send to an endpoint.
    pub(crate) fn share(&self, key: EndpointKey, row: &EndpointRow, terms: &RateTerms) -> u64 {
        self.right.map_or(0, |right| right.share(key, &row.entry.data_centre, terms))
    }
}

/// Endpoint chosen for a request, with its estimates.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementChoice {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Load to be counted as in flight there.
    pub load: LoadCount,
    /// Expected time to the first event, in microseconds.
    pub expected_micros: u64,
    /// Tokens by which the engine's memory would exceed the fraction that the request may fill.
    pub excess_tokens: u64,
    /// Tokens in use in the engine's memory.
    pub used_tokens: u64,
    /// Tokens that a request with a memory fraction of one may fill there.
    pub fillable_tokens: u64,
    /// Prefill time of the prompts queued there before it, in microseconds.
    pub queue_micros: u64,
    /// Cost of delays between it and the streams that run there, in microseconds.
    pub stream_cost_micros: f64,
    /// Prompt tokens that the engine prefills before the first event, those queued before it included. None
    /// if the time to the first event is no sample for [`CostModel`](crate::CostModel).
    pub sample_tokens: Option<u64>,
    /// Recorded weight version of the engine.
    pub version: Option<u64>,
    /// Salt digest under which the engine shares cached segments.
    pub salt_digest: u64,
    /// Segments cached there, transferred there and to be saved.
    pub transfers: TransferPlan,
    /// Number of endpoints evaluated.
    pub candidates: u32,
}

/// Formats the cache salt of an engine: the isolation scope, the model and its version.
///
/// # Examples
/// ```
/// assert_eq!(spanfold_decide::format_cache_salt("shared", "m", 2), "shared.m.2");
/// ```
pub fn format_cache_salt(isolation_scope: &str, model: &str, version: u64) -> String {
    format!("{isolation_scope}.{model}.{version}")
}

/// Returns the model and version in a text made by [`format_cache_salt`]; the model's name may contain dots.
///
/// # Examples
/// ```
/// use spanfold_decide::{format_cache_salt, parse_cache_salt};
/// let salt = format_cache_salt("shared", "m.v1.5", 2);
/// assert_eq!(parse_cache_salt(&salt), Some(("m.v1.5", 2)));
/// ```
pub fn parse_cache_salt(text: &str) -> Option<(&str, u64)> {
    let (prefix, version) = text.rsplit_once('.')?;
    // A scope contains no dots.
    let (_, model) = prefix.split_once('.')?;
    Some((model, version.parse().ok()?))
}

/// Chooses an endpoint; none if no endpoint of the service may accept work.
///
/// Of many endpoints only a sample is evaluated; if none of it has free capacity, all are.
pub fn place(table: &FleetTable, request: &PlacementRequest<'_>, now: Moment) -> Option<PlacementChoice> {
    let sample = sample_endpoints(table, request, now).into_iter().map(|key| (key, table.row(key)));
    let sample = sample.filter_map(|(key, row)| Some((key, row?))).filter(|(_, row)| is_healthy(row, now));
    let sampled = place_among(table, request, sample.collect(), now);
    let has_capacity = |choice: &PlacementChoice| choice.excess_tokens == 0;
    sampled.filter(has_capacity).or_else(|| place_among(table, request, candidates(table, request, now), now))
}

/// Chooses the endpoint with the lowest cost.
fn place_among(
    table: &FleetTable,
    request: &PlacementRequest<'_>,
    endpoints: Vec<(EndpointKey, &EndpointRow)>,
    now: Moment,
) -> Option<PlacementChoice> {
    let usable = endpoints.into_iter();
    let usable = usable.filter(|(key, row)| table.next_share(*key, row, &request.shares, now) == Some(now));
    let usable: Vec<_> = usable.collect();
    let engine = table.service(request.service).and_then(|service| service.engine.as_ref());
    let engine_terms = engine.map(|engine| EngineTerms {
        memory_tokens: engine.memory_tokens,
        costs: table.costs(request.service),
        streams: StreamTerms::new(table, request, &usable, now),
    });
    let token_micros = engine_terms.map(|terms| terms.costs.token_micros);
    let mut estimates = SharedEstimates::default();
    let ages = table.view_ages();
    let mut best: Option<(f64, PlacementChoice)> = None;
    let mut aged = Vec::new();
    let mut data_centres = vec![request.data_centre];
    let mut evaluated = 0;
    let capacity_wait_micros =
        if ages.are_current() { 0.0 } else { CAPACITY_POLL_MICROS / claim_probability(request.shares.vms) };
    for (key, row) in usable {
        evaluated += 1;
        let choice = estimates.choice(key, row, engine_terms, table, request, now);
        if may_be_overdue(row, &choice, request, now) {
            continue;
        }
        let recompute_micros = choice.transfers.recomputed_tokens as f64 * RECOMPUTE_MICROS_PER_TOKEN;
        let cost = choice.expected_micros as f64
            + choice.stream_cost_micros
            + choice.excess_tokens as f64 * EXCESS_TOKEN_MICROS
            + if choice.excess_tokens > 0 { capacity_wait_micros } else { 0.0 }
            + recompute_micros
            + surcharge(row, request)
            + MAX_RANDOM_MICROS * (request.draw)();
        if !ages.are_current() {
            let costed = costed_endpoint(row, &choice, cost, token_micros, now, &mut data_centres);
            aged.push(((key, row), costed));
        } else if cost.is_finite() && best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
            best = Some((cost, choice));
        }
    }
    let mut choice = if ages.are_current() {
        best?.1
    } else {
        let (candidates, costed): (Vec<_>, Vec<_>) = aged.into_iter().unzip();
        let index = choose_endpoint(&costed, ages, table.pending_micros(request.service), &request.draw)?;
        // A choice is several times larger than an endpoint's inputs, so it is made again instead of kept.
        let (key, row) = candidates[index];
        estimates.choice(key, row, engine_terms, table, request, now)
    };
    choice.candidates = evaluated;
    if let Some(row) = table.row(choice.key)
        && engine_terms.is_some()
    {
        let (_, transfers) = estimates.find(row, table, request, now);
        let cached_count = row.cached_segments.leading(request.segments, choice.salt_digest);
        choice.transfers.fetches = plan_fetches(
            transfers,
            request.segments,
            cached_count,
            transfer_terms(row, request, table.costs(request.service)),
        );
        if choice.version.is_some() {
            let target = SaveTarget { data_centre: &row.entry.data_centre, homes: request.homes };
            choice.transfers.saves = plan_saves(table, target, request.segments, choice.salt_digest, now);
        }
    }
    Some(choice)
}

/// Returns an endpoint's inputs for the choice.
fn costed_endpoint<'a>(
    row: &'a EndpointRow,
    choice: &PlacementChoice,
    cost: f64,
    token_micros: Option<f64>,
    now: Moment,
    data_centres: &mut Vec<&'a str>,
) -> CostedEndpoint {
    let name = row.entry.data_centre.as_str();
    let data_centre = data_centres.iter().position(|known| *known == name).unwrap_or_else(|| {
        data_centres.push(name);
        data_centres.len() - 1
    });
    let (local, remote) = row.peer_load_split(now);
    let (common_cost, unit_micros) = if let Some(token_micros) = token_micros {
        let token_micros = token_micros * row.slowdown();
        // Requests of other VMs share the first segment of the prompt with this one, but rarely further ones.
        let own_tokens = choice.transfers.cached_tokens.saturating_sub(choice.transfers.first_cached_tokens);
        (cost + own_tokens as f64 * (token_micros + RECOMPUTE_MICROS_PER_TOKEN), token_micros)
    } else {
        (cost, plain_unit_micros(row, now))
    };
    let units = |load: LoadCount| {
        if token_micros.is_some() { load.pending_prefill_tokens as f64 } else { f64::from(load.running) }
    };
    CostedEndpoint {
        cost,
        common_cost,
        unit_micros,
        data_centre,
        local_units: units(local),
        remote_units: units(remote),
    }
}

/// Returns the endpoints that a request may go to, now or later: all healthy ones, or all allowed ones if
/// none is healthy.
pub(crate) fn candidates<'a>(
    table: &'a FleetTable,
    request: &PlacementRequest<'_>,
    now: Moment,
) -> Vec<(EndpointKey, &'a EndpointRow)> {
    let allowed = table.rows_of(request.service).filter(|(key, row)| request.allows(table, *key, row, now));
    let mut allowed: Vec<_> = allowed.collect();
    if allowed.iter().any(|(_, row)| is_healthy(row, now)) {
        allowed.retain(|(_, row)| is_healthy(row, now));
    }
    allowed
}

fn is_healthy(row: &EndpointRow, now: Moment) -> bool {
    !row.is_ejected(now) && !row.is_cordoned(now) && !row.backoff.is_backing_off(now)
}

/// Values shared by many engines, computed once per request. Salt digest and store holders are the same for
/// all engines with the same weights, and transfers for all engines with the same weights and data centre.
#[derive(Debug, Default)]
struct SharedEstimates<'a> {
    holders: Vec<(Option<u64>, u64, SegmentHolders)>,
    transfers: Vec<(Option<u64>, &'a str, SegmentTransfers)>,
}

impl<'a> SharedEstimates<'a> {
    /// Returns the choice of one endpoint: an engine if its memory is given, otherwise a plain one.
    fn choice(
        &mut self,
        key: EndpointKey,
        row: &'a EndpointRow,
        engine_terms: Option<EngineTerms>,
        table: &FleetTable,
        request: &PlacementRequest<'_>,
        now: Moment,
    ) -> PlacementChoice {
        let Some(terms) = engine_terms else { return plain_choice(key, row, now) };
        let (salt_digest, transfers) = self.find(row, table, request, now);
        engine_choice(key, &EngineCandidate { row, salt_digest, transfers, terms }, request, now)
    }

    /// Returns the salt digest of an engine's cached segments, and the transfers to it.
    fn find(
        &mut self,
        row: &'a EndpointRow,
        table: &FleetTable,
        request: &PlacementRequest<'_>,
        now: Moment,
    ) -> (u64, &SegmentTransfers) {
        let version = engine_version(row, request);
        let holders_index = self.find_holders(version, table, request, now);
        let data_centre = row.entry.data_centre.as_str();
        let found = self.transfers.iter().position(|(entry_version, entry_data_centre, _)| {
            *entry_version == version && *entry_data_centre == data_centre
        });
        let transfers_index = found.unwrap_or_else(|| {
            let transfers = SegmentTransfers::find(
                table,
                &self.holders[holders_index].2,
                request.segments,
                data_centre,
                now,
            );
            self.transfers.push((version, data_centre, transfers));
            self.transfers.len() - 1
        });
        (self.holders[holders_index].1, &self.transfers[transfers_index].2)
    }

    fn find_holders(
        &mut self,
        version: Option<u64>,
        table: &FleetTable,
        request: &PlacementRequest<'_>,
        now: Moment,
    ) -> usize {
        let found = self.holders.iter().position(|(entry_version, _, _)| *entry_version == version);
        found.unwrap_or_else(|| {
            let text =
                format_cache_salt(request.isolation_scope, request.model.unwrap_or(""), version.unwrap_or(0));
            let salt_digest = short_digest(&text);
            self.holders.push((
                version,
                salt_digest,
                SegmentHolders::find(table, request.segments, salt_digest, now),
            ));
            self.holders.len() - 1
        })
    }
}

/// Returns the recorded weight version of an engine for the requested model; none if it is unknown.
fn engine_version(row: &EndpointRow, request: &PlacementRequest<'_>) -> Option<u64> {
    let version = request.model.and_then(|model| row.entry.weights.get(model).copied());
    version.filter(|version| *version != UNKNOWN_VERSION)
}

fn transfer_terms(row: &EndpointRow, request: &PlacementRequest<'_>, costs: ServiceCosts) -> TransferTerms {
    TransferTerms {
        prefill_micros: costs.token_micros * row.slowdown(),
        objective_micros: (request.objective_millis * MICROS_PER_MILLI) as f64,
    }
}

/// Whether the request might start only after the engine's weights are overdue.
fn may_be_overdue(
    row: &EndpointRow,
    choice: &PlacementChoice,
    request: &PlacementRequest<'_>,
    now: Moment,
) -> bool {
    let (Some(model), Some(required)) = (request.model, request.required_weights) else { return false };
    // Unknown weights count as the oldest ones.
    let version = row.entry.weights.get(model).copied().unwrap_or(UNKNOWN_VERSION);
    let expected = now.after_micros(choice.expected_micros * LATEST_START_FACTOR);
    let start = expected.after_millis(LATEST_START_MARGIN_MILLIS);
    start >= required.start_deadline(version)
}

fn surcharge(row: &EndpointRow, request: &PlacementRequest<'_>) -> f64 {
    let mut cost = FAILURE_MICROS * row.failure_ratio().powi(2);
    if request.unreachable_data_centres.contains(&row.entry.data_centre.as_str()) {
        cost += UNREACHABLE_MICROS;
    }
    if row.entry.data_centre != request.data_centre {
        cost += CROSSING_MICROS + CROSSING_BYTE_MICROS * request.bytes as f64;
    }
    if let (Some(model), Some(required)) = (request.model, request.required_weights)
        && row.entry.weights.get(model).is_some_and(|loaded| *loaded < required.newest)
    {
        cost += OLD_WEIGHTS_MICROS;
    }
    cost
}

/// Terms that are the same for all engines of a service, for one request.
#[derive(Clone, Copy, Debug)]
struct EngineTerms {
    memory_tokens: u64,
    costs: ServiceCosts,
    streams: StreamTerms,
}

/// An engine with the values that decide its cost for one request.
struct EngineCandidate<'a> {
    row: &'a EndpointRow,
    salt_digest: u64,
    transfers: &'a SegmentTransfers,
    terms: EngineTerms,
}

fn engine_choice(
    key: EndpointKey,
    candidate: &EngineCandidate<'_>,
    request: &PlacementRequest<'_>,
    now: Moment,
) -> PlacementChoice {
    let row = candidate.row;
    let load = row.load(now);
    let terms = transfer_terms(row, request, candidate.terms.costs);
    let token_micros = terms.prefill_micros;
    let cached_count = row.cached_segments.leading(request.segments, candidate.salt_digest);
    let plan = plan_transfers(candidate.transfers, request.segments, cached_count, terms);
    let available_tokens =
        (plan.cached_tokens + plan.transferred_tokens).min(u64::from(request.prompt_tokens));
    let prefill_tokens = u64::from(request.prompt_tokens) - available_tokens;
    let output_tokens =
        if request.output_tokens == 0 { DEFAULT_OUTPUT_TOKENS } else { request.output_tokens };
    let needed_tokens = u64::from(request.prompt_tokens) + u64::from(output_tokens);
    let missing_tokens = (load.memory_tokens + needed_tokens).saturating_sub(candidate.terms.memory_tokens);
    let is_new = !matches!(request.versions, VersionSplit::Began(_));
    let new_prompt_fraction = if is_new { row.new_prompt_fraction } else { 1.0 };
    let fillable_tokens =
        (candidate.terms.memory_tokens as f64 * request.memory_fraction * new_prompt_fraction) as u64;
    let excess_tokens = (load.memory_tokens + needed_tokens).saturating_sub(fillable_tokens);
    let queue_micros = load.pending_prefill_tokens as f64 * token_micros;
    let prefill_micros = prefill_tokens as f64 * token_micros;
    let memory_wait_micros = missing_tokens as f64 * token_micros * MEMORY_WAIT_FACTOR;
    let stream_cost_micros = candidate.terms.streams.cost_micros(row, load, prefill_micros);
    // Segments are transferred while prompts queued before are prefilled.
    let expected_micros = (candidate.terms.costs.slowed_offset(row.slowdown())
        + queue_micros.max(plan.transfer_time_micros)
        + prefill_micros
        + memory_wait_micros) as u64;
    // Transfers, waits for memory or a slot, and cold or failing engines add time that is no prefill.
    let has_capacity = missing_tokens == 0 && load.running < row.entry.slots.max(1);
    let is_sample =
        plan.transferred_tokens == 0 && has_capacity && now >= row.cold_until && !row.is_suspected();
    let sample_tokens = is_sample.then_some(load.pending_prefill_tokens.saturating_add(prefill_tokens));
    let used_tokens = load.memory_tokens;
    let load = LoadCount { running: 1, pending_prefill_tokens: prefill_tokens, memory_tokens: needed_tokens };
    let (version, salt_digest) = (engine_version(row, request), candidate.salt_digest);
    PlacementChoice {
        key,
        load,
        expected_micros,
        excess_tokens,
        used_tokens,
        fillable_tokens: (candidate.terms.memory_tokens as f64 * new_prompt_fraction) as u64,
        queue_micros: queue_micros as u64,
        stream_cost_micros,
        sample_tokens,
        version,
        salt_digest,
        transfers: plan,
        candidates: 0,
    }
}

/// Returns the addition of one request to the expected time of the next one at a plain endpoint, in
/// microseconds.
fn plain_unit_micros(row: &EndpointRow, now: Moment) -> f64 {
    let slots = row.entry.slots.max(1);
    let overflow = if row.load(now).running >= slots { 1.0 } else { 0.0 };
    PLAIN_ANSWER_MICROS * row.slowdown() * (PLAIN_FILL_FACTOR + overflow) / f64::from(slots)
}

fn plain_choice(key: EndpointKey, row: &EndpointRow, now: Moment) -> PlacementChoice {
    let running = row.load(now).running;
    let slots = row.entry.slots.max(1);
    // Endpoints slow down when they are nearly full, and queue requests beyond their slots.
    let fill = f64::from(running) / f64::from(slots);
    let overflow = f64::from((running + 1).saturating_sub(slots)) / f64::from(slots);
    let expected_micros =
        (PLAIN_ANSWER_MICROS * row.slowdown() * (1.0 + PLAIN_FILL_FACTOR * fill + overflow)) as u64;
    let load = LoadCount { running: 1, ..LoadCount::default() };
    PlacementChoice { key, load, expected_micros, ..PlacementChoice::default() }
}
