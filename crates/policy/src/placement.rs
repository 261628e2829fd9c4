//! Placement variants: which endpoint of a cell gets a request.
//!
//! Invariant: a variant is a pure function of its input. The baselines dispatch at once and leave
//! queueing to the engine; `affinity` and `spanfold` queue requests at the home, where fair
//! share can still reorder them. Variants register themselves; a setting selects the one in use.

use spanfold_entity::Moment;

/// Prefills granted to an engine at once: one in progress and one to continue with.
pub(crate) const MAX_PREFILLS: u32 = 2;
/// Weight of a microsecond of an engine's prefill relative to one of the request's wait.
///
/// Minimizing the wait alone would scatter a prompt over all engines in a burst and evict blocks of
/// other prompts.
const PREFILL_WEIGHT: f64 = 0.5;

/// One endpoint, as a variant sees it.
#[derive(Clone, Copy, Debug)]
pub struct EndpointCandidate {
    /// Requests it may process at once.
    pub slots: u32,
    /// Requests granted to it that have not finished.
    pub in_flight: u32,
    /// Granted requests that have not returned their first token.
    pub prefills: u32,
    /// When its granted prefills are expected to finish.
    pub free_at: Moment,
    /// Estimated microseconds to compute one prompt token.
    pub micros_per_token: f64,
    /// Leading blocks of the prompt that are expected in its cache.
    pub cached_blocks: u32,
    /// Estimated microseconds until a slot is free, if none is.
    pub slot_micros: u64,
}

/// The longest run of a prompt's blocks in a store.
#[derive(Clone, Copy, Debug)]
pub struct StoredRun {
    /// Leading blocks of the prompt that the store contains.
    pub blocks: u32,
    /// When the store's link is expected to be free.
    pub link_free_at: Moment,
    /// Estimated microseconds to import one block.
    pub micros_per_block: f64,
}

/// Input of a variant's choice.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput<'a> {
    /// The current time.
    pub now: Moment,
    /// The endpoints, all of which take work.
    pub candidates: &'a [EndpointCandidate],
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of one block.
    pub block_tokens: u32,
    /// The prompt's longest run in a store.
    pub stored_run: Option<StoredRun>,
    /// Number of earlier choices of this cell.
    pub choice_count: u64,
    /// Whether the account already uses its share of the cell's slots or prefills.
    pub over_share: bool,
}

/// A variant's decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementDecision {
    /// Index of the chosen candidate.
    pub candidate: usize,
    /// Blocks to import: first and end.
    pub import: Option<(u32, u32)>,
    /// When the first token is expected.
    pub first_token_at: Moment,
    /// Expected microseconds of prefill.
    pub prefill_micros: u64,
}

/// One registered variant.
#[derive(Clone, Copy, Debug)]
pub struct PlacementEntry {
    /// Its name in the settings.
    pub name: &'static str,
    /// Whether requests queue at the home in fair order.
    ///
    /// Requests that cannot meet their deadline are then refused.
    pub queues_at_home: bool,
    /// Whether a prompt belongs to one data centre of its region.
    pub has_region_affinity: bool,
    /// Whether blocks are exported to stores and imported.
    pub uses_stores: bool,
    /// Chooses an endpoint; none if the request has to wait.
    pub choose: fn(&PlacementInput<'_>) -> Option<PlacementDecision>,
}

spanfold_kernel::inventory::collect!(PlacementEntry);

macro_rules! register_placement {
    ($entry:expr) => {
        spanfold_kernel::inventory::submit! { $entry }
    };
}

register_placement!(PlacementEntry {
    name: "round-robin",
    queues_at_home: false,
    has_region_affinity: false,
    uses_stores: false,
    choose: |input| {
        let count = input.candidates.len() as u64;
        (count > 0).then(|| place_without_import(input, (input.choice_count % count) as usize))
    },
});

register_placement!(PlacementEntry {
    name: "least-loaded",
    queues_at_home: false,
    has_region_affinity: false,
    uses_stores: false,
    choose: |input| {
        let load = |(index, candidate): &(usize, &EndpointCandidate)| {
            (u64::from(candidate.in_flight) * 1_000 / u64::from(candidate.slots.max(1)), *index)
        };
        let (index, _) = input.candidates.iter().enumerate().min_by_key(load)?;
        Some(place_without_import(input, index))
    },
});

register_placement!(PlacementEntry {
    name: "affinity",
    queues_at_home: true,
    has_region_affinity: true,
    uses_stores: false,
    choose: place_earliest
});
register_placement!(PlacementEntry {
    name: "spanfold",
    queues_at_home: true,
    has_region_affinity: true,
    uses_stores: true,
    choose: place_earliest
});

/// Returns the names of all variants, sorted.
///
/// # Examples
/// ```
/// let names = spanfold_policy::placement_names();
/// assert_eq!(names, ["affinity", "least-loaded", "round-robin", "spanfold"]);
/// ```
pub fn placement_names() -> Vec<&'static str> {
    let mut names: Vec<_> =
        spanfold_kernel::inventory::iter::<PlacementEntry>.into_iter().map(|entry| entry.name).collect();
    names.sort_unstable();
    names
}

