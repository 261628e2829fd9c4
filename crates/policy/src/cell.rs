//! Fair share, placement, import and export at the homes of cells.
//!
//! Invariant: a request that this home received ends here by a grant, a refusal, or the sender's report
//! that it has ended; a repeated request gets the same answer. A request that cannot meet its deadline
//! is refused as soon as that is established, with a retry delay.

use crate::cell_state::{
    CellState, GrantedRequest, INITIAL_BLOCK_IMPORT_MICROS, RequestKey, StoreLink, WaitingRequest,
};
use crate::health::record_failure;
use crate::layout::{CellLayout, group_of, split_cell};
use crate::limits::jittered_retry_delay;
use crate::placement::placement;
use crate::store_index::StoreIndex;
use spanfold_declare::EndpointKind;
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use spanfold_kernel::{
    Context, Effect, EndpointRequest, Event, Grant, InFlightRow, Message, Outcome, PromptUsage, RefusalKind,
    World, register_plugin, rendezvous,
};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// Interval between reads of the stores' listings.
const LIST_INTERVAL_MILLIS: u64 = 1_000;
/// Largest number of exports waiting for an idle link; beyond it the last of the queue are dropped.
const MAX_QUEUED_EXPORTS: usize = 256;
/// Blocks of one export order.
const BLOCKS_PER_EXPORT: usize = 4;
/// Exports in progress on one store's link at once.
const MAX_EXPORTS_PER_STORE: u32 = 1;
/// An export that has not ended by then counts as lost.
const EXPORT_TIMEOUT_MILLIS: u64 = 30_000;
/// Blocks evicted beyond what an export needs, so that not every export has to evict.
const EVICTION_MARGIN_BLOCKS: usize = 16;
/// Age after which a granted request that its VM does not report is removed.
const UNREPORTED_GRACE_MILLIS: u64 = 2_000;
/// Shortest retry delay that a refused caller is given, before jitter.
const MIN_RETRY_DELAY_MILLIS: u64 = 250;
/// Longest retry delay that a refused caller is given, before jitter.
const MAX_RETRY_DELAY_MILLIS: u64 = 30_000;

/// Blocks to be exported to a store.
#[derive(Clone, Debug)]
struct ExportOrder {
    endpoint: String,
    pool: String,
    store: String,
    keys: Vec<u64>,
    /// Whether the prompt has been requested before.
    is_repeated: bool,
}

/// Number of exported prompts by group. A group has 16 bits, which bounds the number of entries.
type GroupCounts = HashMap<u64, u32>;

/// State of one store as seen from this VM's cells.
#[derive(Clone, Debug, Default)]
struct StoreState {
    open_exports: u32,
    export_deadline: Moment,
    /// After an export the link is left idle for as long as the export took.
    backoff_until: Moment,
    /// Blocks that it has free space for; none before its listing was read.
    free_blocks: Option<u32>,
}

/// State of the cell plug-in: the cells that this VM is home of.
#[derive(Debug)]
pub struct CellTable {
    layout: CellLayout,
    generation: u64,
    membership_version: u64,
    next_list_at: Moment,
    cells: BTreeMap<String, CellState>,
    store_indexes: BTreeMap<String, StoreIndex>,
    listed_stores: HashSet<(String, String)>,
    links: HashMap<String, StoreLink>,
    stores: BTreeMap<String, StoreState>,
    exports: VecDeque<ExportOrder>,
    prompt_counts: GroupCounts,
}

impl CellTable {
    fn start(_world: &World) -> Self {
        Self {
            layout: CellLayout::default(),
            generation: 0,
            membership_version: 0,
            next_list_at: Moment(0),
            cells: BTreeMap::new(),
            store_indexes: BTreeMap::new(),
            listed_stores: HashSet::new(),
            links: HashMap::new(),
            stores: BTreeMap::new(),
            exports: VecDeque::new(),
            prompt_counts: GroupCounts::new(),
        }
    }

    /// Returns this VM's cells with their numbers of waiting and running requests.
    pub fn report(&self) -> Vec<(&str, usize, usize)> {
        self.cells.iter().map(|(name, cell)| (name.as_str(), cell.queue.len(), cell.running.len())).collect()
    }

    /// Returns the number of blocks recorded as cached at engines of this VM's cells.
    pub fn cached_block_count(&self) -> usize {
        self.cells.values().map(CellState::cached_block_count).sum()
    }

    /// Returns the number of stored blocks that this VM has indexed.
    pub fn stored_block_count(&self) -> usize {
        self.store_indexes.values().map(StoreIndex::len).sum()
    }

