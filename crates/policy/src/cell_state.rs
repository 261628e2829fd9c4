//! What the home of one cell knows, and how it hands out endpoints.
//!
//! Invariant: `in_flight` of an endpoint is the number of rows of `running` that name it; both
//! change only in [`CellState::admit_running`] and [`CellState::end`]. The home decides on exact
//! counts; what engines report of their load lags and serves only as a sign of life.

use crate::estimate::UnitCost;
use crate::fair_queue::FairQueue;
use crate::kept_index::KeptIndex;
use crate::placement::{Candidate, Choice, KeptRun, PREFILL_DEPTH, Placed, PlacementEntry};
use spanfold_entity::Moment;
use spanfold_kernel::{AccountIndex, Ask, EndpointIndex, Import, InFlightRow, Usage, VmIndex, World};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Tokens of one piece: 4,096 bytes of prompt at about four bytes a token.
pub(crate) const PIECE_TOKENS: u32 = 1_024;
/// Guess of the time to compute a prompt token before the first sample, in microseconds.
const TOKEN_GUESS: f64 = 100.0;
/// Guess of the time to import a piece before the first sample, in microseconds.
pub(crate) const PIECE_GUESS: f64 = 5_000.0;
/// Guess of how long an answer holds its slot, in microseconds.
const ANSWER_GUESS: f64 = 1_000_000.0;
/// What a generated token costs an account next to a computed prompt token.
const GENERATED_COST: f64 = 1.0;
/// Waiting requests of one account that are looked at in one round.
const LOOK_AHEAD: usize = 4;
/// Pieces that an endpoint is believed to hold at most; more are forgotten, which is safe.
const BELIEF_LIMIT: usize = 65_536;

/// A request, named by the VM that it came in at.
pub(crate) type RequestKey = (VmIndex, u64);

/// A granted request.
#[derive(Clone, Debug)]
pub(crate) struct RunningRequest {
    pub endpoint: EndpointIndex,
    pub account: AccountIndex,
    pub keys: Vec<u64>,
    pub import: Option<Import>,
    pub priority: i8,
    pub started: bool,
    pub granted_at: Moment,
}

/// A request that waits for an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub key: RequestKey,
    pub account: AccountIndex,
    pub ask: Ask,
    /// Tokens that had to be computed when it came.
    pub missing: f64,
    pub deadline: Moment,
}

/// Load of one endpoint as its home knows it.
#[derive(Clone, Debug)]
pub(crate) struct EndpointLoad {
    pub index: EndpointIndex,
    pub slots: u32,
    in_flight: u32,
    depth: u32,
    free_at: Moment,
    token: UnitCost,
    held: HashSet<u64>,
}

impl EndpointLoad {
    fn new(index: EndpointIndex, slots: u32) -> Self {
        Self {
            index,
            slots,
            in_flight: 0,
            depth: 0,
            free_at: Moment(0),
            token: UnitCost::guess(TOKEN_GUESS),
            held: HashSet::new(),
        }
    }

    fn held_run(&self, keys: &[u64]) -> u32 {
        keys.iter().take_while(|key| self.held.contains(key)).count() as u32
    }

    fn believe(&mut self, keys: &[u64]) {
        if self.held.len() + keys.len() > BELIEF_LIMIT {
            self.held.clear();
        }
        self.held.extend(keys);
    }
}

/// One store's link, as this home uses it.
#[derive(Clone, Debug)]
pub(crate) struct StoreLink {
    pub free_at: Moment,
    pub piece: UnitCost,
}

impl Default for StoreLink {
    fn default() -> Self {
        Self { free_at: Moment(0), piece: UnitCost::guess(PIECE_GUESS) }
    }
}

/// A request and what it was given.
#[derive(Clone, Debug)]
pub(crate) struct GrantedRequest {
    pub waiting: WaitingRequest,
    pub endpoint: EndpointIndex,
    pub import: Option<Import>,
    pub priority: i8,
}

