//! Placement variants: which endpoint of a cell gets a request.
//!
//! Invariant: a variant is a pure function of the choice it is shown. The baselines dispatch at
//! once and leave queueing to the engine; the chosen design holds requests at the home, where
//! fair share can still order them. Variants register themselves; a setting names the one used.

use spanfold_entity::Moment;

/// Prefills that an engine may have before it: one at work, one to go on with.
pub(crate) const PREFILL_DEPTH: u32 = 2;
/// How much a microsecond of an engine's prefill counts next to one of the request's wait.
///
/// Waiting alone would scatter a prompt over all engines in a burst and evict others' pieces.
const WORK_WEIGHT: f64 = 0.5;

/// One endpoint as it is shown to a variant.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Requests it may work on at once.
    pub slots: u32,
    /// Requests granted to it and not ended.
    pub in_flight: u32,
    /// Granted requests whose first token is not out.
    pub depth: u32,
    /// When its granted prefills should be done.
    pub free_at: Moment,
    /// Estimated microseconds to compute one prompt token.
    pub micros_per_token: f64,
    /// Leading pieces of the prompt that it should hold.
    pub held: u32,
    /// Estimated microseconds until a slot is free, if none is.
    pub slot_micros: u64,
}

/// The longest run of kept pieces.
#[derive(Clone, Copy, Debug)]
pub struct KeptRun {
    /// Leading pieces of the prompt that the store holds.
    pub pieces: u32,
    /// When the store's link should be free.
    pub link_free_at: Moment,
    /// Estimated microseconds to import one piece.
    pub micros_per_piece: f64,
}

/// All that a variant decides on.
#[derive(Clone, Copy, Debug)]
pub struct Choice<'a> {
    /// The time.
    pub now: Moment,
    /// The endpoints, all of which take work.
    pub candidates: &'a [Candidate],
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of one piece.
    pub piece_tokens: u32,
    /// What a store holds of it.
    pub kept: Option<KeptRun>,
    /// Counts the choices of this cell.
    pub turn: u64,
    /// Whether the account already has its share of the cell's slots.
    pub over_share: bool,
}

/// A variant's answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placed {
    /// Which candidate.
    pub candidate: usize,
    /// Pieces to import: first and end.
    pub import: Option<(u32, u32)>,
    /// When the first token should be out.
    pub first_token_at: Moment,
    /// Microseconds of prefill that it takes.
    pub prefill_micros: u64,
}

/// One registered variant.
#[derive(Clone, Copy, Debug)]
pub struct PlacementEntry {
    /// Its name in the settings.
    pub name: &'static str,
    /// Whether requests are held at the home in fair order, and refused when hopeless.
    pub holds: bool,
    /// Whether a prompt belongs to one data centre of its region.
    pub gathers: bool,
    /// Whether pieces are exported to stores and imported.
    pub keeps: bool,
    /// Chooses; none means wait.
    pub choose: fn(&Choice<'_>) -> Option<Placed>,
}

spanfold_kernel::inventory::collect!(PlacementEntry);

macro_rules! register_placement {
    ($entry:expr) => {
        spanfold_kernel::inventory::submit! { $entry }
    };
}

register_placement!(PlacementEntry {
    name: "round-robin",
    holds: false,
    gathers: false,
    keeps: false,
    choose: |choice| {
        let count = choice.candidates.len() as u64;
        (count > 0).then(|| plain(choice, (choice.turn % count) as usize))
    },
});

register_placement!(PlacementEntry {
    name: "least-loaded",
    holds: false,
    gathers: false,
    keeps: false,
    choose: |choice| {
        let load = |(place, candidate): &(usize, &Candidate)| {
            (u64::from(candidate.in_flight) * 1_000 / u64::from(candidate.slots.max(1)), *place)
        };
        let (place, _) = choice.candidates.iter().enumerate().min_by_key(load)?;
        Some(plain(choice, place))
    },
});

register_placement!(PlacementEntry {
    name: "affinity",
    holds: true,
    gathers: true,
    keeps: false,
    choose: earliest
});
register_placement!(PlacementEntry {
    name: "spanfold",
    holds: true,
    gathers: true,
    keeps: true,
    choose: earliest
});

/// Names of all variants, sorted.
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

/// The variant called `name`.
pub(crate) fn placement(name: &str) -> Option<&'static PlacementEntry> {
    spanfold_kernel::inventory::iter::<PlacementEntry>.into_iter().find(|entry| entry.name == name)
}

