//! Sends each request to a cell, or bypasses a home that does not answer.
//!
//! Invariant: every admitted request ends in exactly one dispatch or refusal by this VM, whatever its
//! home does. A home that does not answer is bypassed with a local decision: its failure lowers the
//! quality of a few decisions and costs no request. Requests in flight are reported to a cell's home
//! whenever the home changes and every few seconds, so that a lost message cannot leak a slot.

use crate::layout::{CellLayout, group_of, split_cell};
use crate::limits::refuse;
use crate::placement::placement;
use spanfold_entity::Moment;
use spanfold_kernel::{
    Arrival, Context, Effect, EndpointRequest, Event, Grant, InFlightRow, Message, Outcome, RefusalKind,
    World, hash_pair, register_plugin, rendezvous,
};
use std::collections::{BTreeMap, BTreeSet};

/// A home that has not answered within this time is bypassed.
const HOME_ANSWER_TIMEOUT_MILLIS: u64 = 250;
/// Interval at which a queued request queries its home again, to notice a failed home.
const QUEUE_POLL_INTERVAL_MILLIS: u64 = 500;
/// A home of another data centre that did not answer is skipped for this long.
const HOME_SUSPICION_MILLIS: u64 = 2_000;
/// Interval between reports of the requests in flight to the homes.
const RECONCILE_INTERVAL_MILLIS: u64 = 5_000;
/// Cells of one data centre that a request tries before it is refused.
const MAX_CELLS_PER_DATA_CENTRE: usize = 2;

/// One request between admission and its end.
#[derive(Debug, Clone)]
struct OpenRequest {
    arrival: Arrival,
    cell: String,
    home: String,
    tried_cells: BTreeSet<String>,
    acknowledged: bool,
    next_check_at: Moment,
    may_move: bool,
    endpoint: Option<String>,
    started: bool,
}

/// State of the entry plug-in: the requests that are open at this VM.
#[derive(Debug)]
pub struct RequestTracker {
    layout: CellLayout,
    generation: u64,
    membership_version: u64,
    next_reconcile_at: Moment,
    open: BTreeMap<u64, OpenRequest>,
    reported_cells: BTreeSet<String>,
    /// Homes in other data centres that did not answer, and until when they are skipped.
    unreachable_homes: BTreeMap<String, Moment>,
    /// Number of decisions made locally because a home did not answer.
    pub bypassed_count: u64,
}

impl RequestTracker {
    fn start(_world: &World) -> Self {
        Self {
            layout: CellLayout::default(),
            generation: 0,
            membership_version: 0,
            next_reconcile_at: Moment(0),
            open: BTreeMap::new(),
            reported_cells: BTreeSet::new(),
            unreachable_homes: BTreeMap::new(),
            bypassed_count: 0,
        }
    }