/// State of one cell at its home.
#[derive(Clone, Debug)]
pub(crate) struct CellState {
    pub pool: String,
    pub loads: Vec<EndpointLoad>,
    pub running: BTreeMap<RequestKey, RunningRequest>,
    pub queue: FairQueue<WaitingRequest>,
    held_slots: HashMap<AccountIndex, u32>,
    answer: UnitCost,
    turn: u64,
}

impl CellState {
    pub(crate) fn new(pool: &str) -> Self {
        Self {
            pool: pool.to_owned(),
            loads: Vec::new(),
            running: BTreeMap::new(),
            queue: FairQueue::default(),
            held_slots: HashMap::new(),
            answer: UnitCost::guess(ANSWER_GUESS),
            turn: 0,
        }
    }

    /// Takes over the endpoints that the configuration now gives the cell.
    pub(crate) fn set_members(&mut self, members: impl Iterator<Item = (EndpointIndex, u32)>) {
        let mut loads = Vec::new();
        for (index, slots) in members {
            let old = self.loads.iter().position(|load| load.index == index);
            let mut load =
                old.map_or_else(|| EndpointLoad::new(index, slots), |place| self.loads.swap_remove(place));
            load.slots = slots;
            loads.push(load);
        }
        loads.sort_by_key(|load| load.index);
        self.loads = loads;
    }

    pub(crate) fn load_mut(&mut self, index: EndpointIndex) -> Option<&mut EndpointLoad> {
        self.loads.iter_mut().find(|load| load.index == index)
    }

    /// Pieces that the cell's endpoints are believed to hold.
    pub(crate) fn held_count(&self) -> usize {
        self.loads.iter().map(|load| load.held.len()).sum()
    }

    /// Whether the request waits here.
    pub(crate) fn waits(&self, key: RequestKey) -> bool {
        self.queue.iter().any(|waiting| waiting.key == key)
    }

    /// Grants what can be granted now, in fair order.
    pub(crate) fn pump(
        &mut self,
        world: &World,
        now: Moment,
        variant: &PlacementEntry,
        kept: &KeptIndex,
        links: &mut HashMap<String, StoreLink>,
    ) -> Vec<GrantedRequest> {
        let mut granted = Vec::new();
        while let Some(grant) = self.grant_one(world, now, variant, kept, links) {
            granted.push(grant);
        }
        granted
    }

    fn grant_one(
        &mut self,
        world: &World,
        now: Moment,
        variant: &PlacementEntry,
        kept: &KeptIndex,
        links: &mut HashMap<String, StoreLink>,
    ) -> Option<GrantedRequest> {
        for account in self.queue.order() {
            let over_share = self.over_share(world, account);
            let looked: Vec<WaitingRequest> = self.queue.items(account).take(LOOK_AHEAD).cloned().collect();
            for (place, waiting) in looked.iter().enumerate() {
                let run = kept_run(world, now, variant, kept, links, &waiting.ask.keys);
                let Some((load, placed)) = self.place(
                    world,
                    now,
                    variant,
                    &waiting.ask,
                    run.as_ref().map(|(_, run)| *run),
                    over_share,
                ) else {
                    continue;
                };
                let cost = self.cost(&waiting.ask, load, &placed);
                let waiting = self.queue.take(account, place, cost)?;
                let import = run.and_then(|(store, run)| self.import_order(load, &placed, store, run));
                let priority = waiting.ask.priority.saturating_mul(2).saturating_add(i8::from(!over_share));
                self.admit_running(now, &waiting, load, &placed, import.as_ref(), priority, links);
                return Some(GrantedRequest { endpoint: self.loads[load].index, waiting, import, priority });
            }
        }
        None
    }

    /// Pieces that the engine may import, for those that it turns out not to hold.
    ///
    /// What is believed to be held may have been evicted within the events' lag; an engine fetches
    /// only what it lacks, so naming all that the store has costs nothing if the belief is right.
    fn import_order(&self, load: usize, placed: &Placed, store: String, run: KeptRun) -> Option<Import> {
        let piece_micros = f64::from(PIECE_TOKENS) * self.loads[load].token.micros;
        let worthwhile = placed.import.is_some() || run.micros_per_piece < piece_micros;
        worthwhile.then_some(Import { store, first: 0, end: run.pieces })
    }