    fn handle(&mut self, context: &mut Context<'_>, event: &Event) {
        // A new configuration must not wait for a tick: a request may follow it immediately.
        if self.generation != context.world.generation {
            self.update_roles(context);
        }
        match event {
            Event::Receive { from, message } => self.receive(context, from, message),
            Event::CacheRead { endpoint, gap, stored, evicted } => {
                self.apply_cache_events(context, endpoint, *gap, stored, evicted);
            }
            Event::StoreRead { store, pool, whole, stored, freed, room } => {
                self.apply_store_listing(context, store, pool, *whole, (stored, freed), *room);
            }
            Event::Exported { store, pool, keys, micros, .. } => {
                self.record_export(context, store, pool, keys, *micros);
            }
            Event::Probed { .. } => self.grant_waiting_in_all(context),
            Event::Tick => self.tick(context),
            _ => {}
        }
    }

    fn receive(&mut self, context: &mut Context<'_>, from: &str, message: &Message) {
        match message {
            Message::Ask(request) => self.place_request(context, from, request),
            Message::Progress { cell, request, outcome } => {
                self.apply_progress(context, from, cell, *request, *outcome);
            }
            Message::InFlight { cell, requests } => self.reconcile(context, from, cell, requests),
            _ => {}
        }
    }

    fn tick(&mut self, context: &mut Context<'_>) {
        self.update_roles(context);
        self.refuse_late(context);
        self.grant_waiting_in_all(context);
        if context.now >= self.next_list_at {
            self.next_list_at = context.now.after_millis(LIST_INTERVAL_MILLIS);
            self.list_stores(context);
        }
        self.start_exports(context);
    }

    /// Opens the cells that this VM is now home of and drops the others.
    fn update_roles(&mut self, context: &mut Context<'_>) {
        if self.generation == context.world.generation
            && self.membership_version == context.world.membership_version
        {
            return;
        }
        if self.generation != context.world.generation {
            self.layout = CellLayout::new(&context.world.catalogue);
        }
        self.generation = context.world.generation;
        self.membership_version = context.world.membership_version;
        let names: Vec<String> = self.layout.cells().map(str::to_owned).collect();
        for name in names {
            if is_home(context.world, &name, context.now) {
                self.open_cell(context.world, &name);
            } else if self.cells.remove(&name).is_some() {
                context.log("cell.left", name);
            }
        }
        let layout = &self.layout;
        self.cells.retain(|name, _| !layout.members(name).is_empty());
        self.remove_dead_vms(context);
    }

    /// Opens the cell `name`. Its state starts empty; the VMs report their requests in flight before
    /// they send new ones.
    fn open_cell(&mut self, world: &World, name: &str) {
        let (pool, _) = split_cell(name);
        let declared = &world.catalogue.declarations.endpoints;
        let members = self
            .layout
            .members(name)
            .iter()
            .filter_map(|member| Some((world.endpoint_names.find(member)?, declared.get(member)?.slots)));
        if !self.cells.contains_key(name) {
            // Blocks of the new cell's prompts in the stores were not indexed so far.
            self.listed_stores.clear();
        }
        let cell = self.cells.entry(name.to_owned()).or_insert_with(|| CellState::new(pool));
        cell.set_members(members);
    }

    /// Removes queued and running requests of dead VMs; a departing VM still has open streams.
    fn remove_dead_vms(&mut self, context: &Context<'_>) {
        let (world, now) = (&*context.world, context.now);
        let is_dead = |vm| {
            let row = &world.vms[vm];
            let is_local = row.data_centre == world.data_centre;
            world.vm_names.name(vm) != world.own_name
                && if is_local { now >= row.heartbeat_deadline } else { !row.listed }
        };
        for cell in self.cells.values_mut() {
            let orphaned: Vec<RequestKey> =
                cell.running.keys().filter(|(vm, _)| is_dead(*vm)).copied().collect();
            for key in orphaned {
                cell.finish(key, now);
            }
            cell.queue.remove_if(|waiting| is_dead(waiting.key.0));
        }
    }

