//! Which parts of a prompt an engine takes from stores, and which it saves there.
//!
//! Invariant: a part is taken only from a store that has told it whole, and only if moving it is
//! expected to take less time than reading it. A part is saved by one request only: it goes to the
//! fastest store with room, unless a store has it or waits for it. The last part belongs to one
//! request and is not saved. Nothing is saved outside the prompt's homes; taking a part from there moves it
//! to an engine, which stands in one.

use crate::salted_key;
use crate::{EndpointKey, FleetTable, HomeRegions, PromptSegment, StoreRow};
use spanfold_entity::Moment;

/// Cost of reading a token again that could have been taken from elsewhere, in microseconds: such
/// reading is priced, and keeps the engine from others' prompts.
pub(crate) const RECOMPUTE_MICROS_PER_TOKEN: f64 = 100.0;
/// A move that takes longer than reading is made up to this part of the latency objective: it saves engines the reading
/// of shared parts, and beyond it answers are late.
const LONG_MOVE_PART: f64 = 0.45;

/// Stores whose moves take up to this many times the fastest one's time count as equally fast.
const SAME_SPEED: f64 = 1.3;

/// What becomes of a prompt's parts at the engine that was chosen.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TransferPlan {
    /// Tokens believed kept there.
    pub kept_tokens: u64,
    /// Tokens beyond them that are moved there.
    pub moved_tokens: u64,
    /// Tokens beyond those kept there that stores hold, moved or not.
    pub held_tokens: u64,
    /// Tokens of parts that others share, and that are read there all the same.
    pub reread_tokens: u64,
    /// Expected time of these moves, in microseconds.
    pub transfer_time_micros: f64,
    /// Where each part may be taken from.
    pub fetches: Vec<Option<EndpointKey>>,
    /// Where each part is to be saved.
    pub saves: Vec<Option<EndpointKey>>,
}

impl TransferPlan {
    /// Stores that parts are moved from, with the tokens of each.
    pub fn moves<'a>(&'a self, parts: &'a [PromptSegment]) -> impl Iterator<Item = (EndpointKey, u64)> + 'a {
        let mut tokens_before = 0;
        self.fetches.iter().zip(parts).filter_map(move |(store, part)| {
            let kept = tokens_before < self.kept_tokens;
            tokens_before += u64::from(part.tokens);
            store.filter(|_| !kept).map(|store| (store, u64::from(part.tokens)))
        })
    }
}

/// The stores that hold each part of a prompt.
#[derive(Clone, Debug, Default)]
pub(crate) struct SegmentHolders(Vec<Vec<EndpointKey>>);

impl SegmentHolders {
    pub(crate) fn find(table: &FleetTable, parts: &[PromptSegment], salt: u64, now: Moment) -> Self {
        let holders = parts.iter().map(|part| {
            let key = salted_key(part.key, salt);
            let holding = table.stores().filter(|(_, row)| row.holds(key, part.tokens, now));
            holding.map(|(store, _)| store).collect()
        });
        Self(holders.collect())
    }
}

/// The quickest move of each part of a prompt to the engines of one data centre: the store, and the time in
/// microseconds.
///
/// It is the same for all of them, so it is found once for each data centre and not for each engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct SegmentTransfers(Vec<Option<(EndpointKey, f64)>>);

impl SegmentTransfers {
    pub(crate) fn find(
        table: &FleetTable,
        holders: &SegmentHolders,
        parts: &[PromptSegment],
        data_centre: &str,
        now: Moment,
    ) -> Self {
        let moves = holders.0.iter().zip(parts).map(|(stores, part)| {
            let tokens = u64::from(part.tokens);
            let times = stores.iter().filter_map(|store| {
                Some((*store, table.store(*store)?.transfer_time_micros(tokens, data_centre, now)))
            });
            times.min_by(|one, other| one.1.total_cmp(&other.1))
        });
        Self(moves.collect())
    }
}

/// What moving a part to one engine is weighed against.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TransferTerms {
    /// Time in which it reads a token, in microseconds.
    pub read_micros: f64,
    /// The request's latency objective, in microseconds.
    pub objective_micros: f64,
}

