//! Which cell a request asks, and what happens when its home is silent.
//!
//! Invariant: every admitted request ends in exactly one of a dispatch or a refusal by this VM,
//! whatever its home does. A silent home is bypassed with a local decision: its death costs the
//! quality of a few decisions and no request. Requests in flight are told to a cell's home
//! whenever the home changes and every few seconds, so that a lost message cannot leak a slot.

use crate::layout::{CellLayout, group_of, split_cell};
use crate::limits::refuse;
use crate::placement::placement;
use spanfold_entity::Moment;
use spanfold_kernel::{
    Arrival, Ask, Context, Effect, Event, Grant, InFlightRow, Message, Outcome, RefusalKind, World,
    register_plugin, rendezvous, spread,
};
use std::collections::{BTreeMap, BTreeSet};

/// A home that has not answered for this long is bypassed, in milliseconds.
const SILENCE_MILLIS: u64 = 250;
/// A queued request asks again after this long, in milliseconds, to notice a dead home.
const RECHECK_MILLIS: u64 = 500;
/// A silent home of another data centre is passed over this long, in milliseconds.
const SUSPECT_MILLIS: u64 = 2_000;
/// Period of telling homes what is in flight, in milliseconds.
const RECONCILE_MILLIS: u64 = 5_000;
/// Cells of one data centre that a request asks before it is refused.
const CELLS_TRIED: usize = 2;

/// One request between admission and its end.
#[derive(Debug, Clone)]
struct OpenRequest {
    arrival: Arrival,
    cell: String,
    home: String,
    tried: BTreeSet<String>,
    acknowledged: bool,
    check_at: Moment,
    may_move: bool,
    endpoint: Option<String>,
    started: bool,
}

/// State of the entry plug-in: the requests that this VM has open.
#[derive(Debug)]
pub struct RequestTracker {
    layout: CellLayout,
    generation: u64,
    membership: u64,
    reconcile_at: Moment,
    open: BTreeMap<u64, OpenRequest>,
    told: BTreeSet<String>,
    /// Homes in other data centres that were silent, and until when they are passed over.
    silent: BTreeMap<String, Moment>,
    /// Decisions made here because a home was silent.
    pub bypassed: u64,
}

impl RequestTracker {
    fn start(_world: &World) -> Self {
        Self {
            layout: CellLayout::default(),
            generation: 0,
            membership: 0,
            reconcile_at: Moment(0),
            open: BTreeMap::new(),
            told: BTreeSet::new(),
            silent: BTreeMap::new(),
            bypassed: 0,
        }
    }