    /// Whether `account` has its share of the slots, or of the prefills, already.
    fn over_share(&self, world: &World, account: AccountIndex) -> bool {
        let weight = self.weight(world, account);
        let over = |held: u32, places: u32| f64::from(held) >= (weight * f64::from(places)).max(1.0);
        let slots: u32 = self.loads.iter().map(|load| load.slots).sum();
        let prefills = self.loads.len() as u32 * PREFILL_DEPTH;
        let computing = |running: &&RunningRequest| running.account == account && !running.started;
        let held_prefills = self.running.values().filter(computing).count() as u32;
        over(self.held_slots.get(&account).copied().unwrap_or(0), slots) || over(held_prefills, prefills)
    }

    /// The part of the pool that `account` was promised.
    pub(crate) fn weight(&self, world: &World, account: AccountIndex) -> f64 {
        let name = world.account_names.name(account);
        world.catalogue.weights.get(&self.pool).and_then(|weights| weights.get(name)).copied().unwrap_or(0.0)
    }

    fn place(
        &mut self,
        world: &World,
        now: Moment,
        variant: &PlacementEntry,
        ask: &Ask,
        kept: Option<KeptRun>,
        over_share: bool,
    ) -> Option<(usize, Placed)> {
        let slot_micros = self.answer.of(1.0);
        let (mut places, mut candidates) = (Vec::new(), Vec::new());
        for (place, load) in self.loads.iter().enumerate() {
            let name = world.endpoint_names.name(load.index);
            if !world.may_get_work(load.index, now) || ask.exclude.iter().any(|other| other == name) {
                continue;
            }
            places.push(place);
            candidates.push(Candidate {
                slots: load.slots,
                in_flight: load.in_flight,
                depth: load.depth,
                free_at: load.free_at,
                micros_per_token: load.token.micros,
                held: load.held_run(&ask.keys),
                slot_micros: slot_micros / u64::from(load.slots.max(1)),
            });
        }
        let choice = Choice {
            now,
            candidates: &candidates,
            prompt_tokens: ask.prompt_tokens,
            piece_tokens: PIECE_TOKENS,
            kept,
            turn: self.turn,
            over_share,
        };
        let placed = (variant.choose)(&choice)?;
        self.turn += 1;
        Some((places[placed.candidate], placed))
    }

    /// What a placement is charged: tokens computed and tokens that may be generated.
    fn cost(&self, ask: &Ask, load: usize, placed: &Placed) -> f64 {
        let computed = placed.prefill_micros as f64 / self.loads[load].token.micros.max(f64::MIN_POSITIVE);
        computed + GENERATED_COST * f64::from(ask.max_tokens)
    }

    #[expect(clippy::too_many_arguments, reason = "one call site; the parts of one grant")]
    fn admit_running(
        &mut self,
        now: Moment,
        waiting: &WaitingRequest,
        load: usize,
        placed: &Placed,
        import: Option<&Import>,
        priority: i8,
        links: &mut HashMap<String, StoreLink>,
    ) {
        if let (Some(import), Some((first, end))) = (import, placed.import) {
            let link = links.entry(import.store.clone()).or_default();
            let micros = link.piece.of(f64::from(end - first));
            link.free_at = link.free_at.max(now).after_micros(micros);
        }
        let load = &mut self.loads[load];
        load.in_flight += 1;
        load.depth += 1;
        load.free_at = load.free_at.max(now).after_micros(placed.prefill_micros);
        load.believe(&waiting.ask.keys);
        *self.held_slots.entry(waiting.account).or_insert(0) += 1;
        let running = RunningRequest {
            endpoint: load.index,
            account: waiting.account,
            keys: waiting.ask.keys.clone(),
            import: import.cloned(),
            priority,
            started: false,
            granted_at: now,
        };
        self.running.insert(waiting.key, running);
    }