    fn place_request(&mut self, context: &mut Context<'_>, from: &str, request: &EndpointRequest) {
        // A request may arrive before the tick that notices the role.
        if !self.cells.contains_key(&request.cell) && !self.layout.members(&request.cell).is_empty() {
            let cell = request.cell.clone();
            self.open_cell(context.world, &cell);
        }
        let vm = context.world.vm_names.intern(from);
        context.world.vms.get_or_insert_default(vm);
        let key = (vm, request.request);
        let account = context.world.account_names.intern(&request.account);
        let Some(cell) = self.cells.get_mut(&request.cell) else {
            refuse_request(context, from, request, RefusalKind::NoEndpoint, MIN_RETRY_DELAY_MILLIS);
            return;
        };
        if let Some(running) = cell.running.get(&key) {
            let grant = Grant {
                request: request.request,
                endpoint: context.world.endpoint_names.name(running.endpoint).to_owned(),
                import: running.import.clone(),
                priority: running.priority,
            };
            context.send(from, Message::Grant(grant));
            return;
        }
        if cell.is_queued(key) {
            context.send(from, Message::Queued { request: request.request });
            return;
        }
        let deadline = context.now.after_micros(request.micros_left);
        let Some(variant) = placement(&context.world.variant) else { return };
        let store_index = self.store_indexes.entry(cell.pool.clone()).or_default();
        let missing_tokens = cell.missing_tokens(request, store_index);
        let expected = cell.expected_start(context.world, context.now, account, missing_tokens);
        if expected == Moment::NEVER {
            refuse_request(context, from, request, RefusalKind::NoEndpoint, MIN_RETRY_DELAY_MILLIS);
            return;
        }
        if variant.queues_at_home
            && request.may_move
            && cell.is_busy(context.world, context.now, request, store_index)
        {
            refuse_request(context, from, request, RefusalKind::Busy, MIN_RETRY_DELAY_MILLIS);
            return;
        }
        if variant.queues_at_home && expected > deadline {
            let late_millis = expected.micros_since(deadline) / MICROS_PER_MILLI;
            refuse_request(context, from, request, RefusalKind::Deadline, late_millis);
            return;
        }
        let weight = cell.weight(context.world, account);
        let waiting = WaitingRequest { key, account, request: request.clone(), missing_tokens, deadline };
        cell.queue.push(account, weight, request.priority, deadline, waiting);
        self.grant_waiting(context, &request.cell);
        if self.cells.get(&request.cell).is_some_and(|cell| cell.is_queued(key)) {
            context.send(from, Message::Queued { request: request.request });
        }
    }

    fn grant_waiting_in_all(&mut self, context: &mut Context<'_>) {
        let names: Vec<String> = self
            .cells
            .iter()
            .filter(|(_, cell)| !cell.queue.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.grant_waiting(context, &name);
        }
    }

    fn grant_waiting(&mut self, context: &mut Context<'_>, name: &str) {
        let Some(variant) = placement(&context.world.variant) else { return };
        let Some(cell) = self.cells.get_mut(name) else { return };
        let store_index = self.store_indexes.entry(cell.pool.clone()).or_default();
        for granted in cell.grant_waiting(context.world, context.now, variant, store_index, &mut self.links) {
            store_index.touch(&granted.waiting.request.keys, context.now);
            send_grant(context, &granted);
        }
    }

    /// Refuses queued requests that can no longer meet their deadline.
    fn refuse_late(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        for cell in self.cells.values_mut() {
            let late_requests = cell.take_late(context.world, now, &self.store_indexes);
            for waiting in late_requests {
                let name = context.world.vm_names.name(waiting.key.0).to_owned();
                refuse_request(
                    context,
                    &name,
                    &waiting.request,
                    RefusalKind::Deadline,
                    MIN_RETRY_DELAY_MILLIS,
                );
            }
        }
    }

    fn apply_progress(
        &mut self,
        context: &mut Context<'_>,
        from: &str,
        name: &str,
        request: u64,
        outcome: Outcome,
    ) {
        let Some(vm) = context.world.vm_names.find(from) else { return };
        let Some(cell) = self.cells.get_mut(name) else { return };
        let key = (vm, request);
        match outcome {
            Outcome::FirstToken(usage) => self.first_token(context, name, key, usage),
            Outcome::Complete(_) | Outcome::Abandoned => {
                cell.finish(key, context.now);
            }
            Outcome::Failed(kind) => {
                if let Some(running) = cell.finish(key, context.now) {
                    record_failure(context, running.endpoint, kind);
                }
            }
        }
        self.grant_waiting(context, name);
    }

