//! State of one cell at its home; assigns requests to the cell's endpoints.
//!
//! Invariant: `in_flight` of an endpoint is the number of rows of `running` that refer to it; both
//! change only in [`CellState::admit_running`], [`CellState::adopt`] and [`CellState::finish`]. The
//! home decides on exact counts; the load that engines report lags and serves only as a sign of life.

use crate::estimate::UnitCost;
use crate::fair_queue::FairQueue;
use crate::placement::{
    EndpointCandidate, MAX_PREFILLS, PlacementDecision, PlacementEntry, PlacementInput, StoredRun,
};
use crate::store_index::StoreIndex;
use spanfold_entity::Moment;
use spanfold_kernel::{
    AccountIndex, EndpointIndex, EndpointRequest, Import, InFlightRow, PromptUsage, VmIndex, World,
};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Tokens of one block: 4,096 bytes of prompt at about four bytes a token.
pub(crate) const BLOCK_TOKENS: u32 = 1_024;
/// Estimate of the time to compute a prompt token before the first sample.
const INITIAL_TOKEN_MICROS: f64 = 100.0;
/// Estimate of the time to import a block before the first sample.
pub(crate) const INITIAL_BLOCK_IMPORT_MICROS: f64 = 5_000.0;
/// Estimate of how long an answer occupies its slot before the first sample.
const INITIAL_SLOT_MICROS: f64 = 1_000_000.0;
/// Cost of a generated token to an account, relative to a computed prompt token.
const GENERATED_TOKEN_COST: f64 = 1.0;
/// Waiting requests of one account that are considered in one round.
const MAX_CONSIDERED_REQUESTS: usize = 4;
/// Largest number of blocks recorded as cached at one endpoint. When it is exceeded the record is
/// discarded, which is safe.
const MAX_CACHED_BLOCKS: usize = 65_536;

/// Identifies a request by the VM that received it and its number there.
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
    pub request: EndpointRequest,
    /// Tokens that had to be computed when the request arrived.
    pub missing_tokens: f64,
    pub deadline: Moment,
}

/// Load of one endpoint, as recorded by its home.
#[derive(Clone, Debug)]
pub(crate) struct EndpointLoad {
    pub index: EndpointIndex,
    pub slots: u32,
    in_flight: u32,
    prefills: u32,
    free_at: Moment,
    token_cost: UnitCost,
    cached: HashSet<u64>,
}

impl EndpointLoad {
    fn new(index: EndpointIndex, slots: u32) -> Self {
        Self {
            index,
            slots,
            in_flight: 0,
            prefills: 0,
            free_at: Moment(0),
            token_cost: UnitCost::initial(INITIAL_TOKEN_MICROS),
            cached: HashSet::new(),
        }
    }

    fn cached_run(&self, keys: &[u64]) -> u32 {
        keys.iter().take_while(|key| self.cached.contains(key)).count() as u32
    }

    fn record_cached(&mut self, keys: &[u64]) {
        if self.cached.len() + keys.len() > MAX_CACHED_BLOCKS {
            self.cached.clear();
        }
        self.cached.extend(keys);
    }
}

/// One store's link, as used by this home.
#[derive(Clone, Debug)]
pub(crate) struct StoreLink {
    pub free_at: Moment,
    pub block_cost: UnitCost,
}

impl Default for StoreLink {
    fn default() -> Self {
        Self { free_at: Moment(0), block_cost: UnitCost::initial(INITIAL_BLOCK_IMPORT_MICROS) }
    }
}

/// A request and its grant.
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
    occupied_slots: HashMap<AccountIndex, u32>,
    slot_time: UnitCost,
    choice_count: u64,
}

impl CellState {
    pub(crate) fn new(pool: &str) -> Self {
        Self {
            pool: pool.to_owned(),
            loads: Vec::new(),
            running: BTreeMap::new(),
            queue: FairQueue::default(),
            occupied_slots: HashMap::new(),
            slot_time: UnitCost::initial(INITIAL_SLOT_MICROS),
            choice_count: 0,
        }
    }