/// No import, no preference.
fn plain(choice: &Choice<'_>, place: usize) -> Placed {
    estimate(choice, place, None)
}

/// Import or recompute by the estimated end of each, at the endpoint with the best score; waits
/// for a busy endpoint if that is better still.
fn earliest(choice: &Choice<'_>) -> Option<Placed> {
    let best =
        (0..choice.candidates.len()).flat_map(|place| options(choice, place)).min_by(|left, right| {
            score(left).total_cmp(&score(right)).then(left.candidate.cmp(&right.candidate))
        })?;
    has_capacity(choice, &choice.candidates[best.candidate]).then_some(best)
}

/// Placements at one endpoint: compute what is missing, or import first.
fn options(choice: &Choice<'_>, place: usize) -> impl Iterator<Item = Placed> {
    let held = choice.candidates[place].held;
    let import = choice.kept.filter(|kept| kept.pieces > held).map(|kept| (held, kept.pieces));
    std::iter::once(estimate(choice, place, None)).chain(import.map(|run| estimate(choice, place, Some(run))))
}

fn estimate(choice: &Choice<'_>, place: usize, import: Option<(u32, u32)>) -> Placed {
    let candidate = &choice.candidates[place];
    let covered = import.map_or(candidate.held, |(_, end)| end).saturating_mul(choice.piece_tokens);
    let missing = f64::from(choice.prompt_tokens.saturating_sub(covered).max(1));
    let prefill_micros = (missing * candidate.micros_per_token) as u64;
    let ready_at = match (import, choice.kept) {
        (Some((first, end)), Some(kept)) => {
            let transfer = (f64::from(end - first) * kept.micros_per_piece) as u64;
            kept.link_free_at.max(choice.now).after_micros(transfer)
        }
        _ => choice.now,
    };
    let start = prefill_at(choice, candidate).max(ready_at);
    let first_token_at = slot_at(choice, candidate).max(start.after_micros(prefill_micros));
    Placed { candidate: place, import, first_token_at, prefill_micros }
}

/// When the endpoint should begin a prefill.
///
/// A full endpoint that is overdue is expected to need as long again as it is late: otherwise a
/// frozen one would look free at any moment, and requests would wait for it in vain.
fn prefill_at(choice: &Choice<'_>, candidate: &Candidate) -> Moment {
    let late = choice.now.micros_since(candidate.free_at);
    if candidate.depth < PREFILL_DEPTH || late == 0 {
        return candidate.free_at.max(choice.now);
    }
    let piece = f64::from(choice.piece_tokens) * candidate.micros_per_token;
    choice.now.after_micros(late.max(piece as u64))
}

/// When a slot should be free.
fn slot_at(choice: &Choice<'_>, candidate: &Candidate) -> Moment {
    if candidate.in_flight < candidate.slots {
        return choice.now;
    }
    choice.now.after_micros(candidate.slot_micros)
}

fn score(placed: &Placed) -> f64 {
    placed.first_token_at.0 as f64 + WORK_WEIGHT * placed.prefill_micros as f64
}

/// Whether the endpoint may be given one more request.
///
/// One slot is left for accounts below their share: a lent slot would otherwise come back only
/// when a long answer ends.
fn has_capacity(choice: &Choice<'_>, candidate: &Candidate) -> bool {
    let reserved = u32::from(choice.over_share && candidate.slots > 2);
    // One more prefill is let in for an account below its share: the engine goes on with the higher
    // priority after each piece, so that it waits for one piece and not for two prompts.
    let depth = PREFILL_DEPTH + u32::from(!choice.over_share);
    candidate.in_flight + reserved < candidate.slots && candidate.depth < depth
}
