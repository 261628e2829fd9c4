//! Which endpoint a request goes to.
//!
//! The endpoint with the least expected cost wins: expected time to the first event (prompts that
//! wait there, parts that must be moved there, the rest that must be read, memory that must come
//! free first), and on top the price of crossing data centres, of failing answers and of old
//! weights, all in microseconds. Invariant: an endpoint that leaves, that asked this VM for a rest, that has failed this
//! request, whose data centre is evacuated or outside the request's homes, or whose weights are overdue is never chosen; one that is ejected only if all are. Each VM
//! decides by itself on loads that peers told it some milliseconds ago: asking a home VM would cost
//! more time than its exactness saves.

use crate::admit::endpoint_sample::sample_endpoints;
use crate::kept::{
    RECOMPUTE_MICROS_PER_TOKEN, SaveTarget, SegmentHolders, SegmentTransfers, TransferPlan, TransferTerms,
    plan_fetches, plan_saves, plan_transfers,
};
use crate::{
    ColdTerms, EndpointKey, EndpointRow, FleetTable, HomeRegions, LoadCount, PromptSegment, RateTerms,
    RequiredWeights, ShareRight, VersionSplit, short_digest,
};
use spanfold_entity::{MICROS_PER_MILLI, Moment};

/// Time in which an engine reads one prompt token, in microseconds, until its pace is learned;
/// steps included.
const READ_MICROS: f64 = 21.0;
/// Time from the request to the first event beside reading, in microseconds.
const FIRST_MICROS: f64 = 20_000.0;
/// Time of one answer of a plain service without load, in microseconds.
const PLAIN_MICROS: f64 = 30_000.0;
/// Memory that is out is waited for at this multiple of the time to read as much.
const MEMORY_FACTOR: f64 = 1.5;
/// Cost of a token beyond the memory that the request may fill, in microseconds: about the time to read one, so that an
/// engine with room goes before one whose queue is shorter, but not before one that keeps the prompt.
const OVER_TOKEN_MICROS: f64 = 20.0;
/// Cost of one request byte that crosses data centres, in microseconds; such bytes are priced.
const CROSS_BYTE_MICROS: f64 = 3.0;
/// Cost of any crossing, in microseconds: the round trip.
const CROSS_MICROS: f64 = 3_000.0;
/// Cost of a data centre that seems to be cut off, in microseconds: about the time to notice it.
const SILENT_MICROS: f64 = 600_000.0;
/// Cost of an endpoint all of whose answers fail, in microseconds.
const FAILURE_MICROS: f64 = 600_000.0;
/// Cost of old weights once a newer version stands, in microseconds: a part of the answer's worth.
const OLD_WEIGHTS_MICROS: f64 = 200_000.0;
/// A request may start after this multiple of the expected time.
const OVERDUE_FACTOR: u64 = 2;
/// And this much later, in milliseconds, before the weights that it starts on are overdue.
const OVERDUE_MARGIN_MILLIS: u64 = 700;
/// Spread of a random addition, in microseconds, so that VMs with the same view do not all agree.
const SPREAD_MICROS: f64 = 3_000.0;
/// Tokens generated that a request is expected to hold at most when it names none.
const UNNAMED_OUTPUT: u32 = 64;

/// What is to be placed.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// This VM's data centre.
    pub data_centre: &'a str,
    /// Data centres that seem to be cut off.
    pub silent: &'a [&'a str],
    /// The prompt's parts; empty for plain services.
    pub parts: &'a [PromptSegment],
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that may be generated.
    pub output_tokens: u32,
    /// Latency objective of its route, in milliseconds.
    pub objective_millis: u64,
    /// Bytes of the request.
    pub bytes: usize,
    /// The model, if the request names one.
    pub model: Option<&'a str>,
    /// The versions of its weights that are wanted, if any was named.
    pub wanted: Option<&'a RequiredWeights>,
    /// Part of an engine's memory that the request may fill up.
    pub memory_fraction: f64,
    /// Regions that the request may be served in.
    pub homes: HomeRegions<'a>,
    /// Who may share cached parts: all accounts, or one alone.
    pub wall: &'a str,
    /// Endpoints that this request was sent to already.
    pub exclude: &'a [EndpointKey],
    /// Versions of endpoints that it may go to.
    pub versions: &'a VersionSplit,
    /// What this VM may send to endpoints that take few requests.
    pub shares: ShareView<'a>,
    /// A random number in `0.0..1.0` for each candidate.
    pub draw: fn() -> f64,
}