/// Plans what an engine that keeps the first `kept_count` parts takes of the others from stores; where each comes
/// from is left to [`plan_fetches`], which only the engine that is chosen needs.
pub(crate) fn plan_transfers(
    moves: &SegmentTransfers,
    parts: &[PromptSegment],
    cached_count: usize,
    terms: TransferTerms,
) -> TransferPlan {
    let mut plan = TransferPlan {
        kept_tokens: parts[..cached_count].iter().map(|part| u64::from(part.tokens)).sum(),
        ..TransferPlan::default()
    };
    let mut whole = true;
    let shared = parts.len().saturating_sub(1);
    for (row, (nearest, part)) in moves.0.iter().zip(parts).enumerate().skip(cached_count) {
        let tokens = u64::from(part.tokens);
        plan.held_tokens += if nearest.is_some() { tokens } else { 0 };
        whole &= is_moved(*nearest, part, terms);
        if let Some((_, micros)) = nearest.filter(|_| whole) {
            plan.moved_tokens += tokens;
            plan.transfer_time_micros += micros;
        } else if row < shared {
            plan.reread_tokens += tokens;
        }
    }
    plan
}

/// Where each part may be taken from: those believed kept too, since the belief may be wrong, and of the others
/// all before the first one that is not worth moving.
pub(crate) fn plan_fetches(
    moves: &SegmentTransfers,
    parts: &[PromptSegment],
    cached_count: usize,
    terms: TransferTerms,
) -> Vec<Option<EndpointKey>> {
    let mut whole = true;
    let stores = moves.0.iter().zip(parts).enumerate().map(|(row, (nearest, part))| {
        let is_worth = is_moved(*nearest, part, terms);
        whole &= is_worth || row < cached_count;
        nearest.filter(|_| whole && is_worth).map(|(store, _)| store)
    });
    stores.collect()
}

fn is_moved(nearest: Option<(EndpointKey, f64)>, part: &PromptSegment, terms: TransferTerms) -> bool {
    nearest.is_some_and(|(_, micros)| is_worth_moving(micros, u64::from(part.tokens), terms))
}

fn is_worth_moving(transfer_time_micros: f64, tokens: u64, terms: TransferTerms) -> bool {
    let reading = tokens as f64 * terms.read_micros;
    let with_price = reading + tokens as f64 * RECOMPUTE_MICROS_PER_TOKEN;
    transfer_time_micros < reading
        || transfer_time_micros < with_price.min(terms.objective_micros * LONG_MOVE_PART)
}

/// Where parts are saved from, and where they may be.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SaveTarget<'a> {
    /// The engine's data centre.
    pub data_centre: &'a str,
    /// Regions that the prompt may be kept in.
    pub homes: HomeRegions<'a>,
}

/// Plans where an engine saves the parts that no store has.
pub(crate) fn plan_saves(
    table: &FleetTable,
    place: SaveTarget<'_>,
    parts: &[PromptSegment],
    salt: u64,
    now: Moment,
) -> Vec<Option<EndpointKey>> {
    let shared = parts.len().saturating_sub(1);
    let target = |part: &PromptSegment| {
        let key = salted_key(part.key, salt);
        if table.stores().any(|(_, row)| row.has_or_awaits(key, now)) {
            return None;
        }
        save_target(table, key, part.tokens, place, now)
    };
    parts.iter().enumerate().map(|(row, part)| if row < shared { target(part) } else { None }).collect()
}

fn save_target(
    table: &FleetTable,
    key: u64,
    tokens: u32,
    place: SaveTarget<'_>,
    now: Moment,
) -> Option<EndpointKey> {
    let speed = |row: &StoreRow| {
        row.spec.first_millis * 1_000.0
            + f64::from(tokens) * row.spec.token_bytes as f64 * 8.0 / row.spec.link_mbps.max(1.0)
    };
    let open: Vec<_> = table
        .stores()
        .filter(|(_, row)| row.is_heard(now) && row.has_capacity(tokens))
        .filter(|(_, row)| table.is_home(place.homes, &row.spec.data_centre))
        .collect();
    let fastest = open.iter().map(|(_, row)| speed(row)).min_by(f64::total_cmp)?;
    let near = |row: &StoreRow| row.spec.data_centre == place.data_centre;
    // Among equally fast stores one nearby, else one by the part's own digest.
    open.into_iter()
        .filter(|(_, row)| speed(row) <= fastest * SAME_SPEED)
        .max_by_key(|(store, row)| (near(row), store.0 ^ key))
        .map(|(store, _)| store)
}
