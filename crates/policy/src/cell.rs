//! Fair share, placement, import and export at the homes of cells.
//!
//! Invariant: a request that was asked for ends at this home by a grant, a refusal, or the asker's
//! report that it has ended; asking twice gives the same answer twice. A request that cannot meet
//! its deadline is refused as soon as that is known, and is told when to come back.

use crate::cell_state::{CellState, GrantedRequest, PIECE_GUESS, RequestKey, StoreLink, WaitingRequest};
use crate::health::note_failure;
use crate::kept_index::KeptIndex;
use crate::layout::{CellLayout, group_of, split_cell};
use crate::limits::spread_wait;
use crate::placement::placement;
use spanfold_declare::EndpointKind;
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use spanfold_kernel::{
    Ask, Context, Effect, Event, Grant, InFlightRow, Message, Outcome, RefusalKind, Usage, World,
    register_plugin, rendezvous,
};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// Period of reading the stores' listings, in milliseconds.
const LIST_MILLIS: u64 = 1_000;
/// Exports that wait for an idle link; more are dropped, oldest first.
const EXPORT_BACKLOG: usize = 256;
/// Pieces of one export order.
const EXPORT_PIECES: usize = 4;
/// Exports at work on one store's link at once.
const EXPORT_WINDOW: u32 = 1;
/// An export that has not ended by then is taken as lost, in milliseconds.
const EXPORT_MILLIS: u64 = 30_000;
/// Pieces freed beyond what an export needs, so that each export does not free anew.
const FREE_MARGIN: usize = 16;
/// A granted request that its VM no longer names is ended after this long, in milliseconds.
const ADOPT_MILLIS: u64 = 2_000;
/// Smallest wait that a refused caller is told, in milliseconds.
const RETRY_LEAST_MILLIS: u64 = 250;
/// Longest wait that a refused caller is told, in milliseconds.
const MAX_RETRY_DELAY_MILLIS: u64 = 30_000;

/// Pieces that should go to a store.
#[derive(Clone, Debug)]
struct ExportOrder {
    endpoint: String,
    pool: String,
    store: String,
    keys: Vec<u64>,
    /// Whether the prompt has returned before.
    returns: bool,
}

/// Groups counted as seen; a group has 16 bits, so this bounds nothing but the type.
type SeenGroups = HashMap<u64, u32>;

/// State of one store as seen from this VM's cells.
#[derive(Clone, Debug, Default)]
struct StoreState {
    exporting: u32,
    export_until: Moment,
    /// After an export the link is left alone for as long as it took.
    backoff_until: Moment,
    /// Pieces that it has room for; none before its listing was read.
    room: Option<u32>,
}

/// State of the cell plug-in: the cells that this VM is home of.
#[derive(Debug)]
pub struct CellTable {
    layout: CellLayout,
    generation: u64,
    membership: u64,
    list_at: Moment,
    cells: BTreeMap<String, CellState>,
    kept: BTreeMap<String, KeptIndex>,
    listed: HashSet<(String, String)>,
    links: HashMap<String, StoreLink>,
    stores: BTreeMap<String, StoreState>,
    exports: VecDeque<ExportOrder>,
    seen: SeenGroups,
}

impl CellTable {
    fn start(_world: &World) -> Self {
        Self {
            layout: CellLayout::default(),
            generation: 0,
            membership: 0,
            list_at: Moment(0),
            cells: BTreeMap::new(),
            kept: BTreeMap::new(),
            listed: HashSet::new(),
            links: HashMap::new(),
            stores: BTreeMap::new(),
            exports: VecDeque::new(),
            seen: SeenGroups::new(),
        }
    }

    /// Cells that this VM is home of, with requests that wait and run.
    pub fn report(&self) -> Vec<(&str, usize, usize)> {
        self.cells.iter().map(|(name, cell)| (name.as_str(), cell.queue.len(), cell.running.len())).collect()
    }

    /// Pieces that engines of this VM's cells are believed to hold.
    pub fn held_count(&self) -> usize {
        self.cells.values().map(CellState::held_count).sum()
    }

    /// Kept pieces that this VM has indexed.
    pub fn cached_count(&self) -> usize {
        self.kept.values().map(KeptIndex::len).sum()
    }