impl PlacementRequest<'_> {
    /// Whether the request may go to an endpoint, now or when that takes more.
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

/// What a VM may send to endpoints that take few requests from all VMs together.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShareView<'a> {
    /// Its right; none while it may send nothing.
    pub right: Option<&'a ShareRight>,
    /// What the operator allows all VMs together to send to a cold endpoint.
    pub cold: ColdTerms,
    /// All VMs.
    pub vms: usize,
}

impl ShareView<'_> {
    /// Requests in a window that it may send to an endpoint on these terms.
    pub(crate) fn part(&self, key: EndpointKey, row: &EndpointRow, terms: &RateTerms) -> u64 {
        self.right.map_or(0, |right| right.part(key, &row.entry.data_centre, terms))
    }
}

/// Where a request goes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementChoice {
    /// The endpoint.
    pub key: EndpointKey,
    /// What is to be counted as in flight there.
    pub load: LoadCount,
    /// Expected time to the first event, in microseconds.
    pub expected_micros: u64,
    /// Tokens by which the engine's memory would be filled beyond the part that the request may fill.
    pub excess_tokens: u64,
    /// Time for which prompts that came before are read, in microseconds.
    pub queue_micros: u64,
    /// Weights that the engine is believed to have.
    pub version: Option<u64>,
    /// Digest of the text under which parts are shared.
    pub salt: u64,
    /// What is kept there, what is moved there, and what is to be saved.
    pub kept: TransferPlan,
    /// Endpoints that were weighed.
    pub candidates: u32,
}

/// The text under which an engine shares cached parts: the wall, the model and its version.
///
/// # Examples
/// ```
/// assert_eq!(spanfold_decide::salt_text("shared", "m", 2), "shared.m.2");
/// ```
pub fn salt_text(wall: &str, model: &str, version: u64) -> String {
    format!("{wall}.{model}.{version}")
}

/// The model and version in a text made by [`salt_text`].
pub fn salt_version(salt: &str) -> Option<(&str, u64)> {
    let (rest, version) = salt.rsplit_once('.')?;
    let (_, model) = rest.rsplit_once('.')?;
    Some((model, version.parse().ok()?))
}

/// Chooses an endpoint; none if no endpoint of the service may get work.
///
/// Of many endpoints a sample is weighed; if none of it has room, all are.
pub fn place(table: &FleetTable, ask: &PlacementRequest<'_>, now: Moment) -> Option<PlacementChoice> {
    let sample = sample_endpoints(table, ask, now).into_iter().map(|key| (key, table.row(key)));
    let sample = sample.filter_map(|(key, row)| Some((key, row?))).filter(|(_, row)| is_sound(row, now));
    let sampled = place_among(table, ask, sample.collect(), now);
    let has_capacity = |choice: &PlacementChoice| choice.excess_tokens == 0;
    sampled.filter(has_capacity).or_else(|| place_among(table, ask, candidates(table, ask, now), now))
}