    /// Adopts the endpoints that the configuration assigns to the cell.
    pub(crate) fn set_members(&mut self, members: impl Iterator<Item = (EndpointIndex, u32)>) {
        let mut loads = Vec::new();
        for (index, slots) in members {
            let old = self.loads.iter().position(|load| load.index == index);
            let mut load = old
                .map_or_else(|| EndpointLoad::new(index, slots), |position| self.loads.swap_remove(position));
            load.slots = slots;
            loads.push(load);
        }
        loads.sort_by_key(|load| load.index);
        self.loads = loads;
    }

    pub(crate) fn load_mut(&mut self, index: EndpointIndex) -> Option<&mut EndpointLoad> {
        self.loads.iter_mut().find(|load| load.index == index)
    }

    /// Returns the number of blocks recorded as cached at the cell's endpoints.
    pub(crate) fn cached_block_count(&self) -> usize {
        self.loads.iter().map(|load| load.cached.len()).sum()
    }

    /// Whether the request waits in this cell's queue.
    pub(crate) fn is_queued(&self, key: RequestKey) -> bool {
        self.queue.iter().any(|waiting| waiting.key == key)
    }

    /// Grants all requests that can be granted now, in fair order.
    pub(crate) fn grant_waiting(
        &mut self,
        world: &World,
        now: Moment,
        variant: &PlacementEntry,
        store_index: &StoreIndex,
        links: &mut HashMap<String, StoreLink>,
    ) -> Vec<GrantedRequest> {
        let mut granted = Vec::new();
        while let Some(grant) = self.grant_next(world, now, variant, store_index, links) {
            granted.push(grant);
        }
        granted
    }

    fn grant_next(
        &mut self,
        world: &World,
        now: Moment,
        variant: &PlacementEntry,
        store_index: &StoreIndex,
        links: &mut HashMap<String, StoreLink>,
    ) -> Option<GrantedRequest> {
        for account in self.queue.fair_order() {
            let over_share = self.over_share(world, account);
            let considered: Vec<WaitingRequest> =
                self.queue.items(account).take(MAX_CONSIDERED_REQUESTS).cloned().collect();
            for (position, waiting) in considered.iter().enumerate() {
                let run = find_stored_run(world, now, variant, store_index, links, &waiting.request.keys);
                let Some((load, decision)) = self.place(
                    world,
                    now,
                    variant,
                    &waiting.request,
                    run.as_ref().map(|(_, run)| *run),
                    over_share,
                ) else {
                    continue;
                };
                let cost = self.cost(&waiting.request, load, &decision);
                let waiting = self.queue.take(account, position, cost)?;
                let import = run.and_then(|(store, run)| self.block_import(load, &decision, store, run));
                let priority =
                    waiting.request.priority.saturating_mul(2).saturating_add(i8::from(!over_share));
                self.admit_running(now, &waiting, load, &decision, import.as_ref(), priority, links);
                return Some(GrantedRequest { endpoint: self.loads[load].index, waiting, import, priority });
            }
        }
        None
    }

    /// Returns the blocks that the engine may import if it lacks them.
    ///
    /// Blocks recorded as cached may have been evicted within the lag of the events. An engine fetches
    /// only the blocks that it lacks, so listing all that the store contains costs nothing if the
    /// record is right.
    fn block_import(
        &self,
        load: usize,
        decision: &PlacementDecision,
        store: String,
        run: StoredRun,
    ) -> Option<Import> {
        let block_micros = f64::from(BLOCK_TOKENS) * self.loads[load].token_cost.micros;
        let is_worthwhile = decision.import.is_some() || run.micros_per_block < block_micros;
        is_worthwhile.then_some(Import { store, first: 0, end: run.blocks })
    }