    /// Requests that are open.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    fn handle(&mut self, context: &mut Context<'_>, event: &Event) {
        if self.generation != context.world.generation {
            self.generation = context.world.generation;
            self.layout = CellLayout::new(&context.world.catalogue);
        }
        match event {
            Event::Admitted(arrival) => self.admit(context, arrival),
            Event::Progress { request, outcome } => self.progress(context, *request, *outcome),
            Event::Receive { from, message: Message::Grant(grant) } => self.granted(context, from, grant),
            Event::Receive { message: Message::Queued { request }, .. } => self.queued(context, *request),
            Event::Receive { message: Message::Refusal { request, reason, retry_after_millis }, .. } => {
                self.refused(context, *request, *reason, *retry_after_millis);
            }
            Event::Tick => self.tick(context),
            _ => {}
        }
    }

    fn admit(&mut self, context: &mut Context<'_>, arrival: &Arrival) {
        let request = OpenRequest {
            arrival: arrival.clone(),
            cell: String::new(),
            home: String::new(),
            tried: BTreeSet::new(),
            acknowledged: false,
            check_at: context.now,
            may_move: false,
            endpoint: None,
            started: false,
        };
        self.open.insert(arrival.request, request);
        self.ask_next_cell(context, arrival.request, RefusalKind::NoEndpoint, 0);
    }

    /// Asks the next cell that has not been asked; refuses if there is none.
    fn ask_next_cell(&mut self, context: &mut Context<'_>, number: u64, reason: RefusalKind, wait: u64) {
        let Some(request) = self.open.get_mut(&number) else { return };
        let near = &context.world.data_centre;
        let gathers = placement(&context.world.variant).is_some_and(|variant| variant.gathers);
        let mut cells = cells_to_ask(&self.layout, near, request, gathers, reason);
        let Some(cell) = cells.next().map(str::to_owned) else {
            drop(cells);
            self.open.remove(&number);
            let millis = if wait == 0 { RECHECK_MILLIS } else { wait };
            refuse(context, number, reason, millis);
            return;
        };
        drop(cells);
        request.tried.insert(cell.clone());
        request.cell = cell;
        // Only what would be asked after a "busy" counts as another cell.
        let may_move = cells_to_ask(&self.layout, near, request, gathers, RefusalKind::Busy).next().is_some();
        request.may_move = may_move;
        self.ask(context, number);
    }

    /// Asks the present home of the request's cell.
    fn ask(&mut self, context: &mut Context<'_>, number: u64) {
        let Some(request) = self.open.get_mut(&number) else { return };
        let (_, centre) = split_cell(&request.cell);
        let Some(home) = context.world.holder(&request.cell, centre, context.now).map(str::to_owned) else {
            self.bypass(context, number);
            return;
        };
        let far = centre != context.world.data_centre;
        let suspect = self.silent.get(&home).is_some_and(|until| context.now < *until);
        if far && suspect && request.may_move {
            self.ask_next_cell(context, number, RefusalKind::Busy, 0);
            return;
        }
        request.home.clone_from(&home);
        request.acknowledged = false;
        request.check_at = context.now.after_millis(SILENCE_MILLIS);
        let arrival = &request.arrival;
        let ask = Ask {
            request: number,
            cell: request.cell.clone(),
            account: arrival.account.clone(),
            keys: arrival.keys.clone(),
            prompt_tokens: arrival.prompt_tokens,
            max_tokens: arrival.max_tokens,
            micros_left: arrival.deadline.micros_since(context.now),
            priority: arrival.priority,
            exclude: arrival.exclude.clone(),
            may_move: request.may_move,
        };
        context.send(&home, Message::Ask(ask));
    }

    /// Decides without the home: the endpoint that the prompt's hash prefers.
    ///
    /// A home in another data centre may be cut off, and its endpoints with it: then the own data
    /// centre is asked next.
    fn bypass(&mut self, context: &mut Context<'_>, number: u64) {
        let Some(request) = self.open.get_mut(&number) else { return };
        let far = split_cell(&request.cell).1 != context.world.data_centre;
        if far && request.may_move {
            self.silent.insert(request.home.clone(), context.now.after_millis(SUSPECT_MILLIS));
            self.ask_next_cell(context, number, RefusalKind::Busy, 0);
            return;
        }
        let world = &*context.world;
        let usable = self.layout.members(&request.cell).iter().filter(|name| {
            let index = world.endpoint_names.find(name);
            index.is_some_and(|index| world.may_get_work(index, context.now))
                && !request.arrival.exclude.contains(name)
        });
        let group = prompt_group(&request.arrival);
        let Some(endpoint) = rendezvous(&group.to_string(), usable.map(String::as_str)) else {
            self.ask_next_cell(context, number, RefusalKind::NoEndpoint, 0);
            return;
        };
        self.bypassed += 1;
        request.endpoint = Some(endpoint.to_owned());
        let effect =
            Effect::Dispatch { request: number, endpoint: endpoint.to_owned(), import: None, priority: 0 };
        context.log("home.bypassed", format!("{} {}", request.cell, request.home));
        context.emit(effect);
    }

    fn granted(&mut self, context: &mut Context<'_>, from: &str, grant: &Grant) {
        match self.open.get_mut(&grant.request) {
            Some(request) if request.endpoint.is_none() => {
                request.endpoint = Some(grant.endpoint.clone());
                from.clone_into(&mut request.home);
                context.emit(Effect::Dispatch {
                    request: grant.request,
                    endpoint: grant.endpoint.clone(),
                    import: grant.import.clone(),
                    priority: grant.priority,
                });
            }
            // The grant was sent again because a question crossed with it.
            Some(request) if request.endpoint.as_ref() == Some(&grant.endpoint) => {}
            // Nobody waits for it any more, or another endpoint works on it: give the slot back.
            other => {
                let cell = other.map(|request| request.cell.clone());
                let cell = cell.or_else(|| self.layout.cell_of(&grant.endpoint).map(str::to_owned));
                if let Some(cell) = cell {
                    let message =
                        Message::Progress { cell, request: grant.request, outcome: Outcome::Abandoned };
                    context.send(from, message);
                }
            }
        }
    }

    fn queued(&mut self, context: &Context<'_>, number: u64) {
        if let Some(request) = self.open.get_mut(&number) {
            request.acknowledged = true;
            request.check_at = context.now.after_millis(RECHECK_MILLIS);
        }
    }

    fn refused(&mut self, context: &mut Context<'_>, number: u64, reason: RefusalKind, wait: u64) {
        if self.open.get(&number).is_some_and(|request| request.endpoint.is_none()) {
            self.ask_next_cell(context, number, reason, wait);
        }
    }

    fn progress(&mut self, context: &mut Context<'_>, number: u64, outcome: Outcome) {
        let Some(request) = self.open.get_mut(&number) else { return };
        let (cell, home) = (request.cell.clone(), request.home.clone());
        if matches!(outcome, Outcome::FirstToken(_)) {
            request.started = true;
        } else {
            self.open.remove(&number);
        }
        if !home.is_empty() {
            context.send(&home, Message::Progress { cell, request: number, outcome });
        }
    }

    fn tick(&mut self, context: &mut Context<'_>) {
        if self.membership != context.world.membership {
            self.membership = context.world.membership;
            self.follow_homes(context);
        }
        if context.now >= self.reconcile_at {
            self.reconcile_at = context.now.after_millis(RECONCILE_MILLIS);
            self.reconcile(context, None);
        }
        let due: Vec<(u64, bool)> = self
            .open
            .iter()
            .filter(|(_, request)| request.endpoint.is_none() && context.now >= request.check_at)
            .map(|(number, request)| (*number, request.acknowledged))
            .collect();
        for (number, acknowledged) in due {
            if acknowledged {
                self.ask(context, number);
            } else {
                self.bypass(context, number);
            }
        }
    }

    /// Tells new homes what is in flight, then asks them for what was asked of the old ones.
    fn follow_homes(&mut self, context: &mut Context<'_>) {
        let mut moved = BTreeMap::new();
        for request in self.open.values_mut() {
            let (_, centre) = split_cell(&request.cell);
            let home = context.world.holder(&request.cell, centre, context.now).unwrap_or_default();
            if request.home != home && !home.is_empty() {
                home.clone_into(&mut request.home);
                moved.insert(request.cell.clone(), home.to_owned());
            }
        }
        for (cell, home) in &moved {
            self.reconcile(context, Some((cell, home)));
        }
        let waiting: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, request)| request.endpoint.is_none() && moved.contains_key(&request.cell))
            .map(|(number, _)| *number)
            .collect();
        for number in waiting {
            self.ask(context, number);
        }
    }

    /// Tells homes all that is in flight: one cell's, or every cell's.
    fn reconcile(&mut self, context: &mut Context<'_>, only: Option<(&str, &str)>) {
        let mut rows: BTreeMap<(String, String), Vec<InFlightRow>> = BTreeMap::new();
        for (number, request) in &self.open {
            let Some(endpoint) = &request.endpoint else { continue };
            if only.is_some_and(|(cell, _)| cell != request.cell) {
                continue;
            }
            let row = InFlightRow {
                request: *number,
                endpoint: endpoint.clone(),
                account: request.arrival.account.clone(),
                prompt_tokens: request.arrival.prompt_tokens,
                started: request.started,
            };
            rows.entry((request.cell.clone(), request.home.clone())).or_default().push(row);
        }
        match only {
            Some((cell, home)) => {
                rows.entry((cell.to_owned(), home.to_owned())).or_default();
            }
            // A cell that had rows at the last telling is told once more that it has none.
            None => {
                for cell in std::mem::take(&mut self.told) {
                    let (_, centre) = split_cell(&cell);
                    if let Some(home) = context.world.holder(&cell, centre, context.now) {
                        rows.entry((cell.clone(), home.to_owned())).or_default();
                    }
                }
            }
        }
        for ((cell, home), requests) in rows {
            if !requests.is_empty() {
                self.told.insert(cell.clone());
            }
            if !home.is_empty() {
                context.send(&home, Message::InFlight { cell, requests });
            }
        }
    }
}

/// Cells that a request may still ask, after a refusal for `reason`.
fn cells_to_ask<'a>(
    layout: &'a CellLayout,
    near: &'a str,
    request: &'a OpenRequest,
    gathers: bool,
    reason: RefusalKind,
) -> impl Iterator<Item = &'a str> {
    let group = prompt_group(&request.arrival);
    let pool = &request.arrival.pool;
    let centres = layout.centres(pool, near, group, gathers && !request.arrival.keys.is_empty());
    centres
        .into_iter()
        .enumerate()
        // Only a lack of endpoints is a reason to go further than the own data centre.
        .filter(move |(place, centre)| reason == RefusalKind::NoEndpoint || *place == 0 || *centre == near)
        .flat_map(move |(_, centre)| layout.order(pool, centre, group).into_iter().take(CELLS_TRIED))
        .filter(|cell| !request.tried.contains(*cell))
}

fn prompt_group(arrival: &Arrival) -> u64 {
    // A prompt without a whole piece has nothing to return to: it is spread.
    arrival.keys.first().map_or_else(
        || group_of(spread(&arrival.account, &arrival.request.to_string())),
        |key| group_of(*key),
    )
}

register_plugin!("entry", 40, RequestTracker);