    fn first_token(&mut self, context: &mut Context<'_>, name: &str, key: RequestKey, usage: PromptUsage) {
        let Some(cell) = self.cells.get_mut(name) else { return };
        let Some(running) = cell.first_token(key, usage, context.now, &mut self.links) else { return };
        let uses_stores = placement(&context.world.variant).is_some_and(|variant| variant.uses_stores);
        let pool = cell.pool.clone();
        let store_index = self.store_indexes.entry(pool.clone()).or_default();
        let keys: Vec<u64> =
            running.keys.iter().filter(|key| !store_index.contains(**key)).copied().collect();
        let is_export_queued = self.exports.iter().any(|export| export.keys.last() == keys.last());
        if !uses_stores || keys.is_empty() || is_export_queued {
            return;
        }
        let Some(store) = choose_store(context.world, group_of(keys[0]), context.now) else { return };
        let endpoint = context.world.endpoint_names.name(running.endpoint).to_owned();
        // Blocks of repeated prompts go first, since they are likely to be requested again. Others may
        // be dropped.
        let count = self.prompt_counts.entry(group_of(keys[0])).or_insert(0);
        *count = count.saturating_add(1);
        let is_repeated = *count > 1;
        let exports = keys.chunks(BLOCKS_PER_EXPORT).map(|keys| ExportOrder {
            endpoint: endpoint.clone(),
            pool: pool.clone(),
            store: store.clone(),
            keys: keys.to_vec(),
            is_repeated,
        });
        if is_repeated {
            exports.rev().for_each(|export| self.exports.push_front(export));
        } else {
            self.exports.extend(exports);
        }
        while self.exports.len() > MAX_QUEUED_EXPORTS {
            self.exports.pop_back();
        }
        self.start_exports(context);
    }

    /// Starts exports to stores whose link no import is using.
    fn start_exports(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        let mut postponed = VecDeque::new();
        while let Some(export) = self.exports.pop_front() {
            let busy = self.links.get(&export.store).is_some_and(|link| link.free_at > now);
            let store = self.stores.entry(export.store.clone()).or_default();
            if now >= store.export_deadline {
                store.open_exports = 0;
            }
            if busy
                || store.open_exports >= MAX_EXPORTS_PER_STORE
                || (now < store.backoff_until && !export.is_repeated)
            {
                postponed.push_back(export);
                continue;
            }
            let needed_blocks = export.keys.len();
            let store_index = self.store_indexes.entry(export.pool.clone()).or_default();
            // A store that was not listed yet may be empty: nothing is evicted without a listing.
            if store.free_blocks.is_some_and(|free_blocks| (free_blocks as usize) < needed_blocks) {
                let keys =
                    store_index.eviction_victims(&export.store, needed_blocks + EVICTION_MARGIN_BLOCKS, now);
                for key in &keys {
                    store_index.remove(&export.store, *key);
                }
                if !keys.is_empty() {
                    let (store, pool) = (export.store.clone(), export.pool.clone());
                    context.emit(Effect::Free { store, pool, keys });
                }
            }
            store.free_blocks =
                store.free_blocks.map(|free_blocks| free_blocks.saturating_sub(needed_blocks as u32));
            store.open_exports += 1;
            store.export_deadline = now.after_millis(EXPORT_TIMEOUT_MILLIS);
            let ExportOrder { endpoint, pool, store, keys, .. } = export;
            context.emit(Effect::Export { endpoint, store, pool, keys });
        }
        self.exports = postponed;
    }

    fn record_export(
        &mut self,
        context: &mut Context<'_>,
        store: &str,
        pool: &str,
        keys: &[u64],
        micros: u64,
    ) {
        let state = self.stores.entry(store.to_owned()).or_default();
        state.open_exports = state.open_exports.saturating_sub(1);
        state.backoff_until = context.now.after_micros(micros);
        let store_index = self.store_indexes.entry(pool.to_owned()).or_default();
        for (depth, key) in keys.iter().enumerate() {
            store_index.insert(store, *key, depth as u32, context.now);
        }
        self.start_exports(context);
    }

    fn apply_cache_events(
        &mut self,
        context: &Context<'_>,
        endpoint: &str,
        gap: bool,
        stored: &[u64],
        evicted: &[u64],
    ) {
        let Some(index) = context.world.endpoint_names.find(endpoint) else { return };
        if let Some(cell) = self.layout.cell_of(endpoint).and_then(|name| self.cells.get_mut(name)) {
            cell.apply_cache_events(index, gap, stored, evicted);
        }
    }

    fn apply_store_listing(
        &mut self,
        context: &Context<'_>,
        store: &str,
        pool: &str,
        is_full: bool,
        (stored, freed): (&[u64], &[u64]),
        free_blocks: u32,
    ) {
        self.stores.entry(store.to_owned()).or_default().free_blocks = Some(free_blocks);
        let store_index = self.store_indexes.entry(pool.to_owned()).or_default();
        if is_full {
            store_index.clear(store);
        }
        let centre = &context.world.data_centre;
        for key in stored {
            // Several homes share a store; each indexes only the prompts of its own cells.
            let group = group_of(*key);
            let cells = self.layout.cell_order(pool, centre, group);
            if cells.first().is_some_and(|cell| self.cells.contains_key(*cell)) {
                store_index.insert(store, *key, 0, context.now);
            }
        }
        for key in freed {
            store_index.remove(store, *key);
        }
    }