    fn handle(&mut self, context: &mut Context<'_>, event: &Event) {
        // A new configuration must not wait for a tick: a request may come right behind it.
        if self.generation != context.world.generation {
            self.follow_roles(context);
        }
        match event {
            Event::Receive { from, message } => self.receive(context, from, message),
            Event::CacheRead { endpoint, gap, stored, evicted } => {
                self.cache_read(context, endpoint, *gap, stored, evicted);
            }
            Event::StoreRead { store, pool, whole, stored, freed, room } => {
                self.store_read(context, store, pool, *whole, (stored, freed), *room);
            }
            Event::Exported { store, pool, keys, micros, .. } => {
                self.exported(context, store, pool, keys, *micros);
            }
            Event::Probed { .. } => self.pump_all(context),
            Event::Tick => self.tick(context),
            _ => {}
        }
    }

    fn receive(&mut self, context: &mut Context<'_>, from: &str, message: &Message) {
        match message {
            Message::Ask(ask) => self.ask(context, from, ask),
            Message::Progress { cell, request, outcome } => {
                self.progress(context, from, cell, *request, *outcome);
            }
            Message::InFlight { cell, requests } => self.reconcile(context, from, cell, requests),
            _ => {}
        }
    }

    fn tick(&mut self, context: &mut Context<'_>) {
        self.follow_roles(context);
        self.cull(context);
        self.pump_all(context);
        if context.now >= self.list_at {
            self.list_at = context.now.after_millis(LIST_MILLIS);
            self.list_stores(context);
        }
        self.start_exports(context);
    }

    /// Takes up the cells that this VM is now home of and lets go of the others.
    fn follow_roles(&mut self, context: &mut Context<'_>) {
        if self.generation == context.world.generation && self.membership == context.world.membership {
            return;
        }
        if self.generation != context.world.generation {
            self.layout = CellLayout::new(&context.world.catalogue);
        }
        self.generation = context.world.generation;
        self.membership = context.world.membership;
        let names: Vec<String> = self.layout.cells().map(str::to_owned).collect();
        for name in names {
            if is_home(context.world, &name, context.now) {
                self.take_up(context.world, &name);
            } else if self.cells.remove(&name).is_some() {
                context.log("cell.left", name);
            }
        }
        let layout = &self.layout;
        self.cells.retain(|name, _| !layout.members(name).is_empty());
        self.drop_dead_vms(context);
    }

    /// A home's knowledge starts empty; asking VMs fill it before they ask.
    fn take_up(&mut self, world: &World, name: &str) {
        let (pool, _) = split_cell(name);
        let declared = &world.catalogue.declarations.endpoints;
        let members = self
            .layout
            .members(name)
            .iter()
            .filter_map(|member| Some((world.endpoint_names.find(member)?, declared.get(member)?.slots)));
        if !self.cells.contains_key(name) {
            // What the stores hold of the new cell's prompts was passed over so far.
            self.listed.clear();
        }
        let cell = self.cells.entry(name.to_owned()).or_insert_with(|| CellState::new(pool));
        cell.set_members(members);
    }

    /// What dead VMs had asked for or were granted has ended; a leaving VM still has streams.
    fn drop_dead_vms(&mut self, context: &Context<'_>) {
        let (world, now) = (&*context.world, context.now);
        let dead = |vm| {
            let row = &world.vms[vm];
            let near = row.data_centre == world.data_centre;
            world.vm_names.name(vm) != world.me && if near { now >= row.alive_until } else { !row.listed }
        };
        for cell in self.cells.values_mut() {
            let ended: Vec<RequestKey> = cell.running.keys().filter(|(vm, _)| dead(*vm)).copied().collect();
            for key in ended {
                cell.end(key, now);
            }
            cell.queue.remove_if(|waiting| dead(waiting.key.0));
        }
    }