/// Returns the variant called `name`.
pub(crate) fn placement(name: &str) -> Option<&'static PlacementEntry> {
    spanfold_kernel::inventory::iter::<PlacementEntry>.into_iter().find(|entry| entry.name == name)
}

/// Places the request without an import.
fn place_without_import(input: &PlacementInput<'_>, index: usize) -> PlacementDecision {
    estimate(input, index, None)
}

/// Places the request where importing or recomputing gives the best score.
///
/// The score is the estimated time of the first token, to which the prefill is added with
/// [`PREFILL_WEIGHT`]; the lowest one is best. Waits for a busy endpoint if that scores best.
fn place_earliest(input: &PlacementInput<'_>) -> Option<PlacementDecision> {
    let best = (0..input.candidates.len()).flat_map(|index| placement_options(input, index)).min_by(
        |left, right| score(left).total_cmp(&score(right)).then(left.candidate.cmp(&right.candidate)),
    )?;
    has_capacity(input, &input.candidates[best.candidate]).then_some(best)
}

/// Returns the placements at one endpoint: compute all missing blocks, or import first.
fn placement_options(input: &PlacementInput<'_>, index: usize) -> impl Iterator<Item = PlacementDecision> {
    let cached_blocks = input.candidates[index].cached_blocks;
    let import = input
        .stored_run
        .filter(|stored_run| stored_run.blocks > cached_blocks)
        .map(|stored_run| (cached_blocks, stored_run.blocks));
    std::iter::once(estimate(input, index, None)).chain(import.map(|run| estimate(input, index, Some(run))))
}

fn estimate(input: &PlacementInput<'_>, index: usize, import: Option<(u32, u32)>) -> PlacementDecision {
    let candidate = &input.candidates[index];
    let covered_tokens =
        import.map_or(candidate.cached_blocks, |(_, end)| end).saturating_mul(input.block_tokens);
    let missing_tokens = f64::from(input.prompt_tokens.saturating_sub(covered_tokens).max(1));
    let prefill_micros = (missing_tokens * candidate.micros_per_token) as u64;
    let ready_at = match (import, input.stored_run) {
        (Some((first, end)), Some(stored_run)) => {
            let transfer_micros = (f64::from(end - first) * stored_run.micros_per_block) as u64;
            stored_run.link_free_at.max(input.now).after_micros(transfer_micros)
        }
        _ => input.now,
    };
    let start_at = prefill_start_at(input, candidate).max(ready_at);
    let first_token_at = slot_free_at(input, candidate).max(start_at.after_micros(prefill_micros));
    PlacementDecision { candidate: index, import, first_token_at, prefill_micros }
}

/// Returns when the endpoint is expected to start a prefill.
///
/// An overdue endpoint at its maximum of prefills is expected to need as much time again as it is late.
/// Otherwise a frozen endpoint would always be expected to become free at once, and requests would wait
/// for it in vain.
fn prefill_start_at(input: &PlacementInput<'_>, candidate: &EndpointCandidate) -> Moment {
    let late_micros = input.now.micros_since(candidate.free_at);
    if candidate.prefills < MAX_PREFILLS || late_micros == 0 {
        return candidate.free_at.max(input.now);
    }
    let block_micros = f64::from(input.block_tokens) * candidate.micros_per_token;
    input.now.after_micros(late_micros.max(block_micros as u64))
}

/// Returns when a slot is expected to be free.
fn slot_free_at(input: &PlacementInput<'_>, candidate: &EndpointCandidate) -> Moment {
    if candidate.in_flight < candidate.slots {
        return input.now;
    }
    input.now.after_micros(candidate.slot_micros)
}

fn score(decision: &PlacementDecision) -> f64 {
    decision.first_token_at.0 as f64 + PREFILL_WEIGHT * decision.prefill_micros as f64
}

/// Whether the endpoint may be given one more request.
///
/// One slot is reserved for accounts below their share: otherwise a lent slot would be returned only
/// when a long answer finishes.
fn has_capacity(input: &PlacementInput<'_>, candidate: &EndpointCandidate) -> bool {
    let reserved_slots = u32::from(input.over_share && candidate.slots > 2);
    // An account below its share may have one more prefill: the engine switches to the higher priority
    // after each block, so that the account waits for one block and not for two prompts.
    let max_prefills = MAX_PREFILLS + u32::from(!input.over_share);
    candidate.in_flight + reserved_slots < candidate.slots && candidate.prefills < max_prefills
}