    /// Returns the number of open requests.
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
            Event::Progress { request, outcome } => self.apply_progress(context, *request, *outcome),
            Event::Receive { from, message: Message::Grant(grant) } => self.apply_grant(context, from, grant),
            Event::Receive { message: Message::Queued { request }, .. } => {
                self.record_queued(context, *request);
            }
            Event::Receive { message: Message::Refusal { request, reason, retry_after_millis }, .. } => {
                self.apply_refusal(context, *request, *reason, *retry_after_millis);
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
            tried_cells: BTreeSet::new(),
            acknowledged: false,
            next_check_at: context.now,
            may_move: false,
            endpoint: None,
            started: false,
        };
        self.open.insert(arrival.request, request);
        self.try_next_cell(context, arrival.request, RefusalKind::NoEndpoint, 0);
    }

    /// Sends the request to the next untried cell; refuses it if there is none.
    fn try_next_cell(
        &mut self,
        context: &mut Context<'_>,
        request_id: u64,
        reason: RefusalKind,
        retry_millis: u64,
    ) {
        let Some(request) = self.open.get_mut(&request_id) else { return };
        let own_centre = &context.world.data_centre;
        let has_region_affinity =
            placement(&context.world.variant).is_some_and(|variant| variant.has_region_affinity);
        let mut cells = untried_cells(&self.layout, own_centre, request, has_region_affinity, reason);
        let Some(cell) = cells.next().map(str::to_owned) else {
            drop(cells);
            self.open.remove(&request_id);
            let millis = if retry_millis == 0 { QUEUE_POLL_INTERVAL_MILLIS } else { retry_millis };
            refuse(context, request_id, reason, millis);
            return;
        };
        drop(cells);
        request.tried_cells.insert(cell.clone());
        request.cell = cell;
        // Only a cell that would be tried after a refusal as `Busy` is an alternative.
        let may_move =
            untried_cells(&self.layout, own_centre, request, has_region_affinity, RefusalKind::Busy)
                .next()
                .is_some();
        request.may_move = may_move;
        self.query_home(context, request_id);
    }

    /// Sends the request to the current home of its cell.
    fn query_home(&mut self, context: &mut Context<'_>, request_id: u64) {
        let Some(request) = self.open.get_mut(&request_id) else { return };
        let (_, centre) = split_cell(&request.cell);
        let Some(home) = context.world.role_holder(&request.cell, centre, context.now).map(str::to_owned)
        else {
            self.bypass(context, request_id);
            return;
        };
        let is_remote = centre != context.world.data_centre;
        let is_suspected = self.unreachable_homes.get(&home).is_some_and(|until| context.now < *until);
        if is_remote && is_suspected && request.may_move {
            self.try_next_cell(context, request_id, RefusalKind::Busy, 0);
            return;
        }
        request.home.clone_from(&home);
        request.acknowledged = false;
        request.next_check_at = context.now.after_millis(HOME_ANSWER_TIMEOUT_MILLIS);
        let arrival = &request.arrival;
        let home_request = EndpointRequest {
            request: request_id,
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
        context.send(&home, Message::Ask(home_request));
    }

    /// Places a request without the home, at the endpoint that the prompt's hash prefers.
    ///
    /// A home in another data centre may be cut off together with its endpoints; in that case a cell of
    /// the own data centre is tried next.
    fn bypass(&mut self, context: &mut Context<'_>, request_id: u64) {
        let Some(request) = self.open.get_mut(&request_id) else { return };
        let is_remote = split_cell(&request.cell).1 != context.world.data_centre;
        if is_remote && request.may_move {
            self.unreachable_homes
                .insert(request.home.clone(), context.now.after_millis(HOME_SUSPICION_MILLIS));
            self.try_next_cell(context, request_id, RefusalKind::Busy, 0);
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
            self.try_next_cell(context, request_id, RefusalKind::NoEndpoint, 0);
            return;
        };
        self.bypassed_count += 1;
        request.endpoint = Some(endpoint.to_owned());
        let effect = Effect::Dispatch {
            request: request_id,
            endpoint: endpoint.to_owned(),
            import: None,
            priority: 0,
        };
        context.log("home.bypassed", format!("{} {}", request.cell, request.home));
        context.emit(effect);
    }

    fn apply_grant(&mut self, context: &mut Context<'_>, from: &str, grant: &Grant) {
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
            // The home repeated the grant because a query crossed with it.
            Some(request) if request.endpoint.as_ref() == Some(&grant.endpoint) => {}
            // The request has ended, or another endpoint processes it: return the slot.
            unwanted => {
                let cell = unwanted.map(|request| request.cell.clone());
                let cell = cell.or_else(|| self.layout.cell_of(&grant.endpoint).map(str::to_owned));
                if let Some(cell) = cell {
                    let message =
                        Message::Progress { cell, request: grant.request, outcome: Outcome::Abandoned };
                    context.send(from, message);
                }
            }
        }
    }

    fn record_queued(&mut self, context: &Context<'_>, request_id: u64) {
        if let Some(request) = self.open.get_mut(&request_id) {
            request.acknowledged = true;
            request.next_check_at = context.now.after_millis(QUEUE_POLL_INTERVAL_MILLIS);
        }
    }

    fn apply_refusal(
        &mut self,
        context: &mut Context<'_>,
        request_id: u64,
        reason: RefusalKind,
        retry_millis: u64,
    ) {
        if self.open.get(&request_id).is_some_and(|request| request.endpoint.is_none()) {
            self.try_next_cell(context, request_id, reason, retry_millis);
        }
    }

    fn apply_progress(&mut self, context: &mut Context<'_>, request_id: u64, outcome: Outcome) {
        let Some(request) = self.open.get_mut(&request_id) else { return };
        let (cell, home) = (request.cell.clone(), request.home.clone());
        if matches!(outcome, Outcome::FirstToken(_)) {
            request.started = true;
        } else {
            self.open.remove(&request_id);
        }
        if !home.is_empty() {
            context.send(&home, Message::Progress { cell, request: request_id, outcome });
        }
    }

    fn tick(&mut self, context: &mut Context<'_>) {
        if self.membership_version != context.world.membership_version {
            self.membership_version = context.world.membership_version;
            self.update_homes(context);
        }
        if context.now >= self.next_reconcile_at {
            self.next_reconcile_at = context.now.after_millis(RECONCILE_INTERVAL_MILLIS);
            self.reconcile(context, None);
        }
        let due_requests: Vec<(u64, bool)> = self
            .open
            .iter()
            .filter(|(_, request)| request.endpoint.is_none() && context.now >= request.next_check_at)
            .map(|(request_id, request)| (*request_id, request.acknowledged))
            .collect();
        for (request_id, acknowledged) in due_requests {
            if acknowledged {
                self.query_home(context, request_id);
            } else {
                self.bypass(context, request_id);
            }
        }
    }

    /// Reports the requests in flight to new homes, then resends the waiting requests to them.
    fn update_homes(&mut self, context: &mut Context<'_>) {
        let mut changed_homes = BTreeMap::new();
        for request in self.open.values_mut() {
            let (_, centre) = split_cell(&request.cell);
            let home = context.world.role_holder(&request.cell, centre, context.now).unwrap_or_default();
            if request.home != home && !home.is_empty() {
                home.clone_into(&mut request.home);
                changed_homes.insert(request.cell.clone(), home.to_owned());
            }
        }
        for (cell, home) in &changed_homes {
            self.reconcile(context, Some((cell, home)));
        }
        let waiting_ids: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, request)| request.endpoint.is_none() && changed_homes.contains_key(&request.cell))
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in waiting_ids {
            self.query_home(context, request_id);
        }
    }

    /// Reports all requests in flight to the homes, for one cell or for all cells.
    fn reconcile(&mut self, context: &mut Context<'_>, target: Option<(&str, &str)>) {
        let mut rows: BTreeMap<(String, String), Vec<InFlightRow>> = BTreeMap::new();
        for (request_id, request) in &self.open {
            let Some(endpoint) = &request.endpoint else { continue };
            if target.is_some_and(|(cell, _)| cell != request.cell) {
                continue;
            }
            let row = InFlightRow {
                request: *request_id,
                endpoint: endpoint.clone(),
                account: request.arrival.account.clone(),
                prompt_tokens: request.arrival.prompt_tokens,
                started: request.started,
            };
            rows.entry((request.cell.clone(), request.home.clone())).or_default().push(row);
        }
        match target {
            Some((cell, home)) => {
                rows.entry((cell.to_owned(), home.to_owned())).or_default();
            }
            // A cell that had rows in the last report gets one more report without rows.
            None => {
                for cell in std::mem::take(&mut self.reported_cells) {
                    let (_, centre) = split_cell(&cell);
                    if let Some(home) = context.world.role_holder(&cell, centre, context.now) {
                        rows.entry((cell.clone(), home.to_owned())).or_default();
                    }
                }
            }
        }
        for ((cell, home), requests) in rows {
            if !requests.is_empty() {
                self.reported_cells.insert(cell.clone());
            }
            if !home.is_empty() {
                context.send(&home, Message::InFlight { cell, requests });
            }
        }
    }
}