    fn ask(&mut self, context: &mut Context<'_>, from: &str, ask: &Ask) {
        // A question may come before the tick that notices the role.
        if !self.cells.contains_key(&ask.cell) && !self.layout.members(&ask.cell).is_empty() {
            let cell = ask.cell.clone();
            self.take_up(context.world, &cell);
        }
        let vm = context.world.vm_names.intern(from);
        context.world.vms.at_or_default(vm);
        let key = (vm, ask.request);
        let account = context.world.account_names.intern(&ask.account);
        let Some(cell) = self.cells.get_mut(&ask.cell) else {
            refuse_ask(context, from, ask, RefusalKind::NoEndpoint, RETRY_LEAST_MILLIS);
            return;
        };
        if let Some(running) = cell.running.get(&key) {
            let grant = Grant {
                request: ask.request,
                endpoint: context.world.endpoint_names.name(running.endpoint).to_owned(),
                import: running.import.clone(),
                priority: running.priority,
            };
            context.send(from, Message::Grant(grant));
            return;
        }
        if cell.waits(key) {
            context.send(from, Message::Queued { request: ask.request });
            return;
        }
        let deadline = context.now.after_micros(ask.micros_left);
        let Some(variant) = placement(&context.world.variant) else { return };
        let kept = self.kept.entry(cell.pool.clone()).or_default();
        let missing = cell.missing_tokens(ask, kept);
        let expected = cell.expected_start(context.world, context.now, account, missing);
        if expected == Moment::NEVER {
            refuse_ask(context, from, ask, RefusalKind::NoEndpoint, RETRY_LEAST_MILLIS);
            return;
        }
        if variant.holds && ask.may_move && cell.is_busy(context.world, context.now, ask, kept) {
            refuse_ask(context, from, ask, RefusalKind::Busy, RETRY_LEAST_MILLIS);
            return;
        }
        if variant.holds && expected > deadline {
            let late = expected.micros_since(deadline) / MICROS_PER_MILLI;
            refuse_ask(context, from, ask, RefusalKind::Deadline, late);
            return;
        }
        let weight = cell.weight(context.world, account);
        let waiting = WaitingRequest { key, account, ask: ask.clone(), missing, deadline };
        cell.queue.push(account, weight, ask.priority, deadline, waiting);
        self.pump(context, &ask.cell);
        if self.cells.get(&ask.cell).is_some_and(|cell| cell.waits(key)) {
            context.send(from, Message::Queued { request: ask.request });
        }
    }

    fn pump_all(&mut self, context: &mut Context<'_>) {
        let names: Vec<String> = self
            .cells
            .iter()
            .filter(|(_, cell)| !cell.queue.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.pump(context, &name);
        }
    }

    fn pump(&mut self, context: &mut Context<'_>, name: &str) {
        let Some(variant) = placement(&context.world.variant) else { return };
        let Some(cell) = self.cells.get_mut(name) else { return };
        let kept = self.kept.entry(cell.pool.clone()).or_default();
        for granted in cell.pump(context.world, context.now, variant, kept, &mut self.links) {
            kept.touch(&granted.waiting.ask.keys, context.now);
            send_grant(context, &granted);
        }
    }

    /// Refuses what waits and can no longer meet its deadline.
    fn cull(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        for cell in self.cells.values_mut() {
            let hopeless = cell.take_hopeless(context.world, now, &self.kept);
            for waiting in hopeless {
                let name = context.world.vm_names.name(waiting.key.0).to_owned();
                refuse_ask(context, &name, &waiting.ask, RefusalKind::Deadline, RETRY_LEAST_MILLIS);
            }
        }
    }