/// Chooses one of some endpoints.
fn place_among(
    table: &FleetTable,
    ask: &PlacementRequest<'_>,
    endpoints: Vec<(EndpointKey, &EndpointRow)>,
    now: Moment,
) -> Option<PlacementChoice> {
    let usable = endpoints.into_iter();
    let usable = usable.filter(|(key, row)| table.next_share(*key, row, &ask.shares, now) == Some(now));
    let engine = table.service(ask.service).and_then(|service| service.engine.as_ref());
    let memory_tokens = engine.map(|engine| engine.memory_tokens);
    let mut outlook = PromptOutlook::default();
    let mut best: Option<(f64, PlacementChoice)> = None;
    let mut weighed = 0;
    for (key, row) in usable {
        weighed += 1;
        let choice = match memory_tokens {
            Some(tokens) => {
                let (salt, moves) = outlook.of(row, table, ask, now);
                let view = EngineView { row, salt, moves, memory_tokens: tokens };
                engine_choice(key, &view, ask, now)
            }
            None => plain_choice(key, row, now),
        };
        if may_be_overdue(row, &choice, ask, now) {
            continue;
        }
        let rereading = choice.kept.reread_tokens as f64 * RECOMPUTE_MICROS_PER_TOKEN;
        let cost = choice.expected_micros as f64
            + choice.excess_tokens as f64 * OVER_TOKEN_MICROS
            + rereading
            + surcharge(row, ask)
            + SPREAD_MICROS * (ask.draw)();
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, choice));
        }
    }
    let (_, mut choice) = best?;
    choice.candidates = weighed;
    if let Some(row) = table.row(choice.key)
        && memory_tokens.is_some()
    {
        let (_, moves) = outlook.of(row, table, ask, now);
        let cached_count = row.kept.leading(ask.parts, choice.salt);
        choice.kept.fetches = plan_fetches(moves, ask.parts, cached_count, move_terms(row, ask));
        if choice.version.is_some() {
            let place = SaveTarget { data_centre: &row.entry.data_centre, homes: ask.homes };
            choice.kept.saves = plan_saves(table, place, ask.parts, choice.salt, now);
        }
    }
    Some(choice)
}

/// The endpoints that a request may go to, now or when they take more: all sound ones, or all if none is.
pub(crate) fn candidates<'a>(
    table: &'a FleetTable,
    ask: &PlacementRequest<'_>,
    now: Moment,
) -> Vec<(EndpointKey, &'a EndpointRow)> {
    let allowed = table.rows_of(ask.service).filter(|(key, row)| ask.allows(table, *key, row, now));
    let mut allowed: Vec<_> = allowed.collect();
    if allowed.iter().any(|(_, row)| is_sound(row, now)) {
        allowed.retain(|(_, row)| is_sound(row, now));
    }
    allowed
}

fn is_sound(row: &EndpointRow, now: Moment) -> bool {
    !row.is_ejected(now) && !row.is_closing(now) && !row.rest.is_backing_off(now)
}

/// What is the same for many engines, found for the first of them: by weights, what the stores hold, and by weights
/// and data centre, what its move takes.
#[derive(Debug, Default)]
struct PromptOutlook<'a> {
    holders: Vec<(Option<u64>, u64, SegmentHolders)>,
    moves: Vec<(Option<u64>, &'a str, SegmentTransfers)>,
}

impl<'a> PromptOutlook<'a> {
    /// The digest of the text under which an engine shares the prompt's parts, and the moves to it.
    fn of(
        &mut self,
        row: &'a EndpointRow,
        table: &FleetTable,
        ask: &PlacementRequest<'_>,
        now: Moment,
    ) -> (u64, &SegmentTransfers) {
        let version = engine_version(row, ask);
        let held = self.held(version, table, ask, now);
        let data_centre = row.entry.data_centre.as_str();
        let known =
            self.moves.iter().position(|(other, place, _)| *other == version && *place == data_centre);
        let place = known.unwrap_or_else(|| {
            let moves = SegmentTransfers::find(table, &self.holders[held].2, ask.parts, data_centre, now);
            self.moves.push((version, data_centre, moves));
            self.moves.len() - 1
        });
        (self.holders[held].1, &self.moves[place].2)
    }

    fn held(
        &mut self,
        version: Option<u64>,
        table: &FleetTable,
        ask: &PlacementRequest<'_>,
        now: Moment,
    ) -> usize {
        let known = self.holders.iter().position(|(other, _, _)| *other == version);
        known.unwrap_or_else(|| {
            let text = salt_text(ask.wall, ask.model.unwrap_or(""), version.unwrap_or(0));
            let salt = short_digest(&text);
            self.holders.push((version, salt, SegmentHolders::find(table, ask.parts, salt, now)));
            self.holders.len() - 1
        })
    }
}

/// The weights that an engine is believed to have of the model that is asked for.
fn engine_version(row: &EndpointRow, ask: &PlacementRequest<'_>) -> Option<u64> {
    ask.model.and_then(|model| row.entry.weights.get(model).copied())
}