    /// Whether `account` already uses its share of the slots or of the prefills.
    fn over_share(&self, world: &World, account: AccountIndex) -> bool {
        let weight = self.weight(world, account);
        let uses_share = |used: u32, total: u32| f64::from(used) >= (weight * f64::from(total)).max(1.0);
        let slots: u32 = self.loads.iter().map(|load| load.slots).sum();
        let prefills = self.loads.len() as u32 * MAX_PREFILLS;
        let is_computing = |running: &&RunningRequest| running.account == account && !running.started;
        let pending_prefills = self.running.values().filter(is_computing).count() as u32;
        uses_share(self.occupied_slots.get(&account).copied().unwrap_or(0), slots)
            || uses_share(pending_prefills, prefills)
    }

    /// Returns the share of the pool that `account` was promised.
    pub(crate) fn weight(&self, world: &World, account: AccountIndex) -> f64 {
        let name = world.account_names.name(account);
        world
            .catalogue
            .account_shares
            .get(&self.pool)
            .and_then(|shares| shares.get(name))
            .copied()
            .unwrap_or(0.0)
    }

    fn place(
        &mut self,
        world: &World,
        now: Moment,
        variant: &PlacementEntry,
        request: &EndpointRequest,
        stored_run: Option<StoredRun>,
        over_share: bool,
    ) -> Option<(usize, PlacementDecision)> {
        let slot_micros = self.slot_time.micros_for(1.0);
        let (mut load_indexes, mut candidates) = (Vec::new(), Vec::new());
        for (load_index, load) in self.loads.iter().enumerate() {
            let name = world.endpoint_names.name(load.index);
            if !world.may_get_work(load.index, now) || request.exclude.iter().any(|excluded| excluded == name)
            {
                continue;
            }
            load_indexes.push(load_index);
            candidates.push(EndpointCandidate {
                slots: load.slots,
                in_flight: load.in_flight,
                prefills: load.prefills,
                free_at: load.free_at,
                micros_per_token: load.token_cost.micros,
                cached_blocks: load.cached_run(&request.keys),
                slot_micros: slot_micros / u64::from(load.slots.max(1)),
            });
        }
        let input = PlacementInput {
            now,
            candidates: &candidates,
            prompt_tokens: request.prompt_tokens,
            block_tokens: BLOCK_TOKENS,
            stored_run,
            choice_count: self.choice_count,
            over_share,
        };
        let decision = (variant.choose)(&input)?;
        self.choice_count += 1;
        Some((load_indexes[decision.candidate], decision))
    }

    /// Returns the cost charged for a placement: tokens computed and tokens that may be generated.
    fn cost(&self, request: &EndpointRequest, load: usize, decision: &PlacementDecision) -> f64 {
        let computed =
            decision.prefill_micros as f64 / self.loads[load].token_cost.micros.max(f64::MIN_POSITIVE);
        computed + GENERATED_TOKEN_COST * f64::from(request.max_tokens)
    }

    #[expect(clippy::too_many_arguments, reason = "one call site; the fields of one grant")]
    fn admit_running(
        &mut self,
        now: Moment,
        waiting: &WaitingRequest,
        load: usize,
        decision: &PlacementDecision,
        import: Option<&Import>,
        priority: i8,
        links: &mut HashMap<String, StoreLink>,
    ) {
        if let (Some(import), Some((first, end))) = (import, decision.import) {
            let link = links.entry(import.store.clone()).or_default();
            let micros = link.block_cost.micros_for(f64::from(end - first));
            link.free_at = link.free_at.max(now).after_micros(micros);
        }
        let load = &mut self.loads[load];
        load.in_flight += 1;
        load.prefills += 1;
        load.free_at = load.free_at.max(now).after_micros(decision.prefill_micros);
        load.record_cached(&waiting.request.keys);
        *self.occupied_slots.entry(waiting.account).or_insert(0) += 1;
        let running = RunningRequest {
            endpoint: load.index,
            account: waiting.account,
            keys: waiting.request.keys.clone(),
            import: import.cloned(),
            priority,
            started: false,
            granted_at: now,
        };
        self.running.insert(waiting.key, running);
    }