    fn progress(
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
                cell.end(key, context.now);
            }
            Outcome::Failed(kind) => {
                if let Some(running) = cell.end(key, context.now) {
                    note_failure(context, running.endpoint, kind);
                }
            }
        }
        self.pump(context, name);
    }

    fn first_token(&mut self, context: &mut Context<'_>, name: &str, key: RequestKey, usage: Usage) {
        let Some(cell) = self.cells.get_mut(name) else { return };
        let Some(running) = cell.first_token(key, usage, context.now, &mut self.links) else { return };
        let keeps = placement(&context.world.variant).is_some_and(|variant| variant.keeps);
        let pool = cell.pool.clone();
        let kept = self.kept.entry(pool.clone()).or_default();
        let keys: Vec<u64> = running.keys.iter().filter(|key| !kept.holds(**key)).copied().collect();
        let waiting = self.exports.iter().any(|order| order.keys.last() == keys.last());
        if !keeps || keys.is_empty() || waiting {
            return;
        }
        let Some(store) = choose_store(context.world, group_of(keys[0]), context.now) else { return };
        let endpoint = context.world.endpoint_names.name(running.endpoint).to_owned();
        // What has returned before goes first: it will again. What never did may be dropped.
        let seen = self.seen.entry(group_of(keys[0])).or_insert(0);
        *seen = seen.saturating_add(1);
        let returns = *seen > 1;
        let orders = keys.chunks(EXPORT_PIECES).map(|keys| ExportOrder {
            endpoint: endpoint.clone(),
            pool: pool.clone(),
            store: store.clone(),
            keys: keys.to_vec(),
            returns,
        });
        if returns {
            orders.rev().for_each(|order| self.exports.push_front(order));
        } else {
            self.exports.extend(orders);
        }
        while self.exports.len() > EXPORT_BACKLOG {
            self.exports.pop_back();
        }
        self.start_exports(context);
    }

    /// Starts exports to stores whose link no import needs now.
    fn start_exports(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        let mut left = VecDeque::new();
        while let Some(order) = self.exports.pop_front() {
            let busy = self.links.get(&order.store).is_some_and(|link| link.free_at > now);
            let store = self.stores.entry(order.store.clone()).or_default();
            if now >= store.export_until {
                store.exporting = 0;
            }
            if busy || store.exporting >= EXPORT_WINDOW || (now < store.backoff_until && !order.returns) {
                left.push_back(order);
                continue;
            }
            let needed = order.keys.len();
            let kept = self.kept.entry(order.pool.clone()).or_default();
            // A store of which nothing is known yet may be empty: nothing is freed on a guess.
            if store.room.is_some_and(|room| (room as usize) < needed) {
                let keys = kept.victims(&order.store, needed + FREE_MARGIN, now);
                for key in &keys {
                    kept.remove(&order.store, *key);
                }
                if !keys.is_empty() {
                    let (store, pool) = (order.store.clone(), order.pool.clone());
                    context.emit(Effect::Free { store, pool, keys });
                }
            }
            store.room = store.room.map(|room| room.saturating_sub(needed as u32));
            store.exporting += 1;
            store.export_until = now.after_millis(EXPORT_MILLIS);
            let ExportOrder { endpoint, pool, store, keys, .. } = order;
            context.emit(Effect::Export { endpoint, store, pool, keys });
        }
        self.exports = left;
    }

    fn exported(&mut self, context: &mut Context<'_>, store: &str, pool: &str, keys: &[u64], micros: u64) {
        let state = self.stores.entry(store.to_owned()).or_default();
        state.exporting = state.exporting.saturating_sub(1);
        state.backoff_until = context.now.after_micros(micros);
        let kept = self.kept.entry(pool.to_owned()).or_default();
        for (depth, key) in keys.iter().enumerate() {
            kept.insert(store, *key, depth as u32, context.now);
        }
        self.start_exports(context);
    }

    fn cache_read(
        &mut self,
        context: &Context<'_>,
        endpoint: &str,
        gap: bool,
        stored: &[u64],
        evicted: &[u64],
    ) {
        let Some(index) = context.world.endpoint_names.find(endpoint) else { return };
        if let Some(cell) = self.layout.cell_of(endpoint).and_then(|name| self.cells.get_mut(name)) {
            cell.cache_read(index, gap, stored, evicted);
        }
    }

    fn store_read(
        &mut self,
        context: &Context<'_>,
        store: &str,
        pool: &str,
        whole: bool,
        (stored, freed): (&[u64], &[u64]),
        room: u32,
    ) {
        self.stores.entry(store.to_owned()).or_default().room = Some(room);
        let kept = self.kept.entry(pool.to_owned()).or_default();
        if whole {
            kept.clear(store);
        }
        let centre = &context.world.data_centre;
        for key in stored {
            // Of a store that several homes share, each indexes the prompts of its own cells.
            let group = group_of(*key);
            let cells = self.layout.order(pool, centre, group);
            if cells.first().is_some_and(|cell| self.cells.contains_key(*cell)) {
                kept.insert(store, *key, 0, context.now);
            }
        }
        for key in freed {
            kept.remove(store, *key);
        }
    }

    fn list_stores(&mut self, context: &mut Context<'_>) {
        if placement(&context.world.variant).is_none_or(|variant| !variant.keeps) {
            return;
        }
        for link in self.links.values_mut() {
            link.piece.relax(PIECE_GUESS);
        }
        let mut pools: Vec<String> = self.cells.values().map(|cell| cell.pool.clone()).collect();
        pools.dedup();
        let catalogue = std::sync::Arc::clone(&context.world.catalogue);
        let engines = |pool: &String| {
            catalogue.declarations.pools.get(pool).is_some_and(|pool| pool.kind == EndpointKind::Engine)
        };
        for pool in pools.into_iter().filter(|pool| engines(pool)) {
            for store in usable_stores(context.world, context.now) {
                // The first reading by this home, or after its roles changed, is of the whole.
                let whole = self.listed.insert((store.clone(), pool.clone()));
                context.emit(Effect::ListStore { store, pool: pool.clone(), whole });
            }
        }
    }

    fn reconcile(&mut self, context: &mut Context<'_>, from: &str, name: &str, requests: &[InFlightRow]) {
        if !self.cells.contains_key(name) && !self.layout.members(name).is_empty() {
            self.take_up(context.world, name);
        }
        let Some(vm) = context.world.vm_names.find(from) else { return };
        let now = context.now;
        let Some(cell) = self.cells.get_mut(name) else { return };
        let named: HashSet<u64> = requests.iter().map(|row| row.request).collect();
        let lost: Vec<RequestKey> = cell
            .running
            .iter()
            .filter(|((owner, request), running)| {
                *owner == vm
                    && !named.contains(request)
                    && now >= running.granted_at.after_millis(ADOPT_MILLIS)
            })
            .map(|(key, _)| *key)
            .collect();
        for key in lost {
            cell.end(key, now);
        }
        for row in requests {
            let Some(endpoint) = context.world.endpoint_names.find(&row.endpoint) else { continue };
            let account = context.world.account_names.intern(&row.account);
            cell.adopt((vm, row.request), endpoint, account, row, now);
        }
        self.pump(context, name);
    }
}

