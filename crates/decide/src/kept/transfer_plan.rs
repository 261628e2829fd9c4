//! Plans which segments of a prompt an engine fetches from stores, and which it saves there.
//!
//! Invariant: a segment is fetched only from a store that has reported it complete, and only if the transfer
//! is expected to take less time than prefilling it, or little more time at a lower price. A segment is saved
//! by one request only: it goes to the fastest store with free space, unless a store contains or expects it.
//! The last segment belongs to one request and is not saved. Nothing is saved outside the prompt's home
//! regions; a fetch from outside transfers the segment to an engine, which is in one.

use crate::salted_key;
use crate::{EndpointKey, FleetTable, HomeRegions, PromptSegment, StoreRow};
use spanfold_entity::Moment;

/// Cost of recomputing a token that could have been fetched, in microseconds: such prefills are charged, and
/// they delay other prompts at the engine.
pub(crate) const RECOMPUTE_MICROS_PER_TOKEN: f64 = 100.0;
/// Fraction of the latency objective up to which a transfer may take longer than the prefill: it saves
/// engines the prefill of shared segments, and beyond it answers are late.
const LONG_TRANSFER_FRACTION: f64 = 0.45;

/// Ratio to the fastest store's time up to which stores count as equally fast.
const EQUAL_SPEED_RATIO: f64 = 1.3;

/// Plan for the segments of a prompt at the selected engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TransferPlan {
    /// Tokens estimated to be cached there.
    pub cached_tokens: u64,
    /// Those of the first segment.
    pub first_cached_tokens: u64,
    /// Further tokens that are transferred there.
    pub transferred_tokens: u64,
    /// Tokens beyond the cached ones that stores contain, transferred or not.
    pub stored_tokens: u64,
    /// Tokens of shared segments that are prefilled there all the same.
    pub recomputed_tokens: u64,
    /// Expected time of these transfers, in microseconds.
    pub transfer_time_micros: f64,
    /// Store from which each segment may be fetched.
    pub fetches: Vec<Option<EndpointKey>>,
    /// Store to which each segment is to be saved.
    pub saves: Vec<Option<EndpointKey>>,
}

impl TransferPlan {
    /// Returns the stores that segments are fetched from, with the tokens of each segment.
    pub fn store_transfers<'a>(
        &'a self,
        segments: &'a [PromptSegment],
    ) -> impl Iterator<Item = (EndpointKey, u64)> + 'a {
        let mut tokens_before = 0;
        self.fetches.iter().zip(segments).filter_map(move |(store, segment)| {
            let is_cached = tokens_before < self.cached_tokens;
            tokens_before += u64::from(segment.tokens);
            store.filter(|_| !is_cached).map(|store| (store, u64::from(segment.tokens)))
        })
    }
}

/// Stores that contain each segment of a prompt.
#[derive(Clone, Debug, Default)]
pub(crate) struct SegmentHolders(Vec<Vec<EndpointKey>>);

impl SegmentHolders {
    pub(crate) fn find(table: &FleetTable, segments: &[PromptSegment], salt: u64, now: Moment) -> Self {
        let holders = segments.iter().map(|segment| {
            let key = salted_key(segment.key, salt);
            let stores = table.stores().filter(|(_, row)| row.contains(key, segment.tokens, now));
            stores.map(|(store, _)| store).collect()
        });
        Self(holders.collect())
    }
}

/// Fastest transfer of each segment of a prompt to the engines of one data centre: the store, and the time in
/// microseconds.
///
/// It is the same for all engines there, so it is computed once for each data centre and not for each engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct SegmentTransfers(Vec<Option<(EndpointKey, f64)>>);

impl SegmentTransfers {
    pub(crate) fn find(
        table: &FleetTable,
        holders: &SegmentHolders,
        segments: &[PromptSegment],
        data_centre: &str,
        now: Moment,
    ) -> Self {
        let transfers = holders.0.iter().zip(segments).map(|(stores, segment)| {
            let tokens = u64::from(segment.tokens);
            let times = stores.iter().filter_map(|store| {
                Some((*store, table.store(*store)?.transfer_time_micros(tokens, data_centre, now)))
            });
            times.min_by(|first, second| first.1.total_cmp(&second.1))
        });
        Self(transfers.collect())
    }
}

/// Terms that the transfers to one engine are compared with.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TransferTerms {
    /// Time in which the engine prefills a token, in microseconds.
    pub prefill_micros: f64,
    /// The request's latency objective, in microseconds.
    pub objective_micros: f64,
}