    /// Records a request that another home dispatched, or a VM without a home.
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
            load.prefills += 1;
            let micros = load.token_cost.micros_for(f64::from(row.prompt_tokens));
            load.free_at = load.free_at.max(now).after_micros(micros);
        }
        *self.occupied_slots.entry(account).or_insert(0) += 1;
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

    /// Records that the first token of `key` was returned, and what its prompt's state cost.
    pub(crate) fn first_token(
        &mut self,
        key: RequestKey,
        usage: PromptUsage,
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
            link.block_cost
                .record_sample(f64::from(usage.imported) / f64::from(BLOCK_TOKENS), usage.import_micros);
        }
        if let Some(load) = self.load_mut(running.endpoint) {
            load.prefills = load.prefills.saturating_sub(1);
            // A short computation is mostly overhead and would distort the estimate.
            if usage.computed >= BLOCK_TOKENS / 4 {
                load.token_cost.record_sample(f64::from(usage.computed), usage.compute_micros);
            }
            if load.prefills == 0 {
                load.free_at = now;
            }
            load.record_cached(&running.keys);
        }
        Some(running)
    }

    /// Removes `key` from the queue or from its endpoint.
    pub(crate) fn finish(&mut self, key: RequestKey, now: Moment) -> Option<RunningRequest> {
        let Some(running) = self.running.remove(&key) else {
            self.queue.remove_if(|waiting| waiting.key == key);
            return None;
        };
        self.slot_time.record_sample(1.0, now.micros_since(running.granted_at));
        if let Some(count) = self.occupied_slots.get_mut(&running.account) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.occupied_slots.remove(&running.account);
            }
        }
        if let Some(load) = self.load_mut(running.endpoint) {
            load.in_flight = load.in_flight.saturating_sub(1);
            if !running.started {
                load.prefills = load.prefills.saturating_sub(1);
                if load.prefills == 0 {
                    load.free_at = now;
                }
            }
        }
        Some(running)
    }

    /// Applies an engine's report of stored and evicted blocks.
    pub(crate) fn apply_cache_events(
        &mut self,
        endpoint: EndpointIndex,
        gap: bool,
        stored: &[u64],
        evicted: &[u64],
    ) {
        let Some(load) = self.load_mut(endpoint) else { return };
        if gap {
            // After lost events the cache contents are unknown and must not attract prompts.
            load.cached.clear();
        }
        load.record_cached(stored);
        for key in evicted {
            load.cached.remove(key);
        }
    }

    /// Removes and returns queued requests that would miss their deadline even if granted now.
    pub(crate) fn take_late(
        &mut self,
        world: &World,
        now: Moment,
        store_indexes: &BTreeMap<String, StoreIndex>,
    ) -> Vec<WaitingRequest> {
        let usable = self.loads.iter().filter(|load| world.may_get_work(load.index, now));
        // Without a usable endpoint, only a deadline that has passed can be established.
        let fastest = usable.map(|load| load.token_cost.micros).reduce(f64::min).unwrap_or_default();
        let store_index = store_indexes.get(&self.pool);
        let loads = &self.loads;
        self.queue.remove_if(|waiting| {
            let full_prefill_micros = fastest * f64::from(waiting.request.prompt_tokens);
            // The expensive block lookup is done only where computing all blocks would be too late.
            if now.after_micros(full_prefill_micros as u64) <= waiting.deadline {
                return now >= waiting.deadline;
            }
            let is_available = |key: &&u64| {
                store_index.is_some_and(|store_index| store_index.contains(**key))
                    || loads.iter().any(|load| load.cached.contains(*key))
            };
            let run = waiting.request.keys.iter().take_while(is_available).count() as u32;
            let missing_tokens = waiting.request.prompt_tokens.saturating_sub(run * BLOCK_TOKENS);
            now.after_micros((fastest * f64::from(missing_tokens)) as u64) > waiting.deadline
        })
    }

    /// Whether another cell would serve a prompt sooner, even by computing all of it.
    ///
    /// Bounds the load between cells: affinity is worth a wait as long as the prompt's own computation,
    /// and no more.
    pub(crate) fn is_busy(
        &self,
        world: &World,
        now: Moment,
        request: &EndpointRequest,
        store_index: &StoreIndex,
    ) -> bool {
        let usable: Vec<_> = self.loads.iter().filter(|load| world.may_get_work(load.index, now)).collect();
        let tokens_per_micro: f64 = usable.iter().map(|load| 1.0 / load.token_cost.micros).sum();
        let waiting: f64 = self.queue.iter().map(|waiting| waiting.missing_tokens).sum();
        let free_at = usable.iter().map(|load| load.free_at).min().unwrap_or(now).max(now);
        let is_available =
            |key: &&u64| store_index.contains(**key) || usable.iter().any(|load| load.cached.contains(*key));
        let run = request.keys.iter().take_while(is_available).count() as u32;
        let saved_tokens = f64::from((run * BLOCK_TOKENS).min(request.prompt_tokens).max(BLOCK_TOKENS));
        let fastest = usable.iter().map(|load| load.token_cost.micros).fold(f64::MAX, f64::min);
        free_at.micros_since(now) as f64 + waiting / tokens_per_micro > saved_tokens * fastest
    }

    /// Returns the tokens of a prompt that no endpoint or store contains, by this home's records.
    pub(crate) fn missing_tokens(&self, request: &EndpointRequest, store_index: &StoreIndex) -> f64 {
        let is_awaited =
            |key: &u64| self.queue.iter().any(|waiting| waiting.request.keys.last() == Some(key));
        let is_available = |key: &&u64| {
            store_index.contains(**key) || self.loads.iter().any(|load| load.cached.contains(*key))
        };
        let run = request.keys.iter().take_while(is_available).count();
        // A queued prompt with all the same blocks will have computed them.
        let run = if request.keys.last().is_some_and(is_awaited) { request.keys.len() } else { run };
        f64::from(request.prompt_tokens.saturating_sub(run as u32 * BLOCK_TOKENS).max(1))
    }

    /// Estimates when a new request of `account` gets its first token.
    ///
    /// The estimate follows from the requests queued before it. No account waits longer than its share implies, nor longer than all queued work takes.
    pub(crate) fn expected_start(
        &self,
        world: &World,
        now: Moment,
        account: AccountIndex,
        own_tokens: f64,
    ) -> Moment {
        let usable: Vec<_> = self.loads.iter().filter(|load| world.may_get_work(load.index, now)).collect();
        if usable.is_empty() {
            return Moment::NEVER;
        }
        let tokens_per_micro: f64 = usable.iter().map(|load| 1.0 / load.token_cost.micros).sum();
        let queued_of_account: f64 = self.queue.items(account).map(|waiting| waiting.missing_tokens).sum();
        let queued_of_all: f64 = self.queue.iter().map(|waiting| waiting.missing_tokens).sum();
        let weight = self.weight(world, account).max(f64::MIN_POSITIVE);
        let share = weight / self.queue.active_weight(account, weight);
        let free_at = usable.iter().map(|load| load.free_at).min().unwrap_or(now).max(now);
        let queued = (queued_of_account / share).min(queued_of_all) / tokens_per_micro;
        let own_micros =
            own_tokens * usable.iter().map(|load| load.token_cost.micros).fold(f64::MAX, f64::min);
        free_at.after_micros((queued + own_micros) as u64)
    }
}

/// Returns the longest stored run of a prompt, and the store that contains it.
fn find_stored_run(
    world: &World,
    now: Moment,
    variant: &PlacementEntry,
    store_index: &StoreIndex,
    links: &HashMap<String, StoreLink>,
    keys: &[u64],
) -> Option<(String, StoredRun)> {
    if !variant.uses_stores || keys.is_empty() {
        return None;
    }
    let usable = |store: &str| {
        world.endpoint_names.find(store).is_some_and(|index| world.endpoints[index].accepts_work(now))
    };
    let (store, blocks) = store_index.longest_run(keys, usable)?;
    let link = links.get(&store).cloned().unwrap_or_default();
    let run = StoredRun { blocks, link_free_at: link.free_at, micros_per_block: link.block_cost.micros };
    Some((store, run))
}
