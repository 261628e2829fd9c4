//! Which endpoints take new work.
//!
//! Invariant: of the signs that an endpoint leaves (the VM list, its own readiness, refused
//! connections, the operator's declaration) the earliest counts, and only a positive sign of
//! life takes one back. Failures eject an endpoint for a while that doubles; a probe that finds
//! it ready brings it back when that while is over.

use crate::layout::CellLayout;
use spanfold_entity::{EntityIndex, Moment};
use spanfold_kernel::{
    Context, Effect, EndpointIndex, Event, FailureKind, ListedVm, VmRole, VmState, World, register_plugin,
};
use std::collections::HashMap;

/// Period of probes of an endpoint that is well, in milliseconds.
const PROBE_INTERVAL_MILLIS: u64 = 1_000;
/// Period of probes of an endpoint that takes no work, in milliseconds.
const RETURN_MILLIS: u64 = 250;
/// First ejection, in milliseconds; it doubles with each failure after the first.
const FIRST_EJECTION_MILLIS: u64 = 500;
/// Longest ejection, in milliseconds.
const MAX_EJECTION_MILLIS: u64 = 30_000;

/// State of the health plug-in: when each endpoint is probed next.
#[derive(Debug)]
pub struct HealthWatch {
    layout: CellLayout,
    generation: u64,
    next_probe: HashMap<EndpointIndex, Moment>,
}

impl HealthWatch {
    fn start(_world: &World) -> Self {
        Self { layout: CellLayout::default(), generation: 0, next_probe: HashMap::new() }
    }

    fn handle(&mut self, context: &mut Context<'_>, event: &Event) {
        match event {
            Event::Listed { vms } => take_list(context.world, vms),
            Event::Probed { endpoint, ready, running, waiting, .. } => {
                take_probe(context, endpoint, *ready, *running, *waiting);
            }
            Event::Tick => self.probe(context),
            _ => {}
        }
    }

    /// Each endpoint is probed by the home of its cell, and a store by one VM of each data centre.
    fn probe(&mut self, context: &mut Context<'_>) {
        if self.generation != context.world.generation {
            self.generation = context.world.generation;
            self.layout = CellLayout::new(&context.world.catalogue);
        }
        let world = &*context.world;
        let mut due = Vec::new();
        for (index, row) in world.endpoints.iter().filter(|(_, row)| row.declared) {
            let name = world.endpoint_names.name(index);
            if context.now < self.next_probe.get(&index).copied().unwrap_or_default() {
                continue;
            }
            let role = self.layout.cell_of(name).unwrap_or(name);
            let centre =
                if self.layout.cell_of(name).is_some() { &row.data_centre } else { &world.data_centre };
            if world.holder(role, centre, context.now) == Some(&world.me) {
                due.push((index, name.to_owned(), row.takes_work(context.now)));
            }
        }
        for (index, endpoint, well) in due {
            let period = if well { PROBE_INTERVAL_MILLIS } else { RETURN_MILLIS };
            self.next_probe.insert(index, context.now.after_millis(period));
            context.emit(Effect::Probe { endpoint });
        }
    }
}

fn take_list(world: &mut World, vms: &[ListedVm]) {
    for vm in vms.iter().filter(|vm| vm.role == VmRole::Endpoint) {
        let Some(index) = world.endpoint_names.find(&vm.name) else { continue };
        // A live row is a lagging sign: it takes back only what the list itself said.
        world.endpoints[index].list_leaving = vm.state == VmState::Leaving;
    }
}

fn take_probe(context: &mut Context<'_>, endpoint: &str, ready: Option<bool>, running: u32, waiting: u32) {
    let Some(index) = context.world.endpoint_names.find(endpoint) else { return };
    context.world.endpoints[index].probed = true;
    match ready {
        Some(true) => {
            let row = &mut context.world.endpoints[index];
            row.self_leaving = false;
            row.running = running;
            row.waiting = waiting;
            if context.now >= row.ejected_until {
                row.failures = 0;
            }
        }
        Some(false) => {
            if !context.world.endpoints[index].self_leaving {
                context.world.endpoints[index].self_leaving = true;
                context.log("endpoint.leaving", endpoint);
            }
        }
        None => note_failure(context, index, FailureKind::Refused),
    }
}

/// Ejects the endpoint at `index` after a failure.
pub(crate) fn note_failure(context: &mut Context<'_>, index: EndpointIndex, kind: FailureKind) {
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

register_plugin!("health", 30, HealthWatch);