/// Returns the untried cells for a request after a refusal for `reason`.
fn untried_cells<'a>(
    layout: &'a CellLayout,
    own_centre: &'a str,
    request: &'a OpenRequest,
    has_region_affinity: bool,
    reason: RefusalKind,
) -> impl Iterator<Item = &'a str> {
    let group = prompt_group(&request.arrival);
    let pool = &request.arrival.pool;
    let data_centre_order = layout.data_centre_order(
        pool,
        own_centre,
        group,
        has_region_affinity && !request.arrival.keys.is_empty(),
    );
    data_centre_order
        .into_iter()
        .enumerate()
        // Only a lack of endpoints justifies trying data centres beyond the first and the own one.
        .filter(move |(index, centre)| {
            reason == RefusalKind::NoEndpoint || *index == 0 || *centre == own_centre
        })
        .flat_map(move |(_, centre)| {
            layout.cell_order(pool, centre, group).into_iter().take(MAX_CELLS_PER_DATA_CENTRE)
        })
        .filter(|cell| !request.tried_cells.contains(*cell))
}

fn prompt_group(arrival: &Arrival) -> u64 {
    // A prompt without a whole block has no cached state to return to: it is distributed over the cells.
    arrival.keys.first().map_or_else(
        || group_of(hash_pair(&arrival.account, &arrival.request.to_string())),
        |key| group_of(*key),
    )
}

register_plugin!("entry", 40, RequestTracker);