    fn list_stores(&mut self, context: &mut Context<'_>) {
        if placement(&context.world.variant).is_none_or(|variant| !variant.uses_stores) {
            return;
        }
        for link in self.links.values_mut() {
            link.block_cost.relax(INITIAL_BLOCK_IMPORT_MICROS);
        }
        let mut pools: Vec<String> = self.cells.values().map(|cell| cell.pool.clone()).collect();
        pools.dedup();
        let catalogue = std::sync::Arc::clone(&context.world.catalogue);
        let is_engine_pool = |pool: &String| {
            catalogue.declarations.pools.get(pool).is_some_and(|pool| pool.kind == EndpointKind::Engine)
        };
        for pool in pools.into_iter().filter(|pool| is_engine_pool(pool)) {
            for store in usable_stores(context.world, context.now) {
                // The first read by this home, or after its roles changed, is of the full listing.
                let whole = self.listed_stores.insert((store.clone(), pool.clone()));
                context.emit(Effect::ListStore { store, pool: pool.clone(), whole });
            }
        }
    }

    fn reconcile(&mut self, context: &mut Context<'_>, from: &str, name: &str, requests: &[InFlightRow]) {
        if !self.cells.contains_key(name) && !self.layout.members(name).is_empty() {
            self.open_cell(context.world, name);
        }
        let Some(vm) = context.world.vm_names.find(from) else { return };
        let now = context.now;
        let Some(cell) = self.cells.get_mut(name) else { return };
        let reported: HashSet<u64> = requests.iter().map(|row| row.request).collect();
        let lost: Vec<RequestKey> = cell
            .running
            .iter()
            .filter(|((owner, request), running)| {
                *owner == vm
                    && !reported.contains(request)
                    && now >= running.granted_at.after_millis(UNREPORTED_GRACE_MILLIS)
            })
            .map(|(key, _)| *key)
            .collect();
        for key in lost {
            cell.finish(key, now);
        }
        for row in requests {
            let Some(endpoint) = context.world.endpoint_names.find(&row.endpoint) else { continue };
            let account = context.world.account_names.intern(&row.account);
            cell.adopt((vm, row.request), endpoint, account, row, now);
        }
        self.grant_waiting(context, name);
    }
}

fn is_home(world: &World, cell: &str, now: Moment) -> bool {
    let (_, centre) = split_cell(cell);
    centre == world.data_centre && world.role_holder(cell, centre, now) == Some(&world.own_name)
}

fn send_grant(context: &mut Context<'_>, granted: &GrantedRequest) {
    let to = context.world.vm_names.name(granted.waiting.key.0).to_owned();
    let grant = Grant {
        request: granted.waiting.key.1,
        endpoint: context.world.endpoint_names.name(granted.endpoint).to_owned(),
        import: granted.import.clone(),
        priority: granted.priority,
    };
    context.send(&to, Message::Grant(grant));
}

fn refuse_request(
    context: &mut Context<'_>,
    to: &str,
    request: &EndpointRequest,
    reason: RefusalKind,
    min_millis: u64,
) {
    let base_millis = min_millis.clamp(MIN_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS);
    let retry_after_millis = jittered_retry_delay(to, request.request, base_millis);
    context.send(to, Message::Refusal { request: request.request, reason, retry_after_millis });
}

fn usable_stores(world: &World, now: Moment) -> Vec<String> {
    let stores = world.catalogue.declarations.endpoints.values();
    let usable = stores.filter(|endpoint| {
        let row = world.endpoint_names.find(&endpoint.name).map(|index| &world.endpoints[index]);
        endpoint.kind == EndpointKind::Store && row.is_some_and(|row| row.accepts_work(now))
    });
    usable.map(|endpoint| endpoint.name.clone()).collect()
}

/// Chooses the store for blocks of `group`; stores of the own data centre take priority.
fn choose_store(world: &World, group: u64, now: Moment) -> Option<String> {
    let usable = usable_stores(world, now);
    let declared = &world.catalogue.declarations.endpoints;
    let local_stores: Vec<&str> = usable
        .iter()
        .filter(|name| declared[*name].data_centre == world.data_centre)
        .map(String::as_str)
        .collect();
    let key = group.to_string();
    if local_stores.is_empty() {
        rendezvous(&key, usable.iter().map(String::as_str)).map(str::to_owned)
    } else {
        rendezvous(&key, local_stores.into_iter()).map(str::to_owned)
    }
}

register_plugin!("cell", 50, CellTable);