    /// Takes in a request that another home, or none, has dispatched.
    pub(crate) fn adopt(
        &mut self,
        key: RequestKey,
        endpoint: EndpointIndex,
        account: AccountIndex,
        row: &InFlightRow,
        now: Moment,
    ) {
        if self.running.contains_key(&key) {
            return;
        }
        let Some(load) = self.load_mut(endpoint) else { return };
        load.in_flight += 1;
        if !row.started {
            load.depth += 1;
            let micros = load.token.of(f64::from(row.prompt_tokens));
            load.free_at = load.free_at.max(now).after_micros(micros);
        }
        *self.held_slots.entry(account).or_insert(0) += 1;
        let running = RunningRequest {
            endpoint,
            account,
            keys: Vec::new(),
            import: None,
            priority: 0,
            started: row.started,
            granted_at: now,
        };
        self.running.insert(key, running);
    }

    /// Notes that the first token of `key` is out, and what its prompt's state cost.
    pub(crate) fn first_token(
        &mut self,
        key: RequestKey,
        usage: Usage,
        now: Moment,
        links: &mut HashMap<String, StoreLink>,
    ) -> Option<RunningRequest> {
        let running = self.running.get_mut(&key)?;
        if running.started {
            return None;
        }
        running.started = true;
        let running = running.clone();
        if let Some(import) = &running.import {
            let link = links.entry(import.store.clone()).or_default();
            link.piece.sample(f64::from(usage.imported) / f64::from(PIECE_TOKENS), usage.import_micros);
        }
        if let Some(load) = self.load_mut(running.endpoint) {
            load.depth = load.depth.saturating_sub(1);
            // A short computation is mostly overhead and would spoil the estimate.
            if usage.computed >= PIECE_TOKENS / 4 {
                load.token.sample(f64::from(usage.computed), usage.compute_micros);
            }
            if load.depth == 0 {
                load.free_at = now;
            }
            load.believe(&running.keys);
        }
        Some(running)
    }

