//! Decides which endpoints take new work.
//!
//! Invariant: an endpoint gets no new work from the earliest sign of departure or failure on (the VM
//! list, its own readiness, refused connections, the operator's declaration). A failure ejects an
//! endpoint for a time that doubles with each further failure; when that time is over it takes work
//! again, and a probe that then finds it ready resets its failure count. A sign of departure is
//! withdrawn only by its own source: the list, the endpoint's readiness, the declaration.

use crate::layout::CellLayout;
use spanfold_entity::{EntityIndex, Moment};
use spanfold_kernel::{
    Context, Effect, EndpointIndex, Event, FailureKind, ListedVm, VmRole, VmState, World, register_plugin,
};
use std::collections::HashMap;

/// Interval between probes of an endpoint that takes work.
const PROBE_INTERVAL_MILLIS: u64 = 1_000;
/// Interval between probes of an endpoint that takes no work.
const RECOVERY_PROBE_INTERVAL_MILLIS: u64 = 250;
/// Duration of the first ejection; doubles with each failure after the first.
const FIRST_EJECTION_MILLIS: u64 = 500;
/// Longest ejection.
const MAX_EJECTION_MILLIS: u64 = 30_000;

/// State of the health plug-in: when each endpoint is probed next.
#[derive(Debug)]
pub struct HealthTracker {
    layout: CellLayout,
    generation: u64,
    next_probe_at: HashMap<EndpointIndex, Moment>,
}

impl HealthTracker {
    fn start(_world: &World) -> Self {
        Self { layout: CellLayout::default(), generation: 0, next_probe_at: HashMap::new() }
    }

    fn handle(&mut self, context: &mut Context<'_>, event: &Event) {
        match event {
            Event::Listed { vms } => apply_vm_list(context.world, vms),
            Event::Probed { endpoint, ready, running, waiting, .. } => {
                apply_probe(context, endpoint, *ready, *running, *waiting);
            }
            Event::Tick => self.probe(context),
            _ => {}
        }
    }

    /// Probes the endpoints that are due.
    ///
    /// Each endpoint is probed by the home of its cell, and each store by one VM of each data centre.
    fn probe(&mut self, context: &mut Context<'_>) {
        if self.generation != context.world.generation {
            self.generation = context.world.generation;
            self.layout = CellLayout::new(&context.world.catalogue);
        }
        let world = &*context.world;
        let mut due_probes = Vec::new();
        for (index, row) in world.endpoints.iter().filter(|(_, row)| row.declared) {
            let name = world.endpoint_names.name(index);
            if context.now < self.next_probe_at.get(&index).copied().unwrap_or_default() {
                continue;
            }
            let role = self.layout.cell_of(name).unwrap_or(name);
            let centre =
                if self.layout.cell_of(name).is_some() { &row.data_centre } else { &world.data_centre };
            if world.role_holder(role, centre, context.now) == Some(&world.own_name) {
                due_probes.push((index, name.to_owned(), row.accepts_work(context.now)));
            }
        }
        for (index, endpoint, accepts_work) in due_probes {
            let interval_millis =
                if accepts_work { PROBE_INTERVAL_MILLIS } else { RECOVERY_PROBE_INTERVAL_MILLIS };
            self.next_probe_at.insert(index, context.now.after_millis(interval_millis));
            context.emit(Effect::Probe { endpoint });
        }
    }
}

fn apply_vm_list(world: &mut World, vms: &[ListedVm]) {
    for vm in vms.iter().filter(|vm| vm.role == VmRole::Endpoint) {
        let Some(index) = world.endpoint_names.find(&vm.name) else { continue };
        // The list lags, so a `Live` row withdraws only a departure that the list itself reported.
        world.endpoints[index].listed_departing = vm.state == VmState::Leaving;
    }
}

fn apply_probe(context: &mut Context<'_>, endpoint: &str, ready: Option<bool>, running: u32, waiting: u32) {
    let Some(index) = context.world.endpoint_names.find(endpoint) else { return };
    context.world.endpoints[index].probed = true;
    match ready {
        Some(true) => {
            let row = &mut context.world.endpoints[index];
            row.reported_departing = false;
            row.running = running;
            row.waiting = waiting;
            if context.now >= row.ejected_until {
                row.failures = 0;
            }
        }
        Some(false) => {
            if !context.world.endpoints[index].reported_departing {
                context.world.endpoints[index].reported_departing = true;
                context.log("endpoint.leaving", endpoint);
            }
        }
        None => record_failure(context, index, FailureKind::Refused),
    }
}

/// Records a failure of the endpoint at `index` and ejects it.
pub(crate) fn record_failure(context: &mut Context<'_>, index: EndpointIndex, kind: FailureKind) {
    let name = context.world.endpoint_names.name(index).to_owned();
    if index.row() >= context.world.endpoints.len() {
        return;
    }
    let now = context.now;
    let row = &mut context.world.endpoints[index];
    if now < row.ejected_until {
        return;
    }
    row.failures = row.failures.saturating_add(1);
    let millis = FIRST_EJECTION_MILLIS
        .saturating_mul(1 << row.failures.min(10).saturating_sub(1))
        .min(MAX_EJECTION_MILLIS);
    row.ejected_until = now.after_millis(millis);
    context.log("endpoint.ejected", format!("{name} {kind:?} {millis}ms"));
}

register_plugin!("health", 30, HealthTracker);