fn is_home(world: &World, cell: &str, now: Moment) -> bool {
    let (_, centre) = split_cell(cell);
    centre == world.data_centre && world.holder(cell, centre, now) == Some(&world.me)
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

fn refuse_ask(context: &mut Context<'_>, to: &str, ask: &Ask, reason: RefusalKind, least_millis: u64) {
    let least = least_millis.clamp(RETRY_LEAST_MILLIS, MAX_RETRY_DELAY_MILLIS);
    let retry_after_millis = spread_wait(to, ask.request, least);
    context.send(to, Message::Refusal { request: ask.request, reason, retry_after_millis });
}

fn usable_stores(world: &World, now: Moment) -> Vec<String> {
    let stores = world.catalogue.declarations.endpoints.values();
    let usable = stores.filter(|endpoint| {
        let row = world.endpoint_names.find(&endpoint.name).map(|index| &world.endpoints[index]);
        endpoint.kind == EndpointKind::Store && row.is_some_and(|row| row.takes_work(now))
    });
    usable.map(|endpoint| endpoint.name.clone()).collect()
}

/// The store that pieces of `group` go to: one of the own data centre if there is any.
fn choose_store(world: &World, group: u64, now: Moment) -> Option<String> {
    let usable = usable_stores(world, now);
    let declared = &world.catalogue.declarations.endpoints;
    let near: Vec<&str> = usable
        .iter()
        .filter(|name| declared[*name].data_centre == world.data_centre)
        .map(String::as_str)
        .collect();
    let key = group.to_string();
    if near.is_empty() {
        rendezvous(&key, usable.iter().map(String::as_str)).map(str::to_owned)
    } else {
        rendezvous(&key, near.into_iter()).map(str::to_owned)
    }
}

register_plugin!("cell", 50, CellTable);