    /// Takes `key` out of the queue or off its endpoint.
    pub(crate) fn end(&mut self, key: RequestKey, now: Moment) -> Option<RunningRequest> {
        let Some(running) = self.running.remove(&key) else {
            self.queue.remove_if(|waiting| waiting.key == key);
            return None;
        };
        self.answer.sample(1.0, now.micros_since(running.granted_at));
        if let Some(count) = self.held_slots.get_mut(&running.account) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.held_slots.remove(&running.account);
            }
        }
        if let Some(load) = self.load_mut(running.endpoint) {
            load.in_flight = load.in_flight.saturating_sub(1);
            if !running.started {
                load.depth = load.depth.saturating_sub(1);
                if load.depth == 0 {
                    load.free_at = now;
                }
            }
        }
        Some(running)
    }

    /// Takes in what an engine says it holds.
    pub(crate) fn cache_read(&mut self, endpoint: EndpointIndex, gap: bool, stored: &[u64], evicted: &[u64]) {
        let Some(load) = self.load_mut(endpoint) else { return };
        if gap {
            // Lost events mean "unknown", and unknown must not attract prompts.
            load.held.clear();
        }
        load.believe(stored);
        for key in evicted {
            load.held.remove(key);
        }
    }

    /// Takes out of the queue what can no longer meet its deadline, were it granted at once.
    pub(crate) fn take_hopeless(
        &mut self,
        world: &World,
        now: Moment,
        kept: &BTreeMap<String, KeptIndex>,
    ) -> Vec<WaitingRequest> {
        let usable = self.loads.iter().filter(|load| world.may_get_work(load.index, now));
        // With no endpoint at hand nothing can be told but that a deadline has passed.
        let fastest = usable.map(|load| load.token.micros).reduce(f64::min).unwrap_or_default();
        let kept = kept.get(&self.pool);
        let loads = &self.loads;
        self.queue.remove_if(|waiting| {
            let whole = fastest * f64::from(waiting.ask.prompt_tokens);
            // Looking up the pieces is dear: it is done only where computing them all is too late.
            if now.after_micros(whole as u64) <= waiting.deadline {
                return now >= waiting.deadline;
            }
            let there = |key: &&u64| {
                kept.is_some_and(|kept| kept.holds(**key))
                    || loads.iter().any(|load| load.held.contains(*key))
            };
            let run = waiting.ask.keys.iter().take_while(there).count() as u32;
            let missing = waiting.ask.prompt_tokens.saturating_sub(run * PIECE_TOKENS);
            now.after_micros((fastest * f64::from(missing)) as u64) > waiting.deadline
        })
    }

    /// Whether another cell would serve a prompt sooner, even if it had to compute all of it.
    ///
    /// Bounded load between cells: affinity is worth a wait as long as the prompt's own
    /// computation, and no more.
    pub(crate) fn is_busy(&self, world: &World, now: Moment, ask: &Ask, kept: &KeptIndex) -> bool {
        let usable: Vec<_> = self.loads.iter().filter(|load| world.may_get_work(load.index, now)).collect();
        let speed: f64 = usable.iter().map(|load| 1.0 / load.token.micros).sum();
        let waiting: f64 = self.queue.iter().map(|waiting| waiting.missing).sum();
        let free_at = usable.iter().map(|load| load.free_at).min().unwrap_or(now).max(now);
        let there = |key: &&u64| kept.holds(**key) || usable.iter().any(|load| load.held.contains(*key));
        let run = ask.keys.iter().take_while(there).count() as u32;
        let saved = f64::from((run * PIECE_TOKENS).min(ask.prompt_tokens).max(PIECE_TOKENS));
        let fastest = usable.iter().map(|load| load.token.micros).fold(f64::MAX, f64::min);
        free_at.micros_since(now) as f64 + waiting / speed > saved * fastest
    }

    /// Tokens of a prompt that no endpoint and no store is believed to hold.
    pub(crate) fn missing_tokens(&self, ask: &Ask, kept: &KeptIndex) -> f64 {
        let awaited = |key: &u64| self.queue.iter().any(|waiting| waiting.ask.keys.last() == Some(key));
        let there = |key: &&u64| kept.holds(**key) || self.loads.iter().any(|load| load.held.contains(*key));
        let run = ask.keys.iter().take_while(there).count();
        // A prompt that waits already with all the same pieces will have computed them.
        let run = if ask.keys.last().is_some_and(awaited) { ask.keys.len() } else { run };
        f64::from(ask.prompt_tokens.saturating_sub(run as u32 * PIECE_TOKENS).max(1))
    }

    /// When a new request of `account` should have its first token, by what waits before it.
    ///
    /// No account waits longer than its share makes it, nor longer than all work that waits.
    pub(crate) fn expected_start(
        &self,
        world: &World,
        now: Moment,
        account: AccountIndex,
        own: f64,
    ) -> Moment {
        let usable: Vec<_> = self.loads.iter().filter(|load| world.may_get_work(load.index, now)).collect();
        if usable.is_empty() {
            return Moment::NEVER;
        }
        let speed: f64 = usable.iter().map(|load| 1.0 / load.token.micros).sum();
        let ahead: f64 = self.queue.items(account).map(|waiting| waiting.missing).sum();
        let all: f64 = self.queue.iter().map(|waiting| waiting.missing).sum();
        let weight = self.weight(world, account).max(f64::MIN_POSITIVE);
        let part = weight / self.queue.active_weight(account, weight);
        let free_at = usable.iter().map(|load| load.free_at).min().unwrap_or(now).max(now);
        let queued = (ahead / part).min(all) / speed;
        let alone = own * usable.iter().map(|load| load.token.micros).fold(f64::MAX, f64::min);
        free_at.after_micros((queued + alone) as u64)
    }
}

/// The longest kept run of a prompt, and the store that holds it.
fn kept_run(
    world: &World,
    now: Moment,
    variant: &PlacementEntry,
    kept: &KeptIndex,
    links: &HashMap<String, StoreLink>,
    keys: &[u64],
) -> Option<(String, KeptRun)> {
    if !variant.keeps || keys.is_empty() {
        return None;
    }
    let usable = |store: &str| {
        world.endpoint_names.find(store).is_some_and(|index| world.endpoints[index].takes_work(now))
    };
    let (store, pieces) = kept.longest(keys, usable)?;
    let link = links.get(&store).cloned().unwrap_or_default();
    let run = KeptRun { pieces, link_free_at: link.free_at, micros_per_piece: link.piece.micros };
    Some((store, run))
}