/// Plans what an engine that has cached the first `cached_count` segments fetches of the others. The stores
/// are left to [`plan_fetches`], which only the selected engine needs.
pub(crate) fn plan_transfers(
    transfers: &SegmentTransfers,
    segments: &[PromptSegment],
    cached_count: usize,
    terms: TransferTerms,
) -> TransferPlan {
    let mut plan = TransferPlan {
        cached_tokens: segments[..cached_count].iter().map(|segment| u64::from(segment.tokens)).sum(),
        first_cached_tokens: segments[..cached_count].first().map_or(0, |segment| u64::from(segment.tokens)),
        ..TransferPlan::default()
    };
    let mut is_unbroken = true;
    let shared_count = segments.len().saturating_sub(1);
    for (index, (fastest, segment)) in transfers.0.iter().zip(segments).enumerate().skip(cached_count) {
        let tokens = u64::from(segment.tokens);
        plan.stored_tokens += if fastest.is_some() { tokens } else { 0 };
        is_unbroken &= is_transferred(*fastest, segment, terms);
        if let Some((_, micros)) = fastest.filter(|_| is_unbroken) {
            plan.transferred_tokens += tokens;
            plan.transfer_time_micros += micros;
        } else if index < shared_count {
            plan.recomputed_tokens += tokens;
        }
    }
    plan
}

/// Returns the store from which each segment may be fetched: those estimated to be cached too, since the
/// estimate may be wrong, and of the others all before the first one that is not worth transferring.
pub(crate) fn plan_fetches(
    transfers: &SegmentTransfers,
    segments: &[PromptSegment],
    cached_count: usize,
    terms: TransferTerms,
) -> Vec<Option<EndpointKey>> {
    let mut is_unbroken = true;
    let stores = transfers.0.iter().zip(segments).enumerate().map(|(index, (fastest, segment))| {
        let is_worthwhile = is_transferred(*fastest, segment, terms);
        is_unbroken &= is_worthwhile || index < cached_count;
        fastest.filter(|_| is_unbroken && is_worthwhile).map(|(store, _)| store)
    });
    stores.collect()
}

fn is_transferred(
    fastest: Option<(EndpointKey, f64)>,
    segment: &PromptSegment,
    terms: TransferTerms,
) -> bool {
    fastest.is_some_and(|(_, micros)| is_worth_transferring(micros, u64::from(segment.tokens), terms))
}

fn is_worth_transferring(transfer_time_micros: f64, tokens: u64, terms: TransferTerms) -> bool {
    let recompute_micros = tokens as f64 * terms.prefill_micros;
    let priced_micros = recompute_micros + tokens as f64 * RECOMPUTE_MICROS_PER_TOKEN;
    transfer_time_micros < recompute_micros
        || transfer_time_micros < priced_micros.min(terms.objective_micros * LONG_TRANSFER_FRACTION)
}

/// Engine and regions of a save.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SaveTarget<'a> {
    /// The engine's data centre.
    pub data_centre: &'a str,
    /// Home regions of the prompt.
    pub homes: HomeRegions<'a>,
}

/// Plans to which store an engine saves each segment that no store contains.
pub(crate) fn plan_saves(
    table: &FleetTable,
    target: SaveTarget<'_>,
    segments: &[PromptSegment],
    salt: u64,
    now: Moment,
) -> Vec<Option<EndpointKey>> {
    let shared_count = segments.len().saturating_sub(1);
    let choose = |segment: &PromptSegment| {
        let key = salted_key(segment.key, salt);
        if table.stores().any(|(_, row)| row.has_or_awaits(key, now)) {
            return None;
        }
        choose_store(table, key, segment.tokens, target, now)
    };
    segments
        .iter()
        .enumerate()
        .map(|(index, segment)| if index < shared_count { choose(segment) } else { None })
        .collect()
}

fn choose_store(
    table: &FleetTable,
    key: u64,
    tokens: u32,
    target: SaveTarget<'_>,
    now: Moment,
) -> Option<EndpointKey> {
    let save_micros = |row: &StoreRow| {
        row.spec.transfer_latency_millis * 1_000.0
            + f64::from(tokens) * row.spec.token_bytes as f64 * 8.0 / row.spec.link_mbps.max(1.0)
    };
    let candidates: Vec<_> = table
        .stores()
        .filter(|(_, row)| row.is_reachable(now) && row.has_capacity(tokens))
        .filter(|(_, row)| table.is_home(target.homes, &row.spec.data_centre))
        .collect();
    let fastest = candidates.iter().map(|(_, row)| save_micros(row)).min_by(f64::total_cmp)?;
    let is_local = |row: &StoreRow| row.spec.data_centre == target.data_centre;
    // Prefers a store in the same data centre among equally fast ones, else selects by the segment's digest.
    candidates
        .into_iter()
        .filter(|(_, row)| save_micros(row) <= fastest * EQUAL_SPEED_RATIO)
        .max_by_key(|(store, row)| (is_local(row), store.0 ^ key))
        .map(|(store, _)| store)
}