fn move_terms(row: &EndpointRow, ask: &PlacementRequest<'_>) -> TransferTerms {
    TransferTerms {
        read_micros: READ_MICROS * row.pace(),
        objective_micros: (ask.objective_millis * MICROS_PER_MILLI) as f64,
    }
}

/// Whether the request might start only when the weights that an engine has are overdue.
fn may_be_overdue(
    row: &EndpointRow,
    choice: &PlacementChoice,
    ask: &PlacementRequest<'_>,
    now: Moment,
) -> bool {
    let (Some(model), Some(wanted)) = (ask.model, ask.wanted) else { return false };
    let Some(version) = row.entry.weights.get(model) else { return false };
    let expected = now.after_micros(choice.expected_micros * OVERDUE_FACTOR);
    let start = expected.after_millis(OVERDUE_MARGIN_MILLIS);
    start >= wanted.last_start(*version)
}

fn surcharge(row: &EndpointRow, ask: &PlacementRequest<'_>) -> f64 {
    let mut cost = FAILURE_MICROS * row.failure_ratio().powi(2);
    if ask.silent.contains(&row.entry.data_centre.as_str()) {
        cost += SILENT_MICROS;
    }
    if row.entry.data_centre != ask.data_centre {
        cost += CROSS_MICROS + CROSS_BYTE_MICROS * ask.bytes as f64;
    }
    if let (Some(model), Some(wanted)) = (ask.model, ask.wanted)
        && row.entry.weights.get(model).is_some_and(|loaded| *loaded < wanted.newest)
    {
        cost += OLD_WEIGHTS_MICROS;
    }
    cost
}

/// An engine as one request sees it.
struct EngineView<'a> {
    row: &'a EndpointRow,
    salt: u64,
    moves: &'a SegmentTransfers,
    memory_tokens: u64,
}

fn engine_choice(
    key: EndpointKey,
    view: &EngineView<'_>,
    ask: &PlacementRequest<'_>,
    now: Moment,
) -> PlacementChoice {
    let row = view.row;
    let load = row.load(now);
    let terms = move_terms(row, ask);
    let read_micros = terms.read_micros;
    let cached_count = row.kept.leading(ask.parts, view.salt);
    let kept = plan_transfers(view.moves, ask.parts, cached_count, terms);
    let ready_tokens = (kept.kept_tokens + kept.moved_tokens).min(u64::from(ask.prompt_tokens));
    let unread_tokens = u64::from(ask.prompt_tokens) - ready_tokens;
    let output = if ask.output_tokens == 0 { UNNAMED_OUTPUT } else { ask.output_tokens };
    let need = u64::from(ask.prompt_tokens) + u64::from(output);
    let over_memory = (load.memory_tokens + need).saturating_sub(view.memory_tokens);
    let room = (view.memory_tokens as f64 * ask.memory_fraction) as u64;
    let excess_tokens = (load.memory_tokens + need).saturating_sub(room);
    let queue = load.unread_tokens as f64 * read_micros;
    let reading = unread_tokens as f64 * read_micros;
    let memory_wait = over_memory as f64 * read_micros * MEMORY_FACTOR;
    // Parts move while prompts that came before are read.
    let expected_micros =
        (FIRST_MICROS + queue.max(kept.transfer_time_micros) + reading + memory_wait) as u64;
    let load = LoadCount { running: 1, unread_tokens, memory_tokens: need };
    let (version, salt) = (engine_version(row, ask), view.salt);
    PlacementChoice {
        key,
        load,
        expected_micros,
        excess_tokens,
        queue_micros: queue as u64,
        version,
        salt,
        kept,
        candidates: 0,
    }
}

fn plain_choice(key: EndpointKey, row: &EndpointRow, now: Moment) -> PlacementChoice {
    let running = row.load(now).running;
    let slots = row.entry.slots.max(1);
    // Endpoints slow down when they are nearly full, and queue beyond their slots.
    let fill = f64::from(running) / f64::from(slots);
    let queue = f64::from((running + 1).saturating_sub(slots)) / f64::from(slots);
    let expected_micros = (PLAIN_MICROS * row.pace() * (1.0 + 0.3 * fill + queue)) as u64;
    let load = LoadCount { running: 1, ..LoadCount::default() };
    PlacementChoice { key, load, expected_micros, ..PlacementChoice::default() }
}
